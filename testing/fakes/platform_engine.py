"""A stand-in for an upstream of the platform, by its published protocol.

A script answers each request; faults are scripts too. The engine records the
requests that began to run.
"""

from collections.abc import Callable
import contextlib
import json
import socket
from typing import Any

import eventlet
import h11

ANY = "127.0.0.1:0"
REPORT_PATH = "/v1/report"
_BLOCK = 65536
# Time for which a request runs before it crashes its engine.
CRASH_SECONDS = 0.05


class ReceivedRequest:
    """A request that began to run.

    Attributes:
        dropped: Whether its connection failed while it ran.
    """

    def __init__(self, head: h11.Request, body: bytes) -> None:
        self.method = head.method.decode()
        self.target = head.target.decode()
        self.headers = {
            name.decode(): value.decode() for name, value in head.headers
        }
        self.body = body
        self.dropped = False

    @property
    def request(self) -> str:
        return self.headers["x-request-id"]


class Connection:
    """A caller's connection, with methods for the scripts."""

    def __init__(self, engine: "Engine", sock: Any) -> None:
        self.engine = engine
        self.sock = sock
        self.http = h11.Connection(h11.SERVER)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def head(
        self, received: ReceivedRequest, extra: dict[str, str] | None = None
    ) -> bytes:
        fields = {
            "X-Request-Id": received.request,
            "X-Response-Signature": f"sig-{self.engine.name}",
            **(extra or {}),
        }
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        return ("HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n").encode()

    def answer(self, received: ReceivedRequest, body: bytes) -> None:
        length = {"Content-Length": str(len(body))}
        self.send(self.head(received, length) + body)

    def begin_stream(self, received: ReceivedRequest) -> None:
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        self.send(self.head(received, fields))

    def chunk(self, data: bytes) -> None:
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        self.send(b"0\r\n\r\n")

    def refuse(self, received: ReceivedRequest, status: int) -> None:
        self.send(
            f"HTTP/1.1 {status} No\r\nX-Request-Id: {received.request}\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def drop(self) -> None:
        """Ends the connection, also while another green thread reads it.

        Closing the socket then would end whatever gets its descriptor next.
        """
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
        self.sock.close()


Script = Callable[[Connection, ReceivedRequest], bool]


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def whole(connection: Connection, received: ReceivedRequest) -> bool:
    connection.answer(
        received, f"{connection.engine.name} {received.target}".encode()
    )
    return True


def versioned_event(number: int, version: str) -> bytes:
    return f"id: {number}\ndata: {version}\n\n".encode()


def cut_stream(
    count: int = 4,
    cut_at: int = 2,
    before_cut: Callable[[], None] | None = None,
) -> Script:
    """Returns a script whose new streams are cut after an event.

    Those that are taken up go on to their end. Each event names the version of
    the engine's software.

    Args:
        count: Number of the last event.
        cut_at: Number of the event after which a new stream is closed, without
            its last chunk.
        before_cut: Called before that.
    """

    def run(connection: Connection, received: ReceivedRequest) -> bool:
        last = int(received.headers.get("last-event-id", "0"))
        connection.begin_stream(received)
        for number in range(last + 1, count + 1):
            version = connection.engine.version
            connection.chunk(versioned_event(number, version))
            if not last and number == cut_at:
                if before_cut is not None:
                    before_cut()
                return False
        connection.end_stream()
        return True

    return run


def crash_on(word: str, script: Script = whole) -> Script:
    """Returns a script that crashes the engine for targets with the word."""

    def run(connection: Connection, received: ReceivedRequest) -> bool:
        if word in received.target:
            eventlet.sleep(CRASH_SECONDS)
            connection.engine.crash()
            return False
        return script(connection, received)

    return run


def stream(count: int = 3, pause: float = 0.0) -> Script:
    """Returns a script that sends the events after Last-Event-Id.

    Args:
        count: Number of the last event.
        pause: Seconds after each event.
    """

    def run(connection: Connection, received: ReceivedRequest) -> bool:
        first = int(received.headers.get("last-event-id", "0")) + 1
        connection.begin_stream(received)
        for number in range(first, count + 1):
            connection.chunk(event(number))
            eventlet.sleep(pause)
        connection.end_stream()
        return True

    return run


class Engine:
    """One upstream.

    Attributes:
        script: Handles a request; returns whether the connection stays open.
        received: Requests that began to run.
        misdirected: Number of requests for another upstream at this address.
        started: Start time in ms since 1970; 0 if it is not reported.
        version: Version of its software.
        report_fields: Further header fields of its reports on itself.
        before_report: What it sends before them.
        report_seconds: How late it reports.
        connections: Number of accepted connections.
        open: Accepted connections that have not been closed.
        crashed: Whether it has ended with all it ran.
    """

    def __init__(self, name: str, script: Script = whole) -> None:
        self.name = name
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.misdirected = 0
        self.started = 0
        self.version = "v1"
        self.report_fields = b""
        self.before_report = b""
        self.report_seconds = 0.0
        self.connections = 0
        self.open: set[Connection] = set()
        self.crashed = False
        self.listener = eventlet.listen(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        self.thread.kill()
        self.listener.close()

    def crash(self) -> None:
        """Ends as a killed process does: nothing listens, all is reset."""
        self.crashed = True
        self.stop()
        for connection in list(self.open):
            connection.drop()

    def heartbeat(
        self, service: str, sequence: int, state: str = "ready"
    ) -> dict[str, Any]:
        born = {"born": self.started} if self.started else {}
        return {
            **born,
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": 4,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": sequence,
        }

    def _answer_report(self, connection: Connection) -> bool:
        eventlet.sleep(self.report_seconds)
        born = {"born": self.started} if self.started else {}
        body = json.dumps({**born, "busy": False, "activeCount": 0}).encode()
        connection.send(
            b"%bHTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%b"
            b"Content-Length: %d\r\n\r\n%b"
            % (self.before_report, self.report_fields, len(body), body)
        )
        return b"close" not in self.report_fields

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            connection = Connection(self, sock)
            self.open.add(connection)
            eventlet.spawn(self._serve, connection)

    def _serve(self, connection: Connection) -> None:
        try:
            while self._serve_one(connection):
                connection.http = h11.Connection(h11.SERVER)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.open.discard(connection)
            connection.sock.close()

    def _serve_one(self, connection: Connection) -> bool:
        head, body = None, b""
        while True:
            item = connection.http.next_event()
            if item is h11.NEED_DATA:
                connection.http.receive_data(connection.sock.recv(_BLOCK))
            elif isinstance(item, h11.Request):
                head = item
            elif isinstance(item, h11.Data):
                body += bytes(item.data)
            elif isinstance(item, h11.EndOfMessage):
                break
            else:
                return False
        received = ReceivedRequest(head, body)
        is_expected = (
            received.headers.get("x-expect-instance", self.name) == self.name
        )
        if received.target == REPORT_PATH and is_expected:
            return self._answer_report(connection)
        if not is_expected:
            self.misdirected += 1
            connection.send(
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                b"X-Instance-Id: other\r\n\r\n"
            )
            return True
        self.received.append(received)
        try:
            return self.script(connection, received)
        except OSError:
            received.dropped = True
            raise
