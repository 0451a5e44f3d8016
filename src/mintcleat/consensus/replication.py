"""Pipelined replication of entries to followers, and the commit index."""

import math

from mintcleat.consensus import lease
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import state
from mintcleat.consensus import types
from mintcleat.domain import identities


def append(replica: state.State, kind: int, data: bytes, now: float) -> int:
    """Appends an entry to the leader's log and returns its index."""
    entry = types.Entry(replica.log.last_index + 1, replica.term, kind, data)
    replica.append([entry])
    replica.outbox.groups_to_replicate.add(replica.group)
    if kind == types.CONFIGURATION:
        track_peers(replica, now)
    return entry.index


def track_peers(replica: state.State, now: float) -> None:
    """Makes `progress` match the peers of the current configuration."""
    wanted = {p.replica for p in replica.configuration.peers()}
    wanted.discard(replica.me)
    for removed in set(replica.progress) - wanted:
        del replica.progress[removed]
    for added in sorted(wanted - set(replica.progress)):
        start = replica.log.last_index + 1
        replica.progress[added] = state.Progress(start, now)


def send_all(replica: state.State, now: float) -> None:
    """Sends each follower the entries that flow control allows."""
    for follower, progress in replica.progress.items():
        _send(replica, follower, progress, now)


def tick(replica: state.State, now: float) -> None:
    """Probes followers that lack entries and have not replied for too long."""
    for follower, progress in replica.progress.items():
        behind = progress.match < replica.log.last_index
        silent = now - progress.last_reply > replica.settings.resend
        if behind and silent and now > progress.snapshot_until:
            progress.next = progress.match + 1
            progress.in_flight = 0
            progress.probing = True
            progress.last_reply = now
            _send(replica, follower, progress, now)


def on_append(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.Append,
    now: float,
) -> None:
    """Appends entries from the leader."""
    if message.term < replica.term:
        _refuse(replica, sender, message, 0)
        return
    _accept_leader(replica, sender, message.term, now)
    hint = _conflict_hint(replica, message)
    if hint is not None:
        _refuse(replica, sender, message, hint)
        return
    _append_missing(replica, message.entries)
    last = message.previous_index + len(message.entries)
    replica.commit_to(min(message.commit, last))
    reply = wire.AppendReply(replica.group, replica.term, True, last)
    replica.send_synced(sender, reply)


def on_append_reply(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.AppendReply,
    now: float,
) -> None:
    """Updates a follower's progress and sends it the next entries."""
    if message.term > replica.term:
        replica.become_follower(message.term, types.NO_REPLICA, now)
        return
    progress = replica.progress.get(sender)
    if progress is None or message.term < replica.term:
        return
    progress.last_reply = now
    if message.accepted:
        _record_match(replica, progress, message.index)
    elif message.previous_index > progress.match:
        retry = min(message.previous_index, message.index + 1)
        progress.next = max(progress.match + 1, retry)
        progress.probing = True
        progress.in_flight = 0
    _send(replica, sender, progress, now)


def on_group_heartbeat(
    replica: state.State,
    sender: identities.Incarnation,
    heartbeat: wire.GroupHeartbeat,
    now: float,
) -> bool:
    """Processes one group's heartbeat; returns False if its term is old."""
    if heartbeat.term < replica.term:
        return False
    _accept_leader(replica, sender, heartbeat.term, now)
    replica.commit_to(min(heartbeat.commit, replica.log.last_index))
    return True


def on_install_snapshot(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.InstallSnapshot,
    now: float,
) -> None:
    """Replaces the log by a snapshot, unless that much is committed here."""
    if message.term < replica.term:
        reply = wire.AppendReply(replica.group, replica.term, False, 0)
        replica.send(sender, reply)
        return
    _accept_leader(replica, sender, message.term, now)
    snapshot = message.snapshot
    if snapshot.index > replica.commit:
        replica.install(snapshot)
        install = outbox.SnapshotReceived(
            replica.group, snapshot, message.state
        )
        replica.outbox.installs.append(install)
    last = max(snapshot.index, replica.commit)
    reply = wire.AppendReply(replica.group, replica.term, True, last)
    replica.send_synced(sender, reply)


def on_snapshot_transfer_ended(
    replica: state.State,
    follower: identities.Incarnation,
    sent: bool,
    now: float,
) -> None:
    """Schedules the next attempt after the transfer of a snapshot has ended.

    After a complete transfer the follower gets time to reply; after a failed
    one it may be sent the snapshot again at once.
    """
    progress = replica.progress.get(follower)
    if progress is not None and progress.snapshot_until == math.inf:
        wait = replica.settings.snapshot_resend if sent else 0.0
        progress.snapshot_until = now + wait


def advance_commit(replica: state.State) -> None:
    """Commits the entries that a majority of the voters holds durably.

    Only an entry of the leader's own term counts: an older entry can still
    be overwritten by a later leader, even if a majority holds it.
    """
    index = majority_index(replica, replica.persisted)
    if index <= replica.commit or replica.log.term_at(index) != replica.term:
        return
    replica.commit_to(index)
    lease.answer_reads(replica)


def majority_index(replica: state.State, persisted: int) -> int:
    """Returns the last index that a majority of the voters holds durably.

    Args:
        replica: The leader.
        persisted: Last index that counts as durable at the leader.
    """
    configuration = replica.configuration
    matches = sorted(
        persisted
        if peer.replica == replica.me
        else match_index(replica, peer.replica)
        for peer in configuration.voters
    )
    return matches[-configuration.quorum()]


def _send(
    replica: state.State,
    follower: identities.Incarnation,
    progress: state.Progress,
    now: float,
) -> None:
    log = replica.log
    settings = replica.settings
    while progress.next <= log.last_index:
        limit = 1 if progress.probing else settings.max_in_flight
        if progress.in_flight >= limit or now <= progress.snapshot_until:
            return
        if progress.next <= log.base_index:
            _send_snapshot(replica, follower, progress, now)
            return
        items = log.batch(
            progress.next, settings.batch_entries, settings.batch_bytes
        )
        previous = progress.next - 1
        message = wire.Append(
            replica.group,
            replica.term,
            previous,
            log.term_at(previous) or 0,
            items,
            replica.commit,
        )
        replica.send(follower, message)
        if progress.in_flight == 0:
            progress.last_reply = now
        progress.in_flight += 1
        progress.next += len(items)


def _send_snapshot(
    replica: state.State,
    follower: identities.Incarnation,
    progress: state.Progress,
    now: float,
) -> None:
    """Requests a snapshot transfer, unless the follower is unreachable."""
    if now - progress.last_contact > 2 * replica.settings.election:
        return
    progress.snapshot_until = math.inf
    needed = outbox.SnapshotNeeded(
        follower, replica.group, replica.term, replica.snapshot
    )
    replica.outbox.snapshots.append(needed)


def _record_match(
    replica: state.State, progress: state.Progress, index: int
) -> None:
    """Records that a follower holds the entries up to an index."""
    progress.match = max(progress.match, index)
    progress.next = max(progress.next, progress.match + 1)
    progress.probing = False
    progress.in_flight = max(0, progress.in_flight - 1)
    progress.snapshot_until = -math.inf
    advance_commit(replica)


def _accept_leader(
    replica: state.State, sender: identities.Incarnation, term: int, now: float
) -> None:
    """Follows the leader of a term and renews the promise to it."""
    if term > replica.term or replica.leader != sender:
        replica.become_follower(term, sender, now)
    replica.role = types.FOLLOWER
    replica.persist_leader(sender)
    replica.leader_heard_at = now
    replica.reset_election_timer(now)


def _conflict_hint(replica: state.State, message: wire.Append) -> int | None:
    """Returns the last index that may match the leader's log.

    Returns None if the entry before the message's entries matches.
    """
    log = replica.log
    previous = message.previous_index
    if previous < log.base_index:
        return None
    found = log.term_at(previous)
    if found is None:
        return log.last_index
    if found == message.previous_term:
        return None
    while previous > replica.commit and log.term_at(previous) == found:
        previous -= 1
    return previous


def _append_missing(replica: state.State, items: list[types.Entry]) -> None:
    """Appends entries that the log lacks; they replace conflicting ones."""
    for number, entry in enumerate(items):
        if entry.index <= replica.log.base_index:
            continue
        found = replica.log.term_at(entry.index)
        if found == entry.term:
            continue
        if found is not None:
            replica.truncate(entry.index)
        replica.append(items[number:])
        return


def _refuse(
    replica: state.State,
    sender: identities.Incarnation,
    message: wire.Append,
    hint: int,
) -> None:
    reply = wire.AppendReply(
        replica.group, replica.term, False, hint, message.previous_index
    )
    replica.send(sender, reply)


def match_index(replica: state.State, voter: identities.Incarnation) -> int:
    """Returns the last index known to be durable at a voter; 0 for none."""
    if voter == replica.me:
        return replica.persisted
    progress = replica.progress.get(voter)
    return progress.match if progress else 0
