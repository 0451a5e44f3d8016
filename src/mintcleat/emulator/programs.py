"""A model of the callers and their programs.

A program consists of turns, with tool calls, sub-agents and pauses between
them, and has a target duration.
"""

import itertools
import math
import random
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.domain import routed_calls
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import plan
from mintcleat.roles.entry import run_attempts

# A caller attempts each turn up to MAX_ATTEMPTS times, with a pause that is
# drawn uniformly from this range of seconds.
RETRY_PAUSE_SECONDS = (0.1, 0.4)
MAX_ATTEMPTS = 3
# Different prompt prefixes that the programs of a kind begin with.
PREFIXES_PER_KIND = 3
# A program that takes longer than this many times its target counts as failed.
MAX_LATE_FACTOR = 2.0


class ProgramResult(NamedTuple):
    """The result of one program.

    Attributes:
        kind: Name of its kind.
        started_at: Seconds since the start of the simulation.
        duration: Seconds that it took.
        target: Seconds that it should have taken at most.
        served: Whether all its turns and tool calls were served.
        customer: Its customer.
    """

    kind: str
    started_at: float
    duration: float
    target: float
    served: bool
    customer: str = ""

    @property
    def outcome(self) -> str:
        """Returns `aim` (within the target), `late` or `failed`."""
        if not self.served or self.duration > MAX_LATE_FACTOR * self.target:
            return "failed"
        return "aim" if self.duration <= self.target else "late"


class Conversation(NamedTuple):
    """A sequence of turns, each of which extends the prompt.

    Attributes:
        parts: The prompt and the answers so far.
        hint: Incarnation of the engine that ran the last turn; empty before
            the first.
    """

    parts: tuple[routed_calls.PromptPart, ...]
    hint: str


class ProgramFailed(Exception):
    """A turn or tool call of a program was not served."""


class Callers:
    """Starts programs and collects their results.

    Attributes:
        load: Factor on the rates of all kinds.
        results: Results of the programs that have ended.
        burst_factors: Current factors on the rates of kinds, by name.
        sizes: Sizes of the customers, by name.
    """

    def __init__(
        self,
        env: simpy.Environment,
        experiment: plan.Plan,
        entries: list[entry_module.Entry],
        seed: int,
        load: float,
    ) -> None:
        self.env = env
        self.plan = experiment
        self.entries = entries
        self.seed = seed
        self.load = load
        self.results: list[ProgramResult] = []
        self.burst_factors: dict[str, float] = {}
        customers = experiment.customers
        self.sizes = {
            f"c{number}": (number + 1.0) ** -customers.skew
            for number in range(customers.count)
        }
        for name in experiment.kinds:
            env.process(self._start_programs(name))

    def _start_programs(self, name: str) -> Any:
        kind = self.plan.kinds[name]
        rng = random.Random(f"{self.seed}/{name}")
        for number in itertools.count():
            factor = self.burst_factors.get(name, 1.0)
            rate = kind.per_second * self.load * factor
            yield self.env.timeout(rng.expovariate(rate))
            if self.env.now >= self.plan.seconds:
                return
            program = Program(self, name, str(number), self._customer(rng))
            self.env.process(program.run())

    def start_heavy(self, fault: plan.Fault) -> None:
        """Lets some customers start programs more often for a time."""
        for customer in heavy_customers(self.plan, fault):
            for name in fault.kinds or self.plan.kinds:
                self.env.process(self._start_additional(name, customer, fault))

    def _start_additional(
        self, name: str, customer: str, fault: plan.Fault
    ) -> Any:
        """Starts what a heavy customer adds to its usual programs of a kind."""
        rng = random.Random(f"{self.seed}/{name}/{customer}")
        fraction = self.sizes[customer] / sum(self.sizes.values())
        usual_rate = self.plan.kinds[name].per_second * self.load * fraction
        until = min(self.plan.seconds, self.env.now + fault.seconds)
        for number in itertools.count():
            yield self.env.timeout(
                rng.expovariate(usual_rate * (fault.times - 1.0))
            )
            if self.env.now >= until:
                return
            program = Program(self, name, f"{customer}-{number}", customer)
            self.env.process(program.run())

    def _customer(self, rng: random.Random) -> str:
        if len(self.sizes) == 1:
            return "c0"
        (customer,) = rng.choices(list(self.sizes), list(self.sizes.values()))
        return customer


def heavy_customers(experiment: plan.Plan, fault: plan.Fault) -> list[str]:
    """Returns the customers that a `heavy` fault affects."""
    first = experiment.customers.count // 2
    return [f"c{first + number}" for number in range(fault.count)]


class Program:
    """One program, from its first turn to its end.

    It has its own random generator. Policies change the order of events, so
    with a shared one each policy would run other programs.

    Attributes:
        number: Number of the program within its kind. Additional programs of a
            heavy customer have `<customer>-<number>`.
        finish_within: Target duration that it states; an estimate, as its
            real one follows from what its turns take on idle upstreams.
        numbers: Numbers for the ids of requests and prompt parts.
    """

    def __init__(
        self, callers: Callers, name: str, number: str, customer: str
    ) -> None:
        self.env = callers.env
        self.callers = callers
        self.engine = callers.plan.engine
        self.kind = callers.plan.kinds[name]
        self.name = name
        self.number = number
        self.id = f"{name}-{number}"
        self.rng = random.Random(f"{callers.seed}/{self.id}")
        self.numbers = itertools.count()
        self.customer = customer
        self.started_at = self.env.now
        self.finish_within = 0.0

    def run(self) -> Any:
        """Runs the program and adds its result."""
        turns = max(1, round(self._draw(self.kind.turns)))
        self.finish_within = self._estimated_target(turns)
        # Additional programs have the customer's name before their number.
        group = int(self.number.rpartition("-")[2]) % PREFIXES_PER_KIND
        prefix = routed_calls.PromptPart(
            f"{self.name}-{group}", self.kind.shared
        )
        ideal_seconds = 0.0
        served = True
        try:
            _, ideal_seconds = yield from self._run_conversation(
                Conversation((prefix,), ""), turns, True
            )
        except ProgramFailed:
            served = False
        target = ideal_seconds * self.kind.aim + self.kind.objective / 1000.0
        duration = self.env.now - self.started_at
        self.callers.results.append(
            ProgramResult(
                self.name,
                self.started_at,
                duration,
                target,
                served,
                self.customer,
            )
        )

    def _estimated_target(self, turns: int) -> float:
        """Returns the target of a program with mean turns, tools and pauses."""
        kind = self.kind
        seconds = turns * self._ideal_seconds(
            round(kind.prompt.mean),
            round(kind.events.mean * self.engine.stride),
        )
        tools = max(
            (tool.share * tool.work.mean for tool in kind.tools), default=0.0
        )
        between = kind.pause.mean + (1.0 - kind.fan) * tools
        seconds += (turns - 1) * between / 1000.0
        return seconds * kind.aim + kind.objective / 1000.0

    def _draw(self, distribution: plan.Distribution) -> float:
        if not distribution.spread:
            return distribution.mean
        mu = math.log(distribution.mean) - distribution.spread**2 / 2.0
        value = self.rng.lognormvariate(mu, distribution.spread)
        return min(distribution.most, value)

    def _run_conversation(
        self, conversation: Conversation, turns: int, may_fan_out: bool
    ) -> Any:
        """Runs more turns of a conversation.

        Returns the conversation after them, and the seconds that they would
        have taken on idle upstreams.
        """
        ideal_seconds = 0.0
        for number in range(turns):
            conversation, seconds = yield from self._run_turn(conversation)
            ideal_seconds += seconds
            if number + 1 == turns:
                break
            if may_fan_out and self.rng.random() < self.kind.fan:
                ideal_seconds += yield from self._run_sub_agents(conversation)
            else:
                ideal_seconds += yield from self._run_tools()
            pause = self._draw(self.kind.pause) / 1000.0
            ideal_seconds += pause
            yield self.env.timeout(pause)
        return conversation, ideal_seconds

    def _run_sub_agents(self, conversation: Conversation) -> Any:
        width = max(1, round(self._draw(self.kind.width)))
        turns = self.kind.helper_turns
        return self._run_in_parallel(
            [
                self._run_conversation(conversation, turns, False)
                for _ in range(width)
            ]
        )

    def _run_tools(self) -> Any:
        calls = [
            self._run_tool(tool)
            for tool in self.kind.tools
            if self.rng.random() < tool.share
        ]
        return self._run_in_parallel(calls)

    def _run_in_parallel(self, parts: list[Any]) -> Any:
        """Runs parts of the program; returns the longest ideal seconds."""
        if not parts:
            return 0.0
        running = [self.env.process(self._run_part(part)) for part in parts]
        yield self.env.all_of(running)
        seconds = []
        for process in running:
            if process.value is None:
                raise ProgramFailed
            seconds.append(process.value[1])
        return max(seconds)

    def _run_part(self, part: Any) -> Any:
        """Runs a part of the program; returns None if it was not served.

        With an exception, the wait for all parts would end at the first one.
        """
        try:
            return (yield from part)
        except ProgramFailed:
            return None

    def _run_tool(self, tool: plan.Tool) -> Any:
        work = self._draw(tool.work) / 1000.0
        call = self._request("", ())
        entry = self.rng.choice(self.callers.entries)
        try:
            yield from entry.call(call, work, tool.repeatable)
        except entry_module.NotServed:
            raise ProgramFailed from None
        return None, work

    def _run_turn(self, conversation: Conversation) -> Any:
        """Runs a turn, with retries.

        Returns the conversation after it, and the seconds that it would have
        taken on an idle engine.
        """
        kind = self.kind
        prompt = max(1, round(self._draw(kind.prompt)))
        events = max(1, round(self._draw(kind.events)))
        output = events * self.engine.stride
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                yield self.env.timeout(self.rng.uniform(*RETRY_PAUSE_SECONDS))
            new_part = routed_calls.PromptPart(
                f"{self.id}?{next(self.numbers)}", prompt
            )
            call = self._request(
                conversation.parts[-1].id if conversation.hint else "",
                (*conversation.parts, new_part),
                output,
            )
            entry = self.rng.choice(self.callers.entries)
            run = self.env.process(
                self._attempt_turn(entry, call, conversation.hint, output)
            )
            yield run | self.env.timeout(kind.deadline / 1000.0)
            if not run.triggered:
                run.interrupt()
                yield run
            if run.value:
                yield self.env.timeout(kind.way / 1000.0)
                cached_part = routed_calls.PromptPart(
                    call.request, prompt + output
                )
                ideal_seconds = self._ideal_seconds(prompt, output)
                return Conversation(
                    (*conversation.parts, cached_part), run.value
                ), ideal_seconds
        raise ProgramFailed

    def _ideal_seconds(self, prompt: int, output: int) -> float:
        """Returns the seconds of a turn on an idle engine."""
        engine = self.engine
        step = engine.step + engine.step_per_request
        milliseconds = (
            engine.first + prompt / engine.read_per_ms + output * step
        )
        return (self.kind.way + milliseconds) / 1000.0

    def _attempt_turn(
        self,
        entry: entry_module.Entry,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
    ) -> Any:
        """Returns the engine's incarnation; empty if it was not served."""
        silence_timeout = (
            run_attempts.SILENCE_FACTOR * self.kind.objective / 1000.0
        )
        terms = entry_module.TurnTerms(
            self.name, self.kind.priority, self.kind.deadline / 1000.0
        )
        try:
            return (
                yield from entry.turn(
                    call, hint, output, silence_timeout, terms
                )
            )
        except (entry_module.NotServed, simpy.Interrupt):
            return ""

    def _request(
        self,
        previous: str,
        parts: tuple[routed_calls.PromptPart, ...],
        output: int = 0,
    ) -> routed_calls.RoutedCall:
        prompt = sum(part.tokens for part in parts)
        return routed_calls.RoutedCall(
            f"{self.id}-{next(self.numbers)}",
            "POST",
            "",
            "/",
            (),
            b"",
            program=routed_calls.ProgramContext(
                self.id,
                previous=previous,
                finish_within=max(
                    0.001, self.finish_within + self.started_at - self.env.now
                ),
            ),
            generation=routed_calls.Generation("m", prompt, output, parts),
            customer=self.customer,
        )
