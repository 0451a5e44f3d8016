"""A history store in files, with only the records' locations in memory.

Records are appended to the newest segment file. The kernel's page cache serves
as the cache: recent records are read from memory, old ones from disk. Nothing
is synced: the store is refilled from snapshot and log on a restart, so a lost
end of a file does no harm and a torn record is never read.
"""

import array
import os
import pathlib
import struct

import msgpack
import xxhash

from mintcleat.domain import errors

# Small enough that compacting a segment takes milliseconds, large enough that a
# group of some gigabytes has hundreds of files, not millions.
SEGMENT_BYTES = 8 * 1024 * 1024
# A segment whose share of live bytes falls below this is compacted. Files are
# thus at most four times as large as the live records.
_MIN_LIVE_SHARE = 0.25
_HEADER = struct.Struct(">IQ")
_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


class Segment:
    """One append-only file.

    Attributes:
        size: Size in bytes.
        live_bytes: Bytes of records that have not been deleted.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        self.size = 0
        self.live_bytes = 0

    def append(self, data: bytes) -> int:
        """Appends a record with a header and returns its offset."""
        frame = _HEADER.pack(len(data), xxhash.xxh3_64_intdigest(data)) + data
        offset = self.size
        written = 0
        while written < len(frame):
            written += os.pwrite(self.file, frame[written:], offset + written)
        self.size += len(frame)
        self.live_bytes += len(frame)
        return offset

    def read(self, offset: int) -> bytes:
        """Returns the record at an offset.

        Raises:
            errors.StorageDamaged: Its digest does not match.
        """
        header = os.pread(self.file, _HEADER.size, offset)
        if len(header) == _HEADER.size:
            length, digest = _HEADER.unpack(header)
            data = os.pread(self.file, length, offset + _HEADER.size)
            if xxhash.xxh3_64_intdigest(data) == digest:
                return data
        raise errors.StorageDamaged(f"{self.path} is corrupt at byte {offset}.")

    def remove(self) -> None:
        """Closes and deletes the file."""
        os.close(self.file)
        self.path.unlink(missing_ok=True)


class FileHistoryStore:
    """Implements `ports.histories.HistoryStore` with files in a folder.

    Attributes:
        segments: Files by number; records are appended to the highest.
        locations: Segment number and offset of each record, packed into one
            integer, by sequence name.
    """

    def __init__(
        self, folder: pathlib.Path, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        """Creates an empty store; deletes files of an earlier process."""
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.locations: dict[str, array.array[int]] = {}
        self.newest = 0
        folder.mkdir(parents=True, exist_ok=True)
        for path in folder.glob("*.history"):
            path.unlink()

    def append(self, name: str, record: bytes) -> None:
        """Appends a record to a sequence."""
        location = self._write(name, record)
        self.locations.setdefault(name, array.array("Q")).append(location)

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, numbered from 1."""
        locations = self.locations.get(name)
        if locations is None:
            return []
        return [
            self._load(location)[1] for location in locations[first - 1 : last]
        ]

    def forget(self, name: str) -> None:
        """Deletes a sequence, if it exists."""
        affected = set()
        for location in self.locations.pop(name, ()):
            segment = self.segments[location >> _OFFSET_BITS]
            segment.live_bytes -= self._frame_size(location)
            affected.add(location >> _OFFSET_BITS)
        for number in sorted(affected):
            self._compact(number)

    def clear(self) -> None:
        """Deletes all sequences."""
        for segment in self.segments.values():
            segment.remove()
        self.segments.clear()
        self.locations.clear()

    def file_bytes(self) -> int:
        """Returns the total size of the files in bytes."""
        return sum(segment.size for segment in self.segments.values())

    def _write(self, name: str, record: bytes) -> int:
        segment = self.segments.get(self.newest)
        if segment is None or segment.size >= self.segment_bytes:
            self.newest += 1
            path = self.folder / f"{self.newest:08d}.history"
            segment = self.segments[self.newest] = Segment(path)
        data = msgpack.packb([name, record])
        return self.newest << _OFFSET_BITS | segment.append(data)

    def _load(self, location: int) -> tuple[str, bytes]:
        segment = self.segments[location >> _OFFSET_BITS]
        name, record = msgpack.unpackb(segment.read(location & _OFFSET_MASK))
        return name, record

    def _frame_size(self, location: int) -> int:
        segment = self.segments[location >> _OFFSET_BITS]
        header = os.pread(segment.file, _HEADER.size, location & _OFFSET_MASK)
        return _HEADER.size + _HEADER.unpack(header)[0]

    def _compact(self, number: int) -> None:
        """Moves a segment's live records and deletes it, if few are live."""
        segment = self.segments[number]
        if (
            number == self.newest
            or segment.live_bytes > _MIN_LIVE_SHARE * segment.size
        ):
            return
        if segment.live_bytes:
            self._move_live_records(number)
        del self.segments[number]
        segment.remove()

    def _move_live_records(self, number: int) -> None:
        """Appends a segment's live records to the newest segment."""
        segment = self.segments[number]
        offset = 0
        while offset < segment.size:
            location = number << _OFFSET_BITS | offset
            offset += self._frame_size(location)
            name, record = self._load(location)
            locations = self.locations.get(name)
            if locations is not None and location in locations:
                locations[locations.index(location)] = self._write(name, record)
