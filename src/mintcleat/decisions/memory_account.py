"""How much a process takes upon itself that is large and on its way.

Load: turns of long conversations, many at a time, while upstreams, callers or
other processes are slow to take what is sent to them.

Harm prevented: each of them is within its limit, but their sum exceeds the
memory of the process, which then ends with all its requests, small ones too.

What is about to be held is charged before it is there, so that a measurement
of the process never comes too late. Large things wait for room in the order in
which they came. Small ones never wait: they are charged and go on. What can't
get room within the time that it has is not let in.
"""

import collections
from collections.abc import Callable
import math

# Assumed if the memory limit of the process is unknown.
DEFAULT_LIMIT = 64 * 1024 * 1024
# About the time that a large request takes, and so that in which what fills the
# account makes room for as much again.
_ROUND_SECONDS = 0.5


class Claim:
    """Something that waits for room.

    Attributes:
        size: Its bytes.
    """

    def __init__(self, size: int) -> None:
        self.size = size


class MemoryAccount:
    """The bytes that one process holds of large things on their way.

    Attributes:
        limit: Maximum of `total`.
        charged: Bytes that are charged here.
        others: Return the bytes that other accounts of the process count; they
            take room here, and have limits of their own.
        waiting: What waits for room, in the order of its coming.
    """

    def __init__(self, limit: int = 0) -> None:
        """Creates an empty account.

        Args:
            limit: Its limit in bytes; 0 if that isn't known.
        """
        self.limit = limit or DEFAULT_LIMIT
        self.charged = 0
        self.others: list[Callable[[], int]] = []
        self.waiting: collections.deque[Claim] = collections.deque()

    def total(self) -> int:
        """Returns all bytes that are counted."""
        return self.charged + sum(other() for other in self.others)

    def lacks(self, size: int) -> int:
        """Returns how many bytes must become free for so many more."""
        return max(0, self.total() + size - self.limit)

    def charge(self, size: int) -> None:
        """Counts bytes that are held, or, if negative, are held no more."""
        self.charged += size

    def claim(self, size: int) -> Claim | None:
        """Joins those that wait.

        Returns:
            The claim; None if it can't be expected to get room: what waits
            before it takes all of the limit, or it exceeds the limit itself.
        """
        ahead = sum(claim.size for claim in self.waiting)
        if ahead + size > self.limit:
            return None
        claim = Claim(size)
        self.waiting.append(claim)
        return claim

    def admit(self, claim: Claim) -> bool:
        """Charges a claim if it is its turn; returns whether it was."""
        if self.waiting[0] is not claim or self.lacks(claim.size):
            return False
        self.waiting.popleft()
        self.charged += claim.size
        return True

    def retry_after(self, size: int) -> float:
        """Returns the seconds until there may be room for what was refused.

        Those that were refused while less waited before them come back first,
        and not all of them at the same time.

        Args:
            size: Its bytes.
        """
        ahead = sum(claim.size for claim in self.waiting)
        rounds = math.ceil((ahead + size) / self.limit)
        return max(1, rounds) * _ROUND_SECONDS

    def leave(self, claim: Claim) -> None:
        """Withdraws a claim that was not admitted."""
        self.waiting.remove(claim)
