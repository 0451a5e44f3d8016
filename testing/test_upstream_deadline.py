"""The time that an upstream is told it has, over sockets."""

import time
from typing import Any

from fakes import platform_engine
from fakes import platform_system
from mintcleat.adapters import timers

DEADLINE_MS = 1000
REPORT_SECONDS = 0.15
SUSPENDED_SECONDS = 0.4


class DeadlineTest(platform_system.HostedTest):
    def test_time_until_a_request_is_sent_is_taken_off_its_deadline(
        self,
    ) -> None:
        # Guards against upstreams that work on after their callers' deadline.
        engine = self.start_engine()
        engine.report_seconds = REPORT_SECONDS
        left = self.left_at(engine)
        self.assertLessEqual(left, DEADLINE_MS - 1000 * REPORT_SECONDS)

    def test_suspension_before_a_request_is_sent_is_taken_off_its_deadline(
        self,
    ) -> None:
        # Guards against the clock that stands still while a machine does.
        engine = self.start_engine()
        suspended = [0.0]

        def now(_: Any) -> float:
            return time.monotonic() + suspended[0]

        def report(connection: Any, answer: Any = engine._answer_report) -> Any:
            suspended[0] = SUSPENDED_SECONDS
            return answer(connection)

        self.patch(timers.EventletTimers, "now", now)
        self.patch(engine, "_answer_report", report)
        left = self.left_at(engine)
        self.assertLessEqual(left, DEADLINE_MS - 1000 * SUSPENDED_SECONDS)

    def start_engine(self) -> platform_engine.Engine:
        (engine,) = self.start_engines(("e1", "lm", platform_engine.stream(1)))
        engine.started = 1
        self.system.heartbeat(engine, "lm")
        self.system.settle()
        return engine

    def left_at(self, engine: platform_engine.Engine) -> int:
        """Returns the milliseconds that an upstream is told it has."""
        answer = self.system.call(
            "POST",
            "/resumable/a",
            b"x",
            X_Deadline_Milliseconds=str(DEADLINE_MS),
        )
        self.assertTrue(answer.whole)
        (received,) = engine.received
        return int(received.headers["x-deadline-milliseconds"])
