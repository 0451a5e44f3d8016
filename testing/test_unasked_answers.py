"""Answers on upstreams' connections that are to other requests, or to none."""

from collections.abc import Callable
import itertools
from typing import Any

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events

_FOREIGN = b"foreign"


def _extra(status: str, fields: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nX-Response-Signature: s\r\n{fields}"
        f"Content-Length: {len(_FOREIGN)}\r\n\r\n"
    ).encode() + _FOREIGN


class UnaskedAnswerTest(platform_system.HostedTest):
    """One upstream for plain requests, so that its connection is used again.

    Attributes:
        before: What it sends before the next answer on a connection that was
            used before.
        used: Those connections.
        numbers: Numbers of requests.
    """

    def setUp(self) -> None:
        super().setUp()
        self.before = b""
        self.numbers = itertools.count(1)
        self.used: set[platform_engine.Connection] = set()
        self.assertEqual(
            200, self.system.put(platform_system.configuration()).status
        )
        self.engine = self.system.add("a1", "desk", self.answer)
        self.system.settle()
        self.assertEqual(200, self.call("/unsafe/a").status)

    def answer(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        before, self.before = self.before, b""
        if before and connection in self.used:
            connection.send(before)
        self.used.add(connection)
        return platform_engine.whole(connection, received)

    def call(self, target: str, request: str = "") -> platform_system.Answer:
        request = request or f"r{next(self.numbers)}"
        return self.system.call("POST", target, b"x", request)

    def test_answers_without_the_request_or_with_two_are_skipped(self) -> None:
        for before in (
            _extra("200 OK"),
            _extra("200 OK", "X-Request-Id: \r\n"),
            _extra("500 No"),
            _extra("421 No"),
            _extra("503 No", "X-Not-Executed: 1\r\n"),
            _extra("200 OK", "X-Request-Id: a\r\nX-Request-Id: b\r\n"),
        ):
            self.before = before
            count = len(self.engine.received)
            answer = self.call("/unsafe/a")
            self.assertEqual(200, answer.status, before)
            self.assertEqual(b"a1 /unsafe/a", answer.body)
            self.assertEqual(count + 1, len(self.engine.received), before)
            ended = self.system.reporter.of(events.CallEnded)[-1]
            self.assertEqual(1, ended.skipped)

    def test_late_answer_to_a_request_of_the_same_id_is_not_taken(self) -> None:
        self.assertEqual(200, self.call("/unsafe/first", "same").status)
        self.before = _extra("200 OK", "X-Request-Id: same\r\n")
        answer = self.call("/unsafe/second", "same")
        self.assertEqual(b"a1 /unsafe/second", answer.body)

    def test_refusal_that_states_no_request_is_not_waited_out(self) -> None:
        def refuse(connection: Any, received: Any) -> bool:
            if connection not in self.used:
                return self.answer(connection, received)
            connection.send(_extra("503 No", "X-Not-Executed: 1\r\n"))
            return True

        self.system.add("a2", "desk", self.answer)
        self.system.settle()
        self.assertEqual(200, self.call("/safe/a").status)
        for engine in self.system.engines:
            engine.script = refuse
        self.call("/safe/a")
        failed = self.system.reporter.of(events.AttemptFailed)[0]
        self.assertIn("states no request", failed.detail)
        self.assertEqual("unknown", failed.outcome)


class ReportTest(platform_system.HostedTest):
    """Two upstreams that say when they started, so that streams ask first."""

    def test_refusal_behind_a_report_does_not_refuse_the_request(self) -> None:
        # The connection carried the report, so the refusal may be that one's.
        refusals = [_extra("503 No", "X-Not-Executed: 1\r\n")]

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            if refusals:
                connection.send(refusals.pop())
            return platform_engine.stream(3)(connection, received)

        self.system.put(platform_system.configuration())
        for number in range(2):
            engine = platform_engine.Engine(f"e{number}", run)
            engine.started = number + 1
            self.system.engines.append(engine)
            self.system.heartbeat(engine, "lm")
        self.system.settle()
        answer = self.system.call(
            "POST",
            "/turns/a",
            b"x",
            "t1",
            X_Program_Id="p",
            X_Token_Counts="10,60",
        )
        self.assertEqual((200, True), (answer.status, answer.whole))
        runs = [one for each in self.system.engines for one in each.received]
        self.assertEqual(1, len(runs))


class UnaskedReportTest(platform_system.HostedTest):
    """One upstream for plain requests and streams."""

    def setUp(self) -> None:
        super().setUp()
        configuration = platform_system.configuration(
            1,
            platform_system.route("plain", "unsafe", service="lm"),
            platform_system.route("once", "stream", service="lm"),
        )
        self.assertEqual(200, self.system.put(configuration).status)
        self.engine = platform_engine.Engine("e1", self.answer)
        self.engine.started = 1
        self.system.engines.append(self.engine)
        self.system.heartbeat(self.engine, "lm")
        self.system.settle()
        self.used: set[platform_engine.Connection] = set()
        self.extra = b""

    def answer(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        if received.target.startswith("/once"):
            return platform_engine.stream(1)(connection, received)
        platform_engine.whole(connection, received)
        self.used.add(connection)
        return True

    def report(
        self, connection: platform_engine.Connection
    ) -> Callable[[platform_engine.Connection], bool]:
        """Reports after `extra`, if the connection was used before."""
        before = self.extra if connection in self.used else b""
        self.engine.before_report = before
        return self.answer_report(connection)

    def test_late_answer_is_not_taken_for_a_report(self) -> None:
        self.answer_report = self.engine._answer_report
        self.engine._answer_report = self.report
        for number, extra in enumerate(
            (
                _extra("421 No"),
                _extra("503 No"),
                _extra("200 OK"),
            )
        ):
            self.extra = extra
            plain = self.system.call("POST", "/plain/a", b"x", f"p{number}")
            self.assertEqual(200, plain.status)
            answer = self.system.call("POST", "/once/a", b"x", f"s{number}")
            self.assertEqual((200, True), (answer.status, answer.whole), extra)
        self.assertEqual([], self.system.reporter.of(events.AttemptFailed))
