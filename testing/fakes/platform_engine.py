"""A stand-in for an upstream of the platform, by its published protocol.

It answers with what its script says for a path's last part, and counts what
it began to run. Faults are scripts of their own.
"""

from collections.abc import Callable
import contextlib
import socket
from typing import Any

import eventlet
import h11

ANY = "127.0.0.1:0"
_BLOCK = 65536


class Seen:
    """One request that began to run."""

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


class Talk:
    """One connection of a caller, for the scripts."""

    def __init__(self, engine: "Engine", sock: Any) -> None:
        self.engine = engine
        self.sock = sock
        self.http = h11.Connection(h11.SERVER)

    def raw(self, data: bytes) -> None:
        self.sock.sendall(data)

    def head(self, seen: Seen, extra: dict[str, str] | None = None) -> bytes:
        fields = {
            "X-Request-Id": seen.request,
            "X-Response-Signature": f"sig-{self.engine.name}",
            **(extra or {}),
        }
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        return ("HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n").encode()

    def answer(self, seen: Seen, body: bytes) -> None:
        length = {"Content-Length": str(len(body))}
        self.raw(self.head(seen, length) + body)

    def begin_stream(self, seen: Seen) -> None:
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        self.raw(self.head(seen, fields))

    def chunk(self, data: bytes) -> None:
        self.raw(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        self.raw(b"0\r\n\r\n")

    def refuse(self, seen: Seen, status: int) -> None:
        self.raw(
            f"HTTP/1.1 {status} No\r\nX-Request-Id: {seen.request}\r\n"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def reset(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
        self.sock.close()


Script = Callable[[Talk, Seen], bool]


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def whole(talk: Talk, seen: Seen) -> bool:
    talk.answer(seen, f"{talk.engine.name} {seen.target}".encode())
    return True


def stream(count: int = 3, pause: float = 0.0) -> Script:
    """Events from the one after Last-Event-Id on."""

    def run(talk: Talk, seen: Seen) -> bool:
        first = int(seen.headers.get("last-event-id", "0")) + 1
        talk.begin_stream(seen)
        for number in range(first, count + 1):
            talk.chunk(event(number))
            eventlet.sleep(pause)
        talk.end_stream()
        return True

    return run


class Engine:
    """One upstream.

    Attributes:
        script: What it does with a request; True keeps the connection.
        seen: Requests that began to run.
        misdirected: Requests for another upstream at this address.
        started: When it started, in ms since 1970; 0 for one that does not
            tell.
    """

    def __init__(self, name: str, script: Script = whole) -> None:
        self.name = name
        self.script = script
        self.seen: list[Seen] = []
        self.misdirected = 0
        self.started = 0
        self.connections = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        self.thread.kill()
        self.listener.close()

    def heartbeat(
        self, service: str, sequence: int, state: str = "ready"
    ) -> dict[str, Any]:
        born = {"born": self.started} if self.started else {}
        return {
            **born,
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": sequence,
        }

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            eventlet.spawn(self._serve, Talk(self, sock))

    def _serve(self, talk: Talk) -> None:
        try:
            while self._serve_one(talk):
                talk.http = h11.Connection(h11.SERVER)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            talk.sock.close()

    def _serve_one(self, talk: Talk) -> bool:
        head, body = None, b""
        while True:
            item = talk.http.next_event()
            if item is h11.NEED_DATA:
                talk.http.receive_data(talk.sock.recv(_BLOCK))
            elif isinstance(item, h11.Request):
                head = item
            elif isinstance(item, h11.Data):
                body += bytes(item.data)
            elif isinstance(item, h11.EndOfMessage):
                break
            else:
                return False
        seen = Seen(head, body)
        if seen.headers.get("x-expect-instance", self.name) != self.name:
            self.misdirected += 1
            talk.raw(
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                b"X-Instance-Id: other\r\n\r\n"
            )
            return True
        self.seen.append(seen)
        try:
            return self.script(talk, seen)
        except OSError:
            seen.dropped = True
            raise
