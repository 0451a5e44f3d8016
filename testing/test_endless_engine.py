"""Answers of a model engine that never end, from a process of its own."""

from collections.abc import Callable
import pathlib
import subprocess
import sys
import time
from typing import Any

import eventlet
import testtools

from fakes import endless_answers
from mintcleat.adapters import engine_http
from mintcleat.adapters import http1_client
from mintcleat.adapters import process_memory
from mintcleat.domain import errors
from mintcleat.ports import upstream

SENDER = pathlib.Path(__file__).parent / "fakes" / "endless_process.py"
# Time limit of the whole call by its caller.
CALL_SECONDS = 1.0
# Within this time other green threads run again, on a busy machine too.
STALL_SECONDS = 0.5
MAX_GROWTH_BYTES = 32 * 1024 * 1024
EVENTS = endless_answers.HEAD + b"Content-Type: text/event-stream\r\n\r\n"
STREAMS = {
    "comments": endless_answers.Endless(EVENTS, b":\n\n"),
    "events": endless_answers.Endless(EVENTS, b'data: {"choices": []}\n\n'),
}
GARBAGE = {
    **endless_answers.GARBAGE,
    **endless_answers.LONG_EVENTS,
    "nested events": endless_answers.Endless(
        EVENTS, b"data: " + b'{"a":[' * 5_000 + b"\n\n"
    ),
}
CALL = upstream.EngineCall("r1", "", ['{"role":"user","content":"x"}'], "{}")


def seconds_without_a_core() -> float:
    """Returns how long this process has waited for a core, on Linux."""
    path = pathlib.Path("/proc/self/schedstat")
    return int(path.read_text().split()[1]) / 1e9 if path.exists() else 0.0


class Case(testtools.TestCase):
    def start(
        self, endless: endless_answers.Endless, pause: float = 0.0
    ) -> engine_http.HttpEngine:
        begin = endless.begin.replace(
            endless_answers.HEAD, endless_answers.STATUS_LINE
        )
        sender = subprocess.Popen(
            [
                sys.executable,
                str(SENDER),
                begin.hex(),
                endless.repeated.hex(),
                str(pause),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(sender.stdout.close)
        self.addCleanup(sender.wait)
        self.addCleanup(sender.kill)
        address = sender.stdout.readline().strip()
        return engine_http.HttpEngine(address, read_timeout=CALL_SECONDS)

    def setUp(self) -> None:
        super().setUp()
        endless_answers.spare_earlier_objects(self)
        self.before = process_memory.resident_bytes()
        self.peak = self.before
        self.longest_stall = 0.0
        watch = eventlet.spawn(self.watch)
        self.addCleanup(watch.kill)

    def watch(self) -> None:
        """Measures stalls, and the memory while answers are read."""
        while True:
            self.peak = max(self.peak, process_memory.resident_bytes())
            began = time.monotonic() - seconds_without_a_core()
            eventlet.sleep(0.01)
            stall = time.monotonic() - seconds_without_a_core() - began
            self.longest_stall = max(self.longest_stall, stall)

    def check_fails(
        self, call: Callable[[], Any], *kinds: type[errors.MintcleatError]
    ) -> None:
        """Checks that a call raises an error, and doesn't keep the error.

        `assertRaises` keeps it, with all that the failed call had read, until
        a garbage collection. The memory of the next call would count that too.
        """
        try:
            call()
        except kinds:
            return
        self.fail(f"Expected one of {kinds}, but found no error.")

    def check_bounds(self) -> None:
        eventlet.sleep(0.02)
        self.assertLess(self.longest_stall, STALL_SECONDS)
        self.assertLess(self.peak - self.before, MAX_GROWTH_BYTES)


class EndlessEngineTest(Case):
    def test_control_answer_without_end_is_an_error(self) -> None:
        for endless in endless_answers.GARBAGE.values():
            engine = self.start(endless)
            with eventlet.Timeout(CALL_SECONDS):
                self.check_fails(engine.info, errors.StreamClosed)
            self.check_bounds()

    def test_control_answer_with_a_body_without_end_is_an_error(self) -> None:
        self.patch(engine_http, "_CONTROL_TIMEOUT_SECONDS", CALL_SECONDS)
        for endless in endless_answers.BODIES.values():
            engine = self.start(endless)
            with eventlet.Timeout(5.0):
                # Small chunks reach the time limit before that of the size.
                self.check_fails(
                    engine.info, errors.StreamClosed, errors.StreamTimeout
                )
            self.check_bounds()

    def test_control_answer_that_drips_ends_with_its_time_limit(self) -> None:
        self.patch(engine_http, "_CONTROL_TIMEOUT_SECONDS", CALL_SECONDS)
        until_close = endless_answers.BODIES["until the close"]
        engine = self.start(until_close, pause=0.05)
        with eventlet.Timeout(5.0):
            self.check_fails(engine.info, errors.StreamTimeout)

    def test_stream_that_is_no_answer_is_an_error(self) -> None:
        for endless in GARBAGE.values():
            engine = self.start(endless)
            with eventlet.Timeout(5.0):
                self.check_fails(
                    lambda e=engine: list(e.run(CALL)), errors.StreamClosed
                )
            self.check_bounds()

    def test_stream_without_end_stops_no_other_green_thread(self) -> None:
        for endless in STREAMS.values():
            engine = self.start(endless)
            with eventlet.Timeout(CALL_SECONDS, False):
                for _ in engine.run(CALL):
                    pass
                self.fail("The stream ended.")
            self.check_bounds()

    def test_bytes_after_the_last_event_do_not_hold_the_end(self) -> None:
        done = endless_answers.Endless(
            EVENTS + b"data: [DONE]\n\n", b"data: x\n\n"
        )
        opened = []
        connect = http1_client.connect

        def note(address: str) -> http1_client.Connection:
            opened.append(connect(address))
            return opened[-1]

        self.patch(http1_client, "connect", note)
        for pause in (0.0, 0.01):
            engine = self.start(done, pause)
            with eventlet.Timeout(5.0):
                (end,) = engine.run(CALL)
            self.assertIsInstance(end, upstream.End)
            self.assertTrue(opened[-1].closed)
