"""A small virtual-time loop over the real decision code.

Programs arrive, an entry places each call, a sidecar's gate admits, queues or
refuses it, the engine model runs it, and the sidecar keeps or drops the cache
over the pause. No decision is made in this file for a policy under test.
"""

from collections.abc import Callable
import heapq
import math
from typing import Any
from typing import NamedTuple

from mintcleat.decisions import admission
from mintcleat.decisions import cache_retention
from mintcleat.decisions import calls
from mintcleat.decisions import order
from mintcleat.decisions import placement
from mintcleat.decisions import queue
from mintcleat.decisions import remaining_work
from mintcleat.decisions import retry
from mintcleat.domain import call_messages
from mintcleat.domain import identities
import policy_engine
import policy_load

REPORT_PERIOD = 0.5
REPORT_DELAY = 0.05
HOP = 0.001
ENTRIES = 2
SWEEP_PERIOD = 1.0
# A program whose tool hung is closed by its caller after this long.
ABANDON_SECONDS = 900.0
GONE_DELAY = 1.0

FIFO = order.Switches(attained=False, learned=False, gating=False)


class Policy(NamedTuple):
    """Which decisions are in force.

    Attributes:
        placing: `choose`, `round_robin` or `least_loaded` (and sticky).
        keeping: `none`, `age` (least recently used) or `pause`.
        deadline: Seconds per call; 0 for none.
        retries: Whether the retry budget bounds retries at the entry.
    """

    name: str
    placing: str = "choose"
    keeping: str = "pause"
    gate: queue.Options = queue.Options()
    switches: placement.Switches = placement.ALL_ON
    bounded_pause: bool = True
    export: bool = True
    deadline: float = 120.0
    retries: bool = True
    weights: placement.Weights | None = None


class Result(NamedTuple):
    """What a run gave; latencies by program, in arrival order.

    Attributes:
        records: (arrival, end or inf, customer, agent, pauses, service).
        wasted: Prompt tokens computed again.
        done_service: (time, engine seconds) of each useful call.
        late: Calls that ended after their deadline, and admitted calls.
        refusals: Final refusals to callers.
    """

    records: list[tuple[float, float, str, str, float]]
    wasted: int
    useful: list[tuple[float, float]]
    late: int
    admitted: int
    refusals: int
    moves: int
    computed: int


class Running:
    """A program under way."""

    def __init__(
        self, spec: policy_load.Program, now: float, root: "Running | None"
    ) -> None:
        self.spec = spec
        self.arrived = now
        self.root = root or self
        self.step = 0
        self.history = 0
        self.attained = 0
        self.resident = ""
        self.ended = math.inf
        self.paused = 0.0
        self.paused_at = 0.0
        self.tool = ""
        self.then: Callable[[], None] | None = None


class Job:
    """One call under way."""

    def __init__(self, program: Running, number: int) -> None:
        self.program = program
        self.call_id = f"{program.spec.name}/{program.step}/{number}"
        self.step = program.spec.steps[program.step]
        self.prompt = program.history + self.step.new
        self.tried: set[str] = set()
        self.attempts = 0
        self.deadline = math.inf
        self.choice: placement.Choice | None = None
        self.sidecar: Sidecar | None = None
        self.started = 0.0
        self.first = 0.0
        self.compute = 0
        self.entry: Entry | None = None


class Sidecar:
    """Joins gate, paused caches and engine."""

    def __init__(self, world: "World", name: str, slow: float) -> None:
        policy = world.policy
        self.world = world
        self.name = name
        self.engine = policy_engine.Engine(world.deployment.memory, slow)
        options = policy.gate._replace(memory=world.deployment.memory)
        self.gate = queue.Gate(options, policy_engine.BATCH)
        self.paused_caches = cache_retention.PausedCaches(
            cache_retention.Options(
                world.deployment.memory,
                policy_engine.PREFILL_RATE,
                by_pause=policy.keeping == "pause",
                bounded=policy.bounded_pause,
            )
        )
        self.counter = 0
        self.jobs: dict[str, Job] = {}
        self.version = 0

    def report(self) -> call_messages.LoadReport:
        """Returns the report that entries hear."""
        self.counter += 1
        load = self.gate.load(self.world.now)
        return call_messages.LoadReport(
            identities.Incarnation(self.name, 1),
            self.counter,
            load.running,
            load.queued,
            load.limit,
            load.wait,
            load.token_time,
            load.prefill_rate,
            self.engine.free(),
            placement.READY,
            load.first_call_wait,
        )

    def offer(self, job: Job) -> admission.Refuse | None:
        """Offers a call to the gate; returns its refusal."""
        now = self.world.now
        program = job.program
        cached = self.engine.cached.get(program.spec.name, 0)
        call = self.world.call(job, job.prompt - cached)
        answer = self.gate.offer(call, now)
        if isinstance(answer, admission.Refuse):
            return answer
        self.paused_caches.called(program.spec.name, now)
        self.jobs[job.call_id] = job
        self.world.admitted += 1
        if isinstance(answer, queue.Admit):
            self._start(job)
        self.pump()
        return None

    def pump(self) -> None:
        """Starts what the gate lets start."""
        self.gate.protect(self.paused_caches.expected_soon(self.world.now))
        while (call := self.gate.next(self.world.now)) is not None:
            self._start(self.jobs[call.call_id])
        self._schedule()

    def _start(self, job: Job) -> None:
        now = self.world.now
        self.engine.advance(now)
        name = job.program.spec.name
        cached = self.engine.drop(name)
        self.paused_caches.started(name)
        imported = 0
        if job.choice and job.choice.export and not cached:
            imported = self.world.take_export(job.program)
        need = job.prompt + job.step.generate
        self._make_room(need)
        self.engine.running_tokens += need
        job.started = now
        job.compute = job.prompt - cached - imported
        self.world.wasted += job.compute - job.step.new
        self.world.computed += job.compute
        delay = imported / policy_engine.EXPORT_RATE
        if delay:
            self.world.at(now + delay, self._submit, job)
            return
        self._submit(job)

    def _submit(self, job: Job) -> None:
        self.engine.advance(self.world.now)
        self.engine.start(job, job.compute, job.step.generate)
        self._schedule()

    def _make_room(self, need: int) -> None:
        missing = need - self.engine.free()
        if missing <= 0:
            return
        for action in self.paused_caches.victims(missing, self.world.now):
            self._act(action)

    def _act(self, action: cache_retention.Action) -> None:
        match action:
            case cache_retention.Drop(program, keep) if keep:
                self.engine.keep(program, keep)
            case cache_retention.Drop(program) | cache_retention.Export(
                program
            ):
                self.engine.drop(program)

    def _schedule(self) -> None:
        self.version += 1
        end = self.engine.next_end()
        if end is not None:
            self.world.at(end, self._engine_event, self.version)

    def _engine_event(self, version: int) -> None:
        if version != self.version:
            return
        self.engine.advance(self.world.now)
        firsts, done = self.engine.pop_ended()
        for job in firsts:
            job.first = self.world.now
            self.gate.first_token(job.call_id)
        for job in done:
            self._end(job)
        self.pump()

    def _end(self, job: Job) -> None:
        now = self.world.now
        del self.jobs[job.call_id]
        self.engine.running_tokens -= job.prompt + job.step.generate
        outcome = calls.Outcome(
            now - job.started,
            job.first - job.started,
            job.compute,
            job.step.generate,
        )
        self.gate.finished(job.call_id, now, outcome)
        program = job.program
        last = program.step + 1 >= len(program.spec.steps)
        if self.world.policy.keeping != "none" and not last:
            tokens = job.prompt + job.step.generate
            self._make_room(tokens)
            self.engine.keep(program.spec.name, tokens)
            tool = f"{program.spec.agent}/{job.step.tool}"
            action = self.paused_caches.paused(
                program.spec.name, tool, tokens, now
            )
            self._act(action)
        self.world.at(now + HOP, self.world.answered, job, self.report())

    def tick(self) -> None:
        """Reports load, measures pace and cuts hung pauses."""
        now = self.world.now
        self.engine.advance(now)
        if self.engine.decodes:
            self.gate.progressed(self.engine.token_time())
        for entry in self.world.entries:
            self.world.at(now + REPORT_DELAY, entry.hear, self.report())
        for action in self.paused_caches.sweep(now):
            self._act(action)
            self.gate.program_left(action.program)
        for call in self.gate.expire(now):
            job = self.jobs.pop(call.call_id)
            self.world.shed += 1
            refusal = admission.Refuse("deadline_unmet", 1.0)
            self.world.refused(job, refusal)
        self.pump()
        self.world.at(now + REPORT_PERIOD, self.tick)

    def release(self, program: str) -> None:
        """Frees what an ended program holds."""
        self.paused_caches.program_ended(program)
        self.engine.drop(program)
        self.gate.program_left(program)
        self.pump()

    def release_moved(self, program: str) -> None:
        """Frees a copy that its program left for another upstream."""
        self.paused_caches.started(program)
        self.engine.drop(program)
        self.gate.program_left(program)
        self.pump()


class Entry:
    """Places calls; its knowledge comes from reports and answers only."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.name = f"entry{number}"
        self.fleet = placement.Fleet(world.policy.switches)
        self.fleet.watch(sorted(world.sidecars))
        self.estimator = remaining_work.Estimator()
        self.budget = retry.Budget()
        self.turn = number
        self.sent: dict[str, int] = dict.fromkeys(world.sidecars, 0)

    def hear(self, report: call_messages.LoadReport) -> None:
        """Takes a load report."""
        self.fleet.report(report, self.world.now)

    def submit(self, job: Job) -> None:
        """Places a call and sends it."""
        job.entry = self
        job.attempts += 1
        name = self._place(job)
        if name is None:
            self.world.at(self.world.now + 1.0, self.world.resend, job)
            return
        self.sent[name] += 1
        job.sidecar = self.world.sidecars[name]
        self.world.at(self.world.now + HOP, self._arrive, job)

    def _arrive(self, job: Job) -> None:
        assert job.sidecar is not None
        refusal = job.sidecar.offer(job)
        if refusal is None:
            return
        self.sent[job.sidecar.name] -= 1
        self.hear(job.sidecar.report())
        job.tried.add(job.sidecar.name)
        if self.world.policy.retries and self.budget.take(job.attempts):
            self.submit(job)
            return
        self.world.refused(job, refusal)

    def _place(self, job: Job) -> str | None:
        program = job.program
        match self.world.policy.placing:
            case "round_robin":
                self.turn += 1
                names = sorted(self.world.sidecars)
                return names[self.turn % len(names)]
            case "least_loaded":
                if program.resident:
                    return program.resident
                return min(self.sent, key=lambda n: (self._load(n), n))
        resident = None
        if program.resident and program.history:
            export = 0.0
            if self.world.policy.export:
                export = program.history / policy_engine.EXPORT_RATE
            resident = placement.Resident(
                program.resident, program.history, export
            )
        choice = placement.choose(
            self.fleet,
            self.world.call(job, job.step.new, self.estimator),
            resident,
            self.world.weights,
            self.world.now,
            exclude=frozenset(job.tried),
        )
        if choice is None:
            return None
        job.choice = choice
        return choice.name

    def _load(self, name: str) -> int:
        """Calls there by the last report or by this entry's own count."""
        known = self.fleet.upstreams.get(name)
        reported = 0
        if known:
            reported = known.report.running + known.report.queued
        return max(reported, self.sent[name]) + self.sent[name]


class World:
    """The event loop and what callers see."""

    def __init__(
        self,
        deployment: policy_load.Deployment,
        policy: Policy,
        slow: dict[int, float] | None = None,
        patience: int = 10**9,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.weights = policy.weights or placement.Weights(
            deployment.latency_weight, deployment.waste_weight
        )
        self.now = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.numbers = 0
        self.patience = patience
        self.wasted = self.computed = self.admitted = self.late = 0
        self.refusals = self.moves = self.shed = 0
        self.useful: list[tuple[float, float]] = []
        self.programs: list[Running] = []
        slow = slow or {}
        self.sidecars: dict[str, Sidecar] = {}
        for number in range(deployment.engines):
            name = f"u{number}"
            self.sidecars[name] = Sidecar(self, name, slow.get(number, 1.0))
        self.entries = [Entry(self, number) for number in range(ENTRIES)]
        for sidecar in self.sidecars.values():
            for entry in self.entries:
                entry.hear(sidecar.report())
            self.at(REPORT_PERIOD, sidecar.tick)

    def at(self, when: float, function: Callable, *args: Any) -> None:
        """Calls the function at a time."""
        self.numbers += 1
        heapq.heappush(self.events, (when, self.numbers, function, args))

    def run(self, until: float) -> None:
        """Runs events up to a time, or until all programs have ended."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    def arrive(self, spec: policy_load.Program) -> None:
        """Starts a program at its arrival."""
        program = Running(spec, self.now, None)
        self.programs.append(program)
        self.turn(program)

    def turn(self, program: Running) -> None:
        """Sends the next call of a program."""
        self.numbers += 1
        job = Job(program, self.numbers)
        if self.policy.deadline:
            job.deadline = self.now + self.policy.deadline
        self._submit(job)

    def _submit(self, job: Job) -> None:
        pick = calls.hash_fraction(job.call_id, "entry")
        entry = self.entries[int(pick * len(self.entries))]
        self.at(self.now + HOP, entry.submit, job)

    def call(
        self,
        job: Job,
        new: int,
        estimator: remaining_work.Estimator | None = None,
    ) -> calls.Call:
        """Returns the call as the decisions see it."""
        program = job.program
        known = estimator or (job.entry and job.entry.estimator)
        expected = 150
        if known:
            expected = known.answer_tokens(program.spec.agent, 150)
        return calls.Call(
            job.call_id,
            program.spec.name,
            program.root.spec.name,
            program.spec.customer,
            program.spec.agent,
            program.spec.klass,
            job.deadline,
            program.root.attained,
            job.prompt,
            new,
            expected,
        )

    def take_export(self, program: Running) -> int:
        """Exports the cache from where the program was; returns tokens."""
        source = self.sidecars[program.resident]
        tokens = source.engine.cached.get(program.spec.name, 0)
        source.release_moved(program.spec.name)
        return tokens

    def refused(self, job: Job, refusal: admission.Refuse) -> None:
        """The caller hears a refusal and comes back after the advice."""
        self.refusals += 1
        job.attempts = 0
        job.tried = set()
        program = job.program
        first = program.step == 0 and program.root is program
        if first and self.refusals_of(program) >= self.patience:
            return
        self.at(self.now + refusal.retry_after, self.resend, job)

    def refusals_of(self, program: Running) -> int:
        """Counts one refusal of a program's first call."""
        program.attained -= 1
        return -program.attained

    def resend(self, job: Job) -> None:
        """The caller sends a refused call again, with a fresh deadline."""
        program = job.program
        program.attained = max(0, program.attained)
        if self.policy.deadline:
            job.deadline = self.now + self.policy.deadline
        self._submit(job)

    def answered(self, job: Job, report: call_messages.LoadReport) -> None:
        """The answer reaches the caller through its entry."""
        entry = job.entry
        assert entry is not None
        assert job.sidecar is not None
        entry.hear(report)
        entry.sent[job.sidecar.name] -= 1
        entry.fleet.answered(job.sidecar.name, True, self.now)
        entry.budget.succeeded()
        program = job.program
        entry.estimator.answered(program.spec.agent, job.step.generate)
        self.late += self.now > job.deadline
        self.useful.append(
            (
                self.now,
                job.step.new / policy_engine.PREFILL_RATE
                + job.step.generate * policy_engine.decode_seconds(),
            )
        )
        if program.resident and program.resident != job.sidecar.name:
            self.moves += 1
            old = self.sidecars[program.resident]
            self.at(self.now + GONE_DELAY, old.release_moved, program.spec.name)
        program.resident = job.sidecar.name
        program.history = job.prompt + job.step.generate
        program.root.attained += job.step.new + job.step.generate
        self._after_turn(program, job.step)

    def _after_turn(self, program: Running, step: policy_load.Step) -> None:
        program.step += 1
        program.tool = step.tool
        if program.step >= len(program.spec.steps):
            self._ended(program)
            return
        if step.child:
            child = Running(step.child, self.now, program.root)
            child.then = lambda: self.turn(program)
            self.turn(child)
            return
        if step.pause == math.inf:
            program.root.paused = math.inf
            self.at(self.now + ABANDON_SECONDS, self._gone, program)
            return
        program.root.paused += step.pause
        self.at(self.now + step.pause, self.turn, program)

    def _ended(self, program: Running) -> None:
        program.ended = self.now
        self._gone(program)
        if program.then:
            program.then()
            return
        for sidecar in self.sidecars.values():
            if sidecar.name == program.resident:
                sidecar.gate.estimator.finished(
                    program.spec.agent, program.attained, program.step
                )

    def _gone(self, program: Running) -> None:
        for sidecar in self.sidecars.values():
            self.at(self.now + GONE_DELAY, sidecar.release, program.spec.name)

    def result(self) -> Result:
        """Returns what the run gave so far."""
        records = [
            (p.arrived, p.ended, p.spec.customer, p.spec.agent, p.paused)
            for p in self.programs
        ]
        return Result(
            records,
            self.wasted,
            self.useful,
            self.late + self.shed,
            self.admitted,
            self.refusals,
            self.moves,
            self.computed,
        )
