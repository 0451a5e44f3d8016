"""Programs as callers run them: turns, pauses, tools, sub-agents, aims."""

import itertools
import math
import random
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.domain import routed_calls
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import plan
from mintcleat.roles.entry import routed_run

# A caller sends a turn that failed again after such a pause, so many times.
AGAIN = (0.1, 0.4)
TRIES = 3
# A program that takes up to so many times its aim is late, beyond it failed.
LATE = 2.0


class Ended(NamedTuple):
    """One program's end.

    Attributes:
        began: Seconds since the start of the play.
        took: Seconds that it took.
        aim: Seconds that it should have taken at most.
        served: Whether it came to its end.
    """

    kind: str
    began: float
    took: float
    aim: float
    served: bool

    @property
    def outcome(self) -> str:
        """Returns `aim`, `late` or `failed`."""
        if not self.served or self.took > LATE * self.aim:
            return "failed"
        return "aim" if self.took <= self.aim else "late"


class Line(NamedTuple):
    """One line of turns: the prompt so far and where it ran last."""

    parts: tuple[routed_calls.PromptPart, ...]
    hint: str


class Gone(Exception):
    """A program ended without being served."""


class Callers:
    """Starts programs and keeps what became of them.

    Attributes:
        bursts: Factors on the rates of kinds, at the moment.
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
        self.ended: list[Ended] = []
        self.bursts: dict[str, float] = {}
        for name in experiment.kinds:
            env.process(self._arrive(name))

    def _arrive(self, name: str) -> Any:
        kind = self.plan.kinds[name]
        chance = random.Random(f"{self.seed}/{name}")
        for number in itertools.count():
            times = self.bursts.get(name, 1.0)
            rate = kind.per_second * self.load * times
            yield self.env.timeout(chance.expovariate(rate))
            if self.env.now >= self.plan.seconds:
                return
            program = Program(self, name, number)
            self.env.process(program.run())


class Program:
    """One program, from its first turn to its end.

    It draws from a stream of its own: decisions change when things happen,
    and two policies must meet the same programs.
    """

    def __init__(self, callers: Callers, name: str, number: int) -> None:
        self.env = callers.env
        self.callers = callers
        self.engine = callers.plan.engine
        self.kind = callers.plan.kinds[name]
        self.name = name
        self.number = number
        self.id = f"{name}-{number}"
        self.chance = random.Random(f"{callers.seed}/{self.id}")
        self.numbers = itertools.count()

    def run(self) -> Any:
        """Runs it and notes its end."""
        began = self.env.now
        turns = max(1, round(self._amount(self.kind.turns)))
        shared = routed_calls.PromptPart(
            f"{self.name}-{self.number % 3}", self.kind.shared
        )
        ideal = 0.0
        served = True
        try:
            _, ideal = yield from self._line(Line((shared,), ""), turns, True)
        except Gone:
            served = False
        aim = ideal * self.kind.aim + self.kind.objective / 1000.0
        took = self.env.now - began
        self.callers.ended.append(Ended(self.name, began, took, aim, served))

    def _amount(self, wanted: plan.Distribution) -> float:
        """Draws an amount."""
        if not wanted.spread:
            return wanted.mean
        middle = math.log(wanted.mean) - wanted.spread**2 / 2.0
        drawn = self.chance.lognormvariate(middle, wanted.spread)
        return min(wanted.most, drawn)

    def _line(self, line: Line, turns: int, helps: bool) -> Any:
        """Runs a line of turns; returns its end and its ideal seconds."""
        ideal = 0.0
        for number in range(turns):
            line, took = yield from self._turn(line)
            ideal += took
            if number + 1 == turns:
                break
            if helps and self.chance.random() < self.kind.fan:
                ideal += yield from self._help(line)
            else:
                ideal += yield from self._tools()
            pause = self._amount(self.kind.pause) / 1000.0
            ideal += pause
            yield self.env.timeout(pause)
        return line, ideal

    def _help(self, line: Line) -> Any:
        width = max(1, round(self._amount(self.kind.width)))
        turns = self.kind.helper_turns
        return self._together(
            [self._line(line, turns, False) for _ in range(width)]
        )

    def _tools(self) -> Any:
        called = [
            self._tool(tool)
            for tool in self.kind.tools
            if self.chance.random() < tool.share
        ]
        return self._together(called)

    def _together(self, parts: list[Any]) -> Any:
        """Runs parts beside each other; returns the longest ideal time."""
        if not parts:
            return 0.0
        running = [self.env.process(self._guard(part)) for part in parts]
        yield self.env.all_of(running)
        if any(process.value is None for process in running):
            raise Gone
        return max(process.value[1] for process in running)

    def _guard(self, part: Any) -> Any:
        """Runs a part of the program; None where it was not served."""
        try:
            return (yield from part)
        except Gone:
            return None

    def _tool(self, tool: plan.Tool) -> Any:
        work = self._amount(tool.work) / 1000.0
        call = self._request("", ())
        entry = self.chance.choice(self.callers.entries)
        try:
            yield from entry.call(call, work, tool.repeatable)
        except entry_module.Failed:
            raise Gone from None
        return None, work

    def _turn(self, line: Line) -> Any:
        """Runs a turn, with the tries that a caller has."""
        kind = self.kind
        prompt = max(1, round(self._amount(kind.prompt)))
        events = max(1, round(self._amount(kind.events)))
        output = events * self.engine.stride
        for attempt in range(TRIES):
            if attempt:
                yield self.env.timeout(self.chance.uniform(*AGAIN))
            own = routed_calls.PromptPart(
                f"{self.id}?{next(self.numbers)}", prompt
            )
            call = self._request(line.parts[-1].id, (*line.parts, own))
            entry = self.chance.choice(self.callers.entries)
            run = self.env.process(
                self._guarded_turn(entry, call, line.hint, output)
            )
            yield run | self.env.timeout(kind.deadline / 1000.0)
            if not run.triggered:
                run.interrupt()
                yield run
            if run.value:
                yield self.env.timeout(kind.way / 1000.0)
                kept = routed_calls.PromptPart(call.request, prompt + output)
                ideal = self._ideal(prompt, output)
                return Line((*line.parts, kept), run.value), ideal
        raise Gone

    def _ideal(self, prompt: int, output: int) -> float:
        """Returns the seconds of a turn whose engine has nothing else."""
        engine = self.engine
        step = engine.step + engine.step_per_request
        took = engine.first + prompt / engine.read_per_ms + output * step
        return (self.kind.way + took) / 1000.0

    def _guarded_turn(
        self,
        entry: entry_module.Entry,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
    ) -> Any:
        patience = routed_run.SILENCE_FACTOR * self.kind.objective / 1000.0
        try:
            return (yield from entry.turn(call, hint, output, patience))
        except (entry_module.Failed, simpy.Interrupt):
            return ""

    def _request(
        self, previous: str, parts: tuple[routed_calls.PromptPart, ...]
    ) -> routed_calls.RoutedCall:
        prompt = sum(part.tokens for part in parts)
        return routed_calls.RoutedCall(
            f"{self.id}-{next(self.numbers)}",
            "POST",
            "",
            "/",
            (),
            b"",
            program=routed_calls.ProgramContext(self.id, previous=previous),
            generation=routed_calls.Generation("m", prompt, 0, parts),
        )
