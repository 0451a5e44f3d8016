"""Where roles tell their decisions; see `domain.events`."""

from typing import Any
from typing import Protocol


class Events(Protocol):
    """Takes events; never blocks and never fails."""

    def emit(self, event: Any) -> None:
        """Takes one event of `domain.events`."""


class Silent:
    """Takes events and keeps none."""

    def emit(self, event: Any) -> None:
        """Drops the event."""


SILENT = Silent()
