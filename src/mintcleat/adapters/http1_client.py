"""An HTTP/1.1 client for upstreams, on httptools and eventlet.

Upstreams may respond before they have read the request body, may repeat the
response to an earlier request of the connection, and may reset a connection
within a body that has no length. urllib3 reads no response before the body is
sent, takes a repeated response for that of the current request, and does not
distinguish a reset from the end of such a body.
"""

import collections
from collections.abc import Callable
import contextlib
import socket
import time
from typing import Any

import eventlet

from mintcleat.adapters import http1_framing
from mintcleat.adapters import http1_heads
from mintcleat.adapters import socket_reader
from mintcleat.adapters import streams
from mintcleat.domain import answer_ends
from mintcleat.domain import byte_parts
from mintcleat.domain import errors

_MAX_HEAD_BYTES = 64 * 1024
# Connecting takes one round trip; an upstream that is down may never answer.
CONNECT_TIMEOUT_SECONDS = 0.5
# Unacknowledged data and keepalive probes detect an upstream that lost power,
# which never closes its connections.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
# What the kernel holds of an answer that nobody reads; it doubles the value.
# Its own choice grows to several MB for each connection.
_RECEIVE_BUFFER_BYTES = 64 * 1024
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
)
# Larger requests are sent concurrently with reading, because an upstream may
# respond before it has read the whole body, and read the rest later.
_INLINE_REQUEST_BYTES = 16 * 1024
# Size up to which parts of a larger request are joined, one such piece at a
# time: each write costs a system call.
_JOINED_BYTES = 64 * 1024
# Requests that a connection remembers.
_MAX_CARRIED = 16
# Idle timeout if the upstream does not announce one.
_IDLE_SECONDS = 4.0
# Time for which a connection that has carried no request is kept: the upstream
# has not announced its idle timeout there.
_UNUSED_SECONDS = 1.0
# Keeps a request from being sent while the upstream closes the idle connection.
_IDLE_MARGIN_SECONDS = 0.5
_FIRST_FINAL_STATUS = 200
# Informational responses before the final one. An upstream that sends them
# without end would hold its request until the deadline.
_MAX_INFORMATIONAL = 5
# Time from the first byte of a head, of a line before a chunk or of trailers
# after which further bytes must have completed it. An upstream that is silent
# meanwhile may have stopped for a moment, so that silence doesn't count.
PART_SECONDS = 1.0
# Size up to which received chunks are taken at once. A read may have ten
# thousand, which take some 10 ms.
_PART_BYTES = 4 * 1024
# Work after which other green threads get a turn.
_WORK_SECONDS = 0.001
# Time for which a new connection must stay open to show that its peer serves.
# As a process ends, the system closes what it had open one after the other, and
# perhaps its listener last: connections are still taken after it is over.
SERVING_SECONDS = 0.02
# Bounds of a response to an earlier request that is skipped.
_MAX_SKIPPED_BYTES = 1024 * 1024


class Connection:
    """One connection to an upstream; failures raise `domain.errors`.

    Attributes:
        usable_until: Monotonic time until which the connection may be
            reused.
        received: Bytes after the messages that have been read.
        method: Method of the current request.
        head: Head of the current response; None before it.
        sender: Green thread that sends a large request; None for none.
        end: How the body of the current response ended; None before its end.
        part_since: Monotonic time since which a part of the framing has been
            arriving; 0 for none.
        is_identified: Whether it is known to lead to the process that its user
            expects; it does so until its end.
        carried: Ids of the latest requests that it has carried, which may be
            answered again; empty for one without an id.
        skipped: Responses that were skipped since the current request was
            sent.
        on_work: Called with the time that a part of many chunks took, in
            seconds, before the next part; may wait.
    """

    def __init__(self, address: str, sock: Any) -> None:
        self.address = address
        self.sock = sock
        self.reader = socket_reader.SocketReader(sock)
        self.usable_until = 0.0
        self.is_identified = False
        self.received = b""
        self.part_since = 0.0
        self.method = ""
        self.head: http1_heads.ResponseHead | None = None
        self.sender: Any = None
        self.end: answer_ends.Kind | None = None
        self.carried: collections.deque[str] = collections.deque(
            maxlen=_MAX_CARRIED
        )
        self.skipped = 0
        self.interrupted = False
        self.closed = False
        self.on_work: Callable[[float], None] = _wait_for_nothing

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        *body: bytes,
    ) -> None:
        """Sends a request; a large one is sent in the background.

        Args:
            method: Its method.
            target: Its target.
            headers: Its header fields, without a length.
            body: The parts of its body. Large ones are sent as they are; an
                upstream that reads slowly holds up no copy of them.

        Raises:
            errors.StreamClosed: The connection is lost; part of the request
                may have been delivered.
        """
        size = sum(map(len, body))
        if size or method in ("POST", "PUT", "PATCH"):
            headers = [*headers, ("content-length", str(size))]
        self.method = method
        self.head = None
        self.end = None
        self.skipped = 0
        data = http1_framing.head(f"{method} {target} HTTP/1.1", headers)
        if len(data) + size > _INLINE_REQUEST_BYTES:
            self.sender = eventlet.spawn(self._send_in_background, data, body)
            return
        try:
            self.sock.sendall(b"".join((data, *body)))
        except OSError as error:
            raise self._connection_lost(error) from None

    def read_head(self) -> http1_heads.ResponseHead:
        """Returns the head of the response; skips informational responses."""
        searched = 0
        informational = 0
        while True:
            try:
                http1_heads.check_response_start(self.received)
                end = http1_heads.find_end(
                    self.received, searched, _MAX_HEAD_BYTES
                )
                if end:
                    head = http1_heads.parse_response(
                        self.received[:end], self.method
                    )
                else:
                    self._check_pace()
            except (
                http1_heads.ProtocolError,
                http1_framing.InvalidBody,
            ) as error:
                raise self._connection_lost(error) from None
            if not end:
                searched = len(self.received)
                if not self._receive():
                    raise self._connection_lost("no response was received")
                continue
            self.received = self.received[end:]
            self.part_since = 0.0
            searched = 0
            if head.status >= _FIRST_FINAL_STATUS:
                self.head = head
                self.end = None
                return head
            informational += 1
            if informational > _MAX_INFORMATIONAL:
                raise self._connection_lost(
                    f"{informational} informational responses came before a "
                    "final one"
                )

    def read_body(self, limit: int) -> bytes:
        """Returns the whole body, or what is left of it.

        Raises:
            errors.StreamClosed: It is incomplete, or exceeds `limit` bytes.
        """
        parts = []
        size = 0
        while (data := self.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                raise errors.StreamClosed(
                    f"The answer of {self.address} exceeds {limit} bytes."
                )
        return b"".join(parts)

    def read_data(self) -> bytes | None:
        """Returns the next part of the body; None at its end.

        Raises:
            errors.StreamClosed: The body ended before the end that its framing
                announces.
        """
        body = self.head.body
        try:
            while not body.complete:
                if self.received:
                    size = len(self.received)
                    data = self._take(body)
                    if len(self.received) < size:
                        self.part_since = 0.0
                    if data:
                        return data
                    if body.complete:
                        break
                self._check_pace()
                if not self._receive():
                    body.close()
        except http1_framing.IncompleteBody as error:
            self.end = answer_ends.Kind.CUT
            raise self._connection_lost(error) from None
        except http1_framing.InvalidBody as error:
            self.end = answer_ends.Kind.INVALID
            raise self._connection_lost(error) from None
        if body.framing is answer_ends.Framing.CLOSE:
            self.end = answer_ends.Kind.CLOSED
        else:
            self.end = answer_ends.Kind.MARKED
        return None

    def _take(self, body: http1_framing.BodyReader) -> bytes:
        """Returns the part of the body in what was received."""
        is_chunked = body.framing is answer_ends.Framing.CHUNKS
        if not is_chunked or len(self.received) <= _PART_BYTES:
            data, self.received = body.take(self.received)
            return data
        parts = []
        work = 0.0
        received = self.received
        self.received = b""
        for start in range(0, len(received), _PART_BYTES):
            if body.complete:
                self.received += received[start:]
                break
            began = time.monotonic()
            self.received += received[start : start + _PART_BYTES]
            data, self.received = body.take(self.received)
            parts.append(data)
            work += time.monotonic() - began
            if work > _WORK_SECONDS:
                self.on_work(work)
                work = 0.0
        return b"".join(parts)

    def skip_response(self) -> None:
        """Reads the current response to its end and prepares for the next.

        An upstream may repeat the response to an earlier request; the response
        to the current request follows it.
        """
        self.skipped += 1
        began = time.monotonic()
        skipped = 0
        while (data := self.read_data()) is not None:
            skipped += len(data)
            seconds = time.monotonic() - began
            if skipped > _MAX_SKIPPED_BYTES or seconds > PART_SECONDS:
                raise self._connection_lost(
                    "the response to another request does not end; it has "
                    f"{skipped} bytes after {seconds:.1f} s"
                )
        if not self.head.keep_alive or self.reader.closed:
            raise self._connection_lost(
                "it closed after the response to another request"
            )
        self.head = None

    def prepare_reuse(self, keep_alive: float) -> bool:
        """Prepares the connection for another request.

        Args:
            keep_alive: The upstream's idle timeout in seconds; 0 if it did
                not announce one.

        Returns:
            Whether the connection can be reused; if not, it must be closed.
        """
        sent = self.sender is None or bool(self.sender.dead)
        done = (
            self.head is not None
            and self.head.body.complete
            and self.head.keep_alive
            and not self.received
        )
        if not (sent and done):
            return False
        self.sender = None
        seconds = (keep_alive or _IDLE_SECONDS) - _IDLE_MARGIN_SECONDS
        self.usable_until = time.monotonic() + seconds
        return seconds > 0

    def keep_unused(self) -> None:
        """Prepares a new connection for a request that may come soon."""
        self.usable_until = time.monotonic() + _UNUSED_SECONDS

    def stays_open(self) -> bool:
        """Returns whether the peer of a new connection goes on serving.

        Waits for `SERVING_SECONDS`.
        """
        eventlet.sleep(SERVING_SECONDS)
        return self.reader.is_quiet()

    def is_usable(self) -> bool:
        """Returns whether an idle connection can carry a request.

        It cannot if it received unsolicited bytes or was closed.
        """
        return not self.is_stale() and self.reader.is_quiet()

    def is_stale(self) -> bool:
        """Returns whether an idle connection is known not to be usable.

        Unlike `is_usable`, it makes no system call, and may miss what has just
        arrived.
        """
        return (
            self.closed
            or time.monotonic() > self.usable_until
            or self.reader.closed
            or bool(self.reader.unread)
        )

    def interrupt(self, reason: str) -> None:
        """Makes the current read fail; may be called by any green thread.

        Bytes received before are returned first.
        """
        self.interrupted = True
        self.reader.interrupt(ConnectionAbortedError(reason))

    def close(self) -> None:
        """Closes the connection; the upstream then cancels the request."""
        if self.closed:
            return
        self.closed = True
        if self.sender is not None:
            self.sender.kill()
        self.reader.stop()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _check_pace(self) -> None:
        """Checks how long the part that has arrived has been incomplete.

        Raises:
            http1_framing.InvalidBody: Its bytes still arrive after
                `PART_SECONDS`.
        """
        if not self.received:
            return
        now = time.monotonic()
        if not self.part_since:
            self.part_since = now
        elif now - self.part_since > PART_SECONDS:
            raise http1_framing.InvalidBody(
                f"a head or a part of the framing, of {len(self.received)} "
                f"bytes so far, is incomplete after {PART_SECONDS:g} s"
            )

    def _receive(self) -> bool:
        """Waits for bytes; returns whether any came before the end."""
        try:
            data = self.reader.read()
        except OSError as error:
            self.end = answer_ends.Kind.RESET
            if self.interrupted:
                self.end = answer_ends.Kind.ABANDONED
            raise self._connection_lost(error) from None
        self.received += data
        return bool(data)

    def _send_in_background(self, head: bytes, body: tuple[bytes, ...]) -> None:
        try:
            for data in byte_parts.coalesced((head, *body), _JOINED_BYTES):
                # A slice of what is left would be a copy otherwise.
                self.sock.sendall(memoryview(data))
        except BrokenPipeError:
            # The upstream ended its side before, perhaps after its response.
            return
        except OSError as error:
            # Otherwise a reset would look like the proper end of the response.
            self.reader.fail(error)

    def _connection_lost(self, reason: object) -> errors.StreamClosed:
        return errors.StreamClosed(
            f"The connection to {self.address} was lost: {reason}."
        )


def _wait_for_nothing(seconds: float) -> None:
    """Lets the work on one connection go on at once."""


def connect(
    address: str, seconds: float = CONNECT_TIMEOUT_SECONDS
) -> Connection:
    """Returns a new connection.

    Raises:
        errors.UpstreamLate: There was no answer.
        errors.NoUpstream: The upstream is unreachable.
    """
    try:
        return Connection(address, open_socket(address, seconds))
    except TimeoutError:
        raise errors.UpstreamLate(
            f"{address} took no connection within {seconds:g} s."
        ) from None
    except OSError as error:
        raise errors.NoUpstream(f"{address} is unreachable: {error}.") from None


def open_socket(address: str, seconds: float = CONNECT_TIMEOUT_SECONDS) -> Any:
    """Returns a connected socket.

    Args:
        address: `HOST:PORT` of the upstream.
        seconds: Time for the connection to be established.

    Raises:
        OSError: Connecting failed; a ConnectionRefusedError if nothing listens
            at the address.
        TimeoutError: There was no answer.
    """
    with eventlet.Timeout(seconds, TimeoutError):
        sock = eventlet.connect(streams.split_address(address))
    for option in _SOCKET_OPTIONS:
        with contextlib.suppress(OSError):
            sock.setsockopt(*option)
    return sock


def keep_alive_seconds(value: str) -> float:
    """Returns the idle timeout of a Keep-Alive header in seconds; 0 if none."""
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        is_number = number.isascii() and number.isdigit()
        if name.lower() == "timeout" and is_number:
            return float(number)
    return 0.0
