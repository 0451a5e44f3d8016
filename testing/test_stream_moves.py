"""Running streams that are moved to another engine, over real sockets."""

import contextlib
import itertools
import math
import random
from typing import Any
from typing import ClassVar
from unittest import mock

import eventlet

from fakes import moving_engine
from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import retry
from mintcleat.decisions import stream_moves
from mintcleat.decisions import stream_silence
from mintcleat.domain import events
from mintcleat.domain import server_sent_events
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import stream_move

WAIT_SECONDS = 10.0
COUNT = 40
# Time for which engines are expected to run what they have; short, so that the
# streams of the tests outlast it.
LEAVING_SECONDS = 0.2
PAUSE_SECONDS = 0.02


def moves_configuration(version: int, moves: bool = True) -> dict[str, Any]:
    fields = platform_system.configuration(
        version,
        platform_system.route("once", "stream", service="lm", timeoutMs=20000),
        platform_system.route(
            "resumable", "stream", service="lm", resumable=True, timeoutMs=8000
        ),
        platform_system.route(
            "turns",
            "stream",
            service="lm",
            retainContext=True,
            retentionS=60.0,
            timeoutMs=8000,
        ),
    )
    fields["services"][1]["engine"].update(
        moves=moves, kvTokenBytes=1000, linkMbps=100, handle_s=5.0
    )
    return fields


class MovesTest(platform_system.HostedTest):
    """Two engines; the one that runs the stream leaves."""

    policies: ClassVar[dict[str, Any]] = {"stream_moves": "on"}

    def setUp(self) -> None:
        super().setUp()
        self.patch(stream_moves, "LEAVING_SECONDS", LEAVING_SECONDS)
        self.put(1)
        self.group = moving_engine.Group()
        self.engines = [self.add("e1"), self.add("e2")]
        self.system.settle()
        self.socks: list[Any] = []
        self.record_timeouts()

    def record_timeouts(self) -> None:
        """Tells the engines which calls the entry gives up.

        An answer that arrives just then looks to its engine as if it was read.
        """
        client = self.system.entry.gateway.context.streams.client
        copy_run = client.copy_run

        def recorded(
            source: Any, request: str, destination: Any, stop: bool
        ) -> Any:
            self.group.timed_out.discard((request, stop))
            try:
                return copy_run(source, request, destination, stop)
            except stream_move.CallTimeout:
                self.group.timed_out.add((request, stop))
                raise

        self.patch(client, "copy_run", recorded)

    def put(self, version: int, moves: bool = True) -> None:
        answer = self.system.put(moves_configuration(version, moves))
        self.assertEqual(200, answer.status)

    def add(self, name: str, version: str = "v1") -> moving_engine.Engine:
        engine = moving_engine.Engine(name, self.group, COUNT, PAUSE_SECONDS)
        engine.version = version
        self.system.engines.append(engine)
        self.system.heartbeat(engine, "lm")
        return engine

    def begin(
        self,
        path: str = "/once/a",
        engines_framed: bool = True,
        **headers: str,
    ) -> tuple[Any, moving_engine.Engine, moving_engine.Engine]:
        """Sends a request; returns the call, its engine and the other one."""
        for engine in self.engines:
            engine.is_framed = engines_framed
        fields = {
            "X_Deadline_Milliseconds": "8000",
            "X_Token_Counts": f"100,{3 * COUNT}",
            **headers,
        }
        call = eventlet.spawn(self.system.call, "POST", path, b"in", **fields)
        self.wait_for(lambda: any(len(e.requests) for e in self.engines))
        source, other, *_ = sorted(self.engines, key=lambda e: not e.requests)
        self.wait_for(lambda: source.runs["r1"].made >= 5)
        return call, source, other

    def wait_for(self, condition: Any) -> None:
        with eventlet.Timeout(WAIT_SECONDS):
            while not condition():
                eventlet.sleep(0.005)

    def register_starts(self) -> None:
        """Has engines state when they started, as newer software does."""
        for engine in self.engines:
            engine.started = 1
            self.system.heartbeat(engine, "lm")
        self.system.settle()

    def leave(self, engine: moving_engine.Engine) -> None:
        # On a slow disk the run would end before the entry knows of it.
        engine.holds = True
        self.system.heartbeat(engine, "lm", "draining")
        self.system.settle()
        engine.holds = False

    def event(self) -> Any:
        """Returns the only event on a move."""
        self.wait_for(lambda: self.system.reporter.of(events.StreamContinued))
        (event,) = self.system.reporter.of(events.StreamContinued)
        return event

    def assert_complete(self, answer: platform_system.Answer) -> None:
        """Checks that each event came once, in order, under one head."""
        expected = b"".join(
            platform_engine.event(n) for n in range(1, COUNT + 1)
        )
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual(expected, answer.body)

    def assert_generated_once(self) -> None:
        numbers = [number for _, number, _ in self.group.generated]
        self.assertEqual(sorted(set(numbers)), numbers)

    def assert_all_freed(self) -> None:
        """Checks that no engine and no count keeps anything of a move.

        A copy may expire only if its handle never reached the entry.
        """
        self.wait_for(
            lambda: not any(e.copies or e.reserved for e in self.engines)
        )
        kept = [(e.left, e.freed, e.calls) for e in self.engines if e.left]
        moved = {request for *_, calls in kept for request, *_ in calls}
        continued = [
            (engine.name, received.request, received.headers["kv-from"])
            for engine in self.engines
            for received in engine.requests
            if received.request in moved and "kv-from" in received.headers
        ]
        reported = [
            event
            for event in self.system.reporter.of(events.StreamContinued)
            if event.request in moved
        ]
        self.assertEqual([], kept, (continued, reported))
        loads = self.system.entry.gateway.loads
        self.assertEqual({}, loads.requests.by_upstream)
        self.assertEqual({}, loads.tokens)
        watch = self.system.entry.gateway.context.streams
        self.assertEqual(({}, {}), (watch.streams, watch.copying))


class LeavingTest(MovesTest):
    def test_stream_continues_at_the_destination(self) -> None:
        call, source, other = self.begin()
        self.leave(source)
        answer = call.wait()
        self.assert_complete(answer)
        self.assert_generated_once()
        self.assertEqual(
            f"sig-{source.name}", answer.headers["x-response-signature"]
        )
        (first,), (second,) = source.requests, other.requests
        self.assertEqual(
            (first.method, first.target, first.body, first.request),
            (second.method, second.target, second.body, second.request),
        )
        self.assertTrue(second.headers["kv-from"].startswith(source.address))
        last = max(n for _, n, e in self.group.generated if e == source.name)
        self.assertEqual(str(last), second.headers["last-event-id"])
        self.assertEqual(
            [False, True], [last for _, _, last in source.calls][-2:]
        )
        event = self.event()
        self.assertEqual(
            (source.name, other.name, "leaving", "moved", 3 * last),
            (
                event.upstream,
                event.destination,
                event.reason,
                event.result,
                event.tokens,
            ),
        )
        self.assertTrue(0.0 < event.pause_s < 2.0, event.pause_s)
        self.assert_all_freed()

    def test_last_event_that_the_destination_sends_again_comes_once(
        self,
    ) -> None:
        for engine in self.engines:
            engine.sent_again = 1
        call, source, _ = self.begin()
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual("moved", self.event().result)

    def test_stream_whose_destination_goes_back_is_resumed_elsewhere(
        self,
    ) -> None:
        self.engines.append(self.add("e3"))
        self.system.settle()
        for engine in self.engines:
            engine.sent_again = 3
        call, source, _ = self.begin("/resumable/a")
        self.leave(source)
        self.assert_complete(call.wait())

    def test_stream_whose_destination_goes_back_is_cut(self) -> None:
        for engine in self.engines:
            engine.sent_again = 3
        call, source, _ = self.begin()
        self.leave(source)
        answer = call.wait()
        self.assertEqual((200, False), (answer.status, answer.whole))
        found = server_sent_events.EventBuffer().feed(answer.body)
        numbers = [int(one.id) for one in found]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)

    def test_stream_that_went_back_does_not_go_on_from_its_copy(self) -> None:
        # Guards against a joined stream: the copy may be of the second run.
        self.group.rest_seconds = 0.3
        call, source, other = self.begin()
        source.goes_back = True
        self.leave(source)
        answer = call.wait()
        self.assertTrue(source.calls[-1][2], source.calls)
        self.assertEqual((200, False), (answer.status, answer.whole))
        self.assertEqual([], other.requests)
        self.assert_all_freed()

    def test_stream_that_went_back_is_resumed_as_a_new_run(self) -> None:
        self.group.rest_seconds = 0.3
        call, source, other = self.begin("/resumable/a")
        source.goes_back = True
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertNotIn("kv-from", other.requests[0].headers)
        self.assert_all_freed()

    def test_event_without_an_id_before_the_stop_comes_once(self) -> None:
        # Guards against a destination that sends again what no id names.
        self.group.copy_seconds = 0.3
        call, source, _ = self.begin()
        self.leave(source)
        self.wait_for(lambda: source.calls)
        source.is_unnamed = True
        answer = call.wait()
        self.assertTrue(source.calls[-1][2], source.calls)
        found = server_sent_events.EventBuffer().feed(answer.body)
        pieces = [one.data for one in found]
        expected = [b"piece-%d" % n for n in range(1, len(pieces) + 1)]
        self.assertEqual(expected, pieces)
        self.assertFalse(answer.whole)
        self.assert_all_freed()

    def test_turn_is_committed_with_both_parts(self) -> None:
        # The next turn's prompt has the output of both engines.
        call, source, other = self.begin("/turns/a", X_Program_Id="p")
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual(1, len(other.requests))
        self.system.call(
            "POST",
            "/turns/a",
            b"more",
            "r2",
            X_Program_Id="p",
            X_Previous_Turn="r1",
            X_Token_Counts="100,120",
        )
        said = b"".join(b"piece-%d\n" % n for n in range(1, COUNT + 1))
        self.assertEqual(b"in" + said + b"more", other.requests[-1].body)

    def pace_events(self, seconds: float) -> None:
        """Has the entry record the events of streams at even times.

        A stall of this process would count as the engine's pace.
        """
        record = response_relay.ResponseRelay._record_event

        def paced(
            relay: response_relay.ResponseRelay, event: Any, now: float
        ) -> None:
            if relay.has_attempt_event:
                due_at = relay.first_at + relay.attempt_events * seconds
                now = max(relay.last_active_at, due_at)
            record(relay, event, now)

        self.patch(response_relay.ResponseRelay, "_record_event", paced)

    def test_stream_that_ends_soon_stays(self) -> None:
        # What a busy machine adds to each pause is little compared with these.
        self.patch(stream_moves, "LEAVING_SECONDS", 25 * LEAVING_SECONDS)
        pause = 25 * 0.002
        self.pace_events(pause)
        for engine in self.engines:
            engine.pause = pause
        call = eventlet.spawn(
            self.system.call,
            "POST",
            "/once/a",
            b"x",
            X_Deadline_Milliseconds="15000",
            X_Token_Counts="9,120",
        )
        self.wait_for(lambda: any(e.runs for e in self.engines))
        source = next(e for e in self.engines if e.runs)
        self.wait_for(lambda: source.runs["r1"].made >= 5)
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)

    def test_stream_is_not_moved_to_another_version(self) -> None:
        call, source, other = self.begin()
        other.version = "v2"
        self.system.heartbeat(other, "lm")
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)

    def test_no_move_without_a_free_slot(self) -> None:
        call, source, other = self.begin()
        loads = self.system.entry.gateway.loads
        for number in range(4):
            loads.began(other.name, f"x{number}", 100.0)
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)

    def test_no_move_beyond_the_budget(self) -> None:
        call, source, _ = self.begin()
        watch = self.system.entry.gateway.context.streams
        watch.move_budgets["lm"].tokens = 0.5
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)


class SlowTest(MovesTest):
    """An engine becomes several times slower than its peers."""

    def run_streams(self, deadline_ms: int = 8000, **headers: str) -> list[Any]:
        """Runs a stream at each engine; the first engine becomes slow."""
        self.engines.append(self.add("e3"))
        self.system.settle()
        for engine in self.engines:
            engine.count = 100
            engine.pause = 0.01
        calls = []
        for number in range(3):
            calls.append(
                eventlet.spawn(
                    self.system.call,
                    "POST",
                    "/once/a",
                    b"in",
                    f"r{number}",
                    X_Deadline_Milliseconds=str(deadline_ms),
                    X_Program_Id=f"p{number}",
                    X_Token_Counts="100,300",
                    **headers,
                )
            )
        self.wait_for(
            lambda: all(
                any(run.made >= 20 for run in engine.runs.values())
                for engine in self.engines
            )
        )
        self.engines[0].pause = 0.08
        return calls

    def test_stream_that_would_miss_its_target_moves(self) -> None:
        calls = self.run_streams(X_Finish_Milliseconds="4000")
        expected = b"".join(platform_engine.event(n) for n in range(1, 101))
        for call in calls:
            answer = call.wait()
            self.assertEqual((expected, True), (answer.body, answer.whole))
        event = self.event()
        self.assertEqual(
            ("e1", "slow", "moved"),
            (event.upstream, event.reason, event.result),
        )
        self.assert_all_freed()

    def test_stream_without_a_target_stays(self) -> None:
        # It lasts 6.6 s, and longer on a busy machine.
        calls = self.run_streams(deadline_ms=20_000)
        for call in calls:
            self.assertTrue(call.wait().whole)
        self.assertEqual([], [e.calls for e in self.engines if e.calls])


class OffTest(MovesTest):
    """Nothing moves unless the policy and the service allow it."""

    policies: ClassVar[dict[str, Any]] = {}

    def test_policy_is_off_by_default(self) -> None:
        call, source, _ = self.begin()
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)
        watch = self.system.entry.gateway.context.streams
        self.assertFalse(watch.is_scheduled)


class ServiceOffTest(MovesTest):
    def test_service_without_moves_keeps_its_streams(self) -> None:
        self.put(2, moves=False)
        self.system.settle()
        call, source, _ = self.begin()
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual([], source.calls)


class FailureTest(MovesTest):
    """What happens when a step of a move fails."""

    def leave(self, engine: moving_engine.Engine) -> None:
        # What the test itself holds must not count as silence.
        watch = self.system.entry.gateway.context.streams
        with mock.patch.object(
            stream_silence, "seconds", return_value=math.inf
        ):
            super().leave(engine)
            released_at = watch.timers.now()
            self.wait_for(
                lambda: (
                    not any(
                        stream.upstream.upstream == engine.name
                        and stream.relay.waiting_since < released_at
                        for stream in watch.streams
                    )
                )
            )

    def move(
        self, *faults: Any, path: str = "/once/a"
    ) -> tuple[
        platform_system.Answer, moving_engine.Engine, moving_engine.Engine
    ]:
        """Moves a stream whose engine has faults; returns the answer."""
        call, source, other = self.begin(path)
        source.faults = list(faults)
        self.leave(source)
        with eventlet.Timeout(WAIT_SECONDS):
            return call.wait(), source, other

    def assert_broken(
        self,
        answer: platform_system.Answer,
        other: moving_engine.Engine,
    ) -> None:
        """Checks that a stream was interrupted and nothing ran anew."""
        self.assertEqual((200, False), (answer.status, answer.whole))
        body = b"".join(
            platform_engine.event(number)
            for _, number, _ in self.group.generated
        )
        self.assertTrue(body.startswith(answer.body))
        self.assertEqual([], other.runs_made())

    def test_destination_that_refuses_the_copy_is_left(self) -> None:
        answer, source, other = self.move(503, 503, 503, 503)
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        found = self.system.reporter.of(events.StreamContinued)
        self.assertEqual({"stayed"}, {event.result for event in found})
        self.assertEqual(
            {"destination refused"}, {event.detail for event in found}
        )
        self.assertTrue(len(source.calls) <= 2, source.calls)
        self.assert_all_freed()

    def test_unknown_run_stays(self) -> None:
        answer, _, other = self.move(404, 404)
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        self.assert_all_freed()

    def test_move_in_progress_is_tried_again_later(self) -> None:
        self.patch(stream_moves, "RETRY_SECONDS", 0.1)
        for engine in self.engines:
            engine.pause = 0.04
        answer, _, other = self.move(409)
        self.assert_complete(answer)
        self.assertEqual(1, len(other.requests))
        self.assert_generated_once()
        self.assert_all_freed()

    def test_last_call_during_another_leaves_the_stream(self) -> None:
        answer, source, other = self.move(None, 409, 409, 409)
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        self.assertEqual(1, len(source.freed))
        self.assert_all_freed()

    def test_lost_response_to_a_copy_leaves_the_stream(self) -> None:
        answer, _, other = self.move("lost", "lost")
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        self.assert_all_freed()

    def test_copy_expires_whose_answer_came_as_its_call_timed_out(
        self,
    ) -> None:
        # Its engine can't tell that the answer was never read.
        self.patch(stream_move, "TIMEOUT_FACTOR", 0.0)
        self.patch(stream_move, "TIMEOUT_SECONDS", 0.2)
        self.group.stall_seconds = 0.4
        self.group.handle_seconds = 0.2
        answer, source, other = self.move()
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        found = self.system.reporter.of(events.StreamContinued)
        self.assertEqual(
            {("stayed", "no answer in time")},
            {(event.result, event.detail) for event in found},
        )
        self.assert_all_freed()
        self.assertEqual([], source.freed)

    def test_lost_response_to_the_last_call_interrupts(self) -> None:
        # The source has stopped, and the handle is not known.
        answer, source, other = self.move(None, "lost")
        self.assert_broken(answer, other)
        self.assertEqual("unknown", self.event().result)
        self.assert_all_freed()
        self.assertEqual(1, len(source.requests))

    def test_lost_response_resumes_where_the_route_allows_it(self) -> None:
        # An answer that a busy machine delays must not count as the lost one.
        self.patch(stream_move, "TIMEOUT_SECONDS", WAIT_SECONDS)
        for engine in self.engines:
            engine.pause = 0.06
        answer, source, other = self.move(None, "lost", path="/resumable/a")
        self.assert_complete(answer)
        (received,) = other.requests
        self.assertNotIn("kv-from", received.headers)
        self.assertEqual([], list(source.runs))
        found = self.system.reporter.of(events.StreamContinued)
        self.assertEqual(
            ["unknown", "resumed"], [event.result for event in found]
        )

    def test_run_that_is_stopped_after_its_last_event_is_cut(self) -> None:
        # Guards against an end as whole that no upstream has stated.
        call, source, other = self.begin()
        source.count = source.runs["r1"].made + 1
        source.pause = 1.0
        source.faults = [None, "lost"]
        self.leave(source)
        answer = call.wait()
        self.assert_broken(answer, other)
        self.assertEqual(source.count, answer.body.count(b"\n\n"))
        self.assertEqual("unknown", self.event().result)

    def test_source_that_stops_without_answering(self) -> None:
        answer, _, other = self.move(None, "mute")
        self.assert_broken(answer, other)
        self.assertEqual("unknown", self.event().result)

    def test_source_that_keeps_a_silent_stream_open(self) -> None:
        # Otherwise the caller would wait until the deadline.
        answer, source, other = self.move(None, "silent")
        self.assert_broken(answer, other)
        self.wait_for(lambda: source.requests[0].dropped)

    def test_refused_last_call_returns_to_the_source(self) -> None:
        answer, source, other = self.move(None, "refused", 503, 503)
        self.assert_complete(answer)
        self.assert_generated_once()
        self.assertEqual([], other.requests)
        self.assertEqual(2, len(source.requests))
        found = self.system.reporter.of(events.StreamContinued)
        self.assertEqual("returned", found[0].result)
        self.assertTrue(found[0].pause_s > 0.0)
        self.assert_all_freed()

    def test_refusal_without_a_handle_interrupts(self) -> None:
        # It is not known whether the source has stopped. It still sends.
        answer, _, other = self.move(None, 503)
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        self.assertEqual("unknown", self.event().result)

    def test_answer_without_a_handle_is_taken_for_no_answer(self) -> None:
        answer, source, other = self.move(None, 200)
        self.assert_complete(answer)
        self.assertEqual([], other.requests)
        event = self.event()
        self.assertEqual("unknown", event.result)
        self.assertIn("status 200", event.detail)
        self.assertEqual(1, len(source.freed))

    def test_destination_that_refuses_to_continue(self) -> None:
        call, source, other = self.begin()
        other.refuse_copies = True
        self.leave(source)
        self.assert_complete(call.wait())
        self.assert_generated_once()
        self.assertEqual(2, len(source.requests))
        self.assertEqual("returned", self.event().result)
        self.assert_all_freed()

    def test_destination_that_dies_before_it_continues(self) -> None:
        call, source, other = self.begin()
        with contextlib.suppress(OSError):
            self.system.engines.remove(other)
            other.stop()
        self.leave(source)
        self.assert_complete(call.wait())
        self.assert_generated_once()
        self.assertEqual("returned", self.event().result)

    def test_destination_that_never_reports_is_left_for_the_source(
        self,
    ) -> None:
        self.register_starts()
        call, source, other = self.begin()
        other.report_seconds = 10 * WAIT_SECONDS
        self.leave(source)
        self.assert_complete(call.wait())
        self.assert_generated_once()
        self.assertEqual([], other.requests)
        self.assertEqual("returned", self.event().result)
        (failed,) = self.system.reporter.of(events.AttemptFailed)
        self.assertIn("within 0.25 s", failed.detail)

    def test_destination_that_never_reports_is_left_for_a_resume(self) -> None:
        self.register_starts()
        call, source, other = self.begin("/resumable/a")
        other.report_seconds = 10 * WAIT_SECONDS
        self.group.handle_seconds = -1.0
        self.leave(source)
        self.engines.append(self.add("e3"))
        self.system.settle()
        self.assert_complete(call.wait())
        self.assertEqual([], other.requests)

    def test_destination_that_dies_as_it_continues(self) -> None:
        # It may have begun to run the rest.
        call, source, other = self.begin()
        other.break_copies = True
        self.leave(source)
        answer = call.wait()
        self.assertFalse(answer.whole)
        self.assertEqual(1, len(source.requests))
        self.assertEqual("lost", self.event().result)

    def test_expired_handle_ends_the_stream(self) -> None:
        self.group.handle_seconds = -1.0
        answer, source, other = self.move()
        self.assert_broken(answer, other)
        self.assertEqual("lost", self.event().result)
        self.assertEqual(1, len(source.runs_made()))

    def test_expired_handle_resumes_where_the_route_allows_it(self) -> None:
        self.group.handle_seconds = -1.0
        self.engines.append(self.add("e3"))
        self.system.settle()
        call = eventlet.spawn(
            self.system.call,
            "POST",
            "/resumable/a",
            b"in",
            X_Deadline_Milliseconds="8000",
            X_Token_Counts=f"100,{3 * COUNT}",
        )
        self.wait_for(lambda: any(e.runs for e in self.engines))
        source = next(e for e in self.engines if e.runs)
        self.wait_for(lambda: source.runs["r1"].made >= 5)
        self.leave(source)
        self.assert_complete(call.wait())
        self.assert_generated_once()

    def test_move_that_ends_late_leaves_the_count_of_the_resumed_run(
        self,
    ) -> None:
        # Guards against an upstream that seems to have fewer requests.
        self.group.copy_seconds = 0.4
        call, source, other = self.begin("/resumable/a")
        other.pause = 0.06
        self.leave(source)
        self.wait_for(lambda: source.calls)
        source.break_at = source.runs["r1"].made + 1
        self.wait_for(lambda: other.requests)
        gateway = self.system.entry.gateway
        self.assertEqual(1, sum(gateway.context.streams.copying.values()))
        self.wait_for(lambda: not gateway.context.streams.copying)
        running = gateway.loads.requests.by_upstream
        self.assertIn("r1", running.get(other.name, {}))
        self.assert_complete(call.wait())
        self.assert_all_freed()

    def test_copy_of_a_failed_move_is_freed_before_another_move(self) -> None:
        # The first copy stayed at its engines until it expired.
        self.engines += [self.add("e3"), self.add("e4")]
        self.system.settle()
        for engine in self.engines:
            engine.pause = 0.06
        call, source, _ = self.begin("/resumable/a")
        for engine in self.engines:
            engine.break_copies = True
        self.leave(source)
        self.wait_for(lambda: source.calls[1:] and not source.runs)
        self.wait_for(lambda: any(e.runs for e in self.engines))
        for engine in self.engines:
            engine.break_copies = False
        self.leave(next(e for e in self.engines if e.runs))
        self.assert_complete(call.wait())
        found = self.system.reporter.of(events.StreamContinued)
        self.assertEqual(
            ["lost", "resumed", "moved"], [event.result for event in found]
        )
        self.assert_all_freed()

    def test_stream_without_a_marked_end_is_not_taken_for_complete(
        self,
    ) -> None:
        # The source closes the connection when it stops, as at its end.
        call, source, other = self.begin(engines_framed=False)
        self.leave(source)
        self.assert_complete(call.wait())
        self.assertEqual(1, len(other.requests))
        self.assert_generated_once()

    def test_unknown_end_without_a_mark_is_no_end(self) -> None:
        call, source, other = self.begin(engines_framed=False)
        source.faults = [None, "mute"]
        self.leave(source)
        self.assert_broken(call.wait(), other)

    def test_deadline_during_a_move_frees_the_copy(self) -> None:
        self.group.rest_seconds = 2.0
        self.patch(stream_move, "TIMEOUT_SECONDS", WAIT_SECONDS)
        self.patch(run_deadline, "GRACE_SECONDS", 0.05)
        call, source, _ = self.begin(X_Deadline_Milliseconds="1500")
        self.leave(source)
        self.assertFalse(call.wait().whole)
        self.wait_for(lambda: source.freed)
        self.assertEqual("cancelled", self.event().result)
        self.assert_all_freed()

    def test_caller_that_disconnects_during_the_copy(self) -> None:
        self.group.copy_seconds = 0.4
        self.disconnect_during(lambda source: source.calls)

    def test_caller_that_disconnects_during_the_last_call(self) -> None:
        self.group.rest_seconds = 0.4
        self.disconnect_during(lambda source: source.calls[1:])

    def disconnect_during(self, condition: Any) -> None:
        sock = platform_system.connect(self.system.entry.listener.address)
        fields = {
            "Host": platform_system.HOST,
            "X-Request-Id": "r1",
            "X-Token-Counts": f"100,{3 * COUNT}",
        }
        sock.sendall(
            platform_system.request_bytes("POST", "/once/a", fields, b"x")
        )
        self.wait_for(lambda: any(e.runs for e in self.engines))
        source, other = sorted(self.engines, key=lambda e: not e.runs)
        self.wait_for(lambda: source.runs["r1"].made >= 5)
        self.leave(source)
        self.wait_for(lambda: condition(source))
        sock.close()
        self.wait_for(lambda: source.freed)
        self.assert_all_freed()
        self.wait_for(lambda: not source.runs)
        self.assertEqual([], other.requests)
        self.assertEqual("cancelled", self.event().result)


class RandomFaultsTest(MovesTest):
    """Many streams, engines that leave and come back, and random faults."""

    seeds: ClassVar[tuple[int, ...]] = (1, 2)
    streams = 24

    def test_each_event_comes_once_and_nothing_runs_anew(self) -> None:
        # Guards against a second run of a stream whose route isn't resumable,
        # an event that is lost or repeated, an end before the last event, a
        # run that goes on at two engines, and copies that are never freed.
        self.engines += [self.add("e3"), self.add("e4")]
        self.system.settle()
        for engine in self.engines:
            engine.slots = self.streams
        for seed in self.seeds:
            self.run_streams(seed)

    def run_streams(self, seed: int) -> None:
        rng = random.Random(seed)
        self.group.generated.clear()
        self.group.times.clear()
        watch = self.system.entry.gateway.context.streams
        calls = {}
        for number in range(self.streams):
            path = rng.choice(("/once/a", "/resumable/a"))
            request = f"s{seed}-{number}"
            calls[request] = (
                path,
                eventlet.spawn(
                    self.system.call,
                    "POST",
                    path,
                    b"in",
                    request,
                    X_Deadline_Milliseconds="8000",
                    X_Token_Counts=f"100,{3 * COUNT}",
                ),
            )
            watch.move_budgets.setdefault(
                "lm", retry.Budget(0.0, 100.0)
            ).tokens = 100.0
            if rng.random() < 0.4:
                engine = rng.choice(self.engines)
                faults = (404, 409, 503, "lost", "mute", "refused")
                engine.faults = [
                    rng.choice(faults) if rng.random() < 0.15 else None
                    for _ in range(12)
                ]
                engine.refuse_copies = rng.random() < 0.2
                engine.break_copies = rng.random() < 0.1
                self.leave(engine)
                others = [one for one in self.engines if one is not engine]
                self.system.heartbeat(rng.choice(others), "lm")
            eventlet.sleep(rng.uniform(0.0, 0.06))
        for engine in self.engines:
            self.system.heartbeat(engine, "lm")
        for request, (path, call) in calls.items():
            self.assert_sound(request, path, call.wait())
        self.assert_all_freed()

    def assert_sound(
        self, request: str, path: str, answer: platform_system.Answer
    ) -> None:
        self.assertEqual(200, answer.status, answer)
        expected = [platform_engine.event(n) for n in range(1, COUNT + 1)]
        received = answer.body.count(b"\n\n")
        self.assertEqual(b"".join(expected[:received]), answer.body)
        continued = [
            event
            for event in self.system.reporter.of(events.StreamContinued)
            if event.request == request
        ]
        # A run that is stopped after its last event may have no stated end.
        is_ended = received == COUNT and request in self.group.ended
        self.assertEqual(is_ended, answer.whole, (path, answer, continued))
        made = [
            (at, number, engine)
            for at, (one, number, engine) in zip(
                self.group.times, self.group.generated, strict=True
            )
            if one == request
        ]
        if path == "/once/a":
            numbers = [number for _, number, _ in made]
            self.assertEqual(sorted(set(numbers)), numbers, request)
        self.assert_one_engine(made)

    def assert_one_engine(self, made: list[tuple[float, int, str]]) -> None:
        """Checks that an engine stops 0.4 s after the next one has begun."""
        runs: list[list[tuple[float, int, str]]] = []
        for item in made:
            for run in runs:
                if run[-1][2] == item[2] and run[-1][1] + 1 == item[1]:
                    run.append(item)
                    break
            else:
                runs.append([item])
        for earlier, later in itertools.pairwise(runs):
            self.assertTrue(earlier[-1][0] <= later[0][0] + 0.4, made)


class BackupTest(MovesTest):
    """The connection of a stream breaks off that may not be run again."""

    policies: ClassVar[dict[str, Any]] = {"stream_backups": "on"}

    def setUp(self) -> None:
        super().setUp()
        fields = moves_configuration(2)
        fields["services"][1]["engine"]["backups"] = True
        self.assertEqual(200, self.system.put(fields).status)
        self.system.settle()
        self.await_commits()

    def turn(self, number: int) -> platform_system.Answer:
        previous = {"X_Previous_Turn": f"t{number - 1}"} if number else {}
        return self.system.call(
            "POST",
            "/turns/a",
            b"in",
            f"t{number}",
            X_Deadline_Milliseconds="8000",
            X_Program_Id="p",
            X_Token_Counts=f"100,{3 * COUNT}",
            **previous,
        )

    def run_turns(self, count: int) -> None:
        """Completes the first turns of a program; the next one breaks off."""
        for engine in self.engines:
            engine.pause = 0.001
        for number in range(count):
            self.assert_complete(self.turn(number))
        for engine in self.engines:
            engine.break_at = 10
            # A reset drops what the entry has not read yet.
            engine.pause = 0.02
        self.group.generated.clear()

    def test_stream_has_no_backup_at_another_version(self) -> None:
        for engine, version in zip(self.engines, ("v1", "v2"), strict=True):
            engine.version = version
            self.system.heartbeat(engine, "lm")
        self.system.settle()
        self.run_turns(3)
        self.turn(3)
        fields = [
            received.headers
            for engine in self.engines
            for received in engine.requests
        ]
        self.assertEqual([], [f for f in fields if "x-kv-backup" in f])

    def test_backup_whose_version_has_changed_is_not_used(self) -> None:
        self.run_turns(3)
        # It must not break off before the entry knows of the version.
        for engine in self.engines:
            engine.break_at = moving_engine.HELD_AT + 1
            engine.holds = True

        def replace() -> None:
            self.wait_for(lambda: any(e.backups for e in self.engines))
            backup = next(e for e in self.engines if e.backups)
            backup.version = "v2"
            self.system.heartbeat(backup, "lm")
            self.system.settle()
            for engine in self.engines:
                engine.holds = False

        changed = eventlet.spawn(replace)
        self.assertFalse(self.turn(3).whole)
        changed.wait()
        self.assertEqual([], [e for e in self.engines if "kv-from" in _last(e)])

    def test_stream_continues_from_its_backup(self) -> None:
        self.run_turns(3)
        self.assert_complete(self.turn(3))
        self.assert_generated_once()
        restored = [e for e in self.engines if "kv-from" in _last(e)]
        self.assertEqual(1, len(restored))
        self.assertEqual(
            f"{restored[0].address}/t3", _last(restored[0])["kv-from"]
        )
        event = self.event()
        self.assertEqual(
            ("interrupted", "restored", 30),
            (event.reason, event.result, event.tokens),
        )
        self.assert_all_freed()

    def test_stream_that_went_back_does_not_go_on_from_its_backup(
        self,
    ) -> None:
        # Guards against a joined stream: the backup may be of the second run.
        self.run_turns(3)
        for engine in self.engines:
            engine.goes_back = True
        answer = self.turn(3)
        self.assertEqual((200, False), (answer.status, answer.whole))
        self.assertEqual([], [e for e in self.engines if "kv-from" in _last(e)])
        self.assertEqual(10, len(self.group.generated))

    def test_late_report_of_the_only_backup_is_waited_for(self) -> None:
        self.register_starts()
        self.run_turns(3)
        for engine in self.engines:
            # Not before the entry has forgotten its connections.
            engine.break_at = moving_engine.HELD_AT + 1
            engine.holds = True

        def delay() -> None:
            self.wait_for(lambda: any(e.backups for e in self.engines))
            backup = next(e for e in self.engines if e.backups)
            backup.report_seconds = 0.6
            self.system.entry.gateway.context.upstreams.pool.close_idle()
            for engine in self.engines:
                engine.holds = False

        delayed = eventlet.spawn(delay)
        self.assert_complete(self.turn(3))
        delayed.wait()
        self.assertEqual("restored", self.event().result)

    def test_last_event_that_a_backup_sends_again_comes_once(self) -> None:
        self.run_turns(3)
        for engine in self.engines:
            engine.sent_again = 1
        self.assert_complete(self.turn(3))
        self.assertEqual("restored", self.event().result)

    def test_stream_without_a_backup_is_interrupted(self) -> None:
        # The upstream lost the backup; 503 means that nothing ran.
        self.run_turns(3)
        for engine in self.engines:
            engine.refuse_copies = True
        answer = self.turn(3)
        self.assertEqual((200, False), (answer.status, answer.whole))
        self.assertEqual("lost", self.event().result)
        self.assertEqual(10, len(self.group.generated))

    def test_program_with_little_work_has_no_backup(self) -> None:
        self.run_turns(1)
        self.assertFalse(self.turn(1).whole)
        sent = [r.headers for e in self.engines for r in e.requests]
        self.assertFalse(any("x-kv-backup" in headers for headers in sent))


def _last(engine: moving_engine.Engine) -> dict[str, str]:
    """Returns the headers of the last request of an engine."""
    return engine.requests[-1].headers if engine.requests else {}
