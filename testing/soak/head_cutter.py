"""A proxy that spoils chosen answers.

It stops within their heads, replaces their statuses, adds lines to their heads,
or answers itself before it has read the request.
"""

import contextlib
import re
import socket
import struct
import threading
from typing import NamedTuple

QUIET = "quiet"
HALF = "half"
RESET = "reset"
ENDS = (QUIET, HALF, RESET)
_BLOCK = 65536
_BLANK_LINE = b"\r\n\r\n"
# A green socket that another thread closes raises EOFError.
_ENDED = (OSError, EOFError)
NO_LINGER = struct.pack("ii", 1, 0)
_RECEIVE_BUFFER_BYTES = 64 * 1024


class Cut(NamedTuple):
    """Where answers stop.

    Attributes:
        requests: What the requests begin with whose answers stop, as a regular
            expression.
        size: Bytes of the answer that are passed on.
        end: How the connection ends then: closed in order, half-closed or
            reset.
        once: Whether only the first answer stops.
    """

    requests: bytes
    size: int
    end: str = QUIET
    once: bool = False


class Status(NamedTuple):
    """A status that replaces that of answers, which are else passed on whole.

    Attributes:
        requests: What the requests begin with whose answers get it, as a
            regular expression.
        text: What follows the version of the protocol.
        once: Whether only the first answer gets it.
    """

    requests: bytes
    text: bytes
    once: bool = False


class Line(NamedTuple):
    """A line that is added to the heads of answers.

    Attributes:
        requests: What the requests begin with whose answers get it, as a
            regular expression.
        text: The line, without its end.
        is_last: Whether it comes after the other lines; else before them.
        once: Whether only the first answer gets it.
    """

    requests: bytes
    text: bytes
    is_last: bool
    once: bool = False


class Early(NamedTuple):
    """An answer that comes before the request was read, in place of another.

    Attributes:
        requests: What the requests begin with that get it, as a regular
            expression.
        answer: What is sent.
        is_reset: Whether the connection is reset after it; else it is closed in
            order, and the rest of the request is read.
        once: Whether only the first request gets it.
    """

    requests: bytes
    answer: bytes
    is_reset: bool
    once: bool = False


Fault = Cut | Status | Line | Early


class Cutter:
    """Passes requests and answers on, and spoils the answers it is told to.

    Requests must come one at a time on a connection, and their first bytes in
    one piece.

    Attributes:
        address: `IP:PORT` that it listens on.
        fault: How it spoils answers; None for not at all.
        count: Answers that were spoilt.
        requests: First lines of the requests that it has passed on.
        heads: Sizes of the whole heads that it has passed on, by the first line
            of the request.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.fault: Fault | None = None
        self.count = 0
        self.requests: list[bytes] = []
        self.heads: dict[bytes, int] = {}
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        # Most of a large upload stays with its sender while it isn't read.
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self.listener.close()

    def take(self, first_line: bytes) -> Fault | None:
        """Returns what spoils the answer to a request; None for nothing."""
        with self.lock:
            self.requests.append(first_line)
            fault = self.fault
            if fault is None or not re.match(fault.requests, first_line):
                return None
            if fault.once:
                self.fault = None
            self.count += 1
            return fault

    def _accept(self) -> None:
        with contextlib.suppress(*_ENDED):
            while True:
                sock, _ = self.listener.accept()
                _Connection(self, sock).start()


class _Connection:
    """A connection through the proxy."""

    def __init__(self, cutter: Cutter, client: socket.socket) -> None:
        self.cutter = cutter
        self.client = client
        self.server: socket.socket | None = None
        self.first_line = b""
        self.answer = b""
        self.fault: Fault | None = None
        self.is_asking = False

    def start(self) -> None:
        try:
            self.server = socket.create_connection(self.cutter.target)
        except OSError:
            self.client.close()
            return
        for sock in (self.client, self.server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for run in (self._pass_requests, self._pass_answers):
            threading.Thread(target=run, daemon=True).start()

    def _pass_requests(self) -> None:
        with contextlib.suppress(*_ENDED):
            while data := self.client.recv(_BLOCK):
                if not self.is_asking:
                    self.is_asking = True
                    self.first_line = data.partition(b"\r\n")[0]
                    self.answer = b""
                    self.fault = self.cutter.take(self.first_line)
                if isinstance(self.fault, Early):
                    self._answer_early(self.fault)
                    break
                self.server.sendall(data)
        with contextlib.suppress(*_ENDED):
            self.server.shutdown(socket.SHUT_WR)

    def _pass_answers(self) -> None:
        with contextlib.suppress(*_ENDED):
            while data := self.server.recv(_BLOCK):
                self.is_asking = False
                if isinstance(self.fault, Status | Line):
                    data = self._changed(self.fault, data)
                elif self.fault is not None:
                    left = self.fault.size - len(self.answer)
                    self.answer += data[:left]
                    self.client.sendall(data[:left])
                    if len(self.answer) == self.fault.size:
                        self._stop()
                        break
                    continue
                if _BLANK_LINE not in self.answer:
                    self.answer += data
                    end = self.answer.find(_BLANK_LINE)
                    if end >= 0:
                        size = end + len(_BLANK_LINE)
                        self.cutter.heads[self.first_line] = size
                self.client.sendall(data)
        self._close()

    def _answer_early(self, early: Early) -> None:
        """Answers while the rest of the request is on its way."""
        self.client.sendall(early.answer)
        if early.is_reset:
            self._reset()
            return
        self.client.shutdown(socket.SHUT_WR)
        while self.client.recv(_BLOCK):
            pass

    def _changed(self, fault: Status | Line, data: bytes) -> bytes:
        """Returns what is passed on of an answer whose head is changed."""
        if _BLANK_LINE in self.answer:
            return data
        self.answer += data
        if _BLANK_LINE not in self.answer:
            return b""
        head, end, body = self.answer.partition(_BLANK_LINE)
        first, *lines = head.split(b"\r\n")
        match fault:
            case Status(text=text):
                first = first.partition(b" ")[0] + b" " + text
            case Line(text=text, is_last=is_last):
                lines.insert(len(lines) if is_last else 0, text)
        return b"\r\n".join([first, *lines]) + end + body

    def _reset(self) -> None:
        self.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.client.close()

    def _stop(self) -> None:
        """Ends the client's connection as the cut says."""
        with contextlib.suppress(*_ENDED):
            match self.fault.end:
                case "half":
                    self.client.shutdown(socket.SHUT_WR)
                case "reset":
                    self._reset()
                case _:
                    self.client.shutdown(socket.SHUT_RDWR)

    def _close(self) -> None:
        """Ends both connections; a half-closed one by its client."""
        if not isinstance(self.fault, Cut):
            with contextlib.suppress(*_ENDED):
                self.client.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(*_ENDED):
            self.server.close()
