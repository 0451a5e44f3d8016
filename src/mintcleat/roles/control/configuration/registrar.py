"""Commits the registrations of upstreams on the config leader."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from mintcleat.configuration import commands
from mintcleat.configuration import directory
from mintcleat.configuration import machine
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import member_messages
from mintcleat.domain import registrations
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

# An upstream that does not renew its registration for this time is removed.
# Renewals can be seconds late, and entries detect a dead upstream by
# themselves at the first failed request, so this only cleans up.
SILENCE_SECONDS = 8.0
# Number of refused registrations that are kept. Their ids are unauthenticated,
# so that anybody could send any number of them.
WAITING_KEPT = 1000
# Number of upstreams that may be registered. All processes hold the list, and
# their ids are unauthenticated.
MAX_UPSTREAMS = 4096
# Time after which an upstream that finds no room should register again.
_RETRY_SECONDS = 1.0
# Length at which a name is cut in an error message.
_MAX_NAME_CHARACTERS = 80


class Leader(Protocol):
    """The part of the config service that the registrar uses."""

    machine: machine.ConfigMachine
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970, unaffected by clock steps."""


class LastRegistration(NamedTuple):
    """The newest registration received from an upstream, changed or not.

    Attributes:
        at: When it was received, on the monotonic clock.
        recency: Its `directory.recency_key`.
    """

    at: float
    recency: tuple[int, int]


class WaitingRegistration(NamedTuple):
    """A registration for a service that the manifest doesn't name yet.

    Attributes:
        at: When it was received, on the monotonic clock.
    """

    at: float
    registration: member_messages.Registration


class Registrar:
    """Commits registrations that change something, and expires silent ones.

    Attributes:
        waiting: Refused registrations of unknown upstreams, by upstream, for
            when a manifest names their service.
        waiting_revision: Revision for which they were last examined.
        last_registrations: By upstream, while this instance leads.
        expiring: Upstreams whose removal is being committed.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.last_registrations: dict[str, LastRegistration] = {}
        self.expiring: set[str] = set()
        self.waiting: dict[str, WaitingRegistration] = {}
        self.waiting_revision = 0

    def on_elected(self) -> None:
        """Gives every upstream a full period to renew its registration.

        Until now the renewals went to another leader.
        """
        now = self.leader.timers.now()
        entries = self.leader.machine.directory.entries
        self.last_registrations = {
            name: LastRegistration(now, directory.recency_key(item))
            for name, item in entries.items()
        }
        self.waiting.clear()

    def register(self, registration: member_messages.Registration) -> None:
        """Handles a registration; returns once its content is committed.

        A registration older than the newest one is ignored.

        Raises:
            errors.UnknownService: The manifest in force does not name its
                service. Accepted, a wrong or forged one under the id of
                another upstream would take that upstream out of service.
            errors.Overloaded: Too many others are registered.
        """
        state = self.leader.machine.directory
        name = registration.upstream
        recency = directory.recency_key(registration)
        newest = self.last_registrations.get(name)
        if state.has_ended(name, registration.started):
            return
        if newest is not None and recency < newest.recency:
            return
        current = state.entries.get(name)
        now = self.leader.timers.now()
        try:
            self._check_service(registration, current)
        except errors.UnknownService:
            if current is None:
                self._keep_waiting(registration, now)
            raise
        self.waiting.pop(name, None)
        self._check_room(name)
        self._commit(registration, current, now)

    def _check_room(self, name: str) -> None:
        """Refuses a new upstream when there are too many."""
        if name in self.last_registrations:
            return
        if len(self.last_registrations) >= MAX_UPSTREAMS:
            raise errors.Overloaded(
                f"{MAX_UPSTREAMS} upstreams are registered, which is the most "
                "that may be.",
                retry_after=_RETRY_SECONDS,
            )

    def _commit(
        self,
        registration: member_messages.Registration,
        current: member_messages.Registration | None,
        received_at: float,
    ) -> None:
        self.last_registrations[registration.upstream] = LastRegistration(
            received_at, directory.recency_key(registration)
        )
        if current is not None and directory.same_except_renewal(
            current, registration
        ):
            return
        at = self.leader.steady_time()
        try:
            is_registered = self.leader.propose(
                commands.Register(self.leader.leader_epoch, registration, at)
            )
        finally:
            self._forget_refused(registration.upstream)
        if is_registered:
            self._report_change(registration)

    def _forget_refused(self, name: str) -> None:
        """Forgets an upstream that didn't get registered, nor was before.

        No silence would end what is kept of it.
        """
        if name not in self.leader.machine.directory.entries:
            self.last_registrations.pop(name, None)

    def leave(self, upstream: str, started: int) -> None:
        """Removes an incarnation of an upstream; returns once committed.

        Args:
            upstream: Id of the upstream.
            started: Start of the incarnation; 0 for the registered one.

        Raises:
            errors.BadRequest: The id is longer than any that can be registered.
                It would be remembered.
        """
        if len(upstream) > registrations.MAX_NAME_LENGTH:
            raise errors.BadRequest(
                f"The id of an upstream has {len(upstream)} characters; at "
                f"most {registrations.MAX_NAME_LENGTH} are allowed."
            )
        self.waiting.pop(upstream, None)
        state = self.leader.machine.directory
        current = state.entries.get(upstream)
        if current is None or (started and started < current.started):
            if state.has_ended(upstream, started):
                return
        else:
            self.last_registrations.pop(upstream, None)
        self._propose_leave(upstream, True, started)
        if current is not None and upstream not in state.entries:
            self._report_change(current._replace(state="left"))

    def tick(self) -> None:
        """Removes silent upstreams; registers those that have waited."""
        now = self.leader.timers.now()
        self._examine_waiting(now)
        for name, current in list(
            self.leader.machine.directory.entries.items()
        ):
            last = self.last_registrations.setdefault(
                name, LastRegistration(now, directory.recency_key(current))
            )
            if now - last.at > SILENCE_SECONDS and name not in self.expiring:
                self.expiring.add(name)
                self.leader.timers.spawn(self._expire, current, last)

    def _keep_waiting(
        self, registration: member_messages.Registration, now: float
    ) -> None:
        """Keeps a registration until its service is named.

        A late one doesn't replace a newer one: an upstream that leaves would
        be registered as ready.
        """
        recency = directory.recency_key(registration)
        known = self.waiting.get(registration.upstream)
        if known and recency < directory.recency_key(known.registration):
            return
        self.waiting.pop(registration.upstream, None)
        if len(self.waiting) >= WAITING_KEPT:
            del self.waiting[next(iter(self.waiting))]
        self.waiting[registration.upstream] = WaitingRegistration(
            now, registration
        )

    def _examine_waiting(self, now: float) -> None:
        """Registers the upstreams whose service a new manifest names.

        The operator adds a service and its route in one push. If its upstreams
        were known only after their next heartbeats, the route would have none
        until then.
        """
        document = self.leader.machine.document
        if document.revision == self.waiting_revision:
            return
        self.waiting_revision = document.revision
        if not self.waiting:
            return
        for name, kept in list(self.waiting.items()):
            if now - kept.at > SILENCE_SECONDS:
                del self.waiting[name]
            elif document.has_service(kept.registration.service):
                del self.waiting[name]
                self.leader.timers.spawn(self._register_waiting, kept)

    def _register_waiting(self, kept: WaitingRegistration) -> None:
        name = kept.registration.upstream
        state = self.leader.machine.directory
        if name in state.entries or state.has_ended(
            name, kept.registration.started
        ):
            # A later registration of it has been received meanwhile.
            return
        try:
            self._commit(kept.registration, None, kept.at)
        except errors.MintcleatError as error:
            # Its next heartbeat comes anyway.
            logger.info(
                "Upstream {} could not be registered: {}", name, error.detail
            )

    def _expire(
        self, current: member_messages.Registration, last: LastRegistration
    ) -> None:
        name = current.upstream
        try:
            self._propose_leave(name, False, current.started)
            self._report_change(current._replace(state="silent"))
        except errors.MintcleatError as error:
            logger.info(
                "Silent upstream {} was not removed: {}", name, error.detail
            )
        finally:
            # A later incarnation may have registered meanwhile.
            if self.last_registrations.get(name) == last:
                del self.last_registrations[name]
            self.expiring.discard(name)

    def _check_service(
        self,
        registration: member_messages.Registration,
        current: member_messages.Registration | None,
    ) -> None:
        """Refuses a registration for a service that the manifest lacks.

        Before the first manifest, every service is accepted. An upstream
        whose service was removed after it registered can still update its
        registration, because it must be able to drain.
        """
        document = self.leader.machine.document
        if not document.revision:
            return
        service = registration.service
        if document.has_service(service):
            return
        if current is not None and current.service == service:
            return
        raise errors.UnknownService(
            "The manifest names no service "
            f"{service[:_MAX_NAME_CHARACTERS]!r}, for which upstream "
            f"{registration.upstream} registers."
        )

    def _report_change(
        self, registration: member_messages.Registration
    ) -> None:
        self.leader.events.emit(
            events.UpstreamChanged(
                registration.upstream,
                registration.service,
                registration.address,
                registration.state,
                self.leader.machine.directory.version,
                registration.version,
            )
        )

    def _propose_leave(self, name: str, final: bool, started: int) -> None:
        at = self.leader.steady_time()
        self.leader.propose(
            commands.Leave(self.leader.leader_epoch, name, final, at, started)
        )
