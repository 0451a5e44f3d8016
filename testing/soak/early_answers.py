"""Upstreams answer before they have read the bodies of their requests.

    python -m testing.soak.early_answers GROUP VERSION

Control and an entry are processes. GROUP is one of `GROUPS`: the answers are
broken off, or they are whole although the upload is not. Every kind of route
gets each answer of the group with bodies of `SIZES`. VERSION is the callers'
version of HTTP. Prints what came of the requests as JSON.
"""

import asyncio
import collections
import enum
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
from testing.soak import links
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


class Step(enum.Enum):
    """What an upstream does after its answer."""

    PAUSE = enum.auto()
    # Ends its own side of the connection.
    END = enum.auto()
    # Reads the rest of the upload.
    READ = enum.auto()
    # Waits until the system holds a part of the upload, which stays unread.
    LEAVE_UNREAD = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()


class Way(NamedTuple):
    """How an upstream answers.

    Attributes:
        framing: What ends the body; see `upstreams.Form`.
        steps: What it does after the answer, in order.
        is_whole: Whether it sends the whole body.
        status: Status of the answer.
        sizes: Sizes of the requests' bodies.
    """

    framing: str
    steps: tuple[Step, ...]
    is_whole: bool = True
    status: str = "200 OK"
    sizes: tuple[int, ...] = SIZES


_ORDINARY = Way(upstreams.LENGTH, (Step.READ,))
_FRAMINGS = (upstreams.CLOSE, upstreams.LENGTH, upstreams.CHUNKS)
_MARKED = (upstreams.LENGTH, upstreams.CHUNKS)
GROUPS = {
    "broken": [
        *(Way(one, (Step.RESET,), is_whole=False) for one in _FRAMINGS),
        Way(upstreams.CLOSE, (Step.PAUSE, Step.RESET), is_whole=False),
        # The system resets the connection, as a part of the upload is unread.
        Way(
            upstreams.CLOSE,
            (Step.LEAVE_UNREAD, Step.CLOSE),
            is_whole=False,
            sizes=SIZES[-1:],
        ),
        # All has come, and nothing but the reset tells that no more follows.
        Way(upstreams.CLOSE, (Step.RESET,)),
    ],
    "whole": [
        *(Way(one, (Step.PAUSE, Step.READ)) for one in _MARKED),
        *(Way(one, (Step.END, Step.READ)) for one in _FRAMINGS),
        Way(upstreams.CLOSE, (Step.PAUSE, Step.END, Step.READ)),
        *(Way(one, (Step.END, Step.PAUSE, Step.CLOSE)) for one in _FRAMINGS),
        # The reset comes right behind the end.
        Way(
            upstreams.CLOSE,
            (Step.LEAVE_UNREAD, Step.END, Step.CLOSE),
            sizes=SIZES[-1:],
        ),
        *(Way(one, (Step.RESET,)) for one in _MARKED),
        Way(upstreams.CLOSE, (Step.END, Step.READ), status=_FAILED),
    ],
}


class Upstream(upstreams.Upstream):
    """An upstream whose answers come as soon as the heads of their requests."""

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

    def _early(self, headers: dict) -> Way | None:
        if "x-request-id" not in headers:
            return None
        size = int(headers.get("content-length", 0))
        return self.scenario.take(headers["x-request-id"], size)

    async def _answer_early(
        self,
        early: Way,
        headers: dict,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(self._bytes(early, headers))
        await writer.drain()
        for step in early.steps:
            match step:
                case Step.PAUSE:
                    await asyncio.sleep(_PAUSE_SECONDS)
                case Step.END:
                    writer.write_eof()
                case Step.READ:
                    await hosted_processes.read_body(reader, headers)
                case Step.LEAVE_UNREAD:
                    while not _unread_bytes(writer):
                        await asyncio.sleep(_POLL_SECONDS)
                case Step.CLOSE:
                    raise EOFError
                case Step.RESET:
                    links.reset(writer)
                    raise EOFError
        # No answer could be sent to a later request.
        if Step.END in early.steps:
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
        way: How the next request with a body of `size` is answered; None for
            as usual.
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
        self.size = 0
        self.ran: collections.Counter[str] = collections.Counter()
        self.counts: dict[str, collections.Counter[str]] = {}
        self.wrong: list[str] = []

    def take(self, request: str, size: int) -> Way:
        """Returns how a request is answered; the next one isn't like that."""
        self.ran[request] += 1
        if self.way is None or size != self.size:
            return _ORDINARY
        way, self.way = self.way, None
        return way

    async def run(self, group: str) -> None:
        """Plays the answers of a group."""
        kinds = (*routed.PLAIN, routed.STREAM, routed.RESUMABLE)
        try:
            await self.system.start()
            async with asyncio.timeout(_READY_SECONDS):
                for kind in kinds:
                    while await self._ask(kind) != "whole":
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
        """Plays one answer, after an ordinary one and beside such."""
        counts = self.counts.setdefault(str(way), collections.Counter())
        # It leaves a connection to be used again.
        found = [await self._ask(kind)]
        self.way, self.size = way, size
        asked = asyncio.create_task(self._ask(kind, way, size))
        while not asked.done():
            found.append(await self._ask(kind))
        counts[f"{kind} {size}: {await asked}"] += 1
        if self.way is not None:
            self.wrong.append(f"{kind}, {size} bytes, {way}: not played")
        for one in found:
            if one != "whole":
                counts[f"{kind}, beside it: {one}"] += 1

    async def _ask(self, kind: str, way: Way = _ORDINARY, size: int = 1) -> str:
        """Sends a request; returns what its caller got."""
        request, outcome = await self.system.ask(
            kind, _EVENTS, version=self.version, body=b"x" * size
        )
        found = self._judge(kind, request, way, outcome)
        if found.startswith("wrong"):
            self.wrong.append(f"{kind}, {size} bytes, {way}: {found}")
        return found.partition(":")[0]

    def _judge(
        self, kind: str, request: str, way: Way, outcome: client.Outcome
    ) -> str:
        """Returns what a caller got; what must not be begins with `wrong`."""
        ran = self.ran[request]
        is_owed = way not in GROUPS["broken"]
        is_once = kind in (routed.UNSAFE, routed.STREAM) or is_owed
        if (is_once and ran > 1) or (outcome.status in routed.PROMISES and ran):
            return f"wrong: ran {ran} times, status {outcome.status}"
        status = 500 if way.status == _FAILED else 200
        if outcome.status != status or not outcome.whole:
            found = "cut" if outcome.status == status else str(outcome.status)
            return f"wrong: {outcome}" if is_owed else found
        if not is_owed and ran == 1:
            return f"wrong: nothing shows that it is whole: {outcome}"
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
