"""Upstreams leave as planned, and cut what still runs as they exit.

    python -m testing.soak.planned_exits SEED ROUNDS DELAY

Streams end with their connections: nothing marks their ends. In each round half
of the upstreams drain, deregister once control has acknowledged that, and end
as soon as that is acknowledged, within their streams, by closing their
connections in order. All that reaches entries from control takes DELAY seconds.
Prints what came of the streams as JSON.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders
from testing.soak import upstreams

STREAMS = 8
_EVENTS = 20
_PAUSE_SECONDS = 0.1
_UPSTREAMS = 4
_BEFORE_DRAIN_SECONDS = 0.4
# As long as an upstream goes on after it was acknowledged that it drains.
_DRAIN_SECONDS = 0.3
_READY_SECONDS = 15.0


class Leaver(upstreams.Upstream):
    """An upstream whose streams end with their connections."""

    async def _stream(
        self, headers: dict, common: str, writer: asyncio.StreamWriter
    ) -> None:
        request = headers["x-request-id"]
        after = int(headers.get("last-event-id") or 0)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}Connection: close\r\n"
            "Content-Type: text/event-stream\r\n\r\n".encode()
        )
        for number in range(after + 1, _EVENTS + 1):
            text = upstreams.EventText(request, number, self.version)
            writer.write(upstreams.event_bytes(text, "\n"))
            await writer.drain()
            await asyncio.sleep(_PAUSE_SECONDS)
        raise EOFError

    async def leave(self) -> None:
        """Drains, deregisters and ends, as planned."""
        await self.drain()
        await asyncio.sleep(_DRAIN_SECONDS)
        await self.deregister()
        self.crash(quietly=True)


class Scenario:
    """The processes, upstreams and callers of one run."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        generator = random.Random(seed)
        self.checks = checks_module.Checks()
        self.fleet = processes.Fleet(processes.free_network(), folder, 3, 2, "")
        self.controls = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 1.0
            )
            for node in self.fleet.controls
        ]
        self.recorder = recorders.Recorder(self.checks)
        self.numbers = iter(range(1, 10_000))
        self.upstreams: list[Leaver] = []
        self.generator = generator
        self.operator = operators.Operator(
            self.controls, self.checks, generator
        )
        balancer = callers_module.Balancer(self.fleet.entries, generator)
        self.callers = callers_module.Callers(
            balancer, self.checks, self.operator, generator
        )

    async def run(self, rounds: int, delay: float) -> collections.Counter:
        """Returns how the streams ended.

        Args:
            rounds: Number of rounds.
            delay: Seconds that what reaches an entry from control takes.
        """
        ends: collections.Counter[str] = collections.Counter()
        try:
            await self.fleet.start()
            await self._add_upstreams()
            async with asyncio.timeout(_READY_SECONDS):
                await self.operator.push()
                while not (await self._stream()).served:
                    await asyncio.sleep(0.1)
            for node in self.fleet.entries:
                node.delay_incoming(delay)
            for _ in range(rounds):
                ends.update(await self._round())
        finally:
            self.callers.connections.close()
            await self.fleet.stop()
        return ends

    async def _add_upstreams(self) -> None:
        """Starts upstreams until there are as many as at first."""
        while len(self.upstreams) < _UPSTREAMS:
            name = f"lm-{next(self.numbers)}"
            upstream = Leaver(name, "lm", self.recorder, self.controls)
            self.recorder.upstreams[name] = upstream
            self.upstreams.append(upstream)
            await upstream.start()
            await upstream.register()

    async def _round(self) -> list[str]:
        """Has half of the upstreams leave in the middle of streams."""
        streams = [asyncio.create_task(self._stream()) for _ in range(STREAMS)]
        await asyncio.sleep(_BEFORE_DRAIN_SECONDS)
        leaving = self.upstreams[: _UPSTREAMS // 2]
        self.upstreams = self.upstreams[_UPSTREAMS // 2 :]
        await asyncio.gather(*(one.leave() for one in leaving))
        results = await asyncio.gather(*streams)
        for one in leaving:
            one.heartbeat_task.cancel()
        await self._add_upstreams()
        return [_end_of(result) for result in results]

    async def _stream(self) -> callers_module.Result:
        """Reads one stream."""
        return await self.callers.send(
            callers_module.Sending(
                "resume",
                "anna",
                operators.key_of("anna"),
                operators.SAFE_ATTEMPTS,
                events=_EVENTS,
                body=b"stream",
                expected=b"stream",
            )
        )


def _end_of(result: callers_module.Result) -> str:
    """Returns how a stream ended for its caller."""
    numbers = result.end.numbers
    if result.served:
        return "whole" if numbers[-1:] == [_EVENTS] else "early"
    kind = result.end.error.partition(":")[0]
    return "cut" if numbers else f"{result.end.status} {kind}"


def main() -> None:
    """Runs it once."""
    seed, rounds, delay = sys.argv[1:4]
    with (
        tempfile.TemporaryDirectory(prefix="planned-exits-") as folder,
        asyncio.Runner(loop_factory=event_loop.make) as runner,
    ):
        scenario = Scenario(int(seed), pathlib.Path(folder))
        ends = runner.run(scenario.run(int(rounds), float(delay)))
    violations = [str(found) for found in scenario.checks.violations]
    print(json.dumps({"ends": dict(ends), "violations": violations}))


if __name__ == "__main__":
    main()
