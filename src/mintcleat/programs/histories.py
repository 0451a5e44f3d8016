"""Turns as records of a history store, and a store in memory."""

import msgpack
import msgspec

from mintcleat.programs import records


def encode(turn: records.TurnRecord) -> bytes:
    """Returns a turn as a record."""
    return msgpack.packb(turn)


def decode(record: bytes) -> records.TurnRecord:
    """Returns the turn of a record."""
    return msgspec.convert(msgpack.unpackb(record), records.TurnRecord)


class MemoryHistoryStore:
    """Records in memory, for tests; see `ports.histories.HistoryStore`."""

    def __init__(self) -> None:
        self.records: dict[str, list[bytes]] = {}

    def append(self, name: str, record: bytes) -> None:
        """Adds the next record of a sequence."""
        self.records.setdefault(name, []).append(record)

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, counted from 1."""
        return self.records.get(name, [])[first - 1 : last]

    def forget(self, name: str) -> None:
        """Drops a sequence; safe to repeat."""
        self.records.pop(name, None)

    def clear(self) -> None:
        """Drops every sequence."""
        self.records.clear()
