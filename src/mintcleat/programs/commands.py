"""Commands of a program group as they stand in the replicated log.

The leader stamps each command, because replicas must not read a clock of
their own when they apply it.
"""

from typing import Any
from typing import NamedTuple

import msgpack

from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import program_messages


class Tick(NamedTuple):
    """Moves the group's clock and lets old records leave.

    Attributes:
        program_idle: Seconds without a call after which a program expires.
        record_retention: Seconds that closed programs and settled keys stay.
    """

    program_idle: float
    record_retention: float


class Command(NamedTuple):
    """One entry of the log: requests that are applied in order.

    Attributes:
        clock: The group's clock in seconds of leadership, never wall time:
            a leader whose wall clock is a day ahead would expire everything.
        wall: Seconds since 1970, for people only.
        requests: Messages of `MUTATIONS`, or one Tick.
    """

    clock: float
    wall: float
    requests: list[Any]


MUTATIONS = (
    program_messages.CreateProgram,
    program_messages.CloseProgram,
    program_messages.BeginCall,
    program_messages.FinishCall,
    program_messages.SettleCall,
    program_messages.OpenTurn,
    program_messages.CloseTurn,
    program_messages.CountCall,
)


def encode(command: Command) -> bytes:
    """Returns the command as bytes of the log."""
    requests = [_to_wire(request) for request in command.requests]
    return msgpack.packb([command.clock, command.wall, requests])


def decode(data: bytes) -> Command:
    """Returns the command that `encode` made these bytes from.

    Raises:
        errors.BadRequest: The bytes are no command.
    """
    try:
        clock, wall, requests = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise errors.BadRequest(f"No program command: {error}.") from error
    return Command(clock, wall, [_from_wire(item) for item in requests])


def _to_wire(request: Any) -> list[Any]:
    if isinstance(request, Tick):
        return [0, *request]
    return codec.to_wire(request)


def _from_wire(item: list[Any]) -> Any:
    if item[0] == 0:
        return Tick(*item[1:])
    return codec.from_wire(item)
