"""The write-ahead log: numbered segment files in one data folder."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
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

# No space left on the device, or the disk quota is exceeded.
_DISK_FULL = (errno.ENOSPC, errno.EDQUOT)
SEGMENT_BYTES = 4 * 1024 * 1024


class FileWal:
    """Implements `ports.wal.WriteAheadLog` with files in a data folder.

    Attributes:
        folder: The data folder, which is created if it does not exist.
        failure: The first disk failure; all later calls raise it.
        batch: Encoded records that are not written yet.
        batch_start: Offset at which the batch will be written.
        offset: Size of the current segment, including the batch.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        disk: wal.Disk | None = None,
        segment_size: int = SEGMENT_BYTES,
        detect_copies: bool = True,
    ) -> None:
        self.detect_copies = detect_copies
        self.folder = folder
        self.disk = disk or wal_disk.SystemDisk()
        self.segment_size = segment_size
        self.failure: errors.StorageFailed | None = None
        self.segment_number = 0
        self.descriptor = -1
        self.lock = -1
        self.offset = 0
        self.batch_start = 0
        self.salt = 0
        self.closed_segment_bytes = 0
        self.batch: list[bytes] = []

    def open(self, node: identities.Incarnation) -> wal.Recovery:
        """Opens the log, or formats an empty disk for `node`."""
        with self._fail_on_os_error():
            wal_disk.make_folder(self.disk, self.folder)
            self._acquire_lock()
            # A killed process may have created the folder or a segment without
            # syncing its directory entry. A later power loss would remove the
            # entry, and with it everything acknowledged from now on.
            self.disk.sync_directory(self.folder.parent)
            self.disk.sync_directory(self.folder)
            identity = wal_identity.read(
                self.folder, node.instance, self.detect_copies
            )
            if identity is None:
                return wal.Recovery(self._format_disk(node), [], formatted=True)
            numbers = self._find_log_segments()
            last, cut = self._open_last_segment(numbers)
            return wal.Recovery(
                identity,
                self._read_records(numbers[:-1], last),
                cut_bytes=cut,
                size=self.size(),
            )

    def renew(self, identity: identities.Incarnation) -> None:
        """Durably replaces the identity of a disk without any records."""
        self._raise_if_failed()
        if self.size() > wal_segment.HEADER_SIZE:
            raise ValueError("The log has records of its identity.")
        with self._fail_on_os_error():
            wal_identity.write(self.disk, self.folder, identity)

    def append(self, records: Iterable[bytes]) -> None:
        """Adds records to the batch that the next `sync` writes."""
        self._raise_if_failed()
        for record in records:
            if len(record) > wal_segment.MAX_RECORD_BYTES:
                raise errors.TooLarge(
                    f"A record has {len(record)} bytes; the limit is "
                    f"{wal_segment.MAX_RECORD_BYTES}."
                )
            data = wal_segment.frame(self.salt, self.batch_start, record)
            self.batch.append(data)
            self.offset += len(data)

    def sync(self) -> None:
        """Writes the batch and syncs it once for all of its records.

        Raises:
            errors.StorageFull: The disk is full. The batch is kept in memory
                and written by a later call.
        """
        self._raise_if_failed()
        if not self.batch:
            return
        with self._fail_on_os_error():
            self._write_batch(b"".join(self.batch))
            self.disk.sync(self.descriptor)
            self.batch.clear()
            self.batch_start = self.offset
            if self.offset >= self.segment_size:
                # On a full disk the current segment grows beyond its size.
                with contextlib.suppress(errors.StorageFull):
                    self._rotate_segment()

    def _write_batch(self, data: bytes) -> None:
        """Writes a batch; truncates a partial write on a full disk.

        Part of a batch would look like a torn write, and with the repeated
        batch after it like corruption. Truncating is safe because the batch
        has never been synced.
        """
        try:
            self.disk.write(self.descriptor, data)
        except OSError as error:
            if error.errno not in _DISK_FULL:
                raise
            os.ftruncate(self.descriptor, self.batch_start)
            raise errors.StorageFull("The disk is full.") from error

    def size(self) -> int:
        """Returns the size of all segments in bytes."""
        return self.closed_segment_bytes + self.offset

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Writes a new base segment, then deletes all older segments."""
        self.sync()
        with self._fail_on_os_error():
            number = self.segment_number + 1
            start = wal_segment.HEADER_SIZE
            salt = _new_salt()
            size = 0

            def parts() -> Iterator[bytes]:
                nonlocal size
                yield wal_segment.header(wal_segment.BASE, salt)
                size = start
                for record in records:
                    framed = wal_segment.frame(salt, start, record)
                    size += len(framed)
                    yield framed

            path = self._segment_path(number)
            self._replace_file(path, parts())
            os.close(self.descriptor)
            self.segment_number = number
            self.closed_segment_bytes = 0
            self._open_for_append(path, size, salt)
            self._delete_segments_below(self.segment_number)

    def save_snapshot(
        self,
        group: str,
        index: int,
        parts: Sequence[bytes],
        pause: Callable[[], None] | None = None,
    ) -> None:
        """Stores a snapshot durably; writes it in steps if `pause` is given."""
        self._raise_if_failed()
        with self._fail_on_os_error():
            checksum = 0
            for part in parts:
                checksum = zlib.crc32(part, checksum)
            head = checksum.to_bytes(4, "big")
            path = self._snapshot_path(group, index)
            self._replace_file(path, [head, *parts], pause)

    def load_snapshot(self, group: str, index: int) -> bytes:
        """Returns the state of a stored snapshot."""
        path = self._snapshot_path(group, index)
        head = state = b""
        if path.exists():
            # Unbuffered, because joining a buffer to the rest copies the state.
            with path.open("rb", buffering=0) as file:
                head = file.read(4)
                state = file.read()
        if head != zlib.crc32(state).to_bytes(4, "big"):
            raise errors.StorageDamaged(
                f"Snapshot {path.name} is missing or corrupt."
            )
        return state

    def drop_snapshots(self, group: str, below: int) -> None:
        """Deletes the group's snapshots with an index lower than `below`."""
        for path in self.folder.glob(f"{_escape_group(group)}-*.snapshot"):
            if path.name < self._snapshot_path(group, below).name:
                path.unlink(missing_ok=True)

    def close(self) -> None:
        """Syncs the log and closes its files; later calls fail."""
        try:
            if self.failure is None and self.descriptor >= 0:
                with contextlib.suppress(errors.StorageFull):
                    self.sync()
        finally:
            for descriptor in (self.descriptor, self.lock):
                if descriptor >= 0:
                    os.close(descriptor)
            self.descriptor = self.lock = -1
            self.failure = errors.StorageFailed("The log is closed.")

    def _format_disk(
        self, node: identities.Incarnation
    ) -> identities.Incarnation:
        # The first segment is written before the identity. An identity without
        # a log is therefore always corruption, never a crash while formatting.
        numbers = self._segment_numbers()
        empty = wal_segment.HEADER_SIZE
        if any(self._segment_path(n).stat().st_size > empty for n in numbers):
            raise errors.StorageDamaged(
                "The data folder has a log but no identity file."
            )
        self._delete_segments_below(1 + max(numbers, default=0))
        self._create_segment(wal_segment.BASE)
        wal_identity.write(self.disk, self.folder, node)
        return node

    def _find_log_segments(self) -> list[int]:
        """Returns the numbers of the segments from the last base on."""
        numbers = self._segment_numbers()
        headers = {n: self._read_header(n) for n in numbers}
        bases = [n for n in numbers if headers[n].kind == wal_segment.BASE]
        if not bases:
            raise errors.StorageDamaged("The log has no base segment.")
        kept = [n for n in numbers if n >= bases[-1]]
        if kept != list(range(kept[0], kept[0] + len(kept))):
            raise errors.StorageDamaged(
                "The log lacks a segment between others."
            )
        return kept

    def _open_last_segment(self, numbers: list[int]) -> tuple[list[bytes], int]:
        """Opens the last segment for writing; truncates a torn write.

        Returns:
            The segment's records, and the number of bytes cut off.
        """
        sizes = [
            self._segment_path(number).stat().st_size for number in numbers
        ]
        self.closed_segment_bytes = sum(sizes[:-1])
        self.segment_number = numbers[-1]
        path = self._segment_path(self.segment_number)
        records, end = wal_segment.last_records(path.read_bytes(), path.name)
        cut = sizes[-1] - end
        if cut:
            os.truncate(path, end)
        self._open_for_append(
            path, end, self._read_header(self.segment_number).salt
        )
        self.disk.sync(self.descriptor)
        self._delete_segments_below(numbers[0])
        return records, cut

    def _read_records(
        self, closed: list[int], last: list[bytes]
    ) -> Iterator[bytes]:
        """Yields all records; holds one closed segment in memory at a time."""
        for number in closed:
            path = self._segment_path(number)
            with self._fail_on_os_error():
                data = path.read_bytes()
            yield from wal_segment.records(data, path.name)
        yield from last

    def _rotate_segment(self) -> None:
        closed, size = self.descriptor, self.offset
        self._create_segment(wal_segment.NEXT)
        os.close(closed)
        self.closed_segment_bytes += size

    def _create_segment(self, kind: int) -> None:
        path = self._segment_path(self.segment_number + 1)
        salt = _new_salt()
        data = wal_segment.header(kind, salt)
        self._replace_file(path, [data])
        self.segment_number += 1
        self._open_for_append(path, len(data), salt)

    def _open_for_append(
        self, path: pathlib.Path, offset: int, salt: int
    ) -> None:
        self.descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.offset = self.batch_start = offset
        self.salt = salt

    def _replace_file(
        self,
        path: pathlib.Path,
        parts: Iterable[bytes],
        pause: Callable[[], None] | None = None,
    ) -> None:
        """Replaces a file atomically; deletes the draft on a full disk."""
        try:
            wal_disk.replace_file(self.disk, path, parts, pause)
        except OSError as error:
            if error.errno not in _DISK_FULL:
                raise
            path.with_suffix(".draft").unlink(missing_ok=True)
            raise errors.StorageFull("The disk is full.") from error

    def _delete_segments_below(self, number: int) -> None:
        for old in self._segment_numbers():
            if old < number:
                self._segment_path(old).unlink()

    def _segment_numbers(self) -> list[int]:
        return sorted(int(p.stem) for p in self.folder.glob("*.segment"))

    def _segment_path(self, number: int) -> pathlib.Path:
        return self.folder / f"{number:012d}.segment"

    def _read_header(self, number: int) -> wal_segment.Header:
        # A segment gets its name only after its header has been synced, so a
        # segment without a header is corrupt, not the result of a crash.
        path = self._segment_path(number)
        with path.open("rb") as file:
            data = file.read(wal_segment.HEADER_SIZE)
        header = wal_segment.parse_header(data)
        if header is None:
            raise errors.StorageDamaged(
                f"Segment {path.name} has no valid header."
            )
        return header

    def _snapshot_path(self, group: str, index: int) -> pathlib.Path:
        return self.folder / f"{_escape_group(group)}-{index:016d}.snapshot"

    def _acquire_lock(self) -> None:
        # Two processes writing to one folder would interleave their records.
        self.lock = os.open(self.folder / "lock", os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise errors.StorageFailed(
                "Another process uses the data folder.",
                remedy="Stop the other process or use another data folder.",
            ) from None

    def _raise_if_failed(self) -> None:
        if self.failure is not None:
            raise self.failure

    @contextlib.contextmanager
    def _fail_on_os_error(self) -> Iterator[None]:
        """Raises an OSError as StorageFailed, as do all later calls."""
        try:
            yield
        except OSError as error:
            reason = errno.errorcode.get(error.errno or 0, str(error))
            self.failure = errors.StorageFailed(
                f"A disk operation failed: {reason}."
            )
            raise self.failure from error


def _new_salt() -> int:
    return int.from_bytes(os.urandom(8), "big")


def _escape_group(group: str) -> str:
    return "".join(c if c.isalnum() else f"%{ord(c):x}" for c in group)
