"""Budgets: tokens are reserved when a call begins and settled when it ends.

A call of a sub-agent counts against its own budget and against that of each
ancestor, so a program cannot exceed its budget by starting sub-agents.
"""

from collections.abc import Sequence

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.programs import records


def tokens_left(lineage: Sequence[records.Program]) -> int | None:
    """Returns the tokens left in the tightest budget; None if unlimited."""
    limits = [
        program.budget.tokens - program.used - program.reserved
        for program in lineage
        if program.budget.tokens
    ]
    return min(limits, default=None)


def check(
    lineage: Sequence[records.Program], turn: int, reserve: int, clock: float
) -> errors.BudgetExhausted | None:
    """Returns the error if a budget does not cover a call, otherwise None.

    Args:
        lineage: The program and its ancestors.
        turn: Number of the chat turn; 0 for a tool call.
        reserve: Tokens to reserve for the call.
        clock: The group's clock in seconds.
    """
    for program in lineage:
        budget = program.budget
        if budget.seconds and clock - program.started >= budget.seconds:
            return errors.BudgetExhausted(
                f"Program {program.program} has used its budget of"
                f" {budget.seconds:g} s."
            )
        if turn and budget.turns and program.turns >= budget.turns:
            return errors.BudgetExhausted(
                f"Program {program.program} has used its budget of"
                f" {budget.turns} turns."
            )
    left = tokens_left(lineage)
    if left is None:
        return None
    if reserve > left or (turn and left <= 0):
        return errors.BudgetExhausted(
            f"The call reserves {reserve} tokens, but only {max(left, 0)} of"
            " the budget are left."
        )
    return None


def tokens_to_reserve(
    lineage: Sequence[records.Program], turn: int, reserve: int
) -> int:
    """Returns the tokens to reserve for a call that passed `check`.

    A turn with `reserve` 0 reserves all tokens left. Without a reservation
    two sub-agents could each spend the same tokens.
    """
    left = tokens_left(lineage)
    if left is not None and turn and not reserve:
        return left
    return reserve


def reserve(lineage: Sequence[records.Program], call: records.Call) -> None:
    """Reserves the call's tokens and counts its turn in all budgets."""
    for program in lineage:
        program.reserved += call.reserved
        program.turns += 1 if call.turn else 0


def release(lineage: Sequence[records.Program], call: records.Call) -> None:
    """Releases the tokens and the turn of a call that did not run."""
    for program in lineage:
        program.reserved -= call.reserved
        program.turns -= 1 if call.turn else 0
    call.reserved = 0


def settle(lineage: Sequence[records.Program], call: records.Call) -> None:
    """Replaces the call's reservation by the tokens that it used."""
    spent = spent_tokens(
        call.usage, lineage[0].context_tokens if call.turn else 0
    )
    for program in lineage:
        program.reserved -= call.reserved
        program.used += spent
    call.reserved = 0


def write_off(lineage: Sequence[records.Program], call: records.Call) -> None:
    """Counts the whole reservation as used, as the real usage is unknown."""
    for program in lineage:
        program.reserved -= call.reserved
        program.used += call.reserved
    call.reserved = 0


def spent_tokens(usage: identities.Usage, context: int) -> int:
    """Returns the tokens of a call that count against budgets.

    Each turn repeats the whole conversation in its prompt, but only tokens
    that are new to the program count. A budget thus limits the length of the
    history, and an entry can reserve enough before it knows the prompt.

    Args:
        usage: Usage that the engine reported.
        context: Tokens of the conversation before this turn.
    """
    new = max(0, usage.prompt_tokens - context)
    return new + usage.completion_tokens
