"""A caller's HTTP client that also returns incomplete responses."""

import asyncio
import socket
from typing import NamedTuple

from bench import hosted_processes

HOST = "callers.example"
# Pause of a slow caller before each read, and the size of its buffers. They are
# small, so that most of a response waits at the entry.
_SLOW_READ_SECONDS = 0.3
_SLOW_BUFFER_BYTES = 4096


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
    """

    sent: bool
    status: int
    headers: dict[str, str]
    events: list[Event]
    body: bytes
    whole: bool
    left: bool = False


async def ask(
    address: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float,
    slow: bool = False,
) -> Outcome:
    """Sends a POST request on a new connection and reads its response.

    Args:
        address: `IP:PORT` of an entry.
        target: Path of the request.
        headers: Header fields other than Host and Content-Length.
        body: Body of the request.
        timeout: Seconds after which the caller leaves.
        slow: Whether the caller reads slowly.

    Returns:
        What arrived, also if the connection failed or the caller left.
    """
    seen = _Seen()
    try:
        async with asyncio.timeout(timeout):
            await _exchange(seen, address, target, headers, body, slow)
    except TimeoutError:
        seen.left = True
    except (OSError, EOFError, ValueError):
        pass
    except asyncio.CancelledError:
        seen.left = True
        raise
    finally:
        if seen.writer is not None:
            seen.writer.transport.abort()
    return Outcome(
        seen.sent,
        seen.status,
        seen.headers,
        seen.events(),
        seen.body,
        seen.whole,
        seen.left,
    )


class _Seen:
    """The part of a response that has arrived."""

    def __init__(self) -> None:
        self.sent = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.left = False
        self.writer: asyncio.StreamWriter | None = None

    def events(self) -> list[Event]:
        if "event-stream" not in self.headers.get("content-type", ""):
            return []
        found = []
        for raw in self.body.decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in raw.split("\n"))
            found.append(Event(int(fields["id"]), fields["data"]))
        return found


async def _exchange(
    seen: _Seen,
    address: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    slow: bool,
) -> None:
    limit = _SLOW_BUFFER_BYTES if slow else 2**16
    sock = await _connect(address, slow)
    reader, seen.writer = await asyncio.open_connection(sock=sock, limit=limit)
    fields = {"Host": HOST, "Content-Length": str(len(body)), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    seen.sent = True
    seen.writer.write(f"POST {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
    first, found = await hosted_processes.read_head(reader)
    seen.headers, seen.status = found, int(first.split()[1])
    if "content-length" in found:
        seen.body = await reader.readexactly(int(found["content-length"]))
    else:
        await _read_chunks(seen, reader, limit, slow)
    seen.whole = True


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
        await reader.readline()
    await reader.readline()
    seen.body = b"".join(parts)
