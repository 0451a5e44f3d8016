"""Records of the write-ahead log, and the state that replaying them gives."""

from collections.abc import Iterable

import msgpack
import msgspec

from mintcleat.consensus import entries as entry_log
from mintcleat.consensus import types
from mintcleat.domain import identities

_VOTE = 0
_ENTRIES = 1
_SNAPSHOT = 2
_LEADER = 3


class StoredState:
    """Persistent state of one group.

    Attributes:
        term: Current term.
        vote: Candidate that received the vote in `term`; NO_REPLICA for none.
        leader: Leader of `term`, to which this replica gave its promise;
            NO_REPLICA if it heard from none, or stopped before the record
            was synced.
        log: Entries after the snapshot.
        snapshot: Newest stored snapshot; index 0 for none.
    """

    def __init__(self) -> None:
        self.term = 0
        self.vote = types.NO_REPLICA
        self.leader = types.NO_REPLICA
        self.log = entry_log.EntryLog()
        self.snapshot = types.SnapshotMetadata(0, 0, types.EMPTY)


def vote(group: str, term: int, replica: identities.Incarnation) -> bytes:
    """Returns the record of a new term or of a vote in it."""
    return msgpack.packb([_VOTE, group, term, replica])


def leader(group: str, term: int, replica: identities.Incarnation) -> bytes:
    """Returns the record of a term's leader."""
    return msgpack.packb([_LEADER, group, term, replica])


def entries(group: str, items: list[types.Entry]) -> bytes:
    """Returns the record of appended entries.

    On replay they replace all entries from the index of the first one on.
    """
    return msgpack.packb([_ENTRIES, group, items])


def snapshot(group: str, snapshot: types.SnapshotMetadata) -> bytes:
    """Returns the record of a stored snapshot."""
    return msgpack.packb([_SNAPSHOT, group, snapshot])


def decode_configuration(data: bytes) -> types.Configuration:
    """Returns the configuration in the data of a CONFIGURATION entry."""
    return msgspec.convert(msgpack.unpackb(data), types.Configuration)


def encode_configuration(value: types.Configuration) -> bytes:
    """Returns the data of a CONFIGURATION entry."""
    return msgpack.packb(value)


def replay(items: Iterable[bytes]) -> dict[str, StoredState]:
    """Returns the state of each group after all records, in log order."""
    groups: dict[str, StoredState] = {}
    for item in items:
        kind, group, *fields = msgpack.unpackb(item)
        stored = groups.setdefault(group, StoredState())
        if kind == _VOTE:
            stored.term = fields[0]
            stored.vote = identities.Incarnation(*fields[1])
            stored.leader = types.NO_REPLICA
        elif kind == _LEADER:
            if fields[0] == stored.term:
                stored.leader = identities.Incarnation(*fields[1])
        elif kind == _ENTRIES:
            _add(stored, [types.Entry(*values) for values in fields[0]])
        else:
            _apply_snapshot(
                stored, msgspec.convert(fields[0], types.SnapshotMetadata)
            )
    return groups


def _add(stored: StoredState, items: list[types.Entry]) -> None:
    log = stored.log
    if items[0].index <= log.last_index:
        log.truncate(items[0].index)
    for entry in items:
        log.append(entry)


def _apply_snapshot(
    stored: StoredState, snapshot: types.SnapshotMetadata
) -> None:
    stored.snapshot = snapshot
    if stored.log.term_at(snapshot.index) == snapshot.term:
        stored.log.compact(snapshot.index)
    else:
        stored.log.reset(snapshot.index, snapshot.term)
