"""Lives of upstreams that register themselves."""

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


def life(
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
    """Virtual time whose wall clock jumps."""

    def __init__(self) -> None:
        super().__init__()
        self.step = 0.0

    def wall_time(self) -> float:
        return self.clock + self.step


class Leader:
    """What the registrar needs, with commits that take no time."""

    def __init__(self, state: machine.ConfigMachine) -> None:
        self.machine = state
        self.timers = SteppedTimers()
        self.events = events.NullEventReporter()
        self.office = 0
        self.index = 0

    def propose(self, command: Any) -> Any:
        self.index += 1
        return self.machine.apply(self.index, commands.encode(command))

    def date(self) -> float:
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
        held = self.leader
        self.leader = Leader(state)
        self.leader.index = held.index
        self.registrar = registrar.Registrar(self.leader)
        self.registrar.take_lead()
        self.directory = state.directory


class SecondLifeTest(LeaderTest):
    """An engine crashes and starts again under its id, its count anew.

    Where only the id and the count tell, its heartbeats pass for late ones
    until the count has caught up, and for ten minutes if the life before had
    left; callers wait for an engine that is there.
    """

    def test_new_life_is_in_force_at_once(self) -> None:
        self.registrar.register(life(100, 900))
        self.registrar.register(life(200, 1))
        self.assertEqual(200, self.directory.entries["e1"].started)

    def test_new_life_is_in_force_after_the_one_before_left(self) -> None:
        self.registrar.register(life(100, 900))
        self.registrar.leave("e1", 0)
        self.registrar.register(life(200, 1))
        self.assertEqual(200, self.directory.entries["e1"].started)

    def test_late_words_of_the_former_life_change_nothing(self) -> None:
        for change in (lambda: None, self.change_leader):
            self.registrar.register(life(100, 10))
            self.registrar.register(life(200, 1))
            change()
            before = self.directory.version
            self.registrar.register(life(100, 9_000, "draining"))
            self.registrar.leave("e1", 100)
            self.assertEqual(before, self.directory.version)
            self.assertEqual("ready", self.directory.entries["e1"].state)

    def test_life_that_left_stays_left(self) -> None:
        self.registrar.register(life(200, 1))
        self.registrar.leave("e1", 200)
        for change in (lambda: None, self.change_leader):
            change()
            self.registrar.register(life(200, 50))
            self.registrar.register(life(100, 50))
            self.registrar.register(life(0, 50))
            self.assertEqual({}, self.directory.entries)

    def test_leaving_before_any_registration_counts(self) -> None:
        self.registrar.leave("e1", 100)
        self.registrar.register(life(100, 1))
        self.assertEqual({}, self.directory.entries)

    def test_leaving_that_names_no_life_ends_the_registered_one(self) -> None:
        self.registrar.register(life(100, 1))
        self.registrar.leave("e1", 0)
        self.assertEqual({}, self.directory.entries)

    def test_lives_without_a_start_are_ordered_by_their_count(self) -> None:
        self.registrar.register(life(0, 7, "draining"))
        self.registrar.register(life(0, 6))
        self.assertEqual("draining", self.directory.entries["e1"].state)
        self.registrar.leave("e1", 0)
        self.registrar.register(life(0, 8))
        self.assertEqual({}, self.directory.entries)

    def test_silent_life_is_taken_out_but_not_the_one_after_it(self) -> None:
        self.registrar.register(life(100, 1))
        self.leader.timers.advance(registrar.SILENCE + 0.1)
        self.registrar.tick()
        self.registrar.register(life(200, 1))
        self.leader.timers.advance(0.1)
        self.assertEqual(200, self.directory.entries["e1"].started)
        self.assertIn("e1", self.registrar.heard)

    def test_nothing_depends_on_our_wall_clock(self) -> None:
        """The time of day jumps by an hour, forward and back again.

        Remembered by our time of day, a life that left would be forgotten
        with the first jump, and its late heartbeat would revive it.
        """
        self.registrar.register(life(0, 1))
        self.registrar.leave("e1", 0)
        for step in (3600.0, -3600.0, 0.0):
            self.leader.timers.step = step
            self.registrar.register(life(0, 2))
            self.registrar.leave(f"other{step}", 0)
            self.assertEqual({}, self.directory.entries)


class AddressTest(LeaderTest):
    def test_address_taken_over_ends_the_life_there(self) -> None:
        self.registrar.register(life(100, upstream="e1"))
        self.registrar.register(life(200, upstream="e9", service="other"))
        self.assertEqual(["e9"], list(self.directory.entries))
        self.registrar.register(life(100, 50, upstream="e1"))
        self.assertEqual(["e9"], list(self.directory.entries))

    def test_former_id_may_come_back_elsewhere(self) -> None:
        self.registrar.register(life(100, upstream="e1"))
        self.registrar.register(life(200, upstream="e9", service="other"))
        self.registrar.register(life(300, upstream="e1", address="10.0.0.2:80"))
        self.assertEqual({"e1", "e9"}, set(self.directory.entries))

    def test_late_word_of_an_earlier_life_does_not_take_the_address_back(
        self,
    ) -> None:
        """e1 fell silent and was taken out; e9 has its address by now.

        A heartbeat of e1 that was held up behind a cut arrives. It would put
        e9 out of use for good, and send e1's requests to e9.
        """
        self.registrar.register(life(100, upstream="e1"))
        self.directory.leave("e1", False)
        self.registrar.register(life(200, upstream="e9"))
        self.registrar.register(life(100, 5, upstream="e1"))
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

    def test_service_that_the_manifest_lacks_evicts_nobody(self) -> None:
        self.registrar.register(life(100))
        before = self.directory.version
        for name in ("e1", "e9"):
            self.assertRaises(
                errors.UnknownService,
                self.registrar.register,
                life(200, upstream=name, service="forged"),
            )
        self.assertEqual(before, self.directory.version)

    def test_upstream_of_a_service_taken_out_since_can_drain(self) -> None:
        self.registrar.register(life(100))
        self.push(1, {}, ["services/desk"])
        self.registrar.register(life(100, 2, "draining"))
        self.assertEqual("draining", self.directory.entries["e1"].state)


class MemoryTest(testtools.TestCase):
    def test_lives_remembered_as_over_are_bounded(self) -> None:
        held = directory.Directory()
        for number in range(directory.LEFT_KEPT + 10):
            held.leave(f"e{number}", True, 5)
        self.assertEqual(directory.LEFT_KEPT, len(held.left))
        self.assertTrue(held.over(f"e{number}", 5))

    def test_state_of_a_release_without_starts_is_read(self) -> None:
        held = directory.Directory()
        old = list(life(0))[:-1]
        held.load([3, 0, [old], {"e1": 3}, {}, {"e0": 1_764_000_000.5}])
        self.assertEqual(0, held.entries["e1"].started)
        self.assertTrue(held.over("e0", 0))
        self.assertFalse(held.over("e0", 7))


class LivesMachine(stateful.RuleBasedStateMachine):
    """Words of several lives of two ids, in any order and more than once.

    Each word is delivered to the leader of the moment; leaders change, whose
    successors restore a snapshot, wall clocks jump, and a node follows by
    deltas. What is in force must be what the newest life said last, unless it
    left, whatever order its words came in.
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
        # Within a life the state is a function of the count.
        drains_from = 2 + started % 3
        state = "draining" if sequence >= drains_from else "ready"
        self.registrar.register(
            life(started, sequence, state, name, f"10.0.0.{ord(name)}:80")
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
        self.registrar.take_lead()
        # A successor knows the counts of changes alone: renewals are kept
        # by the leader.
        self.newest = {
            name: directory.order(item)
            for name, item in state.directory.entries.items()
        }

    @stateful.rule()
    def follow(self) -> None:
        source = self.leader.machine.directory
        self.node.follow(source.update_since(self.node.version))
        assert self.lives(self.node) == self.lives(source)

    def lives(self, held: directory.Directory) -> dict[str, tuple]:
        return {
            name: (item.started, item.state)
            for name, item in held.entries.items()
        }

    @stateful.invariant()
    def newest_life_is_in_force(self) -> None:
        expected = {
            name: (started, self.state[name])
            for name, (started, _) in self.newest.items()
        }
        assert self.lives(self.leader.machine.directory) == expected


LivesTest = LivesMachine.TestCase
