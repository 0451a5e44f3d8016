"""Begin, finish and settle of calls: order, at-most-once, attempts."""

from typing import TYPE_CHECKING
from typing import Any

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.programs import budgets
from mintcleat.programs import histories
from mintcleat.programs import loops
from mintcleat.programs import records

if TYPE_CHECKING:
    from mintcleat.programs import machine

# Keys are remembered for a day; whole answers of a day do not fit in memory.
MAX_ANSWER_IN_MEMORY = 256


def begin(group: "machine.ProgramMachine", request: messages.BeginCall) -> Any:
    """Grants an attempt, or tells what became of this key before."""
    table = _table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(_slot(request))
    if call is not None:
        return _resend(group, call, request)
    if not request.program:
        return _grant_new(group, table, request)
    program = group.programs[request.program]
    if request.turn and request.turn < program.next_turn:
        return _past_turn(group, program, request)
    fault = _refusal(group, program, request)
    if fault is not None:
        return fault
    return _grant_new(group, table, request)


def finish(
    group: "machine.ProgramMachine", request: messages.FinishCall
) -> Any:
    """Records the answer of the call's newest attempt, once."""
    table = _table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(_slot(request))
    if call is None:
        return _finished_before(group, request)
    if call.attempt != request.attempt:
        return _superseded(request)
    if call.state == records.FINISHED:
        return messages.Done()
    if call.state == records.FAILED:
        return _superseded(request)
    call.state = records.FINISHED
    call.usage = request.usage
    _end_call(group, call)
    if call.program:
        _record_in_program(group, call, request)
    if not call.turn:
        _keep_answer(group, call, request.answer)
    return messages.Done()


def settle(
    group: "machine.ProgramMachine", request: messages.SettleCall
) -> Any:
    """Ends an attempt without an answer; an older attempt's is ignored."""
    table = _table(group, request)
    if isinstance(table, errors.MintcleatError):
        return table
    call = table.get(_slot(request))
    if call is None or call.attempt != request.attempt:
        return messages.Done("superseded")
    if call.state not in (records.RUNNING, records.UNKNOWN):
        return messages.Done(call.state)
    match request.outcome:
        case errors.NOT_RUN:
            budgets.release(_chain(group, call), call)
            _free_turn(group, call)
            if call.program:
                group.programs[call.program].released = call.nonce
            del table[_slot(request)]
        case errors.RAN:
            call.state = records.FAILED
            call.failure = request.failure
            budgets.write_off(_chain(group, call), call)
            _free_turn(group, call)
            _end_call(group, call)
        case errors.UNKNOWN:
            call.state = records.UNKNOWN
            call.failure = request.failure
            _end_call(group, call)
        case _:
            return errors.BadRequest(f"{request.outcome!r} is no outcome.")
    return messages.Done()


def drop(group: "machine.ProgramMachine", call: records.Call) -> None:
    """Forgets a call whose retention is over."""
    if call.state in (records.RUNNING, records.UNKNOWN):
        budgets.write_off(_chain(group, call), call)
        _free_turn(group, call)
    if call.is_stored:
        group.histories.forget(answer_name(call))
    if call.program:
        del group.programs[call.program].calls[call.key]
    else:
        del group.keyed[call.partner, call.key]


def answer_name(call: records.Call) -> str:
    """Returns the name of a call's answer in the history store."""
    return f"answer/{call.attempt}"


def _table(group: "machine.ProgramMachine", request: Any) -> Any:
    """Returns the key table of the request, or its refusal."""
    if not request.program:
        return group.keyed
    program = group.programs.get(request.program)
    if program is None:
        return group.unknown(request.program)
    return program.calls


def _slot(request: Any) -> Any:
    """Returns the request's place in its key table."""
    if request.program:
        return request.key
    return (request.partner, request.key)


def _chain(
    group: "machine.ProgramMachine", call: records.Call
) -> list[records.Program]:
    if not call.program:
        return []
    return group.chain(group.programs[call.program])


def _resend(
    group: "machine.ProgramMachine",
    call: records.Call,
    request: messages.BeginCall,
) -> Any:
    """Answers a begin whose key is known."""
    if (call.digest, call.turn) != (request.digest, request.turn):
        return errors.KeyConflict(
            f"Key {request.key} was used for another request."
        )
    match call.state:
        case records.FINISHED:
            answer = _answer_of(group, call)
            return messages.Recorded(call.attempt, answer, call.usage)
        case records.FAILED:
            return errors.from_failure(call.failure)
    is_same = _is_same_sending(call, request)
    if is_same and call.state == records.RUNNING:
        return _granted(group, call)
    if not is_same and _may_retry(call, request):
        return _grant_again(group, call, request)
    if call.state == records.UNKNOWN:
        return errors.OutcomeUnknown(
            f"Attempt {call.attempt} of key {call.key} may have run."
        )
    return messages.Underway(call.attempt, call.sidecar, call.address)


def _may_retry(call: records.Call, request: messages.BeginCall) -> bool:
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


def _is_same_sending(call: records.Call, request: messages.BeginCall) -> bool:
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
    group: "machine.ProgramMachine",
    program: records.Program,
    request: messages.BeginCall,
) -> Any:
    """Answers a begin of a finished turn from the history."""
    past = _read_turn(group, program.program, request.turn)
    if past.key == request.key:
        if past.request != request.digest:
            return errors.KeyConflict(
                f"Key {request.key} was used for another request."
            )
        answer = past.messages[-1].encode()
        return messages.Recorded(past.attempt, answer, past.usage)
    return _wrong_turn(program, request)


def _wrong_turn(
    program: records.Program, request: messages.BeginCall
) -> errors.WrongTurn:
    return errors.WrongTurn(
        f"Turn {request.turn} of {program.program} was sent;"
        f" its next is {program.next_turn}."
    )


def _refusal(
    group: "machine.ProgramMachine",
    program: records.Program,
    request: messages.BeginCall,
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
    group: "machine.ProgramMachine",
    table: dict[Any, records.Call],
    request: messages.BeginCall,
) -> messages.Granted:
    call = records.Call(
        program=request.program,
        partner=request.partner,
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
    table[_slot(request)] = call
    if request.program:
        program = group.programs[request.program]
        chain = group.chain(program)
        call.reserved = budgets.reserve_of(chain, request.turn, request.reserve)
        budgets.hold(chain, call)
        loops.note(program, request.digest)
        if request.turn:
            program.turn_key = request.key
    group.settled.append((group.clock, call))
    return _grant_again(group, call, request)


def _grant_again(
    group: "machine.ProgramMachine",
    call: records.Call,
    request: messages.BeginCall,
) -> messages.Granted:
    group.last_attempt += 1
    call.attempt = group.last_attempt
    call.sidecar = request.sidecar
    call.address = request.address
    call.nonce = request.nonce
    call.state = records.RUNNING
    call.failure = None
    call.touched = group.clock
    group.touch(call.program)
    return _granted(group, call)


def _granted(
    group: "machine.ProgramMachine", call: records.Call
) -> messages.Granted:
    if not call.program:
        return messages.Granted(
            call.attempt, 0, digests.EMPTY, 0, 0, "", "", ""
        )
    program = group.programs[call.program]
    chain = group.chain(program)
    is_limited = any(ancestor.budget.tokens for ancestor in chain)
    return messages.Granted(
        attempt=call.attempt,
        base_turn=program.next_turn - 1,
        base_digest=program.digest,
        attained=chain[-1].used,
        tokens_left=call.reserved if is_limited else 0,
        root=chain[-1].program,
        agent=program.agent,
        klass=program.klass,
    )


def _record_in_program(
    group: "machine.ProgramMachine",
    call: records.Call,
    request: messages.FinishCall,
) -> None:
    """Settles the budget and, for a turn, appends to the history."""
    program = group.programs[call.program]
    budgets.settle(group.chain(program), call)
    if not call.turn:
        return
    answer = request.answer.decode(errors="replace")
    texts = [*call.messages, answer]
    program.digest = digests.rolling(program.digest, texts)
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
    program.resident = request.sidecar
    program.resident_address = call.address
    del program.calls[call.key]


def _keep_answer(
    group: "machine.ProgramMachine", call: records.Call, answer: bytes
) -> None:
    """Keeps a short answer in memory and a long one in the store."""
    if len(answer) <= MAX_ANSWER_IN_MEMORY:
        call.answer = answer
        return
    call.is_stored = True
    group.histories.append(answer_name(call), answer)


def _answer_of(group: "machine.ProgramMachine", call: records.Call) -> bytes:
    if not call.is_stored:
        return call.answer
    (answer,) = group.histories.read(answer_name(call), 1, 1)
    return answer


def _read_turn(
    group: "machine.ProgramMachine", program: str, turn: int
) -> records.TurnRecord:
    (record,) = group.histories.read(program, turn, turn)
    return histories.decode(record)


def _end_call(group: "machine.ProgramMachine", call: records.Call) -> None:
    call.touched = group.clock
    group.touch(call.program)


def _free_turn(group: "machine.ProgramMachine", call: records.Call) -> None:
    if not call.program:
        return
    program = group.programs[call.program]
    if call.turn and program.turn_key == call.key:
        program.turn_key = ""


def _finished_before(
    group: "machine.ProgramMachine", request: messages.FinishCall
) -> Any:
    """Tells a repeated finish of a recorded turn from one that came late."""
    if request.program and _has_recorded(group, request):
        return messages.Done()
    return _superseded(request)


def _has_recorded(
    group: "machine.ProgramMachine", request: messages.FinishCall
) -> bool:
    """Looks the attempt up from the newest turn back; attempts only grow."""
    turn = group.programs[request.program].next_turn - 1
    while turn > 0:
        past = _read_turn(group, request.program, turn)
        if past.attempt <= request.attempt:
            return (past.attempt, past.key) == (request.attempt, request.key)
        turn -= 1
    return False


def _superseded(request: messages.FinishCall) -> errors.Superseded:
    return errors.Superseded(
        f"Attempt {request.attempt} of key {request.key} was replaced."
    )
