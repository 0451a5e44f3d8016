"""All groups of one instance, with shared heartbeats and Hello messages.

Heartbeats of all groups between two instances share one message, and a list
of groups that has not changed is referred to by its version.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from mintcleat.consensus import election
from mintcleat.consensus import lease
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import repair
from mintcleat.consensus import replica as replicas
from mintcleat.consensus import replication
from mintcleat.consensus import roster as rosters
from mintcleat.consensus import types
from mintcleat.domain import identities

# Entries take a heartbeat with them that is due within this fraction of the
# interval.
_JOIN_FRACTION = 0.3
# Number of sent versions of a list that are kept, for replies to them.
_KEPT_VERSIONS = 32
# A tick sends heartbeats that are due within this fraction of the interval;
# otherwise a tick that is a little early would delay them to the next one.
_EARLY_FRACTION = 0.25
# The periods below are in hello intervals.
# After its start an instance with groups to bootstrap sends Hellos at the
# heartbeat interval for this long, so that new groups start without delay.
_STARTUP_HELLOS = 5
# Instances heard from within this period are named in Hellos.
_RECENT_HELLOS = 3
# Discovered instances not heard from for this long are removed.
_FORGET_HELLOS = 60
# A leader sends a Hello once per interval, and one may be lost.
_CLAIM_HELLOS = 2.5


class _SentHeartbeats:
    """Heartbeats sent to one peer.

    Attributes:
        version: Version of the newest list.
        acked_version: Version that the peer last confirmed; 0 for none.
        lists: By version, the groups in it.
    """

    def __init__(self) -> None:
        self.version = 0
        self.acked_version = 0
        self.lists: dict[int, list[wire.GroupHeartbeat]] = {0: []}


class Instance:
    """The replicas of one instance; see the package's documentation.

    Attributes:
        process_epoch: Number of this process start. Unlike the epoch of `me`,
            which belongs to the disk, it differs after each restart.
        outbox: Effects for the driver to carry out.
        replicas: By group.
        roster: The known instances.
        highest_epoch_seen: Highest epoch of this instance in a received
            frame. If it is above the epoch of `me`, another process uses the
            name, an old disk is back, or this one was formatted while the
            clock was behind.
        outgoing: By receiver, the heartbeats sent to it.
        incoming: By sender, the process epoch, the version and the groups of
            its newest heartbeat list.
    """

    def __init__(
        self,
        me: identities.Incarnation,
        process_epoch: int,
        settings: types.Settings,
        jitter: Callable[[], float],
        groups: Iterable[str],
        *,
        members: Sequence[types.Member],
        stored: dict[str, records.StoredState],
        now: float,
        own: types.Member | None = None,
    ) -> None:
        self.me = me
        self.process_epoch = process_epoch
        self.settings = settings
        self.outbox = outbox.Outbox()
        self.replicas = {
            group: replicas.Replica(
                group,
                me,
                settings,
                jitter,
                self.outbox,
                stored=stored.get(group) or records.StoredState(),
                now=now,
            )
            for group in sorted({*groups, *stored})
        }
        self.roster = rosters.Roster(me, members, own)
        self._add_logged_peers()
        self.heartbeat_due = now
        self.hello_due = now
        self.started = now
        self.highest_epoch_seen = 0
        self.outgoing: dict[identities.Incarnation, _SentHeartbeats] = {}
        self.incoming: dict[
            identities.Incarnation, tuple[int, int, list[wire.GroupHeartbeat]]
        ] = {}

    def receive(self, frame: wire.Frame, now: float) -> None:
        """Processes a frame; one for another incarnation is dropped.

        An emptied disk has lost its votes and entries. A reply in place of
        the replica that it held before could elect two leaders in one term,
        or commit an entry that no majority holds.
        """
        if frame.to.instance == self.me.instance:
            self.highest_epoch_seen = max(
                self.highest_epoch_seen, frame.to.epoch
            )
        any_incarnation = identities.Incarnation(self.me.instance, 0)
        if frame.to not in (self.me, any_incarnation):
            return
        if self.roster.on_frame(frame.sender, frame.address, now):
            for replica in self.replicas.values():
                election.on_new_incarnation(replica.state, frame.sender, now)
        for message in frame.messages:
            if frame.to == self.me or isinstance(message, wire.Hello):
                self.step(frame.sender, message, now)

    def step(
        self, sender: identities.Incarnation, message: Any, now: float
    ) -> None:
        """Processes a message from a peer."""
        match message:
            case wire.Heartbeat():
                self._on_heartbeat(sender, message, now)
            case wire.HeartbeatReply():
                self._on_heartbeat_reply(sender, message, now)
            case wire.Hello():
                known = len(self.roster.members)
                self.roster.on_hello(sender, message, now)
                if len(self.roster.members) > known:
                    # The new instances may lead a group, or look for a leader.
                    soon = now + self.settings.heartbeat
                    self.hello_due = min(self.hello_due, soon)
                if message.asks:
                    answer = wire.KnownGroups(self.known_groups())
                    self.outbox.messages_after_sync.append(
                        outbox.OutgoingMessage(sender, answer)
                    )
                if not message.members:
                    self._reply_hello(sender, now)
            case wire.KnownGroups():
                self.roster.on_known_groups(sender, message, now)
            case _:
                replica = self.replicas.get(message.group)
                if replica is not None:
                    replica.step(sender, message, now)

    def tick(self, now: float) -> None:
        """Handles timeouts; called at least once per heartbeat interval."""
        for replica in self.replicas.values():
            state = replica.state
            # Saves the call for followers of a live leader, which most
            # replicas are most of the time.
            if state.role != types.FOLLOWER or now >= state.election_due:
                replica.tick(now)
        if (
            now
            >= self.heartbeat_due - _EARLY_FRACTION * self.settings.heartbeat
        ):
            self._send_heartbeats(now)
        if now >= self.hello_due:
            self._maintain_groups(now)

    def known_groups(self) -> list[str]:
        """Returns the groups in which this disk holds a vote or entries."""
        found = self.replicas.items()
        return [
            group for group, replica in found if not replica.is_uninitialized()
        ]

    def flush(self, now: float) -> None:
        """Adds pending messages to the outbox; call it before taking that."""
        changed, self.outbox.groups_to_replicate = (
            self.outbox.groups_to_replicate,
            set(),
        )
        for group in sorted(changed):
            self.replicas[group].flush(now)
        # A heartbeat that is due soon travels with the entries, in the same
        # frame. A frame of its own would wake up each follower, and its
        # answer this instance.
        soon = self.heartbeat_due - _JOIN_FRACTION * self.settings.heartbeat
        if self.outbox.heartbeat_requested or (changed and now >= soon):
            self._send_heartbeats(now)
        if self.outbox.elections:
            # Instances outside the group learn its leader from a Hello.
            self.hello_due = now

    def has_work(self) -> bool:
        """Returns whether `flush` or the driver has anything to do."""
        return bool(
            self.outbox.groups_to_replicate
            or self.outbox.heartbeat_requested
            or not self.outbox.is_empty()
        )

    def leads_any(self) -> bool:
        """Returns whether a replica here leads its group."""
        for replica in self.replicas.values():
            if replica.state.role == types.LEADER:
                return True
        return False

    def leader(self, group: str, now: float) -> identities.Incarnation:
        """Returns the leader of a group, or NO_REPLICA if it is not known.

        The voters know the leader from its heartbeats. Other instances rely
        on its Hellos. One of them may be an instance that was removed from
        the group while it was down: its log still lists it as a voter, but it
        receives no heartbeats, and without a leader it could not forward any
        request.

        A leader's Hello counts if it arrived more than an election timeout
        after the last heartbeat; an earlier one may be from the leader that
        was just lost. It also counts if this replica has received no
        heartbeat since its start.
        """
        replica = self.replicas[group].state
        claim = self.roster.leader_claims.get(group)
        if replica.leader != types.NO_REPLICA or claim is None:
            return replica.leader
        fresh = now - claim.received_at < _CLAIM_HELLOS * self.settings.hello
        later = (
            claim.received_at - replica.leader_heard_at > self.settings.election
        )
        credible = later or replica.no_leader_heard
        known = fresh and credible and claim.term >= replica.term
        return claim.leader if known else types.NO_REPLICA

    def on_synced(self, groups: Iterable[str]) -> None:
        """Marks all entries of these groups so far as durable."""
        self.on_synced_to(self.log_ends(groups))

    def log_ends(self, groups: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Returns the index and the term of the last entry of each group."""
        return {group: self.replicas[group].log_end() for group in groups}

    def on_synced_to(self, ends: dict[str, tuple[int, int]]) -> None:
        """Marks the entries up to a result of `log_ends` as durable."""
        for group in sorted(ends):
            self.replicas[group].on_synced(ends[group])

    def _send_heartbeats(self, now: float) -> None:
        self.outbox.heartbeat_requested = False
        self.heartbeat_due = now + self.settings.heartbeat
        pending: dict[identities.Incarnation, list[wire.GroupHeartbeat]] = {}
        for group, replica in self.replicas.items():
            state = replica.state
            if state.role != types.LEADER:
                continue
            for follower, progress in state.progress.items():
                commit = min(progress.match, state.commit)
                heartbeat = wire.GroupHeartbeat(group, state.term, commit)
                pending.setdefault(follower, []).append(heartbeat)
        for follower, heartbeats in pending.items():
            self._send_heartbeat(follower, heartbeats, now)

    def _maintain_groups(self, now: float) -> None:
        """Sends Hellos, bootstraps new groups and repairs those led here."""
        size = self.settings.group_size
        to_bootstrap = [
            group
            for group, replica in self.replicas.items()
            if self.settings.founder
            and replica.is_uninitialized()
            and self.roster.is_founder(group, size)
        ]
        period = self.settings.hello
        starting = now - self.started < _STARTUP_HELLOS * period
        soon = bool(to_bootstrap) and starting
        self.hello_due = now + (self.settings.heartbeat if soon else period)
        self._add_logged_peers()
        self.roster.remove_silent(now - _FORGET_HELLOS * period)
        hello = self._make_hello(bool(to_bootstrap), now)
        self.outbox.messages.extend(self.roster.hellos(hello))
        for group in to_bootstrap:
            initial = self.roster.initial_configuration(
                group, size, now - 2 * period
            )
            if initial is not None:
                self.replicas[group].bootstrap(initial)
        for replica in self.replicas.values():
            if replica.state.role == types.LEADER:
                repair.tick(replica.state, self.roster, now)
                election.balance_leaders(replica.state, now)

    def _make_hello(self, asks: bool, now: float) -> wire.Hello:
        oldest = now - _RECENT_HELLOS * self.settings.hello
        leads = [
            wire.LedGroup(group, replica.state.term)
            for group, replica in self.replicas.items()
            if replica.state.role == types.LEADER
        ]
        known = self.roster.seen_since(oldest)
        return wire.Hello(asks, self.roster.own, known, leads)

    def _reply_hello(self, sender: identities.Incarnation, now: float) -> None:
        """Sends a Hello to an instance that has just started.

        A Hello without members is from an instance that has not heard from
        any other yet. Without a reply it would not know the leader, or the
        leader would not know it, until the next hello interval, and its nodes
        would get no configuration meanwhile.
        """
        hello = self._make_hello(False, now)
        self.outbox.messages.append(outbox.OutgoingMessage(sender, hello))

    def _add_logged_peers(self) -> None:
        """Adds the peers in the groups' configurations to the roster.

        After a restart the settings may name other members than those that
        hold the groups. The logs still have the addresses of the latter.
        """
        for replica in self.replicas.values():
            self.roster.add_members(
                types.Member(
                    peer.replica.instance,
                    peer.address,
                    peer.failure_domain,
                    peer.region,
                )
                for peer in replica.state.configuration.peers()
            )

    def _send_heartbeat(
        self,
        follower: identities.Incarnation,
        heartbeats: list[wire.GroupHeartbeat],
        now: float,
    ) -> None:
        sent = self.outgoing.setdefault(follower, _SentHeartbeats())
        if sent.lists.get(sent.version) != heartbeats:
            sent.version += 1
            sent.lists[sent.version] = heartbeats
            sent.lists.pop(sent.version - _KEPT_VERSIONS, None)
        # An unchanged list is referred to by its version, not sent again.
        body = None if sent.acked_version == sent.version else heartbeats
        message = wire.Heartbeat(self.process_epoch, sent.version, now, body)
        self.outbox.messages.append(outbox.OutgoingMessage(follower, message))

    def _on_heartbeat(
        self,
        sender: identities.Incarnation,
        message: wire.Heartbeat,
        now: float,
    ) -> None:
        process_epoch, version, heartbeats = self.incoming.get(
            sender, (0, 0, [])
        )
        if message.groups is not None:
            heartbeats = message.groups
            self.incoming[sender] = (
                message.process_epoch,
                message.version,
                heartbeats,
            )
        elif (process_epoch, version) != (
            message.process_epoch,
            message.version,
        ):
            self._send_heartbeat_reply(sender, message, False, [])
            return
        refused = []
        for heartbeat in heartbeats:
            replica = self.replicas.get(heartbeat.group)
            if replica is None:
                refused.append(heartbeat._replace(term=0))
                continue
            accepted = replication.on_group_heartbeat(
                replica.state, sender, heartbeat, now
            )
            if not accepted:
                refused.append(heartbeat._replace(term=replica.state.term))
        self._send_heartbeat_reply(sender, message, True, refused)

    def _send_heartbeat_reply(
        self,
        sender: identities.Incarnation,
        message: wire.Heartbeat,
        known: bool,
        refused: list[wire.GroupHeartbeat],
    ) -> None:
        reply = wire.HeartbeatReply(
            message.process_epoch, message.version, message.sent, known, refused
        )
        self.outbox.messages_after_sync.append(
            outbox.OutgoingMessage(sender, reply)
        )

    def _on_heartbeat_reply(
        self,
        sender: identities.Incarnation,
        message: wire.HeartbeatReply,
        now: float,
    ) -> None:
        sent = self.outgoing.get(sender)
        if sent is None or message.process_epoch != self.process_epoch:
            return
        sent.acked_version = message.version if message.known else 0
        heartbeats = sent.lists.get(message.version)
        if not message.known or heartbeats is None:
            return
        refused = {
            heartbeat.group: heartbeat.term for heartbeat in message.refused
        }
        for heartbeat in heartbeats:
            replica = self.replicas[heartbeat.group].state
            higher = refused.get(heartbeat.group)
            if higher is not None:
                if higher > replica.term:
                    replica.become_follower(higher, types.NO_REPLICA, now)
            elif (
                replica.term == heartbeat.term and replica.role == types.LEADER
            ):
                lease.acknowledge(replica, sender, message.sent, now)
