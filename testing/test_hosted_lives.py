"""Engines that restart under the same id, over real sockets."""

import json
import time
from typing import Any

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events

FIRST_START = 1_764_000_000_000
SECOND_START = FIRST_START + 2_500


def lose_answer(
    connection: platform_engine.Connection,
    received: platform_engine.ReceivedRequest,
) -> bool:
    connection.reset()
    return False


class RestartTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.assertEqual(
            200, self.system.put(platform_system.configuration()).status
        )

    def start(
        self,
        started: int,
        sequence: int,
        script: platform_engine.Script = platform_engine.whole,
    ) -> platform_engine.Engine:
        """Starts an incarnation of e1 and waits until the entry has it."""
        engine = platform_engine.Engine("e1", script)
        engine.started = started
        self.system.engines.append(engine)
        self.heartbeat(engine, sequence)
        return engine

    def heartbeat(
        self,
        engine: platform_engine.Engine,
        sequence: int,
        state: str = "ready",
    ) -> None:
        answer = self.system.heartbeat(engine, "desk", state, sequence)
        self.assertEqual(200, answer.status)
        self.system.settle()

    def send(self, body: Any, upstream: str = "e1") -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path = f"/v1/Instances.Heartbeat/{upstream}"
        return self.system.ask_control("POST", path, data).status

    def test_request_after_a_restart_is_served_at_once(self) -> None:
        """e1 crashes after 900 heartbeats and restarts under the same id.

        Its heartbeat sequence starts at 1 again. If only the sequence decided,
        its heartbeats would be ignored up to 900 and its callers would get 503.
        """
        first = self.start(FIRST_START, 900)
        self.system.call("GET", "/safe/a", request="r1")
        first.stop()
        began = time.monotonic()
        second = self.start(SECOND_START, 1)
        answer = self.system.call("GET", "/safe/a", request="r2")
        self.assertEqual((200, 1), (answer.status, len(second.received)))
        # It takes one heartbeat, one commit and one update to the entry.
        self.assertTrue(time.monotonic() - began < 5.0)

    def test_new_incarnation_inherits_no_penalties(self) -> None:
        first = self.start(FIRST_START, 900, lose_answer)
        for number in range(3):
            self.system.call("POST", "/unsafe/a", request=f"r{number}")
        first.stop()
        self.start(SECOND_START, 1)
        loads = self.system.entry.gateway.loads
        now = self.system.entry_common.timers.now()
        incarnation = f"e1#{SECOND_START}"
        self.assertEqual({incarnation}, set(loads.known))
        self.assertTrue(loads.penalties.allows(incarnation, False, now))
        self.assertEqual({}, loads.penalties.by_upstream)
        self.assertEqual({}, loads.latencies.by_upstream)

    def test_failure_of_the_old_incarnation_does_not_count_for_the_new(
        self,
    ) -> None:
        """The engine restarts elsewhere while it runs a request.

        The lost answer must not count against the new process. The request may
        have run, so no other upstream may run it, and the caller must get 504.
        """
        restarted: list[platform_engine.Engine] = []

        def restart(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            restarted.append(self.start(SECOND_START, 1))
            connection.reset()
            return False

        self.start(FIRST_START, 900, restart)
        answer = self.system.call("POST", "/unsafe/a", request="r1")
        self.assertEqual(504, answer.status)
        self.assertEqual([], restarted[0].received)
        avoided = self.system.reporter.of(events.UpstreamAvoided)
        self.assertEqual([], avoided)

    def test_drain_of_the_old_process_does_not_end_the_new_one(self) -> None:
        """A partitioned old process and a new one have the same id."""
        old = self.start(FIRST_START, 900)
        new = self.start(SECOND_START, 1)
        self.heartbeat(old, 901, "draining")
        self.assertEqual(
            200,
            self.system.ask_control(
                "POST",
                "/v1/Instances.Leave/e1",
                json.dumps({"born": FIRST_START}).encode(),
            ).status,
        )
        self.system.settle()
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual((200, 1), (answer.status, len(new.received)))

    def test_invalid_heartbeats_change_nothing_and_emit_events(self) -> None:
        engine = self.start(FIRST_START, 1)
        whole = engine.heartbeat("desk", 50)
        forged = [
            b"\xff\xfe",
            b"[1]",
            {**whole, "state": "failing"},
            {**whole, "service": "nobody's"},
            {**whole, "address": ""},
            {**whole, "sequence": "9"},
            {**whole, "slots": -4},
        ]
        directory = self.system.control.wrapped.config.machine.directory
        before = directory.version
        for body in forged:
            self.assertIn(self.send(body), (400, 404), body)
            self.assertIn(self.send(body, "e7"), (400, 404), body)
        self.assertEqual(before, directory.version)
        refused = self.system.reporter.of(events.RegistrationRefused)
        self.assertEqual(2 * len(forged), len(refused))
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual(200, answer.status)
