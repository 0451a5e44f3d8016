"""All groups of one instance, with one heartbeat per pair of instances."""

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

# Versions of a heartbeat list that an answer may still refer to.
_KEPT_VERSIONS = 32
# A tick that comes a little early sends the heartbeat that is nearly due.
_HEARTBEAT_SLACK = 0.25
# A founder greets often at first, so that new groups start soon.
_STARTUP_PERIODS = 5
# Instances heard within so many greeting periods are told to others; one that
# was silent for much longer is on_hello no more, if it was not configured.
_RECENT_PERIODS = 3
_FORGET_PERIODS = 60
# A leader greets once a period; one greeting may be lost.
_CLAIM_PERIODS = 2.5


class _SentLists:
    """The heartbeats that go to one peer."""

    def __init__(self) -> None:
        self.version = 0
        self.acked_version = 0
        self.lists: dict[int, list[wire.GroupHeartbeat]] = {0: []}


class Instance:
    """The replicas of one instance; see the package's documentation.

    Attributes:
        box: Effects to carry out.
        replicas: By group.
        roster: Who lives on which instance.
        highest_epoch_seen: Highest epoch that a peer knows of this instance. One
            above its own means that another process uses the name, or that
            the disk was formatted while the clock was behind.
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
        self.outgoing: dict[identities.Incarnation, _SentLists] = {}
        self.incoming: dict[
            identities.Incarnation, tuple[int, int, list[wire.GroupHeartbeat]]
        ] = {}

    def receive(self, frame: wire.Frame, now: float) -> None:
        """Takes a frame; one for an earlier process_epoch of this disk is dropped.

        An emptied disk has forgotten its votes and entries. Answering for
        the replica that it held before could elect two leaders in one term
        or count an entry as held by a majority that lost it.
        """
        if frame.to.instance == self.me.instance:
            self.highest_epoch_seen = max(
                self.highest_epoch_seen, frame.to.epoch
            )
        anyone = identities.Incarnation(self.me.instance, 0)
        if frame.to not in (self.me, anyone):
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
        """Takes a message from a peer."""
        match message:
            case wire.Heartbeat():
                self._on_heartbeat(sender, message, now)
            case wire.HeartbeatReply():
                self._on_heartbeat_reply(sender, message, now)
            case wire.Hello():
                known = len(self.roster.members)
                self.roster.on_hello(sender, message, now)
                if len(self.roster.members) > known:
                    # They may lead, or look for who does.
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
        """Lets time pass for every group."""
        for replica in self.replicas.values():
            state = replica.state
            # Most groups most of the time follow a leader that was heard.
            if state.role != types.FOLLOWER or now >= state.election_due:
                replica.tick(now)
        if (
            now
            >= self.heartbeat_due - _HEARTBEAT_SLACK * self.settings.heartbeat
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
        """Adds what is to be sent; to be called before taking the outbox."""
        changed, self.outbox.groups_to_replicate = (
            self.outbox.groups_to_replicate,
            set(),
        )
        for group in sorted(changed):
            self.replicas[group].flush(now)
        if self.outbox.heartbeat_requested:
            self._send_heartbeats(now)
        if self.outbox.elections:
            # Instances outside of the group learn of its leader by a greeting.
            self.hello_due = now

    def leader(self, group: str, now: float) -> identities.Incarnation:
        """Returns who leads a group, as far as is known here, or NO_REPLICA.

        The voters of a group hear its leader. An instance outside of it does
        not, above all one that was voted out while it was down: its log still
        lists it, so it waits for a heartbeat that never comes, and could not
        pass any request on. It takes the word of a leader that greets it well
        after the last heartbeat; one that is just lost does not. One that has
        heard none since its start has nothing to weigh that word against.
        """
        replica = self.replicas[group].state
        claim = self.roster.leader_claims.get(group)
        if replica.leader != types.NO_REPLICA or claim is None:
            return replica.leader
        fresh = now - claim.received_at < _CLAIM_PERIODS * self.settings.hello
        later = (
            claim.received_at - replica.leader_heard_at > self.settings.election
        )
        credible = later or replica.no_leader_heard
        known = fresh and credible and claim.term >= replica.term
        return claim.leader if known else types.NO_REPLICA

    def on_synced(self, groups: Iterable[str]) -> None:
        """Notes that every record so far of these groups is durable."""
        self.on_synced_to(self.log_ends(groups))

    def log_ends(self, groups: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Returns index and term of the last entry of each group."""
        return {group: self.replicas[group].log_end() for group in groups}

    def on_synced_to(self, ends: dict[str, tuple[int, int]]) -> None:
        """Notes that the entries up to what `log_ends` gave are durable."""
        for group in sorted(ends):
            self.replicas[group].on_synced(ends[group])

    def _send_heartbeats(self, now: float) -> None:
        self.outbox.heartbeat_requested = False
        self.heartbeat_due = now + self.settings.heartbeat
        lists: dict[identities.Incarnation, list[wire.GroupHeartbeat]] = {}
        for group, replica in self.replicas.items():
            state = replica.state
            if state.role != types.LEADER:
                continue
            for follower, progress in state.progress.items():
                commit = min(progress.match, state.commit)
                beat = wire.GroupHeartbeat(group, state.term, commit)
                lists.setdefault(follower, []).append(beat)
        for follower, beats in lists.items():
            self._send_heartbeat(follower, beats, now)

    def _maintain_groups(self, now: float) -> None:
        """Greets everyone, starts new groups and repairs those led here."""
        size = self.settings.group_size
        founding = [
            group
            for group, replica in self.replicas.items()
            if self.settings.founder
            and replica.is_uninitialized()
            and self.roster.is_founder(group, size)
        ]
        period = self.settings.hello
        young = now - self.started < _STARTUP_PERIODS * period
        hurry = bool(founding) and young
        self.hello_due = now + (self.settings.heartbeat if hurry else period)
        self._add_logged_peers()
        self.roster.remove_silent(now - _FORGET_PERIODS * period)
        hello = self._make_hello(bool(founding), now)
        self.outbox.messages.extend(self.roster.hellos(hello))
        for group in founding:
            founders = self.roster.initial_configuration(
                group, size, now - 2 * period
            )
            if founders is not None:
                self.replicas[group].bootstrap(founders)
        for replica in self.replicas.values():
            if replica.state.role == types.LEADER:
                repair.tick(replica.state, self.roster, now)
                election.balance_leaders(replica.state, now)

    def _make_hello(self, asks: bool, now: float) -> wire.Hello:
        oldest = now - _RECENT_PERIODS * self.settings.hello
        leads = [
            wire.LedGroup(group, replica.state.term)
            for group, replica in self.replicas.items()
            if replica.state.role == types.LEADER
        ]
        known = self.roster.seen_since(oldest)
        return wire.Hello(asks, self.roster.own, known, leads)

    def _reply_hello(self, sender: identities.Incarnation, now: float) -> None:
        """Tells an instance that has just started what is known here.

        Whoever greets without naming anybody has heard nobody yet. Up to the
        next round of greetings it would know no leader, or the leader would
        not know of it, and its nodes would be given no configuration.
        """
        hello = self._make_hello(False, now)
        self.outbox.messages.append(outbox.OutgoingMessage(sender, hello))

    def _add_logged_peers(self) -> None:
        """Keeps the addresses of all peers that the logs name.

        After a restart the settings may name other members than those that
        hold the groups; the log knows where those were.
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
        beats: list[wire.GroupHeartbeat],
        now: float,
    ) -> None:
        out = self.outgoing.setdefault(follower, _SentLists())
        if out.lists.get(out.version) != beats:
            out.version += 1
            out.lists[out.version] = beats
            out.lists.pop(out.version - _KEPT_VERSIONS, None)
        # An idle list is named by its version instead of being sent again.
        body = None if out.acked_version == out.version else beats
        message = wire.Heartbeat(self.process_epoch, out.version, now, body)
        self.outbox.messages.append(outbox.OutgoingMessage(follower, message))

    def _on_heartbeat(
        self,
        sender: identities.Incarnation,
        message: wire.Heartbeat,
        now: float,
    ) -> None:
        process_epoch, version, beats = self.incoming.get(sender, (0, 0, []))
        if message.beats is not None:
            beats = message.beats
            self.incoming[sender] = (
                message.process_epoch,
                message.version,
                beats,
            )
        elif (process_epoch, version) != (
            message.process_epoch,
            message.version,
        ):
            self._send_heartbeat_reply(sender, message, False, [])
            return
        refused = []
        for beat in beats:
            replica = self.replicas.get(beat.group)
            if replica is None:
                refused.append(beat._replace(term=0))
                continue
            taken = replication.on_group_heartbeat(
                replica.state, sender, beat, now
            )
            if not taken:
                refused.append(beat._replace(term=replica.state.term))
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
        out = self.outgoing.get(sender)
        if out is None or message.process_epoch != self.process_epoch:
            return
        out.acked_version = message.version if message.known else 0
        beats = out.lists.get(message.version)
        if not message.known or beats is None:
            return
        refused = {beat.group: beat.term for beat in message.refused}
        for beat in beats:
            replica = self.replicas[beat.group].state
            higher = refused.get(beat.group)
            if higher is not None:
                if higher > replica.term:
                    replica.become_follower(higher, types.NO_REPLICA, now)
            elif replica.term == beat.term and replica.role == types.LEADER:
                lease.acknowledge(replica, sender, message.sent, now)
