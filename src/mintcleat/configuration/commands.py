"""Commands in the log of the config group, as msgpack `[tag, fields...]`.

A command that depends on the leader's view of the state carries
`leader_epoch`, the number that its leader got from StartLeaderEpoch. `at` is
the proposer's wall clock in seconds since 1970: the machine reads no clock, so
that every replica gets the same result.
"""

from typing import Any
from typing import NamedTuple

import msgspec

from mintcleat.configuration import sections
from mintcleat.domain import member_messages


class StartLeaderEpoch(NamedTuple):
    """Starts the epoch of a new config leader.

    The result is the machine's LeaderEpoch. Commands that carry the number
    of an earlier epoch are rejected from here on.
    """

    instance: str
    at: float


class Push(NamedTuple):
    """Replaces the manifest if its revision is `expected`.

    Attributes:
        expected: Revision that the new manifest is based on.
        push_id: Id of the push; a repeated push takes effect once.
        changed: JSON text of each section that was added or changed since
            `expected`, by key.
        removed: Keys of the sections that the new manifest lacks.
        operator: Who pushed.
        origin: Address that the push came from.
        summary: Keys of the changed sections, for the audit trail.
    """

    leader_epoch: int
    expected: int
    push_id: str
    changed: dict[str, str]
    removed: list[str]
    operator: str
    origin: str
    summary: str
    at: float


class PushVersion(NamedTuple):
    """Replaces the manifest if `version` is higher than that in force.

    Attributes:
        version: Number that the operator gave to the manifest.
        push_id: Id of the push, for the audit trail.
        sections: JSON text of every section of the manifest, by key.
        source: What the manifest was generated from, as its sender gave it.
    """

    leader_epoch: int
    version: int
    push_id: str
    sections: dict[str, str]
    source: str
    operator: str
    origin: str
    at: float


class Register(NamedTuple):
    """Registers an upstream, or changes its registration.

    Renewals that change nothing aren't proposed.

    Attributes:
        at: Seconds since 1970 by the leader's steady time. Used for the end
            of versions of software only.
    """

    leader_epoch: int
    registration: member_messages.Registration
    at: float


class Leave(NamedTuple):
    """Removes an upstream from the directory.

    Attributes:
        final: Whether the upstream deregistered itself, so that this
            incarnation never comes back. One that was removed because it was
            silent for too long may register again.
        at: As in Register.
        started: Start of the incarnation in ms since 1970, by the upstream's
            clock; 0 for the one that is registered.
    """

    leader_epoch: int
    upstream: str
    final: bool
    at: float
    started: int = 0


class AddAuditEntry(NamedTuple):
    """Adds an entry to the audit trail and changes nothing else.

    It records requests that were refused before they became a command.
    """

    operator: str
    origin: str
    action: str
    subject: str
    outcome: str
    at: float


class TakeFencingTokens(NamedTuple):
    """Allocates `count` fencing tokens; the result is the highest one."""

    leader_epoch: int
    count: int


class TakePermit(NamedTuple):
    """Takes a permit to load from the weight store, once per `holder`.

    Attributes:
        holder: Fencing token of the order that loads, as a decimal number.
        per_minute: Refill rate of the bucket in permits per minute, from the
            manifest.
        burst: Capacity of the bucket in permits, from the manifest.
    """

    leader_epoch: int
    holder: str
    per_minute: float
    burst: int
    at: float


class SetDrain(NamedTuple):
    """Starts or ends a drain.

    Attributes:
        scope: One of `machine.SCOPES`: `instance`, `failure_domain` or
            `control`.
        name: Name of the instance or failure domain.
        drain: Whether the drain starts; False ends it.
    """

    scope: str
    name: str
    drain: bool
    operator: str
    origin: str
    at: float


class RecordCrash(NamedTuple):
    """Records that an upstream crashed while it ran these requests.

    Attributes:
        crash: Id of the crash, `instance/epoch/number`; a report that is
            sent again counts once.
        digests: Digests of the requests that were in flight.
        seconds: Time that the requests stay listed.
    """

    crash: str
    upstream: str
    digests: list[bytes]
    seconds: float
    at: float


class RecordCrashes(NamedTuple):
    """Records what an entry reports about requests that crash upstreams.

    Attributes:
        crashes: Crashes as [incarnation, losses], each loss as [digest, run,
            subject]; see `lost_runs.Run` and `crash_evidence.Subject`.
        ended_well: Digests of suspects that ended well.
        crashes_to_quarantine: Policy in force, as the two times in seconds
            that follow.
        objects: As in `member_messages.ReportCrashes`.
        ended_objects: Likewise.
    """

    crashes: list[list[Any]]
    ended_well: list[bytes]
    crashes_to_quarantine: int
    quarantine_seconds: float
    suspicion_seconds: float
    at: float
    objects: list[tuple[bytes, bytes]] = []
    ended_objects: list[bytes] = []


class Release(NamedTuple):
    """Removes a request from quarantine, or from the suspects."""

    digest: bytes
    operator: str
    origin: str
    at: float


class SetControlInstance(NamedTuple):
    """Adds or changes a control instance.

    Attributes:
        address: Address of its stream listener; an empty one removes the
            instance.
    """

    instance: str
    address: str
    failure_domain: str
    operator: str
    origin: str
    at: float


class StartRollout(NamedTuple):
    """Starts the rollout of a service to a target.

    It replaces the service's rollout to another target. The result is the
    rollout in force.

    Attributes:
        target: Model, version and adapters; see `plan.target_of`.
        previous: Target to roll back to if the new one fails; empty for
            none.
    """

    leader_epoch: int
    service: str
    target: str
    previous: str
    at: float


class PlanOrder(NamedTuple):
    """Commits an order before it is sent; the result is its fencing token.

    A step that was planned and has no outcome yet gets the same token again.

    Attributes:
        instance: Upstream that the order is for.
        epoch: Epoch of that upstream's incarnation.
        action: `load` or `unload`.
        model: Target that is loaded or unloaded; see `plan.target_of`.
    """

    leader_epoch: int
    service: str
    instance: str
    epoch: int
    action: str
    model: str
    at: float


class EndOrder(NamedTuple):
    """Records the outcome of an order.

    Attributes:
        outcome: `done` or `failed`.
    """

    leader_epoch: int
    service: str
    instance: str
    fencing_token: int
    outcome: str
    at: float


class SetRollout(NamedTuple):
    """Changes the state of a service's rollout.

    Attributes:
        state: One of the states in `rollouts`.
        reason: Why a rollout was rolled back or paused; empty otherwise.
    """

    leader_epoch: int
    service: str
    state: str
    reason: str
    at: float


# The position of a command, from 1, is its tag in the log: only append.
KINDS = (
    StartLeaderEpoch,
    Push,
    AddAuditEntry,
    TakeFencingTokens,
    TakePermit,
    SetDrain,
    RecordCrash,
    Release,
    SetControlInstance,
    StartRollout,
    PlanOrder,
    EndOrder,
    SetRollout,
    PushVersion,
    Register,
    Leave,
    RecordCrashes,
)
_TAG_OF = {kind: tag for tag, kind in enumerate(KINDS, start=1)}


def encode(command: Any) -> bytes:
    """Returns a command as msgpack bytes for the log.

    Fields that earlier releases don't know are left out while they are empty.
    """
    items = [_TAG_OF[type(command)], *command]
    if isinstance(command, RecordCrashes):
        while items[-1] == []:
            items.pop()
    return msgspec.msgpack.encode(items)


def decode(data: bytes) -> Any:
    """Returns the command that was encoded to these bytes.

    Section keys that an earlier release wrote are renamed to the present ones.
    """
    items = msgspec.msgpack.decode(data)
    command = msgspec.convert(items[1:], KINDS[items[0] - 1])
    match command:
        case Push(changed=changed, removed=removed):
            return command._replace(
                changed=sections.upgraded(changed),
                removed=list(sections.upgraded_keys(dict.fromkeys(removed))),
            )
        case PushVersion():
            upgraded = sections.upgraded(command.sections)
            return command._replace(sections=upgraded)
    return command
