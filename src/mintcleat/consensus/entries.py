"""The part of a group's log that lies in memory, after its snapshot."""

from mintcleat.consensus import types


class EntryLog:
    """Entries after a base.

    Attributes:
        base_index: Index before the first entry; all up to it is committed.
    """

    def __init__(self) -> None:
        self.base_index = 0
        self.base_term = 0
        self.entries: list[types.Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, or None outside of the log."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def append(self, entry: types.Entry) -> None:
        """Adds the next entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"Entry {entry.index} after {self.last_index}.")
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drops the entry at `index` and all after it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Moves the base up to `index`."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Empties the log behind an installed snapshot."""
        self.entries.clear()
        self.base_index, self.base_term = index, term

    def between(self, first: int, last: int) -> list[types.Entry]:
        """Returns the entries from `first` to `last`, both included.

        Raises:
            ValueError: They begin below the base. A slice from there would
                count from the end and give others, which would be applied.
        """
        if last < first:
            return []
        start = first - self.base_index - 1
        if start < 0:
            raise ValueError(f"Entry {first} is not after {self.base_index}.")
        return self.entries[start : last - self.base_index]

    def batch(self, first: int, count: int, size: int) -> list[types.Entry]:
        """Returns entries from `first` until a limit is reached."""
        found = self.between(first, first + count - 1)
        total = 0
        for number, entry in enumerate(found):
            total += len(entry.data)
            if total >= size:
                return found[: number + 1]
        return found
