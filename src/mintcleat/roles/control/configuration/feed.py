"""Serves configuration streams to nodes and to other control instances.

Each stream has a reader, which is the green thread of the stream handler, and
a writer. The writer sends the difference between what the peer has and what is
in force at that moment, so changes that arrive while it is sending are
combined into one update.
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
# A stream is closed when its peer was silent for this many times `move_after`.
SILENCE_FACTOR = 3
# Disconnected nodes stay in the operators' list for this time.
DISCONNECTED_KEPT_SECONDS = 60.0
# Earlier than every clock reading.
NEVER = float("-inf")


class Source(Protocol):
    """State that a feed serves: the leader's own, or a relay's copy of it."""

    table: members.Table

    def document(self) -> document.Document:
        """Returns the document to serve."""

    def lease_left(self) -> float:
        """Returns the longest lease that may be granted now, in seconds."""

    def confirmed_at(self) -> float:
        """Returns the latest time at which the document was in force for sure.

        The time is a reading of this instance's monotonic clock.
        """

    def confirm(self) -> None:
        """Asks the leader for a newer `confirmed_at`."""

    def restrictions(self) -> config_messages.Restrictions:
        """Returns the drains, the quarantine and the control instances."""

    def directory(self) -> directory.Directory:
        """Returns the upstreams that registered themselves."""

    def serves_control(self) -> bool:
        """Returns whether other control instances may follow this one."""


class NodeState(NamedTuple):
    """The last known state of a node; times are on this instance's clock.

    Attributes:
        follow: The request that opened the node's latest stream.
        revision: The revision that the node last reported as applied.
        applied_at: When it first reported that revision.
        lease_until: End of the longest lease granted to it.
        disconnected_at: When its last stream ended; infinite while one is
            open.
    """

    follow: config_messages.FollowConfiguration
    revision: int
    applied_at: float
    lease_until: float
    disconnected_at: float


class Peer:
    """One stream and what its other side has received.

    Attributes:
        sent_revision: The last revision sent.
        applied_revision: The last revision that the peer reported as applied.
        echo: Clock value of the peer's last report, to be sent back with a
            lease; `NEVER` when no report waits for one.
        members_sent: Version of the members table that was last sent.
        directory_sent: Version of the upstream directory that was last sent.
        progress: The part of a large update that the peer already held when
            it opened the stream.
        restrictions_sent: Version of the restrictions that was last sent.
        announcement: The last announcement of the peer, on sidecars.
        duplicate: The last answer to an announcement; None before the first.
        wake_signal: Holds an item when the writer has something to look for.
    """

    def __init__(
        self,
        exchange: stream_ports.Exchange,
        follow: config_messages.FollowConfiguration,
        opened: float,
    ) -> None:
        self.exchange = exchange
        self.follow = follow
        self.opened = opened
        self.sent_revision = follow.revision
        self.applied_revision = follow.revision
        self.echo = NEVER
        self.members_sent = 0
        self.directory_sent = follow.directory
        self.progress = transfer.Progress(follow.digest, follow.received)
        self.restrictions_sent = -1
        self.announcement: member_messages.Announcement | None = None
        self.duplicate: bool | None = None
        self.closed = False
        self.wake_signal: queue.LightQueue = queue.LightQueue(1)

    def wake(self) -> None:
        """Makes the writer check for messages to send."""
        if self.wake_signal.empty():
            self.wake_signal.put_nowait(None)

    def wait(self) -> None:
        """Blocks the writer until `wake` is called."""
        self.wake_signal.get()


class Feed:
    """The configuration streams that one control instance serves.

    Attributes:
        peers: Open streams.
        node_states: The state of each node. Disconnected nodes are kept for
            `DISCONNECTED_KEPT_SECONDS`.
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
        # A dict keeps the order of arrival, so seeded tests are reproducible.
        self.peers: dict[Peer, None] = {}
        self.node_states: dict[identities.Incarnation, NodeState] = {}
        self.update_cache = transfer.UpdateCache()

    def serve(
        self,
        exchange: stream_ports.Exchange,
        follow: config_messages.FollowConfiguration,
    ) -> None:
        """Serves one stream until it ends."""
        peer = self.attach(exchange, follow)
        silence = SILENCE_FACTOR * self.times.move_after
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
        """Registers a new stream and returns its peer.

        Raises:
            errors.NotLeader: Another control instance opened the stream, and
                this one is not the leader.
        """
        if follow.role == CONTROL and not self.source.serves_control():
            raise errors.NotLeader("")
        peer = Peer(exchange, follow, self.timers.now())
        self.peers[peer] = None
        self._update_state(peer, disconnected_at=float("inf"))
        if follow.revision == 0:
            self.source.confirm()
        return peer

    def wake_all(self) -> None:
        """Makes every writer check for messages to send."""
        for peer in self.peers:
            peer.wake()

    def close_control(self) -> None:
        """Closes the streams of other control instances."""
        for peer in list(self.peers):
            if peer.follow.role == CONTROL:
                peer.exchange.close()

    def nodes(self) -> list[operator_messages.NodeStatus]:
        """Returns the state of each node, for operators."""
        now = self.timers.now()
        wall_time = self.timers.wall_time()
        result = []
        for state in self.node_states.values():
            follow = state.follow
            result.append(
                operator_messages.NodeStatus(
                    follow.node,
                    follow.role,
                    follow.failure_domain,
                    follow.address,
                    state.revision,
                    wall_time - (now - state.applied_at),
                    max(0.0, state.lease_until - now),
                    state.disconnected_at == float("inf"),
                    self.instance,
                )
            )
        return result

    def tick(self) -> None:
        """Removes the states of nodes that disconnected long ago."""
        limit = self.timers.now() - DISCONNECTED_KEPT_SECONDS
        for node, state in list(self.node_states.items()):
            if state.disconnected_at < limit:
                del self.node_states[node]

    # --- Reading --------------------------------------------------------------

    def handle_message(self, peer: Peer, message: Any) -> None:
        """Handles a report, an announcement or the members of a relay."""
        table = self.source.table
        now = self.timers.now()
        match message:
            case config_messages.RevisionApplied(
                revision=revision, clock=clock
            ):
                if revision != peer.applied_revision:
                    peer.applied_revision = revision
                    self._update_state(peer, applied_at=now)
                peer.echo = clock
                if peer.announcement is not None:
                    table.renew(peer.announcement.sidecar, now)
            case member_messages.Announce(announcement=announcement):
                peer.announcement = announcement
                table.announce(announcement, now)
                peer.duplicate = None
            case member_messages.MembersUpdate():
                table.apply_update(peer.follow.node.instance, message, now)
        peer.wake()

    def detach(self, peer: Peer) -> None:
        """Removes a stream that ended."""
        now = self.timers.now()
        peer.closed = True
        self.peers.pop(peer, None)
        peer.wake()
        other_streams = [
            p for p in self.peers if p.follow.node == peer.follow.node
        ]
        if other_streams:
            return
        self._update_state(peer, disconnected_at=now)
        if peer.follow.role == CONTROL:
            self.source.table.expire_source(
                peer.follow.node.instance, now, self.times.member_lease
            )

    def _update_state(self, peer: Peer, **changes: float) -> None:
        node = peer.follow.node
        now = self.timers.now()
        state = self.node_states.get(node) or NodeState(
            peer.follow, peer.applied_revision, now, NEVER, float("inf")
        )
        self.node_states[node] = state._replace(
            follow=peer.follow, revision=peer.applied_revision, **changes
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
        """Returns the messages that the peer lacks, and marks them as sent."""
        messages: list[Any] = []
        # The directory goes first, so that the lease sent with the
        # configuration covers both: a node must not hold a lease without
        # knowing which upstreams are leaving. Nor must it hold one without
        # knowing which requests crash upstreams.
        registered = self.source.directory()
        if peer.directory_sent < registered.version:
            messages.extend(self._directory_update(peer, registered))
        restrictions = self.source.restrictions()
        if peer.restrictions_sent < restrictions.version:
            peer.restrictions_sent = restrictions.version
            messages.append(restrictions)
        messages.extend(self._config_update(peer))
        table = self.source.table
        if peer.members_sent != table.version:
            delta = table.update_since(peer.members_sent)
            peer.members_sent = table.version
            messages.append(delta)
        reply = self._announcement_reply(peer)
        if reply is not None:
            messages.append(reply)
        return messages

    def _directory_update(
        self, peer: Peer, registered: directory.Directory
    ) -> list[Any]:
        since = peer.directory_sent
        peer.directory_sent = registered.version
        update = registered.update_since(since)
        if not transfer.is_large(update):
            return [update]
        key = ("directory", since, registered.version)
        return self.update_cache.parts(key, update, peer.progress)

    def _config_update(self, peer: Peer) -> list[Any]:
        if peer.sent_revision == 0 and self.source.confirmed_at() < peer.opened:
            # This instance may lag behind the leader, and a restarted node
            # must not go back to a revision older than the one it applied
            # before its restart. So a node without a revision waits until
            # the leader has confirmed the document after the stream opened.
            return []
        since = peer.sent_revision
        changes = self.source.document().update_since(since)
        if changes.revision <= since and peer.echo == NEVER:
            return []
        granted = self._grant(peer, changes.revision)
        echo = peer.echo if granted else 0.0
        peer.echo = NEVER
        peer.sent_revision = max(since, changes.revision)
        update = config_messages.ConfigUpdate(*changes, 0.0, 0.0, since)
        if not transfer.is_large(update):
            return [update._replace(lease=granted, echo=echo)]
        # The parts are cached and the same for all nodes, so the lease, which
        # is this node's own, follows in a message of its own.
        key = ("config", since, changes.revision)
        renewal = update._replace(
            whole=False,
            sections={},
            lease=granted,
            echo=echo,
            base=changes.revision,
        )
        return [*self.update_cache.parts(key, update, peer.progress), renewal]

    def _grant(self, peer: Peer, revision: int) -> float:
        """Returns the seconds of lease to send with `revision`; 0 for none."""
        if peer.echo == NEVER or revision < peer.sent_revision:
            return 0.0
        seconds = min(self.times.max_lease, self.source.lease_left())
        if seconds > 0:
            self._update_state(peer, lease_until=self.timers.now() + seconds)
        return seconds

    def _announcement_reply(
        self, peer: Peer
    ) -> member_messages.LeaseRenewed | None:
        """Returns the reply to an announcement, if it has changed.

        It says whether a later incarnation announces the same instance name.
        """
        if peer.announcement is None:
            return None
        sidecar = peer.announcement.sidecar
        table = self.source.table
        current = table.view.get(sidecar.instance)
        newer = current is not None and current.sidecar.epoch > sidecar.epoch
        if newer == peer.duplicate:
            return None
        peer.duplicate = newer
        return member_messages.LeaseRenewed(
            peer.announcement.counter, self.times.member_lease, newer
        )
