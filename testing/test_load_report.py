"""What operators are told about load, limits and refusals."""

import testtools

from fakes import log as fake_log
from mintcleat.adapters import admin_views
from mintcleat.adapters import timers
from mintcleat.decisions import refusal_counts
from mintcleat.domain import manifest
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
            [program_messages.UpstreamLoad("u1", 3)], self.view().upstreams
        )
        self.timers.advance(1.5)
        self.assertEqual([], self.view().upstreams)

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
            upstreams=[program_messages.UpstreamLoad("u1", 3, 900, 0.6)],
        )
        text = cli_load.as_text(admin_views.load([view], 10))
        for words in (
            ("chat", "12", "24.5", "-", "4", "1.30", "90", "5", "7 overloaded"),
            ("chat", "farmers", "0.200", "0.400", "3", "1", "7"),
            ("farmers", "6", "6 in 5 s", "1", "2 limit_reached"),
            ("u1", "3", "900", "0.60"),
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
