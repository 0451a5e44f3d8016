"""What a group remembers of its programs and calls."""

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

NOWHERE = identities.Incarnation("", 0)
NO_USAGE = identities.Usage()


class TurnRecord(NamedTuple):
    """A finished turn, with what a resend of it is told by.

    Attributes:
        request: Digest of the caller's whole request.
        messages: JSON texts, the answer last.
        digest: Rolling digest after this turn.
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
    """A call that holds its key.

    Attributes:
        number: Its first attempt, which names it for good in its group.
        program: Id of its program; empty for a call without one.
        messages: New chat messages, kept until the turn is finished.
        reserved: Tokens held on the program and its ancestors.
        state: `running`, `unknown`, `finished` or `failed`.
        nonce: Number of the sending that got the attempt.
        touched: Group clock of its last change.
        answer: The recorded answer when it is short.
        is_stored: Whether the answer is in the history store instead.
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
    """A program's record.

    Attributes:
        used: Tokens settled, sub-agents included.
        reserved: Tokens held, sub-agents included.
        turns: Turns finished or under way, sub-agents included.
        context: Tokens of the conversation, as the engine last counted it.
        turn_key: Key of the turn under way; empty for none.
        past_keys: 8-byte digests of the keys of the finished turns.
        released: Nonce of the sending whose turn was given back last.
        recent: 8-byte prefixes of the digests of the recent calls.
        created: Wall time, for people.
        started: Group clock at creation, for the limit in seconds.
        ended: Group clock when closed or expired.
        calls: Calls that hold their key, by key.
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
    context: int = 0
    digest: bytes = digests.EMPTY
    turn_key: str = ""
    past_keys: bytes = b""
    released: int = 0
    recent: bytes = b""
    ended: float = 0.0
    resident: identities.Incarnation = NOWHERE
    resident_address: str = ""
    children: list[str] = dataclasses.field(default_factory=list)
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)


def view(program: Program) -> program_messages.ProgramView:
    """Returns what callers and operators see of a program."""
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
        context=program.context,
    )


def root_of(program: str) -> str:
    """Returns the id of the root program: the part before the first dot."""
    return program.partition(".")[0]
