"""Elections: pre-vote, vote, check-quorum and leadership transfer."""

import math

from mintcleat.consensus import lease
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import placement
from mintcleat.consensus import replication
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities

# For so many election timeouts after its start a replica that knows that
# nobody leads asks for votes every heartbeat or two. Processes that end
# together are back within two seconds of each other.
_STARTUP_TIMEOUTS = 6


def tick(replica: state.State, now: float) -> None:
    """Starts an election that is due, or ends a leadership without quorum."""
    if replica.role == types.LEADER:
        _check_quorum(replica, now)
        return
    configuration = replica.configuration
    alone = len(configuration.voters) == 1
    if (alone or now >= replica.election_due) and configuration.is_voter(
        replica.me
    ):
        _start_pre_vote(replica, now)


def on_pre_vote(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.PreVoteRequest,
    now: float,
) -> None:
    """Answers whether a vote would be granted.

    A leader of before may have lost what it had not synced. The voter that
    has more then asks for votes in its place, and soon: it knows from the
    question that nobody leads.
    """
    _check_abdication(replica, sender, message.term)
    current = _is_up_to_date(replica, message.last_index, message.last_term)
    granted = (
        message.term > replica.term
        and current
        and not _has_live_leader(replica, now)
    )
    if (
        _knows_leaderless(replica)
        and not current
        and _recently_started(replica, now)
    ):
        replica.election_due = min(
            replica.election_due, _early_retry_time(replica, now)
        )
    term = message.term if granted else replica.term
    replica.send(sender, wire.PreVoteReply(replica.group, term, granted))


def on_pre_vote_reply(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.PreVoteReply,
    now: float,
) -> None:
    """Counts a pre-vote; a majority starts the election."""
    if not message.granted:
        if message.term > replica.term:
            replica.become_follower(message.term, types.NO_REPLICA, now)
        return
    if replica.role != types.PRE_CANDIDATE or message.term != replica.term + 1:
        return
    replica.grants.add(sender)
    if _has_majority(replica):
        _start_election(replica, False, now)


def on_vote(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.VoteRequest,
    now: float,
) -> None:
    """Grants or refuses a vote.

    A voter that hears a leader ignores the request, term and all: the
    leader's lease rests on it, and a replica that cannot hear the leader
    must not unseat it.
    """
    _check_abdication(replica, sender, message.term)
    if not message.transfer and _has_live_leader(replica, now):
        return
    if message.term > replica.term:
        replica.become_follower(message.term, types.NO_REPLICA, now)
    granted = (
        message.term == replica.term
        and replica.vote in (types.NO_REPLICA, sender)
        and _is_up_to_date(replica, message.last_index, message.last_term)
    )
    if granted:
        replica.vote = sender
        replica.persist_vote()
        replica.reset_election_timer(now)
    reply = wire.VoteReply(replica.group, replica.term, granted)
    replica.send_synced(sender, reply)


def on_vote_reply(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.VoteReply,
    now: float,
) -> None:
    """Counts a vote; a majority makes this replica the leader."""
    if message.term > replica.term:
        replica.become_follower(message.term, types.NO_REPLICA, now)
    if (
        replica.role == types.CANDIDATE
        and message.term == replica.term
        and message.granted
    ):
        replica.grants.add(sender)
        if _has_majority(replica):
            _become_leader(replica, now)


def on_timeout_now(
    replica: state.State,
    message: wire.TimeoutNow,
    now: float,
) -> None:
    """Holds the election that the leader asked for."""
    if (
        message.term == replica.term
        and replica.role == types.FOLLOWER
        and replica.configuration.is_voter(replica.me)
    ):
        _start_election(replica, True, now)


def transfer(
    replica: state.State, to: identities.Incarnation, now: float
) -> None:
    """Starts handing the leadership to a voter; proposals stop."""
    if replica.role != types.LEADER or not replica.configuration.is_voter(to):
        return
    replica.transfer_to = to
    replica.transfer_due = now + 2 * replica.settings.election
    continue_transfer(replica)


def continue_transfer(replica: state.State) -> None:
    """Orders the election once the chosen voter holds the whole log.

    All of it is committed by then, so that no proposer is left in doubt. The
    order may arrive at any later time and lets voters pass over their
    promise to this leader, so the lease is given up for the whole term.
    """
    progress = replica.progress.get(replica.transfer_to)
    if progress is None or replica.lease_given_up:
        return
    last = replica.log.last_index
    if progress.match == last and replica.commit == last:
        replica.lease_given_up = True
        order = wire.TimeoutNow(replica.group, replica.term)
        replica.send(replica.transfer_to, order)


def balance_leaders(replica: state.State, now: float) -> None:
    """Hands a group to the voter that should lead it, when that is well.

    After failovers one instance would else go on leading most groups, and
    its one core would set the pace for all of them.
    """
    after = replica.settings.balance_after
    if not replica.configuration.voters or after <= 0:
        return
    target = placement.preferred_leader(
        replica.group, replica.configuration
    ).replica
    progress = replica.progress.get(target)
    if progress is None or replica.transfer_to != types.NO_REPLICA:
        return
    settled = now - replica.elected_at > after
    well = now - progress.last_contact < replica.settings.election
    if settled and well:
        transfer(replica, target, now)


def _check_abdication(
    replica: state.State, sender: identities.Incarnation, term: int
) -> None:
    """Gives a promise back whose leader asks for votes in a later term.

    After the loss of all processes, every voter would wait out an election
    timeout for a leader that leads no more, and all callers with it. Who
    asks for votes in a later term has left its own, and with it the lease:
    no late answer makes it lead there again. A question from before it led
    names no later term, so it ends no promise.
    """
    if sender == replica.promised_to and term > replica.term:
        replica.leader_heard_at = -math.inf


def on_new_incarnation(
    replica: state.State, sender: identities.Incarnation, now: float
) -> None:
    """Gives a promise back when its leader is back without its disk.

    After a loss of all power that took the leader's disk too, nobody could
    ask in its place before the lease is over that it can't hold any more: one
    process has an instance's name and address. Only a replica that has heard
    no leader since its own start goes by this; its promise is one of its
    earlier life, kept because it does not know better.
    """
    promised = replica.promised_to
    emptied = (
        sender.instance == promised.instance and sender.epoch > promised.epoch
    )
    if (
        not emptied
        or not replica.no_leader_heard
        or replica.role == types.LEADER
    ):
        return
    if replica.leader_heard_at != -math.inf:
        replica.leader_heard_at = -math.inf
        replica.election_due = min(
            replica.election_due, _early_retry_time(replica, now)
        )


def _knows_leaderless(replica: state.State) -> bool:
    """Tells whether the leader of this term is known to lead no more."""
    known = replica.promised_to != types.NO_REPLICA
    return known and replica.leader_heard_at == -math.inf


def _recently_started(replica: state.State, now: float) -> bool:
    return now - replica.started < _STARTUP_TIMEOUTS * replica.settings.election


def _early_retry_time(replica: state.State, now: float) -> float:
    """Returns when to ask next; one that others may ask beside waits more."""
    beat = replica.settings.heartbeat
    if replica.promised_to == replica.me:
        return now + beat
    return now + beat * (0.5 + 3.0 * replica.jitter())


def _schedule_retry(replica: state.State, now: float) -> None:
    """Sets when votes are asked for again if this election comes to nothing.

    Who knows that nobody leads starts beside the other voters and does not
    know which of them are up yet. Questions leave no trace at a voter, so
    they are repeated often while processes start; afterwards as by any other.
    """
    if _knows_leaderless(replica) and _recently_started(replica, now):
        replica.election_due = _early_retry_time(replica, now)
        return
    replica.reset_election_timer(now)


def _start_pre_vote(replica: state.State, now: float) -> None:
    # A replica behind a partition asks in vain and keeps its term; had it
    # raised the term, its return would unseat a healthy leader.
    if not replica.settings.safeguards.pre_vote:
        _start_election(replica, False, now)
        return
    replica.role = types.PRE_CANDIDATE
    replica.leader = types.NO_REPLICA
    replica.grants = {replica.me}
    _schedule_retry(replica, now)
    if _has_majority(replica):
        _start_election(replica, False, now)
        return
    log = replica.log
    message = wire.PreVoteRequest(
        replica.group, replica.term + 1, log.last_index, log.last_term
    )
    for peer in replica.configuration.voters:
        if peer.replica != replica.me:
            replica.send(peer.replica, message)


def _start_election(
    replica: state.State, transfer_order: bool, now: float
) -> None:
    replica.term += 1
    replica.vote = replica.me
    replica.persist_vote()
    replica.role = types.CANDIDATE
    replica.leader = types.NO_REPLICA
    replica.grants = {replica.me}
    replica.reset_election_timer(now)
    if _has_majority(replica):
        _become_leader(replica, now)
        return
    log = replica.log
    message = wire.VoteRequest(
        replica.group,
        replica.term,
        log.last_index,
        log.last_term,
        transfer_order,
    )
    for peer in replica.configuration.voters:
        if peer.replica != replica.me:
            replica.send_synced(peer.replica, message)


def _become_leader(replica: state.State, now: float) -> None:
    log = replica.log
    replica.outbox.elections.append(
        outbox.Elected(
            replica.group,
            replica.term,
            log.last_index,
            log.last_term,
            sorted(replica.grants),
            replica.configuration,
        )
    )
    replica.role = types.LEADER
    replica.leader = replica.me
    replica.persist_leader(replica.me)
    replica.elected_at = now
    replica.lease_given_up = False
    replica.transfer_to = types.NO_REPLICA
    replica.transfer_due = math.inf
    replica.progress = {}
    replication.track_peers(replica, now)
    replica.term_start = replication.append(replica, types.NOOP, b"", now)
    replica.outbox.heartbeat_requested = True


def _check_quorum(replica: state.State, now: float) -> None:
    """Ends a leadership that no quorum answers.

    Behind a silent partition a leader would keep its callers waiting for
    commits that cannot come; stepping down sends them elsewhere.
    """
    longest = 2 * replica.settings.election
    contact = max(lease.quorum_contact(replica), replica.elected_at)
    if now - contact > longest or now > replica.transfer_due:
        replica.become_follower(replica.term, types.NO_REPLICA, now)


def _has_live_leader(replica: state.State, now: float) -> bool:
    if replica.role == types.LEADER:
        return now - lease.quorum_contact(replica) < replica.settings.election
    return now - replica.leader_heard_at < replica.settings.election


def _is_up_to_date(replica: state.State, index: int, term: int) -> bool:
    log = replica.log
    return (term, index) >= (log.last_term, log.last_index)


def _has_majority(replica: state.State) -> bool:
    configuration = replica.configuration
    votes = sum(p.replica in replica.grants for p in configuration.voters)
    return votes >= configuration.quorum()
