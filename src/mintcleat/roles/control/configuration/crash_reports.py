"""Commits entries' reports of crashed upstreams on the config leader."""

from typing import Any
from typing import Protocol

from loguru import logger

from mintcleat.configuration import commands
from mintcleat.configuration import machine
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports


class Leader(Protocol):
    """The part of the config service that the reports use."""

    machine: machine.ConfigMachine
    timers: timer_ports.Timers
    events: event_ports.EventReporter

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970, unaffected by clock steps."""


class CrashReports:
    """Commits reports, and the end of quarantines.

    Attributes:
        expiring: Whether the end of a quarantine is being committed.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.expiring = False

    def record(self, report: member_messages.ReportCrashes) -> None:
        """Handles a report; returns once it is committed."""
        at = self.leader.steady_time()
        unsure = dict(report.unsure)
        crashes = [
            [
                crash.upstream,
                _losses(crash, at, unsure.get(crash.upstream, 0.0)),
            ]
            for crash in report.crashes
        ]
        new = self._propose(crashes, report, at)
        for crash in report.crashes:
            self._report_crash(report.entry.instance, crash)
        for digest in new:
            self._report_quarantine(digest)

    def tick(self) -> None:
        """Ends quarantines whose time has passed."""
        state = self.leader.machine
        due = min(
            state.crash_evidence.next_expiry(),
            state.object_evidence.next_expiry(),
        )
        if due <= self.leader.steady_time() and not self.expiring:
            self.expiring = True
            self.leader.timers.spawn(self._expire)

    def _expire(self) -> None:
        try:
            self._propose([], None, self.leader.steady_time())
        except errors.MintcleatError as error:
            logger.info("A quarantine was not ended yet: {}", error.detail)
        finally:
            self.expiring = False

    def _propose(
        self,
        crashes: list[list[Any]],
        report: member_messages.ReportCrashes | None,
        at: float,
    ) -> list[bytes]:
        policies = self.leader.machine.document.readable().policies
        return self.leader.propose(
            commands.RecordCrashes(
                crashes,
                report.ended_well if report else [],
                policies.quarantine_crashes,
                policies.quarantine_seconds,
                policies.suspicion_seconds,
                at,
                report.objects if report else [],
                report.ended_objects if report else [],
            )
        )

    def _report_crash(
        self, entry: str, crash: member_messages.CrashedUpstream
    ) -> None:
        evidence = self.leader.machine.crash_evidence
        counts = [
            len(evidence.crashes_of(loss.digest)) for loss in crash.losses
        ]
        self.leader.events.emit(
            control_events.CrashReported(
                crash.upstream,
                crash.service,
                entry,
                round(crash.ago, 3),
                len(crash.losses),
                max(counts, default=0),
            )
        )

    def _report_quarantine(self, digest: bytes) -> None:
        state = self.leader.machine
        item = state.crash_evidence.quarantine.get(digest)
        if item is None:
            item = state.object_evidence.quarantine.get(digest)
        if item is None:
            # A later report has withdrawn it already.
            return
        self.leader.events.emit(
            control_events.RequestQuarantined(
                digest.hex(),
                item.subject.service,
                item.subject.route,
                item.subject.customer,
                item.subject.request,
                item.upstreams,
                round(item.until - item.at, 3),
            )
        )


def _losses(
    crash: member_messages.CrashedUpstream, at: float, unsure: float
) -> list[Any]:
    """Returns the losses of a crash, with times in seconds since 1970.

    Args:
        crash: The crash.
        at: Time of the report.
        unsure: Seconds after the loss in which it may have happened.
    """
    lost_at = at - crash.ago
    crashed_by = [lost_at + unsure] if unsure else []
    return [
        [
            loss.digest,
            [lost_at - loss.ran, lost_at, loss.after, *crashed_by],
            [crash.service, loss.route, loss.customer, loss.request],
        ]
        for loss in crash.losses
    ]
