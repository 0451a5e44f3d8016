"""Measures the load of an entry's process for `decisions.entry_capacity`."""

from collections.abc import Callable

from mintcleat.adapters import process_memory
from mintcleat.decisions import entry_capacity
from mintcleat.domain import events as event_types
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

# Short enough to refuse within a second of the begin of an overload, at
# negligible cost.
_INTERVAL_SECONDS = 0.25
# Counting the descriptors lists a directory with as many files.
_DESCRIPTORS_INTERVAL_SECONDS = 1.0


class CapacityWatch:
    """Measures a process and reports when its capacity changes.

    Attributes:
        capacity: Takes the measurements.
        in_flight: Returns the number of requests without a complete response.
        close_idle: Closes connections without a request.
    """

    def __init__(
        self,
        capacity: entry_capacity.EntryCapacity,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        in_flight: Callable[[], int],
        close_idle: Callable[[], None],
    ) -> None:
        self.capacity = capacity
        self.timers = timers
        self.events = events
        self.in_flight = in_flight
        self.close_idle = close_idle
        self.descriptors = 0
        self.descriptors_at = 0.0

    def run(self) -> None:
        """Measures until the process ends."""
        while True:
            due = self.timers.now() + _INTERVAL_SECONDS
            self.timers.sleep(_INTERVAL_SECONDS)
            self.measure(max(0.0, self.timers.now() - due))

    def measure(self, lag_seconds: float) -> None:
        """Takes one measurement.

        Args:
            lag_seconds: How late the event loop ran a timer.
        """
        now = self.timers.now()
        if now - self.descriptors_at >= _DESCRIPTORS_INTERVAL_SECONDS:
            self.descriptors = process_memory.open_descriptors()
            self.descriptors_at = now
            self._relieve()
        usage = entry_capacity.Usage(
            lag_seconds,
            process_memory.resident_bytes(),
            self.descriptors,
            self.in_flight(),
        )
        change = self.capacity.update(usage, now)
        if change is None:
            return
        self.events.emit(
            event_types.EntryCapacityChanged(
                change.level.name.lower(),
                change.reason,
                round(change.seconds, 3),
                round(lag_seconds, 3),
                round(usage.memory_bytes / 1e6, 1),
                usage.descriptors,
                usage.in_flight,
            )
        )
        self._relieve()

    def _relieve(self) -> None:
        """Frees what no request needs while the process is near a limit."""
        match self.capacity.reason:
            case entry_capacity.MEMORY:
                process_memory.return_free_memory()
            case entry_capacity.DESCRIPTORS:
                self.close_idle()
