"""Send intervals under a bandwidth budget."""

import testtools

from mintcleat.decisions import send_interval


class SendIntervalTest(testtools.TestCase):
    def test_small_deployment_keeps_the_minimum_interval(self) -> None:
        self.assertEqual(
            0.5,
            send_interval.for_budget(0.5, 4 * 90, send_interval.REPORT_BUDGET),
        )

    def test_bytes_per_second_stay_within_the_budget(self) -> None:
        for watchers in (50, 220, 860):
            size = watchers * 90.0
            seconds = send_interval.for_budget(
                0.5, size, send_interval.REPORT_BUDGET
            )
            self.assertLessEqual(size / seconds, send_interval.REPORT_BUDGET)
