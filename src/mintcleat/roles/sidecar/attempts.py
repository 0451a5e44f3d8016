"""The attempts that a sidecar has received, and their states.

A scope is a program id, or `customer/key` for a call without a program.
Attempt numbers increase within a program group.
"""

import collections
from typing import Any
from typing import NamedTuple

from eventlet import event

from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import timers as timers_port
from mintcleat.programs import placement

QUEUED = "queued"
RUNNING = "running"
ENDED = "ended"

# States of an attempt in `call_messages.AttemptState`.
NEVER = "never"
RAN = "ran"
UNKNOWN = "unknown"

Outcome = (
    call_messages.AttemptFinished
    | call_messages.ToolAnswer
    | call_messages.AttemptRefused
    | call_messages.AttemptFailed
)


def scope_of(program: str, customer: str, key: str) -> str:
    """Returns the scope of a call, which determines its group."""
    return program or placement.call_scope(customer, key)


class Attempt:
    """One attempt and its answer so far.

    Attributes:
        message: The RunTurn or RunTool that requested it.
        request_id: Id of the request at the engine and in the queue.
        prompt: All messages of a chat turn. They are copied when the attempt
            is created: the stored history may be dropped or replaced while
            the attempt waits, and the prompt would be incomplete.
        chunks: Parts of the answer; `total` is their length in characters.
        software: Version of the software that makes the answer; empty if not
            stated. A continued answer's is given, others' is that of the first
            part.
        outcome: The final message to every watcher; None until the end.
        deadline_at: Monotonic time of the caller's deadline.
        admitted: Whether it was admitted to the upstream.
        cancelled: Reason of the cancellation; None if not cancelled.
        started_at: Monotonic time at which it started at the upstream.
        slot_released: Whether its slot at the upstream was freed.
        first_text_at: Monotonic time of the first text; 0 before it.
        usage: Token counts that the engine reported at the end.
        changed: Sent, and replaced, at every change of the attempt.
    """

    def __init__(
        self, message: Any, request_id: str, deadline_at: float
    ) -> None:
        self.message = message
        self.request_id = request_id
        self.deadline_at = deadline_at
        self.number: int = message.attempt
        self.program: str = message.program
        self.scope = scope_of(message.program, message.customer, message.key)
        self.state = QUEUED
        self.prompt: list[str] = []
        self.chunks: list[str] = []
        self.software = ""
        if isinstance(message, call_messages.RunTurn):
            self.software = message.software
        self.total = 0
        self.outcome: Outcome | None = None
        self.watchers = 0
        self.admitted = False
        self.cancelled: errors.MintcleatError | None = None
        self.started_at = 0.0
        self.slot_released = False
        self.first_text_at = 0.0
        self.usage = identities.Usage()
        self.changed = event.Event()

    def add(self, text: str, software: str) -> None:
        """Appends generated text.

        Raises:
            errors.OtherSoftware: Other software made it than the text before.
        """
        if (self.chunks or self.software) and software != self.software:
            raise errors.OtherSoftware(
                f"The answer goes on with software {software!r}, but began "
                f"with {self.software!r}."
            )
        self.software = software
        self.chunks.append(text)
        self.total += len(text)
        self.notify()

    def end(self, outcome: Outcome) -> None:
        """Sets the outcome, unless there is one already."""
        if self.outcome is None:
            self.outcome = outcome
            self.notify()

    def notify(self) -> None:
        """Wakes the green threads that wait for a change."""
        changed, self.changed = self.changed, event.Event()
        changed.send()


class _Expiry(NamedTuple):
    """When an attempt ended, which determines how long it is kept."""

    ended: float
    scope: str
    number: int


class AttemptTable:
    """The attempts that this sidecar has received or sealed.

    The state of an attempt is dropped `retention` seconds after its end, which
    bounds the size of the table. This is safe for two reasons:

    - A repeated request would run again only if it arrived later than that.
      Idle connections are closed within seconds, so none is that late.
    - An entry that asks about a dropped attempt must not get `never`, or it
      would run the call twice. The table keeps the highest dropped number of
      each program group and reports attempts up to it as `unknown`.

    Attributes:
        groups: Number of program groups.
        retention: Seconds for which the state of an ended attempt is kept.
        answer_retention: Seconds for which its answer is kept.
        attempts: Attempts with their answers, by scope and number.
        states: Final states, by scope and number.
        highest_forgotten: Highest dropped attempt number by group.
        kept_answers: Ended attempts in `attempts`, the oldest first.
        kept_states: Attempts in `states`, the oldest first.
    """

    def __init__(
        self,
        timers: timers_port.Timers,
        groups: int,
        retention: float,
        answer_retention: float,
    ) -> None:
        self.timers = timers
        self.groups = groups
        self.retention = retention
        self.answer_retention = answer_retention
        self.attempts: dict[str, dict[int, Attempt]] = {}
        self.states: dict[str, dict[int, str]] = {}
        self.highest_forgotten: dict[str, int] = {}
        self.kept_answers: collections.deque[_Expiry] = collections.deque()
        self.kept_states: collections.deque[_Expiry] = collections.deque()

    def find(self, scope: str, number: int) -> Attempt | None:
        """Returns the attempt; None if its answer is not kept here."""
        return self.attempts.get(scope, {}).get(number)

    def state(self, scope: str, number: int) -> str:
        """Returns the state for an AttemptState; empty if never received."""
        known = self.states.get(scope, {}).get(number)
        if known is not None:
            return known
        if self.find(scope, number) is not None:
            return RUNNING
        group = placement.group_of(scope, self.groups)
        return UNKNOWN if number <= self.highest_forgotten.get(group, 0) else ""

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that may run."""
        self.attempts.setdefault(attempt.scope, {})[attempt.number] = attempt

    def seal(self, scope: str, number: int) -> str:
        """Seals an attempt that was not received; returns its state."""
        state = self.state(scope, number)
        if not state:
            self.conclude(scope, number, NEVER)
        return state or NEVER

    def conclude(self, scope: str, number: int, state: str) -> None:
        """Sets the final state of an attempt, unless it has one."""
        known = self.states.setdefault(scope, {})
        if number in known:
            return
        known[number] = state
        expiry = _Expiry(self.timers.now(), scope, number)
        self.kept_answers.append(expiry)
        self.kept_states.append(expiry)

    def in_flight(self) -> list[Attempt]:
        """Returns the attempts without an outcome."""
        return [
            attempt
            for group in self.attempts.values()
            for attempt in group.values()
            if attempt.outcome is None
        ]

    def forget_old(self) -> None:
        """Drops answers and states after their retention time."""
        now = self.timers.now()
        while (
            self.kept_answers
            and self.kept_answers[0].ended < now - self.answer_retention
        ):
            _remove(self.attempts, self.kept_answers.popleft())
        while (
            self.kept_states
            and self.kept_states[0].ended < now - self.retention
        ):
            expiry = self.kept_states.popleft()
            _remove(self.states, expiry)
            group = placement.group_of(expiry.scope, self.groups)
            highest = self.highest_forgotten.get(group, 0)
            self.highest_forgotten[group] = max(highest, expiry.number)


def _remove(table: dict[str, dict[int, Any]], expiry: _Expiry) -> None:
    group = table.get(expiry.scope)
    if group is None:
        return
    group.pop(expiry.number, None)
    if not group:
        del table[expiry.scope]
