"""Discrete-event simulation, in virtual time, of the real decision code.

Programs arrive, an entry places each call, a sidecar's gate admits, queues or
refuses it, the engine model runs it, and the sidecar retains or evicts the
program's cache during the pause after it. The decisions are those of
`mintcleat.decisions`; only the simple placements of the baselines, round robin
and least loaded, are implemented here.

It is not in `mintcleat.emulator`, which models routed requests: entries that
choose among engines by themselves, and a leader that admits turns. Calls of our
own interface take another path, whose decisions the emulator doesn't run: the
sidecar's queue with classes and shares (`queue`, `order`), the retention of
caches during pauses and their export to other engines (`cache_retention`), and
placement by the sidecars' reports (`placement`). Bursts, slow engines and
overload of routed requests are plans of the emulator (`examples/experiments`).
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

REPORT_PERIOD_SECONDS = 0.5
# Virtual seconds until a report reaches the entries.
REPORT_DELAY_SECONDS = 0.05
# Virtual seconds of one network hop.
HOP_SECONDS = 0.001
ENTRIES = 2
# A caller closes a program whose tool hangs after this time.
ABANDON_SECONDS = 900.0
# Time until a sidecar learns that a program ended or moved away.
RELEASE_DELAY_SECONDS = 1.0

FIFO = order.Switches(attained=False, learned=False, gating=False)


class Policy(NamedTuple):
    """Which decisions are in force.

    Attributes:
        name: Name of the row in the tables.
        placement_policy: `choose` (the real decision), `round_robin`, or
            `least_loaded`, which then keeps a program at its upstream.
        retention_policy: `none`, `age` (least recently used) or `pause` (by
            the expected length of the pause).
        gate: Options of the sidecars' admission and queues.
        switches: Parts of the placement decision that are on.
        bounded_pause: Whether caches of overlong pauses are evicted.
        export: Whether a program may take its cache to another upstream.
        deadline: Seconds per call; 0 for none.
        retry_refused: Whether an entry retries refused calls within a budget.
        weights: Weights of placement; None for those of the deployment.
    """

    name: str
    placement_policy: str = "choose"
    retention_policy: str = "pause"
    gate: queue.Options = queue.Options()
    switches: placement.Switches = placement.ALL_ON
    bounded_pause: bool = True
    export: bool = True
    deadline: float = 120.0
    retry_refused: bool = True
    weights: placement.Weights | None = None


class Result(NamedTuple):
    """Outcome of a run.

    Attributes:
        records: (arrival, end or inf, customer, agent, seconds of pauses) of
            each program, in order of arrival.
        recomputed_tokens: Prompt tokens that were computed again.
        useful: (end, engine seconds without recomputation) of each call.
        late: Calls that ended after their deadline or expired in a queue.
        admitted: Calls that a gate admitted or queued.
        refusals: Refusals that reached callers, after retries.
        moves: Calls that ran at another upstream than the one before.
        computed: Prompt tokens that were computed.
    """

    records: list[tuple[float, float, str, str, float]]
    recomputed_tokens: int
    useful: list[tuple[float, float]]
    late: int
    admitted: int
    refusals: int
    moves: int
    computed: int


class RunningProgram:
    """State of a program that has arrived.

    Attributes:
        root: The top program; itself unless this is a sub-agent.
        history: Tokens of the prompts and answers so far.
        attained: Tokens served to this root and its sub-agents. Below zero it
            counts refusals of the first call.
        resident: Upstream that ran the last call.
        paused: Seconds of pauses, infinite once a tool hangs.
        on_end: Called when a sub-agent ends.
    """

    def __init__(
        self,
        spec: policy_load.Program,
        now: float,
        root: "RunningProgram | None",
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
        self.tool = ""
        self.on_end: Callable[[], None] | None = None


class Job:
    """One call of a program, through all its attempts.

    Attributes:
        prompt: Tokens of the whole prompt.
        tried: Upstreams that refused it.
        attempts: Attempts since the caller last sent it.
        first: When the prefill finished.
        compute: Prompt tokens that were not cached.
    """

    def __init__(self, program: RunningProgram, number: int) -> None:
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
    """The gate and the paused caches of one engine."""

    def __init__(
        self, simulation: "Simulation", name: str, slowdown: float
    ) -> None:
        policy = simulation.policy
        self.simulation = simulation
        self.name = name
        self.engine = policy_engine.Engine(
            simulation.deployment.memory, slowdown
        )
        options = policy.gate._replace(memory=simulation.deployment.memory)
        self.gate = queue.Gate(options, policy_engine.MAX_BATCH)
        self.paused_caches = cache_retention.PausedCaches(
            cache_retention.Options(
                simulation.deployment.memory,
                policy_engine.PREFILL_RATE,
                by_pause=policy.retention_policy == "pause",
                bounded=policy.bounded_pause,
            )
        )
        self.counter = 0
        self.jobs: dict[str, Job] = {}
        self.version = 0

    def report(self) -> call_messages.LoadReport:
        """Returns the next load report."""
        self.counter += 1
        load = self.gate.load(self.simulation.now)
        return call_messages.LoadReport(
            identities.Incarnation(self.name, 1),
            self.counter,
            load.running,
            load.queued,
            load.limit,
            load.wait,
            load.token_time,
            load.prefill_rate,
            self.engine.free_tokens(),
            placement.READY,
            load.first_call_wait,
        )

    def offer(self, job: Job) -> admission.Refuse | None:
        """Offers a call to the gate; returns the refusal, if any."""
        now = self.simulation.now
        program = job.program
        cached = self.engine.cached_histories.get(program.spec.name, 0)
        call = self.simulation.call(job, job.prompt - cached)
        answer = self.gate.offer(call, now)
        if isinstance(answer, admission.Refuse):
            return answer
        self.paused_caches.called(program.spec.name, now)
        self.jobs[job.call_id] = job
        self.simulation.admitted += 1
        if isinstance(answer, queue.Admit):
            self._start(job)
        self.start_ready()
        return None

    def start_ready(self) -> None:
        """Starts the queued calls that the gate admits now."""
        self.gate.protect(self.paused_caches.expected_soon(self.simulation.now))
        while (call := self.gate.next(self.simulation.now)) is not None:
            self._start(self.jobs[call.call_id])
        self._schedule()

    def _start(self, job: Job) -> None:
        now = self.simulation.now
        self.engine.advance(now)
        name = job.program.spec.name
        cached = self.engine.evict(name)
        self.paused_caches.started(name)
        imported = 0
        if job.choice and job.choice.export and not cached:
            imported = self.simulation.take_export(job.program)
        need = job.prompt + job.step.generate
        self._make_room(need)
        self.engine.running_tokens += need
        job.started = now
        job.compute = job.prompt - cached - imported
        self.simulation.recomputed_tokens += job.compute - job.step.new
        self.simulation.computed += job.compute
        delay = imported / policy_engine.EXPORT_RATE
        if delay:
            self.simulation.schedule(now + delay, self._submit, job)
            return
        self._submit(job)

    def _submit(self, job: Job) -> None:
        self.engine.advance(self.simulation.now)
        self.engine.start(job, job.compute, job.step.generate)
        self._schedule()

    def _make_room(self, need: int) -> None:
        missing = need - self.engine.free_tokens()
        if missing <= 0:
            return
        for action in self.paused_caches.victims(missing, self.simulation.now):
            self._apply_action(action)

    def _apply_action(self, action: cache_retention.Action) -> None:
        match action:
            case cache_retention.Drop(program, keep) if keep:
                self.engine.cache_history(program, keep)
            case cache_retention.Drop(program) | cache_retention.Export(
                program
            ):
                self.engine.evict(program)

    def _schedule(self) -> None:
        self.version += 1
        end = self.engine.next_finish()
        if end is not None:
            self.simulation.schedule(end, self._on_engine_event, self.version)

    def _on_engine_event(self, version: int) -> None:
        if version != self.version:
            return
        self.engine.advance(self.simulation.now)
        prefilled, done = self.engine.pop_finished()
        for job in prefilled:
            job.first = self.simulation.now
            self.gate.first_token(job.call_id)
        for job in done:
            self._finish(job)
        self.start_ready()

    def _finish(self, job: Job) -> None:
        now = self.simulation.now
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
        if self.simulation.policy.retention_policy != "none" and not last:
            tokens = job.prompt + job.step.generate
            self._make_room(tokens)
            self.engine.cache_history(program.spec.name, tokens)
            tool = f"{program.spec.agent}/{job.step.tool}"
            action = self.paused_caches.paused(
                program.spec.name, tool, tokens, now
            )
            self._apply_action(action)
        self.simulation.schedule(
            now + HOP_SECONDS, self.simulation.on_answered, job, self.report()
        )

    def tick(self) -> None:
        """Reports load, measures token time, and handles overlong waits.

        Caches of overlong pauses are evicted; queued calls that cannot meet
        their deadline are refused.
        """
        now = self.simulation.now
        self.engine.advance(now)
        if self.engine.decodes:
            self.gate.progressed(self.engine.token_time())
        for entry in self.simulation.entries:
            self.simulation.schedule(
                now + REPORT_DELAY_SECONDS, entry.update_load, self.report()
            )
        for action in self.paused_caches.sweep(now):
            self._apply_action(action)
            self.gate.program_left(action.program)
        for call in self.gate.expire(now):
            job = self.jobs.pop(call.call_id)
            self.simulation.expired_calls += 1
            refusal = admission.Refuse("deadline_unmet", 1.0)
            self.simulation.on_refused(job, refusal)
        self.start_ready()
        self.simulation.schedule(now + REPORT_PERIOD_SECONDS, self.tick)

    def release(self, program: str) -> None:
        """Frees the cache and gate state of an ended program."""
        self.paused_caches.program_ended(program)
        self.engine.evict(program)
        self.gate.program_left(program)
        self.start_ready()

    def release_moved(self, program: str) -> None:
        """Frees the cache of a program that moved to another upstream."""
        self.paused_caches.started(program)
        self.engine.evict(program)
        self.gate.program_left(program)
        self.start_ready()


class Entry:
    """Places calls, with knowledge from reports and answers only."""

    def __init__(self, simulation: "Simulation", number: int) -> None:
        self.simulation = simulation
        self.name = f"entry{number}"
        self.fleet = placement.Fleet(simulation.policy.switches)
        self.fleet.watch(sorted(simulation.sidecars))
        self.estimator = remaining_work.Estimator()
        self.budget = retry.Budget()
        self.next_upstream = number
        self.in_flight: dict[str, int] = dict.fromkeys(simulation.sidecars, 0)

    def update_load(self, report: call_messages.LoadReport) -> None:
        """Applies a load report."""
        self.fleet.report(report, self.simulation.now)

    def submit(self, job: Job) -> None:
        """Places a call and sends it."""
        job.entry = self
        job.attempts += 1
        name = self._place(job)
        if name is None:
            self.simulation.schedule(
                self.simulation.now + 1.0, self.simulation.resend, job
            )
            return
        self.in_flight[name] += 1
        job.sidecar = self.simulation.sidecars[name]
        self.simulation.schedule(
            self.simulation.now + HOP_SECONDS, self._arrive, job
        )

    def _arrive(self, job: Job) -> None:
        assert job.sidecar is not None
        refusal = job.sidecar.offer(job)
        if refusal is None:
            return
        self.in_flight[job.sidecar.name] -= 1
        self.update_load(job.sidecar.report())
        job.tried.add(job.sidecar.name)
        if self.simulation.policy.retry_refused and self.budget.take(
            job.attempts
        ):
            self.submit(job)
            return
        self.simulation.on_refused(job, refusal)

    def _place(self, job: Job) -> str | None:
        program = job.program
        match self.simulation.policy.placement_policy:
            case "round_robin":
                self.next_upstream += 1
                names = sorted(self.simulation.sidecars)
                return names[self.next_upstream % len(names)]
            case "least_loaded":
                if program.resident:
                    return program.resident
                return min(
                    self.in_flight, key=lambda n: (self._known_load(n), n)
                )
        resident = None
        if program.resident and program.history:
            export = 0.0
            if self.simulation.policy.export:
                export = program.history / policy_engine.EXPORT_RATE
            resident = placement.Resident(
                program.resident, program.history, export
            )
        choice = placement.choose(
            self.fleet,
            self.simulation.call(job, job.step.new, self.estimator),
            resident,
            self.simulation.weights,
            self.simulation.now,
            exclude=frozenset(job.tried),
        )
        if choice is None:
            return None
        job.choice = choice
        return choice.name

    def _known_load(self, name: str) -> int:
        """Returns the calls at an upstream, as this entry estimates them.

        The last report may be stale, so this entry's own calls count on top.
        """
        known = self.fleet.upstreams.get(name)
        reported = 0
        if known:
            reported = known.report.running + known.report.queued
        return max(reported, self.in_flight[name]) + self.in_flight[name]


class Simulation:
    """The event loop, the callers, and the figures of the run.

    Args:
        deployment: Engines and their load.
        policy: Decisions in force.
        slowdown: Factors by which engines are slower, by the engine's number.
        max_refusals: Refusals of the first call after which a program gives
            up.
    """

    def __init__(
        self,
        deployment: policy_load.Deployment,
        policy: Policy,
        slowdown: dict[int, float] | None = None,
        max_refusals: int = 10**9,
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.weights = policy.weights or placement.Weights(
            deployment.latency_weight, deployment.waste_weight
        )
        self.now = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = 0
        self.max_refusals = max_refusals
        self.recomputed_tokens = self.computed = self.admitted = self.late = 0
        self.refusals = self.moves = self.expired_calls = 0
        self.useful: list[tuple[float, float]] = []
        self.programs: list[RunningProgram] = []
        slowdown = slowdown or {}
        self.sidecars: dict[str, Sidecar] = {}
        for number in range(deployment.engines):
            name = f"u{number}"
            self.sidecars[name] = Sidecar(self, name, slowdown.get(number, 1.0))
        self.entries = [Entry(self, number) for number in range(ENTRIES)]
        for sidecar in self.sidecars.values():
            for entry in self.entries:
                entry.update_load(sidecar.report())
            self.schedule(REPORT_PERIOD_SECONDS, sidecar.tick)

    def schedule(self, when: float, function: Callable, *args: Any) -> None:
        """Schedules a call of the function at a virtual time."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, function, args))

    def run(self, until: float) -> None:
        """Runs the events up to a virtual time, or until none is left."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    def arrive(self, spec: policy_load.Program) -> None:
        """Starts a program at its arrival."""
        program = RunningProgram(spec, self.now, None)
        self.programs.append(program)
        self.send_turn(program)

    def send_turn(self, program: RunningProgram) -> None:
        """Sends the next call of a program."""
        self.sequence += 1
        job = Job(program, self.sequence)
        if self.policy.deadline:
            job.deadline = self.now + self.policy.deadline
        self._submit(job)

    def _submit(self, job: Job) -> None:
        fraction = calls.hash_fraction(job.call_id, "entry")
        entry = self.entries[int(fraction * len(self.entries))]
        self.schedule(self.now + HOP_SECONDS, entry.submit, job)

    def call(
        self,
        job: Job,
        new: int,
        estimator: remaining_work.Estimator | None = None,
    ) -> calls.Call:
        """Returns the call as input of the decisions.

        Args:
            job: The call.
            new: Prompt tokens to compute.
            estimator: Estimator of answer lengths; None for that of the entry
                that placed the call.
        """
        program = job.program
        chosen = estimator or (job.entry and job.entry.estimator)
        expected = 150
        if chosen:
            expected = chosen.answer_tokens(program.spec.agent, 150)
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

    def take_export(self, program: RunningProgram) -> int:
        """Takes a program's cache from its last upstream; returns tokens."""
        source = self.sidecars[program.resident]
        tokens = source.engine.cached_histories.get(program.spec.name, 0)
        source.release_moved(program.spec.name)
        return tokens

    def on_refused(self, job: Job, refusal: admission.Refuse) -> None:
        """Delivers a refusal; the caller sends again after `retry_after`."""
        self.refusals += 1
        job.attempts = 0
        job.tried = set()
        program = job.program
        first = program.step == 0 and program.root is program
        if first and self.count_refusal(program) >= self.max_refusals:
            return
        self.schedule(self.now + refusal.retry_after, self.resend, job)

    def count_refusal(self, program: RunningProgram) -> int:
        """Counts a refusal of a program's first call; returns the count."""
        program.attained -= 1
        return -program.attained

    def resend(self, job: Job) -> None:
        """Sends a refused call again, with a new deadline."""
        program = job.program
        program.attained = max(0, program.attained)
        if self.policy.deadline:
            job.deadline = self.now + self.policy.deadline
        self._submit(job)

    def on_answered(self, job: Job, report: call_messages.LoadReport) -> None:
        """Delivers an answer to the entry and to the caller."""
        entry = job.entry
        assert entry is not None
        assert job.sidecar is not None
        entry.update_load(report)
        entry.in_flight[job.sidecar.name] -= 1
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
            self.schedule(
                self.now + RELEASE_DELAY_SECONDS,
                old.release_moved,
                program.spec.name,
            )
        program.resident = job.sidecar.name
        program.history = job.prompt + job.step.generate
        program.root.attained += job.step.new + job.step.generate
        self._after_turn(program, job.step)

    def _after_turn(
        self, program: RunningProgram, step: policy_load.Step
    ) -> None:
        program.step += 1
        program.tool = step.tool
        if program.step >= len(program.spec.steps):
            self._on_program_end(program)
            return
        if step.child:
            child = RunningProgram(step.child, self.now, program.root)
            child.on_end = lambda: self.send_turn(program)
            self.send_turn(child)
            return
        if step.pause == math.inf:
            program.root.paused = math.inf
            self.schedule(
                self.now + ABANDON_SECONDS, self._release_everywhere, program
            )
            return
        program.root.paused += step.pause
        self.schedule(self.now + step.pause, self.send_turn, program)

    def _on_program_end(self, program: RunningProgram) -> None:
        program.ended = self.now
        self._release_everywhere(program)
        if program.on_end:
            program.on_end()
            return
        for sidecar in self.sidecars.values():
            if sidecar.name == program.resident:
                sidecar.gate.estimator.finished(
                    program.spec.agent, program.attained, program.step
                )

    def _release_everywhere(self, program: RunningProgram) -> None:
        for sidecar in self.sidecars.values():
            self.schedule(
                self.now + RELEASE_DELAY_SECONDS,
                sidecar.release,
                program.spec.name,
            )

    def result(self) -> Result:
        """Returns the figures of the run so far."""
        records = [
            (p.arrived, p.ended, p.spec.customer, p.spec.agent, p.paused)
            for p in self.programs
        ]
        return Result(
            records,
            self.recomputed_tokens,
            self.useful,
            self.late + self.expired_calls,
            self.admitted,
            self.refusals,
            self.moves,
            self.computed,
        )
