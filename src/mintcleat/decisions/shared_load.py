"""How many requests run at each upstream, summed over all entries.

Several entries share the upstreams. If each knew only its own requests, random
variation could put 19 requests on one engine with 16 slots and two on another,
and programs at the former would wait for a whole turn. So entries report what
they have running to the leader that opens their turns, within the request that
opens a turn, and the reply has the counts of the other entries.

With a few turns per second and entry, a count is about 50 ms old. One entry
sends less than one request in that time, but all entries together could
overload the least loaded upstream; `load_balancing.CHOICES` prevents that.
A new leader knows nothing until the next turn of each entry, and an entry
without a current reply uses its own counts alone.
"""

import collections
from collections.abc import Mapping

# Seconds for which a report counts, about three times the duration of a turn.
# An entry that has not opened or closed a turn for longer has few running.
MAX_AGE = 1.0
# Upstreams in one reply, which bounds it to about 1.5 kB. The busiest ones are
# sent.
MAX_UPSTREAMS = 64


class EntryLoads:
    """The newest report of each entry, and their sum.

    Attributes:
        reports: Time of the report and requests running by upstream, by
            entry; the oldest report first.
        totals: Requests running by upstream, summed over the reports.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[
            str, tuple[float, Mapping[str, int]]
        ] = collections.OrderedDict()
        self.totals: collections.Counter[str] = collections.Counter()

    def report(
        self, entry: str, running: Mapping[str, int], now: float
    ) -> None:
        """Replaces the report of an entry and drops expired ones."""
        self._remove(entry)
        self.reports[entry] = (now, running)
        self.totals.update(running)
        self._expire(now)

    def others(self, entry: str) -> dict[str, int]:
        """Returns the requests of all other entries, by upstream."""
        _, own = self.reports.get(entry, (0.0, {}))
        counts = {
            upstream: count - own.get(upstream, 0)
            for upstream, count in self.totals.items()
            if count > own.get(upstream, 0)
        }
        if len(counts) > MAX_UPSTREAMS:
            busiest = sorted(counts, key=counts.__getitem__)[-MAX_UPSTREAMS:]
            counts = {upstream: counts[upstream] for upstream in busiest}
        return counts

    def current_totals(self, now: float) -> dict[str, int]:
        """Drops expired reports; returns running requests by upstream."""
        self._expire(now)
        return dict(self.totals)

    def _expire(self, now: float) -> None:
        while self.reports:
            oldest, (at, _) = next(iter(self.reports.items()))
            if now - at <= MAX_AGE:
                return
            self._remove(oldest)

    def _remove(self, entry: str) -> None:
        _, running = self.reports.pop(entry, (0.0, {}))
        for upstream, count in running.items():
            self.totals[upstream] -= count
            if self.totals[upstream] <= 0:
                del self.totals[upstream]


class OtherEntriesLoad:
    """The requests of all other entries, as one entry last received them.

    Attributes:
        running: Requests by upstream.
        received_at: When the reply arrived; -inf before the first.
    """

    def __init__(self) -> None:
        self.running: Mapping[str, int] = {}
        self.received_at = float("-inf")

    def update(self, running: Mapping[str, int], now: float) -> None:
        """Stores the counts of a reply from the leader."""
        self.running = running
        self.received_at = now

    def current(self, now: float) -> Mapping[str, int]:
        """Returns the requests by upstream; empty after `MAX_AGE`."""
        if now - self.received_at > MAX_AGE:
            return {}
        return self.running
