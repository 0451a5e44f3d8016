"""Reports events of a replica's disk and groups to the operators' log."""

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
    """Emits events for state changes of a replica."""

    def __init__(
        self, events: event_ports.EventReporter, founder: bool
    ) -> None:
        self.events = events
        self.founder = founder

    def disk_opened(
        self, recovery: wal_ports.Recovery, core: instance.Instance
    ) -> None:
        """Reports the state that was recovered from the disk at the start."""
        groups = {}
        for group, replica in core.replicas.items():
            index, term = replica.log_end()
            state = replica.state
            groups[group] = [state.term, index, term, state.snapshot.index]
        self.events.emit(
            control_events.DiskOpened(
                str(recovery.identity),
                recovery.formatted,
                self.founder,
                recovery.size,
                recovery.cut_bytes,
                groups,
            )
        )

    def leader_elected(self, elected: outbox.Elected) -> None:
        """Reports that this replica was elected leader."""
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

    def voters_changed(
        self, replica: replicas.Replica, entry: types.Entry
    ) -> None:
        """Reports a committed change of the voters or learners.

        A change that a later one has replaced is reported by the leader only.
        An instance that starts, or a spare that catches up, applies all past
        changes again, and their log lines would hide the current ones.
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

    def snapshot_sent(
        self,
        group: str,
        to: identities.Incarnation,
        index: int,
        size: int,
        whole: bool,
    ) -> None:
        """Reports that the sending of a snapshot ended.

        Args:
            group: Group of the snapshot.
            to: The follower.
            index: Last log index that the snapshot covers.
            size: Its size in bytes.
            whole: Whether all of it was sent.
        """
        self.events.emit(
            control_events.SnapshotSent(group, str(to), index, size, whole)
        )

    def snapshot_installed(self, item: outbox.SnapshotReceived) -> None:
        """Reports that a received snapshot replaced this replica's state."""
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
