"""The interface to clocks, timers and green threads."""

from collections.abc import Callable
from typing import Protocol


class Subscription(Protocol):
    """A scheduled callback, one-time or periodic."""

    def cancel(self) -> None:
        """Prevents further calls; cancelling again has no effect."""


class Timers(Protocol):
    """Clocks and timers; all callbacks run on the event loop's thread."""

    def now(self) -> float:
        """Returns the seconds of a monotonic clock."""

    def wall_time(self) -> float:
        """Returns the Unix time in seconds, for display only."""

    def after(
        self, seconds: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls `callback` once, in `seconds` from now."""

    def every(
        self, seconds: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls `callback` every `seconds`, first after one period."""

    def sleep(self, seconds: float) -> None:
        """Suspends the calling green thread."""

    def sleep_to_next(self, period: float) -> float:
        """Suspends the calling green thread, for periodic work.

        It continues at a time that it shares with other periodic work: after
        `period` on average, and after at most 0.1 s more than `period`.

        Returns:
            How late it continued, in seconds.
        """

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function in a new green thread."""
