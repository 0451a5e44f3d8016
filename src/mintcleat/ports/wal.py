"""A durable, shared log of opaque records, and the disk below it."""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib
from typing import Any
from typing import NamedTuple
from typing import Protocol

from mintcleat.domain import identities


class Recovery(NamedTuple):
    """What the disk held when it was opened.

    Attributes:
        identity: The replica identity on the disk. Its epoch is that of the
            start that formatted the disk, so an emptied or copied disk never
            bears the identity that it had before.
        records: Every record in order, read from the disk as they are taken,
            once. Held at the same time, a log of some ten megabytes and what
            is made of it would be more than a small machine has, and the
            process would end at each start. Taking them raises StorageDamaged
            as `open` does.
        formatted: Whether the disk was empty or a copy and was formatted now.
        cut_bytes: Length of the torn tail that was cut off.
        size: Bytes of the log.
    """

    identity: identities.Incarnation
    records: Iterable[bytes]
    formatted: bool = False
    cut_bytes: int = 0
    size: int = 0


class WriteAheadLog(Protocol):
    """One log for all groups of an instance.

    After a failed write or sync every later call raises StorageFailed: the
    kernel may have dropped the dirty pages, so that a second sync would
    report success for bytes that are gone.
    """

    def open(self, node: identities.Incarnation) -> Recovery:
        """Reads the log, or formats an empty disk for `node`.

        Raises:
            errors.StorageDamaged: The log is damaged before its tail.
            errors.StorageFailed: The disk cannot be read or written.
        """

    def append(self, records: Iterable[bytes]) -> None:
        """Adds records; they last only once `sync` has returned."""

    def sync(self) -> None:
        """Makes all appended records durable, with one sync of the disk."""

    def size(self) -> int:
        """Returns the bytes in all segments."""

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replaces the whole log, durably and in one step."""

    def save_snapshot(
        self,
        group: str,
        index: int,
        state: bytes,
        pause: Callable[[], None] | None = None,
    ) -> None:
        """Stores a snapshot file durably.

        `pause`, if given, is called between the steps of the writing; other
        calls may be made meanwhile.
        """

    def load_snapshot(self, group: str, index: int) -> bytes:
        """Returns the state of a stored snapshot.

        Raises:
            errors.StorageDamaged: The file is missing or damaged.
        """

    def drop_snapshots(self, group: str, below: int) -> None:
        """Removes the group's snapshots with a lower index."""

    def close(self) -> None:
        """Syncs and closes the files."""


class DiskWorker(Protocol):
    """Runs calls of the disk one after the other."""

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Returns what the function returns, or raises what it raises.

        Only the calling green thread waits, where the worker has a thread of
        its own.
        """

    def pause(self) -> None:
        """Lets other work go on in the middle of a long call."""

    def blocks_caller(self) -> bool:
        """Tells whether the caller's whole thread waits in `run`."""

    def close(self) -> None:
        """Ends what `run` works with; safe to repeat."""


class InlineWorker:
    """Runs calls on the caller's own thread, which waits for the disk."""

    def __init__(self, pause: Callable[[], None] = lambda: None) -> None:
        self.pause = pause

    def blocks_caller(self) -> bool:
        """Returns True."""
        return True

    def close(self) -> None:
        """Has nothing to end."""

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Calls the function."""
        return function(*args)


class Disk(Protocol):
    """The calls that can fail on a disk; tests inject failures here."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Writes all bytes, or raises OSError."""

    def sync(self, descriptor: int) -> None:
        """Syncs a file, or raises OSError."""

    def sync_directory(self, path: pathlib.Path) -> None:
        """Syncs the entries of a directory, or raises OSError."""
