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

_REPORT_SECONDS = 2.0
_RETRY_SECONDS = 1.0
# Time in which the restrictions of a taken report reach every sidecar.
_HAND_OVER_SECONDS = 5.0


class Presence(Protocol):
    """What is known of the upstream.

    Attributes:
        life: Its life as last seen.
    """

    life: int

    def look(self) -> int:
        """Looks at the upstream; returns its life, or 0 when it is gone."""


class InFlight(NamedTuple):
    """A request at the upstream, in one of the upstream's lives."""

    digest: bytes
    life: int


class Crashes:
    """Digests in flight, and the report of each crash.

    A caller is told of a broken call only once the crash is reported: its
    resend would otherwise crash a second upstream as an unsuspected request
    among others, and nothing would be learned from that crash.

    Attributes:
        presence: Knows the upstream's life.
        in_flight: Digest and life of the upstream, by request id.
        local: Suspects of this upstream's own crashes, for the time in which
            no control instance can be told.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        directory: membership_port.Membership,
        timers: timers_port.Timers,
        presence: Presence,
    ) -> None:
        self.node = node
        self.directory = directory
        self.timers = timers
        self.presence = presence
        self.in_flight: dict[str, InFlight] = {}
        self.local: set[bytes] = set()
        self.count = 0
        self.reported: event.Event | None = None

    def begin(self, request: str, digest: bytes) -> None:
        """Notes that a request goes to the upstream."""
        self.in_flight[request] = InFlight(digest, self.presence.life)

    def end(self, request: str) -> None:
        """Notes that the upstream has answered."""
        self.in_flight.pop(request, None)

    def is_suspect(self, digest: bytes) -> bool:
        """Tells whether a request may run beside no other suspect only."""
        return digest in self.local or self.directory.is_suspect(digest)

    def broken(self, request: str) -> None:
        """Handles a lost stream; returns once a crash is reported."""
        digests = self._take_crashed(request)
        if digests:
            self._report(digests)
        elif self.reported is not None:
            # A call that was lost beside this one reports the crash.
            self.reported.wait()

    def _take_crashed(self, request: str) -> list[bytes]:
        """Takes out what was in flight at a crash; empty if there is none."""
        broken = self.in_flight.get(request)
        if broken is None:
            return []
        if self.presence.look() == broken.life:
            self.end(request)
            return []
        if request not in self.in_flight:
            return []
        beside = {
            name: item.digest
            for name, item in self.in_flight.items()
            if item.life == broken.life
        }
        for name in beside:
            del self.in_flight[name]
        return sorted(set(beside.values()))

    def _report(self, digests: list[bytes]) -> None:
        self.local.update(digests)
        self.count += 1
        report = member_messages.ReportCrash(self.node, self.count, digests)
        self.reported = event.Event()
        try:
            if not self._send(report):
                self.timers.spawn(self._send_until_taken, report)
        finally:
            self.reported.send()

    def _send(self, report: member_messages.ReportCrash) -> bool:
        try:
            self.directory.ask(report, _REPORT_SECONDS)
        except errors.MintcleatError as error:
            logger.warning("A crash is not reported yet: {}", error.detail)
            return False
        # From now on control says who is a suspect, and for how long.
        self.timers.after(
            _HAND_OVER_SECONDS,
            lambda: self.local.difference_update(report.digests),
        )
        return True

    def _send_until_taken(self, report: member_messages.ReportCrash) -> None:
        while not self._send(report):
            self.timers.sleep(_RETRY_SECONDS)
