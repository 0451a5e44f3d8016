"""When a stream that sends nothing is resumed elsewhere."""

import math
from typing import Any
from typing import ClassVar
from typing import Literal

import eventlet
import testtools

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import engine_memory
from mintcleat.decisions import stream_silence
from mintcleat.decisions import turn_time
from mintcleat.domain import events
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.roles.entry import running_stream
from mintcleat.roles.entry import stream_watch

TIMEOUT_SECONDS = 10.0


def measured(gap: float, per_token: float) -> turn_time.UpstreamTimes:
    """Returns an upstream with known gaps and rates."""
    service = turn_time.ServiceTimes()
    times = service.of("u1")
    service.rates = turn_time.Rates(0.05, per_token, gap, 0.0, 20.0)
    times.set_load(0.5)
    return times


class BoundTest(testtools.TestCase):
    def test_unmeasured_upstream_has_the_route_s_bound(self) -> None:
        self.assertEqual(0.5, stream_silence.seconds(None, 100, 0.5))

    def test_short_gaps_leave_time_for_a_lost_packet(self) -> None:
        found = stream_silence.seconds(measured(0.01, 0.0), 100, 9.0)
        self.assertEqual(stream_silence.MIN_SECONDS, found)

    def test_bound_is_the_prefill_elsewhere_if_that_takes_longer(self) -> None:
        # A pause is likely to end before a long prompt has been read again.
        found = stream_silence.seconds(measured(0.01, 0.001), 2000, 9.0)
        self.assertAlmostEqual(2.05, found)

    def test_gaps_that_scatter_raise_the_bound(self) -> None:
        times = measured(0.2, 0.0)
        calm = stream_silence.seconds(times, 0, 9.0)
        times.service.overdue *= 3.0
        self.assertAlmostEqual(3.0 * calm, stream_silence.seconds(times, 0, 9))


class Timers:
    def __init__(self) -> None:
        self.time = 100.0
        self.callbacks: list[Any] = []

    def now(self) -> float:
        return self.time

    def after(self, seconds: float, callback: Any) -> None:
        self.callbacks.append((self.time + seconds, callback))

    def run(self, seconds: float, late: float = 0.0) -> None:
        """Lets time pass; each callback runs later by `late` seconds."""
        until = self.time + seconds
        while self.callbacks and self.callbacks[0][0] <= until:
            at, callback = self.callbacks.pop(0)
            self.time = max(self.time, at + late)
            callback()
        self.time = max(self.time, until)


class Loads:
    def __init__(self) -> None:
        self.times = turn_time.TurnTimes()
        self.has_others = True

    def sound_others(
        self, service: str, tried: set[str], origin: None
    ) -> list[str]:
        return ["u2"] if self.has_others else []


class Answer:
    def __init__(self) -> None:
        self.reasons: list[str] = []

    def interrupt(self, reason: str) -> None:
        self.reasons.append(reason)


class Relay:
    tokens = 4
    has_attempt_event = True
    can_continue = True
    waiting_since = 100.0
    origin = None


class Deadline:
    left = math.inf


class Configuration:
    def __init__(self, stream_moves: Literal["off", "on"] = "on") -> None:
        self.policies = manifest.Policies(stream_moves=stream_moves)

    def manifest(self) -> manifest.Manifest:
        return manifest.Manifest(policies=self.policies)


UPSTREAM = member_messages.Registration(
    "u1", "s", "a:1", "d1", "v1", 4, "ready", 1
)


class WatchTest(testtools.TestCase):
    """The watch of streams; without measurements the bound is 0.5 s."""

    def setUp(self) -> None:
        super().setUp()
        self.timers = Timers()
        self.loads: Any = Loads()
        self.relay: Any = Relay()
        self.timeouts = attempt_timeout.AttemptTimeouts()
        unused: Any = None
        self.watch = stream_watch.StreamWatch(
            unused, unused, self.loads, self.timers, unused, self.timeouts
        )
        self.watch.configuration = Configuration()
        self.answer = Answer()

    def add(self, attempts: int = 1) -> running_stream.RunningStream:
        deadline: Any = Deadline()
        call: Any = None
        route = manifest.Route("/", [], repeat="resume", attempts=2)
        stream = running_stream.RunningStream(
            call,
            route,
            "s",
            manifest.Service("model"),
            UPSTREAM,
            engine_memory.TurnTokens(own=100),
            self.answer,
            self.relay,
            deadline,
            {"u1"},
            attempts,
            0,
            0.5,
        )
        self.watch.add(stream)
        return stream

    def test_stream_that_cannot_continue_is_not_abandoned(self) -> None:
        self.relay.can_continue = False
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_silent_stream_is_interrupted_once(self) -> None:
        stream = self.add()
        self.timers.run(0.45)
        self.assertEqual([], self.answer.reasons)
        self.timers.run(0.5)
        self.assertEqual(1, len(self.answer.reasons))
        self.assertAlmostEqual(0.5, stream.silent_for, delta=0.06)

    def test_silent_stream_stays_if_the_policy_is_off(self) -> None:
        # Guards against streams that are cut where nobody asked for it.
        self.watch.configuration = Configuration("off")
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_time_in_which_the_caller_does_not_read_is_no_silence(self) -> None:
        self.relay.waiting_since = 0.0
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_stall_of_the_process_is_no_silence(self) -> None:
        # After a pause of the process, its upstreams' data wait in buffers.
        self.add()
        self.timers.run(0.06, late=2.0)
        self.assertEqual([], self.answer.reasons)
        self.timers.run(0.4)
        self.assertEqual([], self.answer.reasons)

    def test_stream_stays_if_no_other_upstream_could_resume_it(self) -> None:
        self.loads.has_others = False
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_budget_limits_resumed_streams(self) -> None:
        # If all upstreams are slow, every stream would be started again.
        while self.timeouts.allows("s"):
            self.timeouts.expired("s", 1)
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_prefill_is_not_silence(self) -> None:
        self.relay.has_attempt_event = False
        self.add()
        self.timers.run(2.0)
        self.assertEqual([], self.answer.reasons)

    def test_nothing_runs_without_a_stream_that_may_resume(self) -> None:
        self.add(attempts=2)
        self.assertEqual([], self.timers.callbacks)
        self.watch.remove(self.add())
        self.timers.run(1.0)
        self.assertEqual([], self.timers.callbacks)


def hang_after(count: int) -> platform_engine.Script:
    """Returns a script that sends events and then keeps silent."""

    def run(
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        connection.begin_stream(received)
        for number in range(1, count + 1):
            connection.chunk(platform_engine.event(number))
        if not connection.sock.recv(1):
            received.dropped = True
        return False

    return run


class ResumeTest(platform_system.HostedTest):
    policies: ClassVar[dict[str, Any]] = {"stream_moves": "on"}

    def call(
        self, path: str, attempts: int = 2
    ) -> tuple[platform_system.Answer, list[platform_engine.Engine]]:
        """Sends a request that hangs at its first upstream only."""
        engines = self.start_engines(
            ("e1", "lm", hang_after(2)), ("e2", "lm", hang_after(2))
        )
        route = platform_system.route(
            "resumable",
            "stream",
            service="lm",
            resumable=True,
            attempts=attempts,
        )
        self.system.put(platform_system.configuration(2, route))
        self.system.settle()
        call = eventlet.spawn(self.system.call, "POST", path, b"in")
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while not any(engine.received for engine in engines):
                eventlet.sleep(0.005)
            engines.sort(key=lambda engine: not engine.received)
            engines[1].script = platform_engine.stream(5)
            return call.wait(), engines

    def test_stream_that_hangs_continues_elsewhere(self) -> None:
        # Without a bound on the silence it would end at its deadline of 3 s.
        answer, (first, second) = self.call("/resumable/a")
        expected = b"".join(platform_engine.event(n) for n in range(1, 6))
        self.assertEqual((expected, True), (answer.body, answer.whole))
        self.assertEqual(
            f"sig-{first.name}", answer.headers["x-response-signature"]
        )
        (received,) = second.received
        self.assertEqual("2", received.headers["last-event-id"])
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while not first.received[0].dropped:
                eventlet.sleep(0.005)
        (event,) = self.system.reporter.of(events.StreamContinued)
        self.assertEqual(
            (first.name, second.name, "silent", "resumed", 6),
            (
                event.upstream,
                event.destination,
                event.reason,
                event.result,
                event.tokens,
            ),
        )
        self.assertTrue(0.5 <= event.pause_s < 2.5, event.pause_s)

    def test_attempts_of_the_route_bound_the_upstreams(self) -> None:
        answer, (_, second) = self.call("/resumable/a", attempts=1)
        expected = b"".join(platform_engine.event(n) for n in (1, 2))
        self.assertEqual((expected, False), (answer.body, answer.whole))
        self.assertEqual([], second.received)
