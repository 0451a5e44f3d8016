"""Entries are out of step while upstreams of a new version join.

    python -m testing.soak.out_of_step SEED ROUNDS [KIND] [FAULT]

In each round one or two entries stand still or are cut off from control while
three services are released. Streams begin before, meanwhile and after it,
through entries in step and out of step, break off and are taken up at others.
KIND is one of `KINDS`, `any` for a random one in each round, or one of
`VARIANTS`. FAULT is put back, see `reintroduced`. Prints what came of the
streams as JSON; the logs are kept if that breaks a rule.
"""

import asyncio
import collections
from collections.abc import Coroutine
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import links
from testing.soak import moving
from testing.soak import moving_upstreams
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders
from testing.soak import refused_take_ups
from testing.soak import upstreams

# `long`, whose streams take over 30 s, is not among the random ones.
KINDS = ("take_up", "begin", "two", "killed", "config_leader", "program_leader")
LONG = "long"
CROWDED, UNDATED, TWICE, TURNS = "crowded", "undated", "twice", "turns"
MOVES = "moves"
# Variants, each with a random one of the kinds in each round:
# crowded: more streams than the upstreams serve.
# undated: upstreams that state no start, and have a new id after each.
# twice: most streams are taken up while their first answer runs, or are begun
#   at two entries under one id.
# turns: programs whose turns are kept, through entries in and out of step.
# moves: the same, and upstreams drain before they end, so that entries move
#   their streams and turns; entries stand still at points of a move.
VARIANTS = (CROWDED, UNDATED, TWICE, TURNS, MOVES)
WAYS = ("stop", "cut", "cut_in", "cut_out", "lost", "lost_in", "lost_out")
# How a service is released: the new upstreams join and the old ones stay, or
# leave; each has a new process under another id at its address, or under its
# own id; one is replaced, then half, then the rest.
STYLES = ("beside", "replace", "address", "in_place", "steps")
# When and where a stream begins, breaks off and is taken up:
# early: begins elsewhere before the release; taken up at an entry out of step.
# joined: the same, begins during the release.
# woken: the same, taken up as the entry is back.
# begun: begins at an entry that gets out of step or is back just then.
# both: taken up while the first answer still runs.
# double: the same id is sent at two entries.
# later: taken up only once all entries are in step again.
ROLES = ("early", "joined", "joined", "woken", "begun", "both", "double")
_BEGINNING = ("begun", "begun", "begun", "woken", "both", "double")
_LATER = ("later", "later", "later")
_TWICE = ("both", "both", "both", "double", "double", "double")
# Callers of each service that begin stream after stream: 16 run at once.
_CROWD = 20
# Programs of each service, their turns, and the tries of a turn.
_PROGRAMS, _TURNS, _TURN_TRIES = 4, 3, 4
# Time for which an upstream with moves drains, and chance and duration of the
# stop of an entry at a point of a move.
_DRAIN_SECONDS = (0.2, 1.0)
_STOP_PART = 0.4
_STOP_SECONDS = (0.1, 1.5)
SERVICES = 3
# Lists of the report that are empty unless a rule is broken.
FINDINGS = ("joined", "disordered", "ended", "violations")
_OLD, _NEW = "v1", "v2"
_EVENTS, _PAUSE_MS = 40, 50
_LONG_EVENTS, _LONG_PAUSE_MS, _LONG_MS = 170, 200, 60_000
# Deadline of callers that come back once all entries are in step again.
_LATER_MS = 30_000
_LOST_AFTER_BYTES = (40, 400)
_STILL_SECONDS = (0.6, 5.5)
# Time before the entries are out of step, in which streams begin.
_BEFORE_SECONDS = 0.6
_READY_SECONDS = 30.0
# Time after which directories and leases are up to date again.
_SETTLE_SECONDS = 2.0
# Tries to begin a stream, and the pause after each.
_BEGINNINGS = 6
_REFUSED_SECONDS = 0.25
# Take-ups of a stream once all is back in step.
_TAKE_UPS = 3
_CALLER_SECONDS = 6.0
_NAMINGS = ("first", "first", "latest", "none")
_BUDGET = 100_000


class Plan(NamedTuple):
    """One round.

    Attributes:
        number: Its number, which is a part of the names of its services.
        kind: One of `KINDS`.
        way: One of `WAYS`.
        seconds: Time for which entries are out of step.
        entries: Their indexes.
        styles: How each of its services is released.
    """

    number: int
    kind: str
    way: str
    seconds: float
    entries: list[int]
    styles: list[str]


class Stream:
    """One stream as its caller has it.

    Attributes:
        service: Service that runs it.
        role: One of `ROLES`.
        naming: How take-ups name it; see `callers.NAMINGS`.
        program: Program that it belongs to; empty for none.
        name: Id of its first request; empty for the next free one.
        is_long: Whether it takes over 30 s.
        first: Request that brought the first event; empty before.
        latest: Latest request that brought an event.
        last: Number of its last event.
        versions: Versions of its events, in order, once each in a row.
        is_ordered: Whether its numbers follow each other.
        is_whole: Whether it has ended.
        is_refused: Whether the request that was to begin it was refused.
        is_taken_up: Whether its caller has tried to take it up.
        error: Error of the latest request.
        began_at: When its first request was sent.
        entry: Entry that this was sent to; None before.
        starts: Starts of that entry by then.
        runs: What its requests brought, in order.
    """

    def __init__(
        self,
        service: str,
        role: str,
        naming: str,
        program: str,
        name: str = "",
        is_long: bool = False,
    ) -> None:
        self.service = service
        self.role = role
        self.naming = naming
        self.program = program
        self.name = name
        self.is_long = is_long
        self.first = ""
        self.latest = ""
        self.last = 0
        self.versions: list[str] = []
        self.is_ordered = True
        self.is_whole = False
        self.is_refused = False
        self.is_taken_up = False
        self.error = ""
        self.began_at = 0.0
        self.entry: processes.Node | None = None
        self.starts = 0
        self.runs: list[str] = []

    @property
    def events(self) -> int:
        """Number of its events."""
        return _LONG_EVENTS if self.is_long else _EVENTS

    def sending(self, loses: int = 0) -> callers_module.Sending:
        """Returns the request that begins it or takes it up.

        Args:
            loses: Bytes after which the caller loses its connection.
        """
        names = {"first": self.first, "latest": self.latest, "none": ""}
        body = f"stream of {self.service} {id(self)}".encode()
        if self.name:
            body = self.name.encode()
        found = callers_module.Sending(
            "long" if self.is_long else "resume",
            "anna",
            operators.key_of("anna"),
            operators.SAFE_ATTEMPTS,
            target=f"/{self.service}/x",
            program=self.program,
            budget=_BUDGET if self.program else 0,
            events=self.events,
            body=body,
            expected=body,
            last_event=self.last,
            resumes=names[self.naming],
            pause_ms=_LONG_PAUSE_MS if self.is_long else _PAUSE_MS,
            timeout=_CALLER_SECONDS,
            drop_after=loses,
        )
        if self.role == "later":
            found = found._replace(deadline_ms=_LATER_MS)
        if self.is_long:
            seconds = _LONG_MS / 1000
            found = found._replace(deadline_ms=_LONG_MS, timeout=seconds)
        if self.name and not self.last:
            # It is sent twice.
            found = found._replace(
                name=self.name, max_runs=2 * operators.SAFE_ATTEMPTS
            )
        return found

    def sent(self, entry: processes.Node) -> None:
        """Its first request is sent."""
        self.began_at = time.monotonic()
        self.entry = entry
        self.starts = entry.starts

    def read(self, result: callers_module.Result, after: int) -> None:
        """Adds what a request brought that was to go on after an event."""
        found = result.outcome.events
        numbers = [event.number for event in found]
        first = after + 1
        if numbers != list(range(first, first + len(numbers))):
            self.is_ordered = False
        for event in found:
            version = upstreams.parse_event(event.data).version
            if self.role != "turn":
                # A new run may go on with a stream, but not with a turn.
                version = version.partition("~")[0]
            if self.versions[-1:] != [version]:
                self.versions.append(version)
        self.error = result.end.error.partition(":")[0]
        if not after:
            self.is_refused = result.end.status in checks_module.REFUSALS
        self.runs.append(f"{result.request} {numbers[:1]} {self.error}")
        if found:
            self.first = self.first or result.request
            self.latest = result.request
            self.last = max(self.last, numbers[-1])
        self.is_whole = (
            self.is_whole or result.served or self.last == self.events
        )


class Scenario:
    """The processes, upstreams and callers of one run."""

    def __init__(
        self,
        seed: int,
        rounds: int,
        kind: str,
        folder: pathlib.Path,
        fault: str,
    ) -> None:
        generator = random.Random(seed)
        self.seed = seed
        self.generator = generator
        self.checks = checks_module.Checks()
        network = processes.free_network()
        self.fleet = processes.Fleet(network, folder, 3, 3, fault)
        self.clients = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 1.0
            )
            for node in self.fleet.controls
        ]
        self.recorder = recorders.MovingRecorder(self.checks, self._reached)
        self.network = moving_upstreams.Network(self.recorder)
        self.fleet.backups = kind == MOVES
        self.points: collections.Counter[str] = collections.Counter()
        self.stops: set[asyncio.Task] = set()
        self.operator = operators.Operator(self.clients, self.checks, generator)
        balancer = callers_module.Balancer(self.fleet.entries, generator)
        self.callers = callers_module.Callers(
            balancer, self.checks, self.operator, generator
        )
        self.plans = [
            self._plan(number, kind) for number in range(1, rounds + 1)
        ]
        self.variant = kind
        self.is_long = kind == LONG
        self.upstreams: dict[str, list[upstreams.Upstream]] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.refused: list[refused_take_ups.Refusal] = []
        self.began = 0.0
        self.disturbed: set[str] = set()
        self.in_step = asyncio.Event()
        self.ended: list[str] = []

    def _plan(self, number: int, kind: str) -> Plan:
        generator = self.generator
        is_random = kind == "any" or kind in VARIANTS
        chosen = generator.choice(KINDS) if is_random else kind
        count = 2 if chosen == "two" else 1
        return Plan(
            number,
            chosen,
            generator.choice(WAYS),
            generator.uniform(*_STILL_SECONDS),
            generator.sample(range(len(self.fleet.entries)), count),
            generator.sample(STYLES, SERVICES),
        )

    async def run(self) -> list[Stream]:
        """Returns the streams of all rounds at their ends."""
        try:
            await self.fleet.start()
            async with asyncio.timeout(_READY_SECONDS):
                await self._configure()
                await asyncio.gather(*map(self._until_ready, self._entries()))
            found = []
            for plan in self.plans:
                found += await self._round(plan)
            return found
        finally:
            self.callers.connections.close()
            await self._stop()

    async def _stop(self) -> None:
        """Ends all upstreams and processes."""
        for task in self.stops:
            task.cancel()
        for found in self.upstreams.values():
            for one in found:
                one.heartbeat_task.cancel()
                if one.heartbeats:
                    one.crash()
                one.link.close()
        for client in self.clients:
            client.close_idle()
        await self.fleet.stop()

    def _entries(self) -> list[processes.Node]:
        return self.fleet.entries

    async def _configure(self) -> None:
        """Pushes a configuration with a route for each service."""
        names = [
            _service(plan, number)
            for plan in self.plans
            for number in range(SERVICES)
        ]
        engine = moving.ENGINE if self.variant == MOVES else None
        found = operators.configuration(1, engine)
        (service,) = (one for one in found["services"] if one["name"] == "lm")
        name = "long" if self.is_long else "resume"
        (route,) = (one for one in found["routes"] if one["name"] == name)
        found["services"] += [{**service, "name": name} for name in names]
        found["routes"] += [
            {**route, "name": name, "pathPrefix": f"/{name}/", "service": name}
            for name in names
        ]
        if self.variant in (TURNS, MOVES):
            (turn,) = (one for one in found["routes"] if one["name"] == "turn")
            found["routes"] += [
                {
                    **turn,
                    "name": f"turn-{name}",
                    "pathPrefix": f"/turn-{name}/",
                    "service": name,
                }
                for name in names
            ]
        body = json.dumps(found).encode()
        while True:
            for client in self.clients:
                answer = await client.ask(
                    "POST", "/v1/Configuration.Put", {}, body
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)

    # --- One round ------------------------------------------------------------

    async def _round(self, plan: Plan) -> list[Stream]:
        """Returns the streams of a round at their ends."""
        for number, style in enumerate(plan.styles):
            service = _service(plan, number)
            count = 4 if style == "steps" else 2
            self.upstreams[service] = [
                self._upstream(f"{service}-old-{one}", service, _OLD)
                for one in range(count)
            ]
            for one in self.upstreams[service]:
                await one.start()
        async with asyncio.timeout(_READY_SECONDS):
            await asyncio.gather(
                *(
                    self._until_served(_service(plan, number), entry)
                    for number in range(SERVICES)
                    for entry in self._entries()
                )
            )
        self.in_step.clear()
        self.disturbed = {self._entries()[one].name for one in plan.entries}
        self.began = time.monotonic() + _BEFORE_SECONDS
        played = [
            asyncio.create_task(one)
            for number in range(SERVICES)
            for one in self._streams(plan, _service(plan, number))
        ]
        released = [
            asyncio.create_task(
                self._release(plan, _service(plan, number), one)
            )
            for number, one in enumerate(plan.styles)
        ]
        await self._be_out_of_step(plan)
        async with asyncio.timeout(_READY_SECONDS):
            await asyncio.gather(*map(self._until_ready, self._entries()))
        await asyncio.gather(*released)
        await asyncio.sleep(_SETTLE_SECONDS)
        self.in_step.set()
        found = await asyncio.gather(*played)
        self.ended += [
            node.name for node in self.fleet.running() if node.has_ended()
        ]
        for number in range(SERVICES):
            for one in self.upstreams[_service(plan, number)]:
                one.heartbeat_task.cancel()
                if one.heartbeats:
                    one.crash(quietly=True)
        return [stream for streams in found for stream in streams]

    def _upstream(
        self, name: str, service: str, version: str
    ) -> upstreams.Upstream:
        found: upstreams.Upstream
        if self.variant == MOVES:
            found = moving_upstreams.Upstream(name, self.network, self.clients)
            found.service = service
        else:
            found = upstreams.Upstream(
                name, service, self.recorder, self.clients
            )
        found.version = version
        found.states_start = self.variant != UNDATED
        self.recorder.upstreams[name] = found
        return found

    async def _at(self, plan: Plan, part: float, seconds: float = 0.0) -> None:
        """Waits for a part of the time out of step, and some seconds more."""
        at = self.began + part * plan.seconds + seconds
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def _be_out_of_step(self, plan: Plan) -> None:
        """Has entries, and perhaps a leader, out of step for some time."""
        nodes = [self._entries()[index] for index in plan.entries]
        groups = {"config_leader": "config", "program_leader": "programs-0"}
        if plan.kind in groups:
            nodes.append(self.fleet.leader(groups[plan.kind]))
        await self._at(plan, 0.0)
        for node in nodes:
            self._disturb(node, plan.way)
        await self._at(plan, 1.0)
        is_woken = self.generator.random() < 0.5
        silences: list[links.Silence] = []
        for node in nodes:
            if plan.kind != "killed" or is_woken:
                silences += self._restore(node, plan.way)
        if plan.kind == "killed":
            await asyncio.sleep(self.generator.uniform(0.0, 0.1))
            for node in nodes:
                node.kill()
                if not is_woken:
                    self._restore(node, plan.way)
                node.start()
        await asyncio.sleep(self.generator.uniform(0.0, plan.seconds))
        for silence in silences:
            silence.end()

    def _disturb(self, node: processes.Node, way: str) -> None:
        match way:
            case "stop":
                node.signal(signal.SIGSTOP)
            case "cut":
                node.apply("silent")
            case "cut_in" | "cut_out":
                node.apply(way)
            case _:
                node.lose_packets(_directions(way), self._others(node))

    def _restore(self, node: processes.Node, way: str) -> list[links.Silence]:
        """Ends a disturbance; returns what stays silent for longer."""
        if way == "stop":
            node.signal(signal.SIGCONT)
        elif way.startswith("cut"):
            node.restore()
        else:
            return node.regain(self._others(node))
        return []

    def _others(self, node: processes.Node) -> list[str]:
        return [one.name for one in self.fleet.running() if one is not node]

    # --- A release ------------------------------------------------------------

    async def _release(self, plan: Plan, service: str, style: str) -> None:
        """Releases the new version of a service."""
        old = list(self.upstreams[service])
        if self.variant == UNDATED and style == "in_place":
            style = "address"
        match style:
            case "beside" | "replace":
                await self._at(plan, 0.15)
                for number in range(len(old)):
                    await self._join(service, number)
                if style == "replace":
                    await self._at(plan, 0.6)
                    for one in old:
                        await self._drain(one)
                        one.crash(quietly=self.generator.random() < 0.5)
            case "address":
                for number, one in enumerate(old):
                    await self._at(plan, 0.15 + 0.3 * number)
                    one.crash(quietly=self.generator.random() < 0.5)
                    await asyncio.sleep(self.generator.uniform(0.0, 0.2))
                    await self._join(service, number, one)
            case "in_place":
                for number, one in enumerate(old):
                    await self._at(plan, 0.15 + 0.3 * number)
                    await self._replace_in_place(one)
            case "steps":
                for number, one in enumerate(old):
                    await self._at(plan, (0.1, 0.35, 0.6, 0.6)[number])
                    await self._join(service, number)
                    await asyncio.sleep(self.generator.uniform(0.0, 0.2))
                    await self._drain(one)
                    one.crash(quietly=self.generator.random() < 0.5)

    async def _drain(self, upstream: upstreams.Upstream) -> None:
        """Has entries move the streams of an upstream, where it can."""
        if self.variant != MOVES:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(upstream.drain(), _DRAIN_SECONDS[1])
        await asyncio.sleep(self.generator.uniform(*_DRAIN_SECONDS))

    async def _reached(
        self,
        point: str,
        copy: moving_upstreams.Copy | None,
        run: moving_upstreams.Run,
    ) -> None:
        """Has the entry of some of the moves stand still at a point."""
        del copy
        self.points[point] += 1
        request = self.checks.requests.get(run.request)
        if request is None or request.entry in self.disturbed:
            return
        generator = random.Random(f"{self.seed} {point} {run.request}")
        if generator.random() < _STOP_PART:
            node = self.fleet.nodes[request.entry]
            seconds = generator.uniform(*_STOP_SECONDS)
            self.points[f"{point}, stopped"] += 1
            task = asyncio.create_task(self._stop_entry(node, seconds))
            self.stops.add(task)
            task.add_done_callback(self.stops.discard)
            # The entry stands still before the move goes on.
            await asyncio.sleep(0)

    async def _stop_entry(self, node: processes.Node, seconds: float) -> None:
        node.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            node.signal(signal.SIGCONT)

    async def _join(
        self,
        service: str,
        number: int,
        before: upstreams.Upstream | None = None,
    ) -> None:
        """Starts an upstream of the new version, at an address or a new one."""
        found = self._upstream(f"{service}-new-{number}", service, _NEW)
        if before is None:
            await found.start()
        else:
            await found.start_instead_of(before)
        if isinstance(found, moving_upstreams.Upstream):
            self.network.upstreams[found.link.address] = found
        self.upstreams[service].append(found)

    async def _replace_in_place(self, upstream: upstreams.Upstream) -> None:
        """Starts a process of the new version under the id of the old one.

        Control hears of the process before it once more, and of this one late.
        """
        before = upstream.heartbeat()
        upstream.crash(quietly=self.generator.random() < 0.5)
        await asyncio.sleep(self.generator.uniform(0.0, 0.2))
        upstream.version = _NEW
        await upstream.restart()
        upstream.heartbeats = False
        await asyncio.sleep(self.generator.uniform(0.0, 0.4))
        await upstream.register(before)
        await asyncio.sleep(self.generator.uniform(0.0, 0.4))
        upstream.heartbeats = True

    # --- Streams --------------------------------------------------------------

    def _streams(self, plan: Plan, service: str) -> list[Coroutine]:
        roles = _BEGINNING if plan.kind == "begin" else ROLES
        if self.variant == TWICE:
            roles = _TWICE
        found: list[Coroutine] = []
        if self.variant == CROWDED:
            found += [self._crowd(plan, service) for _ in range(_CROWD)]
        if self.variant in (TURNS, MOVES):
            found += [
                self._run_program(plan, service, f"turns-{service}-{number}")
                for number in range(_PROGRAMS)
            ]
        for number, role in enumerate((*roles, *_LATER)):
            naming = self.generator.choice(_NAMINGS)
            if role == "later":
                naming = "first"
            in_program = self.generator.random() < 0.3
            program = f"program-{service}-{number}" if in_program else ""
            name = f"double-{service}-{number}" if role == "double" else ""
            copies = [
                Stream(service, role, naming, program, name, self.is_long)
                for _ in range(1 + (role == "double"))
            ]
            found.append(self._play(plan, copies))
        return found

    async def _play(self, plan: Plan, streams: list[Stream]) -> list[Stream]:
        """Returns streams of one role at their ends."""
        stream = streams[0]
        affected = [self._entries()[index] for index in plan.entries]
        others = [one for one in self._entries() if one not in affected]
        choice, uniform = self.generator.choice, self.generator.uniform
        loses = self.generator.randint(*_LOST_AFTER_BYTES)
        match stream.role:
            case "early":
                await self._at(plan, 0.0, uniform(-_BEFORE_SECONDS, 0.0))
                await self._begin(stream, others, loses)
            case "joined" | "woken" | "later":
                await self._at(plan, uniform(0.2, 0.8))
                await self._begin(stream, others, loses)
                if stream.role == "woken":
                    await self._at(plan, 1.0, uniform(-0.05, 0.2))
            case "begun":
                end = choice((0.0, 1.0, 1.0))
                await self._at(plan, end, uniform(-0.1, 0.3))
                await self._begin(stream, affected, loses)
            case "both":
                await self._at(plan, uniform(0.2, 0.8))
                await self._ask_twice(stream, choice(others), choice(affected))
            case "double":
                await self._at(plan, uniform(0.2, 1.0))
                await asyncio.gather(
                    self._ask(stream, choice(others), loses),
                    self._ask(streams[1], choice(affected), loses),
                )
        entries = affected if stream.role != "begun" else others
        if stream.role != "later":
            for one in streams:
                if one.last and not one.is_whole:
                    await self._take_up(one, choice(entries))
        for one in streams:
            await self._to_the_end(one)
        return streams

    async def _crowd(self, plan: Plan, service: str) -> list[Stream]:
        """Begins stream after stream, and takes those up that break off."""
        found: list[Stream] = []
        uniform = self.generator.uniform
        await self._at(plan, 0.0, uniform(-_BEFORE_SECONDS, 0.0))
        while time.monotonic() < self.began + plan.seconds:
            stream = Stream(service, "crowd", "first", "")
            loses = self.generator.choice((0, 200, 400))
            entry = self.generator.choice(self._entries())
            await self._ask(stream, entry, loses)
            if not stream.last:
                await asyncio.sleep(uniform(0.0, _REFUSED_SECONDS))
                continue
            found.append(stream)
            if not stream.is_whole:
                entry = self.generator.choice(self._entries())
                await self._take_up(stream, entry)
        for stream in found:
            await self._to_the_end(stream)
        return found

    async def _run_program(
        self, plan: Plan, service: str, program: str
    ) -> list[Stream]:
        """Runs turns that continue each other, through any entry.

        One that breaks off, or is refused, is sent again from its start.
        """
        found: list[Stream] = []
        chain, previous = b"", ""
        uniform = self.generator.uniform
        self.checks.budgets[program] = _BUDGET
        await self._at(plan, 0.0, uniform(-_BEFORE_SECONDS, plan.seconds))
        for number in range(_TURNS):
            text = f"<{program}.{number}>".encode()
            served = None
            for _ in range(_TURN_TRIES):
                turn = Stream(service, "turn", "none", program)
                sending = turn.sending()._replace(
                    kind="turn",
                    max_runs=1,
                    target=f"/turn-{service}/x",
                    previous=previous,
                    body=text,
                    expected=chain + text,
                )
                entry = self.generator.choice(self._entries())
                result = await self.callers.send(sending, entry)
                turn.read(result, 0)
                end = "whole" if result.served else turn.error or "cut"
                self.counts[f"turn {number + 1}: {end}"] += 1
                found.append(turn)
                if result.end.status == 404 and previous:
                    self.checks.turn_lost(
                        result.end.at, result.request, previous
                    )
                if result.served:
                    served = result
                    break
                await asyncio.sleep(_REFUSED_SECONDS)
            if served is None:
                break
            said = "".join(f"{one.data}\n" for one in served.outcome.events)
            chain += text + said.encode()
            previous = served.request
        return found

    async def _begin(
        self, stream: Stream, entries: list[processes.Node], loses: int
    ) -> None:
        """Begins a stream, again under another id if it is refused."""
        for _ in range(_BEGINNINGS):
            await self._ask(stream, self.generator.choice(entries), loses)
            if stream.last or self.in_step.is_set():
                break
            await asyncio.sleep(_REFUSED_SECONDS)

    async def _ask(
        self, stream: Stream, entry: processes.Node, loses: int = 0
    ) -> None:
        sending = stream.sending(loses)
        if stream.program:
            self.checks.budgets[stream.program] = _BUDGET
        if not sending.last_event:
            stream.sent(entry)
        result = await self.callers.send(sending, entry)
        stream.read(result, sending.last_event)
        if not sending.last_event:
            end = "begun" if stream.last else stream.error or "no answer"
            self.counts[f"begin {stream.role} {end}"] += 1

    async def _ask_twice(
        self, stream: Stream, entry: processes.Node, other: processes.Node
    ) -> None:
        """Takes a stream up at another entry while its first answer runs."""
        name = f"both-{stream.service}-{id(stream)}"
        begun = asyncio.Event()
        stream.sent(entry)
        sending = stream.sending()._replace(name=name, begun=begun)
        first = asyncio.create_task(self.callers.send(sending, entry))
        waits = asyncio.create_task(begun.wait())
        await asyncio.wait({first, waits}, return_when="FIRST_COMPLETED")
        waits.cancel()
        result = None
        if begun.is_set():
            resumes = "" if stream.naming == "none" else name
            again = stream.sending()._replace(last_event=1, resumes=resumes)
            result = await self.callers.send(again, other)
            self._count(stream, result, resumes)
        stream.read(await first, 0)
        if result is not None:
            stream.read(result, 1)

    async def _take_up(self, stream: Stream, entry: processes.Node) -> None:
        sending = stream.sending()
        result = await self.callers.send(sending, entry)
        stream.read(result, sending.last_event)
        self._count(stream, result, sending.resumes)

    def _count(
        self, stream: Stream, result: callers_module.Result, resumes: str
    ) -> None:
        """Counts a take-up by what came of it."""
        end = result.end.error.partition(":")[0] or "no answer"
        if result.outcome.events:
            end = "went on"
        phase = "in step" if self.in_step.is_set() else "out of step"
        is_left = not any(
            one.heartbeats and one.version in stream.versions
            for one in self.upstreams[stream.service]
        )
        left = ", version left" if is_left else ""
        twin = " of two with one id" if stream.name else ""
        self.counts[f"{phase}, {stream.naming}{twin}{left}: {end}"] += 1
        stream.is_taken_up = True
        if end == "unknown_stream" and stream.naming == "first":
            self.refused.append(self._refusal(stream, result.request, resumes))

    def _refusal(
        self, stream: Stream, request: str, resumes: str
    ) -> refused_take_ups.Refusal:
        sending = stream.sending()
        is_disturbed = stream.entry.name in self.disturbed
        return refused_take_ups.Refusal(
            request,
            resumes,
            stream.role,
            time.monotonic() - stream.began_at,
            sending.deadline_ms / 1000,
            stream.entry.name,
            stream.entry.starts != stream.starts,
            is_disturbed and not self.in_step.is_set(),
        )

    async def _to_the_end(self, stream: Stream) -> None:
        """Takes a stream up until it has ended, for a limited time."""
        if stream.role == "later":
            await self.in_step.wait()
        left = _TAKE_UPS
        while stream.last and not stream.is_whole and left:
            left -= self.in_step.is_set()
            await self._take_up(stream, self.generator.choice(self._entries()))
            await asyncio.sleep(_REFUSED_SECONDS)

    # --- Readiness ------------------------------------------------------------

    async def _until_served(self, service: str, entry: processes.Node) -> None:
        """Waits until an entry serves a service."""
        while True:
            stream = Stream(service, "warm", "none", "")
            sending = stream.sending()._replace(events=1, pause_ms=0)
            result = await self.callers.send(sending, entry)
            if result.outcome.events:
                return
            await asyncio.sleep(0.1)

    async def _until_ready(self, node: processes.Node) -> None:
        address = f"{node.ip}:{hosted_processes.READY_PORT}"
        probe = hosted_processes.Caller(address, "ready", 0.5)
        while (await probe.ask("GET", "/", {})).status != 200:
            await asyncio.sleep(0.1)


def _service(plan: Plan, number: int) -> str:
    """Returns the name of a service of a round."""
    return f"lm-{plan.number}-{number}"


def _directions(way: str) -> tuple[str, ...]:
    """Returns the directions in which packets are lost."""
    return {"lost_in": ("in",), "lost_out": ("out",)}.get(way, ("in", "out"))


def is_excused(found: checks_module.Violation, streams: list[Stream]) -> bool:
    """Returns whether a refusal was true after all.

    Of two requests with one id, one may be refused while the other runs.
    """
    return found.rule == "truthful_refusal" and any(
        one.name and not one.is_refused and f" {one.name} " in found.detail
        for one in streams
    )


def report(scenario: Scenario, streams: list[Stream]) -> dict[str, Any]:
    """Returns what came of the streams, and what was violated."""
    ends: collections.Counter[str] = collections.Counter()
    lines = refused_take_ups.read(scenario.fleet.entries)
    for stream in streams:
        end = "whole" if stream.is_whole else stream.error or "cut"
        ends[f"{stream.role} {end if stream.last else 'not begun'}"] += 1
    return {
        "plans": [
            f"{plan.kind} {plan.way} {plan.seconds:.1f} s {plan.styles}"
            for plan in scenario.plans
        ],
        "variant": scenario.variant,
        "load": round(os.getloadavg()[0], 1),
        "streams": len(streams),
        "begun": sum(stream.last > 0 for stream in streams),
        "taken_up": sum(stream.is_taken_up for stream in streams),
        "points": dict(sorted(scenario.points.items())),
        "ends": dict(sorted(ends.items())),
        "take_ups": dict(sorted(scenario.counts.items())),
        "unrecorded": len(lines.unrecorded),
        "recorded_late": len(lines.late),
        "unknown_by_first": refused_take_ups.count(scenario.refused, lines),
        "untraced": [
            str(one)
            for one in scenario.refused
            if refused_take_ups.reason_of(one, lines)
            == refused_take_ups.UNEXPLAINED
        ],
        "joined": [
            f"{stream.role} {stream.naming} {stream.service} "
            f"{stream.program} {stream.versions} {stream.runs}"
            for stream in streams
            if len(stream.versions) > 1
        ],
        "disordered": [
            f"{stream.role} {stream.service} {stream.runs}"
            for stream in streams
            if not stream.is_ordered
        ],
        "ended": scenario.ended,
        "violations": [
            str(found)
            for found in scenario.checks.violations
            if not is_excused(found, streams)
        ],
    }


async def _run(
    seed: int, rounds: int, kind: str, folder: pathlib.Path, fault: str
) -> dict[str, Any]:
    scenario = Scenario(seed, rounds, kind, folder, fault)
    streams = await scenario.run()
    return report(scenario, streams)


def main() -> None:
    """Runs it once."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    kind = sys.argv[3] if len(sys.argv) > 3 else "any"
    fault = sys.argv[4] if len(sys.argv) > 4 else ""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="out-of-step-"))
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        found = runner.run(_run(seed, rounds, kind, folder, fault))
    if any(found[name] for name in FINDINGS):
        found["logs"] = str(folder)
    else:
        shutil.rmtree(folder)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
