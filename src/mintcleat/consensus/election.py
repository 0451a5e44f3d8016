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

# Number of election timeouts after its start for which a replica that knows
# that its group has no leader retries every heartbeat or two. Processes that
# stop together restart within about 2 s of each other.
_STARTUP_TIMEOUTS = 6


def tick(replica: state.State, now: float) -> None:
    """Starts an election that is due, or steps down without a quorum."""
    if replica.role == types.LEADER:
        _check_quorum(replica, now)
        return
    configuration = replica.configuration
    single_voter = len(configuration.voters) == 1
    if (single_voter or now >= replica.election_due) and configuration.is_voter(
        replica.me
    ):
        _start_pre_vote(replica, now)


def on_pre_vote(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.PreVoteRequest,
    now: float,
) -> None:
    """Replies whether this replica would grant a vote.

    After a restart the former leader may lack entries that it had not
    synced. Its request shows that the group has no leader, so a voter whose
    log is more up to date runs for election itself, without waiting for its
    timeout.
    """
    _release_promise_to_candidate(replica, sender, message.term)
    current = _is_up_to_date(replica, message.last_index, message.last_term)
    granted = (
        message.term > replica.term
        and current
        and not _has_live_leader(replica, now)
    )
    if granted and replica.role == types.PRE_CANDIDATE:
        granted = _yields_to(replica, sender, message, now)
    if (
        _leader_known_lost(replica)
        and not current
        and _recently_started(replica, now)
    ):
        replica.election_due = min(
            replica.election_due, _early_retry_time(replica, now)
        )
    term = message.term if granted else replica.term
    replica.send(sender, wire.PreVoteReply(replica.group, term, granted))


def _yields_to(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.PreVoteRequest,
    now: float,
) -> bool:
    """Has one of two replicas that ask for pre-votes at one time give way.

    If each granted the other one's, both would start an election, and neither
    would win. The one with the older log gives way, of equals the one with the
    greater name. Its timeout starts again, in case that the other one fails.

    Returns:
        Whether this replica gives way.
    """
    log = replica.log
    own = (log.last_term, log.last_index)
    other = (message.last_term, message.last_index)
    if own > other or (own == other and replica.me < sender):
        return False
    replica.role = types.FOLLOWER
    replica.grants = set()
    replica.reset_election_timer(now)
    return True


def on_pre_vote_reply(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.PreVoteReply,
    now: float,
) -> None:
    """Counts a pre-vote; a majority of them starts an election."""
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

    A voter that has a live leader ignores the request and does not adopt its
    term. The leader's lease relies on this, and a replica that has lost its
    connection to the leader must not depose it.
    """
    _release_promise_to_candidate(replica, sender, message.term)
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
    """Counts a vote; a majority of them makes this replica the leader."""
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
    """Starts the election that the leader requested by a transfer."""
    if (
        message.term == replica.term
        and replica.role == types.FOLLOWER
        and replica.configuration.is_voter(replica.me)
    ):
        _start_election(replica, True, now)


def transfer(
    replica: state.State, to: identities.Incarnation, now: float
) -> None:
    """Starts a leadership transfer; proposals are refused until it ends.

    Does nothing if this replica does not lead or `to` is not a voter.
    """
    if replica.role != types.LEADER or not replica.configuration.is_voter(to):
        return
    replica.transfer_to = to
    replica.transfer_due = now + 2 * replica.settings.election
    continue_transfer(replica)


def continue_transfer(replica: state.State) -> None:
    """Sends TimeoutNow once the target holds the whole log.

    It waits until the whole log is committed, so that every proposer knows
    the outcome. TimeoutNow may arrive at any later time, and voters then
    vote in spite of their promise to this leader, so the lease is given up
    for the rest of the term.
    """
    progress = replica.progress.get(replica.transfer_to)
    if progress is None or replica.lease_given_up:
        return
    last = replica.log.last_index
    if progress.match == last and replica.commit == last:
        replica.lease_given_up = True
        message = wire.TimeoutNow(replica.group, replica.term)
        replica.send(replica.transfer_to, message)


def balance_leaders(replica: state.State, now: float) -> None:
    """Transfers leadership to the preferred voter, if that one is healthy.

    Otherwise one instance could lead most groups after a few failovers, and
    its single core would limit the throughput of all of them.
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
    healthy = now - progress.last_contact < replica.settings.election
    if settled and healthy:
        transfer(replica, target, now)


def _release_promise_to_candidate(
    replica: state.State, sender: identities.Incarnation, term: int
) -> None:
    """Releases the promise to a leader that asks for votes in a later term.

    A leader that campaigns in a later term has given up its own term and the
    lease with it, and no delayed reply can restore them. Without this rule,
    after a restart of all processes every voter, and so every caller, would
    wait a whole election timeout for a leader that no longer exists. A
    delayed request from the election that the leader won does not name a
    later term, so it does not release the promise.
    """
    if sender == replica.promised_to and term > replica.term:
        replica.leader_heard_at = -math.inf


def on_new_incarnation(
    replica: state.State, sender: identities.Incarnation, now: float
) -> None:
    """Releases the promise to a leader that came back with an empty disk.

    Only one process can have an instance's name and address, so a newer
    incarnation proves that the leader's process has ended and its lease with
    it. Without this rule, after a power loss that also destroyed the
    leader's disk, no other replica could be elected until that lease had
    expired.

    It applies only to a replica that has not heard from a leader since its
    own start: its promise dates from before the restart and is kept merely
    as a precaution.
    """
    promised = replica.promised_to
    is_newer_incarnation = (
        sender.instance == promised.instance and sender.epoch > promised.epoch
    )
    if (
        not is_newer_incarnation
        or not replica.no_leader_heard
        or replica.role == types.LEADER
    ):
        return
    if replica.leader_heard_at != -math.inf:
        replica.leader_heard_at = -math.inf
        replica.election_due = min(
            replica.election_due, _early_retry_time(replica, now)
        )


def _leader_known_lost(replica: state.State) -> bool:
    """Returns whether this term's leader is known to have stopped leading."""
    known = replica.promised_to != types.NO_REPLICA
    return known and replica.leader_heard_at == -math.inf


def _recently_started(replica: state.State, now: float) -> bool:
    return now - replica.started < _STARTUP_TIMEOUTS * replica.settings.election


def _early_retry_time(replica: state.State, now: float) -> float:
    """Returns when to retry without waiting for the election timeout.

    The former leader waits one heartbeat interval. The other voters may
    retry at the same time as each other, so each of them waits for a random
    and on average longer time.
    """
    heartbeat = replica.settings.heartbeat
    if replica.promised_to == replica.me:
        return now + heartbeat
    return now + heartbeat * (0.5 + 3.0 * replica.jitter())


def _schedule_retry(replica: state.State, now: float) -> None:
    """Sets when to retry the pre-vote if it fails.

    While processes restart, a replica that knows that there is no leader
    cannot know which voters are already up. A pre-vote changes no state at a
    voter, so it is repeated often then, and at the normal election timeout
    later on.
    """
    if _leader_known_lost(replica) and _recently_started(replica, now):
        replica.election_due = _early_retry_time(replica, now)
        return
    replica.reset_election_timer(now)


def _start_pre_vote(replica: state.State, now: float) -> None:
    """Asks the voters whether an election would succeed.

    A partitioned replica fails the pre-vote and keeps its term. If it raised
    the term, it would depose a healthy leader when the partition heals.
    """
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
    replica: state.State, is_transfer: bool, now: float
) -> None:
    """Starts an election in the next term.

    Args:
        replica: The candidate.
        is_transfer: Whether the leader requested the election.
        now: Current time.
    """
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
        is_transfer,
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
    """Steps down if no quorum replies, or if a transfer takes too long.

    A partitioned leader would keep its callers waiting for commits that
    cannot happen; after it steps down, they turn to another instance.
    """
    timeout = 2 * replica.settings.election
    contact = max(lease.quorum_contact(replica), replica.elected_at)
    if now - contact > timeout or now > replica.transfer_due:
        replica.become_follower(replica.term, types.NO_REPLICA, now)


def _has_live_leader(replica: state.State, now: float) -> bool:
    """Returns whether there was contact within the election timeout.

    That is contact with a quorum if this replica leads, else with the leader.
    """
    if replica.role == types.LEADER:
        return now - lease.quorum_contact(replica) < replica.settings.election
    return now - replica.leader_heard_at < replica.settings.election


def _is_up_to_date(replica: state.State, index: int, term: int) -> bool:
    """Returns whether a log that ends so is at least as new as this one."""
    log = replica.log
    return (term, index) >= (log.last_term, log.last_index)


def _has_majority(replica: state.State) -> bool:
    configuration = replica.configuration
    votes = sum(p.replica in replica.grants for p in configuration.voters)
    return votes >= configuration.quorum()
