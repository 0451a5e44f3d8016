"""Requests of operators to control, and their answers.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple

from mintcleat.domain import identities
from mintcleat.domain import member_messages


class EvacuateControl(NamedTuple):
    """Moves all replicas off a control instance.

    Repeating the message polls the progress.

    Attributes:
        label: Name of the instance, or its label in the settings.
        start: Whether to start the evacuation; false only polls.
        origin: IP address of the operator's client.
    """

    label: str
    start: bool
    operator: str
    origin: str


class EvacuationStatus(NamedTuple):
    """Progress of an evacuation.

    Attributes:
        done: Whether nothing depends on the control instance any more.
    """

    done: bool


class DrainUpstream(NamedTuple):
    """Tells a sidecar to drain, or to accept new work again."""

    sidecar: identities.Incarnation
    drain: bool = True


class NodeStatus(NamedTuple):
    """Status of a node, as known to the control instance that serves it.

    Attributes:
        revision: Revision that the node has applied.
        applied_at: Wall-clock time in seconds at which the node reported
            `revision`.
        lease: Remaining seconds of its configuration lease.
        connected: Whether its configuration stream is open.
        control: Control instance that serves the node.
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
    """Asks a control instance for the nodes that it serves."""


class ShowInstances(NamedTuple):
    """Asks the config leader for all nodes."""


class Instances(NamedTuple):
    """Answer to ShowNodes and ShowInstances.

    Attributes:
        missing: Control instances that did not answer.
    """

    revision: int
    nodes: list[NodeStatus]
    missing: list[str] = []


class ShowUpstreams(NamedTuple):
    """Asks the config leader for the announced upstreams."""


class UpstreamView(NamedTuple):
    """An announced upstream.

    Attributes:
        drained: Whether an operator drained it or its failure domain.
        duplicates: Other live incarnations with the same name.
        starts: Number of incarnations seen within the last minute.
    """

    announcement: member_messages.Announcement
    drained: bool
    duplicates: list[identities.Incarnation]
    starts: int


class Upstreams(NamedTuple):
    """Answer to ShowUpstreams."""

    upstreams: list[UpstreamView]


class DrainScope(NamedTuple):
    """Starts or ends a drain of an instance or a failure domain.

    Attributes:
        scope: `instance` or `failure_domain`.
        name: Name of the instance or failure domain.
        drain: Whether to start the drain; false ends it.
        origin: IP address of the operator's client.
    """

    scope: str
    name: str
    drain: bool
    operator: str
    origin: str


class ShowAudit(NamedTuple):
    """Asks for at most `limit` audit entries numbered above `after`."""

    after: int = 0
    limit: int = 1000


class AuditEntry(NamedTuple):
    """An audited action of an operator or of the system.

    Attributes:
        at: Wall-clock time in seconds since 1970.
        origin: IP address of the operator's client.
        number: Sequence number of the entry.
    """

    at: float
    operator: str
    origin: str
    action: str
    subject: str
    outcome: str
    number: int


class AuditTrail(NamedTuple):
    """Answer to ShowAudit, oldest entry first."""

    entries: list[AuditEntry]


class ShowCustomers(NamedTuple):
    """Asks for the customers of the manifest in force."""


class KeyView(NamedTuple):
    """A customer's key.

    Attributes:
        digest: Digest of the key; see `domain.keys`.
        since: Wall-clock time in seconds at which the key was added; 0 if
            unknown.
    """

    digest: str
    since: float


class CustomerView(NamedTuple):
    """A customer of the manifest in force.

    Attributes:
        rate: Requests per second; 0 for no limit.
        burst: Requests beyond the rate that may be sent at once.
        priority: Rank of the customer's requests, 0 the most urgent; None
            for the priority of the route.
    """

    customer: str
    keys: list[KeyView]
    rate: float
    burst: float
    priority: int | None


class Customers(NamedTuple):
    """Answer to ShowCustomers."""

    customers: list[CustomerView]


class ShowQuarantine(NamedTuple):
    """Asks for all suspect and quarantined requests."""


class QuarantineEntry(NamedTuple):
    """A suspect or quarantined request.

    Attributes:
        digest: Digest of the request.
        upstreams: Upstreams that crashed while running the request.
        until: Wall-clock time in seconds at which the entry expires.
        quarantined: Whether it is quarantined; false for a suspect.
        service: Service whose upstreams crashed; empty for a request through
            sidecars, as the fields that follow.
        route: Route of the first repetition that was lost.
        customer: Customer that sent it; empty for none.
        request: Id of the first repetition that was lost.
        proof: Why it is listed.
    """

    digest: bytes
    upstreams: list[str]
    until: float
    quarantined: bool
    service: str = ""
    route: str = ""
    customer: str = ""
    request: str = ""
    proof: str = ""


class QuarantineList(NamedTuple):
    """Answer to ShowQuarantine."""

    entries: list[QuarantineEntry]


class ReleaseQuarantine(NamedTuple):
    """Removes a request from the quarantine list."""

    digest: bytes
    operator: str
    origin: str


class ShowRollouts(NamedTuple):
    """Asks for the rollouts of all services."""


class RolloutView(NamedTuple):
    """The last rollout of a service.

    Attributes:
        target: Version that is rolled out.
        previous: Version in use before.
        state: `running`, `paused`, `returning` (rolling back), `returned` or
            `done`.
        reason: Why the rollout was paused or rolled back.
        at: Wall-clock time in seconds of the last change of state.
    """

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
    """Adds or removes a control instance.

    Attributes:
        address: Stream address of the instance; empty to remove it.
        origin: IP address of the operator's client.
    """

    instance: str
    address: str
    failure_domain: str
    operator: str
    origin: str


class ControlAction(NamedTuple):
    """Runs an action on all groups that the control instance leads.

    Attributes:
        action: `replace` (replace the voter `old` by `new`) or `snapshot`.
    """

    action: str
    old: str = ""
    new: str = ""


class ShowGroups(NamedTuple):
    """Asks a control instance for the state of its groups."""


class Groups(NamedTuple):
    """Answer to ShowGroups; each row is the JSON text of an object."""

    rows: list[str]
