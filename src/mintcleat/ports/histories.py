"""Where a program group keeps what is too large for memory."""

from typing import Protocol


class HistoryStore(Protocol):
    """Append-only sequences of records by name, for one group.

    It holds no state of its own: the replicated log and its snapshots are
    what lasts, and a replica fills an empty store from them at its start.
    Names are program ids and, for answers of calls, texts with a slash.
    """

    def append(self, name: str, record: bytes) -> None:
        """Adds the next record of a sequence."""

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, counted from 1.

        Records that do not exist are left out.

        Raises:
            errors.StorageDamaged: A record is not what was written.
        """

    def forget(self, name: str) -> None:
        """Drops a sequence; safe to repeat."""

    def clear(self) -> None:
        """Drops every sequence."""
