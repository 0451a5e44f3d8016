"""Writes events as JSON lines to standard output, without blocking.

A thread does the blocking writes. Lines wait in a bounded queue. If the reader
of the output stalls, or if there are more lines than the budget allows, lines
are dropped, those of lower severity first; the number of dropped lines is
reported as an event.
"""

import collections
import sys
import time
from typing import Any
from typing import NamedTuple
from typing import TextIO

from eventlet import patcher
import msgspec
import xxhash

from mintcleat.domain import events

# The writer thread has no event loop, which eventlet's replacements wait on.
_queue = patcher.original("queue")
_threading = patcher.original("threading")
_time = patcher.original("time")


class Budget(NamedTuple):
    """Limits of the lines that a process writes.

    Attributes:
        lines_per_second: Sustained rate. A line takes about 20 microseconds
            of CPU time, so the default uses 1% of a core.
        burst: Lines that may exceed the rate at once.
        queue_size: Lines that may wait for the writer thread.
        details_share: Share of the requests whose detail events are kept
            when half of the burst is used up. Chosen by a hash of the request
            id, so that all processes keep those of the same requests.
    """

    lines_per_second: float = 500.0
    burst: float = 1000.0
    queue_size: int = 5000
    details_share: float = 0.1


DEFAULT_BUDGET = Budget()
# Maximum number of lines in one write. They are no longer counted as queued.
_BATCH_LINES = 256
# Time for which the writer thread collects further lines after the first one.
# At each wakeup the thread takes the interpreter lock from the event loop.
_COLLECT_SECONDS = 0.02
# Share of the burst that must be left over for a line of each severity.
_RESERVED_SHARE = {events.STATE: 0.0, events.ERROR: 0.1, events.DETAIL: 0.25}


class EventLog:
    """Implements `ports.events.EventReporter`.

    Attributes:
        queue: Encoded lines that wait for the writer thread.
        tokens: Lines that may be written now (a token bucket).
        dropped: Lines dropped since the last LinesDropped event.
        number: Events reported so far, dropped ones included.
        work_available: Gets an item to wake the writer thread.
        idle: Whether the writer thread waits for that item.
        broken: Whether writing failed; all later events are dropped.
    """

    def __init__(
        self,
        instance: str,
        budget: Budget = DEFAULT_BUDGET,
        sink: TextIO | None = None,
    ) -> None:
        self.instance = instance
        self.budget = budget
        self.sink = sink or sys.stdout
        self.encoder = msgspec.json.Encoder()
        self.names = {kind: events.name_of(kind) for kind in events.KINDS}
        self.queue: collections.deque[bytes] = collections.deque()
        self.tokens = budget.burst
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.number = 0
        self.work_available: Any = _queue.SimpleQueue()
        self.idle = False
        self.broken = False
        self.thread = _threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def emit(self, event: Any) -> None:
        """Reports one event; drops it if the budget is exceeded."""
        self.number += 1
        if not self._admit(event):
            self.dropped += 1
            return
        if self.dropped and self.tokens > 1.0:
            dropped, self.dropped = self.dropped, 0
            self._enqueue(events.LinesDropped(dropped, "over the budget"))
        self._enqueue(event)

    def close(self, seconds: float = 0.2) -> None:
        """Waits up to `seconds` until the queued lines are written."""
        until = time.monotonic() + seconds
        while self.queue and time.monotonic() < until and not self.broken:
            time.sleep(0.005)

    def _admit(self, event: Any) -> bool:
        now = time.monotonic()
        elapsed, self.refilled_at = now - self.refilled_at, now
        budget = self.budget
        self.tokens = min(
            budget.burst, self.tokens + elapsed * budget.lines_per_second
        )
        severity = events.severity_of(event)
        if len(self.queue) >= budget.queue_size or self.broken:
            return False
        if severity == events.DETAIL and self.tokens < budget.burst / 2:
            digest = xxhash.xxh32_intdigest(event.request.encode())
            if digest >= budget.details_share * 2**32:
                return False
        return self.tokens >= 1.0 + _RESERVED_SHARE[severity] * budget.burst

    def _enqueue(self, event: Any) -> None:
        self.tokens -= 1.0
        line = {
            "at": round(time.time(), 4),
            "instance": self.instance,
            "event": self.names[type(event)],
            "n": self.number,
            **event._asdict(),
        }
        self.queue.append(self.encoder.encode(line))
        if self.idle:
            self.idle = False
            self.work_available.put(None)

    def _wait_for_lines(self) -> None:
        self.idle = True
        # A line that was queued just before did not see that the thread is
        # idle.
        if not self.queue:
            self.work_available.get()
        self.idle = False
        _time.sleep(_COLLECT_SECONDS)

    def _write(self) -> None:
        while not self.broken:
            if not self.queue:
                self._wait_for_lines()
            lines: list[str] = []
            while self.queue and len(lines) < _BATCH_LINES:
                lines.append(self.queue.popleft().decode())
            if not lines:
                continue
            try:
                self.sink.write("\n".join(lines) + "\n")
                self.sink.flush()
            except (OSError, ValueError):
                # The reader has closed the output; the process continues.
                self.broken = True
