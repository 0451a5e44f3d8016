"""Disk operations, and atomic replacement of files."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import os
import pathlib

from eventlet import patcher

from mintcleat.ports import wal

# eventlet's `write` makes a further system call, `stat`, each time.
_os = patcher.original("os")

# Syncing this many bytes delays other calls by a few milliseconds only.
STEP_BYTES = 1024 * 1024


class SystemDisk:
    """Implements `ports.wal.Disk` with system calls."""

    def write(self, descriptor: int, data: bytes | memoryview) -> None:
        """Writes all bytes; continues after short writes."""
        view = memoryview(data)
        while view:
            view = view[_os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Syncs the data and the metadata needed to read it."""
        os.fdatasync(descriptor)

    def sync_directory(self, path: pathlib.Path) -> None:
        """Syncs the entries of a directory."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def make_folder(disk: wal.Disk, folder: pathlib.Path) -> None:
    """Creates a folder and its parents durably.

    Syncing a file makes its content durable, but not the directory entries on
    the path to it. If a power loss removed such an entry, the instance would
    restart with an empty disk, in addition to the disks that the failure itself
    destroyed.
    """
    created = []
    ancestor = folder
    while not ancestor.exists():
        created.append(ancestor)
        ancestor = ancestor.parent
    folder.mkdir(parents=True, exist_ok=True)
    for path in reversed(created):
        disk.sync_directory(path.parent)


def replace_file(
    disk: wal.Disk,
    path: pathlib.Path,
    parts: Iterable[bytes],
    pause: Callable[[], None] | None = None,
) -> None:
    """Replaces a file atomically and durably.

    Args:
        disk: The disk to write to.
        path: Path of the file.
        parts: Content, written in steps of at most STEP_BYTES. No more than
            one step is copied, since a snapshot can be large.
        pause: Called after each step, which is synced first. If it is None,
            the file is synced once, at the end.
    """
    draft = path.with_suffix(".draft")
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for step in _steps(parts):
            disk.write(descriptor, step)
            if pause is not None:
                disk.sync(descriptor)
                pause()
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    draft.replace(path)
    disk.sync_directory(path.parent)


def _steps(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the content of parts in steps of at most STEP_BYTES."""
    small: list[bytes] = []
    size = 0
    for part in parts:
        for start in range(0, len(part), STEP_BYTES):
            piece = part[start : start + STEP_BYTES]
            if size + len(piece) > STEP_BYTES:
                yield b"".join(small)
                small.clear()
                size = 0
            small.append(piece)
            size += len(piece)
    if small:
        yield b"".join(small)
