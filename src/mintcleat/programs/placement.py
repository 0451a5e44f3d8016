"""The assignment of programs and calls to program groups."""

from typing import Any

import xxhash

from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import program_messages
from mintcleat.programs import records

_PREFIX = "programs-"


def group_names(count: int) -> list[str]:
    """Returns the names of all program groups."""
    return [f"{_PREFIX}{number}" for number in range(count)]


def group_of(scope: str, count: int) -> str:
    """Returns the group of a scope.

    Args:
        scope: A program id, or the `call_scope` of a call without a program.
            Only the root of a program id counts, so that a call and all
            budgets that it draws on are in one group and change in one
            commit.
        count: Number of program groups.
    """
    root = records.root_of(scope) if "/" not in scope else scope
    return f"{_PREFIX}{xxhash.xxh3_64_intdigest(root.encode()) % count}"


def call_scope(customer: str, key: str) -> str:
    """Returns the scope of a call without a program."""
    return f"{customer}/{key}"


def limit_scope(customer: str) -> str:
    """Returns the scope in which a customer's requests are counted."""
    return f"{customer}/"


def scope_of(message: Any) -> str:
    """Returns the scope of a request to a program group.

    Raises:
        errors.BadRequest: The message is no such request, or has no scope.
    """
    match message:
        case program_messages.CountCall():
            return limit_scope(message.customer)
        case program_messages.RecordStream() | program_messages.FindStream():
            return message.program or call_scope(
                message.customer, message.request
            )
        case program_messages.RenewResidency() if message.programs:
            return message.programs[0]
        case (
            program_messages.BeginCall()
            | program_messages.FindCall()
            | program_messages.FinishCall()
            | program_messages.SettleCall()
        ):
            return message.program or call_scope(message.customer, message.key)
        case (
            program_messages.OpenTurn()
            | program_messages.CloseTurn()
            | program_messages.CreateProgram()
            | program_messages.CloseProgram()
            | program_messages.ShowProgram()
            | program_messages.FetchHistory()
            | content_messages.StageContent()
        ):
            return message.program
    raise errors.BadRequest(
        f"{type(message).__name__} does not name a program or a call."
    )
