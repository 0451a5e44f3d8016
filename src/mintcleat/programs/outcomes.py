"""The end of attempts; each outcome is recorded once."""

from typing import Any

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import answers
from mintcleat.programs import budgets
from mintcleat.programs import histories
from mintcleat.programs import prefixes
from mintcleat.programs import records
from mintcleat.programs import state
from mintcleat.programs import tables


def finish(group: state.Group, request: program_messages.FinishCall) -> Any:
    """Records the answer of a call's newest attempt.

    Finishing it again has no effect.

    Returns:
        Done, or Superseded if the attempt is not the newest.
    """
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.table_key(request))
    if call is None:
        return _finish_past_turn(group, request)
    if call.attempt != request.attempt:
        return _superseded(request)
    if call.state == records.FINISHED:
        return identities.Done()
    if call.state == records.FAILED:
        return _superseded(request)
    call.state = records.FINISHED
    call.usage = request.usage
    tables.touch(group, call)
    if call.program:
        _record_in_program(group, call, request)
    if not call.turn:
        answers.store(group, call, request.answer)
    return identities.Done()


def settle(group: state.Group, request: program_messages.SettleCall) -> Any:
    """Ends an attempt without an answer.

    Returns:
        Done; with `superseded` if the attempt is not the newest, or with the
        call's state if it has already ended.
    """
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.table_key(request))
    if call is None or call.attempt != request.attempt:
        return identities.Done("superseded")
    if call.state not in (records.RUNNING, records.UNKNOWN):
        return identities.Done(call.state)
    match request.outcome:
        case errors.NOT_RUN:
            budgets.release(tables.lineage(group, call), call)
            tables.release_turn(group, call)
            if call.program:
                group.programs[call.program].released_nonce = call.nonce
            tables.remove(group, call)
        case errors.RAN:
            call.state = records.FAILED
            call.failure = request.failure
            budgets.write_off(tables.lineage(group, call), call)
            tables.release_turn(group, call)
            tables.touch(group, call)
        case errors.UNKNOWN:
            call.state = records.UNKNOWN
            call.failure = request.failure
            tables.touch(group, call)
        case _:
            return errors.BadRequest(f"{request.outcome!r} is not an outcome.")
    return identities.Done()


def discard(group: state.Group, call: records.Call) -> None:
    """Deletes a call and its answer at the end of its retention.

    A call without an outcome may have run, so the tokens reserved for it count
    as used.
    """
    if call.state in (records.RUNNING, records.UNKNOWN):
        budgets.write_off(tables.lineage(group, call), call)
        tables.release_turn(group, call)
    if call.is_stored:
        group.histories.forget(answers.sequence_name(call))
    tables.remove(group, call)


def _record_in_program(
    group: state.Group,
    call: records.Call,
    request: program_messages.FinishCall,
) -> None:
    """Settles the budgets and appends a turn to the program's history."""
    program = group.programs[call.program]
    budgets.settle(group.lineage(program), call)
    if not call.turn:
        return
    usage = call.usage
    program.context_tokens = usage.prompt_tokens + usage.completion_tokens
    answer = request.answer.decode(errors="replace")
    texts = [*call.messages, answer]
    program.digest = digests.chain(program.digest, texts)
    turn = records.TurnRecord(
        turn=call.turn,
        key=call.key,
        request=call.digest,
        attempt=call.attempt,
        usage=call.usage,
        messages=texts,
        digest=program.digest,
    )
    group.histories.append(program.program, histories.encode(turn))
    program.next_turn += 1
    program.open_turn_key = ""
    program.past_key_digests += prefixes.of_key(call.key)
    program.resident = request.sidecar
    program.resident_address = call.address
    tables.remove(group, call)


def _finish_past_turn(
    group: state.Group, request: program_messages.FinishCall
) -> Any:
    """Answers a FinishCall whose call is not known any more.

    It is either a repetition for a recorded turn, or it comes too late.
    """
    if request.program and _is_recorded(group, request):
        return identities.Done()
    return _superseded(request)


def _is_recorded(
    group: state.Group, request: program_messages.FinishCall
) -> bool:
    """Returns whether a finished turn was recorded from this attempt.

    Later turns have higher attempt numbers, so the search goes backwards.
    """
    turn = group.programs[request.program].next_turn - 1
    while turn > 0:
        past = answers.load_turn(group, request.program, turn)
        if past.attempt <= request.attempt:
            return (past.attempt, past.key) == (request.attempt, request.key)
        turn -= 1
    return False


def _superseded(request: program_messages.FinishCall) -> errors.Superseded:
    return errors.Superseded(
        f"Attempt {request.attempt} of key {request.key} was superseded by a"
        " newer attempt or has expired."
    )
