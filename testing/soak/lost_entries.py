"""All entries are killed at the same moment, in the middle of streams.

    python -m testing.soak.lost_entries SEED LEAVES [FAULT]

Upstreams of two versions of software serve. Callers begin streams, all entries
are killed and started again, callers take their streams up, all are killed once
more, and callers take them up to their end. With LEAVES 1 the upstreams of one
version end with the first kill. FAULT is put back, see `reintroduced`. Prints
what came of the streams as JSON.
"""

import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders
from testing.soak import upstreams

STREAMS = 24
_EVENTS = 50
_PAUSE_MS = 50
# Time from the begin of streams to a kill: some events.
_BEFORE_KILL_SECONDS = 0.8
# Time within which a stream must go on once entries are ready.
_TAKE_UP_SECONDS = 8.0
# The same for a stream whose version left. Upstreams that end without a word
# stay registered for 8 s and more, and all of them refuse meanwhile.
_LEFT_SECONDS = 16.0
_READY_SECONDS = 15.0
# Deadline that callers state: longer than all of it takes, since the version of
# a stream is recorded for that long.
_DEADLINE_MS = 60_000
_VERSIONS = ("v1", "v1", "v2", "v2")


class Stream(NamedTuple):
    """One stream as its caller has it.

    Attributes:
        naming: How take-ups name it; see `callers.NAMINGS`.
        first: Request that brought the first event; empty before.
        latest: Latest request that brought an event.
        versions: Versions of its events.
        numbers: Numbers of its events.
        errors: Errors of its take-ups.
        is_whole: Whether it has ended.
    """

    naming: str
    first: str = ""
    latest: str = ""
    versions: tuple[str, ...] = ()
    numbers: tuple[int, ...] = ()
    errors: tuple[str, ...] = ()
    is_whole: bool = False

    def read(self, result: callers_module.Result) -> "Stream":
        """Returns the stream with what a request brought."""
        found = result.outcome.events
        name = result.request if found else ""
        error = result.end.error.partition(":")[0]
        return self._replace(
            first=self.first or name,
            latest=name or self.latest,
            versions=(
                *self.versions,
                *(upstreams.parse_event(one.data).version for one in found),
            ),
            numbers=(*self.numbers, *(one.number for one in found)),
            errors=(*self.errors, *([error] if error else [])),
            is_whole=result.served,
        )

    def sending(self) -> callers_module.Sending:
        """Returns the request that begins it or takes it up."""
        names = {"first": self.first, "latest": self.latest, "none": ""}
        return callers_module.Sending(
            "resume",
            "anna",
            operators.key_of("anna"),
            operators.SAFE_ATTEMPTS,
            events=_EVENTS,
            body=b"stream",
            expected=b"stream",
            last_event=self.numbers[-1] if self.numbers else 0,
            resumes=names[self.naming],
            pause_ms=_PAUSE_MS,
            deadline_ms=_DEADLINE_MS,
        )


class Scenario:
    """The processes, upstreams and callers of one run."""

    def __init__(self, seed: int, folder: pathlib.Path, fault: str) -> None:
        generator = random.Random(seed)
        network = processes.free_network()
        self.generator = generator
        self.checks = checks_module.Checks()
        self.fleet = processes.Fleet(network, folder, 3, 3, fault)
        clients = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 1.0
            )
            for node in self.fleet.controls
        ]
        recorder = recorders.Recorder(self.checks)
        self.upstreams = [
            upstreams.Upstream(f"lm-{number}", "lm", recorder, clients)
            for number in range(1, len(_VERSIONS) + 1)
        ]
        for upstream, version in zip(self.upstreams, _VERSIONS, strict=True):
            upstream.version = version
        recorder.upstreams = {one.name: one for one in self.upstreams}
        self.operator = operators.Operator(clients, self.checks, generator)
        balancer = callers_module.Balancer(self.fleet.entries, generator)
        self.callers = callers_module.Callers(
            balancer, self.checks, self.operator, generator
        )

    async def run(self, leaves: bool) -> list[Stream]:
        """Returns the streams at their ends.

        Args:
            leaves: Whether the upstreams of the first version end with the
                first kill.
        """
        try:
            await self.fleet.start()
            for upstream in self.upstreams:
                await upstream.start()
            async with asyncio.timeout(_READY_SECONDS):
                await self.operator.push()
                await self._until_served()
            choices = ("first", "first", "latest", "none")
            streams = [
                Stream(choices[number % len(choices)])
                for number in range(STREAMS)
            ]
            streams = await self._killed_within(streams, leaves)
            streams = await self._killed_within(streams, False)
            left = _VERSIONS[:1] if leaves else ()
            return await asyncio.gather(
                *(
                    self._to_the_end(
                        one,
                        _LEFT_SECONDS
                        if one.versions[:1] == left
                        else _TAKE_UP_SECONDS,
                    )
                    for one in streams
                )
            )
        finally:
            self.callers.connections.close()
            await self.fleet.stop()

    async def _until_served(self) -> None:
        """Waits until each version has served a stream."""
        found: set[str] = set()
        while found < set(_VERSIONS):
            sending = Stream("none").sending()._replace(events=1, pause_ms=0)
            result = await self.callers.send(sending)
            found |= set(Stream("none").read(result).versions)

    async def _killed_within(
        self, streams: list[Stream], leaves: bool
    ) -> list[Stream]:
        """Has all streams read, and all entries killed meanwhile."""
        reading = [
            asyncio.create_task(self._begin_or_go_on(one)) for one in streams
        ]
        await asyncio.sleep(_BEFORE_KILL_SECONDS)
        nodes = self.fleet.entries
        for node in nodes:
            node.signal(signal.SIGKILL)
        if leaves:
            for upstream in self.upstreams:
                if upstream.version == _VERSIONS[0]:
                    upstream.crash(quietly=True)
        for node in nodes:
            node.kill()
            node.start()
        found = await asyncio.gather(*reading)
        async with asyncio.timeout(_READY_SECONDS):
            await asyncio.gather(*map(self._until_ready, nodes))
        return found

    async def _begin_or_go_on(self, stream: Stream) -> Stream:
        """Reads a stream until its connection ends."""
        if stream.is_whole or (stream.errors and not stream.numbers):
            return stream
        return stream.read(await self.callers.send(stream.sending()))

    async def _to_the_end(self, stream: Stream, seconds: float) -> Stream:
        """Takes a stream up until it has ended, for a limited time."""
        until = time.monotonic() + seconds
        while not stream.is_whole and stream.numbers:
            if time.monotonic() > until or stream.numbers[-1] == _EVENTS:
                break
            stream = stream.read(await self.callers.send(stream.sending()))
            await asyncio.sleep(0.1)
        return stream

    async def _until_ready(self, node: processes.Node) -> None:
        address = f"{node.ip}:{hosted_processes.READY_PORT}"
        probe = hosted_processes.Caller(address, "ready", 0.5)
        while (await probe.ask("GET", "/", {})).status != 200:
            await asyncio.sleep(0.1)


def report(streams: list[Stream], checks: checks_module.Checks) -> dict:
    """Returns what came of the streams, and what was violated."""
    ends: collections.Counter[str] = collections.Counter()
    for stream in streams:
        version = stream.versions[0] if stream.versions else "none"
        is_all = bool(stream.numbers) and stream.numbers[-1] == _EVENTS
        end = "whole" if stream.is_whole or is_all else "cut"
        if end == "cut" and stream.errors:
            end = stream.errors[-1]
        ends[f"{version} {stream.naming} {end}"] += 1
    return {
        "ends": dict(sorted(ends.items())),
        "joined": sum(len(set(stream.versions)) > 1 for stream in streams),
        "disordered": sum(
            list(stream.numbers) != list(range(1, len(stream.numbers) + 1))
            for stream in streams
        ),
        "violations": [str(found) for found in checks.violations],
    }


async def _run(
    seed: int, leaves: bool, folder: pathlib.Path, fault: str
) -> dict:
    scenario = Scenario(seed, folder, fault)
    streams = await scenario.run(leaves)
    return report(streams, scenario.checks)


def main() -> None:
    """Runs it once."""
    seed, leaves = int(sys.argv[1]), bool(int(sys.argv[2]))
    fault = sys.argv[3] if len(sys.argv) > 3 else ""
    with (
        tempfile.TemporaryDirectory(prefix="lost-entries-") as folder,
        asyncio.Runner(loop_factory=event_loop.make) as runner,
    ):
        found = runner.run(_run(seed, leaves, pathlib.Path(folder), fault))
        print(json.dumps(found))


if __name__ == "__main__":
    main()
