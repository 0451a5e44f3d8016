"""What the core wants done: store, send, restore, answer."""

from typing import Any
from typing import NamedTuple

from mintcleat.consensus import types
from mintcleat.domain import identities


class OutgoingMessage(NamedTuple):
    """A message to a replica."""

    to: identities.Incarnation
    message: Any


class SnapshotNeeded(NamedTuple):
    """A follower is behind the log: send it the stored snapshot.

    `Replica.snapshot_transfer_ended` must follow, whatever comes of it.
    """

    to: identities.Incarnation
    group: str
    term: int
    snapshot: types.SnapshotMetadata


class SnapshotReceived(NamedTuple):
    """Store this state and restore the machine from it, before `records`.

    `Replica.on_restored` must follow; until then nothing is applied.
    """

    group: str
    snapshot: types.SnapshotMetadata
    state: bytes


class ReadReady(NamedTuple):
    """A read may be answered, or (not `granted`) was refused.

    Attributes:
        index: The machine must have applied up to it first.
    """

    group: str
    token: int
    granted: bool
    index: int


class Elected(NamedTuple):
    """This replica became leader; `grants` are the voters that chose it.

    Attributes:
        last_index: Last entry that it held when it was elected.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    grants: list[identities.Incarnation]
    configuration: types.Configuration


class Outbox:
    """Effects of all groups of an instance, in the order to carry them out.

    Attributes:
        installs: To store and restore first.
        records: Then to append to the write-ahead log.
        messages: To send at once; nothing in them promises durability.
        messages_after_sync: To send only after `records` are synced.
        stored: Groups that `records` add entries to.
        committed: Groups that have entries to apply.
        changed: Groups whose followers must be sent something.
        snapshot_indexes: By group, the newest snapshot that `records` name.
        elections: Elections won since the outbox was last taken.
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
        """Tells whether nothing is to be done."""
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
