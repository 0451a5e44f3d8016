"""Upstreams answer before they have read the bodies of their requests.

    python -m testing.soak.early_answers GROUP VERSION

Control and an entry are processes. GROUP is one of `GROUPS`: the answers are
broken off, or they are whole although the upload is not. Every kind of route
gets each answer of the group with bodies of `SIZES`. VERSION is the callers'
version of HTTP. Prints what came of the requests as JSON.
"""

import asyncio
import collections
import fcntl
import json
import pathlib
import socket
import sys
import tempfile
import termios
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import client
from testing.soak import event_loop
from testing.soak import head_cutter
from testing.soak import routed
from testing.soak import upstreams

_READY_SECONDS = 20.0
_EVENTS = 8
_PAUSE_SECONDS = 0.05
_POLL_SECONDS = 0.005
# The largest exceeds what the kernel's buffers take of it.
SIZES = (10, 100_000, 6_000_000)
_MAX_BODY_BYTES = 8_000_000
# Finished turns are kept with their bodies.
_MEMORY_MB = 600
_RECEIVE_BUFFER_BYTES = 64 * 1024
_FAILED = "500 No"


class Way(NamedTuple):
    """How an upstream answers.

    Attributes:
        framing: What ends the body; see `upstreams.Form`.
        ends: What it does after the answer, in order; see `Upstream`.
        is_whole: Whether it sends the whole body.
        status: Status of the answer.
        sizes: Sizes of the requests' bodies.
    """

    framing: str
    ends: tuple[str, ...]
    is_whole: bool = True
    status: str = "200 OK"
    sizes: tuple[int, ...] = SIZES


_RESET, _PAUSE, _END, _READ, _CLOSE = "reset", "pause", "end", "read", "close"
_FILL = "fill"
_FRAMINGS = (upstreams.CLOSE, upstreams.LENGTH, upstreams.CHUNKS)
_MARKED = (upstreams.LENGTH, upstreams.CHUNKS)
GROUPS = {
    "broken": [
        *(Way(one, (_RESET,), is_whole=False) for one in _FRAMINGS),
        Way(upstreams.CLOSE, (_PAUSE, _RESET), is_whole=False),
        # The system resets the connection, as a part of the upload is unread.
        Way(upstreams.CLOSE, (_FILL, _CLOSE), is_whole=False, sizes=SIZES[-1:]),
        # All has come, and nothing but the reset tells that no more follows.
        Way(upstreams.CLOSE, (_RESET,)),
    ],
    "whole": [
        *(Way(one, (_PAUSE, _READ)) for one in _MARKED),
        *(Way(one, (_END, _READ)) for one in _FRAMINGS),
        Way(upstreams.CLOSE, (_PAUSE, _END, _READ)),
        *(Way(one, (_END, _PAUSE, _CLOSE)) for one in _FRAMINGS),
        *(Way(one, (_RESET,)) for one in _MARKED),
        Way(upstreams.CLOSE, (_END, _READ), status=_FAILED),
    ],
}


class Upstream(upstreams.Upstream):
    """An upstream whose next answer comes as soon as the head of its request.

    After it, it pauses, ends its side of the connection, reads the rest of the
    upload, waits for a part of it that it leaves unread, closes the connection
    or resets it.
    """

    scenario: "Scenario"

    def heartbeat(self) -> dict:
        """Returns its next registration, without a proxy before it."""
        return {**super().heartbeat(), "address": self.link.target}

    async def _listen(self) -> None:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock)
        self.link.target = "{}:{}".format(*sock.getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head, headers = await hosted_processes.read_head(reader)
                way = None
                if "x-request-id" in headers:
                    way = self.scenario.take(headers["x-request-id"])
                if way is not None:
                    await self._answer_early(way, headers, reader, writer)
                    continue
                body = await hosted_processes.read_body(reader, headers)
                await self._answer(head, headers, body, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if "x-request-id" in headers:
            writer.write(self._bytes(Way(upstreams.LENGTH, ()), headers))
        else:
            await super()._answer(head, headers, body, writer)

    async def _answer_early(
        self,
        way: Way,
        headers: dict,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers before the body of the request is read.

        Raises:
            EOFError: The connection has ended.
        """
        writer.write(self._bytes(way, headers))
        await writer.drain()
        for step in way.ends:
            match step:
                case "pause":
                    await asyncio.sleep(_PAUSE_SECONDS)
                case "end":
                    writer.write_eof()
                case "fill":
                    while not _unread_bytes(writer):
                        await asyncio.sleep(_POLL_SECONDS)
                case "read":
                    await hosted_processes.read_body(reader, headers)
                case "close":
                    raise EOFError
                case "reset":
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        head_cutter.NO_LINGER,
                    )
                    writer.transport.abort()
                    raise EOFError
        # No answer could be sent to a later request.
        if _END in way.ends:
            raise EOFError

    def _bytes(self, way: Way, headers: dict) -> bytes:
        """Returns what is sent of an answer."""
        request = headers["x-request-id"]
        common = f"X-Request-Id: {request}\r\nX-Response-Signature: s\r\n"
        pieces = [bytes([one]) for one in upstreams.plain_body(request)]
        if self.service == "lm":
            common += "Content-Type: text/event-stream\r\n"
            after = int(headers.get("last-event-id") or 0)
            pieces = _events(request, after)
        content = b"".join(pieces)
        head = upstreams.head_of(upstreams.Form(way.framing), common, content)
        if not way.is_whole:
            content = b"".join(pieces[: len(pieces) // 2])
        if way.framing == upstreams.CHUNKS:
            content = b"%x\r\n%b\r\n" % (len(content), content)
            content += b"0\r\n\r\n" if way.is_whole else b""
        return head.replace(b"200 OK", way.status.encode(), 1) + content


def _unread_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns the bytes that the system holds and the program won't read."""
    if writer.transport.is_reading():
        return 0
    sock = writer.get_extra_info("socket")
    found = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    return int.from_bytes(found, sys.byteorder)


def _events(request: str, after: int) -> list[bytes]:
    """Returns the events of a stream after a number."""
    text = upstreams.EventText(request, 0, "v1")
    numbers = list(range(after + 1, _EVENTS + 1))
    return upstreams.events_of(text, numbers, "\n")


class Scenario:
    """The processes, upstreams and callers of one run.

    Attributes:
        way: How the next request is answered; None for as usual.
        ran: Number of times that upstreams have had a request.
        counts: What callers got, by way.
        wrong: What they must not get.
    """

    def __init__(self, folder: pathlib.Path, version: str) -> None:
        self.version = version
        self.system = routed.System(folder, 1, 1, Upstream, 2)
        self.system.operator.body_bytes = _MAX_BODY_BYTES
        self.system.fleet.memory_mb = _MEMORY_MB
        for upstream in self.system.upstreams:
            upstream.scenario = self
        self.way: Way | None = None
        self.ran: collections.Counter[str] = collections.Counter()
        self.counts: dict[str, collections.Counter[str]] = {}
        self.wrong: list[str] = []

    def take(self, request: str) -> Way | None:
        """Returns how a request is answered; the next one isn't like that."""
        self.ran[request] += 1
        way, self.way = self.way, None
        return way

    async def run(self, group: str) -> None:
        """Plays the answers of a group."""
        kinds = (*routed.PLAIN, routed.STREAM, routed.RESUMABLE)
        try:
            await self.system.start()
            async with asyncio.timeout(_READY_SECONDS):
                for kind in kinds:
                    while await self._ask(kind, None, 1) != "whole":
                        await asyncio.sleep(0.1)
            self.wrong.clear()
            for way in GROUPS[group]:
                for kind in kinds:
                    # A safe request is sent to another upstream after that.
                    if kind == routed.SAFE and way.status == _FAILED:
                        continue
                    for size in way.sizes:
                        await self._play(kind, way, size)
        finally:
            await self.system.stop()

    async def _play(self, kind: str, way: Way, size: int) -> None:
        """Plays one answer, after one that leaves a connection to be used."""
        counts = self.counts.setdefault(str(way), collections.Counter())
        before = await self._ask(kind, None, 1)
        if before != "whole":
            counts[f"{kind}, before it: {before}"] += 1
        found = await self._ask(kind, way, size)
        counts[f"{kind} {size}: {found}"] += 1

    async def _ask(self, kind: str, way: Way | None, size: int) -> str:
        """Sends a request; returns what its caller got."""
        self.way = way
        request, outcome = await self.system.ask(
            kind, _EVENTS, version=self.version, body=b"x" * size
        )
        found = self._judge(kind, request, way, outcome)
        if found.startswith("wrong"):
            self.wrong.append(f"{kind}, {size} bytes, {way}: {found}")
        return found.partition(":")[0]

    def _judge(
        self, kind: str, request: str, way: Way | None, outcome: client.Outcome
    ) -> str:
        """Returns what a caller got; what must not be begins with `wrong`."""
        ran = self.ran[request]
        is_owed = way is None or way in GROUPS["whole"]
        is_once = kind in (routed.UNSAFE, routed.STREAM) or is_owed
        if (is_once and ran > 1) or (outcome.status in routed.PROMISES and ran):
            return f"wrong: ran {ran} times, status {outcome.status}"
        status = 500 if way is not None and way.status == _FAILED else 200
        if outcome.status != status or not outcome.whole:
            found = "cut" if outcome.status == status else str(outcome.status)
            return f"wrong: {outcome}" if is_owed else found
        due = upstreams.plain_body(request)
        if kind not in routed.PLAIN:
            due = b"".join(_events(request, 0))
        return "whole" if outcome.body == due else f"wrong: {outcome}"


def main() -> None:
    """Runs it once."""
    with (
        tempfile.TemporaryDirectory(prefix="early-answers-") as folder,
        asyncio.Runner(loop_factory=event_loop.make) as runner,
    ):
        group, version = sys.argv[1:]
        scenario = Scenario(pathlib.Path(folder), version)
        runner.run(scenario.run(group))
    print(json.dumps({"counts": scenario.counts, "wrong": scenario.wrong}))


if __name__ == "__main__":
    main()
