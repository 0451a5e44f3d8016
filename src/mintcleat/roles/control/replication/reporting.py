"""What a replica tells the operators' log of its disk and its groups."""

from mintcleat.consensus import instance
from mintcleat.consensus import membership
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.domain import control_events
from mintcleat.domain import identities
from mintcleat.ports import events as event_ports
from mintcleat.ports import wal as wal_ports


class Reporter:
    """Turns what happens to a replica into events; decides nothing."""

    def __init__(
        self, events: event_ports.EventReporter, founder: bool
    ) -> None:
        self.events = events
        self.founder = founder

    def disk(self, found: wal_ports.Recovery, core: instance.Instance) -> None:
        """Tells what a start found on its disk."""
        groups = {}
        for group, replica in core.replicas.items():
            index, term = replica.log_end()
            state = replica.state
            groups[group] = [state.term, index, term, state.snapshot.index]
        self.events.emit(
            control_events.DiskOpened(
                str(found.identity),
                found.formatted,
                self.founder,
                found.size,
                found.cut_bytes,
                groups,
            )
        )

    def elected(self, elected: outbox.Elected) -> None:
        """Tells that this replica leads."""
        self.events.emit(
            control_events.LeaderElected(
                elected.group,
                elected.term,
                elected.last_index,
                elected.last_term,
                [str(voter) for voter in elected.grants],
                _names(elected.configuration.voters),
            )
        )

    def voters(self, replica: replicas.Replica, entry: types.Entry) -> None:
        """Tells of a committed change of who votes.

        One that the log has replaced since is told by the leader only: at a
        start, and by a spare that catches up, all past changes are applied
        again, and their lines would bury what happens now.
        """
        state = replica.state
        newest = entry.index == state.configuration_index
        if not newest and state.role != types.LEADER:
            return
        before = state.configuration_at(entry.index - 1)
        after = records.decode_configuration(entry.data)
        self.events.emit(
            control_events.VotersChanged(
                state.group,
                entry.index,
                entry.term,
                _names(after.voters),
                _names(after.learners),
                membership.describe(before, after),
            )
        )

    def sent(
        self,
        group: str,
        to: identities.Incarnation,
        index: int,
        size: int,
        whole: bool,
    ) -> None:
        """Tells that a snapshot was sent, or could not be."""
        self.events.emit(
            control_events.SnapshotSent(group, str(to), index, size, whole)
        )

    def installed(self, item: outbox.SnapshotReceived) -> None:
        """Tells that a snapshot replaced this replica's state."""
        self.events.emit(
            control_events.SnapshotInstalled(
                item.group,
                item.snapshot.index,
                item.snapshot.term,
                len(item.state),
            )
        )


def _names(peers: list[types.Peer]) -> list[str]:
    return [str(peer.replica) for peer in peers]
