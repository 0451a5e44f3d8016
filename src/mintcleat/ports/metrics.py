"""The interface through which roles record metrics."""

from typing import Protocol


class Metrics(Protocol):
    """Counters, gauges and histograms.

    Names are in snake case. Labels are few and have a bounded set of values.
    """

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter by one."""

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge to a value."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds an observation to a histogram of durations."""
