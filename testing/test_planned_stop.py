"""Planned stops: requests that end or run late in the grace time."""

from collections.abc import Callable
import json
import os
import pathlib
import subprocess
import sys
from typing import Any
from unittest import mock

import eventlet
import pytest

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import stop_times

ROOT = pathlib.Path(__file__).parent.parent
# Connections that the entry may close without having read the request.
UNREAD = ("new", "pipelined")


@pytest.fixture(scope="module")
def requests(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, Any]]:
    """What became of each request around one stop; see `stop_world.Seen`."""
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    folder = tmp_path_factory.mktemp("stop")
    done = subprocess.run(
        [sys.executable, "-m", "testing.stop_world", folder],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        timeout=90.0,
    )
    assert done.returncode == 0, done.stderr
    return [json.loads(line) for line in done.stdout.splitlines()]


def _is_served(seen: dict[str, Any]) -> bool:
    return seen["status"] == 200 and seen["whole"]


def _is_refused(seen: dict[str, Any]) -> bool:
    headers = seen["headers"]
    return (
        seen["status"] == 503
        and seen["whole"]
        and seen["runs"] == 0
        and 0 < float(headers.get("retry-after", 0)) < 1
        and headers.get("connection") == "close"
    )


def _failing(
    requests: list[dict[str, Any]], check: Callable[[dict[str, Any]], bool]
) -> list[str]:
    return [json.dumps(seen) for seen in requests if not check(seen)]


def test_late_request_is_answered_or_refused_but_never_cut(
    requests: list[dict[str, Any]],
) -> None:
    def is_whole(seen: dict[str, Any]) -> bool:
        is_unread = (
            seen["sending"]["connection"] in UNREAD
            and not seen["status"]
            and not seen["runs"]
        )
        is_answered = seen["whole"] and seen["status"] in (200, 504)
        return is_unread or is_answered or _is_refused(seen)

    assert requests
    assert not _failing(requests, is_whole)


def test_request_that_never_ends_is_refused_before_the_process_ends(
    requests: list[dict[str, Any]],
) -> None:
    endless = [one for one in requests if one["sending"]["ends_at"] is None]
    assert endless
    assert not _failing(endless, _is_refused)


def test_caller_is_told_that_its_request_may_have_run(
    requests: list[dict[str, Any]],
) -> None:
    # Without a word, callers have to guess whether they may send it again.
    def is_unknown(seen: dict[str, Any]) -> bool:
        return seen["status"] == 504 and seen["whole"] and seen["runs"] == 1

    long = [one for one in requests if one["sending"]["run"] == "long"]
    assert long
    assert not _failing(long, is_unknown)
    usual = [one for one in requests if one["sending"]["run"] != "long"]
    assert not [one for one in usual if one["status"] == 504]


def test_request_that_can_end_in_the_grace_time_is_served(
    requests: list[dict[str, Any]],
) -> None:
    # A refusal of all that comes would keep the other promises too.
    fitting = [
        one
        for one in requests
        if one["sending"]["ends_at"] == 0.2 or one["sending"]["run"] == "quick"
    ]
    assert fitting
    assert not _failing(fitting, _is_served)


class RunningRequestTest(platform_system.HostedTest):
    """Requests that have arrived before the end of the process is near."""

    def stop_soon(self, seconds: float) -> None:
        """Begins a stop of the entry whose last answers are due soon."""
        now = self.system.entry_common.timers.now()
        self.system.entry.gateway.stop(
            stop_times.StopTimes(now + seconds, now + seconds)
        )

    def call_in_stop(
        self, method: str, target: str, **headers: str
    ) -> platform_system.Answer:
        """Returns the answer to a request that runs while the entry stops."""
        calling = eventlet.spawn(
            self.system.call, method, target, b"x", **headers
        )
        eventlet.sleep(0.2)
        now = self.system.entry_common.timers.now()
        self.system.entry.stop(now + 0.6)
        return calling.wait()

    def test_request_is_not_tried_again_where_the_process_ends_first(
        self,
    ) -> None:
        def crash(connection: Any, received: Any) -> bool:
            self.stop_soon(0.1)
            connection.reset()
            return False

        engines = self.start_engines(("e1", "desk", crash), ("e2", "desk"))
        engines[1].script = crash
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual((504, True), (answer.status, answer.whole))
        self.assertEqual(1, sum(len(one.received) for one in engines))

    def test_refused_request_is_not_offered_where_the_process_ends_first(
        self,
    ) -> None:
        def refuse(connection: Any, received: Any) -> bool:
            self.stop_soon(0.1)
            connection.refuse(received, 503)
            return True

        engines = self.start_engines(
            ("e1", "desk", refuse), ("e2", "desk", refuse)
        )
        answer = self.system.call("POST", "/unsafe/a", b"x")
        self.assertEqual((503, "draining"), (answer.status, kind_of(answer)))
        self.assertEqual(1, sum(len(one.received) for one in engines))

    def test_caller_of_a_running_request_is_told_before_the_process_ends(
        self,
    ) -> None:
        def run_long(connection: Any, received: Any) -> bool:
            eventlet.sleep(5.0)
            return False

        self.start_engines(("e1", "desk", run_long))
        answer = self.call_in_stop("POST", "/unsafe/a")
        self.assertEqual(
            (504, True, "outcome_unknown"),
            (answer.status, answer.whole, kind_of(answer)),
        )

    def test_stream_does_not_end_as_whole_when_the_process_ends(self) -> None:
        self.start_engines(("e1", "lm", platform_engine.stream(50, 0.05)))
        answer = self.call_in_stop("POST", "/resumable/a")
        self.assertEqual((200, False), (answer.status, answer.whole))

    def test_turn_that_waits_is_refused_before_the_process_ends(self) -> None:
        (engine,) = self.start_engines(("e1", "lm"))
        turns = self.system.entry.gateway.turns
        with mock.patch.object(
            turns, "open", lambda *arguments: eventlet.sleep(60.0)
        ):
            answer = self.call_in_stop("POST", "/turns/a", X_Program_Id="p")
        self.assertEqual((503, "draining"), (answer.status, kind_of(answer)))
        self.assertEqual([], engine.received)

    def test_turn_that_waits_is_refused_once_it_can_no_longer_run(
        self,
    ) -> None:
        # Its caller could have it run at another entry meanwhile.
        self.start_engines(("e1", "lm"))
        gateway = self.system.entry.gateway
        gateway.context.stop.answer_times.observe("lm", 1.0)
        now = self.system.entry_common.timers.now
        refused_at = []

        def call() -> None:
            self.system.call("POST", "/turns/a", b"x", X_Program_Id="p")
            refused_at.append(now())

        with mock.patch.object(
            gateway.turns, "open", lambda *arguments: eventlet.sleep(60.0)
        ):
            eventlet.spawn(call)
            eventlet.sleep(0.2)
            began = now()
            self.system.entry.stop(began + 2.8)
        # A run would take 2 s, and the last answers are due after 2.5 s.
        self.assertLess(refused_at[0], began + 1.6)

    def test_request_that_waits_for_its_key_is_refused_before_the_process_ends(
        self,
    ) -> None:
        self.start_engines(("e1", "desk"))
        authenticator = self.system.entry.gateway.authenticator
        configuration = mock.Mock(wraps=authenticator.configuration)
        configuration.known_until.return_value = 0.0
        configuration.push_propagation_seconds.return_value = 60.0
        authenticator.configuration = configuration
        with mock.patch.object(
            authenticator, "caller", lambda key, public=False: None
        ):
            answer = self.call_in_stop("POST", "/unsafe/a", Api_Key="new")
        self.assertEqual((503, True), (answer.status, answer.whole))


class ControlStopTest(platform_system.HostedTest):
    """Orders and heartbeats around the stop of a control instance."""

    def test_order_in_progress_is_answered_before_the_process_ends(
        self,
    ) -> None:
        config = self.system.control.wrapped.config
        ask = config.ask

        def ask_slowly(*arguments: Any) -> Any:
            eventlet.sleep(0.5)
            return ask(*arguments)

        answers = []
        with mock.patch.object(config, "ask", ask_slowly):
            eventlet.spawn(
                lambda: answers.append(
                    self.system.put(platform_system.configuration())
                )
            )
            eventlet.sleep(0.1)
            self.stop_control()
        self.assertEqual([200], [answer.status for answer in answers])
        self.assertEqual("close", answers[0].headers["connection"])

    def test_order_of_which_a_part_has_arrived_is_refused(self) -> None:
        data = platform_system.request_bytes(
            "POST", "/v1/Configuration.Put", {}, b"{}"
        )
        sock = platform_system.connect(self.system.control.listener.address)
        sock.sendall(data[:-1])
        eventlet.sleep(0.1)
        self.stop_control()
        answer = platform_system.read_answer(sock)
        self.assertEqual((503, True), (answer.status, answer.whole))

    def stop_control(self) -> None:
        now = self.system.control_common.timers.now()
        self.system.control.stop(now + 5.0)


def kind_of(answer: platform_system.Answer) -> str:
    """Returns the kind of the error that an answer has."""
    return json.loads(answer.body)["kind"]
