"""Calls through a sidecar over real streams to the upstreams of `standins`."""

import testtools
from testtools import matchers

from fakes import service_rig
from mintcleat.domain import call_messages
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.standins import batch
from mintcleat.standins import engine
from mintcleat.standins import service


def expected_answer(prompt: list[str], limit: int = 16) -> str:
    return "".join(batch.answer_tokens(prompt, limit))


class TurnTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine.Engine()
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def test_whole_answer_is_committed_before_the_end_message(self) -> None:
        asked = service_rig.turn()
        text, end = self.rig.call(asked)
        self.assertEqual(expected_answer(asked.messages), text)
        self.assertEqual(len(text), end.total)
        finished = self.rig.control.requests_of(program_messages.FinishCall)
        self.assertEqual([end.message.encode()], [f.answer for f in finished])

    def test_second_turn_needs_no_history_from_the_entry(self) -> None:
        first = service_rig.turn()
        _, end = self.rig.call(first)
        answer = end.message
        digest = digests.chain(b"", [*first.messages, answer])
        second = service_rig.turn(
            attempt=2,
            base_turn=1,
            base_digest=digest,
            messages=[service_rig.user("more")],
        )
        text, end = self.rig.call(second)
        prompt = [*first.messages, answer, *second.messages]
        self.assertEqual(expected_answer(prompt), text)
        self.assertThat(end.usage.cached_tokens, matchers.GreaterThan(0))

    def test_missing_history_is_asked_for_and_checked(self) -> None:
        added = [service_rig.user("old"), batch.answer_message("yes")]
        digest = digests.chain(b"", added)
        asked = service_rig.turn(base_turn=1, base_digest=digest)
        _, need = self.rig.call(asked)
        self.assertEqual(call_messages.NeedHistory(0), need)
        history = [identities.Turn(1, added, digest)]
        text, _ = self.rig.call(asked._replace(history=history))
        self.assertEqual(expected_answer([*added, *asked.messages]), text)

    def test_history_with_a_wrong_digest_is_refused(self) -> None:
        history = [identities.Turn(1, [service_rig.user("x")], b"w" * 16)]
        asked = service_rig.turn(
            base_turn=1, base_digest=b"w" * 16, history=history
        )
        _, end = self.rig.call(asked)
        self.assertIsInstance(end, call_messages.AttemptRefused)
        self.assertEqual([], self.engine.runs)

    def test_copy_of_a_running_attempt_gets_the_same_answer(self) -> None:
        asked = service_rig.turn()
        first = self.rig.open(asked)
        first.receive(5.0)
        text, _ = self.rig.call(asked)
        self.assertEqual(expected_answer(asked.messages), text)
        self.assertThat(self.engine.runs, matchers.HasLength(1))

    def test_attach_gets_the_answer_from_its_start(self) -> None:
        asked = service_rig.turn()
        self.rig.open(asked).receive(5.0)
        attach = call_messages.AttachAttempt("p", "", "k1", 1, service_rig.NODE)
        text, _ = self.rig.call(attach)
        self.assertEqual(expected_answer(asked.messages), text)

    def test_sealed_attempt_never_runs(self) -> None:
        """A request arrives after its attempt was sealed.

        The entry lost its connection, sealed the attempt and reported "not
        run" to the caller. Then the request arrives that it had sent before;
        the engine must not get it.
        """
        seal = call_messages.SealAttempt("p", "", "k1", 1, service_rig.NODE)
        _, sealed = self.rig.call(seal)
        self.assertEqual("never", sealed.state)
        _, end = self.rig.call(service_rig.turn())
        self.assertIsInstance(end, call_messages.AttemptRefused)
        self.assertEqual([], self.engine.runs)

    def test_call_without_program_is_not_committed(self) -> None:
        asked = service_rig.turn(program="", attempt=0)
        text, _ = self.rig.call(asked)
        self.assertEqual(expected_answer(asked.messages), text)
        self.assertEqual([], self.rig.control.requests)


class ToolTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.service = service.Service()
        self.rig = service_rig.Rig(self.service)
        self.addCleanup(self.rig.stop)

    def test_resent_tool_call_runs_once(self) -> None:
        asked = service_rig.tool()
        _, first = self.rig.call(asked)
        _, second = self.rig.call(asked)
        self.assertEqual(first.body, second.body)
        self.assertEqual({("p-k1", "/book"): 1}, dict(self.service.runs))

    def test_attempt_of_an_earlier_incarnation_has_an_unknown_outcome(
        self,
    ) -> None:
        """The sidecar restarted between the grant and the request.

        The former incarnation may have run the attempt, so neither "not run"
        nor a second run would be correct.
        """
        old = identities.Incarnation("side-1", 0)
        _, end = self.rig.call(service_rig.tool(sidecar=old))
        self.assertEqual(errors.UNKNOWN, end.failure.outcome)
        self.assertEqual({}, dict(self.service.runs))

    def test_unreachable_service_is_reported_as_not_run(self) -> None:
        self.service.stop()
        _, end = self.rig.call(service_rig.tool())
        self.assertEqual(errors.NOT_RUN, end.failure.outcome)
