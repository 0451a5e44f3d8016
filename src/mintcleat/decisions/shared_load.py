"""How many requests run at each upstream, over all entries.

Made for several entries before the same upstreams. Each sees only what it sent
itself, so chance puts 19 runs on one engine of 16 places while another has
two, and the queue on the first costs every program there a turn's time.
Entries report what they have running to the leader that opens their turns,
with the opening itself, and get what the others reported. With a few openings
a second and entry, a figure is some 50 ms old; in that time an entry places
less than one request, but many entries together place enough to meet at the
upstream that was emptiest: `spread.CHOICES` keeps them apart. A leader that
is new knows nothing until each entry's next opening; an entry that hears
nothing decides by its own requests, as if it were alone.
"""

import collections
from collections.abc import Mapping

# A report counts for so long. It is some three times as long as a turn takes;
# an entry that neither opened nor closed a turn meanwhile has few under way.
MAX_AGE = 1.0
# Upstreams that one answer names, the busiest first. It bounds the answer to
# some 1.5 kB; those left out have less to do than any that is named.
MAX_UPSTREAMS = 64


class EntryLoads:
    """The newest report of each entry, and their sums.

    Attributes:
        reports: When each entry reported what it has running by upstream,
            the oldest report first.
        totals: Requests running by upstream, over all these reports.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[
            str, tuple[float, Mapping[str, int]]
        ] = collections.OrderedDict()
        self.totals: collections.Counter[str] = collections.Counter()

    def report(
        self, entry: str, running: Mapping[str, int], now: float
    ) -> None:
        """Replaces what an entry reported before."""
        self._drop(entry)
        self.reports[entry] = (now, running)
        self.totals.update(running)
        while self.reports:
            oldest, (at, _) = next(iter(self.reports.items()))
            if now - at <= MAX_AGE:
                return
            self._drop(oldest)

    def others(self, entry: str) -> dict[str, int]:
        """Returns what all other entries have running, by upstream."""
        _, own = self.reports.get(entry, (0.0, {}))
        found = {
            upstream: count - own.get(upstream, 0)
            for upstream, count in self.totals.items()
            if count > own.get(upstream, 0)
        }
        if len(found) > MAX_UPSTREAMS:
            busiest = sorted(found, key=found.__getitem__)[-MAX_UPSTREAMS:]
            found = {upstream: found[upstream] for upstream in busiest}
        return found

    def _drop(self, entry: str) -> None:
        _, running = self.reports.pop(entry, (0.0, {}))
        for upstream, count in running.items():
            self.totals[upstream] -= count
            if self.totals[upstream] <= 0:
                del self.totals[upstream]


class OtherEntriesLoad:
    """What one entry heard of the others' requests, and when."""

    def __init__(self) -> None:
        self.running: Mapping[str, int] = {}
        self.received_at = float("-inf")

    def update(self, running: Mapping[str, int], now: float) -> None:
        """Takes an answer of the leader."""
        self.running = running
        self.received_at = now

    def current(self, now: float) -> Mapping[str, int]:
        """Returns the others' requests by upstream; empty when too old."""
        if now - self.received_at > MAX_AGE:
            return {}
        return self.running
