"""Applies the schedule's faults to processes, proxies, upstreams and load."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import math
import signal
import time
from typing import Any

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import cuts
from testing.soak import move_faults as move_faults_module
from testing.soak import operators
from testing.soak import processes
from testing.soak import schedule
from testing.soak import stops
from testing.soak import together
from testing.soak import upstreams

_READY_SECONDS = 10.0
# Time within which the groups must have replaced a lost disk: they wait for a
# silence of 2 s, and then copy the log.
_REPAIR_SECONDS = 20.0
# A control instance needs this long from its start until it is a follower.
_CONTROL_START_SECONDS = 2.0
# Interval of the resets of an upstream's connections. Longer than most
# requests of plain services, so that some end and others break off.
_RESET_SECONDS = 0.03
# Time within which control should acknowledge a drain. Without that, the check
# of drains has nothing to find.
_DRAIN_TIMEOUT_SECONDS = 5.0
# Final delay of what reaches a leader. It is longer than any lease, so that an
# answer arrives after the lease that it could extend.
_LATE_SECONDS = 2.0
# The delay grows in steps, because at once it would be a silence after which
# the connection counts as lost.
_LATE_STEPS = 8
_LATE_STEP_SECONDS = 0.4
# Time for which followers get no entries. It is shorter than the silence after
# which a control instance is replaced.
_BEHIND_SECONDS = 1.5
# Time without the processes that have the latest entries: enough for the start
# of a control instance and an election among the others.
_WITHOUT_LEADER_SECONDS = 2.5
# Time after which granted turns no longer count: the deadline of callers, 4 s,
# and a margin.
_TURN_TIMEOUT_SECONDS = 5.0
# Length of the interval in which the use of the engines is then observed.
_OBSERVED_SECONDS = 2.5
# Number of losses of all entries under load. The first may come before all
# slots are in use, and would then show nothing.
_ENTRY_LOSSES = 2
_BURST_START_SECONDS = 1.0
_BURST_PROGRAMS = 24
_SLOW_READERS = 8
# Callers that send one crashing request, some times a second each.
_CRASHING_CALLERS = 2
# Time from the start of a burst to the kill of a leader.
_LEADER_KILL_SECONDS = 0.5
# Long enough that a buffer without a bound grows by more than its limit.
_SLOW_READ_SECONDS = 5.0
# Tracks of phases in which nothing else may happen.
_ALONE = frozenset({"planned", "entries", "all"})
_PROXY_FAULTS = frozenset({"reset", "delay", "silent", "cut_in", "cut_out"})
# Faults of the leader of a group, as faults of a node.
_LEADER_FAULTS = {
    "kill_leader": "kill",
    "pause_leader": "pause",
    "cut_leader": "cut_in",
    "silent_leader": "silent",
}
# What each fault of a machine does; longer than a client waits for an answer
# of control, and a time of day that no machine has.
_MACHINE_FAULTS: dict[str, dict[str, float]] = {
    "slow_disk": {"sync_seconds": 0.7},
    "full_disk": {"full": 1.0},
    "clock_ahead": {"clock": 600.0},
}
# Time for which an upstream that is replaced goes on after its drain.
_ROLLOUT_SECONDS = 0.5
# Pause before the next one.
_ROLLOUT_PAUSES = {"series": 0.2, "overlap": 0.3, "in_place": 0.1}
# Time for which an engine that gives its streams away drains or is slow, and
# the pause before the next one.
_GIVING_SECONDS = 1.5
_MOVES_PAUSE_SECONDS = 0.4
# Invalid registrations, as changes of a valid one.
_INVALID_CHANGES: tuple[dict[str, Any], ...] = (
    {"address": 5},
    {"address": "nowhere"},
    {"slots": "many"},
    {"slots": -1},
    {"service": None},
    {"state": "gone"},
    {"sequence": 2**70},
    {"born": "yesterday"},
    {"coldRemainingMs": "soon"},
)


class Injector:
    """Applies faults and records them for the checks.

    Attributes:
        control_lock: Held during a fault of a control instance, so that two
            are under a fault only if all are.
        applied: Faults that were begun.
        late: Seconds by which the schedule is late. On a busy machine faults
            take longer, and phases must not overlap.
        ended_at: When the last fault was over; infinity before that.
    """

    def __init__(
        self,
        fleet: processes.Fleet,
        engines: list[upstreams.Upstream],
        callers: callers_module.Callers,
        checks: checks_module.Checks,
        log: Callable[[str], None],
        move_faults: move_faults_module.MoveFaults,
        on_replaced: Callable[[str, str], None],
    ) -> None:
        self.fleet = fleet
        self.upstreams = engines
        self.callers = callers
        self.checks = checks
        self.log = log
        self.move_faults = move_faults
        self.stops = stops.Stops(
            fleet,
            checks,
            until_started=self._until_started,
            until_whole=self._until_repaired,
            on_replaced=on_replaced,
        )
        self.control_lock = asyncio.Lock()
        self.applied: list[schedule.Fault] = []
        self.late = 0.0
        self.ended_at = math.inf

    async def run(self, faults: list[schedule.Fault], start: float) -> None:
        """Applies all faults; returns when they are over.

        Args:
            faults: The schedule.
            start: Monotonic time from which the faults' times count.
        """
        running: set[asyncio.Task] = set()
        was_alone = False
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                due = start + self.late + fault.at
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                is_alone = fault.track in _ALONE
                if is_alone or was_alone:
                    if running:
                        await asyncio.wait(running)
                    await asyncio.sleep(self._recovery_seconds())
                    self.late += time.monotonic() - due
                was_alone = is_alone
                task = group.create_task(self._apply(fault))
                running.add(task)
                task.add_done_callback(running.discard)
        self.ended_at = time.monotonic()

    def _recovery_seconds(self) -> float:
        """Returns for how long faults that have ended may have effects.

        A fault may end later than scheduled. Most checks don't count what
        happens while it has effects, and the whole of a planned stop.
        """
        ends = [fault.end for fault in self.checks.disturbances]
        until = max(ends, default=0.0) + checks_module.RECOVERY_SECONDS
        return max(0.0, until - time.monotonic())

    async def apply_final(self, fault: schedule.Fault) -> None:
        """Loses all processes at once; returns when entries are ready."""
        for node in self.fleet.running():
            node.signal(signal.SIGKILL)
        self.applied.append(fault)
        await self._lose_all(fault)

    async def _apply(self, fault: schedule.Fault) -> None:
        self.applied.append(fault)
        match fault.track:
            case "control":
                async with self.control_lock:
                    await self._control(fault)
                    await self._until_whole(fault)
            case "entry":
                entries = self.fleet.entries
                node = entries[fault.number % len(entries)]
                await self._node(node, fault.kind, fault.seconds, node.name)
            case "upstream":
                await self._upstream(fault)
            case "load":
                await self._load(fault)
            case "crashing":
                await self._crashing(fault)
            case "rollout":
                await self._roll_out(fault)
            case "moves":
                await self._move(fault)
            case "front":
                entries = self.fleet.entries
                node = entries[fault.number % len(entries)]
                with self._disturbance(
                    node.name, f"{fault.kind} before {node.name}"
                ):
                    node.front.apply(fault.kind)
                    await asyncio.sleep(fault.seconds)
                    node.front.restore()
            case "machine":
                async with self.control_lock:
                    await self._machine(fault)
            case "network":
                async with self.control_lock:
                    cut = cuts.plan(self.fleet, fault)
                    with self._disturbance(cut.affected, str(cut)):
                        await cut.apply(fault.seconds)
            case "stops":
                async with self.control_lock:
                    with self._disturbance("", f"{fault.kind} {fault.number}"):
                        await self.stops.apply(fault)
            case "together":
                async with self.control_lock:
                    with self._disturbance("", f"{fault.kind} {fault.number}"):
                        await together.apply(
                            self.fleet,
                            fault,
                            self._until_started,
                            self._until_repaired,
                        )
            case "planned":
                async with self.control_lock:
                    await self._planned(fault)
            case "entries":
                async with self.control_lock:
                    await self._lose_entries()
            case "all":
                async with self.control_lock:
                    await self._lose_all(fault)
                    await self._until_whole(fault)

    @contextlib.contextmanager
    def _disturbance(self, node: str, what: str) -> Iterator[None]:
        """Records a fault for the checks and the log.

        Args:
            node: Name of the node that it affects; empty for every node.
            what: Text of the log.
        """
        found = self.checks.disturbances
        number = len(found)
        began = time.monotonic()
        found.append(checks_module.Disturbance(node, began, math.inf))
        self.log(f"{what} begins")
        try:
            yield
        finally:
            ended = time.monotonic()
            found[number] = checks_module.Disturbance(node, began, ended)
            self.log(f"{what} ends")

    async def _control(self, fault: schedule.Fault) -> None:
        node = self._chosen_control(fault)
        kind = fault.kind
        if kind == "late_answers_leader":
            await self._answer_late()
            return
        if kind == "lose_disk_behind":
            await self._lose_disk_behind()
            return
        if kind in _LEADER_FAULTS:
            node = self.fleet.leader(("config", "programs-0")[fault.number % 2])
            kind = _LEADER_FAULTS[kind]
        await self._node(node, kind, fault.seconds, "")

    async def _machine(self, fault: schedule.Fault) -> None:
        """Harms the disk or the clock of a control's machine."""
        node = self._chosen_control(fault)
        with self._disturbance("", f"{fault.kind} of {node.name}"):
            node.harm(**_MACHINE_FAULTS[fault.kind])
            await asyncio.sleep(fault.seconds)
            node.harm()

    def _chosen_control(self, fault: schedule.Fault) -> processes.Node:
        controls = self.fleet.controls
        return controls[fault.number % len(controls)]

    def _tolerated_losses(self, fault: schedule.Fault) -> list[processes.Node]:
        """Returns as many controls as may lose their disks at once."""
        controls = self.fleet.controls
        return [
            controls[(fault.number + more) % len(controls)]
            for more in range(len(controls) // 2)
        ]

    async def _until_whole(self, fault: schedule.Fault) -> None:
        """Waits after a lost disk until all controls are voters again."""
        if "disk" in fault.kind:
            await self._until_repaired(fault.kind)

    async def _until_repaired(self, what: str = "a lost disk") -> None:
        until = time.monotonic() + _REPAIR_SECONDS
        while not self.fleet.is_whole():
            if time.monotonic() > until:
                self.checks.not_repaired(time.monotonic(), what)
                return
            await asyncio.sleep(0.2)

    async def _answer_late(self) -> None:
        """Delays all that reaches the leader, then holds all that it sends.

        Others elect a leader then, while the old one still receives answers
        that were sent before. They must not extend its lease.
        """
        leader = self.fleet.leader("config")
        with self._disturbance("", f"late answers to {leader.name}"):
            self.callers.operator.pushes_fast = True
            for step in range(1, _LATE_STEPS + 1):
                leader.delay_incoming(_LATE_SECONDS * step / _LATE_STEPS)
                await asyncio.sleep(_LATE_STEP_SECONDS)
            leader.hold_outgoing()
            await asyncio.sleep(_LATE_SECONDS + 1.0)
            leader.restore()
            self.callers.operator.pushes_fast = False

    async def _lose_disk_behind(self) -> None:
        """Loses the disk of one of the controls that have the latest entries.

        Half of the followers lack them. They and the one that lost its disk
        must not form a majority.
        """
        leader = self.fleet.leader("config")
        others = [node for node in self.fleet.controls if node is not leader]
        behind = others[: len(others) // 2]
        lost, *latest = others[len(others) // 2 :]
        names = ", ".join(node.name for node in behind)
        what = f"loss of the disk of {lost.name} with {names} behind"
        with self._disturbance("", what):
            for node in behind:
                node.apply("silent")
            await asyncio.sleep(_BEHIND_SECONDS)
            for node in (leader, lost, *latest):
                node.kill()
            lost.wipe()
            for node in behind:
                node.drop_held()
            for node in behind:
                node.restore()
            lost.start()
            await asyncio.sleep(_WITHOUT_LEADER_SECONDS)
            for node in (leader, *latest):
                node.start()
            await self._until_started(leader)

    async def _node(
        self, node: processes.Node, kind: str, seconds: float, affected: str
    ) -> None:
        """Applies a fault of one process.

        Args:
            node: The process.
            kind: What happens.
            seconds: Duration.
            affected: Name of the node that it affects; empty for every node.
        """
        with self._disturbance(affected, f"{kind} of {node.name}"):
            match kind:
                case "kill" | "lose_disk":
                    node.kill()
                    if kind == "lose_disk":
                        node.wipe()
                    await asyncio.sleep(seconds)
                    node.start()
                    await self._until_started(node)
                case "pause":
                    node.signal(signal.SIGSTOP)
                    await asyncio.sleep(seconds)
                    node.signal(signal.SIGCONT)
                case _:
                    node.apply(kind)
                    await asyncio.sleep(seconds)
                    node.restore()

    async def _until_started(self, node: processes.Node) -> None:
        if node.role == "control":
            await asyncio.sleep(_CONTROL_START_SECONDS)
            return
        address = f"{node.ip}:{hosted_processes.READY_PORT}"
        probe = hosted_processes.Caller(address, "ready", 0.5)
        until = time.monotonic() + _READY_SECONDS
        while time.monotonic() < until:
            if (await probe.ask("GET", "/", {})).status == 200:
                return
            await asyncio.sleep(0.1)

    async def _upstream(self, fault: schedule.Fault) -> None:
        upstream = self.upstreams[fault.number % len(self.upstreams)]
        what = f"{fault.kind} of {upstream.name}"
        with self._disturbance(upstream.name, what):
            match fault.kind:
                case "crash":
                    upstream.crash(quietly=True)
                    await asyncio.sleep(fault.seconds)
                    await upstream.restart()
                case "restart":
                    upstream.crash()
                    await upstream.restart()
                case "drain":
                    await self._drain(upstream, fault.seconds)
                case "slow":
                    upstream.slow_down()
                    await asyncio.sleep(fault.seconds)
                    upstream.recover()
                case "slow_read":
                    upstream.reads_slowly = True
                    await asyncio.sleep(fault.seconds)
                    upstream.recover()
                case "foreign":
                    await self._register_invalid(upstream)
                case "resets":
                    await self._reset_often(upstream, fault.seconds)
                case "last_resets":
                    await self._reset_last(upstream, fault.seconds)
                case kind if kind in _PROXY_FAULTS:
                    upstream.link.apply(kind)
                    await asyncio.sleep(fault.seconds)
                    upstream.link.restore()

    async def _roll_out(self, fault: schedule.Fault) -> None:
        """Replaces all engines of a service but one by another version."""
        async with asyncio.TaskGroup() as group:
            for service in ("lm", operators.LONG_SERVICE):
                group.create_task(self._roll_out_at(service, fault))

    async def _roll_out_at(self, service: str, fault: schedule.Fault) -> None:
        engines = [one for one in self.upstreams if one.service == service]
        version = f"v{fault.number}"
        pause = _ROLLOUT_PAUSES[fault.kind]
        async with asyncio.TaskGroup() as group:
            for upstream in engines[1:]:
                step = group.create_task(
                    self._replace(upstream, version, fault.kind)
                )
                if fault.kind == "series":
                    await step
                await asyncio.sleep(pause)

    async def _replace(
        self, upstream: upstreams.Upstream, version: str, kind: str
    ) -> None:
        with self._disturbance(upstream.name, f"{version} at {upstream.name}"):
            if kind != "in_place":
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(upstream.drain(), _ROLLOUT_SECONDS)
                await asyncio.sleep(_ROLLOUT_SECONDS)
            upstream.crash(quietly=kind == "overlap")
            upstream.version = version
            await upstream.restart()

    async def _move(self, fault: schedule.Fault) -> None:
        """Has one engine after the other give its streams away."""
        until = time.monotonic() + fault.seconds
        service = operators.LONG_SERVICE
        engines = [one for one in self.upstreams if one.service == service]
        number = fault.number
        self.log(f"begins: moves, {fault.kind}")
        self.move_faults.is_on = True
        while time.monotonic() < until:
            number += 1
            engine = engines[number % len(engines)]
            is_free = not self._is_under_fault(engine.name)
            for other in engines:
                other.has_room = fault.kind != "full" or other is engine
            if is_free and fault.kind == "slow":
                engine.slow_down()
                await asyncio.sleep(_GIVING_SECONDS)
                engine.recover()
            elif is_free:
                await self._leave(engine, fault.kind == "scale_in")
            await asyncio.sleep(_MOVES_PAUSE_SECONDS)
        for engine in engines:
            engine.has_room = True
        await self.move_faults.finish()
        self.log(f"ends: moves, {fault.kind}")

    def _is_under_fault(self, name: str) -> bool:
        now = time.monotonic()
        return any(
            fault.node == name and fault.end > now
            for fault in self.checks.disturbances
        )

    async def _leave(
        self, upstream: upstreams.Upstream, is_scale_in: bool
    ) -> None:
        """Drains an upstream, which then ends as planned, or stays."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(upstream.drain(), _GIVING_SECONDS)
        await asyncio.sleep(_GIVING_SECONDS)
        while self._is_under_fault(upstream.name):
            await asyncio.sleep(_MOVES_PAUSE_SECONDS)
        if not is_scale_in:
            upstream.stay()
            return
        with self._disturbance(upstream.name, f"scale-in of {upstream.name}"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(upstream.deregister(), _GIVING_SECONDS)
            upstream.crash(quietly=True)
            await asyncio.sleep(_MOVES_PAUSE_SECONDS)
            await upstream.restart()

    async def _drain(
        self, upstream: upstreams.Upstream, seconds: float
    ) -> None:
        """Drains an upstream, and ends its process when it gets no new work."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(upstream.drain(), _DRAIN_TIMEOUT_SECONDS)
        await asyncio.sleep(checks_module.DRAIN_SECONDS + seconds)
        upstream.crash()
        await upstream.restart()

    async def _reset_last(
        self, upstream: upstreams.Upstream, seconds: float
    ) -> None:
        """Resets connections of the only upstream of its service.

        A request that broke off can't be sent elsewhere then.
        """
        others = [
            other
            for other in self.upstreams
            if other.service == upstream.service and other is not upstream
        ]
        for other in others:
            other.crash()
        await self._reset_often(upstream, seconds)
        for other in others:
            await other.restart()

    async def _reset_often(
        self, upstream: upstreams.Upstream, seconds: float
    ) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            upstream.link.abort()
            await asyncio.sleep(_RESET_SECONDS)

    async def _register_invalid(self, upstream: upstreams.Upstream) -> None:
        for change in _INVALID_CHANGES:
            fields = {**upstream.heartbeat(), **change}
            if await upstream.register(fields) == 200:
                self.checks.accepted_invalid(
                    time.monotonic(), f"a registration with {change}"
                )
        for name in ("service", "address", "slots", "state", "sequence"):
            fields = upstream.heartbeat()
            del fields[name]
            if await upstream.register(fields) == 200:
                self.checks.accepted_invalid(
                    time.monotonic(), f"a registration without {name}"
                )

    async def _load(self, fault: schedule.Fault) -> None:
        callers = self.callers
        seconds = fault.seconds
        load: list[Coroutine] = []
        if fault.kind.startswith("burst"):
            load = self._burst()
        elif fault.kind == "slow_readers":
            load = [
                callers.forever(callers.stream, "slow", True, True)
                for _ in range(_SLOW_READERS)
            ]
            seconds = max(seconds, _SLOW_READ_SECONDS)
        with self._disturbance("load", fault.kind):
            callers.leave = fault.kind == "leave"
            try:
                async with _in_background(load):
                    if fault.kind == "burst_leader":
                        await self._kill_leader()
                    await asyncio.sleep(seconds)
            finally:
                callers.leave = False

    async def _crashing(self, fault: schedule.Fault) -> None:
        """Has a request that crashes upstreams sent again and again."""
        callers = self.callers
        self.log(f"begins: crashing {fault.kind} {fault.number}")
        load = [
            callers.forever(callers.crash, fault.kind, fault.number)
            for _ in range(_CRASHING_CALLERS)
        ]
        async with _in_background(load):
            await asyncio.sleep(fault.seconds)
        self.log(f"ends: crashing {fault.kind} {fault.number}")

    def _burst(self) -> list[Coroutine]:
        """Returns the load of a burst, which is above the capacity."""
        callers = self.callers
        return [
            callers.forever(callers.run_program, "noisy")
            for _ in range(_BURST_PROGRAMS)
        ]

    async def _kill_leader(self) -> None:
        await asyncio.sleep(_LEADER_KILL_SECONDS)
        async with self.control_lock:
            leader = self.fleet.leader("programs-0")
            await self._node(leader, "kill", 1.0, "")

    async def _planned(self, fault: schedule.Fault) -> None:
        nodes = self.fleet.controls
        if fault.kind == "stop_entry":
            nodes = self.fleet.entries
        node = nodes[fault.number % len(nodes)]
        if fault.kind == "stop_leader":
            node = self.fleet.leader("programs-0")
        began = time.monotonic()
        planned = self.checks.planned
        planned.append(checks_module.Disturbance(node.name, began, math.inf))
        self.log(f"planned stop of {node.name} begins")
        node.planned = True
        async with asyncio.TaskGroup() as group:
            if fault.kind == "stop_entry":
                for kind in ("turn", "turn", "resume"):
                    group.create_task(self.callers.end_late(kind, node))
            code = await node.stop()
            self.checks.stopped(time.monotonic(), node.name, code)
        node.planned = False
        self.log(f"planned stop of {node.name} ends with code {code}")
        node.start()
        await self._until_started(node)
        planned[-1] = checks_module.Disturbance(
            node.name, began, time.monotonic()
        )

    async def _lose_entries(self) -> None:
        """Kills all entries at once, several times, during a burst.

        The turns that they had running must stop counting. Otherwise turns
        wait although engines are idle.
        """
        async with _in_background(self._burst()):
            with self._disturbance("load", "loss of entries under load"):
                for _ in range(_ENTRY_LOSSES):
                    await asyncio.sleep(_BURST_START_SECONDS)
                    await self._restart_entries()
                await asyncio.sleep(_TURN_TIMEOUT_SECONDS)
                await asyncio.sleep(_OBSERVED_SECONDS)
            now = time.monotonic()
            self.checks.check_idle_capacity(now, now - _OBSERVED_SECONDS)

    async def _restart_entries(self) -> None:
        for node in self.fleet.entries:
            node.kill()
        for node in self.fleet.entries:
            node.start()
        for node in self.fleet.entries:
            await self._until_started(node)

    async def _lose_all(self, fault: schedule.Fault) -> None:
        with self._disturbance("", f"loss of all processes, {fault.kind}"):
            for node in self.fleet.running():
                node.kill()
            if fault.kind == "lose_disks":
                for node in self._tolerated_losses(fault):
                    node.wipe()
            await asyncio.sleep(fault.seconds)
            for node in self.fleet.running():
                node.start()
            await asyncio.gather(
                *(self._until_started(node) for node in self.fleet.entries)
            )


@contextlib.asynccontextmanager
async def _in_background(load: list[Coroutine]) -> AsyncIterator[None]:
    """Runs a load while its context is entered."""
    running = [asyncio.create_task(one) for one in load]
    try:
        yield
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
