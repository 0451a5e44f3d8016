"""A model of callers and engines before the admission of turns.

Time advances in steps. Each engine shares its speed among the requests of its
batch, requests beyond its slots wait in it, and an urgent one preempts a less
urgent one, whose work begins again. Without admission control this collapses.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import Any
from typing import NamedTuple

from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

STEP_SECONDS = 0.005
# Way of a message between an entry and the leader.
WAY_SECONDS = 0.004
TOKENS_PER_SECOND = 160.0
MAX_ATTEMPTS = 3
# Seconds between an attempt that was refused or timed out, and the next.
PAUSE_RANGE = (0.1, 0.4)


class Kind(NamedTuple):
    """One kind of programs; times in seconds.

    Attributes:
        rate: Programs per second.
        turns: Mean number of turns.
        work: Mean time of a turn alone on an engine.
        pause: Mean time between two turns.
        aim: Target as a multiple of the time on idle engines.
        extra: Constant part of the target.
        deadline: Time after which a caller gives up an attempt.
    """

    name: str
    priority: int
    rate: float
    turns: float
    work: float = 0.15
    pause: float = 0.06
    aim: float = 1.8
    extra: float = 0.257
    deadline: float = 2.0


class Request:
    """A turn at an engine."""

    def __init__(self, priority: int, work: float, done: Any) -> None:
        self.priority = priority
        self.work = work
        self.left = work
        self.done = done
        self.cancelled = False


class Engine:
    """A batching engine; see the module.

    Attributes:
        slow: Factor on the time of all requests.
    """

    def __init__(self, slots: int, per_request: float) -> None:
        self.slots = slots
        self.per_request = per_request
        self.slow = 1.0
        self.batch: list[Request] = []
        self.waiting: list[Request] = []

    @property
    def load(self) -> int:
        return len(self.batch) + len(self.waiting)

    def step(self) -> list[Request]:
        """Advances by one step; returns the requests that ended."""
        self.batch = [one for one in self.batch if not one.cancelled]
        self.waiting = [one for one in self.waiting if not one.cancelled]
        self.waiting.sort(key=lambda one: one.priority)
        while self.waiting:
            if len(self.batch) >= self.slots:
                worst = max(self.batch, key=lambda one: one.priority)
                if worst.priority <= self.waiting[0].priority:
                    break
                self.batch.remove(worst)
                worst.left = worst.work
                self.waiting.append(worst)
            self.batch.append(self.waiting.pop(0))
        speed = 1.0 / (self.slow * (1.0 + self.per_request * len(self.batch)))
        ended = []
        for request in self.batch:
            request.left -= STEP_SECONDS * speed
            if request.left <= 0:
                ended.append(request)
        for request in ended:
            self.batch.remove(request)
        return ended


class Ended(NamedTuple):
    """The result of a program."""

    kind: str
    customer: str
    started: float
    outcome: str
    work: float


class World:
    """Callers, entries, a leader and engines.

    Attributes:
        schedule: The admission; None to open all turns.
        report_delay: Further delay of the messages that close turns.
        leader_until: Time until which no leader answers.
        factors: Factors on the rate by customer.
        kind_factors: Factors on the rate by kind.
        results: Ended programs.
        refusal_times: Time to each refusal, as a fraction of the target.
        samples: Time, requests at engines and waiting turns of each step.
        decisions: Number of decisions by their class.
        stopped: Time from which on no programs begin.
        lost_turns: Turns whose end is never reported.
    """

    def __init__(
        self,
        kinds: list[Kind],
        *,
        engines: int = 8,
        slots: int = 12,
        per_request: float = 0.03,
        load: float = 1.0,
        seed: int = 1,
        admission: bool = True,
        customers: int = 20,
        report_delay: float = 0.0,
    ) -> None:
        self.kinds = kinds
        self.engines = [Engine(slots, per_request) for _ in range(engines)]
        self.load = load
        self.random = random.Random(seed)
        self.schedule = turn_admission.ServiceSchedule() if admission else None
        self.customers = [f"c{number}" for number in range(customers)]
        self.report_delay = report_delay
        self.factors: dict[str, float] = {}
        self.kind_factors: dict[str, float] = {}
        self.leader_until = 0.0
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.results: list[Ended] = []
        self.refusal_times: list[float] = []
        self.samples: list[tuple[float, int, int]] = []
        self.decisions: collections.Counter[str] = collections.Counter()
        self.stopped = math.inf
        self.lost_turns: set[turn_queue.TurnKey] = set()
        for kind in kinds:
            for customer in self.customers:
                self._plan_start(kind, customer)

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at a time."""
        heapq.heappush(
            self.events, (max(time, self.now), next(self.numbers), callback)
        )

    def run(self, until: float) -> None:
        """Advances to a time."""
        while self.now < until:
            self.now += STEP_SECONDS
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for engine in self.engines:
                for request in engine.step():
                    request.done()
            self.samples.append(
                (
                    self.now,
                    sum(engine.load for engine in self.engines),
                    len(self.schedule.queue) if self.schedule else 0,
                )
            )

    def capacity(self) -> float:
        """Returns the work that all engines do with full batches."""
        return sum(
            engine.slots / (1 + engine.per_request * engine.slots)
            for engine in self.engines
        )

    def work_in_time(self, since: float, until: float) -> float:
        """Returns the work per second of programs that ended in time."""
        work = sum(
            one.work
            for one in self.results
            if one.outcome == "aim" and since <= one.started < until
        )
        return work / (until - since)

    def fraction_in_time(self, since: float, until: float, **of: str) -> float:
        """Returns the fraction of programs that ended in time."""
        found = [
            one
            for one in self.results
            if since <= one.started < until
            and all(getattr(one, name) == value for name, value in of.items())
        ]
        good = sum(one.outcome == "aim" for one in found)
        return good / max(1, len(found))

    def _plan_start(self, kind: Kind, customer: str) -> None:
        rate = kind.rate * self.load / len(self.customers)
        rate *= self.factors.get(customer, 1.0)
        rate *= self.kind_factors.get(kind.name, 1.0)

        def start() -> None:
            if self.now < self.stopped:
                Program(self, kind, customer).turn()
                self._plan_start(kind, customer)

        self.at(self.now + self.random.expovariate(rate), start)


class Program:
    """One program."""

    def __init__(self, world: World, kind: Kind, customer: str) -> None:
        self.world = world
        self.kind = kind
        self.customer = customer
        self.started = world.now
        draw = world.random
        self.id = f"p{next(world.numbers)}"
        count = max(1, round(draw.lognormvariate(math.log(kind.turns), 0.3)))
        self.works = [
            min(4 * kind.work, draw.lognormvariate(math.log(kind.work), 0.5))
            for _ in range(count)
        ]
        self.pauses = [draw.expovariate(1 / kind.pause) for _ in self.works]
        ideal = sum(self.works) + sum(self.pauses[:-1])
        ideal += count * 4 * WAY_SECONDS
        self.target = kind.aim * ideal + kind.extra
        self.number = 0
        self.attempt = 0

    def turn(self) -> None:
        """Attempts the next turn."""
        Attempt(self).ask()

    def ended_turn(self) -> None:
        world = self.world
        self.number += 1
        self.attempt = 0
        if self.number < len(self.works):
            pause = self.pauses[self.number - 1]
            world.at(world.now + pause, self.turn)
            return
        seconds = world.now - self.started
        self.finish("aim" if seconds <= self.target else "late")

    def failed_turn(self) -> None:
        self.attempt += 1
        if self.attempt >= MAX_ATTEMPTS:
            self.finish("failed")
            return
        pause = self.world.random.uniform(*PAUSE_RANGE)
        self.world.at(self.world.now + pause, self.turn)

    def finish(self, outcome: str) -> None:
        self.world.results.append(
            Ended(
                self.kind.name,
                self.customer,
                self.started,
                outcome,
                sum(self.works),
            )
        )


class Attempt:
    """One attempt of a turn, at its entry and its engine."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.world = program.world
        self.began = self.world.now
        self.key = turn_queue.TurnKey(
            program.customer, f"{program.id}-{next(self.world.numbers)}"
        )
        self.entry = f"a{self.world.random.randrange(4)}"
        self.over = False
        self.request: Request | None = None
        self.world.at(self.began + program.kind.deadline, self.give_up)

    @property
    def work(self) -> float:
        return self.program.works[self.program.number]

    def ask(self) -> None:
        self.world.at(self.world.now + WAY_SECONDS, self.decide)

    def decide(self) -> None:
        world = self.world
        if self.over:
            return
        if world.now < world.leader_until:
            world.at(world.now + 0.05, self.decide)
            return
        if world.schedule is None:
            self.place()
            return
        program = self.program
        kind = program.kind
        tokens = round(self.work * TOKENS_PER_SECOND)
        demand = program_messages.TurnDemand(
            "lm",
            kind.name,
            kind.priority,
            1.0,
            600 + tokens,
            max(0.01, program.target - (self.began - program.started)),
            world.now - self.began,
            sum(engine.slots for engine in world.engines),
            0,
            kind.deadline,
        )
        decision = world.schedule.ask(
            turn_queue.Ask(
                self.key,
                program.id,
                program.number == 0,
                self.entry,
                500,
                demand,
            ),
            world.now,
        )
        world.decisions[type(decision).__name__] += 1
        match decision:
            case turn_admission.Grant():
                self.place()
            case turn_admission.Defer(retry_after=seconds):
                world.at(world.now + seconds + WAY_SECONDS, self.decide)
            case turn_admission.Refuse():
                world.refusal_times.append(
                    (world.now - self.began) / program.target
                )
                self.over = True
                program.failed_turn()

    def place(self) -> None:
        world = self.world
        choices = world.random.sample(world.engines, min(3, len(world.engines)))
        engine = min(choices, key=lambda one: one.load * one.slow)
        self.request = Request(self.program.kind.priority, self.work, self.done)
        engine.waiting.append(self.request)

    def done(self) -> None:
        self.over = True
        self.close(round(self.work * TOKENS_PER_SECOND), True)
        self.world.at(self.world.now + 2 * WAY_SECONDS, self.program.ended_turn)

    def give_up(self) -> None:
        if self.over:
            return
        self.over = True
        if self.request is not None:
            self.request.cancelled = True
            self.close(0, False)
        self.program.failed_turn()

    def close(self, tokens: int, ran: bool) -> None:
        world = self.world

        def arrive() -> None:
            if world.now < world.leader_until:
                world.at(world.leader_until, arrive)
            elif world.schedule and self.key not in world.lost_turns:
                world.schedule.release(self.key, tokens, ran, world.now)

        world.at(world.now + WAY_SECONDS + world.report_delay, arrive)
