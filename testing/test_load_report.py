"""What operators are told about load, limits and refusals."""

from typing import Any

import testtools

from fakes import log as fake_log
from mintcleat.adapters import admin_views
from mintcleat.adapters import timers
from mintcleat.decisions import refusal_counts
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.main import cli_load
from mintcleat.programs import placement
from mintcleat.roles.control.programs import service as program_service
from test_program_service import NoStreams

LIMIT = program_messages.RateLimit(1.0, 1.0, 5.0)


class LoadReportTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = fake_log.Cluster()
        self.timers = timers.VirtualTimers()
        customers = {"farmers": manifest.Customer(rate=1.0, burst=1.0)}
        policies = manifest.Policies(
            customers=customers, limit_window=5.0, limit_overage=0.0
        )
        self.service = program_service.ProgramService(
            fake_log.MemoryLog(self.cluster, "c1:1"),
            NoStreams(),
            self.timers,
            placement.group_names(1),
            lambda: policies,
            memory_tokens=lambda: {"u1": 1000, "u2": 1000},
        )
        self.cluster.elect("c1:1")

    def count(self, customer: str, calls: int) -> None:
        self.service.answer(
            [program_messages.CountCall(customer, "p", LIMIT, calls=calls)]
        )

    def view(self) -> program_messages.LoadView:
        group = placement.group_names(1)[0]
        (view,) = self.service.answer([program_messages.ShowLoad(group)])
        return view

    def test_use_and_refusals_of_a_customer_are_shown(self) -> None:
        self.count("farmers", 8)
        self.count("farmers", 2)
        (farmers,) = self.view().customers
        self.assertEqual(("farmers", 6.0), (farmers.customer, farmers.limit))
        self.assertEqual((6, 1), (farmers.used, farmers.programs))
        self.assertEqual({"limit_reached": 4}, farmers.refused)

    def test_old_requests_and_refusals_are_not_shown(self) -> None:
        self.count("farmers", 8)
        self.timers.advance(61.0)
        self.count("farmers", 1)
        (farmers,) = self.view().customers
        self.assertEqual((1, {}), (farmers.used, farmers.refused))

    def test_reported_requests_are_shown_for_a_second(self) -> None:
        running = program_messages.RunningCounts("entry-1", {"u1": 3})
        opened = program_messages.OpenTurn(
            "p", "t", "", 0, 0, 60.0, running=running
        )
        self.service.answer([opened])
        self.assertEqual(
            [program_messages.UpstreamLoad("u1", 3, memory_tokens=1000)],
            self.view().upstreams,
        )
        self.timers.advance(1.5)
        self.assertEqual([], self.view().upstreams)

    def test_versions_of_a_service_are_shown_with_their_upstreams(self) -> None:
        def item(
            name: str, version: str, state: str = "ready"
        ) -> member_messages.Registration:
            return member_messages.Registration(
                name, "lm", f"h:{name}", "z", version, 4, state, 1
            )

        upstreams = [item("u1", "v1", "draining"), item("u2", "v2")]
        self.service.load_report.registered = lambda: upstreams
        self.report("e1")
        self.assertEqual(
            [
                program_messages.VersionLoad("lm", "v1", 1, 1, 0, 3),
                program_messages.VersionLoad("lm", "v2", 1, 0, 4, 1),
            ],
            self.view().versions,
        )

    def report(self, entry: str, **fields: Any) -> None:
        """Sends a report of one entry on the upstreams u1 and u2."""
        running = program_messages.RunningCounts(
            entry, {"u1": 3, "u2": 1}, **fields
        )
        opened = program_messages.OpenTurn(
            f"p-{entry}", f"t-{entry}", "", 0, 0, 60.0, running=running
        )
        self.service.answer([opened])

    def test_memory_and_speed_of_upstreams_are_shown(self) -> None:
        # Guards against an engine that is slow or full for all entries while
        # the table of upstreams has only request counts.
        self.report("e1", tokens=[100, 400], slowdowns=[100, 500])
        self.report("e2", tokens=[100, 500], slowdowns=[100, 250])
        self.report("e3", tokens=[0, 0], slowdowns=[100, 400])
        slow, other = self.view().upstreams
        self.assertEqual("u2", slow.upstream)
        self.assertEqual((900, 1000), (slow.tokens, slow.memory_tokens))
        self.assertEqual((0.25, 3), (slow.speed, slow.speed_reports))
        self.assertEqual((200, 0.0), (other.tokens, other.speed))

    def test_upstreams_that_entries_avoid_come_first(self) -> None:
        self.report("e1", failing=["u2", "u3"])
        self.report("e2", failing=["u3"])
        found = self.view().upstreams
        self.assertEqual(
            [("u3", 2, True), ("u2", 1, False), ("u1", 0, False)],
            [(item.upstream, item.avoided_by, item.avoided) for item in found],
        )
        # Reports expire although no entry sends another one.
        self.timers.advance(3.5)
        self.assertEqual([], self.view().upstreams)

    def test_number_of_upstreams_is_bounded(self) -> None:
        # Guards against an answer that grows with the number of upstreams.
        running = {f"u{number}": number for number in range(300)}
        counts = program_messages.RunningCounts("entry-1", running)
        self.service.answer(
            [
                program_messages.OpenTurn(
                    "p", "t", "", 0, 0, 60.0, running=counts
                )
            ]
        )
        group = placement.group_names(1)[0]
        (view,) = self.service.answer(
            [program_messages.ShowLoad(group, upstreams=2)]
        )
        self.assertEqual(
            ["u299", "u298"], [item.upstream for item in view.upstreams]
        )
        self.assertEqual(300, view.upstream_count)
        answer = admin_views.load([view], 10, 2)
        self.assertIn("2 of 300 upstreams", cli_load.as_text(answer))

    def test_advised_delays_of_a_customer_are_shown(self) -> None:
        self.count("farmers", 8)
        (farmers,) = self.view().customers
        self.assertEqual({"limit_reached": 2}, farmers.reasons)
        self.assertTrue(0.0 < farmers.retry_after <= farmers.retry_after_max)

    def test_refusals_of_admission_have_their_reason(self) -> None:
        error = errors.ShareExceeded("Over its share.", retry_after=0.3)
        error.reason = "wait"
        opened = program_messages.OpenTurn(
            "p", "t", "", 0, 0, 60.0, customer="farmers"
        )
        self.service.load_report.answered(opened, error)
        (farmers,) = self.view().customers
        self.assertEqual({"share_exceeded": 1}, farmers.refused)
        self.assertEqual({"share_exceeded/wait": 1}, farmers.reasons)
        self.assertEqual(0.4, farmers.retry_after)

    def test_turns_that_wait_are_not_refused(self) -> None:
        # Guards against counts in which a customer seems to be refused some
        # hundred times since its turns ask again while they wait.
        opened = program_messages.OpenTurn(
            "p", "t", "", 0, 0, 60.0, customer="farmers"
        )
        self.service.load_report.answered(
            opened, errors.TurnDeferred("It waits.", retry_after=0.05)
        )
        self.assertEqual([], self.view().customers)

    def test_views_of_several_groups_are_merged(self) -> None:
        def customer(used: int, refused: int) -> program_messages.CustomerLoad:
            return program_messages.CustomerLoad(
                "farmers", 6.0, 0.0, 5.0, used, 1, {"limit_near": refused}
            )

        merged = admin_views.load(
            [
                program_messages.LoadView(
                    "g0",
                    2,
                    [program_messages.UpstreamLoad("u1", 3)],
                    [customer(6, 1)],
                ),
                program_messages.LoadView(
                    "g1",
                    1,
                    [program_messages.UpstreamLoad("u1", 5)],
                    [customer(0, 2)],
                ),
            ],
            10,
        )
        self.assertEqual(5, merged["upstreams"][0]["running"])
        self.assertEqual(1, merged["upstream_count"])
        (farmers,) = merged["customers"]
        self.assertEqual(6, farmers["used"])
        self.assertEqual({"limit_near": 3}, farmers["refused"])

    def test_tables_show_services_customers_and_upstreams(self) -> None:
        shares = [program_messages.CustomerShare("farmers", 3, 1, 0.2, 0.4, 7)]
        service = program_messages.ServiceLoad(
            "chat", 12, 4, 24.5, -1.0, 1.3, 90, 5,
            {"overloaded wait": 7}, 0, 0, shares,
        )  # fmt: skip
        self.count("farmers", 8)
        view = self.view()._replace(
            services=[service],
            upstreams=[
                program_messages.UpstreamLoad(
                    "u1", 3, 900, 0.6, 1200, 4, 2, True
                )
            ],
        )
        text = cli_load.as_text(admin_views.load([view], 10))
        for words in (
            ("chat", "12", "24.5", "-", "4", "1.30", "90", "5", "7 overloaded"),
            ("chat", "farmers", "0.200", "0.400", "3", "1", "7"),
            ("farmers", "6", "6 in 5 s", "1", "2 limit_reached"),
            ("u1", "3", "900", "1200", "75%", "0.60", "4", "2, so by all"),
        ):
            self.assertTrue(
                any(
                    all(word in line for word in words)
                    for line in text.splitlines()
                ),
                (words, text),
            )


class RefusalCountsTest(testtools.TestCase):
    def test_refusals_are_counted_for_a_minute(self) -> None:
        counts = refusal_counts.RefusalCounts()
        for second in range(100):
            counts.add("farmers", "limit_near", 2, float(second))
        (kinds,) = counts.recent(99.0).values()
        self.assertTrue(100 <= kinds["limit_near"] <= 120, kinds)
        self.assertEqual({}, counts.recent(200.0))

    def test_names_are_bounded(self) -> None:
        # Guards against a process that grows with every name a caller invents.
        counts = refusal_counts.RefusalCounts()
        for number in range(3 * refusal_counts.MAX_COUNTS):
            counts.add(f"c{number}", "limit_near", 1, 0.0)
        self.assertEqual(refusal_counts.MAX_COUNTS, len(counts.recent(0.0)))

    def test_delays_are_bounded_like_the_names(self) -> None:
        counts = refusal_counts.RefusalCounts()
        for number in range(3 * refusal_counts.MAX_COUNTS):
            counts.add(f"c{number}", "overloaded", 1, 0.0, retry_after=1.0)
        self.assertEqual(refusal_counts.MAX_COUNTS, len(counts.delays(0.0)))

    def test_delays_are_the_median_and_the_longest(self) -> None:
        counts = refusal_counts.RefusalCounts()
        for retry_after in (0.15, 0.15, 0.3, 5.0, 1e9):
            counts.add("farmers", "overloaded", 1, 0.0, retry_after=retry_after)
        counts.add("farmers", "overloaded", 9, 0.0)
        advised = counts.delays(0.0)["farmers"]
        self.assertEqual(0.4, advised.median)
        self.assertEqual(refusal_counts.DELAY_BUCKETS[-1], advised.longest)
        self.assertEqual({}, counts.delays(99.0))
