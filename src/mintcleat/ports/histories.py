"""The store for records of a program group that are too large for memory."""

from typing import Protocol


class HistoryStore(Protocol):
    """Named append-only sequences of records of one group.

    The store need not be durable: the replicated log and its snapshots are,
    and a replica refills an empty store from them when it starts. Sequences
    are named by program id or, for answers of calls, `answer/<attempt>`.
    """

    def append(self, name: str, record: bytes) -> None:
        """Appends a record to a sequence, which is created if missing."""

    def read(self, name: str, first: int, last: int) -> list[bytes]:
        """Returns the records `first` to `last`, numbered from 1, inclusive.

        Records that do not exist are left out.

        Raises:
            errors.StorageDamaged: A record is corrupt.
        """

    def forget(self, name: str) -> None:
        """Deletes a sequence, if it exists."""

    def clear(self) -> None:
        """Deletes all sequences."""
