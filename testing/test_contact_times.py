"""How long a request waits for an upstream before it is sent there."""

import testtools

from mintcleat.decisions import contact_times

LEFT = 5.0


class TimesTest(testtools.TestCase):
    def test_late_upstream_is_left_early_while_there_is_an_alternative(
        self,
    ) -> None:
        times = contact_times.times(True, False, LEFT)
        self.assertEqual((0.5, 0.25), (times.connect, times.report))

    def test_last_upstream_is_not_left_while_it_may_answer(self) -> None:
        # Guards against refusals with seconds of the deadline left.
        times = contact_times.times(False, False, LEFT)
        self.assertTrue(times.connect == times.report == times.total)
        self.assertGreater(times.total, 1.0)

    def test_wait_is_bounded_by_the_silence_of_an_upstream(self) -> None:
        times = contact_times.times(False, False, 600.0)
        self.assertEqual(contact_times.MAX_SECONDS, times.total)

    def test_refused_caller_has_time_to_try_another_entry(self) -> None:
        for left in (0.6, 1.0, 3.0):
            times = contact_times.times(False, False, left)
            self.assertLessEqual(times.total, left / 2)

    def test_wait_ends_while_the_request_can_be_refused(self) -> None:
        for left in (-1.0, 0.0, 0.1, 0.3):
            for has_alternative in (True, False):
                for is_hanging in (True, False):
                    times = contact_times.times(
                        has_alternative, is_hanging, left
                    )
                    self.assertLessEqual(times.total, max(0.0, left))

    def test_short_deadline_waits_no_shorter_than_with_an_alternative(
        self,
    ) -> None:
        times = contact_times.times(False, False, 0.4)
        self.assertEqual(0.25, times.report)

    def test_upstream_that_hangs_is_left_early(self) -> None:
        times = contact_times.times(False, True, LEFT)
        self.assertEqual((0.5, 0.25), (times.connect, times.report))


class HangingUpstreamsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hanging = contact_times.HangingUpstreams()

    def test_long_silence_shows_that_an_upstream_hangs(self) -> None:
        # Guards against each caller of one that hangs being held for seconds.
        self.hanging.left("e1", 2.0, 10.0)
        self.assertTrue(self.hanging.is_hanging("e1", 10.1))
        self.assertFalse(self.hanging.is_hanging("e2", 10.1))

    def test_upstream_that_was_left_early_is_not_known_to_hang(self) -> None:
        self.hanging.left("e1", 0.25, 10.0)
        self.assertFalse(self.hanging.is_hanging("e1", 10.1))

    def test_later_request_waits_again(self) -> None:
        # Guards against an upstream that is never given the time it needs.
        self.hanging.left("e1", 2.0, 10.0)
        self.assertFalse(self.hanging.is_hanging("e1", 11.5))

    def test_answer_shows_that_an_upstream_works(self) -> None:
        self.hanging.left("e1", 2.0, 10.0)
        self.hanging.answered("e1")
        self.assertFalse(self.hanging.is_hanging("e1", 10.1))
        self.assertEqual({}, self.hanging.until)
