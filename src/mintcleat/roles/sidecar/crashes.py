"""Reports of the requests that were in flight when an upstream crashed."""

from typing import NamedTuple
from typing import Protocol

from eventlet import event
from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.ports import membership as membership_port
from mintcleat.ports import timers as timers_port

_REPORT_TIMEOUT = 2.0
_RETRY_DELAY = 1.0
# Time after which every sidecar has the restrictions from an accepted report.
_PROPAGATION_SECONDS = 5.0


class Monitor(Protocol):
    """The probe of the upstream.

    Attributes:
        life: Number of the upstream's process at the last probe.
    """

    life: int

    def read_life(self) -> int:
        """Returns the number of the upstream's process; 0 if it is down."""


class InFlight(NamedTuple):
    """A request at the upstream.

    Attributes:
        digest: Digest of the request.
        life: Number of the upstream process that received it.
    """

    digest: bytes
    life: int


class CrashReporter:
    """Tracks requests in flight and reports each crash to control.

    A caller gets the error of a lost call only after a try to report the crash.
    Otherwise its retry could crash a second upstream while the request is not
    yet a suspect, among other requests, and that crash would not show which
    request was the cause.

    Attributes:
        monitor: Probes the upstream.
        in_flight: Requests at the upstream by request id.
        local_suspects: Suspects of this upstream's crashes that control has
            not yet accepted or distributed.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        directory: membership_port.Membership,
        timers: timers_port.Timers,
        monitor: Monitor,
    ) -> None:
        self.node = node
        self.directory = directory
        self.timers = timers
        self.monitor = monitor
        self.in_flight: dict[str, InFlight] = {}
        self.local_suspects: set[bytes] = set()
        self.report_count = 0
        self.report_done: event.Event | None = None

    def begin(self, request_id: str, digest: bytes) -> None:
        """Records that a request is sent to the upstream."""
        self.in_flight[request_id] = InFlight(digest, self.monitor.life)

    def end(self, request_id: str) -> None:
        """Records that the upstream has finished a request."""
        self.in_flight.pop(request_id, None)

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a request is suspected of crashing upstreams.

        Suspects run one at a time, so that a crash shows which one caused it.
        """
        return digest in self.local_suspects or self.directory.is_suspect(
            digest
        )

    def connection_lost(self, request_id: str) -> None:
        """Handles the lost connection of a request.

        After a crash of the upstream, blocks until the report is accepted or
        the first try to send it has failed; further tries do not block.
        """
        digests = self._take_crashed(request_id)
        if digests:
            self._report(digests)
        elif self.report_done is not None:
            # Another call that was lost in the same crash reports it.
            self.report_done.wait()

    def _take_crashed(self, request_id: str) -> list[bytes]:
        """Removes and returns the digests in flight at a crash.

        Returns:
            The digests, sorted; empty if the upstream has not crashed or
            another call reports this crash.
        """
        lost = self.in_flight.get(request_id)
        if lost is None:
            return []
        if self.monitor.read_life() == lost.life:
            self.end(request_id)
            return []
        # Checked again, since another call may report while the probe blocks.
        if request_id not in self.in_flight:
            return []
        concurrent = {
            name: item.digest
            for name, item in self.in_flight.items()
            if item.life == lost.life
        }
        for name in concurrent:
            del self.in_flight[name]
        return sorted(set(concurrent.values()))

    def _report(self, digests: list[bytes]) -> None:
        self.local_suspects.update(digests)
        self.report_count += 1
        report = member_messages.ReportCrash(
            self.node, self.report_count, digests
        )
        self.report_done = event.Event()
        try:
            if not self._send(report):
                self.timers.spawn(self._send_until_accepted, report)
        finally:
            self.report_done.send()

    def _send(self, report: member_messages.ReportCrash) -> bool:
        try:
            self.directory.ask(report, _REPORT_TIMEOUT)
        except errors.MintcleatError as error:
            logger.warning("Could not report a crash yet: {}", error.detail)
            return False
        # Then control determines which requests are suspects.
        self.timers.after(
            _PROPAGATION_SECONDS,
            lambda: self.local_suspects.difference_update(report.digests),
        )
        return True

    def _send_until_accepted(self, report: member_messages.ReportCrash) -> None:
        while not self._send(report):
            self.timers.sleep(_RETRY_DELAY)
