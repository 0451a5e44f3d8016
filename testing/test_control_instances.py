"""Whole control instances in virtual time, with directed losses."""

from collections.abc import Callable
from typing import Any

import eventlet
from testing.fakes import control_cluster
from testing.fakes import virtual_time
import testtools
from testtools import matchers

from mintcleat.configuration import machine
from mintcleat.consensus import repair
from mintcleat.consensus import types


def until(condition: Callable[[], bool], seconds: float = 10.0) -> bool:
    """Waits for a condition; tells whether it came true in time."""
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        eventlet.sleep(0.02)
    return False


def played(
    scenario: Callable[[control_cluster.Cluster], Any],
    size: int = 8,
    seed: int = 1,
) -> Any:
    """Returns what a scenario returns on a cluster that is well."""

    def body() -> Any:
        options = control_cluster.Options()
        options.size = size
        cluster = control_cluster.Cluster(seed, options)
        try:
            assert until(cluster.is_healthy)
            cluster.push()
            return scenario(cluster)
        finally:
            cluster.close()

    return virtual_time.run(body)


def voter(cluster: control_cluster.Cluster) -> control_cluster.Instance:
    """Returns a voter of the config group that does not lead."""
    leader = cluster.leader()
    names = [n for n in cluster.voters() if n != leader.name]
    return cluster.instances[names[0]]


class ReplacedVoterTest(testtools.TestCase):
    def test_voter_replaced_while_down_answers_again(self) -> None:
        """Operators who ask a returned instance get no answer, for good.

        A voter is down for longer than a spare waits, and is replaced. It
        comes back with its disk, whose log still lists it as a voter: nobody
        sends it anything, it asks for votes in vain and knows no leader, so
        it can neither answer nor pass a request on.
        """

        def scenario(cluster: control_cluster.Cluster) -> list[bool]:
            one = voter(cluster)
            one.kill()
            until(lambda: one.name not in cluster.voters())
            one.start()
            eventlet.sleep(3.0)
            return [cluster.read(one) for _ in range(3)]

        self.assertEqual([True, True, True], played(scenario))

    def test_spare_finds_a_leader_when_the_first_founder_is_lost(self) -> None:
        """A spare asked the first founder only, also when that was gone."""

        def scenario(cluster: control_cluster.Cluster) -> list[bool]:
            outside = [
                one
                for one in cluster.instances.values()
                if one.name not in cluster.voters()
            ]
            for name in ("c0", "c1"):
                cluster.instances[name].lose_power()
            until(lambda: cluster.leader() is not None)
            eventlet.sleep(4.0)
            return [cluster.read(one) for one in outside]

        self.assertEqual([True, True, True], played(scenario))

    def test_returned_instance_stays_a_voter_in_another_ones_place(
        self,
    ) -> None:
        """A lost voter is never replaced, so the next loss is one too many.

        A spare took the place of a voter that was down. That one came back,
        as a spare with its disk, and took the place of a second lost voter.
        The first spare's entry still said whom it replaced, so the returned
        instance was removed at once, added again, and so on for ever.
        """

        def scenario(cluster: control_cluster.Cluster) -> bool:
            first = voter(cluster)
            first.kill()
            until(lambda: first.name not in cluster.voters())
            first.start()
            eventlet.sleep(3.0)
            second = voter(cluster)
            second.lose_power()
            spares = [
                one
                for one in cluster.instances.values()
                if one.name not in cluster.voters() and one is not first
            ]
            for one in spares:
                one.kill()
            until(
                lambda: (
                    first.name in cluster.voters()
                    and second.name not in cluster.voters()
                )
            )
            eventlet.sleep(2.0)
            leader = cluster.leader()
            state = leader.log.driver.core.replicas[machine.GROUP].state
            return (
                first.name in cluster.voters()
                and second.name not in cluster.voters()
                and len(state.configuration.voters) == 5
            )

        self.assertTrue(played(scenario))


class EmptiedLeaderTest(testtools.TestCase):
    def test_leader_that_hands_over_is_replaced_once(self) -> None:
        """A group keeps a voter too many, and a spare less, for good.

        Its successor was a voter already, and the leader that was emptied had
        to hand its leadership over before it could be removed. Meanwhile it
        still counted as one to replace, and a second spare was taken in.
        """

        def scenario(cluster: control_cluster.Cluster) -> list[types.Peer]:
            leader = cluster.leader()
            core = leader.log.driver.core
            state = core.replicas[machine.GROUP].state
            voters = state.configuration.voters
            inside = {peer.replica.instance for peer in voters}
            spare = next(
                resident.peer
                for name, resident in core.roster.observed.items()
                if name not in inside
            )
            successor = spare._replace(replaces=state.me)
            promoted = types.Configuration([*voters, successor], [])
            state.configurations.append((state.commit, promoted))
            core.roster.retired = frozenset({leader.name})
            repair.tick(state, core.roster, leader.log.timers.now())
            return state.configuration.learners

        self.assertEqual([], played(scenario))


class ColdStartTest(testtools.TestCase):
    """All machines lose their power; their processes start by and by.

    Nobody is served before there is a leader, and before every control
    instance may hand its configuration on. Each waited for its own timer: for
    the end of a lease that nobody held, for the next look at who leads, for
    the end of a pause before the next dial.
    """

    def seconds(self, seed: int) -> float:
        """Returns the time from a majority of voters to full service.

        The majority holds the leader of before; counted from the last start
        where others of the instances start later.
        """

        def play(cluster: control_cluster.Cluster) -> float:
            former = cluster.leader()
            voters = cluster.voters()
            starts = {
                name: cluster.rng.uniform(0.0, 0.4)
                for name in cluster.instances
            }
            for one in cluster.instances.values():
                one.lose_power()
            eventlet.sleep(0.8)
            began = cluster.now()
            for name, after in starts.items():
                one = cluster.instances[name]
                eventlet.spawn_after(after, one.start)
            last = max(starts.values())
            middle = sorted(starts[name] for name in voters)[len(voters) // 2]
            ready = began + max(last, middle, starts[former.name])
            served = until(lambda: all(map(serves, cluster.instances.values())))
            self.assertTrue(served)
            return cluster.now() - ready

        return played(play, seed=seed)

    def test_every_instance_serves_soon(self) -> None:
        # 0.45 to 1.70 s, mean 1.16, when each waited for its own timer.
        took = [self.seconds(seed) for seed in range(1, 9)]
        self.assertThat(max(took), matchers.LessThan(0.35))


def serves(instance: control_cluster.Instance) -> bool:
    """Tells whether nodes behind an instance get a configuration."""
    if not instance.running():
        return False
    config = instance.config
    return config.lease_left() > 0 and config.document().revision > 0
