"""Attempts at one sidecar: what may run, what runs, what will never run.

An attempt number of a scope only grows. A scope is a program id, or
`partner/key` for a call without a program.
"""

import collections
from typing import Any
from typing import NamedTuple

from eventlet import event

from mintcleat.domain import messages
from mintcleat.ports import timers as timers_port

QUEUED = "queued"
RUNNING = "running"
ENDED = "ended"

Outcome = (
    messages.Finished | messages.ToolAnswer | messages.Refused | messages.Broken
)


def scope_of(program: str, partner: str, key: str) -> str:
    """Returns the scope whose group keeps a call."""
    return program or f"{partner}/{key}"


class Attempt:
    """One attempt and its answer so far.

    Attributes:
        message: The RunTurn or RunTool that asked for it.
        request: Id under which the engine knows it.
        pieces: Parts of the answer; `total` counts their characters.
        outcome: The last message for every watcher, once there is one.
        until: Monotonic time at which the caller's deadline ends.
    """

    def __init__(self, message: Any, request: str, until: float) -> None:
        self.message = message
        self.request = request
        self.until = until
        self.number: int = message.attempt
        self.program: str = message.program
        self.scope = scope_of(message.program, message.partner, message.key)
        self.state = QUEUED
        self.pieces: list[str] = []
        self.total = 0
        self.outcome: Outcome | None = None
        self.watchers = 0
        self.cancelled: Any = None
        self.changed = event.Event()

    def add(self, text: str) -> None:
        """Appends generated text."""
        self.pieces.append(text)
        self.total += len(text)
        self.notify()

    def end(self, outcome: Outcome) -> None:
        """Gives the attempt its one outcome; a second one is ignored."""
        if self.outcome is None:
            self.state = ENDED
            self.outcome = outcome
            self.notify()

    def notify(self) -> None:
        """Wakes whatever waits for a change."""
        changed, self.changed = self.changed, event.Event()
        changed.send()


class _Record(NamedTuple):
    ended: float
    scope: str
    number: int


class AttemptTable:
    """Every attempt seen here, and the seals.

    A scope is forgotten `retention` seconds after its last attempt ended.
    A copy of a frame that comes later than that would run again. Streams
    close a silent connection within seconds, so no frame is that old, and
    the table holds no more than the calls of `retention` seconds.
    """

    def __init__(
        self, timers: timers_port.Timers, retention: float, keep_answer: float
    ) -> None:
        self.timers = timers
        self.retention = retention
        self.keep_answer = keep_answer
        self.attempts: dict[str, dict[int, Attempt]] = {}
        self.states: dict[str, dict[int, str]] = {}
        self.answered: collections.deque[_Record] = collections.deque()
        self.closed: collections.deque[_Record] = collections.deque()

    def find(self, scope: str, number: int) -> Attempt | None:
        """Returns the attempt while its answer is kept."""
        return self.attempts.get(scope, {}).get(number)

    def state(self, scope: str, number: int) -> str:
        """Returns `never`, `running`, `ran`, `unknown` or an empty text."""
        if self.find(scope, number) is None:
            return self.states.get(scope, {}).get(number, "")
        return self.states.get(scope, {}).get(number, "running")

    def add(self, attempt: Attempt) -> None:
        """Registers an attempt that may run."""
        self.attempts.setdefault(attempt.scope, {})[attempt.number] = attempt

    def seal(self, scope: str, number: int) -> None:
        """Makes sure that the attempt never runs here."""
        self._conclude(scope, number, "never")

    def conclude(self, attempt: Attempt, state: str) -> None:
        """Keeps the final state of an attempt that was registered."""
        self._conclude(attempt.scope, attempt.number, state)

    def running(self) -> list[Attempt]:
        """Returns the attempts without an outcome."""
        return [
            attempt
            for group in self.attempts.values()
            for attempt in group.values()
            if attempt.outcome is None
        ]

    def forget_old(self) -> None:
        """Drops answers and states that nobody can ask for any more."""
        now = self.timers.now()
        while self.answered and self.answered[0].ended < now - self.keep_answer:
            record = self.answered.popleft()
            _remove(self.attempts, record)
        while self.closed and self.closed[0].ended < now - self.retention:
            record = self.closed.popleft()
            _remove(self.states, record)

    def _conclude(self, scope: str, number: int, state: str) -> None:
        known = self.states.setdefault(scope, {})
        if number in known:
            return
        known[number] = state
        record = _Record(self.timers.now(), scope, number)
        self.answered.append(record)
        self.closed.append(record)


def _remove(table: dict[str, dict[int, Any]], record: _Record) -> None:
    group = table.get(record.scope)
    if group is None:
        return
    group.pop(record.number, None)
    if not group:
        del table[record.scope]
