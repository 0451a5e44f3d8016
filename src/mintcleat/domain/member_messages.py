"""Members, and upstreams that register themselves.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple

from mintcleat.domain import identities


class Announcement(NamedTuple):
    """An upstream as its sidecar describes it; newest counter wins.

    Attributes:
        kind: `model` or `plain`.
        capacity: Calls that the upstream takes at once.
        state: `ready`, `loading`, `draining` or `down`.
        fencing: Whether the upstream refuses old fencing numbers.
        model: Loaded model, adapter and version, as the orders name them.
    """

    sidecar: identities.Incarnation
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


class MembersUpdate(NamedTuple):
    """Announcements that changed, and the sidecars that are gone."""

    whole: bool
    members: list[Announcement]
    gone: list[identities.Incarnation]


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


class ReportCrash(NamedTuple):
    """A sidecar's upstream crashed with these requests in flight.

    Attributes:
        number: Counts the crashes of one incarnation; makes a resend safe.
    """

    sidecar: identities.Incarnation
    number: int
    digests: list[bytes]
