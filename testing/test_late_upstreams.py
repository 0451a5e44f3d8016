"""Upstreams that are late before a request is sent to them, over sockets."""

from typing import Any

import eventlet

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import contact_times
from mintcleat.decisions import stop_times
from mintcleat.domain import events

LONG_MS = 60_000
# An upstream that never reports within a test.
NEVER_SECONDS = 600.0


def full(
    connection: platform_engine.Connection,
    received: platform_engine.ReceivedRequest,
) -> bool:
    """Refuses a request, as a full upstream does."""
    connection.refuse(received, 503)
    return True


class Case(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.put(
            platform_system.route(
                "once", "stream", service="lm", timeoutMs=LONG_MS
            ),
            platform_system.route("plain", "unsafe", timeoutMs=LONG_MS),
        )

    def put(self, *routes: dict[str, Any]) -> None:
        answer = self.system.put(platform_system.configuration(1, *routes))
        self.assertEqual(200, answer.status)

    def add(
        self,
        name: str,
        report_seconds: float = 0.0,
        script: platform_engine.Script | None = None,
    ) -> platform_engine.Engine:
        """Adds an engine that reports this much too late."""
        engine = platform_engine.Engine(
            name, script or platform_engine.stream(1)
        )
        engine.started = 1
        engine.report_seconds = report_seconds
        self.system.engines.append(engine)
        self.system.heartbeat(engine, "lm")
        self.system.settle()
        return engine

    def call(
        self, request: str = "r1", seconds: float = 20.0
    ) -> platform_system.Answer:
        return self.system.call(
            "POST",
            "/once/a",
            b"x",
            request,
            X_Deadline_Milliseconds=str(int(1000 * seconds)),
        )

    def assert_refused(self, answer: platform_system.Answer) -> None:
        """Checks that a request was refused and ran nowhere."""
        self.assertEqual(503, answer.status)
        self.assertEqual([], [e for e in self.system.engines if e.received])

    def failures(self) -> list[Any]:
        return self.system.reporter.of(events.AttemptFailed)

    def wait_for(self, condition: Any) -> None:
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not condition():
                eventlet.sleep(0.005)


class OnlyUpstreamTest(Case):
    def test_late_report_of_the_only_upstream_is_waited_for(self) -> None:
        for number, seconds in enumerate((0.4, 0.7, 1.0)):
            engine = self.add(f"e{number}", seconds)
            answer = self.call(f"r{number}", 5.0)
            self.assertEqual((200, True), (answer.status, answer.whole))
            left = int(engine.received[0].headers["x-deadline-milliseconds"])
            self.assertLessEqual(left, 5000 - 1000 * seconds)
            self.system.leave(engine)
            self.system.settle()

    def test_late_connection_to_the_only_upstream_is_waited_for(self) -> None:
        engine = self.system.add("e1", "desk")
        self.system.settle()
        connect = eventlet.connect

        def connect_late(address: tuple[str, int]) -> Any:
            if engine.address.endswith(f":{address[1]}"):
                eventlet.sleep(0.8)
            return connect(address)

        self.patch(eventlet, "connect", connect_late)
        answer = self.system.call(
            "POST", "/plain/a", b"x", X_Deadline_Milliseconds="20000"
        )
        self.assertEqual(200, answer.status)

    def test_another_process_that_reports_late_gets_nothing(self) -> None:
        engine = self.add("e1", 0.4)
        engine.started = 2
        self.assert_refused(self.call())

    def test_late_process_that_says_nothing_of_its_start_gets_nothing(
        self,
    ) -> None:
        engine = self.add("e1", 0.4)
        engine.started = 0
        self.assert_refused(self.call())

    def test_caller_that_leaves_ends_the_wait(self) -> None:
        self.patch(contact_times, "MAX_SECONDS", NEVER_SECONDS)
        engine = self.add("e1", NEVER_SECONDS)
        loads = self.system.entry.gateway.loads
        sock = platform_system.connect(self.system.entry.listener.address)
        sock.sendall(
            platform_system.request_bytes(
                "POST",
                "/once/a",
                {
                    "Host": platform_system.HOST,
                    "X-Request-Id": "r1",
                    "X-Deadline-Milliseconds": str(LONG_MS),
                },
                b"x",
            )
        )
        self.wait_for(lambda: engine.connections)
        self.assertEqual(1, len(loads.requests.by_upstream))
        sock.close()
        self.wait_for(lambda: not loads.requests.by_upstream)
        self.assertEqual([], engine.received)

    def test_deadline_that_is_nearly_over_is_refused_before_it(self) -> None:
        self.add("e1", NEVER_SECONDS)
        for seconds in (0.1, 0.4):
            answer = self.call(f"r{seconds}", seconds)
            self.assert_refused(answer)
            self.assertIn(answer.headers["retry-after"][:1], "0123456789")

    def test_upstream_that_hangs_holds_only_its_first_callers(self) -> None:
        self.patch(contact_times, "_RECOVERY_SECONDS", NEVER_SECONDS)
        self.add("e1", NEVER_SECONDS)
        for request in ("r1", "r2"):
            self.assert_refused(self.call(request))
        first, second = self.failures()
        self.assertGreaterEqual(first.after_s, contact_times.MAX_SECONDS)
        self.assertIn("within 0.25 s", second.detail)

    def test_request_is_not_sent_once_the_entry_ends_before_it(self) -> None:
        engine = self.add("e1", 0.6)
        call = eventlet.spawn(self.call)
        self.wait_for(lambda: engine.connections)
        context = self.system.entry.gateway.context
        now = context.timers.now()
        context.stop.begin(stop_times.StopTimes(0.0, now + 5.0))
        self.assert_refused(call.wait())


class OtherUpstreamsTest(Case):
    def forget_connections(self) -> None:
        """Has the next request ask its upstream for its report again."""
        context = self.system.entry.gateway.context
        context.upstreams.pool.close_idle()
        context.loads.penalties.by_upstream.clear()

    def test_late_upstream_is_left_early_for_another_one(self) -> None:
        late = self.add("e1", NEVER_SECONDS)
        other = self.add("e2")
        for number in range(12):
            self.assertEqual(200, self.call(f"r{number}").status)
            self.forget_connections()
        self.assertEqual([], late.received)
        self.assertEqual(12, len(other.received))
        self.assertGreater(len(self.failures()), 0)
        for event in self.failures():
            self.assertEqual("upstream_late", event.kind)
            self.assertIn("within 0.25 s", event.detail)

    def test_late_upstreams_are_waited_for_beside_a_full_one(self) -> None:
        for name in ("e1", "e2"):
            self.add(name, 0.5)
        self.add("e3", script=full)
        for number in range(8):
            answer = self.call(f"r{number}")
            self.assertEqual((200, True), (answer.status, answer.whole))
            self.forget_connections()

    def test_upstreams_that_all_hang_are_refused_before_the_deadline(
        self,
    ) -> None:
        for number in range(6):
            self.add(f"e{number}", NEVER_SECONDS)
        self.assert_refused(self.call(seconds=10.0))
        self.assertEqual(4, len(self.failures()))


class RepeatableTest(Case):
    """A route whose attempts have a time-out of their own."""

    def setUp(self) -> None:
        super(Case, self).setUp()
        self.put(
            platform_system.route(
                "once",
                "safe",
                service="lm",
                attempts=2,
                targetLatencyMs=100,
                timeoutMs=LONG_MS,
            )
        )

    def test_timeout_of_an_attempt_begins_when_it_is_sent(self) -> None:
        engines = [self.add(name) for name in ("e1", "e2")]
        late = {engine.address.rpartition(":")[2] for engine in engines}
        connect = eventlet.connect

        def connect_late(address: tuple[str, int]) -> Any:
            if str(address[1]) in late:
                eventlet.sleep(0.4)
            return connect(address)

        self.patch(eventlet, "connect", connect_late)
        answer = self.call()
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual([], self.failures())
