"""How much of upstreams' answers an entry holds in memory.

Load: answers that are collected before they are sent, events that have not
ended, and events that are kept for the record of a turn. Each has a bound of
its own, but a faulty upstream reaches it with every request that it gets.

Harm prevented: the process exceeds its memory and loses all requests.

The largest holder yields when the sum exceeds the limit, so that an answer of
ordinary size never does because of large ones.
"""

from collections.abc import Callable

# Assumed if the memory limit of the process is unknown, in bytes.
DEFAULT_LIMIT = 64 * 1024 * 1024
# Size up to which a plain answer is always collected, in bytes. Larger ones
# need room; without it they are sent as they arrive.
SMALL_BYTES = 64 * 1024
# Part of the limit that plain answers may use. They can do without.
_COLLECTED_FRACTION = 0.5


class AnswerMemory:
    """Counts the bytes that all requests hold of their answers.

    Attributes:
        limit: Maximum of `total`, in bytes.
        total: Bytes that are held.
        collected: Those of plain answers.
        shares: Holders that yield, with at least one byte; a dict for its
            order.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.total = 0
        self.collected = 0
        self.shares: dict[Share, None] = {}

    def has_room(self, size: int) -> bool:
        """Returns whether plain answers may hold so many more bytes."""
        return (
            self.collected + size <= self.limit * _COLLECTED_FRACTION
            and self.total + size <= self.limit
        )

    def collect(self, size: int) -> None:
        """Records that plain answers hold more bytes, or fewer."""
        self.collected += size
        self.total += size
        self.make_room()

    def make_room(self) -> None:
        """Makes the largest holders yield while the limit is exceeded."""
        while self.total > self.limit and self.shares:
            max(self.shares, key=_size_of).drop()


class Share:
    """What one stream holds: its unfinished event and its turn's events.

    Attributes:
        size: Bytes that it holds.
        has_yielded: Whether it had to drop them.
    """

    def __init__(
        self, memory: AnswerMemory, on_yield: Callable[[], None]
    ) -> None:
        """Initializes a share of nothing.

        Args:
            memory: The account.
            on_yield: Drops what is held; must not wait. It may be called
                within `resize` of any share.
        """
        self.memory = memory
        self.on_yield = on_yield
        self.size = 0
        self.has_yielded = False

    def begin(self) -> None:
        """Lets a stream that had to yield hold bytes again."""
        self.has_yielded = False

    def resize(self, size: int) -> None:
        """Records how many bytes the stream holds; none once it yielded."""
        if size == self.size or self.has_yielded:
            return
        memory = self.memory
        memory.total += size - self.size
        self.size = size
        if not size:
            memory.shares.pop(self, None)
            return
        memory.shares[self] = None
        if memory.total > memory.limit:
            memory.make_room()

    def pin(self) -> None:
        """Keeps the stream from yielding; its bytes are being recorded."""
        self.memory.shares.pop(self, None)

    def drop(self) -> None:
        """Makes the stream yield."""
        self.resize(0)
        self.has_yielded = True
        self.on_yield()


def _size_of(share: Share) -> int:
    return share.size
