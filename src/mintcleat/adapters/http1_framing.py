"""Reads and writes the bodies of HTTP/1.1 messages.

A body ends after a length, after a chunk of length 0, or when the connection
is closed. The readers do no I/O: they take bytes from the start of what was
received and return the rest.
"""

import re
from typing import Protocol

from mintcleat.domain import answer_ends

LAST_CHUNK = b"0\r\n\r\n"
# Bounds on the bytes that are buffered of an incomplete line before a chunk,
# and of incomplete trailers.
_MAX_CHUNK_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 16 * 1024
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\x00\r\n]*|[ \t]*)\Z")
# Chunks that are taken at a time from a caller. One that sends bodies in chunks
# of some bytes would otherwise hold up all other work for tens of milliseconds.
CHUNKS_AT_A_TIME = 256
_TRAILER = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)+\r\n"
)


class InvalidBody(Exception):
    """A body whose framing is invalid or incomplete."""


class IncompleteBody(InvalidBody):
    """A body whose connection was closed before its announced end."""


class BodyReader(Protocol):
    """Finds the end of a body.

    Attributes:
        framing: What ends the body.
        announced: Bytes that are known to follow.
        complete: Whether the whole body has been taken.
        has_more: Whether the rest of the last call of `take` may have further
            parts, although nothing else has arrived.
    """

    framing: answer_ends.Framing
    complete: bool
    has_more: bool

    @property
    def announced(self) -> int:
        """See above."""

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the part of the body in received bytes, and the rest.

        The rest is passed again, followed by further bytes. Once the body is
        complete, it belongs to the next message.

        Raises:
            InvalidBody: The framing is invalid.
        """

    def close(self) -> None:
        """Handles the end of the connection.

        Raises:
            IncompleteBody: The announced end is missing.
        """


class NoBody:
    """The body of a message that has none."""

    framing = answer_ends.Framing.NONE
    announced = 0
    complete = True
    has_more = False

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """See `BodyReader`."""
        return b"", data

    def close(self) -> None:
        """See `BodyReader`."""


class FixedBody:
    """A body of known length.

    Attributes:
        left: Bytes that are missing.
    """

    framing = answer_ends.Framing.LENGTH
    has_more = False

    def __init__(self, length: int) -> None:
        self.left = length
        self.complete = length == 0

    @property
    def announced(self) -> int:
        """See `BodyReader`."""
        return self.left

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """See `BodyReader`."""
        if len(data) <= self.left:
            self.left -= len(data)
            self.complete = self.left == 0
            return data, b""
        part, rest = data[: self.left], data[self.left :]
        self.left = 0
        self.complete = True
        return part, rest

    def close(self) -> None:
        """See `BodyReader`."""
        if not self.complete:
            raise IncompleteBody(f"{self.left} bytes of the body are missing")


class UntilCloseBody:
    """A body that ends when the connection is closed."""

    framing = answer_ends.Framing.CLOSE
    announced = 0
    has_more = False

    def __init__(self) -> None:
        self.complete = False

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """See `BodyReader`."""
        return data, b""

    def close(self) -> None:
        """See `BodyReader`."""
        self.complete = True


class ChunkedBody:
    """A body in chunks.

    Attributes:
        left: Bytes of the current chunk that are missing, including the CR
            and LF at its end; 0 between chunks.
        in_trailers: Whether the chunk of length 0 has been read.
        at_a_time: Chunks that one call of `take` takes at most; 0 for all.
        has_more: Whether the last call of `take` has stopped at that number, so
            that the rest may have further chunks.
    """

    framing = answer_ends.Framing.CHUNKS

    def __init__(self, at_a_time: int = 0) -> None:
        self.left = 0
        self.in_trailers = False
        self.complete = False
        self.at_a_time = at_a_time
        self.has_more = False

    @property
    def announced(self) -> int:
        """See `BodyReader`: what is missing of the current chunk."""
        return max(0, self.left - 2)

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """See `BodyReader`."""
        parts: list[bytes] = []
        position = 0
        self.has_more = False
        while not self.in_trailers:
            if self.left == 0:
                if 0 < self.at_a_time <= len(parts):
                    self.has_more = True
                    return b"".join(parts), data[position:]
                end = data.find(b"\n", position)
                if end < 0:
                    if len(data) - position > _MAX_CHUNK_LINE_BYTES:
                        raise InvalidBody("a line before a chunk is too long")
                    return b"".join(parts), data[position:]
                size = _chunk_size(data[position : end + 1])
                position = end + 1
                if size == 0:
                    self.in_trailers = True
                    break
                self.left = size + 2
            position = self._take_chunk(data, position, parts)
            if self.left:
                return b"".join(parts), data[position:]
        return b"".join(parts), self._take_trailers(data[position:])

    def close(self) -> None:
        """See `BodyReader`."""
        if not self.complete:
            raise IncompleteBody("the last chunk of the body is missing")

    def _take_chunk(self, data: bytes, start: int, parts: list[bytes]) -> int:
        """Takes what has arrived of a chunk; returns the position after it."""
        end = start + self.left
        if len(data) >= end:
            if data[end - 2 : end] != b"\r\n":
                raise InvalidBody("a chunk is longer than announced")
            if self.left > 2:
                parts.append(data[start : end - 2])
            self.left = 0
            return end
        # The CR and LF at the end of a chunk are checked together.
        stop = min(len(data), end - 2)
        if stop > start:
            parts.append(data[start:stop])
            self.left -= stop - start
        return stop

    def _take_trailers(self, data: bytes) -> bytes:
        """Drops the trailers; returns the bytes after them."""
        if data.startswith(b"\r\n"):
            self.complete = True
            return data[2:]
        if len(data) < 2 and b"\r\n".startswith(data):
            return data
        end = data.find(b"\r\n\r\n")
        if end < 0:
            if len(data) > _MAX_TRAILER_BYTES:
                raise InvalidBody("the trailers are too long")
            return data
        if not _TRAILER.fullmatch(data, 0, end + 4):
            raise InvalidBody("the trailers are invalid")
        self.complete = True
        return data[end + 4 :]


def _chunk_size(line: bytes) -> int:
    match = _CHUNK_LINE.match(line.removesuffix(b"\r\n"))
    if match is None:
        raise InvalidBody("the size of a chunk is invalid")
    return int(match[1], 16)


def chunk(data: bytes) -> bytes:
    """Returns bytes as one chunk.

    No bytes are returned for no bytes: an empty chunk would end the body.
    """
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def head(start_line: str, fields: list[tuple[str, str]]) -> bytes:
    """Returns the head of a message.

    Raises:
        ValueError: A part contains a line end or NUL, which would change the
            meaning of the message.
    """
    lines = [start_line, *[f"{name}: {value}" for name, value in fields]]
    text = "\r\n".join(lines)
    line_ends = len(lines) - 1
    if (
        text.count("\n") != line_ends
        or text.count("\r") != line_ends
        or "\0" in text
    ):
        raise ValueError("A header contains a line end or NUL.")
    return f"{text}\r\n\r\n".encode("latin-1")
