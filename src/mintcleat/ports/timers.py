"""Time, as a service that parts subscribe to."""

from collections.abc import Callable
from typing import Protocol


class Subscription(Protocol):
    """A callback that is due once or repeatedly."""

    def cancel(self) -> None:
        """Stops further callbacks; safe to repeat."""


class Timers(Protocol):
    """Monotonic clock, wall clock and callbacks, all on the one loop."""

    def now(self) -> float:
        """Returns monotonic seconds; never goes back."""

    def wall_time(self) -> float:
        """Returns seconds since 1970, for records that people read."""

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back once, `seconds` from now."""

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back each `seconds`, first after one period."""

    def sleep(self, seconds: float) -> None:
        """Suspends the calling green thread."""

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs the function in a green thread of its own."""
