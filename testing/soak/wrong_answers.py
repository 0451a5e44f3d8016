"""Upstreams send answers that nobody asked for, and leave events out.

    python -m testing.soak.wrong_answers GROUP ROUNDS

Control and entries are processes. GROUP is one of `GROUPS`. In each round every
kind of route gets each fault of the group once, after a request that leaves a
connection to be used again. Prints what came of the requests as JSON.
"""

import asyncio
import collections
import json
import pathlib
import sys
import tempfile

from testing.soak import client
from testing.soak import event_loop
from testing.soak import routed
from testing.soak import upstreams

_READY_SECONDS = 20.0
_EVENTS = 12
_TAKEN_UP_AFTER = 5
_PAUSE_SECONDS = 0.005
_LATER_SECONDS = 0.15
_ENTRIES = 2

# An answer that states no request comes before the right one, with it, or
# after it.
_BEFORE, _REFUSED, _FAILED = "before", "refused before", "failed before"
_JOINED, _LATER = "joined", "later"
# Numbers of the events that are left out; the last one only at a take-up.
_EARLY, _MIDDLE, _NEXT = 2, 7, _TAKEN_UP_AFTER + 1
_EXTRA_STATUS = {_REFUSED: "503 No", _FAILED: "500 No"}
GROUPS: dict[str, tuple[str | int, ...]] = {
    "extra": (_BEFORE, _REFUSED, _FAILED, _JOINED, _LATER),
    "left_out": (_EARLY, _MIDDLE, _NEXT),
    "status": ("000", "000 OK", "001 OK", "099 No", "600 No", "999 No"),
    # Lines of a head whose names of fields are none.
    "line": ("X Trace: 1", "X-Tr\0ace: 1", "X-Trace : 1", "X-Tr\x1face: 1"),
}
_HEADS = GROUPS["status"] + GROUPS["line"]


class Upstream(upstreams.Upstream):
    """An upstream whose answers are wrong once when it is told so."""

    scenario: "Scenario"

    def __init__(self, *arguments) -> None:  # noqa: ANN002
        super().__init__(*arguments)
        self.answered: collections.Counter[asyncio.StreamWriter] = (
            collections.Counter()
        )

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.startswith("GET /v1/report "):
            await super()._answer(head, headers, body, writer)
            return
        request = headers["x-request-id"]
        self.scenario.ran[request] += 1
        fault = self.scenario.take_fault(self.answered[writer] > 0)
        self.answered[writer] += 1
        if fault in (_BEFORE, _REFUSED, _FAILED):
            writer.write(self._extra(fault))
            await writer.drain()
            await asyncio.sleep(_PAUSE_SECONDS)
        await self._write_own(request, headers, writer, fault)
        if fault == _JOINED:
            writer.write(self._extra(fault))
        await writer.drain()
        if fault == _LATER:
            await asyncio.sleep(_LATER_SECONDS)
            writer.write(self._extra(fault))
            await writer.drain()

    async def _write_own(
        self,
        request: str,
        headers: dict,
        writer: asyncio.StreamWriter,
        fault: str | int,
    ) -> None:
        """Writes the answer to a request; a fault may spoil it."""
        common = f"X-Request-Id: {request}\r\nX-Response-Signature: s\r\n"
        if fault in _HEADS:
            self.scenario.spoilt[request] += 1
        if fault in GROUPS["line"]:
            common = f"{fault}\r\n{common}"
        status = fault if fault in GROUPS["status"] else "200 OK"
        if self.service != "lm":
            text = upstreams.plain_body(request)
            writer.write(_head(status, common))
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(text), text))
            return
        after = int(headers.get("last-event-id") or 0)
        common += "Content-Type: text/event-stream\r\n"
        writer.write(_head(status, common))
        for number in range(after + 1, _EVENTS + 1):
            if number != fault:
                data = _event(request, number)
                upstreams.write_part(writer, upstreams.Form(), data)
            await asyncio.sleep(_PAUSE_SECONDS)
        writer.write(b"0\r\n\r\n")

    def _extra(self, fault: str) -> bytes:
        """Returns an answer that doesn't state its request."""
        common = "X-Response-Signature: s\r\n"
        content = b"foreign"
        if self.service == "lm":
            common += "Content-Type: text/event-stream\r\n"
            content = b"".join(
                _event("foreign", number) for number in range(1, _EVENTS + 1)
            )
        status = _EXTRA_STATUS.get(fault, "200 OK")
        if fault == _REFUSED:
            common += "X-Not-Executed: 1\r\n"
        return (
            f"HTTP/1.1 {status}\r\n{common}"
            f"Content-Length: {len(content)}\r\n\r\n"
        ).encode() + content


def _head(status: str | int, common: str) -> bytes:
    head = upstreams.head_of(upstreams.Form(), common, b"")
    return head.replace(b"200 OK", str(status).encode(), 1)


def _event(request: str, number: int) -> bytes:
    return upstreams.event_bytes(
        upstreams.EventText(request, number, "v1"), "\n"
    )


class Scenario:
    """The processes, upstreams and callers of one run.

    Attributes:
        ran: Number of times that upstreams have had a request.
        spoilt: Number of its answers whose heads were invalid.
        fault: Fault of the next answer on a connection that was used; empty for
            none.
        counts: What callers got, by fault.
        wrong: What they must not get.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.system = routed.System(folder, 3, _ENTRIES, Upstream, 2)
        for upstream in self.system.upstreams:
            upstream.scenario = self
        self.ran: collections.Counter[str] = collections.Counter()
        self.spoilt: collections.Counter[str] = collections.Counter()
        self.fault: str | int = ""
        self.counts: dict[str, collections.Counter[str]] = {}
        self.wrong: list[str] = []

    def take_fault(self, is_used: bool) -> str | int:
        """Returns the fault of an answer, which the next one doesn't have."""
        if not is_used and isinstance(self.fault, str):
            return ""
        fault, self.fault = self.fault, ""
        return fault

    async def run(self, group: str, rounds: int) -> None:
        """Plays the faults of a group."""
        try:
            await self.system.start()
            async with asyncio.timeout(_READY_SECONDS):
                for kind in (*routed.PLAIN, routed.STREAM, routed.RESUMABLE):
                    for entry in range(_ENTRIES):
                        while await self._ask(kind, entry) != "whole":
                            await asyncio.sleep(0.1)
            self.wrong.clear()
            for number in range(rounds):
                for fault in GROUPS[group]:
                    for kind in self._kinds(fault):
                        await self._play(kind, fault, number % _ENTRIES)
        finally:
            await self.system.stop()

    def _kinds(self, fault: str | int) -> tuple[str, ...]:
        if fault == _NEXT:
            return (routed.RESUMABLE,)
        if isinstance(fault, int):
            return (routed.STREAM, routed.RESUMABLE)
        return (*routed.PLAIN, routed.STREAM, routed.RESUMABLE)

    async def _play(self, kind: str, fault: str | int, entry: int) -> None:
        """Plays a fault between sound requests on the same connections."""
        counts = self.counts.setdefault(str(fault), collections.Counter())
        after = _TAKEN_UP_AFTER if fault == _NEXT else 0
        for one in ("", fault, ""):
            self.fault = one
            found = await self._ask(kind, entry, after)
            if one:
                counts[found if not self.fault else "not played"] += 1
            elif found != "whole":
                counts[f"beside: {found}"] += 1

    async def _ask(self, kind: str, entry: int, after: int = 0) -> str:
        """Sends a request; returns what its caller got."""
        request, outcome = await self.system.ask(kind, _EVENTS, entry, after)
        found = self._judge(kind, request, after, outcome)
        if found.startswith("wrong"):
            self.wrong.append(f"{self.fault} {request} {found}")
        return found.partition(":")[0]

    def _judge(
        self, kind: str, request: str, after: int, outcome: client.Outcome
    ) -> str:
        """Returns what a caller got; what must not be begins with `wrong`."""
        ran = self.ran[request]
        if (kind in (routed.UNSAFE, routed.STREAM) and ran > 1) or (
            outcome.status in routed.PROMISES and ran
        ):
            return f"wrong: ran {ran} times, status {outcome.status}"
        if outcome.headers and outcome.status not in range(200, 600):
            return f"wrong: status {outcome.status}"
        if outcome.status != 200:
            return str(outcome.status)
        if ran <= self.spoilt[request]:
            return "wrong: status 200, without an answer with a valid head"
        if kind in routed.PLAIN:
            is_right = outcome.body == upstreams.plain_body(request)
            is_right = is_right or not outcome.whole
        else:
            due = [
                _event(request, number).decode().splitlines()[1]
                for number in range(after + 1, _EVENTS + 1)
            ]
            got = [f"data: {event.data}" for event in outcome.events]
            is_right = got == (due if outcome.whole else due[: len(got)])
        if not is_right:
            return f"wrong: {outcome.events or outcome.body!r}"
        return "whole" if outcome.whole else "cut"


def main() -> None:
    """Runs it once."""
    group, rounds = sys.argv[1], int(sys.argv[2])
    with (
        tempfile.TemporaryDirectory(prefix="wrong-answers-") as folder,
        asyncio.Runner(loop_factory=event_loop.make) as runner,
    ):
        scenario = Scenario(pathlib.Path(folder))
        runner.run(scenario.run(group, rounds))
    print(json.dumps({"counts": scenario.counts, "wrong": scenario.wrong}))


if __name__ == "__main__":
    main()
