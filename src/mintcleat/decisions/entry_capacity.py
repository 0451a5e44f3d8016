"""Whether an entry takes requests, by its own load.

Load: an entry of few cores gets more requests than it can parse and relay, as
in a burst or after the loss of other entries; or callers read their responses
slowly, so that connections and buffers pile up.

Harm prevented: each request that an entry takes makes all its requests slower,
and a process that exceeds its memory or runs out of file descriptors loses all
of them. Refusing some at once keeps the others in time, and the refused callers
use another entry.

A busy entry refuses requests that begin something, so that programs in progress
can end; a full one refuses all. A higher level is entered at once and left only
after some time below a lower threshold. That time doubles whenever the entry
gets busy again soon after, because the requests that it took back then were too
many.
"""

from collections import deque
import enum
from typing import NamedTuple

# Fractions of a limit at which a level is entered, and below which it is left.
# The rest is for requests in flight, which continue to grow.
_BUSY_FRACTION = 0.85
_FULL_FRACTION = 0.95
_NOT_BUSY_FRACTION = 0.75
_NOT_FULL_FRACTION = 0.85
# The same for the seconds by which the event loop runs late. A request waits
# for it several times. Callers expect a refusal within a quarter of their
# target latency, which is about a second.
_BUSY_LAG_SECONDS = 0.2
_FULL_LAG_SECONDS = 0.8
_NOT_BUSY_LAG_SECONDS = 0.1
_NOT_FULL_LAG_SECONDS = 0.4
# The loop counts as late if it was so in each of this many measurements. One
# late measurement is a stall of the process, which refusals would not shorten.
_LAG_SAMPLES = 3
# Time below the lower thresholds after which a level is left.
_MIN_CALM_SECONDS = 1.0
_MAX_CALM_SECONDS = 16.0
# An entry that gets busy again within this multiple of that time has returned
# to the lower level too early.
_RELAPSE_FACTOR = 4.0
# Lower bound of the time after which refused callers should retry. The health
# checks of a load balancer don't return an entry to use any sooner.
_MIN_RETRY_SECONDS = 0.5

EVENT_LOOP = "event loop"
MEMORY = "memory"
DESCRIPTORS = "file descriptors"


class Level(enum.IntEnum):
    """How much an entry refuses."""

    NORMAL = 0
    BUSY = 1
    FULL = 2


class Limits(NamedTuple):
    """What the process may use; 0 for no limit.

    Attributes:
        memory_bytes: Resident memory.
        descriptors: Open file descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0


UNLIMITED = Limits()


class Usage(NamedTuple):
    """A measurement of the process.

    Attributes:
        lag_seconds: How late the event loop ran a timer.
        memory_bytes: Resident memory.
        descriptors: Open file descriptors.
        in_flight: Requests without a complete response.
    """

    lag_seconds: float
    memory_bytes: int
    descriptors: int
    in_flight: int


class Change(NamedTuple):
    """A change of the level.

    Attributes:
        level: The new level.
        reason: What entered it or, on the way down, what has ended:
            `EVENT_LOOP`, `MEMORY` or `DESCRIPTORS`.
        seconds: Time spent at the previous level.
    """

    level: Level
    reason: str
    seconds: float


class EntryCapacity:
    """Decides which requests an entry takes.

    Times are monotonic, in seconds.

    Attributes:
        limits: Limits of the process.
        level: The current level; NORMAL until `update` is called.
        reason: What entered the current level; empty at NORMAL.
        memory_floor: Memory that the process holds without any request, if
            that had counted as busy. Memory is often not returned to the
            system, and refusing requests can't reduce it further.
        changed_at: When the level last changed; None before any measurement.
        normal_at: When NORMAL was last entered from a higher level.
        calm_since: Since when all measurements have been below the level; None
            if the last one was not.
        calm_seconds: Time below the level after which it is left.
        lags: The last measurements of the event loop's lag in seconds.
    """

    def __init__(self, limits: Limits = UNLIMITED) -> None:
        self.limits = limits
        self.level = Level.NORMAL
        self.reason = ""
        self.memory_floor = 0
        self.changed_at: float | None = None
        self.normal_at = -_MAX_CALM_SECONDS * _RELAPSE_FACTOR
        self.calm_since: float | None = None
        self.calm_seconds = _MIN_CALM_SECONDS
        self.lags: deque[float] = deque(maxlen=_LAG_SAMPLES)

    def takes(self, continues: bool) -> bool:
        """Returns whether to take a request.

        Args:
            continues: Whether it continues a program.
        """
        if self.level is Level.NORMAL:
            return True
        return self.level is Level.BUSY and continues

    def retry_after(self, now: float) -> float:
        """Returns the seconds after which a refused caller should retry."""
        calm = 0.0 if self.calm_since is None else now - self.calm_since
        return max(_MIN_RETRY_SECONDS, self.calm_seconds - calm)

    def update(self, usage: Usage, now: float) -> Change | None:
        """Takes a measurement; returns the change of the level, if any."""
        if self.changed_at is None:
            self.changed_at = now
        self.lags.append(usage.lag_seconds)
        if self.level is not Level.NORMAL and usage.in_flight == 0:
            self.memory_floor = usage.memory_bytes
        entered, reason = self._entered(usage)
        if entered > self.level:
            if self.level is Level.NORMAL:
                self._set_calm_seconds(now)
            return self._change(entered, reason, now)
        if self.level is Level.NORMAL:
            return None
        if not self._is_calm(usage):
            self.calm_since = None
            return None
        if self.calm_since is None:
            self.calm_since = now
        if now - self.calm_since < self.calm_seconds:
            return None
        return self._change(Level(self.level - 1), self.reason, now)

    def _change(self, level: Level, reason: str, now: float) -> Change:
        since = now if self.changed_at is None else self.changed_at
        change = Change(level, reason, now - since)
        self.level = level
        self.reason = reason
        self.changed_at = now
        self.calm_since = None
        if level is Level.NORMAL:
            self.normal_at = now
            self.reason = ""
        return change

    def _set_calm_seconds(self, now: float) -> None:
        """Doubles `calm_seconds` if NORMAL was short, or else resets it."""
        if now - self.normal_at < _RELAPSE_FACTOR * self.calm_seconds:
            self.calm_seconds = min(_MAX_CALM_SECONDS, 2 * self.calm_seconds)
        else:
            self.calm_seconds = _MIN_CALM_SECONDS

    def _fractions(self, usage: Usage) -> dict[str, float]:
        """Returns the used fractions of the limits."""
        fractions = {}
        room = self.limits.memory_bytes - self.memory_floor
        if room > 0:
            used = usage.memory_bytes - self.memory_floor
            fractions[MEMORY] = used / room
        if self.limits.descriptors > 0:
            fractions[DESCRIPTORS] = usage.descriptors / self.limits.descriptors
        return fractions

    def _entered(self, usage: Usage) -> tuple[Level, str]:
        """Returns the level that a measurement enters, and its reason."""
        level, reason = Level.NORMAL, ""
        if len(self.lags) == _LAG_SAMPLES:
            lag = min(self.lags)
            level = _level(lag, _BUSY_LAG_SECONDS, _FULL_LAG_SECONDS)
            reason = EVENT_LOOP
        for name, fraction in self._fractions(usage).items():
            found = _level(fraction, _BUSY_FRACTION, _FULL_FRACTION)
            if found > level:
                level, reason = found, name
        return level, reason

    def _is_calm(self, usage: Usage) -> bool:
        """Returns whether a measurement is below the current level."""
        is_full = self.level is Level.FULL
        max_lag = _NOT_FULL_LAG_SECONDS if is_full else _NOT_BUSY_LAG_SECONDS
        fraction = _NOT_FULL_FRACTION if is_full else _NOT_BUSY_FRACTION
        # A single stall among the measurements doesn't count here either.
        lag = sorted(self.lags)[len(self.lags) // 2]
        return lag < max_lag and all(
            used < fraction for used in self._fractions(usage).values()
        )


def _level(value: float, busy: float, full: float) -> Level:
    if value >= full:
        return Level.FULL
    return Level.BUSY if value >= busy else Level.NORMAL
