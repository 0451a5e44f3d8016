"""What operators ask of control, and what they are shown.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple

from mintcleat.domain import identities
from mintcleat.domain import member_messages


class EvacuateControl(NamedTuple):
    """Asks to move all replicas off a control instance; repeat to poll.

    Attributes:
        label: Name of the instance, or what operators call it.
        start: False to ask only how far it is.
    """

    label: str
    start: bool
    operator: str
    origin: str


class EvacuationStatus(NamedTuple):
    """Whether nothing depends on the control instance any more."""

    done: bool


class DrainUpstream(NamedTuple):
    """Tells a sidecar to take no new work (or to take it again)."""

    sidecar: identities.Incarnation
    drain: bool = True


class NodeStatus(NamedTuple):
    """One node as the control instance that serves it knows it.

    Attributes:
        applied_at: Wall clock at which it reported `revision`.
        lease: Seconds that its configuration lease still runs.
        connected: Whether its stream is open.
        control: Control instance that reports it.
    """

    node: identities.Incarnation
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


class ShowUpstreams(NamedTuple):
    """Asks the config leader for the announced upstreams."""


class UpstreamView(NamedTuple):
    """An announced upstream.

    Attributes:
        drained: Whether an operator drains it or its failure domain.
        duplicates: Other live incarnations with its name.
        starts: Incarnations seen within the last minute.
    """

    announcement: member_messages.Announcement
    drained: bool
    duplicates: list[identities.Incarnation]
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


class ShowCustomers(NamedTuple):
    """Asks for the customers of the manifest in force."""


class KeyView(NamedTuple):
    """A customer's key: its digest, and when it was added (wall clock).

    Keys that were in force before this was noted have no time: 0.
    """

    digest: str
    since: float


class CustomerView(NamedTuple):
    """A customer as the manifest has it; a rate of 0 is no limit."""

    customer: str
    keys: list[KeyView]
    rate: float
    burst: float
    priority: int | None


class Customers(NamedTuple):
    """Answer to ShowCustomers."""

    customers: list[CustomerView]


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
