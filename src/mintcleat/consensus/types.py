"""Data of the consensus core. Times are seconds of a monotonic clock."""

from typing import NamedTuple

from mintcleat.domain import identities

NO_REPLICA = identities.Incarnation("", 0)

# Kinds of entries.
NOOP = 0
COMMAND = 1
CONFIGURATION = 2

# Roles of a replica.
FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"


class Entry(NamedTuple):
    """One entry of a group's log; indexes start at 1."""

    index: int
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """A control instance as the settings or another instance describe it.

    Attributes:
        label: Name that operators use for it, where that is another one.
    """

    instance: str
    address: str
    failure_domain: str
    region: str
    label: str = ""


class Peer(NamedTuple):
    """A replica of a group and where it is reached.

    Attributes:
        replaces: The replica that goes once this one is a voter.
    """

    replica: identities.Incarnation
    address: str
    failure_domain: str
    region: str
    replaces: identities.Incarnation = NO_REPLICA


class Configuration(NamedTuple):
    """Who votes in a group, and who only receives its log."""

    voters: list[Peer]
    learners: list[Peer]

    def peers(self) -> list[Peer]:
        """Returns voters and learners."""
        return [*self.voters, *self.learners]

    def is_voter(self, replica: identities.Incarnation) -> bool:
        """Tells whether a replica is a voter."""
        return any(peer.replica == replica for peer in self.voters)

    def quorum(self) -> int:
        """Returns the size of a majority of the voters."""
        return len(self.voters) // 2 + 1


EMPTY = Configuration([], [])


class SnapshotMetadata(NamedTuple):
    """Where a snapshot ends, and the configuration there."""

    index: int
    term: int
    configuration: Configuration


class Safeguards(NamedTuple):
    """Switches for the tests that show what each safeguard prevents.

    Turning one off breaks a guarantee; no setting reaches them.

    Attributes:
        pre_vote: Ask before raising the term.
        lease_margin: Time the lease from the sending of the heartbeat.
        sync_first: Sync before votes and acknowledgements leave.
        add_before_remove: Remove a replaced voter only after its successor.
    """

    pre_vote: bool = True
    lease_margin: bool = True
    sync_first: bool = True
    add_before_remove: bool = True


class Settings(NamedTuple):
    """Limits and times of the core.

    Attributes:
        heartbeat: Seconds between heartbeats.
        election: Shortest election timeout; the longest is twice this.
        clock_drift: Bound on how far a clock's rate is from true, as a share.
        batch_entries: Most entries in one message.
        batch_bytes: Bytes after which a message takes no more entries.
        max_in_flight: Messages to one follower that may be unanswered.
        resend: Seconds of silence after which a follower is probed again.
        snapshot_resend: The same after a snapshot was wholly sent.
        promote_lag: Entries by which a learner may trail when it is promoted.
        group_size: Voters of a group, where there are enough instances.
        hello: Seconds between greetings among all instances.
        replace_after: Seconds of silence after which a spare replaces a
            voter, or a silent learner is given up; 0 for never.
        balance_after: Seconds of leading after which a group goes to the
            voter that should lead it, so that leaders are spread; 0 for
            never.
        founder: Whether this instance may start groups that nobody knows.
            An instance that joins a running system must not: the members
            that it was told of may all be down or cut off.
    """

    heartbeat: float = 0.1
    election: float = 0.5
    clock_drift: float = 0.01
    batch_entries: int = 512
    batch_bytes: int = 256 * 1024
    max_in_flight: int = 2
    resend: float = 0.4
    snapshot_resend: float = 10.0
    promote_lag: int = 1000
    group_size: int = 3
    hello: float = 1.0
    replace_after: float = 120.0
    balance_after: float = 30.0
    founder: bool = True
    safeguards: Safeguards = Safeguards()
