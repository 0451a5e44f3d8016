"""No stream holds two versions in any schedule, and most of them go on."""

from collections.abc import Callable
from typing import Any

import testtools

from mintcleat.domain import stream_origins as origins_module
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import routed_run
from mintcleat.roles.entry import stream_origins
import version_world

SEEDS = range(24)
STEPS = 120
# Part of the streams that go on which are taken up while their version has two
# upstreams. Half of it is asked for.
FLOOR = 0.75
# Worlds in which a fault that is put back must be found.
MUTATION_SEEDS = range(60)


class ExplorerTest(testtools.TestCase):
    def test_no_stream_holds_two_versions_and_most_go_on(self) -> None:
        taken_up = went_on = 0
        for seed in SEEDS:
            world = version_world.World(seed, names_first=1.0)
            world.run(STEPS)
            taken_up += world.taken_up
            went_on += world.went_on
        self.assertGreater(taken_up, 500)
        self.assertGreater(went_on / taken_up, FLOOR)

    def test_no_stream_holds_two_versions_though_many_messages_are_lost(
        self,
    ) -> None:
        for seed in SEEDS[:10]:
            version_world.World(seed, lost=0.2, breaks=0.3).run(STEPS)

    def test_callers_that_name_no_request_go_on_with_one_version(self) -> None:
        taken_up = went_on = 0
        for seed in SEEDS[:4]:
            world = version_world.World(seed, names_first=0.0, versions=("v1",))
            world.run(STEPS)
            taken_up += world.taken_up
            went_on += world.went_on
        self.assertGreater(taken_up, 100)
        self.assertGreater(went_on / taken_up, FLOOR)


class ReintroducedFaultTest(testtools.TestCase):
    """The explorer finds a rule that is missing."""

    def assert_found(
        self, part: Any, name: str, fault: Callable | float | bool
    ) -> None:
        self.patch(part, name, fault)
        for seed in MUTATION_SEEDS:
            try:
                version_world.World(seed, names_first=0.5).run(STEPS)
            except AssertionError:
                return
        self.fail("No world has a stream of two versions.")

    def test_take_up_at_any_version(self) -> None:
        def find(self: Any, call: Any, route: Any, service: str) -> None:
            return None

        # Without an origin there is nothing to record, and no other service.
        for owner, name in (
            (stream_origins.StreamOrigins, "continued"),
            (routed_run.RoutedRun, "_use_service_of"),
        ):
            self.patch(owner, name, lambda *arguments: None)
        self.assert_found(stream_origins.StreamOrigins, "find", find)

    def test_version_that_the_entry_s_own_directory_has_alone(self) -> None:
        def only(
            self: stream_origins.StreamOrigins,
            call: Any,
            route: Any,
            service: str,
        ) -> origins_module.KnownOrigin | None:
            versions = self.loads.versions.get(service, set())
            if len(versions) != 1:
                return None
            (version,) = versions
            return origins_module.KnownOrigin(
                origins_module.StreamOrigin(service, version),
                origins_module.Source.ONLY,
            )

        self.assert_found(stream_origins.StreamOrigins, "_only", only)

    def test_versions_that_are_over_don_t_count(self) -> None:
        self.patch(stream_origins, "TAKE_UP_FACTOR", 0.0)
        self.assert_found(stream_origins, "MIN_TAKE_UP_SECONDS", -1e9)

    def test_processes_that_nobody_has_heard_of(self) -> None:
        self.assert_found(version_world.World, "identifies", False)

    def test_relay_that_does_not_bind_a_stream_to_its_first_event(self) -> None:
        def check(self: response_relay.ResponseRelay) -> None:
            self.versions.append(self.upstream.version)

        self.assert_found(response_relay.ResponseRelay, "_check_origin", check)
