"""Times in which a leader handled no messages, though there were some.

A leader whose process is stopped, or that is cut off from the entries, finds
after it that no waiting turn has asked again, that all entries were silent and
all reports are old. If it acted on that, it would drop the queue, refuse the
turns that had waited for it, and grant the slots of turns that run.

The process is known to run while its messages or its timer are handled. A time
without both is a pause. A leader that is cut off has its timer, but hears
nothing from turns that should ask again.

All operations take constant time.
"""

import collections
from typing import NamedTuple

# Time between two calls of the timer, in seconds: the longest time between two
# asks of a waiting turn. A shorter pause delays no ask by more than another.
TICK_SECONDS = 0.1
# Time without messages and timer that is a pause: one call was missed.
MIN_PAUSE_SECONDS = 2 * TICK_SECONDS
# Pauses that are remembered. Reports and waiting turns of before the oldest are
# out of date.
MAX_PAUSES = 8


class Pause(NamedTuple):
    """A time without messages; both ends in seconds."""

    since: float
    until: float


class LeaderPauses:
    """The recent pauses of one leader.

    Attributes:
        pauses: The recent pauses, in order; they don't overlap.
        active_at: When a message or the timer was last handled; None before
            the first call of the timer. Nothing is known without a timer.
        seconds: Sum of the pauses since `take_seconds`.
    """

    def __init__(self) -> None:
        self.pauses: collections.deque[Pause] = collections.deque(
            maxlen=MAX_PAUSES
        )
        self.active_at: float | None = None
        self.seconds = 0.0

    def tick(self, now: float) -> None:
        """Records that the timer was called."""
        self.handled(now)
        self.active_at = now

    def handled(self, now: float) -> None:
        """Records that a message is handled."""
        if self.active_at is None:
            return
        if now - self.active_at > MIN_PAUSE_SECONDS:
            self.add(self.active_at, now)
        self.active_at = now

    def add(self, since: float, until: float) -> None:
        """Adds a pause; a part that is known is left out."""
        if self.pauses:
            since = max(since, self.pauses[-1].until)
        if since < until:
            self.pauses.append(Pause(since, until))
            self.seconds += until - since

    def take_seconds(self) -> float:
        """Returns the sum of the pauses since last time."""
        seconds, self.seconds = self.seconds, 0.0
        return seconds

    def within(self, since: float, now: float) -> float:
        """Returns the seconds of pauses within a time."""
        seconds = 0.0
        for pause in reversed(self.pauses):
            if pause.until <= since:
                break
            seconds += min(pause.until, now) - max(pause.since, since)
        return max(0.0, seconds)

    def awake(self, since: float, now: float) -> float:
        """Returns the seconds of a time without those of pauses."""
        if not self.pauses:
            return now - since
        return now - since - self.within(since, now)
