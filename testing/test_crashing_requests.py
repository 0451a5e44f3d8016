"""Requests that crash the upstreams which run them, over real sockets."""

from collections.abc import Callable
from typing import Any

import eventlet
import testtools

from fakes import config_cluster
from fakes import platform_engine
from fakes import platform_system
from mintcleat.adapters import timers
from mintcleat.configuration import crash_evidence
from mintcleat.configuration import machine
from mintcleat.configuration import object_evidence
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.roles.entry import crash_reporter
from mintcleat.roles.entry import crash_watch

# What the platform allows: after the third crash, entries have this time to
# learn of it, and this many runs may follow it.
WINDOW_SECONDS = 3.0
MAX_LATE_RUNS = 3
CRASHES = crash_evidence.CRASHES_TO_QUARANTINE
BOOM = platform_engine.crash_on("boom")


class CrashTest(platform_system.HostedTest):
    """Base class; two entries, and engines that crash on `/boom` targets."""

    def start(
        self,
        count: int,
        service: str = "desk",
        script: platform_engine.Script = BOOM,
    ) -> list[platform_engine.Engine]:
        self.system.add_entry()
        return self.start_engines(
            *((f"e{number}", service, script) for number in range(count))
        )

    def runs(self, word: str) -> int:
        """Returns the runs of requests whose target has the word."""
        return sum(
            word in received.target
            for engine in self.system.engines
            for received in engine.received
        )

    def send(
        self, number: int, method: str = "GET", target: str = "/safe/boom"
    ) -> platform_system.Answer:
        """Sends a request through one of the entries, by its number."""
        body = b"" if method == "GET" else b"content"
        return self.system.call(
            method, target, body, request=f"b{number}", entry=number % 2
        )

    def stop_it(self, method: str = "GET", target: str = "/safe/boom") -> None:
        """Sends a crashing request again and again, until it is refused."""
        number = 0
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not self.is_known():
                self.send(number, method, target)
                number += 1
        self.assertLessEqual(self.runs("boom"), CRASHES + MAX_LATE_RUNS)

    def watches(self) -> list[crash_watch.CrashWatch]:
        return [entry.gateway.context.crashes for entry in self.system.entries]

    def is_known(self) -> bool:
        """Returns whether every entry knows a quarantine from control."""
        return all(watch.configuration.quarantine for watch in self.watches())


class RepetitionTest(CrashTest):
    def check_refused(self, method: str, target: str) -> None:
        """Checks that a request doesn't run any more, through any entry."""
        before = self.runs("boom")
        for number in range(4):
            answer = self.send(100 + number, method, target)
            self.assertEqual(503, answer.status)
        self.assertEqual(before, self.runs("boom"))

    def check_late_runs(
        self, count: int, send: Callable[[int], object], late: int
    ) -> None:
        """Checks how many runs follow after entries must know of a request.

        Args:
            count: Number of engines.
            send: Sends it again, by its number.
            late: How often it is sent after that.
        """
        engines = self.start(count)
        number = 0
        while self.runs("boom") < CRASHES:
            send(number)
            number += 1
        eventlet.sleep(WINDOW_SECONDS)
        for engine in engines:
            if not engine.crashed:
                self.system.heartbeat(engine, "desk")
        self.system.settle()
        before = self.runs("boom")
        for again in range(late):
            send(100 + again)
        self.assertLessEqual(self.runs("boom") - before, MAX_LATE_RUNS)

    def test_request_that_crashes_its_upstreams_is_stopped_at_every_entry(
        self,
    ) -> None:
        self.check_late_runs(24, self.send, 8)

    def test_requests_that_share_an_object_and_differ_in_content_are_stopped(
        self,
    ) -> None:
        self.check_late_runs(30, self.send_content, 12)

    def test_object_is_stopped_by_an_entry_without_control(self) -> None:
        self.start(12)
        for watch in self.watches():
            watch.reporter.control = _Unreachable()
        for number in range(0, 2 * CRASHES, 2):
            self.send_content(number)
        eventlet.sleep(2 * object_evidence.SETTLE_SECONDS)
        self.assertEqual(503, self.send_content(2 * CRASHES).status)

    def send_content(self, number: int) -> platform_system.Answer:
        """Sends a crashing request whose content is one of eight."""
        return self.system.call(
            "POST",
            "/unsafe/boom",
            b"content %d" % (number % 8),
            request=f"c{number}",
            entry=number % 2,
        )

    def test_request_that_must_not_be_repeated_is_stopped_too(self) -> None:
        self.start(12)
        self.stop_it("POST", "/unsafe/boom")
        self.check_refused("POST", "/unsafe/boom")

    def test_stream_that_may_be_resumed_is_stopped_too(self) -> None:
        self.start(12, "lm")
        self.stop_it("POST", "/resumable/boom")
        self.check_refused("POST", "/resumable/boom")

    def test_turn_of_a_program_is_stopped_too(self) -> None:
        self.start(12, "lm")
        self.stop_it("POST", "/turns/boom")
        self.check_refused("POST", "/turns/boom")

    def test_stream_that_crashes_its_upstream_after_its_begin_is_stopped(
        self,
    ) -> None:
        def crash_midway(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            connection.begin_stream(received)
            connection.chunk(platform_engine.event(1))
            return BOOM(connection, received)

        self.start(12, "lm", crash_midway)
        self.stop_it("POST", "/resumable/boom")
        self.check_refused("POST", "/resumable/boom")

    def test_one_request_crashes_two_upstreams_at_most(self) -> None:
        self.start(12)
        answer = self.send(0)
        self.assertEqual((504, 2), (answer.status, self.runs("boom")))

    def test_refusal_states_when_the_request_may_be_tried(self) -> None:
        self.start(12)
        self.stop_it()
        answer = self.send(100)
        self.assertEqual("quarantined", answer.json()["kind"])
        self.assertEqual("not_run", answer.json()["outcome"])
        seconds = float(answer.headers["retry-after"])
        self.assertTrue(2000.0 < seconds < 5000.0, seconds)


class InnocentTest(CrashTest):
    def test_other_contents_of_an_object_are_served_while_some_crash(
        self,
    ) -> None:
        def crash(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            if received.body.startswith(b"bad"):
                eventlet.sleep(platform_engine.CRASH_SECONDS)
                connection.engine.crash()
                return False
            return platform_engine.whole(connection, received)

        self.start(12, script=crash)
        statuses = set()
        for number in range(16):
            for body in (b"bad %d" % (number % 5), b"good %d" % number):
                answer = self.system.call(
                    "POST", "/unsafe/read", body, entry=number % 2
                )
                if body.startswith(b"good"):
                    statuses.add(answer.status)
            eventlet.sleep(0.1)
            if sum(engine.crashed for engine in self.system.engines) > 9:
                break
        self.assertEqual({200}, statuses)

    def test_requests_lost_beside_the_crashing_one_are_served_again(
        self,
    ) -> None:
        def slow(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            if "boom" not in received.target:
                eventlet.sleep(2 * platform_engine.CRASH_SECONDS)
            return BOOM(connection, received)

        self.start(24, script=slow)
        number = 0
        while not self.is_known():
            number += 1
            calls = [
                eventlet.spawn(
                    self.system.call, "GET", f"/safe/{name}", entry=number % 2
                )
                for name in ("boom", "a", "b", "c", "d")
            ]
            for call in calls:
                call.wait()
        self.assertLessEqual(self.runs("boom"), CRASHES + MAX_LATE_RUNS)
        for name in ("a", "b", "c", "d"):
            answer = self.system.call("GET", f"/safe/{name}", request="again")
            self.assertEqual(200, answer.status)
        self.assertEqual(503, self.send(100).status)

    def test_upstream_that_resets_connections_has_not_crashed(self) -> None:
        def reset(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            connection.reset()
            return False

        self.start(6, script=reset)
        for number in range(6):
            self.send(number, target="/safe/reset")
        self.assertEqual([], self.system.reporter.of(events.UpstreamCrashed))
        for watch in self.watches():
            self.assertTrue(watch.own.is_empty())

    def test_planned_stop_that_cuts_a_request_is_no_crash(self) -> None:
        engines = self.start(1)
        call = eventlet.spawn(self.send, 0)
        while not self.runs("boom"):
            eventlet.sleep(0.001)
        self.system.heartbeat(engines[0], "desk", "draining")
        self.system.settle()
        call.wait()
        self.assertEqual([], self.system.reporter.of(events.UpstreamCrashed))

    def test_upstream_that_restarts_at_once_has_crashed(self) -> None:
        # Its address accepts connections again before the entry looks.
        (engine, *_) = self.start(1, script=_drop_all)
        self.send(0)
        self.assertEqual([], self.system.reporter.of(events.UpstreamCrashed))
        engine.name = "e0-again"
        self.system.heartbeat(engine, "desk")
        self.system.settle()
        (crashed, *_) = self.system.reporter.of(events.UpstreamCrashed)
        self.assertEqual(("e0", "replaced"), (crashed.upstream, crashed.sign))

    def replace_all(self, engines: list[platform_engine.Engine]) -> None:
        """Has sound engines register in the places of others."""
        for engine in engines:
            engine.name += "-again"
            engine.script = platform_engine.whole
            self.system.heartbeat(engine, "desk")
        self.system.settle()
        eventlet.sleep(0.2)

    def test_request_is_no_suspect_for_upstreams_that_had_crashed_before(
        self,
    ) -> None:
        # A proxy accepts connections to them, and resets these.
        engines = self.start(3, script=_drop_all)
        for number in range(6):
            self.send(number, "POST", f"/unsafe/{number}")
        for number in range(8):
            self.send(number, target="/safe/a")
        self.replace_all(engines)
        self.assertEqual(200, self.send(100, target="/safe/a").status)

    def test_resets_of_upstreams_that_are_replaced_together_convict_nobody(
        self,
    ) -> None:
        # Guards against resets long ago that count as crashes in a row.
        engines = self.start(4, script=_drop_all)
        for number in range(8):
            self.send(number, "POST", "/unsafe/a")
            eventlet.sleep(0.15)
        self.replace_all(engines)
        self.assertEqual(200, self.send(100, "POST", "/unsafe/a").status)

    def test_upstream_that_answers_after_a_reset_has_not_crashed_by_it(
        self,
    ) -> None:
        # Guards against a reset that counts once its upstream is replaced.
        (engine,) = self.start(1, script=_drop_all)
        self.send(0, "POST", "/unsafe/a")
        engine.script = _half
        self.send(2, "POST", "/unsafe/b")
        engine.name = "e0-again"
        self.system.heartbeat(engine, "desk")
        self.system.settle()
        (crashed,) = self.system.reporter.of(events.UpstreamCrashed)
        self.assertEqual((1, ["b2"]), (crashed.lost, crashed.suspects))

    def test_common_request_is_not_refused_when_all_upstreams_are_killed(
        self,
    ) -> None:
        (first, *rest) = self.start(8, script=_slow)
        calls = [eventlet.spawn(self.send, number, target="/safe/read")
                 for number in range(16)]  # fmt: skip
        while self.runs("read") < 16:
            eventlet.sleep(0.001)
        for engine in rest:
            engine.crash()
        for call in calls:
            call.wait()
        first.script = platform_engine.whole
        eventlet.sleep(0.2)
        self.assertEqual(200, self.send(100, target="/safe/read").status)


class ControlTest(CrashTest):
    def test_entry_that_starts_later_knows_the_quarantine_with_its_lease(
        self,
    ) -> None:
        self.start(12)
        self.stop_it()
        entry = self.system.add_entry()
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not entry.follower.has_lease():
                eventlet.sleep(0.001)
        self.assertTrue(entry.follower.quarantine)

    def test_entry_without_control_stops_by_itself(self) -> None:
        self.start(12)
        for watch in self.watches():
            watch.reporter.control = _Unreachable()
        for number in range(0, 12, 2):
            self.send(number)
        self.assertEqual(CRASHES, self.runs("boom"))

    def test_report_that_was_not_accepted_is_sent_again(self) -> None:
        self.start(12)
        reporters = [watch.reporter for watch in self.watches()]
        reachable = [reporter.control for reporter in reporters]
        for reporter in reporters:
            reporter.control = _Unreachable()
        while self.runs("boom") < CRASHES:
            self.send(self.runs("boom"))
        eventlet.sleep(0.2)
        for reporter, control in zip(reporters, reachable, strict=True):
            reporter.control = control
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not self.is_known():
                eventlet.sleep(0.01)
        self.assertEqual(503, self.send(100).status)

    def test_released_request_runs_again(self) -> None:
        self.start(12)
        self.stop_it()
        config = self.system.control.wrapped.config
        listed = config.ask(operator_messages.ShowQuarantine()).entries
        (entry,) = [item for item in listed if item.quarantined]
        self.assertEqual(
            ("desk", "safe", "b0"), (entry.service, entry.route, entry.request)
        )
        config.ask(operator_messages.ReleaseQuarantine(entry.digest, "me", "t"))
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while any(
                watch.is_quarantined(entry.digest) for watch in self.watches()
            ):
                eventlet.sleep(0.005)
        before = self.runs("boom")
        self.send(100)
        self.assertTrue(self.runs("boom") > before)

    def test_operators_see_what_crashed_and_why_it_is_refused(self) -> None:
        self.start(12)
        self.stop_it()
        self.send(100)
        reporter = self.system.reporter
        (quarantined,) = reporter.of(control_events.RequestQuarantined)
        self.assertEqual(
            ("desk", "safe", "b0", CRASHES),
            (
                quarantined.service,
                quarantined.route,
                quarantined.request,
                len(quarantined.upstreams),
            ),
        )
        refusal = reporter.of(events.CallRefused)[-1]
        self.assertEqual("quarantined", refusal.kind)
        self.assertIn(quarantined.digest, refusal.detail)


class LeaderChangeTest(testtools.TestCase):
    def test_crashes_reported_to_two_leaders_add_up(self) -> None:
        cluster = config_cluster.Cluster(self, 2)
        old, new = cluster.control
        node = cluster.node("entry-1")
        cluster.until(old.leads)
        self.report(node, 1)
        self.report(node, 2)
        cluster.log.elect(new.address)
        cluster.until(new.leads)
        self.report(node, 3)
        cluster.until(lambda: node.is_quarantined(b"bad"))

    def test_report_whose_answer_was_lost_counts_once(self) -> None:
        cluster = config_cluster.Cluster(self, 1)
        (leader,) = cluster.control
        node = cluster.node("entry-1")
        cluster.until(leader.leads)
        for _ in range(CRASHES):
            self.report(node, 1)
        evidence = leader.machine.crash_evidence
        self.assertEqual(["u1"], evidence.crashes_of(b"bad"))

    def test_contents_reported_to_two_leaders_add_up(self) -> None:
        cluster = config_cluster.Cluster(self, 2)
        old, new = cluster.control
        node = cluster.node("entry-1")
        cluster.until(old.leads)
        self.report(node, 1, b"one", b"object")
        self.report(node, 2, b"two", b"object")
        cluster.log.elect(new.address)
        cluster.until(new.leads)
        self.report(node, 3, b"three", b"object")
        cluster.until(lambda: node.is_quarantined(b"object"))
        restored = machine.ConfigMachine()
        restored.restore(new.machine.snapshot())
        self.assertEqual(
            new.machine.listed_by_evidence(), restored.listed_by_evidence()
        )

    def report(
        self,
        node: Any,
        number: int,
        digest: bytes = b"bad",
        object_digest: bytes = b"",
    ) -> None:
        """Reports that upstream `number` crashed under a request."""
        lost = member_messages.LostRequest(digest, 0.001, "", "r", "", "r1")
        crash = member_messages.CrashedUpstream(f"u{number}", "s", 0.0, [lost])
        objects = [(digest, object_digest)] if object_digest else []
        report = member_messages.ReportCrashes(
            node.node, [crash], objects=objects
        )
        node.ask(report, 20.0)
        eventlet.sleep(0.002)


class ReporterTest(testtools.TestCase):
    def test_replacement_found_during_a_failed_report_keeps_its_time(
        self,
    ) -> None:
        # Guards against resets that count as crashes in a row.
        control = _UnreachableOnce()
        clock = timers.EventletTimers()
        reporter = crash_reporter.CrashReporter(control, clock)
        control.on_first = lambda: add("u2")

        def add(incarnation: str) -> None:
            lost = member_messages.LostRequest(b"a", 0.1, "", "r", "", "r1")
            now = clock.now()
            reporter.add_loss(
                incarnation, "s", now - 2.0, lost, replaced_at=now
            )

        add("u1")
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while not control.reports:
                eventlet.sleep(0.01)
        (report,) = control.reports
        unsure = {name: round(seconds, 1) for name, seconds in report.unsure}
        self.assertEqual({"u1": 2.0, "u2": 2.0}, unsure)


class _UnreachableOnce:
    """Control that can't be reached at first.

    Attributes:
        on_first: Called while the first report fails.
        reports: Reports that it has accepted.
    """

    node = identities.Incarnation("entry-1", 1)

    def __init__(self) -> None:
        self.on_first: Callable[[], None] | None = None
        self.reports: list[Any] = []

    def ask(self, message: Any, timeout: float) -> Any:
        if self.on_first is not None:
            on_first, self.on_first = self.on_first, None
            on_first()
            raise errors.ControlUnavailable("No config leader.")
        self.reports.append(message)


class _Unreachable:
    """Control that can't be reached."""

    node = identities.Incarnation("entry-1", 1)

    def ask(self, message: Any, timeout: float) -> Any:
        raise errors.ControlUnavailable("No config leader could be reached.")


def _drop_all(
    connection: platform_engine.Connection,
    received: platform_engine.ReceivedRequest,
) -> bool:
    """Loses every connection, and goes on listening."""
    for other in list(connection.engine.open):
        other.drop()
    return False


def _half(
    connection: platform_engine.Connection,
    received: platform_engine.ReceivedRequest,
) -> bool:
    """Loses the connection within its answer."""
    head = connection.head(received, {"Content-Length": "9"})
    connection.send(head + b"abc")
    connection.drop()
    return False


def _slow(
    connection: platform_engine.Connection,
    received: platform_engine.ReceivedRequest,
) -> bool:
    eventlet.sleep(0.3)
    return platform_engine.whole(connection, received)
