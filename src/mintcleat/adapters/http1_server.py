"""An HTTP/1.1 server for requests that are passed on, on h11 and eventlet.

eventlet's WSGI server can't tell that a caller has left while an answer is
being made, can't break an answer off, and hides header fields; the entry
needs all three. h11 does the parsing and the framing.
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

_BLOCK = 64 * 1024
_CLOSING = ("connection", "close")
# A caller that takes nothing for so long keeps its answer's memory for good.
_WRITE_SECONDS = 20.0


class CallerLeft(BaseException):
    """The caller closed its connection while its request was under way.

    Not an Exception, so that no handler on the way takes it for a failure of
    what it asked and goes on.
    """


class Request(NamedTuple):
    """A request as it came; header names in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str

    def header(self, name: str) -> str:
        """Returns the first value of a header, or an empty text."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


class Reply:
    """The answer to one request.

    Attributes:
        started: Whether its head was sent.
        ended: Whether it was sent whole.
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
        """Sends a whole answer."""
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
        """Sends the head; without a length among them the body is chunked."""
        self.started = True
        self.connection.start(status, headers, reason, body)

    def write(self, data: bytes) -> None:
        """Sends a piece of the body at once."""
        self.connection.write(data)

    def end(self) -> None:
        """Ends the answer."""
        self.connection.end()
        self.ended = True


Handler = Callable[[Request, Reply], None]


class HttpListener:
    """Serves one address.

    Attributes:
        address: `IP:PORT` that it listens on.
        active: Requests that were read and are not answered yet.
        keeps: Asked at each answer: whether its connection stays open.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        limits: Callable[[], manifest.Limits] = manifest.Limits,
        keeps: Callable[[], bool] = lambda: True,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.keeps = keeps
        # Seconds pass before a caller tries again to open a connection that
        # found the queue full.
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
        """Stops accepting, and closes the connections without a request."""
        self.acceptor.kill()
        self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Closes everything."""
        self.close_idle()
        for connection in list(self.connections):
            connection.hang_up()

    def _accept_forever(self) -> None:
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                # Out of descriptors, or the caller left before the accept.
                logger.warning("accept on {}: {}", self.address, error)
                eventlet.sleep(0.05)
                continue
            connection = _Connection(self, sock, f"{peer[0]}:{peer[1]}")
            self.connections.add(connection)
            eventlet.spawn(connection.serve)


class _Connection:
    """One caller's connection; one request at a time."""

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
        """Answers requests until one side closes."""
        try:
            while self._serve_one():
                self.http.start_next_cycle()
        except (OSError, h11.ProtocolError, EOFError, TimeoutError):
            return
        except CallerLeft:
            return
        except Exception:
            logger.exception("A connection of {} failed.", self.peer)
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket; safe to repeat."""
        if self.closed:
            return
        self.closed = True
        self.listener.connections.discard(self)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless it carries a request.

        Bytes that wait unread are a request that crosses the close: it is
        read and answered first.
        """
        if not self.idle or self.http.trailing_data[0]:
            return
        with contextlib.suppress(OSError):
            waiting = self.sock.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
            if waiting:
                return
        self.hang_up()

    def hang_up(self) -> None:
        """Ends the connection; the thread that serves it closes the socket.

        Closed under a thread that waits on it, the descriptor's number goes
        to the next connection while the hub still holds the old waiter.
        """
        self.ended = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _serve_one(self) -> bool:
        """Answers one request; tells whether another may follow."""
        limits = self.listener.limits()
        self.idle = True
        try:
            request = self._read(limits)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
            return False
        except errors.TooLarge as error:
            self._refuse(error.status, error.detail)
            return False
        if request is None or self.ended:
            # A request that came as the connection was closed has no way back
            # for its answer, so it must not run.
            return False
        self.idle = False
        self.listener.active += 1
        try:
            self._answer(request)
        finally:
            self.listener.active -= 1
        done = self.http.our_state is h11.DONE
        return done and self.http.their_state is h11.DONE

    def _answer(self, request: Request) -> None:
        reply = Reply(self)
        thread = eventlet.getcurrent()
        watcher = eventlet.spawn(self._watch, thread)
        try:
            self.listener.handler(request, reply)
        finally:
            watcher.kill()

    def _watch(self, thread: Any) -> None:
        """Ends the handler when the caller leaves; bytes end the watch."""
        try:
            hubs.trampoline(self.sock.fileno(), read=True)
            if self.sock.fd.recv(1, socket.MSG_PEEK):
                return
        except OSError:
            pass
        greenthread.kill(thread, CallerLeft())

    def _read(self, limits: manifest.Limits) -> Request | None:
        """Returns the next request; None when the caller is done."""
        head = None
        body: list[bytes] = []
        size = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._send(
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
                        f"A body of over {limits.body_bytes} bytes."
                    )
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return _request(head, b"".join(body), self.peer)
            else:
                return None

    def _receive(self, limits: manifest.Limits, begun: bool) -> None:
        begun = begun or bool(self.http.trailing_data[0])
        seconds = limits.header_seconds if begun else limits.idle_seconds
        with eventlet.Timeout(seconds, TimeoutError):
            self.http.receive_data(self.sock.recv(_BLOCK))

    def start(
        self,
        status: int,
        headers: list[tuple[str, str]],
        reason: str,
        body: bytes,
    ) -> None:
        """Sends the head and what there is of the body in one write."""
        if not self.listener.keeps():
            headers = [*headers, _CLOSING]
        head = h11.Response(
            status_code=status, headers=headers, reason=reason.encode()
        )
        data = self.http.send(head)
        if body:
            data += self.http.send(h11.Data(data=body))
        self._write(data)

    def write(self, data: bytes) -> None:
        """Sends a piece of the body."""
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the body."""
        self._send(h11.EndOfMessage())

    def _send(self, event: Any) -> None:
        data = self.http.send(event)
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        with contextlib.suppress(BlockingIOError):
            data = data[self.sock.fd.send(data) :]
        if not data:
            return
        with eventlet.Timeout(_WRITE_SECONDS, TimeoutError):
            self.sock.sendall(data)

    def _refuse(self, status: int, text: str) -> None:
        """Answers what could not be read, and closes."""
        body = (text + "\n").encode()
        headers = [
            ("content-type", "text/plain"),
            ("content-length", str(len(body))),
            _CLOSING,
        ]
        with contextlib.suppress(OSError, h11.ProtocolError, TimeoutError):
            self.start(status, headers, "", body)
            self.end()


def _request(head: Any, body: bytes, peer: str) -> Request:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    return Request(
        head.method.decode(), head.target.decode(), headers, body, peer
    )
