"""One replica of one group: the interface to the core's modules."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import Any

from mintcleat.consensus import election
from mintcleat.consensus import lease
from mintcleat.consensus import membership
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import replication
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities


class Replica:
    """Processes messages and timeouts; puts the effects into the outbox.

    Attributes:
        state: State of the replica; callers only read it.
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
        self.state = state.State(
            group, me, settings, jitter, instance_outbox, stored=stored, now=now
        )

    def bootstrap(self, configuration: types.Configuration) -> None:
        """Starts a new group; only one of its replicas may ever do so."""
        replica = self.state
        replica.term = 1
        replica.vote = replica.me
        replica.persist_vote()
        data = records.encode_configuration(configuration)
        replica.append([types.Entry(1, 1, types.CONFIGURATION, data)])
        replica.election_due = 0.0

    def is_uninitialized(self) -> bool:
        """Returns whether this replica has never voted nor held an entry."""
        return self.state.term == 0 and self.state.log.last_index == 0

    def leads(self) -> bool:
        """Returns whether this replica leads, with or without a lease."""
        return self.state.role == types.LEADER

    def commits_by_sync(self) -> bool:
        """Returns whether a sync at this leader could commit entries.

        It could not while too few followers have replied; a later reply
        commits the entries then.
        """
        replica = self.state
        index = replication.majority_index(replica, replica.log.last_index)
        return index > replica.commit

    def step(
        self, sender: identities.Incarnation, message: Any, now: float
    ) -> None:
        """Processes a message of this group."""
        replica = self.state
        match message:
            case wire.Append():
                replication.on_append(replica, sender, message, now)
            case wire.AppendReply():
                replication.on_append_reply(replica, sender, message, now)
                election.continue_transfer(replica)
                membership.advance(replica, now)
            case wire.PreVoteRequest():
                election.on_pre_vote(replica, sender, message, now)
            case wire.PreVoteReply():
                election.on_pre_vote_reply(replica, sender, message, now)
            case wire.VoteRequest():
                election.on_vote(replica, sender, message, now)
            case wire.VoteReply():
                election.on_vote_reply(replica, sender, message, now)
            case wire.InstallSnapshot():
                replication.on_install_snapshot(replica, sender, message, now)
            case wire.TimeoutNow():
                election.on_timeout_now(replica, message, now)

    def tick(self, now: float) -> None:
        """Handles timeouts; called at least once per heartbeat interval."""
        election.tick(self.state, now)
        if self.state.role == types.LEADER:
            replication.tick(self.state, now)
            membership.advance(self.state, now)

    def propose(self, command: bytes, now: float) -> tuple[int, int] | None:
        """Appends a command to the log.

        Returns:
            Its term and index, or None if proposals are not accepted.
        """
        replica = self.state
        if not self.accepts_proposals():
            return None
        index = replication.append(replica, types.COMMAND, command, now)
        return replica.term, index

    def accepts_proposals(self) -> bool:
        """Returns whether this replica leads and is not transferring."""
        replica = self.state
        transferring = replica.transfer_to != types.NO_REPLICA
        return replica.role == types.LEADER and not transferring

    def read(self, token: int, now: float) -> None:
        """Requests a linearizable read; see `lease.read`."""
        lease.read(self.state, token, now)

    def holds_lease(self, now: float) -> bool:
        """Returns whether reads can be answered without a message now."""
        return lease.held(self.state, now)

    def transfer(self, to: identities.Incarnation, now: float) -> None:
        """Starts a leadership transfer; see `election.transfer`."""
        election.transfer(self.state, to, now)

    def add_learner(self, peer: types.Peer, now: float) -> bool:
        """Starts a repair; see `membership.add_learner`."""
        return membership.add_learner(self.state, peer, now)

    def drop_learner(self, learner: identities.Incarnation, now: float) -> bool:
        """Cancels a repair; see `membership.drop_learner`."""
        return membership.drop_learner(self.state, learner, now)

    def snapshot_transfer_ended(
        self, follower: identities.Incarnation, sent: bool, now: float
    ) -> None:
        """Reports that the transfer of a snapshot to a follower has ended.

        Args:
            follower: Receiver of the snapshot.
            sent: Whether the snapshot was sent completely.
            now: Current time.
        """
        replication.on_snapshot_transfer_ended(self.state, follower, sent, now)

    def flush(self, now: float) -> None:
        """Sends followers the entries added since the last flush."""
        if self.state.role == types.LEADER:
            replication.send_all(self.state, now)

    def log_end(self) -> tuple[int, int]:
        """Returns the index and the term of the last entry."""
        return self.state.log.last_index, self.state.log.last_term

    def on_synced(self, end: tuple[int, int] | None = None) -> None:
        """Marks entries as durable on this replica's disk.

        While the disk was busy, the entry at `end` may have been replaced by
        another leader's; then nothing is marked, and a later sync covers the
        new entry.

        Args:
            end: Result of `log_end` when the records were taken; None for
                the whole log.
        """
        replica = self.state
        index, term = end or self.log_end()
        below = index <= replica.log.base_index
        if below or replica.log.term_at(index) == term:
            replica.persisted = max(replica.persisted, index)
        if replica.role == types.LEADER:
            replication.advance_commit(replica)

    def take_committed(self) -> list[types.Entry]:
        """Returns the entries to apply next and marks them as applied.

        A majority holds these entries, so they need not be on this disk yet.
        A leader with a slow disk can thus go as fast as its followers' disks.

        While a snapshot is not restored yet, there are no entries to apply.
        The snapshot would overwrite their effects, and they would not be
        applied again.
        """
        replica = self.state
        last = replica.commit
        if replica.restoring_index or last <= replica.applied:
            return []
        found = replica.log.between(replica.applied + 1, last)
        replica.applied = last
        return found

    def on_restored(self, index: int) -> None:
        """Reports that the snapshot up to `index` has been restored."""
        replica = self.state
        replica.applied = index
        if replica.restoring_index == index:
            replica.restoring_index = 0
            replica.outbox.committed.add(replica.group)

    def snapshot_metadata(self) -> types.SnapshotMetadata:
        """Returns the metadata for a snapshot of the applied state."""
        replica = self.state
        index = replica.applied
        term = replica.log.term_at(index) or 0
        return types.SnapshotMetadata(
            index, term, replica.configuration_at(index)
        )

    def compact(
        self, snapshot: types.SnapshotMetadata, keep: int, keep_bytes: int
    ) -> None:
        """Removes entries that a snapshot covers; see `State.compact`."""
        self.state.compact(snapshot, keep, keep_bytes)

    def checkpoint_records(self) -> Iterator[bytes]:
        """Returns records that restore the whole state of this group.

        They replace all earlier ones when the write-ahead log is rewritten.
        They are those of the moment of the call, but entries are encoded one
        batch at a time: a large log isn't in memory twice.
        """
        replica = self.state
        found = [
            records.vote(replica.group, replica.term, replica.vote),
            records.leader(replica.group, replica.term, replica.promised_to),
        ]
        if replica.snapshot.index > 0:
            found.append(records.snapshot(replica.group, replica.snapshot))
        first = replica.snapshot.index + 1
        settings = replica.settings
        batches = []
        while first <= replica.log.last_index:
            items = replica.log.batch(
                first, settings.batch_entries, settings.batch_bytes
            )
            batches.append(items)
            first += len(items)
        group = replica.group
        encoded = (records.entries(group, items) for items in batches)
        return itertools.chain(found, encoded)
