"""Retries never multiply an overload."""

import testtools
from testtools import matchers

from mintcleat.decisions import retry


class BudgetTest(testtools.TestCase):
    def test_an_outage_is_not_multiplied(self) -> None:
        """Every call fails, so no success refills the budget.

        A thousand calls make ten retries in all, not two thousand.
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

    def test_one_call_has_three_attempts_at_most(self) -> None:
        self.assertFalse(retry.Budget().take(retry.MAX_ATTEMPTS))
