"""Recorded answers and turns, in memory or in the history store."""

from mintcleat.programs import histories
from mintcleat.programs import records
from mintcleat.programs import state

# Longer answers go to the history store: calls are kept for a day, and all
# answers of a day do not fit in memory.
MAX_INLINE_ANSWER_BYTES = 256


def sequence_name(call: records.Call) -> str:
    """Returns the name of the sequence that holds a call's answer."""
    return f"answer/{call.attempt}"


def store(group: state.Group, call: records.Call, answer: bytes) -> None:
    """Records an answer, in memory if it is short."""
    if len(answer) <= MAX_INLINE_ANSWER_BYTES:
        call.answer = answer
        return
    call.is_stored = True
    group.histories.append(sequence_name(call), answer)


def load(group: state.Group, call: records.Call) -> bytes:
    """Returns the recorded answer of a finished call."""
    if not call.is_stored:
        return call.answer
    (answer,) = group.histories.read(sequence_name(call), 1, 1)
    return answer


def load_turn(
    group: state.Group, program: str, turn: int
) -> records.TurnRecord:
    """Returns the record of a finished turn."""
    (record,) = group.histories.read(program, turn, turn)
    return histories.decode(record)
