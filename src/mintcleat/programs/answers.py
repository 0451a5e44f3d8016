"""Recorded answers and turns: what is in memory and what in the store."""

from mintcleat.programs import histories
from mintcleat.programs import records
from mintcleat.programs import state

# Keys are remembered for a day; whole answers of a day do not fit in memory.
MAX_ANSWER_IN_MEMORY = 256


def name_of(call: records.Call) -> str:
    """Returns the name of a call's answer in the history store."""
    return f"answer/{call.attempt}"


def keep(group: state.Group, call: records.Call, answer: bytes) -> None:
    """Keeps a short answer in memory and a long one in the store."""
    if len(answer) <= MAX_ANSWER_IN_MEMORY:
        call.answer = answer
        return
    call.is_stored = True
    group.histories.append(name_of(call), answer)


def load(group: state.Group, call: records.Call) -> bytes:
    """Returns the answer of a finished call."""
    if not call.is_stored:
        return call.answer
    (answer,) = group.histories.read(name_of(call), 1, 1)
    return answer


def load_turn(
    group: state.Group, program: str, turn: int
) -> records.TurnRecord:
    """Returns a finished turn of a program."""
    (record,) = group.histories.read(program, turn, turn)
    return histories.decode(record)
