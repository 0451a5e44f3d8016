"""Timeouts of attempts, and the budget that bounds them in an overload."""

import testtools

from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import retry
from mintcleat.domain import manifest

SILENCE_TIMEOUT = 0.5


def route(repeat: str, attempts: int) -> manifest.Route:
    return manifest.Route(
        "/a/", [manifest.Share("desk")], repeat=repeat, attempts=attempts
    )


class AttemptTimeoutsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timeouts = attempt_timeout.AttemptTimeouts()

    def seconds(
        self,
        attempts: int = 0,
        repeat: str = "any",
        most: int = 2,
        left: float = 1.5,
    ) -> float | None:
        return self.timeouts.seconds(
            route(repeat, most), "desk", attempts, SILENCE_TIMEOUT, left
        )

    def test_only_a_request_with_another_attempt_has_a_timeout(self) -> None:
        # Guards against a second run of a request that may not be repeated,
        # and against an attempt that is given up although none may follow.
        self.assertEqual(SILENCE_TIMEOUT, self.seconds())
        self.assertIsNone(self.seconds(attempts=1))
        self.assertIsNone(self.seconds(most=1))
        self.assertIsNone(self.seconds(repeat="never"))
        self.assertIsNone(self.seconds(repeat="resume"))

    def test_attempt_is_not_given_up_without_time_for_another(self) -> None:
        # Guards against an answer that would have come before the deadline and
        # is thrown away for an attempt that can't.
        self.assertEqual(SILENCE_TIMEOUT, self.seconds(left=1.0))
        self.assertIsNone(self.seconds(left=0.9))

    def test_overload_gets_no_more_than_the_budget(self) -> None:
        # Guards against an overload that grows because every slow attempt is
        # sent a second time: 1,000 requests at upstreams of which none answers
        # within the timeout.
        given_up = 0
        for _ in range(1000):
            if self.seconds() is not None:
                given_up += 1
                self.timeouts.expired("desk", 1)
            self.timeouts.answered("desk")
        bound = retry.RESERVE + 1000 * retry.FRACTION
        self.assertTrue(given_up <= bound, given_up)

    def test_services_have_budgets_of_their_own(self) -> None:
        # Guards against one service that hangs and uses up what the requests
        # of the others may need.
        for _ in range(int(retry.RESERVE)):
            self.timeouts.expired("other", 1)
        self.assertIsNone(
            self.timeouts.seconds(
                route("any", 2), "other", 0, SILENCE_TIMEOUT, 1.5
            )
        )
        self.assertEqual(SILENCE_TIMEOUT, self.seconds())
