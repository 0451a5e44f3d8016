"""How long the tools of an agent program take, and whether it comes back."""

import math

# Pauses counted before they outweigh the fallback.
MIN_EVIDENCE = 5
# Pauses remembered; older ones fade, so a tool that changes is learned anew.
MEMORY = 256
# What is assumed of an unknown tool.
FALLBACK_SECONDS = 5.0
FALLBACK_RETURN = 0.9
_FIRST = 0.01
_STEP = math.sqrt(2.0)
_BUCKETS = 48


class Histogram:
    """Pauses of one tool in buckets that grow by sqrt(2) from 10 ms."""

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.returned = 0.0
        self.gone = 0.0

    def add(self, seconds: float) -> None:
        """Counts a pause that ended with the next call."""
        if self.returned >= MEMORY:
            self.counts = [count / 2 for count in self.counts]
            self.returned /= 2
            self.gone /= 2
        self.counts[_bucket(seconds)] += 1.0
        self.returned += 1.0

    def add_gone(self) -> None:
        """Counts a program that did not come back."""
        self.gone += 1.0

    def known(self) -> bool:
        """Tells whether there is evidence enough."""
        return self.returned >= MIN_EVIDENCE

    def chance(self, elapsed: float) -> float:
        """Returns the chance that a program paused so long comes back."""
        if not self.known():
            return FALLBACK_RETURN
        later = sum(self.counts[_bucket(elapsed) :])
        return (later + 0.01) / (later + self.gone + 0.02)

    def left(self, elapsed: float) -> float:
        """Returns the expected rest of a pause, if it ends at all."""
        if not self.known():
            return max(FALLBACK_SECONDS, elapsed)
        first = _bucket(elapsed)
        later = sum(self.counts[first:])
        if later < 1.0:
            # Longer than all seen: as much again is the best guess.
            return max(elapsed, _FIRST)
        mean = sum(
            self.counts[index] * _middle(index)
            for index in range(first, _BUCKETS)
        )
        return max(mean / later - elapsed, _middle(first) / 4)

    def quantile(self, share: float) -> float:
        """Returns the pause that this share of all stays under."""
        if not self.known():
            return FALLBACK_SECONDS
        wanted = share * sum(self.counts)
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return _FIRST * _STEP ** (index + 1)
        return _FIRST * _STEP**_BUCKETS


def _bucket(seconds: float) -> int:
    if seconds <= _FIRST:
        return 0
    return min(_BUCKETS - 1, int(math.log(seconds / _FIRST, _STEP)))


def _middle(index: int) -> float:
    return _FIRST * _STEP ** (index + 0.5)
