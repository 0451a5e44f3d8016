"""Tests an entry that is near the limits of its process."""

from typing import Any

import eventlet
import testtools

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import entry_capacity
from mintcleat.domain import events
from mintcleat.main import capacity_watch
from mintcleat.platform import machine_settings

SETTINGS: dict[str, Any] = {
    "ip": "10.0.0.1",
    "zone": "z1",
    "internalPortRange": [7000, 7010],
    "seeds": ["10.0.0.2:7000"],
    "listen": {"front": "10.0.0.1:8080", "ready": "10.0.0.1:8081"},
}
FULL_LAG = 1.0
BUSY_LAG = 0.3


class SettingsTest(testtools.TestCase):
    def test_limits_of_the_process_are_read(self) -> None:
        limits = {"memoryMb": 136, "fileDescriptors": 1638}
        machine = machine_settings.translate(
            {**SETTINGS, "limits": limits}, machine_settings.ENTRY
        )
        self.assertEqual(136_000_000, machine.memory_bytes)
        self.assertEqual(1638, machine.descriptors)

    def test_limits_may_be_missing(self) -> None:
        machine = machine_settings.translate(SETTINGS, machine_settings.ENTRY)
        self.assertEqual((0, 0), (machine.memory_bytes, machine.descriptors))


class ProtectionTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.start_engines(
            ("e1", "desk"), ("e2", "lm", platform_engine.stream(1))
        )
        entry = self.system.entry
        entry.gateway.capacity = entry_capacity.EntryCapacity(
            entry_capacity.Limits(10**12, 10**6)
        )
        self.watch = capacity_watch.CapacityWatch(
            entry.gateway.capacity,
            self.system.entry_common.timers,
            self.system.reporter,
            entry.in_flight,
            entry._close_idle_connections,
        )

    def overload(self, lag_seconds: float) -> None:
        for _ in range(3):
            self.watch.measure(lag_seconds)

    def turn(self, request: str, **headers: str) -> Any:
        return self.system.call(
            "POST",
            "/turns/a",
            b"x",
            request,
            X_Program_Id="p",
            X_Token_Counts="10,9",
            **headers,
        )

    def readiness(self) -> int:
        address = self.system.entry.readiness_listener.address
        return platform_system.exchange(address, "GET", "/", {}, b"").status

    def test_entry_without_limits_is_not_protected(self) -> None:
        # The fixture's settings have no limits.
        self.assertIsNone(self.system.entry.capacity_watch)
        self.assertEqual(200, self.readiness())
        self.assertEqual(200, self.system.call("GET", "/safe/a").status)

    def test_full_entry_refuses_at_once_and_closes(self) -> None:
        self.overload(FULL_LAG)
        self.assertEqual(503, self.readiness())
        with eventlet.Timeout(0.5):
            answer = self.system.call("GET", "/safe/a")
        self.assertEqual(503, answer.status)
        self.assertEqual("overloaded", answer.json()["kind"])
        self.assertEqual("not_run", answer.json()["outcome"])
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        self.assertEqual("close", answer.headers["connection"])
        (refusal,) = self.system.reporter.of(events.CallRefused)
        self.assertIn(entry_capacity.EVENT_LOOP, refusal.detail)

    def test_busy_entry_lets_programs_continue(self) -> None:
        # A program that is cut short has used its upstream's time for nothing.
        self.assertEqual(200, self.turn("t1").status)
        self.overload(BUSY_LAG)
        self.assertEqual(503, self.readiness())
        self.assertEqual(503, self.turn("u1").status)
        self.assertEqual(503, self.system.call("GET", "/safe/a").status)
        self.assertEqual(200, self.turn("t2", X_Previous_Turn="t1").status)
        service_call = self.system.call("GET", "/safe/a", X_Program_Id="p")
        self.assertEqual(200, service_call.status)

    def test_full_entry_refuses_continued_programs_too(self) -> None:
        self.assertEqual(200, self.turn("t1").status)
        self.overload(FULL_LAG)
        self.assertEqual(503, self.turn("t2", X_Previous_Turn="t1").status)

    def test_each_change_is_reported_once(self) -> None:
        self.overload(FULL_LAG)
        self.overload(FULL_LAG)
        (change,) = self.system.reporter.of(events.EntryCapacityChanged)
        self.assertEqual(
            ("full", entry_capacity.EVENT_LOOP, FULL_LAG),
            (change.level, change.reason, change.lag_s),
        )
        self.assertGreater(change.memory_mb, 1.0)
        self.assertGreater(change.descriptors, 3)

    def test_entry_recovers(self) -> None:
        self.overload(BUSY_LAG)
        self.assertEqual(503, self.system.call("GET", "/safe/a").status)
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not self.system.entry.gateway.ready():
                self.watch.measure(0.0)
                eventlet.sleep(0.05)
        self.assertEqual(200, self.system.call("GET", "/safe/a").status)

    def test_descriptors_are_freed_near_their_limit(self) -> None:
        self.system.call("GET", "/safe/a")
        entry = self.system.entry
        idle = platform_system.connect(entry.listener.address)
        self.addCleanup(idle.close)
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not entry.listener.connections:
                eventlet.sleep(0.005)
        self.assertNotEqual({}, entry.http.pool.idle)
        self.watch.capacity.limits = entry_capacity.Limits(0, 5)
        self.watch.measure(0.0)
        self.assertEqual({}, entry.http.pool.idle)
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            self.assertEqual(b"", idle.recv(1))


class SlowCallerTest(platform_system.HostedTest):
    def test_caller_that_does_not_read_holds_up_its_upstream(self) -> None:
        # Its response must neither pile up here nor count as the silence of
        # the upstream.
        sent: list[int] = []
        event = b"data: " + b"x" * 100_000 + b"\n\n"

        def script(connection: Any, received: Any) -> bool:
            connection.begin_stream(received)
            for number in range(1000):
                connection.chunk(event)
                sent.append(number)
            return True

        self.start_engines(("e1", "lm", script))
        entry = self.system.entry
        sock = platform_system.connect(entry.listener.address)
        self.addCleanup(sock.close)
        sock.sendall(
            b"POST /resumable/a HTTP/1.1\r\nHost: callers.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not entry.listener.unsent.total:
                eventlet.sleep(0.01)
        eventlet.sleep(0.1)
        before = len(sent)
        eventlet.sleep(1.0)
        self.assertEqual(before, len(sent))
        self.assertLess(entry.listener.unsent.total, 2 * len(event))
        detector = entry.gateway.loads.silence_detector
        (upstream,) = detector.requests.by_upstream
        now = self.system.entry_common.timers.now()
        self.assertFalse(detector.silent(upstream, now))

    def test_large_response_is_relayed_while_it_arrives(self) -> None:
        body = bytes(range(256)) * 12_000

        def script(connection: Any, received: Any) -> bool:
            connection.answer(received, body)
            return True

        self.start_engines(("e1", "desk", script))
        answer = self.system.call("GET", "/safe/a")
        self.assertTrue(answer.whole)
        self.assertEqual(body, answer.body)

    def test_large_response_that_breaks_off_is_not_whole(self) -> None:
        def script(connection: Any, received: Any) -> bool:
            length = {"Content-Length": "3000000"}
            connection.send(connection.head(received, length) + b"x" * 2000000)
            return False

        self.start_engines(("e1", "desk", script))
        answer = self.system.call("GET", "/safe/a")
        self.assertFalse(answer.whole)
