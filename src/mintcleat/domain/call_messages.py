"""Messages between an entry and a sidecar.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import identities


class RunTurn(NamedTuple):
    """Runs one attempt of a chat turn, or of a chat call without a program.

    Attributes:
        key: Idempotency key of the call.
        attempt: Number of the attempt, unique within the program group.
        sidecar: Incarnation that the attempt is bound to.
        base_turn: Number of turns that precede `messages`.
        base_digest: Digest of the history up to `base_turn`.
        history: Turns that the sidecar reported as missing.
        messages: New chat messages, each as JSON text.
        parameters: The caller's body without `messages`, as JSON text.
        deadline: Seconds left at the time of sending; 0 for no deadline.
        klass: Priority class, `interactive` or `batch`.
        root: Id of the root program.
        attained: Tokens served so far to the whole program.
        digest: Digest of the whole request.
        idempotent: Whether the upstream may safely run the call twice.
        software: Version of the engine's software that has made what the caller
            has of the answer; empty for any.
    """

    program: str
    customer: str
    service: str
    key: str
    attempt: int
    sidecar: identities.Incarnation
    base_turn: int
    base_digest: bytes
    history: list[identities.Turn]
    messages: list[str]
    parameters: str
    deadline: float
    klass: str
    agent: str
    root: str
    attained: int
    digest: bytes
    idempotent: bool
    software: str = ""


class RunTool(NamedTuple):
    """Forwards one request to a plain service.

    Attributes:
        attempt: 0 for an idempotent request, which needs no commit.
        headers: Pairs of name and value.
        deadline: Seconds left at the time of sending; 0 for no deadline.
    """

    program: str
    customer: str
    service: str
    key: str
    attempt: int
    sidecar: identities.Incarnation
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    deadline: float
    klass: str
    digest: bytes
    idempotent: bool


class NeedHistory(NamedTuple):
    """The sidecar has only the first `turns` turns of the history.

    The entry sends the rest with a new RunTurn. The attempt has not started
    and is not sealed.
    """

    turns: int


class Chunk(NamedTuple):
    """Part of an answer.

    Attributes:
        offset: Number of characters before it.
        software: Version of the software that made it; empty if not stated.
    """

    attempt: int
    offset: int
    text: str
    software: str = ""


class AttemptFinished(NamedTuple):
    """End of a chat answer; sent after FinishCall was committed.

    Attributes:
        total: Number of characters in the answer.
        message: JSON text of the complete assistant message.
        reason: Finish reason as in the OpenAI API.
    """

    attempt: int
    total: int
    message: str
    reason: str
    usage: identities.Usage
    load: "LoadReport"


class ToolAnswer(NamedTuple):
    """Complete answer of a plain service."""

    attempt: int
    status: int
    headers: list[list[str]]
    body: bytes
    load: "LoadReport"


class AttemptRefused(NamedTuple):
    """The sidecar sealed the attempt: it did not run and never will."""

    attempt: int
    failure: errors.Failure
    load: "LoadReport"


class AttemptFailed(NamedTuple):
    """The attempt ended without a complete answer.

    Attributes:
        failure: Error, with the outcome of the attempt.
    """

    attempt: int
    failure: errors.Failure


class AttachAttempt(NamedTuple):
    """Asks for the answer of a running attempt, from its start."""

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation


class SealAttempt(NamedTuple):
    """Asks the sidecar never to run the attempt from now on."""

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation


class AttemptState(NamedTuple):
    """State of an attempt after a SealAttempt.

    Attributes:
        state: `never` (will not run), `running`, `ran`, or `unknown` (the
            attempt is bound to another incarnation).
    """

    attempt: int
    state: str


class CancelAttempt(NamedTuple):
    """Stops a running attempt whose caller has disconnected."""

    program: str
    attempt: int


class WatchLoad(NamedTuple):
    """Asks a sidecar to push load reports on this exchange.

    Attributes:
        instance: Instance that asks.
    """

    instance: str


class LoadReport(NamedTuple):
    """Load report of a sidecar.

    Attributes:
        counter: Increases with each report of one incarnation.
        running: Calls running at the upstream.
        queued: Calls queued at the sidecar.
        limit: Learned concurrency limit of the upstream.
        wait: Predicted wait in seconds of a call of a started program.
        token_time: Learned seconds per generated token; 0 until measured.
        prefill_rate: Learned prompt tokens per second; 0 until measured.
        free_memory: Free cache, in tokens.
        state: `ready`, `loading`, `draining` or `down`.
        first_call_wait: Predicted wait in seconds of a program's first call.
    """

    sidecar: identities.Incarnation
    counter: int
    running: int
    queued: int
    limit: int
    wait: float
    token_time: float
    prefill_rate: float
    free_memory: int
    state: str
    first_call_wait: float = 0.0
