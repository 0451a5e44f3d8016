"""Decides when a leader replaces a voter, and by which replica."""

from mintcleat.consensus import lease
from mintcleat.consensus import membership
from mintcleat.consensus import roster as rosters
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities

# A spare instance counts as alive if it was heard from within this many hello
# intervals.
_ALIVE_HELLOS = 3


def tick(replica: state.State, roster: rosters.Roster, now: float) -> None:
    """Starts or cancels a repair of this group; at most one runs at a time.

    It also adds voters to a group that has fewer than `group_size`, such as
    one that was bootstrapped by a single instance before others joined.
    """
    if not membership.may_change(replica):
        return
    configuration = replica.configuration
    for learner in configuration.learners:
        if _is_lost(replica, roster, learner, now):
            membership.drop_learner(replica, learner.replica, now)
        return
    for voter in configuration.voters:
        if (
            voter.replica == replica.me
            and voter.replica.instance not in roster.evacuated
        ):
            continue
        successor = _find_successor(replica, roster, voter, now)
        if successor is not None:
            replace(replica, voter.replica, successor, now)
            return
    if len(configuration.voters) < replica.settings.group_size:
        spare = _find_spare(replica, roster, None, now)
        if spare is not None:
            membership.add_learner(replica, spare, now)


def replace(
    replica: state.State,
    old: identities.Incarnation,
    successor: types.Peer,
    now: float,
) -> bool:
    """Starts replacing a voter; returns False if it can't start now.

    See `membership.add_learner` for the conditions.
    """
    return membership.add_learner(
        replica, successor._replace(replaces=old), now
    )


def _find_successor(
    replica: state.State,
    roster: rosters.Roster,
    voter: types.Peer,
    now: float,
) -> types.Peer | None:
    """Returns the replica that should replace a voter, or None.

    A newer incarnation of the same instance proves that the voter's disk is
    lost, so the voter is replaced without a delay. Lack of contact proves
    nothing: only after `replace_after` does a spare instance replace the
    voter, so that a restart moves no data.
    """
    if voter.replica.instance in roster.evacuated:
        return _find_spare(replica, roster, voter, now)
    observed = roster.observed.get(voter.replica.instance)
    if observed and observed.peer.replica.epoch > voter.replica.epoch:
        return observed.peer if _is_alive(replica, observed, now) else None
    if not _is_silent(replica, voter.replica, now):
        return None
    return _find_spare(replica, roster, voter, now)


def _find_spare(
    replica: state.State,
    roster: rosters.Roster,
    voter: types.Peer | None,
    now: float,
) -> types.Peer | None:
    """Returns a live instance outside the group, or None.

    Instances in a failure domain without another replica of the group are
    preferred.
    """
    peers = replica.configuration.peers()
    inside = {peer.replica.instance for peer in peers}
    used = {_failure_domain(roster, p) for p in peers if p is not voter}
    found = [
        observed.peer
        for name, observed in roster.observed.items()
        if name not in inside
        and name not in roster.evacuated
        and _is_alive(replica, observed, now)
    ]
    found.sort(key=lambda p: (p.failure_domain in used, p.replica))
    return found[0] if found else None


def _failure_domain(roster: rosters.Roster, peer: types.Peer) -> str:
    """Returns a peer's failure domain.

    The configuration may lack it, if the group was bootstrapped before the
    peer had announced it.
    """
    return roster.peer(peer.replica).failure_domain or peer.failure_domain


def _is_lost(
    replica: state.State,
    roster: rosters.Roster,
    learner: types.Peer,
    now: float,
) -> bool:
    observed = roster.observed.get(learner.replica.instance)
    if observed and observed.peer.replica.epoch > learner.replica.epoch:
        return True
    return _is_silent(replica, learner.replica, now)


def _is_silent(
    replica: state.State, follower: identities.Incarnation, now: float
) -> bool:
    after = replica.settings.replace_after
    contact = max(lease.contact(replica, follower), replica.elected_at)
    return after > 0 and now - contact > after


def _is_alive(
    replica: state.State, observed: rosters.ObservedPeer, now: float
) -> bool:
    return now - observed.last_seen < _ALIVE_HELLOS * replica.settings.hello
