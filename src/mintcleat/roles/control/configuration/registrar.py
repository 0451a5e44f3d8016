"""The config leader's care for upstreams that register themselves."""

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
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

# An upstream that does not renew for so long is taken out. Entries notice a
# dead upstream by themselves at the first failed request, and renewals come
# seconds late at times, so this only cleans up.
SILENCE_SECONDS = 8.0
# Characters of a name that an error repeats.
_SHOWN = 80


class Leader(Protocol):
    """What the registrar needs of the config service."""

    machine: machine.ConfigMachine
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970 that no step of a clock changes."""


class LastRegistration(NamedTuple):
    """The newest registration of an upstream that came, changed or not."""

    at: float
    order: tuple[int, int]


class Registrar:
    """Commits registrations that change something, and ends silent ones.

    Attributes:
        last_registrations: By upstream, while this instance leads.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.last_registrations: dict[str, LastRegistration] = {}
        self.expiring: set[str] = set()

    def on_elected(self) -> None:
        """Gives every upstream a full period: its renewals went elsewhere."""
        now = self.leader.timers.now()
        held = self.leader.machine.directory.entries
        self.last_registrations = {
            name: LastRegistration(now, directory.recency_key(item))
            for name, item in held.items()
        }

    def register(self, registration: member_messages.Registration) -> None:
        """Takes a registration; returns once what it says is committed.

        Raises:
            errors.UnknownService: The manifest in force does not name its
                service. Whoever wrote it must not put others out of use.
        """
        state = self.leader.machine.directory
        name = registration.upstream
        order = directory.recency_key(registration)
        newest = self.last_registrations.get(name)
        if state.has_ended(name, registration.started):
            return
        if newest is not None and order < newest.order:
            return
        held = state.entries.get(name)
        self._check_service(registration, held)
        self.last_registrations[name] = LastRegistration(
            self.leader.timers.now(), order
        )
        if held is not None and directory.same_except_renewal(
            held, registration
        ):
            return
        at = self.leader.steady_time()
        if self.leader.propose(
            commands.Register(self.leader.leader_epoch, registration, at)
        ):
            self._tell(registration)

    def leave(self, upstream: str, started: int) -> None:
        """Takes a life of an upstream out; returns once that is committed.

        Args:
            upstream: Its id.
            started: Start of the life; 0 for the one that is registered.
        """
        state = self.leader.machine.directory
        held = state.entries.get(upstream)
        if held is None or (started and started < held.started):
            if state.has_ended(upstream, started):
                return
        else:
            self.last_registrations.pop(upstream, None)
        self._propose_leave(upstream, True, started)
        if held is not None and upstream not in state.entries:
            self._tell(held._replace(state="left"))

    def tick(self) -> None:
        """Takes out upstreams that have been silent for too long."""
        now = self.leader.timers.now()
        for name, held in list(self.leader.machine.directory.entries.items()):
            heard = self.last_registrations.setdefault(
                name, LastRegistration(now, directory.recency_key(held))
            )
            if now - heard.at > SILENCE_SECONDS and name not in self.expiring:
                self.expiring.add(name)
                self.leader.timers.spawn(self._expire, held, heard)

    def _expire(
        self, held: member_messages.Registration, heard: LastRegistration
    ) -> None:
        name = held.upstream
        try:
            self._propose_leave(name, False, held.started)
            self._tell(held._replace(state="silent"))
        except errors.MintcleatError as error:
            logger.info("Upstream {} not taken out: {}", name, error.detail)
        finally:
            # A later life may have registered meanwhile.
            if self.last_registrations.get(name) == heard:
                del self.last_registrations[name]
            self.expiring.discard(name)

    def _check_service(
        self,
        registration: member_messages.Registration,
        held: member_messages.Registration | None,
    ) -> None:
        """Refuses services that nobody can be routed to.

        Before the first manifest every service may still come. An upstream
        whose service was taken out since must be able to drain.
        """
        document = self.leader.machine.document
        if not document.revision:
            return
        service = registration.service
        if service in document.manifest().services:
            return
        if held is not None and held.service == service:
            return
        raise errors.UnknownService(
            f"No service {service[:_SHOWN]!r} for {registration.upstream}."
        )

    def _tell(self, registration: member_messages.Registration) -> None:
        self.leader.events.emit(
            events.UpstreamChanged(
                registration.upstream,
                registration.service,
                registration.address,
                registration.state,
                self.leader.machine.directory.version,
            )
        )

    def _propose_leave(self, name: str, final: bool, started: int) -> None:
        at = self.leader.steady_time()
        self.leader.propose(
            commands.Leave(self.leader.leader_epoch, name, final, at, started)
        )
