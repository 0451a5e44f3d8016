"""The real disk, and files that are replaced in one step."""

from collections.abc import Callable
import os
import pathlib

from mintcleat.ports import wal

# A sync of this much holds the loop for a few milliseconds.
STEP_BYTES = 1024 * 1024


class SystemDisk:
    """Calls the operating system; see `ports.wal.Disk`."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Writes all bytes; a short write goes on where it stopped."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Syncs data and what is needed to read it again."""
        os.fdatasync(descriptor)

    def sync_directory(self, path: pathlib.Path) -> None:
        """Syncs the entries of a directory."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def make_folder(disk: wal.Disk, folder: pathlib.Path) -> None:
    """Makes a folder and its parents, with names that a power loss keeps.

    A file's own sync keeps its content, not the names on the way to it: with
    a lost name an instance would come back with an empty disk, on top of the
    disks that the fault itself took.
    """
    made = []
    step = folder
    while not step.exists():
        made.append(step)
        step = step.parent
    folder.mkdir(parents=True, exist_ok=True)
    for path in reversed(made):
        disk.sync_directory(path.parent)


def replace_file(
    disk: wal.Disk,
    path: pathlib.Path,
    data: bytes,
    pause: Callable[[], None] | None = None,
    head: bytes = b"",
) -> None:
    """Writes a file so that a crash leaves the old one or the new one.

    Args:
        disk: Where to write.
        path: Its name.
        data: Its content, which is written in steps.
        pause: Called between two steps, each synced by itself then.
        head: Bytes before `data`, which is not copied to put them there.
    """
    draft = path.with_suffix(".draft")
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        if head:
            disk.write(descriptor, head)
        for start in range(0, len(data), STEP_BYTES):
            disk.write(descriptor, data[start : start + STEP_BYTES])
            if pause is not None:
                disk.sync(descriptor)
                pause()
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    draft.replace(path)
    disk.sync_directory(path.parent)
