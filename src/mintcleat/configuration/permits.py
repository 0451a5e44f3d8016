"""Permits of the rate-limited weight store, as a replicated token bucket."""

from typing import Any

from mintcleat.domain import errors

# Holders are remembered so that a repeated request takes no second permit.
HOLDERS_KEPT = 1_000


class Bucket:
    """A token bucket whose time comes in the commands.

    The level is part of the replicated state. A new leader that started with
    a full bucket would let a burst through at each failover, and the weight
    store would throttle every load for minutes.

    Attributes:
        level: Permits that can be taken at `filled_at`; None before the
            first, when the bucket is full.
        holders: Holders of permits, oldest first.
    """

    def __init__(self) -> None:
        self.level: float | None = None
        self.filled_at = 0.0
        self.holders: dict[str, float] = {}

    def take(
        self, holder: str, per_minute: float, burst: int, at: float
    ) -> bool | errors.Overloaded:
        """Takes a permit; repeated by the same holder it takes no second."""
        if holder in self.holders:
            return True
        self._fill(per_minute / 60.0, max(1, burst), at)
        if self.level is None or self.level < 1.0:
            wait = self._wait(per_minute / 60.0)
            return errors.Overloaded(
                "The weight store's load rate is used up.", retry_after=wait
            )
        self.level -= 1.0
        self.holders[holder] = at
        while len(self.holders) > HOLDERS_KEPT:
            del self.holders[next(iter(self.holders))]
        return True

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [self.level, self.filled_at, self.holders]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.level, self.filled_at, self.holders = state

    def _fill(self, rate: float, burst: int, at: float) -> None:
        if self.level is None:
            self.level = float(burst)
            self.filled_at = at
            return
        # A new leader's wall clock may be behind; time does not run back,
        # and the same seconds are never credited twice.
        passed = max(0.0, at - self.filled_at)
        self.level = min(float(burst), self.level + passed * rate)
        self.filled_at = max(at, self.filled_at)

    def _wait(self, rate: float) -> float:
        if rate <= 0:
            return 60.0
        return (1.0 - (self.level or 0.0)) / rate
