"""An eventlet hub with fewer system calls and wakeups per message.

Differences from eventlet's own hub on epoll:

- Green threads that were spawned or woken without a delay run from a queue,
  in order, and the sockets are polled once for up to `_ROUNDS` rounds of them.
  eventlet puts them on the heap of timers and polls after each round, and a
  commit takes about ten rounds.
- A call without a delay has no timer object of eventlet.
- A file descriptor stays registered for reading while nobody waits for it.
  Its registration ends when data arrives that nobody waits for. eventlet
  registers and removes it for each message.
- A cancelled timer does not end a poll. Most timers are timeouts that are
  cancelled long before they are due.
"""

import collections
import contextlib
import heapq
import select
import sys
from typing import Any

from eventlet.hubs import epolls
from eventlet.hubs import hub
import greenlet

_READ = select.EPOLLIN | select.EPOLLPRI
_WRITE = select.EPOLLOUT
_FAILED = select.EPOLLERR | select.EPOLLHUP
# Rounds of green threads between two polls. A green thread that yields in a
# loop delays arriving data by this many of its steps.
_ROUNDS = 16


class _ReadyCall:
    """A call without a delay; has what users of eventlet's timers need.

    eventlet's own timer takes four calls of Python functions instead of two.

    Attributes:
        hub: The hub that makes the call.
        called: Whether the call was made or cancelled.
    """

    __slots__ = ("args", "callback", "called", "hub")

    def __init__(self, owner: Any, callback: Any, args: Any) -> None:
        self.hub = owner
        self.callback = callback
        self.args = args
        self.called = False

    @property
    def pending(self) -> bool:
        """Whether the call is still to be made."""
        return not self.called

    def cancel(self) -> None:
        """Prevents the call; cancelling again has no effect."""
        if not self.called:
            self.called = True
            self.hub.timer_canceled(self)


class Hub(epolls.Hub):
    """A hub for `eventlet.hubs.use_hub`; one per thread.

    A file descriptor that is not a socket of eventlet must be announced by
    `eventlet.hubs.notify_opened` when it is opened, as its number may have
    been registered for a descriptor that was closed since.

    Attributes:
        ready: Timers without a delay, in the order in which they were set.
        registered: Events that epoll reports, by file descriptor.
        running: Whether `run` is under way.
    """

    def __init__(self, clock: Any = None) -> None:
        super().__init__(clock)
        self.ready: collections.deque[Any] = collections.deque()
        self.registered: dict[int, int] = {}
        self.running = False

    @staticmethod
    def is_available() -> bool:
        """Returns whether the system has epoll."""
        return epolls.is_available()

    # --- Timers ---------------------------------------------------------------

    def schedule_call_global(
        self, seconds: float, cb: Any, *args: Any, **kw: Any
    ) -> Any:
        """Calls a function after a delay; returns a timer."""
        if seconds > 0 or kw:
            return super().schedule_call_global(seconds, cb, *args, **kw)
        call = _ReadyCall(self, cb, args)
        self.ready.append(call)
        return call

    def add_timer(self, added: Any) -> float:
        """Schedules a timer; returns when it is due."""
        if added.seconds > 0:
            return super().add_timer(added)
        self.ready.append(added)
        return 0.0

    def run(self, *args: Any, **kwargs: Any) -> None:
        """Runs until `abort` is called."""
        if self.running:
            raise RuntimeError("The hub is running already.")
        try:
            self.running = True
            self.stopping = False
            while not self.stopping:
                while self.closed:
                    self.close_one()
                if self.next_timers:
                    self.prepare_timers()
                if self.timers:
                    self.fire_timers(self.clock())
                for _ in range(_ROUNDS):
                    if not self.ready:
                        break
                    self._fire_ready()
                self.wait(self._seconds_to_wait())
            self.timers_canceled = 0
            self.timers.clear()
            self.next_timers.clear()
            self.ready.clear()
        finally:
            self.running = False
            self.stopping = False

    def _fire_ready(self) -> None:
        for _ in range(len(self.ready)):
            due = self.ready.popleft()
            if due.called:
                self.timers_canceled -= 1
                continue
            try:
                if due.__class__ is _ReadyCall:
                    due.called = True
                    due.callback(*due.args)
                else:
                    due()
            except self.SYSTEM_EXCEPTIONS:
                raise
            except BaseException:
                self.squelch_timer_exception(due, sys.exc_info())

    def _seconds_to_wait(self) -> float:
        if self.ready or self.closed:
            return 0.0
        if self.next_timers:
            self.prepare_timers()
        # A cancelled timeout would wake up the process when it is due.
        while self.timers and self.timers[0][1].called:
            heapq.heappop(self.timers)
            self.timers_canceled -= 1
        if not self.timers:
            return self.default_sleep()
        return max(0.0, self.timers[0][0] - self.clock())

    def switch(self) -> Any:
        """Suspends the running green thread."""
        current = greenlet.getcurrent()
        loop = self.greenlet
        if loop.dead or current is loop:
            return super().switch()
        if current.parent is not loop and loop.parent is not current:
            # A green thread that ends then continues the hub.
            with contextlib.suppress(ValueError):
                current.parent = loop
        return loop.switch()

    # --- File descriptors -----------------------------------------------------

    def add(
        self,
        evtype: str,
        fileno: int,
        cb: Any,
        tb: Any,
        mark_as_closed: Any,
    ) -> Any:
        """Registers a listener for one file descriptor."""
        listener = hub.BaseHub.add(self, evtype, fileno, cb, tb, mark_as_closed)
        wanted = _READ if evtype == hub.READ else _WRITE
        current = self.registered.get(fileno, 0)
        if not current & wanted:
            self._register(fileno, current | wanted)
        return listener

    def remove(self, listener: Any) -> None:
        """Removes a listener; its descriptor stays registered for reading."""
        if listener.spent:
            return
        hub.BaseHub.remove(self, listener)
        if listener.evtype == hub.WRITE:
            # A socket is writable nearly always and would be reported in each
            # poll.
            with contextlib.suppress(OSError):
                self._limit_to_listeners(listener.fileno)

    def mark_as_reopened(self, fileno: int) -> None:
        """Forgets a closed descriptor of the same number."""
        super().mark_as_reopened(fileno)
        self.registered.pop(fileno, None)

    def remove_descriptor(self, fileno: int) -> None:
        """Removes all listeners of a descriptor."""
        super().remove_descriptor(fileno)
        self.registered.pop(fileno, None)

    def wait(self, seconds: float | None = None) -> None:
        """Polls, and calls the listeners of the descriptors that are ready."""
        reported = self.poll.poll(seconds)
        if not reported:
            return
        readers = self.listeners[hub.READ]
        writers = self.listeners[hub.WRITE]
        found = []
        for fileno, events in reported:
            reader = writer = None
            if events & (_READ | _FAILED):
                reader = readers.get(fileno)
            if events & (_WRITE | _FAILED):
                writer = writers.get(fileno)
            if reader is None and (writer is None or events & _READ):
                self._limit_to_listeners(fileno)
            found.append(reader)
            found.append(writer)
        for listener in found:
            if listener is None:
                continue
            try:
                listener.cb(listener.fileno)
            except self.SYSTEM_EXCEPTIONS:
                raise
            except BaseException:
                self.squelch_exception(listener.fileno, sys.exc_info())

    def _limit_to_listeners(self, fileno: int) -> None:
        """Ends the reports of events that no listener waits for."""
        wanted = 0
        if fileno in self.listeners[hub.READ]:
            wanted |= _READ
        if fileno in self.listeners[hub.WRITE]:
            wanted |= _WRITE
        if wanted:
            self._register(fileno, wanted)
            return
        self.registered.pop(fileno, None)
        # The descriptor may have been closed.
        with contextlib.suppress(OSError, ValueError):
            self.poll.unregister(fileno)

    def _register(self, fileno: int, wanted: int) -> None:
        try:
            self.poll.modify(fileno, wanted)
        except FileNotFoundError:
            self.poll.register(fileno, wanted)
        self.registered[fileno] = wanted
