"""Callers: programs, single requests, and probes of configuration and keys."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import json
import random
import time
from typing import Any
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import changes
from testing.soak import checks as checks_module
from testing.soak import client
from testing.soak import operators
from testing.soak import processes
from testing.soak import upstreams

# Time after which a caller leaves: longer than the deadline that it states.
_CLIENT_SECONDS = 6.0
_DEADLINE_MS = 4000
# Interval and time-out of readiness checks.
_READY_SECONDS = 0.5
# Failed readiness checks in a row after which an entry gets no requests.
_READY_FAILURES = 2
# Attempts of a request that is refused, and the longest pause between them: a
# longer Retry-After is cut short.
_TRIES = 8
_MAX_RETRY_SECONDS = 1.0
# Events of 100 kB in a response for slow readers.
_LARGE_EVENTS = 400
# Part of the requests whose callers leave early, while some do, and the time
# after which they leave.
_LEAVING_PART = 0.2
_LEAVING_SECONDS = (0.01, 0.3)
# Part of the repetitions of crashing requests that are of an earlier one.
_EARLIER_PART = 0.25
# Part of the requests on a kept connection if there is one, and of those from
# callers of HTTP/1.0, which don't understand chunks.
_KEPT_PART = 0.5
_OLD_PART = 0.1
# Part of the new connections that go through the proxy before an entry. Those
# of slow callers don't: the proxy would hold what they don't read.
_PROXY_PART = 0.4
# Tries to take up a stream that broke off, also one that takes longer than all
# faults that may be between.
_TAKE_UPS = 3
_LONG_TAKE_UPS = 60
_LONG_RETRY_SECONDS = 0.2
# How take-ups name what they continue: by the request that brought the first
# event, by the latest one that brought any, or not at all.
NAMINGS = ("first", "first", "first", "latest", "none")
# Part of the take-ups that two callers make at once.
_BOTH_PART = 0.2
# Numbers before those of streams' first events.
_BASES = (0, 0, 0, 7, 999)
# Events of a long stream and the pause before each, together over 30 s, and its
# deadline.
_LONG_EVENTS = 170
_LONG_PAUSE_MS = 200
_LONG_DEADLINE_MS = 50_000
# Part of the streams whose callers lose their connection, and after how much of
# the body they do: after one event to a dozen.
_LOSING_PART = 0.4
_LOSING_BYTES = (1, 400)
# Pause between requests that keep an upstream busy for seconds.
_LATE_PAUSE_SECONDS = 1.0
# Time in which a request is sent to an entry that stops, and the events of its
# response: two to three seconds, more than the entry then has left.
_LATE_END_SECONDS = (5.0, 6.5)
_LATE_EVENTS = 250
# Pause before each event of a turn that may be moved, and how many there are:
# two to three seconds, less than its deadline.
_MOVED_PAUSE_MS = 35
_MOVED_EVENTS = (55, 80)
# Turns of a program after which its streams have backups, and those after them.
_TURNS_BEFORE_BACKUPS = 3
_TURNS_WITH_BACKUPS = 2
# Token budgets of programs; the small one ends within a few turns.
_BUDGETS = (40, 10_000)


class Sending(NamedTuple):
    """A request to send; see `checks.Request` for the other fields.

    Attributes:
        key: API key.
        target: Path; empty for that of the route of its kind.
        previous: Id of the program's turn before it; empty for the first one.
        budget: Tokens that its program may use; 0 for no bound.
        large: Whether the events of its response are large.
        slow: Whether its caller reads slowly.
        crashing: Name of the request that crashes upstreams, of which this is
            a repetition; empty for others.
        last_event: Number of the event after which a stream is taken up; 0 for
            a new one.
        resumes: Request that it names as the one that began the stream; empty
            for none.
        base: Number before that of the first event of its stream.
        pause_ms: Pause before each event of its stream; 0 for the usual one.
        deadline_ms: Deadline that it states.
        timeout: Seconds after which its caller leaves.
        drop_after: As in `client.Call`.
        send_seconds: As in `client.Call`.
        begun: As in `client.Call`.
        name: Its id; empty for the next one of its kind.
    """

    kind: str
    customer: str
    key: str
    max_runs: int
    target: str = ""
    program: str = ""
    previous: str = ""
    budget: int = 0
    events: int = 0
    body: bytes = b""
    expected: bytes | None = None
    large: bool = False
    slow: bool = False
    crashing: str = ""
    last_event: int = 0
    resumes: str = ""
    base: int = 0
    pause_ms: int = 0
    deadline_ms: int = _DEADLINE_MS
    timeout: float = _CLIENT_SECONDS
    drop_after: int = 0
    send_seconds: float = 0.0
    begun: asyncio.Event | None = None
    name: str = ""


class Turn(NamedTuple):
    """A turn of a program; see `Sending`."""

    events: int
    pause_ms: int = 0


class Result(NamedTuple):
    """A request's id, the end that its caller saw, and its response.

    Attributes:
        life: Process of the entry that handled it; empty if that isn't sure.
    """

    request: str
    end: checks_module.End
    outcome: client.Outcome
    life: str = ""

    @property
    def served(self) -> bool:
        """Whether the whole response arrived."""
        return self.end.status == 200 and self.end.whole


class Balancer:
    """Chooses entries by their readiness, as the platform's balancer does.

    Attributes:
        failures: Readiness checks that have failed in a row, by entry.
    """

    def __init__(
        self, entries: list[processes.Node], generator: random.Random
    ) -> None:
        self.entries = entries
        self.generator = generator
        self.failures = {node.name: 0 for node in entries}

    async def watch_forever(self) -> None:
        """Checks the readiness of all entries periodically."""
        await asyncio.gather(*(self._watch(node) for node in self.entries))

    async def _watch(self, node: processes.Node) -> None:
        address = f"{node.ip}:{hosted_processes.READY_PORT}"
        probe = hosted_processes.Caller(address, "ready", _READY_SECONDS)
        while True:
            answer = await probe.ask("GET", "/", {})
            if answer.status == 200:
                self.failures[node.name] = 0
            else:
                self.failures[node.name] += 1
            await asyncio.sleep(_READY_SECONDS)

    def entry_at(self, address: str) -> processes.Node:
        """Returns the entry that serves callers at an address."""
        (found,) = (
            node
            for node in self.entries
            if address in (node.address, node.front.address)
        )
        return found

    def choose(self) -> processes.Node:
        """Returns an entry that is ready, or any if none is."""
        ready = [
            node
            for node in self.entries
            if self.failures[node.name] < _READY_FAILURES
        ]
        return self.generator.choice(ready or self.entries)


class Callers:
    """Sends requests and records them for the checks.

    Attributes:
        connections: Connections that are kept for later requests, until the
            entry closes them or its process ends.
        leave: Whether callers leave before the end of some responses.
        crashing: Kind and number of the requests that crash upstreams.
    """

    def __init__(
        self,
        balancer: Balancer,
        checks: checks_module.Checks,
        operator: operators.Operator,
        generator: random.Random,
    ) -> None:
        self.balancer = balancer
        self.checks = checks
        self.operator = operator
        self.generator = generator
        self.numbers = itertools.count(1)
        self.connections = client.Connections(generator)
        self.leave = False
        self.crashing: dict[tuple[str, int], None] = {}

    async def send(
        self, sending: Sending, chosen: processes.Node | None = None
    ) -> Result:
        """Sends a request and returns its end.

        Args:
            sending: The request.
            chosen: Entry that gets it over a new connection; None for any
                entry.
        """
        name = sending.name or f"{sending.kind}-{next(self.numbers)}"
        entry = chosen or self.balancer.choose()
        kept = None
        version = "1.1"
        draw = self.generator.random()
        if sending.slow or chosen:
            pass
        elif draw < _KEPT_PART:
            kept = self.connections.take()
        elif draw > 1.0 - _OLD_PART:
            version = "1.0"
        address = entry.address
        is_direct = sending.slow or chosen is not None
        if not is_direct and self.generator.random() < _PROXY_PART:
            address = entry.front.address
        if kept is not None:
            address = kept.address
            entry = self.balancer.entry_at(address)
        process = entry.process
        timeout = sending.timeout
        if self.leave and self.generator.random() < _LEAVING_PART:
            timeout = self.generator.uniform(*_LEAVING_SECONDS)
        self.checks.sent(
            checks_module.Request(
                name,
                sending.kind,
                sending.customer,
                entry.name,
                time.monotonic(),
                sending.max_runs,
                sending.program,
                sending.base + sending.events,
                sending.expected,
                crashing=sending.crashing,
                after=sending.last_event or sending.base,
            )
        )
        outcome = await client.ask(
            address,
            client.Call(
                sending.target or f"/{sending.kind}/x",
                headers_of(name, sending),
                sending.body,
                timeout,
                sending.slow,
                version,
                sending.drop_after,
                sending.send_seconds,
                sending.begun,
            ),
            self.connections,
            kept,
        )
        if address != entry.address and outcome.local in entry.front.unreached:
            outcome = outcome._replace(sent=False)
        end = _end_of(name, sending, outcome)
        self.checks.ended(name, end)
        is_same = process is not None and entry.process is process
        life = f"{entry.name} {process.pid}" if is_same else ""
        return Result(name, end, outcome, life)

    async def retry(self, sending: Sending) -> Result:
        """Sends a request, again under a new id while it is refused.

        Returns:
            The result of the last attempt.
        """
        for _ in range(_TRIES):
            result = await self.send(sending)
            if result.end.sent and result.end.status not in (429, 503):
                break
            delay = float(result.outcome.headers.get("retry-after", 0.1))
            await asyncio.sleep(min(delay, _MAX_RETRY_SECONDS))
        return result

    async def forever(
        self, act: Callable[..., Coroutine], *arguments: Any
    ) -> None:
        """Repeats an action, with pauses of 50 to 250 ms."""
        while True:
            await act(*arguments)
            await asyncio.sleep(self.generator.uniform(0.05, 0.25))

    async def run_program(self, customer: str) -> None:
        """Runs a program: turns, with tool calls between them."""
        turns = [
            Turn(self.generator.randint(4, 16))
            for _ in range(self.generator.randint(2, 5))
        ]
        budget = self.generator.choice(_BUDGETS)
        await self._run_turns("turn", customer, budget, turns)

    async def run_long_program(self, customer: str) -> None:
        """Runs a program whose last turns last long and have backups."""
        turns = [Turn(4)] * _TURNS_BEFORE_BACKUPS
        turns += [
            Turn(self.generator.randint(*_MOVED_EVENTS), _MOVED_PAUSE_MS)
            for _ in range(_TURNS_WITH_BACKUPS)
        ]
        await self._run_turns("long_turn", customer, max(_BUDGETS), turns)

    async def _run_turns(
        self, kind: str, customer: str, budget: int, turns: list[Turn]
    ) -> None:
        """Runs the turns of a program in order."""
        program = f"program-{next(self.numbers)}"
        key = operators.key_of(customer)
        self.checks.budgets[program] = budget
        chain = b""
        previous = ""
        for number, turn in enumerate(turns):
            # The text names program and turn, so that the input of the next
            # turn shows which turns an upstream got.
            text = f"<{program}.{number}>".encode()
            result = await self.retry(
                Sending(
                    kind,
                    customer,
                    key,
                    1,
                    program=program,
                    previous=previous,
                    budget=budget,
                    events=turn.events,
                    body=text,
                    expected=chain + text,
                    pause_ms=turn.pause_ms,
                )
            )
            if result.end.status == 404 and previous:
                self.checks.turn_lost(result.end.at, result.request, previous)
            if not result.served:
                if result.end.status == 402:
                    return
                continue
            output = "".join(f"{e.data}\n" for e in result.outcome.events)
            chain += text + output.encode()
            previous = result.request
            for tool in self.generator.choices(("tool", "safe"), k=2):
                await self.call(tool, customer, key, program)
                await asyncio.sleep(self.generator.uniform(0.0, 0.05))

    async def call(
        self, kind: str, customer: str, key: str, program: str = ""
    ) -> Result:
        """Calls a plain service."""
        runs = operators.SAFE_ATTEMPTS if kind == "safe" else 1
        body = f"{kind} of {program}".encode()
        return await self.retry(
            Sending(
                kind,
                customer,
                key,
                runs,
                program=program,
                body=body,
                expected=body,
            )
        )

    async def upload(self) -> None:
        """Sends a body that upstreams may answer before they have read it.

        Some versions of the configuration have a limit below it.
        """
        kind = self.generator.choice(("tool", "safe"))
        await self.send(
            Sending(
                "upload",
                "anna",
                operators.key_of("anna"),
                operators.SAFE_ATTEMPTS if kind == "safe" else 1,
                target=f"/{kind}/x",
                body=b"u" * upstreams.UPLOAD_BYTES,
            )
        )

    async def stream(
        self, customer: str, large: bool = False, slow: bool = False
    ) -> None:
        """Reads one stream that may be resumed.

        If it breaks off, it is taken up through any entry. Some callers lose
        the connection themselves.
        """
        events = self.generator.randint(4, 30)
        sending = Sending(
            "resume",
            customer,
            operators.key_of(customer),
            operators.SAFE_ATTEMPTS,
            events=_LARGE_EVENTS if large else events,
            body=b"stream",
            expected=b"stream",
            large=large,
            slow=slow,
            base=self.generator.choice(_BASES),
        )
        loses = not slow and self.generator.random() < _LOSING_PART
        if loses:
            sending = sending._replace(
                drop_after=self.generator.randint(*_LOSING_BYTES)
            )
        naming = self.generator.choice(NAMINGS)
        await self._read_stream(sending, naming, _TAKE_UPS, loses)

    async def long_stream(self, customer: str) -> None:
        """Reads a stream of over 30 s, and takes it up until it ends.

        Its content is its own: crashes under others must not count for it.
        """
        body = f"stream {next(self.numbers)}".encode()
        sending = Sending(
            "long",
            customer,
            operators.key_of(customer),
            operators.SAFE_ATTEMPTS,
            events=_LONG_EVENTS,
            body=body,
            expected=body,
            base=self.generator.choice(_BASES),
            pause_ms=_LONG_PAUSE_MS,
            deadline_ms=_LONG_DEADLINE_MS,
            timeout=_LONG_DEADLINE_MS / 1000,
        )
        await self._read_stream(sending, "first", _LONG_TAKE_UPS)

    async def _read_stream(
        self, sending: Sending, naming: str, tries: int, loses: bool = False
    ) -> None:
        """Reads a stream and takes it up where it breaks off.

        Args:
            sending: The request that begins it.
            naming: How take-ups name it; see `NAMINGS`.
            tries: Number of take-ups.
            loses: Whether its caller loses the first connection.
        """
        first = latest = ""
        for _ in range(tries + 1):
            is_take_up = sending.last_event > 0
            results = [await self.send(sending)] if not is_take_up else []
            if is_take_up:
                both = self.generator.random() < _BOTH_PART
                results = await asyncio.gather(
                    *(self.send(sending) for _ in range(1 + both))
                )
            first = first or results[0].request
            for result in results:
                self._stream_read(first, result, naming if is_take_up else "")
            result = results[0]
            numbers = result.end.numbers
            if result.served or sending.slow or (result.end.left and not loses):
                return
            loses = False
            if not numbers and not is_take_up:
                return
            delay = float(result.outcome.headers.get("retry-after", 0.0))
            if sending.kind == "long":
                delay = max(delay, _LONG_RETRY_SECONDS)
            await asyncio.sleep(min(delay, _MAX_RETRY_SECONDS))
            last = numbers[-1] if numbers else sending.last_event
            if last >= sending.base + sending.events:
                return
            latest = result.request if numbers else latest
            names = {"first": first, "latest": latest, "none": ""}
            sending = sending._replace(
                last_event=last, resumes=names[naming], drop_after=0
            )

    async def end_late(self, kind: str, entry: processes.Node) -> None:
        """Sends a long request to an entry that stops, too late to run there.

        Its caller has begun to send it when the entry still took requests.
        """
        customer = "anna"
        is_turn = kind == "turn"
        body = b"sent late in the grace time"
        send_seconds = self.generator.uniform(*_LATE_END_SECONDS)
        sending = Sending(
            kind,
            customer,
            operators.key_of(customer),
            1 if is_turn else operators.SAFE_ATTEMPTS,
            program=f"program-{next(self.numbers)}" if is_turn else "",
            events=_LATE_EVENTS,
            body=body,
            expected=body,
            timeout=send_seconds + _CLIENT_SECONDS,
            send_seconds=send_seconds,
        )
        if is_turn:
            self.checks.budgets[sending.program] = max(_BUDGETS)
            sending = sending._replace(budget=max(_BUDGETS))
        await self.send(sending, entry)

    def _stream_read(self, first: str, result: Result, naming: str) -> None:
        """Has a part of a stream checked; see `checks.Checks.stream_read`."""
        self.checks.stream_read(
            result.end.at,
            first,
            [
                upstreams.parse_event(event.data).version
                for event in result.outcome.events
            ],
            naming,
            result.end.error,
        )

    async def call_limited(self) -> None:
        """Calls as a customer with a low limit; doesn't wait after refusals."""
        customer = "limited"
        key = operators.key_of(customer)
        await self.send(Sending("tool", customer, key, 1, body=b"limited"))

    async def crash(self, kind: str, number: int) -> None:
        """Sends a request that crashes the upstreams which run it.

        At times it sends an earlier one again.
        """
        known = self.crashing
        known.setdefault((kind, number))
        if self.generator.random() < _EARLIER_PART:
            kind, number = self.generator.choice(list(known))
        await self.send(
            Sending(
                kind,
                operators.CRASHER,
                operators.key_of(operators.CRASHER),
                1 if kind == "tool" else operators.SAFE_ATTEMPTS,
                f"/{kind}{upstreams.CRASHING}{number}",
                events=4 if kind == "resume" else 0,
                body=b"crash",
                expected=b"crash",
                crashing=f"{kind}-{number}",
            )
        )

    async def probe_revision(self) -> None:
        """Uses the route of the present version or of an earlier one."""
        version = self.operator.version - self.generator.choice((0, 0, 1, 4, 8))
        if version < 1:
            return
        result = await self.send(
            Sending(
                "revision",
                "anna",
                operators.key_of("anna"),
                operators.SAFE_ATTEMPTS,
                f"/revision-{version}/x",
            )
        )
        self.checks.revision_answered(result.request, version, result.end)

    async def probe_change(self) -> None:
        """Uses a route that some versions have, or have otherwise."""
        probe = self.generator.choice(changes.PROBES)
        await self._probe(probe, operators.SAFE_ATTEMPTS)

    async def probe_timeout(self) -> None:
        """Uses a route whose upstream answers after its time-out."""
        await self._probe(changes.LATE_PROBE, 1)
        await asyncio.sleep(_LATE_PAUSE_SECONDS)

    async def _probe(self, probe: changes.Probe, max_runs: int) -> None:
        result = await self.send(
            Sending(
                "late" if probe.is_late else "change",
                "anna",
                operators.key_of("anna"),
                max_runs,
                probe.target,
                body=probe.body,
                expected=probe.body,
            )
        )
        self.checks.change_probed(result.request, result.life, probe)

    async def probe_key(self) -> None:
        """Uses the newest key or one that has been revoked."""
        age = self.generator.choice((0, 0, 1, 2, 4, 8))
        version = self.operator.version - age
        if version < 1:
            return
        result = await self.send(
            Sending(
                "key",
                operators.ROTATING,
                operators.rotating_key(version),
                1,
                "/tool/key",
            )
        )
        self.checks.key_answered(
            result.request,
            version,
            version + operators.KEY_VERSIONS - 1,
            processes.REVOKE_SECONDS,
            result.end,
        )


def headers_of(name: str, sending: Sending) -> dict[str, str]:
    fields = {
        "X-Request-Id": name,
        "X-Deadline-Milliseconds": str(sending.deadline_ms),
        "Api-Key": sending.key,
    }
    if sending.program:
        fields["X-Program-Id"] = sending.program
    if sending.previous:
        fields["X-Previous-Turn"] = sending.previous
    if sending.budget:
        fields["X-Token-Budget"] = str(sending.budget)
    if sending.events:
        fields["X-Token-Counts"] = f"50,{sending.events}"
        fields["X-Model"] = "m"
    if sending.large:
        fields["X-Large"] = "1"
    if sending.base:
        fields["X-Base"] = str(sending.base)
    if sending.pause_ms:
        fields["X-Pause-Ms"] = str(sending.pause_ms)
    if sending.last_event:
        fields["Last-Event-Id"] = str(sending.last_event)
    if sending.resumes:
        fields["Resumes"] = sending.resumes
    return fields


def _end_of(
    name: str, sending: Sending, outcome: client.Outcome
) -> checks_module.End:
    error = ""
    intact = True
    missing = 0
    makers: list[int] = []
    if outcome.status == 200 and sending.events:
        filler = upstreams.filler_of(sending.large)
        for event in outcome.events:
            found = upstreams.parse_event(event.data)
            if found.run and makers[-1:] != [found.run]:
                makers.append(found.run)
            expected = found._replace(
                request=name, number=event.number, filler=filler
            )
            intact = intact and found == expected
    elif outcome.status == 200:
        whole = upstreams.plain_body(name)
        intact = whole.startswith(outcome.body)
        missing = len(whole) - len(outcome.body)
    elif outcome.body:
        error = _error_kind(outcome.body)
    return checks_module.End(
        time.monotonic(),
        outcome.sent,
        outcome.status,
        outcome.whole,
        outcome.left,
        [event.number for event in outcome.events],
        intact,
        error,
        missing,
        outcome.rest,
        outcome.crossed,
        tuple(makers),
    )


def _error_kind(body: bytes) -> str:
    try:
        fields = json.loads(body)
        return f"{fields['kind']}: {fields['detail']}"
    except (ValueError, KeyError, TypeError):
        return ""
