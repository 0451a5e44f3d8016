"""Effects that the core asks its driver for: store, send, restore, reply."""

from typing import Any
from typing import NamedTuple

from mintcleat.consensus import types
from mintcleat.domain import identities


class OutgoingMessage(NamedTuple):
    """A message and its receiver.

    Attributes:
        message: One of the kinds in `messages`.
    """

    to: identities.Incarnation
    message: Any


class SnapshotNeeded(NamedTuple):
    """A follower needs compacted entries: send it the stored snapshot.

    The driver must call `Replica.snapshot_transfer_ended` whether or not the
    transfer succeeds.
    """

    to: identities.Incarnation
    group: str
    term: int
    snapshot: types.SnapshotMetadata


class SnapshotReceived(NamedTuple):
    """Store this state and restore the state machine from it.

    This comes before `Outbox.records`. The driver must call
    `Replica.on_restored` afterwards; until then no entry is applied.
    """

    group: str
    snapshot: types.SnapshotMetadata
    state: bytes


class ReadReady(NamedTuple):
    """The result of a read request.

    Attributes:
        token: The caller's token for the request.
        granted: Whether the read may be answered; if not, this replica
            doesn't lead.
        index: Index that the state machine must have applied first.
    """

    group: str
    token: int
    granted: bool
    index: int  # type: ignore[assignment]


class Elected(NamedTuple):
    """This replica became leader.

    Attributes:
        last_index: Index of its last entry when it was elected.
        last_term: Term of that entry.
        grants: Replicas that voted for it.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    grants: list[identities.Incarnation]
    configuration: types.Configuration


class Outbox:
    """Effects of all groups of an instance.

    Attributes:
        installs: Received snapshots, to store and restore first.
        records: Records to append to the write-ahead log next.
        messages: Messages to send at once; none depends on `records`.
        messages_after_sync: Messages to send after `records` are synced.
        snapshots: Snapshots to send to followers.
        reads: Results of read requests.
        stored: Groups for which `records` has new entries.
        committed: Groups that have entries to apply.
        groups_to_replicate: Groups whose leader here has entries to send.
        snapshot_indexes: By group, index of the newest snapshot in `records`.
        elections: Elections won since the outbox was last taken.
        heartbeat_requested: Whether to send heartbeats before they are due.
    """

    def __init__(self) -> None:
        self.installs: list[SnapshotReceived] = []
        self.records: list[bytes] = []
        self.messages: list[OutgoingMessage] = []
        self.messages_after_sync: list[OutgoingMessage] = []
        self.snapshots: list[SnapshotNeeded] = []
        self.reads: list[ReadReady] = []
        self.stored: set[str] = set()
        self.committed: set[str] = set()
        self.groups_to_replicate: set[str] = set()
        self.snapshot_indexes: dict[str, int] = {}
        self.elections: list[Elected] = []
        self.heartbeat_requested = False

    def take(self) -> "Outbox":
        """Empties this outbox and returns what it held."""
        taken = Outbox()
        taken.__dict__, self.__dict__ = self.__dict__, taken.__dict__
        return taken

    def is_empty(self) -> bool:
        """Returns whether there is no effect for the driver to carry out."""
        return not (
            self.installs
            or self.records
            or self.messages
            or self.messages_after_sync
            or self.snapshots
            or self.reads
            or self.committed
            or self.elections
        )
