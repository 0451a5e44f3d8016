"""Timers on eventlet, and timers in virtual time for tests."""

from collections.abc import Callable
import heapq
import itertools
import math
import random
import time

import eventlet
from loguru import logger

from mintcleat.adapters import green_threads

# Longer periods are not aligned: the calls are rare, and a common time would
# let all processes of a host do the same work at once.
_MAX_ALIGNED_SECONDS = 1.0
# Least time between two calls of an aligned callback, as a part of its period.
_MIN_PERIOD_FRACTION = 0.1
# Times at which callbacks are due are multiples of this, unless their period is
# much shorter. Multiples of 0.15 or 0.25 s would seldom coincide with those of
# 0.1 s.
_GRID_SECONDS = 0.1
# Bound on errors of floating-point numbers, in periods.
_ROUNDING = 1e-6
# Clock reading from which multiples of periods count. It is random, so that the
# processes of one host do not wake up at the same time.
_PHASE = random.uniform(0.0, _MAX_ALIGNED_SECONDS)


class EventletSubscription:
    """A scheduled callback of `EventletTimers`."""

    def __init__(self) -> None:
        self.active = True
        self.thread: eventlet.greenthread.GreenThread | None = None

    def cancel(self) -> None:
        """Prevents further calls; cancelling again has no effect.

        A one-time callback that has not started is removed from the hub, so
        that cancelled long timers do not use memory.
        """
        self.active = False
        if self.thread is not None:
            self.thread.cancel()


class EventletTimers:
    """Implements `ports.timers.Timers` on the eventlet loop."""

    def now(self) -> float:
        """Returns the seconds of a monotonic clock that includes suspension.

        CLOCK_MONOTONIC stops while the machine is suspended. After resuming, a
        leader would consider its expired lease valid and answer reads without
        the writes of a new leader.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Returns the Unix time in seconds."""
        return time.time()

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> EventletSubscription:
        """Calls `callback` once, in `seconds` from now."""
        subscription = EventletSubscription()
        subscription.thread = eventlet.spawn_after(
            seconds, self._run_once, subscription, callback
        )
        return subscription

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> EventletSubscription:
        """Calls `callback` every `seconds`, first after one period."""
        subscription = EventletSubscription()
        eventlet.spawn(self._repeat, subscription, seconds, callback)
        return subscription

    def sleep(self, seconds: float) -> None:
        """Suspends the calling green thread."""
        eventlet.sleep(seconds)

    def sleep_to_next(self, period: float) -> float:
        """Suspends the calling green thread for about `period`."""
        return self._sleep_measured(period)

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function in a green thread; see `green_threads.spawn`."""
        green_threads.spawn(function, *args)

    def _sleep_measured(self, seconds: float) -> float:
        """Sleeps; returns by how many seconds it took too long."""
        due = self.now() + seconds
        self.sleep(seconds)
        return max(0.0, self.now() - due)

    def _run_once(
        self, subscription: EventletSubscription, callback: Callable[[], None]
    ) -> None:
        if subscription.active:
            subscription.active = False
            _run_and_log(callback)

    def _repeat(
        self,
        subscription: EventletSubscription,
        seconds: float,
        callback: Callable[[], None],
    ) -> None:
        while True:
            eventlet.sleep(self._seconds_to_next(seconds))
            if not subscription.active:
                return
            _run_and_log(callback)

    def _seconds_to_next(self, period: float) -> float:
        """Returns the seconds to wait before the next call."""
        return period


class AlignedTimers(EventletTimers):
    """Timers whose periodic callbacks are due at common times.

    Callbacks are due at multiples of their period, rounded up to the next
    multiple of `_GRID_SECONDS`, so that several of them share one wakeup of the
    process. A process that wakes up from idle runs Python code several times
    slower than usual, because other processes have replaced its data in the
    CPU's caches.
    """

    def sleep_to_next(self, period: float) -> float:
        """Suspends the calling green thread until a multiple of `period`."""
        return self._sleep_measured(seconds_to_next(period))

    def _seconds_to_next(self, period: float) -> float:
        return seconds_to_next(period)


def seconds_to_next(period: float) -> float:
    """Returns the seconds until the next multiple of a short period.

    The multiple is rounded up to the grid. A long period is returned as it is.
    """
    if period > _MAX_ALIGNED_SECONDS:
        return period
    now = time.monotonic() - _PHASE
    # A callback that runs a little early or very late is not repeated at once.
    earliest = now + _MIN_PERIOD_FRACTION * period
    # The multiple before now may still be due, as it is rounded up to the grid.
    due = math.floor(now / period + _ROUNDING) * period
    while (at := _on_grid(due, period)) <= earliest:
        due += period
    return at - now


def _on_grid(due: float, period: float) -> float:
    """Returns a time rounded up to the grid, except for a short period."""
    if period < _GRID_SECONDS / 2:
        return due
    return math.ceil(due / _GRID_SECONDS - _ROUNDING) * _GRID_SECONDS


def _run_and_log(callback: Callable[[], None]) -> None:
    """Runs a callback; logs its exception, so that the loop continues."""
    try:
        callback()
    except Exception:
        logger.exception("A timer callback failed.")


class VirtualSubscription:
    """A scheduled callback of `VirtualTimers`.

    Attributes:
        period: Seconds between calls; 0 for a one-time callback.
    """

    def __init__(self, callback: Callable[[], None], period: float) -> None:
        self.callback = callback
        self.period = period
        self.active = True

    def cancel(self) -> None:
        """Prevents further calls; cancelling again has no effect."""
        self.active = False


class VirtualTimers:
    """Timers in virtual time, which advances only on request.

    There are no green threads: callbacks run within `advance`.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.clock = start
        self.queue: list[tuple[float, int, VirtualSubscription]] = []
        self.numbers = itertools.count()

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock

    def wall_time(self) -> float:
        """Returns the virtual time as Unix time in seconds."""
        return self.clock

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> VirtualSubscription:
        """Calls `callback` once, in `seconds` from now."""
        return self._add(seconds, VirtualSubscription(callback, 0.0))

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> VirtualSubscription:
        """Calls `callback` every `seconds`, first after one period."""
        return self._add(seconds, VirtualSubscription(callback, seconds))

    def sleep(self, seconds: float) -> None:
        """Advances virtual time and runs due callbacks."""
        self.advance(seconds)

    def sleep_to_next(self, period: float) -> float:
        """Advances virtual time by `period`, never too long; returns 0."""
        self.advance(period)
        return 0.0

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function when virtual time next advances."""
        self.after(0.0, lambda: function(*args))

    def advance(self, seconds: float) -> None:
        """Advances virtual time and runs due callbacks in order."""
        end = self.clock + seconds
        while self.queue and self.queue[0][0] <= end:
            due, _, subscription = heapq.heappop(self.queue)
            self.clock = max(self.clock, due)
            if not subscription.active:
                continue
            if subscription.period > 0:
                self._add(subscription.period, subscription)
            else:
                subscription.active = False
            subscription.callback()
        self.clock = end

    def _add(
        self, seconds: float, subscription: VirtualSubscription
    ) -> VirtualSubscription:
        entry = (self.clock + seconds, next(self.numbers), subscription)
        heapq.heappush(self.queue, entry)
        return subscription
