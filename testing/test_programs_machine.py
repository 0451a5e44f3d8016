"""The program machine: order, at-most-once execution, budgets, retention."""

from typing import Any

import testtools
from testtools import matchers

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import records

SIDECAR = identities.Incarnation("engine-1", 1)
OTHER = identities.Incarnation("engine-2", 1)
FAILURE = errors.UpstreamFailed("The engine failed.").failure()
TICK = commands.Tick(program_idle=100.0, record_retention=1000.0)


def begin(turn: int, key: str, **changes: Any) -> program_messages.BeginCall:
    request = program_messages.BeginCall(
        program="p",
        customer="farm",
        service="chat",
        turn=turn,
        key=key,
        digest=key.encode().ljust(16, b"."),
        messages=[f'{{"content":"{key}"}}'] if turn else [],
        reserve=10,
        idempotent=True,
        sidecar=SIDECAR,
        address="10.0.0.1:1",
    )
    return request._replace(**changes)


def finish(
    key: str, attempt: int, **changes: Any
) -> program_messages.FinishCall:
    request = program_messages.FinishCall(
        "p", "farm", key, attempt, SIDECAR, b"yes", identities.Usage(3, 4, 0)
    )
    return request._replace(**changes)


def settle(key: str, attempt: int, outcome: str) -> program_messages.SettleCall:
    return program_messages.SettleCall(
        "p", "farm", key, attempt, outcome, FAILURE
    )


class MachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.group = machine.ProgramMachine()
        self.clock = 0.0

    def apply(self, request: Any) -> Any:
        command = commands.Command(self.clock, 0.0, [request])
        (reply,) = self.group.apply(1, commands.encode(command))
        return reply

    def create(self, program: str = "p", **changes: Any) -> Any:
        request = program_messages.CreateProgram(
            program, "farm", "triage", "batch", identities.Budget()
        )
        return self.apply(request._replace(**changes))

    def show(self, program: str = "p") -> program_messages.ProgramView:
        return self.group.read(program_messages.ShowProgram(program))

    def check_refused(self, kind: type, request: Any) -> Any:
        reply = self.apply(request)
        self.assertThat(reply, matchers.IsInstance(kind))
        return reply


class OrderTest(MachineTest):
    def test_only_the_next_turn_is_granted(self) -> None:
        self.create()
        self.check_refused(errors.WrongTurn, begin(2, "b"))
        attempt = self.apply(begin(1, "a")).attempt
        self.check_refused(errors.CallRunning, begin(1, "b"))
        self.check_refused(errors.WrongTurn, begin(2, "b"))
        self.apply(finish("a", attempt))
        self.check_refused(errors.WrongTurn, begin(1, "b"))
        self.assertEqual(1, self.apply(begin(2, "b")).base_turn)

    def test_resend_of_a_finished_turn_gets_its_recorded_answer(self) -> None:
        self.create()
        for turn in (1, 2, 3):
            attempt = self.apply(begin(turn, f"k{turn}")).attempt
            self.apply(finish(f"k{turn}", attempt))
        reply = self.apply(begin(1, "k1"))
        self.assertEqual(
            program_messages.CallRecorded(1, b"yes", (3, 4, 0)), reply
        )
        self.check_refused(errors.KeyConflict, begin(1, "k1", digest=b"x" * 16))

    def test_history_holds_finished_turns_and_their_rolling_digests(
        self,
    ) -> None:
        self.create()
        for turn in (1, 2):
            attempt = self.apply(begin(turn, f"k{turn}")).attempt
            self.apply(finish(f"k{turn}", attempt))
        history = self.group.read(program_messages.FetchHistory("p"))
        self.assertEqual(
            [['{"content":"k1"}', "yes"], ['{"content":"k2"}', "yes"]],
            [turn.messages for turn in history.turns],
        )
        self.assertEqual(history.turns[-1].digest, self.show().digest)
        self.assertNotEqual(history.turns[0].digest, self.show().digest)


class AttemptTest(MachineTest):
    def test_resend_after_a_lost_answer_gets_the_same_grant(self) -> None:
        """The entry's BeginCall is committed, but its reply is lost.

        The resend carries the same nonce and gets the same grant; a BeginCall
        of another entry with the same key gets the address of the attempt. If
        the resend got that reply too, the call would never run.
        """
        self.create()
        first = self.apply(begin(1, "a", nonce=7))
        self.assertEqual(first, self.apply(begin(1, "a", nonce=7)))
        self.assertEqual(
            program_messages.AttemptRunning(
                first.attempt, SIDECAR, "10.0.0.1:1"
            ),
            self.apply(begin(1, "a", nonce=8)),
        )

    def test_late_copy_of_a_settled_call_is_not_granted(self) -> None:
        """A copy of a BeginCall commits after its attempt settled as not run.

        No caller waits for it. A grant would block the turn, and the caller's
        next try with another key would be refused.
        """
        self.create()
        attempt = self.apply(begin(1, "a", nonce=7)).attempt
        self.apply(settle("a", attempt, errors.NOT_RUN))
        self.check_refused(errors.CallRunning, begin(1, "a", nonce=7))
        self.assertThat(
            self.apply(begin(1, "b", nonce=9)),
            matchers.IsInstance(program_messages.AttemptGranted),
        )

    def test_unknown_call_is_never_granted_again_unless_idempotent(
        self,
    ) -> None:
        self.create()
        tool = begin(0, "t", idempotent=False)
        attempt = self.apply(tool).attempt
        self.apply(settle("t", attempt, errors.UNKNOWN))
        for _ in range(2):
            reply = self.check_refused(errors.OutcomeUnknown, tool)
            self.assertEqual(errors.UNKNOWN, reply.outcome)
        self.assertEqual(10, self.show().reserved)
        self.apply(finish("t", attempt))
        self.assertThat(
            self.apply(tool), matchers.IsInstance(program_messages.CallRecorded)
        )
        self.assertEqual((7, 0), (self.show().used, self.show().reserved))

    def test_late_answer_of_a_superseded_attempt_is_not_recorded(self) -> None:
        """A sidecar is lost and the turn runs again at another one.

        The first sidecar reconnects and finishes its attempt. Recording it
        would add an answer to the history that the caller never sees, because
        it follows the second attempt.
        """
        self.create()
        first = self.apply(begin(1, "a")).attempt
        self.apply(settle("a", first, errors.UNKNOWN))
        second = self.apply(begin(1, "a", sidecar=OTHER)).attempt
        self.check_refused(errors.Superseded, finish("a", first))
        self.apply(finish("a", second, answer=b"second"))
        self.check_refused(errors.Superseded, finish("a", first))
        self.assertEqual(
            identities.Done(), self.apply(finish("a", second, answer=b"second"))
        )
        history = self.group.read(program_messages.FetchHistory("p"))
        self.assertEqual("second", history.turns[0].messages[-1])
        self.assertEqual(1, len(history.turns))

    def test_non_idempotent_call_may_run_again_once_sealed(self) -> None:
        self.create()
        tool = begin(0, "t", idempotent=False)
        first = self.apply(tool).attempt
        moved = tool._replace(sidecar=OTHER, sealed=first)
        self.assertThat(self.apply(moved).attempt, matchers.GreaterThan(first))

    def test_only_idempotent_calls_run_again_after_a_sidecar_restart(
        self,
    ) -> None:
        self.create()
        later = SIDECAR._replace(epoch=2)
        tool = begin(0, "t", idempotent=False)
        self.apply(tool)
        reply = self.apply(tool._replace(sidecar=later))
        self.assertThat(
            reply, matchers.IsInstance(program_messages.AttemptRunning)
        )
        self.apply(begin(1, "a"))
        reply = self.apply(begin(1, "a", sidecar=later))
        self.assertThat(
            reply, matchers.IsInstance(program_messages.AttemptGranted)
        )

    def test_failed_call_returns_its_failure_and_releases_the_turn(
        self,
    ) -> None:
        self.create()
        attempt = self.apply(begin(1, "a")).attempt
        self.apply(settle("a", attempt, errors.RAN))
        reply = self.check_refused(errors.UpstreamFailed, begin(1, "a"))
        self.assertEqual(errors.RAN, reply.outcome)
        self.assertEqual(0, self.apply(begin(1, "b")).base_turn)

    def test_call_without_a_program_keeps_its_key(self) -> None:
        call = begin(0, "t", program="", idempotent=False)
        attempt = self.apply(call).attempt
        self.assertThat(
            self.apply(call),
            matchers.IsInstance(program_messages.AttemptRunning),
        )
        self.apply(finish("t", attempt, program=""))
        self.assertThat(
            self.apply(call), matchers.IsInstance(program_messages.CallRecorded)
        )
        other = call._replace(customer="studio")
        self.assertThat(
            self.apply(other),
            matchers.IsInstance(program_messages.AttemptGranted),
        )


class LimitTest(MachineTest):
    def test_sub_agent_calls_count_against_own_and_root_budget(self) -> None:
        self.create(budget=identities.Budget(tokens=25))
        self.create("p.c", parent="p", budget=identities.Budget(tokens=15))
        child = {"program": "p.c"}
        first = self.apply(begin(0, "a", **child)).attempt
        self.check_refused(errors.BudgetExhausted, begin(0, "b", **child))
        self.apply(begin(0, "c"))
        self.check_refused(errors.BudgetExhausted, begin(0, "d"))
        self.apply(finish("a", first, **child))
        self.assertEqual((7, 10), (self.show().used, self.show().reserved))

    def test_turn_without_a_reservation_reserves_all_tokens_left(self) -> None:
        self.create(budget=identities.Budget(tokens=25))
        granted = self.apply(begin(1, "a", reserve=0))
        self.assertEqual(25, granted.tokens_left)
        self.check_refused(errors.BudgetExhausted, begin(0, "t"))

    def test_turns_and_seconds_are_limited(self) -> None:
        self.create(budget=identities.Budget(turns=1, seconds=60.0))
        attempt = self.apply(begin(1, "a")).attempt
        self.apply(settle("a", attempt, errors.NOT_RUN))
        attempt = self.apply(begin(1, "b")).attempt
        self.apply(finish("b", attempt))
        self.check_refused(errors.BudgetExhausted, begin(2, "c"))
        self.apply(begin(0, "t"))
        self.clock = 60.0
        self.check_refused(errors.BudgetExhausted, begin(0, "u"))

    def test_loop_of_two_steps_is_detected(self) -> None:
        self.create(repeat_limit=3)
        for round_number in range(3):
            for step in (b"1" * 16, b"2" * 16):
                key = f"{step[:1]}{round_number}"
                granted = self.apply(begin(0, key, digest=step))
                self.assertThat(
                    granted,
                    matchers.IsInstance(program_messages.AttemptGranted),
                )
        self.check_refused(
            errors.LoopDetected, begin(0, "again", digest=b"1" * 16)
        )

    def test_create_is_idempotent_and_conflicts_with_other_attributes(
        self,
    ) -> None:
        self.assertEqual(self.create(), self.create())
        reply = self.create(agent="claim")
        self.assertThat(reply, matchers.IsInstance(errors.ProgramExists))

    def test_closing_a_program_closes_and_reports_its_sub_agents(self) -> None:
        self.create()
        self.create("p.c", parent="p")
        self.create("q")
        self.apply(program_messages.CloseProgram("p"))
        names = ["p", "p.c", "q", "never"]
        reply = self.group.read(program_messages.RenewResidency(SIDECAR, names))
        self.assertEqual(["p", "p.c", "never"], reply.programs)
        self.check_refused(errors.ProgramClosed, begin(1, "a"))


class RetentionTest(MachineTest):
    def test_abandoned_program_expires_and_its_record_is_deleted(self) -> None:
        self.create()
        self.create("p.c", parent="p")
        self.clock = 60.0
        self.apply(begin(1, "a", program="p.c"))
        self.clock = 110.0
        self.apply(TICK)
        self.assertEqual(records.OPEN, self.show().state)
        self.clock = 160.0
        self.apply(TICK)
        self.assertEqual(records.EXPIRED, self.show("p.c").state)
        self.clock = 1160.0
        self.apply(TICK)
        self.assertEqual({}, self.group.programs)
        self.assertEqual({}, self.group.histories.records)

    def test_outcome_of_a_deleted_program_is_unknown(self) -> None:
        """A caller resends a call of a program deleted after its retention.

        The call may have run. "Not run" is certain only as long as no program
        was ever deleted.
        """
        reply = self.check_refused(errors.UnknownProgram, begin(1, "a"))
        self.assertEqual(errors.NOT_RUN, reply.outcome)
        self.create()
        self.apply(program_messages.CloseProgram("p"))
        self.clock = 1000.0
        self.apply(TICK)
        reply = self.check_refused(errors.UnknownProgram, begin(1, "a"))
        self.assertEqual(errors.UNKNOWN, reply.outcome)

    def test_expired_unknown_call_counts_its_reservation_as_used(self) -> None:
        self.create(budget=identities.Budget(tokens=25))
        attempt = self.apply(begin(1, "a", idempotent=False)).attempt
        self.apply(settle("a", attempt, errors.UNKNOWN))
        self.clock = 1000.0
        tick = TICK._replace(program_idle=9999.0)
        self.apply(tick)
        self.assertEqual((10, 0), (self.show().used, self.show().reserved))
        reply = self.apply(begin(1, "b"))
        self.assertThat(
            reply, matchers.IsInstance(program_messages.AttemptGranted)
        )

    def test_deleted_sub_agent_is_removed_from_its_open_root(self) -> None:
        self.create()
        self.create("p.c", parent="p")
        self.apply(program_messages.CloseProgram("p.c"))
        self.clock = 1000.0
        self.apply(TICK._replace(program_idle=9999.0))
        self.assertEqual([], self.show().children)

    def test_deleted_sub_agent_leaves_no_reservation_on_its_root(
        self,
    ) -> None:
        """A sub-agent is closed while one of its calls has no outcome.

        Its record is deleted while the root is open. The tokens reserved for
        the call must count as used; if they were only dropped with the record,
        they would stay reserved on the root.
        """
        self.create()
        self.create("p.c", parent="p")
        self.apply(begin(0, "t", program="p.c"))
        self.apply(program_messages.CloseProgram("p.c"))
        self.clock = 1000.0
        self.apply(TICK._replace(program_idle=9999.0))
        self.assertEqual((10, 0), (self.show().used, self.show().reserved))

    def test_finished_turns_and_released_calls_are_not_kept(self) -> None:
        self.create()
        for turn in range(1, 4):
            attempt = self.apply(begin(turn, f"k{turn}")).attempt
            self.apply(finish(f"k{turn}", attempt))
        attempt = self.apply(begin(0, "t")).attempt
        self.apply(settle("t", attempt, errors.NOT_RUN))
        self.assertEqual(0, len(self.group.calls))

    def test_restored_group_has_the_same_state(self) -> None:
        self.create(repeat_limit=3, budget=identities.Budget(100, 9, 5.0))
        self.create("p.c", parent="p")
        attempt = self.apply(begin(1, "a", nonce=3)).attempt
        self.apply(finish("a", attempt))
        self.apply(begin(0, "t"))
        self.apply(begin(0, "t", program=""))
        copy = machine.ProgramMachine()
        copy.restore(self.group.snapshot())
        self.assertEqual(self.group.snapshot(), copy.snapshot())
        self.assertEqual(
            self.show(), copy.read(program_messages.ShowProgram("p"))
        )
