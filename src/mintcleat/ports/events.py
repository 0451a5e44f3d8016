"""Where roles tell their decisions; see `domain.events`."""

from typing import Any
from typing import Protocol


class EventReporter(Protocol):
    """Takes events; never blocks and never fails."""

    def emit(self, event: Any) -> None:
        """Takes one event of `domain.events`."""


class NullEventReporter:
    """Takes events and keeps none."""

    def emit(self, event: Any) -> None:
        """Drops the event."""


NULL_EVENT_REPORTER = NullEventReporter()
