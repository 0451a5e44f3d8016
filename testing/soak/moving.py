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
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import itertools
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Any

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import moving_checks
from testing.soak import moving_upstreams
from testing.soak import operators
from testing.soak import processes
from testing.soak import run as run_module
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
# Chance of a fault at each point of a move, and the faults at one time.
_FAULT_PARTS = {"copy": 0.15, "last": 0.3, "stopped": 0.3, "continuing": 0.3}
_MAX_FAULTS = 2
_FAULT_SECONDS = (0.2, 2.5)
# Time for which an upstream that drains goes on.
_DRAIN_SECONDS = (1.5, 3.0)
_TIMEOUT_MS = 10_000
_LAG_SECONDS = 0.05
_LATE_SECONDS = 0.1
# In the log of an entry, for a call that it has given up.
_NO_ANSWER = "no answer in time"
ENGINE = {
    "slots": moving_upstreams.SLOTS,
    "kvCapacityTokens": 100_000,
    "kvTokenBytes": 60_000,
    "linkMbps": 400,
    "moves": True,
    "backups": True,
    "handle_s": moving_upstreams.HANDLE_SECONDS,
}


class Recorder(run_module.Recorder):
    """Implements `moving_upstreams.Observer`."""

    def __init__(
        self,
        checks: checks_module.Checks,
        on_point: Callable[[str, Any, Any], Awaitable[None]],
    ) -> None:
        super().__init__(checks)
        self.observed = moving_checks.Observed(checks)
        self.on_point = on_point

    def generated(
        self, run: moving_upstreams.Run, upstream: str, number: int
    ) -> None:
        """Records an event."""
        del number
        self.observed.generated(time.monotonic(), run, upstream)

    def worked(self, run: moving_upstreams.Run, upstream: str) -> None:
        """Records the end of work on a run."""
        del upstream
        self.observed.worked(time.monotonic(), run)

    def used_again(self, copy: moving_upstreams.Copy) -> None:
        """Records a second use of a handle."""
        self.observed.violation(
            time.monotonic(), "used_again", f"{copy.handle} {copy.run.request}"
        )

    def used_by_another(
        self, copy: moving_upstreams.Copy, request: str
    ) -> None:
        """Records the use of another request's memory."""
        self.observed.violation(
            time.monotonic(),
            "memory_of_another",
            f"{request} names {copy.handle} of {copy.run.request}",
        )

    async def reached(
        self,
        point: str,
        copy: moving_upstreams.Copy | None,
        run: moving_upstreams.Run,
    ) -> None:
        """Lets the scenario disturb a move."""
        await self.on_point(point, copy, run)


class Scenario:
    """The processes, upstreams and callers of one run.

    Attributes:
        points: Number of moves that reached each point.
        faults: Number of faults by kind and point.
        streams: Number of streams by kind and end.
        disturbed: Names of the nodes that are under a fault.
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
        self.recorder = Recorder(self.checks, self._reached)
        self.network = moving_upstreams.Network(self.recorder)
        self.upstreams = [
            moving_upstreams.Upstream(f"lm-{number}", self.network, clients)
            for number in range(1, _UPSTREAMS + 1)
        ]
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
        self.points: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.streams: collections.Counter[str] = collections.Counter()
        self.disturbed: set[str] = set()
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
            for task in self.tasks:
                if task.done():
                    task.result()
            now = time.monotonic()
            self.recorder.observed.unanswered = {
                fields["request"]
                for fields in self.continued()
                if fields["detail"] == _NO_ANSWER
            }
            self.recorder.observed.check(now, self.network.copies)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.callers.connections.close()
            for upstream in self.upstreams:
                upstream.crash()
            await self.fleet.stop()

    def continued(self) -> list[dict[str, Any]]:
        """Returns what the entries logged of streams that continued."""
        return [
            processes.fields_of(line)
            for node in self.fleet.entries
            for line in node.log_path.read_text().splitlines()
            if '"stream_continued"' in line
        ]

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
                self.checks.disturbances.append(
                    checks_module.Disturbance("load", due, now)
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
        """Checks versions and runs of the events that a caller has."""
        found = [
            upstreams.parse_event(event.data).version.partition("~")
            for event in result.outcome.events
        ]
        versions = [version for version, _, _ in found]
        self.checks.stream_read(time.monotonic(), first, versions, "", "")
        serials = {serial for _, _, serial in found}
        if result.request.startswith("turn") and len(serials) > 1:
            self.recorder.observed.violation(
                time.monotonic(),
                "joined_runs",
                f"{result.request} has events of the runs {sorted(serials)}",
            )

    # --- Faults ---------------------------------------------------------------

    async def _leave_forever(
        self, chosen: list[moving_upstreams.Upstream]
    ) -> None:
        """Has one upstream after the other leave and return."""
        for upstream in itertools.cycle(chosen):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(upstream.drain(), 2.0)
            await asyncio.sleep(self.generator.uniform(*_DRAIN_SECONDS))
            while upstream.name in self.disturbed:
                await asyncio.sleep(0.05)
            if self.generator.random() < 0.5:
                upstream.state, upstream.draining_since = "ready", 0.0
                continue
            with self._disturbance(upstream.name):
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

    async def _reached(
        self,
        point: str,
        copy: moving_upstreams.Copy | None,
        run: moving_upstreams.Run,
    ) -> None:
        """Disturbs some of the moves at a point."""
        self.points[point] += 1
        generator = random.Random(f"{self.seed} {point} {run.request}")
        if generator.random() > _FAULT_PARTS[point]:
            return
        if len(self.disturbed) >= _MAX_FAULTS:
            return
        victim = generator.choice(("source", "destination", "entry"))
        kind = generator.choice(("kill", "freeze", "cut"))
        upstream = copy.source if copy is not None else None
        if victim == "destination" and copy is not None:
            upstream = copy.destination or copy.source
        seconds = generator.uniform(*_FAULT_SECONDS)
        request = self.checks.requests.get(run.request)
        node = upstream
        if victim == "entry" and request is not None:
            node = self.fleet.nodes[request.entry]
        if node is None or node.name in self.disturbed:
            return
        self.faults[f"{kind} {victim} at {point}"] += 1
        self._log(f"{point} of {run.request}: {kind} {node.name} {seconds:.3f}")
        self._spawn(self._disturb(node, kind, seconds, generator))
        # The task has begun when the move goes on.
        await asyncio.sleep(0)

    async def _disturb(
        self,
        node: processes.Node | moving_upstreams.Upstream,
        kind: str,
        seconds: float,
        generator: random.Random,
    ) -> None:
        with self._disturbance(node.name):
            if isinstance(node, processes.Node):
                await self._disturb_entry(node, kind, seconds)
            else:
                await self._disturb_upstream(node, kind, seconds, generator)

    async def _disturb_entry(
        self, node: processes.Node, kind: str, seconds: float
    ) -> None:
        match kind:
            case "kill":
                node.kill()
                node.start()
                address = f"{node.ip}:{hosted_processes.READY_PORT}"
                probe = hosted_processes.Caller(address, "ready", 0.5)
                while (await probe.ask("GET", "/", {})).status != 200:
                    await asyncio.sleep(0.1)
            case "freeze":
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                node.signal(signal.SIGCONT)
            case "cut":
                node.apply("silent")
                await asyncio.sleep(seconds)
                node.restore()

    async def _disturb_upstream(
        self,
        upstream: moving_upstreams.Upstream,
        kind: str,
        seconds: float,
        generator: random.Random,
    ) -> None:
        match kind:
            case "kill":
                upstream.crash(quietly=generator.random() < 0.5)
                await asyncio.sleep(seconds / 2)
                await upstream.restart()
            case "freeze":
                upstream.stand_still()
                await asyncio.sleep(seconds)
                upstream.go_on()
            case "cut":
                ways = ("silent", "cut_in", "cut_out", "reset", "isolated")
                way = generator.choice(ways)
                self._log(f"{upstream.name}: {way}")
                upstream.is_isolated = way == "isolated"
                upstream.link.apply(way)
                await asyncio.sleep(seconds)
                upstream.is_isolated = False
                upstream.link.restore()

    @contextlib.contextmanager
    def _disturbance(self, name: str) -> Iterator[None]:
        """Records a fault of a node."""
        self.disturbed.add(name)
        self._log(f"{name} is disturbed")
        began = time.monotonic()
        index = len(self.checks.disturbances)
        self.checks.disturbances.append(
            checks_module.Disturbance(name, began, float("inf"))
        )
        try:
            yield
        finally:
            self.disturbed.discard(name)
            self._log(f"{name} is well")
            self.checks.disturbances[index] = checks_module.Disturbance(
                name, began, time.monotonic()
            )


def report(scenario: Scenario) -> dict[str, Any]:
    """Returns what came of the streams, and what was violated."""
    continued = collections.Counter(
        f"{fields['reason']} {fields['result']}"
        for fields in scenario.continued()
    )
    copies = scenario.network.copies
    ends = collections.Counter(copy.end for copy in copies)
    return {
        "seed": scenario.seed,
        "streams": dict(sorted(scenario.streams.items())),
        "continued": dict(sorted(continued.items())),
        "copies": dict(sorted(ends.items())),
        "handovers": scenario.recorder.observed.handovers,
        "points": dict(sorted(scenario.points.items())),
        "faults": sum(scenario.faults.values()),
        "late": sum(one.node == "load" for one in scenario.checks.disturbances),
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
