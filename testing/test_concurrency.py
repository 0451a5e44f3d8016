"""The adaptive concurrency limit of an upstream."""

import testtools
from testtools import matchers

from mintcleat.decisions import calls
from mintcleat.decisions import concurrency


def run_service(limit: concurrency.Limit, workers: int, rounds: int) -> None:
    """Keeps a service full that slows down beyond `workers` calls."""
    now = 0.0
    for _ in range(rounds):
        running = limit.current()
        seconds = 0.1 * max(1.0, running / workers)
        now += seconds
        for _ in range(running):
            outcome = calls.Outcome(seconds, generated=1)
            limit.observe(outcome, running, now)


class LimitTest(testtools.TestCase):
    def test_a_capacity_announced_too_high_is_corrected(self) -> None:
        limit = concurrency.Limit(200)
        run_service(limit, 1000, 2)
        run_service(limit, 10, 200)
        self.assertThat(limit.current(), matchers.LessThan(60))

    def test_it_recovers_when_the_service_does(self) -> None:
        limit = concurrency.Limit(64)
        run_service(limit, 64, 2)
        run_service(limit, 4, 100)
        low = limit.current()
        run_service(limit, 64, 2000)
        self.assertThat(low, matchers.LessThan(32))
        self.assertThat(limit.current(), matchers.GreaterThan(60))

    def test_failures_reduce_the_limit_once_per_round(self) -> None:
        limit = concurrency.Limit(100)
        for _ in range(50):
            limit.observe(calls.Outcome(1.0, ok=False), 50, 10.0)
        self.assertEqual(70, limit.current())

    def test_an_upstream_that_is_slow_at_any_load_is_not_starved(self) -> None:
        limit = concurrency.Limit(64)
        run_service(limit, 64, 2)
        for _ in range(2000):
            running = limit.current()
            limit.observe(calls.Outcome(1.0, generated=1), running, 100.0)
        self.assertThat(limit.current(), matchers.GreaterThan(7))
