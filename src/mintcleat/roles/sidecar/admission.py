"""Applies the queue's decisions to the green threads of attempts."""

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
    """Admission of attempts to the upstream: run, queue or refuse.

    Attributes:
        cache_capacity: Size of the engine's prefix cache in tokens.
        gate: Decides which attempt runs next.
        waiting: Queued attempts by request id.
    """

    def __init__(
        self,
        timers: timers_port.Timers,
        directory: membership_port.Membership,
        capacity: int,
    ) -> None:
        self.timers = timers
        self.directory = directory
        self.cache_capacity = 0
        self.gate = queue.Gate(queue.Options(), capacity)
        self.waiting: dict[str, sidecar_attempts.Attempt] = {}
        self.configure()

    def configure(self) -> None:
        """Applies the policies of the current manifest."""
        policies = self.directory.manifest().policies
        self.gate.configure(gate_options(policies, self.cache_capacity))

    def resize(self, capacity: int, cache_capacity: int) -> None:
        """Adopts the size that the upstream announces.

        Args:
            capacity: Calls that it runs concurrently.
            cache_capacity: Size of its prefix cache in tokens; 0 if unknown.
        """
        self.gate.limit.resize(capacity)
        if cache_capacity != self.cache_capacity:
            self.cache_capacity = cache_capacity
            self.configure()

    def first_token(self, attempt: sidecar_attempts.Attempt) -> None:
        """Records that the engine has computed an attempt's prompt."""
        self.gate.first_token(attempt.request_id)
        self.admit_waiting()

    def protect(self, tokens: int) -> None:
        """Reserves cache space for paused programs that return soon."""
        self.gate.protect(tokens)
        self.admit_waiting()

    def remove_programs(self, programs: list[str]) -> None:
        """Removes programs from the engine's working set."""
        for program in programs:
            self.gate.program_left(program)
        self.admit_waiting()

    def learn(self, agent: str, tokens: int, turns: int) -> None:
        """Updates the estimator with the totals of an ended program."""
        self.gate.estimator.finished(agent, tokens, turns)

    def typical_answer_tokens(self, agent: str) -> int:
        """Returns the tokens that a call of this agent typically generates."""
        return self.gate.estimator.answer_tokens(agent, _DEFAULT_ANSWER_TOKENS)

    def enter(
        self, attempt: sidecar_attempts.Attempt, call: calls.Call
    ) -> None:
        """Blocks until the attempt is admitted.

        Raises:
            errors.MintcleatError: It was refused or cancelled.
        """
        if attempt.cancelled is not None:
            raise attempt.cancelled
        answer = self.gate.offer(call, self.timers.now())
        match answer:
            case admission.Refuse(kind, retry_after):
                raise errors.kinds()[kind](
                    "The predicted wait at this upstream is too long.",
                    retry_after=retry_after,
                )
            case queue.Queued():
                self.waiting[attempt.request_id] = attempt
                # A slot may be free: attempts ahead of this one may wait for
                # something else, such as their customer's limit.
                self.admit_waiting()
                self._wait(attempt)
        attempt.admitted = True

    def leave(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: calls.Outcome | None,
    ) -> None:
        """Frees the slot of an admitted attempt.

        With an outcome, the concurrency limit and the estimates are updated.
        """
        if outcome is None:
            self.gate.cancel(attempt.request_id)
        else:
            now = self.timers.now()
            self.gate.finished(attempt.request_id, now, outcome)
        self.admit_waiting()

    def cancel(self, attempt: sidecar_attempts.Attempt) -> None:
        """Removes a cancelled attempt from the queue."""
        if not attempt.admitted:
            self.gate.cancel(attempt.request_id)
            attempt.notify()
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admits every queued attempt that may run now."""
        while (call := self.gate.next(self.timers.now())) is not None:
            attempt = self.waiting.get(call.call_id)
            if attempt is None:
                self.gate.cancel(call.call_id)
                continue
            attempt.admitted = True
            attempt.notify()

    def expire(self) -> None:
        """Refuses queued attempts that can no longer meet their deadline."""
        for call in self.gate.expire(self.timers.now()):
            attempt = self.waiting.get(call.call_id)
            if attempt is not None and attempt.cancelled is None:
                attempt.cancelled = errors.DeadlineUnmet(
                    "The deadline would pass before the answer is complete."
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
            # Cancelled after its admission, before this thread resumed.
            self.gate.cancel(attempt.request_id)
            self.admit_waiting()
            raise attempt.cancelled


def gate_options(policies: manifest.Policies, memory: int) -> queue.Options:
    """Returns the options of the gate.

    Args:
        policies: Policies of the current manifest.
        memory: Size of the engine's prefix cache in tokens; 0 if unknown.
    """
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
    """Returns the description of a chat turn for the queue.

    Args:
        attempt: The attempt.
        resident: Tokens of the program in the engine's cache.
        typical: Tokens that a call of this agent typically generates.
        suspect: Whether the request is suspected of crashing upstreams.
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
    """Returns the description of a plain request for the queue."""
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
    """Returns `max_tokens` of a request body in JSON; 0 if not given."""
    if not parameters:
        return 0
    fields = msgspec.json.decode(parameters)
    limit = fields.get("max_tokens") if isinstance(fields, dict) else None
    return limit if isinstance(limit, int) and limit > 0 else 0
