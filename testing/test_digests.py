"""Digests of a program's history and of requests."""

from typing import Any

import testtools
from testtools import matchers

from mintcleat.domain import digests
from mintcleat.domain import routed_calls


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


class CallTest(testtools.TestCase):
    def call(self, **changes: Any) -> routed_calls.RoutedCall:
        call = routed_calls.RoutedCall(
            "r1", "GET", "a.example", "/p/1", (), b""
        )
        return call._replace(**changes)

    def test_repetition_of_a_request_has_the_same_digest(self) -> None:
        program = routed_calls.ProgramContext("p2", "s2", finish_within=2.0)
        repeated = self.call(
            request="r2", headers=(("a", "b"),), deadline=3.0, program=program
        )
        self.assertEqual(
            digests.of_call(self.call()), digests.of_call(repeated)
        )

    def test_other_content_or_customer_has_another_digest(self) -> None:
        previous = routed_calls.ProgramContext(previous="t1")
        others = [
            self.call(),
            self.call(method="HEAD"),
            self.call(host="b.example"),
            self.call(target="/p/2"),
            self.call(target="/p/1?q=1"),
            self.call(body=b"x"),
            self.call(customer="c1"),
            self.call(program=previous),
        ]
        found = {digests.of_call(call) for call in others}
        self.assertThat(found, matchers.HasLength(len(others)))
