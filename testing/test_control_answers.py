"""Every request to control gets an answer, whatever its body is."""

import json
from typing import Any

import testtools

from fakes import platform_system
from mintcleat.adapters import http1_server
from mintcleat.domain import control_events
from mintcleat.platform import control_api

PUT = "/v1/Configuration.Put"
HEARTBEAT = "/v1/Instances.Heartbeat/e1"


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
        engine = {
            "service": "desk",
            "address": "127.0.0.1:80",
            "zone": "z1",
            "version": "v1",
            "slots": 1,
            "state": "ready",
            "sequence": 1,
        }
        requests = [
            ("POST", PUT, push),
            ("GET", "/v1/Configuration.Get", b""),
            ("POST", HEARTBEAT, json.dumps(engine).encode()),
            ("POST", "/v1/Instances.Leave/e1", b""),
            ("GET", "/v1/Retire.Get/store-1", b""),
        ]
        for method, target, body in requests:
            reply = RecordingReply()
            request = http1_server.Request(method, target, (), body, "ip:1")
            api.handle(request, reply)
            self.assertEqual(500, reply.status, target)
        failures = reporter.of(control_events.RequestFailed)
        self.assertEqual(
            [request[1] for request in requests],
            [failure.path for failure in failures],
        )
        for failure in failures:
            self.assertEqual("ValueError", failure.error)
            self.assertIn("test_control_answers.py:", failure.where)
