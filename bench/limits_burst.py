"""Bursts of customers whose rate limits are 1.6 times their usual rate.

`python -m bench.limits bursts` plays programs of two kinds and 83 customers in
virtual time. Each request goes to any of 27 entries. One customer sends several
times its usual load; later the less urgent kind has a burst, then the urgent
one. The steps of a program are drawn in advance, so that it is known for each
refused program whether the limit required it: it did not (`owed`) if the
requests of all programs in progress and of this one fit into every window to
come.
"""

import bisect
import collections
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

from mintcleat.decisions import limits as decisions
from mintcleat.domain import program_messages
from mintcleat.programs import limits

WINDOW_SECONDS = 5.0
ENTRIES = 27
CUSTOMERS = 83
# Programs of all customers that begin in a second at the usual rate.
PROGRAMS_PER_SECOND = 70.0
# Limit of a customer as a multiple of its usual rate.
LIMIT_FACTOR = 1.6
SECONDS = 40.0
# Attempts of one request; the program fails when the last one is refused.
ATTEMPTS = 3
RETRY_SECONDS = (0.1, 1.0)


class Kind(NamedTuple):
    """A kind of program.

    Attributes:
        turns: Turns of a program.
        share: Share of the kind in the programs.
        turn_seconds: Mean duration of a turn.
    """

    name: str
    turns: int
    share: float
    turn_seconds: float


URGENT = Kind("urgent", 3, 0.6, 0.35)
PATIENT = Kind("patient", 7, 0.4, 0.4)


class Burst(NamedTuple):
    """A time in which some programs begin more often than usual.

    Attributes:
        who: Name of a kind or of a customer.
    """

    name: str
    who: str
    begin: float
    end: float
    factor: float


BURSTS = (
    Burst("customer", "c2", 10.0, 16.0, 5.5),
    Burst("patient", "patient", 20.0, 25.0, 2.25),
    Burst("urgent", "urgent", 28.0, 31.0, 1.7),
)


class Step(NamedTuple):
    """One request of a program.

    Attributes:
        pause: Seconds between the request before and this one.
        is_turn: Whether it opens a turn; otherwise it is a tool call.
    """

    pause: float
    is_turn: bool


class Program:
    """A program and its progress.

    Attributes:
        steps: All requests, in order.
        done: Requests that were sent.
        next_at: Time of the next request, without refusals.
        attempts: Refusals of the next request.
        owed: Whether a first refusal was not required by the limit.
    """

    def __init__(
        self, name: str, customer: str, kind: Kind, steps: list[Step], at: float
    ) -> None:
        self.name = name
        self.customer = customer
        self.kind = kind
        self.steps = steps
        self.done = 0
        self.begins_at = at
        self.next_at = at
        self.attempts = 0
        self.owed = False

    def planned(self, at: float) -> list[float]:
        """Returns the times of the requests to come if the next is at `at`."""
        pauses = [step.pause for step in self.steps[self.done + 1 :]]
        return list(itertools.accumulate([at, *pauses]))


class CustomerState:
    """What a customer has sent, and its programs in progress."""

    def __init__(self, rate: float, limit: program_messages.RateLimit) -> None:
        self.rate = rate
        self.limit = limit
        self.sent: list[float] = []
        self.active: dict[str, Program] = {}

    def in_window(self, now: float) -> int:
        """Returns the requests sent within the last window."""
        first = bisect.bisect_right(self.sent, now - WINDOW_SECONDS)
        return len(self.sent) - first

    def has_room(self, program: Program, now: float) -> bool:
        """Returns whether the limit allows a whole program to begin now.

        Its first request must be within the regular limit, and no window that
        is still to come may exceed the limit and its tolerance.
        """
        if self.in_window(now) + 1 > self.limit.window_limit():
            return False
        first = bisect.bisect_right(self.sent, now - WINDOW_SECONDS)
        times = self.sent[first:] + program.planned(now)
        for other in self.active.values():
            times += other.planned(max(now, other.next_at))
        times.sort()
        allowed = self.limit.window_limit() + self.limit.tolerance()
        return max_in_window(times) <= allowed


def max_in_window(times: list[float]) -> int:
    """Returns the most of some sorted times that lie in one window."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


class Simulation:
    """Customers, their programs, entries and the counts of the leader.

    Attributes:
        rows: Counts by phase; programs belong to the phase that they begin in.
        by_customer: Counts by customer.
        events: (time, number, program) of the requests to come.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        burst_seconds: float = 1.0,
        ahead: bool = True,
        oracle: bool = False,
    ) -> None:
        """Creates the customers.

        Args:
            seed: Seed of the programs.
            burst_seconds: Burst of a limit, in seconds of its rate.
            ahead: Whether turns count ahead for the calls that follow.
            oracle: Whether programs are admitted by their known steps instead
                of by the limiter.
        """
        self.random = random.Random(seed)
        self.uses_ahead = ahead
        self.uses_oracle = oracle
        self.counts = limits.CustomerLimits()
        self.ahead = [decisions.CountAhead() for _ in range(ENTRIES)]
        self.rows: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.by_customer: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self.events: list[tuple[float, int, Program]] = []
        self.numbers = itertools.count()
        self.customers: dict[str, CustomerState] = {}
        weights = [1 / (n + 1) ** 0.7 for n in range(CUSTOMERS)]
        requests = sum(
            kind.share * kind.turns * 2.5 for kind in (URGENT, PATIENT)
        )
        for number, weight in enumerate(weights):
            rate = PROGRAMS_PER_SECOND * weight / sum(weights)
            limit = LIMIT_FACTOR * rate * requests
            self.customers[f"c{number}"] = CustomerState(
                rate,
                program_messages.RateLimit(
                    limit, limit * burst_seconds, WINDOW_SECONDS, 0.1, 20.0
                ),
            )

    def run(self, bursts: tuple[Burst, ...] = BURSTS) -> None:
        """Plays all programs to their end."""
        for customer, state in self.customers.items():
            for kind in (URGENT, PATIENT):
                self._plan(customer, state.rate * kind.share, kind, bursts)
        while self.events:
            now, _, program = heapq.heappop(self.events)
            self._request(program, now)

    def _plan(
        self, customer: str, rate: float, kind: Kind, bursts: Any
    ) -> None:
        most = max([1.0, *(burst.factor for burst in bursts)])
        at = 0.0
        while True:
            at += self.random.expovariate(rate * most)
            if at >= SECONDS:
                return
            factor = 1.0
            for burst in bursts:
                if burst.begin <= at < burst.end and burst.who in (
                    customer,
                    kind.name,
                ):
                    factor *= burst.factor
            if self.random.random() * most >= factor:
                continue
            name = f"{customer}-{next(self.numbers)}"
            program = Program(name, customer, kind, self._steps(kind), at)
            self._push(at, program)

    def _steps(self, kind: Kind) -> list[Step]:
        steps = []
        pause = 0.0
        for _ in range(kind.turns):
            steps.append(Step(pause, True))
            turn = self.random.uniform(0.6, 1.4) * kind.turn_seconds
            for _ in range(self.random.choice((0, 1, 1, 2, 2, 3))):
                steps.append(Step(turn, False))
                turn = 0.0
            pause = turn + self.random.uniform(0.1, 0.3)
        return steps

    def _push(self, at: float, program: Program) -> None:
        program.next_at = at
        heapq.heappush(self.events, (at, next(self.numbers), program))

    def _phase(self, at: float) -> str:
        for burst in BURSTS:
            if burst.begin <= at < burst.end:
                return burst.name
        return "usual"

    def _request(self, program: Program, now: float) -> None:
        state = self.customers[program.customer]
        row = self.rows[self._phase(program.begins_at)]
        customer = self.by_customer[program.customer]
        if not program.attempts and not program.done:
            row["programs"] += 1
            customer["programs"] += 1
        step = program.steps[program.done]
        row["requests"] += 1
        refusal = self._ask(program, step, now)
        if refusal is None:
            self._sent(program, state, row, now)
            return
        first = not program.done
        if first:
            program.owed = program.owed or state.has_room(program, now)
            row["first refused"] += 1
        else:
            row["later refused"] += 1
        program.attempts += 1
        if program.attempts >= ATTEMPTS:
            state.active.pop(program.name, None)
            result = "not begun" if first else "cut short"
            row[result] += 1
            customer[result] += 1
            if first:
                row["owed"] += program.owed
                customer["owed"] += program.owed
            return
        shortest, longest = RETRY_SECONDS
        wait = max(shortest, min(longest, refusal.retry_after))
        self._push(now + wait, program)

    def _sent(
        self,
        program: Program,
        state: CustomerState,
        row: collections.Counter[str],
        now: float,
    ) -> None:
        state.sent.append(now)
        program.attempts = 0
        program.done += 1
        if program.done == len(program.steps):
            state.active.pop(program.name, None)
            row["whole"] += 1
            row["whole requests"] += program.done
            return
        state.active[program.name] = program
        self._push(now + program.steps[program.done].pause, program)

    def _ask(self, program: Program, step: Step, now: float) -> Any:
        state = self.customers[program.customer]
        row = self.rows[self._phase(program.begins_at)]
        if self.uses_oracle:
            return self._ask_oracle(program, state, now)
        ahead = self.random.choice(self.ahead)
        if (
            self.uses_ahead
            and not step.is_turn
            and ahead.take(program.customer, now)
        ):
            row["used ahead"] += 1
            return None
        refusal = self.counts.admit(
            program.customer, program.name, state.limit, now
        )
        if refusal is None and self.uses_ahead and step.is_turn:
            wanted = ahead.requests_ahead(program.customer, now)
            granted = self.counts.count_ahead(
                program.customer, wanted, state.limit, now
            )
            row["counted ahead"] += granted
            ahead.put(program.customer, granted, now + limits.AHEAD_SECONDS)
        return refusal

    def _ask_oracle(
        self, program: Program, state: CustomerState, now: float
    ) -> Any:
        if program.done or state.has_room(program, now):
            return None
        return limits.Rejection(0, 0.0, 0.25, True)

    def max_window_share(self) -> float:
        """Returns the largest share of a limit with its tolerance in use."""
        return max(
            max_in_window(state.sent)
            / (state.limit.window_limit() + state.limit.tolerance())
            for state in self.customers.values()
        )


COLUMNS = ("programs", "whole", "not begun", "owed", "cut short",
           "first refused", "later refused", "counted ahead",
           "used ahead")  # fmt: skip
WAYS = (
    ("limiter", {}),
    ("limiter, nothing counted ahead", {"ahead": False}),
    ("all steps known", {"oracle": True}),
)


def compare(seeds: int = 3) -> None:
    """Prints a table of the phases for each way of limiting."""
    for burst_seconds in (0.0, 1.0):
        for name, options in WAYS:
            total: dict[str, collections.Counter[str]] = (
                collections.defaultdict(collections.Counter)
            )
            fullest = 0.0
            for seed in range(seeds):
                simulation = Simulation(
                    seed=seed, burst_seconds=burst_seconds, **options
                )
                simulation.run()
                for phase, row in simulation.rows.items():
                    total[phase].update(row)
                fullest = max(fullest, simulation.max_window_share())
            print(
                f"{name}; burst of {burst_seconds:g} s of the rate; "
                f"fullest window {fullest:.3f} of the limit with its tolerance"
            )
            print("".join(f"{item:>14}" for item in ("phase", *COLUMNS)))
            for phase in ("usual", *(burst.name for burst in BURSTS)):
                cells = (phase, *(total[phase][name] for name in COLUMNS))
                print("".join(f"{item!s:>14}" for item in cells))
