"""A checker of the history of a concurrent run.

A test records every operation of a caller, every execution at an upstream,
every read and the final state of the programs. Times come from one counter, so
that they are totally ordered.
"""

from collections.abc import Iterator
import itertools
from typing import NamedTuple

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages


class Operation(NamedTuple):
    """A request of a caller and its outcome.

    Attributes:
        turn: Number of the chat turn; 0 for a tool call.
        sent: The message that was sent.
        start: Time at which it was sent.
        end: Time at which the caller got its outcome.
        outcome: `ran`, `not_run` or `unknown`.
        answer: The answer, if it ran.
    """

    program: str
    key: str
    turn: int
    idempotent: bool
    sent: str
    start: int
    end: int
    outcome: str
    answer: str = ""


class Run(NamedTuple):
    """One execution at an upstream, from `start` to `end`."""

    program: str
    key: str
    turn: int
    attempt: int
    start: int
    end: int
    tokens: int


class Read(NamedTuple):
    """The reply to a ShowProgram, with the times of request and reply."""

    start: int
    end: int
    view: program_messages.ProgramView


class Final(NamedTuple):
    """The state of a program at the end of the run."""

    view: program_messages.ProgramView
    turns: list[identities.Turn]


class Violation(NamedTuple):
    """A violated guarantee.

    Attributes:
        kind: `order`, `at_most_once`, `not_run`, `budget`, `history`,
            `answer` or `stale_read`.
    """

    kind: str
    detail: str


class Record:
    """The recorded history of a run."""

    def __init__(self) -> None:
        self.counter = itertools.count(1)
        self.operations: list[Operation] = []
        self.runs: list[Run] = []
        self.reads: list[Read] = []
        self.finals: dict[str, Final] = {}

    def now(self) -> int:
        """Returns the next time."""
        return next(self.counter)


def check(record: Record) -> list[Violation]:
    """Returns all violations in the history of a run."""
    return [
        *_check_order(record),
        *_check_at_most_once(record),
        *_check_not_run(record),
        *_check_answers(record),
        *_check_budget(record),
        *_check_history(record),
        *_check_reads(record),
    ]


def _check_order(record: Record) -> Iterator[Violation]:
    """A turn runs only after the turn before it has finished."""
    ended: dict[tuple[str, int], int] = {}
    for run in record.runs:
        if run.turn:
            call_key = (run.program, run.turn)
            ended[call_key] = min(run.end, ended.get(call_key, run.end))
    for run in record.runs:
        if run.turn > 1:
            before = ended.get((run.program, run.turn - 1))
            if before is None or before > run.start:
                yield Violation(
                    "order", f"{run} started before the turn before it ended"
                )


def _check_at_most_once(record: Record) -> Iterator[Violation]:
    once = {(o.program, o.key) for o in record.operations if not o.idempotent}
    counts: dict[tuple[str, str], int] = {}
    for run in record.runs:
        call_key = (run.program, run.key)
        counts[call_key] = counts.get(call_key, 0) + 1
    for call_key in once:
        if counts.get(call_key, 0) > 1:
            yield Violation(
                "at_most_once", f"{call_key} ran {counts[call_key]} times"
            )


def _check_not_run(record: Record) -> Iterator[Violation]:
    """Each run belongs to a request that was not reported as not run."""
    for run in record.runs:
        matching = [
            operation
            for operation in record.operations
            if (operation.program, operation.key) == (run.program, run.key)
            and operation.start < run.start
            and operation.outcome != errors.NOT_RUN
        ]
        if not matching:
            yield Violation("not_run", f"{run} was refused or never sent")


def _check_answers(record: Record) -> Iterator[Violation]:
    """All requests with the same key get the same answer."""
    answers: dict[tuple[str, str], str] = {}
    ran = {(run.program, run.key) for run in record.runs}
    for operation in record.operations:
        if operation.outcome != errors.RAN:
            continue
        call_key = (operation.program, operation.key)
        first = answers.setdefault(call_key, operation.answer)
        if first != operation.answer:
            yield Violation("answer", f"{call_key} has two different answers")
        if call_key not in ran:
            yield Violation("answer", f"{call_key} was answered but never ran")


def _check_budget(record: Record) -> Iterator[Violation]:
    views = [read.view for read in record.reads]
    views += [final.view for final in record.finals.values()]
    for view in views:
        limit = view.budget.tokens
        if limit and view.used + view.reserved > limit:
            yield Violation(
                "budget", f"{view.program} exceeds its budget of {limit}"
            )
    for name, final in record.finals.items():
        spent = _acknowledged_tokens(record, name)
        if final.view.used < spent:
            yield Violation(
                "budget",
                f"{name} records {final.view.used} of {spent} used tokens",
            )


def _acknowledged_tokens(record: Record, root: str) -> int:
    """Returns the minimum of tokens used by the answered calls of a root."""
    answered = {
        (operation.program, operation.key)
        for operation in record.operations
        if operation.outcome == errors.RAN
        and (operation.program + ".").startswith(root + ".")
    }
    least: dict[tuple[str, str], int] = {}
    for run in record.runs:
        call_key = (run.program, run.key)
        if call_key in answered:
            least[call_key] = min(run.tokens, least.get(call_key, run.tokens))
    return sum(least.values())


def _check_history(record: Record) -> Iterator[Violation]:
    """Histories are complete, unmixed and contain each acknowledged turn."""
    sent = {(o.program, o.turn, o.sent) for o in record.operations if o.turn}
    for name, final in record.finals.items():
        digest = digests.EMPTY
        for number, turn in enumerate(final.turns, start=1):
            digest = digests.chain(digest, turn.messages)
            if turn.turn != number or turn.digest != digest:
                yield Violation(
                    "history",
                    f"{name} has a wrong number or digest at turn {number}",
                )
            if (name, number, turn.messages[0]) not in sent:
                yield Violation(
                    "history", f"{name} has an unsent turn {number}"
                )
    for operation in record.operations:
        if not operation.turn or operation.outcome != errors.RAN:
            continue
        turns = record.finals[operation.program].turns
        expected = [operation.sent, operation.answer]
        if (
            len(turns) < operation.turn
            or turns[operation.turn - 1].messages != expected
        ):
            yield Violation("history", f"{operation} is missing")


def _check_reads(record: Record) -> Iterator[Violation]:
    """Reads of the turn counter are linearizable.

    The counter only increases and each turn is one write, so three conditions
    suffice: no read returns less than an earlier one, none misses a turn that
    was acknowledged before it, and none shows a turn that was not sent yet.
    """
    for name in {read.view.program for read in record.reads}:
        reads = [r for r in record.reads if r.view.program == name]
        turns = [o for o in record.operations if o.program == name and o.turn]
        for read in reads:
            if not _is_current(read, reads, turns):
                yield Violation("stale_read", f"{read} of {name}")


def _is_current(read: Read, reads: list[Read], turns: list[Operation]) -> bool:
    shown = read.view.next_turn
    if any(r.end < read.start and r.view.next_turn > shown for r in reads):
        return False
    for turn in turns:
        is_acknowledged = turn.outcome == errors.RAN and turn.end < read.start
        if is_acknowledged and turn.turn >= shown:
            return False
    sent = {turn.turn for turn in turns if turn.start < read.end}
    return all(number in sent for number in range(1, shown))
