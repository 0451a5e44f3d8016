"""What counts as a success or failure of an upstream, and what does not."""

import eventlet
import testtools

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import evidence
from mintcleat.domain import errors
from mintcleat.domain import events

Evidence = evidence.Evidence


class EvidenceTest(testtools.TestCase):
    def test_status_of_an_answer(self) -> None:
        found = {
            status: evidence.of_answer(status)
            for status in (200, 404, 500, 503, 504)
        }
        self.assertEqual(
            {
                200: Evidence.SUCCESS,
                404: Evidence.SUCCESS,
                500: Evidence.FAILURE,
                503: Evidence.FAILURE,
                504: Evidence.NEUTRAL,
            },
            found,
        )

    def test_timeout_after_silence_counts_against_the_upstream(self) -> None:
        # Guards against an upstream that hangs until the deadline and then
        # answers 504: it would get every further request of the entry.
        found = [evidence.of_answer(504, silent, 0.5) for silent in (0.4, 0.6)]
        self.assertEqual([Evidence.NEUTRAL, Evidence.FAILURE], found)

    def test_errors_elsewhere_do_not_count_against_the_upstream(self) -> None:
        found = [
            evidence.of_error(errors.TurnUnrecorded("")),
            evidence.of_error(errors.UpstreamBusy("")),
            evidence.of_error(errors.StreamClosed("")),
            evidence.of_error(errors.WrongUpstream("")),
            evidence.of_error(errors.UpstreamLate("")),
        ]
        self.assertEqual(
            [
                Evidence.SUCCESS,
                Evidence.NEUTRAL,
                Evidence.FAILURE,
                Evidence.FAILURE,
                Evidence.FAILURE,
            ],
            found,
        )

    def test_request_that_was_not_sent_says_nothing_of_its_upstream(
        self,
    ) -> None:
        for error in (errors.Draining(""), errors.DeadlineUnmet("")):
            self.assertEqual(Evidence.NEUTRAL, evidence.of_error(error))

    def test_cancellation_counts_only_after_silence(self) -> None:
        self.assertEqual(
            Evidence.NEUTRAL, evidence.of_cancellation(False, 0.4, 0.5)
        )
        self.assertEqual(
            Evidence.FAILURE, evidence.of_cancellation(False, 0.6, 0.5)
        )
        self.assertEqual(
            Evidence.SUCCESS, evidence.of_cancellation(True, 9.0, 0.5)
        )


class ControlOutageTest(testtools.TestCase):
    """Control is lost while healthy engines answer.

    Each stream reaches its last event, but the turn can't be recorded and the
    answer is cut short. If that counted as a failure of the engines, all of
    them would be excluded at once, and the next turns would all go to the one
    engine that is left.
    """

    def setUp(self) -> None:
        super().setUp()
        self.system = platform_system.System()
        self.addCleanup(self.system.stop)
        self.assertEqual(
            200, self.system.put(platform_system.configuration()).status
        )
        script = platform_engine.stream(6, 0.05)
        for number in range(3):
            self.system.add(f"e{number}", "lm", script)
        self.system.settle()
        self.loads = self.system.entry.gateway.loads

    def turn(self, number: int) -> platform_system.Answer:
        return self.system.call(
            "POST", "/turns/a", b"x", f"t{number}",
            X_Program_Id=f"p{number}", X_Token_Counts="10,18",
        )  # fmt: skip

    def test_outage_counts_against_no_upstream(self) -> None:
        turns = [eventlet.spawn(self.turn, number) for number in range(6)]
        with eventlet.Timeout(20):
            while len(self.system.reporter.of(events.CallPlaced)) < 6:
                eventlet.sleep(0.005)
        self.system.control_common.streams.stop()
        with eventlet.Timeout(20):
            while any(
                self.loads.running(incarnation)
                for incarnation in self.loads.known
            ):
                eventlet.sleep(0.005)
        # The turns still wait for control.
        now = self.system.entry_common.timers.now()
        silent = [
            incarnation
            for incarnation in self.loads.known
            if self.loads.silence_detector.silent(incarnation, now + 60.0)
        ]
        self.assertEqual([], silent)
        self.assertEqual([False] * 6, [turn.wait().whole for turn in turns])
        self.assertEqual([], self.system.reporter.of(events.UpstreamAvoided))
        self.assertEqual({}, self.loads.penalties.by_upstream)
