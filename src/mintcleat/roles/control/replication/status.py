"""One group as an instance sees it, for operators."""

from typing import NamedTuple

from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.ports import log

# Role of an instance that holds no replica of the group.
OUTSIDE = "outside"


class GroupStatus(NamedTuple):
    """One group as this instance sees it.

    Attributes:
        role: `leader`, `follower`, `candidate` or `pre-candidate`; `outside`
            when this instance holds no replica of the group.
        leader: The leader's stream address; empty if it is not known.
        lease_left: Seconds left of the leader lease; 0 on a follower.
        contact: By instance, the seconds since the last heartbeat that it
            answered was sent; known on the leader only.
        settled: Whether the list of voters and learners is committed.
    """

    group: str
    role: str
    term: int
    commit: int
    applied: int
    leader: str
    lease_left: float
    voters: list[types.Peer]
    learners: list[types.Peer]
    contact: dict[str, float]
    settled: bool = True


class GroupLeader(NamedTuple):
    """What an instance knows of a group's leader.

    Attributes:
        leader: The leader's stream address; empty if it is not known.
        term: The replica's term.
        role: The replica's role, or OUTSIDE.
    """

    group: str
    leader: str
    term: int
    role: str


def leader_of(replica: replicas.Replica, leader: str) -> GroupLeader:
    """Returns what an instance knows of a group's leader.

    Args:
        replica: This instance's replica of the group.
        leader: The leader's stream address; empty if it is not known.
    """
    state = replica.state
    return GroupLeader(state.group, leader, state.term, _role(replica))


def of_group(
    replica: replicas.Replica, position: log.Position, leader: str, now: float
) -> GroupStatus:
    """Returns the status of a group.

    Args:
        replica: This instance's replica of the group.
        position: The position of `replica` in the log.
        leader: The leader's stream address; empty if it is not known.
        now: The current time on the monotonic clock of `replica`.
    """
    state = replica.state
    return GroupStatus(
        state.group,
        _role(replica),
        position.term,
        position.commit,
        position.applied,
        leader,
        position.lease_left,
        state.configuration.voters,
        state.configuration.learners,
        {
            follower.instance: now - progress.last_contact
            for follower, progress in state.progress.items()
        },
        state.configuration_index <= state.commit,
    )


def _role(replica: replicas.Replica) -> str:
    state = replica.state
    for peer in state.configuration.peers():
        if peer.replica == state.me:
            return state.role
    return OUTSIDE
