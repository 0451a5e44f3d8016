"""The interface through which roles report events of `domain.events`."""

from typing import Any
from typing import Protocol


class EventReporter(Protocol):
    """Reports events; `emit` never blocks and never raises."""

    def emit(self, event: Any) -> None:
        """Reports one event of `domain.events`."""


class NullEventReporter:
    """Discards all events."""

    def emit(self, event: Any) -> None:
        """Discards the event."""


NULL_EVENT_REPORTER = NullEventReporter()
