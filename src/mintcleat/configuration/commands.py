"""Commands of the config group's log, as msgpack arrays `[tag, fields...]`.

Each command that decides something carries `office`, the number its leader
got from TakeOffice, and `at`, the proposer's wall clock in seconds since
1970. The machine reads no clock of its own, so every replica gets the same
result.
"""

from typing import Any
from typing import NamedTuple

import msgspec

from mintcleat.configuration import sections
from mintcleat.domain import member_messages


class TakeOffice(NamedTuple):
    """A new leader asks for its number; commands of older ones are void."""

    instance: str
    at: float


class Push(NamedTuple):
    """Compare-and-set of the manifest.

    Attributes:
        changed: JSON text of the sections that differ from `expected`.
        removed: Sections that `expected` has and the new manifest lacks.
        summary: Paths of changed fields, for the audit trail.
    """

    office: int
    expected: int
    push_id: str
    changed: dict[str, str]
    removed: list[str]
    operator: str
    origin: str
    summary: str
    at: float


class PushVersion(NamedTuple):
    """A push of a numbered version; the highest wins.

    Attributes:
        sections: JSON text of every section of the manifest.
        source: What the manifest was generated from.
    """

    office: int
    version: int
    push_id: str
    sections: dict[str, str]
    source: str
    operator: str
    origin: str
    at: float


class Register(NamedTuple):
    """A registration that differs from the one on record.

    Attributes:
        at: Seconds since 1970, for people who read the log.
    """

    office: int
    registration: member_messages.Registration
    at: float


class Leave(NamedTuple):
    """Takes an upstream out of the directory.

    Attributes:
        final: Whether it said so itself: this life never comes back. One
            that only fell silent may register again.
        at: Seconds since 1970, for people who read the log.
        started: Start of the life that is meant; 0 for the registered one.
    """

    office: int
    upstream: str
    final: bool
    at: float
    started: int = 0


class Note(NamedTuple):
    """Adds an audit entry for something that changed nothing."""

    operator: str
    origin: str
    action: str
    subject: str
    outcome: str
    at: float


class TakeFence(NamedTuple):
    """Takes `count` fencing numbers; the answer is the highest of them."""

    office: int
    count: int


class TakePermit(NamedTuple):
    """Takes a permit of the weight store for `holder`, once per `holder`.

    Attributes:
        per_minute: Refill rate of the bucket, from the manifest.
        burst: Size of the bucket, from the manifest.
    """

    office: int
    holder: str
    per_minute: float
    burst: int
    at: float


class SetDrain(NamedTuple):
    """Drains an instance or a failure domain, or ends the draining.

    Attributes:
        scope: `instance` or `failure_domain`.
    """

    scope: str
    name: str
    drain: bool
    operator: str
    origin: str
    at: float


class Suspect(NamedTuple):
    """An upstream crashed while it ran the requests of these digests.

    Attributes:
        crash: Id of the crash (`instance/epoch/number`), to count it once.
    """

    crash: str
    upstream: str
    digests: list[bytes]
    seconds: float
    at: float


class Release(NamedTuple):
    """Takes a digest off the quarantine list."""

    digest: bytes
    operator: str
    origin: str
    at: float


class SetMember(NamedTuple):
    """Adds, changes or removes (empty address) a control instance."""

    instance: str
    address: str
    failure_domain: str
    operator: str
    origin: str
    at: float


class StartRollout(NamedTuple):
    """Starts the rollout of a service to a target; one at a time.

    Attributes:
        previous: Target to return to when the new one fails.
    """

    office: int
    service: str
    target: str
    previous: str
    at: float


class PlanOrder(NamedTuple):
    """Commits an order before it is sent; the answer is its fencing number.

    The same step of the same rollout always gets the same number.
    """

    office: int
    service: str
    instance: str
    epoch: int
    action: str
    model: str
    at: float


class EndOrder(NamedTuple):
    """Records what came of an order: `done` or `failed`."""

    office: int
    service: str
    instance: str
    fencing_token: int
    outcome: str
    at: float


class SetRollout(NamedTuple):
    """Changes the state of a rollout; see `rollouts`."""

    office: int
    service: str
    state: str
    reason: str
    at: float


KINDS = (
    TakeOffice,
    Push,
    Note,
    TakeFence,
    TakePermit,
    SetDrain,
    Suspect,
    Release,
    SetMember,
    StartRollout,
    PlanOrder,
    EndOrder,
    SetRollout,
    PushVersion,
    Register,
    Leave,
)
_TAG_OF = {kind: tag for tag, kind in enumerate(KINDS, start=1)}


def encode(command: Any) -> bytes:
    """Returns the command as bytes for the log."""
    return msgspec.msgpack.encode([_TAG_OF[type(command)], *command])


def decode(data: bytes) -> Any:
    """Returns the typed command that `encode` made these bytes from."""
    items = msgspec.msgpack.decode(data)
    command = msgspec.convert(items[1:], KINDS[items[0] - 1])
    match command:
        case Push(changed=changed, removed=removed):
            return command._replace(
                changed=sections.upgraded(changed),
                removed=list(sections.upgraded_keys(dict.fromkeys(removed))),
            )
        case PushVersion():
            held = sections.upgraded(command.sections)
            return command._replace(sections=held)
    return command
