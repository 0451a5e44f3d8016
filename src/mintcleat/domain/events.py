"""Structured log events.

An event is logged as one JSON object per line: the time, the instance, the
event's name and its fields. The name on the line is the class name in snake
case. Fields in seconds end in `_s`; those that end in `_age_s` give the age
of an input of a decision. No field holds content of a request.
`docs/reference/logs.md` is generated from this module.
"""

from typing import Any
from typing import NamedTuple

from mintcleat.domain import control_events

# Severities. When there are more lines than the log budget allows, DETAIL
# lines are dropped first and STATE lines last.
ERROR = "error"
STATE = "state"
DETAIL = "detail"


class ProcessStarted(NamedTuple):
    """The process started and accepts connections.

    Attributes:
        address: Address that it serves.
        start_s: Time that the start took.
    """

    role: str
    instance: str
    address: str
    start_s: float


class ProcessStopping(NamedTuple):
    """A planned stop of the process began.

    Attributes:
        under_way: Requests that are still running.
    """

    role: str
    under_way: int


class ProcessStopped(NamedTuple):
    """The process stopped.

    Attributes:
        cut: Requests that were aborted without an answer.
    """

    role: str
    cut: int


class SettingsReloaded(NamedTuple):
    """The settings file was reloaded.

    Attributes:
        changed: Names of the changed fields.
    """

    changed: list[str]


class DependencyLost(NamedTuple):
    """A dependency of this process does not answer."""

    dependency: str
    detail: str


class DependencyRegained(NamedTuple):
    """A dependency that was lost answers again."""

    dependency: str
    detail: str


class ConfigurationApplied(NamedTuple):
    """This process applied a revision of the configuration.

    Attributes:
        routes: Number of routes in it.
        services: Number of services in it.
        lease_left_s: Remaining time of the configuration lease.
    """

    revision: int
    routes: int
    services: int
    lease_left_s: float


class UpstreamChanged(NamedTuple):
    """An upstream was added, changed its state or was removed.

    Attributes:
        state: `ready` or `draining`; after a removal `gone` at an entry, and
            `left` (deregistered) or `silent` (registration expired) at the
            config leader.
        directory: Version of the directory with this change.
        version: Version of its software.
    """

    upstream: str
    service: str
    address: str
    state: str
    directory: int
    version: str = ""


class RegistrationRefused(NamedTuple):
    """A registration of an upstream was invalid and was refused.

    Attributes:
        upstream: Id in the request, truncated to a maximum length.
        peer: Address of the sender.
        detail: The first invalid field.
    """

    upstream: str
    peer: str
    detail: str


class UpstreamAvoided(NamedTuple):
    """An upstream failed and gets few or no requests for some time.

    Attributes:
        failures: Failure penalty; failures raise it, answers lower it.
        avoided_s: Time without any requests. Requests that must not be
            repeated are sent elsewhere until `failures` is below 0.5.
    """

    upstream: str
    service: str
    failures: float
    avoided_s: float


class UpstreamCrashed(NamedTuple):
    """An upstream ended without notice while it ran requests of this process.

    Attributes:
        sign: `refused` if it refuses connections since; `replaced` if another
            incarnation registered in its place.
        lost: Number of this process's requests that were lost.
        suspects: Those of them that did not end well elsewhere shortly before.
    """

    upstream: str
    service: str
    sign: str
    lost: int
    suspects: list[str]


class QuarantineChanged(NamedTuple):
    """This process learned of a change of the quarantine.

    Attributes:
        quarantined: Number of requests that are refused.
        suspects: Number of requests that run beside no other.
    """

    quarantined: int
    suspects: int


class CallTaken(NamedTuple):
    """A request arrived and matched a route.

    Attributes:
        line: Session within the program; each sub-agent has its own.
        previous: Turn that the request continues; empty for none.
        limit_s: Time from the arrival to the request's deadline.
        revision: Configuration revision that defines the route.
        lease_left_s: Remaining time of the configuration lease; 0 when it
            has expired.
        directory: Version of the directory.
        digest: Digest that all repetitions of the request share.
        last_event: Id of the event after which its caller takes a stream up;
            empty for none.
        resumes: Request of its caller that brought the first event of that
            stream; empty for none.
    """

    request: str
    route: str
    service: str
    program: str
    line: str
    previous: str
    limit_s: float
    revision: int
    lease_left_s: float
    directory: int
    customer: str
    digest: str = ""
    last_event: str = ""
    resumes: str = ""


class TurnOpened(NamedTuple):
    """A control leader reserved the tokens of a turn.

    Attributes:
        reserved: Tokens reserved.
        turns_before: Turns of history before this one.
        upstream_hint: Upstream that ran the program last; empty for none.
        commit_s: Time until the reservation was committed.
    """

    request: str
    program: str
    reserved: int
    turns_before: int
    upstream_hint: str
    commit_s: float


class CallCounted(NamedTuple):
    """Control counted a call against its customer's limit before it was sent.

    Calls that were counted ahead, with an earlier turn, have no such
    line.

    Attributes:
        commit_s: Time until the count was committed.
    """

    request: str
    program: str
    customer: str
    commit_s: float


class CallPlaced(NamedTuple):
    """An upstream was selected for an attempt.

    Attributes:
        reason: `resident`, `affinity` or `least`.
        running: Requests of this process that run at the upstream.
        elsewhere: Requests of other entries at the upstream, as last reported.
        heard_age_s: Age of the last report on other entries; -1 for none.
        candidates: Number of upstreams that were eligible.
        left_s: Time left until the request's deadline.
        directory: Version of the directory.
        expected_s: Expected time to the end of the request; -1 if unknown.
        held_tokens: Tokens that other requests hold there, as far as known.
        slowdown: Time that the upstream takes, divided by that of the median
            of its peers; 1 if it doesn't differ.
        version: Version of the upstream's software.
    """

    request: str
    upstream: str
    attempt: int
    reason: str
    running: int
    elsewhere: int
    heard_age_s: float
    candidates: int
    left_s: float
    directory: int
    expected_s: float = -1.0
    held_tokens: int = 0
    slowdown: float = 1.0
    version: str = ""


class AttemptFailed(NamedTuple):
    """An attempt failed at an upstream.

    Attributes:
        kind: Kind of the typed error.
        outcome: `not_run` or `unknown`.
        after_s: Time since the request was sent to the upstream.
        last_event: Id of the last event of the stream that was received;
            empty for none.
        beside: Other requests of this process that ran at the upstream.
        service: Service of the upstream.
        framing: What ends the answer: `length`, `chunks`, `close` (the end of
            its connection) or `none` for an answer without a body; empty if no
            answer began.
        end: How the answer ended, see `call_ended`; empty if none began.
        received: Bytes of its body.
        events: Events of the attempt.
        rest: Bytes after the last complete event.
    """

    request: str
    upstream: str
    attempt: int
    kind: str
    detail: str
    outcome: str
    after_s: float
    last_event: str
    beside: int = 0
    service: str = ""
    framing: str = ""
    end: str = ""
    received: int = 0
    events: int = 0
    rest: int = 0


class StreamContinued(NamedTuple):
    """A stream continued at another upstream, or an attempt to move it ended.

    Attributes:
        upstream: Upstream that sent the stream so far.
        destination: Upstream that sends the rest, or should have.
        reason: `interrupted` or `silent` for a stream that was resumed;
            `leaving` or `slow` for one that was moved.
        result: `resumed`, `moved` or `restored` (from a backup); `returned`
            if a stopped stream continues at its former upstream; `stayed` if
            the move was given up while it ran there; `cancelled` if the
            stream ended during the move; `unknown` if no answer told whether
            it has stopped; `lost` if it has stopped and could not continue.
        pause_s: Time between the last event before and the first after it;
            0 for a stream that did not continue.
        tokens: Tokens sent to the caller before.
        detail: Why a move failed; empty if it didn't.
        version: Version of the software of `upstream`.
        destination_version: Version of the software of `destination`.
    """

    request: str
    upstream: str
    destination: str
    reason: str
    result: str
    pause_s: float
    tokens: int
    detail: str = ""
    version: str = ""
    destination_version: str = ""


class StreamTakenUp(NamedTuple):
    """A caller takes up a stream that broke off.

    Attributes:
        resumes: Request that brought its first event; empty if the caller
            didn't say.
        version: Version of the software that began it; empty if unknown.
        known_by: `recorded` at a program group; `only`, the service had no
            other version; `unknown`, the request is refused.
        find_s: Time that this took.
        record: What the program group has on the stream: `found`; `none`, it
            never came or has expired; `ambiguous`, its id stands for streams of
            two versions; `other_service`, its route has moved since. Empty if
            the caller named no request.
    """

    request: str
    resumes: str
    service: str
    version: str
    known_by: str
    find_s: float
    record: str = ""


class StreamRecordedLate(NamedTuple):
    """The version that began a stream was recorded late.

    A take-up that came before it has been refused.

    Attributes:
        after_s: Time from the first event to the record.
        kept_s: Time for which the record is kept at least.
    """

    request: str
    service: str
    version: str
    after_s: float
    kept_s: float


class StreamUnrecorded(NamedTuple):
    """No group recorded which version began a stream; it can't be taken up."""

    request: str
    service: str
    version: str
    detail: str


class CallRefused(NamedTuple):
    """This process refused the request with an error.

    Attributes:
        kind: Kind of the typed error.
        outcome: Whether the request ran: `not_run`, `unknown` or `ran`.
        retry_after_s: Advised delay before a retry; 0 for none.
        after_s: Time since the request arrived.
        customer: Customer of the request; empty when it has none or was
            refused before the customer was known.
        revision: Configuration revision that the decision was based on.
        known_age_s: Age of the configuration: a push accepted within this
            time may be missing here.
    """

    request: str
    route: str
    program: str
    kind: str
    detail: str
    outcome: str
    retry_after_s: float
    after_s: float
    customer: str = ""
    revision: int = 0
    known_age_s: float = 0.0


class KeyUnknown(NamedTuple):
    """A request arrived with a key that no known customer has.

    The key may belong to a customer whose push has not arrived here yet, so
    the request waits for control for a short time.

    Attributes:
        key: Short digest of the key; empty when the request had none.
        waited_s: Time spent waiting for an update from control.
        behind_s: How long before the request's arrival the known
            configuration ends after the wait; negative when it includes
            pushes made after the arrival.
        waiting: Other such requests that were waiting at the time.
        sure: Whether every push made before the request is known here.
    """

    request: str
    key: str
    waited_s: float
    behind_s: float
    revision: int
    waiting: int
    sure: bool


class CallHeld(NamedTuple):
    """A call arrived before this process had a configuration.

    Attributes:
        uptime_s: Time since the process started.
        limit_s: Maximum time that the call could wait; 0 for no wait.
        held: Other calls that were waiting at the time.
        outcome: `released` when a configuration arrived, else `refused`.
    """

    request: str
    uptime_s: float
    limit_s: float
    held: int
    outcome: str
    waited_s: float


class CallEnded(NamedTuple):
    """An upstream's answer was forwarded to the caller.

    Attributes:
        outcome: `whole`, or `cut` when the answer broke off.
        first_s: Time to the first byte.
        gap_s: Longest pause between two events.
        total_s: Time to the last byte.
        tokens: Tokens in the forwarded answer.
        service: Service of the upstream.
        framing: What ends the upstream's last answer: `length`, `chunks`,
            `close` (the end of its connection) or `none` for no body.
        end: How it ended. Whole: `marked` by its framing; `confirmed`, its
            connection was closed and its upstream goes on serving, or it is as
            long as the request allows; `closed`, nobody asked its upstream (in
            experiments). Broken off: `cut` before its announced end,
            `reset`, `invalid`, `out_of_order` (an id that doesn't follow the
            one before it), `inside_event`, `no_event` (closed before the first
            one), `crashed` (closed as its upstream ended), `unconfirmed`
            (closed, and its upstream doesn't answer), `stopped` for a move, or
            `abandoned` by this process.
        received: Bytes of its body.
        events: Events in it.
        rest: Bytes after the last complete event.
        last_event: Id of the last event that was forwarded; empty for none.
        versions: Versions of the software that made the forwarded events, in
            order.
        repeated: Events that an upstream sent twice in a row, and that were
            forwarded once.
        skipped: Answers of upstreams to other requests, or to none that they
            state, that came before an answer to this one.
    """

    request: str
    route: str
    program: str
    upstream: str
    status: int
    outcome: str
    attempts: int
    first_s: float
    gap_s: float
    total_s: float
    tokens: int
    service: str = ""
    framing: str = ""
    end: str = ""
    received: int = 0
    events: int = 0
    rest: int = 0
    last_event: str = ""
    versions: tuple[str, ...] = ()
    repeated: int = 0
    skipped: int = 0


class CallerGone(NamedTuple):
    """The caller disconnected before the end of the answer.

    Attributes:
        after_s: Time since the request arrived.
    """

    request: str
    route: str
    program: str
    upstream: str
    after_s: float


class TurnSettled(NamedTuple):
    """The tokens of a turn were recorded.

    Attributes:
        tokens: Tokens sent to the caller.
        kept: Whether the turn's content was stored for later turns.
        commit_s: Time until the record was committed.
        end: How the answer that was stored ended, see `call_ended`; empty if
            none was.
    """

    request: str
    program: str
    tokens: int
    kept: bool
    commit_s: float
    end: str = ""


class TurnUnsettled(NamedTuple):
    """The tokens of a turn stay reserved because no control leader answered."""

    request: str
    program: str
    tokens: int
    detail: str


class TurnDeferred(NamedTuple):
    """The leader let a turn wait; there is one line for each turn.

    Attributes:
        request: Id of the turn.
        wait_s: Predicted wait; 0 if unknown.
        rank: Waiting turns that come before it.
        running: Running turns of the service.
        bound: Bound on running turns that applied; -1 if unknown.
        share: Share of the customer, as a fraction of the work.
        use: Work that the customer received recently, as a fraction.
    """

    request: str
    program: str
    customer: str
    service: str
    priority: int
    wait_s: float
    rank: int
    running: int
    bound: float
    share: float
    use: float


class TurnRefused(NamedTuple):
    """The leader refused the first turn of a program.

    Attributes:
        request: Id of the turn.
        wait_s: Predicted wait; 0 if unknown.
        rank: Waiting turns that come before it.
        running: Running turns of the service.
        bound: Bound on running turns that applied; -1 if unknown.
        share: Share of the customer, as a fraction of the work.
        use: Work that the customer received recently, as a fraction.
        kind: Kind of the typed error.
        reason: `duration` if the program could not end in time after the
            wait, `wait` if the wait itself was too long.
        retry_after_s: Advised delay before a retry, without jitter.
    """

    request: str
    program: str
    customer: str
    service: str
    priority: int
    wait_s: float
    rank: int
    running: int
    bound: float
    share: float
    use: float
    kind: str
    reason: str
    retry_after_s: float


class EntrySilent(NamedTuple):
    """Turns of an entry that is silent stopped counting as running.

    There is one line for an entry and service in 0.1 s at most.

    Attributes:
        entry: The entry.
        turns: Number of its turns.
    """

    entry: str
    service: str
    turns: int


class LeaderPaused(NamedTuple):
    """The leader of a group handled no messages for a time.

    Its process was stopped, or it was cut off from the entries.

    Attributes:
        seconds: Length of that time.
        waiting: Turns that wait.
    """

    service: str
    seconds: float
    waiting: int


class MemoryGrown(NamedTuple):
    """The peak memory of the process grew by another step.

    Attributes:
        peak_mb: Peak memory in MB.
        parts: Size of each structure that grows with the load, in bytes or
            items.
    """

    peak_mb: float
    parts: dict[str, int]


class EntryCapacityChanged(NamedTuple):
    """An entry came near its own limits, or has capacity again.

    Attributes:
        level: `normal`; `busy`, which takes only requests that continue a
            program; or `full`, which takes none.
        reason: What changed the level: `event loop`, `memory` or `file
            descriptors`.
        after_s: Time spent at the previous level.
        lag_s: How late the event loop ran a timer.
        memory_mb: Resident memory.
        descriptors: Open file descriptors.
        running: Requests without a complete response.
    """

    level: str
    reason: str
    after_s: float
    lag_s: float
    memory_mb: float
    descriptors: int
    running: int


class ResponseStalled(NamedTuple):
    """A response was ended because its caller doesn't read it.

    Attributes:
        request: Request id; empty for a caller without a request.
        peer: Address of the caller.
        reason: `no progress` for a time, or `buffers full` if this response
            held the most of the process's bytes for slow callers.
        unsent: Bytes that had not been sent.
        waited_s: Time since the caller last read.
    """

    request: str
    peer: str
    reason: str
    unsent: int
    waited_s: float


class ConnectionYielded(NamedTuple):
    """A caller's connection gave way to others.

    Attributes:
        request: Request id; empty if no head of a request was read.
        peer: Address of the caller.
        reason: `memory` if what callers have sent exceeds its limit: what this
            one had sent was dropped, and nothing of it has run. `connections`
            if there are too many of them.
        dropped: Bytes that were dropped.
    """

    request: str
    peer: str
    reason: str
    dropped: int


class LinesDropped(NamedTuple):
    """Lines were dropped because of the log budget or a slow reader.

    Attributes:
        dropped: Number of lines.
    """

    dropped: int
    reason: str


_STATE = (
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    SettingsReloaded,
    DependencyLost,
    DependencyRegained,
    ConfigurationApplied,
    UpstreamChanged,
    RegistrationRefused,
    UpstreamAvoided,
    UpstreamCrashed,
    QuarantineChanged,
    *control_events.KINDS,
    MemoryGrown,
    EntryCapacityChanged,
    EntrySilent,
    LeaderPaused,
    LinesDropped,
    TurnUnsettled,
)
_ERRORS = (
    AttemptFailed,
    StreamContinued,
    StreamTakenUp,
    StreamRecordedLate,
    StreamUnrecorded,
    CallRefused,
    CallerGone,
    ResponseStalled,
    ConnectionYielded,
    TurnRefused,
)
_DETAILS = (
    KeyUnknown,
    CallHeld,
    CallTaken,
    TurnOpened,
    CallCounted,
    CallPlaced,
    CallEnded,
    TurnSettled,
    TurnDeferred,
)
KINDS: tuple[type, ...] = (*_STATE, *_ERRORS, *_DETAILS)


def name_of(kind: type) -> str:
    """Returns the name of an event on its line, such as `call_placed`."""
    letters: list[str] = []
    for letter in kind.__name__:
        if letter.isupper() and letters:
            letters.append("_")
        letters.append(letter.lower())
    return "".join(letters)


def severity_of_kind(kind: type) -> str:
    """Returns the default severity of a kind of event."""
    if kind in _STATE:
        return STATE
    return ERROR if kind in _ERRORS else DETAIL


def severity_of(event: Any) -> str:
    """Returns the severity of one event, which may depend on its fields."""
    if isinstance(event, CallEnded) and event.outcome != "whole":
        return ERROR
    return severity_of_kind(type(event))
