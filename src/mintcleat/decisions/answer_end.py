"""Decides whether an answer that ended is whole.

An answer that is ended as whole for its caller, or recorded as a complete
turn, can't be taken back. So whatever speaks against it counts, also where the
framing says that all bytes arrived.
"""

from typing import NamedTuple

from mintcleat.domain import answer_ends
from mintcleat.domain import routed_calls

_Kind = answer_ends.Kind


class ReceivedStream(NamedTuple):
    """What was received of a stream of events until it ended.

    Attributes:
        events: Events of this attempt.
        is_inside_event: Whether the last event is incomplete.
        is_full: Whether it has as many tokens as the request allows.
    """

    events: int
    is_inside_event: bool
    is_full: bool = False


def of_stream(
    end: answer_ends.AnswerEnd, stream: ReceivedStream
) -> answer_ends.AnswerEnd:
    """Returns how a stream ended, given how its body did.

    A body that ends with its connection has no mark of its end, so it must
    have an event at least. That holds for a resumed one, too: it may have
    nothing left, but nothing shows that.
    """
    if not end.is_whole:
        return end
    if stream.is_inside_event:
        return end._replace(kind=_Kind.INSIDE_EVENT)
    if end.kind is not _Kind.CLOSED:
        return end
    if stream.is_full:
        return end._replace(kind=_Kind.CONFIRMED)
    return end if stream.events else end._replace(kind=_Kind.NO_EVENT)


def confirmed(
    end: answer_ends.AnswerEnd, upstream: routed_calls.Reachability
) -> answer_ends.AnswerEnd:
    """Returns how an answer ended whose connection was closed in order.

    Args:
        end: Its end.
        upstream: Whether its upstream takes connections after that. If that
            isn't known, the answer counts as broken off: half an answer that
            looks whole can't be taken back, a whole one is asked for again.
    """
    match upstream:
        case routed_calls.Reachability.ACCEPTS:
            return end._replace(kind=_Kind.CONFIRMED)
        case (
            routed_calls.Reachability.REFUSES
            | routed_calls.Reachability.REPLACED
        ):
            return end._replace(kind=_Kind.CRASHED)
    return end._replace(kind=_Kind.UNCONFIRMED)
