"""Changes of a group's configuration, one replica at a time.

A repair adds the new replica as a learner, promotes it once it holds the
log up to an entry that was committed after it joined, and only then removes
the old one. Each step is read off the configuration in the log, so a new
leader goes on where the last one stopped.
"""

from mintcleat.consensus import election
from mintcleat.consensus import records
from mintcleat.consensus import replication
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities


def may_change(replica: state.State) -> bool:
    """Tells whether a configuration may be proposed now.

    One at a time, and only after an entry of the leader's own term is
    committed: else two configurations without a common majority could be in
    force at once.
    """
    return (
        replica.role == types.LEADER
        and replica.commit >= replica.term_start
        and replica.configuration_index <= replica.commit
    )


def add_learner(replica: state.State, peer: types.Peer, now: float) -> bool:
    """Adds a learner; False when a change or a repair is under way."""
    configuration = replica.configuration
    if not may_change(replica) or configuration.learners:
        return False
    if any(configuration.is_voter(p.replaces) for p in configuration.voters):
        # The replaced one goes first. It may be this very leader, which has
        # to hand over; a second successor would stay as a voter too many.
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
    """Removes a learner that failed before it was promoted."""
    if not may_change(replica):
        return False
    voters, learners = replica.configuration
    kept = _without(learners, learner)
    if kept == learners:
        return False
    _propose(replica, types.Configuration(voters, kept), now)
    return True


def advance(replica: state.State, now: float) -> None:
    """Takes the next step of a repair, when it is due."""
    if not may_change(replica):
        return
    voters, learners = replica.configuration
    for peer in voters:
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
    """Returns what a change of the voters and learners did, for the log."""
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
    """Tells whether a learner may vote.

    The entry that added it was committed after it joined. A learner that
    holds that entry holds all that was committed before, so that losing
    another voter right after the promotion loses nothing.
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
    peers: list[types.Peer], gone: identities.Incarnation
) -> list[types.Peer]:
    """Returns the peers without the note that one of them replaced `gone`.

    A replaced replica may come back with its disk and take another's place.
    The note that was carried out long ago would remove it again, at once and
    for ever, and the voter that it came for would never be replaced.
    """
    return [
        peer._replace(replaces=types.NO_REPLICA)
        if peer.replaces == gone
        else peer
        for peer in peers
    ]


def _without(
    peers: list[types.Peer], replica: identities.Incarnation
) -> list[types.Peer]:
    return [peer for peer in peers if peer.replica != replica]
