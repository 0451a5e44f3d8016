"""What control instances tell of elections, disks and configuration.

The rules of `events` hold for these too.
"""

from typing import NamedTuple


class LeaderChanged(NamedTuple):
    """A group has another leader, or none."""

    group: str
    leader: str
    term: int
    role: str


class LeaderElected(NamedTuple):
    """This replica was elected to lead a group.

    Attributes:
        last_index: Last entry that it held then; a leader that lacks an
            acknowledged entry shows here.
        grants: Voters that chose it, as `instance@epoch`.
        voters: All voters, by its own log.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    grants: list[str]
    voters: list[str]


class VotersChanged(NamedTuple):
    """A change of who votes in a group is committed and was applied here.

    Attributes:
        index: Entry that carries the change.
        reason: What it did, and for whom.
    """

    group: str
    index: int
    term: int
    voters: list[str]
    learners: list[str]
    reason: str


class DiskOpened(NamedTuple):
    """What a start found on its disk.

    Attributes:
        identity: Replica identity, as `instance@epoch`.
        formatted: Whether the disk was empty, or a copy, and got it now.
        founder: Whether this instance may start groups that nobody knows.
        log_bytes: Size of the log.
        cut_bytes: Length of the torn tail that was cut off it.
        groups: By group: term, last index, its term, snapshot's index.
    """

    identity: str
    formatted: bool
    founder: bool
    log_bytes: int
    cut_bytes: int
    groups: dict[str, list[int]]


class SnapshotSent(NamedTuple):
    """A follower that is behind the log was sent a snapshot.

    Attributes:
        whole: Whether all of it could be sent.
    """

    group: str
    to: str
    index: int
    size: int
    whole: bool


class SnapshotInstalled(NamedTuple):
    """A snapshot of the leader replaced this replica's state."""

    group: str
    index: int
    term: int
    size: int


class ConfigurationPushed(NamedTuple):
    """An operator's push was decided.

    Attributes:
        index: Entry of the log that carries the version in force; 0 when it
            came here in a snapshot.
        term: Term of the leader that decides.
        holders: Voters that were known to hold that entry on disk.
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
        office: Number under which it decides.
        commit: Last index known to be committed then.
        applied: Last index that its machine had.
    """

    version: int
    revision: int
    office: int
    term: int
    commit: int
    applied: int
    lease_left_s: float


KINDS = (
    LeaderChanged,
    LeaderElected,
    VotersChanged,
    DiskOpened,
    SnapshotSent,
    SnapshotInstalled,
    ConfigurationPushed,
    ConfigurationRead,
)
