"""Replies of upstreams to control requests, whose bytes never end or fit."""

import eventlet
import testtools

from fakes import endless_answers
from mintcleat.adapters import http1_client
from mintcleat.adapters import process_memory
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import upstream_replies
from mintcleat.platform import upstreams

MAX_GROWTH_BYTES = 24 * 1024 * 1024
# On a busy machine; the time limits that are asserted are the callers' own.
SECONDS = 5.0
DRIP_SECONDS = 0.02
REPORT_SECONDS = 0.25
KINDS = {**endless_answers.GARBAGE, **endless_answers.BODIES}
# A JSON text that is nested too deeply to be decoded.
NESTED = b"[" * 50_000


class Case(testtools.TestCase):
    def start(
        self, endless: endless_answers.Endless, pause: float = 0.0
    ) -> member_messages.Registration:
        self.client = upstreams.HttpUpstreamClient()
        self.server = endless_answers.EndlessServer(endless, pause)
        self.addCleanup(self.server.stop)
        return member_messages.Registration(
            "u1", "s", self.server.address, "d1", "v1", 4, "ready", 1, 0.0, 7
        )

    def reply(
        self, body: bytes, fields: bytes = b""
    ) -> endless_answers.Endless:
        """Returns a whole reply, with nothing after it."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n"
        return endless_answers.Endless(head % (len(body), fields) + body, b"")

    def check_closed(self) -> None:
        with eventlet.Timeout(SECONDS):
            while self.server.open:
                eventlet.sleep(0.01)


class EndlessReplyTest(Case):
    def setUp(self) -> None:
        super().setUp()
        self.before = process_memory.resident_bytes()

    def check(self) -> None:
        self.check_closed()
        growth = process_memory.resident_bytes() - self.before
        self.assertLess(growth, MAX_GROWTH_BYTES)

    def test_copy_with_an_endless_reply_fails(self) -> None:
        for endless in KINDS.values():
            upstream = self.start(endless)
            with eventlet.Timeout(SECONDS):
                self.assertRaises(
                    errors.StreamClosed,
                    self.client.copy_run,
                    upstream,
                    "r1",
                    upstream,
                    stop=False,
                )
            self.check()

    def test_report_without_end_identifies_nobody(self) -> None:
        for endless in KINDS.values():
            upstream = self.start(endless)
            with eventlet.Timeout(SECONDS):
                self.assertEqual(
                    routed_calls.Reachability.UNKNOWN,
                    self.client.identify(upstream),
                )
            self.check()

    def test_report_that_drips_keeps_the_request_from_its_upstream_briefly(
        self,
    ) -> None:
        for endless in KINDS.values():
            upstream = self.start(endless, DRIP_SECONDS)
            connection = http1_client.connect(upstream.address)
            with eventlet.Timeout(SECONDS):
                self.assertRaises(
                    errors.NoUpstream,
                    upstream_replies.check_process,
                    connection,
                    upstream,
                    REPORT_SECONDS,
                )
            connection.close()
            self.check()


class UnreadableReplyTest(Case):
    def test_report_that_is_nested_too_deeply_names_no_start(self) -> None:
        upstream = self.start(self.reply(NESTED))
        with eventlet.Timeout(SECONDS):
            connection = http1_client.connect(upstream.address)
            report = upstream_replies.read_report(connection, upstream)
        connection.close()
        self.assertIsNone(report.started)

    def test_reply_to_a_copy_that_is_nested_too_deeply_fails(self) -> None:
        upstream = self.start(self.reply(NESTED))
        with eventlet.Timeout(SECONDS):
            self.assertRaises(
                errors.StreamClosed,
                self.client.copy_run,
                upstream,
                "r1",
                upstream,
                stop=False,
            )

    def test_idle_timeout_that_is_no_number_is_none(self) -> None:
        for value in (b"\xb2", b"\xb9", b"9" * 5000, b"1" * 400):
            upstream = self.start(
                self.reply(
                    b'{"born": 7}', b"Keep-Alive: timeout=" + value + b"\r\n"
                )
            )
            with eventlet.Timeout(SECONDS):
                found = self.client.identify(upstream)
            self.assertEqual(routed_calls.Reachability.ACCEPTS, found)
            self.client.pool.close_idle()

    def test_length_of_too_many_digits_is_no_answer(self) -> None:
        head = endless_answers.STATUS_LINE + b"Content-Length: "
        for digits in (b"0" * 5000, b"9" * 30, b"\xb2", b"-1", b"+1"):
            upstream = self.start(
                endless_answers.Endless(head + digits + b"\r\n\r\n", b"")
            )
            with eventlet.Timeout(SECONDS):
                found = self.client.identify(upstream)
            self.assertEqual(routed_calls.Reachability.UNKNOWN, found)
