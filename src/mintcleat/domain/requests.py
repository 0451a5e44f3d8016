"""What callers ask of an entry, parsed, and what they get."""

from typing import NamedTuple

from mintcleat.domain import identities


class NewProgram(NamedTuple):
    """A caller's request for a program; empty texts mean not given."""

    program: str
    customer: str
    agent: str
    klass: str
    parent: str
    budget: identities.Budget


class ChatCall(NamedTuple):
    """One chat completion.

    Attributes:
        program: Program id; empty for a call without a program.
        model: Service name from the body; empty lets the program's agent
            decide.
        turn: The program's turn number; 0 without a program.
        key: Caller's idempotency key; empty when it sent none.
        messages: New messages, each as JSON text.
        parameters: The body without `messages`, as JSON text.
        deadline: Seconds allowed; 0 for the manifest's default.
        max_tokens: Completion tokens asked for; 0 for no limit given.
        streamed: The caller reads the answer while it is made, so a part
            once delivered can't be taken back.
    """

    request: str
    program: str
    customer: str
    model: str
    turn: int
    key: str
    messages: list[str]
    parameters: str
    deadline: float
    max_tokens: int
    streamed: bool


class ServiceCall(NamedTuple):
    """One request to a plain service; `headers` are pairs."""

    request: str
    program: str
    customer: str
    service: str
    key: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    deadline: float


class AnswerText(NamedTuple):
    """Part of a chat answer, in order and without gaps."""

    text: str


class AnswerEnd(NamedTuple):
    """End of a chat answer; it is recorded where there is a program.

    Attributes:
        message: JSON text of the whole assistant message.
        replayed: The answer was recorded by an earlier send.
        sidecar: Where the program's history is cached now, if known.
    """

    message: str
    reason: str
    usage: identities.Usage
    attempt: int
    replayed: bool
    sidecar: identities.Incarnation | None = None


class ServiceAnswer(NamedTuple):
    """Answer of a plain service."""

    status: int
    headers: list[list[str]]
    body: bytes
    attempt: int
    replayed: bool
