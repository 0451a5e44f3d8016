"""The audit trail: who did what, from where, and with what outcome."""

from collections import deque
from typing import Any
from typing import NamedTuple

# Maximum age in seconds and maximum number of the entries that are kept. Both
# are documented for operators.
KEPT_SECONDS = 7 * 86_400.0
KEPT_ENTRIES = 20_000
# Maximum length of a subject or outcome; a push may list thousands of changed
# sections.
SUMMARY_CHARACTERS = 400


class Entry(NamedTuple):
    """One audited action.

    Attributes:
        at: When it happened, in seconds since 1970.
        operator: Who did it; `mintcleat` for automatic actions.
        origin: Address that the request came from.
        action: Kind of the action, such as `push` or `drain`.
        subject: What the action was applied to.
        outcome: How it ended, such as `accepted` or why it was refused.
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
    """Entries in the order of their numbers, dropped by age and count."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque()
        self.next_number = 1

    def add(self, entry: Entry) -> None:
        """Adds an entry under the next number and drops expired ones."""
        self.entries.append(
            entry._replace(
                number=self.next_number,
                subject=truncated(entry.subject),
                outcome=truncated(entry.outcome),
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
        """Returns the state as plain data for a snapshot."""
        return [self.next_number, [list(entry) for entry in self.entries]]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        self.next_number = state[0]
        self.entries = deque(Entry(*entry) for entry in state[1])

    def _expired(self, at: float) -> bool:
        return bool(self.entries) and (at - self.entries[0].at > KEPT_SECONDS)


def truncated(text: str) -> str:
    """Returns the text, cut to at most SUMMARY_CHARACTERS."""
    if len(text) <= SUMMARY_CHARACTERS:
        return text
    return text[: SUMMARY_CHARACTERS - 3] + "..."
