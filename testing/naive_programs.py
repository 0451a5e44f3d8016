"""A simple reference model of the program machine.

It keeps all calls ever granted in one list and computes every figure from that
list when asked, which is slow but easy to verify. It has neither snapshots nor
a log.
"""

import dataclasses
from typing import Any

from mintcleat.domain import identities
from mintcleat.domain import program_messages

NO_USAGE = identities.Usage()


@dataclasses.dataclass
class ReferenceCall:
    request: program_messages.BeginCall
    attempt: int
    reserved_tokens: int
    state: str = "running"
    answer: bytes = b""
    usage: identities.Usage = NO_USAGE
    touched: float = 0.0
    keeps_key: bool = True

    def matches(self, request: Any) -> bool:
        if not self.keeps_key:
            return False
        mine, other = self.request, request
        if (mine.program, mine.key) != (other.program, other.key):
            return False
        return bool(mine.program) or mine.customer == other.customer


class ReferenceModel:
    """Answers requests with a tuple of the reply's kind and its key fields.

    Attributes:
        programs: Requests that created the programs, by program id.
        clock: Group clock in seconds; set by the test before each request.
        active: Clock of the last activity, by root program.
        ended: Clock at which each program was closed or expired.
        calls: All calls ever granted.
        last_attempt: Number of the newest attempt.
    """

    def __init__(self) -> None:
        self.programs: dict[str, program_messages.CreateProgram] = {}
        self.clock = 0.0
        self.active: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.calls: list[ReferenceCall] = []
        self.last_attempt = 0

    def apply(self, request: Any) -> tuple[Any, ...]:
        match request:
            case program_messages.CreateProgram():
                return self.create(request)
            case program_messages.CloseProgram():
                return self.close(request)
            case program_messages.BeginCall():
                return self.begin(request)
            case program_messages.FinishCall():
                return self.finish(request)
            case program_messages.SettleCall():
                return self.settle(request)
        raise AssertionError(request)

    def create(
        self, request: program_messages.CreateProgram
    ) -> tuple[Any, ...]:
        known = self.programs.get(request.program)
        if known is not None:
            return ("view",) if known == request else ("program_exists",)
        if request.parent and request.parent not in self.programs:
            return ("unknown_program",)
        if request.parent in self.ended:
            return ("program_closed",)
        self.programs[request.program] = request
        self.record_activity(request.program)
        return ("view",)

    def close(self, request: program_messages.CloseProgram) -> tuple[Any, ...]:
        if request.program not in self.programs:
            return ("unknown_program",)
        self.end(request.program)
        return ("view",)

    def end(self, program: str) -> None:
        for name in self.programs:
            if (name + ".").startswith(program + "."):
                self.ended.setdefault(name, self.clock)

    def touch(self, call: ReferenceCall) -> None:
        call.touched = self.clock
        self.record_activity(call.request.program)

    def record_activity(self, program: str) -> None:
        self.active[program.split(".", maxsplit=1)[0]] = self.clock

    def tick(self, idle: float, retention: float) -> tuple[Any, ...]:
        for name in self.programs:
            root = name.split(".")[0]
            if self.clock - self.active[root] >= idle:
                self.end(root)
        for name, ended in list(self.ended.items()):
            if self.clock - ended >= retention:
                self.delete_program(name)
        for call in self.calls:
            is_turn = call.request.turn and call.state == "finished"
            if is_turn or not call.keeps_key or call.state == "released":
                continue
            if self.clock - call.touched >= retention:
                self.drop(call)
        return ("done",)

    def drop(self, call: ReferenceCall) -> None:
        call.keeps_key = False
        if call.state in ("running", "unknown"):
            call.state = "failed"

    def delete_program(self, name: str) -> None:
        """Deletes a program; its usage still counts for its ancestors."""
        del self.ended[name]
        del self.programs[name]
        parent = name.rpartition(".")[0]
        owner = f"{parent}.~" if parent else "~"
        for call in self.below(name):
            self.drop(call)
            call.request = call.request._replace(program=owner)

    def begin(self, request: program_messages.BeginCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        for call in self.calls:
            if call.matches(request) and call.state != "released":
                return self.begin_known(call, request)
        if request.program:
            refusal = self.refusal(request)
            if refusal:
                return (refusal,)
        call = ReferenceCall(request, 0, self.tokens_to_reserve(request))
        self.calls.append(call)
        return self.grant(call, request)

    def begin_known(
        self, call: ReferenceCall, request: program_messages.BeginCall
    ) -> tuple[Any, ...]:
        mine = call.request
        if (mine.digest, mine.turn) != (request.digest, request.turn):
            return ("key_conflict",)
        if call.state == "finished":
            return ("recorded", call.attempt, call.answer)
        if call.state == "failed":
            return ("upstream_failed",)
        same = request.nonce and (mine.nonce, mine.sidecar) == (
            request.nonce,
            request.sidecar,
        )
        if same and call.state == "running":
            return ("granted", call.attempt)
        later = (
            request.sidecar.instance == mine.sidecar.instance
            and request.sidecar.epoch > mine.sidecar.epoch
        )
        past = call.state == "unknown" or later
        if not same and (
            request.sealed == call.attempt or (mine.idempotent and past)
        ):
            return self.grant(call, request)
        if call.state == "unknown":
            return ("outcome_unknown",)
        return ("underway", call.attempt)

    def grant(
        self, call: ReferenceCall, request: program_messages.BeginCall
    ) -> tuple[Any, ...]:
        self.last_attempt += 1
        call.attempt = self.last_attempt
        call.state = "running"
        self.touch(call)
        call.request = call.request._replace(
            sidecar=request.sidecar, nonce=request.nonce
        )
        return ("granted", call.attempt)

    def refusal(self, request: program_messages.BeginCall) -> str:
        name = request.program
        own = [c for c in self.calls if c.request.program == name]
        history = self.history(name)
        if request.turn and request.turn <= len(history):
            return "wrong_turn"
        if name in self.ended:
            return "program_closed"
        released = [c for c in own if c.state == "released"]
        if request.nonce and any(
            c.request.nonce == request.nonce
            for c in released
            if c is self.last_released(name)
        ):
            return "call_running"
        if request.turn:
            if request.turn != len(history) + 1:
                return "wrong_turn"
            if any(
                c.request.turn and c.state in ("running", "unknown")
                for c in own
            ):
                return "call_running"
        for program in self.chain(name):
            if request.turn and 0 < program.budget.turns <= self.turns(
                program.program
            ):
                return "budget_exhausted"
        left = self.tokens_left(name)
        if left is not None and (
            request.reserve > left or (request.turn and left <= 0)
        ):
            return "budget_exhausted"
        return ""

    def finish(self, request: program_messages.FinishCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        for call in self.calls:
            if call.matches(request) and call.attempt == request.attempt:
                if call.state == "finished":
                    return ("done",)
                if call.state in ("running", "unknown"):
                    call.state = "finished"
                    call.answer = request.answer
                    call.usage = request.usage
                    self.touch(call)
                    return ("done",)
        return ("superseded",)

    def settle(self, request: program_messages.SettleCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        states = {"not_run": "released", "unknown": "unknown", "ran": "failed"}
        for call in self.calls:
            if (
                call.matches(request)
                and call.attempt == request.attempt
                and call.state in ("running", "unknown")
            ):
                call.state = states[request.outcome]
                if call.state != "released":
                    self.touch(call)
                else:
                    self.calls.remove(call)
                    self.calls.append(call)
        return ("done",)

    def last_released(self, name: str) -> ReferenceCall | None:
        released = [
            c
            for c in self.calls
            if c.request.program == name and c.state == "released"
        ]
        return released[-1] if released else None

    def history(self, name: str) -> list[ReferenceCall]:
        turns = [
            c
            for c in self.calls
            if c.request.program == name
            and c.request.turn
            and c.state == "finished"
        ]
        return sorted(turns, key=lambda c: c.request.turn)

    def chain(self, name: str) -> list[program_messages.CreateProgram]:
        parts = name.split(".")
        return [
            self.programs[".".join(parts[:count])]
            for count in range(1, len(parts) + 1)
        ]

    def below(self, name: str) -> list[ReferenceCall]:
        return [
            c
            for c in self.calls
            if (c.request.program + ".").startswith(name + ".")
        ]

    def turns(self, name: str) -> int:
        return sum(
            bool(c.request.turn) and c.state != "released"
            for c in self.below(name)
        )

    def used(self, name: str) -> int:
        spent = sum(
            c.usage.prompt_tokens + c.usage.completion_tokens
            for c in self.below(name)
            if c.state == "finished"
        )
        lost = sum(
            c.reserved_tokens for c in self.below(name) if c.state == "failed"
        )
        return spent + lost

    def reserved(self, name: str) -> int:
        return sum(
            c.reserved_tokens
            for c in self.below(name)
            if c.state in ("running", "unknown")
        )

    def tokens_left(self, name: str) -> int | None:
        limits = [
            program.budget.tokens
            - self.used(program.program)
            - self.reserved(program.program)
            for program in self.chain(name)
            if program.budget.tokens
        ]
        return min(limits, default=None)

    def tokens_to_reserve(self, request: program_messages.BeginCall) -> int:
        if not request.program:
            return 0
        left = self.tokens_left(request.program)
        if left is not None and request.turn and not request.reserve:
            return left
        return request.reserve
