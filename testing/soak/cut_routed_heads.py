"""Heads of upstreams' answers that stop, for routed requests.

    python -m testing.soak.cut_routed_heads STEP WAYS

A control and an entry are real processes. Every STEP-th byte of a head is the
last one of an answer, in WAYS of the ways to stop there, in turn. Prints what
came of the requests as JSON.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import pathlib
import random
import socket
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

from testing.soak import client
from testing.soak import event_loop
from testing.soak import head_cutter
from testing.soak import routed
from testing.soak import upstreams

_RECOVERY_SECONDS = 8.0
_EVENTS = 4
# Time for which a half-closed connection stays open.
_HALF_CLOSED_SECONDS = 0.2
# Kinds of routes, and of requests for the upstreams' reports on themselves.
_REPORT = "report"
KINDS = (*routed.PLAIN, routed.STREAM, routed.RESUMABLE, _REPORT)
_FRAMINGS = (upstreams.LENGTH, upstreams.CHUNKS, upstreams.CLOSE)
_INTERIM = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
)


class Way(NamedTuple):
    """How an answer stops.

    Attributes:
        end: See `head_cutter.Cut`.
        once: Whether only the first answer to the request stops.
        framing: What the head says of the end of the body.
        interim: What comes before the head.
        version: HTTP version of the caller.
    """

    end: str
    once: bool
    framing: str
    interim: bytes
    version: str


# In this order, neighbours differ in each part.
_WAYS = [
    Way(*parts)
    for parts in itertools.product(
        head_cutter.ENDS, (False, True), _FRAMINGS, _INTERIM, ("1.1", "1.0")
    )
]
random.Random(64).shuffle(_WAYS)


class Cuts:
    """What the upstreams cut, and what they have run.

    Attributes:
        way: How answers stop; None for no cut.
        size: Bytes after which they do.
        of_reports: Whether the answers are reports.
        heads: Sizes of the latest whole heads, with what comes before them, by
            framing.
        count: Answers that were cut.
        ran: Requests that an upstream has had.
    """

    def __init__(self) -> None:
        self.way: Way | None = None
        self.size = 0
        self.of_reports = False
        self.heads: dict[str, int] = {}
        self.count = 0
        self.ran: set[str] = set()

    def form(self, is_report: bool) -> str:
        """Returns the framing of an answer."""
        if self.way is None:
            return upstreams.LENGTH
        # An entry asks for a report after a stream without a marked end.
        if self.of_reports and not is_report:
            return upstreams.CLOSE
        return self.way.framing

    def take(self, is_report: bool) -> Way | None:
        """Returns how an answer stops; None for a whole one."""
        way = self.way
        if way is None or is_report != self.of_reports:
            return None
        if way.once:
            self.way = None
        self.count += 1
        return way


class Upstream(upstreams.Upstream):
    """An upstream that stops within the heads of its answers."""

    cuts: Cuts

    def heartbeat(self) -> dict[str, Any]:
        """Returns its next registration, without a proxy before it."""
        return {**super().heartbeat(), "address": self.link.target}

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_report = head.startswith("GET /v1/report ")
        form = self.cuts.form(is_report)
        fields = {"Content-Type": "application/json"}
        if is_report:
            content = json.dumps({"born": self.born}).encode()
        else:
            request = headers["x-request-id"]
            self.cuts.ran.add(request)
            fields = {"X-Request-Id": request, "X-Response-Signature": "s"}
            content = upstreams.plain_body(request)
            if self.service == "lm":
                fields["Content-Type"] = "text/event-stream"
                after = int(headers.get("last-event-id") or 0)
                content = b"".join(
                    upstreams.event_bytes(
                        upstreams.EventText(request, number, "v1"), "\n"
                    )
                    for number in range(after + 1, _EVENTS + 1)
                )
        way = self.cuts.take(is_report)
        start = _head(fields, form, content)
        if way is not None:
            start = way.interim + start
            self.cuts.heads[way.framing] = len(start)
            await self._stop(writer, start[: self.cuts.size], way.end)
        if form == upstreams.CHUNKS:
            content = b"%x\r\n%b\r\n0\r\n\r\n" % (len(content), content)
        writer.write(start + content)
        await writer.drain()
        if form == upstreams.CLOSE:
            raise EOFError

    async def _stop(
        self, writer: asyncio.StreamWriter, data: bytes, end: str
    ) -> None:
        """Sends a part of a head and ends the connection.

        Raises:
            EOFError: Always.
        """
        writer.write(data)
        await writer.drain()
        match end:
            case head_cutter.HALF:
                writer.write_eof()
                await asyncio.sleep(_HALF_CLOSED_SECONDS)
            case head_cutter.RESET:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, head_cutter.NO_LINGER
                )
                writer.transport.abort()
        raise EOFError


def _head(fields: dict[str, str], framing: str, content: bytes) -> bytes:
    """Returns the head of an answer."""
    ends = {
        upstreams.LENGTH: ("Content-Length", str(len(content))),
        upstreams.CHUNKS: ("Transfer-Encoding", "chunked"),
        upstreams.CLOSE: ("Connection", "close"),
    }
    pairs = [*fields.items(), ends[framing]]
    lines = "".join(f"{name}: {value}\r\n" for name, value in pairs)
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()


class Scenario:
    """The processes, upstreams and callers of one run."""

    def __init__(self, folder: pathlib.Path, step: int, ways: int) -> None:
        self.step = step
        self.ways = ways
        self.cuts = Cuts()
        self.system = routed.System(folder, 1, 1, Upstream, 3)
        for upstream in self.system.upstreams:
            upstream.cuts = self.cuts
        self.next_way = 0
        self.wrong: list[str] = []
        self.counts: dict[str, dict[str, int]] = {}

    async def run(self) -> None:
        """Cuts the heads of all kinds of answers."""
        try:
            await self.system.start()
            for kind in KINDS:
                await self._play(kind)
        finally:
            await self.system.stop()

    async def _play(self, kind: str) -> None:
        counter: collections.Counter[str] = collections.Counter()
        # Heads are smaller; a size beyond them is no cut within a head.
        for size in range(0, 220, self.step):
            for _ in range(self.ways):
                way = _WAYS[self.next_way % len(_WAYS)]
                self.next_way += 1
                await self._until_served(kind)
                found = await self._cut(kind, size, way)
                counter[found.partition(":")[0]] += 1
                if found.startswith("wrong"):
                    self.wrong.append(f"{kind}, {size} bytes, {way}, {found}")
        self.counts[kind] = dict(counter)

    async def _cut(self, kind: str, size: int, way: Way) -> str:
        """Sends a request whose answer is cut; returns what its caller got."""
        cuts = self.cuts
        cuts.of_reports = kind == _REPORT
        cuts.size = size
        before = cuts.count
        cuts.way = way
        request, outcome = await self._ask(kind, way.version)
        cuts.way = None
        if cuts.count == before:
            return "not cut"
        whole = cuts.heads[way.framing]
        if size >= whole:
            return "no cut within a head"
        return self._judge(kind, request, outcome)

    def _judge(self, kind: str, request: str, outcome: client.Outcome) -> str:
        """Returns what a caller got; what must not be begins with `wrong`."""
        if outcome.status == 200 and outcome.whole:
            numbers = [event.number for event in outcome.events]
            is_right = (
                outcome.body == upstreams.plain_body(request)
                if kind in routed.PLAIN
                else numbers == list(range(1, _EVENTS + 1))
            )
            return "whole" if is_right else f"wrong: {outcome}"
        if outcome.status in routed.PROMISES and request in self.cuts.ran:
            return f"wrong: ran, {outcome}"
        return str(outcome.status)

    async def _ask(
        self, kind: str, version: str = "1.1"
    ) -> tuple[str, client.Outcome]:
        """Sends a request; returns its id and what its caller got."""
        route = routed.RESUMABLE if kind == _REPORT else kind
        return await self.system.ask(route, _EVENTS, version=version)

    async def _until_served(self, kind: str) -> None:
        """Waits until a request is served."""
        until = time.monotonic() + _RECOVERY_SECONDS
        while True:
            request, outcome = await self._ask(kind)
            if self._judge(kind, request, outcome) == "whole":
                return
            if time.monotonic() > until:
                raise RuntimeError(f"{kind} is served no more: {outcome}")
            await asyncio.sleep(0.05)


def main() -> None:
    """Runs it once."""
    step, ways = int(sys.argv[1]), int(sys.argv[2])
    with (
        tempfile.TemporaryDirectory(prefix="cut-heads-") as folder,
        contextlib.closing(asyncio.Runner(loop_factory=event_loop.make)) as one,
    ):
        scenario = Scenario(pathlib.Path(folder), step, ways)
        one.run(scenario.run())
    print(
        json.dumps(
            {
                "cuts": scenario.cuts.count,
                "counts": scenario.counts,
                "wrong": scenario.wrong,
            }
        )
    )


if __name__ == "__main__":
    main()
