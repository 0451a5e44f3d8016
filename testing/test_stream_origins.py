"""What an entry asks for to continue a stream, without a network."""

import contextlib
from typing import Any

import testtools

from mintcleat.decisions import control_outage
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins as origins_module
from mintcleat.ports import events
from mintcleat.programs import streams
from mintcleat.roles.entry import stream_origins

ROUTE = manifest.Route(
    "/", [manifest.Share("lm")], stream=True, repeat="resume", timeout=5.0
)
V1 = origins_module.StreamOrigin("lm", "v1")


def call(resumes: str = "a", **fields: Any) -> routed_calls.RoutedCall:
    return routed_calls.RoutedCall(
        "b", "POST", "", "/x", (), b"", 2.0, "", "3", resumes=resumes, **fields
    )


class World(events.NullEventReporter):
    """Both leaders, the clock and the upstreams.

    Attributes:
        records: Answers to FindStream, in order; the last one again.
        versions: Answer of the config leader.
        asked: Messages that were sent.
        timeouts: Time limits of the records among them.
        spawned: Background tasks.
        seconds: Time that an answer takes.
    """

    groups = 1

    def __init__(self) -> None:
        self.records: list[Any] = [None]
        self.versions_since = ["v1", "v2"]
        self.versions = {"lm": {"v1"}}
        self.asked: list[Any] = []
        self.timeouts: list[float] = []
        self.spawned: list[Any] = []
        self.emitted: list[Any] = []
        self.time = 0.0
        self.seconds = 0.0
        self.failure: errors.MintcleatError | None = None

    def emit(self, event: Any) -> None:
        self.emitted.append(event)

    def now(self) -> float:
        return self.time

    def sleep(self, seconds: float) -> None:
        self.time += seconds

    def spawn(self, function: Any, *args: Any) -> None:
        self.spawned.append((function, args))

    def lease_left(self) -> float:
        return 1.0

    def ask(self, *args: Any) -> Any:
        message = args[1] if isinstance(args[0], str) else args[0]
        self.asked.append(message)
        if isinstance(message, program_messages.RecordStream):
            self.timeouts.append(args[2])
        self.time += self.seconds
        if self.failure is not None:
            raise self.failure
        if isinstance(message, member_messages.ReadSoftwareVersions):
            return member_messages.SoftwareVersions(self.versions_since)
        if isinstance(message, program_messages.FindStream):
            found = self.records.pop(0)
            self.records = self.records or [found]
            return program_messages.StreamFound(found)
        return None


class FindTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World()
        world: Any = self.world
        self.origins = stream_origins.StreamOrigins(
            world, world, world, world, world
        )

    def find(self, **fields: Any) -> origins_module.KnownOrigin:
        return self.origins.find(call(**fields), ROUTE, "lm")

    def test_record_on_its_way_is_looked_up_again(self) -> None:
        self.world.records = [None, None, V1]
        found = self.find()
        self.assertEqual((V1, origins_module.Source.RECORDED), found)
        self.assertAlmostEqual(0.05, self.world.time)
        (event,) = self.world.emitted
        self.assertEqual(("recorded", "v1"), (event.known_by, event.version))

    def test_unknown_stream_is_refused_soon_and_has_not_run(self) -> None:
        error = self.assertRaises(errors.UnknownStream, self.find)
        self.assertEqual(errors.NOT_RUN, error.outcome)
        self.assertLess(self.world.time, 0.1)
        (event,) = self.world.emitted
        self.assertEqual("unknown", event.known_by)

    def test_caller_that_names_no_request_waits_for_no_record(self) -> None:
        self.assertRaises(errors.UnknownStream, self.find, resumes="")
        self.assertEqual(0.0, self.world.time)
        (asked,) = self.world.asked
        self.assertEqual(60.0, asked.seconds)

    def test_only_version_is_enough(self) -> None:
        self.world.versions_since = ["v1"]
        found = self.find(resumes="")
        self.assertEqual((V1, origins_module.Source.ONLY), found)

    def test_service_without_any_version_is_not_known(self) -> None:
        self.world.versions_since = []
        self.assertRaises(errors.UnknownStream, self.find)

    def test_question_without_an_answer_is_no_run(self) -> None:
        self.world.failure = errors.OutcomeUnknown("No answer.")
        error = self.assertRaises(errors.ControlUnavailable, self.find)
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_stream_is_planned_only_where_its_version_is_certain(self) -> None:
        planned = self.origins.planned(call(), ROUTE, "lm")
        self.assertEqual(program_messages.BegunStream(V1, 5.0), planned)
        self.world.versions["lm"].add("v2")
        self.assertIsNone(self.origins.planned(call(), ROUTE, "lm"))

    def test_take_up_prolongs_the_record_that_it_names(self) -> None:
        # Guards against a record that expires within a stream's last take-ups.
        self.origins.went_on(call(), ROUTE, V1)
        ((function, arguments),) = self.world.spawned
        function(*arguments)
        (asked,) = self.world.asked
        stream = program_messages.BegunStream(V1, 5.0)
        self.assertEqual(
            program_messages.RecordStream("", "", "a", stream), asked
        )

    def test_take_up_that_names_nothing_prolongs_nothing(self) -> None:
        self.origins.went_on(call(resumes=""), ROUTE, V1)
        self.assertEqual([], self.world.spawned)

    def test_record_is_sent_for_as_long_as_it_would_be_kept(self) -> None:
        # Guards against a record that is given up before its caller comes back.
        self.origins.begun(call(), ROUTE, V1)
        ((function, arguments),) = self.world.spawned
        function(*arguments)
        self.assertEqual(
            [ROUTE.timeout + streams.SLACK_SECONDS], self.world.timeouts
        )

    def test_record_that_comes_late_is_reported(self) -> None:
        # Guards against refused take-ups that no line explains.
        self.origins.begun(call(), ROUTE, V1)
        self.world.seconds = 0.2
        ((function, arguments),) = self.world.spawned
        function(*arguments)
        (event,) = self.world.emitted
        self.assertEqual(
            event_types.StreamRecordedLate("b", "lm", "v1", 0.2, 5.0), event
        )

    def test_line_tells_what_the_group_has_on_a_stream(self) -> None:
        # Guards against refused take-ups that no line explains.
        elsewhere = origins_module.StreamOrigin("lm2", "v1")
        for record, resumes, expected in (
            (None, "a", "none"),
            (None, "", ""),
            (V1, "a", "found"),
            (streams.AMBIGUOUS, "a", "ambiguous"),
            (elsewhere, "a", "other_service"),
        ):
            self.world.records = [record]
            with contextlib.suppress(errors.UnknownStream):
                self.find(resumes=resumes)
            self.assertEqual(expected, self.world.emitted[-1].record)

    def test_only_a_record_that_may_come_is_a_reason_to_come_back(self) -> None:
        # Guards against callers that are told to retry what can't go on.
        elsewhere = origins_module.StreamOrigin("lm2", "v1")
        for record, resumes, expected in (
            (None, "a", control_outage.RETRY_SECONDS),
            (None, "", 0.0),
            (streams.AMBIGUOUS, "a", 0.0),
            (elsewhere, "a", 0.0),
        ):
            self.world.records = [record]
            error = self.assertRaises(
                errors.UnknownStream, self.find, resumes=resumes
            )
            self.assertEqual(expected, error.retry_after)

    def test_record_that_no_group_takes_is_reported(self) -> None:
        self.origins.begun(call(), ROUTE, V1)
        self.world.failure = errors.ControlUnavailable("No leader.")
        ((function, arguments),) = self.world.spawned
        function(*arguments)
        (event,) = self.world.emitted
        self.assertIsInstance(event, event_types.StreamUnrecorded)
        self.assertEqual(("b", "v1"), (event.request, event.version))
