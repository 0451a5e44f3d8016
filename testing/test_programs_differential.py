"""The program machine against a reference model, and against a restored one."""

from typing import Any

import hypothesis
from hypothesis import strategies as st

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import machine
import naive_programs

PROGRAMS = ("p", "p.c", "p.c.d", "q")
FAILURE = errors.UpstreamFailed("It failed.").failure()
IDLE = 100.0
RETENTION = 250.0
REPLY_KINDS = {
    program_messages.ProgramView: "view",
    program_messages.AttemptGranted: "granted",
    program_messages.CallRecorded: "recorded",
    program_messages.AttemptRunning: "underway",
    identities.Done: "done",
}

REPLIES = {
    *REPLY_KINDS.values(),
    "budget_exhausted",
    "call_running",
    "key_conflict",
    "outcome_unknown",
    "program_closed",
    "program_exists",
    "superseded",
    "unknown_program",
    "upstream_failed",
    "wrong_turn",
}

SIDECARS = st.builds(
    identities.Incarnation, st.sampled_from(["e1", "e2"]), st.integers(1, 2)
)
CREATES = st.builds(
    lambda program, tokens, turns: program_messages.CreateProgram(
        program,
        "farm",
        "triage",
        "batch",
        identities.Budget(tokens, turns),
        program.rpartition(".")[0],
    ),
    st.sampled_from(PROGRAMS),
    st.sampled_from([0, 40]),
    st.sampled_from([0, 0, 3]),
)
BEGINS = st.builds(
    lambda program, turn, key, other, reserve, idem, sidecar, nonce: (
        program_messages.BeginCall(
            program,
            "farm",
            "chat",
            turn if program else 0,
            key,
            (b"x" if other else key.encode()).ljust(16, b"."),
            [f"{key}-{turn}"],
            reserve,
            idem,
            sidecar,
            "10.0.0.1:1",
            nonce=nonce,
        )
    ),
    st.sampled_from(["p", "p", "p.c", "p.c", "", *PROGRAMS]),
    st.sampled_from([1, 2, 0, 3]),
    st.sampled_from("abcdef"),
    st.sampled_from([False] * 7 + [True]),
    st.sampled_from([0, 10, 15]),
    st.booleans(),
    SIDECARS,
    st.integers(0, 2),
)
# Later steps refer to earlier grants by position, so that most of them apply.
RESENDS = st.tuples(
    st.just("resend"), st.integers(0, 9), st.booleans(), SIDECARS
)
FINISHES = st.tuples(st.just("finish"), st.integers(0, 9), st.integers(0, 10))
SETTLES = st.tuples(
    st.just("settle"),
    st.integers(0, 9),
    st.sampled_from(["not_run", "unknown", "ran"]),
)
CLOSES = st.builds(program_messages.CloseProgram, st.sampled_from(PROGRAMS))
KINDS = [BEGINS] * 9 + [FINISHES] * 5 + [RESENDS] * 4 + [SETTLES] * 4
TICKS = st.tuples(st.just("tick"), st.sampled_from([0.0, 30.0, 60.0, 200.0]))
KINDS += [TICKS, CREATES, CLOSES, st.just("restore")]
STEPS = st.lists(
    st.sampled_from(KINDS).flatmap(lambda kind: kind), min_size=20, max_size=60
)


def summary(reply: Any) -> tuple[Any, ...]:
    if isinstance(reply, errors.MintcleatError):
        return (reply.kind,)
    kind = REPLY_KINDS[type(reply)]
    match reply:
        case program_messages.CallRecorded():
            return (kind, reply.attempt, reply.answer)
        case (
            program_messages.AttemptGranted()
            | program_messages.AttemptRunning()
        ):
            return (kind, reply.attempt)
    return (kind,)


class Run:
    """One sequence of steps on the model, a replica and a restored replica."""

    def __init__(self) -> None:
        self.reference = naive_programs.ReferenceModel()
        self.plain = machine.ProgramMachine()
        self.restored = machine.ProgramMachine()
        self.grants: list[
            tuple[program_messages.BeginCall, program_messages.AttemptGranted]
        ] = []
        self.met: set[str] = set()
        self.clock = 0.0
        for program in ("p", "p.c"):
            self.apply(
                program_messages.CreateProgram(
                    program,
                    "farm",
                    "triage",
                    "batch",
                    identities.Budget(60),
                    program.rpartition(".")[0],
                )
            )

    def step(self, step: Any) -> None:
        match step:
            case ("tick", seconds):
                self.clock += seconds
                self.apply(commands.Tick(IDLE, RETENTION))
            case "restore":
                state = self.restored.snapshot()
                self.restored = machine.ProgramMachine()
                self.restored.restore(state)
            case _ if isinstance(step, commands.MUTATIONS):
                self.apply(step)
            case (action, place, *rest):
                if self.grants:
                    begin, granted = self.grants[-1 - place % len(self.grants)]
                    self.apply(self.build_request(action, begin, granted, rest))

    def build_request(
        self,
        action: str,
        begin: program_messages.BeginCall,
        granted: program_messages.AttemptGranted,
        rest: list[Any],
    ) -> Any:
        name = (begin.program, begin.customer, begin.key, granted.attempt)
        match action:
            case "finish":
                usage = identities.Usage(0, min(rest[0], granted.tokens_left))
                answer = f"answer of {granted.attempt}".encode()
                return program_messages.FinishCall(
                    *name, begin.sidecar, answer, usage
                )
            case "settle":
                return program_messages.SettleCall(*name, rest[0], FAILURE)
        sealed = granted.attempt if rest[0] else 0
        return begin._replace(sealed=sealed, sidecar=rest[1], nonce=0)

    def apply(self, request: Any) -> None:
        self.reference.clock = self.clock
        if isinstance(request, commands.Tick):
            expected = self.reference.tick(*request)
        else:
            expected = self.reference.apply(request)
        command = commands.encode(commands.Command(self.clock, 0.0, [request]))
        (reply,) = self.plain.apply(1, command)
        (other,) = self.restored.apply(1, command)
        self.met.add(expected[0])
        assert summary(reply) == expected, request
        assert summary(other) == expected, request
        if isinstance(reply, program_messages.AttemptGranted):
            self.grants.append((request, reply))

    def check_state(self) -> None:
        assert self.plain.programs.keys() == self.reference.programs.keys()
        assert self.plain.snapshot() == self.restored.snapshot()
        for name in self.reference.programs:
            view = self.plain.read(program_messages.ShowProgram(name))
            assert view.used == self.reference.used(name)
            assert view.reserved == self.reference.reserved(name)
            if view.budget.tokens:
                assert view.used + view.reserved <= view.budget.tokens
            history = self.plain.read(program_messages.FetchHistory(name))
            assert [turn.messages for turn in history.turns] == [
                [*call.request.messages, call.answer.decode()]
                for call in self.reference.history(name)
            ]


def test_machine_answers_like_the_reference_model() -> None:
    met = set()

    @hypothesis.given(STEPS)
    @hypothesis.settings(max_examples=400)
    def compare(steps: list[Any]) -> None:
        run = Run()
        for step in steps:
            run.step(step)
        run.check_state()
        met.update(run.met)

    compare()
    # Every kind of reply must have occurred, or it was never compared.
    assert met >= REPLIES
