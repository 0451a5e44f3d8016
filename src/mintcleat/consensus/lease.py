"""The leader lease and linearizable reads."""

import math

from mintcleat.consensus import outbox
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities


def duration(settings: types.Settings) -> float:
    """Returns the lease in seconds of the leader's clock.

    A voter that answered a heartbeat grants no vote for `election` seconds
    of its own clock. With its clock fast and the leader's slow by the stated
    drift, this much of the leader's time is over before that.
    """
    drift = settings.clock_drift
    return settings.election * (1.0 - drift) / (1.0 + drift)


def quorum_contact(replica: state.State) -> float:
    """Returns the latest sending time that a quorum has answered."""
    times = sorted(
        [contact(replica, p.replica) for p in replica.configuration.voters],
        reverse=True,
    )
    return times[replica.configuration.quorum() - 1]


def held(replica: state.State, now: float) -> bool:
    """Returns whether this leader may answer reads without asking a quorum.

    It needs a committed entry of its own term: only then does it know
    everything that earlier leaders committed.
    """
    return (
        replica.role == types.LEADER
        and not replica.lease_given_up
        and replica.commit >= replica.term_start
        and left(replica, now) > 0.0
    )


def left(replica: state.State, now: float) -> float:
    """Returns the seconds left of the lease; 0 or less when it is over."""
    if replica.role != types.LEADER:
        return 0.0
    until = quorum_contact(replica) + duration(replica.settings)
    return min(until - now, replica.settings.election)


def read(replica: state.State, token: int, now: float) -> None:
    """Requests a linearizable read; a ReadReady with the token follows."""
    if replica.role != types.LEADER:
        refused = outbox.ReadReady(replica.group, token, False, 0)
        replica.outbox.reads.append(refused)
        return
    if held(replica, now):
        _grant(replica, token)
        return
    replica.reads.append((token, now))
    replica.outbox.heartbeat_requested = True


def acknowledge(
    replica: state.State,
    sender: identities.Incarnation,
    sent: float,
    now: float,
) -> None:
    """Takes the answer to a heartbeat that left here at `sent`.

    The lease counts from the sending. Counted from the answer, a delayed
    answer would stretch it past the voter's promise: two leaders would hold
    a lease at once, and the old one would answer stale reads.
    """
    progress = replica.progress.get(sender)
    if progress is None:
        return
    margin = replica.settings.safeguards.lease_margin
    progress.last_contact = max(progress.last_contact, sent if margin else now)
    answer_reads(replica)


def answer_reads(replica: state.State) -> None:
    """Grants reads that a quorum has confirmed by a later heartbeat."""
    if not replica.reads or replica.commit < replica.term_start:
        return
    confirmed = quorum_contact(replica)
    waiting = []
    for token, asked in replica.reads:
        if confirmed >= asked:
            _grant(replica, token)
        else:
            waiting.append((token, asked))
    replica.reads = waiting


def _grant(replica: state.State, token: int) -> None:
    ready = outbox.ReadReady(replica.group, token, True, replica.commit)
    replica.outbox.reads.append(ready)


def contact(replica: state.State, voter: identities.Incarnation) -> float:
    """Returns when the last heartbeat that a follower answered was sent."""
    if voter == replica.me:
        return math.inf
    progress = replica.progress.get(voter)
    return progress.last_contact if progress else -math.inf
