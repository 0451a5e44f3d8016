"""Key tables and what every kind of request needs of them."""

from typing import Any

from mintcleat.programs import records
from mintcleat.programs import state


def key_table(group: state.Group, request: Any) -> Any:
    """Returns the key table of the request, or its refusal."""
    if not request.program:
        return group.keyed
    program = group.programs.get(request.program)
    if program is None:
        return group.unknown(request.program)
    return program.calls


def slot(request: Any) -> Any:
    """Returns the request's place in its key table."""
    if request.program:
        return request.key
    return (request.customer, request.key)


def chain(group: state.Group, call: records.Call) -> list[records.Program]:
    """Returns the programs whose budgets the call draws on, the root last."""
    if not call.program:
        return []
    return group.chain(group.programs[call.program])


def free_turn(group: state.Group, call: records.Call) -> None:
    """Lets another key take the turn that this call holds."""
    if not call.program:
        return
    program = group.programs[call.program]
    if call.turn and program.turn_key == call.key:
        program.turn_key = ""


def touch(group: state.Group, call: records.Call) -> None:
    """Starts the call's retention anew and notes its program's activity."""
    call.touched = group.clock
    group.calls.move_to_end(call.number)
    group.touch(call.program)


def remove(group: state.Group, call: records.Call) -> None:
    """Takes a call out of its key table."""
    del group.calls[call.number]
    if call.program:
        del group.programs[call.program].calls[call.key]
    else:
        del group.keyed[call.customer, call.key]
