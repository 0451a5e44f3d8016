"""Which caller gives way when a process holds too much of what it received.

Load: many callers send large bodies at once, most of them slowly or never to
their end, or requests behind one that is still being answered.

Harm prevented: each body is within its limit, but their sum exceeds the memory
of the process, which then ends with all its requests.

All that callers have sent and the process still holds has one sum. Large
requests may take a part of it, so that small ones always find room. What is
incomplete gives way: nothing of it has run, and its caller can be told so. The
largest goes first, and one that has not moved for some time before one that
moves. A request that is being handled keeps its room until it has its response.
"""

from typing import Any
from typing import NamedTuple

# Assumed if the memory limit of the process is unknown.
DEFAULT_LIMIT = 64 * 1024 * 1024
# Part of a process's memory limit for what callers have sent. A body is there
# twice while it is put together or sent on.
FRACTION = 0.125
# Up to this size a request counts as small.
SMALL_BYTES = 64 * 1024
# Part of the limit that large requests may take together.
LARGE_FRACTION = 0.75
# What a connection holds besides one whole body: its head, and what has been
# received behind the body.
_BESIDE_BODY_BYTES = 512 * 1024
# Weight of a second without progress: after one second, a request gives way
# before one that moves and has up to five times as many bytes.
_IDLE_FACTOR = 4.0


class Held(NamedTuple):
    """What the process holds of one connection.

    Attributes:
        arriving: Bytes that may be dropped: of a request that is incomplete, or
            that waits behind another one.
        handled: Bytes of a request that is being handled.
        moved_at: Monotonic time at which bytes last arrived, in seconds.
    """

    arriving: int = 0
    handled: int = 0
    moved_at: float = 0.0

    @property
    def total(self) -> int:
        """All bytes."""
        return self.arriving + self.handled

    @property
    def large(self) -> int:
        """All bytes, if they are those of a large request."""
        return self.total if self.total > SMALL_BYTES else 0


_NOTHING = Held()


class ReceivedBytes:
    """The bytes of all callers of a process, by connection.

    Attributes:
        limit: Maximum of `total`.
        total: Bytes that are held now.
        large: Those of them that belong to large requests.
        held: What is held, by connection; without those of 0 bytes.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.total = 0
        self.large = 0
        self.held: dict[Any, Held] = {}

    def make_fit(self, body_bytes: int) -> None:
        """Raises the limit so that one request with such a body has room."""
        needed = (body_bytes + _BESIDE_BODY_BYTES) / LARGE_FRACTION
        self.limit = max(self.limit, int(needed))

    def set(
        self, connection: Any, arriving: int, handled: int, now: float
    ) -> None:
        """Records what is held of a connection; 0 and 0 for nothing."""
        before = self.held.pop(connection, _NOTHING)
        held = Held(arriving, handled, now)
        if held.total:
            self.held[connection] = held
        self.total += held.total - before.total
        self.large += held.large - before.large

    def excess(self, now: float) -> Any:
        """Returns the connection whose arriving bytes are to be dropped.

        None while the bytes are within the limit, or if none can be dropped.
        """
        if self.large > self.limit * LARGE_FRACTION:
            return self._largest(SMALL_BYTES, now)
        if self.total > self.limit:
            return self._largest(0, now)
        return None

    def _largest(self, above: int, now: float) -> Any:
        """Returns which connection gives way, of those with more bytes."""
        found, found_weight = None, 0.0
        for connection, held in self.held.items():
            if not held.arriving or held.total <= above:
                continue
            idle = now - held.moved_at
            weight = held.arriving * (1.0 + _IDLE_FACTOR * idle)
            if weight > found_weight:
                found, found_weight = connection, weight
        return found
