"""Takes snapshots of groups, and writes, shares and removes their files."""

from collections.abc import Callable
from contextlib import AbstractContextManager
import math
from typing import NamedTuple

from eventlet import semaphore
from loguru import logger

from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.ports import log
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports

# A snapshot that is due by the number of entries waits until it is at most this
# many times as large as the entries applied since the last one. Without this
# bound, a large group with small commands would write its state all the time.
_MAX_WRITE_AMPLIFICATION = 4


class Limits(NamedTuple):
    """When a group is snapshotted.

    Attributes:
        entries: Number of applied entries after which a snapshot is due,
            unless they are small compared with the last snapshot.
        bytes: Size of the applied entries after which a snapshot is due. The
            size of the last snapshot counts instead if it is larger, so that
            snapshots are a bounded share of all writes.
        most_bytes: Size of the applied entries after which a snapshot is due,
            whatever the size of the last one.
        kept: Entries kept in the log behind a snapshot, for slow followers.
        kept_bytes: Size of these entries at most. The size of the snapshot
            counts instead if it is larger, since a follower that lacks the
            entries is sent that.
        most_kept_bytes: Size of these entries at most, whatever the size of
            the snapshot.
    """

    entries: int = 10_000
    bytes: int = 8 * 1024 * 1024
    most_bytes: float = math.inf
    kept: int = 1_000
    kept_bytes: int = 4 * 1024 * 1024
    most_kept_bytes: int = 32 * 1024 * 1024


# Shares of a process's memory for the entries of one group: those that a
# snapshot doesn't cover yet, and those kept behind it. The rest is for the
# state, its encoded snapshots and other groups.
_UNCOVERED_FRACTION = 1 / 40
_MOST_UNCOVERED_FRACTION = 1 / 20
_KEPT_FRACTION = 1 / 40
_MOST_KEPT_FRACTION = 1 / 20


def limits_for(memory_bytes: int, groups: int = 1) -> Limits:
    """Returns the limits for each group of a process.

    Args:
        memory_bytes: Memory that the process may use; 0 if unknown.
        groups: Number of its large groups.
    """
    usual = Limits()
    if not memory_bytes:
        return usual
    memory_bytes //= groups
    return usual._replace(
        bytes=min(usual.bytes, int(memory_bytes * _UNCOVERED_FRACTION)),
        most_bytes=memory_bytes * _MOST_UNCOVERED_FRACTION,
        kept_bytes=min(usual.kept_bytes, int(memory_bytes * _KEPT_FRACTION)),
        most_kept_bytes=min(
            usual.most_kept_bytes, int(memory_bytes * _MOST_KEPT_FRACTION)
        ),
    )


class Growth:
    """The growth of a group since its last snapshot.

    Attributes:
        bytes: Size of the entries applied since the last snapshot.
        snapshot_size: Size of the last snapshot in bytes.
        saving: Whether a snapshot is being written.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.snapshot_size = 0
        self.saving = False


class SharedState:
    """A snapshot's state in memory while it is sent to followers.

    Attributes:
        users: Number of transfers that use it.
    """

    def __init__(self, state: bytes) -> None:
        self.state = state
        self.users = 0


class Snapshots:
    """The snapshots of one instance.

    Attributes:
        stop_on_failure: Context that stops the replica when its body fails.
        on_saved: Called when the writing of a snapshot has ended.
        growth: Growth since the last snapshot, by group.
        in_use: States that are being sent, by group and index.
        read_lock: Held while a state is read from the disk.
    """

    def __init__(
        self,
        wal: wal_ports.WriteAheadLog,
        timers: timer_ports.Timers,
        limits: Limits,
        *,
        stop_on_failure: Callable[[], AbstractContextManager[None]],
        on_saved: Callable[[], None],
        worker: wal_ports.DiskWorker,
    ) -> None:
        self.worker = worker
        self.wal = wal
        self.timers = timers
        self.limits = limits
        self.stop_on_failure = stop_on_failure
        self.on_saved = on_saved
        self.growth: dict[str, Growth] = {}
        self.in_use: dict[tuple[str, int], SharedState] = {}
        self.read_lock = semaphore.Semaphore(1)

    def acquire(self, group: str, index: int) -> bytes:
        """Returns a stored state; concurrent users share one copy.

        `release` must follow. The copy is shared because after a power loss
        that destroyed disks, a leader sends its state to several followers at
        once, while its memory use is at its highest.
        """
        # Reads are serialized: two concurrent reads would hold the state in
        # memory twice until one copy is dropped.
        with self.read_lock:
            if (group, index) not in self.in_use:
                state = self.worker.run(self.wal.load_snapshot, group, index)
                self.in_use[group, index] = SharedState(state)
        shared = self.in_use[group, index]
        shared.users += 1
        return shared.state

    def release(self, group: str, index: int) -> None:
        """Drops the copy after its last user."""
        shared = self.in_use[group, index]
        shared.users -= 1
        if not shared.users:
            del self.in_use[group, index]

    def on_applied(
        self,
        group: str,
        replica: replicas.Replica,
        machine: log.StateMachine,
        size: int,
    ) -> None:
        """Counts applied bytes and starts a snapshot when it is due."""
        growth = self.growth.setdefault(group, Growth())
        growth.bytes += size
        if self._due(replica, growth):
            self.take(group, replica, machine)

    def take(
        self, group: str, replica: replicas.Replica, machine: log.StateMachine
    ) -> bool:
        """Starts a snapshot; returns False if one is being written."""
        growth = self.growth.setdefault(group, Growth())
        if growth.saving:
            return False
        metadata = replica.snapshot_metadata()
        parts = machine.snapshot_parts()
        growth.saving = True
        growth.bytes = 0
        growth.snapshot_size = sum(len(part) for part in parts)
        self.timers.spawn(self._save, replica, metadata, parts)
        return True

    def drop_below(self, indexes: dict[str, int]) -> None:
        """Removes snapshots whose successor is recorded in the synced log.

        The successor's file alone is not enough. Until its record is synced,
        a restart reads the older snapshot, and without that file the instance
        could not start.

        Args:
            indexes: By group, the index of the newest snapshot that a synced
                record names.
        """
        for group, index in indexes.items():
            self.wal.drop_snapshots(group, index)

    def _due(self, replica: replicas.Replica, growth: Growth) -> bool:
        entries = replica.state.applied - replica.state.snapshot.index
        large = min(growth.snapshot_size, self.limits.most_bytes)
        if growth.bytes >= max(self.limits.bytes, large):
            return True
        affordable = growth.bytes * _MAX_WRITE_AMPLIFICATION
        return (
            entries >= self.limits.entries
            and affordable >= growth.snapshot_size
        )

    def _save(
        self,
        replica: replicas.Replica,
        metadata: types.SnapshotMetadata,
        parts: list[bytes],
    ) -> None:
        """Writes the file outside the event loop, so that heartbeats go out.

        Written in the event loop, a large state would block it for longer
        than the election timeout, and a healthy leader would be replaced. On
        a full disk the snapshot is skipped; the next one is due after as much
        growth again.
        """
        group = replica.state.group
        with self.stop_on_failure():
            try:
                self.worker.run(
                    self.wal.save_snapshot,
                    group,
                    metadata.index,
                    parts,
                    self.worker.pause,
                )
            except errors.StorageFull as error:
                logger.warning(
                    "Skipped the snapshot of {}: {}", group, error.detail
                )
            else:
                self._compact(replica, metadata)
        self.growth[group].saving = False
        self.on_saved()

    def _compact(
        self, replica: replicas.Replica, metadata: types.SnapshotMetadata
    ) -> None:
        # A newer snapshot from the leader may have been installed meanwhile.
        if metadata.index > replica.state.snapshot.index:
            limits = self.limits
            size = self.growth[replica.state.group].snapshot_size
            kept_bytes = min(
                max(limits.kept_bytes, size), limits.most_kept_bytes
            )
            replica.compact(metadata, limits.kept, kept_bytes)
