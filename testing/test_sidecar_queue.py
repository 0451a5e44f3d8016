"""Waiting, sealing, deadlines, cancelling and draining at the sidecar."""

import testtools
from testtools import matchers

from fakes import engine_faults
from fakes import service_rig
from mintcleat.domain import call_messages
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.standins import batch

# An answer that only a cancel ends within a test.
LONG = '{"max_tokens":100000}'


class QueueTest(testtools.TestCase):
    """The engine takes one call at a time."""

    def setUp(self) -> None:
        super().setUp()
        options = engine_faults.slow(slots=1)
        self.engine = engine_faults.FaultyEngine(options)
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def occupy(self) -> object:
        """Starts a call that holds the one slot."""
        exchange = self.rig.open(service_rig.turn("first"))
        exchange.receive(5.0)
        return exchange

    def test_waiting_call_runs_when_its_turn_comes(self) -> None:
        self.occupy()
        text, end = self.rig.call(service_rig.turn("second"))
        self.assertIsInstance(end, call_messages.AttemptFinished)
        self.assertEqual(len(text), end.total)

    def test_history_dropped_while_waiting_is_still_answered(self) -> None:
        """A call waits with its history; meanwhile the history is dropped.

        Other programs need the room. The engine must get the conversation
        as it was checked at the arrival, not what is left of it.
        """
        added = [service_rig.user("old"), batch.answer_message("yes")]
        digest = digests.chain(b"", added)
        first = self.occupy()
        asked = service_rig.turn(
            "second",
            base_turn=1,
            base_digest=digest,
            history=[identities.Turn(1, added, digest)],
        )
        waiting = self.rig.open(asked)
        self.rig.sleep()
        self.rig.sidecar.histories.drop("second")
        service_rig.drain_rest(first)
        text, _ = service_rig.drain(waiting)
        whole = [*added, *asked.messages]
        self.assertEqual("".join(batch.answer_tokens(whole, 16)), text)

    def test_sealed_while_waiting_never_runs(self) -> None:
        """An entry gives up on a call that still waits.

        The sidecar says `never`, so the entry may tell "not run" or run the
        call elsewhere; the call must then not start when the slot is free.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        seal = call_messages.SealAttempt(
            "second", "", "k1", 1, service_rig.NODE
        )
        _, sealed = self.rig.call(seal)
        self.assertEqual("never", sealed.state)
        _, end = service_rig.drain(waiting)
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)
        service_rig.drain_rest(first)
        self.rig.call(service_rig.turn("third"))
        ran = [run.program for run in self.engine.runs]
        self.assertEqual(["first", "third"], ran)

    def test_sealed_between_admission_and_start_never_runs(self) -> None:
        """The seal comes in the instant after the slot became free.

        The gate has let the call go, but its green thread has not run yet.
        The seal answers `never`, so the call must not start any more.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        side = self.rig.sidecar
        attempt = self.rig.until(lambda: side.attempts.find("second", 1))
        leave = side.admission.leave

        def leave_and_seal(*args: object) -> None:
            leave(*args)
            self.assertTrue(attempt.admitted)
            gone = errors.Draining("The attempt was sealed.")
            side.executor.cancel(attempt, gone)

        self.patch(side.admission, "leave", leave_and_seal)
        service_rig.drain_rest(first)
        _, end = service_rig.drain(waiting)
        self.assertIsInstance(end, call_messages.AttemptRefused)
        self.assertEqual("never", side.attempts.state("second", 1))
        self.patch(side.admission, "leave", leave)
        self.rig.call(service_rig.turn("third"))
        ran = [run.program for run in self.engine.runs]
        self.assertEqual(["first", "third"], ran)

    def test_deadline_that_the_queue_would_miss_is_a_true_not_run(self) -> None:
        self.occupy()
        _, end = self.rig.call(service_rig.turn("late", deadline=0.02))
        self.assertEqual("deadline_unmet", end.failure.kind)
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)
        self.assertEqual("never", self.rig.sidecar.attempts.state("late", 1))
        self.assertThat(self.engine.runs, matchers.HasLength(1))

    def test_drain_hands_back_what_waits_and_finishes_what_runs(self) -> None:
        """A planned stop begins while one call runs and one waits.

        The waiting one is refused at once, so that its entry can place it
        elsewhere; the running one gets its whole answer.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        self.rig.sidecar.drain()
        _, refused = service_rig.drain(waiting)
        self.assertEqual("draining", refused.failure.kind)
        self.assertEqual(0, self.rig.sidecar.stop(5.0))
        _, end = service_rig.drain_rest(first)
        self.assertIsInstance(end, call_messages.AttemptFinished)


class LimitTest(testtools.TestCase):
    def test_one_token_answers_do_not_close_the_gate(self) -> None:
        """A probe asks for a single token, then normal calls follow.

        A single token has no pace. Taken for one, it would make every
        normal answer look slow, and the limit would fall to one call.
        """
        options = engine_faults.slow(0.002, slots=8)
        rig = service_rig.Rig(engine_faults.FaultyEngine(options))
        self.addCleanup(rig.stop)
        rig.call(service_rig.turn("probe", parameters='{"max_tokens":1}'))
        for number in range(30):
            rig.call(service_rig.turn(f"p{number}"))
        self.assertEqual(8, rig.sidecar.load().limit)


class RunningTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine_faults.FaultyEngine(engine_faults.slow())
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def reason(self) -> str:
        (sequence,) = self.engine.sequences.values()
        return sequence.finish_reason

    def test_call_without_program_stops_with_its_caller(self) -> None:
        asked = service_rig.turn("", attempt=0, parameters=LONG)
        exchange = self.rig.open(asked)
        exchange.receive(5.0)
        exchange.close()
        self.rig.until(self.reason)
        self.assertEqual("cancelled", self.reason())

    def test_committed_call_goes_on_without_its_entry(self) -> None:
        """The entry dies while the engine streams.

        Its caller will send the call again through another entry, so the
        answer must be finished and recorded.
        """
        exchange = self.rig.open(service_rig.turn())
        exchange.receive(5.0)
        self.rig.client.stop()
        finished = self.rig.until(
            lambda: self.rig.control.of(program_messages.FinishCall)
        )
        self.assertThat(finished, matchers.HasLength(1))

    def test_cancelled_attempt_stops_at_the_engine(self) -> None:
        exchange = self.rig.open(service_rig.turn(parameters=LONG))
        exchange.receive(5.0)
        exchange.send(call_messages.CancelAttempt("p", 1))
        _, end = service_rig.drain_rest(exchange)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual("cancelled", self.reason())

    def test_deadline_ends_a_running_call(self) -> None:
        """The engine generates far longer than the caller's deadline.

        The caller gets a typed end in time, the engine stops, and nobody is
        told that the call did not run.
        """
        exchange = self.rig.open(
            service_rig.turn(parameters=LONG, deadline=30.0)
        )
        exchange.receive(5.0)
        (running,) = self.rig.sidecar.under_way()
        self.rig.sidecar.timers.now = lambda: running.until
        _, end = service_rig.drain_rest(exchange)
        self.assertEqual("deadline_unmet", end.failure.kind)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual("cancelled", self.reason())

    def test_stop_limit_tells_the_cut_calls_that_the_outcome_is_unknown(
        self,
    ) -> None:
        exchange = self.rig.open(service_rig.turn(parameters=LONG))
        exchange.receive(5.0)
        self.assertEqual(1, self.rig.sidecar.stop(0.0))
        _, end = service_rig.drain_rest(exchange)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)


class RefusalTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine_faults.FaultyEngine()
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def assert_refused(self, kind: str) -> None:
        _, end = self.rig.call(service_rig.turn())
        self.assertEqual(kind, end.failure.kind)
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)

    def test_refused_attempt_is_sealed_for_every_later_copy(self) -> None:
        """A refusal, then a late copy of the same frame.

        The entry tells its caller "not run" on the refusal. When the reason
        has passed and the copy comes, the sidecar must still not run it.
        """
        self.rig.directory.lease = False
        self.assert_refused("lease_expired")
        self.rig.directory.lease = True
        _, end = self.rig.call(service_rig.turn())
        self.assertIsInstance(end, call_messages.AttemptRefused)
        self.assertEqual([], self.engine.runs)

    def test_expired_lease_refuses(self) -> None:
        self.rig.directory.lease = False
        self.assert_refused("lease_expired")

    def test_quarantined_request_is_refused(self) -> None:
        self.rig.directory.quarantine.add(b"d" * 16)
        self.assert_refused("quarantined")

    def test_drained_by_an_operator_refuses(self) -> None:
        self.rig.directory.drained = True
        self.assert_refused("draining")

    def test_second_process_of_the_same_name_refuses(self) -> None:
        self.rig.directory.duplicate = True
        self.assert_refused("draining")

    def test_parameters_that_are_no_json_are_refused(self) -> None:
        _, end = self.rig.call(service_rig.turn(parameters="{"))
        self.assertEqual("bad_request", end.failure.kind)

    def test_dead_engine_refuses(self) -> None:
        self.engine.crash()
        self.assert_refused("no_upstream")

    def test_forgotten_attempt_is_unknown_and_not_never(self) -> None:
        """An entry asks about an attempt long after it ran.

        The sidecar has dropped its state to bound its memory. Saying `never`
        would let a booking be made twice.
        """
        self.rig.call(service_rig.turn(attempt=7))
        table = self.rig.sidecar.attempts
        table.retention = table.keep_answer = -1.0
        table.forget_old()
        self.assertEqual({}, table.states)
        old = call_messages.SealAttempt("p", "", "k7", 7, service_rig.NODE)
        self.assertEqual("unknown", self.rig.call(old)[1].state)
        new = call_messages.SealAttempt("p", "", "k8", 8, service_rig.NODE)
        self.assertEqual("never", self.rig.call(new)[1].state)
