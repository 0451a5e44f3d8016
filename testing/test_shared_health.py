"""Failing upstreams that entries report to one another."""

import random

import testtools

from mintcleat.decisions import shared_health
from mintcleat.decisions import upstream_health

ENTRIES = 27
UPSTREAMS = [f"u{number}" for number in range(33)]


class FailureReportsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reports = shared_health.FailureReports()

    def test_one_entry_excludes_nothing(self) -> None:
        # Guards against an entry with a broken link that takes healthy
        # upstreams from all others.
        self.reports.report("a", UPSTREAMS, 0.0)
        self.assertEqual([], self.reports.failing())
        self.reports.report("b", ["u3"], 0.1)
        self.assertEqual(["u3"], self.reports.failing())

    def test_report_is_replaced_and_expires(self) -> None:
        # Guards against an upstream that stays excluded after its recovery or
        # after the loss of the entries that reported it.
        self.reports.report("a", ["u1"], 0.0)
        self.reports.report("b", ["u1"], 0.0)
        self.reports.report("a", [], 0.5)
        self.assertEqual([], self.reports.failing())
        self.reports.report("a", ["u1"], 1.0)
        self.reports.report("c", [], 3.5)
        self.assertEqual([], self.reports.failing())

    def test_counts_match_the_reports(self) -> None:
        # Guards against counts that drift and exclude an upstream for ever.
        for step in range(500):
            entry = f"e{step * 7 % 11}"
            names = UPSTREAMS[step % 5 : step % 5 + step % 4]
            self.reports.report(entry, names, step * 0.1)
        expected: dict[str, int] = {}
        for _, names in self.reports.reports.values():
            for name in names:
                expected[name] = expected.get(name, 0) + 1
        self.assertEqual(expected, dict(self.reports.counts))


class ReportedFailuresTest(testtools.TestCase):
    def test_at_most_a_share_is_excluded(self) -> None:
        # Guards against a service whose few remaining upstreams are overloaded
        # because the others were excluded on others' word.
        reported = shared_health.ReportedFailures()
        reported.update(UPSTREAMS[:20], 0.0)
        allowed = reported.allowed(UPSTREAMS, 0.1)
        self.assertEqual(UPSTREAMS[8:], allowed)
        self.assertEqual(["u1"], reported.allowed(["u1"], 0.1))

    def test_old_reply_is_ignored(self) -> None:
        # Guards against an entry without a leader that uses an old reply.
        reported = shared_health.ReportedFailures()
        reported.update(["u1"], 0.0)
        self.assertEqual(UPSTREAMS, reported.allowed(UPSTREAMS, 4.0))


class LostCallsTest(testtools.TestCase):
    """Calls that may not be repeated, at 27 entries and an upstream that hangs.

    The entries send 300 calls a second in turn and notice the silence of the
    upstream after 0.6 s. A reply of the leader reaches an entry with its next
    call.
    """

    def lost_calls(self, share: bool) -> int:
        reports = shared_health.FailureReports()
        heard = {e: shared_health.ReportedFailures() for e in range(ENTRIES)}
        own = {e: upstream_health.FailurePenalties() for e in range(ENTRIES)}
        chance = random.Random(1)
        due: list[tuple[float, int]] = []
        lost = 0
        for step in range(2000):
            now = step / 300.0
            while due and due[0][0] <= now:
                own[due.pop(0)[1]].failed("u0", now)
            entry = step % ENTRIES
            avoided = [
                name
                for name in own[entry].by_upstream
                if not own[entry].allows(name, False, now)
            ]
            if share:
                reports.report(str(entry), avoided, now)
                heard[entry].update(reports.failing(), now)
            names = [name for name in UPSTREAMS if name not in avoided]
            names = heard[entry].allowed(names, now)
            if chance.choice(names) == "u0":
                lost += 1
                due.append((now + 0.6, entry))
        return lost

    def test_fewer_calls_are_lost_than_there_are_entries(self) -> None:
        # Guards against one lost call for each entry.
        alone = self.lost_calls(share=False)
        shared = self.lost_calls(share=True)
        self.assertTrue(shared <= alone / 2, (shared, alone))
