"""When a group is snapshotted, and how its file is written and removed."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import NamedTuple

from eventlet import semaphore
from loguru import logger

from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.ports import log
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports

# A snapshot writes at most this many times what was applied since the last;
# else a large group with small commands would write its state all the time.
_SMALL_ENTRIES = 4


class Limits(NamedTuple):
    """When a group is snapshotted.

    Attributes:
        entries: Entries after which it is, unless they are small against
            its last snapshot.
        bytes: The same in bytes, or the size of the last snapshot when that
            is more, so that snapshots cost a bounded share.
        kept: Entries kept behind a snapshot for slow followers.
    """

    entries: int = 10_000
    bytes: int = 8 * 1024 * 1024
    kept: int = 1_000


class Growth:
    """What a group has applied since its last snapshot.

    Attributes:
        saving: Whether a snapshot is being written.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.snapshot_size = 0
        self.saving = False


class SharedState:
    """A state in memory while followers are sent it."""

    def __init__(self, state: bytes) -> None:
        self.state = state
        self.users = 0


class Snapshots:
    """The snapshots of one instance.

    Attributes:
        stop_on_failure: Context that stops the replica when its body fails.
        on_saved: Called after a snapshot is taken into the log.
        in_use: States that are being sent, and to how many followers.
        reading: Held while a state is read to be lent.
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
        self.reading = semaphore.Semaphore(1)

    def acquire(self, group: str, index: int) -> bytes:
        """Returns a stored state; all that borrow it share one copy.

        After a loss of power that took disks, a leader sends its state to
        several followers at once, in the second in which it holds most.
        """
        # One at a time: read for two followers at once, it would stand in
        # memory twice until one of the copies is dropped.
        with self.reading:
            if (group, index) not in self.in_use:
                state = self.worker.run(self.wal.load_snapshot, group, index)
                self.in_use[group, index] = SharedState(state)
        lent = self.in_use[group, index]
        lent.users += 1
        return lent.state

    def release(self, group: str, index: int) -> None:
        """Drops the copy after its last user."""
        lent = self.in_use[group, index]
        lent.users -= 1
        if not lent.users:
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
        """Starts a snapshot; False while one is being written."""
        growth = self.growth.setdefault(group, Growth())
        if growth.saving:
            return False
        mark = replica.snapshot_metadata()
        state = machine.snapshot()
        growth.saving = True
        growth.bytes = 0
        growth.snapshot_size = len(state)
        self.timers.spawn(self._save, replica, mark, state)
        return True

    def drop_below(self, marks: dict[str, int]) -> None:
        """Removes snapshots whose successor is on record in the synced log.

        The file of a successor is no reason yet: until its record is synced a
        start reads the older one, and without that file the instance could
        not start at all.

        Args:
            marks: By group, the newest snapshot that a synced record names.
        """
        for group, index in marks.items():
            self.wal.drop_snapshots(group, index)

    def _due(self, replica: replicas.Replica, growth: Growth) -> bool:
        entries = replica.state.applied - replica.state.snapshot.index
        if growth.bytes >= max(self.limits.bytes, growth.snapshot_size):
            return True
        weight = growth.bytes * _SMALL_ENTRIES
        return entries >= self.limits.entries and weight >= growth.snapshot_size

    def _save(
        self,
        replica: replicas.Replica,
        mark: types.SnapshotMetadata,
        state: bytes,
    ) -> None:
        """Writes the file beside the loop, so that heartbeats go out.

        Written on the loop, a large state would hold it for longer than the
        election timeout, and a healthy leader would be replaced. A full disk
        takes no snapshot; the next is due after as much again.
        """
        group = replica.state.group
        with self.stop_on_failure():
            try:
                self.worker.run(
                    self.wal.save_snapshot,
                    group,
                    mark.index,
                    state,
                    self.worker.pause,
                )
            except errors.StorageFull as error:
                logger.warning("No snapshot of {}: {}", group, error.detail)
            else:
                self._saved(replica, mark)
        self.growth[group].saving = False
        self.on_saved()

    def _saved(
        self, replica: replicas.Replica, mark: types.SnapshotMetadata
    ) -> None:
        # A snapshot of the leader may have been installed meanwhile.
        if mark.index > replica.state.snapshot.index:
            replica.compact(mark, self.limits.kept)
