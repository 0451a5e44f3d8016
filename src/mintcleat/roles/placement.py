"""The entry's view of upstream load, and the choice of a sidecar."""

from typing import NamedTuple

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.ports import directory as directory_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port

_REWATCH_SECONDS = 1.0


class Placed(NamedTuple):
    """The chosen sidecar and why."""

    sidecar: messages.Incarnation
    address: str
    reason: str


class Placement:
    """Keeps the newest load report of each sidecar and chooses among them."""

    def __init__(
        self,
        instance: str,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
        directory: directory_port.Directory,
    ) -> None:
        self.instance = instance
        self.streams = streams
        self.timers = timers
        self.directory = directory
        self.reports: dict[messages.Incarnation, messages.LoadReport] = {}
        self.sent: dict[messages.Incarnation, int] = {}
        self.watched: set[messages.Incarnation] = set()

    def start(self) -> None:
        """Begins to watch every member as it appears."""
        self.directory.subscribe(self.watch_members)
        self.timers.every(_REWATCH_SECONDS, self.watch_members)

    def watch_members(self) -> None:
        """Opens a load watch to each member that has none."""
        manifest = self.directory.manifest()
        for service in manifest.services:
            for member in self.directory.members(service):
                if member.sidecar not in self.watched:
                    self.watched.add(member.sidecar)
                    self.timers.spawn(self._watch, member)

    def choose(
        self,
        service: str,
        resident: messages.Incarnation | None,
        excluded: set[messages.Incarnation],
    ) -> Placed:
        """Returns the sidecar for a call.

        Raises:
            errors.NoUpstream: No member takes new work.
        """
        members = [
            member
            for member in self.directory.members(service)
            if member.state == "ready"
            and member.sidecar not in excluded
            and self._state(member.sidecar) == "ready"
        ]
        if not members:
            raise errors.NoUpstream(
                f"No upstream of {service} takes new work now.",
                retry_after=1.0,
            )
        for member in members:
            if member.sidecar == resident:
                return self._placed(member, "resident")
        least = min(members, key=lambda member: self._load(member.sidecar))
        return self._placed(least, "least_loaded")

    def learn(self, report: messages.LoadReport) -> None:
        """Takes a report; one older than the newest known is dropped."""
        known = self.reports.get(report.sidecar)
        if known is not None and known.counter >= report.counter:
            return
        self.reports[report.sidecar] = report
        self.sent[report.sidecar] = 0

    def _placed(self, member: messages.Announcement, reason: str) -> Placed:
        self.sent[member.sidecar] = self.sent.get(member.sidecar, 0) + 1
        return Placed(member.sidecar, member.address, reason)

    def _state(self, sidecar: messages.Incarnation) -> str:
        report = self.reports.get(sidecar)
        return "ready" if report is None else report.state

    def _load(self, sidecar: messages.Incarnation) -> float:
        report = self.reports.get(sidecar)
        sent = self.sent.get(sidecar, 0)
        if report is None:
            return float(sent)
        return (report.running + report.queued + sent) / max(report.limit, 1)

    def _watch(self, member: messages.Announcement) -> None:
        try:
            exchange = self.streams.open(
                member.address, messages.WatchLoad(self.instance)
            )
            while True:
                self.learn(exchange.receive())
        except errors.MintcleatError as error:
            logger.debug("Load watch of {} ended: {}", member.sidecar, error)
        finally:
            self.watched.discard(member.sidecar)
            self.reports.pop(member.sidecar, None)
            self.sent.pop(member.sidecar, None)
