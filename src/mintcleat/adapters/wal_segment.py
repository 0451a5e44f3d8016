"""One segment file: its header, its records and the scan that reads it.

A segment is a 24-byte header and records. A record is a 20-byte header
`magic, batch start, length, CRC-32` and its payload. The batch start is the
offset at which the unsynced bytes began when the record was written; it is
what tells a torn tail from damage. The CRC starts from the segment's random
salt: a payload that a caller made to look like a record is not one.
"""

from collections.abc import Iterator
import struct
from typing import NamedTuple
import zlib

from mintcleat.domain import errors

SEGMENT_MAGIC = b"mcleatW1"
RECORD_MAGIC = b"\xc9mcr"
# A base segment starts the log: whatever lies in lower numbers is obsolete.
BASE = 1
NEXT = 0
MAX_RECORD = 64 * 1024 * 1024
_SEGMENT = struct.Struct(">8sIQI")
_LEAD = struct.Struct(">QQI")
_RECORD = struct.Struct(">4sQII")
HEADER_SIZE = _SEGMENT.size


class Header(NamedTuple):
    """Header of a segment.

    Attributes:
        kind: BASE or NEXT.
        salt: Random number that its records' CRCs start from.
    """

    kind: int
    salt: int


def header(kind: int, salt: int) -> bytes:
    """Returns the header of a new segment."""
    data = _SEGMENT.pack(SEGMENT_MAGIC, kind, salt, 0)[:-4]
    return data + zlib.crc32(data).to_bytes(4, "big")


def parse_header(data: bytes) -> Header | None:
    """Returns the header, or None when it is not whole."""
    if len(data) < HEADER_SIZE:
        return None
    magic, kind, salt, crc = _SEGMENT.unpack_from(data)
    whole = crc == zlib.crc32(data[: HEADER_SIZE - 4])
    if not whole or magic != SEGMENT_MAGIC or kind not in (BASE, NEXT):
        return None
    return Header(kind, salt)


def frame(salt: int, batch_start: int, payload: bytes) -> bytes:
    """Returns a record as it lies in the file."""
    size = len(payload)
    crc = _crc(salt, batch_start, payload)
    return _RECORD.pack(RECORD_MAGIC, batch_start, size, crc) + payload


def records(data: bytes, name: str) -> Iterator[bytes]:
    """Yields the records of a segment that has no torn tail.

    Raises:
        errors.StorageDamaged: A record is unreadable.
    """
    end = HEADER_SIZE
    for offset, record in _whole(data, _salt(data, name)):
        yield record
        end = offset
    if end < len(data):
        raise _damaged(name, end)


def last_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Returns the whole records of the last segment, and where they end.

    Only the last segment may end in a torn tail, which was never synced and
    so never acknowledged. A batch is written only after the one before it was
    synced. So a whole record whose batch starts after the unreadable one
    proves that the unreadable one had been synced, and perhaps acknowledged:
    cutting there would lose a vote or a committed entry without a word.

    Raises:
        errors.StorageDamaged: A record that had been synced is unreadable.
    """
    found = []
    end = HEADER_SIZE
    salt = _salt(data, name)
    for offset, record in _whole(data, salt):
        found.append(record)
        end = offset
    if end < len(data) and _synced_after(data, salt, end):
        raise _damaged(name, end)
    return found, end


def _whole(data: bytes, salt: int) -> Iterator[tuple[int, bytes]]:
    """Yields where each record ends, and it, up to the first unreadable one."""
    offset = HEADER_SIZE
    while offset < len(data):
        found = _record_at(data, salt, offset)
        if found is None:
            return
        offset += _RECORD.size + len(found[1])
        yield offset, found[1]


def _salt(data: bytes, name: str) -> int:
    found = parse_header(data)
    if found is None:
        raise errors.StorageDamaged(f"Segment {name} has no header.")
    return found.salt


def _damaged(name: str, offset: int) -> errors.StorageDamaged:
    return errors.StorageDamaged(f"Segment {name} is damaged at byte {offset}.")


def _synced_after(data: bytes, salt: int, bad: int) -> bool:
    offset = data.find(RECORD_MAGIC, bad + 1)
    while offset >= 0:
        found = _record_at(data, salt, offset)
        if found is not None and found[0] > bad:
            return True
        offset = data.find(RECORD_MAGIC, offset + 1)
    return False


def _record_at(data: bytes, salt: int, offset: int) -> tuple[int, bytes] | None:
    if offset + _RECORD.size > len(data):
        return None
    magic, start, size, crc = _RECORD.unpack_from(data, offset)
    begin = offset + _RECORD.size
    if magic != RECORD_MAGIC or size > MAX_RECORD or begin + size > len(data):
        return None
    payload = data[begin : begin + size]
    return (start, payload) if crc == _crc(salt, start, payload) else None


def _crc(salt: int, start: int, payload: bytes) -> int:
    lead = _LEAD.pack(salt, start, len(payload))
    return zlib.crc32(payload, zlib.crc32(lead))
