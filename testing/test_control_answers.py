"""Every request to control gets an answer, whatever its body is."""

import gzip
import json
from typing import Any

import eventlet
import testtools

from fakes import platform_system
from mintcleat.adapters import http1_server
from mintcleat.domain import control_events
from mintcleat.platform import control_api

PUT = "/v1/Configuration.Put"
HEARTBEAT = "/v1/Instances.Heartbeat/e1"
HEARTBEAT_FIELDS = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "sequence": 1,
}
# The listener takes 4 MiB.
TOO_LARGE = 5 * 1024 * 1024
# Larger than all socket buffers on the way.
MUCH_TOO_LARGE = 40 * 1024 * 1024


class FailingConfig:
    """A config service with a fault."""

    def ask(self, message: Any, timeout: float) -> Any:
        raise ValueError("a fault")


class RecordingReply:
    """Records the response."""

    def __init__(self) -> None:
        self.status = 0

    def send(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status


class UnexpectedErrorTest(testtools.TestCase):
    def test_fault_of_this_process_is_answered_and_reported(self) -> None:
        reporter = platform_system.EventRecorder()
        api = control_api.ControlApi(FailingConfig(), 1.0, reporter, {})
        push = json.dumps(platform_system.configuration()).encode()
        requests = [
            ("POST", PUT, push),
            ("GET", "/v1/Configuration.Get", b""),
            ("POST", HEARTBEAT, json.dumps(HEARTBEAT_FIELDS).encode()),
            ("POST", "/v1/Instances.Leave/e1", b""),
            ("GET", "/v1/Retire.Get/store-1", b""),
        ]
        for method, target, body in requests:
            reply = RecordingReply()
            request = http1_server.Request(method, target, (), body, "ip:1")
            api.handle(request, reply)
            self.assertEqual(500, reply.status, target)
        (push_event,) = reporter.of(control_events.PushAnswered)
        self.assertEqual(
            ("unknown", 500), (push_event.outcome, push_event.status)
        )
        failures = reporter.of(control_events.RequestFailed)
        self.assertEqual(
            [request[1] for request in requests],
            [failure.path for failure in failures],
        )
        for failure in failures:
            self.assertEqual("ValueError", failure.error)
            self.assertIn("test_control_answers.py:", failure.where)


class BodiesTest(platform_system.HostedTest):
    def exchange(
        self, head: str, body: bytes = b"", half_close: bool = False
    ) -> platform_system.Answer:
        """Sends a whole request before it reads the response."""
        sock = platform_system.connect(self.system.control.listener.address)
        lines = f"POST {PUT} HTTP/1.1\r\nHost: control\r\n{head}\r\n\r\n"
        try:
            with eventlet.Timeout(platform_system.ANSWER_SECONDS):
                sock.sendall(lines.encode() + body)
                if half_close:
                    sock.shutdown(1)
                return platform_system.read_answer(sock)
        finally:
            sock.close()

    def test_body_that_is_too_large_gets_an_answer(self) -> None:
        for size in (TOO_LARGE, MUCH_TOO_LARGE):
            answer = self.exchange(f"Content-Length: {size}", b"x" * size)
            self.assertEqual((413, True), (answer.status, answer.whole))

    def test_chunks_that_are_too_large_get_an_answer(self) -> None:
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        body = chunk * 12 + b"0\r\n\r\n"
        answer = self.exchange("Transfer-Encoding: chunked", body)
        self.assertEqual((413, True), (answer.status, answer.whole))

    def test_body_that_is_too_large_is_not_asked_for(self) -> None:
        answer = self.exchange(
            f"Content-Length: {TOO_LARGE}\r\nExpect: 100-continue"
        )
        self.assertEqual(413, answer.status)

    def test_large_configuration_is_taken(self) -> None:
        routes = [
            platform_system.route(f"r{number}", "safe")
            for number in range(10_000)
        ]
        fields = platform_system.configuration(1, *routes)
        body = json.dumps(fields).encode()
        answer = self.exchange(f"Content-Length: {len(body)}", body)
        self.assertEqual(200, answer.status)

    def test_chunked_configuration_is_taken(self) -> None:
        body = json.dumps(platform_system.configuration()).encode()
        chunks = b"%x;a=b\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        answer = self.exchange("Transfer-Encoding: chunked", chunks)
        self.assertEqual(200, answer.status)

    def test_body_cut_short_gets_an_answer(self) -> None:
        body = json.dumps(platform_system.configuration()).encode()
        for head, sent in (
            (f"Content-Length: {len(body)}", body[:-1]),
            ("Transfer-Encoding: chunked", b"%x\r\n%b" % (len(body), body)),
        ):
            answer = self.exchange(head, sent, half_close=True)
            self.assertEqual(400, answer.status, head)

    def test_body_that_stops_coming_gets_an_answer(self) -> None:
        answer = self.exchange("Content-Length: 100", b"{")
        self.assertEqual(408, answer.status)

    def test_compressed_body_is_refused_with_the_reason(self) -> None:
        body = gzip.compress(
            json.dumps(platform_system.configuration()).encode()
        )
        length = f"Content-Length: {len(body)}"
        answer = self.exchange(f"{length}\r\nContent-Encoding: gzip", body)
        self.assertEqual(400, answer.status)
        self.assertIn(b"gzip", answer.body)

    def test_length_of_thousands_of_digits_gets_an_answer(self) -> None:
        answer = self.exchange(f"Content-Length: {'0' * 5000}")
        self.assertEqual(400, answer.status)

    def test_heartbeat_with_a_time_beyond_a_float_is_refused(self) -> None:
        engine = {**HEARTBEAT_FIELDS, "coldRemainingMs": 10**400}
        answer = self.system.ask_control(
            "POST", HEARTBEAT, json.dumps(engine).encode()
        )
        self.assertEqual(400, answer.status)

    def test_empty_body_is_refused(self) -> None:
        for head in ("Content-Length: 0", "Accept: */*"):
            self.assertEqual(400, self.exchange(head).status, head)
