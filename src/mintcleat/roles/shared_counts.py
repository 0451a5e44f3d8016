"""Counts of one program's requests that are sent as one message.

Requests of a program often come together, one for each tool that its last turn
called. Those that wait for the same batch are counted by one CountCall, which
carries their number.
"""

from typing import Any

from mintcleat.domain import program_messages


def join(message: Any, other: Any) -> program_messages.CountCall | None:
    """Returns a message that counts what two messages count.

    Programs are kept apart, because the group treats new programs and active
    ones differently.

    Returns:
        The message; None if the two can't be joined.
    """
    counts = program_messages.CountCall
    if not isinstance(message, counts) or not isinstance(other, counts):
        return None
    calls = message.calls + other.calls
    if (
        message._replace(calls=1, ids=[]) != other._replace(calls=1, ids=[])
        or message.ahead
        or calls > program_messages.MAX_CALLS
    ):
        return None
    return message._replace(calls=calls, ids=[*message.ids, *other.ids])


def split(reply: Any, calls: int) -> list[Any]:
    """Returns the reply or the Failure of each of the requests of a message."""
    if (
        not isinstance(reply, program_messages.CallCounted)
        or reply.refused is None
    ):
        return [reply] * calls
    refused, failure = reply.refused
    counted = program_messages.CallCounted(reply.ahead)
    return [counted] * (calls - refused) + [failure] * refused
