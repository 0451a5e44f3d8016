"""Carries out the effects of the consensus core: store, sync, send, apply."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Any
from typing import NamedTuple

from eventlet import event
from loguru import logger

from mintcleat.consensus import instance
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import events as event_ports
from mintcleat.ports import log
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports
from mintcleat.roles.control.replication import links as replication_links
from mintcleat.roles.control.replication import reporting
from mintcleat.roles.control.replication import (
    snapshots as replication_snapshots,
)


class Options(NamedTuple):
    """Limits of one instance.

    Attributes:
        core: Times and limits of the consensus core.
        seed: Seed of the election timeouts; 0 derives one from the
            incarnation.
        snapshots: When a group is snapshotted.
        rewrite_bytes: Size at which the write-ahead log is rewritten, or
            twice its size after the last rewrite if that is more. The log
            must stay small because a starting instance reads all of it
            before it votes.
    """

    core: types.Settings = types.Settings()
    seed: int = 0
    snapshots: replication_snapshots.Limits = replication_snapshots.Limits()
    rewrite_bytes: int = 4 * 1024 * 1024


# A larger command would block the event loop and the disk for too long.
MAX_COMMAND_BYTES = 16 * 1024 * 1024


# Interval at which a write to a full disk is retried; other processes may free
# space.
_DISK_FULL_RETRY_SECONDS = 0.1


class Unsynced(NamedTuple):
    """Effects that wait for the disk.

    Attributes:
        effects: The effects to carry out.
        log_ends: Where the log of each group in `effects.stored` ended when
            they were queued.
    """

    effects: outbox.Outbox
    log_ends: dict[str, tuple[int, int]]


class Waiter(NamedTuple):
    """A proposer that waits for its entry.

    Attributes:
        term: Term in which the entry was proposed.
        done: Receives `(result,)`; the result may be a typed error.
    """

    term: int
    done: event.Event


class _StopOnFailure:
    """Stops a replica on any exception in a block, unexpected ones included.

    Effects that were taken from the core but not carried out are lost. If
    the replica went on, it would acknowledge entries that it never wrote.
    The other replicas go on, and a restart recovers from the disk.
    """

    def __init__(self, driver: "Driver") -> None:
        self.driver = driver

    def __enter__(self) -> None:
        """Has no effect."""

    def __exit__(
        self, kind: type | None, error: BaseException | None, traceback: Any
    ) -> bool:
        """Stops the replica; returns whether the exception was handled."""
        if error is None:
            return False
        if isinstance(error, errors.MintcleatError):
            self.driver.fail(error)
        elif isinstance(error, Exception):
            logger.opt(exception=error).error("Replication failed.")
            self.driver.fail(
                errors.MintcleatError(f"Replication failed: {error!r}.")
            )
        else:
            return False
        return True


class Driver:
    """One consensus instance on a disk and a network.

    Attributes:
        stop_on_failure: Context in which an exception stops this replica.
        core: The consensus instance.
        waiters: Proposers by group and log index.
        readers: Linearizable reads that wait, by token.
        failed: The error that stopped this replica; None while it runs.
        unsynced: Effects that wait for the disk, in order.
        persisting: Whether effects are being written to the disk.
        wake_pending: Whether `wake` has scheduled a round of work.
        rewritten_bytes: Size of the log after its last rewrite.
        on_progress: Called after each round of work.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        address: str,
        members: Sequence[types.Member],
        wal: wal_ports.WriteAheadLog,
        machines: dict[str, log.StateMachine],
        *,
        links: replication_links.Links,
        timers: timer_ports.Timers,
        options: Options,
        worker: wal_ports.DiskWorker,
        own: types.Member | None = None,
        events: event_ports.EventReporter = event_ports.NULL_EVENT_REPORTER,
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_progress = on_progress
        self.reporter = reporting.Reporter(events, options.core.founder)
        self.worker = worker
        self.unsynced: collections.deque[Unsynced] = collections.deque()
        self.persisting = False
        self.address = address
        self.wal = wal
        self.machines = machines
        self.links = links
        self.timers = timers
        self.options = options
        self.failed: errors.MintcleatError | None = None
        self.stop_on_failure = _StopOnFailure(self)
        self.waiters: dict[str, dict[int, Waiter]] = {}
        self.readers: dict[int, event.Event] = {}
        self.snapshots = replication_snapshots.Snapshots(
            wal,
            timers,
            options.snapshots,
            stop_on_failure=lambda: self.stop_on_failure,
            on_saved=self.wake,
            worker=worker,
        )
        self.wake_pending = False
        recovery = wal.open(node)
        stored = _replay(recovery.records)
        self.rewritten_bytes = wal.size()
        generator = random.Random(options.seed or f"{node}")
        self.core = instance.Instance(
            recovery.identity,
            node.epoch,
            options.core,
            generator.random,
            machines,
            members=members,
            stored=stored,
            now=timers.now(),
            own=own,
        )
        self.reporter.disk_opened(recovery, self.core)
        for group, machine in machines.items():
            self.waiters[group] = {}
            index = self.core.replicas[group].state.applied
            if index > 0:
                machine.restore(wal.load_snapshot(group, index))

    def wake(self) -> None:
        """Schedules a round of work after the green threads that can run now.

        Everything that they propose then shares one write and one sync.
        """
        if not self.wake_pending and self.failed is None:
            self.wake_pending = True
            self.timers.spawn(self._work_soon)

    def tick(self) -> None:
        """Advances the timers of the consensus core, and works."""
        if self.failed is None:
            self.worker.check()
            with self.stop_on_failure:
                self.core.tick(self.timers.now())
            self.work()

    def receive(self, payload: bytes) -> None:
        """Handles a frame from a peer."""
        frame = wire.decode(payload)
        if self.failed is not None:
            return
        self.links.peer_seen(frame.address)
        # Together with this frame, a finished sync may commit entries.
        self.worker.check()
        with self.stop_on_failure:
            self.core.receive(frame, self.timers.now())
        if self.core.highest_epoch_seen > self.core.me.epoch:
            self.fail(_superseded(self.core.me.instance))
            return
        if not self.core.has_work():
            # The last of several acknowledgements, or one of a heartbeat,
            # which may have confirmed a new leader.
            self.on_progress()
        elif self.core.leads_any():
            self.wake()
        else:
            # There are no proposals to wait for.
            self.work()

    def work(self) -> None:
        """Carries out all effects except those that wait for the disk."""
        with self.stop_on_failure:
            while self.failed is None:
                self.core.flush(self.timers.now())
                if self.core.outbox.is_empty():
                    break
                self._process(self.core.outbox.take())
        self._fail_lost_proposals()
        if self.failed is None:
            self.on_progress()

    def fail(self, error: errors.MintcleatError) -> None:
        """Stops this replica because of a failure."""
        logger.error("Replication on this instance stops: {}", error)
        self.stop(error)

    def stop(self, reason: errors.MintcleatError) -> None:
        """Stops all work; nothing is acknowledged from now on."""
        self.failed = reason
        self._fail_lost_proposals()
        for done in self.readers.values():
            done.send(None)
        self.readers.clear()

    def _work_soon(self) -> None:
        self.timers.sleep(0)
        self.wake_pending = False
        self.work()

    def _process(self, effects: outbox.Outbox) -> None:
        """Carries out the effects that need no disk, and queues the rest.

        Messages that promise durability are sent only after all records that
        were queued before them, even if no record is queued with them.
        """
        for elected in effects.elections:
            self.reporter.leader_elected(elected)
        self._send(effects.messages)
        effects.messages = []
        if not (effects.installs or effects.records or self.unsynced):
            self._finish(effects)
            return
        if not effects.records:
            # A heartbeat reply promises not to vote for a while, and a
            # restart keeps that promise without any record on disk. Replies
            # delayed by a slow disk would depose a healthy leader.
            replies = [
                m for m in effects.messages_after_sync if _is_heartbeat_reply(m)
            ]
            effects.messages_after_sync = [
                m
                for m in effects.messages_after_sync
                if not _is_heartbeat_reply(m)
            ]
            self._send(replies)
        # Entries that a quorum holds may be applied before this disk has them.
        self._apply_all(effects)
        log_ends = self.core.log_ends(effects.stored)
        self.unsynced.append(Unsynced(effects, log_ends))
        if self.persisting:
            # These effects are written as soon as the disk is free.
            self.worker.check()
        else:
            self.persisting = True
            if self.worker.blocks_caller():
                self._persist()
            else:
                self.timers.spawn(self._persist)

    def _persist(self) -> None:
        """Writes queued effects, with one sync for each batch."""
        try:
            while self.unsynced and self.failed is None:
                with self.stop_on_failure:
                    self._persist_batch()
                self.work()
            if self.failed is None:
                with self.stop_on_failure:
                    self._rewrite_log_if_due()
        finally:
            self.persisting = False

    def _persist_batch(self) -> None:
        batch = self._next_batch()
        for received in batch[0].effects.installs:
            self._install(received)
        records = [r for item in batch for r in item.effects.records]
        if records:
            self._write(records, self._syncs_quietly(batch))
            if self.failed is not None:
                return
            for item in batch:
                self.core.on_synced_to(item.log_ends)
        snapshot_indexes: dict[str, int] = {}
        for item in batch:
            self.unsynced.popleft()
            self._finish(item.effects)
            snapshot_indexes.update(item.effects.snapshot_indexes)
        if snapshot_indexes:
            self.worker.run(self.snapshots.drop_below, snapshot_indexes)

    def _next_batch(self) -> list[Unsynced]:
        """Returns the effects to write now; a snapshot starts a new batch."""
        batch = [self.unsynced[0]]
        for item in list(self.unsynced)[1:]:
            if item.effects.installs:
                break
            batch.append(item)
        return batch

    def _syncs_quietly(self, batch: list[Unsynced]) -> bool:
        """Returns whether nothing but a later event makes use of the sync.

        The entries of a leader are committed once a follower has them too,
        whose reply usually arrives after the sync. The sync needs no wakeup of
        its own then.
        """
        if len(self.unsynced) > len(batch):
            return False
        for item in batch:
            effects = item.effects
            if (
                effects.messages_after_sync
                or effects.snapshots
                or effects.snapshot_indexes
            ):
                return False
            for group in effects.stored:
                if self.core.replicas[group].commits_by_sync():
                    return False
        return True

    def _write(self, records: list[bytes], quietly: bool) -> None:
        """Appends records and syncs; retries while the disk is full."""
        # Only the system calls run on the disk's thread: two threads that run
        # Python code wait for each other.
        self.wal.append(records)
        run = self.worker.run_quietly if quietly else self.worker.run
        try:
            run(self.wal.sync)
        except errors.StorageFull:
            self._retry_while_full(self.wal.sync)

    def _retry_while_full(
        self, function: Callable[..., None], *args: Any
    ) -> None:
        """Calls a function of the disk, again while the disk is full."""
        while self.failed is None:
            try:
                self.worker.run(function, *args)
            except errors.StorageFull as error:
                logger.warning("{}", error.detail)
                self.timers.sleep(_DISK_FULL_RETRY_SECONDS)
            else:
                return

    def _finish(self, effects: outbox.Outbox) -> None:
        """Carries out the effects that must follow the sync."""
        self._send(effects.messages_after_sync)
        for needed in effects.snapshots:
            self.timers.spawn(self._send_snapshot, needed)
        self._apply_all(effects)

    def _apply_all(self, effects: outbox.Outbox) -> None:
        for group in sorted(effects.committed):
            self._apply(group, self.core.replicas[group])
        reads, effects.reads = effects.reads, []
        for ready in reads:
            done = self.readers.pop(ready.token, None)
            if done is not None:
                done.send(ready)

    def _send(self, messages: list[outbox.OutgoingMessage]) -> None:
        frames: dict[identities.Incarnation, list[Any]] = {}
        for outgoing in messages:
            frames.setdefault(outgoing.to, []).append(outgoing.message)
        for to, items in frames.items():
            address = self.core.roster.address(to.instance)
            if address:
                self.links.send(address, self._frame(to, items))

    def _frame(self, to: identities.Incarnation, items: list[Any]) -> bytes:
        frame = wire.Frame(self.core.me, self.address, to, items)
        return wire.encode(frame)

    def _send_snapshot(self, needed: outbox.SnapshotNeeded) -> None:
        # The newest snapshot is sent, because it may have replaced the file
        # of `needed.snapshot`.
        group = needed.group
        metadata = self.core.replicas[group].state.snapshot
        with self.stop_on_failure:
            state = self.snapshots.acquire(group, metadata.index)
        if self.failed is not None:
            return
        size = len(state)
        message = wire.InstallSnapshot(group, needed.term, metadata, state)
        frame = wire.Frame(self.core.me, self.address, needed.to, [message])

        def ended(sent: bool) -> None:
            self.snapshots.release(group, metadata.index)
            self.reporter.snapshot_sent(
                group, needed.to, metadata.index, size, sent
            )
            replica = self.core.replicas[group]
            replica.snapshot_transfer_ended(needed.to, sent, self.timers.now())

        address = self.core.roster.address(needed.to.instance)
        self.links.send_bulk(address, wire.encode_install(frame), ended)

    def _install(self, item: outbox.SnapshotReceived) -> None:
        # On a full disk it waits, as entries do. If the replica stopped
        # instead, it would find the disk just as full at each restart.
        self._retry_while_full(
            self.wal.save_snapshot, item.group, item.snapshot.index, item.state
        )
        if self.failed is not None:
            return
        machine = self.machines.get(item.group)
        if machine is not None:
            machine.restore(item.state)
        self.core.replicas[item.group].on_restored(item.snapshot.index)
        self.reporter.snapshot_installed(item)

    def _apply(self, group: str, replica: replicas.Replica) -> None:
        machine = self.machines.get(group)
        waiters = self.waiters.get(group, {})
        size = 0
        entries = replica.take_committed()
        if not entries:
            return
        for entry in entries:
            if entry.kind == types.CONFIGURATION:
                self.reporter.voters_changed(replica, entry)
            result = None
            size += len(entry.data)
            if entry.kind == types.COMMAND and machine is not None:
                result = self._apply_one(group, machine, entry)
            waiter = waiters.pop(entry.index, None)
            if waiter is not None:
                is_own = waiter.term == entry.term
                waiter.done.send((result if is_own else _proposal_lost(),))
        if machine is not None:
            self.snapshots.on_applied(group, replica, machine, size)

    def snapshot(self, group: str) -> bool:
        """Starts a snapshot of a group; returns whether one was started.

        None is started if nothing was applied since the last one, or while
        one is being written.
        """
        replica = self.core.replicas[group]
        machine = self.machines.get(group)
        if (
            machine is None
            or replica.state.applied <= replica.state.snapshot.index
        ):
            return False
        return self.snapshots.take(group, replica, machine)

    def _apply_one(
        self, group: str, machine: log.StateMachine, entry: types.Entry
    ) -> Any:
        """Applies a command and returns its result.

        An exception in the state machine becomes an error for the proposer.
        The same code fails in the same way on every replica, so they stay
        equal, and one bad command does not stop the whole group. A failure of
        this host is different: the machine has then missed a command that the
        other replicas applied, so this replica stops.
        """
        try:
            return machine.apply(entry.index, entry.data)
        except (OSError, MemoryError) as error:
            raise errors.StorageFailed(
                f"Entry {entry.index} of {group} cannot be applied: {error}."
            ) from error
        except Exception:
            logger.exception("Entry {} of {} failed.", entry.index, group)
            return errors.MintcleatError("The state machine failed.")

    def _rewrite_log_if_due(self) -> None:
        """Rewrites the log without the records that snapshots replace."""
        limit = max(self.options.rewrite_bytes, 2 * self.rewritten_bytes)
        if self.wal.size() < limit:
            return
        live = [
            record
            for replica in self.core.replicas.values()
            for record in replica.checkpoint_records()
        ]
        self.worker.run(self.wal.rewrite, live)
        self.rewritten_bytes = self.wal.size()

    def _fail_lost_proposals(self) -> None:
        """Fails proposals of terms in which this replica no longer leads."""
        for group, waiters in self.waiters.items():
            if not waiters:
                continue
            state = self.core.replicas[group].state
            leads = state.role == types.LEADER and self.failed is None
            kept = {}
            for index, waiter in waiters.items():
                if leads and waiter.term == state.term:
                    kept[index] = waiter
                else:
                    waiter.done.send((_proposal_lost(),))
            self.waiters[group] = kept


def _is_heartbeat_reply(outgoing: outbox.OutgoingMessage) -> bool:
    return isinstance(outgoing.message, wire.HeartbeatReply)


def _replay(items: Iterable[bytes]) -> dict[str, records.StoredState]:
    try:
        return records.replay(items)
    except (ValueError, TypeError) as error:
        raise errors.StorageDamaged(
            f"The records of the write-ahead log are inconsistent: {error}."
        ) from error


def _superseded(instance_name: str) -> errors.InvalidSettings:
    return errors.InvalidSettings(
        f"Peers know a later incarnation of {instance_name}.",
        remedy="Stop the other process of this name; if there is none, correct"
        " the clock, empty the data folder and restart.",
    )


def _proposal_lost() -> errors.ProposalLost:
    return errors.ProposalLost("The leadership changed before the commit.")
