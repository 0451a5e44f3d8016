"""Finish and settle of attempts: each outcome is recorded once."""

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
    """Records the answer of the call's newest attempt, once."""
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.slot(request))
    if call is None:
        return _finished_before(group, request)
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
        answers.keep(group, call, request.answer)
    return identities.Done()


def settle(group: state.Group, request: program_messages.SettleCall) -> Any:
    """Ends an attempt without an answer; an older attempt's is ignored."""
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.slot(request))
    if call is None or call.attempt != request.attempt:
        return identities.Done("superseded")
    if call.state not in (records.RUNNING, records.UNKNOWN):
        return identities.Done(call.state)
    match request.outcome:
        case errors.NOT_RUN:
            budgets.release(tables.chain(group, call), call)
            tables.free_turn(group, call)
            if call.program:
                group.programs[call.program].released = call.nonce
            tables.remove(group, call)
        case errors.RAN:
            call.state = records.FAILED
            call.failure = request.failure
            budgets.write_off(tables.chain(group, call), call)
            tables.free_turn(group, call)
            tables.touch(group, call)
        case errors.UNKNOWN:
            call.state = records.UNKNOWN
            call.failure = request.failure
            tables.touch(group, call)
        case _:
            return errors.BadRequest(f"{request.outcome!r} is no outcome.")
    return identities.Done()


def drop(group: state.Group, call: records.Call) -> None:
    """Forgets a call whose retention is over."""
    if call.state in (records.RUNNING, records.UNKNOWN):
        budgets.write_off(tables.chain(group, call), call)
        tables.free_turn(group, call)
    if call.is_stored:
        group.histories.forget(answers.name_of(call))
    tables.remove(group, call)


def _record_in_program(
    group: state.Group,
    call: records.Call,
    request: program_messages.FinishCall,
) -> None:
    """Settles the budget and, for a turn, appends to the history."""
    program = group.programs[call.program]
    budgets.settle(group.chain(program), call)
    if not call.turn:
        return
    usage = call.usage
    program.context = usage.prompt_tokens + usage.completion_tokens
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
    program.turn_key = ""
    program.past_keys += prefixes.of_key(call.key)
    program.resident = request.sidecar
    program.resident_address = call.address
    tables.remove(group, call)


def _finished_before(
    group: state.Group, request: program_messages.FinishCall
) -> Any:
    """Tells a repeated finish of a recorded turn from one that came late."""
    if request.program and _has_recorded(group, request):
        return identities.Done()
    return _superseded(request)


def _has_recorded(
    group: state.Group, request: program_messages.FinishCall
) -> bool:
    """Looks the attempt up from the newest turn back; attempts only grow."""
    turn = group.programs[request.program].next_turn - 1
    while turn > 0:
        past = answers.load_turn(group, request.program, turn)
        if past.attempt <= request.attempt:
            return (past.attempt, past.key) == (request.attempt, request.key)
        turn -= 1
    return False


def _superseded(request: program_messages.FinishCall) -> errors.Superseded:
    return errors.Superseded(
        f"Attempt {request.attempt} of key {request.key} was replaced."
    )
