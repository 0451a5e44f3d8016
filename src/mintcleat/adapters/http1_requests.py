"""Reads the requests of one caller's connection, within its bounds."""

from collections.abc import Callable
import time
from typing import Any
from typing import NamedTuple

import eventlet

from mintcleat.adapters import http1_heads
from mintcleat.adapters import received_bytes
from mintcleat.adapters import socket_reader
from mintcleat.domain import errors
from mintcleat.domain import manifest

# Maximum time of a body, for callers that never pause for long but never end.
# No deadline of a request is that long.
_BODY_SECONDS = 30.0
# Memory of a header field besides its bytes: a tuple and two texts.
_FIELD_BYTES = 200
# Memory of a head at most, as a multiple of its bytes: its shortest fields,
# such as "a:", take four bytes with their line end.
_HEAD_FACTOR = 1 + _FIELD_BYTES // 4


class RequestRefused(Exception):
    """A request was dropped before it was complete, for want of memory."""


class Request(NamedTuple):
    """A received request.

    Attributes:
        headers: Names in lower case, and values.
        peer: `IP:PORT` of the caller.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str

    def header(self, name: str) -> str:
        """Returns the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


class Dropped(NamedTuple):
    """What was dropped of a connection that gave way to others.

    Attributes:
        size: Its bytes.
        fields: Header fields of the request; none if its head was not read.
    """

    size: int
    fields: tuple[tuple[str, str], ...]


class RequestReader:
    """Reads requests, and records what the process holds of them.

    Attributes:
        reader: The receiving side of the connection.
        bytes_of_all: What the process holds of all its callers.
        on_dropped: Called when the connection has given way to others; must
            not wait.
        received: Bytes after the requests that have been read.
        head: Head of the current request; None before it was read.
        buffer: The part of the current request's body that has arrived.
        head_bytes: Memory of the current request's head while its body arrives.
        handled_bytes: Size of the request that is being handled; 0 for none.
        is_handled: Whether the current request has been read to its end.
        has_yielded: Whether what the caller sent was dropped, so that the
            connection ends with its current request.
    """

    def __init__(
        self,
        sock: Any,
        peer: str,
        bytes_of_all: received_bytes.ReceivedBytes,
        on_closed: Callable[[], None],
        on_dropped: Callable[[Dropped], None],
    ) -> None:
        self.peer = peer
        self.bytes_of_all = bytes_of_all
        self.on_dropped = on_dropped
        self.reader: Any = socket_reader.SocketReader(
            sock, on_closed, self.record
        )
        self.received = b""
        self.head: http1_heads.RequestHead | None = None
        self.buffer = bytearray()
        self.head_bytes = 0
        self.handled_bytes = 0
        self.is_handled = False
        self.has_yielded = False

    def begin(self) -> None:
        """Prepares for the next request, after the end of the one before.

        Raises:
            RequestRefused: What has arrived of it has given way to others.
        """
        self.head = None
        self.is_handled = False
        self.handled_bytes = 0
        self.record()
        if self.received:
            # A caller may send hundreds of requests at once.
            eventlet.sleep(0)
            self.check_yielded()

    def wait(self, idle_seconds: Callable[[], float]) -> bool:
        """Waits for a request to begin; returns whether one did.

        Args:
            idle_seconds: Returns for how long it waits at most, which may
                change meanwhile.

        Raises:
            TimeoutError: The connection was idle for too long.
        """
        idle_since = time.monotonic()
        while not self.received:
            left = max(0.0, idle_since + idle_seconds() - time.monotonic())
            with eventlet.Timeout(left, TimeoutError):
                # Returns nothing if the limits may have changed.
                self.received = self.reader.read()
            if not self.received and self.reader.closed:
                return False
        return True

    def read(
        self, limits: manifest.Limits, send_continue: Callable[[], None]
    ) -> Request:
        """Returns the next request, of which some bytes were received.

        Args:
            limits: Limits on its size and time.
            send_continue: Tells the caller to send the body.

        Raises:
            http1_heads.ProtocolError: The head is invalid or too long.
            http1_framing.InvalidBody: The body is invalid or incomplete.
            errors.TooLarge: The body exceeds the limit.
            RequestRefused: The request has given way to others.
            TimeoutError: It did not arrive in time.
        """
        until = time.monotonic() + _BODY_SECONDS
        self.bytes_of_all.make_fit(
            limits.body_bytes + limits.header_bytes * _HEAD_FACTOR
        )
        head = self._read_head(limits)
        self.head = head
        self.head_bytes = _head_size(head)
        must_continue = head.expects_continue
        while not self._take_body(head, limits):
            if head.body.has_more:
                eventlet.sleep(0)
                self.check_yielded()
                continue
            if must_continue and not self.buffer:
                send_continue()
            must_continue = False
            left = min(limits.header_seconds, until - time.monotonic())
            if not self._receive(max(0.0, left)):
                head.body.close()
        body, self.buffer = bytes(self.buffer), bytearray()
        self.handled_bytes = len(body) + self.head_bytes
        self.head_bytes = 0
        self.is_handled = True
        self.record()
        return Request(head.method, head.target, head.fields, body, self.peer)

    def give_way(self) -> None:
        """Drops what has arrived and isn't being handled.

        A request that is being handled gets its response. Those behind it were
        not read, which their caller sees by the end of the connection.
        """
        size = self._arriving_bytes()
        is_read = self.head is not None and not self.is_handled
        fields = self.head.fields if is_read else ()
        self.has_yielded = True
        self.discard()
        self.reader.wake()
        self.on_dropped(Dropped(size, fields))

    def discard(self) -> None:
        """Drops what has arrived and isn't being handled, and what comes."""
        self.received = b""
        self.buffer = bytearray()
        self.head_bytes = 0
        self.reader.discard()
        self.record()

    def close(self) -> None:
        """Ends the reading; must precede the close of the socket."""
        self.reader.stop()
        self.bytes_of_all.set(self, 0, 0, 0.0)

    def record(self) -> None:
        """Records what is held for the caller; others may have to give way."""
        now = time.monotonic()
        arriving = self._arriving_bytes()
        self.bytes_of_all.set(self, arriving, self.handled_bytes, now)
        while arriving and (found := self.bytes_of_all.excess(now)) is not None:
            found.give_way()

    def check_yielded(self) -> None:
        """Returns if nothing was dropped of the request.

        Raises:
            RequestRefused: It has given way to others.
        """
        if self.has_yielded:
            raise RequestRefused(
                "This process holds too many bytes of requests; nothing of "
                "the request was used."
            )

    def _arriving_bytes(self) -> int:
        """Returns the bytes that were received and aren't being handled."""
        return (
            len(self.received)
            + len(self.reader.unread)
            + len(self.buffer)
            + self.head_bytes
        )

    def _take_body(
        self, head: http1_heads.RequestHead, limits: manifest.Limits
    ) -> bool:
        """Takes what has arrived of the body; returns whether that is all."""
        body = head.body
        part, self.received = body.take(self.received)
        self.buffer += part
        # Also before the body has arrived: the caller may wait to be told
        # whether to send it.
        size = len(self.buffer) + body.announced
        if size > limits.body_bytes:
            raise errors.TooLarge(
                f"The body has at least {size} bytes; at most "
                f"{limits.body_bytes} are allowed."
            )
        # Also of a small request that has arrived as a whole.
        self.record()
        self.check_yielded()
        return body.complete

    def _read_head(self, limits: manifest.Limits) -> http1_heads.RequestHead:
        searched = 0
        # A head in many small parts must not take longer than one in one part.
        until = time.monotonic() + limits.header_seconds
        while True:
            received = self.received
            end = http1_heads.find_end(received, searched, limits.header_bytes)
            if end:
                self.received = received[end:]
                return http1_heads.parse_request(received[:end])
            searched = len(received)
            self.record()
            self.check_yielded()
            left = max(0.0, until - time.monotonic())
            if not self._receive(left):
                raise http1_heads.ProtocolError("The head is incomplete.")

    def _receive(self, seconds: float) -> bool:
        """Waits for bytes; returns whether any came before the end."""
        with eventlet.Timeout(seconds, TimeoutError):
            data = self.reader.read()
            while not (data or self.reader.closed or self.has_yielded):
                data = self.reader.read()
        self.received += data
        self.record()
        self.check_yielded()
        return bool(data)


def _head_size(head: http1_heads.RequestHead) -> int:
    """Returns the memory of a request's head."""
    texts = sum(len(name) + len(value) for name, value in head.fields)
    return len(head.target) + texts + len(head.fields) * _FIELD_BYTES
