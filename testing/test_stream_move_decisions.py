"""When a move of a running stream pays."""

import math

import testtools

from mintcleat.decisions import stream_moves

# 1,000 tokens take 0.08 s.
LINK = stream_moves.Link(100_000, 10_000.0, crosses_domains=False)


def progress(**fields: float) -> stream_moves.Progress:
    known = {
        "held": 1000,
        "made": 10,
        "most_left": 90.0,
        "mean": 100.0,
        "step": 1,
    }
    return stream_moves.Progress(**{**known, **fields})


class ProgressTest(testtools.TestCase):
    def test_rest_is_that_of_an_average_answer(self) -> None:
        self.assertEqual(40.0, progress(mean=50.0).left)

    def test_longer_answer_is_expected_to_double(self) -> None:
        self.assertEqual(70.0, progress(made=70, mean=50.0).left)

    def test_rest_is_at_most_what_may_be_generated(self) -> None:
        self.assertEqual(3.0, progress(most_left=3.0).left)


class PlanTest(testtools.TestCase):
    def test_pause_is_that_of_the_last_copy_only(self) -> None:
        found = stream_moves.plan(progress(), LINK, 0.05, 0.01)
        self.assertEqual(1, found.rounds)
        self.assertAlmostEqual(0.09, found.copy)
        self.assertTrue(found.pause < 0.025, found)
        self.assertAlmostEqual(4.5, found.stay)
        self.assertAlmostEqual(0.09 + found.pause + 88.2 * 0.01, found.total)

    def test_other_failure_domain_takes_twice_as_long(self) -> None:
        far = LINK._replace(crosses_domains=True)
        self.assertAlmostEqual(2 * LINK.seconds(500), far.seconds(500))

    def test_long_copy_is_repeated_for_what_was_generated(self) -> None:
        slow = LINK._replace(mbps=500.0)
        found = stream_moves.plan(
            progress(made=500, mean=1000.0, most_left=9000.0, step=4),
            slow,
            0.02,
            0.02,
        )
        self.assertTrue(1 < found.rounds <= stream_moves.MAX_ROUNDS, found)
        self.assertTrue(found.pause < 0.2 * found.copy, found)

    def test_link_slower_than_the_run_ends_after_some_rounds(self) -> None:
        slow = LINK._replace(mbps=1.0)
        endless = progress(step=10, mean=1e9, most_left=1e9)
        found = stream_moves.plan(endless, slow, 0.01, 0.01)
        self.assertEqual(stream_moves.MAX_ROUNDS, found.rounds)


class LeavingTest(testtools.TestCase):
    def test_stream_that_may_last_longer_leaves(self) -> None:
        self.assertTrue(stream_moves.outlasts(progress(), 0.02, 1.5))

    def test_stream_that_must_end_before_stays(self) -> None:
        self.assertFalse(stream_moves.outlasts(progress(), 0.01, 1.5))

    def test_unknown_maximum_counts_as_expected(self) -> None:
        unknown = progress(most_left=math.inf)
        self.assertTrue(stream_moves.outlasts(unknown, 0.02, 1.5))
        self.assertFalse(stream_moves.outlasts(unknown, 0.01, 1.5))


class PaysTest(testtools.TestCase):
    PLAN = stream_moves.Plan(1, 0.1, 0.05, 4.0, 1.2)

    def test_clear_gain_of_a_program_with_a_target_pays(self) -> None:
        self.assertTrue(stream_moves.pays(self.PLAN, 0.2, 3.0))

    def test_program_that_does_not_need_it_stays(self) -> None:
        self.assertFalse(stream_moves.pays(self.PLAN, 0.2, None))
        self.assertFalse(stream_moves.pays(self.PLAN, 0.2, 60.0))

    def test_target_that_can_not_be_met_needs_no_move(self) -> None:
        self.assertFalse(stream_moves.pays(self.PLAN, 0.2, 1.0))

    def test_pause_over_the_target_of_the_route_is_not_allowed(self) -> None:
        self.assertFalse(stream_moves.pays(self.PLAN, 0.04, 3.0))

    def test_gain_within_the_error_of_the_estimates_does_not_pay(self) -> None:
        close = self.PLAN._replace(total=3.0)
        self.assertFalse(stream_moves.pays(close, 0.2, 5.0))

    def test_short_gain_does_not_pay(self) -> None:
        short = self.PLAN._replace(stay=0.4, total=0.25)
        self.assertFalse(stream_moves.pays(short, 0.2, 0.5))


class CapacityTest(testtools.TestCase):
    def test_no_capacity_without_a_tenth_of_free_slots(self) -> None:
        self.assertTrue(stream_moves.has_capacity(9, 10))
        self.assertFalse(stream_moves.has_capacity(10, 10))
        self.assertFalse(stream_moves.has_capacity(1, 0))
