"""Control instances and nodes in virtual time, connected in memory.

A link replaces a `ConfigStream` over a socket. Links and requests between two
addresses can be cut without either side being notified.
"""

from collections.abc import Callable
from typing import Any

from testing.fakes import log as fake_log

from mintcleat.adapters import timers
from mintcleat.configuration import lease
from mintcleat.configuration import transfer
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.roles import follower
from mintcleat.roles.control.configuration import feed as config_feed
from mintcleat.roles.control.configuration import service as config_service

STEP = 0.05


class Replies:
    """An exchange that stores the messages sent by the handler."""

    peer = "peer"

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = False

    def send(self, message: Any) -> None:
        """Stores a message."""
        self.sent.append(message)

    def close(self) -> None:
        """Closes the exchange."""
        self.closed = True


class Network:
    """The handlers and services by address, and the network partition.

    Attributes:
        cut_off: Addresses that reach only each other.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, dict[type, Callable[..., None]]] = {}
        self.services: dict[str, config_service.ConfigService] = {}
        self.cut_off: set[str] = set()

    def reaches(self, one: str, other: str) -> bool:
        """Returns whether messages pass between two addresses."""
        return (one in self.cut_off) == (other in self.cut_off)


class MemoryStreams:
    """The parts `ask` and `handle` of `ports.streams.Streams`."""

    def __init__(self, network: Network, address: str) -> None:
        self.network = network
        self.address = address
        network.handlers[address] = {}

    def handle(self, kind: type, handler: Callable[..., None]) -> None:
        """Registers a handler."""
        self.network.handlers[self.address][kind] = handler

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        """Runs the peer's handler at once and returns its answer."""
        if not self.network.reaches(self.address, address):
            raise errors.StreamTimeout(f"{address} does not answer.")
        replies = Replies()
        handler = self.network.handlers[address].get(type(message))
        if handler is None:
            raise errors.BadRequest(f"No handler for {message}.")
        handler(replies, message)
        return replies.sent[0]


class Link:
    """Does for an owner what a `ConfigStream` does, one step per tick.

    Attributes:
        due: When the next report is sent.
        received: All messages received, for tests.
    """

    def __init__(
        self,
        owner: Any,
        address: str,
        network: Network,
        clock: timers.VirtualTimers,
        renew: float,
    ) -> None:
        self.owner = owner
        self.own_address = address
        self.network = network
        self.timers = clock
        self.renew = renew
        self.address = ""
        self.peer: config_feed.Peer | None = None
        self.attempt = 0
        self.opened = 0.0
        self.due = 0.0
        self.received: list[Any] = []
        self.stopped = False
        self.reassembler = transfer.Reassembler()
        clock.every(STEP, self.step)

    def start(self) -> None:
        """Does nothing; a link runs from its creation."""

    def stop(self) -> None:
        """Stops the link without notifying the other side."""
        self.stopped = True

    def report(self) -> None:
        """Sends a report at the next step."""
        self.due = 0.0

    def close(self) -> None:
        """Closes the stream; the next step opens another one."""
        if self.peer is not None:
            self.network.services[self.address].feed.detach(self.peer)
        self.peer = None
        self.address = ""

    def return_to_preferred(self) -> None:
        """Reconnects to the preferred control instance."""
        self.close()
        self.attempt = 0

    def step(self) -> None:
        """Opens the stream, exchanges messages, or closes a silent one."""
        if self.stopped:
            return
        if self.peer is None:
            self._open()
            return
        service = self.network.services[self.address]
        if self._is_connected() and not self.peer.closed:
            if self.timers.now() >= self.due:
                self._report(service)
            for message in service.feed.take_pending(self.peer):
                self.received.append(message)
                update = self.reassembler.take(message)
                if update is not None:
                    self.owner.handle_message(update)
        since = max(self.opened, self.owner.lease.echo)
        ended = self.peer.exchange.closed
        if ended or self.timers.now() - since > lease.MOVE_AFTER_SECONDS:
            service.feed.detach(self.peer)
            self.peer = None
            self.address = ""
            self.attempt += 1

    def _is_connected(self) -> bool:
        return self.network.reaches(self.own_address, self.address)

    def _open(self) -> None:
        self.address = self.owner.select_address(self.attempt)
        if not self.address:
            self.attempt += 1
            return
        self.opened = self.timers.now()
        if not self._is_connected():
            # A peer that is cut off looks like one that has not answered yet.
            self.peer = config_feed.Peer(
                Replies(), self.owner.follow_request(), self.opened
            )
            self.peer.closed = True
            return
        service = self.network.services[self.address]
        try:
            self.peer = service.feed.attach(
                Replies(), self.owner.follow_request()
            )
        except errors.NotLeader:
            return
        self.due = self.opened + self.renew
        self._send(service, True)

    def _report(self, service: config_service.ConfigService) -> None:
        self.due = self.timers.now() + self.renew
        self._send(service, False)

    def _send(self, service: config_service.ConfigService, first: bool) -> None:
        for message in self.owner.next_announcements(first):
            service.feed.handle_message(self.peer, message)
        clock = self.timers.now()
        service.feed.handle_message(
            self.peer,
            config_messages.RevisionApplied(
                self.owner.applied_revision(), clock
            ),
        )


class Cluster:
    """Control instances `control-0`, `control-1`, ... and nodes of a test."""

    def __init__(self, size: int) -> None:
        self.timers = timers.VirtualTimers()
        self.network = Network()
        self.log = fake_log.Cluster()
        self.control = [self._control(f"control-{n}") for n in range(size)]
        self.log.elect("control-0")
        self.nodes: list[follower.Follower] = []
        self.timers.advance(1.0)

    def _control(self, name: str) -> config_service.ConfigService:
        service = config_service.ConfigService(
            identities.Incarnation(name, 1),
            "fd-1",
            name,
            log=fake_log.MemoryLog(self.log, name),
            streams=MemoryStreams(self.network, name),
            timers=self.timers,
        )
        self.network.services[name] = service
        service.relay.stream = self._link(
            service.relay, name, lease.RELAY_RENEW_SECONDS
        )
        service.start()
        return service

    def _link(self, owner: Any, address: str, renew: float) -> Link:
        return Link(owner, address, self.network, self.timers, renew)

    def node(
        self,
        name: str,
        epoch: int = 1,
        announcer: follower.Announcer | None = None,
        control: list[str] | None = None,
    ) -> follower.Follower:
        """Starts a node and returns it.

        Args:
            name: Name of the node's instance.
            epoch: Epoch of its incarnation.
            announcer: Makes the node a sidecar with this announcement.
            control: Control instances that it knows; all by default.
        """
        address = f"{name}/{epoch}"
        node = follower.Follower(
            identities.Incarnation(name, epoch),
            "sidecar" if announcer else "entry",
            "fd-1",
            address,
            streams=MemoryStreams(self.network, address),
            timers=self.timers,
            control_addresses=control or list(self.network.services),
            announcer=announcer,
        )
        node.stream = self._link(node, address, lease.RENEW_SECONDS)
        node.start()
        self.nodes.append(node)
        return node

    def push(self, instance: int, expected: int, version: str) -> int:
        """Pushes a version at one control instance; returns the revision."""
        request = config_messages.PushManifest(
            expected, f"push-{version}", manifest_text(version), "anna", "test"
        )
        return self.control[instance].ask(request).revision


def manifest_text(version: str, customers: int = 0) -> str:
    """Returns a manifest with one model service of a version."""
    service = manifest.Service(kind="model", model="m", version=version)
    names = {f"customer-{n}": manifest.Customer() for n in range(customers)}
    policies = manifest.Policies(customers=names)
    return manifest.render(
        manifest.Manifest(services={"chat": service}, policies=policies)
    )
