"""Estimates of the remaining work of programs."""

import testtools

from mintcleat.decisions import remaining_work


class EstimatorTest(testtools.TestCase):
    def test_without_samples_the_attained_service_is_the_estimate(self) -> None:
        remaining = remaining_work.Estimator().remaining("new", 700)
        self.assertEqual((700.0, False), (remaining.tokens, remaining.known))

    def test_a_program_longer_than_the_short_ones_has_much_left(self) -> None:
        estimator = remaining_work.Estimator()
        for _ in range(20):
            estimator.finished("agent", 500, 3)
            estimator.finished("agent", 20_000, 40)
        early = estimator.remaining("agent", 100)
        late = estimator.remaining("agent", 2000)
        self.assertEqual(10_150.0, early.tokens)
        self.assertEqual(18_000.0, late.tokens)

    def test_the_estimate_adapts_to_a_changed_agent(self) -> None:
        estimator = remaining_work.Estimator()
        for _ in range(600):
            estimator.finished("agent", 100, 2)
        for _ in range(3000):
            estimator.finished("agent", 10_000, 2)
        left = estimator.remaining("agent", 0).tokens
        self.assertTrue(9_000 < left <= 10_000)
