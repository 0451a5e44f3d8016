"""Streams that move between upstreams or go on from backups, beneath faults.

    python -m testing.soak.moving SEED [SECONDS [FAULT]]

Entries and control are processes. Upstreams leave, are replaced by another
version or become slow, so that entries move their streams. In the middle of a
copy, of the last copy, between a stop and the continuation, and right after
that, the source, the destination or the entry is killed, frozen or cut off.
FAULT is put back, see `reintroduced`. Prints what came of it as JSON.
"""

import asyncio
import collections
from collections.abc import Coroutine
import contextlib
import itertools
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
from typing import Any

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import move_faults
from testing.soak import moving_upstreams
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders
from testing.soak import upstreams

SECONDS = 14.0
_UPSTREAMS = 6
_STREAMS = 5
_PROGRAMS = 5
_READY_SECONDS = 20.0
# Turns of a program after which its streams have backups.
_SHORT_TURNS = 3
_LONG_TURNS = 2
_EVENTS = (50, 100)
_PAUSE_MS = 40
_TAKE_UPS = 3
_SLOTS = 8
# Time for which an upstream that drains goes on.
_DRAIN_SECONDS = (1.5, 3.0)
_TIMEOUT_MS = 10_000
_LAG_SECONDS = 0.05
_LATE_SECONDS = 0.1
# What a service with these upstreams states of them.
ENGINE = {**moving_upstreams.ENGINE, "slots": _SLOTS}


class Scenario:
    """The processes, upstreams and callers of one run.

    Attributes:
        streams: Number of streams by kind and end.
        until: End of the load.
    """

    def __init__(self, seed: int, folder: pathlib.Path, fault: str) -> None:
        self.seed = seed
        self.generator = random.Random(seed)
        self.checks = checks_module.Checks()
        self.fleet = processes.Fleet(
            processes.free_network(), folder, 3, 3, fault
        )
        self.fleet.backups = True
        clients = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 1.0
            )
            for node in self.fleet.controls
        ]
        self.faults = move_faults.MoveFaults(
            seed, self.fleet, self.checks, self._log
        )
        self.recorder = recorders.MovingRecorder(
            self.checks, self.faults.reached
        )
        self.network = moving_upstreams.Network(self.recorder)
        self.upstreams = [
            moving_upstreams.Upstream(f"lm-{number}", self.network, clients)
            for number in range(1, _UPSTREAMS + 1)
        ]
        for upstream in self.upstreams:
            upstream.slots = _SLOTS
        self.recorder.upstreams = {one.name: one for one in self.upstreams}
        self.operator = operators.Operator(clients, self.checks, self.generator)
        self.operator.engine = ENGINE
        self.operator.timeout_ms = _TIMEOUT_MS
        self.balancer = callers_module.Balancer(
            self.fleet.entries, self.generator
        )
        self.callers = callers_module.Callers(
            self.balancer, self.checks, self.operator, self.generator
        )
        self.streams: collections.Counter[str] = collections.Counter()
        self.until = 0.0
        self.tasks: list[asyncio.Task] = []

    async def run(self, seconds: float) -> None:
        """Runs load and faults, and checks what came of them."""
        try:
            await self.fleet.start()
            for upstream in self.upstreams:
                await upstream.start()
            async with asyncio.timeout(_READY_SECONDS):
                await self.operator.push()
                self._spawn(self.balancer.watch_forever())
                await self._until_served()
            self.until = time.monotonic() + seconds
            self._spawn(self._watch_lag())
            half = len(self.upstreams) // 2
            self._spawn(self._leave_forever(self.upstreams[:half]))
            self._spawn(self._leave_forever(self.upstreams[half:]))
            self._spawn(self._slow_down_forever())
            await asyncio.gather(
                *(self._read_streams() for _ in range(_STREAMS)),
                *(self._run_programs() for _ in range(_PROGRAMS)),
            )
            # Until then each copy that nobody uses has expired.
            await asyncio.sleep(1.5 * moving_upstreams.HANDLE_SECONDS)
            for task in (*self.tasks, *self.faults.tasks):
                if task.done():
                    task.result()
            now = time.monotonic()
            observed = self.recorder.observed
            observed.read_logs(self.fleet.logged("stream_continued"))
            observed.interruptions = self.fleet.interruptions()
            observed.check(now, self.network.copies)
            observed.check_kept(now, self.network.copies)
        finally:
            tasks = (*self.tasks, *self.faults.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.callers.connections.close()
            for upstream in self.upstreams:
                upstream.crash()
            await self.fleet.stop()

    def _log(self, text: str) -> None:
        with (self.fleet.folder / "moving.log").open("a") as file:
            file.write(f"{time.time():.3f} {time.monotonic():.3f} {text}\n")

    def _spawn(self, work: Coroutine) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def _until_served(self) -> None:
        while True:
            result = await self.callers.send(self._sending("resume", 1))
            ready = not any(self.balancer.failures.values())
            if result.served and ready:
                return
            await asyncio.sleep(0.2)

    async def _watch_lag(self) -> None:
        """Records when timers of this process were late: it has the upstreams.

        What they do late looks like a fault of the product.
        """
        while True:
            due = time.monotonic() + _LAG_SECONDS
            await asyncio.sleep(_LAG_SECONDS)
            now = time.monotonic()
            if now > due + _LATE_SECONDS:
                self.recorder.observed.lags.append(
                    checks_module.Disturbance("", due, now)
                )

    # --- Callers --------------------------------------------------------------

    def _sending(self, kind: str, events: int) -> callers_module.Sending:
        return callers_module.Sending(
            kind,
            "anna",
            operators.key_of("anna"),
            operators.SAFE_ATTEMPTS if kind == "resume" else 1,
            events=events,
            body=b"stream",
            expected=b"stream",
            pause_ms=_PAUSE_MS,
            deadline_ms=_TIMEOUT_MS,
            timeout=1.2 * _TIMEOUT_MS / 1000,
        )

    async def _read_streams(self) -> None:
        """Reads streams, and takes up those that break off."""
        while time.monotonic() < self.until:
            events = self.generator.randint(*_EVENTS)
            sending = self._sending("resume", events)
            first = ""
            for _ in range(_TAKE_UPS + 1):
                result = await self._send(sending)
                first = first or result.request
                self._read(first, result)
                numbers = result.end.numbers
                if result.served or not (numbers or sending.last_event):
                    break
                last = numbers[-1] if numbers else sending.last_event
                if last == events:
                    break
                sending = sending._replace(last_event=last, resumes=first)
                await asyncio.sleep(0.1)

    async def _run_programs(self) -> None:
        """Runs programs: short turns, then long ones, which have backups."""
        while time.monotonic() < self.until:
            program = f"program-{next(self.callers.numbers)}"
            chain, previous = b"", ""
            for number in range(_SHORT_TURNS + _LONG_TURNS):
                is_long = number >= _SHORT_TURNS
                events = self.generator.randint(*_EVENTS) if is_long else 3
                text = f"<{program}.{number}>".encode()
                sending = self._sending("turn", events)._replace(
                    program=program,
                    previous=previous,
                    body=text,
                    expected=chain + text,
                )
                result = await self._send(sending)
                self._read(result.request, result)
                if not result.served:
                    break
                said = "".join(f"{e.data}\n" for e in result.outcome.events)
                chain += text + said.encode()
                previous = result.request

    async def _send(
        self, sending: callers_module.Sending
    ) -> callers_module.Result:
        result = await self.callers.retry(sending)
        end = "whole" if result.served else f"status {result.end.status}"
        if result.end.status == 200 and not result.served:
            end = "cut"
        self.streams[f"{sending.kind} {end}"] += 1
        return result

    def _read(self, first: str, result: callers_module.Result) -> None:
        """Checks the versions of the events that a caller has."""
        versions = [
            upstreams.parse_event(event.data).version
            for event in result.outcome.events
        ]
        self.checks.stream_read(time.monotonic(), first, versions, "", "")

    # --- Faults ---------------------------------------------------------------

    async def _leave_forever(
        self, chosen: list[moving_upstreams.Upstream]
    ) -> None:
        """Has one upstream after the other leave and return."""
        for upstream in itertools.cycle(chosen):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(upstream.drain(), 2.0)
            await asyncio.sleep(self.generator.uniform(*_DRAIN_SECONDS))
            while upstream.name in self.faults.disturbed:
                await asyncio.sleep(0.05)
            if self.generator.random() < 0.5:
                upstream.stay()
                continue
            with self.faults.disturbance(upstream.name):
                upstream.crash(quietly=self.generator.random() < 0.5)
                if self.generator.random() < 0.3:
                    upstream.version = self.generator.choice(("v1", "v2"))
                await upstream.restart()

    async def _slow_down_forever(self) -> None:
        for number in range(10**6):
            upstream = self.upstreams[(3 + number) % len(self.upstreams)]
            await asyncio.sleep(self.generator.uniform(0.5, 1.5))
            upstream.slow_down()
            await asyncio.sleep(self.generator.uniform(1.0, 2.5))
            upstream.recover()


def report(scenario: Scenario) -> dict[str, Any]:
    """Returns what came of the streams, and what was violated."""
    observed = scenario.recorder.observed
    copies = scenario.network.copies
    ends = collections.Counter(copy.end for copy in copies)
    return {
        "seed": scenario.seed,
        "streams": dict(sorted(scenario.streams.items())),
        "continued": dict(sorted(observed.continued.items())),
        "copies": dict(sorted(ends.items())),
        "handovers": observed.handovers,
        "points": dict(sorted(scenario.faults.points.items())),
        "faults": scenario.faults.applied.total(),
        "late": len(observed.lags),
        "violations": [str(one) for one in scenario.checks.violations],
    }


async def _run(
    seed: int, seconds: float, folder: pathlib.Path, fault: str
) -> dict[str, Any]:
    scenario = Scenario(seed, folder, fault)
    await scenario.run(seconds)
    return report(scenario)


def main() -> None:
    """Runs it once."""
    seed = int(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    fault = sys.argv[3] if len(sys.argv) > 3 else ""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="moving-"))
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        found = runner.run(_run(seed, seconds, folder, fault))
    if found["violations"]:
        found["folder"] = str(folder)
    else:
        shutil.rmtree(folder)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
