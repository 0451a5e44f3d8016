"""Data types of the consensus core.

All times are in seconds on a monotonic clock.
"""

from typing import NamedTuple

from mintcleat.domain import identities

# Stands for no replica: no vote, no known leader, no transfer.
NO_REPLICA = identities.Incarnation("", 0)

# Kinds of log entries, as they are stored and sent.
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

    index: int  # type: ignore[assignment]
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """A control instance as the settings or another instance describe it.

    Attributes:
        address: Stream address, as `host:port`.
        label: Name that operators use for it, if it differs from `instance`.
    """

    instance: str
    address: str
    failure_domain: str
    region: str
    label: str = ""


class Peer(NamedTuple):
    """A replica of a group and its address.

    Attributes:
        address: Stream address, as `host:port`.
        replaces: Replica to remove once this one is a voter; NO_REPLICA for
            none.
    """

    replica: identities.Incarnation
    address: str
    failure_domain: str
    region: str
    replaces: identities.Incarnation = NO_REPLICA


class Configuration(NamedTuple):
    """The voters of a group, and the learners, which only receive its log."""

    voters: list[Peer]
    learners: list[Peer]

    def peers(self) -> list[Peer]:
        """Returns the voters, then the learners."""
        return [*self.voters, *self.learners]

    def is_voter(self, replica: identities.Incarnation) -> bool:
        """Returns whether a replica is a voter."""
        return replica in [peer.replica for peer in self.voters]

    def quorum(self) -> int:
        """Returns the size of a majority of the voters."""
        return len(self.voters) // 2 + 1


EMPTY = Configuration([], [])


class SnapshotMetadata(NamedTuple):
    """The last entry that a snapshot covers, and the configuration there."""

    index: int  # type: ignore[assignment]
    term: int
    configuration: Configuration


class Safeguards(NamedTuple):
    """Switches with which tests show what each safeguard prevents.

    Turning one off breaks a guarantee, so no setting controls them.

    Attributes:
        pre_vote: Hold a pre-vote before raising the term.
        lease_margin: Start the lease when the heartbeat is sent, not when
            its reply arrives.
        sync_first: Sync the disk before sending votes and acknowledgements.
        add_before_remove: Remove a replaced voter only after its successor
            became a voter.
    """

    pre_vote: bool = True
    lease_margin: bool = True
    sync_first: bool = True
    add_before_remove: bool = True


class Settings(NamedTuple):
    """Limits and timing of the core.

    Attributes:
        heartbeat: Seconds between heartbeats.
        election: Minimum election timeout in seconds; the maximum is twice
            as long.
        clock_drift: Bound on the error of a clock's rate, as a fraction.
        batch_entries: Maximum number of entries in one Append.
        batch_bytes: Bytes of data after which an Append takes no more
            entries.
        max_in_flight: Maximum number of Append messages to one follower
            without a reply.
        resend: Seconds without a reply after which a follower is probed
            again.
        snapshot_resend: Seconds to wait for the reply after a snapshot was
            sent completely.
        promote_lag: Maximum number of committed entries that a learner may
            lack when it is promoted.
        group_size: Target number of voters per group; smaller if there are
            too few instances.
        hello: Seconds between Hello messages to all instances.
        replace_after: Seconds without contact after which a spare instance
            replaces a voter, or a learner is removed; 0 for never.
        balance_after: Seconds of leading a group after which leadership is
            transferred to the voter that placement prefers, so that leaders
            are spread over the instances; 0 for never.
        founder: Whether this instance may bootstrap groups that no instance
            knows. An instance that joins a running system must not, because
            all the members that it was configured with may be down or
            partitioned.
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
