"""Load and speed of each upstream, over all entries.

Several entries share the upstreams. If each knew only its own requests, random
variation could put 19 requests on one engine with 16 slots and two on another,
and programs at the former would wait for a whole turn. So entries report what
they have running to the leader that opens their turns, within the request that
opens a turn, and the reply has the sums of the other entries: requests and the
tokens that they hold.

With a few turns per second and entry, a count is about 50 ms old. One entry
sends less than one request in that time, but all entries together could
overload the least loaded upstream; `load_balancing.CHOICES` prevents that.
A new leader knows nothing until the next turn of each entry, and an entry
without a current reply uses its own counts alone.

An entry has few answers of one upstream at a time and would take seconds to
notice that it became slow. So entries also report the upstreams whose speed
differs from their peers. The median of the reports counts, and only if there
are two: an entry that measures wrongly, or whose way to an upstream is slow,
can't keep the others away from it.
"""

import bisect
import collections
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# Seconds for which a report counts, about three times the duration of a turn.
# An entry that has not opened or closed a turn for longer has few running.
MAX_AGE = 1.0
# Upstreams in one reply, which bounds it to about 2 kB. The busiest ones are
# sent, and the speeds that differ most.
MAX_UPSTREAMS = 64
# Least time in seconds between two summaries for one entry, and between its
# reports with turns that end. At 860 entries and 41 turns a second, a summary
# and a report with each turn would be 160 kB a second; the counts change by a
# few requests in this time.
INTERVAL = 0.05
# Stands for no upstream. A report that names it asks for no summary. It has 0
# requests there, so that a leader of an earlier release ignores it and sends a
# summary.
_NO_SUMMARY = ""
# Entries that must report a different speed before it counts.
MIN_REPORTS = 2
# Bounds of a slowdown, in percent. No measurement is better than a factor of
# ten.
MIN_SLOWDOWN = 10
MAX_SLOWDOWN = 1000
# Bound on the tokens of one entry at one upstream. Sums of it still fit into a
# message.
MAX_TOKENS = 10**12


class Report(NamedTuple):
    """The newest report of an entry.

    Attributes:
        at: Time of its arrival.
        running: Requests running by upstream.
        tokens: Tokens held by upstream.
        slowdowns: Time in percent of the median, by upstream that differs.
    """

    at: float
    running: Mapping[str, int]
    tokens: Mapping[str, int] = {}
    slowdowns: Mapping[str, int] = {}


class ReportedSlowdown(NamedTuple):
    """What the entries report about the speed of one upstream.

    Attributes:
        percent: Time in percent of the median; median of the reports.
        reports: Number of entries that report a difference.
    """

    percent: int
    reports: int


class Summary(NamedTuple):
    """What other entries reported, for one of them.

    Attributes:
        running: Requests of all other entries, by upstream.
        tokens: Tokens that these hold, by upstream; empty if unknown.
        slowdowns: Agreed time in percent of the median, by upstream.
    """

    running: Mapping[str, int]
    tokens: Mapping[str, int] = {}
    slowdowns: Mapping[str, int] = {}


class Reply(NamedTuple):
    """A summary as it is sent, without repeating the names of upstreams.

    Attributes:
        others: Requests by upstream, with 0 for those that only differ in
            speed.
        tokens: Tokens in the order of `others`; empty if unknown.
        slowdowns: Percents in the order of `others`, 100 for upstreams that
            don't differ; empty if none does.
    """

    others: dict[str, int]
    tokens: list[int]
    slowdowns: list[int]


class SentReport(NamedTuple):
    """The fields of a report as it is sent; see `EntryLoads.report`."""

    running: Mapping[str, int]
    tokens: Sequence[int] = ()
    slowdowns: Sequence[int] = ()


def without_summary(report: SentReport) -> SentReport:
    """Returns a report that asks for no summary in the reply to it."""
    return SentReport(
        {**report.running, _NO_SUMMARY: 0},
        [*report.tokens, 0] if report.tokens else [],
        [*report.slowdowns, 100] if report.slowdowns else [],
    )


def received_report(
    running: Mapping[str, int], tokens: Sequence[int], slowdowns: Sequence[int]
) -> SentReport:
    """Returns a received report without what it says about summaries."""
    if asks_summary(running):
        return SentReport(running, tokens, slowdowns)
    upstreams = {
        name: count for name, count in running.items() if name != _NO_SUMMARY
    }
    return SentReport(upstreams, tokens[:-1], slowdowns[:-1])


def asks_summary(running: Mapping[str, int]) -> bool:
    """Returns whether the reply to a report has a summary."""
    return _NO_SUMMARY not in running


def reply_of(summary: Summary) -> Reply:
    """Returns a summary as it is sent."""
    others = dict(summary.running)
    percents = summary.slowdowns
    for upstream in percents:
        others.setdefault(upstream, 0)
    tokens: list[int] = []
    if summary.tokens:
        tokens = [summary.tokens.get(upstream, 0) for upstream in others]
    slowdowns: list[int] = []
    if percents:
        slowdowns = [percents.get(upstream, 100) for upstream in others]
    return Reply(others, tokens, slowdowns)


def summary_of(
    others: Mapping[str, int], tokens: Sequence[int], slowdowns: Sequence[int]
) -> Summary:
    """Returns the summary that was sent as these fields of a `Reply`.

    Lists are ignored unless they have one number for each upstream.
    """
    percents = _by_upstream(others, slowdowns)
    return Summary(
        others,
        _by_upstream(others, tokens),
        {name: number for name, number in percents.items() if number != 100},
    )


def _by_upstream(
    running: Mapping[str, int], numbers: Sequence[int]
) -> dict[str, int]:
    """Returns received numbers by upstream, within bounds.

    Args:
        running: Requests by upstream; only its order matters.
        numbers: A number for each of these upstreams. Other lists are ignored,
            as the sender may have another release.
    """
    if len(numbers) != len(running):
        return {}
    return {
        upstream: min(MAX_TOKENS, max(0, number))
        for upstream, number in zip(running, numbers, strict=True)
    }


class EntryLoads:
    """The newest report of each entry, and their sums.

    Attributes:
        reports: The newest report by entry; the oldest report first.
        totals: Requests running by upstream, summed over the reports.
        tokens: Tokens held by upstream, summed over the reports.
        slowdowns: Reported slowdowns of each upstream, sorted.
        agreed: The slowdowns on which reports agreed when last computed.
        changed: Upstreams whose reported slowdowns have changed since.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[str, Report] = (
            collections.OrderedDict()
        )
        self.totals: collections.Counter[str] = collections.Counter()
        self.tokens: collections.Counter[str] = collections.Counter()
        self.slowdowns: dict[str, list[int]] = {}
        self.agreed: dict[str, int] = {}
        self.changed: set[str] = set()

    def report(
        self,
        entry: str,
        running: Mapping[str, int],
        now: float,
        tokens: Sequence[int] = (),
        slowdowns: Sequence[int] = (),
    ) -> None:
        """Replaces the report of an entry and drops expired ones.

        Args:
            entry: The entry.
            running: Its running requests by upstream.
            now: The current time.
            tokens: Tokens that they hold, in the order of `running`.
            slowdowns: Time in percent of the median, in the order of
                `running`; at most `MAX_UPSTREAMS` that differ from 100 count.
                Lists are ignored unless they have one number for each
                upstream.
        """
        held = _by_upstream(running, tokens)
        differing = [
            (upstream, percent)
            for upstream, percent in _by_upstream(running, slowdowns).items()
            if percent != 100
        ]
        bounded = {
            upstream: min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, percent))
            for upstream, percent in differing[:MAX_UPSTREAMS]
        }
        before = self._remove(entry, bounded)
        self.reports[entry] = Report(now, running, held, bounded)
        self.totals.update(running)
        self.tokens.update(held)
        if bounded and before != bounded:
            self._add_slowdowns(bounded)
        self._expire(now)

    def others(self, entry: str) -> dict[str, int]:
        """Returns the requests of all other entries, by upstream."""
        own: Mapping[str, int] = {}
        if entry in self.reports:
            own = self.reports[entry].running
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

    def current_slowdowns(self, now: float) -> dict[str, ReportedSlowdown]:
        """Drops expired reports; returns what is reported by upstream.

        It has every upstream that any entry reports as different, also those
        on which too few entries agree for the others to consider it.
        """
        self._expire(now)
        return {
            upstream: ReportedSlowdown(_median(percents), len(percents))
            for upstream, percents in self.slowdowns.items()
        }

    def summary(self, entry: str) -> Summary:
        """Returns requests, tokens and speeds for one entry."""
        running = self.others(entry)
        tokens: dict[str, int] = {}
        if self.tokens:
            own: Mapping[str, int] = {}
            if entry in self.reports:
                own = self.reports[entry].tokens
            sums = self.tokens
            tokens = {
                upstream: max(0, sums[upstream] - own.get(upstream, 0))
                for upstream in running
            }
        return Summary(running, tokens, self._agreed_slowdowns())

    def _agreed_slowdowns(self) -> dict[str, int]:
        """Returns the medians, which are the same for all entries."""
        for upstream in self.changed:
            percents = self.slowdowns.get(upstream, ())
            if len(percents) >= MIN_REPORTS:
                self.agreed[upstream] = _median(percents)
            else:
                self.agreed.pop(upstream, None)
        self.changed.clear()
        agreed = self.agreed
        if len(agreed) > MAX_UPSTREAMS:
            most = sorted(agreed, key=lambda name: -abs(agreed[name] - 100))
            return {name: agreed[name] for name in most[:MAX_UPSTREAMS]}
        return agreed

    def _expire(self, now: float) -> None:
        while self.reports:
            oldest, report = next(iter(self.reports.items()))
            if now - report.at <= MAX_AGE:
                return
            self._remove(oldest, {})

    def _remove(
        self, entry: str, slowdowns: Mapping[str, int]
    ) -> Mapping[str, int] | None:
        """Removes a report; returns its slowdowns, None without a report.

        The slowdowns stay counted if they equal `slowdowns`, those of the next
        report.
        """
        report = self.reports.pop(entry, None)
        if report is None:
            return None
        _subtract(self.totals, report.running)
        _subtract(self.tokens, report.tokens)
        if report.slowdowns != slowdowns:
            self._remove_slowdowns(report.slowdowns)
        return report.slowdowns

    def _add_slowdowns(self, slowdowns: Mapping[str, int]) -> None:
        self.changed.update(slowdowns)
        for upstream, percent in slowdowns.items():
            bisect.insort(self.slowdowns.setdefault(upstream, []), percent)

    def _remove_slowdowns(self, slowdowns: Mapping[str, int]) -> None:
        self.changed.update(slowdowns)
        for upstream, percent in slowdowns.items():
            percents = self.slowdowns[upstream]
            del percents[bisect.bisect_left(percents, percent)]
            if not percents:
                del self.slowdowns[upstream]


def _median(percents: Sequence[int]) -> int:
    """Returns the median; of two middle ones that closer to 100.

    So one of two reports can't make an upstream slower than the other says.
    """
    lower = percents[(len(percents) - 1) // 2]
    upper = percents[len(percents) // 2]
    return lower if abs(lower - 100) <= abs(upper - 100) else upper


def _subtract(
    sums: collections.Counter[str], numbers: Mapping[str, int]
) -> None:
    for upstream, number in numbers.items():
        sums[upstream] -= number
        if sums[upstream] <= 0:
            del sums[upstream]


class OtherEntriesLoad:
    """What all other entries reported, as one entry last received it.

    Attributes:
        running: Requests by upstream.
        tokens: Tokens held by upstream; empty if unknown.
        slowdowns: Time divided by the median's, by upstream that differs.
        received_at: When the reply arrived; -inf before the first.
    """

    def __init__(self) -> None:
        self.running: Mapping[str, int] = {}
        self.tokens: Mapping[str, int] = {}
        self.slowdowns: Mapping[str, float] = {}
        self.received_at = float("-inf")

    def update(self, summary: Summary, now: float) -> None:
        """Stores a reply from the leader."""
        self.running = summary.running
        self.tokens = summary.tokens
        self.slowdowns = {
            upstream: percent / 100.0
            for upstream, percent in summary.slowdowns.items()
        }
        self.received_at = now

    def is_current(self, now: float) -> bool:
        """Returns whether the reply is young enough to count."""
        return now - self.received_at <= MAX_AGE

    def current(self, now: float) -> Mapping[str, int]:
        """Returns the requests by upstream; empty after `MAX_AGE`."""
        return self.running if self.is_current(now) else {}
