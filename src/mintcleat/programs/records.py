"""The records of programs, calls and turns.

Snapshots store the fields of Call and Program in the order of their
definition, so the order must not change.
"""

import dataclasses
from typing import NamedTuple

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages

OPEN = "open"
CLOSED = "closed"
EXPIRED = "expired"

RUNNING = "running"
UNKNOWN = "unknown"
FINISHED = "finished"
FAILED = "failed"

NO_SIDECAR = identities.Incarnation("", 0)
NO_USAGE = identities.Usage()


class TurnRecord(NamedTuple):
    """A finished turn.

    Attributes:
        turn: Number of the turn, from 1.
        key: Idempotency key of the request.
        request: Digest of the whole request, to recognize resends.
        attempt: Number of the attempt that ran it.
        usage: Tokens that the engine reported.
        messages: JSON of the new messages and, at the end, of the answer.
        digest: Rolling digest of the history after this turn.
    """

    turn: int
    key: str
    request: bytes
    attempt: int
    usage: identities.Usage
    messages: list[str]
    digest: bytes


@dataclasses.dataclass(slots=True)
class Call:
    """A call whose idempotency key is in use.

    Attributes:
        number: Number of its first attempt, its id within the group.
        program: Id of its program; empty for a call without one.
        digest: Digest of the whole request.
        turn: Number of the chat turn; 0 for a tool call.
        messages: New chat messages; dropped when the turn is finished.
        reserved: Tokens reserved in the budgets of the program and its
            ancestors.
        attempt: Number of the newest attempt.
        sidecar: Sidecar that the newest attempt is bound to.
        address: Stream address of the sidecar.
        nonce: Nonce of the request that got the newest attempt.
        touched: Group clock of the last change.
        state: `running`, `unknown`, `finished` or `failed`.
        answer: The recorded answer, if it is short.
        is_stored: Whether the answer is in the history store instead.
        failure: The recorded failure, if the call has failed.
    """

    number: int
    program: str
    customer: str
    key: str
    digest: bytes
    turn: int
    messages: list[str]
    reserved: int
    idempotent: bool
    attempt: int
    sidecar: identities.Incarnation
    address: str
    nonce: int
    touched: float
    state: str = RUNNING
    answer: bytes = b""
    is_stored: bool = False
    usage: identities.Usage = NO_USAGE
    failure: errors.Failure | None = None


@dataclasses.dataclass(slots=True)
class Program:
    """The record of a program.

    Attributes:
        program: Id of the program.
        parent: Id of the parent program; empty for a root program.
        repeat_limit: Maximum number of recent calls with the same digest; 0
            for no limit.
        created: Unix time of the creation in seconds, for display only.
        started: Group clock of the creation, for the budget in seconds.
        state: `open`, `closed` or `expired`.
        next_turn: Number of the next turn.
        used: Tokens of settled calls, including those of sub-agents.
        reserved: Tokens reserved for calls, including those of sub-agents.
        turns: Turns finished or under way, including those of sub-agents.
        context_tokens: Length of the conversation in tokens, as the engine
            last reported it.
        digest: Rolling digest of the history.
        open_turn_key: Key of the turn under way; empty for none.
        past_key_digests: Short digests of the keys of finished turns; see
            `prefixes`.
        released_nonce: Nonce of the last request that was settled as not run.
        recent_digests: Short digests of recent calls; see `prefixes`.
        ended: Group clock at which the program was closed or expired.
        resident: Sidecar that ran the last turn.
        resident_address: Stream address of `resident`.
        children: Ids of the sub-agents.
        calls: Calls whose key is in use, by key.
    """

    program: str
    customer: str
    agent: str
    klass: str
    parent: str
    budget: identities.Budget
    repeat_limit: int
    created: float
    started: float
    state: str = OPEN
    next_turn: int = 1
    used: int = 0
    reserved: int = 0
    turns: int = 0
    context_tokens: int = 0
    digest: bytes = digests.EMPTY
    open_turn_key: str = ""
    past_key_digests: bytes = b""
    released_nonce: int = 0
    recent_digests: bytes = b""
    ended: float = 0.0
    resident: identities.Incarnation = NO_SIDECAR
    resident_address: str = ""
    children: list[str] = dataclasses.field(default_factory=list)
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)


def view(program: Program) -> program_messages.ProgramView:
    """Returns the view of a program for callers and operators."""
    return program_messages.ProgramView(
        program=program.program,
        customer=program.customer,
        agent=program.agent,
        klass=program.klass,
        parent=program.parent,
        budget=program.budget,
        next_turn=program.next_turn,
        used=program.used,
        reserved=program.reserved,
        state=program.state,
        digest=program.digest,
        resident=program.resident,
        resident_address=program.resident_address,
        created=program.created,
        children=list(program.children),
        context=program.context_tokens,
    )


def root_of(program: str) -> str:
    """Returns the id of the root program, the part before the first dot."""
    return program.partition(".")[0]
