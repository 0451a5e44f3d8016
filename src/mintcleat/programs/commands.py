"""The commands of a program group in the replicated log, and their encoding.

The leader adds its clock to each command, because replicas must not read their
own clocks when they apply it.
"""

from typing import Any
from typing import NamedTuple

import msgpack

from mintcleat.domain import codec
from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import program_messages


class Tick(NamedTuple):
    """Advances the group's clock and deletes expired records.

    Attributes:
        program_idle: Seconds without a call after which a program expires.
        record_retention: Seconds for which ended programs and calls are kept.
    """

    program_idle: float
    record_retention: float


class Command(NamedTuple):
    """One log entry: requests that are applied in order.

    Attributes:
        clock: The group's clock in seconds. It advances only while there is
            a leader and does not follow wall time, because a leader whose
            wall clock is a day ahead would expire all records.
        wall: Unix time in seconds, for display only.
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
    program_messages.RecordStream,
    content_messages.StageContent,
)


def encode(command: Command) -> bytes:
    """Returns the command in the encoding of the log."""
    requests = [_to_wire(request) for request in command.requests]
    return msgpack.packb([command.clock, command.wall, requests])


def decode(data: bytes) -> Command:
    """Decodes a command that `encode` has encoded.

    Raises:
        errors.BadRequest: The data is not msgpack of a command's fields.
    """
    try:
        clock, wall, requests = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise errors.BadRequest(
            f"The data is not a valid program command: {error}."
        ) from error
    return Command(clock, wall, [_from_wire(item) for item in requests])


def _to_wire(request: Any) -> list[Any]:
    if isinstance(request, Tick):
        return [0, *request]
    return codec.to_wire(request)


def _from_wire(item: list[Any]) -> Any:
    if item[0] == 0:
        return Tick(*item[1:])
    return codec.from_wire(item)
