"""Beginning of calls: order of turns, at-most-once execution, attempts.

The attempt numbers of a group only increase.
"""

from typing import Any

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import answers
from mintcleat.programs import budgets
from mintcleat.programs import loops
from mintcleat.programs import prefixes
from mintcleat.programs import records
from mintcleat.programs import state
from mintcleat.programs import tables


def begin(group: state.Group, request: program_messages.BeginCall) -> Any:
    """Grants an attempt for a new key, or returns the state of a known one.

    Returns:
        An AttemptGranted, CallRecorded or AttemptRunning, or the error that
        refuses the call.
    """
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.table_key(request))
    if call is not None:
        return _begin_known_key(group, call, request)
    if not request.program:
        return _grant_new(group, table, request)
    program = group.programs[request.program]
    if request.turn and request.turn < program.next_turn:
        return _answer_past_turn(group, program, request)
    if _is_past_key(program, request.key):
        return _key_conflict(request)
    refusal = _refusal(group, program, request)
    if refusal is not None:
        return refusal
    return _grant_new(group, table, request)


def find(group: state.Group, request: program_messages.FindCall) -> Any:
    """Looks a key up without granting an attempt.

    Entries that must not accept new work answer resends in this way.

    Returns:
        A CallRecorded or AttemptRunning, the error of the call, or Done with
        `absent` if the key is not known.
    """
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.table_key(request))
    if call is not None:
        return _outcome(group, call, request)
    program = group.programs.get(request.program)
    if program and request.turn and request.turn < program.next_turn:
        return _answer_past_turn(group, program, request)
    return identities.Done("absent")


def _outcome(
    group: state.Group,
    call: records.Call,
    request: program_messages.BeginCall | program_messages.FindCall,
) -> Any:
    """Returns the state of a call whose key is known."""
    if (call.digest, call.turn) != (request.digest, request.turn):
        return _key_conflict(request)
    match call.state:
        case records.FINISHED:
            answer = answers.load(group, call)
            return program_messages.CallRecorded(
                call.attempt, answer, call.usage
            )
        case records.FAILED:
            return errors.from_failure(call.failure)
        case records.UNKNOWN:
            return errors.OutcomeUnknown(
                f"Attempt {call.attempt} of key {call.key} may or may not have"
                " run."
            )
    return program_messages.AttemptRunning(
        call.attempt, call.sidecar, call.address
    )


def _begin_known_key(
    group: state.Group,
    call: records.Call,
    request: program_messages.BeginCall,
) -> Any:
    """Answers a BeginCall whose key is known."""
    outcome = _outcome(group, call, request)
    is_open = call.state in (records.RUNNING, records.UNKNOWN)
    if not is_open or isinstance(outcome, errors.KeyConflict):
        return outcome
    is_same = _is_resend(call, request)
    if is_same and call.state == records.RUNNING:
        return _granted(group, call)
    if not is_same and _may_get_new_attempt(call, request):
        return _grant_attempt(group, call, request)
    return outcome


def _may_get_new_attempt(
    call: records.Call, request: program_messages.BeginCall
) -> bool:
    """Returns whether the call may get another attempt.

    It may if the old attempt is sealed, since it will never run. Otherwise
    the old attempt may have run, so the call must be idempotent, and the old
    attempt must be over: settled as unknown, or its sidecar has restarted.
    """
    if request.sealed and request.sealed == call.attempt:
        return True
    if not call.idempotent:
        return False
    is_sidecar_gone = (
        request.sidecar.instance == call.sidecar.instance
        and request.sidecar.epoch > call.sidecar.epoch
    )
    return call.state == records.UNKNOWN or is_sidecar_gone


def _is_resend(call: records.Call, request: program_messages.BeginCall) -> bool:
    """Returns whether a request resends the one that got the attempt.

    Such a request carries the same nonce, which only its sender knows, and is
    granted the same attempt again: it was resent because the reply was lost.
    Otherwise the sender would be refused because an attempt is under way, and
    the call would never run. Once the attempt is over, a late copy gets no new
    one, because no caller waits for it.
    """
    return bool(request.nonce) and (call.nonce, call.sidecar) == (
        request.nonce,
        request.sidecar,
    )


def _answer_past_turn(
    group: state.Group,
    program: records.Program,
    request: program_messages.BeginCall | program_messages.FindCall,
) -> Any:
    """Answers a request for a finished turn from the history."""
    past = answers.load_turn(group, program.program, request.turn)
    if past.key == request.key:
        if past.request != request.digest:
            return _key_conflict(request)
        answer = past.messages[-1].encode()
        return program_messages.CallRecorded(past.attempt, answer, past.usage)
    if _is_past_key(program, request.key):
        return _key_conflict(request)
    return _wrong_turn(program, request)


def _is_past_key(program: records.Program, key: str) -> bool:
    """Returns whether a finished turn of the program had this key."""
    return prefixes.count(program.past_key_digests, prefixes.of_key(key)) > 0


def _key_conflict(
    request: program_messages.BeginCall | program_messages.FindCall,
) -> errors.KeyConflict:
    return errors.KeyConflict(
        f"Idempotency key {request.key} was used for a different request; use"
        " a new key."
    )


def _wrong_turn(
    program: records.Program, request: program_messages.BeginCall
) -> errors.WrongTurn:
    return errors.WrongTurn(
        f"Turn {request.turn} of program {program.program} is out of order;"
        f" its next turn is {program.next_turn}."
    )


def _refusal(
    group: state.Group,
    program: records.Program,
    request: program_messages.BeginCall,
) -> errors.MintcleatError | None:
    """Returns the error if a new key must not get an attempt, or None."""
    if program.state != records.OPEN:
        return errors.ProgramClosed(
            f"Program {program.program} is {program.state}."
        )
    if request.nonce and request.nonce == program.released_nonce:
        # This is a late copy of a request whose attempt was settled as not run.
        # No caller waits for it, so a new attempt would only block the turn.
        return errors.CallRunning(
            "The attempt of this request was already settled as not run."
        )
    if request.turn:
        if request.turn != program.next_turn:
            return _wrong_turn(program, request)
        if program.open_turn_key:
            return errors.CallRunning(
                f"Turn {request.turn} of program {program.program} is under way"
                " with another key."
            )
    if loops.is_loop(program, request.digest):
        return errors.LoopDetected(
            f"Program {program.program} has sent the same call"
            f" {program.repeat_limit} times, which is its repeat limit."
        )
    return budgets.check(
        group.lineage(program), request.turn, request.reserve, group.clock
    )


def _grant_new(
    group: state.Group,
    table: dict[Any, records.Call],
    request: program_messages.BeginCall,
) -> program_messages.AttemptGranted:
    call = records.Call(
        number=group.last_attempt + 1,
        program=request.program,
        customer=request.customer,
        key=request.key,
        digest=request.digest,
        turn=request.turn,
        messages=list(request.messages),
        reserved=0,
        idempotent=request.idempotent,
        attempt=0,
        sidecar=request.sidecar,
        address=request.address,
        nonce=request.nonce,
        touched=group.clock,
    )
    table[tables.table_key(request)] = call
    if request.program:
        program = group.programs[request.program]
        lineage = group.lineage(program)
        call.reserved = budgets.tokens_to_reserve(
            lineage, request.turn, request.reserve
        )
        budgets.reserve(lineage, call)
        loops.record_call(program, request.digest)
        if request.turn:
            program.open_turn_key = request.key
    group.calls[call.number] = call
    return _grant_attempt(group, call, request)


def _grant_attempt(
    group: state.Group,
    call: records.Call,
    request: program_messages.BeginCall,
) -> program_messages.AttemptGranted:
    group.last_attempt += 1
    call.attempt = group.last_attempt
    call.sidecar = request.sidecar
    call.address = request.address
    call.nonce = request.nonce
    call.state = records.RUNNING
    call.failure = None
    tables.touch(group, call)
    return _granted(group, call)


def _granted(
    group: state.Group, call: records.Call
) -> program_messages.AttemptGranted:
    if not call.program:
        return program_messages.AttemptGranted(
            call.attempt, 0, digests.EMPTY, 0, 0, "", "", ""
        )
    program = group.programs[call.program]
    lineage = group.lineage(program)
    is_limited = any(ancestor.budget.tokens for ancestor in lineage)
    return program_messages.AttemptGranted(
        attempt=call.attempt,
        base_turn=program.next_turn - 1,
        base_digest=program.digest,
        attained=lineage[-1].used,
        tokens_left=call.reserved if is_limited else 0,
        root=lineage[-1].program,
        agent=program.agent,
        klass=program.klass,
    )
