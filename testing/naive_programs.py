"""A record keeper that is slow and plainly right, to compare with.

It keeps every call ever granted in one list and works each figure out from
that list when asked. It knows no retention, no snapshots and no log.
"""

import dataclasses
from typing import Any

from mintcleat.domain import messages

NO_USAGE = messages.Usage()


@dataclasses.dataclass
class NaiveCall:
    request: messages.BeginCall
    attempt: int
    held: int
    state: str = "running"
    answer: bytes = b""
    usage: messages.Usage = NO_USAGE

    def is_named(self, request: Any) -> bool:
        mine, other = self.request, request
        if (mine.program, mine.key) != (other.program, other.key):
            return False
        return bool(mine.program) or mine.partner == other.partner


class NaiveKeeper:
    """Answers with a word and, where one is asked for, an attempt."""

    def __init__(self) -> None:
        self.programs: dict[str, messages.CreateProgram] = {}
        self.closed: set[str] = set()
        self.calls: list[NaiveCall] = []
        self.last_attempt = 0

    def apply(self, request: Any) -> tuple[Any, ...]:
        match request:
            case messages.CreateProgram():
                return self.create(request)
            case messages.CloseProgram():
                return self.close(request)
            case messages.BeginCall():
                return self.begin(request)
            case messages.FinishCall():
                return self.finish(request)
            case messages.SettleCall():
                return self.settle(request)
        raise AssertionError(request)

    def create(self, request: messages.CreateProgram) -> tuple[Any, ...]:
        known = self.programs.get(request.program)
        if known is not None:
            return ("view",) if known == request else ("program_exists",)
        if request.parent and request.parent not in self.programs:
            return ("unknown_program",)
        if request.parent in self.closed:
            return ("program_closed",)
        self.programs[request.program] = request
        return ("view",)

    def close(self, request: messages.CloseProgram) -> tuple[Any, ...]:
        if request.program not in self.programs:
            return ("unknown_program",)
        self.closed |= {
            name
            for name in self.programs
            if (name + ".").startswith(request.program + ".")
        }
        return ("view",)

    def begin(self, request: messages.BeginCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        for call in self.calls:
            if call.is_named(request) and call.state != "released":
                return self.begin_known(call, request)
        if request.program:
            refusal = self.refusal(request)
            if refusal:
                return (refusal,)
        call = NaiveCall(request, 0, self.hold_of(request))
        self.calls.append(call)
        return self.grant(call, request)

    def begin_known(
        self, call: NaiveCall, request: messages.BeginCall
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
        self, call: NaiveCall, request: messages.BeginCall
    ) -> tuple[Any, ...]:
        self.last_attempt += 1
        call.attempt = self.last_attempt
        call.state = "running"
        call.request = call.request._replace(
            sidecar=request.sidecar, nonce=request.nonce
        )
        return ("granted", call.attempt)

    def refusal(self, request: messages.BeginCall) -> str:
        name = request.program
        own = [c for c in self.calls if c.request.program == name]
        history = self.history(name)
        if request.turn and request.turn <= len(history):
            return "wrong_turn"
        if name in self.closed:
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

    def finish(self, request: messages.FinishCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        for call in self.calls:
            if call.is_named(request) and call.attempt == request.attempt:
                if call.state == "finished":
                    return ("done",)
                if call.state in ("running", "unknown"):
                    call.state = "finished"
                    call.answer = request.answer
                    call.usage = request.usage
                    return ("done",)
        return ("superseded",)

    def settle(self, request: messages.SettleCall) -> tuple[Any, ...]:
        if request.program and request.program not in self.programs:
            return ("unknown_program",)
        words = {"not_run": "released", "unknown": "unknown", "ran": "failed"}
        for call in self.calls:
            if (
                call.is_named(request)
                and call.attempt == request.attempt
                and call.state in ("running", "unknown")
            ):
                call.state = words[request.outcome]
                if call.state == "released":
                    self.calls.remove(call)
                    self.calls.append(call)
        return ("done",)

    def last_released(self, name: str) -> NaiveCall | None:
        released = [
            c
            for c in self.calls
            if c.request.program == name and c.state == "released"
        ]
        return released[-1] if released else None

    def history(self, name: str) -> list[NaiveCall]:
        turns = [
            c
            for c in self.calls
            if c.request.program == name
            and c.request.turn
            and c.state == "finished"
        ]
        return sorted(turns, key=lambda c: c.request.turn)

    def chain(self, name: str) -> list[messages.CreateProgram]:
        parts = name.split(".")
        return [
            self.programs[".".join(parts[:count])]
            for count in range(1, len(parts) + 1)
        ]

    def below(self, name: str) -> list[NaiveCall]:
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
        lost = sum(c.held for c in self.below(name) if c.state == "failed")
        return spent + lost

    def reserved(self, name: str) -> int:
        return sum(
            c.held
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

    def hold_of(self, request: messages.BeginCall) -> int:
        if not request.program:
            return 0
        left = self.tokens_left(request.program)
        if left is not None and request.turn and not request.reserve:
            return left
        return request.reserve
