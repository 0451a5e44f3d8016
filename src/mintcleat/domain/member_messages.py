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


class LeaseRenewed(NamedTuple):
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
        upstream: Its id. A restart has another one, or the same id and a later
            start.
        address: `IP:PORT` of its HTTP interface.
        version: Version of its software.
        slots: Requests that it runs at once.
        state: `ready` or `draining`.
        sequence: Grows with each registration of this life; a lower one is
            late and changes nothing.
        cold: Seconds for which it is still slow after its start.
        started: When this life of it started, in ms since 1970 by its own
            clock; 0 when it does not say.
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
    started: int = 0

    @property
    def incarnation(self) -> str:
        """Names this life of the upstream; the next one has another name.

        What was learned of one life says nothing about the next, which holds
        no cache, no connections and no requests of the one before.
        """
        if not self.started:
            return self.upstream
        return f"{self.upstream}#{self.started}"


class RegisterUpstream(NamedTuple):
    """Registers an upstream or renews its registration; answered by Done."""

    registration: Registration


class DeregisterUpstream(NamedTuple):
    """A life of the upstream takes no new work and never will again.

    Attributes:
        started: Start of that life; 0 for the one that is registered.
    """

    upstream: str
    started: int = 0


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
