"""An HTTP/1.1 server for forwarded requests, on h11 and eventlet.

eventlet's WSGI server cannot detect that a caller disconnects before its
response is complete, cannot abort a response and does not expose all header
fields; the entry needs all three.
"""

from collections.abc import Callable
import contextlib
import socket
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import greenthread
from eventlet import hubs
import h11
from loguru import logger

from mintcleat.adapters import streams
from mintcleat.domain import errors
from mintcleat.domain import manifest

_READ_BYTES = 64 * 1024
_CONNECTION_CLOSE = ("connection", "close")
# Bounds how long a caller that does not read holds the memory of its response.
_WRITE_TIMEOUT_SECONDS = 20.0


class CallerDisconnected(BaseException):
    """The caller closed its connection before its request was answered.

    Not an Exception, so that no `except Exception` clause of a handler mistakes
    it for a failed call and continues.
    """


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


class Reply:
    """The response to one request.

    Attributes:
        started: Whether the head has been sent.
        ended: Whether the whole response has been sent.
    """

    def __init__(self, connection: "_Connection") -> None:
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
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        limits: Callable[[], manifest.Limits] = manifest.Limits,
        keep_alive: Callable[[], bool] = lambda: True,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.keep_alive = keep_alive
        # If the backlog is full, a caller retransmits its connection request
        # only after seconds.
        self.listener = eventlet.listen(
            streams.split_address(listen), backlog=2048
        )
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.active = 0
        self.connections: set[_Connection] = set()
        self.acceptor = eventlet.spawn(self._accept_forever)

    def close_idle(self) -> None:
        """Stops accepting connections and closes those that are idle."""
        self.acceptor.kill()
        self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()

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
                eventlet.sleep(0.05)
                continue
            connection = _Connection(self, sock, f"{peer[0]}:{peer[1]}")
            self.connections.add(connection)
            eventlet.spawn(connection.serve)


class _Connection:
    """A caller's connection, which carries one request at a time."""

    def __init__(self, listener: HttpListener, sock: Any, peer: str) -> None:
        self.listener = listener
        self.sock = sock
        self.peer = peer
        limits = listener.limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.idle = True
        self.ended = False
        self.closed = False

    def serve(self) -> None:
        """Handles requests until one side closes the connection."""
        try:
            while self._serve_request():
                self.http.start_next_cycle()
        except (OSError, h11.ProtocolError, EOFError, TimeoutError):
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
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless it carries a request.

        Unread bytes belong to a request that was sent at the same time; it is
        read and answered first.
        """
        if not self.idle or self.http.trailing_data[0]:
            return
        with contextlib.suppress(OSError):
            unread = self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if unread:
                return
        self.shut_down()

    def shut_down(self) -> None:
        """Ends the connection; the green thread serving it closes the socket.

        If the socket were closed while that thread waits on it, its file
        descriptor could be reused while the hub still has the old listener.
        """
        self.ended = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _serve_request(self) -> bool:
        """Handles one request; returns whether another may follow."""
        limits = self.listener.limits()
        self.idle = True
        try:
            request = self._read(limits)
        except h11.RemoteProtocolError as error:
            self._send_error(error.error_status_hint, str(error))
            return False
        except errors.TooLarge as error:
            self._send_error(error.status, error.detail)
            return False
        if request is None or self.ended:
            # A request that arrived while the connection was being closed can
            # no longer be answered, so it must not run.
            return False
        self.idle = False
        self.listener.active += 1
        try:
            self._handle(request)
        finally:
            self.listener.active -= 1
        done = self.http.our_state is h11.DONE
        return done and self.http.their_state is h11.DONE

    def _handle(self, request: Request) -> None:
        reply = Reply(self)
        thread = eventlet.getcurrent()
        watcher = eventlet.spawn(self._watch_caller, thread)
        try:
            self.listener.handler(request, reply)
        finally:
            watcher.kill()

    def _watch_caller(self, thread: Any) -> None:
        """Kills the handler if the caller disconnects; ends if data comes."""
        try:
            hubs.trampoline(self.sock.fileno(), read=True)
            if self.sock.fd.recv(1, socket.MSG_PEEK):
                return
        except OSError:
            pass
        greenthread.kill(thread, CallerDisconnected())

    def _read(self, limits: manifest.Limits) -> Request | None:
        """Returns the next request, or None if the caller closed."""
        head = None
        body: list[bytes] = []
        size = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._send_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                self._receive(limits, head is not None)
            elif isinstance(event, h11.Request):
                head = event
                self.idle = False
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise errors.TooLarge(
                        f"The body exceeds {limits.body_bytes} bytes."
                    )
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return _to_request(head, b"".join(body), self.peer)
            else:
                return None

    def _receive(self, limits: manifest.Limits, started: bool) -> None:
        started = started or bool(self.http.trailing_data[0])
        seconds = limits.header_seconds if started else limits.idle_seconds
        with eventlet.Timeout(seconds, TimeoutError):
            self.http.receive_data(self.sock.recv(_READ_BYTES))

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        reason: str,
        body: bytes,
    ) -> None:
        """Sends the head and the first part of the body in one write."""
        if not self.listener.keep_alive():
            headers = [*headers, _CONNECTION_CLOSE]
        head = h11.Response(
            status_code=status, headers=headers, reason=reason.encode()
        )
        data = self.http.send(head)
        if body:
            data += self.http.send(h11.Data(data=body))
        self._send_bytes(data)

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._send_event(h11.Data(data=data))

    def end(self) -> None:
        """Sends the end of the body."""
        self._send_event(h11.EndOfMessage())

    def _send_event(self, event: Any) -> None:
        data = self.http.send(event)
        if data:
            self._send_bytes(data)

    def _send_bytes(self, data: bytes) -> None:
        with contextlib.suppress(BlockingIOError):
            data = data[self.sock.fd.send(data) :]
        if not data:
            return
        with eventlet.Timeout(_WRITE_TIMEOUT_SECONDS, TimeoutError):
            self.sock.sendall(data)

    def _send_error(self, status: int, text: str) -> None:
        """Sends an error response to a request that could not be read."""
        body = (text + "\n").encode()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            _CONNECTION_CLOSE,
        ]
        with contextlib.suppress(OSError, h11.ProtocolError, TimeoutError):
            self.start(status, headers, "", body)
            self.end()


def _to_request(head: Any, body: bytes, peer: str) -> Request:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    return Request(
        head.method.decode(), head.target.decode(), headers, body, peer
    )
