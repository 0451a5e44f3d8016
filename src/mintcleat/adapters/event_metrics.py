"""Counters and histograms derived from the events of a process."""

from typing import Any

from mintcleat.domain import control_events
from mintcleat.domain import events
from mintcleat.ports import events as event_ports
from mintcleat.ports import metrics as metric_ports

# Later customers share the label `other`: a scrape with time series of
# thousands of customers would be of no use.
MAX_CUSTOMER_LABELS = 200


class EventMetrics:
    """Updates metrics for each event and forwards it to the event log.

    Implements `ports.events.EventReporter`.
    """

    def __init__(
        self, metrics: metric_ports.Metrics, log: event_ports.EventReporter
    ) -> None:
        self.metrics = metrics
        self.log = log
        self.customers: set[str] = set()

    def emit(self, event: Any) -> None:
        """Reports one event."""
        self.log.emit(event)
        metrics = self.metrics
        match event:
            case events.CallEnded():
                route = event.route
                metrics.count(
                    "routed_calls_total", route=route, outcome=event.outcome
                )
                metrics.observe(
                    "routed_call_seconds", event.total_s, route=route
                )
                metrics.observe(
                    "routed_first_seconds", event.first_s, route=route
                )
                metrics.observe("routed_gap_seconds", event.gap_s, route=route)
                self._count_versions(event)
                self._count_end(event)
            case events.CallRefused():
                metrics.count(
                    "routed_refusals_total",
                    route=event.route,
                    kind=event.kind,
                    outcome=event.outcome,
                )
                if event.customer:
                    metrics.count(
                        "customer_refusals_total",
                        customer=self._customer_label(event.customer),
                        kind=event.kind,
                    )
            case control_events.PushAnswered():
                metrics.count("pushes_total", outcome=event.outcome)
            case events.CallCounted():
                metrics.observe("limit_count_seconds", event.commit_s)
            case events.KeyUnknown():
                metrics.count("unknown_keys_total", sure=str(event.sure))
            case (
                events.CallerGone()
                | events.ResponseStalled()
                | events.ConnectionYielded()
            ):
                self._count_caller(event)
            case events.EntryCapacityChanged():
                metrics.count("capacity_changes_total", level=event.level)
            case events.CallPlaced():
                metrics.count("routed_placements_total", reason=event.reason)
            case events.AttemptFailed():
                metrics.count("routed_failures_total", kind=event.kind)
                self._count_end(event)
            case events.TurnOpened():
                metrics.observe("turn_open_seconds", event.commit_s)
            case events.TurnSettled():
                metrics.observe("turn_settle_seconds", event.commit_s)
            case events.TurnDeferred():
                metrics.count("turns_deferred_total", service=event.service)
            case events.TurnRefused():
                metrics.count(
                    "turns_refused_total",
                    service=event.service,
                    kind=event.kind,
                    reason=event.reason,
                )
            case events.EntrySilent():
                metrics.count("entries_silent_total", service=event.service)
            case events.LeaderPaused():
                metrics.observe("leader_pause_seconds", event.seconds)
            case events.LinesDropped():
                metrics.count("log_drops_total", reason=event.reason)
            case _:
                self._count_stream(event)
                self._count_crash(event)

    def _count_versions(self, event: events.CallEnded) -> None:
        """Counts a stream by the number of versions that made its events."""
        if event.versions:
            self.metrics.count(
                "stream_versions_total",
                service=event.service,
                versions=str(len(set(event.versions))),
            )

    def _count_stream(self, event: Any) -> None:
        """Counts the streams that continued, and those that were taken up."""
        metrics = self.metrics
        match event:
            case events.StreamTakenUp():
                metrics.count(
                    "stream_take_ups_total",
                    service=event.service,
                    known_by=event.known_by,
                )
            case events.StreamUnrecorded():
                metrics.count("streams_unrecorded_total", service=event.service)
            case events.StreamContinued():
                metrics.count(
                    "streams_continued_total",
                    reason=event.reason,
                    result=event.result,
                )
                if event.pause_s:
                    metrics.observe(
                        "stream_pause_seconds",
                        event.pause_s,
                        reason=event.reason,
                    )

    def _count_caller(
        self,
        event: events.CallerGone
        | events.ResponseStalled
        | events.ConnectionYielded,
    ) -> None:
        """Counts callers that left, don't read, or gave way to others."""
        metrics = self.metrics
        match event:
            case events.CallerGone():
                metrics.count("routed_callers_gone_total", route=event.route)
            case events.ResponseStalled():
                metrics.count("responses_stalled_total", reason=event.reason)
            case events.ConnectionYielded():
                metrics.count("connections_yielded_total", reason=event.reason)

    def _count_end(
        self, event: events.CallEnded | events.AttemptFailed
    ) -> None:
        """Counts how an answer of an upstream ended.

        An answer that broke off is in the line of its attempt.
        """
        is_attempt = isinstance(event, events.AttemptFailed)
        if event.end and (is_attempt or event.outcome == "whole"):
            self.metrics.count(
                "answer_ends_total",
                service=event.service,
                framing=event.framing,
                end=event.end,
            )

    def _count_crash(self, event: Any) -> None:
        """Counts what tells of requests that crash upstreams."""
        metrics = self.metrics
        match event:
            case events.UpstreamCrashed():
                metrics.count(
                    "upstream_crashes_total",
                    service=event.service,
                    sign=event.sign,
                )
            case control_events.CrashReported():
                metrics.count("crash_reports_total", service=event.service)
            case control_events.RequestQuarantined():
                metrics.count(
                    "requests_quarantined_total", service=event.service
                )

    def _customer_label(self, customer: str) -> str:
        """Returns the label of a customer."""
        if len(self.customers) < MAX_CUSTOMER_LABELS:
            self.customers.add(customer)
        return customer if customer in self.customers else "other"
