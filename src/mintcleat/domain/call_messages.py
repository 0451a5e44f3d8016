"""Messages between an entry and a sidecar.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import identities


class RunTurn(NamedTuple):
    """Runs one attempt of a chat turn, or of a chat call without a program.

    Attributes:
        base_turn: Turns of history before `messages`, with `base_digest`.
        history: Turns that the sidecar said it lacks.
        parameters: The caller's body without `messages`, as JSON text.
        deadline: Seconds left when sent; 0 for none.
        attained: Tokens served so far to the whole program.
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


class RunTool(NamedTuple):
    """Forwards one request to a plain service.

    Attributes:
        attempt: 0 for an idempotent request, which takes no commit.
        headers: Pairs of name and value.
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
    """The sidecar holds history up to `have`; send the rest in a new Run.

    The attempt has not started and is not sealed.
    """

    turns: int


class Chunk(NamedTuple):
    """Part of an answer. `offset` counts the characters before `text`."""

    attempt: int
    offset: int
    text: str


class AttemptFinished(NamedTuple):
    """End of a chat answer; sent after FinishCall was committed.

    Attributes:
        total: Characters in the whole answer.
        message: JSON text of the whole assistant message.
        reason: OpenAI's finish reason.
    """

    attempt: int
    total: int
    message: str
    reason: str
    usage: identities.Usage
    load: "LoadReport"


class ToolAnswer(NamedTuple):
    """Whole answer of a plain service."""

    attempt: int
    status: int
    headers: list[list[str]]
    body: bytes
    load: "LoadReport"


class AttemptRefused(NamedTuple):
    """The attempt is sealed at this sidecar: it did not and will not run."""

    attempt: int
    failure: errors.Failure
    load: "LoadReport"


class AttemptFailed(NamedTuple):
    """The attempt ended without a whole answer; `failure` says the outcome."""

    attempt: int
    failure: errors.Failure


class AttachAttempt(NamedTuple):
    """Follows a running attempt from the start of its answer."""

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation


class SealAttempt(NamedTuple):
    """Asks that the attempt never runs here from now on."""

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation


class AttemptState(NamedTuple):
    """State of an attempt after a SealAttempt.

    Attributes:
        state: `never` (will not run), `running`, `ran`, or `unknown` (this is
            another incarnation, which cannot know).
    """

    attempt: int
    state: str


class CancelAttempt(NamedTuple):
    """Stops a running attempt; its caller has gone."""

    program: str
    attempt: int


class WatchLoad(NamedTuple):
    """Asks a sidecar to push load reports on this exchange."""

    instance: str


class LoadReport(NamedTuple):
    """A sidecar's load.

    Attributes:
        counter: Grows with each report of one incarnation.
        running: Calls at the upstream.
        queued: Calls that wait at the sidecar.
        limit: Calls that the upstream takes at once, as learned.
        wait: Predicted wait of a new call, in seconds.
        token_time: Learned seconds per generated token; 0 until measured.
        prefill_rate: Learned prompt tokens a second; 0 until measured.
        free_memory: Tokens of cache that are free.
        state: `ready`, `loading`, `draining` or `down`.
        first_call_wait: Predicted wait of a program's first call, in seconds.
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
