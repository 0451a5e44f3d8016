"""The state of one replica of one group, and steps that all parts share."""

from collections.abc import Callable
import math
from typing import Any

from mintcleat.consensus import entries
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import identities


class Progress:
    """What a leader knows of one follower.

    Attributes:
        match: Last index known to be durable there.
        next: Next index to send.
        probing: Whether only one message may be under way.
        unanswered: Messages under way.
        heard: When its last answer came.
        last_contact: When the last heartbeat that it answered was sent.
        snapshot_until: Until when a sent snapshot is waited for.
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
    """Fields of a replica; the modules of this package act on them.

    Attributes:
        commit: Last index known to be committed.
        applied: Last index that the machine has.
        restoring: Index of a snapshot that waits to be restored into the
            machine; 0 for none.
        persisted: Last index synced here.
        leader_heard_at: When the leader was last heard; it holds this replica's
            promise of no vote for `election` seconds from then.
        promised: Leader of this term that got such promises; NO_REPLICA when
            none is known.
        elected_at: When this replica last became leader.
        term_start: Index of the leader's own first entry.
        lease_given_up: Set once a transfer was ordered in this term.
    """

    def __init__(
        self,
        group: str,
        me: identities.Incarnation,
        settings: types.Settings,
        jitter: Callable[[], float],
        box: outbox.Outbox,
        *,
        stored: records.StoredState,
        now: float,
    ) -> None:
        self.group = group
        self.me = me
        self.settings = settings
        self.jitter = jitter
        self.outbox = box
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
        # died; counting its start as contact keeps that leader's lease safe.
        self.leader_heard_at = now
        if self.promised_to == me:
            # Its own lease ended with the process that held it.
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
        # The only voter of a group waits for nobody, nor does the leader of
        # before.
        if len(self.configuration.voters) != 1 and self.promised_to != me:
            self.reset_election_timer(now)

    @property
    def no_leader_heard(self) -> bool:
        """Whether no leader was heard since this replica's start."""
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
        """Takes a configuration into force as soon as it is in the log."""
        if entry.kind == types.CONFIGURATION:
            value = records.decode_configuration(entry.data)
            self.configurations.append((entry.index, value))

    def configuration_at(self, index: int) -> types.Configuration:
        """Returns the configuration in force at an index."""
        found = [c for i, c in self.configurations if i <= index]
        return found[-1]

    def send(self, to: identities.Incarnation, message: Any) -> None:
        """Sends a message that promises nothing about the disk."""
        self.outbox.messages.append(outbox.OutgoingMessage(to, message))

    def send_synced(self, to: identities.Incarnation, message: Any) -> None:
        """Sends a message once all records so far are synced.

        A vote or acknowledgement that leaves before the sync can be
        forgotten in a crash: two leaders in one term, or a committed entry
        that no quorum holds.
        """
        safe = self.settings.safeguards.sync_first
        box = self.outbox.messages_after_sync if safe else self.outbox.messages
        box.append(outbox.OutgoingMessage(to, message))

    def persist_vote(self) -> None:
        """Stores term and vote; who leads in the term is not known yet."""
        self.promised_to = types.NO_REPLICA
        self.outbox.records.append(
            records.vote(self.group, self.term, self.vote)
        )

    def persist_leader(self, leader: identities.Incarnation) -> None:
        """Stores who leads in this term, once.

        Nothing waits for its sync: without it, a restarted voter knows no
        leader and keeps its promise to whomever it was given.
        """
        if self.promised_to != leader:
            self.promised_to = leader
            record = records.leader(self.group, self.term, leader)
            self.outbox.records.append(record)

    def append(self, items: list[types.Entry]) -> None:
        """Adds entries to the log in memory and on disk."""
        for entry in items:
            self.log.append(entry)
            self.adopt_configuration(entry)
        self.outbox.records.append(records.entries(self.group, items))
        self.outbox.stored.add(self.group)

    def commit_to(self, index: int) -> None:
        """Moves the commit index up; what it covers may be applied."""
        if index > self.commit:
            self.commit = index
            self.outbox.committed.add(self.group)

    def truncate(self, index: int) -> None:
        """Drops uncommitted entries from `index` on."""
        if index <= self.commit:
            raise ValueError(f"{self.group}: {index} is committed.")
        self.log.truncate(index)
        self.persisted = min(self.persisted, index - 1)
        while self.configurations[-1][0] >= index:
            self.configurations.pop()

    def install(self, mark: types.SnapshotMetadata) -> None:
        """Replaces the log up to a snapshot's end."""
        if self.log.term_at(mark.index) == mark.term:
            self.log.compact(mark.index)
        else:
            self.log.reset(mark.index, mark.term)
            self.persisted = mark.index
        self.commit = self.restoring_index = mark.index
        self.persisted = max(self.persisted, mark.index)
        later = [c for c in self.configurations if c[0] > mark.index]
        kept = [c for c in later if c[0] <= self.log.last_index]
        self.configurations = [(mark.index, mark.configuration), *kept]
        self._record_snapshot(mark)

    def compact(self, mark: types.SnapshotMetadata, keep: int) -> None:
        """Forgets entries that a stored snapshot covers, but the last."""
        self._record_snapshot(mark)
        self.log.compact(mark.index - keep)
        base = self.log.base_index
        while (
            len(self.configurations) > 1 and self.configurations[1][0] <= base
        ):
            self.configurations.pop(0)

    def _record_snapshot(self, mark: types.SnapshotMetadata) -> None:
        self.snapshot = mark
        self.outbox.records.append(records.snapshot(self.group, mark))
        self.outbox.snapshot_indexes[self.group] = mark.index

    def reset_election_timer(self, now: float) -> None:
        """Draws the next election timeout."""
        shortest = self.settings.election
        self.election_due = now + shortest * (1.0 + self.jitter())

    def become_follower(
        self, term: int, leader: identities.Incarnation, now: float
    ) -> None:
        """Becomes a follower, in a higher term or of a known leader."""
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
        """Refuses every waiting read."""
        for token, _ in self.reads:
            ready = outbox.ReadReady(self.group, token, False, 0)
            self.outbox.reads.append(ready)
        self.reads = []
