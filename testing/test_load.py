"""The load generator: schedule, measurements and report."""

import testtools
from testtools import matchers

from mintcleat.adapters import timers
from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.load import driver as driver_module
from mintcleat.load import plan as plan_module
from mintcleat.load import report


def kind(**changes: object) -> plan_module.Kind:
    return plan_module.Kind(
        **{"name": "triage", "model": "m", "rate": 5.0, **changes}
    )


class ArrivalsTest(testtools.TestCase):
    def test_same_seed_gives_same_programs_at_same_times(self) -> None:
        plan = plan_module.Plan([kind()], seconds=20.0, seed=3)
        self.assertEqual(arrivals.schedule(plan), arrivals.schedule(plan))

    def test_burst_multiplies_the_rate_while_it_lasts(self) -> None:
        burst = plan_module.Burst(at=100.0, seconds=100.0, times=10.0)
        plan = plan_module.Plan([kind(bursts=[burst])], seconds=300.0)
        due = [program.due for program in arrivals.schedule(plan)]
        inside = sum(1 for at in due if 100.0 <= at < 200.0)
        outside = len(due) - inside
        self.assertThat(inside / outside, matchers.GreaterThan(4.0))
        self.assertThat(inside / outside, matchers.LessThan(6.0))


class SlowClient:
    """Answers each turn after 2 s of virtual time."""

    def __init__(self, clock: timers.VirtualTimers) -> None:
        self.clock = clock

    def create(self, body: dict, key: str) -> tuple[str, client_module.Answer]:
        return "p", client_module.Answer("", "ran", 0.0, 0.0, [])

    def chat(
        self, body: dict, headers: dict, deadline: float
    ) -> client_module.Answer:
        self.clock.clock += 2.0
        return client_module.Answer("", "ran", 1.0, 2.0, [], 100, 40, 10)

    def close(self, program: str, key: str) -> None:
        return


class DriverTest(testtools.TestCase):
    def test_latency_counts_from_when_the_program_was_due(self) -> None:
        """Guards against coordinated omission.

        Both programs are due at 0 s, and their answers take 2 s, one after
        the other. The second program took 4 s, although its request took 2 s.
        """
        clock = timers.VirtualTimers()
        driver = driver_module.Driver(SlowClient(clock), clock)
        turn = arrivals.Turn(5, 8, 0.0, sub_agent=False, tool=None)
        program = arrivals.Program(0.0, kind(), [turn])
        driver.run([program, program], drain_timeout=10.0)
        self.assertThat(
            [sample.seconds for sample in driver.samples],
            matchers.AfterPreprocessing(
                lambda seconds: [round(one) for one in seconds],
                matchers.Equals([2, 4]),
            ),
        )

    def test_context_tokens_not_cached_count_as_wasted(self) -> None:
        clock = timers.VirtualTimers()
        driver = driver_module.Driver(SlowClient(clock), clock)
        turn = arrivals.Turn(5, 8, 0.0, sub_agent=False, tool=None)
        driver.run([arrivals.Program(0.0, kind(), [turn, turn])], 10.0)
        results = report.summary(driver)["triage"]
        # The context was 110 tokens, of which the engine had cached 40.
        self.assertEqual(70, results["wasted_tokens"])
        self.assertThat(
            report.table(results={"t": results}), matchers.Contains("wasted")
        )
