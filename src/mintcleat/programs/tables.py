"""Key tables, which hold calls by idempotency key."""

from typing import Any

from mintcleat.programs import records
from mintcleat.programs import state


def key_table(group: state.Group, request: Any) -> Any:
    """Returns the key table for a request, or the error that refuses it."""
    if not request.program:
        return group.standalone_calls
    program = group.programs.get(request.program)
    if program is None:
        return group.unknown_program(request.program)
    return program.calls


def table_key(request: Any) -> Any:
    """Returns the key of a request in its key table."""
    if request.program:
        return request.key
    return (request.customer, request.key)


def lineage(group: state.Group, call: records.Call) -> list[records.Program]:
    """Returns the programs whose budgets a call draws on, the root last.

    They are its program and all ancestors; none for a call without a program.
    """
    if not call.program:
        return []
    return group.lineage(group.programs[call.program])


def release_turn(group: state.Group, call: records.Call) -> None:
    """Releases the turn of a call, so that another key may take it."""
    if not call.program:
        return
    program = group.programs[call.program]
    if call.turn and program.open_turn_key == call.key:
        program.open_turn_key = ""


def touch(group: state.Group, call: records.Call) -> None:
    """Restarts a call's retention and records activity of its program."""
    call.touched = group.clock
    group.calls.move_to_end(call.number)
    group.touch(call.program)


def remove(group: state.Group, call: records.Call) -> None:
    """Removes a call from the group and from its key table."""
    del group.calls[call.number]
    if call.program:
        del group.programs[call.program].calls[call.key]
    else:
        del group.standalone_calls[call.customer, call.key]
