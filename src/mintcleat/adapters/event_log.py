"""Events as JSON lines on standard output, bounded and never in the way.

A writer thread holds the only blocking call. Lines wait in a bounded queue;
when its reader stalls or there are more lines than the budget, lines give way
by their weight, and what gave way is counted and said.
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

_threading = patcher.original("threading")


class Budget(NamedTuple):
    """Lines that a process may write.

    Attributes:
        lines_per_second: Sustained rate. A line takes about 20 microseconds
            of CPU time, so the default uses 1% of a core.
        burst: Lines that may exceed the rate at once.
        queue_size: Lines that may wait for the writer thread.
        details_share: Above half of the rate, this share of the requests,
            by id, keeps its details; the same ones in all processes.
    """

    lines_per_second: float = 500.0
    burst: float = 1000.0
    queue_size: int = 5000
    details_share: float = 0.1


DEFAULT_BUDGET = Budget()
# Lines in one write; more would lie beside the bounded queue.
_BATCH = 256
# Room that must be left for a line of each weight, as a share of the burst.
_RESERVED = {events.STATE: 0.0, events.ERROR: 0.1, events.DETAIL: 0.25}


class EventLog:
    """Writes events; see `ports.events.EventReporter`."""

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
        self.refilled = time.monotonic()
        self.dropped = 0
        self.number = 0
        self.wake = _threading.Event()
        self.broken = False
        self.thread = _threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def emit(self, event: Any) -> None:
        """Takes one event; drops it when it is over the budget."""
        self.number += 1
        if not self._admit(event):
            self.dropped += 1
            return
        if self.dropped and self.tokens > 1.0:
            dropped, self.dropped = self.dropped, 0
            self._put(events.LinesDropped(dropped, "over the budget"))
        self._put(event)

    def close(self, seconds: float = 0.2) -> None:
        """Waits until what waits is written, or the time is over."""
        until = time.monotonic() + seconds
        while self.queue and time.monotonic() < until and not self.broken:
            self.wake.set()
            time.sleep(0.005)

    def _admit(self, event: Any) -> bool:
        now = time.monotonic()
        passed, self.refilled = now - self.refilled, now
        budget = self.budget
        self.tokens = min(
            budget.burst, self.tokens + passed * budget.lines_per_second
        )
        weight = events.severity_of(event)
        if len(self.queue) >= budget.queue_size or self.broken:
            return False
        if weight == events.DETAIL and self.tokens < budget.burst / 2:
            digest = xxhash.xxh32_intdigest(event.request.encode())
            if digest >= budget.details_share * 2**32:
                return False
        return self.tokens >= 1.0 + _RESERVED[weight] * budget.burst

    def _put(self, event: Any) -> None:
        self.tokens -= 1.0
        line = {
            "at": round(time.time(), 4),
            "instance": self.instance,
            "event": self.names[type(event)],
            "n": self.number,
            **event._asdict(),
        }
        self.queue.append(self.encoder.encode(line))
        self.wake.set()

    def _write(self) -> None:
        while not self.broken:
            if not self.queue:
                self.wake.wait()
                self.wake.clear()
            lines = []
            while self.queue and len(lines) < _BATCH:
                lines.append(self.queue.popleft().decode())
            if not lines:
                continue
            try:
                self.sink.write("\n".join(lines) + "\n")
                self.sink.flush()
            except (OSError, ValueError):
                # Nobody reads any more; the process goes on without.
                self.broken = True
