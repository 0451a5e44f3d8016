"""A clock for one thread of control, played without a network."""

from typing import Any


class Clock:
    """A clock that moves when somebody waits.

    Attributes:
        due: Callbacks and when they are due; none is called.
    """

    def __init__(self) -> None:
        self.at = 0.0
        self.due: list[tuple[float, Any]] = []

    def now(self) -> float:
        """Returns the time."""
        return self.at

    def wall_time(self) -> float:
        """Returns the time."""
        return self.at

    def sleep(self, seconds: float) -> None:
        """Lets time pass."""
        self.at += seconds

    def spawn(self, function: Any, *args: Any) -> None:
        """Runs nothing: renewals are of no matter, or the test makes them."""

    def after(self, seconds: float, callback: Any) -> None:
        """Notes a callback."""
        self.due.append((self.at + seconds, callback))
