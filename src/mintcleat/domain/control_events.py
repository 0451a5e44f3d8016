"""Log events of control instances: elections, disks and configuration.

See `domain.events` for the rules that all events follow.
"""

from typing import NamedTuple


class LeaderChanged(NamedTuple):
    """The leader of a replication group changed.

    Attributes:
        leader: Leader of the group; empty for none.
        role: Role of this replica in the group.
    """

    group: str
    leader: str
    term: int
    role: str


class LeaderElected(NamedTuple):
    """This replica was elected leader of a group.

    Attributes:
        last_index: Index of the last entry of its log at that time. A value
            below the index of an acknowledged entry means data loss.
        last_term: Term of that entry.
        grants: Voters that voted for it, as `instance@epoch`.
        voters: All voters according to its own log.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    grants: list[str]
    voters: list[str]


class VotersChanged(NamedTuple):
    """A committed membership change of a group was applied here.

    Attributes:
        index: Index of the log entry with the change.
        reason: The change and the replicas concerned.
    """

    group: str
    index: int
    term: int
    voters: list[str]
    learners: list[str]
    reason: str


class DiskOpened(NamedTuple):
    """The instance opened its disk at the start.

    Attributes:
        identity: Replica identity, as `instance@epoch`.
        formatted: Whether the identity is new because the disk was empty or
            a copy.
        founder: Whether this instance may create groups that do not exist.
        log_bytes: Size of the write-ahead log.
        cut_bytes: Length of the torn tail that was truncated.
        groups: By group: term, last index, its term, snapshot index.
    """

    identity: str
    formatted: bool
    founder: bool
    log_bytes: int
    cut_bytes: int
    groups: dict[str, list[int]]


class SnapshotSent(NamedTuple):
    """A snapshot was sent to a follower that needs compacted log entries.

    Attributes:
        to: Replica identity of the follower.
        index: Last log entry that the snapshot includes.
        size: Size in bytes.
        whole: Whether the snapshot was sent completely.
    """

    group: str
    to: str
    index: int
    size: int
    whole: bool


class SnapshotInstalled(NamedTuple):
    """A snapshot from the leader replaced this replica's state.

    Attributes:
        index: Last log entry that the snapshot includes.
        term: Term of that entry.
        size: Size in bytes.
    """

    group: str
    index: int
    term: int
    size: int


class ConfigurationPushed(NamedTuple):
    """The leader accepted or rejected an operator's push.

    Attributes:
        version: Version that was pushed.
        revision: Revision in force after the decision.
        after_s: Time that the decision took.
        index: Log entry with the version in force; 0 when it arrived here in
            a snapshot.
        term: Term of the leader that decided.
        holders: Voters known to have that entry on disk.
    """

    version: int
    revision: int
    outcome: str
    detail: str
    after_s: float
    index: int
    term: int
    holders: list[str]


class ConfigurationRead(NamedTuple):
    """The leader answered an operator's read of the configuration.

    Attributes:
        office: Leader epoch of the config leader.
        commit: Commit index at that time.
        applied: Last index that was applied to the state machine.
        lease_left_s: Remaining time of the leader lease.
    """

    version: int
    revision: int
    office: int
    term: int
    commit: int
    applied: int
    lease_left_s: float


class PushAnswered(NamedTuple):
    """This instance answered an operator's push of a configuration.

    Attributes:
        peer: Address of the operator's client.
        size: Size of the body in bytes.
        digest: Digest of the body; equal for equal bodies.
        version: Version of the configuration; 0 if that couldn't be read.
        in_force: Highest version at the config leader when it answered; 0
            without its answer.
        outcome: `acknowledged`; `refused`: it is invalid; `unavailable`: no
            leader took it; or `unknown`: it may be in force.
        status: HTTP status of the answer; 0 if the operator's client closed
            its connection before.
        detail: Why it was not acknowledged, truncated to a maximum length.
        after_s: Time that the answer took.
    """

    peer: str
    size: int
    digest: str
    version: int
    in_force: int
    outcome: str
    status: int
    detail: str
    after_s: float


class RequestFailed(NamedTuple):
    """An unexpected error here ended a request of an operator or an upstream.

    It was answered with status 500.

    Attributes:
        path: Path of the request, truncated to a maximum length.
        peer: Address of the caller.
        error: Type of the error.
        where: File and line that raised it.
    """

    method: str
    path: str
    peer: str
    error: str
    where: str


class CrashReported(NamedTuple):
    """An entry reported a crash of an upstream; it was committed.

    Attributes:
        upstream: Incarnation of the upstream.
        entry: The entry that lost requests there.
        ago_s: Time between the loss and the report.
        lost: Number of the entry's requests that were lost.
        most_crashes: Most crashes that count against one of them.
    """

    upstream: str
    service: str
    entry: str
    ago_s: float
    lost: int
    most_crashes: int


class RequestQuarantined(NamedTuple):
    """A request was quarantined: no entry sends it to an upstream any more.

    Attributes:
        digest: Digest that all repetitions of the request share.
        request: Id of the first repetition that was lost in a crash.
        upstreams: Incarnations of upstreams that crashed under it.
        seconds: Time for which it is refused.
    """

    digest: str
    service: str
    route: str
    customer: str
    request: str
    upstreams: list[str]
    seconds: float


KINDS = (
    LeaderChanged,
    LeaderElected,
    VotersChanged,
    DiskOpened,
    SnapshotSent,
    SnapshotInstalled,
    ConfigurationPushed,
    ConfigurationRead,
    PushAnswered,
    RequestFailed,
    CrashReported,
    RequestQuarantined,
)
