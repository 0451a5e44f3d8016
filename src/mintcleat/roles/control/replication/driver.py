"""Carries out the effects of the consensus core: store, sync, send, apply."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import random
from typing import Any
from typing import NamedTuple

from loguru import logger

from mintcleat.consensus import instance
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import events as event_ports
from mintcleat.ports import log
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports
from mintcleat.roles.control.replication import application
from mintcleat.roles.control.replication import disk_queue
from mintcleat.roles.control.replication import links as replication_links
from mintcleat.roles.control.replication import proposals
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
# Epochs are nanoseconds, so that this is 18 minutes. Two draws from it are
# equal once in 10^12 times.
_MAX_EPOCH_STEP = 1 << 40


class _StopOnFailure(contextlib.AbstractContextManager):
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
        core: The consensus instance; another one after its empty disk got a
            new identity.
        proposals: Proposers and readers that wait.
        application: The state machines.
        failed: The error that stopped this replica; None while it runs.
        disk: Effects that wait for the disk.
        wake_pending: Whether `wake` has scheduled a round of work.
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
        self.address = address
        self.wal = wal
        self.links = links
        self.timers = timers
        self.options = options
        self.failed: errors.MintcleatError | None = None
        self.stop_on_failure = _StopOnFailure(self)
        self.proposals = proposals.Proposals(machines)
        self.snapshots = replication_snapshots.Snapshots(
            wal,
            timers,
            options.snapshots,
            stop_on_failure=lambda: self.stop_on_failure,
            on_saved=self.wake,
            worker=worker,
        )
        self.application = application.Application(
            machines,
            self.proposals,
            self.reporter,
            self.snapshots.on_applied,
        )
        self.wake_pending = False
        self.is_renewing = False
        self.node = node
        self.own = own
        self.members = members
        recovery = wal.open(node)
        stored = _replay(recovery.records)
        self.disk = disk_queue.DiskQueue(
            self, wal, worker, timers, self.snapshots, options.rewrite_bytes
        )
        self.jitter = random.Random(options.seed or f"{node}").random
        self.core = self._new_core(recovery.identity, stored)
        self.reporter.disk_opened(recovery, self.core)
        for group, machine in machines.items():
            index = self.core.replicas[group].state.applied
            if index > 0:
                machine.restore(wal.load_snapshot(group, index))

    def _new_core(
        self,
        identity: identities.Incarnation,
        stored: dict[str, records.StoredState],
    ) -> instance.Instance:
        return instance.Instance(
            identity,
            self.node.epoch,
            self.options.core,
            self.jitter,
            self.application.machines,
            members=self.members,
            stored=stored,
            now=self.timers.now(),
            own=self.own,
        )

    def wake(self) -> None:
        """Schedules a round of work after the green threads that can run now.

        Everything that they propose then shares one write and one sync.
        """
        if not self.wake_pending and self.failed is None:
            self.wake_pending = True
            self.timers.spawn(self._work_soon)

    def tick(self) -> None:
        """Advances the timers of the consensus core, and works."""
        if self.failed is None and not self.is_renewing:
            self.disk.wake_after_sync()
            with self.stop_on_failure:
                self.core.tick(self.timers.now())
            self.work()

    def receive(self, payload: bytes) -> None:
        """Handles a frame from a peer."""
        frame = wire.decode(payload)
        if self.failed is not None or self.is_renewing:
            return
        self.links.peer_seen(frame.address)
        # Together with this frame, a finished sync may commit entries.
        self.disk.wake_after_sync()
        with self.stop_on_failure:
            self.core.receive(frame, self.timers.now())
        if self.core.highest_epoch_seen > self.core.me.epoch:
            self._on_later_incarnation()
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

    def _on_later_incarnation(self) -> None:
        """Handles that peers address a later incarnation of this instance.

        A disk that was formatted while the clock was behind has promised
        nothing yet, so it can take a later identity. One with votes or entries
        can't.
        """
        if self.core.known_groups():
            self.fail(_superseded(self.core.me.instance))
            return
        # The next epoch might be that of a disk that was lost together with
        # its votes, and that the sender of this frame doesn't know.
        later = random.Random(f"{self.node}").randint(1, _MAX_EPOCH_STEP)
        identity = self.core.me._replace(
            epoch=self.core.highest_epoch_seen + later
        )
        logger.warning(
            "Peers know {}@{}; the empty disk of {} becomes {}.",
            identity.instance,
            self.core.highest_epoch_seen,
            self.core.me,
            identity,
        )
        # The disk lets other green threads run. Nothing may be promised under
        # the former identity meanwhile, nor another one be taken.
        self.is_renewing = True
        with self.stop_on_failure:
            self.wal.renew(identity)
            self.core = self._new_core(identity, {})
            self.reporter.disk_opened(
                wal_ports.Recovery(
                    identity, [], formatted=True, size=self.wal.size()
                ),
                self.core,
            )
        self.is_renewing = False
        self.proposals.fail_reads()
        self.work()

    def work(self) -> None:
        """Carries out all effects except those that wait for the disk."""
        if self.is_renewing:
            return
        with self.stop_on_failure:
            while self.failed is None and self.core.has_work():
                self.core.flush(self.timers.now())
                self._process(self.core.outbox.take())
        self.proposals.fail_lost(self._led_term)
        if self.failed is None:
            self.on_progress()

    def fail(self, error: errors.MintcleatError) -> None:
        """Stops this replica because of a failure."""
        logger.error("Replication on this instance stops: {}", error)
        self.stop(error)

    def stop(self, reason: errors.MintcleatError) -> None:
        """Stops all work; nothing is acknowledged from now on."""
        self.failed = reason
        self.proposals.fail_lost(self._led_term)
        self.proposals.fail_reads()

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
        if not (effects.installs or effects.records or self.disk.unsynced):
            self.finish(effects)
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
        self.disk.add(effects)

    def finish(self, effects: outbox.Outbox) -> None:
        """Carries out the effects that must follow the sync."""
        self._send(effects.messages_after_sync)
        for needed in effects.snapshots:
            self.timers.spawn(self._send_snapshot, needed)
        self._apply_all(effects)

    def _apply_all(self, effects: outbox.Outbox) -> None:
        for group in sorted(effects.committed):
            self.application.apply(group, self.core.replicas[group])
        reads, effects.reads = effects.reads, []
        self.proposals.answer_reads(reads)

    def restore(self, received: outbox.SnapshotReceived) -> None:
        """Restores the state machine from a received snapshot."""
        self.application.restore(received.group, received.state)
        replica = self.core.replicas[received.group]
        replica.on_restored(received.snapshot.index)
        self.reporter.snapshot_installed(received)

    def _led_term(self, group: str) -> int | None:
        """Returns the term in which this replica leads; None if it doesn't."""
        replica = self.core.replicas[group]
        leads = replica.leads() and self.failed is None
        return replica.state.term if leads else None

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

    def snapshot(self, group: str) -> bool:
        """Starts a snapshot of a group; returns whether one was started.

        None is started if nothing was applied since the last one, or while
        one is being written.
        """
        replica = self.core.replicas[group]
        machine = self.application.machines.get(group)
        if (
            machine is None
            or replica.state.applied <= replica.state.snapshot.index
        ):
            return False
        return self.snapshots.take(group, replica, machine)


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
