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
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

STEP_SECONDS = 0.005
# Time of a message between an entry and the leader.
MESSAGE_SECONDS = 0.004
# Time between two asks of an entry while there is no leader.
NO_LEADER_RETRY_SECONDS = 0.05
# Tokens that a request alone on an engine generates in a second.
TOKENS_PER_SECOND = 160.0
PROMPT_TOKENS = 500
# Tokens that callers request beyond what is generated.
UNUSED_TOKENS = 100
# Entries, unless a test needs more.
ENTRIES = 4
# Attempts of one turn, until its program fails.
MAX_ATTEMPTS = 3
# Attempts of a turn whose callers honour Retry-After.
PATIENT_ATTEMPTS_RANGE = (2, 3)
# Longest pause of such a caller, as a part of the time that it has left.
PATIENT_FRACTION = 1 / 3
# Seconds between an attempt that was refused or timed out, and the next.
RETRY_PAUSE_RANGE = (0.1, 0.4)


class Kind(NamedTuple):
    """One kind of programs; times in seconds.

    Attributes:
        name: Name of the kind.
        priority: Priority of its turns; 0 is the most urgent.
        rate: Programs per second at load 1.
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
    """A turn at an engine.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        work: Seconds that it takes alone on an engine.
        left: The part of these that is left.
        done: Called when it ends.
        cancelled: Whether its caller gave up.
    """

    def __init__(self, priority: int, work: float, done: Any) -> None:
        self.priority = priority
        self.work = work
        self.left = work
        self.done = done
        self.cancelled = False


class Engine:
    """A batching engine; see the module.

    Attributes:
        per_request: Fraction by which each request of the batch slows all.
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


class Entry:
    """What an entry has running, as it reports it.

    Attributes:
        running: Its requests at engines.
        ended: When its turns ended whose messages are on the way.
        frozen_until: Time until which it neither sends nor receives.
    """

    def __init__(self) -> None:
        self.running = 0
        self.ended: dict[turn_queue.TurnKey, float] = {}
        self.frozen_until = 0.0


class ProgramResult(NamedTuple):
    """The result of a program.

    Attributes:
        kind: Name of its kind.
        customer: Its customer.
        started: When it was started.
        outcome: `aim` if it ended within its target, `late` or `failed`.
        work: Work of its turns, in seconds alone on an engine.
    """

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
        paused_until: Time until which the leader's process is paused; it
            handles the messages of that time, in order, when it continues.
        kind_factors: Factors on the rate by kind.
        results: Ended programs.
        refusal_times: Time to each refusal, as a fraction of the target.
        samples: Time, requests at engines and waiting turns of each step.
        decisions: Number of decisions by their class.
        stopped: Time from which on no programs begin.
        lost_turns: Turns whose end is never reported.
        entries: The entries by name.
        patient: Whether callers honour Retry-After.
        refused: Number of refusals by customer.
        retry_times: Seconds that refused callers over their share were told.
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
        entries: int = ENTRIES,
        patient: bool = False,
    ) -> None:
        self.kinds = kinds
        self.engines = [Engine(slots, per_request) for _ in range(engines)]
        self.load = load
        self.random = random.Random(seed)
        self.schedule = turn_admission.ServiceSchedule() if admission else None
        self.customers = [f"c{number}" for number in range(customers)]
        self.report_delay = report_delay
        self.kind_factors: dict[str, float] = {}
        self.leader_until = 0.0
        self.paused_until = 0.0
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.results: list[ProgramResult] = []
        self.refusal_times: list[float] = []
        self.samples: list[tuple[float, int, int]] = []
        self.decisions: collections.Counter[str] = collections.Counter()
        self.stopped = math.inf
        self.lost_turns: set[turn_queue.TurnKey] = set()
        self.patient = patient
        self.refused: collections.Counter[str] = collections.Counter()
        self.retry_times: list[float] = []
        self.entries = {f"a{number}": Entry() for number in range(entries)}
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
            if self.schedule is not None and self.now >= self.paused_until:
                self.schedule.tick(self.now)
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

    def freeze(self, entries: list[str], until: float) -> None:
        """Freezes entries; engines continue what they run for them."""
        for name in entries:
            self.entries[name].frozen_until = until

    def pick_entry(self) -> str:
        """Returns an entry for an attempt; callers avoid frozen ones."""
        names = [
            name
            for name, entry in self.entries.items()
            if entry.frozen_until <= self.now
        ]
        return names[self.random.randrange(len(names))]

    def add_load(self, customer: str, factor: float) -> None:
        """Adds a multiple of a customer's usual load from now on."""
        for kind in self.kinds:
            self._plan_start(kind, customer, factor)

    def when_running(self, callback: Callable[[], None]) -> None:
        """Calls back at once, or when the leader continues."""
        if self.paused_until > self.now:
            self.at(self.paused_until, callback)
        else:
            callback()

    def _plan_start(
        self, kind: Kind, customer: str, factor: float = 1.0
    ) -> None:
        rate = kind.rate * self.load / len(self.customers)
        rate *= factor * self.kind_factors.get(kind.name, 1.0)

        def start() -> None:
            if self.now < self.stopped:
                Program(self, kind, customer).turn()
                self._plan_start(kind, customer, factor)

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
        ideal += count * 4 * MESSAGE_SECONDS
        self.target = kind.aim * ideal + kind.extra
        self.number = 0
        self.attempt = 0
        self.attempts = MAX_ATTEMPTS
        if world.patient:
            self.attempts = draw.randint(*PATIENT_ATTEMPTS_RANGE)

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

    def failed_turn(self, retry_after: float = 0.0) -> None:
        """Tries again, or fails; `retry_after` is 0 if none was told."""
        self.attempt += 1
        if self.attempt >= self.attempts:
            self.finish("failed")
            return
        pause = self.world.random.uniform(*RETRY_PAUSE_RANGE)
        if self.world.patient and retry_after:
            left = self.target - (self.world.now - self.started)
            if left <= 0:
                self.finish("failed")
                return
            pause = min(
                PATIENT_FRACTION * left,
                retry_after * self.world.random.uniform(0.6, 1.4),
            )
        self.world.at(self.world.now + pause, self.turn)

    def finish(self, outcome: str) -> None:
        self.world.results.append(
            ProgramResult(
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
        self.entry = self.world.pick_entry()
        self.over = False
        self.request: Request | None = None
        self.world.at(self.began + program.kind.deadline, self.give_up)

    @property
    def work(self) -> float:
        return self.program.works[self.program.number]

    def ask(self) -> None:
        self.world.at(self.world.now + MESSAGE_SECONDS, self.decide)

    def when_awake(self, callback: Callable[[], None]) -> bool:
        """Calls back once the entry is no longer frozen.

        Returns:
            Whether it is frozen now; otherwise nothing is called.
        """
        until = self.world.entries[self.entry].frozen_until
        if until <= self.world.now:
            return False
        self.world.at(until, callback)
        return True

    def decide(self) -> None:
        world = self.world
        if self.when_awake(self.decide) or self.over:
            return
        if world.now < world.leader_until:
            world.at(world.now + NO_LEADER_RETRY_SECONDS, self.decide)
            return
        if world.schedule is None:
            self.place()
            return
        program = self.program
        entry = world.entries[self.entry]
        kind = program.kind
        tokens = round(self.work * TOKENS_PER_SECOND)
        demand = program_messages.TurnDemand(
            service="lm",
            kind=kind.name,
            priority=kind.priority,
            share=1.0,
            tokens=PROMPT_TOKENS + UNUSED_TOKENS + tokens,
            finish_within=max(
                0.01, program.target - (self.began - program.started)
            ),
            waited=world.now - self.began,
            places=sum(engine.slots for engine in world.engines),
            memory_tokens=0,
            timeout=kind.deadline,
            running=entry.running,
            ended=[
                program_messages.EndedTurn(*key)
                for key, at in entry.ended.items()
                # What the entry knew when it sent this message.
                if at < world.now - MESSAGE_SECONDS - STEP_SECONDS
            ],
        )
        ask = turn_queue.Ask(
            self.key,
            program.id,
            program.number == 0,
            self.entry,
            PROMPT_TOKENS,
            demand,
        )
        world.when_running(lambda: self.deliver(ask))

    def deliver(self, ask: turn_queue.Ask) -> None:
        """Has the leader decide, and acts on its decision."""
        world = self.world
        program = self.program
        decision = world.schedule.ask(ask, world.now)
        world.decisions[type(decision).__name__] += 1
        match decision:
            case turn_decisions.Grant() if self.over:
                # Its caller has gone while the grant was on its way.
                self.close(0, False)
            case turn_decisions.Grant():
                self.place()
            case turn_decisions.Defer(retry_after=seconds):
                world.at(world.now + seconds + MESSAGE_SECONDS, self.decide)
            case turn_decisions.Refuse(kind, _, seconds) if not self.over:
                world.refused[program.customer] += 1
                if kind == "share_exceeded":
                    world.retry_times.append(seconds)
                world.refusal_times.append(
                    (world.now - self.began) / program.target
                )
                self.over = True
                program.failed_turn(seconds)

    def place(self) -> None:
        world = self.world
        choices = world.random.sample(world.engines, min(3, len(world.engines)))
        engine = min(choices, key=lambda one: one.load * one.slow)
        self.request = Request(self.program.kind.priority, self.work, self.done)
        engine.waiting.append(self.request)
        world.entries[self.entry].running += 1

    def done(self) -> None:
        if self.when_awake(self.done) or self.over:
            return
        self.over = True
        self.world.entries[self.entry].running -= 1
        self.close(round(self.work * TOKENS_PER_SECOND), True)
        self.world.at(
            self.world.now + 2 * MESSAGE_SECONDS, self.program.ended_turn
        )

    def give_up(self) -> None:
        if self.over:
            return
        self.over = True
        self.cancel()
        self.program.failed_turn()

    def cancel(self) -> None:
        """Ends the request of a caller that gave up."""
        if self.request is None or self.when_awake(self.cancel):
            return
        self.request.cancelled = True
        self.world.entries[self.entry].running -= 1
        self.close(0, False)

    def close(self, tokens: int, ran: bool) -> None:
        world = self.world
        ended = world.entries[self.entry].ended
        if self.key not in world.lost_turns:
            ended[self.key] = world.now

        def arrive() -> None:
            ended.pop(self.key, None)
            if world.now < world.leader_until:
                world.at(world.leader_until, arrive)
            elif world.schedule and self.key not in world.lost_turns:
                world.when_running(
                    lambda: world.schedule.release(
                        self.key, tokens, ran, world.now
                    )
                )

        world.at(world.now + MESSAGE_SECONDS + world.report_delay, arrive)
