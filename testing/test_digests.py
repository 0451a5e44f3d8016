"""Digests of a program's history."""

import testtools
from testtools import matchers

from mintcleat.domain import digests


class ChainTest(testtools.TestCase):
    def test_message_boundaries_change_the_digest(self) -> None:
        first = digests.chain(b"", ["ab", "c"])
        second = digests.chain(b"", ["a", "bc"])
        self.assertThat(first, matchers.Not(matchers.Equals(second)))

    def test_previous_turns_change_the_digest(self) -> None:
        previous = digests.chain(b"", ["a"])
        first = digests.chain(previous, ["b"])
        second = digests.chain(b"", ["b"])
        self.assertThat(first, matchers.Not(matchers.Equals(second)))

    def test_same_history_gives_the_same_sixteen_bytes(self) -> None:
        first = digests.chain(b"", ["a", "ä"])
        self.assertThat(first, matchers.HasLength(16))
        self.assertEqual(first, digests.chain(b"", ["a", "ä"]))
