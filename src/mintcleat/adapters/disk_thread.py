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
from eventlet import hubs
from eventlet import patcher
import greenlet

# eventlet's replacement of `os` waits on an event loop, which the disk thread
# doesn't have.
_os = patcher.original("os")
_threading = patcher.original("threading")
_queue = patcher.original("queue")
_WAKE_READ_BYTES = 4096


class _Job:
    """A call and its result.

    Attributes:
        value: The result, or the exception if the call failed.
        ended: When the call ended; monotonic time.
        quiet: Whether the event loop isn't woken up when the call ends.
        done: Whether the result may be taken; set on the event loop.
        waiting: The green thread that waits; None if it was killed.
    """

    def __init__(
        self, function: Callable[..., Any], args: Any, quiet: bool
    ) -> None:
        self.function = function
        self.args = args
        self.quiet = quiet
        self.ended = 0.0
        self.value: Any = None
        self.failed = False
        self.done = False
        self.waiting: Any = greenlet.getcurrent()

    def wake(self) -> None:
        """Continues the green thread that waits."""
        if self.waiting is not None:
            self.waiting.switch()


class DiskThread:
    """Runs calls in order on one thread; implements `ports.wal.DiskWorker`.

    Attributes:
        deferred: Calls that are queued once the running green threads wait.
        jobs: Queued calls; None ends the thread.
        quiet: Quiet calls whose green threads are yet to be woken.
        done: Finished calls whose green threads are yet to be woken.
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
        self.deferred: collections.deque[_Job] = collections.deque()
        self.jobs: Any = _queue.SimpleQueue()
        self.quiet: list[_Job] = []
        self.done: collections.deque[_Job] = collections.deque()
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
        return self._run(function, args, quiet=False)

    def run_quietly(self, function: Callable[..., Any], *args: Any) -> Any:
        """Like `run`, but the caller waits for `wake_callers`."""
        return self._run(function, args, quiet=True)

    def wake_callers(self) -> None:
        """Wakes callers of `run_quietly`, now or when their calls end."""
        if not self.quiet:
            return
        # The thread adds a call to `done` before it reads `quiet`, so either
        # it finds the change or its call is found here.
        for job in self.quiet:
            job.quiet = False
        self.quiet = []
        self._wake_done()

    def _run(self, function: Callable[..., Any], args: Any, quiet: bool) -> Any:
        if self.closed:
            self.thread.join()
            return function(*args)
        job = _Job(function, args, quiet)
        if quiet:
            self.quiet.append(job)
        start = time.monotonic()
        # The disk thread competes with the event loop for the interpreter lock,
        # so it starts after the green threads that can run now.
        self.deferred.append(job)
        hubs.get_hub().schedule_call_global(0, self._submit)
        try:
            while not job.done:
                hubs.get_hub().switch()
        finally:
            job.waiting = None
        self.observe(job.ended - start)
        if job.failed:
            raise job.value
        return job.value

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
        self._submit()
        self.jobs.put(None)

    def _submit(self) -> None:
        """Queues the deferred calls."""
        while self.deferred:
            self.jobs.put(self.deferred.popleft())

    def _run_forever(self) -> None:
        while (job := self.jobs.get()) is not None:
            self._run_job(job)

    def _run_job(self, job: _Job) -> None:
        try:
            job.value = job.function(*job.args)
        except Exception as error:
            job.value = error
            job.failed = True
        job.ended = time.monotonic()
        self.done.append(job)
        if job.quiet and not job.failed:
            return
        try:
            _os.write(self.wake_writer, b"x")
        except BlockingIOError:
            # The pipe is full, so the event loop will be woken anyway.
            return

    def _wake_forever(self) -> None:
        hub = hubs.get_hub()
        current = greenlet.getcurrent()
        # Stays registered, as nothing else continues this green thread.
        hub.add(
            hub.READ,
            self.wake_reader,
            current.switch,
            current.throw,
            lambda: None,
        )
        while True:
            hub.switch()
            _os.read(self.wake_reader, _WAKE_READ_BYTES)
            self._wake_done()

    def _wake_done(self) -> None:
        while self.done:
            job = self.done.popleft()
            job.done = True
            if job in self.quiet:
                self.quiet.remove(job)
            if job.waiting is not None:
                hubs.get_hub().schedule_call_global(0, job.wake)
