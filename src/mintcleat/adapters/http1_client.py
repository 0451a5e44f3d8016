"""HTTP/1.1 to upstreams, on h11 and eventlet: one request a connection.

urllib3 reads no answer before the whole body is sent, joins an answer to the
next request on its connection whatever it answers, and does not tell a body
that a reset cut short from one that ended with its connection. Upstreams do
all three, so the exchange is made here, with h11 for parsing and framing.
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

_BLOCK = 64 * 1024
# A connection takes one round trip; an upstream that is gone answers never.
CONNECT_SECONDS = 0.5
# Sent bytes that are not acknowledged for so long, or probes of a silent
# peer: an upstream that lost its power never closes a connection.
_USER_TIMEOUT_MS = 1500
_PROBE_SECONDS = 1
_PROBES = 2
# Larger bodies are sent beside the reading: an upstream may answer before it
# has read them, and read on later.
_INLINE_BODY = 16 * 1024
# Idle connections that are kept for one upstream.
_MAX_IDLE = 64
# Without a word of the upstream, an idle connection is kept for so long.
_IDLE_SECONDS = 4.0
# A request must not meet the upstream's own closing of an idle connection.
_IDLE_MARGIN = 0.5


class Connection:
    """One connection to an upstream; all failures are typed errors.

    Attributes:
        usable_until: Clock until which it may be used again.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.usable_until = 0.0
        self.http = h11.Connection(h11.CLIENT)
        self.sender: Any = None
        self.closed = False
        try:
            with eventlet.Timeout(CONNECT_SECONDS, TimeoutError):
                self.sock = eventlet.connect(streams.split_address(address))
        except (OSError, TimeoutError) as error:
            raise errors.NoUpstream(
                f"{address} cannot be reached: {error}."
            ) from None
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
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
        """Sends a request; a large body goes on while the answer is read.

        Raises:
            errors.StreamClosed: Part of it may have been delivered.
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
        if len(data) > _INLINE_BODY:
            self.sender = eventlet.spawn(self._send_beside, data)
            return
        try:
            self.sock.sendall(data)
        except OSError as error:
            raise self._broken(error) from None

    def read_head(self) -> h11.Response:
        """Returns the head of the answer; interim answers are skipped."""
        while True:
            event = self._next()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("no answer came")

    def read_data(self) -> bytes | None:
        """Returns the next piece of the body; None at its whole end."""
        while True:
            event = self._next()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            raise self._broken("the answer is cut short")

    def skip_response(self) -> None:
        """Reads the answer at hand to its end, and waits for the next one.

        An upstream may answer an earlier request once more; the answer to
        the request at hand comes behind it.
        """
        while self.read_data() is not None:
            pass
        rest, closed = self.http.trailing_data
        if closed or self.http.their_state is not h11.DONE:
            raise self._broken("the answer to another request was its last")
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(self.request)
        if self.body:
            self.http.send(h11.Data(data=self.body))
        self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)

    def prepare_reuse(self, keep_alive: float) -> bool:
        """Readies the connection for another request; False to close it.

        Args:
            keep_alive: Seconds for which the upstream keeps it; 0 when it
                did not say.
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
        seconds = (keep_alive or _IDLE_SECONDS) - _IDLE_MARGIN
        self.usable_until = time.monotonic() + seconds
        return seconds > 0

    def quiet(self) -> bool:
        """Tells whether an idle connection may carry a request.

        Bytes that nobody asked for, or an end, make it unusable.
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
        """Closes the socket; the upstream drops what it was at."""
        if self.closed:
            return
        self.closed = True
        if self.sender is not None:
            self.sender.kill()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _next(self) -> Any:
        try:
            while True:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.http.receive_data(_receive(self.sock))
        except (OSError, EOFError, h11.ProtocolError) as error:
            raise self._broken(error) from None

    def _send_beside(self, data: bytes) -> None:
        # A failure shows in the answer, or in that none comes.
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def _broken(self, reason: object) -> errors.StreamClosed:
        return errors.StreamClosed(f"{self.address} broke off: {reason}.")


def _receive(sock: Any) -> bytes:
    """Returns what has come, or nothing at the peer's orderly end.

    eventlet's own `recv` returns nothing after a reset too. A body without a
    length that a reset cut short would then pass for a whole one.
    """
    while True:
        try:
            return sock.fd.recv(_BLOCK)
        except BlockingIOError:
            hubs.trampoline(sock.fileno(), read=True)


class Pool:
    """Idle connections by upstream, the last used first."""

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = {}

    def acquire(self, upstream: str, address: str) -> Connection:
        """Returns a quiet connection, or a new one.

        Raises:
            errors.NoUpstream: It cannot be reached.
        """
        held = self.idle.get(upstream, [])
        while held:
            connection = held.pop()
            if connection.quiet():
                return connection
            connection.close()
        return Connection(address)

    def release(self, upstream: str, connection: Connection) -> None:
        """Takes a connection back."""
        held = self.idle.setdefault(upstream, [])
        if len(held) >= _MAX_IDLE:
            connection.close()
            return
        held.append(connection)

    def discard(self, upstream: str) -> None:
        """Closes the idle connections of an upstream that is gone."""
        for connection in self.idle.pop(upstream, []):
            connection.close()

    def close_stale(self) -> None:
        """Closes connections that can't be used any more."""
        for held in self.idle.values():
            for connection in list(held):
                if not connection.quiet():
                    held.remove(connection)
                    connection.close()
