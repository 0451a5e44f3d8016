"""Faults in the middle of the moves of streams between upstreams."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
import signal
import time

from bench import hosted_processes
from testing.soak import checks as checks_module
from testing.soak import moving_upstreams
from testing.soak import processes

# Chance of a fault at each point of a move, and the faults at one time.
_FAULT_PARTS = {"copy": 0.15, "last": 0.3, "stopped": 0.3, "continuing": 0.3}
_MAX_FAULTS = 2
_FAULT_SECONDS = (0.2, 2.5)


class MoveFaults:
    """Kills, freezes and cuts the source, the destination or the entry.

    What happens at a point of a move follows from the seed and the request.

    Attributes:
        is_on: Whether moves are disturbed.
        points: Number of moves that reached each point.
        applied: Number of faults by kind and point.
        disturbed: Names of the nodes that are under a fault.
        tasks: The faults.
    """

    def __init__(
        self,
        seed: int,
        fleet: processes.Fleet,
        checks: checks_module.Checks,
        log: Callable[[str], None],
    ) -> None:
        self.seed = seed
        self.fleet = fleet
        self.checks = checks
        self.log = log
        self.is_on = True
        self.points: collections.Counter[str] = collections.Counter()
        self.applied: collections.Counter[str] = collections.Counter()
        self.disturbed: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    async def finish(self) -> None:
        """Ends with the faults that have begun; none begins after that."""
        self.is_on = False
        tasks, self.tasks = self.tasks, []
        await asyncio.gather(*tasks)

    async def reached(
        self,
        point: str,
        copy: moving_upstreams.Copy | None,
        run: moving_upstreams.Run,
    ) -> None:
        """Disturbs some of the moves at a point."""
        self.points[point] += 1
        if not self.is_on:
            return
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
            if node.planned:
                return
        if node is None or node.name in self.disturbed:
            return
        self.applied[f"{kind} {victim} at {point}"] += 1
        self.log(f"{point} of {run.request}: {kind} {node.name} {seconds:.3f}")
        task = self._disturb(node, kind, seconds, generator)
        self.tasks.append(asyncio.create_task(task))
        # The task has begun when the move goes on.
        await asyncio.sleep(0)

    async def _disturb(
        self,
        node: processes.Node | moving_upstreams.Upstream,
        kind: str,
        seconds: float,
        generator: random.Random,
    ) -> None:
        with self.disturbance(node.name):
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
                self.log(f"{upstream.name}: {way}")
                upstream.is_isolated = way == "isolated"
                upstream.link.apply(way)
                await asyncio.sleep(seconds)
                upstream.is_isolated = False
                upstream.link.restore()

    @contextlib.contextmanager
    def disturbance(self, name: str) -> Iterator[None]:
        """Records a fault of a node."""
        self.disturbed.add(name)
        self.log(f"{name} is disturbed")
        began = time.monotonic()
        index = len(self.checks.disturbances)
        self.checks.disturbances.append(
            checks_module.Disturbance(name, began, float("inf"))
        )
        try:
            yield
        finally:
            self.disturbed.discard(name)
            self.log(f"{name} is well")
            self.checks.disturbances[index] = checks_module.Disturbance(
                name, began, time.monotonic()
            )
