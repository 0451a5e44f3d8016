"""Outcomes for callers under load, simulated in virtual time.

The decision code is real. Each simulated upstream runs as many calls at once
as it has slots, each for a fixed time.
"""

import heapq
import math
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools
from testtools import matchers

from mintcleat.decisions import admission
from mintcleat.decisions import calls
from mintcleat.decisions import order
from mintcleat.decisions import placement
from mintcleat.decisions import queue
from mintcleat.domain import call_messages
from mintcleat.domain import identities

SLOTS = 8
TOKEN_TIME = 0.03
FIFO = queue.Options(
    adaptive=False,
    fair=False,
    bounded=False,
    classes=False,
    ordering=order.Switches(attained=False, learned=False, gating=False),
)
FULL = queue.Options(max_wait=10.0)


class ProgramSpec(NamedTuple):
    """A program: its arrival time and the tokens of each of its calls."""

    name: str
    customer: str
    arrives: float
    tokens: list[int]


class Deployment:
    """Gates, the fleet of one entry, and callers that retry when refused.

    Attributes:
        naive: Whether calls go to the upstreams in turn, without deadlines.
        max_refusals: Refusals of a first call after which its caller gives up.
        speeds: Factor on the time of each call, by upstream.
        resident: Upstream of each program's last call.
        late: Answers after their deadline.
    """

    def __init__(
        self,
        options: queue.Options,
        speeds: list[float],
        naive: bool = False,
        max_refusals: int = 10**9,
    ) -> None:
        self.now = 0.0
        self.naive = naive
        self.max_refusals = max_refusals
        self.speeds = {f"u{n}": speed for n, speed in enumerate(speeds)}
        self.gates = {name: queue.Gate(options, SLOTS) for name in self.speeds}
        self.fleet = placement.Fleet()
        self.fleet.watch(list(self.gates))
        self.events: list[tuple] = []
        self.answers: dict[str, list[tuple[int, float]]] = {}
        self.specs: dict[str, ProgramSpec] = {}
        self.resident: dict[str, str] = {}
        self.refusals: dict[str, int] = {}
        self.late = 0
        self.sent = 0
        for name in self.gates:
            self.report(name)

    def at(self, when: float, *event: object) -> None:
        self.sent += 1
        heapq.heappush(self.events, (when, self.sent, event))

    def run(self, specs: list[ProgramSpec]) -> dict[str, float]:
        """Returns the latency in seconds of each program that completed."""
        for spec in specs:
            self.specs[spec.name] = spec
            self.answers[spec.name] = []
            self.at(spec.arrives, "send", spec.name)
        while self.events:
            self.now, _, (kind, *rest) = heapq.heappop(self.events)
            getattr(self, kind)(*rest)
        return {
            spec.name: self.answers[spec.name][-1][1] - spec.arrives
            for spec in specs
            if len(self.answers[spec.name]) == len(spec.tokens)
        }

    def report(self, name: str) -> None:
        load = self.gates[name].load(self.now)
        report = call_messages.LoadReport(
            identities.Incarnation(name, 1),
            self.sent,
            load.running,
            load.queued,
            load.limit,
            load.wait,
            load.token_time,
            load.prefill_rate,
            0,
            placement.READY,
            load.first_call_wait,
        )
        self.fleet.report(report, self.now)

    def send(self, program: str) -> None:
        spec = self.specs[program]
        turn = len(self.answers[program])
        call = calls.Call(
            f"{program}/{turn}",
            program,
            program,
            spec.customer,
            "agent",
            deadline_at=math.inf if self.naive else self.now + 60.0,
            attained=sum(spec.tokens[:turn]),
            prompt_tokens=100,
            expected_tokens=spec.tokens[turn],
        )
        name = self.choose(call)
        self.resident[program] = name
        answer = self.gates[name].offer(call, self.now)
        if isinstance(answer, queue.Admit):
            self.start(name, call)
        elif isinstance(answer, admission.Refuse):
            self.refused(program, turn, answer)
        self.pump(name)

    def choose(self, call: calls.Call) -> str:
        if self.naive:
            return f"u{self.sent % len(self.gates)}"
        known = self.resident.get(call.program)
        resident = placement.Resident(known, 1000) if known else None
        choice = placement.choose(
            self.fleet, call, resident, placement.Weights(), self.now
        )
        assert choice is not None
        return choice.name

    def refused(
        self, program: str, turn: int, answer: admission.Refuse
    ) -> None:
        self.refusals[program] = self.refusals.get(program, 0) + 1
        if turn or self.refusals[program] < self.max_refusals:
            self.at(self.now + answer.retry_after, "send", program)

    def start(self, name: str, call: calls.Call) -> None:
        seconds = call.expected_tokens * TOKEN_TIME * self.speeds[name]
        self.at(self.now + seconds, "end", name, call, seconds)

    def end(self, name: str, call: calls.Call, seconds: float) -> None:
        outcome = calls.Outcome(seconds, 1e-6, 0, call.expected_tokens)
        self.gates[name].finished(call.call_id, self.now, outcome)
        turn = int(call.call_id.split("/")[1])
        self.answers[call.program].append((turn, self.now))
        self.late += self.now > call.deadline_at
        self.report(name)
        tokens = self.specs[call.program].tokens
        if len(self.answers[call.program]) == len(tokens):
            estimator = self.gates[name].estimator
            estimator.finished("agent", sum(tokens), len(tokens))
        else:
            self.at(self.now + 0.5, "send", call.program)
        self.pump(name)

    def pump(self, name: str) -> None:
        while (call := self.gates[name].next(self.now)) is not None:
            self.start(name, call)


def steady(
    customer: str, count: int, gap: float, turns: int
) -> list[ProgramSpec]:
    return [
        ProgramSpec(
            f"{customer}{n}", customer, n * gap, [50 + n * 37 % 100] * turns
        )
        for n in range(count)
    ]


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


class LoadTest(testtools.TestCase):
    def test_a_burst_slows_its_own_customer_only(self) -> None:
        """One customer sends 200 programs at once, ten times its share.

        The programs of others still get slots: the burst queues behind its
        own share, and the idle slots it used are freed as its calls end.
        """
        others = steady("calm", 100, 0.8, 3)
        burst = [ProgramSpec(f"b{n}", "b", 10.0, [100] * 3) for n in range(200)]
        quiet = Deployment(FULL, [1.0] * 4).run(others)
        loud = Deployment(FULL, [1.0] * 4).run(others + burst)
        naive = Deployment(FIFO, [1.0] * 4, naive=True).run(others + burst)
        before, with_burst, without_shares = (
            percentile([found[spec.name] for spec in others], 0.95)
            for found in (quiet, loud, naive)
        )
        self.assertThat(with_burst, matchers.LessThan(1.2 * before))
        self.assertThat(without_shares, matchers.GreaterThan(2 * before))

    def test_skewed_demand_spreads(self) -> None:
        """Every program's history is cached at one of four upstreams.

        If all programs stayed there, that upstream would be overloaded while
        the others are idle.
        """
        specs = steady("calm", 60, 0.1, 4)
        skewed = Deployment(FULL, [1.0] * 4)
        skewed.resident = {spec.name: "u0" for spec in specs}
        even = Deployment(FULL, [1.0] * 4).run(specs)
        found = skewed.run(specs)
        self.assertThat(
            percentile(list(found.values()), 0.95),
            matchers.LessThan(1.5 * percentile(list(even.values()), 0.95)),
        )

    def test_one_slow_upstream_gets_few_calls(self) -> None:
        specs = steady("calm", 200, 0.5, 4)
        healthy = Deployment(FULL, [1.0] * 5).run(specs)
        slow = Deployment(FULL, [10.0, 1.0, 1.0, 1.0, 1.0]).run(specs)
        self.assertThat(
            percentile(list(slow.values()), 0.95),
            matchers.LessThan(1.3 * percentile(list(healthy.values()), 0.95)),
        )

    def test_short_programs_do_not_wait_for_long_ones(self) -> None:
        """Long and short programs share one upstream above its capacity.

        The short ones finish sooner than with FIFO order, and the long ones
        finish too.
        """
        long = [
            ProgramSpec(f"l{n}", "a", n * 0.1, [200] * 10) for n in range(12)
        ]
        short = [
            ProgramSpec(f"s{n}", "a", n * 0.6, [30] * 3) for n in range(80)
        ]
        options = FIFO._replace(ordering=order.ALL_ON)
        ordered = Deployment(options, [1.0]).run(long + short)
        fifo = Deployment(FIFO, [1.0]).run(long + short)
        ours, theirs = (
            sum(found[spec.name] for spec in short) for found in (ordered, fifo)
        )
        self.assertThat(ours, matchers.LessThan(0.8 * theirs))
        self.assertEqual(92, len(ordered))

    def test_twice_the_capacity_is_shed_at_first_calls(self) -> None:
        """Programs arrive at twice the capacity; a refused one gives up.

        Every program either finishes within its deadlines or is refused at its
        first call, and the upstreams stay busy.
        """
        specs = [
            ProgramSpec(f"p{n}", f"customer{n % 4}", n * 0.14, [100] * 4)
            for n in range(600)
        ]
        run = Deployment(FULL, [1.0] * 2, max_refusals=1)
        found = run.run(specs)
        done = len(found) * 4 * 100 * TOKEN_TIME
        refused = sum(not run.answers[spec.name] for spec in specs)
        self.assertEqual(0, run.late)
        self.assertEqual(600, len(found) + refused)
        self.assertThat(done, matchers.GreaterThan(0.9 * 84.0 * 2 * SLOTS))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["a", "b", "c"]),
                strategies.floats(0.0, 20.0),
                strategies.lists(
                    strategies.integers(1, 400), min_size=1, max_size=5
                ),
            ),
            max_size=40,
        )
    )
    def test_every_call_is_answered_once_and_in_order(
        self, drawn: list[tuple]
    ) -> None:
        """Each call is answered once and in order, as with FIFO scheduling.

        Refused calls are retried after `retry_after`. No program takes longer
        than all the work, its retries and the ageing limit together.
        """
        specs = [
            ProgramSpec(f"p{n}", customer, arrives, tokens)
            for n, (customer, arrives, tokens) in enumerate(drawn)
        ]
        bound = 300.0 + sum(sum(spec.tokens) for spec in specs) * 0.03
        for options, naive in ((FULL, False), (FIFO, True)):
            run = Deployment(options, [1.0, 2.0], naive=naive)
            found = run.run(specs)
            turns = {
                spec.name: [turn for turn, _ in run.answers[spec.name]]
                for spec in specs
            }
            expected = {
                spec.name: list(range(len(spec.tokens))) for spec in specs
            }
            self.assertEqual(expected, turns)
            self.assertTrue(all(time < bound for time in found.values()))
