"""The write-ahead log: numbered segments in one data folder."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import errno
import fcntl
import os
import pathlib
import zlib

from mintcleat.adapters import wal_disk
from mintcleat.adapters import wal_identity
from mintcleat.adapters import wal_segment
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import wal

# A disk without room, or a folder over its share of it.
_FULL = (errno.ENOSPC, errno.EDQUOT)
SEGMENT_SIZE = 4 * 1024 * 1024


class FileWal:
    """Segments, identity and snapshots in a folder; see `ports.wal`.

    Attributes:
        folder: The data folder; it is made when it is missing.
        failed: The first failure of the disk; it ends all later calls.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        disk: wal.Disk | None = None,
        segment_size: int = SEGMENT_SIZE,
        detect_copies: bool = True,
    ) -> None:
        self.detect_copies = detect_copies
        self.folder = folder
        self.disk = disk or wal_disk.SystemDisk()
        self.segment_size = segment_size
        self.failed: errors.StorageFailed | None = None
        self.number = 0
        self.descriptor = -1
        self.lock = -1
        self.offset = 0
        self.batch_start = 0
        self.salt = 0
        self.closed_bytes = 0
        self.buffer: list[bytes] = []

    def open(self, node: identities.Incarnation) -> wal.Recovery:
        """Reads the log, or formats an empty disk for `node`."""
        with self._guard():
            wal_disk.make_folder(self.disk, self.folder)
            self._take_lock()
            # A killed process may have left names that it had not synced yet:
            # its folder, or a segment that the next batches go to. Power lost
            # later would take all that is acknowledged from now on with them.
            self.disk.sync_directory(self.folder.parent)
            self.disk.sync_directory(self.folder)
            identity = wal_identity.read(
                self.folder, node.instance, self.detect_copies
            )
            if identity is None:
                return wal.Recovery(self._format(node), [], formatted=True)
            numbers = self._recover()
            last, cut = self._open_last(numbers)
            return wal.Recovery(
                identity,
                self._records(numbers[:-1], last),
                cut_bytes=cut,
                size=self.size(),
            )

    def append(self, records: Iterable[bytes]) -> None:
        """Adds records to the batch that the next sync writes."""
        self._check()
        for record in records:
            if len(record) > wal_segment.MAX_RECORD:
                raise errors.TooLarge(f"A record of {len(record)} bytes.")
            data = wal_segment.frame(self.salt, self.batch_start, record)
            self.buffer.append(data)
            self.offset += len(data)

    def sync(self) -> None:
        """Writes the batch and syncs it once for all that wait.

        Raises:
            errors.StorageFull: The disk took none of it; call again later.
        """
        self._check()
        if not self.buffer:
            return
        with self._guard():
            self._write(b"".join(self.buffer))
            self.disk.sync(self.descriptor)
            self.buffer.clear()
            self.batch_start = self.offset
            if self.offset >= self.segment_size:
                # On a full disk the old segment just goes on growing.
                with contextlib.suppress(errors.StorageFull):
                    self._next_segment()

    def _write(self, data: bytes) -> None:
        """Writes a batch; a full disk is left without any part of it.

        Half a batch would look like a torn tail, and a second try behind it
        like damage. The batch was never synced, so cutting it is safe.
        """
        try:
            self.disk.write(self.descriptor, data)
        except OSError as error:
            if error.errno not in _FULL:
                raise
            os.ftruncate(self.descriptor, self.batch_start)
            raise errors.StorageFull("The disk is full.") from error

    def size(self) -> int:
        """Returns the bytes in all segments."""
        return self.closed_bytes + self.offset

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Starts a base segment, then removes every older one."""
        self.sync()
        with self._guard():
            number = self.number + 1
            start = wal_segment.HEADER_SIZE
            salt = _new_salt()
            frames = [
                wal_segment.frame(salt, start, record) for record in records
            ]
            header = wal_segment.header(wal_segment.BASE, salt)
            data = header + b"".join(frames)
            path = self._path(number)
            self._replace_file(path, data)
            os.close(self.descriptor)
            self.number = number
            self.closed_bytes = 0
            self._continue(path, len(data), salt)
            self._remove_below(self.number)

    def save_snapshot(
        self,
        group: str,
        index: int,
        state: bytes,
        pause: Callable[[], None] | None = None,
    ) -> None:
        """Stores a snapshot file durably, in steps when `pause` is given."""
        self._check()
        with self._guard():
            head = zlib.crc32(state).to_bytes(4, "big")
            path = self._snapshot(group, index)
            self._replace_file(path, state, pause, head)

    def load_snapshot(self, group: str, index: int) -> bytes:
        """Returns the state of a stored snapshot."""
        path = self._snapshot(group, index)
        head = state = b""
        if path.exists():
            # Unbuffered: a buffer that is joined to the rest is a second copy.
            with path.open("rb", buffering=0) as file:
                head = file.read(4)
                state = file.read()
        if head != zlib.crc32(state).to_bytes(4, "big"):
            raise errors.StorageDamaged(
                f"Snapshot {path.name} is missing or damaged."
            )
        return state

    def drop_snapshots(self, group: str, below: int) -> None:
        """Removes the group's snapshots with a lower index."""
        for path in self.folder.glob(f"{_file_name(group)}-*.snapshot"):
            if path.name < self._snapshot(group, below).name:
                path.unlink(missing_ok=True)

    def close(self) -> None:
        """Syncs and closes the files."""
        try:
            if self.failed is None and self.descriptor >= 0:
                with contextlib.suppress(errors.StorageFull):
                    self.sync()
        finally:
            for descriptor in (self.descriptor, self.lock):
                if descriptor >= 0:
                    os.close(descriptor)
            self.descriptor = self.lock = -1
            self.failed = errors.StorageFailed("The log is closed.")

    def _format(self, node: identities.Incarnation) -> identities.Incarnation:
        # The first segment comes before the identity: an identity without a
        # log is then always damage, never a crash while formatting.
        numbers = self._numbers()
        empty = wal_segment.HEADER_SIZE
        if any(self._path(n).stat().st_size > empty for n in numbers):
            raise errors.StorageDamaged("The log is there, its identity not.")
        self._remove_below(1 + max(numbers, default=0))
        self._create(wal_segment.BASE)
        wal_identity.write(self.disk, self.folder, node)
        return node

    def _recover(self) -> list[int]:
        """Returns the numbers of the segments that are the log."""
        numbers = self._numbers()
        headers = {n: self._header(n) for n in numbers}
        bases = [n for n in numbers if headers[n].kind == wal_segment.BASE]
        if not bases:
            raise errors.StorageDamaged("The log has lost its first segment.")
        kept = [n for n in numbers if n >= bases[-1]]
        if kept != list(range(kept[0], kept[0] + len(kept))):
            raise errors.StorageDamaged("The log has lost a segment.")
        return kept

    def _open_last(self, numbers: list[int]) -> tuple[list[bytes], int]:
        """Ends the last segment after its last whole record, to go on there.

        Returns:
            Its records, and the length of what was cut off.
        """
        sizes = [self._path(number).stat().st_size for number in numbers]
        self.closed_bytes = sum(sizes[:-1])
        self.number = numbers[-1]
        path = self._path(self.number)
        records, end = wal_segment.last_records(path.read_bytes(), path.name)
        cut = sizes[-1] - end
        if cut:
            os.truncate(path, end)
        self._continue(path, end, self._header(self.number).salt)
        self.disk.sync(self.descriptor)
        self._remove_below(numbers[0])
        return records, cut

    def _records(self, closed: list[int], last: list[bytes]) -> Iterator[bytes]:
        """Yields every record; one closed segment is in memory at a time."""
        for number in closed:
            path = self._path(number)
            with self._guard():
                data = path.read_bytes()
            yield from wal_segment.records(data, path.name)
        yield from last

    def _next_segment(self) -> None:
        closed, size = self.descriptor, self.offset
        self._create(wal_segment.NEXT)
        os.close(closed)
        self.closed_bytes += size

    def _create(self, kind: int) -> None:
        path = self._path(self.number + 1)
        salt = _new_salt()
        data = wal_segment.header(kind, salt)
        self._replace_file(path, data)
        self.number += 1
        self._continue(path, len(data), salt)

    def _continue(self, path: pathlib.Path, offset: int, salt: int) -> None:
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.offset = self.batch_start = offset
        self.salt = salt

    def _replace_file(
        self,
        path: pathlib.Path,
        data: bytes,
        pause: Callable[[], None] | None = None,
        head: bytes = b"",
    ) -> None:
        """Writes a file; a full disk is left without a draft of it."""
        try:
            wal_disk.replace_file(self.disk, path, data, pause, head)
        except OSError as error:
            if error.errno not in _FULL:
                raise
            path.with_suffix(".draft").unlink(missing_ok=True)
            raise errors.StorageFull("The disk is full.") from error

    def _remove_below(self, number: int) -> None:
        for old in self._numbers():
            if old < number:
                self._path(old).unlink()

    def _numbers(self) -> list[int]:
        return sorted(int(p.stem) for p in self.folder.glob("*.segment"))

    def _path(self, number: int) -> pathlib.Path:
        return self.folder / f"{number:012d}.segment"

    def _header(self, number: int) -> wal_segment.Header:
        # A segment gets its name only after its header was synced, so one
        # without a header is damage, never a crash while it was made.
        path = self._path(number)
        with path.open("rb") as file:
            data = file.read(wal_segment.HEADER_SIZE)
        header = wal_segment.parse_header(data)
        if header is None:
            raise errors.StorageDamaged(f"{path.name} has no header.")
        return header

    def _snapshot(self, group: str, index: int) -> pathlib.Path:
        return self.folder / f"{_file_name(group)}-{index:016d}.snapshot"

    def _take_lock(self) -> None:
        # Two processes on one folder would interleave their records.
        self.lock = os.open(self.folder / "lock", os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise errors.StorageFailed(
                "Another process uses the data folder.",
                remedy="Stop the other process or use another data folder.",
            ) from None

    def _check(self) -> None:
        if self.failed is not None:
            raise self.failed

    @contextlib.contextmanager
    def _guard(self) -> Iterable[None]:
        """Turns an OSError into the failure that ends this log for good."""
        try:
            yield
        except OSError as error:
            reason = errno.errorcode.get(error.errno or 0, str(error))
            self.failed = errors.StorageFailed(f"The disk failed: {reason}.")
            raise self.failed from error


def _new_salt() -> int:
    return int.from_bytes(os.urandom(8), "big")


def _file_name(group: str) -> str:
    return "".join(c if c.isalnum() else f"%{ord(c):x}" for c in group)
