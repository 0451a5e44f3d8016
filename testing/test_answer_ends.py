"""Answers that break off, from the upstream's bytes to the caller's framing."""

from collections.abc import Callable
import itertools
from typing import NamedTuple

import eventlet
import hypothesis
from hypothesis import strategies as st

from fakes import answer_scripts
from fakes import dying_server
from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events
from mintcleat.domain import routed_calls
from mintcleat.domain import server_sent_events

EVENT = platform_engine.event(1)


def broken(**fields: object) -> platform_engine.Script:
    """Returns a script whose answer ends with its connection."""
    return answer_scripts.script(
        answer_scripts.Answer(answer_scripts.CLOSE, **fields)
    )


INSIDE_EVENT = broken(end=answer_scripts.QUIET, sent=len(EVENT) + 5)
BEFORE_BLANK_LINE = broken(end=answer_scripts.QUIET, sent=len(EVENT) - 1)
CRASH_BETWEEN_EVENTS = broken(end=answer_scripts.CRASH, sent=len(EVENT))


class Case(platform_system.HostedTest):
    def start(
        self, service: str, *scripts: platform_engine.Script
    ) -> list[platform_engine.Engine]:
        """Starts an engine for each script; the first script runs once.

        Which engine gets the first request isn't known, so that each has the
        first script until then.
        """
        queue = list(scripts)

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            chosen = queue.pop(0) if len(queue) > 1 else queue[0]
            return chosen(connection, received)

        names = [f"e{number}" for number in range(len(scripts))]
        return self.start_engines(*((name, service, run) for name in names))

    def turn(self, request: str, **headers: str) -> platform_system.Answer:
        return self.system.call(
            "POST",
            "/turns/a",
            b"x",
            request,
            X_Program_Id="p",
            X_Token_Counts="10,30",
            **headers,
        )


class StreamTest(Case):
    def test_stream_closed_inside_an_event_is_not_ended_as_whole(self) -> None:
        (engine,) = self.start_engines(("e1", "lm"))
        scripts = {"t1": INSIDE_EVENT, "t2": BEFORE_BLANK_LINE}
        for request, engine.script in scripts.items():
            answer = self.turn(request)
            self.assertEqual((200, False), (answer.status, answer.whole))

    def test_turn_that_broke_off_is_not_recorded_as_complete(self) -> None:
        self.start("lm", INSIDE_EVENT, platform_engine.stream(3))
        self.turn("t1")
        again = self.turn("t2", X_Previous_Turn="t1")
        self.assertEqual(404, again.status)

    def test_stream_closed_inside_an_event_is_resumed_elsewhere(self) -> None:
        self.start("lm", INSIDE_EVENT, platform_engine.stream(3))
        answer = self.system.call("POST", "/resumable/a", b"x")
        self.assertTrue(answer.whole)
        self.assertEqual(answer_scripts.Answer().body(), answer.body)

    def test_stream_closed_by_a_crash_between_events_is_resumed(self) -> None:
        self.start("lm", CRASH_BETWEEN_EVENTS, platform_engine.stream(3))
        answer = self.system.call("POST", "/resumable/a", b"x")
        self.assertEqual(answer_scripts.Answer().body(), answer.body)
        self.assertTrue(answer.whole)

    def replaced(self, **fields: object) -> platform_engine.Script:
        """Returns a script that ends with its process after one event.

        The next process at the address listens at once.
        """
        answer = answer_scripts.Answer(
            answer_scripts.CLOSE, answer_scripts.QUIET, sent=len(EVENT)
        )

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            answer_scripts.script(answer)(connection, received)
            for name, value in fields.items():
                setattr(connection.engine, name, value)
            return False

        return run

    def start_replaced(self, **fields: object) -> None:
        engines = self.start(
            "lm", self.replaced(**fields), platform_engine.stream(3)
        )
        for engine in engines:
            engine.started = 1
            self.system.heartbeat(engine, "lm")
        self.system.settle()

    def test_stream_whose_process_was_replaced_at_once_is_resumed(self) -> None:
        self.start_replaced(started=2)
        answer = self.system.call("POST", "/resumable/a", b"x")
        self.assertEqual(answer_scripts.Answer().body(), answer.body)
        self.assertTrue(answer.whole)

    def test_turn_whose_process_was_replaced_at_once_is_not_whole(self) -> None:
        self.start_replaced(started=2)
        self.assertFalse(self.turn("t1").whole)

    def test_turn_whose_address_has_a_process_without_a_start_is_not_whole(
        self,
    ) -> None:
        self.start_replaced(started=0)
        self.assertFalse(self.turn("t1").whole)

    def test_turn_whose_address_has_another_upstream_is_not_whole(self) -> None:
        self.start("lm", self.replaced(name="other"))
        self.assertFalse(self.turn("t1").whole)

    def leaving(
        self, sent: int | None, deregisters: bool
    ) -> platform_engine.Script:
        """Returns a script of an upstream that drains and is then gone.

        Args:
            sent: Bytes that it sends of its last answer; None for all.
            deregisters: Whether it says that it leaves for good before that.
        """
        last = answer_scripts.Answer(
            answer_scripts.CLOSE, answer_scripts.QUIET, sent
        )

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            engine = connection.engine
            self.system.heartbeat(engine, "lm", "draining")
            self.system.settle()
            answer_scripts.script(last)(connection, received)
            engine.stop()
            connection.drop()
            if deregisters:
                eventlet.sleep(0.02)
                self.system.leave(engine)
            engine.crash()
            return False

        return run

    def test_upstream_that_leaves_after_its_last_answer_is_no_crash(
        self,
    ) -> None:
        last = answer_scripts.script(
            answer_scripts.Answer(answer_scripts.CLOSE, answer_scripts.QUIET)
        )

        def leave(engine: platform_engine.Engine) -> None:
            self.system.leave(engine)
            engine.crash()

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            self.system.heartbeat(connection.engine, "lm", "draining")
            self.system.settle()
            eventlet.spawn_after(0.05, leave, connection.engine)
            return last(connection, received)

        self.start("lm", run)
        self.assertTrue(self.turn("t1").whole)
        (ended,) = self.system.reporter.of(events.CallEnded)
        self.assertEqual("confirmed", ended.end)

    def test_leaving_upstream_that_is_killed_between_events_ends_no_stream(
        self,
    ) -> None:
        self.start(
            "lm",
            self.leaving(len(EVENT), deregisters=False),
            platform_engine.stream(3),
        )
        self.assertFalse(self.turn("t1").whole)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)

    def test_turn_cut_by_an_upstream_that_deregisters_after_that_is_not_whole(
        self,
    ) -> None:
        # Guards against a deregistration that is taken for a whole answer.
        self.start("lm", self.leaving(len(EVENT), deregisters=True))
        self.assertFalse(self.turn("t1").whole)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)
        self.assertEqual([], self.system.reporter.of(events.UpstreamCrashed))

    def test_stream_of_a_leaving_upstream_that_is_killed_is_resumed(
        self,
    ) -> None:
        self.start(
            "lm",
            self.leaving(len(EVENT), deregisters=False),
            platform_engine.stream(3),
        )
        answer = self.system.call("POST", "/resumable/a", b"x")
        self.assertEqual(answer_scripts.Answer().body(), answer.body)
        self.assertTrue(answer.whole)

    def test_stream_is_broken_off_if_its_upstream_left_first_and_is_gone(
        self,
    ) -> None:
        killed = broken(end=answer_scripts.CRASH, sent=len(EVENT))

        def leave_first(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            self.system.leave(connection.engine)
            self.system.settle()
            return killed(connection, received)

        self.start("lm", leave_first)
        self.assertFalse(self.turn("t1").whole)

    def test_turn_whose_upstream_answers_nobody_any_more_is_not_whole(
        self,
    ) -> None:
        # Guards against half answers of upstreams that stand still or are gone.
        self.start("lm", broken(end=answer_scripts.QUIET, sent=len(EVENT)))
        self.patch(
            self.system.entries[0].gateway.context.ends.upstreams,
            "identify",
            lambda upstream: routed_calls.Reachability.UNKNOWN,
        )
        self.assertFalse(self.turn("t1").whole)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)

    def test_whole_turn_of_an_upstream_that_resets_for_a_moment_is_whole(
        self,
    ) -> None:
        # Guards against whole turns that are cut as questions are reset.
        whole = answer_scripts.script(
            answer_scripts.Answer(answer_scripts.CLOSE, answer_scripts.QUIET)
        )

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            engine = connection.engine
            serve = engine._serve
            engine._serve = lambda opened: opened.reset()
            eventlet.spawn_after(0.1, setattr, engine, "_serve", serve)
            return whole(connection, received)

        self.start("lm", run)
        self.assertTrue(self.turn("t1").whole)

    def leave_at_once(
        self, leave: Callable[[platform_engine.Engine], None]
    ) -> None:
        """Starts an upstream that drains, and ends between two events.

        The entry learns only 0.1 s later what control knows at that time.
        """
        follower = self.system.entries[0].follower
        handle = follower.handle_message
        killed = broken(end=answer_scripts.CRASH, sent=len(EVENT))

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            self.system.heartbeat(connection.engine, "lm", "draining")
            self.system.settle()
            self.patch(
                follower,
                "handle_message",
                lambda message: eventlet.spawn_after(0.1, handle, message),
            )
            leave(connection.engine)
            return killed(connection, received)

        self.start("lm", run)

    def test_turn_cut_by_a_planned_exit_is_not_whole_at_a_late_entry(
        self,
    ) -> None:
        # Guards against a deregistration that is taken for one after the end.
        self.leave_at_once(self.system.leave)
        self.assertFalse(self.turn("t1").whole)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)

    def test_turn_cut_by_a_crash_is_not_whole_as_its_address_is_taken_over(
        self,
    ) -> None:
        # Guards against a removal that is taken for a deregistration.
        def take_over(engine: platform_engine.Engine) -> None:
            eventlet.spawn_after(0.05, register, engine)

        def register(engine: platform_engine.Engine) -> None:
            engine.name = "next"
            self.system.heartbeat(engine, "lm")

        self.leave_at_once(take_over)
        self.assertFalse(self.turn("t1").whole)

    def test_connection_that_confirms_an_end_carries_the_next_request(
        self,
    ) -> None:
        (engine,) = self.start("lm", broken())
        for number in range(3):
            self.assertTrue(self.turn(f"t{number}").whole)
        ends = [e.end for e in self.system.reporter.of(events.CallEnded)]
        self.assertEqual(["confirmed"] * 3, ends)
        self.assertEqual(4, engine.connections)

    def test_stream_as_long_as_was_asked_for_needs_no_confirmation(
        self,
    ) -> None:
        (engine,) = self.start("lm", broken())
        answer = self.system.call(
            "POST", "/resumable/a", b"x", X_Token_Counts="10,9"
        )
        self.assertTrue(answer.whole)
        self.assertEqual(1, engine.connections)

    def test_stream_closed_between_events_by_a_sound_upstream_is_whole(
        self,
    ) -> None:
        # By the protocol, such a stream may end with its connection.
        self.start("lm", broken())
        answer = self.turn("t1")
        self.assertTrue(answer.whole)
        (ended,) = self.system.reporter.of(events.CallEnded)
        self.assertEqual("close", ended.framing)

    def test_events_with_other_line_ends_arrive_when_they_are_sent(
        self,
    ) -> None:
        (engine,) = self.start_engines(("e1", "lm"))
        for line_end in answer_scripts.LINE_ENDS:
            self.system.reporter.events.clear()
            answer = answer_scripts.Answer(line_end=line_end, count=4)
            engine.script = answer_scripts.script(answer)
            found = self.system.call("POST", "/resumable/a", b"x")
            self.assertEqual(answer.body(), found.body)
            (ended,) = self.system.reporter.of(events.CallEnded)
            self.assertEqual((4, 0), (ended.events, ended.rest))


class CallerFramingTest(Case):
    def test_caller_without_chunks_sees_that_a_stream_broke_off(self) -> None:
        cut = answer_scripts.Answer(
            end=answer_scripts.RESET, sent=len(EVENT) + 5
        )
        self.start("lm", answer_scripts.script(cut))
        answer = self.system.call("POST", "/resumable/a", b"x", version="1.0")
        self.assertFalse(answer.whole)

    def test_caller_without_chunks_sees_that_the_entry_was_stopped(
        self,
    ) -> None:
        self.start("lm", platform_engine.stream(3, pause=10.0))
        call = eventlet.spawn(
            self.system.call, "POST", "/resumable/a", b"x", version="1.0"
        )
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not self.system.engines[0].received:
                eventlet.sleep(0.01)
            eventlet.sleep(0.1)
            self.system.entry.listener.stop()
            answer = call.wait()
        self.assertEqual((200, False), (answer.status, answer.whole))

    def test_caller_without_chunks_gets_a_whole_stream(self) -> None:
        self.start("lm", platform_engine.stream(3))
        answer = self.system.call("POST", "/resumable/a", b"x", version="1.0")
        self.assertTrue(answer.whole)
        self.assertEqual(answer_scripts.Answer().body(), answer.body)


class PlainTest(Case):
    def test_plain_answer_closed_by_a_crash_is_asked_for_again(self) -> None:
        cut = broken(end=answer_scripts.CRASH, plain=b"all of it", sent=3)
        whole = answer_scripts.script(answer_scripts.Answer(plain=b"all of it"))
        self.start("desk", cut, whole)
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual((200, b"all of it"), (answer.status, answer.body))

    def test_plain_answer_of_a_process_whose_listener_ends_last_is_not_whole(
        self,
    ) -> None:
        # Guards against half answers that a process confirms as it ends.
        cut = broken(end=answer_scripts.QUIET, plain=b"all of it", sent=3)

        def end(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            engine = connection.engine
            engine.thread.kill()
            eventlet.spawn_after(dying_server.LISTENER_SECONDS, engine.crash)
            return cut(connection, received)

        whole = answer_scripts.script(answer_scripts.Answer(plain=b"all of it"))
        self.start("desk", end, whole)
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual((200, b"all of it"), (answer.status, answer.body))

    def test_unrepeatable_answer_closed_by_a_crash_has_an_unknown_outcome(
        self,
    ) -> None:
        cut = broken(end=answer_scripts.CRASH, plain=b"all of it", sent=3)
        first, second = self.start("desk", cut, platform_engine.whole)
        answer = self.system.call("POST", "/unsafe/a", b"x")
        self.assertEqual(504, answer.status)
        self.assertEqual(1, len(first.received) + len(second.received))


class Example(NamedTuple):
    """A request, and the first of the answers to it.

    Attributes:
        route: Name of the route.
        version: HTTP version of the caller.
        answer: The first answer; each further one is whole.
    """

    route: str
    version: str
    answer: answer_scripts.Answer

    @property
    def is_stream(self) -> bool:
        return not self.answer.plain

    @property
    def received(self) -> bytes:
        """The body that is sent of the first answer."""
        return self.answer.body()[: self.answer.sent]

    @property
    def looks_whole(self) -> bool:
        """Whether the first answer is whole, as far as anybody can tell."""
        answer = self.answer
        is_cut = len(self.received) < len(answer.body())
        if answer.framing == answer_scripts.CLOSE:
            if answer.end not in (answer_scripts.WHOLE, answer_scripts.QUIET):
                return False
            return not (is_cut and self.is_stream) or self.ends_with_an_event
        if is_cut:
            return False
        return (
            answer.framing == answer_scripts.LENGTH
            or answer.end == answer_scripts.WHOLE
        )

    @property
    def ends_with_an_event(self) -> bool:
        # A CR ends the blank line, with or without its LF.
        blanks = {b"\r\n": (b"\r\n\r\n", b"\r\n\r")}
        end = self.answer.line_end
        return self.received.endswith(blanks.get(end, (end + end,)))


@st.composite
def examples(draw: st.DrawFn) -> Example:
    route = draw(st.sampled_from(("safe", "unsafe", "resumable", "turns")))
    is_plain = route in ("safe", "unsafe")
    answer = answer_scripts.Answer(
        draw(st.sampled_from(answer_scripts.FRAMINGS)),
        draw(st.sampled_from(answer_scripts.ENDS)),
        None,
        draw(st.integers(1, 3)),
        draw(st.sampled_from(answer_scripts.LINE_ENDS)),
        draw(st.sampled_from((0, 1, 7))),
        b"all of it" if is_plain else b"",
    )
    if answer.end != answer_scripts.WHOLE:
        size = len(answer.body())
        # Cuts near the end of a line are where readers go wrong.
        bounds = [
            index + offset
            for index, byte in enumerate(answer.body())
            if byte in b"\r\n"
            for offset in (0, 1)
        ]
        cuts = st.integers(0, size) | st.sampled_from([*bounds, size])
        answer = answer._replace(sent=draw(cuts))
    return Example(route, draw(st.sampled_from(("1.0", "1.1"))), answer)


def numbers_in(body: bytes) -> list[int]:
    """Returns the numbers of the events in a body without a part of one."""
    found = server_sent_events.EventBuffer()
    events_found = [e for e in found.feed(body) if not e.is_empty]
    if found.is_inside_event:
        raise AssertionError(f"{body!r} ends inside an event.")
    for event in events_found:
        if event.data != b"piece-" + event.id.encode():
            raise AssertionError(f"{event} was changed.")
    return [int(event.id) for event in events_found]


class AnyAnswerTest(Case):
    """Every framing, line end, cut and end, on every kind of route."""

    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()
        self.system.put(platform_system.configuration())

    @hypothesis.settings(max_examples=150)
    @hypothesis.given(examples())
    def test_answer_that_looks_complete_is(self, example: Example) -> None:
        number = next(self.numbers)
        engines = self.engines_for(example, number)
        try:
            answer = self.send(
                f"/{example.route}/{number}", f"r{number}", example.version
            )
            runs = sum(len(engine.received) for engine in engines)
            self.check(example, answer, runs)
            if example.route == "turns":
                self.check_record(number, answer)
        finally:
            for engine in engines:
                self.system.leave(engine)
                if not engine.crashed:
                    engine.stop()

    def send(
        self, target: str, request: str, version: str = "1.1", **headers: str
    ) -> platform_system.Answer:
        """Sends a request, again if it was refused on a busy machine."""
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while True:
                answer = self.system.call(
                    "POST",
                    target,
                    b"x",
                    request,
                    version=version,
                    X_Program_Id="p",
                    X_Token_Counts="10,30",
                    **headers,
                )
                if answer.status != 503:
                    return answer
                eventlet.sleep(0.1)

    def engines_for(
        self, example: Example, number: int
    ) -> list[platform_engine.Engine]:
        whole = answer_scripts.Answer(
            count=example.answer.count, plain=example.answer.plain
        )
        queue = [example.answer]

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            answer = queue.pop() if queue else whole
            return answer_scripts.script(answer)(connection, received)

        service = "lm" if example.is_stream else "desk"
        engines = [
            self.system.add(f"e{number}-{each}", service, run)
            for each in range(2)
        ]
        self.system.settle()
        return engines

    def check(
        self, example: Example, answer: platform_system.Answer, runs: int
    ) -> None:
        may_repeat = example.route in ("safe", "resumable")
        is_whole = answer.status == 200 and answer.whole
        self.assertEqual(is_whole, example.looks_whole or may_repeat)
        self.assertEqual(1 + (may_repeat and not example.looks_whole), runs)
        if answer.status != 200:
            return
        if not example.is_stream:
            if example.looks_whole:
                self.assertEqual(example.received, answer.body)
            elif is_whole:
                self.assertEqual(example.answer.plain, answer.body)
            return
        found = numbers_in(answer.body)
        self.assertEqual(list(range(1, len(found) + 1)), found)
        if is_whole and not example.looks_whole:
            self.assertEqual(example.answer.count, len(found))
        elif is_whole:
            self.assertEqual(numbers_in(example.received), found)

    def check_record(self, number: int, answer: platform_system.Answer) -> None:
        """A later turn goes on from a turn that is whole for its caller."""
        for attempt in range(3):
            again = self.send(
                f"/turns/{number}",
                f"n{number}-{attempt}",
                X_Previous_Turn=f"r{number}",
            )
            # Its connection, kept from the first answer, may have been reset.
            if again.status != 504:
                break
        is_whole = answer.status == 200 and answer.whole
        self.assertEqual(404 if not is_whole else 200, again.status)
