"""Joins the queue's decisions to the green threads that wait in it."""

import msgspec

from mintcleat.decisions import admission
from mintcleat.decisions import calls
from mintcleat.decisions import queue
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.ports import membership as membership_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.sidecar import attempts as sidecar_attempts

_CHARACTERS_PER_TOKEN = 4
_DEFAULT_ANSWER_TOKENS = 128


class Admission:
    """Who runs at the upstream now, who waits, who is refused.

    Attributes:
        waiting: Attempts that the gate holds, by request id.
    """

    def __init__(
        self,
        timers: timers_port.Timers,
        directory: membership_port.Membership,
        capacity: int,
    ) -> None:
        self.timers = timers
        self.directory = directory
        self.memory = 0
        self.gate = queue.Gate(queue.Options(), capacity)
        self.waiting: dict[str, sidecar_attempts.Attempt] = {}
        self.configure()

    def configure(self) -> None:
        """Takes the policies of the manifest in force."""
        policies = self.directory.manifest().policies
        self.gate.configure(gate_options(policies, self.memory))

    def resize(self, capacity: int, memory: int) -> None:
        """Takes what the upstream announces of its size."""
        self.gate.limit.resize(capacity)
        if memory != self.memory:
            self.memory = memory
            self.configure()

    def first_token(self, attempt: sidecar_attempts.Attempt) -> None:
        """Notes that the engine has computed an attempt's prompt."""
        self.gate.first_token(attempt.request_id)
        self.admit_waiting()

    def protect(self, tokens: int) -> None:
        """Takes the size of the caches that are expected back soon."""
        self.gate.protect(tokens)
        self.admit_waiting()

    def remove_programs(self, programs: list[str]) -> None:
        """Notes that programs hold nothing at the engine any more."""
        for program in programs:
            self.gate.program_left(program)
        self.admit_waiting()

    def learn(self, agent: str, tokens: int, turns: int) -> None:
        """Learns from a program that is gone."""
        self.gate.estimator.finished(agent, tokens, turns)

    def typical_answer_tokens(self, agent: str) -> int:
        """Returns the tokens that a call of this agent usually generates."""
        return self.gate.estimator.answer_tokens(agent, _DEFAULT_ANSWER_TOKENS)

    def enter(
        self, attempt: sidecar_attempts.Attempt, call: calls.Call
    ) -> None:
        """Waits until the attempt may go to the upstream.

        Raises:
            errors.MintcleatError: It is refused, or was cancelled meanwhile.
        """
        if attempt.cancelled is not None:
            raise attempt.cancelled
        answer = self.gate.offer(call, self.timers.now())
        match answer:
            case admission.Refuse(kind, retry_after):
                raise errors.kinds()[kind](
                    "The predicted wait here is too long.",
                    retry_after=retry_after,
                )
            case queue.Queued():
                self.waiting[attempt.request_id] = attempt
                # Those before it may be held back by more than the slots.
                self.admit_waiting()
                self._wait(attempt)
        attempt.admitted = True

    def leave(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: calls.Outcome | None,
    ) -> None:
        """Frees the place of an admitted attempt; learns from an outcome."""
        if outcome is None:
            self.gate.cancel(attempt.request_id)
        else:
            now = self.timers.now()
            self.gate.finished(attempt.request_id, now, outcome)
        self.admit_waiting()

    def cancel(self, attempt: sidecar_attempts.Attempt) -> None:
        """Takes a cancelled attempt out of the queue."""
        if not attempt.admitted:
            self.gate.cancel(attempt.request_id)
            attempt.notify()
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Lets everything go that may go now."""
        while (call := self.gate.next(self.timers.now())) is not None:
            attempt = self.waiting.get(call.call_id)
            if attempt is None:
                self.gate.cancel(call.call_id)
                continue
            attempt.admitted = True
            attempt.notify()

    def expire(self) -> None:
        """Refuses what can't meet its deadline any more."""
        for call in self.gate.expire(self.timers.now()):
            attempt = self.waiting.get(call.call_id)
            if attempt is not None and attempt.cancelled is None:
                attempt.cancelled = errors.DeadlineUnmet(
                    "The deadline would end before the answer."
                )
                attempt.notify()

    def _wait(self, attempt: sidecar_attempts.Attempt) -> None:
        try:
            while not attempt.admitted:
                if attempt.cancelled is not None:
                    raise attempt.cancelled
                attempt.changed.wait()
        finally:
            self.waiting.pop(attempt.request_id, None)
        if attempt.cancelled is not None:
            # Cancelled between its admission and this line.
            self.gate.cancel(attempt.request_id)
            self.admit_waiting()
            raise attempt.cancelled


def gate_options(policies: manifest.Policies, memory: int) -> queue.Options:
    """Returns the gate's options under these policies."""
    customers = policies.customers.items()
    return queue.Options(
        shares={name: customer.share for name, customer in customers},
        max_running={
            name: customer.max_running
            for name, customer in customers
            if customer.max_running
        },
        max_wait=policies.max_wait,
        memory=memory,
    )


def turn_call(
    attempt: sidecar_attempts.Attempt,
    resident: int,
    typical: int,
    suspect: bool,
) -> calls.Call:
    """Returns a chat turn as the decisions see it.

    Args:
        attempt: The attempt.
        resident: Tokens of the program that the engine holds.
        typical: Tokens of this agent's typical answer.
        suspect: Whether an upstream crashed while it ran this request.
    """
    request = attempt.message
    tokens = sum(map(len, attempt.prompt)) // _CHARACTERS_PER_TOKEN
    return calls.Call(
        call_id=attempt.request_id,
        program=request.program,
        root=request.root,
        customer=request.customer,
        agent=request.agent,
        klass=request.klass,
        deadline_at=attempt.deadline_at,
        attained=request.attained,
        prompt_tokens=tokens,
        new_tokens=max(0, tokens - resident),
        expected_tokens=min(typical, max_tokens(request.parameters) or typical),
        suspect=suspect,
    )


def tool_call(attempt: sidecar_attempts.Attempt, suspect: bool) -> calls.Call:
    """Returns a request to a plain service as the decisions see it."""
    request = attempt.message
    return calls.Call(
        call_id=attempt.request_id,
        program=request.program,
        root=request.program.partition(".")[0],
        customer=request.customer,
        agent="",
        klass=request.klass,
        deadline_at=attempt.deadline_at,
        suspect=suspect,
    )


def max_tokens(parameters: str) -> int:
    """Returns the completion limit of a body; 0 for none."""
    if not parameters:
        return 0
    fields = msgspec.json.decode(parameters)
    limit = fields.get("max_tokens") if isinstance(fields, dict) else None
    return limit if isinstance(limit, int) and limit > 0 else 0
