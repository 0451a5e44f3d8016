"""An eventlet hub in virtual time, and simulated processes on it.

Green threads, events, queues and timeouts behave as in a real process, but the
clock jumps to the next timer instead of waiting. Timers that are due at the
same time fire in the order in which they were set, so that a random seed
determines the schedule.
"""

from collections.abc import Callable
import itertools
import random
from typing import Any

import eventlet
from eventlet import hubs
from eventlet import patcher
from eventlet.hubs import hub
import greenlet

from mintcleat.adapters import timers

_threading = patcher.original("threading")
START = 1000.0


class _Due(float):
    """A due time; equal times are ordered by their number."""

    def __new__(cls, value: float, number: int) -> "_Due":
        due = super().__new__(cls, value)
        due.number = number
        return due

    def __eq__(self, other: object) -> bool:
        return self is other

    def __lt__(self, other: float) -> bool:
        mine, theirs = float(self), float(other)
        if mine != theirs:
            return mine < theirs
        return self.number < getattr(other, "number", 0)

    __hash__ = float.__hash__


class VirtualHub(hub.BaseHub):
    """A hub that advances its clock instead of waiting."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.time = START
        self.numbers = itertools.count()
        super().__init__(lambda: self.time)

    def add_timer(self, timer: Any) -> float:
        due = _Due(self.time + timer.seconds, next(self.numbers))
        self.next_timers.append((due, timer))
        return due

    def wait(self, seconds: float | None = None) -> None:
        self.time += max(0.0, seconds or 0.0)


def run(function: Callable[[], Any], hub: Any = None) -> Any:
    """Runs a function in virtual time and returns its result.

    It runs on a new thread, because the hub of a thread cannot be replaced.

    Args:
        function: What to run.
        hub: Class of the thread's hub; None for one in virtual time.
    """
    results: list[Any] = []

    def body() -> None:
        hubs.use_hub(hub or VirtualHub)
        try:
            results.append((function(), None))
        except BaseException as error:
            results.append((None, error))

    thread = _threading.Thread(target=body)
    thread.start()
    thread.join()
    value, error = results[0]
    if error is not None:
        raise error
    return value


class VirtualProcess:
    """A simulated process, which can be suspended, resumed and killed."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng
        self.dead = False
        self.suspended = False
        self.resumed = eventlet.Event()

    def suspend(self) -> None:
        if not self.suspended:
            self.suspended = True
            self.resumed = eventlet.Event()

    def resume(self) -> None:
        if self.suspended:
            self.suspended = False
            self.resumed.send()

    def kill(self) -> None:
        self.dead = True
        self.resume()

    def check(self) -> None:
        """Blocks while the process is suspended; raises if it was killed.

        Raises:
            greenlet.GreenletExit: The process was killed.
        """
        while self.suspended and not self.dead:
            self.resumed.wait()
            if self.rng is not None:
                # Randomizes which green thread runs first after a suspension.
                eventlet.sleep(self.rng.uniform(0.0, 0.002))
        if self.dead:
            raise greenlet.GreenletExit


class ProcessTimers(timers.EventletTimers):
    """The timers of a simulated process.

    Attributes:
        skew: Difference of the wall clock from virtual time, in seconds.
        max_delay: Maximum random delay of a sleep in seconds, which simulates
            other green threads that occupy the event loop.
    """

    def __init__(
        self, process: VirtualProcess, rng: random.Random, skew: float
    ) -> None:
        self.process = process
        self.rng = rng
        self.skew = skew
        self.max_delay = 0.0

    def now(self) -> float:
        return hubs.get_hub().time

    def wall_time(self) -> float:
        return self.now() + self.skew

    def sleep(self, seconds: float) -> None:
        self.process.check()
        delay = self.rng.random() * self.max_delay if self.max_delay else 0.0
        eventlet.sleep(seconds + delay)
        self.process.check()

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        def body() -> None:
            self.process.check()
            function(*args)

        super().spawn(body)

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> timers.EventletSubscription:
        def body() -> None:
            self.process.check()
            callback()

        return super().after(seconds, body)

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> timers.EventletSubscription:
        subscription = timers.EventletSubscription()

        def repeat() -> None:
            while True:
                self.sleep(seconds)
                if not subscription.active:
                    return
                callback()

        self.spawn(repeat)
        return subscription
