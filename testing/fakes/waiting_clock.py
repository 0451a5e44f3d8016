"""A clock for tests with a single thread of control."""

from typing import Any


class Clock:
    """A clock that advances only in `sleep`.

    Attributes:
        due: Scheduled callbacks with their times; none is called.
    """

    def __init__(self) -> None:
        self.at = 0.0
        self.due: list[tuple[float, Any]] = []

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self.at

    def wall_time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.at

    def sleep(self, seconds: float) -> None:
        """Advances the time."""
        self.at += seconds

    def spawn(self, function: Any, *args: Any) -> None:
        """Does nothing; the test does the renewals that it needs itself."""

    def after(self, seconds: float, callback: Any) -> None:
        """Records a callback."""
        self.due.append((self.at + seconds, callback))
