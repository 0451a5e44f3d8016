"""Carries out what the consensus core asks for: store, sync, send, apply."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
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
        seed: Seed of the election timeouts; 0 draws one from the instance.
        snapshots: When a group is snapshotted.
        rewrite_bytes: Size at which the write-ahead log is rewritten, or
            twice its size after the last time when that is more. A start
            reads the log whole before it votes.
    """

    core: types.Settings = types.Settings()
    seed: int = 0
    snapshots: replication_snapshots.Limits = replication_snapshots.Limits()
    rewrite_bytes: int = 4 * 1024 * 1024


# A larger command would hold the loop and the disk for too long.
MAX_COMMAND = 16 * 1024 * 1024


# A full disk may be emptied by others; this often it is tried again.
_FULL_PAUSE = 0.1


class Unsynced(NamedTuple):
    """Effects that wait for the disk.

    Attributes:
        ends: Where the log of each group in `box.stored` ended then.
    """

    box: outbox.Outbox
    ends: dict[str, tuple[int, int]]


class Waiter(NamedTuple):
    """A proposer that waits for its entry; `done` gets `(result,)`."""

    term: int
    done: event.Event


class Driver:
    """One consensus instance on a disk and a network.

    Attributes:
        core: The consensus instance.
        waiters: By group and index.
        failed: Why this replica has stopped, if it has.
        unsynced: Effects that wait for the disk, in order.
        worked: Called after each round of work.
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
        worked: Callable[[], None] = lambda: None,
    ) -> None:
        self.worked = worked
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
        self.waiters: dict[str, dict[int, Waiter]] = {}
        self.readers: dict[int, event.Event] = {}
        self.snapshots = replication_snapshots.Snapshots(
            wal,
            timers,
            options.snapshots,
            stop_on_failure=self._stopping_on_failure,
            on_saved=self.wake,
            worker=worker,
        )
        self.awake = False
        found = wal.open(node)
        stored = _fold(found.records)
        self.rewritten = wal.size()
        generator = random.Random(options.seed or f"{node}")
        self.core = instance.Instance(
            found.identity,
            node.epoch,
            options.core,
            generator.random,
            machines,
            members=members,
            stored=stored,
            now=timers.now(),
            own=own,
        )
        self.reporter.disk(found, self.core)
        for group, machine in machines.items():
            self.waiters[group] = {}
            index = self.core.replicas[group].state.applied
            if index > 0:
                machine.restore(wal.load_snapshot(group, index))

    def wake(self) -> None:
        """Makes the driver work soon, after every caller that can run now.

        All that they propose then shares one write and one sync.
        """
        if not self.awake and self.failed is None:
            self.awake = True
            self.timers.spawn(self._work_soon)

    def tick(self) -> None:
        """Lets time pass."""
        if self.failed is None:
            with self._stopping_on_failure():
                self.core.tick(self.timers.now())
            self.work()

    def receive(self, payload: bytes) -> None:
        """Takes a frame from a peer."""
        frame = wire.decode(payload)
        if self.failed is not None:
            return
        self.links.peer_seen(frame.address)
        with self._stopping_on_failure():
            self.core.receive(frame, self.timers.now())
        if self.core.highest_epoch_seen > self.core.me.epoch:
            self.fail(_superseded(self.core.me.instance))
            return
        self.wake()

    def work(self) -> None:
        """Carries out effects until none is left but those of the disk."""
        with self._stopping_on_failure():
            while self.failed is None:
                self.core.flush(self.timers.now())
                if self.core.outbox.is_empty():
                    break
                self._take_up(self.core.outbox.take())
        self._release_lost()
        if self.failed is None:
            self.worked()

    def fail(self, error: errors.MintcleatError) -> None:
        """Stops this replica because of a failure."""
        logger.error("Replication stops here: {}", error)
        self.stop(error)

    def stop(self, reason: errors.MintcleatError) -> None:
        """Ends all work: nothing is acknowledged from now on."""
        self.failed = reason
        self._release_lost()
        for done in self.readers.values():
            done.send(None)
        self.readers.clear()

    @contextlib.contextmanager
    def _stopping_on_failure(self) -> Iterator[None]:
        """Stops this replica on any failure, also one of its own code.

        Effects that were taken from the core but not carried out cannot be
        made up for: going on, it would acknowledge entries that it never
        wrote. The other replicas go on, and a restart reads the disk anew.
        """
        try:
            yield
        except errors.MintcleatError as error:
            self.fail(error)
        except Exception as error:
            logger.exception("Replication failed.")
            self.fail(errors.MintcleatError(f"Replication failed: {error!r}."))

    def _work_soon(self) -> None:
        self.timers.sleep(0)
        self.awake = False
        self.work()

    def _take_up(self, box: outbox.Outbox) -> None:
        """Carries out what needs no disk; the rest waits its turn.

        Letters that promise durability leave in the order of the records
        before them, also when their own box holds none.
        """
        for elected in box.elections:
            self.reporter.elected(elected)
        self._send(box.messages)
        box.messages = []
        if not (box.installs or box.records or self.unsynced):
            self._finish(box)
            return
        if not box.records:
            # They promise not to vote, which a restart keeps by itself. Held
            # back behind a slow disk, they would unseat a healthy leader.
            beats = [m for m in box.messages_after_sync if _is_beat(m)]
            box.messages_after_sync = [
                m for m in box.messages_after_sync if not _is_beat(m)
            ]
            self._send(beats)
        # What a majority holds may be applied before this disk has it.
        self._apply_all(box)
        ends = self.core.log_ends(box.stored)
        self.unsynced.append(Unsynced(box, ends))
        if not self.persisting:
            self.persisting = True
            if self.worker.blocks_caller():
                self._persist()
            else:
                self.timers.spawn(self._persist)

    def _persist(self) -> None:
        """Writes what waits, one sync for all of it, until nothing waits."""
        try:
            while self.unsynced and self.failed is None:
                with self._stopping_on_failure():
                    self._persist_some()
                self.work()
            if self.failed is None:
                with self._stopping_on_failure():
                    self._shrink()
        finally:
            self.persisting = False

    def _persist_some(self) -> None:
        taken = self._next_batch()
        for item in taken[0].box.installs:
            self._install(item)
        records = [record for item in taken for record in item.box.records]
        if records:
            self._write(records)
            if self.failed is not None:
                return
            for item in taken:
                self.core.on_synced_to(item.ends)
        marks: dict[str, int] = {}
        for item in taken:
            self.unsynced.popleft()
            self._finish(item.box)
            marks.update(item.box.snapshot_indexes)
        if marks:
            self.worker.run(self.snapshots.drop_below, marks)

    def _next_batch(self) -> list[Unsynced]:
        """Returns the boxes to write now; a snapshot begins a batch."""
        taken = [self.unsynced[0]]
        for item in list(self.unsynced)[1:]:
            if item.box.installs:
                break
            taken.append(item)
        return taken

    def _write(self, records: list[bytes]) -> None:
        """Appends and syncs; waits while the disk is full."""

        def append_and_sync() -> None:
            self.wal.append(records)
            self.wal.sync()

        try:
            self.worker.run(append_and_sync)
        except errors.StorageFull:
            self._run_with_room(self.wal.sync)

    def _run_with_room(self, function: Callable[..., None], *args: Any) -> None:
        """Runs a call of the disk again and again until it has room."""
        while self.failed is None:
            try:
                self.worker.run(function, *args)
            except errors.StorageFull as error:
                logger.warning("{}", error.detail)
                self.timers.sleep(_FULL_PAUSE)
            else:
                return

    def _finish(self, box: outbox.Outbox) -> None:
        """Carries out what was to follow the sync."""
        self._send(box.messages_after_sync)
        for needed in box.snapshots:
            self.timers.spawn(self._send_snapshot, needed)
        self._apply_all(box)

    def _apply_all(self, box: outbox.Outbox) -> None:
        for group in sorted(box.committed):
            self._apply(group, self.core.replicas[group])
        reads, box.reads = box.reads, []
        for ready in reads:
            done = self.readers.pop(ready.token, None)
            if done is not None:
                done.send(ready)

    def _send(self, letters: list[outbox.OutgoingMessage]) -> None:
        frames: dict[identities.Incarnation, list[Any]] = {}
        for letter in letters:
            frames.setdefault(letter.to, []).append(letter.message)
        for to, items in frames.items():
            address = self.core.roster.address(to.instance)
            if address:
                self.links.send(address, self._frame(to, items))

    def _frame(self, to: identities.Incarnation, items: list[Any]) -> bytes:
        frame = wire.Frame(self.core.me, self.address, to, items)
        return wire.encode(frame)

    def _send_snapshot(self, needed: outbox.SnapshotNeeded) -> None:
        # The file of `needed.snapshot` may be gone: a newer one replaced it.
        group = needed.group
        mark = self.core.replicas[group].state.snapshot
        with self._stopping_on_failure():
            state = self.snapshots.acquire(group, mark.index)
        if self.failed is not None:
            return
        size = len(state)
        message = wire.InstallSnapshot(group, needed.term, mark, state)
        frame = wire.Frame(self.core.me, self.address, needed.to, [message])

        def ended(sent: bool) -> None:
            self.snapshots.release(group, mark.index)
            self.reporter.sent(group, needed.to, mark.index, size, sent)
            replica = self.core.replicas[group]
            replica.snapshot_transfer_ended(needed.to, sent, self.timers.now())

        address = self.core.roster.address(needed.to.instance)
        self.links.send_bulk(address, wire.encode_install(frame), ended)

    def _install(self, item: outbox.SnapshotReceived) -> None:
        # Without room it waits, as entries do: a replica that stopped for it
        # would find the disk as full at each start.
        self._run_with_room(
            self.wal.save_snapshot, item.group, item.snapshot.index, item.state
        )
        if self.failed is not None:
            return
        machine = self.machines.get(item.group)
        if machine is not None:
            machine.restore(item.state)
        self.core.replicas[item.group].on_restored(item.snapshot.index)
        self.reporter.installed(item)

    def _apply(self, group: str, replica: replicas.Replica) -> None:
        machine = self.machines.get(group)
        waiters = self.waiters.get(group, {})
        size = 0
        found = replica.take_committed()
        if not found:
            return
        for entry in found:
            if entry.kind == types.CONFIGURATION:
                self.reporter.voters(replica, entry)
            result = None
            size += len(entry.data)
            if entry.kind == types.COMMAND and machine is not None:
                result = self._apply_one(group, machine, entry)
            waiter = waiters.pop(entry.index, None)
            if waiter is not None:
                mine = waiter.term == entry.term
                waiter.done.send((result if mine else _lost(),))
        if machine is not None:
            self.snapshots.applied(group, replica, machine, size)

    def snapshot(self, group: str) -> bool:
        """Snapshots a group now; False when nothing is new since the last."""
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
        """Applies a command; a machine's bug is the proposer's error.

        The same code fails the same way on every replica, so they stay
        equal, and one bad command does not stop the whole group for good. A
        failure of this host is different: here the machine has missed a
        command that the others applied, so this replica stops.
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

    def _shrink(self) -> None:
        """Rewrites the log once most of it lies under snapshots."""
        limit = max(self.options.rewrite_bytes, 2 * self.rewritten)
        if self.wal.size() < limit:
            return
        live = [
            record
            for replica in self.core.replicas.values()
            for record in replica.checkpoint_records()
        ]
        self.worker.run(self.wal.rewrite, live)
        self.rewritten = self.wal.size()

    def _release_lost(self) -> None:
        """Ends the waiting of proposers whose leadership is gone."""
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
                    waiter.done.send((_lost(),))
            self.waiters[group] = kept


def _is_beat(letter: outbox.OutgoingMessage) -> bool:
    return isinstance(letter.message, wire.HeartbeatReply)


def _fold(items: Iterable[bytes]) -> dict[str, records.StoredState]:
    try:
        return records.replay(items)
    except (ValueError, TypeError) as error:
        raise errors.StorageDamaged(
            f"The log's records contradict each other: {error}."
        ) from error


def _superseded(instance_name: str) -> errors.InvalidSettings:
    return errors.InvalidSettings(
        f"Peers know a later incarnation of {instance_name}.",
        remedy="End the other process of this name; if there is none, correct"
        " the clock, empty the data folder and restart.",
    )


def _lost() -> errors.ProposalLost:
    return errors.ProposalLost("The leadership changed before the commit.")
