"""Writes the effects of the consensus core that need the disk.

Effects are written in order, and those that wait share one sync. What promises
durability, messages and the leader's own vote for an entry, follows the sync.
"""

import collections
from collections.abc import Callable
import contextlib
import itertools
from typing import Any
from typing import NamedTuple
from typing import Protocol

from loguru import logger

from mintcleat.consensus import instance
from mintcleat.consensus import outbox
from mintcleat.domain import errors
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports
from mintcleat.roles.control.replication import (
    snapshots as replication_snapshots,
)

# Interval at which a write to a full disk is retried; other processes may free
# space.
_DISK_FULL_RETRY_SECONDS = 0.1
# Least time between two attempts to rewrite the log on a full disk.
_REWRITE_RETRY_SECONDS = 1.0


class Unsynced(NamedTuple):
    """Effects that wait for the disk.

    Attributes:
        effects: The effects to carry out.
        log_ends: Where the log of each group in `effects.stored` ended when
            they were queued.
    """

    effects: outbox.Outbox
    log_ends: dict[str, tuple[int, int]]


class Host(Protocol):
    """The driver that owns the queue.

    Attributes:
        core: The consensus instance.
        failed: The error that stopped this replica; None while it runs.
    """

    core: instance.Instance
    failed: errors.MintcleatError | None

    @property
    def stop_on_failure(self) -> contextlib.AbstractContextManager:
        """Context in which an exception stops this replica."""

    def work(self) -> None:
        """Carries out the effects that need no disk."""

    def finish(self, effects: outbox.Outbox) -> None:
        """Carries out the effects that must follow the sync."""

    def restore(self, received: outbox.SnapshotReceived) -> None:
        """Restores the state machine from a received snapshot."""


class DiskQueue:
    """The effects that wait for the disk.

    Attributes:
        host: The driver.
        unsynced: Effects that wait for the disk, in order.
        synced: Number of the first of them that are on the disk already,
            though the event loop has not continued after the sync.
        persisting: Whether effects are being written.
        rewrite_bytes: Size at which the log is rewritten; see
            `driver.Options`.
        rewritten_bytes: Size of the log after its last rewrite.
        rewrite_after: Time before which it isn't rewritten again.
    """

    def __init__(
        self,
        host: Host,
        wal: wal_ports.WriteAheadLog,
        worker: wal_ports.DiskWorker,
        timers: timer_ports.Timers,
        snapshots: replication_snapshots.Snapshots,
        rewrite_bytes: int,
    ) -> None:
        self.host = host
        self.wal = wal
        self.worker = worker
        self.timers = timers
        self.snapshots = snapshots
        self.unsynced: collections.deque[Unsynced] = collections.deque()
        self.synced = 0
        self.persisting = False
        self.rewrite_bytes = rewrite_bytes
        self.rewritten_bytes = wal.size()
        self.rewrite_after = 0.0

    def add(self, effects: outbox.Outbox) -> None:
        """Queues effects and starts to write them unless that is under way."""
        log_ends = self.host.core.log_ends(effects.stored)
        self.unsynced.append(Unsynced(effects, log_ends))
        if self.persisting:
            # These effects are written after the sync that is under way, so
            # that its end must wake up the writer.
            self.worker.wake_callers()
            return
        self.persisting = True
        if self.worker.blocks_caller():
            self._persist()
        else:
            self.timers.spawn(self._persist)

    def wake_after_sync(self) -> None:
        """Lets a sync that has finished without a wakeup take effect."""
        self.worker.wake_callers()

    def unsynced_bytes(self) -> int:
        """Returns the size of the records that are not on the disk yet."""
        waiting = list(self.unsynced)[self.synced :]
        return sum(len(r) for item in waiting for r in item.effects.records)

    def _persist(self) -> None:
        """Writes queued effects, with one sync for each batch."""
        host = self.host
        try:
            while self.unsynced and host.failed is None:
                with host.stop_on_failure:
                    self._persist_batch()
                host.work()
                if not self.unsynced and host.failed is None:
                    # Effects that are queued meanwhile are written next.
                    with host.stop_on_failure:
                        self._rewrite_log_if_due()
        finally:
            self.persisting = False

    def _persist_batch(self) -> None:
        batch = self._next_batch()
        for received in batch[0].effects.installs:
            self._install(received)
        records = [r for item in batch for r in item.effects.records]
        if records:
            self._write(records, batch)
            if self.host.failed is not None:
                return
            for item in batch:
                self.host.core.on_synced_to(item.log_ends)
        self.synced = 0
        snapshot_indexes: dict[str, int] = {}
        for item in batch:
            self.unsynced.popleft()
            self.host.finish(item.effects)
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

    def _install(self, item: outbox.SnapshotReceived) -> None:
        # On a full disk it waits, as entries do. If the replica stopped
        # instead, it would find the disk just as full at each restart.
        self._retry_while_full(
            self.wal.save_snapshot,
            item.group,
            item.snapshot.index,
            [item.state],
        )
        if self.host.failed is None:
            self.host.restore(item)

    # --- Writing --------------------------------------------------------------

    def _write(self, records: list[bytes], batch: list[Unsynced]) -> None:
        """Appends records and syncs; retries while the disk is full."""
        # Only system calls run on the disk's thread: two threads that run
        # Python code wait for each other.
        self.wal.append(records)
        try:
            if self._syncs_quietly(batch):
                self.worker.run_quietly(self._sync, len(batch))
            else:
                self.worker.run(self.wal.sync)
        except errors.StorageFull:
            self._retry_while_full(self.wal.sync)

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
                or effects.installs
            ):
                return False
            for group in effects.stored:
                replica = self.host.core.replicas[group]
                if not replica.leads() or replica.commits_by_sync():
                    return False
        return True

    def _sync(self, count: int) -> None:
        """Syncs the first `count` effects; runs on the disk's thread."""
        self.wal.sync()
        self.synced = count

    def _retry_while_full(
        self, function: Callable[..., None], *args: Any
    ) -> None:
        """Calls a function of the disk, again while the disk is full."""
        while self.host.failed is None:
            try:
                self.worker.run(function, *args)
            except errors.StorageFull as error:
                logger.warning("{}", error.detail)
                self.timers.sleep(_DISK_FULL_RETRY_SECONDS)
            else:
                return

    def _rewrite_log_if_due(self) -> None:
        """Rewrites the log without the records that snapshots replace."""
        limit = max(self.rewrite_bytes, 2 * self.rewritten_bytes)
        if self.wal.size() < limit:
            return
        now = self.timers.now()
        if now < self.rewrite_after:
            return
        live = [
            replica.checkpoint_records()
            for replica in self.host.core.replicas.values()
        ]
        records = itertools.chain.from_iterable(live)
        try:
            self.worker.run(self.wal.rewrite, records)
        except errors.StorageFull as error:
            # The log is as it was, and may grow until there is room again.
            logger.warning("The log isn't rewritten yet: {}", error.detail)
            self.rewrite_after = now + _REWRITE_RETRY_SECONDS
        else:
            self.rewritten_bytes = self.wal.size()
