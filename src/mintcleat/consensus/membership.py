"""Changes to a group's configuration, one replica at a time.

A repair replaces one replica by another in three steps. It adds the new
replica as a learner, promotes it to a voter once it holds the log up to the
entry that added it, and only then removes the old replica. The next step
follows from the configuration in the log, so a new leader continues where the
previous one stopped.
"""

from mintcleat.consensus import election
from mintcleat.consensus import records
from mintcleat.consensus import replication
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities


def may_change(replica: state.State) -> bool:
    """Returns whether this replica may propose a configuration now.

    The last one must be committed, and so must an entry of the leader's own
    term. Otherwise two configurations whose majorities don't overlap could
    be in force at the same time.
    """
    return (
        replica.role == types.LEADER
        and replica.commit >= replica.term_start
        and replica.configuration_index <= replica.commit
    )


def add_learner(replica: state.State, peer: types.Peer, now: float) -> bool:
    """Proposes a learner, the first step of a repair.

    Returns:
        Whether it was proposed. It is not if this replica does not lead,
        another change or repair is in progress, or the peer is in the group.
    """
    configuration = replica.configuration
    if not may_change(replica) or configuration.learners:
        return False
    if any(configuration.is_voter(p.replaces) for p in configuration.voters):
        # A replaced voter must be removed first. If it is this leader, its
        # removal waits for the transfer of leadership; a second successor
        # added meanwhile would remain as a surplus voter.
        return False
    if any(p.replica == peer.replica for p in configuration.peers()):
        return False
    voters = _clear_replaces(configuration.voters, peer.replica)
    if not replica.settings.safeguards.add_before_remove:
        voters = _without(voters, peer.replaces)
    _propose(replica, types.Configuration(voters, [peer]), now)
    return True


def drop_learner(
    replica: state.State, learner: identities.Incarnation, now: float
) -> bool:
    """Proposes to remove a learner that failed before its promotion.

    Returns:
        Whether it was proposed.
    """
    if not may_change(replica):
        return False
    voters, learners = replica.configuration
    kept = _without(learners, learner)
    if kept == learners:
        return False
    _propose(replica, types.Configuration(voters, kept), now)
    return True


def advance(replica: state.State, now: float) -> None:
    """Proposes the next step of a repair once its condition holds."""
    if not may_change(replica):
        return
    voters, learners = replica.configuration
    for peer in voters:
        if peer.replaces == types.NO_REPLICA:
            continue
        if replica.configuration.is_voter(peer.replaces):
            _remove(replica, peer, now)
            return
    for peer in learners:
        if _caught_up(replica, peer.replica):
            promoted = [*voters, peer]
            kept = _without(learners, peer.replica)
            _propose(replica, types.Configuration(promoted, kept), now)
            return


def describe(before: types.Configuration, after: types.Configuration) -> str:
    """Returns a description of a configuration change for the event log."""
    old = {peer.replica for peer in before.voters}
    new = {peer.replica for peer in after.voters}
    for peer in after.voters:
        if peer.replica not in old and before.voters:
            return f"promoted {peer.replica}"
    for peer in before.voters:
        if peer.replica not in new:
            return f"removed {peer.replica}"
    waiting = {peer.replica for peer in before.learners}
    for peer in after.learners:
        if peer.replica not in waiting:
            if peer.replaces == types.NO_REPLICA:
                return f"added {peer.replica}"
            return f"added {peer.replica} for {peer.replaces}"
    for peer in before.learners:
        return f"gave up {peer.replica}"
    return "founded"


def _remove(replica: state.State, peer: types.Peer, now: float) -> None:
    if peer.replaces == replica.me:
        if replica.transfer_to == types.NO_REPLICA:
            election.transfer(replica, peer.replica, now)
        return
    voters, learners = replica.configuration
    kept = _clear_replaces(_without(voters, peer.replaces), peer.replaces)
    _propose(replica, types.Configuration(kept, learners), now)


def _caught_up(replica: state.State, learner: identities.Incarnation) -> bool:
    """Returns whether a learner may be promoted.

    A learner that holds the entry that added it also holds everything that
    was committed before. Losing another voter right after the promotion
    therefore loses no committed entry.
    """
    progress = replica.progress.get(learner)
    if progress is None or progress.match < replica.configuration_index:
        return False
    lag = replica.commit - progress.match
    return lag <= replica.settings.promote_lag


def _propose(
    replica: state.State, value: types.Configuration, now: float
) -> None:
    data = records.encode_configuration(value)
    replication.append(replica, types.CONFIGURATION, data, now)


def _clear_replaces(
    peers: list[types.Peer], replaced: identities.Incarnation
) -> list[types.Peer]:
    """Clears the `replaces` field of the peer that replaced `replaced`.

    A replaced replica may come back with its disk and replace another voter.
    If the old field remained, it would remove the returned replica again
    right after each promotion, and that other voter would never be replaced.
    """
    return [
        peer._replace(replaces=types.NO_REPLICA)
        if peer.replaces == replaced
        else peer
        for peer in peers
    ]


def _without(
    peers: list[types.Peer], replica: identities.Incarnation
) -> list[types.Peer]:
    return [peer for peer in peers if peer.replica != replica]
