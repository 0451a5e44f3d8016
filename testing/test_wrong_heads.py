"""Answers with invalid statuses, and with invalid lines in their heads.

Routed requests are in `test_wrong_answers`. What others get is played by real
processes here.
"""

from collections.abc import Callable
import itertools
import json
import string
from typing import Any

import eventlet
import pytest
from testing import module_runs
from testing.soak import wrong_heads
import testtools

from fakes import endless_answers
from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_heads
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import upstream_replies
from mintcleat.platform import upstreams

_SECONDS = 120.0
_REPORT_SECONDS = 0.25
_REPLY = b'{"born": 7, "handle": "h1", "made": 3}'
_HEAD = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b"
# What follows the version in heads that are invalid.
_STARTS = (
    *wrong_heads.STATUSES,
    *(b"200 OK\r\n" + line for line in wrong_heads.LINES),
)
# Faults for each kind of request. By hand, 0 plays all of them.
_COUNT = 4


@pytest.mark.parametrize("path", ["entry", "engine"])
@pytest.mark.parametrize("group", wrong_heads.GROUPS)
def test_invalid_head_reaches_no_caller_and_no_sidecar(
    group: str, path: str
) -> None:
    # Guards the chat way, plain services and what a sidecar asks its engine.
    _check(group, path)


@pytest.mark.parametrize("group", wrong_heads.GROUPS)
def test_operator_learns_that_the_outcome_is_unknown(group: str) -> None:
    # Guards against exit codes that say that a command failed or took effect.
    _check(group, "operator")


@pytest.mark.parametrize("group", wrong_heads.GROUPS)
def test_load_generator_counts_no_invalid_head_as_success(group: str) -> None:
    _check(group, "load")


def _check(group: str, path: str) -> None:
    done = module_runs.run(
        "testing.soak.wrong_heads", group, path, str(_COUNT), seconds=_SECONDS
    )
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(done.stdout.splitlines()[-1])
    assert found["spoilt"] > 0, found
    assert found["wrong"] == [], found
    assert set(found["exit codes"].values()) == {0}, found


def test_only_tokens_are_taken_as_names_of_fields() -> None:
    # Guards against a blank or a control byte at any place of a name.
    tokens = (
        b"!#$%&'*+-.^_`|~" + (string.ascii_letters + string.digits).encode()
    )
    for position, byte in itertools.product(range(4), range(256)):
        name = bytearray(b"X-Tr")
        name[position] = byte
        # Behind a first byte, a colon is the end of a shorter name.
        is_valid = byte in tokens or (byte == ord(":") and position > 0)
        for head in (b"%bA: 1\r\n%b: 1\r\n\r\n", b"%b%b: 1\r\nA: 1\r\n\r\n"):
            data = head % (b"HTTP/1.1 200 OK\r\n", name)
            assert _is_taken(data) == is_valid, data


def _is_taken(head: bytes) -> bool:
    try:
        http1_heads.parse_response(head, "GET")
    except http1_heads.ProtocolError:
        return False
    return True


class ReplyTest(testtools.TestCase):
    """Replies to what an entry asks upstreams beside requests."""

    def setUp(self) -> None:
        super().setUp()
        self.client = upstreams.HttpUpstreamClient()

    def upstream(self, start: bytes) -> member_messages.Registration:
        """Returns an upstream whose replies begin with a status."""
        reply = _HEAD % (start, len(_REPLY), _REPLY)
        server = endless_answers.EndlessServer(
            endless_answers.Endless(reply, b"")
        )
        self.addCleanup(server.stop)
        return member_messages.Registration(
            "u1", "s", server.address, "d1", "v1", 4, "ready", 1, 0.0, 7
        )

    def fails_at_each(
        self, kind: type, call: Callable[[member_messages.Registration], Any]
    ) -> None:
        """Checks that a call fails at each invalid head, and only there."""
        for start in _STARTS:
            with eventlet.Timeout(_SECONDS):
                self.assertRaises(kind, call, self.upstream(start))
        call(self.upstream(b"200 OK"))

    def check_process(self, upstream: member_messages.Registration) -> None:
        connection = http1_client.connect(upstream.address)
        try:
            upstream_replies.check_process(
                connection, upstream, _REPORT_SECONDS
            )
        finally:
            connection.close()

    def test_copy_whose_head_is_invalid_fails(self) -> None:
        self.fails_at_each(
            errors.StreamClosed,
            lambda one: self.client.copy_run(one, "r1", one, stop=True),
        )

    def test_free_whose_head_is_invalid_fails(self) -> None:
        self.fails_at_each(
            errors.StreamClosed, lambda one: self.client.free_copy(one, "h1")
        )

    def test_request_is_not_sent_after_a_report_with_an_invalid_head(
        self,
    ) -> None:
        self.fails_at_each(errors.NoUpstream, self.check_process)

    def test_report_with_an_invalid_head_identifies_nobody(self) -> None:
        found = {
            self.client.identify(self.upstream(start)) for start in _STARTS
        }
        self.assertEqual({routed_calls.Reachability.UNKNOWN}, found)
