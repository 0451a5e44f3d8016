"""Expected times of turns, learned from simulated answers."""

import random

import testtools
from testtools import matchers

from mintcleat.decisions import turn_time

NAMES = [f"u{n}" for n in range(9)]
GAP = 0.05


class Load:
    """Answers at several upstreams, as one entry sees them.

    Attributes:
        service: What the entry measured.
        factors: Time of each upstream, relative to the normal one.
        now: The current time.
    """

    def __init__(self, slots: int = 8) -> None:
        self.random = random.Random(4)
        self.service = turn_time.ServiceTimes()
        self.factors = dict.fromkeys(NAMES, 1.0)
        self.slots = slots
        self.now = 0.0
        self.numbers = 0
        self.loads = dict.fromkeys(NAMES, 0.5)
        self.shared: dict[str, float] = {}

    def refresh(self) -> None:
        self.service.refresh(self.loads.__getitem__, self.shared, self.now)

    def gap(self, name: str) -> float:
        scatter = self.random.uniform(0.5, 1.5)
        batch = 1.0 + 0.4 * self.loads[name]
        return GAP * batch * self.factors[name] * scatter

    def answers(self, count: int, names: list[str] = NAMES) -> None:
        """Plays answers of nine events, one at each upstream at a time."""
        for _ in range(count):
            for name in names:
                self.loads[name] = self.random.randrange(1, 9) / self.slots
            self.refresh()
            self.now = max([self.answer(name) for name in names])

    def answer(self, name: str, events: int = 9) -> float:
        """Plays one answer from the current time on; returns its end."""
        self.numbers += 1
        request = f"r{self.numbers}"
        times = self.service.of(name)
        tokens = self.random.randrange(3000)
        at = self.now
        times.began(request, tokens, self.loads[name], at)
        at += (0.02 + tokens / 30_000.0) * self.factors[name]
        times.first_event(request, at)
        for _ in range(events - 1):
            gap = self.gap(name)
            at += gap
            times.gap(gap, at)
        times.ended(request)
        return at


class RatesTest(testtools.TestCase):
    def test_rates_are_learned_from_answers(self) -> None:
        load = Load()
        load.answers(40)
        load.refresh()
        rates = load.service.rates
        self.assertThat(
            rates.per_token, matchers.MatchesPredicate(
                lambda found: 0.8 < found * 30_000.0 < 1.25, "%s"
            )
        )  # fmt: skip
        self.assertTrue(0.9 < rates.gap_at(0.0) / GAP < 1.15, rates)
        self.assertTrue(1.3 < rates.gap_at(1.0) / GAP < 1.5, rates)
        self.assertTrue(6.0 < rates.gaps < 10.0, rates)

    def test_time_grows_with_prefill_batch_and_queue(self) -> None:
        rates = turn_time.Rates(0.02, 1e-4, 0.05, 0.02, 10.0)
        alone = rates.seconds(0, 0.1)
        self.assert_close(0.1, rates.seconds(1000, 0.1) - alone)
        self.assertTrue(rates.seconds(0, 1.0) > alone)
        # Half a batch beyond the slots waits for half a turn.
        whole = rates.seconds(0, 1.0)
        self.assert_close(1.5 * whole, rates.seconds(0, 1.5))

    def assert_close(self, expected: float, found: float) -> None:
        self.assertTrue(abs(expected - found) < 1e-9, (expected, found))

    def test_without_samples_nothing_is_expected(self) -> None:
        load = Load()
        load.refresh()
        self.assertIsNone(load.service.rates)
        self.assertEqual({}, load.service.slowdowns)

    def test_line_without_spread_or_with_falling_samples_has_no_slope(
        self,
    ) -> None:
        """Guards against a rate that a few odd samples turn negative."""
        for samples in ([(1.0, 2.0)] * 20, [(n, 20.0 - n) for n in range(20)]):
            line = turn_time.Line()
            for x, y in samples:
                line.add(x, y)
            self.assertEqual(0.0, line.fit()[1])


class SpeedTest(testtools.TestCase):
    def test_equal_upstreams_don_t_differ(self) -> None:
        """Guards against scatter that moves requests between equal engines."""
        load = Load()
        load.answers(10)
        differing = 0
        for _ in range(50):
            load.answers(1)
            load.refresh()
            differing += len(load.service.slowdowns)
        self.assertThat(differing, matchers.LessThan(50 * len(NAMES) * 0.03))

    def test_lasting_differences_are_measured(self) -> None:
        load = Load()
        for place, name in enumerate(NAMES):
            load.factors[name] = 1.0 / (0.6, 1.0, 1.6)[place % 3]
        load.answers(40)
        load.refresh()
        slowdowns = load.service.slowdowns
        self.assertTrue(1.4 < slowdowns["u0"] < 2.0, slowdowns)
        self.assertTrue(0.5 < slowdowns["u2"] < 0.75, slowdowns)

    def test_change_is_seen_in_one_answer_and_ends_in_two(self) -> None:
        load = Load()
        load.answers(20)
        load.factors["u3"] = 4.6
        load.now = load.answer("u3", events=4)
        load.refresh()
        self.assertTrue(load.service.slowdowns["u3"] > 2.0)
        load.factors["u3"] = 1.0
        load.now = load.answer("u3")
        load.now = load.answer("u3")
        load.refresh()
        self.assertTrue(load.service.slowdowns.get("u3", 1.0) < 1.5)

    def test_most_upstreams_may_be_slow_but_not_the_median(self) -> None:
        load = Load()
        load.answers(20)
        for name in NAMES[:3]:
            load.factors[name] = 4.6
        load.answers(2)
        load.refresh()
        self.assertEqual(set(NAMES[:3]), set(load.service.slowdowns))

    def test_upstream_without_new_samples_is_tried_again(self) -> None:
        load = Load()
        load.answers(20)
        load.factors["u3"] = 4.6
        load.answers(1)
        load.now += 5.0
        load.answers(1, [name for name in NAMES if name != "u3"])
        load.refresh()
        self.assertTrue(load.service.slowdowns.get("u3", 1.0) < 2.0)

    def test_stall_shows_while_an_answer_is_overdue(self) -> None:
        load = Load()
        load.answers(20)
        times = load.service.of("u3")
        times.began("r", 0, 0.5, load.now)
        times.first_event("r", load.now)
        load.refresh()
        self.assertNotIn("u3", load.service.stalled)
        load.now += 0.3
        load.refresh()
        self.assertIn("u3", load.service.stalled)
        self.assertTrue(load.service.slowdowns["u3"] > 2.0)
        self.assertIn("u3", load.service.measured)
        times.gap(0.3, load.now)
        for _ in range(5):
            load.now += 0.06
            times.gap(0.06, load.now)
        load.refresh()
        self.assertEqual({}, load.service.stalled)
        self.assertTrue(load.service.slowdowns.get("u3", 1.0) < 2.0)

    def test_caller_that_does_not_read_is_no_stall(self) -> None:
        load = Load()
        load.answers(20)
        times = load.service.of("u3")
        times.began("r", 0, 0.5, load.now)
        times.first_event("r", load.now)
        load.now += 0.3
        times.alive_at = load.now
        load.refresh()
        self.assertEqual({}, load.service.stalled)

    def test_stall_without_answers_that_have_begun_is_unknown(self) -> None:
        load = Load()
        load.answers(20)
        load.service.of("u3").began("r", 2000, 0.5, load.now)
        load.now += 5.0
        load.refresh()
        self.assertEqual({}, load.service.stalled)

    def test_speeds_of_others_count_until_measured_here(self) -> None:
        load = Load()
        load.answers(20)
        load.now += 60.0
        load.shared = {"u1": 4.0}
        load.refresh()
        self.assertTrue(load.service.slowdowns["u1"] > 3.5)
        self.assertNotIn("u1", load.service.measured)
        load.answers(2, ["u1", "u2", "u4"])
        load.refresh()
        self.assertNotIn("u1", load.service.slowdowns)

    def test_upstream_that_is_gone_is_forgotten(self) -> None:
        times = turn_time.TurnTimes()
        times.upstream("s", "u").gap(0.1, 1.0)
        times.forget("u")
        self.assertEqual({}, times.upstreams)
        self.assertEqual({}, times.service("s").upstreams)
