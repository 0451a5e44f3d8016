"""Upstreams that several entries found to fail.

An upstream that hangs or loses its answers takes one request from each entry
before that entry avoids it. With many entries that is one lost call each, and a
call that may not be repeated ends its program. So entries report the upstreams
that they avoid to the leader that opens their turns, and the reply names those
that several entries report.

One entry's report excludes nothing: its own link to the upstream may be the
fault. Repeatable requests still go to a reported upstream, and their answers
show when it works again.
"""

import collections
from collections.abc import Iterable

# Entries that must report an upstream before the others avoid it.
MIN_ENTRIES = 2
# Seconds for which a report counts. An entry sends one with each turn that it
# opens or closes.
MAX_AGE_SECONDS = 3.0
# Upstreams in one report or reply.
MAX_UPSTREAMS = 64
# Share of the upstreams of a service that others' reports may exclude. If more
# fail, the cause is rather the network or the load, and the remaining upstreams
# would be overloaded.
MAX_EXCLUDED_SHARE = 0.25


class FailureReports:
    """The upstreams that each entry avoids, as reported to the leader.

    Attributes:
        reports: Time and upstreams of the newest report, by entry; the oldest
            report first.
        counts: Number of entries that report an upstream.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[
            str, tuple[float, frozenset[str]]
        ] = collections.OrderedDict()
        self.counts: collections.Counter[str] = collections.Counter()

    def report(self, entry: str, upstreams: Iterable[str], now: float) -> None:
        """Replaces the report of an entry and drops expired ones."""
        self._remove(entry)
        found = frozenset(sorted(upstreams)[:MAX_UPSTREAMS])
        if found:
            self.reports[entry] = (now, found)
            self.counts.update(found)
        self._expire(now)

    def current_counts(self, now: float) -> dict[str, int]:
        """Drops expired reports; returns the number of entries by upstream."""
        self._expire(now)
        return dict(self.counts)

    def failing(self) -> list[str]:
        """Returns those that enough entries report, most reported first."""
        found = [
            upstream
            for upstream, count in self.counts.items()
            if count >= MIN_ENTRIES
        ]
        found.sort(key=lambda upstream: (-self.counts[upstream], upstream))
        return found[:MAX_UPSTREAMS]

    def _expire(self, now: float) -> None:
        while self.reports:
            oldest, (at, _) = next(iter(self.reports.items()))
            if now - at <= MAX_AGE_SECONDS:
                return
            self._remove(oldest)

    def _remove(self, entry: str) -> None:
        _, upstreams = self.reports.pop(entry, (0.0, frozenset()))
        for upstream in upstreams:
            self.counts[upstream] -= 1
            if not self.counts[upstream]:
                del self.counts[upstream]


class ReportedFailures:
    """The upstreams that others report, as one entry last received them.

    Attributes:
        upstreams: The upstreams, those reported by most entries first.
        received_at: When the reply arrived; -inf before the first.
    """

    def __init__(self) -> None:
        self.upstreams: list[str] = []
        self.received_at = float("-inf")

    def update(self, upstreams: list[str], now: float) -> None:
        """Stores the upstreams of a reply from the leader."""
        self.upstreams = upstreams
        self.received_at = now

    def allowed(self, upstreams: list[str], now: float) -> list[str]:
        """Returns the upstreams without those that others report.

        Args:
            upstreams: Upstreams of one service that this entry would use.
            now: The current time.
        """
        if not self.upstreams or now - self.received_at > MAX_AGE_SECONDS:
            return upstreams
        known = set(upstreams)
        reported = [name for name in self.upstreams if name in known]
        max_excluded = int(len(upstreams) * MAX_EXCLUDED_SHARE)
        excluded = set(reported[:max_excluded])
        return [name for name in upstreams if name not in excluded]
