"""Attempts at one sidecar: what may run, what runs, what will never run.

A scope is a program id, or `customer/key` for a call without a program. The
attempt numbers of a program group only grow.
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

# States of an attempt as `call_messages.Sealed` tells them.
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
    """Returns the scope whose group keeps a call."""
    return program or placement.call_scope(customer, key)


class Attempt:
    """One attempt and its answer so far.

    Attributes:
        message: The RunTurn or RunTool that asked for it.
        request: Id under which the engine and the gate know it.
        prompt: All messages of a chat turn. Taken when the attempt is made:
            while it waits, the history kept here may be dropped or replaced,
            and the engine would answer half a conversation.
        pieces: Parts of the answer; `total` counts their characters.
        outcome: The last message for every watcher, once there is one.
        until: Monotonic time at which the caller's deadline ends.
        admitted: Whether the gate let it go to the upstream.
        cancelled: Why it must stop, once it must.
        started: Monotonic time at which it went to the upstream.
        left: Whether it has given its place at the upstream back.
        first: Monotonic time of the first text; 0 before it.
        usage: Tokens as the engine told them at the end.
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

    def add(self, text: str) -> None:
        """Appends generated text."""
        self.chunks.append(text)
        self.total += len(text)
        self.notify()

    def end(self, outcome: Outcome) -> None:
        """Gives the attempt its one outcome; a second one is ignored."""
        if self.outcome is None:
            self.outcome = outcome
            self.notify()

    def notify(self) -> None:
        """Wakes whatever waits for a change."""
        changed, self.changed = self.changed, event.Event()
        changed.send()


class _Expiry(NamedTuple):
    ended: float
    scope: str
    number: int


class AttemptTable:
    """Every attempt seen here, and the seals.

    A state is forgotten `retention` seconds after the attempt ended, which
    bounds the table to the calls of that time. Two things stay safe:

    - A copy of a run frame would run again only if it came later than that.
      Streams close a silent connection within seconds, so none is that old.
    - An entry that asks about a forgotten attempt must not hear `never`, or
      an action would be done twice. The highest forgotten number of each
      program group is kept, and what is not above it is `unknown`.
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
        """Returns the attempt while its answer is kept."""
        return self.attempts.get(scope, {}).get(number)

    def state(self, scope: str, number: int) -> str:
        """Returns a state of `call_messages.Sealed`; empty for new."""
        known = self.states.get(scope, {}).get(number)
        if known is not None:
            return known
        if self.find(scope, number) is not None:
            return RUNNING
        group = placement.group_of(scope, self.groups)
        return UNKNOWN if number <= self.highest_forgotten.get(group, 0) else ""

    def add(self, attempt: Attempt) -> None:
        """Registers an attempt that may run."""
        self.attempts.setdefault(attempt.scope, {})[attempt.number] = attempt

    def seal(self, scope: str, number: int) -> str:
        """Seals an attempt unless it is known; returns its state."""
        state = self.state(scope, number)
        if not state:
            self.conclude(scope, number, NEVER)
        return state or NEVER

    def conclude(self, scope: str, number: int, state: str) -> None:
        """Keeps the final state of an attempt; the first one stays."""
        known = self.states.setdefault(scope, {})
        if number in known:
            return
        known[number] = state
        expiry = _Expiry(self.timers.now(), scope, number)
        self.kept_answers.append(expiry)
        self.kept_states.append(expiry)

    def under_way(self) -> list[Attempt]:
        """Returns the attempts without an outcome."""
        return [
            attempt
            for group in self.attempts.values()
            for attempt in group.values()
            if attempt.outcome is None
        ]

    def forget_old(self) -> None:
        """Drops answers and states that are past their time."""
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
