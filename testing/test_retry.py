"""The retry budget."""

import testtools
from testtools import matchers

from mintcleat.decisions import retry


class BudgetTest(testtools.TestCase):
    def test_an_outage_does_not_multiply_the_load(self) -> None:
        """Every call fails, so no success refills the budget.

        A thousand calls lead to ten retries in total, not two thousand.
        """
        budget = retry.Budget()
        retries = sum(budget.take(1) for _ in range(1000))
        self.assertEqual(10, retries)

    def test_retries_are_a_fraction_of_successes(self) -> None:
        budget = retry.Budget()
        retries = 0
        for _ in range(1000):
            budget.succeeded()
            retries += budget.take(1)
        self.assertThat(retries, matchers.LessThan(112))

    def test_a_call_has_at_most_three_attempts(self) -> None:
        self.assertFalse(retry.Budget().take(retry.MAX_ATTEMPTS))
