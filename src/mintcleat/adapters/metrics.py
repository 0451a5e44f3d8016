"""Prometheus metrics, on aioprometheus.

Values are collected here and given to aioprometheus for a scrape. It encodes
the labels as JSON for each change of a value, which took 4% of an entry's CPU
time.
"""

import bisect
import itertools
import math

import aioprometheus
from aioprometheus import histogram

_BUCKETS_SECONDS = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0, 120.0, 600.0,
]  # fmt: skip
_HELP = {
    "calls_total": "Calls accepted at the entry, by kind.",
    "refusals_total": "Refusals by kind and outcome.",
    "placements_total": "Placements by reason.",
    "retries_total": "New attempts by cause.",
    "call_seconds": "Time from request to last byte, by kind.",
    "first_token_seconds": "Time from request to first token.",
    "routed_calls_total": "Routed requests answered by an upstream.",
    "routed_call_seconds": "Time from a routed request to its last byte.",
    "routed_first_seconds": "Time from a routed request to its first byte.",
    "routed_gap_seconds": "Longest time between two events of a stream.",
    "routed_refusals_total": "Routed requests that this process refused.",
    "routed_callers_gone_total": "Callers that disconnected before the end.",
    "routed_placements_total": "Upstreams chosen, by reason.",
    "routed_failures_total": "Attempts that failed, by kind.",
    "answer_ends_total": "Answers of upstreams, by how their end was known.",
    "entries_silent_total": "Times that turns of an entry stopped counting.",
    "leader_pause_seconds": "Times in which a leader handled no messages.",
    "turn_open_seconds": "Time to reserve the tokens of a turn.",
    "turn_settle_seconds": "Time to record the end of a turn.",
    "customer_refusals_total": "Refused requests by customer and kind.",
    "limit_count_seconds": "Time to count a call against a limit.",
    "unknown_keys_total": "Requests with a key of no known customer.",
    "log_drops_total": "Times that log lines were dropped.",
    "loop_lag_seconds": "Delay of timers on the event loop.",
    "responses_stalled_total": "Responses that their callers did not read.",
    "connections_yielded_total": "Connections that gave way to others.",
    "received_bytes": "Bytes that callers have sent and that are held.",
    "capacity_changes_total": "Changes of an entry's own capacity, by level.",
    "capacity_level": "Own capacity: 0 normal, 1 busy, 2 full.",
    "unsent_bytes": "Bytes that wait for slow callers.",
    "disk_call_seconds": "Time of one write and sync of the log.",
}


# The name of a metric, and the names and values of its labels in order.
_Key = tuple[str, tuple[tuple[str, str], ...]]


class _Durations(histogram.Histogram):
    """A histogram that finds the bucket of a value by bisection.

    Attributes:
        counts: Number of values in each bucket, the last one without a bound.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(_BUCKETS_SECONDS) + 1)
        self.observations = 0
        self.sum = 0.0

    @property
    def buckets(self) -> dict[float, int]:
        """Number of values up to each bound."""
        bounds = [*_BUCKETS_SECONDS, math.inf]
        totals = itertools.accumulate(self.counts)
        return dict(zip(bounds, totals, strict=True))

    def observe(self, value: float) -> None:
        """Adds a value."""
        self.counts[bisect.bisect_left(_BUCKETS_SECONDS, value)] += 1
        self.sum += value
        self.observations += 1


class PrometheusMetrics:
    """Implements `ports.metrics.Metrics` with one registry per process.

    Attributes:
        counts: Value of each counter; copied to the collectors by `render`.
        durations: The histograms; the collectors share them.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.collectors: dict[str, aioprometheus.collectors.Collector] = {}
        self.counts: dict[_Key, int] = {}
        self.durations: dict[_Key, _Durations] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter by one."""
        key = name, tuple(sorted(labels.items()))
        self.counts[key] = self.counts.get(key, 0) + 1

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._collector(aioprometheus.Gauge, name).set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a duration to a histogram."""
        key = name, tuple(sorted(labels.items()))
        found = self.durations.get(key)
        if found is None:
            found = self.durations[key] = _Durations()
            collector = self._collector(aioprometheus.Histogram, name)
            collector.set_value(labels, found)
        found.observe(seconds)

    def render(self) -> tuple[bytes, str]:
        """Returns the metrics in text format, and the content type."""
        for (name, labels), value in self.counts.items():
            collector = self._collector(aioprometheus.Counter, name)
            collector.set(dict(labels), value)
        body, headers = aioprometheus.render(self.registry, [])
        return body, headers["Content-Type"]

    def _collector(
        self, kind: type[aioprometheus.collectors.Collector], name: str
    ) -> aioprometheus.collectors.Collector:
        found = self.collectors.get(name)
        if found is None:
            extra = {}
            if kind is aioprometheus.Histogram:
                extra = {"buckets": _BUCKETS_SECONDS}
            found = kind(
                f"mintcleat_{name}",
                _HELP.get(name, name),
                registry=self.registry,
                **extra,
            )
            self.collectors[name] = found
        return found
