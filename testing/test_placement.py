"""The entry's choice of an upstream."""

import testtools

from mintcleat.decisions import calls
from mintcleat.decisions import placement
from mintcleat.domain import call_messages
from mintcleat.domain import identities

WEIGHTS = placement.Weights()


def report(
    name: str, counter: int = 1, **more: object
) -> call_messages.LoadReport:
    fields = {
        "running": 0,
        "queued": 0,
        "limit": 8,
        "wait": 0.0,
        "token_time": 0.02,
        "prefill_rate": 5000.0,
        "free_memory": 100000,
        "state": placement.READY,
        **more,
    }
    return call_messages.LoadReport(
        identities.Incarnation(name, 1), counter, **fields
    )


def make_fleet(count: int = 4) -> placement.Fleet:
    fleet = placement.Fleet()
    fleet.watch([f"u{number}" for number in range(count)])
    for name in fleet.subset:
        fleet.report(report(name), 0.0)
    return fleet


def make_call(number: int, attained: int = 100) -> calls.Call:
    name = f"c{number}"
    return calls.Call(
        name,
        name,
        name,
        "farms",
        "a",
        attained=attained,
        new_tokens=100,
        expected_tokens=50,
    )


class PlaceTest(testtools.TestCase):
    def test_a_program_stays_where_its_history_is(self) -> None:
        fleet = make_fleet()
        resident = placement.Resident("u2", 20000)
        for number in range(8):
            fleet.report(report("u2", number + 2), float(number))
            choice = placement.choose(
                fleet, make_call(number), resident, WEIGHTS, float(number)
            )
            assert choice is not None
            self.assertEqual(("u2", False), (choice.name, choice.moved))

    def test_a_program_moves_when_the_wait_exceeds_the_rebuild(self) -> None:
        fleet = make_fleet()
        fleet.report(report("u2", 2, wait=30.0, running=8), 1.0)
        resident = placement.Resident("u2", 20000)
        choice = placement.choose(fleet, make_call(1), resident, WEIGHTS, 1.0)
        assert choice is not None
        self.assertTrue(choice.moved)

    def test_the_weights_decide_a_close_case(self) -> None:
        resident = placement.Resident("u2", 20000)
        names = []
        for weights in (placement.Weights(9, 1), placement.Weights(1, 9)):
            fleet = make_fleet()
            fleet.report(report("u2", 2, wait=9.0, running=8), 1.0)
            choice = placement.choose(
                fleet, make_call(1), resident, weights, 1.0
            )
            assert choice is not None
            names.append(choice.name == "u2")
        self.assertEqual([False, True], names)

    def test_calls_spread_between_two_reports(self) -> None:
        """Many calls arrive between two load reports.

        Without counting the calls sent since the last report, all of them
        would go to the upstream that was idle in that report.
        """
        fleet = make_fleet()
        counts: dict[str, int] = {}
        for number in range(64):
            choice = placement.choose(
                fleet, make_call(number), None, WEIGHTS, 1.0
            )
            assert choice is not None
            counts[choice.name] = counts.get(choice.name, 0) + 1
        self.assertTrue(all(12 <= count <= 20 for count in counts.values()))
        self.assertEqual(4, len(counts))

    def test_a_slow_upstream_is_ejected_and_returns_by_a_probe(self) -> None:
        """One upstream is ten times slower per token than its peers.

        It gets no calls until its ejection ends and one call probes it. After
        that call and a healthy report it is no longer ejected.
        """
        fleet = make_fleet()
        fleet.report(report("u1", 2, token_time=0.2), 1.0)
        for number in range(20):
            choice = placement.choose(
                fleet, make_call(number), None, WEIGHTS, 1.0
            )
            assert choice is not None
            self.assertNotEqual("u1", choice.name)
        choice = placement.choose(fleet, make_call(30), None, WEIGHTS, 7.0)
        assert choice is not None
        self.assertEqual(("u1", True), (choice.name, choice.probe))
        fleet.report(report("u1", 3), 8.0)
        fleet.answered("u1", True, 8.0)
        self.assertEqual(set(), fleet.outliers.ejected)

    def test_no_more_than_a_quarter_is_ejected(self) -> None:
        fleet = make_fleet(8)
        for name in fleet.subset:
            for _ in range(10):
                fleet.answered(name, False, 1.0)
        self.assertEqual(2, len(fleet.outliers.ejected))

    def test_a_draining_upstream_gets_no_calls(self) -> None:
        fleet = make_fleet(2)
        fleet.report(report("u0", 2, state="draining"), 1.0)
        resident = placement.Resident("u0", 90000)
        choice = placement.choose(fleet, make_call(1), resident, WEIGHTS, 1.0)
        assert choice is not None
        self.assertEqual("u1", choice.name)

    def test_without_upstreams_there_is_no_choice(self) -> None:
        fleet = placement.Fleet()
        self.assertIs(
            None, placement.choose(fleet, make_call(1), None, WEIGHTS, 1.0)
        )
