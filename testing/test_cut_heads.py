"""Upstreams and servers that stop within the heads of their answers.

Most of it is played by real processes, in scenarios of `testing.soak`.
"""

from collections.abc import Callable
import json
from typing import Any

import eventlet
from testing import module_runs
from testing.soak import head_cutter
import testtools

from fakes import endless_answers
from mintcleat.adapters import http1_client
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import upstream_replies
from mintcleat.platform import upstreams

_SECONDS = 120.0
_REPORT_SECONDS = 0.25
# Bytes between two places at which heads stop, and ways to stop there. By hand,
# 1 and 6 play all of them.
_STEP = 40
_WAYS = 1
_REPLY = b'{"born": 7, "handle": "h1", "made": 3}'
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-A: a\r\n\r\n"
_UNMARKED = b"HTTP/1.1 200 OK\r\n\r\n"


def test_head_that_stops_is_never_taken_for_a_whole_one() -> None:
    # Guards against answers that are whole or "not run" without being so.
    found = _run("testing.soak.cut_heads", "all")
    assert found["spoilt"] > 0, found
    assert found["wrong"] == [], found
    assert set(found["exit codes"].values()) == {0}, found


def test_routed_answer_whose_head_stops_is_not_ended_as_whole() -> None:
    found = _run("testing.soak.cut_routed_heads")
    assert found["cuts"] > 0, found
    assert found["wrong"] == [], found


def _run(module: str, *arguments: str) -> dict[str, Any]:
    done = module_runs.run(
        module, *arguments, str(_STEP), str(_WAYS), seconds=_SECONDS
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(done.stdout.splitlines()[-1])


class ReplyTest(testtools.TestCase):
    """Replies to what an entry asks upstreams beside requests."""

    def setUp(self) -> None:
        super().setUp()
        self.serve(_HEAD % len(_REPLY))

    def serve(self, head: bytes) -> None:
        """Starts an upstream whose replies have a head; it may stop there."""
        self.size = len(head)
        server = endless_answers.EndlessServer(
            endless_answers.Endless(head + _REPLY, b"")
        )
        self.addCleanup(server.stop)
        self.cutter = head_cutter.Cutter(server.address)
        self.addCleanup(self.cutter.close)
        self.client = upstreams.HttpUpstreamClient()
        self.upstream = member_messages.Registration(
            "u1", "s", self.cutter.address, "d1", "v1", 4, "ready", 1, 0.0, 7
        )

    def serve_unmarked(self) -> None:
        """Starts one whose replies have no length; they may stop anywhere."""
        self.serve(_UNMARKED)
        self.size += len(_REPLY)

    def each_cut(self, check: Callable[[], None]) -> None:
        """Checks each place at which a reply may stop."""
        for size in range(self.size):
            for end in head_cutter.ENDS:
                self.cutter.fault = head_cutter.Cut(b"", size, end)
                with eventlet.Timeout(_SECONDS):
                    check()
        self.assertEqual(self.size * len(head_cutter.ENDS), self.cutter.count)
        self.cutter.fault = None

    def copy(self) -> routed_calls.CopyReply:
        return self.client.copy_run(
            self.upstream, "r1", self.upstream, stop=True
        )

    def free(self) -> None:
        self.client.free_copy(self.upstream, "h1")

    def check_process(self) -> None:
        connection = http1_client.connect(self.upstream.address)
        try:
            upstream_replies.check_process(
                connection, self.upstream, _REPORT_SECONDS
            )
        finally:
            connection.close()

    def test_copy_whose_head_stops_fails(self) -> None:
        self.each_cut(lambda: self.assertRaises(errors.StreamClosed, self.copy))
        self.assertEqual("h1", self.copy().handle)

    def test_free_whose_head_stops_fails(self) -> None:
        self.each_cut(lambda: self.assertRaises(errors.StreamClosed, self.free))
        self.free()

    def test_report_whose_head_stops_identifies_nobody(self) -> None:
        self.each_cut(
            lambda: self.assertEqual(
                routed_calls.Reachability.UNKNOWN,
                self.client.identify(self.upstream),
            )
        )
        self.assertEqual(
            routed_calls.Reachability.ACCEPTS,
            self.client.identify(self.upstream),
        )

    def test_request_is_not_sent_after_a_report_whose_head_stops(self) -> None:
        self.each_cut(
            lambda: self.assertRaises(errors.NoUpstream, self.check_process)
        )
        self.check_process()

    def test_copy_whose_reply_is_a_part_fails(self) -> None:
        # Guards against parts that nothing but their content shows.
        self.serve_unmarked()
        self.each_cut(lambda: self.assertRaises(errors.StreamClosed, self.copy))

    def test_part_of_a_report_identifies_nobody(self) -> None:
        self.serve_unmarked()
        self.each_cut(
            lambda: self.assertNotEqual(
                routed_calls.Reachability.ACCEPTS,
                self.client.identify(self.upstream),
            )
        )

    def test_request_is_not_sent_after_a_part_of_a_report(self) -> None:
        self.serve_unmarked()
        self.each_cut(
            lambda: self.assertRaises(errors.NoUpstream, self.check_process)
        )
