"""Pauses between the calls of a program, by tool: duration and return."""

import math

# Pauses needed before the histogram replaces the fallback values.
MIN_EVIDENCE = 5
# Samples after which all counts are halved, so that the histogram adapts to a
# tool that changes.
MAX_SAMPLES = 256
# Assumed duration and probability of return without enough samples.
FALLBACK_SECONDS = 5.0
FALLBACK_RETURN_PROBABILITY = 0.9
# Lower bound of the first bucket, ratio of the bounds of consecutive buckets,
# and number of buckets.
_MIN_SECONDS = 0.01
_GROWTH = math.sqrt(2.0)
_BUCKETS = 48


class Histogram:
    """Pauses of one tool, in buckets that grow by sqrt(2) from 10 ms.

    Attributes:
        counts: Samples per bucket.
        returned: Pauses that ended with the program's next call.
        abandoned: Pauses whose program never continued.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.returned = 0.0
        self.abandoned = 0.0

    def add(self, seconds: float) -> None:
        """Adds a pause that ended with the next call, in seconds."""
        if self.returned >= MAX_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.returned /= 2
            self.abandoned /= 2
        self.counts[_bucket(seconds)] += 1.0
        self.returned += 1.0

    def add_abandoned(self) -> None:
        """Adds a pause whose program did not continue."""
        self.abandoned += 1.0

    def has_evidence(self) -> bool:
        """Returns whether there are enough samples."""
        return self.returned >= MIN_EVIDENCE

    def return_probability(self, elapsed: float) -> float:
        """Returns the probability that a paused program continues.

        Args:
            elapsed: Seconds since the pause began.
        """
        if not self.has_evidence():
            return FALLBACK_RETURN_PROBABILITY
        later = sum(self.counts[_bucket(elapsed) :])
        # The small terms avoid a division by zero.
        return (later + 0.01) / (later + self.abandoned + 0.02)

    def mean_remaining(self, elapsed: float) -> float:
        """Returns the expected remaining seconds of a pause that will end.

        Args:
            elapsed: Seconds since the pause began.
        """
        if not self.has_evidence():
            return max(FALLBACK_SECONDS, elapsed)
        first = _bucket(elapsed)
        later = sum(self.counts[first:])
        if later < 1.0:
            # Longer than all samples: assume that it lasts as long again.
            return max(elapsed, _MIN_SECONDS)
        mean = sum(
            self.counts[index] * _bucket_seconds(index)
            for index in range(first, _BUCKETS)
        )
        return max(mean / later - elapsed, _bucket_seconds(first) / 4)

    def quantile(self, share: float) -> float:
        """Returns the seconds below which this fraction of the pauses lies."""
        if not self.has_evidence():
            return FALLBACK_SECONDS
        wanted = share * sum(self.counts)
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return _MIN_SECONDS * _GROWTH ** (index + 1)
        return _MIN_SECONDS * _GROWTH**_BUCKETS


def _bucket(seconds: float) -> int:
    if seconds <= _MIN_SECONDS:
        return 0
    return min(_BUCKETS - 1, int(math.log(seconds / _MIN_SECONDS, _GROWTH)))


def _bucket_seconds(index: int) -> float:
    return _MIN_SECONDS * _GROWTH ** (index + 0.5)
