"""The audit trail: who did what, from where, and with what outcome."""

from collections import deque
from typing import Any
from typing import NamedTuple

# Stated in the operators' page: a week, or the newest 20,000 entries.
KEPT_SECONDS = 7 * 86_400.0
KEPT_ENTRIES = 20_000
# A push may change thousands of fields; the trail names the first ones.
SUMMARY_CHARACTERS = 400


class Entry(NamedTuple):
    """One audited act; `at` is in seconds since 1970.

    Attributes:
        number: Position in the trail, from 1; 0 before it is added.
    """

    at: float
    operator: str
    origin: str
    action: str
    subject: str
    outcome: str
    number: int = 0


class Trail:
    """Entries in order; old ones are dropped by age and by count."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque()
        self.next_number = 1

    def add(self, entry: Entry) -> None:
        """Adds an entry under the next number; drops those too old to keep."""
        self.entries.append(
            entry._replace(
                number=self.next_number,
                subject=shortened(entry.subject),
                outcome=shortened(entry.outcome),
            )
        )
        self.next_number += 1
        while len(self.entries) > KEPT_ENTRIES or self._expired(entry.at):
            self.entries.popleft()

    def after(self, number: int, limit: int) -> list[Entry]:
        """Returns up to `limit` entries with higher numbers, oldest first."""
        if not self.entries:
            return []
        skip = max(0, number + 1 - self.entries[0].number)
        return list(self.entries)[skip : skip + limit]

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [self.next_number, [list(entry) for entry in self.entries]]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.next_number = state[0]
        self.entries = deque(Entry(*entry) for entry in state[1])

    def _expired(self, at: float) -> bool:
        return bool(self.entries) and (at - self.entries[0].at > KEPT_SECONDS)


def shortened(text: str) -> str:
    """Returns the text, cut to the length that the trail keeps."""
    if len(text) <= SUMMARY_CHARACTERS:
        return text
    return text[: SUMMARY_CHARACTERS - 3] + "..."
