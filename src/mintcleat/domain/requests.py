"""Parsed requests of callers to an entry, and their answers."""

from typing import NamedTuple

from mintcleat.domain import identities


class NewProgram(NamedTuple):
    """A caller's request to create a program.

    Fields that the caller did not give are empty.

    Attributes:
        agent: Name of the agent program in the manifest.
        klass: Priority class, `interactive` or `batch`.
        parent: Id of the parent program.
    """

    program: str
    customer: str
    agent: str
    klass: str
    parent: str
    budget: identities.Budget


class ChatCall(NamedTuple):
    """A request for a chat completion.

    Attributes:
        request: Id of the request.
        program: Program id; empty for a call without a program.
        model: Service name from the body; empty for the service of the
            program's agent.
        turn: Turn number within the program; 0 without a program.
        key: Idempotency key of the caller; empty for none.
        messages: New messages, each as JSON text.
        parameters: The body without `messages`, as JSON text.
        deadline: Time limit in seconds; 0 for the default of the manifest.
        max_tokens: Maximum completion tokens; 0 for no limit.
        streamed: Whether the answer is streamed. A part of an answer that was
            sent to the caller can't be withdrawn.
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
    """A request to a plain service.

    Attributes:
        key: Idempotency key of the caller; empty for none.
        headers: Pairs of name and value.
        deadline: Time limit in seconds; 0 for the default of the manifest.
    """

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
    """Next part of a chat answer, in order and without gaps."""

    text: str


class AnswerEnd(NamedTuple):
    """End of a chat answer. The answer of a program's turn is recorded by now.

    Attributes:
        message: JSON text of the complete assistant message.
        reason: Finish reason as in the OpenAI API.
        replayed: Whether the answer was recorded for an earlier request with
            the same key.
        sidecar: Sidecar that has the program's history in its cache, if known.
    """

    message: str
    reason: str
    usage: identities.Usage
    attempt: int
    replayed: bool
    sidecar: identities.Incarnation | None = None


class ServiceAnswer(NamedTuple):
    """Answer of a plain service.

    Attributes:
        replayed: As in AnswerEnd.
    """

    status: int
    headers: list[list[str]]
    body: bytes
    attempt: int
    replayed: bool
