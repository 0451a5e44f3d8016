"""The format of a segment file of the write-ahead log.

A segment consists of a 24-byte header and records. A record consists of a
20-byte header (magic, batch start, length, CRC-32) and its payload. The batch
start is the offset of the first byte that was not synced when the record was
written; it distinguishes a torn write from corruption. The CRC includes the
segment's random salt, so that a payload cannot pass for a record.
"""

from collections.abc import Iterator
import struct
from typing import NamedTuple
import zlib

from mintcleat.domain import errors

SEGMENT_MAGIC = b"mcleatW1"
RECORD_MAGIC = b"\xc9mcr"
# A base segment starts the log; segments with lower numbers are obsolete.
BASE = 1
NEXT = 0
MAX_RECORD_BYTES = 64 * 1024 * 1024
_SEGMENT_HEADER = struct.Struct(">8sIQI")
_CRC_PREFIX = struct.Struct(">QQI")
_RECORD_HEADER = struct.Struct(">4sQII")
HEADER_SIZE = _SEGMENT_HEADER.size


class Header(NamedTuple):
    """Header of a segment.

    Attributes:
        kind: BASE or NEXT.
        salt: Random number that the CRCs of its records include.
    """

    kind: int
    salt: int


def header(kind: int, salt: int) -> bytes:
    """Returns the header of a new segment."""
    data = _SEGMENT_HEADER.pack(SEGMENT_MAGIC, kind, salt, 0)[:-4]
    return data + zlib.crc32(data).to_bytes(4, "big")


def parse_header(data: bytes) -> Header | None:
    """Returns the header, or None if it is incomplete or corrupt."""
    if len(data) < HEADER_SIZE:
        return None
    magic, kind, salt, crc = _SEGMENT_HEADER.unpack_from(data)
    intact = crc == zlib.crc32(data[: HEADER_SIZE - 4])
    if not intact or magic != SEGMENT_MAGIC or kind not in (BASE, NEXT):
        return None
    return Header(kind, salt)


def frame(salt: int, batch_start: int, payload: bytes) -> bytes:
    """Returns an encoded record."""
    size = len(payload)
    crc = _crc(salt, batch_start, payload)
    return _RECORD_HEADER.pack(RECORD_MAGIC, batch_start, size, crc) + payload


def records(data: bytes, name: str) -> Iterator[bytes]:
    """Yields the records of a segment other than the last.

    Raises:
        errors.StorageDamaged: A record is corrupt.
    """
    end = HEADER_SIZE
    for offset, record in _scan(data, _salt(data, name)):
        yield record
        end = offset
    if end < len(data):
        raise _corrupt(name, end)


def last_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Returns the records of the last segment and the offset of their end.

    The last segment may end in a torn write, which was never synced and thus
    never acknowledged. A batch is written only after the previous one has been
    synced. An intact record of a batch that starts after an invalid record
    therefore proves that the invalid one had been synced, and perhaps
    acknowledged: truncating there would silently lose a vote or a committed
    entry.

    Raises:
        errors.StorageDamaged: A record that had been synced is corrupt.
    """
    found = []
    end = HEADER_SIZE
    salt = _salt(data, name)
    for offset, record in _scan(data, salt):
        found.append(record)
        end = offset
    if end < len(data) and _has_later_batch(data, salt, end):
        raise _corrupt(name, end)
    return found, end


def _scan(data: bytes, salt: int) -> Iterator[tuple[int, bytes]]:
    """Yields end offset and payload of each record before an invalid one."""
    offset = HEADER_SIZE
    while offset < len(data):
        found = _record_at(data, salt, offset)
        if found is None:
            return
        offset += _RECORD_HEADER.size + len(found[1])
        yield offset, found[1]


def _salt(data: bytes, name: str) -> int:
    found = parse_header(data)
    if found is None:
        raise errors.StorageDamaged(f"Segment {name} has no valid header.")
    return found.salt


def _corrupt(name: str, offset: int) -> errors.StorageDamaged:
    return errors.StorageDamaged(f"Segment {name} is corrupt at byte {offset}.")


def _has_later_batch(data: bytes, salt: int, bad: int) -> bool:
    """Returns whether an intact record's batch starts after offset `bad`."""
    offset = data.find(RECORD_MAGIC, bad + 1)
    while offset >= 0:
        found = _record_at(data, salt, offset)
        if found is not None and found[0] > bad:
            return True
        offset = data.find(RECORD_MAGIC, offset + 1)
    return False


def _record_at(data: bytes, salt: int, offset: int) -> tuple[int, bytes] | None:
    """Returns batch start and payload of the record, or None if invalid."""
    if offset + _RECORD_HEADER.size > len(data):
        return None
    magic, start, size, crc = _RECORD_HEADER.unpack_from(data, offset)
    begin = offset + _RECORD_HEADER.size
    if (
        magic != RECORD_MAGIC
        or size > MAX_RECORD_BYTES
        or begin + size > len(data)
    ):
        return None
    payload = data[begin : begin + size]
    return (start, payload) if crc == _crc(salt, start, payload) else None


def _crc(salt: int, start: int, payload: bytes) -> int:
    prefix = _CRC_PREFIX.pack(salt, start, len(payload))
    return zlib.crc32(payload, zlib.crc32(prefix))
