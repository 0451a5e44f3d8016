"""Failures of upstreams and control while a sidecar runs calls."""

import eventlet
from eventlet import event
import testtools
from testtools import matchers

from fakes import engine_faults
from fakes import service_faults
from fakes import service_rig
from mintcleat.domain import call_messages
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.standins import batch


class EngineFaultTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine_faults.FaultyEngine(engine_faults.slow(0.005))
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def test_lost_stream_is_resumed_at_its_offset(self) -> None:
        """The connection to the engine is lost twice during an answer.

        The engine continues to generate. The caller gets every token once, and
        the engine runs the call once.
        """
        self.engine.cuts = 2
        asked = service_rig.turn()
        text, end = self.rig.call(asked)
        expected = "".join(batch.answer_tokens(asked.messages, 16))
        self.assertEqual(expected, text)
        self.assertEqual(len(expected), end.total)
        self.assertThat(self.engine.runs, matchers.HasLength(1))

    def test_incomplete_answer_is_not_reported_as_finished(self) -> None:
        """A token is lost between the engine and the sidecar.

        The stream ends as usual. Only the length that the engine reports shows
        the loss. The caller must not get the answer as a complete one.
        """
        self.engine.skips = 1
        _, end = self.rig.call(service_rig.turn())
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual(
            [], self.rig.control.requests_of(program_messages.FinishCall)
        )

    def test_resumed_answer_without_its_length_is_not_finished(self) -> None:
        # An engine that ignores the offset repeats text, which only the length
        # shows.
        self.engine.is_old = True
        self.engine.cuts = 1
        _, end = self.rig.call(service_rig.turn())
        self.assertIsInstance(end, call_messages.AttemptFailed)
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual(
            [], self.rig.control.requests_of(program_messages.FinishCall)
        )

    def test_whole_answer_of_one_stream_needs_no_length(self) -> None:
        self.engine.is_old = True
        asked = service_rig.turn()
        text, end = self.rig.call(asked)
        expected = "".join(batch.answer_tokens(asked.messages, 16))
        self.assertEqual(expected, text)
        self.assertEqual(len(expected), end.total)

    def test_crash_is_reported_before_callers_get_the_error(self) -> None:
        """A request crashes its engine while another one is running.

        Both were in flight, so both are suspects. Callers get the error only
        after the report is committed. Otherwise a retry would run elsewhere
        before the request is known as a suspect.
        """
        self.engine.crash_on = "poison"
        self.rig.directory.held = event.Event()
        longer = '{"max_tokens":10000}'
        other = self.rig.open(
            service_rig.turn("other", digest=b"o" * 16, parameters=longer)
        )
        other.receive(5.0)
        poison = self.rig.open(
            service_rig.turn(
                "bad",
                messages=[service_rig.user("poison")],
                digest=b"b" * 16,
                parameters=longer,
            )
        )
        (report,) = self.rig.wait_until(lambda: self.rig.directory.asked)
        self.assertEqual([b"b" * 16, b"o" * 16], report.digests)
        self.rig.sleep()
        running = self.rig.sidecar.in_flight()
        self.assertThat(running, matchers.HasLength(2))
        self.rig.directory.held.send()
        for exchange in (poison, other):
            _, end = service_rig.read_rest(exchange)
            self.assertEqual(errors.UNKNOWN, end.failure.outcome)

    def test_lost_connection_alone_is_not_reported_as_a_crash(self) -> None:
        """The stream is lost and can't be resumed, but the engine is up.

        A network fault must not make the request a suspect.
        """
        self.engine.options = self.engine.options._replace(resume=False)
        self.engine.cuts = 1
        _, end = self.rig.call(service_rig.turn())
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual([], self.rig.directory.asked)

    def test_failed_non_idempotent_call_is_settled_as_unknown(self) -> None:
        self.engine.crash_on = "asks"
        _, end = self.rig.call(service_rig.turn(idempotent=False))
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        (settled,) = self.rig.control.requests_of(program_messages.SettleCall)
        self.assertEqual(errors.UNKNOWN, settled.outcome)

    def test_engine_that_refuses_the_request_has_a_final_outcome(self) -> None:
        asked = service_rig.turn(parameters='{"max_tokens":"many"}')
        _, end = self.rig.call(asked)
        self.assertIsInstance(end, call_messages.AttemptFailed)

    def test_end_waits_for_the_commit(self) -> None:
        """Control has no leader when the engine has finished.

        Until the answer is committed, a resent call could produce another one.
        The end message is delayed and the commit is retried.
        """
        self.rig.control.failure = errors.OutcomeUnknown("No leader.")
        exchange = self.rig.open(service_rig.turn())
        attempt = self.rig.wait_until(
            lambda: self.rig.sidecar.attempts.find("p", 1)
        )
        self.rig.wait_until(lambda: attempt.usage.completion_tokens)
        self.rig.sleep()
        self.assertIsNone(attempt.outcome)
        self.rig.control.failure = None
        _, end = service_rig.read_answer(exchange)
        self.assertIsInstance(end, call_messages.AttemptFinished)

    def test_refused_commit_does_not_claim_that_the_call_did_not_run(
        self,
    ) -> None:
        """The program is closed while the engine generates the answer.

        The group refuses the commit with outcome "not run", which is about the
        commit only. The caller must learn that the call ran.
        """
        self.rig.control.failure = errors.ProgramClosed("Closed.")
        _, end = self.rig.call(service_rig.turn())
        self.assertEqual("program_closed", end.failure.kind)
        self.assertEqual(errors.RAN, end.failure.outcome)

    def test_suspect_waits_while_another_suspect_runs(self) -> None:
        """Two suspects arrive at the same time.

        They run one after the other, so that a further crash shows which one
        is the cause.
        """
        digests = [b"1" * 16, b"2" * 16]
        self.rig.directory.suspects.update(digests)
        longer = '{"max_tokens":60}'
        first = self.rig.open(
            service_rig.turn("a", digest=digests[0], parameters=longer)
        )
        first.receive(5.0)
        second = self.rig.open(service_rig.turn("b", digest=digests[1]))
        innocent = self.rig.open(service_rig.turn("c", digest=b"3" * 16))
        innocent.receive(5.0)
        self.assertEqual(["a", "c"], [r.program for r in self.engine.runs])
        service_rig.read_rest(first)
        _, end = service_rig.read_answer(second)
        self.assertIsInstance(end, call_messages.AttemptFinished)


class OrderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        options = engine_faults.slow()._replace(fencing=False)
        self.engine = engine_faults.FaultyEngine(options)
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def order(self, fencing_token: int, model: str = "model-2") -> object:
        order = config_messages.Order(
            service_rig.NODE, fencing_token, "load", model
        )
        return self.rig.client.ask(self.rig.server.address, order, 5.0)

    def test_superseded_order_is_rejected_by_the_sidecar(self) -> None:
        """An earlier leader's order arrives late at a restarted sidecar.

        The engine does not check fencing tokens. The sidecar has seen no order
        yet, so it reads the highest committed token first and rejects orders
        with a lower one.
        """
        self.rig.directory.fencing_token = 9
        self.assertRaises(errors.FencedOff, self.order, 8)
        self.assertEqual([], self.engine.orders)
        self.order(9)
        self.assertThat(self.engine.orders, matchers.HasLength(1))

    def test_repeated_order_is_executed_once(self) -> None:
        self.order(3)
        self.order(3)
        self.assertThat(self.engine.orders, matchers.HasLength(1))
        self.assertEqual("model-2", self.rig.sidecar.announcement().model)

    def test_copy_of_a_running_order_is_not_executed_again(self) -> None:
        """A leader is lost during a long load; the next one resends the order.

        The copy arrives while the order is being executed. Both leaders get
        the result, and the engine gets one order.
        """
        execute_order = self.rig.sidecar.orders.upstream.execute_order

        def slowly(number: int, action: str, model: str) -> None:
            eventlet.sleep(0.05)
            execute_order(number, action, model)

        self.rig.sidecar.orders.upstream.execute_order = slowly
        threads = [eventlet.spawn(self.order, 3) for _ in range(2)]
        for thread in threads:
            self.assertIsInstance(thread.wait(), identities.Done)
        self.assertThat(self.engine.orders, matchers.HasLength(1))


class ServiceFaultTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.service = service_faults.FaultyService()
        self.rig = service_rig.Rig(self.service)
        self.addCleanup(self.rig.stop)

    def assert_ran_once(self) -> None:
        self.assertEqual({("p-k1", "/book"): 1}, dict(self.service.runs))

    def test_hanging_tool_call_ends_at_its_deadline_as_unknown(self) -> None:
        """The service executes the request and never answers.

        The caller gets an error at the deadline. A resent call does not run
        again, since the attempt is known and its outcome committed.
        """
        self.service.hang = True
        asked = service_rig.tool(deadline=0.1)
        _, end = self.rig.call(asked)
        self.assertEqual("outcome_unknown", end.failure.kind)
        self.assertThat(
            self.rig.control.requests_of(program_messages.SettleCall),
            matchers.HasLength(1),
        )
        _, again = self.rig.call(asked)
        self.assertEqual(errors.UNKNOWN, again.failure.outcome)
        self.assert_ran_once()

    def test_service_crash_during_a_call_leaves_the_outcome_unknown(
        self,
    ) -> None:
        self.service.die_after_run = True
        _, end = self.rig.call(service_rig.tool())
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assert_ran_once()
        (report,) = self.rig.directory.asked
        self.assertIsInstance(report, member_messages.ReportCrash)

    def test_without_a_lease_only_idempotent_calls_are_served(
        self,
    ) -> None:
        directory = self.rig.directory
        directory.lease = False
        policies = manifest.Policies(stale_lease="serve")
        directory.value = manifest.Manifest(policies=policies)
        read = service_rig.tool(attempt=0, method="GET", idempotent=True)
        self.assertIsInstance(self.rig.call(read)[1], call_messages.ToolAnswer)
        _, end = self.rig.call(service_rig.tool())
        self.assertEqual("lease_expired", end.failure.kind)

    def test_service_is_announced_as_down_and_as_ready_after_a_restart(
        self,
    ) -> None:
        self.service.crash()
        self.rig.sidecar.monitor.probe()
        self.assertEqual("down", self.rig.sidecar.announcement().state)
        self.service.restart()
        self.rig.sidecar.monitor.probe()
        self.assertEqual("ready", self.rig.sidecar.announcement().state)
