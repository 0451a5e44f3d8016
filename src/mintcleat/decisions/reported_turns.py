"""Running turns of a service that its schedule did not grant.

A new leader knows none of the turns that its predecessor granted. If it granted
as many again, engines would get twice the load that they can take. Each entry
reports what it has running whenever it asks for a turn. What it reports beyond
the turns granted to it here counts as running, for a short time.

All operations take constant time, for any number of entries.
"""

import collections

from mintcleat.decisions import leader_pauses
from mintcleat.decisions import shared_load


class EntryReports:
    """Turns that entries report beyond those granted here.

    A new leader learns from them what its predecessor granted.

    Attributes:
        reports: Time of the report and reported turns by entry; the oldest
            report first.
        granted: Turns granted here, by entry.
        excess: Reported turns beyond the granted ones, by entry.
        total: Sum of `excess`.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[str, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self.granted: collections.Counter[str] = collections.Counter()
        self.excess: dict[str, int] = {}
        self.total = 0

    def report(self, entry: str, running: int, now: float) -> None:
        """Replaces the report of an entry."""
        self.reports[entry] = (now, running)
        self.reports.move_to_end(entry)
        self._update(entry)

    def expire(self, now: float, pauses: leader_pauses.LeaderPauses) -> None:
        """Drops reports that are too old, but not for pauses of the leader."""
        while self.reports:
            entry, (at, _) = next(iter(self.reports.items()))
            if pauses.awake(at, now) <= shared_load.MAX_AGE:
                return
            del self.reports[entry]
            self._update(entry)

    def started(self, entry: str) -> None:
        """Counts a granted turn."""
        self.granted[entry] += 1
        self._update(entry)

    def ended(self, entry: str) -> None:
        """Removes a granted turn."""
        self.granted[entry] -= 1
        if self.granted[entry] <= 0:
            del self.granted[entry]
        self._update(entry)

    def remove_from_report(self, entry: str) -> None:
        """Subtracts an ended turn from what an entry last reported to run."""
        if entry in self.reports:
            at, running = self.reports[entry]
            self.reports[entry] = (at, max(0, running - 1))
            self._update(entry)

    def forget(self, entry: str) -> None:
        """Drops the report of an entry."""
        if self.reports.pop(entry, None) is not None:
            self._update(entry)

    def _update(self, entry: str) -> None:
        _, running = self.reports.get(entry, (0.0, 0))
        excess = max(0, running - self.granted[entry])
        self.total += excess - self.excess.pop(entry, 0)
        if excess:
            self.excess[entry] = excess
