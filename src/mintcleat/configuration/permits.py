"""Permits to load from the weight store, as a replicated token bucket."""

from typing import Any

from mintcleat.domain import errors

# Holders remembered, so that a repeated request takes no second permit.
HOLDERS_KEPT = 1_000


class Bucket:
    """A token bucket of permits; the time comes with each command.

    Its level is replicated. If each new leader started with a full bucket, a
    failover would let a burst through and the weight store would throttle all
    loads for minutes.

    Attributes:
        level: Permits available at `filled_at`; None for a full bucket, from
            which none was taken yet.
        filled_at: Time up to which the bucket was refilled, in seconds since
            1970.
        holders: When each holder got its permit, oldest first.
    """

    def __init__(self) -> None:
        self.level: float | None = None
        self.filled_at = 0.0
        self.holders: dict[str, float] = {}

    def take(
        self, holder: str, per_minute: float, burst: int, at: float
    ) -> bool | errors.Overloaded:
        """Takes one permit, once per holder.

        Args:
            holder: Id of the holder; see `commands.TakePermit`.
            per_minute: Refill rate in permits per minute.
            burst: Capacity in permits; at least 1.
            at: Present time in seconds since 1970.

        Returns:
            True if the holder has a permit, or else an error that says when
            to retry.
        """
        if holder in self.holders:
            return True
        self._fill(per_minute / 60.0, max(1, burst), at)
        if self.level is None or self.level < 1.0:
            retry_after = self._retry_after(per_minute / 60.0)
            return errors.Overloaded(
                "The rate limit for loads from the weight store is reached.",
                retry_after=retry_after,
            )
        self.level -= 1.0
        self.holders[holder] = at
        while len(self.holders) > HOLDERS_KEPT:
            del self.holders[next(iter(self.holders))]
        return True

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        return [self.level, self.filled_at, self.holders]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        self.level, self.filled_at, self.holders = state

    def _fill(self, rate: float, burst: int, at: float) -> None:
        if self.level is None:
            self.level = float(burst)
            self.filled_at = at
            return
        # The wall clock of a new leader may be behind that of the old one, and
        # no interval may be refilled twice.
        passed = max(0.0, at - self.filled_at)
        self.level = min(float(burst), self.level + passed * rate)
        self.filled_at = max(at, self.filled_at)

    def _retry_after(self, rate: float) -> float:
        if rate <= 0:
            return 60.0
        return (1.0 - (self.level or 0.0)) / rate
