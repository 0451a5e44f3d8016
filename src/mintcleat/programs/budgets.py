"""Budgets: reserve at the begin of a call, settle at its end.

A sub-agent draws on its own budget and on that of every ancestor, so a
program cannot outspend its budget by splitting itself up.
"""

from collections.abc import Sequence

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.programs import records


def tokens_left(chain: Sequence[records.Program]) -> int | None:
    """Returns the tokens that the tightest budget has left; None: no limit."""
    limits = [
        program.budget.tokens - program.used - program.reserved
        for program in chain
        if program.budget.tokens
    ]
    return min(limits, default=None)


def check(
    chain: Sequence[records.Program], turn: int, reserve: int, clock: float
) -> errors.BudgetExhausted | None:
    """Returns why the budgets do not cover a call, or None.

    Args:
        chain: The program and its ancestors.
        turn: Number of the chat turn; 0 for a tool call.
        reserve: Tokens that the call wants to hold.
        clock: The group's clock.
    """
    for program in chain:
        budget = program.budget
        if budget.seconds and clock - program.started >= budget.seconds:
            return errors.BudgetExhausted(
                f"Program {program.program} has used its {budget.seconds:g} s."
            )
        if turn and budget.turns and program.turns >= budget.turns:
            return errors.BudgetExhausted(
                f"Program {program.program} has used its {budget.turns} turns."
            )
    left = tokens_left(chain)
    if left is None:
        return None
    if reserve > left or (turn and left <= 0):
        return errors.BudgetExhausted(
            f"The call needs {reserve} tokens and {max(left, 0)} are left."
        )
    return None


def reserve_of(
    chain: Sequence[records.Program], turn: int, reserve: int
) -> int:
    """Returns the tokens to hold for a call that `check` let pass.

    A turn that asks for nothing holds all that is left: were it granted
    without a hold, two sub-agents could each spend the same remainder.
    """
    left = tokens_left(chain)
    if left is not None and turn and not reserve:
        return left
    return reserve


def hold(chain: Sequence[records.Program], call: records.Call) -> None:
    """Takes the call's tokens and its turn out of what is left."""
    for program in chain:
        program.reserved += call.reserved
        program.turns += 1 if call.turn else 0


def release(chain: Sequence[records.Program], call: records.Call) -> None:
    """Gives back tokens and turn of a call that did not run."""
    for program in chain:
        program.reserved -= call.reserved
        program.turns -= 1 if call.turn else 0
    call.reserved = 0


def settle(chain: Sequence[records.Program], call: records.Call) -> None:
    """Replaces the hold by what the call really used."""
    spent = spent_tokens(call.usage, chain[0].context if call.turn else 0)
    for program in chain:
        program.reserved -= call.reserved
        program.used += spent
    call.reserved = 0


def write_off(chain: Sequence[records.Program], call: records.Call) -> None:
    """Counts the whole hold as used: nobody will learn what was spent."""
    for program in chain:
        program.reserved -= call.reserved
        program.used += call.reserved
    call.reserved = 0


def spent_tokens(usage: identities.Usage, context: int) -> int:
    """Returns the tokens of a call that count against budgets.

    Each turn sends the whole conversation again. Counted are the tokens that
    are new to the program, so that a budget says how long a history may get,
    and the entry can hold enough for a turn before it knows the prompt.

    Args:
        usage: As the engine reported it.
        context: Tokens of the conversation up to the turn before.
    """
    new = max(0, usage.prompt_tokens - context)
    return new + usage.completion_tokens
