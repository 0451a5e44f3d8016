"""The in-memory part of a group's log, after its last compaction."""

from mintcleat.consensus import types


class EntryLog:
    """A sequence of log entries without gaps, after a compacted prefix.

    Attributes:
        base_index: Index of the last compacted entry; 0 for none. Entries up
            to it are committed.
        base_term: Term of that entry.
    """

    def __init__(self) -> None:
        self.base_index = 0
        self.base_term = 0
        self.entries: list[types.Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index` if there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or `base_term` if there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index; None before the base or past the end.

        The term at the base itself is known.
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def append(self, entry: types.Entry) -> None:
        """Adds the next entry.

        Raises:
            ValueError: The index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"Expected entry {self.last_index + 1} next, got entry"
                f" {entry.index}."
            )
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Removes the entry at `index` and all after it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Removes the entries up to `index`, which becomes the base.

        Does nothing if `index` is not after the base or not in the log.
        """
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def first_within(self, last: int, count: int, size: int) -> int:
        """Returns the first of the newest entries that are within limits.

        Args:
            last: Index of the newest of them.
            count: Maximum number of entries.
            size: Maximum bytes of their data together.
        """
        total = 0
        first = last + 1
        for entry in reversed(self.between(self.base_index + 1, last)):
            total += len(entry.data)
            if total > size or last + 1 - first >= count:
                break
            first = entry.index
        return first

    def reset(self, index: int, term: int) -> None:
        """Removes all entries; an installed snapshot sets the new base."""
        self.entries.clear()
        self.base_index, self.base_term = index, term

    def between(self, first: int, last: int) -> list[types.Entry]:
        """Returns the entries from `first` to `last`, both included.

        Raises:
            ValueError: `first` is not after the base. Its negative offset
                would count from the end of the list and return the wrong
                entries, which would then be applied.
        """
        if last < first:
            return []
        start = first - self.base_index - 1
        if start < 0:
            raise ValueError(
                f"Entry {first} is compacted; the log starts at entry"
                f" {self.base_index + 1}."
            )
        return self.entries[start : last - self.base_index]

    def batch(self, first: int, count: int, size: int) -> list[types.Entry]:
        """Returns entries from `first` until a limit is reached.

        Args:
            first: Index of the first entry.
            count: Maximum number of entries.
            size: Bytes of data; the entry that reaches it is the last one.
        """
        found = self.between(first, first + count - 1)
        total = 0
        for number, entry in enumerate(found):
            total += len(entry.data)
            if total >= size:
                return found[: number + 1]
        return found
