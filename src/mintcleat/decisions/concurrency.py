"""Adaptive concurrency limit of one upstream.

The capacity that an upstream announces can be wrong or change (a plain service
with a slow database, an engine beside a noisy neighbour). Too many concurrent
calls slow down every answer without raising throughput; too few leave the
upstream idle while calls queue.
"""

from mintcleat.decisions import calls

MIN_LIMIT = 1
# Lowest limit as a fraction of the capacity. An upstream that is slow even
# there isn't overloaded, so a lower limit would not help; its latency becomes
# the new baseline.
MIN_CAPACITY_FRACTION = 1 / 8
# Tolerated seconds per token as a multiple of the best. A batching engine slows
# down per call as it fills, and its throughput rises up to about this point.
MAX_SLOWDOWN = 3.0
# Factors on the limit after slow calls and after failures. Failures are a
# stronger sign of overload.
_SLOW_FACTOR = 0.9
_FAILURE_FACTOR = 0.7
# Relative increase of the baseline per round of calls. Otherwise one unusually
# fast sample, or a speed that the upstream no longer has, would keep the limit
# low for ever.
_BEST_DRIFT = 0.0005
# Weight of a new sample in the moving average.
_SMOOTHING = 1 / 8


class Limit:
    """Concurrency limit by additive increase and multiplicative decrease.

    Attributes:
        capacity: Concurrent calls that the upstream announced; upper bound.
        limit: The current limit, with a fraction.
        best_token_time: Baseline of seconds per token.
        token_time: Moving average of seconds per token.
        reduced_at: When the limit was last reduced.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = max(MIN_LIMIT, capacity)
        self.limit = float(self.capacity)
        self.best_token_time = 0.0
        self.token_time = 0.0
        self.reduced_at = 0.0

    def current(self) -> int:
        """Returns the number of concurrent calls that are allowed."""
        return max(MIN_LIMIT, int(self.limit))

    def resize(self, capacity: int) -> None:
        """Sets the announced capacity; a change resets the limit to it."""
        capacity = max(MIN_LIMIT, capacity)
        if capacity != self.capacity:
            self.capacity = capacity
            self.limit = float(capacity)

    def observe(self, outcome: calls.Outcome, running: int, now: float) -> None:
        """Adjusts the limit after a call ended.

        Args:
            outcome: How the call ended.
            running: Concurrent calls at its end, itself included.
            now: The current time in seconds.
        """
        if not outcome.ok:
            self._reduce(_FAILURE_FACTOR, now, outcome.seconds)
            return
        tokens = max(1, outcome.generated)
        sample = (outcome.seconds - outcome.first_token) / tokens
        if self.best_token_time == 0.0:
            self.best_token_time = self.token_time = sample
        self.token_time += (sample - self.token_time) * _SMOOTHING
        self.best_token_time += (
            self.best_token_time * _BEST_DRIFT / max(1, running)
        )
        self.best_token_time = min(self.best_token_time, self.token_time)
        if self.token_time > MAX_SLOWDOWN * self.best_token_time:
            self._reduce(_SLOW_FACTOR, now, outcome.seconds)
        elif running >= self.current():
            self.limit = min(self.capacity, self.limit + 1 / self.limit)

    def _reduce(self, factor: float, now: float, seconds: float) -> None:
        # At most one reduction per round of calls, as all calls that were
        # running during one slow moment report it.
        if now - self.reduced_at < seconds:
            return
        self.reduced_at = now
        floor = max(MIN_LIMIT, self.capacity * MIN_CAPACITY_FRACTION)
        self.limit = max(floor, self.limit * factor)
        if self.limit == floor:
            self.best_token_time = self.token_time
