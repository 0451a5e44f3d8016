"""The frame format of streams.

A frame is a header of 9 bytes (body length, exchange number, kind; all
big-endian) and a body: a msgpack message, a 4-byte credit, or nothing.
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
    """One decoded frame."""

    exchange: int
    kind: int
    body: bytes


def pack(exchange: int, kind: int, body: bytes = b"") -> bytes:
    """Returns an encoded frame."""
    return _HEADER.pack(len(body), exchange, kind) + body


def pack_credit(exchange: int, size: int) -> bytes:
    """Returns a frame that grants the peer credit for `size` bytes."""
    return pack(exchange, CREDIT, _CREDIT.pack(size))


def read_credit(frame: Frame) -> int:
    """Returns the bytes that a CREDIT frame grants.

    Raises:
        errors.BadRequest: The frame is malformed.
    """
    if len(frame.body) != _CREDIT.size:
        raise errors.BadRequest(
            f"A credit has {len(frame.body)} bytes instead of {_CREDIT.size}."
        )
    return _CREDIT.unpack(frame.body)[0]


class FrameBuffer:
    """Splits a byte stream into frames."""

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.data = bytearray()

    def feed(self, block: bytes | memoryview) -> Iterator[Frame]:
        """Adds received bytes and yields all complete frames.

        Raises:
            errors.TooLarge: A frame's body exceeds the limit.
        """
        self.data += block
        start = 0
        while len(self.data) - start >= _HEADER.size:
            length, exchange, kind = _HEADER.unpack_from(self.data, start)
            if length > self.max_body:
                raise errors.TooLarge(
                    f"A frame has a body of {length} bytes; the limit is "
                    f"{self.max_body}."
                )
            end = start + _HEADER.size + length
            if len(self.data) < end:
                break
            body = bytes(self.data[start + _HEADER.size : end])
            start = end
            yield Frame(exchange, kind, body)
        del self.data[:start]
