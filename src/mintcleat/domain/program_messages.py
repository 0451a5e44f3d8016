"""Messages to the leader of a program group, from entries and sidecars.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import identities


class RunningCounts(NamedTuple):
    """What one entry has running, by life of the upstream.

    It rides on requests to the leader, which tells the other entries; it is
    not part of what the group records.
    """

    entry: str
    by_upstream: dict[str, int]


class RateLimit(NamedTuple):
    """How many requests a customer may send, over all entries.

    Attributes:
        rate: Requests a second.
        burst: Requests beyond that in any window.
        window: Length of a window in seconds.
        overage: What programs under way may send beyond it in a window, as a
            share of it,
        slack: and as a number of requests besides.
    """

    rate: float
    burst: float
    window: float
    overage: float = 0.0
    slack: float = 0.0

    def window_limit(self) -> float:
        """Returns the requests that a window is meant to hold; one or more."""
        return max(1.0, self.rate * self.window + self.burst)

    def tolerance(self) -> float:
        """Returns the requests that a window may hold beyond that."""
        return self.window_limit() * self.overage + self.slack


class OpenTurn(NamedTuple):
    """Reserves tokens for a turn of a program that opens with its first turn.

    Repeating it changes nothing.

    Attributes:
        turn: Id of this attempt; later turns name it to go on from it.
        previous: Turn that this one goes on from; empty for none. Several
            may go on from one.
        budget: Tokens that the program may be handed in all; 0 for no limit.
        reserve: Most tokens that this turn can hand out.
        retention: Seconds for which the program's turns are kept.
        has_chain: Whether the sender has the content of `previous` and all
            turns before it.
        running: What the sender has running; None in the log.
        customer: Whose program it is; empty for nobody's. Programs and turns
            are known to their own customer alone.
        limit: What its requests are counted against; None for no limit.
        ahead: Further requests that the sender would like to have counted
            now, for calls that will follow the turn.
    """

    program: str
    turn: str
    previous: str
    budget: int
    reserve: int
    retention: float
    has_chain: bool = False
    running: RunningCounts | None = None
    customer: str = ""
    limit: RateLimit | None = None
    ahead: int = 0


class KeptTurn(NamedTuple):
    """A finished turn: opaque bytes in and out, as later turns repeat them.

    Attributes:
        upstream: Where it ran, and where its cache may still lie.
        customer: Whose turn it is; empty for nobody's.
    """

    turn: str
    previous: str
    input: bytes
    output: bytes
    upstream: str
    customer: str = ""


class TurnOpened(NamedTuple):
    """The tokens are reserved.

    Attributes:
        chain: The turns to go on from, the oldest first; empty where the
            sender holds them.
        upstream: Where the program ran last; empty for a new one.
        others: What other entries have running, by life of the upstream.
        counted_at: The group's clock at which the request was counted against
            its customer's limit; below 0 for not at all.
        ahead: Requests counted for calls to come.
    """

    chain: list[KeptTurn]
    upstream: str
    others: dict[str, int] = {}
    counted_at: float = -1.0
    ahead: int = 0


class CountCall(NamedTuple):
    """Counts a request that opens no turn against its customer's limit.

    Attributes:
        program: Program that it belongs to; empty for none.
        ahead: As in OpenTurn.
    """

    customer: str
    program: str
    limit: RateLimit
    ahead: int = 0


class CallCounted(NamedTuple):
    """The request may be sent; `ahead` more were counted beside it."""

    ahead: int = 0


class CloseTurn(NamedTuple):
    """Settles a turn that was opened; repeating it changes nothing.

    Attributes:
        tokens: Tokens that were handed to the caller.
        upstream: Where it ran; empty when it ran nowhere.
        keep: Whether the turn ended whole and may be continued.
        retention: Seconds for which it, and the turns before it, are kept.
        running: What the sender has running; None in the log.
        customer: Whose program it is, as in OpenTurn.
        counted_at: As the opening told it, for a turn that ran nowhere: its
            request counts no more. Below 0 for one that is to count.
    """

    program: str
    turn: str
    tokens: int
    upstream: str = ""
    keep: bool = False
    previous: str = ""
    input: bytes = b""
    output: bytes = b""
    retention: float = 0.0
    running: RunningCounts | None = None
    customer: str = ""
    counted_at: float = -1.0


class CreateProgram(NamedTuple):
    """Creates a program; the same attributes again give the same program.

    A child's id is `<parent id>.<name>`, so it lies in its root's group.

    Attributes:
        repeat_limit: Calls with one digest that the program may make within
            its recent calls before it counts as a loop; 0 for no limit.
    """

    program: str
    customer: str
    agent: str
    klass: str
    budget: identities.Budget
    parent: str = ""
    repeat_limit: int = 0


class ProgramView(NamedTuple):
    """What a program looks like now.

    Attributes:
        next_turn: The turn that the next chat call must carry.
        used: Tokens settled, sub-agents included. Only tokens that were new
            to the program count, not the history that each turn repeats.
        reserved: Tokens held for calls under way or of unknown outcome.
        state: `open`, `closed` or `expired`.
        resident: Sidecar that last ran a turn; epoch 0 for none.
        resident_address: Stream address of `resident`.
        context: Tokens of the conversation, as the engine last counted it.
    """

    program: str
    customer: str
    agent: str
    klass: str
    parent: str
    budget: identities.Budget
    next_turn: int
    used: int
    reserved: int
    state: str
    digest: bytes
    resident: identities.Incarnation
    resident_address: str
    created: float
    children: list[str]
    context: int = 0


class ShowProgram(NamedTuple):
    """Asks for a ProgramView by a linearizable read."""

    program: str


class ListPrograms(NamedTuple):
    """Asks for the programs of one group, in id order after `after`."""

    group: str
    after: str = ""
    limit: int = 100


class Programs(NamedTuple):
    """Answer to ListPrograms."""

    programs: list[ProgramView]


class FetchHistory(NamedTuple):
    """Asks for finished turns `first` to `last`, both included; 0 for all."""

    program: str
    first: int = 1
    last: int = 0


class History(NamedTuple):
    """Answer to FetchHistory."""

    program: str
    turns: list[identities.Turn]


class CloseProgram(NamedTuple):
    """Closes a program and its sub-agents; repeated, it answers the same."""

    program: str


class BeginCall(NamedTuple):
    """Asks for an attempt, bound to one sidecar incarnation.

    Attributes:
        program: Program id, or empty for a keyed call without a program.
        customer: Customer of a call without a program.
        turn: Number of the chat turn; 0 for a tool call.
        key: Idempotency key; the entry makes one up when the caller has none.
        digest: Digest of the whole request, to tell a resend from a misuse.
        messages: New chat messages; empty for a tool call.
        reserve: Tokens to hold until the call is settled.
        idempotent: Whether a second run at the upstream does no harm.
        sidecar: The sidecar that the entry has chosen.
        sealed: Number of an attempt that its sidecar has sealed; 0 for none.
            Only then may a non-idempotent call get a new attempt.
        nonce: Number of this one sending, the same in its resends, so that a
            resend after a lost answer gets its grant again; 0 for none.
    """

    program: str
    customer: str
    service: str
    turn: int
    key: str
    digest: bytes
    messages: list[str]
    reserve: int
    idempotent: bool
    sidecar: identities.Incarnation
    address: str
    sealed: int = 0
    nonce: int = 0


class FindCall(NamedTuple):
    """Asks by a linearizable read what became of a key; grants nothing.

    Answered by CallRecorded, AttemptRunning, the call's recorded failure, or
    Done with `absent` when the key was never granted an attempt.
    """

    program: str
    customer: str
    turn: int
    key: str
    digest: bytes


class AttemptGranted(NamedTuple):
    """An attempt may run at `sidecar`; committed.

    Attributes:
        base_turn: Turns of history that come before the new messages.
        base_digest: Rolling digest after `base_turn`.
        attained: Tokens served so far to the whole (root) program.
        tokens_left: Tokens that the call may still spend; 0 for no limit.
    """

    attempt: int
    base_turn: int
    base_digest: bytes
    attained: int
    tokens_left: int
    root: str
    agent: str
    klass: str


class CallRecorded(NamedTuple):
    """The call was finished before; this is its answer."""

    attempt: int
    answer: bytes
    usage: identities.Usage


class AttemptRunning(NamedTuple):
    """Another attempt of this call is bound; attach to it or seal it there."""

    attempt: int
    sidecar: identities.Incarnation
    address: str


class SettleCall(NamedTuple):
    """Ends an attempt without an answer.

    Attributes:
        outcome: `not_run` frees key, turn and reservation (the sidecar has
            sealed the attempt); `unknown` keeps them until known or expired;
            `ran` records `failure` as the call's answer.
    """

    program: str
    customer: str
    key: str
    attempt: int
    outcome: str
    failure: errors.Failure


class FinishCall(NamedTuple):
    """Records the whole answer of an attempt; repeated, it changes nothing.

    Attributes:
        answer: For a turn: JSON text of the assistant message. For a tool
            call: msgpack of [status, headers, body].
    """

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation
    answer: bytes
    usage: identities.Usage


class RenewResidency(NamedTuple):
    """Asks which of these programs are still open; sent in batches."""

    sidecar: identities.Incarnation
    programs: list[str]


class ClosedPrograms(NamedTuple):
    """Programs whose engine memory must be released."""

    programs: list[str]
