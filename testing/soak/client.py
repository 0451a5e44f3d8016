"""A caller's HTTP client that also returns incomplete responses."""

import asyncio
import math
import random
import re
import socket
from typing import NamedTuple

from bench import hosted_processes

HOST = "callers.example"
# Pause of a slow caller before each read, and the size of its buffers. They are
# small, so that most of a response waits at the entry.
_SLOW_READ_SECONDS = 0.3
_SLOW_BUFFER_BYTES = 4096
_READ_BYTES = 65536
_BLANK_LINE = re.compile(r"(?:\r\n|\n|\r(?!\n)){2}")


class Event(NamedTuple):
    """An event of a stream."""

    number: int
    data: str


class Outcome(NamedTuple):
    """What a caller has seen of one request.

    Attributes:
        sent: Whether a connection was opened, so that it may have arrived.
        status: HTTP status; 0 if no head arrived.
        headers: Of the response, with names in lower case.
        events: Events of a stream.
        body: Body of another response, as far as it came.
        whole: Whether the response ended as its framing announced.
        left: Whether the caller itself ended it.
        rest: Bytes after the last event of a stream.
        crossed: See `checks.End`.
        local: `IP:PORT` of the caller; empty if there was no connection.
    """

    sent: bool
    status: int
    headers: dict[str, str]
    events: list[Event]
    body: bytes
    whole: bool
    left: bool = False
    rest: int = 0
    crossed: bool = False
    local: str = ""


class _Connection(NamedTuple):
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def is_open(self) -> bool:
        return not (
            self.reader.at_eof()
            or self.reader.exception() is not None
            or self.writer.transport.is_closing()
        )


class Connections:
    """Connections that callers keep until their entry closes them.

    Attributes:
        idle: Those that carry no request.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.idle: list[_Connection] = []

    def close(self) -> None:
        """Closes all."""
        for one in self.idle:
            one.writer.transport.abort()
        self.idle = []

    def take(self) -> _Connection | None:
        """Returns an open connection to any entry; None if there is none."""
        self.idle = [one for one in self.idle if one.is_open()]
        if not self.idle:
            return None
        return self.idle.pop(self.generator.randrange(len(self.idle)))


class Call(NamedTuple):
    """A request.

    Attributes:
        target: Path.
        headers: Header fields other than Host and Content-Length.
        timeout: Seconds after which the caller leaves.
        slow: Whether the caller reads slowly.
        version: HTTP version of the caller.
        drop_after: Bytes of the body after which the caller loses its
            connection; 0 for never.
        send_seconds: Time in which the last bytes are sent, one by one; 0 to
            send the request at once.
        begun: Set once the first event of a stream has arrived; None if nobody
            waits for that.
    """

    target: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    slow: bool = False
    version: str = "1.1"
    drop_after: int = 0
    send_seconds: float = 0.0
    begun: asyncio.Event | None = None

    def data(self) -> bytes:
        """Returns the bytes to send."""
        length = str(len(self.body))
        fields = {"Host": HOST, "Content-Length": length, **self.headers}
        lines = "".join(f"{name}: {v}\r\n" for name, v in fields.items())
        start = f"POST {self.target} HTTP/{self.version}\r\n"
        return f"{start}{lines}\r\n".encode() + self.body


async def ask(
    address: str,
    call: Call,
    connections: Connections | None = None,
    kept: _Connection | None = None,
) -> Outcome:
    """Sends a POST request and reads its response.

    Args:
        address: `IP:PORT` of an entry, for a new connection.
        call: The request.
        connections: Where the connection is kept after it; None to close it.
        kept: A connection to use; None for a new one.

    Returns:
        What arrived, also if the connection failed or the caller left.
    """
    seen = _Seen(kept, call.drop_after, call.begun)
    try:
        async with asyncio.timeout(call.timeout):
            await _exchange(seen, address, call)
    except TimeoutError:
        seen.left = True
    except (OSError, EOFError, ValueError):
        pass
    except asyncio.CancelledError:
        seen.left = True
        raise
    finally:
        if connections is not None and seen.is_reusable(call):
            connections.idle.append(seen.connection)
        elif seen.connection is not None:
            seen.connection.writer.transport.abort()
    return seen.outcome()


class _Seen:
    """The part of a response that has arrived."""

    def __init__(
        self,
        kept: _Connection | None,
        drop_after: int = 0,
        begun: asyncio.Event | None = None,
    ) -> None:
        self.drop_after = drop_after
        self.begun = begun
        self.connection = kept
        self.was_kept = kept is not None
        self.local = ""
        self.sent = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.left = False

    def lose_connection_if_due(self) -> None:
        """Ends the response where its caller loses the connection."""
        if self.begun is not None and self._has_event():
            self.begun.set()
        if 0 < self.drop_after <= len(self.body):
            self.left = True
            raise EOFError

    def _has_event(self) -> bool:
        """Returns whether the first event of a stream has arrived."""
        return self.status == 200 and bool(
            _BLANK_LINE.search(self.body.decode())
        )

    def is_reusable(self, call: Call) -> bool:
        return (
            self.whole
            and not call.slow
            and call.version == "1.1"
            and self.headers.get("connection") != "close"
        )

    def outcome(self) -> Outcome:
        events: list[Event] = []
        rest = ""
        if "event-stream" in self.headers.get("content-type", ""):
            *texts, rest = _BLANK_LINE.split(self.body.decode())
            events = [_parse(text) for text in texts]
        return Outcome(
            self.sent,
            self.status,
            self.headers,
            events,
            self.body,
            self.whole,
            self.left,
            len(rest.strip("\r\n")),
            self.was_kept and not self.status and not self.left,
            self.local,
        )


def _parse(text: str) -> Event:
    lines = re.split(r"\r\n|\n|\r", text.strip("\r\n"))
    fields = dict(line.split(": ", 1) for line in lines)
    return Event(int(fields["id"]), fields["data"])


async def _exchange(seen: _Seen, address: str, call: Call) -> None:
    limit = _SLOW_BUFFER_BYTES if call.slow else 2**16
    if seen.connection is None:
        sock = await _connect(address, call.slow)
        seen.local = "{}:{}".format(*sock.getsockname()[:2])
        opened = await asyncio.open_connection(sock=sock, limit=limit)
        seen.connection = _Connection(address, *opened)
    reader, writer = seen.connection.reader, seen.connection.writer
    seen.sent = True
    await _send(writer, call)
    first, found = await hosted_processes.read_head(reader)
    seen.headers, seen.status = found, int(first.split()[1])
    if "content-length" in found:
        await _read_length(seen, reader, int(found["content-length"]))
    elif "transfer-encoding" in found:
        await _read_chunks(seen, reader, limit, call.slow)
    else:
        await _read_to_end(seen, reader)
    seen.whole = True


async def _send(writer: asyncio.StreamWriter, call: Call) -> None:
    """Sends a request."""
    data = call.data()
    # The pauses are shorter than the time that an entry allows for a part.
    pieces = math.ceil(call.send_seconds)
    writer.write(data[: len(data) - pieces])
    for byte in data[len(data) - pieces :]:
        await asyncio.sleep(call.send_seconds / pieces)
        writer.write(bytes([byte]))


async def _connect(address: str, slow: bool) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


async def _read_length(
    seen: _Seen, reader: asyncio.StreamReader, size: int
) -> None:
    while len(seen.body) < size:
        block = await reader.read(min(_READ_BYTES, size - len(seen.body)))
        if not block:
            raise EOFError
        seen.body += block
        seen.lose_connection_if_due()


async def _read_to_end(seen: _Seen, reader: asyncio.StreamReader) -> None:
    """Reads a body that ends with its connection; a reset is an OSError."""
    while block := await reader.read(_READ_BYTES):
        seen.body += block
        seen.lose_connection_if_due()


async def _read_chunks(
    seen: _Seen, reader: asyncio.StreamReader, limit: int, slow: bool
) -> None:
    """Reads a chunked body.

    Args:
        seen: Gets the body as it arrives; of a slow caller, whose responses are
            large, only once it is whole.
        reader: The connection.
        limit: Most bytes of one read.
        slow: Whether the caller reads slowly.
    """
    parts: list[bytes] = []
    while size := int(await reader.readline(), 16):
        left = size
        while left:
            if slow:
                await asyncio.sleep(_SLOW_READ_SECONDS)
            block = await reader.read(min(left, limit))
            if not block:
                raise EOFError
            left -= len(block)
            parts.append(block)
            seen.body = b"" if slow else b"".join(parts)
            seen.lose_connection_if_due()
        await reader.readline()
    if await reader.readline() != b"\r\n":
        raise EOFError
    seen.body = b"".join(parts)
