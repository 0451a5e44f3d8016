"""When a leader replaces a voter, and by whom."""

from mintcleat.consensus import lease
from mintcleat.consensus import membership
from mintcleat.consensus import roster as rosters
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities

# A spare must have been heard within this many greeting periods.
_ALIVE_PERIODS = 3


def tick(replica: state.State, roster: rosters.Roster, now: float) -> None:
    """Starts or gives up a repair of this group, one at a time.

    A group with too few voters grows too: one that an instance founded alone
    is as safe as the others once more instances are listed.
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
            and voter.replica.instance not in roster.retired
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
    """Starts replacing a voter; False when another change is under way."""
    return membership.add_learner(
        replica, successor._replace(replaces=old), now
    )


def _find_successor(
    replica: state.State,
    roster: rosters.Roster,
    voter: types.Peer,
    now: float,
) -> types.Peer | None:
    """Returns who should replace a voter, or None when it is well.

    A new incarnation on the same instance proves that the old one is gone:
    its disk is, so waiting has no use. Silence alone proves nothing, and a
    spare comes only after `replace_after`, so that a restart moves no data.
    """
    if voter.replica.instance in roster.retired:
        return _find_spare(replica, roster, voter, now)
    resident = roster.observed.get(voter.replica.instance)
    if resident and resident.peer.replica.epoch > voter.replica.epoch:
        return resident.peer if _is_alive(replica, resident, now) else None
    if not _is_silent(replica, voter.replica, now):
        return None
    return _find_spare(replica, roster, voter, now)


def _find_spare(
    replica: state.State,
    roster: rosters.Roster,
    voter: types.Peer | None,
    now: float,
) -> types.Peer | None:
    """Returns a live instance outside the group, best in a free domain."""
    peers = replica.configuration.peers()
    inside = {peer.replica.instance for peer in peers}
    used = {_failure_domain(roster, p) for p in peers if p is not voter}
    found = [
        resident.peer
        for name, resident in roster.observed.items()
        if name not in inside
        and name not in roster.retired
        and _is_alive(replica, resident, now)
    ]
    found.sort(key=lambda p: (p.failure_domain in used, p.replica))
    return found[0] if found else None


def _failure_domain(roster: rosters.Roster, peer: types.Peer) -> str:
    """Returns a peer's domain; a founder may have been known without it."""
    return roster.peer(peer.replica).failure_domain or peer.failure_domain


def _is_lost(
    replica: state.State,
    roster: rosters.Roster,
    learner: types.Peer,
    now: float,
) -> bool:
    resident = roster.observed.get(learner.replica.instance)
    if resident and resident.peer.replica.epoch > learner.replica.epoch:
        return True
    return _is_silent(replica, learner.replica, now)


def _is_silent(
    replica: state.State, follower: identities.Incarnation, now: float
) -> bool:
    after = replica.settings.replace_after
    contact = max(lease.contact(replica, follower), replica.elected_at)
    return after > 0 and now - contact > after


def _is_alive(
    replica: state.State, resident: rosters.ObservedPeer, now: float
) -> bool:
    return now - resident.last_seen < _ALIVE_PERIODS * replica.settings.hello
