"""Tells which requests were in flight when the upstream crashed."""

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
# Time in which the restrictions of a taken report reach every sidecar.
_PROPAGATION_SECONDS = 5.0


class Monitor(Protocol):
    """What is known of the upstream.

    Attributes:
        life: Its life as last seen.
    """

    life: int

    def read_life(self) -> int:
        """Looks at the upstream; returns its life, or 0 when it is gone."""


class InFlight(NamedTuple):
    """A request at the upstream, in one of the upstream's lives."""

    digest: bytes
    life: int


class CrashReporter:
    """Digests in flight, and the report of each crash.

    A caller is told of a broken call only once the crash is reported: its
    resend would otherwise crash a second upstream as an unsuspected request
    among others, and nothing would be learned from that crash.

    Attributes:
        monitor: Knows the upstream's life.
        in_flight: Digest and life of the upstream, by request id.
        local_suspects: Suspects of this upstream's own crashes, while
            control cannot be told or has not yet distributed them.
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
        """Notes that a request goes to the upstream."""
        self.in_flight[request_id] = InFlight(digest, self.monitor.life)

    def end(self, request_id: str) -> None:
        """Notes that the upstream has answered."""
        self.in_flight.pop(request_id, None)

    def is_suspect(self, digest: bytes) -> bool:
        """Tells whether a request may run beside no other suspect only."""
        return digest in self.local_suspects or self.directory.is_suspect(
            digest
        )

    def connection_lost(self, request_id: str) -> None:
        """Handles a lost stream; returns once a crash is reported."""
        digests = self._take_crashed(request_id)
        if digests:
            self._report(digests)
        elif self.report_done is not None:
            # A call that was lost beside this one reports the crash.
            self.report_done.wait()

    def _take_crashed(self, request_id: str) -> list[bytes]:
        """Takes out what was in flight at a crash; empty if there is none."""
        lost = self.in_flight.get(request_id)
        if lost is None:
            return []
        if self.monitor.read_life() == lost.life:
            self.end(request_id)
            return []
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
                self.timers.spawn(self._send_until_taken, report)
        finally:
            self.report_done.send()

    def _send(self, report: member_messages.ReportCrash) -> bool:
        try:
            self.directory.ask(report, _REPORT_TIMEOUT)
        except errors.MintcleatError as error:
            logger.warning("A crash is not reported yet: {}", error.detail)
            return False
        # From now on control says who is a suspect, and for how long.
        self.timers.after(
            _PROPAGATION_SECONDS,
            lambda: self.local_suspects.difference_update(report.digests),
        )
        return True

    def _send_until_taken(self, report: member_messages.ReportCrash) -> None:
        while not self._send(report):
            self.timers.sleep(_RETRY_DELAY)
