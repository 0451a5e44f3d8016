"""A thread for the disk, so that the loop never waits for a sync.

A sync takes milliseconds, seconds on a disk that stalls. On the one loop it
would hold every heartbeat and every answer for as long.
"""

import collections
from collections.abc import Callable
import os
import time
from typing import Any

import eventlet
from eventlet import event
from eventlet import hubs
from eventlet import patcher

_threading = patcher.original("threading")
_queue = patcher.original("queue")
_WAKE_BYTES = 4096


class DiskThread:
    """Runs calls in order on one thread; see `ports.wal.DiskWorker`.

    Attributes:
        jobs: Calls that wait for the thread.
        done: Calls that have ended and whose green thread is to be woken.
    """

    def __init__(
        self, observe: Callable[[float], None] = lambda seconds: None
    ) -> None:
        """Starts the thread.

        Args:
            observe: Takes the seconds of each call, waiting included.
        """
        self.observe = observe
        self.closed = False
        self.jobs: Any = _queue.SimpleQueue()
        self.done: collections.deque[tuple[event.Event, Any, bool]] = (
            collections.deque()
        )
        self.wakes, self.wake_end = os.pipe()
        os.set_blocking(self.wakes, False)
        os.set_blocking(self.wake_end, False)
        # The hub may still hold a waiter of an earlier file of this number.
        hubs.notify_opened(self.wakes)
        eventlet.spawn(self._wake_forever)
        self.thread = _threading.Thread(target=self._work_forever, daemon=True)
        self.thread.start()

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Returns what the function returns, or raises what it raises.

        After `close` the call is made on the caller's own thread, once the
        disk's thread has ended: queued there, nobody would ever make it.
        """
        if self.closed:
            self.thread.join()
            return function(*args)
        ended = event.Event()
        began = time.monotonic()
        self.jobs.put((function, args, ended))
        value, failed = ended.wait()
        self.observe(time.monotonic() - began)
        if failed:
            raise value
        return value

    def pause(self) -> None:
        """Runs the calls that wait; a long call makes room with it."""
        while not self.jobs.empty():
            job = self.jobs.get()
            if job is None:
                self.jobs.put(None)
                return
            self._work(job)

    def blocks_caller(self) -> bool:
        """Returns False: only the calling green thread waits."""
        return False

    def close(self) -> None:
        """Ends the thread after the calls that wait; safe to repeat."""
        if self.closed:
            return
        self.closed = True
        self.jobs.put(None)

    def _work_forever(self) -> None:
        while (job := self.jobs.get()) is not None:
            self._work(job)

    def _work(self, job: tuple[Callable[..., Any], Any, event.Event]) -> None:
        function, args, ended = job
        try:
            outcome = (ended, function(*args), False)
        except Exception as error:
            outcome = (ended, error, True)
        self.done.append(outcome)
        try:
            os.write(self.wake_end, b"x")
        except BlockingIOError:
            # The pipe is full of wakes that were not taken yet.
            return

    def _wake_forever(self) -> None:
        while True:
            hubs.trampoline(self.wakes, read=True)
            os.read(self.wakes, _WAKE_BYTES)
            while self.done:
                ended, value, failed = self.done.popleft()
                ended.send((value, failed))
