"""The time that an upstream is told it has, over sockets."""

from fakes import platform_engine
from fakes import platform_system

DEADLINE_MS = 1000
REPORT_SECONDS = 0.15


class DeadlineTest(platform_system.HostedTest):
    def test_time_until_a_request_is_sent_is_taken_off_its_deadline(
        self,
    ) -> None:
        # Guards against upstreams that work on after their callers' deadline.
        (engine,) = self.start_engines(("e1", "lm", platform_engine.stream(1)))
        engine.started = 1
        engine.report_seconds = REPORT_SECONDS
        self.system.heartbeat(engine, "lm")
        self.system.settle()
        answer = self.system.call(
            "POST",
            "/resumable/a",
            b"x",
            X_Deadline_Milliseconds=str(DEADLINE_MS),
        )
        self.assertTrue(answer.whole)
        (received,) = engine.received
        left = int(received.headers["x-deadline-milliseconds"])
        self.assertLessEqual(left, DEADLINE_MS - 1000 * REPORT_SECONDS)
