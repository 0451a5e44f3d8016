"""The state of one replica of one group, and its basic transitions."""

from collections.abc import Callable
import math
from typing import Any

from mintcleat.consensus import entries
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import identities


class Progress:
    """What a leader knows about one follower.

    Attributes:
        match: Last index known to be durable on the follower.
        next: Next index to send.
        probing: Whether only one Append may be in flight, since `next` is
            not confirmed yet.
        in_flight: Append messages without a reply.
        last_reply: When its last reply arrived; also when messages to it
            were first sent after a pause.
        last_contact: When the last heartbeat that it answered was sent.
        snapshot_until: No entries are sent before this time, because a
            snapshot transfer is running or unconfirmed.
    """

    def __init__(self, next_index: int, now: float) -> None:
        self.match = 0
        self.next = next_index
        self.probing = True
        self.in_flight = 0
        self.last_reply = now
        self.last_contact = -math.inf
        self.snapshot_until = -math.inf


class State:
    """Fields of a replica, on which the modules of this package act.

    Attributes:
        me: This replica.
        jitter: Returns a random number from 0 to below 1.
        configurations: Index and value of each configuration in the log, in
            order; the first is in force at the start of the log.
        commit: Last index known to be committed.
        applied: Last index applied to the state machine.
        restoring_index: Index of an installed snapshot that is not restored
            into the state machine yet; 0 for none.
        persisted: Last index synced to this replica's disk.
        leader_heard_at: When the leader was last heard from. This replica
            promises to grant no vote for `election` seconds from then;
            -inf releases the promise.
        promised_to: Leader of this term that received such promises;
            NO_REPLICA if none is known.
        election_due: When the election timeout ends.
        grants: Replicas that granted this one a pre-vote or a vote.
        progress: By follower, while this replica leads.
        elected_at: When this replica last became leader.
        term_start: Index of the first entry of this leader's term.
        lease_given_up: Whether TimeoutNow was sent in this term, which ends
            the lease.
        transfer_to: Target of a leadership transfer; NO_REPLICA for none.
        transfer_due: When this replica steps down if the transfer has not
            ended.
        reads: Token and arrival time of reads that wait for a quorum.
        started: When this replica was created.
    """

    def __init__(
        self,
        group: str,
        me: identities.Incarnation,
        settings: types.Settings,
        jitter: Callable[[], float],
        instance_outbox: outbox.Outbox,
        *,
        stored: records.StoredState,
        now: float,
    ) -> None:
        self.group = group
        self.me = me
        self.settings = settings
        self.jitter = jitter
        self.outbox = instance_outbox
        self.term = stored.term
        self.vote = stored.vote
        self.log: entries.EntryLog = stored.log
        self.snapshot = stored.snapshot
        self.configurations = [
            (stored.snapshot.index, stored.snapshot.configuration)
        ]
        for entry in self.log.entries:
            self.adopt_configuration(entry)
        self.commit = self.applied = stored.snapshot.index
        self.restoring_index = 0
        self.persisted = self.log.last_index
        self.role = types.FOLLOWER
        self.leader = types.NO_REPLICA
        self.promised_to = stored.leader
        # A restarted voter may have answered a heartbeat just before it
        # stopped. Counting its start as contact keeps it from voting for
        # another replica while that leader may still hold its lease.
        self.leader_heard_at = now
        if self.promised_to == me:
            # This replica led before, and its lease ended with its process.
            self.leader_heard_at = -math.inf
        self.election_due = 0.0
        self.grants: set[identities.Incarnation] = set()
        self.progress: dict[identities.Incarnation, Progress] = {}
        self.elected_at = now
        self.term_start = 0
        self.lease_given_up = False
        self.transfer_to = types.NO_REPLICA
        self.transfer_due = math.inf
        self.reads: list[tuple[int, float]] = []
        self.started = now
        # A single voter and a former leader start an election at once.
        if len(self.configuration.voters) != 1 and self.promised_to != me:
            self.reset_election_timer(now)

    @property
    def no_leader_heard(self) -> bool:
        """Whether no leader was heard from since this replica's start."""
        return self.leader_heard_at <= self.started

    @property
    def configuration(self) -> types.Configuration:
        """The latest configuration in the log, committed or not."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Index of the entry that carries `configuration`."""
        return self.configurations[-1][0]

    def adopt_configuration(self, entry: types.Entry) -> None:
        """Puts a configuration in force as soon as it is in the log."""
        if entry.kind == types.CONFIGURATION:
            value = records.decode_configuration(entry.data)
            self.configurations.append((entry.index, value))

    def configuration_at(self, index: int) -> types.Configuration:
        """Returns the configuration in force at an index."""
        found = [c for i, c in self.configurations if i <= index]
        return found[-1]

    def send(self, to: identities.Incarnation, message: Any) -> None:
        """Sends a message that doesn't depend on unsynced records."""
        self.outbox.messages.append(outbox.OutgoingMessage(to, message))

    def send_synced(self, to: identities.Incarnation, message: Any) -> None:
        """Sends a message after all records so far are synced.

        A vote or acknowledgement sent before the sync can be forgotten in a
        crash, which allows two leaders in one term, or a committed entry
        that no quorum holds.
        """
        safe = self.settings.safeguards.sync_first
        messages = (
            self.outbox.messages_after_sync if safe else self.outbox.messages
        )
        messages.append(outbox.OutgoingMessage(to, message))

    def persist_vote(self) -> None:
        """Stores the term and the vote; the term has no known leader yet."""
        self.promised_to = types.NO_REPLICA
        self.outbox.records.append(
            records.vote(self.group, self.term, self.vote)
        )

    def persist_leader(self, leader: identities.Incarnation) -> None:
        """Stores the leader of this term, once per term.

        No message waits for the sync of this record. If it is lost, the
        restarted voter knows no leader and so never releases its promise
        early, which is safe.
        """
        if self.promised_to != leader:
            self.promised_to = leader
            record = records.leader(self.group, self.term, leader)
            self.outbox.records.append(record)

    def append(self, items: list[types.Entry]) -> None:
        """Appends entries to the log and their record to the outbox."""
        for entry in items:
            self.log.append(entry)
            self.adopt_configuration(entry)
        self.outbox.records.append(records.entries(self.group, items))
        self.outbox.stored.add(self.group)

    def commit_to(self, index: int) -> None:
        """Advances the commit index; entries up to it may be applied."""
        if index > self.commit:
            self.commit = index
            self.outbox.committed.add(self.group)

    def truncate(self, index: int) -> None:
        """Removes uncommitted entries from `index` on.

        Raises:
            ValueError: The entry at `index` is committed.
        """
        if index <= self.commit:
            raise ValueError(
                f"Group {self.group}: cannot truncate the log at entry {index},"
                f" because entries up to {self.commit} are committed."
            )
        self.log.truncate(index)
        self.persisted = min(self.persisted, index - 1)
        while self.configurations[-1][0] >= index:
            self.configurations.pop()

    def install(self, snapshot: types.SnapshotMetadata) -> None:
        """Replaces the log up to the last entry of a received snapshot."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
            self.persisted = snapshot.index
        self.commit = self.restoring_index = snapshot.index
        self.persisted = max(self.persisted, snapshot.index)
        later = [c for c in self.configurations if c[0] > snapshot.index]
        kept = [c for c in later if c[0] <= self.log.last_index]
        self.configurations = [(snapshot.index, snapshot.configuration), *kept]
        self._record_snapshot(snapshot)

    def compact(
        self, snapshot: types.SnapshotMetadata, keep: int, keep_bytes: int
    ) -> None:
        """Removes entries that a stored snapshot covers.

        The newest of them are retained, so that a follower that is only a
        little behind needs no snapshot.

        Args:
            snapshot: Metadata of the snapshot.
            keep: Maximum number of covered entries to retain.
            keep_bytes: Maximum bytes of their data.
        """
        self._record_snapshot(snapshot)
        first = self.log.first_within(snapshot.index, keep, keep_bytes)
        self.log.compact(first - 1)
        base = self.log.base_index
        while (
            len(self.configurations) > 1 and self.configurations[1][0] <= base
        ):
            self.configurations.pop(0)

    def _record_snapshot(self, snapshot: types.SnapshotMetadata) -> None:
        self.snapshot = snapshot
        self.outbox.records.append(records.snapshot(self.group, snapshot))
        self.outbox.snapshot_indexes[self.group] = snapshot.index

    def reset_election_timer(self, now: float) -> None:
        """Restarts the election timer with a random timeout."""
        shortest = self.settings.election
        self.election_due = now + shortest * (1.0 + self.jitter())

    def become_follower(
        self, term: int, leader: identities.Incarnation, now: float
    ) -> None:
        """Becomes a follower, in a higher term or of a known leader.

        Args:
            term: Term of the message that caused it.
            leader: Leader of that term; NO_REPLICA if it is not known.
            now: Current time.
        """
        if term > self.term:
            self.term = term
            self.vote = types.NO_REPLICA
            self.persist_vote()
        if self.role == types.LEADER:
            self.refuse_reads()
            self.reset_election_timer(now)
        self.role = types.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.grants = set()
        self.transfer_to = types.NO_REPLICA

    def refuse_reads(self) -> None:
        """Refuses all pending reads."""
        for token, _ in self.reads:
            ready = outbox.ReadReady(self.group, token, False, 0)
            self.outbox.reads.append(ready)
        self.reads = []
