"""How many calls one upstream takes at once, learned.

Made for upstreams that publish a capacity that is wrong or changes (a plain
service with a slow database, an engine beside a noisy neighbour). Too many
calls at once stretch every answer without raising throughput; too few leave
the upstream idle while callers wait in the queue.
"""

from mintcleat.decisions import calls

MIN_LIMIT = 1
# Cut to this part of the capacity and still slow, the upstream is slow by
# itself; fewer calls would not mend it. The pace found there is the new best.
FLOOR = 1 / 8
# Latency may grow to this multiple of the best one seen: a batching engine
# slows per call as it fills, and gains throughput until about here.
TOLERANCE = 3.0
# Failures tell of overload harder than slowness does.
_SLOW_CUT = 0.9
_FAILURE_CUT = 0.7
# The best pace is forgotten at this rate per round of calls, so that one lucky
# sample, or a faster past, does not hold the limit down for ever.
_FORGET = 0.0005
_GAIN = 1 / 8


class Limit:
    """Additive increase, multiplicative decrease on seconds per token."""

    def __init__(self, capacity: int) -> None:
        self.capacity = max(MIN_LIMIT, capacity)
        self.value = float(self.capacity)
        self.best = 0.0
        self.pace = 0.0
        self.cut_at = 0.0

    def current(self) -> int:
        """Returns the calls allowed at once."""
        return max(MIN_LIMIT, int(self.value))

    def resize(self, capacity: int) -> None:
        """Takes a capacity that the upstream announced anew."""
        capacity = max(MIN_LIMIT, capacity)
        if capacity != self.capacity:
            self.capacity = capacity
            self.value = float(capacity)

    def observe(self, outcome: calls.Outcome, running: int, now: float) -> None:
        """Learns from one ended call; `running` counts it."""
        if not outcome.ok:
            self._cut(_FAILURE_CUT, now, outcome.seconds)
            return
        work = max(1, outcome.generated)
        sample = (outcome.seconds - outcome.first_token) / work
        if self.best == 0.0:
            self.best = self.pace = sample
        self.pace += (sample - self.pace) * _GAIN
        self.best += self.best * _FORGET / max(1, running)
        self.best = min(self.best, self.pace)
        if self.pace > TOLERANCE * self.best:
            self._cut(_SLOW_CUT, now, outcome.seconds)
        elif running >= self.current():
            self.value = min(self.capacity, self.value + 1 / self.value)

    def _cut(self, factor: float, now: float, seconds: float) -> None:
        # One cut per round of calls: all calls that overlapped one slow
        # moment report it, and must not cut for it one by one.
        if now - self.cut_at < seconds:
            return
        self.cut_at = now
        floor = max(MIN_LIMIT, self.capacity * FLOOR)
        self.value = max(floor, self.value * factor)
        if self.value == floor:
            self.best = self.pace
