"""Begin of calls: order of turns, at-most-once, attempts that only grow."""

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
    """Grants an attempt, or tells what became of this key before."""
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.slot(request))
    if call is not None:
        return _resend(group, call, request)
    if not request.program:
        return _grant_new(group, table, request)
    program = group.programs[request.program]
    if request.turn and request.turn < program.next_turn:
        return _past_turn(group, program, request)
    if _is_past_key(program, request.key):
        return _key_conflict(request)
    fault = _refusal(group, program, request)
    if fault is not None:
        return fault
    return _grant_new(group, table, request)


def find(group: state.Group, request: program_messages.FindCall) -> Any:
    """Tells what became of a key, for an entry that must refuse new work."""
    table = tables.key_table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(tables.slot(request))
    if call is not None:
        return _outcome(group, call, request)
    program = group.programs.get(request.program)
    if program and request.turn and request.turn < program.next_turn:
        return _past_turn(group, program, request)
    return identities.Done("absent")


def _outcome(
    group: state.Group,
    call: records.Call,
    request: program_messages.BeginCall | program_messages.FindCall,
) -> Any:
    """Returns what is known of a call, whatever may be granted next."""
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
                f"Attempt {call.attempt} of key {call.key} may have run."
            )
    return program_messages.AttemptRunning(
        call.attempt, call.sidecar, call.address
    )


def _resend(
    group: state.Group,
    call: records.Call,
    request: program_messages.BeginCall,
) -> Any:
    """Answers a begin whose key is known."""
    outcome = _outcome(group, call, request)
    is_open = call.state in (records.RUNNING, records.UNKNOWN)
    if not is_open or isinstance(outcome, errors.KeyConflict):
        return outcome
    is_same = _is_same_sending(call, request)
    if is_same and call.state == records.RUNNING:
        return _granted(group, call)
    if not is_same and _may_retry(call, request):
        return _grant_again(group, call, request)
    return outcome


def _may_retry(call: records.Call, request: program_messages.BeginCall) -> bool:
    """Tells whether the call may get a newer attempt.

    A sealed attempt never runs, so any call may. Otherwise the old attempt
    may have run, which only an idempotent call can stand, and the old one
    must be past: settled as unknown, or its sidecar seen in a later life.
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


def _is_same_sending(
    call: records.Call, request: program_messages.BeginCall
) -> bool:
    """Tells a resend after a lost answer from another caller's begin.

    Only the sender knows its nonce. Without it the sender would be told
    that another attempt is under way, and nobody would run the call. Once
    the attempt is past, a late copy gets no new one: nobody waits for it.
    """
    return bool(request.nonce) and (call.nonce, call.sidecar) == (
        request.nonce,
        request.sidecar,
    )


def _past_turn(
    group: state.Group,
    program: records.Program,
    request: program_messages.BeginCall | program_messages.FindCall,
) -> Any:
    """Answers a begin of a finished turn from the history."""
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
    """Tells whether a finished turn of the program had this key."""
    return prefixes.count(program.past_keys, prefixes.of_key(key)) > 0


def _key_conflict(
    request: program_messages.BeginCall | program_messages.FindCall,
) -> errors.KeyConflict:
    return errors.KeyConflict(
        f"Key {request.key} was used for another request."
    )


def _wrong_turn(
    program: records.Program, request: program_messages.BeginCall
) -> errors.WrongTurn:
    return errors.WrongTurn(
        f"Turn {request.turn} of {program.program} was sent;"
        f" its next is {program.next_turn}."
    )


def _refusal(
    group: state.Group,
    program: records.Program,
    request: program_messages.BeginCall,
) -> errors.MintcleatError | None:
    """Returns why a new key of a program gets no attempt, or None."""
    if program.state != records.OPEN:
        return errors.ProgramClosed(
            f"Program {program.program} is {program.state}."
        )
    if request.nonce and request.nonce == program.released:
        # A copy that comes after its grant was given back: nobody waits for
        # it any more, and a grant would hold the turn for nobody.
        return errors.CallRunning("This sending was settled as not run.")
    if request.turn:
        if request.turn != program.next_turn:
            return _wrong_turn(program, request)
        if program.turn_key:
            return errors.CallRunning(
                f"Turn {request.turn} of {program.program} is held by another"
                " key."
            )
    if loops.is_loop(program, request.digest):
        return errors.LoopDetected(
            f"Program {program.program} sent one call"
            f" {program.repeat_limit} times."
        )
    return budgets.check(
        group.chain(program), request.turn, request.reserve, group.clock
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
    table[tables.slot(request)] = call
    if request.program:
        program = group.programs[request.program]
        chain = group.chain(program)
        call.reserved = budgets.reserve_of(chain, request.turn, request.reserve)
        budgets.hold(chain, call)
        loops.note(program, request.digest)
        if request.turn:
            program.turn_key = request.key
    group.calls[call.number] = call
    return _grant_again(group, call, request)


def _grant_again(
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
    chain = group.chain(program)
    is_limited = any(ancestor.budget.tokens for ancestor in chain)
    return program_messages.AttemptGranted(
        attempt=call.attempt,
        base_turn=program.next_turn - 1,
        base_digest=program.digest,
        attained=chain[-1].used,
        tokens_left=call.reserved if is_limited else 0,
        root=chain[-1].program,
        agent=program.agent,
        klass=program.klass,
    )
