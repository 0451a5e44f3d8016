"""Engines that start again under their id, over real sockets."""

import json
import time
from typing import Any

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events

FIRST = 1_764_000_000_000
SECOND = FIRST + 2_500


def lose_answer(talk: platform_engine.Talk, seen: platform_engine.Seen) -> bool:
    talk.reset()
    return False


class LivesTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.assertEqual(200, self.system.put(platform_system.plan()).status)

    def start(
        self,
        started: int,
        sequence: int,
        script: platform_engine.Script = platform_engine.whole,
    ) -> platform_engine.Engine:
        """Starts a life of e1 and has it registered everywhere."""
        engine = platform_engine.Engine("e1", script)
        engine.started = started
        self.system.engines.append(engine)
        self.beat(engine, sequence)
        return engine

    def beat(
        self,
        engine: platform_engine.Engine,
        sequence: int,
        state: str = "ready",
    ) -> None:
        answer = self.system.beat(engine, "desk", state, sequence)
        self.assertEqual(200, answer.status)
        self.system.settle()

    def send(self, body: Any, upstream: str = "e1") -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path = f"/v1/Instances.Heartbeat/{upstream}"
        return self.system.ask_control("POST", path, data).status

    def test_request_after_the_restart_is_served_at_once(self) -> None:
        """e1 crashes behind 900 heartbeats and starts again under its id.

        Its count begins anew. Where the count alone tells, its callers get
        503 until it has caught up.
        """
        first = self.start(FIRST, 900)
        self.system.call("GET", "/safe/a", request="r1")
        first.stop()
        began = time.monotonic()
        second = self.start(SECOND, 1)
        answer = self.system.call("GET", "/safe/a", request="r2")
        self.assertEqual((200, 1), (answer.status, len(second.seen)))
        # One heartbeat, one commit and one change sent to the entry.
        self.assertTrue(time.monotonic() - began < 5.0)

    def test_nothing_is_inherited_from_the_life_before(self) -> None:
        first = self.start(FIRST, 900, lose_answer)
        for number in range(3):
            self.system.call("POST", "/unsafe/a", request=f"r{number}")
        first.stop()
        self.start(SECOND, 1)
        loads = self.system.entry.gateway.loads
        now = self.system.entry_common.timers.now()
        incarnation = f"e1#{SECOND}"
        self.assertEqual({incarnation}, set(loads.known))
        self.assertTrue(loads.penalties.allows(incarnation, False, now))
        self.assertEqual({}, loads.penalties.by_upstream)
        self.assertEqual({}, loads.latencies.by_upstream)

    def test_failure_of_the_old_life_is_not_held_against_the_new(self) -> None:
        """A request is under way when the engine starts again elsewhere.

        Its answer never comes. That says nothing of the new process, and the
        caller is told that it may have run: nobody else may run it.
        """
        holding: list[platform_engine.Engine] = []

        def restart(
            talk: platform_engine.Talk, seen: platform_engine.Seen
        ) -> bool:
            holding.append(self.start(SECOND, 1))
            talk.reset()
            return False

        self.start(FIRST, 900, restart)
        answer = self.system.call("POST", "/unsafe/a", request="r1")
        self.assertEqual(504, answer.status)
        self.assertEqual([], holding[0].seen)
        avoided = self.system.told.of(events.UpstreamAvoided)
        self.assertEqual([], avoided)

    def test_drain_of_the_old_process_does_not_end_the_new_one(self) -> None:
        """An old process behind a cut and a new one bear the same id."""
        old = self.start(FIRST, 900)
        new = self.start(SECOND, 1)
        self.beat(old, 901, "draining")
        self.assertEqual(
            200,
            self.system.ask_control(
                "POST",
                "/v1/Instances.Leave/e1",
                json.dumps({"born": FIRST}).encode(),
            ).status,
        )
        self.system.settle()
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual((200, 1), (answer.status, len(new.seen)))

    def test_what_others_write_changes_nothing_and_is_told(self) -> None:
        engine = self.start(FIRST, 1)
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
        told = self.system.told.of(events.RegistrationRefused)
        self.assertEqual(2 * len(forged), len(told))
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual(200, answer.status)
