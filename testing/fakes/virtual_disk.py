"""A simulated disk in virtual time that loses unsynced data.

Files are real, in a folder of the test. A simulated power loss does what a
kernel may do: of the writes since a file's last sync, each is kept, lost or
torn, or all are lost; a directory entry that was created, replaced or removed
since its directory's last sync is in its old or its new state.
"""

import collections
import os
import pathlib
import random
import shutil
from typing import Any
from typing import NamedTuple

import eventlet
import greenlet
from testing.fakes import virtual_time

from mintcleat.adapters import wal_disk


class Write(NamedTuple):
    """An unsynced write."""

    offset: int
    data: bytes


class VirtualDisk(wal_disk.SystemDisk):
    """The disk of one machine, which outlives its processes.

    Attributes:
        sync_seconds: Mean duration of a sync.
        stalled: Whether syncs block.
        full: Whether writes fail with ENOSPC.
        process: The process that uses the disk.
        writes: Unsynced writes by inode.
        names: Entries of each directory at its last sync: inodes by name.
        shadow: Folder with a hard link to each file that had a durable name.
    """

    def __init__(self, folder: pathlib.Path, rng: random.Random) -> None:
        self.folder = folder
        self.rng = rng
        self.sync_seconds = 0.005
        self.stalled = False
        self.full = False
        self.process = virtual_time.VirtualProcess()
        self.writes: dict[int, list[Write]] = collections.defaultdict(list)
        self.names: dict[pathlib.Path, dict[str, int]] = {}
        self.shadow = folder.with_name(f"{folder.name}.shadow")

    def write(self, descriptor: int, data: bytes) -> None:
        self.process.check()
        if self.full:
            raise OSError(28, "injected")
        found = os.fstat(descriptor)
        super().write(descriptor, data)
        self.writes[found.st_ino].append(Write(found.st_size, bytes(data)))

    def sync(self, descriptor: int) -> None:
        self._wait()
        self.writes.pop(os.fstat(descriptor).st_ino, None)

    def sync_directory(self, path: pathlib.Path) -> None:
        self._wait()
        self.sync_names(path)

    def sync_names(self, path: pathlib.Path) -> None:
        """Makes the current entries of a directory durable."""
        self.shadow.mkdir(exist_ok=True)
        found = {}
        for item in path.iterdir():
            inode = item.stat().st_ino
            found[item.name] = inode
            link = self.shadow / str(inode)
            if item.is_file() and not link.exists():
                os.link(item, link)
        self.names[path] = found

    def lose_power(self, content_only: bool = False) -> None:
        """Reverts a random part of what was not synced.

        Args:
            content_only: Whether all unsynced writes are lost, but no
                directory entries.
        """
        lose_all = content_only or self.rng.random() < 0.3
        inodes = {p.stat().st_ino: p for p in self.folder.rglob("*")}
        for inode, writes in self.writes.items():
            path = inodes.get(inode)
            if path is None or not path.is_file():
                continue
            data = bytearray(path.read_bytes())
            end = min(w.offset for w in writes)
            del data[end:]
            for write in writes:
                kept = b"" if lose_all else self._surviving_part(write.data)
                if kept:
                    missing = write.offset - len(data)
                    data.extend(bytes(max(0, missing)))
                    data[write.offset : write.offset + len(kept)] = kept
            # Written in place, because a replaced file has another inode.
            with path.open("r+b") as file:
                file.truncate(0)
                file.write(data)
        self.writes.clear()
        if not content_only:
            self._lose_names(self.folder)
        for path in list(self.names):
            if path.exists():
                self.sync_names(path)
            else:
                del self.names[path]

    def _lose_names(self, directory: pathlib.Path) -> None:
        """Reverts a random part of a directory's unsynced entries."""
        durable = self.names.get(directory, {})
        now = {item.name: item.stat().st_ino for item in directory.iterdir()}
        for name in sorted({*durable, *now}):
            path = directory / name
            before, after = durable.get(name), now.get(name)
            if before == after or self.rng.random() < 0.5:
                if path.is_dir():
                    self._lose_names(path)
                continue
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink(missing_ok=True)
            if before is not None and (self.shadow / str(before)).exists():
                os.link(self.shadow / str(before), path)

    def wipe(self) -> None:
        self.writes.clear()
        self.names.clear()
        shutil.rmtree(self.shadow, ignore_errors=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)

    def _surviving_part(self, data: bytes) -> bytes:
        match self.rng.randrange(3):
            case 0:
                return b""
            case 1:
                return data[: self.rng.randrange(len(data) + 1)]
            case _:
                return data

    def _wait(self) -> None:
        self.process.check()
        eventlet.sleep(self.rng.uniform(0.5, 1.5) * self.sync_seconds)
        while self.stalled and not self.process.dead:
            eventlet.sleep(0.02)
        self.process.check()


class VirtualDiskWorker:
    """A `ports.wal.DiskWorker` on a green thread, in virtual time.

    Attributes:
        quiet: Events of quiet calls that nobody has asked for.
        finished: Those of them that have ended, and their outcomes.
    """

    def __init__(self, process: virtual_time.VirtualProcess) -> None:
        self.process = process
        self.jobs: collections.deque[Any] = collections.deque()
        self.work_available = eventlet.Event()
        self.closed = False
        self.quiet: set[Any] = set()
        self.finished: list[Any] = []
        eventlet.spawn(self._run_forever)

    def run(self, function: Any, *args: Any) -> Any:
        return self._run(function, args, quiet=False)

    def run_quietly(self, function: Any, *args: Any) -> Any:
        return self._run(function, args, quiet=True)

    def wake_callers(self) -> None:
        self.quiet.clear()
        finished, self.finished = self.finished, []
        for waiting, outcome in finished:
            waiting.send(outcome)

    def _run(self, function: Any, args: Any, quiet: bool) -> Any:
        self.process.check()
        if self.closed:
            return function(*args)
        finished = eventlet.Event()
        if quiet:
            self.quiet.add(finished)
        self.jobs.append((function, args, finished))
        if not self.work_available.ready():
            self.work_available.send()
        value, failed = finished.wait()
        self.process.check()
        if failed:
            raise value
        return value

    def pause(self) -> None:
        while self.jobs:
            self._run_job(self.jobs.popleft())

    def blocks_caller(self) -> bool:
        return False

    def close(self) -> None:
        self.closed = True

    def _run_forever(self) -> None:
        while True:
            while self.jobs:
                self._run_job(self.jobs.popleft())
            if self.closed or self.process.dead:
                return
            self.work_available = eventlet.Event()
            self.work_available.wait()

    def _run_job(self, job: Any) -> None:
        function, args, finished = job
        try:
            outcome = (function(*args), False)
        except greenlet.GreenletExit:
            raise
        except Exception as error:
            outcome = (error, True)
        if finished in self.quiet and not outcome[1]:
            self.finished.append((finished, outcome))
        else:
            finished.send(outcome)
            self.wake_callers()
