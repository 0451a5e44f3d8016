"""Serves the configuration streams of nodes and of other control instances.

Each peer has a reader (the handler's green thread) and a writer. The writer
sends the difference between what the peer has and what is in force now, so
changes that come while it is busy travel as one.
"""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from eventlet import queue

from mintcleat.configuration import directory
from mintcleat.configuration import document
from mintcleat.configuration import lease
from mintcleat.configuration import members
from mintcleat.configuration import transfer
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports

CONTROL = "control"
# A peer that is silent for so many times `move_after` is taken for lost.
SILENCE_MOVES = 3
# Nodes that went away stay in the operators' list for this time.
GONE_SHOWN = 60.0
NO_CLOCK = float("-inf")


class Source(Protocol):
    """What a feed serves: the leader's state, or what a relay was told."""

    table: members.Table

    def document(self) -> document.Document:
        """Returns the document to serve."""

    def lease_left(self) -> float:
        """Returns the seconds for which a lease may be granted."""

    def confirmed_at(self) -> float:
        """Returns a clock at which the document surely was in force."""

    def confirm(self) -> None:
        """Asks for a newer `confirmed_at`."""

    def restrictions(self) -> config_messages.Restrictions:
        """Returns what operators and crashes forbid."""

    def directory(self) -> directory.Directory:
        """Returns the upstreams that registered themselves."""

    def serves_control(self) -> bool:
        """Tells whether other control instances may follow this one."""


class Status(NamedTuple):
    """What is known of a node; clocks are this instance's own.

    Attributes:
        lease_until: End of the longest lease granted to it.
        lost_at: When its stream ended; infinite while it is open.
    """

    follow: config_messages.FollowConfiguration
    revision: int
    applied_at: float
    lease_until: float
    lost_at: float


class Peer:
    """One stream and what its other side has."""

    def __init__(
        self,
        exchange: stream_ports.Exchange,
        follow: config_messages.FollowConfiguration,
        opened: float,
    ) -> None:
        self.exchange = exchange
        self.follow = follow
        self.opened = opened
        self.sent = follow.revision
        self.applied = follow.revision
        self.echo = NO_CLOCK
        self.members_sent = 0
        self.directory_sent = follow.directory
        self.held = transfer.Progress(follow.digest, follow.received)
        self.restrictions_sent = -1
        self.announced: member_messages.Announcement | None = None
        self.duplicate: bool | None = None
        self.closed = False
        self.signal: queue.LightQueue = queue.LightQueue(1)

    def wake(self) -> None:
        """Makes the writer look for something to send."""
        if self.signal.empty():
            self.signal.put_nowait(None)

    def wait(self) -> None:
        """Blocks the writer until `wake`."""
        self.signal.get()


class Feed:
    """Peers of one control instance.

    Attributes:
        statuses: What is known of each node, lost ones included for a time.
    """

    def __init__(
        self,
        instance: str,
        source: Source,
        timers: timer_ports.Timers,
        times: lease.Times = lease.DEFAULT,
    ) -> None:
        self.times = times
        self.instance = instance
        self.source = source
        self.timers = timers
        # In the order of their coming, so that a test repeats.
        self.peers: dict[Peer, None] = {}
        self.statuses: dict[identities.Incarnation, Status] = {}
        self.update_cache = transfer.UpdateCache()

    def serve(
        self,
        exchange: stream_ports.Exchange,
        follow: config_messages.FollowConfiguration,
    ) -> None:
        """Serves one stream until it ends."""
        peer = self.attach(exchange, follow)
        silence = SILENCE_MOVES * self.times.move_after
        self.timers.spawn(self._write, peer)
        try:
            while True:
                self.handle_message(peer, exchange.receive(silence))
        except (errors.StreamClosed, errors.StreamTimeout):
            return
        finally:
            self.detach(peer)

    def attach(
        self,
        exchange: stream_ports.Exchange,
        follow: config_messages.FollowConfiguration,
    ) -> Peer:
        """Takes a new stream in.

        Raises:
            errors.NotLeader: A control instance asked one that can't lead it.
        """
        if follow.role == CONTROL and not self.source.serves_control():
            raise errors.NotLeader("")
        peer = Peer(exchange, follow, self.timers.now())
        self.peers[peer] = None
        self._note(peer, lost_at=float("inf"))
        if follow.revision == 0:
            self.source.confirm()
        return peer

    def wake_all(self) -> None:
        """Makes every writer look for something to send."""
        for peer in self.peers:
            peer.wake()

    def close_control(self) -> None:
        """Ends the streams of other control instances."""
        for peer in list(self.peers):
            if peer.follow.role == CONTROL:
                peer.exchange.close()

    def nodes(self) -> list[operator_messages.NodeStatus]:
        """Returns what is known of each node."""
        now = self.timers.now()
        wall = self.timers.wall_time()
        found = []
        for status in self.statuses.values():
            follow = status.follow
            found.append(
                operator_messages.NodeStatus(
                    follow.node,
                    follow.role,
                    follow.failure_domain,
                    follow.address,
                    status.revision,
                    wall - (now - status.applied_at),
                    max(0.0, status.lease_until - now),
                    status.lost_at == float("inf"),
                    self.instance,
                )
            )
        return found

    def tick(self) -> None:
        """Forgets nodes that went away a while ago."""
        limit = self.timers.now() - GONE_SHOWN
        for node, status in list(self.statuses.items()):
            if status.lost_at < limit:
                del self.statuses[node]

    # --- Reading --------------------------------------------------------------

    def handle_message(self, peer: Peer, message: Any) -> None:
        """Takes a message of the peer."""
        table = self.source.table
        now = self.timers.now()
        match message:
            case config_messages.RevisionApplied(
                revision=revision, clock=clock
            ):
                if revision != peer.applied:
                    peer.applied = revision
                    self._note(peer, applied_at=now)
                peer.echo = clock
                if peer.announced is not None:
                    table.renew(peer.announced.sidecar, now)
            case member_messages.Announce(announcement=announcement):
                peer.announced = announcement
                table.announce(announcement, now)
                peer.duplicate = None
            case member_messages.MembersUpdate():
                table.apply_update(peer.follow.node.instance, message, now)
        peer.wake()

    def detach(self, peer: Peer) -> None:
        """Forgets a stream that ended."""
        now = self.timers.now()
        peer.closed = True
        self.peers.pop(peer, None)
        peer.wake()
        successors = [
            p for p in self.peers if p.follow.node == peer.follow.node
        ]
        if successors:
            return
        self._note(peer, lost_at=now)
        if peer.follow.role == CONTROL:
            self.source.table.expire_source(
                peer.follow.node.instance, now, self.times.member_lease
            )

    def _note(self, peer: Peer, **changes: float) -> None:
        node = peer.follow.node
        now = self.timers.now()
        status = self.statuses.get(node) or Status(
            peer.follow, peer.applied, now, NO_CLOCK, float("inf")
        )
        self.statuses[node] = status._replace(
            follow=peer.follow, revision=peer.applied, **changes
        )

    # --- Writing --------------------------------------------------------------

    def _write(self, peer: Peer) -> None:
        peer.wake()
        try:
            while not peer.closed:
                peer.wait()
                for message in self.take_pending(peer):
                    peer.exchange.send(message)
        except errors.StreamClosed:
            return

    def take_pending(self, peer: Peer) -> list[Any]:
        """Returns what the peer lacks, and notes it as sent."""
        found: list[Any] = []
        # Before the configuration, whose lease then covers both: a node must
        # not hold a lease without having heard who is leaving.
        registered = self.source.directory()
        if peer.directory_sent < registered.version:
            found.extend(self._directory(peer, registered))
        found.extend(self._config(peer))
        table = self.source.table
        if peer.members_sent != table.version:
            delta = table.update_since(peer.members_sent)
            peer.members_sent = table.version
            found.append(delta)
        restrictions = self.source.restrictions()
        if peer.restrictions_sent < restrictions.version:
            peer.restrictions_sent = restrictions.version
            found.append(restrictions)
        reply = self._announced(peer)
        if reply is not None:
            found.append(reply)
        return found

    def _directory(
        self, peer: Peer, registered: directory.Directory
    ) -> list[Any]:
        since = peer.directory_sent
        peer.directory_sent = registered.version
        update = registered.update_since(since)
        if not transfer.is_large(update):
            return [update]
        key = ("directory", since, registered.version)
        return self.update_cache.parts(key, update, peer.held)

    def _config(self, peer: Peer) -> list[Any]:
        if peer.sent == 0 and self.source.confirmed_at() < peer.opened:
            # This instance may lag. A restarted node would go back to a
            # revision from before its restart, so it waits until this
            # instance has asked the leader after the node came.
            return []
        since = peer.sent
        changes = self.source.document().update_since(since)
        if changes.revision <= since and peer.echo == NO_CLOCK:
            return []
        granted = self._grant(peer, changes.revision)
        echo = peer.echo if granted else 0.0
        peer.echo = NO_CLOCK
        peer.sent = max(since, changes.revision)
        update = config_messages.ConfigUpdate(*changes, 0.0, 0.0, since)
        if not transfer.is_large(update):
            return [update._replace(lease=granted, echo=echo)]
        # The parts are the same for all nodes; the lease is this node's own.
        key = ("config", since, changes.revision)
        renewal = update._replace(
            whole=False,
            sections={},
            lease=granted,
            echo=echo,
            base=changes.revision,
        )
        return [*self.update_cache.parts(key, update, peer.held), renewal]

    def _grant(self, peer: Peer, revision: int) -> float:
        """Returns the lease that goes with `revision`; 0 for none."""
        if peer.echo == NO_CLOCK or revision < peer.sent:
            return 0.0
        seconds = min(self.times.max_lease, self.source.lease_left())
        if seconds > 0:
            self._note(peer, lease_until=self.timers.now() + seconds)
        return seconds

    def _announced(self, peer: Peer) -> member_messages.LeaseRenewed | None:
        if peer.announced is None:
            return None
        sidecar = peer.announced.sidecar
        table = self.source.table
        held = table.view.get(sidecar.instance)
        newer = held is not None and held.sidecar.epoch > sidecar.epoch
        if newer == peer.duplicate:
            return None
        peer.duplicate = newer
        return member_messages.LeaseRenewed(
            peer.announced.counter, self.times.member_lease, newer
        )
