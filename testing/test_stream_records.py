"""Origins of streams and versions of software in the state of the groups."""

import itertools

import hypothesis
from hypothesis import strategies as st
import msgspec
import testtools

from mintcleat.configuration import directory
from mintcleat.configuration import machine as config_machine
from mintcleat.configuration import route_moves
from mintcleat.configuration import software_versions
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import stream_origins
from mintcleat.programs import checks
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import streams
from mintcleat.roles.control.configuration import requests as config_requests


def begun(
    request: str, version: str = "v1", customer: str = "", seconds: float = 5.0
) -> program_messages.RecordStream:
    origin = stream_origins.StreamOrigin("lm", version)
    return program_messages.RecordStream(
        "p", customer, request, program_messages.BegunStream(origin, seconds)
    )


def find(
    state: streams.Streams, request: str, clock: float = 0.0, customer: str = ""
) -> str | None:
    """Returns the recorded version of a stream."""
    message = program_messages.FindStream("p", customer, request)
    origin = state.find(message, clock).origin
    return origin.version if origin else None


class StreamsTest(testtools.TestCase):
    def test_stream_that_goes_on_is_kept_for_the_time_of_its_take_up(
        self,
    ) -> None:
        # Guards against take-ups that are refused once the first one is old.
        state = streams.Streams()
        state.record(begun("a"), 0.0)
        state.record(begun("b"), 0.0)
        state.record(begun("a", seconds=20.0), 4.0)
        self.assertEqual("v1", find(state, "a", 28.9))
        self.assertIsNone(find(state, "a", 29.0))
        self.assertIsNone(find(state, "b", 10.0))
        self.assertEqual([10, 29], sorted(state.due))

    def test_later_record_never_shortens_the_time_of_one_before(self) -> None:
        # Guards against a take-up with little time left that ends the record.
        state = streams.Streams()
        state.record(begun("a", seconds=60.0), 0.0)
        state.record(begun("a", seconds=1.0), 1.0)
        self.assertEqual("v1", find(state, "a", 64.9))
        self.assertIsNone(find(state, "a", 65.0))

    def test_id_with_records_of_two_versions_stands_for_neither(self) -> None:
        # Guards against a stream that goes on as the other one of its id.
        state = streams.Streams()
        for version in ("v1", "v2", "v1", "v2"):
            state.record(begun("a", version), 0.0)
        self.assertEqual("", find(state, "a"))
        self.assertIsNone(find(state, "a", 20.0))
        for number in range(20):
            state.record(begun(f"b{number}"), 100.0)
        self.assertEqual([110], list(state.due_bytes))

    def test_services_between_which_a_change_moves_streams_are_found(
        self,
    ) -> None:
        # Guards against take-ups that go on at another service's only version.
        def route(prefix: str, service: str, **fields: object) -> str:
            share = manifest.Share(service)
            chosen = {"stream": True, "repeat": "resume", **fields}
            return msgspec.json.encode(
                manifest.Route(prefix, [share], "h", **chosen)
            ).decode()

        first = {"routes/a": route("/", "lm")}
        both = {**first, "routes/b": route("/x/", "lm2")}
        for before, after, expected in (
            ({}, both, set()),
            (first, first, set()),
            (first, {"routes/a": route("/", "lm2")}, {"lm", "lm2"}),
            (first, both, {"lm", "lm2"}),
            (both, first, {"lm", "lm2"}),
            (first, {"routes/a": route("/", "lm", timeout=9.0)}, set()),
            (first, {**first, "routes/c": route("/x/", "lm")}, set()),
            (both, {**both, "services/lm": "{}"}, set()),
            (first, {**first, "routes/c": "{}"}, set()),
        ):
            found = route_moves.change(before, after, set())
            self.assertEqual(expected, found.services, (before, after))

    def test_service_that_replaces_a_removed_route_is_another_one(
        self,
    ) -> None:
        # Guards against a route that moves by two changes unnoticed.
        def sections(service: str, host: str) -> dict[str, str]:
            share = manifest.Share(service)
            route = manifest.Route(
                "/", [share], host, stream=True, repeat="resume"
            )
            return {"routes/a": msgspec.json.encode(route).decode()}

        for service, host, pause, expected in (
            ("lm2", "h", 1.0, {"lm", "lm2"}),
            ("lm2", "H.:80", 1.0, {"lm", "lm2"}),
            ("lm2", "", 1.0, {"lm", "lm2"}),
            ("lm", "h", 1.0, set()),
            ("lm2", "other", 1.0, set()),
            ("lm2", "h", software_versions.LEFT_SECONDS + 1.0, set()),
        ):
            versions = software_versions.SoftwareVersions()
            steps = (sections("lm", "h"), {}, sections(service, host))
            for before, after in itertools.pairwise(steps):
                change = route_moves.change(
                    before, after, versions.left_since(pause)
                )
                versions.left(change.left, 0.0)
                copy = software_versions.SoftwareVersions()
                copy.load(versions.state(), [])
                versions = copy
            self.assertEqual(expected, change.services, (service, host))

    def test_spellings_of_a_host_are_one_host(self) -> None:
        # Guards against routes of one host that move streams unnoticed.
        def route(prefix: str, service: str, host: str) -> str:
            share = manifest.Share(service)
            return msgspec.json.encode(
                manifest.Route(
                    prefix, [share], host, stream=True, repeat="resume"
                )
            ).decode()

        first = {"routes/a": route("/", "lm", "h")}
        both = {**first, "routes/b": route("/x/", "lm2", "H")}
        found = route_moves.change(first, both, set())
        self.assertEqual({"lm", "lm2"}, found.services)

    def test_change_that_moves_no_route_of_any_host_is_no_move(self) -> None:
        # Guards against take-ups that are refused after any other change.
        def sections(timeout: float) -> dict[str, str]:
            found = {}
            for prefix, service in (("/a/", "lm"), ("/b/", "lm2")):
                share = manifest.Share(service)
                route = manifest.Route(
                    prefix,
                    [share],
                    stream=True,
                    repeat="resume",
                    timeout=timeout,
                )
                text = msgspec.json.encode(route).decode()
                found[f"routes{prefix}"] = text
            return found

        found = route_moves.change(sections(5.0), sections(9.0), set())
        self.assertEqual(set(), found.services)

    def test_replicas_that_record_moved_services_have_the_same_state(
        self,
    ) -> None:
        # Guards against snapshots that differ with the hashes of a process.
        names = [f"s{number}" for number in range(30)]
        versions = software_versions.SoftwareVersions()
        versions.moved(set(names), 1.0)
        self.assertEqual(
            sorted(names), [service for service, _, _ in versions.state()]
        )
        versions.moved({f"t{number}" for number in range(2000)}, 2.0)
        kept = software_versions.ENDED_KEPT
        self.assertEqual(kept, len(versions.state()))

    def test_customers_see_their_own_streams(self) -> None:
        state = streams.Streams()
        state.record(begun("a", "v1", "one"), 0.0)
        state.record(begun("a", "v2", "two"), 0.0)
        self.assertEqual(
            ["v1", "v2", None],
            [find(state, "a", 0.0, name) for name in ("one", "two", "three")],
        )

    def test_record_is_kept_for_its_time_and_the_slack(self) -> None:
        state = streams.Streams()
        state.record(begun("a"), 0.5)
        kept = 5.5 + streams.SLACK_SECONDS
        self.assertEqual("v1", find(state, "a", kept - 0.1))
        self.assertIsNone(find(state, "a", kept + 1.0))

    def test_expired_records_are_deleted_by_later_ones(self) -> None:
        state = streams.Streams()
        for number in range(100):
            state.record(begun(f"a{number}"), 0.0)
        for number in range(20):
            state.record(begun(f"b{number}"), 100.0)
        self.assertEqual(20, len(state.begun))
        self.assertEqual([110], list(state.due))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from("abcdefgh"),
                st.sampled_from(("v1", "v2")),
                st.floats(0.0, 9.0),
                st.floats(0.0, 4.0),
            ),
            max_size=40,
        ),
        st.integers(0, 40),
    )
    def test_replica_from_a_snapshot_goes_on_alike(
        self, steps: list[tuple[str, str, float, float]], cut: int
    ) -> None:
        one, other = streams.Streams(), streams.Streams()
        clock = 0.0
        for place, (name, version, seconds, pause) in enumerate(steps):
            clock += pause
            if place == cut:
                other.load(one.state())
            one.record(begun(name, version, seconds=seconds), clock)
            if place >= cut:
                other.record(begun(name, version, seconds=seconds), clock)
                self.assertEqual(one.state(), other.state())

    def test_opened_turn_records_its_stream(self) -> None:
        group = machine.ProgramMachine()
        stream = begun("t1").stream
        opened = program_messages.OpenTurn(
            "p", "t1", "", 0, 10, 60.0, stream=stream
        )
        refused = opened._replace(turn="t2", previous="unheard-of")
        command = commands.Command(1.0, 0.0, [opened, refused])
        group.apply(1, commands.encode(command))
        self.assertEqual("v1", find(group.streams, "t1"))
        self.assertIsNone(find(group.streams, "t2"))
        copy = machine.ProgramMachine()
        copy.restore(group.snapshot())
        self.assertEqual("v1", find(copy.streams, "t1"))

    def test_record_out_of_bounds_is_refused(self) -> None:
        for bad in (begun(""), begun("a", "v" * 300), begun("a", seconds=-1.0)):
            self.assertRaises(errors.BadRequest, checks.check, bad)


def registration(
    upstream: str, version: str, sequence: int = 1
) -> member_messages.Registration:
    return member_messages.Registration(
        upstream,
        "lm",
        f"1.1.1.1:{upstream}",
        "z",
        version,
        4,
        "ready",
        sequence,
    )


class SoftwareVersionsTest(testtools.TestCase):
    def test_version_counts_until_long_after_its_last_upstream(self) -> None:
        known = directory.Directory()
        known.register(registration("1", "v1"), 10.0)
        known.register(registration("2", "v1"), 10.0)
        known.register(registration("3", "v2"), 11.0)
        known.leave("1", True, at=20.0)
        known.leave("2", True, at=30.0)
        since = known.software.since
        self.assertEqual({"v1", "v2"}, since("lm", 30.0))
        self.assertEqual({"v2"}, since("lm", 30.1))
        self.assertEqual(set(), since("other", 0.0))

    def test_upstream_that_changes_its_version_ends_the_one_before(
        self,
    ) -> None:
        known = directory.Directory()
        known.register(registration("1", "v1"), 10.0)
        known.register(registration("1", "v2", 2), 20.0)
        self.assertEqual({"v1", "v2"}, known.software.since("lm", 20.0))
        self.assertEqual({"v2"}, known.software.since("lm", 21.0))

    def test_upstream_that_takes_an_address_ends_the_one_before(self) -> None:
        known = directory.Directory()
        known.register(registration("1", "v1"), 10.0)
        other = registration("2", "v2")._replace(address="1.1.1.1:1")
        known.register(other, 20.0)
        self.assertEqual({"v2"}, known.software.since("lm", 21.0))

    def test_ended_versions_are_in_the_snapshot(self) -> None:
        known, copy = directory.Directory(), directory.Directory()
        known.register(registration("1", "v1"), 10.0)
        known.register(registration("2", "v2"), 10.0)
        known.leave("1", True, at=20.0)
        copy.load(known.state())
        self.assertEqual(known.state(), copy.state())
        self.assertEqual({"v1", "v2"}, copy.software.since("lm", 20.0))
        copy.leave("2", True, at=21.0)
        self.assertEqual({"v2"}, copy.software.since("lm", 21.0))


class LeaderTest(testtools.TestCase):
    """The config leader's answer; a stand-in for the service around it."""

    def ask(self, leads_for: float) -> list[str]:
        class Leader:
            machine = config_machine.ConfigMachine()

            def steady_time(self) -> float:
                return 1000.0

            def epoch_seconds(self) -> float:
                return leads_for

        leader = Leader()
        known = leader.machine.directory
        known.register(registration("1", "v1"), 10.0)
        known.register(registration("2", "v2"), 10.0)
        known.leave("1", True, at=500.0)
        message = member_messages.ReadSoftwareVersions("lm", 10.0)
        return config_requests.Requests(leader).answer(message).versions

    def test_leader_names_the_versions_of_the_time_asked_for(self) -> None:
        self.assertEqual(["v2"], self.ask(leads_for=10.0))

    def test_new_leader_whose_clock_may_have_jumped_names_all(self) -> None:
        self.assertEqual(["v1", "v2"], self.ask(leads_for=9.9))
