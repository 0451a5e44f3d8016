"""Whether a turn is opened, by the room for keeping it afterwards.

Load: callers send long prompts faster than the turns before expire, as when a
batch of programs begins. Each kept turn is in the memory of every replica, and
again in the log's entries and in each snapshot.

Harm prevented: replicas that exceed their memory are killed, read the same
turns from their logs at each restart and are killed again. No turn is served
then, and none that was kept can be continued. Refusing a turn before it runs
costs one request; a turn that has run is always kept.

Turns that begin a program are refused first, so that programs in progress can
end.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# Share of the limit that turns without a previous one may fill.
_BEGINNING_FRACTION = 0.9
# Turns that were opened longer ago count no more: their sender is gone, or
# their deadlines have passed.
_OPEN_SECONDS = 60.0
# Lower bound of the time after which a refused caller should retry, and the
# time if only open turns are in the way.
_MIN_RETRY_SECONDS = 0.5


class Opened(NamedTuple):
    """A turn that is open.

    Attributes:
        size: Bytes that it will keep, as far as known.
        at: When it was opened, in seconds.
    """

    size: int
    at: float


class Expiring(NamedTuple):
    """A kept turn that will be deleted.

    Attributes:
        after: Seconds until then.
        size: Bytes that it keeps.
    """

    after: float
    size: int


class Room:
    """The room for the kept turns of one group.

    Attributes:
        limit: Bytes that turns may keep; 0 for no limit.
        opened: Turns that are open, by id, the oldest first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.opened: dict[tuple[str, str], Opened] = {}

    def has_room(
        self,
        turn: tuple[str, str],
        size: int,
        kept: int,
        continues: bool,
        now: float,
    ) -> bool:
        """Returns whether to open a turn, whose room is then reserved.

        Args:
            turn: Id of the turn; one that is open already needs no more room.
            size: Bytes that it will keep, as far as known; 0 if it isn't kept.
            kept: Bytes that all finished turns keep.
            continues: Whether it continues a program.
            now: Monotonic time in seconds.
        """
        if not self.limit or not size or turn in self.opened:
            return True
        if size > self._left(kept, continues, now):
            return False
        self.opened[turn] = Opened(size, now)
        return True

    def unreserved(self, sizes: Mapping[tuple[str, str], int]) -> int:
        """Returns the bytes of turns that have no room reserved.

        Args:
            sizes: Bytes by turn. A leader doesn't know the reservations of the
                leader before it.
        """
        return sum(
            size for turn, size in sizes.items() if turn not in self.opened
        )

    def release(self, turn: tuple[str, str]) -> None:
        """Forgets an open turn; idempotent."""
        self.opened.pop(turn, None)

    def retry_after(
        self,
        size: int,
        kept: int,
        continues: bool,
        expiring: Iterable[Expiring],
        now: float,
    ) -> float:
        """Returns the seconds until there may be room for a refused turn.

        Args:
            size: As in `has_room`.
            kept: As in `has_room`.
            continues: As in `has_room`.
            expiring: The kept turns, the earliest to expire first.
            now: Monotonic time in seconds.
        """
        missing = size - self._left(kept, continues, now)
        after = 0.0
        for turn in expiring:
            if missing <= 0:
                break
            missing -= turn.size
            after = turn.after
        return max(_MIN_RETRY_SECONDS, after)

    def _left(self, kept: int, continues: bool, now: float) -> float:
        """Returns the bytes that a turn may still keep."""
        for turn, opened in list(self.opened.items()):
            if now - opened.at < _OPEN_SECONDS:
                break
            del self.opened[turn]
        share = 1.0 if continues else _BEGINNING_FRACTION
        reserved = sum(opened.size for opened in self.opened.values())
        return self.limit * share - kept - reserved
