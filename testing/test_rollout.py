"""Rollouts: floor, order of failure domains, rollback and failover."""

from typing import Any

from testing.fakes import log as fake_log
import testtools

from mintcleat.adapters import timers
from mintcleat.configuration import commands
from mintcleat.configuration import machine
from mintcleat.configuration import plan
from mintcleat.configuration import rollouts
from mintcleat.configuration import sections
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.roles.control.configuration import membership
from mintcleat.roles.control.configuration import rollout

DOMAINS = ("hall-a", "hall-b", "hall-c")
PAUSE = 5.0
LOAD_SECONDS = 8.0


class Fleet:
    """Engines that carry out orders; stands in for the leaders' streams.

    Attributes:
        taken: Every delivered order, including repeated ones.
        broken: Models that no engine can load.
        lost: Instances whose answers are lost.
        done: Fencing tokens of the orders that were carried out.
        least_ready: Fewest engines that were ready at a time.
        begun: Start of the first load, by failure domain.
    """

    def __init__(self, clock: timers.VirtualTimers, size: int) -> None:
        self.timers = clock
        self.models = {f"engine-{n}": "m@1" for n in range(size)}
        self.state = dict.fromkeys(self.models, "ready")
        self.taken: list[config_messages.Order] = []
        self.broken: set[str] = set()
        self.lost: set[str] = set()
        self.done: set[int] = set()
        self.least_ready = size
        self.counter = 0
        self.domains = DOMAINS
        self.begun: dict[str, float] = {}

    def ask(
        self, address: str, order: config_messages.Order, timeout: float
    ) -> Any:
        """Carries out an order once; loading takes LOAD_SECONDS."""
        name = order.sidecar.instance
        self.taken.append(order)
        if order.model in self.broken:
            raise errors.UpstreamFailed("The weights are damaged.")
        if order.fencing_token not in self.done:
            self.done.add(order.fencing_token)
            domain = self.domains[int(name[-1]) % len(self.domains)]
            self.begun.setdefault(domain, self.timers.now())
            self.state[name] = "loading"
            self.timers.after(
                LOAD_SECONDS, lambda: self._loaded(name, order.model)
            )
        if name in self.lost:
            raise errors.StreamTimeout("No answer.")
        return identities.Done()

    def ready(self) -> int:
        """Returns the number of ready engines."""
        return list(self.state.values()).count("ready")

    def announce(self, members: membership.Membership) -> None:
        """Renews every announcement."""
        self.least_ready = min(self.least_ready, self.ready())
        self.counter += 1
        for number, (name, model) in enumerate(self.models.items()):
            members.table.announce(
                member_messages.Announcement(
                    identities.Incarnation(name, 1),
                    self.counter,
                    f"127.0.0.1:{number + 1}",
                    "chat",
                    "model",
                    "gulf-south",
                    self.domains[number % len(self.domains)],
                    8,
                    self.state[name],
                    False,
                    True,
                    True,
                    True,
                    model,
                ),
                self.timers.now(),
            )

    def _loaded(self, name: str, model: str) -> None:
        self.models[name] = model
        self.state[name] = "ready"


class Leader:
    """A control instance, as far as the planner needs it."""

    def __init__(
        self, cluster: fake_log.Cluster, fleet: Fleet, name: str
    ) -> None:
        self.log = fake_log.MemoryLog(cluster, name)
        self.machine = machine.ConfigMachine()
        self.log.attach(machine.GROUP, self.machine)
        self.log.start()
        self.timers = fleet.timers
        self.membership = membership.Membership(fleet.timers)
        self.streams = fleet
        self.leader_epoch = 0
        self.old_leases_end_at = 0.0
        self.planner = rollout.Planner(self)
        self.planner.start()

    def steady_time(self) -> float:
        """Returns the wall clock, which isn't stepped here."""
        return self.timers.wall_time()

    def propose(self, command: Any) -> Any:
        """Commits at once."""
        return self.log.propose(machine.GROUP, commands.encode(command), 1.0)

    def leads(self) -> bool:
        """Returns whether it leads in the present epoch."""
        return self.log.leads(machine.GROUP) and (
            self.machine.leader_epoch.number == self.leader_epoch
        )

    def start_leader_epoch(self) -> None:
        """Becomes the leader."""
        self.log.cluster.elect(self.log.address)
        command = commands.StartLeaderEpoch(
            self.log.address, self.timers.wall_time()
        )
        self.leader_epoch = self.propose(command).number


class RolloutTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timers = timers.VirtualTimers()
        self.cluster = fake_log.Cluster()
        self.fleet = Fleet(self.timers, 6)
        self.leaders = [
            Leader(self.cluster, self.fleet, name) for name in ("a", "b")
        ]
        self.leader = self.leaders[0]
        self.leader.start_leader_epoch()
        self.timers.every(0.5, self.announce)
        self.announce()
        self.push("1")
        self.timers.advance(10.0)

    def announce(self) -> None:
        for leader in self.leaders:
            self.fleet.announce(leader.membership)

    def push(self, version: str, floor: int = 4) -> None:
        service = manifest.Service(
            kind="model", model="m", version=version, replicas=6, floor=floor
        )
        policies = manifest.Policies(
            rollout_pause=PAUSE, loads_per_minute=60.0, load_burst=2
        )
        whole = manifest.Manifest(services={"chat": service}, policies=policies)
        revision = self.leader.machine.document.revision
        self.leader.propose(
            commands.Push(
                self.leader.leader_epoch,
                revision,
                f"push-{revision}",
                sections.split(whole),
                [],
                "anna",
                "test",
                version,
                self.timers.wall_time(),
            )
        )

    def state(self) -> str:
        return self.leader.machine.ledger.rollouts["chat"].state

    def test_matching_upstreams_get_no_order(self) -> None:
        self.assertEqual([], self.fleet.taken)
        self.assertEqual(rollouts.DONE, self.state())

    def test_rollout_goes_domain_by_domain_and_keeps_the_floor(self) -> None:
        self.push("2")
        self.timers.advance(120.0)
        self.assertEqual(rollouts.DONE, self.state())
        self.assertEqual({"m@2"}, set(self.fleet.models.values()))
        domains = [
            DOMAINS[int(order.sidecar.instance[-1]) % 3]
            for order in self.fleet.taken
        ]
        self.assertEqual(sorted(domains), domains)
        self.assertEqual(6, len(domains))
        self.assertEqual(4, self.fleet.least_ready)
        begun = self.fleet.begun
        for number in (1, 2):
            between = begun[DOMAINS[number]] - begun[DOMAINS[number - 1]]
            self.assertTrue(between >= LOAD_SECONDS + PAUSE, between)

    def test_rollout_with_a_floor_of_all_upstreams_sends_no_order(
        self,
    ) -> None:
        """No upstream may stop being ready, so the rollout can't proceed."""
        self.push("2", floor=6)
        self.timers.advance(60.0)
        self.assertEqual([], self.fleet.taken)
        self.assertEqual(6, self.fleet.ready())

    def test_version_that_fails_to_load_is_rolled_back(self) -> None:
        """The engines can't load version 2.

        The rollout must stop in the first failure domain, so that the service
        goes on with version 1, and the reason must name the failure.
        """
        self.fleet.broken.add("m@2")
        self.push("2")
        self.timers.advance(60.0)
        self.assertEqual(rollouts.ROLLED_BACK, self.state())
        self.assertEqual({"m@1"}, set(self.fleet.models.values()))
        touched = {order.sidecar.instance for order in self.fleet.taken}
        self.assertTrue(touched <= {"engine-0", "engine-3"}, touched)
        reason = self.leader.machine.ledger.rollouts["chat"].reason
        self.assertIn("failed to load m@2", reason)

    def test_version_that_goes_down_after_loading_is_rolled_back(self) -> None:
        """The first engine with version 2 goes down soon after loading it."""
        self.push("2")
        while "m@2" not in self.fleet.models.values():
            self.timers.advance(1.0)
        broken = next(n for n, m in self.fleet.models.items() if m == "m@2")
        self.fleet.state[broken] = "down"
        self.timers.advance(2.0)
        self.assertEqual(rollouts.ROLLING_BACK, self.state())
        self.timers.advance(8.0)
        tried = {o.sidecar.instance for o in self.fleet.taken}
        self.assertEqual({"engine-0", "engine-3"}, tried)
        self.fleet.state[broken] = "ready"
        self.timers.advance(60.0)
        self.assertEqual(rollouts.ROLLED_BACK, self.state())
        self.assertEqual({"m@1"}, set(self.fleet.models.values()))

    def test_new_leader_resumes_orders_with_the_same_tokens(self) -> None:
        """The leader fails while orders are being carried out.

        Its successor must find them committed and send them again with the
        same tokens, so that no engine loads version 2 twice.
        """
        self.push("2")
        self.fleet.lost = {"engine-0", "engine-3"}
        self.timers.advance(4.0)
        first = {order.fencing_token for order in self.fleet.taken}
        self.assertTrue(first)
        self.fleet.lost = set()
        self.leader = self.leaders[1]
        self.leader.start_leader_epoch()
        self.timers.advance(120.0)
        self.assertEqual(rollouts.DONE, self.state())
        numbers: dict[str, set[int]] = {}
        for order in self.fleet.taken:
            numbers.setdefault(order.sidecar.instance, set()).add(
                order.fencing_token
            )
        self.assertEqual([1] * 6, [len(item) for item in numbers.values()])
        self.assertEqual(4, self.fleet.least_ready)

    def test_command_of_an_earlier_leader_epoch_is_rejected(self) -> None:
        """A replaced leader that was cut off proposes in its old epoch."""
        old = self.leader.leader_epoch
        self.leaders[1].start_leader_epoch()
        stale = commands.PlanOrder(
            old, "chat", "engine-0", 1, "load", "m@9", 0.0
        )
        self.assertRaises(errors.NotLeader, self.leaders[1].propose, stale)

    def test_failover_does_not_refill_the_load_permits(self) -> None:
        """Two loads at once and then one per second are allowed.

        The leader is lost when the burst is used up. If its successor began
        with a full bucket, it would start two more loads at once and the
        weight store would throttle all of them.
        """
        self.fleet.domains = ("hall-a",)
        self.push("2", floor=0)
        while not self.loads():
            self.timers.advance(0.1)
        begin = self.timers.now()
        self.assertEqual(2, self.loads())
        self.leader = self.leaders[1]
        self.leader.start_leader_epoch()
        while self.loads() < 6:
            self.timers.advance(0.1)
            passed = self.timers.now() - begin
            self.assertTrue(self.loads() <= 2 + passed, self.loads())

    def loads(self) -> int:
        return len({order.fencing_token for order in self.fleet.taken})


class PlanTest(testtools.TestCase):
    def test_surplus_upstream_is_unloaded_once_replicas_are_ready(
        self,
    ) -> None:
        held = rollouts.Rollout("s", "m", "", rollouts.DONE, "", 0, 0.0)
        upstreams = [
            plan.Upstream(f"e{n}", 1, "d", "ready", "m", False, None)
            for n in range(3)
        ]
        view = plan.View("s", "m", 1, 2, 0.0, upstreams, held, 100.0)
        self.assertEqual(
            [plan.SendOrder("e2", 1, plan.UNLOAD, "m")], plan.next_steps(view)
        )

    def test_restarted_upstream_gets_the_version_in_force(self) -> None:
        held = rollouts.Rollout("s", "m", "", rollouts.DONE, "", 5, 0.0)
        old = rollouts.Order(1, 6, plan.LOAD, "m", rollouts.DONE, 0.0)
        upstream = plan.Upstream("e", 2, "d", "ready", "", False, old)
        view = plan.View("s", "m", 0, 1, 0.0, [upstream], held, 100.0)
        self.assertEqual(
            [plan.SendOrder("e", 2, plan.LOAD, "m")], plan.next_steps(view)
        )

    def test_adapters_and_version_are_part_of_the_target(self) -> None:
        service = manifest.Service(
            kind="model", model="m", version="2", adapters=["b", "a"]
        )
        self.assertEqual("m@2+a+b", plan.target_of(service))
