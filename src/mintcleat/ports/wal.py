"""The interfaces to the write-ahead log and to the disk below it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import pathlib
from typing import Any
from typing import NamedTuple
from typing import Protocol

from mintcleat.domain import identities


class Recovery(NamedTuple):
    """Content of the log when it was opened.

    Attributes:
        identity: The replica identity stored on the disk. Its epoch is that
            of the process start that formatted the disk, or a later one from
            `renew`, so a disk that was wiped or copied never reuses its
            earlier identity.
        records: All records in order, read lazily; can be iterated once. A
            log of ten megabytes that is held in memory together with the
            state built from it exceeds the memory of a small machine, and the
            process would be killed at each start. Iterating raises
            errors.StorageDamaged as `open` does.
        formatted: Whether `open` formatted the disk, because it was empty or
            a copy of another.
        cut_bytes: Bytes of the torn write that was cut off the log's end.
        size: Size of the log in bytes.
    """

    identity: identities.Incarnation
    records: Iterable[bytes]
    formatted: bool = False
    cut_bytes: int = 0
    size: int = 0


class WriteAheadLog(Protocol):
    """One log of opaque records, shared by all groups of an instance.

    After a failed write or sync every later call raises
    errors.StorageFailed: the kernel may have dropped the dirty pages, so a
    second sync would report success for bytes that are lost.
    """

    def open(self, node: identities.Incarnation) -> Recovery:
        """Opens the log, or formats an empty disk for `node`.

        Raises:
            errors.StorageDamaged: The log is corrupt elsewhere than at its
                end.
            errors.StorageFailed: The disk cannot be read or written.
        """

    def renew(self, identity: identities.Incarnation) -> None:
        """Durably replaces the identity of a disk without any records.

        Raises:
            ValueError: The log has records, which belong to its identity.
        """

    def append(self, records: Iterable[bytes]) -> None:
        """Appends records; they are durable once `sync` has returned."""

    def sync(self) -> None:
        """Makes all appended records durable, with a single disk sync."""

    def size(self) -> int:
        """Returns the size of all segments in bytes."""

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces the whole log, durably and atomically.

        Args:
            records: Read once, while they are written.
        """

    def save_snapshot(
        self,
        group: str,
        index: int,
        parts: Sequence[bytes],
        pause: Callable[[], None] | None = None,
    ) -> None:
        """Stores a snapshot durably.

        Args:
            group: Name of the group.
            index: Index of the last log entry included in the snapshot.
            parts: Serialized state, in parts.
            pause: Called between the steps of a long write, so that other
                calls of the log can run in between.
        """

    def load_snapshot(self, group: str, index: int) -> bytes:
        """Returns the state of a stored snapshot.

        Raises:
            errors.StorageDamaged: The file is missing or corrupt.
        """

    def drop_snapshots(self, group: str, below: int) -> None:
        """Deletes the group's snapshots with an index lower than `below`."""

    def close(self) -> None:
        """Syncs and closes the log's files."""


class DiskWorker(Protocol):
    """Runs blocking disk operations, one at a time."""

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Runs a function; returns its result or raises its exception.

        If the worker has a thread of its own, only the calling green thread
        waits; see `blocks_caller`.
        """

    def run_quietly(self, function: Callable[..., Any], *args: Any) -> Any:
        """Like `run`, but the end of the call wakes up nobody.

        The caller continues after the next `wake_callers` or the end of a call
        of `run`, and at once if the function raises. This is for a result that
        matters only together with an event that has not occurred yet, and
        whose handler calls `wake_callers`.
        """

    def wake_callers(self) -> None:
        """Lets the callers of `run_quietly` continue.

        Those whose calls have ended continue soon; the others as with `run`.
        """

    def pause(self) -> None:
        """Runs other work that is due; to be called within a long operation."""

    def blocks_caller(self) -> bool:
        """Returns whether `run` blocks the caller's whole thread."""

    def close(self) -> None:
        """Releases the worker's resources; closing again has no effect."""


class InlineWorker:
    """Runs operations on the caller's thread, which blocks."""

    def __init__(self, pause: Callable[[], None] = lambda: None) -> None:
        self.pause = pause

    def blocks_caller(self) -> bool:
        """Returns True."""
        return True

    def close(self) -> None:
        """Does nothing; there are no resources to release."""

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Calls the function and returns its result."""
        return function(*args)

    def run_quietly(self, function: Callable[..., Any], *args: Any) -> Any:
        """Calls the function and returns its result."""
        return function(*args)

    def wake_callers(self) -> None:
        """Does nothing; no caller waits."""


class Disk(Protocol):
    """The disk operations that can fail; tests inject failures here."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Writes all bytes.

        Raises:
            OSError: The write failed.
        """

    def sync(self, descriptor: int) -> None:
        """Syncs a file.

        Raises:
            OSError: The sync failed.
        """

    def sync_directory(self, path: pathlib.Path) -> None:
        """Syncs the entries of a directory.

        Raises:
            OSError: The sync failed.
        """
