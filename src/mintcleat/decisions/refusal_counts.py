"""How many requests of each customer were refused recently, and why.

Operators ask for them while customers are over their limits. The counts are
soft state of one process. A caller that is refused thousands of times in a
second adds to one count; the number of counts is bounded, as callers may
use a new name for each request.
"""

import bisect
import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

# Seconds for which a refusal counts.
RECENT_SECONDS = 60.0
# Refusals leave the count in steps of this many seconds.
_STEP_SECONDS = 10.0
# Maximum of customers, kinds and reasons in one step, and of customers and
# buckets of delays; further ones are not counted.
MAX_COUNTS = 4096
# Upper bounds of the buckets of advised delays in seconds. With factors of
# two, an operator tells 0.2 s from a few seconds, which is what matters.
DELAY_BUCKETS = tuple(0.05 * 2.0**power for power in range(13))


class Step(NamedTuple):
    """Refusals from the time `start` on.

    Attributes:
        counts: Number of refusals by customer, kind of error and reason.
        delays: Number of advised delays by customer and index of the bucket.
    """

    start: float
    counts: collections.Counter[tuple[str, str, str]]
    delays: collections.Counter[tuple[str, int]]


class AdvisedDelays(NamedTuple):
    """Delays that refusals advised, rounded up to the bound of a bucket.

    Attributes:
        median: Median in seconds; 0 if no refusal advised a delay.
        longest: Longest delay in seconds.
    """

    median: float = 0.0
    longest: float = 0.0


class RefusalCounts:
    """Refusals within the last RECENT_SECONDS.

    Attributes:
        steps: Refusals by time, the oldest first.
    """

    def __init__(self) -> None:
        self.steps: collections.deque[Step] = collections.deque()

    def add(
        self,
        customer: str,
        kind: str,
        count: int,
        now: float,
        *,
        reason: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """Adds refusals of one kind.

        Args:
            customer: The customer; empty if unknown.
            kind: Kind of the error.
            count: Number of refused requests.
            now: The current time in seconds.
            reason: Rule that refused; empty if the kind tells it.
            retry_after: Advised delay in seconds; 0 for none.
        """
        if not self.steps or now >= self.steps[-1].start + _STEP_SECONDS:
            self._expire(now)
            self.steps.append(
                Step(now, collections.Counter(), collections.Counter())
            )
        step = self.steps[-1]
        _add(step.counts, (customer, kind, reason), count)
        if retry_after > 0.0:
            bucket = bisect.bisect_left(DELAY_BUCKETS, retry_after)
            bucket = min(bucket, len(DELAY_BUCKETS) - 1)
            _add(step.delays, (customer, bucket), count)

    def recent(self, now: float) -> dict[str, dict[str, int]]:
        """Returns the number of refusals by customer, then by kind."""
        return {
            customer: _sums(counts, lambda kind, reason: kind)
            for customer, counts in self._counts(now).items()
        }

    def reasons(self, now: float) -> dict[str, dict[str, int]]:
        """Returns the number of refusals by customer, then by kind and reason.

        The kind is followed by a slash and the reason if there is one.
        """
        return {
            customer: _sums(
                counts,
                lambda kind, reason: f"{kind}/{reason}" if reason else kind,
            )
            for customer, counts in self._counts(now).items()
        }

    def delays(self, now: float) -> dict[str, AdvisedDelays]:
        """Returns the delays that refusals advised, by customer."""
        self._expire(now)
        buckets: dict[str, collections.Counter[int]] = {}
        for step in self.steps:
            for (customer, bucket), count in step.delays.items():
                counts = buckets.setdefault(customer, collections.Counter())
                counts[bucket] += count
        return {
            customer: _advised(found) for customer, found in buckets.items()
        }

    def _counts(
        self, now: float
    ) -> dict[str, collections.Counter[tuple[str, str]]]:
        """Returns the refusals by customer, then by kind and reason."""
        self._expire(now)
        found: dict[str, collections.Counter[tuple[str, str]]] = {}
        for step in self.steps:
            for (customer, kind, reason), count in step.counts.items():
                counts = found.setdefault(customer, collections.Counter())
                counts[kind, reason] += count
        return found

    def _expire(self, now: float) -> None:
        while self.steps and now >= self.steps[0].start + RECENT_SECONDS:
            self.steps.popleft()


def _add(counts: collections.Counter[Any], key: Any, count: int) -> None:
    """Adds to a count unless that would exceed the bound on their number."""
    if key in counts or len(counts) < MAX_COUNTS:
        counts[key] += count


def _sums(
    counts: collections.Counter[tuple[str, str]],
    name: Callable[[str, str], str],
) -> dict[str, int]:
    found: collections.Counter[str] = collections.Counter()
    for (kind, reason), count in counts.items():
        found[name(kind, reason)] += count
    return dict(found)


def _advised(buckets: collections.Counter[int]) -> AdvisedDelays:
    """Returns the lower median and the maximum of bucketed delays."""
    half = (buckets.total() + 1) // 2
    seen = 0
    for bucket in sorted(buckets):
        seen += buckets[bucket]
        if seen >= half:
            return AdvisedDelays(
                DELAY_BUCKETS[bucket], DELAY_BUCKETS[max(buckets)]
            )
    return AdvisedDelays()
