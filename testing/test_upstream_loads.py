"""What an entry knows of its upstreams, and how it chooses among them."""

import collections

import testtools

from mintcleat.configuration import directory
from mintcleat.decisions import policy
from mintcleat.decisions import shared_load
from mintcleat.decisions import upstream_health
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import events
from mintcleat.roles.entry import upstream_loads

NAMES = ("a", "b", "c")
MEMORY = 10_000


class Clock:
    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class Configuration:
    def __init__(self) -> None:
        self.registered = directory.Directory()
        for number, name in enumerate(NAMES, start=1):
            self.registered.register(
                member_messages.Registration(
                    name, "m", name, "", "", 8, "ready", number
                )
            )

    def subscribe(self, callback: object) -> None:
        pass


def call(
    request: str, program: str, own: int, output: int = 100
) -> routed_calls.RoutedCall:
    parts = (
        routed_calls.PromptPart("s", 500),
        routed_calls.PromptPart(f"{program}-1", own),
    )
    return routed_calls.RoutedCall(
        request, "POST", "", "/", (), b"",
        program=routed_calls.ProgramContext(program),
        generation=routed_calls.Generation("m", 500 + own, output, parts),
    )  # fmt: skip


class UpstreamLoadsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.loads = self.entry(policy.DEFAULT)

    def entry(self, used: policy.Policy) -> upstream_loads.UpstreamLoads:
        loads = upstream_loads.UpstreamLoads(
            Configuration(),
            self.clock,
            events.NullEventReporter(),
            lambda incarnation: None,
            "e1",
            used,
        )
        loads.refresh()
        return loads

    def place(
        self, request: str, program: str = "p", own: int = 1000, hint: str = ""
    ) -> upstream_loads.Placement:
        found = self.loads.choose(
            "m",
            set(),
            upstream_loads.PlacementRequest(
                call(request, program, own), hint, "", False, MEMORY
            ),
        )
        self.loads.began(found.upstream.incarnation, request, 1.0, found)
        return found

    def test_report_has_tokens_in_the_order_of_the_upstreams(self) -> None:
        self.place("r0", "q")
        placed = [self.place(f"r{n}", f"p{n}") for n in range(1, 5)]
        report = self.loads.report()
        self.assertEqual(len(report.by_upstream), len(report.tokens))
        # The prefix that programs share is not reported after the first.
        self.assertEqual(500 + 5 * 1100, sum(report.tokens))
        for number, one in enumerate(placed, start=1):
            self.loads.ended(one.upstream.incarnation, f"r{number}")
        self.assertEqual([1600], self.loads.report().tokens)
        self.loads.ended(next(iter(report.by_upstream)), "absent")

    def test_full_memory_elsewhere_is_avoided(self) -> None:
        self.loads.update_others(
            shared_load.Summary(
                {"a": 1, "b": 1, "c": 1}, {"a": 9900, "b": 9900, "c": 100}
            )
        )
        for number in range(3):
            placed = self.place(f"r{number}", own=200)
            self.assertEqual("c", placed.upstream.upstream)
        self.assertTrue(placed.held > 900, placed)

    def fill_beside_failing(self, failures: int) -> None:
        """Fills the one upstream of three that hasn't failed."""
        for name in ("a", "b"):
            upstream = self.loads.by_service["m"][name]
            for _ in range(failures):
                self.loads.failed(upstream)
        for number in range(8):
            placed = self.place(f"f{number}", f"p{number}", own=10)
            self.assertEqual("c", placed.upstream.upstream)

    def test_turns_do_not_queue_beside_idle_upstreams_that_failed_once(
        self,
    ) -> None:
        self.fill_beside_failing(1)
        self.clock.time += upstream_health.FIRST_EXCLUSION_SECONDS + 0.01
        found = [self.place(f"r{n}", f"q{n}", own=10) for n in range(16)]
        self.assertEqual(
            {"a": 8, "b": 8},
            collections.Counter(one.upstream.upstream for one in found),
        )
        self.assertEqual("c", self.place("r", "q", own=10).upstream.upstream)

    def test_one_faulty_upstream_of_three_gets_no_turn_beside_full_ones(
        self,
    ) -> None:
        self.loads.failed(self.loads.by_service["m"]["a"])
        self.clock.time += upstream_health.FIRST_EXCLUSION_SECONDS + 0.01
        found = [self.place(f"r{n}", f"q{n}", own=10) for n in range(20)]
        self.assertNotIn("a", [one.upstream.upstream for one in found])

    def test_upstream_that_has_just_failed_gets_no_turn_beside_full_ones(
        self,
    ) -> None:
        self.fill_beside_failing(1)
        self.clock.time += upstream_health.FIRST_EXCLUSION_SECONDS - 0.01
        self.assertEqual("c", self.place("r", "q", own=10).upstream.upstream)

    def test_upstream_that_failed_twice_gets_no_turn_beside_full_ones(
        self,
    ) -> None:
        self.fill_beside_failing(2)
        self.clock.time += 2 * upstream_health.FIRST_EXCLUSION_SECONDS + 0.01
        self.loads.arrived("c")
        self.assertEqual("c", self.place("r", "q", own=10).upstream.upstream)

    def test_cache_on_an_upstream_with_full_memory_is_left(self) -> None:
        others = {"a": 2, "b": 1, "c": 1}
        self.loads.update_others(
            shared_load.Summary(others, {"a": 9900, "b": 10, "c": 10})
        )
        self.learn()
        self.assertNotEqual("a", self.place("r", hint="a").upstream.upstream)
        self.loads.update_others(shared_load.Summary(others, {}))
        self.assertEqual("a", self.place("r2", hint="a").upstream.upstream)

    def learn(self) -> None:
        for number in range(40):
            for name in NAMES:
                request = f"l{number}{name}"
                times = self.loads.times.upstream("m", name)
                times.began(request, 100 * number, 0.2, self.clock.time)
                now = self.clock.time + 0.05 + number * 0.005
                times.first_event(request, now)
                for _ in range(5):
                    times.gap(0.05, now)
                times.ended(request)

    def test_reply_of_the_leader_expires(self) -> None:
        """Guards against placement by the load of a second ago."""
        self.loads.update_others(
            shared_load.Summary({"a": 9}, {"a": 9900}, {"a": 900})
        )
        self.clock.time += shared_load.MAX_AGE + 0.1
        placed = self.place("r", hint="a")
        self.assertEqual(
            ("a", 0, 1.0),
            (placed.upstream.upstream, placed.held, placed.slowdown),
        )

    def test_speed_that_others_agree_on_is_used(self) -> None:
        self.loads.update_others(
            shared_load.Summary({"a": 1}, {"a": 10}, {"a": 460})
        )
        for number in range(8):
            placed = self.place(f"r{number}")
            self.assertNotEqual("a", placed.upstream.upstream)

    def test_upstream_to_be_avoided_is_reported_without_a_request(
        self,
    ) -> None:
        self.learn()
        self.clock.time += 1.0
        self.place("r0", hint="b")
        self.loads.times.service("m").measured = {"a": 4.6, "b": 0.6, "c": 1.4}
        report = self.loads.report()
        self.assertEqual({"b": 1, "a": 0}, report.by_upstream)
        self.assertEqual([60, 460], report.slowdowns)

    def test_expected_time_is_unknown_before_anything_was_measured(
        self,
    ) -> None:
        self.assertEqual(-1.0, self.place("r").expected)
        self.learn()
        self.clock.time += 1.0
        self.assertTrue(0.0 < self.place("r2").expected < 1.0)

    def test_summary_is_asked_for_once_in_an_interval(self) -> None:
        # With each turn, replies were 92 kB a second at 64 upstreams and 41
        # turns a second.
        self.place("r")
        self.assertIsNotNone(self.loads.report_for_summary())
        self.loads.update_others(shared_load.Summary({"b": 1}))
        self.assertIsNone(self.loads.report_for_summary())
        self.clock.time += shared_load.INTERVAL
        self.assertIsNotNone(self.loads.report_for_summary())

    def test_summary_that_did_not_arrive_is_asked_for_again(self) -> None:
        self.place("r")
        self.assertIsNotNone(self.loads.report_for_summary())
        self.assertIsNotNone(self.loads.report_for_summary())

    def test_report_at_an_end_is_left_out_after_a_young_one(self) -> None:
        self.place("r")
        self.assertIsNotNone(self.loads.report_at_end())
        self.assertIsNone(self.loads.report_at_end())
        self.clock.time += shared_load.INTERVAL
        self.assertIsNotNone(self.loads.report_at_end())

    def test_entry_that_becomes_idle_reports_it(self) -> None:
        # Its last report would otherwise count for another second.
        placed = self.place("r")
        self.loads.report_at_end()
        self.loads.ended(placed.upstream.incarnation, "r")
        self.assertEqual({}, self.loads.report_at_end().by_upstream)

    def test_grant_always_has_a_report(self) -> None:
        # Admission control needs the name of the entry.
        placed = self.place("r")
        incarnation = placed.upstream.incarnation
        first = self.loads.report_for_grant()
        self.assertEqual(self.loads.report(), first)
        self.loads.update_others(shared_load.Summary({"b": 1}))
        second = self.loads.report_for_grant()
        self.assertEqual("e1", second.entry)
        self.assertEqual(1, second.by_upstream[incarnation])
        self.assertTrue(shared_load.asks_summary(first.by_upstream))
        self.assertFalse(shared_load.asks_summary(second.by_upstream))

    def test_without_the_mechanism_reports_are_as_before(self) -> None:
        self.loads = self.entry(policy.Policy(turn_time=False))
        placed = self.place("r")
        self.assertEqual(
            program_messages.RunningCounts(
                "e1", {placed.upstream.incarnation: 1}
            ),
            self.loads.report(),
        )

    def test_upstream_that_is_gone_leaves_nothing(self) -> None:
        placed = self.place("r")
        name = placed.upstream.incarnation
        self.loads.observe(name, 0.1)
        del self.loads.configuration.registered.entries[name]
        self.loads.refresh()
        self.loads.ended(name, "r")
        self.assertEqual({}, self.loads.tokens)
        self.assertEqual({}, self.loads.times.upstreams)
        # A request that was placed before may still send and receive.
        self.loads.began(name, "r", 1.0, placed)
        self.loads.arrived(name)
        self.loads.observe(name, 0.1)
        self.loads.ended(name, "r")
        self.assertEqual({}, self.loads.times.upstreams)
        self.assertEqual({}, self.loads.silence_detector.last_received)
        self.assertEqual({}, self.loads.requests.by_upstream)
