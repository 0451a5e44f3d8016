"""A thread for disk operations, so that they do not block the event loop.

A sync takes milliseconds, or seconds if the disk stalls. On the event loop it
would delay all heartbeats and responses for as long.
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

# The thread has no event loop to wait on, as eventlet's replacement would.
_os = patcher.original("os")
_threading = patcher.original("threading")
_queue = patcher.original("queue")
_WAKE_READ_BYTES = 4096


class DiskThread:
    """Runs calls in order on one thread; implements `ports.wal.DiskWorker`.

    Attributes:
        jobs: Queued calls; None ends the thread.
        done: Finished calls whose green threads are yet to be woken: event,
            result or exception, and whether it is an exception.
        wake_reader: Pipe end that the event loop waits on.
        wake_writer: Pipe end that the thread writes to after each call.
    """

    def __init__(
        self, observe: Callable[[float], None] = lambda seconds: None
    ) -> None:
        """Starts the thread.

        Args:
            observe: Called with the duration of each call in seconds,
                including the time in the queue.
        """
        self.observe = observe
        self.closed = False
        self.jobs: Any = _queue.SimpleQueue()
        self.done: collections.deque[tuple[event.Event, Any, bool]] = (
            collections.deque()
        )
        self.wake_reader, self.wake_writer = os.pipe()
        os.set_blocking(self.wake_reader, False)
        os.set_blocking(self.wake_writer, False)
        # The hub may have a stale listener if this file descriptor is reused.
        hubs.notify_opened(self.wake_reader)
        eventlet.spawn(self._wake_forever)
        self.thread = _threading.Thread(target=self._run_forever, daemon=True)
        self.thread.start()

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Runs a function; returns its result or raises its exception.

        After `close` the function runs on the caller's thread, once the disk
        thread has finished, which would never run a queued call.
        """
        if self.closed:
            self.thread.join()
            return function(*args)
        finished = event.Event()
        start = time.monotonic()
        self.jobs.put((function, args, finished))
        value, failed = finished.wait()
        self.observe(time.monotonic() - start)
        if failed:
            raise value
        return value

    def pause(self) -> None:
        """Runs the queued calls; to be called within a long operation."""
        while not self.jobs.empty():
            job = self.jobs.get()
            if job is None:
                self.jobs.put(None)
                return
            self._run_job(job)

    def blocks_caller(self) -> bool:
        """Returns False, because only the calling green thread waits."""
        return False

    def close(self) -> None:
        """Ends the thread after the queued calls; can be called again."""
        if self.closed:
            return
        self.closed = True
        self.jobs.put(None)

    def _run_forever(self) -> None:
        while (job := self.jobs.get()) is not None:
            self._run_job(job)

    def _run_job(
        self, job: tuple[Callable[..., Any], Any, event.Event]
    ) -> None:
        function, args, finished = job
        try:
            outcome = (finished, function(*args), False)
        except Exception as error:
            outcome = (finished, error, True)
        self.done.append(outcome)
        try:
            _os.write(self.wake_writer, b"x")
        except BlockingIOError:
            # The pipe is full, so the event loop will be woken anyway.
            return

    def _wake_forever(self) -> None:
        while True:
            hubs.trampoline(self.wake_reader, read=True)
            _os.read(self.wake_reader, _WAKE_READ_BYTES)
            while self.done:
                finished, value, failed = self.done.popleft()
                finished.send((value, failed))
