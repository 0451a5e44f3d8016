"""An HTTP/1.1 client for upstreams, on h11 and eventlet.

Upstreams may respond before they have read the request body, may repeat the
response to an earlier request of the connection, and may reset a connection
within a body that has no length. urllib3 reads no response before the body is
sent, takes a repeated response for that of the current request, and does not
distinguish a reset from the end of such a body.
"""

import contextlib
import socket
import time
from typing import Any

import eventlet
from eventlet import hubs
import h11

from mintcleat.adapters import streams
from mintcleat.domain import errors

_READ_BYTES = 64 * 1024
# Connecting takes one round trip; an upstream that is down may never answer.
CONNECT_TIMEOUT_SECONDS = 0.5
# Unacknowledged data and keepalive probes detect an upstream that lost power,
# which never closes its connections.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
# Larger requests are sent concurrently with reading, because an upstream may
# respond before it has read the whole body, and read the rest later.
_INLINE_REQUEST_BYTES = 16 * 1024
# Maximum number of idle connections of one upstream.
_MAX_IDLE = 64
# Idle timeout if the upstream does not announce one.
_IDLE_SECONDS = 4.0
# Keeps a request from being sent while the upstream closes the idle connection.
_IDLE_MARGIN_SECONDS = 0.5


class Connection:
    """One connection to an upstream; failures raise `domain.errors`.

    Attributes:
        usable_until: Monotonic time until which the connection may be
            reused.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.usable_until = 0.0
        self.http = h11.Connection(h11.CLIENT)
        self.sender: Any = None
        self.closed = False
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_SECONDS, TimeoutError):
                self.sock = eventlet.connect(streams.split_address(address))
        except (OSError, TimeoutError) as error:
            raise errors.NoUpstream(
                f"{address} is unreachable: {error}."
            ) from None
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        )
        for option in options:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(*option)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Sends a request; a large one is sent in the background.

        Raises:
            errors.StreamClosed: The connection is lost; part of the request
                may have been delivered.
        """
        if body or method in ("POST", "PUT", "PATCH"):
            headers = [*headers, ("content-length", str(len(body)))]
        self.request = h11.Request(
            method=method, target=target, headers=headers
        )
        data = self.http.send(self.request)
        self.body = body
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        if len(data) > _INLINE_REQUEST_BYTES:
            self.sender = eventlet.spawn(self._send_in_background, data)
            return
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise self._connection_lost(error) from None

    def read_head(self) -> h11.Response:
        """Returns the head of the response; skips informational responses."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._connection_lost("no response was received")

    def read_data(self) -> bytes | None:
        """Returns the next chunk of the body; None at its proper end."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            raise self._connection_lost("the response is incomplete")

    def skip_response(self) -> None:
        """Reads the current response to its end and prepares for the next.

        An upstream may repeat the response to an earlier request; the response
        to the current request follows it.
        """
        while self.read_data() is not None:
            pass
        rest, closed = self.http.trailing_data
        if closed or self.http.their_state is not h11.DONE:
            raise self._connection_lost(
                "it closed after the response to another request"
            )
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(self.request)
        if self.body:
            self.http.send(h11.Data(data=self.body))
        self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)

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
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )
        if not (sent and done):
            return False
        self.sender = None
        self.http.start_next_cycle()
        seconds = (keep_alive or _IDLE_SECONDS) - _IDLE_MARGIN_SECONDS
        self.usable_until = time.monotonic() + seconds
        return seconds > 0

    def is_usable(self) -> bool:
        """Returns whether an idle connection can carry a request.

        It cannot if it received unsolicited bytes or was closed.
        """
        if self.closed or time.monotonic() > self.usable_until:
            return False
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection; the upstream then cancels the request."""
        if self.closed:
            return
        self.closed = True
        if self.sender is not None:
            self.sender.kill()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _next_event(self) -> Any:
        try:
            while True:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.http.receive_data(_receive(self.sock))
        except (OSError, EOFError, h11.ProtocolError) as error:
            raise self._connection_lost(error) from None

    def _send_in_background(self, data: bytes) -> None:
        # A failure to send shows as a failure to read the response.
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def _connection_lost(self, reason: object) -> errors.StreamClosed:
        return errors.StreamClosed(
            f"The connection to {self.address} was lost: {reason}."
        )


def _receive(sock: Any) -> bytes:
    """Returns received bytes, or none if the peer closed the connection.

    Unlike eventlet's `recv`, it raises an error after a reset. Otherwise a
    body without a length that a reset cut off would look complete.
    """
    while True:
        try:
            return sock.fd.recv(_READ_BYTES)
        except BlockingIOError:
            hubs.trampoline(sock.fileno(), read=True)


class Pool:
    """Idle connections by upstream; the last used is reused first."""

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = {}

    def acquire(self, upstream: str, address: str) -> Connection:
        """Returns a usable idle connection, or a new one.

        Raises:
            errors.NoUpstream: The upstream is unreachable.
        """
        connections = self.idle.get(upstream, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return Connection(address)

    def release(self, upstream: str, connection: Connection) -> None:
        """Returns a connection to the pool; closes it if the pool is full."""
        connections = self.idle.setdefault(upstream, [])
        if len(connections) >= _MAX_IDLE:
            connection.close()
            return
        connections.append(connection)

    def discard(self, upstream: str) -> None:
        """Closes an upstream's idle connections."""
        for connection in self.idle.pop(upstream, []):
            connection.close()

    def close_stale(self) -> None:
        """Closes idle connections that are not usable any more."""
        for connections in self.idle.values():
            for connection in list(connections):
                if not connection.is_usable():
                    connections.remove(connection)
                    connection.close()
