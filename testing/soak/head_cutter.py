"""A proxy that spoils the heads of chosen answers.

It stops within them, or replaces their statuses.
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


class Cutter:
    """Passes requests and answers on, and spoils the answers it is told to.

    Requests must come one at a time on a connection, and their first bytes in
    one piece.

    Attributes:
        address: `IP:PORT` that it listens on.
        cut: What it cuts or replaces; None for nothing.
        count: Answers that were cut, or had their status replaced.
        requests: First lines of the requests that it has passed on.
        heads: Sizes of the whole heads that it has passed on, by the first line
            of the request.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.cut: Cut | Status | None = None
        self.count = 0
        self.requests: list[bytes] = []
        self.heads: dict[bytes, int] = {}
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self.listener.close()

    def take(self, first_line: bytes) -> Cut | Status | None:
        """Returns what spoils the answer to a request; None for nothing."""
        with self.lock:
            self.requests.append(first_line)
            cut = self.cut
            if cut is None or not re.match(cut.requests, first_line):
                return None
            if cut.once:
                self.cut = None
            self.count += 1
            return cut

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
        self.cut: Cut | Status | None = None
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
                    self.cut = self.cutter.take(self.first_line)
                self.server.sendall(data)
        with contextlib.suppress(*_ENDED):
            self.server.shutdown(socket.SHUT_WR)

    def _pass_answers(self) -> None:
        with contextlib.suppress(*_ENDED):
            while data := self.server.recv(_BLOCK):
                self.is_asking = False
                if isinstance(self.cut, Status):
                    data = self._with_status(data)
                elif self.cut is not None:
                    left = self.cut.size - len(self.answer)
                    self.answer += data[:left]
                    self.client.sendall(data[:left])
                    if len(self.answer) == self.cut.size:
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

    def _with_status(self, data: bytes) -> bytes:
        """Returns what is passed on of an answer whose status is replaced."""
        if _BLANK_LINE in self.answer:
            return data
        self.answer += data
        if _BLANK_LINE not in self.answer:
            return b""
        line, end, rest = self.answer.partition(b"\r\n")
        version = line.partition(b" ")[0]
        return version + b" " + self.cut.text + end + rest

    def _stop(self) -> None:
        """Ends the client's connection as the cut says."""
        with contextlib.suppress(*_ENDED):
            match self.cut.end:
                case "half":
                    self.client.shutdown(socket.SHUT_WR)
                case "reset":
                    self.client.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                    )
                    self.client.close()
                case _:
                    self.client.shutdown(socket.SHUT_RDWR)

    def _close(self) -> None:
        """Ends both connections; a half-closed one by its client."""
        if not isinstance(self.cut, Cut):
            with contextlib.suppress(*_ENDED):
                self.client.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(*_ENDED):
            self.server.close()
