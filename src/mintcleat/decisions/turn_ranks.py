"""Limits of the order of ranks: guaranteed turns, and retries that come first.

If the most urgent rank always came first, the others would starve while it has
enough turns to fill the service. After `GUARANTEED_INTERVAL` grants to more
urgent ranks, a rank is due one turn.

An urgent program that was refused tries again a little later. If less urgent
ones began meanwhile, it would be refused again because of them.

Each operation takes time in proportion to the number of ranks, which is small:
two for each class of customers and priority of a route, and as many for
customers over their share.
"""

from collections.abc import Iterable

from mintcleat.decisions import turn_queue

# After this many grants to more urgent ranks, a rank is granted one turn, so
# that no kind and no customer starves.
GUARANTEED_INTERVAL = 16
# Time for which less urgent programs are held back after a more urgent one was
# refused, so that the retry of the latter comes first.
HOLD_BACK_SECONDS = 0.3
# Ranks and urgencies beyond which those without waiting turns are forgotten.
# With three classes of customers there can be ten routes of different priority.
_MAX_RANKS = 128


class RankLimits:
    """What limits the order of the ranks of one service.

    Attributes:
        passed: Grants to more urgent ranks since the last one to each rank.
        refused_at: Time of the last `overloaded` refusal by urgency.
    """

    def __init__(self) -> None:
        self.passed: dict[turn_queue.Rank, int] = {}
        self.refused_at: dict[tuple[int, int], float] = {}

    def arrived(self, rank: turn_queue.Rank) -> None:
        """Records that a turn of a rank waits."""
        self.passed.setdefault(rank, 0)

    def granted(self, granted: turn_queue.Rank) -> None:
        """Counts a grant for the ranks that it passed over.

        First turns aren't passed over by turns of programs in progress: these
        end by themselves when no program begins.
        """
        begins = granted.stage != turn_queue.IN_PROGRESS
        for rank in self.passed:
            if rank > granted and (
                begins or rank.stage == turn_queue.IN_PROGRESS
            ):
                self.passed[rank] += 1
        self.passed[granted] = 0

    def refused(self, rank: turn_queue.Rank, now: float) -> None:
        """Records an `overloaded` refusal."""
        if len(self.refused_at) >= _MAX_RANKS:
            self.refused_at.clear()
        self.refused_at[rank.urgency] = now

    def is_due(self, rank: turn_queue.Rank) -> bool:
        """Returns whether a rank has been passed over often enough."""
        return self.passed.get(rank, 0) >= GUARANTEED_INTERVAL

    def is_held_back(self, rank: turn_queue.Rank, now: float) -> bool:
        """Returns whether a more urgent program was refused just now.

        Turns of programs in progress are never held back.
        """
        if rank.stage == turn_queue.IN_PROGRESS:
            return False
        return any(
            urgency < rank.urgency and now - at < HOLD_BACK_SECONDS
            for urgency, at in self.refused_at.items()
        )

    def forget(self, waiters: Iterable[turn_queue.Waiter]) -> None:
        """Forgets ranks without waiters, once there are many ranks."""
        if len(self.passed) < _MAX_RANKS:
            return
        waiting = {waiter.rank for waiter in waiters}
        self.passed = {rank: self.passed.get(rank, 0) for rank in waiting}
