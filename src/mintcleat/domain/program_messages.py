"""Messages from entries and sidecars to the leader of a program group.

See `domain.messages` for the encoding that all messages share.
"""

from typing import Any
from typing import NamedTuple

from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import stream_origins

# Seconds within which an entry must send a request that was counted ahead.
AHEAD_SECONDS = 1.0
# Maximum of requests that one CountCall counts.
MAX_CALLS = 64
# Maximum of ended turns that one TurnDemand names. An entry of the design size
# ends 41 turns a second, so that CloseTurns may be late by 0.75 s.
MAX_ENDED = 32


class RunningCounts(NamedTuple):
    """Numbers of calls that an entry has running.

    They are sent with requests to the leader, which passes them on to the
    other entries. The group does not record them.

    Attributes:
        by_upstream: Running calls by incarnation of the upstream; 0 for one
            that only differs in speed.
        tokens: Tokens that these calls hold in the memory of each upstream,
            in the order of `by_upstream`; empty if unknown. Prompt parts that
            other programs use too are left out, since each sender would count
            them.
        slowdowns: Time that each upstream takes, in percent of the median of
            its peers as the sender measured it, in the order of `by_upstream`;
            empty if none differs.
        failing: Upstreams that the sender avoids because they fail or are
            silent.
    """

    entry: str
    by_upstream: dict[str, int]
    tokens: list[int] = []
    slowdowns: list[int] = []
    failing: list[str] = []


class RateLimit(NamedTuple):
    """Rate limit of a customer over all entries.

    Attributes:
        rate: Requests per second.
        burst: Further requests in any window.
        window: Length of the sliding window in seconds.
        overage: Further requests of active programs in a window, as a
            fraction of the window's limit.
        slack: Further requests of active programs in a window, as a number.
    """

    rate: float
    burst: float
    window: float
    overage: float = 0.0
    slack: float = 0.0

    def window_limit(self) -> float:
        """Returns the regular limit of requests in a window; at least 1."""
        return max(1.0, self.rate * self.window + self.burst)

    def tolerance(self) -> float:
        """Returns how many requests of active programs may exceed it."""
        return self.window_limit() * self.overage + self.slack


class EndedTurn(NamedTuple):
    """A turn that has ended, by its customer and its id."""

    customer: str
    turn: str


class TurnDemand(NamedTuple):
    """What a turn demands of its service, for admission control.

    Attributes:
        service: Service that runs the turn.
        kind: Route of the turn.
        priority: Priority of the customer, or else of the route; 0 is the
            most urgent.
        share: Weight of the customer when customers compete.
        tokens: Tokens of the prompt plus the maximum of the answer.
        finish_within: Target time to the program's end in seconds; 0 for
            none.
        waited: Seconds for which the turn has waited at its entry.
        places: Total slots of the upstreams that the sender sees as ready and
            healthy; 0 if it sees none.
        memory_tokens: Total memory of those upstreams in tokens; 0 if unknown.
        timeout: Seconds after which the turn has ended for certain.
        running: Requests of the sender that run at the service.
        route_priority: Priority of the route; it orders turns of the same
            priority.
        ended: Turns of the sender, of any service, that have ended while their
            CloseTurn is not confirmed; at most MAX_ENDED of them.
    """

    service: str
    kind: str
    priority: int
    share: float
    tokens: int
    finish_within: float
    waited: float
    places: int
    memory_tokens: int
    timeout: float = 30.0
    running: int = 0
    route_priority: int = 0
    ended: list[EndedTurn] = []


class BegunStream(NamedTuple):
    """A stream that its caller may take up at any entry.

    Attributes:
        origin: Software that begins it.
        seconds: Time for which it can be taken up.
    """

    origin: stream_origins.StreamOrigin
    seconds: float


class OpenTurn(NamedTuple):
    """Reserves tokens for a turn; the first turn creates the program.

    The message is idempotent.

    Attributes:
        turn: Id of the turn, which later turns refer to as `previous`.
        previous: Turn that this one continues; empty for none. Several turns
            may continue the same one.
        budget: Maximum tokens of all answers to the program; 0 for no limit.
        reserve: Maximum tokens of this turn's answer.
        retention: Seconds for which the program's account and the turns before
            this one are kept: until it has ended, and for the retention of its
            route at least.
        has_chain: Whether the sender has the content of `previous` and of all
            turns before it, so that the answer need not repeat it.
        running: Running calls of the sender; None in the replicated log.
        customer: Owner of the program; empty for none. Programs and turns are
            visible to their owner only.
        limit: Rate limit of the customer; None for no limit.
        ahead: Number of further requests to count ahead, for calls that
            will follow the turn.
        demand: For admission control; None if it is off, and in the
            replicated log.
        stream: The stream that the turn begins; None if it begins none that
            can be taken up, or if its origin will be recorded later.
        input_bytes: Size of the input that is kept if the turn ends whole;
            0 if it isn't kept, and in the replicated log.
        may_fetch: Whether the sender can fetch the content of the turns before
            it by FetchChain; False in the replicated log.
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
    demand: TurnDemand | None = None
    stream: BegunStream | None = None
    input_bytes: int = 0
    may_fetch: bool = False


class KeptTurn(NamedTuple):
    """A finished turn that is stored so that later turns can continue it.

    Attributes:
        input: Opaque request bytes.
        output: Opaque answer bytes.
        upstream: Upstream that ran the turn and may still have it in its
            cache.
        customer: Owner of the turn; empty for none.
    """

    turn: str
    previous: str
    input: bytes
    output: bytes
    upstream: str
    customer: str = ""


class TurnOpened(NamedTuple):
    """Answer to OpenTurn: the tokens are reserved.

    Attributes:
        chain: Turns to continue, oldest first; empty if the sender has them.
        upstream: Upstream that ran the program last; empty for a new program.
        others: Running calls of other entries by incarnation of the upstream;
            0 for one that only differs in speed.
        counted_at: Group clock at which the request was counted against the
            customer's limit; negative if it was not counted.
        ahead: Number of requests that were counted ahead.
        others_tokens: Tokens that the calls of other entries hold, in the
            order of `others`; empty if unknown.
        slowdowns: Time that each upstream takes, in percent of the median of
            its peers, as several entries say, in the order of `others`; empty
            if none differs.
        failing: Upstreams that several entries avoid because they fail or are
            silent.
        outline: The turns to continue, oldest first, if the sender is to fetch
            their content; `chain` is empty then.
    """

    chain: list[KeptTurn]
    upstream: str
    others: dict[str, int] = {}
    counted_at: float = -1.0
    ahead: int = 0
    others_tokens: list[int] = []
    slowdowns: list[int] = []
    failing: list[str] = []
    outline: list[content_messages.ChainTurn] = []


class CountCall(NamedTuple):
    """Counts requests without a turn against their customer's limit.

    Attributes:
        program: Program of the requests; empty for none.
        ahead: As in OpenTurn.
        calls: Number of requests; MAX_CALLS at most.
        ids: Id of each request, by which the group recognises a copy; empty if
            they have none.
    """

    customer: str
    program: str
    limit: RateLimit
    ahead: int = 0
    calls: int = 1
    ids: list[int] = []


class RefusedCalls(NamedTuple):
    """Requests of a CountCall that must not be sent, and why."""

    calls: int
    failure: errors.Failure


class CallCounted(NamedTuple):
    """Answer to CountCall: the requests may be sent.

    Attributes:
        ahead: Number of requests that were counted ahead.
        refused: Those of the requests that were not counted; None if all were.
    """

    ahead: int = 0
    refused: RefusedCalls | None = None


class CloseTurn(NamedTuple):
    """Settles an opened turn. The message is idempotent.

    Attributes:
        tokens: Tokens sent to the caller.
        upstream: Upstream that ran the turn; empty if it did not run.
        keep: Whether the turn is complete and may be continued.
        retention: Seconds for which the turn and those before it are kept.
        running: Running calls of the sender; None in the replicated log.
        customer: As in OpenTurn.
        counted_at: For a turn that did not run, its value in TurnOpened, so
            that the request no longer counts against the limit. Negative if
            the request is to count.
        staged: Content that was sent before, in parts; `input` and `output` are
            empty then. None if they hold it.
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
    staged: content_messages.StagedContent | None = None


class RecordStream(NamedTuple):
    """Records the origin of a stream. The first record of a stream counts.

    Attributes:
        program: Program of the request; empty for none.
        request: Request that brings the first event.
        stream: The stream.
    """

    program: str
    customer: str
    request: str
    stream: BegunStream


class FindStream(NamedTuple):
    """Asks for the origin of a stream. The read is linearizable.

    Attributes:
        program: As in RecordStream.
        request: Request that brought its first event.
    """

    program: str
    customer: str
    request: str


class StreamFound(NamedTuple):
    """Answer to FindStream.

    Attributes:
        origin: Software that began the stream; None if there is no record.
    """

    origin: stream_origins.StreamOrigin | None


class CreateProgram(NamedTuple):
    """Creates a program. The message is idempotent.

    The id of a child is `<parent id>.<name>`, which places it in the group of
    its root program.

    Attributes:
        agent: Name of the agent program in the manifest.
        klass: Priority class, `interactive` or `batch`.
        parent: Id of the parent program; empty for a root program.
        repeat_limit: Number of calls with the same digest that the program
            may have among its recent calls before it is considered to loop;
            0 for no limit.
    """

    program: str
    customer: str
    agent: str
    klass: str
    budget: identities.Budget
    parent: str = ""
    repeat_limit: int = 0


class ProgramView(NamedTuple):
    """Current state of a program.

    Attributes:
        next_turn: Turn number that the next chat call must have.
        used: Settled tokens, including sub-agents. Only tokens that were new
            to the program count, not the history that each turn repeats.
        reserved: Tokens reserved for calls that are running or whose outcome
            is unknown.
        state: `open`, `closed` or `expired`.
        digest: Digest of the history; see `domain.digests`.
        resident: Sidecar that ran the last turn; epoch 0 for none.
        resident_address: Stream address of `resident`.
        created: Wall-clock time in seconds.
        context: Tokens of the conversation as last counted by the engine.
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
    """Asks for a ProgramView; the read is linearizable."""

    program: str


class ListPrograms(NamedTuple):
    """Asks for the programs of a group whose ids follow `after`, in order."""

    group: str
    after: str = ""
    limit: int = 100


class Programs(NamedTuple):
    """Answer to ListPrograms."""

    programs: list[ProgramView]


class FetchHistory(NamedTuple):
    """Asks for the finished turns from `first` to `last`, inclusive.

    Attributes:
        last: Last turn; 0 for all turns from `first` on.
    """

    program: str
    first: int = 1
    last: int = 0


class History(NamedTuple):
    """Answer to FetchHistory."""

    program: str
    turns: list[identities.Turn]


class CloseProgram(NamedTuple):
    """Closes a program and its sub-agents. The message is idempotent."""

    program: str


class BeginCall(NamedTuple):
    """Asks for an attempt that is bound to one incarnation of a sidecar.

    Attributes:
        program: Program id; empty for a call with a key but no program.
        customer: Customer of a call without a program.
        turn: Number of the chat turn; 0 for a tool call.
        key: Idempotency key; generated by the entry if the caller sent none.
        digest: Digest of the whole request, which distinguishes a resend from
            another request with the same key.
        messages: New chat messages; empty for a tool call.
        reserve: Tokens to reserve until the call is settled.
        idempotent: Whether the upstream may safely run the call twice.
        sidecar: Sidecar that the entry selected.
        address: Stream address of `sidecar`.
        sealed: Number of an attempt that its sidecar has sealed; 0 for none.
            A non-idempotent call gets a new attempt only in this case.
        nonce: Unique number of this message, repeated in its resends, so that
            a resend after a lost answer gets the same grant; 0 for none.
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
    """Asks for the state of a call by its key, without granting an attempt.

    The read is linearizable. The answer is CallRecorded, AttemptRunning, the
    recorded failure of the call, or Done with `absent` if the key was never
    granted an attempt.
    """

    program: str
    customer: str
    turn: int
    key: str
    digest: bytes


class AttemptGranted(NamedTuple):
    """Answer to BeginCall: the attempt is committed and may run.

    Attributes:
        base_turn: Number of turns that precede the new messages.
        base_digest: Digest of the history up to `base_turn`.
        attained: Tokens served so far to the whole (root) program.
        tokens_left: Tokens that the call may still use; 0 for no limit.
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
    """The call has already finished with this answer."""

    attempt: int
    answer: bytes
    usage: identities.Usage


class AttemptRunning(NamedTuple):
    """Another attempt of this call may be running at `sidecar`.

    The entry can attach to it or have it sealed there.
    """

    attempt: int
    sidecar: identities.Incarnation
    address: str


class SettleCall(NamedTuple):
    """Ends an attempt that has no answer.

    Attributes:
        outcome: `not_run` releases key, turn and reservation; the sidecar has
            sealed the attempt. `unknown` keeps them until the outcome is
            known or the call expires. `ran` records `failure` as the answer.
    """

    program: str
    customer: str
    key: str
    attempt: int
    outcome: str
    failure: errors.Failure


class FinishCall(NamedTuple):
    """Records the complete answer of an attempt. The message is idempotent.

    Attributes:
        answer: For a turn, the JSON text of the assistant message; for a tool
            call, [status, headers, body] in msgpack.
    """

    program: str
    customer: str
    key: str
    attempt: int
    sidecar: identities.Incarnation
    answer: bytes
    usage: identities.Usage


class RenewResidency(NamedTuple):
    """Asks which of these programs are no longer open; sent in batches.

    Attributes:
        programs: Programs whose cache the sidecar keeps resident.
    """

    sidecar: identities.Incarnation
    programs: list[str]


class EndedPrograms(NamedTuple):
    """Programs that are no longer open; the sidecar must release their cache.

    It answers RenewResidency.
    """

    programs: list[str]


class ShowLoad(NamedTuple):
    """Asks the leader of a group for a LoadView.

    Attributes:
        customers: Maximum number of customers in the answer.
        upstreams: Maximum number of upstreams in the answer.
    """

    group: str
    customers: int = 50
    upstreams: int = 50


class UpstreamLoad(NamedTuple):
    """Load of one upstream, as the entries last reported it.

    Attributes:
        upstream: Incarnation of the upstream.
        running: Running requests over all entries.
        tokens: Tokens that they hold in its memory; 0 if unknown.
        speed: Speed in multiples of the median of its peers, the median of
            the entries' reports; 0 if no entry reports a difference.
        memory_tokens: Tokens that its memory holds, as its service is
            configured; 0 if unknown.
        speed_reports: Number of entries that report a different speed.
        avoided_by: Number of entries that avoid it, since it fails or is
            silent.
        avoided: Whether enough entries avoid it for the others to avoid it
            as well.
    """

    upstream: str
    running: int
    tokens: int = 0
    speed: float = 0.0
    memory_tokens: int = 0
    speed_reports: int = 0
    avoided_by: int = 0
    avoided: bool = False

    def sort_key(self) -> tuple[Any, ...]:
        """Orders upstreams: avoided ones, slow ones, then the fullest."""
        used = self.tokens / self.memory_tokens if self.memory_tokens else 0.0
        return (
            not self.avoided,
            -self.avoided_by,
            min(1.0, self.speed) if self.speed else 1.0,
            -used,
            -self.running,
            self.upstream,
        )


class CustomerLoad(NamedTuple):
    """Use of one customer's rate limit.

    Attributes:
        limit: Requests that a window may hold; 0 for no limit.
        tolerance: Further requests of programs in progress.
        window: Length of the window in seconds.
        used: Requests in the window so far.
        programs: Programs in progress.
        refused: Requests refused within the last minute, by kind of error.
        reasons: The same refusals by kind and, where admission control
            refused, its reason.
        retry_after: Median delay in seconds that these refusals advised,
            rounded up to a bucket; 0 if none advised one.
        retry_after_max: Longest of these delays, rounded up likewise.
    """

    customer: str
    limit: float
    tolerance: float
    window: float
    used: int
    programs: int
    refused: dict[str, int]
    reasons: dict[str, int] = {}
    retry_after: float = 0.0
    retry_after_max: float = 0.0

    def sort_key(self) -> tuple[float, int, str]:
        """Orders customers: those closest to their limit first."""
        return (
            -self.used / self.limit if self.limit else 0.0,
            -sum(self.refused.values()),
            self.customer,
        )


class CustomerShare(NamedTuple):
    """A customer's part of a service under admission control.

    Attributes:
        share: Share of the work that it is entitled to, as a fraction.
        use: Share that it received recently, as a fraction.
        refused: Refused turns.
    """

    customer: str
    running: int
    waiting: int
    share: float
    use: float
    refused: int


class ServiceLoad(NamedTuple):
    """State of a service under admission control.

    Attributes:
        running: Granted turns that have not ended.
        waiting: Turns that wait for their grant.
        bound: Maximum of running turns; -1 if unknown.
        capacity: Maximum by slots and memory; -1 if unknown.
        slowdown: Duration of turns as a multiple of that at low load.
        granted: Granted turns.
        deferred: Turns that had to wait.
        refused: Refused turns by kind and reason.
        lost: Waiting turns dropped because they did not ask again.
        expired: Granted turns released by their timeout.
        customers: Customers of the service, those with the highest use first.
        slots: Total slots of its upstreams; 0 if unknown.
        memory_tokens: Total memory of its upstreams in tokens; 0 if unknown.
    """

    service: str
    running: int
    waiting: int
    bound: float
    capacity: float
    slowdown: float
    granted: int
    deferred: int
    refused: dict[str, int]
    lost: int
    expired: int
    customers: list[CustomerShare]
    slots: int = 0
    memory_tokens: int = 0


class VersionLoad(NamedTuple):
    """The upstreams of one version of a service's software.

    Attributes:
        upstreams: Number of registered upstreams.
        leaving: Those of them that take no new work.
        slots: Total slots of the others.
        running: Running requests of all of them.
    """

    service: str
    version: str
    upstreams: int
    leaving: int
    slots: int
    running: int


class LoadView(NamedTuple):
    """Load and limits, as the leader of a group sees them.

    Attributes:
        entries: Number of entries that have reported within a second.
        upstreams: Load of upstreams with running requests, a different speed,
            or entries that avoid them; those in trouble first.
        customers: Customers that use most of their limit, and those that were
            refused.
        services: Services under admission control.
        upstream_count: Number of such upstreams; `upstreams` may have fewer.
        versions: Versions of the services' software with upstreams.
    """

    group: str
    entries: int
    upstreams: list[UpstreamLoad]
    customers: list[CustomerLoad]
    services: list[ServiceLoad] = []
    upstream_count: int = 0
    versions: list[VersionLoad] = []
