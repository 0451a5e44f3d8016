"""The encoding of turns for the history store, and a store in memory."""

import msgpack
import msgspec

from mintcleat.programs import records


def encode(turn: records.TurnRecord) -> bytes:
    """Encodes a turn as a record of the history store."""
    return msgpack.packb(turn)


def decode(record: bytes) -> records.TurnRecord:
    """Decodes a record of the history store."""
    return msgspec.convert(msgpack.unpackb(record), records.TurnRecord)


class MemoryHistoryStore:
    """A `ports.histories.HistoryStore` in memory, for tests."""

    def __init__(self) -> None:
        self.records: dict[str, list[bytes]] = {}

    def append(self, name: str, record: bytes) -> None:
        """Appends a record to a sequence, which is created if missing."""
        self.records.setdefault(name, []).append(record)

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, numbered from 1, inclusive."""
        return self.records.get(name, [])[first - 1 : last]

    def forget(self, name: str) -> None:
        """Deletes a sequence, if it exists."""
        self.records.pop(name, None)

    def clear(self) -> None:
        """Deletes all sequences."""
        self.records.clear()
