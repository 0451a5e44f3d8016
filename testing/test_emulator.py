"""The emulator: its engine model, faults, repeatability and reports."""

import pathlib
import random
import tempfile

import msgspec
import simpy
import testtools
from testtools import matchers

from mintcleat.decisions import policy
from mintcleat.domain import errors
from mintcleat.domain import routed_calls
from mintcleat.emulator import engine
from mintcleat.emulator import plan
from mintcleat.emulator import report
from mintcleat.emulator import simulation
from mintcleat.roles.entry import upstream_loads

MODEL = plan.Engine(
    slots=4, memory=10_000, step=4.0, read_per_ms=50.0, queue=2, first=10.0
)
PLAN = plan.Plan(
    entries=4,
    engines=3,
    engine=msgspec.structs.replace(MODEL, slots=8, memory=60_000, queue=48),
    seconds=6.0,
    kinds={
        "talk": plan.Kind(
            per_second=3.0,
            turns=plan.Distribution(4.0, 0.3, 8.0),
            prompt=plan.Distribution(500.0, 0.5, 2000.0),
            events=plan.Distribution(6.0, 0.5, 20.0),
            aim=1.7,
            fan=0.1,
            deadline=2000.0,
            tools=[plan.Tool(0.5, plan.Distribution(30.0, 0.5, 90.0), True)],
        )
    },
)


class EngineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.env = simpy.Environment()
        self.engine = engine.Engine(self.env, MODEL, random.Random(1))
        self.ends: dict[str, float] = {}
        self.failed: dict[str, str] = {}

    def send(
        self, name: str, *parts: tuple[str, int], output: int = 18
    ) -> None:
        def wait() -> object:
            request = engine.Request(
                self.env,
                tuple(routed_calls.PromptPart(*part) for part in parts),
                f"{name}-kept",
                output,
                lambda: None,
            )
            self.engine.submit(request)
            try:
                yield request.done
            except engine.RequestFailed as failure:
                self.failed[name] = failure.reason
            else:
                self.ends[name] = self.env.now

        self.env.process(wait())

    def test_request_takes_prefill_and_decode_time(self) -> None:
        self.send("a", ("p", 1000))
        self.env.run()
        # The prefill of 1,000 tokens at 50 per ms overlaps with the 10 ms
        # before the first token.
        self.assertThat(self.ends["a"], matchers.GreaterThan(0.018 * 4))
        self.assertThat(self.ends["a"], matchers.LessThan(0.110))

    def test_cached_parts_are_not_prefilled_again(self) -> None:
        self.send("a", ("s", 1000), ("p", 500))
        self.env.run()
        self.assertEqual(1500, self.engine.prefilled_tokens)
        self.send("b", ("s", 1000), ("a-kept", 518), ("q", 200))
        self.env.run()
        self.assertEqual(1700, self.engine.prefilled_tokens)

    def test_least_recently_used_parts_are_evicted(self) -> None:
        for number in range(5):
            self.send(f"r{number}", (f"p{number}", 3000))
            self.env.run()
        self.assertNotIn("p0", self.engine.cache.parts)
        self.assertIn("p4", self.engine.cache.parts)
        self.assertTrue(self.engine.cache.used_tokens <= MODEL.memory)

    def test_prefill_delays_running_requests(self) -> None:
        self.send("a", ("p", 10), output=90)
        self.env.run()
        alone = self.ends["a"]
        self.send("b", ("p", 10), output=90)
        started = self.env.now
        self.env.run(until=started + 0.1)
        self.send("c", ("q", 5000))
        self.env.run()
        self.assertThat(
            self.ends["b"] - started, matchers.GreaterThan(alone + 0.09)
        )

    def test_full_engine_queues_and_then_refuses(self) -> None:
        for number in range(7):
            self.send(f"r{number}", (f"p{number}", 10))
        self.env.run()
        self.assertEqual({"r6": "refused"}, self.failed)
        self.assertEqual(6, len(self.ends))

    def test_crash_fails_requests_and_loses_the_cache(self) -> None:
        self.send("a", ("p", 10))
        self.env.run(until=0.02)
        self.engine.crash()
        self.env.run()
        self.assertEqual({"a": "broke"}, self.failed)
        self.assertEqual({}, dict(self.engine.cache.parts))
        self.engine.restart()
        self.send("b", ("p", 10))
        self.env.run()
        self.assertIn("b", self.ends)


class MemoryTest(testtools.TestCase):
    """Engines that admit requests without room for their output."""

    def run_requests(self, model: plan.Engine, count: int) -> engine.Engine:
        """Runs requests of 2,000 prompt and 900 output tokens to their end."""
        env = simpy.Environment()
        found = engine.Engine(env, model, random.Random(1))
        requests = []
        for number in range(count):
            parts = (
                routed_calls.PromptPart("shared", 500),
                routed_calls.PromptPart(f"p{number}", 1500),
            )
            request = engine.Request(env, parts, f"k{number}", 900, list)
            found.submit(request)
            requests.append(request)
        env.run()
        self.assertTrue(all(one.done.ok for one in requests))
        self.assertEqual(0, found.held_tokens)
        return found

    def test_overflow_preempts_and_prefills_again(self) -> None:
        memory = msgspec.structs.replace(MODEL, preempts=True, memory=7000)
        ample = msgspec.structs.replace(memory, memory=50_000)
        self.assertEqual(0, self.run_requests(ample, 4).preempted)
        found = self.run_requests(memory, 4)
        self.assertTrue(found.preempted > 0)
        # What a preempted request had generated is read again; its prompt is
        # still cached.
        self.assertTrue(
            found.prefilled_tokens
            > self.run_requests(ample, 4).prefilled_tokens
        )

    def test_shared_parts_are_held_once(self) -> None:
        # Four prompts without the 500 shared tokens of three of them.
        memory = msgspec.structs.replace(
            MODEL, preempts=True, memory=500 + 4 * (1500 + 900)
        )
        self.assertEqual(0, self.run_requests(memory, 4).preempted)

    def test_faster_engine_ends_sooner(self) -> None:
        times = []
        for speed in (0.5, 1.0, 2.0):
            env = simpy.Environment()
            found = engine.Engine(env, MODEL, random.Random(1), speed)
            parts = (routed_calls.PromptPart("p", 3000),)
            found.submit(engine.Request(env, parts, "k", 90, list))
            env.run()
            times.append(env.now * speed)
        self.assertTrue(max(times) - min(times) < 0.01, times)


class SimulationTest(testtools.TestCase):
    def with_faults(self, *faults: plan.Fault) -> plan.Plan:
        return msgspec.structs.replace(PLAN, faults=list(faults))

    def count_failed(
        self, experiment: plan.Plan, used: policy.Policy = policy.DEFAULT
    ) -> int:
        result = simulation.run(experiment, 1, 1.0, used)
        return sum(one.outcome == "failed" for one in result.programs)

    def test_programs_meet_their_targets_without_faults(self) -> None:
        result = simulation.run(PLAN, 1, 1.0, policy.DEFAULT)
        outcomes = [one.outcome for one in result.programs]
        self.assertThat(len(outcomes), matchers.GreaterThan(9))
        self.assertEqual({"aim"}, set(outcomes))

    def test_same_arguments_give_the_same_result(self) -> None:
        first = simulation.run(PLAN, 2, 1.0, policy.DEFAULT)
        self.assertEqual(first, simulation.run(PLAN, 2, 1.0, policy.DEFAULT))

    def test_variants_run_the_same_programs(self) -> None:
        without_affinity = policy.Policy(resident=False)
        started = [
            sorted(
                one.started_at
                for one in simulation.run(PLAN, 1, 1.0, used).programs
            )
            for used in (policy.DEFAULT, without_affinity)
        ]
        self.assertEqual(started[0], started[1])

    def test_programs_away_from_their_cache_prefill_more(self) -> None:
        cached = simulation.run(PLAN, 1, 1.0, policy.DEFAULT)
        uncached = simulation.run(PLAN, 1, 1.0, policy.Policy(resident=False))
        self.assertTrue(
            uncached.prefilled_tokens > 1.3 * cached.prefilled_tokens,
            uncached.prefilled_tokens,
        )

    def test_programs_after_a_fault_meet_their_targets(self) -> None:
        faults = [
            plan.Fault("crash", 1.0, 1.0),
            plan.Fault("hang", 1.0, 1.0),
            plan.Fault("control", 1.0, 1.0),
            plan.Fault("slow", 1.0, 1.0, 5.0),
            plan.Fault("stutter", 1.0, 1.0, 1.0, 2),
            plan.Fault("stutter", 1.0, 1.0, 2.5, 2),
            plan.Fault("lost", 1.0, 1.0, 0.2, 3),
            plan.Fault("errors", 1.0, 1.0, 0.2, 3),
            plan.Fault("errors", 1.0, 1.0, 0.5, 2, plain=True),
            plan.Fault("burst", 1.0, 1.0, 3.0),
        ]
        for fault in faults:
            result = simulation.run(
                self.with_faults(fault), 1, 1.0, policy.DEFAULT
            )
            after = {
                one.outcome for one in result.programs if one.started_at > 4.0
            }
            self.assertEqual({"aim"}, after, fault)

    def test_failing_engine_costs_less_where_failures_are_counted(
        self,
    ) -> None:
        faulty = self.with_faults(plan.Fault("errors", 0.5, 5.0, 0.6))
        counted = self.count_failed(faulty)
        ignored = self.count_failed(faulty, policy.Policy(standing=False))
        self.assertThat(counted, matchers.LessThan(ignored))


class StepTest(testtools.TestCase):
    """Steps of load and of speed, with reports 0.5 s late.

    Guards against placement that swings: many entries that leave an upstream
    together, and come back together when the late reports show it empty.
    """

    def run_with(
        self, fault: plan.Fault, used: policy.Policy = policy.DEFAULT
    ) -> simulation.Result:
        experiment = plan.Plan(
            entries=12,
            engines=6,
            seconds=18.0,
            report_delay=500.0,
            engine=plan.Engine(
                slots=32, memory=155_924, step=6.17, read_per_ms=30.9
            ),
            kinds={
                "talk": plan.Kind(
                    per_second=12.0,
                    turns=plan.Distribution(4.0, 0.4, 8.0),
                    prompt=plan.Distribution(700.0, 0.5, 3000.0),
                    events=plan.Distribution(10.0, 0.5, 30.0),
                    aim=2.0,
                )
            },
            faults=[fault],
        )
        return simulation.run(experiment, 3, 1.0, used)

    def loads(
        self, result: simulation.Result, start: float, end: float
    ) -> list[tuple[int, ...]]:
        return [
            sample.loads for sample in result.samples if start < sample.at < end
        ]

    def spread(
        self, result: simulation.Result, start: float, end: float
    ) -> float:
        found = [max(n) - min(n) for n in self.loads(result, start, end)]
        return sum(found) / len(found)

    def test_step_of_load_does_not_swing(self) -> None:
        burst = plan.Fault("burst", 4.0, 4.0, 2.0)
        result = self.run_with(burst)
        by_count = self.run_with(burst, policy.Policy(turn_time=False))
        # Twice the load has about twice the spread, and the step ends in the
        # spread before it.
        before = self.spread(result, 2.0, 4.0)
        during = self.spread(result, 5.0, 8.0)
        after = self.spread(result, 10.5, 13.5)
        self.assertTrue(during < 2.5 * before, (before, during))
        self.assertTrue(after < 1.5 * before, (before, after))
        self.assertTrue(during < 1.3 * self.spread(by_count, 5.0, 8.0))
        failed = [one for one in result.programs if one.outcome == "failed"]
        self.assertEqual([], failed)

    def test_step_of_speed_moves_load_away_and_back_once(self) -> None:
        result = self.run_with(plan.Fault("slow", 4.0, 4.0, 4.6, 2))
        at_end = self.loads(result, 8.0, 9.0)
        means = [
            sum(loads) / len(at_end) for loads in zip(*at_end, strict=True)
        ]
        slow = sorted(range(6), key=means.__getitem__)[:2]
        normal = [n for n in range(6) if n not in slow]

        def mean(names: list[int], start: float, end: float) -> float:
            found = self.loads(result, start, end)
            total = sum(loads[n] for loads in found for n in names)
            return total / len(found) / len(names)

        # Away: what still runs on the slow engines has been there before.
        self.assertTrue(mean(slow, 8.0, 9.0) < 0.4 * mean(normal, 8.0, 9.0))
        # Back, and not beyond: within the spread of single engines.
        later = mean(slow, 13.0, 17.5) / mean(normal, 13.0, 17.5)
        self.assertTrue(0.5 < later < 1.6, later)
        outcomes = [one.outcome for one in result.programs]
        self.assertEqual(0, outcomes.count("failed"))

    def test_slow_engines_get_few_first_turns_within_a_second(self) -> None:
        placed: list[tuple[float, bool]] = []
        choose = upstream_loads.UpstreamLoads.choose

        def record(
            loads: upstream_loads.UpstreamLoads,
            service: str,
            tried: set[str],
            request: upstream_loads.PlacementRequest,
        ) -> upstream_loads.Placement | None:
            found = choose(loads, service, tried, request)
            if service == "model" and not request.hint:
                engines = loads.configuration.engines
                slow = engines[found.upstream.upstream].slow > 1.0
                placed.append((loads.timers.now(), slow))
            return found

        self.patch(upstream_loads.UpstreamLoads, "choose", record)
        self.run_with(plan.Fault("slow", 4.0, 4.0, 4.6, 2))
        found = [slow for at, slow in placed if 5.0 < at < 8.0]
        self.assertThat(len(found), matchers.GreaterThan(25))
        # A third of them if the engines were equal.
        self.assertThat(sum(found) / len(found), matchers.LessThan(0.12))


class UnevenTest(testtools.TestCase):
    def test_fewer_programs_are_late_on_uneven_engines(self) -> None:
        experiment = msgspec.structs.replace(
            PLAN,
            engines=6,
            speeds=[0.6, 1.0, 1.6],
            seconds=10.0,
            kinds={
                "talk": plan.Kind(
                    per_second=12.0,
                    turns=plan.Distribution(4.0, 0.3, 8.0),
                    prompt=plan.Distribution(500.0, 0.5, 2000.0),
                    events=plan.Distribution(10.0, 0.5, 20.0),
                    aim=1.4,
                )
            },
        )
        late = [
            sum(
                one.outcome != "aim"
                for seed in (1, 2)
                for one in simulation.run(
                    experiment, seed, 1.0, policy.Policy(turn_time=used)
                ).programs
            )
            for used in (False, True)
        ]
        self.assertTrue(late[1] < 0.6 * late[0], late)


class CrashingRequestTest(testtools.TestCase):
    def test_quarantine_keeps_most_engines_up(self) -> None:
        path = pathlib.Path(__file__).parents[1] / "examples" / "experiments"
        found = plan.read(path / "crashing.json")
        crashed = {
            name: simulation.run(found, 1, 1.0, variant).crashed
            for name, variant in found.variants.items()
        }
        self.assertLessEqual(crashed["all"], 6)
        self.assertTrue(crashed["no quarantine"] > 20, crashed)


class UnmarkedEndTest(testtools.TestCase):
    def test_answers_that_a_crash_broke_off_are_not_ended_as_whole(
        self,
    ) -> None:
        crashes = [
            plan.Fault("crash", at, 1.0, count=2) for at in (1.0, 3.0, 5.0)
        ]
        shaky = msgspec.structs.replace(PLAN, faults=crashes, unmarked=1.0)
        found = {
            ends: simulation.run(shaky, 1, 2.0, policy.Policy(ends=ends))
            for ends in (True, False)
        }
        self.assertEqual(0, found[True].cut_short)
        self.assertTrue(found[False].cut_short > 5, found[False].cut_short)


class RolloutTest(testtools.TestCase):
    def test_turn_is_resumed_only_at_the_version_that_began_it(self) -> None:
        faults = [
            *(plan.Fault("rollout", at, 2.0, count=2) for at in (1.0, 4.0)),
            *(plan.Fault("crash", at, 0.5) for at in (2.2, 3.1, 5.4, 6.3)),
        ]
        mixed = msgspec.structs.replace(PLAN, faults=faults, resumable=True)
        found = {
            keeps: simulation.run(mixed, 1, 2.0, plan.Variant(versions=keeps))
            for keeps in (True, False)
        }
        self.assertEqual(0, found[True].mixed)
        self.assertGreater(found[False].mixed, 2)


class ReportTest(testtools.TestCase):
    def test_results_are_stored_and_compared(self) -> None:
        rows = report.run(msgspec.structs.replace(PLAN, seconds=2.0))
        self.assertEqual(1, len(rows))
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "run.json")
        report.save(rows, path)
        _, line = report.table(rows, report.load(path))
        self.assertEqual("+0.000", line[-1])

    def test_file_without_results_is_an_error(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "run.json")
        path.write_text("{}")
        self.assertRaises(errors.BadRequest, report.load, path)

    def test_invalid_plan_error_names_the_field(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "plan.json")
        path.write_text('{entries: 1, engines: 1, engine: {slots: "x"}}')
        error = self.assertRaises(errors.InvalidSettings, plan.read, path)
        self.assertIn("slots", error.detail)

    def test_policy_with_an_unknown_mechanism_or_type_is_an_error(self) -> None:
        self.assertFalse(policy.parse("{ speed: false }").speed)
        for text in ("{ sped: false }", "{ speed: 1 }", "["):
            self.assertRaises(errors.InvalidSettings, policy.parse, text)


class AdmissionTest(testtools.TestCase):
    """The leader's admission before few engines, at three times their load."""

    def play(self, load: float, **changes: bool) -> simulation.Result:
        experiment = msgspec.structs.replace(
            PLAN,
            admission="programs",
            customers=plan.Customers(10, 0.8),
            faults=[plan.Fault("heavy", 2.0, 3.0, 5.0)],
        )
        return simulation.run(experiment, 1, load, policy.Policy(**changes))

    def in_aim(self, result: simulation.Result) -> int:
        return sum(one.outcome == "aim" for one in result.programs)

    def test_more_programs_end_in_time(self) -> None:
        admitted = self.in_aim(self.play(40.0))
        self.assertTrue(
            admitted > 2 * self.in_aim(self.play(40.0, admission=False))
        )

    def test_calm_load_is_unchanged(self) -> None:
        for result in (self.play(1.0), self.play(1.0, admission=False)):
            self.assertEqual(len(result.programs), self.in_aim(result))

    def test_same_seed_gives_the_same_programs(self) -> None:
        self.assertEqual(self.play(6.0).programs, self.play(6.0).programs)

    def test_heavy_customers_are_reported(self) -> None:
        experiment = msgspec.structs.replace(
            PLAN,
            customers=plan.Customers(10, 0.8),
            faults=[plan.Fault("heavy", 2.0, 3.0, 5.0)],
        )
        (row,) = report.run(experiment)
        self.assertIn("heavy customers", row.kinds)
        self.assertIn("other customers", row.kinds)
