"""Queueing, sealing, deadlines, cancellation and draining at a sidecar."""

from collections.abc import Iterator
from typing import Any

import testtools
from testtools import matchers

from fakes import engine_faults
from fakes import service_rig
from mintcleat.domain import call_messages
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import upstream
from mintcleat.standins import batch

# Parameters of an answer that does not end within a test unless cancelled.
LONG = '{"max_tokens":100000}'
TOKEN_SECONDS = 0.002
# Time from the last token of an answer to its end.
END_SECONDS = 0.0001


class QueueTest(testtools.TestCase):
    """The engine runs one call at a time."""

    def setUp(self) -> None:
        super().setUp()
        options = engine_faults.slow(slots=1)
        self.engine = engine_faults.FaultyEngine(options)
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def occupy(self) -> object:
        """Starts a call that occupies the only slot."""
        exchange = self.rig.open(service_rig.turn("first"))
        exchange.receive(5.0)
        return exchange

    def test_queued_call_runs_when_the_slot_is_free(self) -> None:
        self.occupy()
        text, end = self.rig.call(service_rig.turn("second"))
        self.assertIsInstance(end, call_messages.AttemptFinished)
        self.assertEqual(len(text), end.total)

    def test_history_dropped_while_waiting_is_still_answered(self) -> None:
        """The stored history of a queued call is dropped for other programs.

        The engine must get the conversation as it was checked when the call
        arrived, not only the part that is still stored.
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
        service_rig.read_rest(first)
        text, _ = service_rig.read_answer(waiting)
        whole = [*added, *asked.messages]
        self.assertEqual("".join(batch.answer_tokens(whole, 16)), text)

    def test_sealed_while_waiting_never_runs(self) -> None:
        """An entry seals a call that is still queued.

        After the reply `never`, the entry may report "not run" or run the call
        elsewhere, so the call must not start when the slot is free.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        seal = call_messages.SealAttempt(
            "second", "", "k1", 1, service_rig.NODE
        )
        _, sealed = self.rig.call(seal)
        self.assertEqual("never", sealed.state)
        _, end = service_rig.read_answer(waiting)
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)
        service_rig.read_rest(first)
        self.rig.call(service_rig.turn("third"))
        ran = [run.program for run in self.engine.runs]
        self.assertEqual(["first", "third"], ran)

    def test_sealed_between_admission_and_start_never_runs(self) -> None:
        """The seal arrives right after the slot became free.

        The call is admitted, but its green thread has not resumed yet. The
        reply to the seal is `never`, so the call must not start.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        side = self.rig.sidecar
        attempt = self.rig.wait_until(lambda: side.attempts.find("second", 1))
        leave = side.admission.leave

        def leave_and_seal(*args: object) -> None:
            leave(*args)
            self.assertTrue(attempt.admitted)
            gone = errors.Draining("The attempt was sealed.")
            side.executor.cancel(attempt, gone)

        self.patch(side.admission, "leave", leave_and_seal)
        service_rig.read_rest(first)
        _, end = service_rig.read_answer(waiting)
        self.assertIsInstance(end, call_messages.AttemptRefused)
        self.assertEqual("never", side.attempts.state("second", 1))
        self.patch(side.admission, "leave", leave)
        self.rig.call(service_rig.turn("third"))
        ran = [run.program for run in self.engine.runs]
        self.assertEqual(["first", "third"], ran)

    def test_call_that_would_miss_its_deadline_is_refused_as_not_run(
        self,
    ) -> None:
        self.occupy()
        _, end = self.rig.call(service_rig.turn("late", deadline=0.02))
        self.assertEqual("deadline_unmet", end.failure.kind)
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)
        self.assertEqual("never", self.rig.sidecar.attempts.state("late", 1))
        self.assertThat(self.engine.runs, matchers.HasLength(1))

    def test_drain_refuses_queued_calls_and_finishes_running_ones(self) -> None:
        """A planned stop begins while one call runs and one is queued.

        The queued call is refused at once, so that its entry can place it
        elsewhere. The running call gets its whole answer.
        """
        first = self.occupy()
        waiting = self.rig.open(service_rig.turn("second"))
        self.rig.sleep()
        self.rig.sidecar.drain()
        _, refused = service_rig.read_answer(waiting)
        self.assertEqual("draining", refused.failure.kind)
        self.assertEqual(0, self.rig.sidecar.stop(5.0))
        _, end = service_rig.read_rest(first)
        self.assertIsInstance(end, call_messages.AttemptFinished)


class LimitTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        options = engine_faults.slow(TOKEN_SECONDS, slots=8)
        self.rig = service_rig.Rig(engine_faults.FaultyEngine(options))
        self.addCleanup(self.rig.stop)

    def pace_answers(self) -> None:
        """Has the sidecar's clock advance only by the tokens of answers.

        A pause of this process during an answer would count as the engine's.
        """
        side = self.rig.sidecar
        engine = side.executor.runner.engine
        run = engine.run
        clock = [side.timers.now()]

        def run_paced(call: upstream.EngineCall) -> Iterator[Any]:
            is_first = True
            for item in run(call):
                match item:
                    case upstream.TextChunk() if is_first:
                        clock[0] += TOKEN_SECONDS
                        is_first = False
                    case upstream.End():
                        later = item.usage.completion_tokens - 1
                        clock[0] += later * TOKEN_SECONDS + END_SECONDS
                yield item

        self.patch(engine, "run", run_paced)
        self.patch(side.timers, "now", lambda: clock[0])

    def test_one_token_answers_do_not_lower_the_concurrency_limit(self) -> None:
        """A probe requests a single token, then normal calls follow.

        Counted as a sample of the pace, a single token would make every normal
        answer look slow, and the limit would fall to one call.
        """
        self.pace_answers()
        rig = self.rig
        rig.call(service_rig.turn("probe", parameters='{"max_tokens":1}'))
        for number in range(30):
            rig.call(service_rig.turn(f"p{number}"))
        pace = rig.sidecar.admission.gate.limit
        self.assertEqual(8, rig.sidecar.load().limit, vars(pace))


class RunningTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine_faults.FaultyEngine(engine_faults.slow())
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def reason(self) -> str:
        (sequence,) = self.engine.sequences.values()
        return sequence.finish_reason

    def test_call_without_program_is_cancelled_when_its_caller_leaves(
        self,
    ) -> None:
        asked = service_rig.turn("", attempt=0, parameters=LONG)
        exchange = self.rig.open(asked)
        exchange.receive(5.0)
        exchange.close()
        self.rig.wait_until(self.reason)
        self.assertEqual("cancelled", self.reason())

    def test_call_of_a_program_continues_without_its_entry(self) -> None:
        """The entry crashes while the engine generates.

        The caller will send the call again through another entry, so the
        answer must be completed and committed.
        """
        exchange = self.rig.open(service_rig.turn())
        exchange.receive(5.0)
        self.rig.client.stop()
        finished = self.rig.wait_until(
            lambda: self.rig.control.requests_of(program_messages.FinishCall)
        )
        self.assertThat(finished, matchers.HasLength(1))

    def test_cancelled_attempt_is_cancelled_at_the_engine(self) -> None:
        exchange = self.rig.open(service_rig.turn(parameters=LONG))
        exchange.receive(5.0)
        exchange.send(call_messages.CancelAttempt("p", 1))
        _, end = service_rig.read_rest(exchange)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual("cancelled", self.reason())

    def test_deadline_ends_a_running_call(self) -> None:
        """The engine generates far longer than the caller's deadline.

        The caller gets an error in time whose outcome is not "not run", and
        the call is cancelled at the engine.
        """
        exchange = self.rig.open(
            service_rig.turn(parameters=LONG, deadline=30.0)
        )
        exchange.receive(5.0)
        (running,) = self.rig.sidecar.in_flight()
        self.rig.sidecar.timers.now = lambda: running.deadline_at
        _, end = service_rig.read_rest(exchange)
        self.assertEqual("deadline_unmet", end.failure.kind)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual("cancelled", self.reason())

    def test_calls_cut_off_by_a_stop_have_an_unknown_outcome(
        self,
    ) -> None:
        exchange = self.rig.open(service_rig.turn(parameters=LONG))
        exchange.receive(5.0)
        self.assertEqual(1, self.rig.sidecar.stop(0.0))
        _, end = service_rig.read_rest(exchange)
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
        """A copy of a refused request arrives after the reason has passed.

        On the refusal the entry reported "not run" to the caller, so the copy
        must not run either.
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

    def test_sidecar_drained_by_an_operator_refuses(self) -> None:
        self.rig.directory.drained = True
        self.assert_refused("draining")

    def test_second_process_of_the_same_name_refuses(self) -> None:
        self.rig.directory.duplicate = True
        self.assert_refused("draining")

    def test_parameters_that_are_not_json_are_refused(self) -> None:
        _, end = self.rig.call(service_rig.turn(parameters="{"))
        self.assertEqual("bad_request", end.failure.kind)

    def test_sidecar_of_a_crashed_engine_refuses(self) -> None:
        self.engine.crash()
        self.assert_refused("no_upstream")

    def test_dropped_attempt_is_unknown_and_not_never(self) -> None:
        """An entry seals an attempt long after it ran.

        The sidecar has dropped its state to bound its memory. If it replied
        `never`, the call would run twice.
        """
        self.rig.call(service_rig.turn(attempt=7))
        table = self.rig.sidecar.attempts
        table.retention = table.answer_retention = -1.0
        table.forget_old()
        self.assertEqual({}, table.states)
        old = call_messages.SealAttempt("p", "", "k7", 7, service_rig.NODE)
        self.assertEqual("unknown", self.rig.call(old)[1].state)
        new = call_messages.SealAttempt("p", "", "k8", 8, service_rig.NODE)
        self.assertEqual("never", self.rig.call(new)[1].state)
