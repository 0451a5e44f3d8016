"""Follows the load of sidecars and places calls with `decisions.placement`."""

from typing import NamedTuple

from loguru import logger

from mintcleat.decisions import calls
from mintcleat.decisions import placement
from mintcleat.decisions import retry
from mintcleat.decisions import subset
from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.ports import directory as directory_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port

_REFRESH_SECONDS = 1.0
_FORGET_SECONDS = 60.0
# Concurrency limit assumed for a sidecar that has announced no capacity and
# not reported its load yet.
_UNKNOWN_LIMIT = 8
_NO_UPSTREAM_RETRY_SECONDS = 1.0


class Placed(NamedTuple):
    """The chosen sidecar and the reason of the choice."""

    sidecar: identities.Incarnation
    address: str
    reason: str


class ServiceState:
    """One service's sidecars and retry budget at this entry.

    Attributes:
        members: Announcements by sidecar instance.
        software: Version of the software that an engine last stated in an
            answer, by sidecar. The engine may have another one by now, and
            decides itself.
    """

    def __init__(self) -> None:
        self.fleet = placement.Fleet()
        self.budget = retry.Budget()
        self.members: dict[str, member_messages.Announcement] = {}
        self.software: dict[identities.Incarnation, str] = {}


class Placement:
    """Watches a subset of each service's sidecars and places calls on them.

    Attributes:
        watched: Sidecars whose load reports are received.
    """

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
        self.services: dict[str, ServiceState] = {}
        self.watched: set[identities.Incarnation] = set()
        self.subscriptions: list[timers_port.Subscription] = []

    def start(self) -> None:
        """Starts to follow the members."""
        self.directory.subscribe(self.refresh)
        self.subscriptions = [
            self.timers.every(_REFRESH_SECONDS, self.refresh),
            self.timers.every(_FORGET_SECONDS, self._forget_silent),
        ]
        self.refresh()

    def stop(self) -> None:
        """Stops opening watches; open ones stay."""
        for subscription in self.subscriptions:
            subscription.cancel()

    def refresh(self) -> None:
        """Updates the members and watches those in the subset."""
        for name in self.directory.manifest().services:
            self._refresh_service(name)

    def choose(
        self,
        name: str,
        call: calls.Call,
        resident: identities.Incarnation | None,
        excluded: set[identities.Incarnation],
        software: str = "",
    ) -> Placed:
        """Returns the sidecar for a call.

        Args:
            name: Name of the service.
            call: The call.
            resident: Sidecar that has the program's memory; None for none.
            excluded: Sidecars that were tried.
            software: Version of the software that the engine must have; empty
                for any. Engines that had another one are tried last.

        Raises:
            errors.NoUpstream: No member takes new work.
        """
        service = self.services.get(name)
        if service is None:
            raise self._no_upstream(name)
        resident_at = self._resident(service, call, resident)
        policies = self.directory.manifest().policies
        others = {
            sidecar
            for sidecar, stated in service.software.items()
            if software and stated != software
        }
        for left_out in [excluded | others, excluded] if others else [excluded]:
            choice = placement.choose(
                service.fleet,
                call,
                resident_at,
                placement.Weights(*weights_of(policies)),
                self.timers.now(),
                exclude=frozenset(one.instance for one in left_out),
            )
            if choice is not None:
                break
        if choice is None:
            raise self._no_upstream(name)
        member = service.members[choice.name]
        return Placed(
            member.sidecar, member.address, reason_of(choice, resident_at)
        )

    def update_load(self, report: call_messages.LoadReport) -> None:
        """Applies a load report that was pushed or came with an answer."""
        now = self.timers.now()
        for service in self.services.values():
            member = service.members.get(report.sidecar.instance)
            if member is not None and member.sidecar == report.sidecar:
                service.fleet.report(report, now)
                return

    def record_result(
        self, name: str, sidecar: identities.Incarnation, ok: bool
    ) -> None:
        """Records whether a call at a sidecar succeeded; not for refusals."""
        service = self.services.get(name)
        if service is None:
            return
        service.fleet.answered(sidecar.instance, ok, self.timers.now())
        if ok:
            service.budget.succeeded()

    def note_software(
        self, name: str, sidecar: identities.Incarnation, software: str
    ) -> None:
        """Records the version that an engine states in an answer."""
        service = self.services.get(name)
        if service is not None:
            service.software[sidecar] = software

    def may_retry(self, name: str, attempts: int) -> bool:
        """Returns whether a call may have another attempt."""
        service = self.services.get(name)
        return service is not None and service.budget.take(attempts)

    def _refresh_service(self, name: str) -> None:
        service = self.services.setdefault(name, ServiceState())
        members = self.directory.members(name)
        old = service.members
        service.members = {one.sidecar.instance: one for one in members}
        for instance, known in old.items():
            successor = service.members.get(instance)
            if successor is None or successor.sidecar != known.sidecar:
                service.fleet.forget(instance)
                service.software.pop(known.sidecar, None)
        watched = subset.choose(
            [
                subset.Member(one.sidecar.instance, one.failure_domain)
                for one in members
            ],
            self.instance,
        )
        service.fleet.watch(watched)
        for instance in watched:
            self._ensure_watch(service, service.members[instance])

    def _ensure_watch(
        self, service: ServiceState, member: member_messages.Announcement
    ) -> None:
        if member.sidecar.instance not in service.fleet.upstreams:
            service.fleet.report(self._first_report(service, member), 0.0)
        if member.sidecar in self.watched:
            return
        self.watched.add(member.sidecar)
        self.timers.spawn(self._watch, member)

    def _first_report(
        self, service: ServiceState, member: member_messages.Announcement
    ) -> call_messages.LoadReport:
        """Returns the load assumed for a sidecar that has not reported yet.

        It counts as idle and as fast as the average until its first answer or
        report.
        """
        return call_messages.LoadReport(
            sidecar=member.sidecar,
            counter=-1,
            running=0,
            queued=0,
            limit=member.capacity or _UNKNOWN_LIMIT,
            wait=0.0,
            token_time=service.fleet.token_time,
            prefill_rate=service.fleet.prefill_rate,
            free_memory=0,
            state=member.state,
        )

    def _resident(
        self,
        service: ServiceState,
        call: calls.Call,
        resident: identities.Incarnation | None,
    ) -> placement.Resident | None:
        """Returns the residency hint if the same incarnation is a member.

        The engine of a restarted sidecar may have lost its prefix cache.
        """
        if resident is None:
            return None
        member = service.members.get(resident.instance)
        if member is None or member.sidecar != resident:
            return None
        if resident.instance not in service.fleet.upstreams:
            report = self._first_report(service, member)
            service.fleet.report(report, self.timers.now())
        cached = max(0, call.prompt_tokens - call.new_tokens)
        return placement.Resident(resident.instance, cached)

    def _watch(self, member: member_messages.Announcement) -> None:
        try:
            exchange = self.streams.open(
                member.address, call_messages.WatchLoad(self.instance)
            )
            while True:
                self.update_load(exchange.receive())
        except errors.MintcleatError as error:
            logger.debug("Load watch of {} closed: {}", member.sidecar, error)
        finally:
            self.watched.discard(member.sidecar)

    def _forget_silent(self) -> None:
        for service in self.services.values():
            service.fleet.forget_silent(self.timers.now())

    def _no_upstream(self, name: str) -> errors.NoUpstream:
        return errors.NoUpstream(
            f"No upstream of service {name!r} takes new work.",
            retry_after=_NO_UPSTREAM_RETRY_SECONDS,
        )


def weights_of(policies: manifest.Policies) -> tuple[float, float]:
    """Returns the weights of program latency and of wasted cache."""
    weights = policies.weights
    return weights.program_latency, weights.wasted_cache


def reason_of(
    choice: placement.Choice, resident: placement.Resident | None
) -> str:
    """Returns the `reason` label for the metric `placements_total`."""
    if choice.probe:
        return "probe"
    if resident is not None and choice.name == resident.name:
        return "resident"
    if choice.moved:
        return "moved"
    return "two_choices"
