"""An eventlet hub in virtual time, and a process's timers on it.

Green threads, events, queues and time-outs run as they do in a process, but
nobody waits: the clock jumps to the next timer. Timers that are due at once
fire in the order in which they were set, so a seed is a schedule.
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
    """A time that sorts by its number where two are equal."""

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
    """Fires timers without waiting for them."""

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


def run(function: Callable[[], Any]) -> Any:
    """Returns what a function returns that runs in virtual time.

    It runs on a thread of its own, since a thread has one hub for good.
    """
    results: list[Any] = []

    def body() -> None:
        hubs.use_hub(VirtualHub)
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
    """One life of a process: whether it runs, stands still or is over."""

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
        """Goes on when the process does; never, once it is over."""
        while self.suspended and not self.dead:
            self.resumed.wait()
            if self.rng is not None:
                # What runs first after a stop is left to chance.
                eventlet.sleep(self.rng.uniform(0.0, 0.002))
        if self.dead:
            raise greenlet.GreenletExit


class ProcessTimers(timers.EventletTimers):
    """The timers of one life of a process.

    Attributes:
        busy: Longest time for which another green thread may hold the loop
            between two turns of one.
    """

    def __init__(
        self, process: VirtualProcess, rng: random.Random, skew: float
    ) -> None:
        self.process = process
        self.rng = rng
        self.skew = skew
        self.busy = 0.0

    def now(self) -> float:
        return hubs.get_hub().time

    def wall_time(self) -> float:
        return self.now() + self.skew

    def sleep(self, seconds: float) -> None:
        self.process.check()
        held = self.rng.random() * self.busy if self.busy else 0.0
        eventlet.sleep(seconds + held)
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
