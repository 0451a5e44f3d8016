"""How many requests of each customer were refused lately, and why.

Operators ask for them while customers are over their limits. The counts are
soft state of one process. A caller that is refused thousands of times in a
second adds to one count; the number of counts is bounded, for callers that
appear under ever new names.
"""

import collections
from typing import NamedTuple

# Seconds for which a refusal counts.
RECENT_SECONDS = 60.0
# Refusals leave the count in steps of this many seconds.
_STEP_SECONDS = 10.0
# Maximum of customers and kinds in one step; further ones are not counted.
MAX_COUNTS = 4096


class Step(NamedTuple):
    """Refusals by customer and kind of error, from the time `start` on."""

    start: float
    counts: collections.Counter[tuple[str, str]]


class RefusalCounts:
    """Refusals within the last RECENT_SECONDS.

    Attributes:
        steps: Refusals by time, the oldest first.
    """

    def __init__(self) -> None:
        self.steps: collections.deque[Step] = collections.deque()

    def add(self, customer: str, kind: str, count: int, now: float) -> None:
        """Adds refusals of one kind."""
        if not self.steps or now >= self.steps[-1].start + _STEP_SECONDS:
            self._expire(now)
            self.steps.append(Step(now, collections.Counter()))
        counts = self.steps[-1].counts
        if (customer, kind) in counts or len(counts) < MAX_COUNTS:
            counts[customer, kind] += count

    def recent(self, now: float) -> dict[str, dict[str, int]]:
        """Returns the number of refusals by customer, then by kind."""
        self._expire(now)
        found: dict[str, dict[str, int]] = {}
        for step in self.steps:
            for (customer, kind), count in step.counts.items():
                kinds = found.setdefault(customer, {})
                kinds[kind] = kinds.get(kind, 0) + count
        return found

    def _expire(self, now: float) -> None:
        while self.steps and now >= self.steps[0].start + RECENT_SECONDS:
            self.steps.popleft()
