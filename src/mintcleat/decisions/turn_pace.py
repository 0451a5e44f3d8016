"""The number of running turns up to which the turns of a service stay fast.

Turn times rise with the number of running turns: batches grow, and beyond the
slots turns queue in the engines. Above the point at which programs can't end in
time, more running turns make all of them late and complete no more of them.

Each closed turn is a sample of the time per unit of work together with the
number of turns that ran when it was granted. Because time and load belong
together, samples that arrive half a second late still say which load is too
high, and repeated late samples don't reduce the limit again. So the limit
doesn't oscillate after a step in load, whatever the delay.

A reduction is kept only if turns become faster by at least half of what the
load fell by. Otherwise something else makes them slow, such as a slow engine,
and fewer running turns would only waste the engines.

Handles several thousand closed turns per second: a sample costs a few
additions, and the limit changes once per period.
"""

import math
from typing import NamedTuple

from mintcleat.decisions import concurrency
from mintcleat.decisions import turn_time

# A period ends after this time and number of samples. Fewer samples would let
# single turns move the limit; a longer period would react too late.
PERIOD_SECONDS = 0.1
PERIOD_SAMPLES = 8
# Samples of a period that weigh as much as all periods before it.
_NOISE_SAMPLES = 16
# Lowest limit after a single reduction, as a fraction of the load that was too
# high.
_MIN_REDUCED_FRACTION = 0.7
# The limit rises while the pace is below this fraction of the allowed one.
# Between the two it is kept, so that it settles.
_RAISE_BELOW_FRACTION = 0.85
_RAISE_FACTOR = 1.05
# Load of the samples, as a fraction of the limit, from which they show what
# happens at the limit. Without it, the limit would rise before samples at the
# last increase have arrived.
_USED_FRACTION = 0.9
# Load after a reduction, as a fraction of that before, from which on the
# comparison of their times is meaningful.
_COMPARED_FRACTION = 0.85
# Periods after a reduction until its effect is judged, as the moving average
# follows with a delay.
_COMPARED_PERIODS = 3
# Smallest relative fall of the pace, per relative fall of the load, that keeps
# a reduction.
_CAUSE_FRACTION = 0.5
# After a reduction that did not help, the limit is not reduced again until the
# pace is worse by this factor, or for this time. The time doubles with each
# further one.
_WORSE_FACTOR = 1.25
_HOLD_SECONDS = 5.0
_MAX_HOLD_SECONDS = 60.0
# Relative increase of the time at low load per period, so that a faster speed
# that the engines no longer have is forgotten.
_BASE_DRIFT = 0.0002


class Period(NamedTuple):
    """Mean of the samples of a period.

    Attributes:
        level: Turns that ran when the sampled turns were granted.
        pace: Seconds per unit of work.
    """

    level: float
    pace: float


class PaceLimit:
    """Limit of running turns by the time that turns take.

    Attributes:
        limit: Running turns at which turns are fast enough; inf if no load
            has been too high yet.
        base: Fastest pace seen, in seconds per unit of work; 0 before any
            sample.
        pace: Current seconds per unit of work; 0 before any sample.
        curve: Pace over the load, as a fraction of the capacity, of the periods
            without a limit.
        reduced: Load and pace before the last reduction, until its effect is
            known.
        held: Load and pace at which a reduction did not help; None if
            reductions are not held back.
        held_until: Until when they are.
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self.base = 0.0
        self.pace = 0.0
        self.curve = turn_time.Line()
        self.reduced: Period | None = None
        self.held: Period | None = None
        self.held_until = -math.inf
        # Time for which reductions are held back after the next useless one.
        self._hold_seconds = _HOLD_SECONDS
        # Periods since the last reduction took effect.
        self._periods_after = 0
        # Limit before that reduction.
        self._limit_before = math.inf
        # Sums over the samples of the current period, which began at `_since`.
        self._since = -math.inf
        self._count = 0
        self._seconds = 0.0
        self._units = 0.0
        self._levels = 0

    def slowdown(self) -> float:
        """Returns the current pace as a multiple of the fastest one."""
        return self.pace / self.base if self.base else 1.0

    def observe(
        self,
        seconds: float,
        units: float,
        level: int,
        capacity: float,
        allowed: float,
        now: float,
    ) -> None:
        """Adds the sample of a closed turn.

        Args:
            seconds: Time from its grant to its end.
            units: Its work; greater than 0.
            level: Turns that ran when it was granted, itself included.
            capacity: Upper bound of the limit, by slots and memory.
            allowed: Pace at which programs still end in time, in seconds per
                unit; 0 if it isn't known, inf if programs end in time.
            now: The current time in seconds.
        """
        if not self._count:
            self._since = now
        self._count += 1
        self._seconds += seconds
        self._units += units
        self._levels += level
        if (
            self._count >= PERIOD_SAMPLES
            and now - self._since >= PERIOD_SECONDS
        ):
            self._end_period(capacity, allowed, now)

    def _end_period(self, capacity: float, allowed: float, now: float) -> None:
        current = self._average_period(capacity)
        allowed = allowed or self.base * concurrency.MAX_SLOWDOWN
        self._judge_reduction(current, now)
        if self.pace > allowed:
            if not self._is_held(now):
                self._reduce(current, allowed / self.pace, capacity)
        elif (
            self.pace < allowed * _RAISE_BELOW_FRACTION
            and current.level >= self.limit * _USED_FRACTION
        ):
            self.limit *= _RAISE_FACTOR
            if self.limit >= capacity:
                self.limit = math.inf

    def at_capacity(self) -> float:
        """Returns the pace expected at full capacity; 0 if unknown.

        It follows from the load alone. The current pace may have other causes,
        such as caches that are cold after an outage.
        """
        fitted = self.curve.fit()
        return sum(fitted) if fitted is not None else 0.0

    def _average_period(self, capacity: float) -> Period:
        """Adds the period to the averages and begins the next one.

        Returns:
            The mean level of the period, and the moving average of the pace.
        """
        sample = Period(self._levels / self._count, self._seconds / self._units)
        weight = self._count / (self._count + _NOISE_SAMPLES)
        if math.isinf(self.limit) and math.isfinite(capacity):
            self.curve.add(sample.level / capacity, sample.pace)
        self._count = self._levels = 0
        self._seconds = self._units = 0.0
        if not self.pace:
            self.pace = self.base = sample.pace
        self.pace += (sample.pace - self.pace) * weight
        self.base = min(self.base * (1 + _BASE_DRIFT), self.pace)
        return Period(sample.level, self.pace)

    def _judge_reduction(self, current: Period, now: float) -> None:
        """Undoes a reduction that did not make turns faster."""
        before = self.reduced
        if before is None:
            return
        if current.level > before.level * _COMPARED_FRACTION:
            # These turns were granted before the reduction.
            self.reduced = before._replace(pace=max(before.pace, current.pace))
            self._periods_after = 0
            return
        self._periods_after += 1
        if self._periods_after < _COMPARED_PERIODS:
            return
        self.reduced = None
        fall = 1.0 - current.level / before.level
        if current.pace > before.pace * (1.0 - _CAUSE_FRACTION * fall):
            self.limit = self._limit_before
            self.held = before
            self.held_until = now + self._hold_seconds
            self._hold_seconds = min(_MAX_HOLD_SECONDS, 2 * self._hold_seconds)
        else:
            self._hold_seconds = _HOLD_SECONDS

    def _is_held(self, now: float) -> bool:
        held = self.held
        if held is None:
            return False
        if now >= self.held_until or self.pace > held.pace * _WORSE_FACTOR:
            self.held = None
        return self.held is not None

    def _reduce(self, current: Period, factor: float, capacity: float) -> None:
        floor = max(1.0, capacity * concurrency.MIN_CAPACITY_FRACTION)
        limit = max(floor, current.level * max(factor, _MIN_REDUCED_FRACTION))
        if limit >= min(self.limit, capacity):
            return
        if self.reduced is None:
            self.reduced = current
            self._limit_before = self.limit
        self.limit = limit
