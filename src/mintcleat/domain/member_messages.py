"""Messages on sidecars and on upstreams that register themselves.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple

from mintcleat.domain import identities


class Announcement(NamedTuple):
    """An upstream as announced by its sidecar; the highest counter wins.

    Attributes:
        counter: Increases with each change within one incarnation.
        kind: `model` or `plain`.
        capacity: Number of concurrent calls that the upstream accepts.
        state: `ready`, `loading`, `draining` or `down`.
        fencing: Whether the upstream refuses outdated fencing tokens.
        kv_export: Whether the upstream can export the cache of a program.
        priority: Whether the upstream supports priorities.
        resume: Whether the upstream can resume a broken stream.
        model: Loaded model, adapter and version, as in orders.
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
    """Renews the lease of a sidecar.

    A sidecar sends it about once a second, always on the same exchange.
    """

    announcement: Announcement


class LeaseRenewed(NamedTuple):
    """The lease of a sidecar was renewed.

    Attributes:
        counter: Counter of the announcement that renewed it.
        lease: Duration in seconds, from the time Announce was sent.
        duplicate: Whether another live incarnation has the same name.
    """

    counter: int
    lease: float
    duplicate: bool = False


class MembersUpdate(NamedTuple):
    """Changed announcements and removed sidecars.

    Attributes:
        whole: Whether `members` lists all sidecars, not only changes.
    """

    whole: bool
    members: list[Announcement]
    gone: list[identities.Incarnation]


class Registration(NamedTuple):
    """An upstream that registers itself, without a sidecar.

    Attributes:
        upstream: Id of the upstream. After a restart it has a new id, or the
            same id and a later `started`.
        address: `IP:PORT` of its HTTP interface.
        version: Version of its software.
        slots: Number of requests that it runs concurrently.
        state: `ready` or `draining`.
        sequence: Increases with each registration of this incarnation. A
            registration with a lower number arrived late and is ignored.
        cold: Seconds for which it will still be slow after its start.
        started: Start of this incarnation in ms since 1970 by its own clock;
            0 if unknown.
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
        """Unique name of this incarnation of the upstream.

        Measurements of one incarnation do not apply to the next, which starts
        without the cache, connections and requests of the former.
        """
        if not self.started:
            return self.upstream
        return f"{self.upstream}#{self.started}"


class RegisterUpstream(NamedTuple):
    """Registers an upstream or renews its registration; answered by Done."""

    registration: Registration


class DeregisterUpstream(NamedTuple):
    """An incarnation of an upstream accepts no more work for good.

    Attributes:
        started: Start of that incarnation; 0 for the registered one.
    """

    upstream: str
    started: int = 0


class DirectoryUpdate(NamedTuple):
    """Changed registrations and removed upstreams.

    Attributes:
        version: Version of the directory after the update.
        whole: Whether `changed` lists all upstreams, not only changes.
        gone: Ids of removed upstreams.
    """

    version: int
    whole: bool
    changed: list[Registration]
    gone: list[str]


class ReadSoftwareVersions(NamedTuple):
    """Asks the config leader for the versions that a service has had.

    Attributes:
        seconds: Time before now that counts.
    """

    service: str
    seconds: float


class SoftwareVersions(NamedTuple):
    """The versions of the software of a service's upstreams, in any order."""

    versions: list[str]


class ReportCrash(NamedTuple):
    """Reports that a sidecar's upstream crashed with requests in flight.

    Attributes:
        number: Number of the crash within the sidecar's incarnation, by which
            a resent report is recognized.
        digests: Digests of the requests in flight.
    """

    sidecar: identities.Incarnation
    number: int
    digests: list[bytes]


class LostRequest(NamedTuple):
    """A request that an entry lost when an upstream crashed.

    Times are durations, so that the clocks of entry and control need not agree.

    Attributes:
        digest: Digest that all repetitions of the request share.
        ran: Seconds from its sending until its connection was lost.
        after: Incarnation of the upstream that had crashed under the attempt
            before, of the same request; empty for none.
        request: Id of this repetition.
    """

    digest: bytes
    ran: float
    after: str
    route: str
    customer: str
    request: str


class CrashedUpstream(NamedTuple):
    """A crash of an upstream, as one entry saw it.

    Attributes:
        upstream: Incarnation of the upstream.
        ago: Seconds since the connections were lost.
        losses: The requests of this entry that ran there.
    """

    upstream: str
    service: str
    ago: float
    losses: list[LostRequest]


class ReportCrashes(NamedTuple):
    """Reports crashes of upstreams, and suspects that ended well.

    It may be sent again: a crash is known by the upstream's incarnation.

    Attributes:
        ended_well: Digests of suspects of which an upstream completed a run.
        objects: The digest of a lost request and that of its object, for those
            whose object is a suspect by it.
        ended_objects: Digests of suspected and quarantined objects of which an
            upstream completed a run.
        unsure: Seconds after the loss in which an upstream may have crashed, by
            incarnation, for those that were only found replaced.
    """

    entry: identities.Incarnation
    crashes: list[CrashedUpstream]
    ended_well: list[bytes] = []
    objects: list[tuple[bytes, bytes]] = []
    ended_objects: list[bytes] = []
    unsure: list[tuple[str, float]] = []
