"""An HTTP/1.1 server for forwarded requests, on httptools and eventlet.

eventlet's WSGI server cannot detect that a caller disconnects before its
response is complete, cannot abort a response and does not expose all header
fields; the entry needs all three.
"""

from collections.abc import Callable
import contextlib
import itertools
import socket
import struct
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import greenthread
from eventlet import hubs
from loguru import logger

from mintcleat.adapters import http1_framing
from mintcleat.adapters import http1_heads
from mintcleat.adapters import http1_requests
from mintcleat.adapters import http1_responses
from mintcleat.adapters import received_bytes
from mintcleat.adapters import streams
from mintcleat.adapters import unsent_bytes
from mintcleat.domain import errors
from mintcleat.domain import manifest

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A caller that reads nothing for this long gets no more of its response, which
# bounds how long it holds memory.
_STALL_SECONDS = 20.0
# Interval of the calls of `Reply.on_blocked`.
_BLOCKED_SECONDS = 0.25
# Values of SO_LINGER. With the first one (on, 0 s), closing the socket, or the
# end of the process, discards its unsent bytes in the kernel and resets the
# connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
# Pause after a failed accept, so that running out of file descriptors doesn't
# take all CPU time.
_ACCEPT_RETRY_SECONDS = 0.05
# Connections that wait to be accepted. If there are more, a caller retransmits
# its connection request only after seconds; each may hold a receive buffer.
_BACKLOG = 2048
# Reasons for which a response is ended; see `Stall`.
NO_PROGRESS = "no progress"
BUFFERS_FULL = "buffers full"
_STATUS_INVALID = 400
_STATUS_TOO_SLOW = 408
_STATUS_REFUSED = 503
# Time for which a request is read and dropped after the response that refuses
# it, and the connections of a listener that are read so at a time. The others
# are closed at once, and may lose the response.
_DISCARD_SECONDS = 2.0
_MAX_DISCARDING = 32
# Receive buffer of a connection in the kernel, which counts as memory of the
# process too. Bodies of prompts fit into it.
_RECEIVE_BUFFER_BYTES = 32 * 1024
# Time after which a refused caller may return. Room comes back as requests are
# answered or give way.
_REFUSED_RETRY_SECONDS = 1.0
# Part of the connections that may have sent no request yet without being taken
# for a crowd.
_CROWD_PART = 0.125
# Time for which a new connection waits until one that gives way has closed, and
# between two looks. That one learns of it by a poll of the sockets, which turns
# of the event loop need not contain; waiting for a time does.
_CLOSING_SECONDS = 0.05
_CLOSING_STEP_SECONDS = 0.001
# Assumed if the file descriptors of the process are unknown.
DEFAULT_MAX_CONNECTIONS = 10_000
# Why a connection gives way; see `Yielded`.
MEMORY = "memory"
CONNECTIONS = "connections"


class CallerDisconnected(BaseException):
    """The caller closed its connection before its request was answered.

    Not an Exception, so that no `except Exception` clause of a handler mistakes
    it for a failed call and continues.
    """


class CallerStalled(CallerDisconnected):
    """The response was ended because the caller doesn't read it."""


Request = http1_requests.Request


class Yielded(NamedTuple):
    """A connection that gave way to others.

    Attributes:
        peer: `IP:PORT` of the caller.
        reason: `MEMORY` if the bytes of all callers exceed their limit,
            `CONNECTIONS` if their connections do.
        dropped: What was dropped; None for `CONNECTIONS`.
    """

    peer: str
    reason: str
    dropped: http1_requests.Dropped | None = None


class Bounds(NamedTuple):
    """Bounds of the listeners of one process.

    Attributes:
        received: What all callers of the process have sent.
        max_connections: Maximum number of connections of one listener.
    """

    received: received_bytes.ReceivedBytes
    max_connections: int = DEFAULT_MAX_CONNECTIONS


class Stall(NamedTuple):
    """A response that is ended because its caller doesn't read it.

    Attributes:
        request: The request; None if it could not be read.
        peer: `IP:PORT` of the caller.
        reason: `NO_PROGRESS`, or `BUFFERS_FULL` if the bytes for slow callers
            of the process exceed their limit and this response has the most.
        unsent: Bytes that had not been sent.
        waited_seconds: Time since the caller last read.
    """

    request: Request | None
    peer: str
    reason: str
    unsent: int
    waited_seconds: float


class Reply:
    """The response to one request.

    Attributes:
        on_blocked: Called repeatedly while a write waits for the caller; to be
            set before the head is sent.
        started: Whether the head has been sent.
        ended: Whether the whole response has been sent.
    """

    def __init__(self, connection: "Connection") -> None:
        self.on_blocked: Callable[[], None] | None = None
        self.connection = connection
        self.started = False
        self.ended = False

    def send(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        reason: str = "",
    ) -> None:
        """Sends a complete response."""
        length = ("content-length", str(len(body)))
        self.start(status, [*headers, length], reason, body)
        self.end()

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        reason: str = "",
        body: bytes = b"",
    ) -> None:
        """Sends the head; without a Content-Length the body is chunked."""
        self.started = True
        self.connection.on_blocked = self.on_blocked
        self.connection.start(status, headers, reason, body)

    def write(self, data: bytes) -> None:
        """Sends a part of the body at once."""
        self.connection.write(data)

    def end(self) -> None:
        """Ends the body, so that the caller sees a complete response."""
        self.connection.end()
        self.ended = True


Handler = Callable[[Request, Reply], None]


class HttpListener:
    """An HTTP server on one address.

    Attributes:
        address: `IP:PORT` that the server listens on.
        active: Number of requests that are being handled.
        keep_alive: Called for each response; returns whether its connection
            stays open.
        on_stalled: Called for each response that its caller doesn't read.
        on_yielded: Called for each connection that gives way to others.
        unsent: Bytes that wait for slow callers.
        bounds: Bounds on what callers send.
        unproven: Connections without a request so far that was read to its
            end, the oldest first.
        resting: The other connections without such a request in progress, the
            one that rests longest first.
        discarding: Connections whose bytes are read and dropped.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        limits: Callable[[], manifest.Limits] = manifest.Limits,
        keep_alive: Callable[[], bool] = lambda: True,
        on_stalled: Callable[[Stall], None] = lambda stall: None,
        max_unsent_bytes: int = unsent_bytes.DEFAULT_LIMIT,
        bounds: Bounds | None = None,
        on_yielded: Callable[[Yielded], None] = lambda yielded: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.keep_alive = keep_alive
        self.on_stalled = on_stalled
        self.on_yielded = on_yielded
        self.bounds = bounds or Bounds(received_bytes.ReceivedBytes())
        self.unproven: dict[Connection, None] = {}
        self.resting: dict[Connection, None] = {}
        self.discarding = 0
        self.unsent = unsent_bytes.UnsentBytes(max_unsent_bytes)
        backlog = min(_BACKLOG, self.bounds.max_connections)
        self.listener = eventlet.listen(
            streams.split_address(listen), backlog=backlog
        )
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.active = 0
        self.connections: set[Connection] = set()
        self.acceptor = eventlet.spawn(self._accept_forever)

    def apply_limits(self) -> None:
        """Applies changed limits to connections that are idle already."""
        for connection in self.connections:
            if connection.is_idle:
                connection.requests.reader.wake()

    def close_idle(self) -> None:
        """Stops accepting connections and closes those that are idle."""
        self.acceptor.kill()
        self.listener.close()
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Closes the connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_unread(self, error: errors.Draining) -> None:
        """Refuses the requests of which only a part has arrived."""
        for connection in list(self.connections):
            connection.refuse_unread(error)

    def stop(self) -> None:
        """Stops accepting connections and closes all."""
        self.close_idle()
        for connection in list(self.connections):
            connection.shut_down()

    def _accept_forever(self) -> None:
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                # Out of file descriptors, or the caller closed before accept.
                logger.warning(
                    "Accepting a connection on {} failed: {}",
                    self.address,
                    error,
                )
                eventlet.sleep(_ACCEPT_RETRY_SECONDS)
                continue
            name = f"{peer[0]}:{peer[1]}"
            if not self._make_room(name):
                sock.close()
                continue
            connection = Connection(self, sock, name)
            self.connections.add(connection)
            self.unproven[connection] = None
            eventlet.spawn(connection.serve)

    def _make_room(self, peer: str) -> bool:
        """Returns whether there is room for another connection.

        One that carries no request gives way for it. Callers of a kept
        connection expect that it may be closed between requests, so that the
        one that has rested longest does, and only then one that has never
        carried any: its first request may be on its way. If many have never
        carried any, they are a crowd that sends nothing, and give way first.
        """
        limit = self.bounds.max_connections
        if len(self.connections) < limit:
            return True
        groups = [self.resting, self.unproven]
        if len(self.unproven) > _CROWD_PART * limit:
            groups.reverse()
        found = next(itertools.chain(*groups), None)
        self.on_yielded(Yielded(found.peer if found else peer, CONNECTIONS))
        if found is None:
            return False
        found.mark_busy()
        found.shut_down()
        until = time.monotonic() + _CLOSING_SECONDS
        while len(self.connections) >= limit and time.monotonic() < until:
            eventlet.sleep(_CLOSING_STEP_SECONDS)
        return len(self.connections) < limit


class Connection:
    """A caller's connection, which carries one request at a time.

    Attributes:
        requests: Reads its requests.
        request: The current request; None before it was read.
        thread: Green thread that serves the connection.
        handler: The same while it handles a request; otherwise None.
        ended: Whether the connection is being closed.
        writer: Frames the response in progress; None before its head.
        on_blocked: Called repeatedly while a write waits for the caller.
        progress_at: Monotonic time at which bytes were last sent while a
            write waits.
        resets: Whether its end resets the connection.
        was_used: Whether a request has been read to its end.
    """

    def __init__(self, listener: HttpListener, sock: Any, peer: str) -> None:
        self.listener = listener
        self.sock = sock
        self.peer = peer
        self.requests = http1_requests.RequestReader(
            sock,
            peer,
            listener.bounds.received,
            self._kill_handler,
            self._report_dropped,
        )
        self.was_used = False
        self.request: Request | None = None
        self.thread: Any = None
        self.handler: Any = None
        self.writer: http1_responses.ResponseWriter | None = None
        self.on_blocked: Callable[[], None] | None = None
        self.progress_at = 0.0
        self.resets = False
        self.ended = False
        self.closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no head of a request has been read."""
        return self.requests.head is None

    def serve(self) -> None:
        """Handles requests until one side closes the connection."""
        self.thread = eventlet.getcurrent()
        try:
            while self._serve_request():
                pass
        except (OSError, EOFError, TimeoutError):
            return
        except CallerDisconnected:
            return
        except Exception:
            logger.exception("The connection from {} failed.", self.peer)
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket; closing it again has no effect."""
        if self.closed:
            return
        self.closed = True
        self.listener.connections.discard(self)
        self.mark_busy()
        self.requests.close()
        # A shutdown would close the connection in order.
        if not self.resets:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless it carries a request.

        Unread bytes belong to a request that was sent at the same time; it is
        read and answered first.
        """
        requests = self.requests
        if not self.is_idle or requests.received:
            return
        if requests.reader.closed or requests.reader.is_quiet():
            self.shut_down()

    def refuse_unread(self, error: errors.Draining) -> None:
        """Refuses a request of which only a part has arrived."""
        requests = self.requests
        is_reading = not self.is_idle or bool(requests.received)
        if is_reading and self.handler is None and self.writer is None:
            greenthread.kill(self.thread, error)

    def shut_down(self) -> None:
        """Ends the connection; the green thread serving it closes the socket.

        If the socket were closed while that thread waits on it, its file
        descriptor could be reused while the hub still has the old listener.
        """
        self.ended = True
        if self.resets and self.handler is not None:
            self._kill_handler()
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _serve_request(self) -> bool:
        """Handles one request; returns whether another may follow."""
        if self.was_used:
            self.listener.resting[self] = None
        self.request = None
        self.writer = None
        self.on_blocked = None
        limits = self.listener.limits
        requests = self.requests
        try:
            requests.begin()
            if not requests.wait(lambda: limits().idle_seconds):
                return False
            # The limits may have changed while the connection was idle.
            request = requests.read(limits(), self._send_continue)
        except http1_heads.ProtocolError as error:
            self._send_error(error.status, str(error))
            return False
        except http1_framing.InvalidBody as error:
            self._send_error(_STATUS_INVALID, f"Invalid request: {error}.")
            return False
        except errors.TooLarge as error:
            self._send_error(error.status, error.detail)
            return False
        except http1_requests.RequestRefused as error:
            self._send_error(
                _STATUS_REFUSED, str(error), _REFUSED_RETRY_SECONDS
            )
            return False
        except errors.Draining as error:
            self._send_error(error.status, error.detail, error.retry_after)
            return False
        except TimeoutError:
            if not self.is_idle or requests.received:
                self._send_error(
                    _STATUS_TOO_SLOW,
                    "The rest of the request did not arrive within "
                    f"{self.listener.limits().header_seconds:g} s.",
                )
            return False
        if self.ended:
            # A request that arrived while the connection was being closed can
            # no longer be answered, so it must not run.
            return False
        self.was_used = True
        self.mark_busy()
        self.listener.active += 1
        try:
            self._handle(request)
        finally:
            self.listener.active -= 1
            self.request = None
        if requests.has_yielded:
            return False
        return self.writer is not None and self.writer.allows_another()

    def mark_busy(self) -> None:
        """Records that the connection doesn't give way for another one."""
        self.listener.unproven.pop(self, None)
        self.listener.resting.pop(self, None)

    def _report_dropped(self, dropped: http1_requests.Dropped) -> None:
        self.listener.on_yielded(Yielded(self.peer, MEMORY, dropped))

    def _send_continue(self) -> None:
        self._send_bytes(_CONTINUE)

    def _handle(self, request: Request) -> None:
        if self.requests.reader.closed:
            raise CallerDisconnected
        self.request = request
        self.handler = eventlet.getcurrent()
        try:
            self.listener.handler(request, Reply(self))
        finally:
            self.handler = None

    def _kill_handler(self) -> None:
        """Ends the handler because the caller has disconnected."""
        if self.handler is not None:
            greenthread.kill(self.handler, CallerDisconnected())

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        reason: str,
        body: bytes,
    ) -> None:
        """Sends the head and the first part of the body in one write."""
        keep_alive = (
            self.listener.keep_alive() and not self.requests.has_yielded
        )
        self.writer = http1_responses.ResponseWriter(
            self.requests.head, status, headers, keep_alive
        )
        if self.writer.ends_with_connection:
            # Otherwise the caller would take a broken response for a whole
            # one, also if this process is killed.
            self._reset_on_close(True)
        self._send_bytes(
            self.writer.start(status, reason) + self.writer.body(body)
        )

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._send_bytes(self.writer.body(data))

    def end(self) -> None:
        """Sends the end of the body."""
        self._send_bytes(self.writer.end())
        if self.writer.ends_with_connection:
            self._reset_on_close(False)

    def _reset_on_close(self, resets: bool) -> None:
        """Sets whether the end of the connection resets it."""
        self.resets = resets
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_ON_CLOSE if resets else _CLOSE_IN_ORDER,
            )

    def _send_bytes(self, data: bytes) -> None:
        """Sends bytes; waits while the socket's buffer is full."""
        if not data:
            return
        try:
            sent = self.sock.fd.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._send_slowly(memoryview(data)[sent:])

    def _send_slowly(self, data: memoryview) -> None:
        """Sends bytes as the caller reads.

        Raises:
            CallerStalled: The caller doesn't read.
            OSError: The connection failed.
        """
        unsent = self.listener.unsent
        self.progress_at = time.monotonic()
        try:
            while data:
                while stalled := unsent.set(self, len(data)):
                    self._end_for_full_buffers(stalled)
                self._await_writable(len(data))
                try:
                    data = data[self.sock.fd.send(data) :]
                    self.progress_at = time.monotonic()
                except BlockingIOError:
                    continue
        finally:
            unsent.set(self, 0)

    def _await_writable(self, size: int) -> None:
        """Waits until the socket takes bytes.

        Raises:
            CallerStalled: The caller has not read for `_STALL_SECONDS`.
        """
        # Checks in a row without progress, counted instead of the time: a pause
        # of this process isn't taken for a caller that stopped.
        blocked = 0
        queued = unsent_bytes.in_kernel(self.sock.fileno())
        while True:
            try:
                hubs.trampoline(
                    self.sock.fileno(),
                    write=True,
                    timeout=_BLOCKED_SECONDS,
                    timeout_exc=TimeoutError,
                )
            except TimeoutError:
                if self.on_blocked is not None:
                    self.on_blocked()
                before = queued
                queued = unsent_bytes.in_kernel(self.sock.fileno())
                # The kernel takes bytes again only after a third of its buffer,
                # of some MB, was read. A caller that reads slowly would seem to
                # have stopped meanwhile.
                if queued < before:
                    blocked = 0
                    self.progress_at = time.monotonic()
                    continue
                blocked += 1
                if blocked * _BLOCKED_SECONDS >= _STALL_SECONDS:
                    self._record_stall(NO_PROGRESS, size)
                    raise CallerStalled from None
            else:
                return

    def _end_for_full_buffers(self, connection: "Connection") -> None:
        """Ends the response that holds the most unsent bytes.

        Raises:
            CallerStalled: It is this one.
        """
        size = self.listener.unsent.sizes[connection]
        connection._record_stall(BUFFERS_FULL, size)
        if connection is self:
            raise CallerStalled
        self.listener.unsent.set(connection, 0)
        if connection.handler is None:
            connection.shut_down()
        else:
            greenthread.kill(connection.handler, CallerStalled())

    def _record_stall(self, reason: str, size: int) -> None:
        """Reports a stall, and lets the close reset the connection."""
        self._reset_on_close(True)
        waited = time.monotonic() - self.progress_at
        self.listener.on_stalled(
            Stall(self.request, self.peer, reason, size, waited)
        )

    def _send_error(
        self, status: int, text: str, retry_after: float = 0.0
    ) -> None:
        """Sends an error response to a request that could not be read."""
        body = (text + "\n").encode()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            http1_responses.CONNECTION_CLOSE,
        ]
        if retry_after:
            headers.append(("retry-after", f"{retry_after:g}"))
        self.requests.discard()
        with contextlib.suppress(OSError, CallerStalled):
            self.start(status, headers, "", body)
            self.end()
            self._discard_rest()

    def _discard_rest(self) -> None:
        """Reads and drops what the caller still sends.

        The close of a socket with unread bytes resets the connection. A caller
        that sends its whole request before it reads would lose the response.
        """
        if self.listener.discarding >= _MAX_DISCARDING:
            return
        self.sock.shutdown(socket.SHUT_WR)
        reader = self.requests.reader
        self.listener.discarding += 1
        try:
            with eventlet.Timeout(_DISCARD_SECONDS, TimeoutError):
                while not reader.closed:
                    reader.read()
        finally:
            self.listener.discarding -= 1
