"""The timer service: on eventlet, and on virtual time for tests."""

from collections.abc import Callable
import heapq
import itertools
import time

import eventlet
from loguru import logger


class EventletSubscription:
    """A pending callback of `EventletTimers`."""

    def __init__(self) -> None:
        self.active = True
        self.thread: eventlet.greenthread.GreenThread | None = None

    def cancel(self) -> None:
        """Stops further callbacks; safe to repeat.

        A callback that has not begun is taken off the hub, so that long
        timers which are rarely due hold no memory.
        """
        self.active = False
        if self.thread is not None:
            self.thread.cancel()


class EventletTimers:
    """Real time on the one eventlet loop."""

    def now(self) -> float:
        """Returns monotonic seconds, time in suspension included.

        The plain monotonic clock stands still while a machine is suspended.
        A leader that wakes would take a lease for valid that ended long ago,
        and answer reads that a new leader's writes have overtaken.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_time(self) -> float:
        """Returns seconds since 1970."""
        return time.time()

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> EventletSubscription:
        """Calls back once, `seconds` from now."""
        subscription = EventletSubscription()
        subscription.thread = eventlet.spawn_after(
            seconds, self._fire, subscription, callback
        )
        return subscription

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> EventletSubscription:
        """Calls back each `seconds`, first after one period."""
        subscription = EventletSubscription()
        eventlet.spawn(self._repeat, subscription, seconds, callback)
        return subscription

    def sleep(self, seconds: float) -> None:
        """Suspends the calling green thread."""
        eventlet.sleep(seconds)

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs the function in a green thread of its own."""
        eventlet.spawn(_guarded, function, *args)

    def _fire(
        self, subscription: EventletSubscription, callback: Callable[[], None]
    ) -> None:
        if subscription.active:
            subscription.active = False
            _guarded(callback)

    def _repeat(
        self,
        subscription: EventletSubscription,
        seconds: float,
        callback: Callable[[], None],
    ) -> None:
        while True:
            eventlet.sleep(seconds)
            if not subscription.active:
                return
            _guarded(callback)


def _guarded(function: Callable[..., None], *args: object) -> None:
    """Runs a callback; its failure is logged and must not end the loop."""
    try:
        function(*args)
    except Exception:
        logger.exception("A timer callback or green thread failed.")


class VirtualSubscription:
    """A pending callback of `VirtualTimers`."""

    def __init__(self, callback: Callable[[], None], period: float) -> None:
        self.callback = callback
        self.period = period
        self.active = True

    def cancel(self) -> None:
        """Stops further callbacks; safe to repeat."""
        self.active = False


class VirtualTimers:
    """Time that moves only when a test says so; no green threads."""

    def __init__(self, start: float = 1000.0) -> None:
        self.clock = start
        self.queue: list[tuple[float, int, VirtualSubscription]] = []
        self.numbers = itertools.count()

    def now(self) -> float:
        """Returns virtual monotonic seconds."""
        return self.clock

    def wall_time(self) -> float:
        """Returns virtual seconds since 1970."""
        return self.clock

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> VirtualSubscription:
        """Calls back once, `seconds` from now."""
        return self._add(seconds, VirtualSubscription(callback, 0.0))

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> VirtualSubscription:
        """Calls back each `seconds`, first after one period."""
        return self._add(seconds, VirtualSubscription(callback, seconds))

    def sleep(self, seconds: float) -> None:
        """Moves virtual time on, running what comes due."""
        self.advance(seconds)

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs the function when time next moves."""
        self.after(0.0, lambda: function(*args))

    def advance(self, seconds: float) -> None:
        """Moves time on and runs every callback that comes due, in order."""
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
