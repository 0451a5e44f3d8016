"""Histories in files, so that memory holds only where each record is.

Records go to the end of the newest segment file. The kernel's page cache is
the bounded cache: recent records are read from memory, old ones from disk.
Nothing is synced: a restart fills the store again from snapshot and log, so
a lost tail costs nothing and a torn one is never read.
"""

import array
import os
import pathlib
import struct

import msgpack
import xxhash

from mintcleat.domain import errors

# Small enough that moving the rest of a segment takes milliseconds, large
# enough that a group of some gigabytes has hundreds of files, not millions.
SEGMENT_BYTES = 8 * 1024 * 1024
# A segment with less than this share alive is emptied into the newest one;
# the file space is then at most this share's inverse of what is alive.
_MIN_ALIVE = 0.25
_HEADER = struct.Struct(">IQ")
_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


class Segment:
    """One append-only file.

    Attributes:
        size: Bytes written.
        alive: Bytes of records that are not forgotten.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        self.size = 0
        self.alive = 0

    def append(self, data: bytes) -> int:
        """Writes a framed record and returns its offset."""
        frame = _HEADER.pack(len(data), xxhash.xxh3_64_intdigest(data)) + data
        offset = self.size
        written = 0
        while written < len(frame):
            written += os.pwrite(self.file, frame[written:], offset + written)
        self.size += len(frame)
        self.alive += len(frame)
        return offset

    def read(self, offset: int) -> bytes:
        """Returns the record at an offset, checked against its digest."""
        header = os.pread(self.file, _HEADER.size, offset)
        if len(header) == _HEADER.size:
            length, digest = _HEADER.unpack(header)
            data = os.pread(self.file, length, offset + _HEADER.size)
            if xxhash.xxh3_64_intdigest(data) == digest:
                return data
        raise errors.StorageDamaged(
            f"{self.path} is damaged at offset {offset}."
        )

    def remove(self) -> None:
        """Closes and deletes the file."""
        os.close(self.file)
        self.path.unlink(missing_ok=True)


class FileHistoryStore:
    """Records of one group in a folder; see `ports.histories.HistoryStore`.

    Attributes:
        segments: Files by number; the largest number is written to.
        places: Segment number and offset of each record, by name.
    """

    def __init__(
        self, folder: pathlib.Path, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        """Starts empty; files of an earlier life are deleted."""
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.segments: dict[int, Segment] = {}
        self.places: dict[str, array.array[int]] = {}
        self.newest = 0
        folder.mkdir(parents=True, exist_ok=True)
        for path in folder.glob("*.history"):
            path.unlink()

    def append(self, name: str, record: bytes) -> None:
        """Adds the next record of a sequence."""
        place = self._write(name, record)
        self.places.setdefault(name, array.array("Q")).append(place)

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, counted from 1."""
        places = self.places.get(name)
        if places is None:
            return []
        return [self._load(place)[1] for place in places[first - 1 : last]]

    def forget(self, name: str) -> None:
        """Drops a sequence; safe to repeat."""
        touched = set()
        for place in self.places.pop(name, ()):
            segment = self.segments[place >> _OFFSET_BITS]
            segment.alive -= self._frame_size(place)
            touched.add(place >> _OFFSET_BITS)
        for number in sorted(touched):
            self._reclaim(number)

    def clear(self) -> None:
        """Drops every sequence."""
        for segment in self.segments.values():
            segment.remove()
        self.segments.clear()
        self.places.clear()

    def file_bytes(self) -> int:
        """Returns the space that the files take."""
        return sum(segment.size for segment in self.segments.values())

    def _write(self, name: str, record: bytes) -> int:
        segment = self.segments.get(self.newest)
        if segment is None or segment.size >= self.segment_bytes:
            self.newest += 1
            path = self.folder / f"{self.newest:08d}.history"
            segment = self.segments[self.newest] = Segment(path)
        data = msgpack.packb([name, record])
        return self.newest << _OFFSET_BITS | segment.append(data)

    def _load(self, place: int) -> tuple[str, bytes]:
        segment = self.segments[place >> _OFFSET_BITS]
        name, record = msgpack.unpackb(segment.read(place & _OFFSET_MASK))
        return name, record

    def _frame_size(self, place: int) -> int:
        segment = self.segments[place >> _OFFSET_BITS]
        header = os.pread(segment.file, _HEADER.size, place & _OFFSET_MASK)
        return _HEADER.size + _HEADER.unpack(header)[0]

    def _reclaim(self, number: int) -> None:
        """Deletes a segment, once its few live records have moved."""
        segment = self.segments[number]
        if number == self.newest or segment.alive > _MIN_ALIVE * segment.size:
            return
        if segment.alive:
            self._move_out(number)
        del self.segments[number]
        segment.remove()

    def _move_out(self, number: int) -> None:
        """Writes a segment's live records anew and updates their places."""
        segment = self.segments[number]
        offset = 0
        while offset < segment.size:
            place = number << _OFFSET_BITS | offset
            offset += self._frame_size(place)
            name, record = self._load(place)
            places = self.places.get(name)
            if places is not None and place in places:
                places[places.index(place)] = self._write(name, record)
