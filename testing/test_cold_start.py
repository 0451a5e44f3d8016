"""Calls that reach an entry before it has a configuration."""

from collections.abc import Callable
from collections.abc import Iterator
import random
from typing import Any

import eventlet
import testtools
from testtools import matchers

from mintcleat.adapters import timers
from mintcleat.configuration import directory
from mintcleat.decisions import cold_start
from mintcleat.decisions import jitter
from mintcleat.decisions import stop_times
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import events
from mintcleat.roles.entry import gateway
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import turn_client


class HoldTest(testtools.TestCase):
    def test_call_is_held_until_the_start_should_be_complete(self) -> None:
        self.assertEqual(0.75, cold_start.hold_seconds(0.25, 10.0, 0))

    def test_call_is_held_for_a_fraction_of_its_deadline_only(self) -> None:
        # The rest is left for a retry at another entry.
        self.assertEqual(0.25, cold_start.hold_seconds(0.0, 1.0, 0))

    def test_entry_that_should_have_started_refuses_at_once(self) -> None:
        self.assertEqual(0.0, cold_start.hold_seconds(1.0, 10.0, 0))
        self.assertEqual(0.0, cold_start.hold_seconds(60.0, 10.0, 0))

    def test_held_calls_are_limited(self) -> None:
        self.assertEqual(
            0.0, cold_start.hold_seconds(0.0, 4.0, cold_start.MAX_HELD)
        )

    def test_refused_callers_do_not_retry_together(self) -> None:
        found = [jitter.retry_after(f"r{n}", 0.5) for n in range(400)]
        self.assertTrue(0.3 <= min(found) < 0.32)
        self.assertTrue(0.68 < max(found) <= 0.7)
        tenths = [int(10 * at) for at in found]
        self.assertThat(max(map(tenths.count, tenths)), matchers.LessThan(130))

    def test_callers_over_a_limit_do_not_retry_before_it_admits_them(
        self,
    ) -> None:
        found = [
            jitter.retry_after(f"r{n}", 0.5, may_be_early=False)
            for n in range(400)
        ]
        self.assertTrue(0.5 <= min(found) < 0.51)
        self.assertTrue(0.69 < max(found) <= 0.7)


class ThunderingHerdTest(testtools.TestCase):
    """Simulates callers during a restart of all machines.

    Entries start within 0.7 s of each other and get a configuration 0.8 s after
    the first start, when control has a leader again. A refused caller retries
    once, at another entry. If it is refused again, its program sends the turn
    again 0.1 to 0.4 s later.
    """

    def waits(self, hold: Callable[[float, float, int], float]) -> list[float]:
        """Returns the seconds from recovery to the answer of each call."""
        rng = random.Random(7)
        entries = [
            (start, max(0.8, start + 0.06) + rng.uniform(0.0, 0.05))
            for start in (rng.uniform(0.0, 0.7) for _ in range(60))
        ]
        found = []
        for number in range(600):
            arrived = at = rng.uniform(0.0, 0.8)
            for attempt in range(6):
                running = [e for e in entries if e[0] <= at]
                start, configured_at = rng.choice(running or [min(entries)])
                at = max(at, start)
                seconds = hold(at - start, 4.1, 0)
                if configured_at <= at + seconds:
                    at = max(at, configured_at)
                    break
                delay = jitter.retry_after(f"{number}/{attempt}", 0.5)
                if attempt % 2:
                    delay = rng.uniform(0.1, 0.4)
                at += seconds + delay
            found.append(at - max(0.8, arrived))
        return found

    def test_held_calls_are_served_as_soon_as_control_recovers(self) -> None:
        held = self.waits(cold_start.hold_seconds)
        refused = self.waits(lambda *given: 0.0)
        # Mean: 0.02 s, and 0.28 s if all calls are refused.
        self.assertThat(sum(held) / 600, matchers.LessThan(0.05))
        self.assertThat(sum(refused) / 600, matchers.GreaterThan(0.2))
        self.assertThat(max(held), matchers.LessThan(0.3))


class Configuration:
    """A configuration that arrives on request of the test."""

    def __init__(self) -> None:
        self.registered = directory.Directory()
        self.quarantine: frozenset[bytes] = frozenset()
        self.suspects: frozenset[bytes] = frozenset()
        self.callbacks: list[Callable[[], None]] = []
        self.known = 0
        self.value = manifest.Manifest()

    def manifest(self) -> manifest.Manifest:
        return self.value

    def revision(self) -> int:
        return self.known

    def has_lease(self) -> bool:
        return True

    def lease_left(self) -> float:
        return 1.0

    def key_seconds(self) -> float:
        return 1.0

    def known_until(self) -> float:
        return 0.0

    def push_propagation_seconds(self) -> float:
        return 0.7

    def subscribe(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def arrive(self) -> None:
        share = manifest.Share("s")
        route = manifest.Route("/a/", [share], "h")
        self.value = manifest.Manifest(
            services={"s": manifest.Service(kind="plain")},
            routes={"a": route},
        )
        self.known = 1
        self.registered.register(
            member_messages.Registration(
                "u1", "s", "10.0.0.1:80", "fd-1", "v1", 4, "ready", 1
            )
        )
        for callback in self.callbacks:
            callback()


class Answer:
    head = routed_calls.ResponseHead(200, "OK", (), False)
    framing = answer_ends.Framing.LENGTH
    end = answer_ends.AnswerEnd(framing, answer_ends.Kind.MARKED, 4)
    skipped = 0

    def chunks(self) -> Iterator[bytes]:
        yield b"done"

    def close(self) -> None:
        """Does nothing, as the answer is complete."""


class Upstreams:
    """An upstream that answers immediately."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(
        self, upstream: Any, call: routed_calls.RoutedCall, how: Any
    ) -> Answer:
        self.sent.append(call.request)
        return Answer()

    def forget(self, incarnation: str) -> None:
        """Does nothing, as no state is kept."""


class Reply:
    def __init__(self) -> None:
        self.status = 0

    def set_on_blocked(self, callback: Callable[[], None]) -> None:
        pass

    def send_whole(self, head: routed_calls.ResponseHead, body: bytes) -> None:
        self.status = head.status


class GatewayTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.configuration = Configuration()
        self.upstreams = Upstreams()
        clock, event_reporter = (
            timers.EventletTimers(),
            events.NullEventReporter(),
        )
        limiter = rate_limiter.RateLimiter(
            None, clock, event_reporter, self.configuration
        )
        self.gateway = gateway.Gateway(
            self.configuration,
            self.upstreams,
            turn_client.TurnClient(None, limiter, clock, event_reporter),
            clock,
            event_reporter,
            "e1",
        )

    def call(self, deadline: float) -> routed_calls.RoutedCall:
        return routed_calls.RoutedCall(
            request="r1",
            method="GET",
            host="h",
            target="/a/x",
            headers=(),
            body=b"",
            deadline=deadline,
        )

    def test_call_is_served_once_the_configuration_arrives(self) -> None:
        reply = Reply()
        eventlet.spawn_after(0.05, self.configuration.arrive)
        self.gateway.handle(self.call(4.0), reply)
        self.assertEqual(200, reply.status)
        self.assertEqual(["r1"], self.upstreams.sent)

    def test_call_with_a_short_deadline_is_refused_and_not_run(self) -> None:
        error = self.assertRaises(
            errors.ControlUnavailable,
            self.gateway.handle,
            self.call(0.2),
            Reply(),
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)
        self.assertTrue(0.3 <= error.retry_after <= 0.7)
        self.configuration.arrive()
        self.assertEqual([], self.upstreams.sent)

    def test_held_call_is_refused_before_the_process_ends(self) -> None:
        began = self.gateway.timers.now()
        hold = cold_start.hold_seconds(0.0, 30.0, 0)
        self.gateway.stop(stop_times.StopTimes(began, began + hold / 10))
        self.assertRaises(
            errors.ControlUnavailable,
            self.gateway.handle,
            self.call(30.0),
            Reply(),
        )
        self.assertLess(self.gateway.timers.now(), began + hold / 2)

    def test_call_of_a_caller_that_left_is_not_sent(self) -> None:
        thread = eventlet.spawn(self.gateway.handle, self.call(4.0), Reply())
        eventlet.sleep(0.01)
        self.assertEqual(1, self.gateway.held)
        thread.kill()
        self.configuration.arrive()
        eventlet.sleep(0.01)
        self.assertEqual([], self.upstreams.sent)
        self.assertEqual(0, self.gateway.held)
