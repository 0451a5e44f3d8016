"""How the end of an answer is known.

A length, a last chunk or the end of the connection ends an answer of an
upstream. Only the first two mark the end: a connection also ends when its
upstream crashes. What was seen is one fact, from the reader of the bytes to
the framing for the caller, the record of the turn, evidence on the upstream,
retries and resumes, log lines and metrics.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class Framing(enum.Enum):
    """What ends the body of an answer.

    Attributes:
        LENGTH: A length that its head announces.
        CHUNKS: A chunk of length 0.
        CLOSE: The end of its connection.
        NONE: It has no body, by its status or by the method of the request.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    NONE = "none"


class Kind(enum.Enum):
    """How an answer ended.

    Attributes:
        MARKED: Whole, as its framing says.
        CONFIRMED: Whole: its connection was closed in order, and its upstream
            goes on serving or the answer is as long as the request allows.
        CLOSED: Its connection was closed in order, and nobody has asked its
            upstream yet.
        UNCONFIRMED: Its connection was closed in order, and its upstream
            doesn't answer, so that nothing shows that it is whole.
        CRASHED: Its connection was closed in order, as its upstream crashed.
        CUT: Its connection was closed before the end that its framing
            announces.
        RESET: Its connection failed.
        INVALID: Its framing or an event is invalid.
        OUT_OF_ORDER: A stream of events with an id that isn't above the one
            before it.
        INSIDE_EVENT: A stream of events that ended within an event.
        NO_EVENT: A stream whose connection was closed before its first event.
        STOPPED: A stream whose run was, or may have been, stopped for a move.
        ABANDONED: This process ended it.
    """

    MARKED = "marked"
    CONFIRMED = "confirmed"
    CLOSED = "closed"
    UNCONFIRMED = "unconfirmed"
    CRASHED = "crashed"
    CUT = "cut"
    RESET = "reset"
    INVALID = "invalid"
    OUT_OF_ORDER = "out_of_order"
    INSIDE_EVENT = "inside_event"
    NO_EVENT = "no_event"
    STOPPED = "stopped"
    ABANDONED = "abandoned"


_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_PROVEN = frozenset({Kind.MARKED, Kind.CONFIRMED})
_WHOLE = _PROVEN | {Kind.CLOSED}
_TEXTS = {
    Kind.UNCONFIRMED: (
        "nothing marks its end, and its upstream doesn't answer any more"
    ),
    Kind.CRASHED: "its upstream crashed as its connection was closed",
    Kind.CUT: "its connection was closed before its announced end",
    Kind.RESET: "its connection was reset",
    Kind.INVALID: "its framing is invalid",
    Kind.OUT_OF_ORDER: "its events were out of order",
    Kind.INSIDE_EVENT: "it ended inside an event",
    Kind.NO_EVENT: "its connection was closed before its first event",
    Kind.STOPPED: "its run may have been stopped for a move",
    Kind.ABANDONED: "this process ended it",
}


class AnswerEnd(NamedTuple):
    """The end of one answer of an upstream.

    Attributes:
        framing: What would have marked it.
        kind: How the answer ended.
        received: Bytes of the body that were received.
        events: Events of a stream that were received.
        rest: Bytes after the last complete event of a stream.
    """

    framing: Framing
    kind: Kind
    received: int = 0
    events: int = 0
    rest: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether the answer counts as whole."""
        return self.kind in _WHOLE

    @property
    def is_proven(self) -> bool:
        """Whether more than the end of its connection says that it is whole."""
        return self.kind in _PROVEN

    @property
    def text(self) -> str:
        """Why the answer counts as broken off, as the end of a sentence."""
        return _TEXTS[self.kind]


def states_end(status: int, fields: Mapping[str, str]) -> bool:
    """Returns whether a head says where the body of its answer ends.

    The standard library takes the end of a connection for the end of a head,
    and of a body without a length. Servers of this project always send a length
    or chunks, so that their clients can tell a head that was cut.

    Args:
        status: HTTP status.
        fields: Header fields; their names ignore case.
    """
    if status in _STATUSES_WITHOUT_BODY:
        return True
    coding = fields.get("transfer-encoding", "").strip().lower()
    return coding == "chunked" or fields.get("content-length", "").isdigit()
