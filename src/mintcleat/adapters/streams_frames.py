"""Frames on the wire of a stream.

A frame is a header of 9 bytes (body length, exchange number, kind; all
big-endian) and a body: a msgpack message, a credit of 4 bytes, or nothing.
"""

from collections.abc import Iterator
import struct
from typing import NamedTuple

from mintcleat.domain import errors

OPEN = 1
DATA = 2
CLOSE = 3
CREDIT = 4
PING = 5

_HEADER = struct.Struct(">IIB")
_CREDIT = struct.Struct(">I")


class Frame(NamedTuple):
    """One frame as it was read."""

    exchange: int
    kind: int
    body: bytes


def pack(exchange: int, kind: int, body: bytes = b"") -> bytes:
    """Returns the bytes of one frame."""
    return _HEADER.pack(len(body), exchange, kind) + body


def pack_credit(exchange: int, size: int) -> bytes:
    """Returns a frame that lets the peer send `size` more bytes."""
    return pack(exchange, CREDIT, _CREDIT.pack(size))


def read_credit(frame: Frame) -> int:
    """Returns the size of a credit.

    Raises:
        errors.BadRequest: The frame is malformed.
    """
    if len(frame.body) != _CREDIT.size:
        raise errors.BadRequest("A credit has the wrong length.")
    return _CREDIT.unpack(frame.body)[0]


class FrameBuffer:
    """Cuts a byte stream into frames."""

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.data = bytearray()

    def feed(self, block: bytes) -> Iterator[Frame]:
        """Takes in bytes and yields every frame that is whole now.

        Raises:
            errors.TooLarge: A header announces a body over the limit.
        """
        self.data += block
        start = 0
        while len(self.data) - start >= _HEADER.size:
            length, exchange, kind = _HEADER.unpack_from(self.data, start)
            if length > self.max_body:
                raise errors.TooLarge(f"A frame announces {length} bytes.")
            end = start + _HEADER.size + length
            if len(self.data) < end:
                break
            body = bytes(self.data[start + _HEADER.size : end])
            start = end
            yield Frame(exchange, kind, body)
        del self.data[:start]
