"""The history checker detects each kind of violation."""

from collections.abc import Callable

import pytest

import histories
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages

NO_SIDECAR = identities.Incarnation("", 0)


def view(
    next_turn: int, used: int, reserved: int = 0
) -> program_messages.ProgramView:
    return program_messages.ProgramView(
        "p",
        "farm",
        "triage",
        "batch",
        "",
        identities.Budget(tokens=50),
        next_turn,
        used,
        reserved,
        "open",
        b"",
        NO_SIDECAR,
        "",
        0.0,
        [],
    )


def turns_of(pairs: list[tuple[str, str]]) -> list[identities.Turn]:
    digest = digests.EMPTY
    turns = []
    for number, pair in enumerate(pairs, start=1):
        digest = digests.chain(digest, pair)
        turns.append(identities.Turn(number, list(pair), digest))
    return turns


def correct_record() -> histories.Record:
    """Returns two turns, a tool call of unknown outcome and a refused one."""
    record = histories.Record()
    ran, unknown, not_run = errors.RAN, errors.UNKNOWN, errors.NOT_RUN
    record.operations = [
        histories.Operation("p", "a", 1, True, "s1", 10, 20, ran, "r1"),
        histories.Operation("p", "b", 2, True, "s2", 30, 40, ran, "r2"),
        histories.Operation("p", "t", 0, False, "s3", 50, 60, unknown),
        histories.Operation("p", "u", 0, False, "s4", 70, 80, not_run),
    ]
    record.runs = [
        histories.Run("p", "a", 1, 1, 12, 14, 5),
        histories.Run("p", "b", 2, 2, 32, 34, 5),
        histories.Run("p", "t", 0, 3, 52, 54, 5),
    ]
    record.reads = [
        histories.Read(5, 6, view(1, 0)),
        histories.Read(11, 25, view(1, 0)),
        histories.Read(41, 42, view(3, 10)),
    ]
    turns = turns_of([("s1", "r1"), ("s2", "r2")])
    record.finals = {"p": histories.Final(view(3, 10, 10), turns)}
    return record


def run_before_the_turn_before(record: histories.Record) -> None:
    record.runs[1] = record.runs[1]._replace(start=13)
    record.operations[1] = record.operations[1]._replace(start=11)


def run_an_action_twice(record: histories.Record) -> None:
    record.runs.append(record.runs[2]._replace(attempt=4, start=55, end=56))


def run_a_refused_call(record: histories.Record) -> None:
    record.runs.append(histories.Run("p", "u", 0, 5, 72, 73, 5))


def run_a_refused_call_later(record: histories.Record) -> None:
    record.runs.append(histories.Run("p", "u", 0, 5, 90, 91, 5))


def answer_with_that_of_another_call(record: histories.Record) -> None:
    record.operations.append(
        record.operations[0]._replace(start=21, end=22, answer="r2")
    )


def answer_a_call_that_never_ran(record: histories.Record) -> None:
    record.runs = [run for run in record.runs if run.key != "b"]


def exceed_the_budget(record: histories.Record) -> None:
    record.reads[2] = histories.Read(41, 42, view(3, 45, 10))


def omit_used_tokens(record: histories.Record) -> None:
    record.finals["p"] = record.finals["p"]._replace(view=view(3, 5))


def lose_a_turn(record: histories.Record) -> None:
    turns = turns_of([("s1", "r1")])
    record.finals["p"] = record.finals["p"]._replace(turns=turns)


def record_a_late_answer(record: histories.Record) -> None:
    turns = turns_of([("s1", "late"), ("s2", "r2")])
    record.finals["p"] = record.finals["p"]._replace(turns=turns)


def mix_in_a_turn_of_another_program(record: histories.Record) -> None:
    turns = turns_of([("s1", "r1"), ("s2", "r2"), ("of q", "r3")])
    record.finals["p"] = record.finals["p"]._replace(turns=turns)


def break_the_digest(record: histories.Record) -> None:
    record.finals["p"].turns[1] = (
        record.finals["p"].turns[1]._replace(digest=b"x" * 16)
    )


def read_without_an_acknowledged_turn(record: histories.Record) -> None:
    record.reads.append(histories.Read(43, 44, view(2, 5)))


def read_less_than_an_earlier_read(record: histories.Record) -> None:
    record.reads.append(histories.Read(31, 33, view(3, 10)))
    record.reads.append(histories.Read(35, 36, view(2, 5)))


def read_a_turn_not_yet_sent(record: histories.Record) -> None:
    record.reads.append(histories.Read(26, 27, view(3, 10)))


FAULTS: list[tuple[str, Callable[[histories.Record], None]]] = [
    ("order", run_before_the_turn_before),
    ("at_most_once", run_an_action_twice),
    ("not_run", run_a_refused_call),
    ("not_run", run_a_refused_call_later),
    ("answer", answer_with_that_of_another_call),
    ("answer", answer_a_call_that_never_ran),
    ("budget", exceed_the_budget),
    ("budget", omit_used_tokens),
    ("history", lose_a_turn),
    ("history", record_a_late_answer),
    ("history", mix_in_a_turn_of_another_program),
    ("history", break_the_digest),
    ("stale_read", read_without_an_acknowledged_turn),
    ("stale_read", read_less_than_an_earlier_read),
    ("stale_read", read_a_turn_not_yet_sent),
]


def test_correct_record_has_no_violation() -> None:
    assert histories.check(correct_record()) == []


@pytest.mark.parametrize(("kind", "inject"), FAULTS)
def test_injected_fault_is_detected(
    kind: str, inject: Callable[[histories.Record], None]
) -> None:
    record = correct_record()
    inject(record)
    assert kind in {found.kind for found in histories.check(record)}
