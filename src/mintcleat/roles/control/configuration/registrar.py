"""The config leader's care for upstreams that register themselves."""

from typing import Any
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
SILENCE = 8.0


class Leader(Protocol):
    """What the registrar needs of the config service."""

    machine: machine.ConfigMachine
    timers: timer_ports.Timers
    events: event_ports.Events
    office: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""


class Registrar:
    """Commits registrations that change something, and ends silent ones.

    Attributes:
        heard: When each upstream last renewed, with the sequence, while this
            instance leads.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.heard: dict[str, tuple[float, int]] = {}
        self.leaving: set[str] = set()

    def take_lead(self) -> None:
        """Gives every upstream a full period: its renewals went elsewhere."""
        now = self.leader.timers.now()
        held = self.leader.machine.directory.entries
        self.heard = {name: (now, item.sequence) for name, item in held.items()}

    def register(self, registration: member_messages.Registration) -> None:
        """Takes a registration; returns once what it says is committed."""
        state = self.leader.machine.directory
        name = registration.upstream
        _, newest = self.heard.get(name, (0.0, -1))
        if name in state.left or registration.sequence < newest:
            return
        self.heard[name] = (self.leader.timers.now(), registration.sequence)
        held = state.entries.get(name)
        if held is not None and directory.same_in_force(held, registration):
            return
        self.leader.propose(
            commands.Register(
                self.leader.office, registration, self.leader.timers.wall()
            )
        )
        self._tell(registration)

    def leave(self, upstream: str) -> None:
        """Takes an upstream out for good; returns once that is committed."""
        self.heard.pop(upstream, None)
        if upstream in self.leader.machine.directory.left:
            return
        held = self.leader.machine.directory.entries.get(upstream)
        self._propose_leave(upstream, True)
        if held is not None:
            self._tell(held._replace(state="left"))

    def tick(self) -> None:
        """Takes out upstreams that have been silent for too long."""
        now = self.leader.timers.now()
        for name in list(self.leader.machine.directory.entries):
            at, _ = self.heard.setdefault(name, (now, 0))
            if now - at > SILENCE and name not in self.leaving:
                self.leaving.add(name)
                self.leader.timers.spawn(self._expire, name)

    def _expire(self, name: str) -> None:
        held = self.leader.machine.directory.entries.get(name)
        try:
            self._propose_leave(name, False)
            if held is not None:
                self._tell(held._replace(state="silent"))
        except errors.MintcleatError as error:
            logger.info("Upstream {} not taken out: {}", name, error.detail)
        finally:
            self.heard.pop(name, None)
            self.leaving.discard(name)

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

    def _propose_leave(self, name: str, final: bool) -> None:
        self.leader.propose(
            commands.Leave(
                self.leader.office, name, final, self.leader.timers.wall()
            )
        )
