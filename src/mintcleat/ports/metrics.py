"""Counters, gauges and latency histograms that the roles write to."""

from typing import Protocol


class Metrics(Protocol):
    """Metric names are snake case; labels are few and bounded in value."""

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds one observation to a histogram of seconds."""
