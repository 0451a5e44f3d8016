"""The subset of upstreams that one entry uses."""

import collections

import testtools
from testtools import matchers

from mintcleat.decisions import subset

MEMBERS = [subset.Member(f"u{n}", f"d{n % 9}") for n in range(900)]


class SubsetTest(testtools.TestCase):
    def test_a_subset_spreads_over_the_failure_domains(self) -> None:
        chosen = set(subset.choose(MEMBERS, "e1"))
        domains = collections.Counter(
            member.failure_domain for member in MEMBERS if member.name in chosen
        )
        self.assertEqual(subset.SIZE, len(chosen))
        self.assertEqual({3, 4}, set(domains.values()))

    def test_a_lost_member_changes_few_positions(self) -> None:
        before = set(subset.choose(MEMBERS, "e1"))
        lost = min(before)
        rest = [member for member in MEMBERS if member.name != lost]
        after = set(subset.choose(rest, "e1"))
        self.assertThat(len(before - after), matchers.LessThan(3))

    def test_a_small_service_is_used_as_a_whole(self) -> None:
        self.assertEqual(10, len(subset.choose(MEMBERS[:10], "e1")))
