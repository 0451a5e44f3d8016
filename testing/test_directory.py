"""Incarnations of upstreams that register themselves."""

from typing import Any

from hypothesis import stateful
from hypothesis import strategies
import testtools

from mintcleat.adapters import timers
from mintcleat.configuration import commands
from mintcleat.configuration import directory
from mintcleat.configuration import machine
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.ports import events
from mintcleat.roles.control.configuration import registrar


def registration(
    started: int,
    sequence: int = 1,
    state: str = "ready",
    upstream: str = "e1",
    address: str = "10.0.0.1:80",
    service: str = "desk",
) -> member_messages.Registration:
    return member_messages.Registration(
        upstream, service, address, "z1", "v1", 4, state, sequence, 0.0, started
    )


class SteppedTimers(timers.VirtualTimers):
    """Virtual time with a wall clock that can be stepped."""

    def __init__(self) -> None:
        super().__init__()
        self.step = 0.0

    def wall_time(self) -> float:
        return self.clock + self.step


class Leader:
    """A config leader for the registrar, which commits at once."""

    def __init__(self, state: machine.ConfigMachine) -> None:
        self.machine = state
        self.timers = SteppedTimers()
        self.events = events.NullEventReporter()
        self.leader_epoch = 0
        self.index = 0

    def propose(self, command: Any) -> Any:
        self.index += 1
        return self.machine.apply(self.index, commands.encode(command))

    def steady_time(self) -> float:
        return self.timers.wall_time()


class LeaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.leader = Leader(machine.ConfigMachine())
        self.registrar = registrar.Registrar(self.leader)
        self.directory = self.leader.machine.directory

    def change_leader(self) -> None:
        state = machine.ConfigMachine()
        state.restore(self.leader.machine.snapshot())
        old = self.leader
        self.leader = Leader(state)
        self.leader.index = old.index
        self.registrar = registrar.Registrar(self.leader)
        self.registrar.on_elected()
        self.directory = state.directory


class BoundsTest(LeaderTest):
    """What a faulty upstream's registrations make a control instance hold."""

    def register_many(self, count: int) -> None:
        for number in range(count):
            self.registrar.register(
                registration(
                    1, upstream=f"e{number}", address=f"1.1.1.1:{number}"
                )
            )

    def test_number_of_upstreams_is_bounded(self) -> None:
        self.patch(registrar, "MAX_UPSTREAMS", 3)
        self.register_many(3)
        self.assertRaises(
            errors.Overloaded,
            self.registrar.register,
            registration(1, upstream="e9", address="1.1.1.1:9"),
        )
        self.assertEqual(3, len(self.directory.entries))
        self.register_many(3)
        self.registrar.leave("e0", 0)
        self.registrar.register(
            registration(1, upstream="e9", address="1.1.1.1:9")
        )
        self.assertIn("e9", self.directory.entries)

    def test_nothing_is_kept_of_upstreams_that_are_not_registered(
        self,
    ) -> None:
        self.registrar.register(registration(100))
        for number in range(5):
            # At the address of a process that started later.
            self.registrar.register(registration(1, upstream=f"late{number}"))
        self.assertEqual(["e1"], list(self.registrar.last_registrations))

    def test_id_that_is_too_long_is_not_remembered_as_ended(self) -> None:
        self.assertRaises(
            errors.BadRequest, self.registrar.leave, "e" * 16_000, 1
        )
        self.assertEqual({}, self.directory.ended)


class RestartTest(LeaderTest):
    """An engine restarts under the same id and counts from 1 again.

    If only the id and the sequence number were compared, its registrations
    would be ignored as late ones until the number had caught up or, if the
    incarnation before had left, for as long as that is remembered. Callers
    would wait although the engine is ready.
    """

    def test_new_incarnation_is_in_force_at_once(self) -> None:
        self.registrar.register(registration(100, 900))
        self.registrar.register(registration(200, 1))
        self.assertEqual(200, self.directory.entries["e1"].started)

    def test_new_incarnation_is_in_force_after_the_last_one_left(self) -> None:
        self.registrar.register(registration(100, 900))
        self.registrar.leave("e1", 0)
        self.registrar.register(registration(200, 1))
        self.assertEqual(200, self.directory.entries["e1"].started)

    def test_late_messages_of_an_old_incarnation_are_ignored(self) -> None:
        for change in (lambda: None, self.change_leader):
            self.registrar.register(registration(100, 10))
            self.registrar.register(registration(200, 1))
            change()
            before = self.directory.version
            self.registrar.register(registration(100, 9_000, "draining"))
            self.registrar.leave("e1", 100)
            self.assertEqual(before, self.directory.version)
            self.assertEqual("ready", self.directory.entries["e1"].state)

    def test_incarnation_that_left_cannot_register_again(self) -> None:
        self.registrar.register(registration(200, 1))
        self.registrar.leave("e1", 200)
        for change in (lambda: None, self.change_leader):
            change()
            self.registrar.register(registration(200, 50))
            self.registrar.register(registration(100, 50))
            self.registrar.register(registration(0, 50))
            self.assertEqual({}, self.directory.entries)

    def test_leave_before_any_registration_counts(self) -> None:
        self.registrar.leave("e1", 100)
        self.registrar.register(registration(100, 1))
        self.assertEqual({}, self.directory.entries)

    def test_leave_without_a_start_ends_the_registered_incarnation(
        self,
    ) -> None:
        self.registrar.register(registration(100, 1))
        self.registrar.leave("e1", 0)
        self.assertEqual({}, self.directory.entries)

    def test_registrations_without_a_start_are_ordered_by_sequence(
        self,
    ) -> None:
        self.registrar.register(registration(0, 7, "draining"))
        self.registrar.register(registration(0, 6))
        self.assertEqual("draining", self.directory.entries["e1"].state)
        self.registrar.leave("e1", 0)
        self.registrar.register(registration(0, 8))
        self.assertEqual({}, self.directory.entries)

    def test_expiry_of_an_incarnation_spares_the_next_one(self) -> None:
        self.registrar.register(registration(100, 1))
        self.leader.timers.advance(registrar.SILENCE_SECONDS + 0.1)
        self.registrar.tick()
        self.registrar.register(registration(200, 1))
        self.leader.timers.advance(0.1)
        self.assertEqual(200, self.directory.entries["e1"].started)
        self.assertIn("e1", self.registrar.last_registrations)

    def test_ended_incarnation_is_remembered_across_clock_steps(self) -> None:
        """The leader's wall clock is stepped by an hour, forward and back.

        If ended incarnations expired by that clock, the first step would drop
        them, and a late registration would be accepted.
        """
        self.registrar.register(registration(0, 1))
        self.registrar.leave("e1", 0)
        for step in (3600.0, -3600.0, 0.0):
            self.leader.timers.step = step
            self.registrar.register(registration(0, 2))
            self.registrar.leave(f"other{step}", 0)
            self.assertEqual({}, self.directory.entries)


class AddressTest(LeaderTest):
    def test_later_upstream_at_an_address_ends_the_earlier_one(self) -> None:
        self.registrar.register(registration(100, upstream="e1"))
        self.registrar.register(
            registration(200, upstream="e9", service="other")
        )
        self.assertEqual(["e9"], list(self.directory.entries))
        self.registrar.register(registration(100, 50, upstream="e1"))
        self.assertEqual(["e9"], list(self.directory.entries))

    def test_replaced_upstream_may_return_at_another_address(self) -> None:
        self.registrar.register(registration(100, upstream="e1"))
        self.registrar.register(
            registration(200, upstream="e9", service="other")
        )
        self.registrar.register(
            registration(300, upstream="e1", address="10.0.0.2:80")
        )
        self.assertEqual({"e1", "e9"}, set(self.directory.entries))

    def test_late_registration_does_not_take_the_address_back(self) -> None:
        """e1 was silent and was removed; e9 has its address by now.

        A registration of e1 arrives that a network partition had delayed. If
        it counted, it would remove e9 for good and route e1's requests to e9.
        """
        self.registrar.register(registration(100, upstream="e1"))
        self.directory.leave("e1", False)
        self.registrar.register(registration(200, upstream="e9"))
        self.registrar.register(registration(100, 5, upstream="e1"))
        self.assertEqual(["e9"], list(self.directory.entries))


class ServiceTest(LeaderTest):
    def setUp(self) -> None:
        super().setUp()
        self.push(0, {"services/desk": '{"kind":"plain"}'}, [])

    def push(
        self, revision: int, changed: dict[str, str], removed: list[str]
    ) -> None:
        self.leader.propose(
            commands.Push(
                0, revision, f"p{revision}", changed, removed, "anna", "ip",
                "", 0.0,
            )
        )  # fmt: skip

    def test_registration_for_an_unknown_service_removes_nobody(self) -> None:
        self.registrar.register(registration(100))
        before = self.directory.version
        for name in ("e1", "e9"):
            self.assertRaises(
                errors.UnknownService,
                self.registrar.register,
                registration(200, upstream=name, service="forged"),
            )
        self.assertEqual(before, self.directory.version)

    def refuse(self, name: str, sequence: int = 1) -> None:
        self.assertRaises(
            errors.UnknownService,
            self.registrar.register,
            registration(200, sequence, upstream=name, service="later"),
        )

    def name_later(self) -> None:
        self.push(1, {"services/later": '{"kind":"plain"}'}, [])
        self.registrar.tick()
        self.leader.timers.advance(0.0)

    def test_refused_upstream_is_known_once_its_service_is_named(self) -> None:
        # Requests on an added route had no upstream until the next heartbeats.
        self.refuse("e2")
        self.registrar.tick()
        self.assertEqual([], list(self.directory.entries))
        self.name_later()
        self.assertEqual("later", self.directory.entries["e2"].service)

    def test_late_registration_does_not_replace_a_newer_that_waits(
        self,
    ) -> None:
        for sequence, state in ((9, "draining"), (3, "ready")):
            self.assertRaises(
                errors.UnknownService,
                self.registrar.register,
                registration(
                    200, sequence, state, upstream="e2", service="later"
                ),
            )
        self.name_later()
        self.assertEqual("draining", self.directory.entries["e2"].state)

    def test_refused_upstream_that_left_or_is_silent_stays_unknown(
        self,
    ) -> None:
        self.refuse("left")
        self.registrar.leave("left", 200)
        self.refuse("silent")
        self.leader.timers.advance(registrar.SILENCE_SECONDS + 0.1)
        self.name_later()
        self.assertEqual([], list(self.directory.entries))

    def test_refused_upstream_is_silent_from_its_last_heartbeat_on(
        self,
    ) -> None:
        self.refuse("e2")
        self.leader.timers.advance(registrar.SILENCE_SECONDS - 1.0)
        self.name_later()
        self.assertEqual(["e2"], list(self.directory.entries))
        self.leader.timers.advance(1.1)
        self.registrar.tick()
        self.leader.timers.advance(0.0)
        self.assertEqual([], list(self.directory.entries))

    def test_refused_registration_under_a_known_id_is_not_kept(self) -> None:
        self.registrar.register(registration(100))
        self.refuse("e1")
        self.name_later()
        self.assertEqual("desk", self.directory.entries["e1"].service)

    def test_number_of_refused_registrations_that_are_kept_is_bounded(
        self,
    ) -> None:
        for number in range(registrar.WAITING_KEPT + 1):
            self.refuse(f"e{number}")
        self.assertEqual(registrar.WAITING_KEPT, len(self.registrar.waiting))

    def test_upstreams_can_register_at_a_release_that_is_too_old(self) -> None:
        # All would expire after a push of a newer release.
        self.push(1, {"services/desk": '{"kind":"plain","later":1}'}, [])
        self.registrar.register(registration(100))
        self.assertIn("e1", self.directory.entries)

    def test_upstream_of_a_removed_service_can_still_drain(self) -> None:
        self.registrar.register(registration(100))
        self.push(1, {}, ["services/desk"])
        self.registrar.register(registration(100, 2, "draining"))
        self.assertEqual("draining", self.directory.entries["e1"].state)


class StateTest(testtools.TestCase):
    def test_number_of_remembered_ends_is_bounded(self) -> None:
        held = directory.Directory()
        for number in range(directory.ENDED_KEPT + 10):
            held.leave(f"e{number}", True, 5)
        self.assertEqual(directory.ENDED_KEPT, len(held.ended))
        self.assertTrue(held.has_ended(f"e{number}", 5))

    def test_state_stored_without_starts_is_read(self) -> None:
        held = directory.Directory()
        old = list(registration(0))[:-1]
        held.load([3, 0, [old], {"e1": 3}, {}, {"e0": 1_764_000_000.5}])
        self.assertEqual(0, held.entries["e1"].started)
        self.assertTrue(held.has_ended("e0", 0))
        self.assertFalse(held.has_ended("e0", 7))


class IncarnationsMachine(stateful.RuleBasedStateMachine):
    """Messages of several incarnations of two ids, reordered and repeated.

    Each message goes to the present leader. Leaders are replaced by ones that
    restore a snapshot, wall clocks are stepped, and a node follows by deltas.
    Whatever the order of the messages, the registration in force must be the
    latest one of the newest incarnation, unless that has left.
    """

    names = strategies.sampled_from(["a", "b"])
    starts = strategies.integers(1, 3)

    def __init__(self) -> None:
        super().__init__()
        self.leader = Leader(machine.ConfigMachine())
        self.registrar = registrar.Registrar(self.leader)
        self.node = directory.Directory()
        self.newest: dict[str, tuple[int, int]] = {}
        self.state: dict[str, str] = {}
        self.left: dict[str, int] = {}

    @stateful.rule(
        name=names, started=starts, sequence=strategies.integers(0, 5)
    )
    def heartbeat(self, name: str, started: int, sequence: int) -> None:
        # Within an incarnation the sequence number determines the state.
        drains_from = 2 + started % 3
        state = "draining" if sequence >= drains_from else "ready"
        self.registrar.register(
            registration(
                started, sequence, state, name, f"10.0.0.{ord(name)}:80"
            )
        )
        if started <= self.left.get(name, 0):
            return
        if (started, sequence) >= self.newest.get(name, (0, 0)):
            self.newest[name] = (started, sequence)
            self.state[name] = state

    @stateful.rule(name=names, started=starts)
    def leave(self, name: str, started: int) -> None:
        self.registrar.leave(name, started)
        self.left[name] = max(self.left.get(name, 0), started)
        if self.newest.get(name, (0, 0))[0] <= started:
            self.newest.pop(name, None)

    @stateful.rule(step=strategies.sampled_from([-900.0, 0.0, 900.0]))
    def step_wall(self, step: float) -> None:
        self.leader.timers.step = step

    @stateful.rule()
    def change_leader(self) -> None:
        state = machine.ConfigMachine()
        state.restore(self.leader.machine.snapshot())
        index = self.leader.index
        self.leader = Leader(state)
        self.leader.index = index
        self.registrar = registrar.Registrar(self.leader)
        self.registrar.on_elected()
        # A new leader knows the sequence numbers of changes only: renewals
        # were known to the old leader alone.
        self.newest = {
            name: directory.recency_key(item)
            for name, item in state.directory.entries.items()
        }

    @stateful.rule()
    def follow(self) -> None:
        source = self.leader.machine.directory
        self.node.apply_update(source.update_since(self.node.version))
        assert self.incarnations(self.node) == self.incarnations(source)

    def incarnations(self, held: directory.Directory) -> dict[str, tuple]:
        return {
            name: (item.started, item.state)
            for name, item in held.entries.items()
        }

    @stateful.invariant()
    def newest_incarnation_is_in_force(self) -> None:
        expected = {
            name: (started, self.state[name])
            for name, (started, _) in self.newest.items()
        }
        assert self.incarnations(self.leader.machine.directory) == expected


IncarnationsTest = IncarnationsMachine.TestCase
