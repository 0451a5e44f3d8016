"""Messages between entry, sidecar and control.

Every message is a NamedTuple. On the wire it is a msgpack array whose first
item is the tag in `TAGS` and whose rest are the fields; a field added later
goes last and has a default. `adapters/streams.py` encodes and decodes them.

Sizes are in bytes, times in seconds, tokens are engine tokens. Digests are
16 bytes of xxh3-128. `history` items are JSON texts of chat messages.
"""

from typing import NamedTuple

from mintcleat.domain import errors


class Incarnation(NamedTuple):
    """One life of one instance; a later start has a larger epoch."""

    instance: str
    epoch: int


class Budget(NamedTuple):
    """Limits of a program, sub-agents included; 0 means no limit."""

    tokens: int = 0
    turns: int = 0
    seconds: float = 0.0


class Usage(NamedTuple):
    """Tokens of one call as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Turn(NamedTuple):
    """One finished turn of a program's history.

    Attributes:
        turn: Its number, from 1.
        messages: JSON texts, the caller's new messages and then the answer.
        digest: Rolling digest over this turn and all before it.
    """

    turn: int
    messages: list[str]
    digest: bytes


# --- Entry to the leader of a program group ---------------------------------


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
        holds_chain: Whether the sender has the content of `previous` and all
            turns before it.
    """

    program: str
    turn: str
    previous: str
    budget: int
    reserve: int
    retention: float
    holds_chain: bool = False


class KeptTurn(NamedTuple):
    """A finished turn: opaque bytes in and out, as later turns repeat them.

    Attributes:
        upstream: Where it ran, and where its cache may still lie.
    """

    turn: str
    previous: str
    input: bytes
    output: bytes
    upstream: str


class TurnOpened(NamedTuple):
    """The tokens are reserved.

    Attributes:
        chain: The turns to go on from, the oldest first; empty where the
            sender holds them.
        upstream: Where the program ran last; empty for a new one.
    """

    chain: list[KeptTurn]
    upstream: str


class CloseTurn(NamedTuple):
    """Settles a turn that was opened; repeating it changes nothing.

    Attributes:
        tokens: Tokens that were handed to the caller.
        upstream: Where it ran; empty when it ran nowhere.
        keep: Whether the turn ended whole and may be continued.
        retention: Seconds for which it, and the turns before it, are kept.
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


class CreateProgram(NamedTuple):
    """Creates a program; the same attributes again give the same program.

    A child's id is `<parent id>.<name>`, so it lies in its root's group.

    Attributes:
        repeat_limit: Calls with one digest that the program may make within
            its recent calls before it counts as a loop; 0 for no limit.
    """

    program: str
    partner: str
    agent: str
    klass: str
    budget: Budget
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
    partner: str
    agent: str
    klass: str
    parent: str
    budget: Budget
    next_turn: int
    used: int
    reserved: int
    state: str
    digest: bytes
    resident: Incarnation
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
    turns: list[Turn]


class CloseProgram(NamedTuple):
    """Closes a program and its sub-agents; repeated, it answers the same."""

    program: str


class BeginCall(NamedTuple):
    """Asks for an attempt, bound to one sidecar incarnation.

    Attributes:
        program: Program id, or empty for a keyed call without a program.
        partner: Partner of a call without a program.
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
    partner: str
    service: str
    turn: int
    key: str
    digest: bytes
    messages: list[str]
    reserve: int
    idempotent: bool
    sidecar: Incarnation
    address: str
    sealed: int = 0
    nonce: int = 0


class FindCall(NamedTuple):
    """Asks by a linearizable read what became of a key; grants nothing.

    Answered by Recorded, Underway, the call's recorded failure, or Done with
    `absent` when the key was never granted an attempt.
    """

    program: str
    partner: str
    turn: int
    key: str
    digest: bytes


class Granted(NamedTuple):
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


class Recorded(NamedTuple):
    """The call was finished before; this is its answer."""

    attempt: int
    answer: bytes
    usage: Usage


class Underway(NamedTuple):
    """Another attempt of this call is bound; attach to it or seal it there."""

    attempt: int
    sidecar: Incarnation
    address: str


class SettleCall(NamedTuple):
    """Ends an attempt without an answer.

    Attributes:
        outcome: `not_run` frees key, turn and reservation (the sidecar has
            sealed the attempt); `unknown` keeps them until known or expired;
            `ran` records `failure` as the call's answer.
    """

    program: str
    partner: str
    key: str
    attempt: int
    outcome: str
    failure: errors.Failure


# --- Sidecar to the leader of a program group -------------------------------


class FinishCall(NamedTuple):
    """Records the whole answer of an attempt; repeated, it changes nothing.

    Attributes:
        answer: For a turn: JSON text of the assistant message. For a tool
            call: msgpack of [status, headers, body].
    """

    program: str
    partner: str
    key: str
    attempt: int
    sidecar: Incarnation
    answer: bytes
    usage: Usage


class Done(NamedTuple):
    """The request was committed, now or before."""

    detail: str = ""


class RenewResidency(NamedTuple):
    """Asks which of these programs are still open; sent in batches."""

    sidecar: Incarnation
    programs: list[str]


class Gone(NamedTuple):
    """Programs whose engine memory must be released."""

    programs: list[str]


class Batch(NamedTuple):
    """Many program group requests in one; answered by one Batch in order.

    Each item is an encoded message (`[tag, fields...]` in msgpack).
    """

    items: list[bytes]


# --- Entry to sidecar ---------------------------------------------------------


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
    partner: str
    service: str
    key: str
    attempt: int
    sidecar: Incarnation
    base_turn: int
    base_digest: bytes
    history: list[Turn]
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
    partner: str
    service: str
    key: str
    attempt: int
    sidecar: Incarnation
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

    have: int


class Chunk(NamedTuple):
    """Part of an answer. `offset` counts the characters before `text`."""

    attempt: int
    offset: int
    text: str


class Finished(NamedTuple):
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
    usage: Usage
    load: "LoadReport"


class ToolAnswer(NamedTuple):
    """Whole answer of a plain service."""

    attempt: int
    status: int
    headers: list[list[str]]
    body: bytes
    load: "LoadReport"


class Refused(NamedTuple):
    """The attempt is sealed at this sidecar: it did not and will not run."""

    attempt: int
    failure: errors.Failure
    load: "LoadReport"


class Broken(NamedTuple):
    """The attempt ended without a whole answer; `failure` says the outcome."""

    attempt: int
    failure: errors.Failure


class Attach(NamedTuple):
    """Follows a running attempt from the start of its answer."""

    program: str
    partner: str
    key: str
    attempt: int
    sidecar: Incarnation


class SealAttempt(NamedTuple):
    """Asks that the attempt never runs here from now on."""

    program: str
    partner: str
    key: str
    attempt: int
    sidecar: Incarnation


class Sealed(NamedTuple):
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
        new_wait: Predicted wait of a program's first call, in seconds.
    """

    sidecar: Incarnation
    counter: int
    running: int
    queued: int
    limit: int
    wait: float
    token_time: float
    prefill_rate: float
    free_memory: int
    state: str
    new_wait: float = 0.0


# --- Membership and configuration -------------------------------------------


class Announcement(NamedTuple):
    """An upstream as its sidecar describes it; newest counter wins.

    Attributes:
        kind: `model` or `plain`.
        capacity: Calls that the upstream takes at once.
        state: `ready`, `loading`, `draining` or `down`.
        fencing: Whether the upstream refuses old fencing numbers.
        model: Loaded model, adapter and version, as the orders name them.
    """

    sidecar: Incarnation
    counter: int
    address: str
    service: str
    kind: str
    region: str
    failure_domain: str
    capacity: int
    state: str
    fencing: bool
    kv_export: bool
    priority: bool
    resume: bool
    model: str = ""


class Announce(NamedTuple):
    """Renews a sidecar's lease; sent on one exchange about once a second."""

    announcement: Announcement


class Announced(NamedTuple):
    """The lease is renewed for `lease` seconds from the sending of Announce.

    Attributes:
        duplicate: Set when another incarnation with this name is alive.
    """

    counter: int
    lease: float
    duplicate: bool = False


class Follow(NamedTuple):
    """Opens the configuration stream of one node.

    Attributes:
        revision: Revision that the node has applied; 0 for none.
        address: The node's stream address.
        directory: Version of the directory that the node holds.
    """

    node: Incarnation
    role: str
    failure_domain: str
    address: str
    revision: int
    directory: int = 0


class ConfigUpdate(NamedTuple):
    """Sections that changed since the node's revision, or all of them.

    Attributes:
        sections: JSON text by section name; empty text removes a section.
        lease: Seconds that the node may act on `revision`, counted from when
            it sent the last message that `echo` repeats.
    """

    revision: int
    whole: bool
    sections: dict[str, str]
    lease: float
    echo: float


class Applied(NamedTuple):
    """A node's report: the revision it applied, and its own clock for echo."""

    revision: int
    clock: float


class MembersUpdate(NamedTuple):
    """Announcements that changed, and the sidecars that are gone."""

    whole: bool
    members: list[Announcement]
    gone: list[Incarnation]


class PushManifest(NamedTuple):
    """Compare-and-set of the manifest, or a push of a numbered version.

    Attributes:
        expected: Revision that the operator started from.
        push_id: Digest of content and the operator's request id.
        manifest: JSON text.
        version: The operators' own number; the highest wins, whatever
            `expected` says. 0 for compare-and-set.
        source: What the manifest was generated from; it is kept and read
            back as sent.
    """

    expected: int
    push_id: str
    manifest: str
    operator: str
    origin: str
    version: int = 0
    source: str = ""


class Pushed(NamedTuple):
    """The push is accepted as `revision`, now or when it was first sent.

    Attributes:
        version: Highest version that was pushed so far.
    """

    revision: int
    push_id: str
    version: int = 0


class ReadManifest(NamedTuple):
    """Asks for the manifest in force by a linearizable read."""


class ManifestView(NamedTuple):
    """The manifest in force, and the version and source it was pushed as."""

    revision: int
    manifest: str
    version: int = 0
    source: str = ""


class Registration(NamedTuple):
    """An upstream that registers itself, without a sidecar.

    Attributes:
        upstream: Id of this life of the upstream; a restart has another.
        address: `IP:PORT` of its HTTP interface.
        version: Version of its software.
        slots: Requests that it runs at once.
        state: `ready` or `draining`.
        sequence: Grows with each registration of this life; a lower one is
            late and changes nothing.
        cold: Seconds for which it is still slow after its start.
    """

    upstream: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    state: str
    sequence: int
    cold: float = 0.0


class RegisterUpstream(NamedTuple):
    """Registers an upstream or renews its registration; answered by Done."""

    registration: Registration


class LeaveUpstream(NamedTuple):
    """This life of the upstream takes no new work and never will again."""

    upstream: str


class DirectoryUpdate(NamedTuple):
    """Registrations that changed, and the upstreams that are gone."""

    version: int
    whole: bool
    changed: list[Registration]
    gone: list[str]


class EmptyControl(NamedTuple):
    """Asks to move all replicas off a control instance; repeat to poll.

    Attributes:
        label: Name of the instance, or what operators call it.
        start: False to ask only how far it is.
    """

    label: str
    start: bool
    operator: str
    origin: str


class Emptied(NamedTuple):
    """Whether nothing depends on the control instance any more."""

    done: bool


class Order(NamedTuple):
    """An order to an upstream, through its sidecar.

    Attributes:
        fence: Fencing number, from the replicated counter.
        action: `load`, `unload` or `role`.
        model: Model, adapter and version.
    """

    sidecar: Incarnation
    fence: int
    action: str
    model: str


class DrainUpstream(NamedTuple):
    """Tells a sidecar to take no new work (or to take it again)."""

    sidecar: Incarnation
    drain: bool = True


class Ping(NamedTuple):
    """Liveness probe; answered by Done."""


class NodeStatus(NamedTuple):
    """One node as the control instance that serves it knows it.

    Attributes:
        applied_at: Wall clock at which it reported `revision`.
        lease: Seconds that its configuration lease still runs.
        connected: Whether its stream is open.
        control: Control instance that reports it.
    """

    node: Incarnation
    role: str
    failure_domain: str
    address: str
    revision: int
    applied_at: float
    lease: float
    connected: bool
    control: str


class ShowNodes(NamedTuple):
    """Asks a control instance for the nodes that it serves itself."""


class ShowInstances(NamedTuple):
    """Asks the config leader for every node."""


class Instances(NamedTuple):
    """Answer to ShowNodes and ShowInstances.

    Attributes:
        missing: Control instances that gave no answer.
    """

    revision: int
    nodes: list[NodeStatus]
    missing: list[str] = []


class Restrictions(NamedTuple):
    """What operators and crashes forbid, whole each time.

    Attributes:
        drains: `instance/NAME` and `failure_domain/NAME`.
        quarantined: Request digests that run nowhere.
        suspects: Request digests that run beside no other suspect.
        control: Stream addresses of the control instances.
    """

    version: int
    drains: list[str]
    quarantined: list[bytes]
    suspects: list[bytes]
    control: list[str] = []


class ShowUpstreams(NamedTuple):
    """Asks the config leader for the announced upstreams."""


class UpstreamView(NamedTuple):
    """An announced upstream.

    Attributes:
        drained: Whether an operator drains it or its failure domain.
        duplicates: Other live incarnations with its name.
        starts: Incarnations seen within the last minute.
    """

    announcement: Announcement
    drained: bool
    duplicates: list[Incarnation]
    starts: int


class Upstreams(NamedTuple):
    """Answer to ShowUpstreams."""

    upstreams: list[UpstreamView]


class DrainScope(NamedTuple):
    """Drains an instance or a failure domain, or ends the draining.

    Attributes:
        scope: `instance` or `failure_domain`.
    """

    scope: str
    name: str
    drain: bool
    operator: str
    origin: str


class ShowAudit(NamedTuple):
    """Asks for audit entries with numbers above `after`, oldest first."""

    after: int = 0
    limit: int = 1000


class AuditEntry(NamedTuple):
    """One audited act; `at` is in seconds since 1970."""

    at: float
    operator: str
    origin: str
    action: str
    subject: str
    outcome: str
    number: int


class AuditTrail(NamedTuple):
    """Answer to ShowAudit."""

    entries: list[AuditEntry]


class ShowQuarantine(NamedTuple):
    """Asks for the suspect and quarantined requests."""


class QuarantineEntry(NamedTuple):
    """A request; `until` is the wall clock at which the entry expires."""

    digest: bytes
    upstreams: list[str]
    until: float
    quarantined: bool


class QuarantineList(NamedTuple):
    """Answer to ShowQuarantine."""

    entries: list[QuarantineEntry]


class ReleaseQuarantine(NamedTuple):
    """Takes a request off the quarantine list."""

    digest: bytes
    operator: str
    origin: str


class ReportCrash(NamedTuple):
    """A sidecar's upstream crashed with these requests in flight.

    Attributes:
        number: Counts the crashes of one incarnation; makes a resend safe.
    """

    sidecar: Incarnation
    number: int
    digests: list[bytes]


class ReadFence(NamedTuple):
    """Asks for the highest fencing number by a linearizable read."""

    instance: str


class Fence(NamedTuple):
    """No order of the instance committed so far has a higher number."""

    fence: int


class ShowRollouts(NamedTuple):
    """Asks for the rollouts by service."""


class RolloutView(NamedTuple):
    """A rollout; `state` is running, paused, returning, returned or done."""

    service: str
    target: str
    previous: str
    state: str
    reason: str
    at: float


class Rollouts(NamedTuple):
    """Answer to ShowRollouts."""

    rollouts: list[RolloutView]


class SetControl(NamedTuple):
    """Notes a control instance; an empty address removes it."""

    instance: str
    address: str
    failure_domain: str
    operator: str
    origin: str


class ReplicationFrame(NamedTuple):
    """Part of a frame between replicas; `consensus.messages` decodes it.

    Attributes:
        more: Whether the next message of the exchange goes on with it.
    """

    payload: bytes
    more: bool = False


class ControlAction(NamedTuple):
    """Asks one control instance to act on the groups that it leads.

    Attributes:
        action: `replace` (voter `old` by `new`) or `snapshot`.
    """

    action: str
    old: str = ""
    new: str = ""


class ShowGroups(NamedTuple):
    """Asks a control instance for the state of its groups."""


class Groups(NamedTuple):
    """Answer to ShowGroups; each row is a JSON object."""

    rows: list[str]


TAGS: dict[int, type] = dict(
    enumerate(
        (
            errors.Failure,
            CreateProgram,
            ProgramView,
            ShowProgram,
            ListPrograms,
            Programs,
            FetchHistory,
            History,
            CloseProgram,
            BeginCall,
            Granted,
            Recorded,
            Underway,
            SettleCall,
            FinishCall,
            Done,
            RenewResidency,
            Gone,
            Batch,
            RunTurn,
            RunTool,
            NeedHistory,
            Chunk,
            Finished,
            ToolAnswer,
            Refused,
            Broken,
            Attach,
            SealAttempt,
            Sealed,
            CancelAttempt,
            WatchLoad,
            LoadReport,
            Announce,
            Announced,
            Follow,
            ConfigUpdate,
            Applied,
            MembersUpdate,
            PushManifest,
            Pushed,
            ReadManifest,
            ManifestView,
            Order,
            DrainUpstream,
            Ping,
            NodeStatus,
            ShowNodes,
            ShowInstances,
            Instances,
            Restrictions,
            ShowUpstreams,
            UpstreamView,
            Upstreams,
            DrainScope,
            ShowAudit,
            AuditEntry,
            AuditTrail,
            ShowQuarantine,
            QuarantineEntry,
            QuarantineList,
            ReleaseQuarantine,
            ReportCrash,
            ReadFence,
            Fence,
            ShowRollouts,
            RolloutView,
            Rollouts,
            SetControl,
            ReplicationFrame,
            FindCall,
            ControlAction,
            ShowGroups,
            Groups,
            Registration,
            RegisterUpstream,
            LeaveUpstream,
            DirectoryUpdate,
            EmptyControl,
            Emptied,
            OpenTurn,
            KeptTurn,
            TurnOpened,
            CloseTurn,
        ),
        start=1,
    )
)
