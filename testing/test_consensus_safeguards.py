"""Each safeguard of the consensus core, and the failure that it prevents.

A scenario raises `Fault` if a guarantee is violated. Each test checks that
the scenario passes with the safeguard and fails without it.
"""

from collections.abc import Callable
import math
from typing import Any

import msgpack
import testtools
from testtools import matchers

from fakes import core_cluster
from mintcleat.consensus import messages as wire
from mintcleat.consensus import state
from mintcleat.consensus import types

ALL = types.Safeguards()


def settled(
    safeguards: types.Safeguards, incarnations: bool
) -> tuple[core_cluster.Cluster, core_cluster.Node, list[core_cluster.Node]]:
    """Returns a cluster, its leader and the two other voters."""
    cluster = core_cluster.Cluster(1, safeguards, incarnations)
    cluster.run(3.0)
    leader = cluster.leader()
    return cluster, leader, [n for n in cluster.voters() if n is not leader]


def partitioned_follower_returns(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    term = leader.core.replicas["g"].state.term
    cluster.isolate(others[0].name)
    cluster.run(2.5)
    cluster.blocked.clear()
    cluster.run(0.5)
    if cluster.leader().core.replicas["g"].state.term != term:
        raise core_cluster.Fault("a returning follower deposed the leader")


def heartbeat_replies_are_late(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    for other in others:
        cluster.extra_delay[other.name, leader.name] = 0.9
    cluster.run(2.0)
    for other in others:
        cluster.blocked.add((leader.name, other.name))
    cluster.run(2.0)


def power_fails_before_sync(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    holder, isolated = others
    cluster.isolate(isolated.name)
    cluster.run(0.2)
    holder.crash_in_next_write = True
    cluster.write(leader.name, "g", b"kept")
    cluster.run(0.2)
    leader.crash()
    holder.start()
    cluster.blocked.clear()
    cluster.run(4.0)


def disk_is_emptied(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    holder, isolated = others
    cluster.isolate(isolated.name)
    cluster.write(leader.name, "g", b"kept")
    cluster.run(0.2)
    holder.crash()
    holder.empty_disk()
    leader.crash()
    holder.start()
    cluster.blocked.clear()
    cluster.run(4.0)
    leader.start()
    cluster.run(4.0)
    if cluster.acknowledged_commands["g"] != [b"kept"]:
        raise core_cluster.Fault(
            f"expected only b'kept', got {cluster.acknowledged_commands['g']}"
        )


def second_loss_during_repair(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    isolated, lost = others
    state = leader.core.replicas["g"].state
    cluster.write(leader.name, "g", b"kept")
    cluster.run(0.5)
    cluster.isolate(isolated.name)
    for _ in range(100):
        cluster.run(0.05)
        if state.configuration.learners:
            break
    spare = state.configuration.learners[0].replica.instance
    cluster.isolate(spare)
    lost.crash()
    lost.empty_disk()
    cluster.run(1.0)
    cluster.blocked.clear()
    cluster.run(5.0)
    if not cluster.write(cluster.leader().name, "g", b"later"):
        raise core_cluster.Fault("no leader accepts proposals")
    cluster.run(0.5)
    if cluster.acknowledged_commands["g"] != [b"kept", b"later"]:
        raise core_cluster.Fault(
            f"expected b'kept' and b'later',"
            f" got {cluster.acknowledged_commands['g']}"
        )


def voter_restarts(
    cluster: core_cluster.Cluster,
    leader: core_cluster.Node,
    others: list[core_cluster.Node],
) -> None:
    for _ in range(20):
        # The previous round may have ended with another leader.
        leader = cluster.leader()
        candidate, voter = [n for n in cluster.voters() if n is not leader]
        pair = (leader.name, candidate.name)
        cluster.blocked = {pair, pair[::-1]}
        cluster.run(0.3)
        voter.crash()
        voter.start()
        cluster.isolate(leader.name)
        cluster.run(0.3)
        cluster.blocked = set()
        cluster.run(1.5)


class SafeguardsTest(testtools.TestCase):
    def check_safeguard(
        self,
        scenario: Callable[..., None],
        safeguards: types.Safeguards = ALL,
        incarnations: bool = True,
    ) -> None:
        """Runs a scenario with all safeguards, and with one turned off."""
        scenario(*settled(ALL, True))
        self.assertRaises(
            core_cluster.Fault, scenario, *settled(safeguards, incarnations)
        )

    def test_pre_vote_keeps_the_leader_when_a_follower_returns(self) -> None:
        """A follower is partitioned for some seconds and returns.

        Without the pre-vote it raises its term repeatedly while partitioned.
        The leader sees the higher term and steps down, and callers wait for
        an unnecessary election.
        """
        self.check_safeguard(
            partitioned_follower_returns, ALL._replace(pre_vote=False)
        )

    def test_lease_margin_keeps_leases_apart(self) -> None:
        """Heartbeat replies are 0.9 s late, then the leader is partitioned.

        If the lease started at the reply, it would outlast the voters'
        promise, and the old leader would answer reads after a new one was
        elected.
        """
        self.check_safeguard(
            heartbeat_replies_are_late, ALL._replace(lease_margin=False)
        )

    def test_sync_before_acknowledgement_keeps_committed_entries(self) -> None:
        """A follower loses power between its acknowledgement and the sync.

        The leader counts the entry as held by two of three voters,
        acknowledges it and crashes. The follower has lost the entry, and the
        third voter never had it.
        """
        self.check_safeguard(
            power_fails_before_sync, ALL._replace(sync_first=False)
        )

    def test_incarnation_keeps_an_emptied_disk_from_voting(self) -> None:
        """A follower that acknowledged an entry comes back with an empty disk.

        With its old identity it could elect a leader together with the third
        voter, which lacks the entry. With a new one it cannot vote, and the
        entry survives on the old leader.
        """
        self.check_safeguard(disk_is_emptied, incarnations=False)

    def test_add_before_remove_survives_a_loss_during_the_repair(self) -> None:
        """A voter is partitioned, a spare joins, then another disk is lost.

        The partitioned voter comes back. If it had been removed before its
        successor was promoted, only two voters would remain, one of them
        lost, and the group could never commit again.
        """
        self.check_safeguard(
            second_loss_during_repair, ALL._replace(add_before_remove=False)
        )

    def test_restarted_voter_keeps_its_promise(
        self,
    ) -> None:
        """A voter that has just answered a heartbeat restarts.

        The leader is partitioned from the other follower, then from the
        restarted voter too. If the voter forgot its promise and voted at
        once, it would elect the follower while the leader holds its lease.
        """
        scenario = settled(ALL, True)
        voter_restarts(*scenario)
        original = state.State.__init__

        def init_without_promise(
            self: state.State, *given: Any, **named: Any
        ) -> None:
            original(self, *given, **named)
            self.leader_heard_at = -math.inf

        broken = settled(ALL, True)
        self.patch(state.State, "__init__", init_without_promise)
        self.assertRaises(core_cluster.Fault, voter_restarts, *broken)


class ColdStartTest(testtools.TestCase):
    """All processes stop together, as in a power loss of all hosts.

    Every voter has just answered a heartbeat and would, after its restart,
    keep its promise to a leader that has restarted too and no longer leads.
    Until then the group would have no leader and refuse every caller.
    """

    def seconds_to_leader(
        self, seed: int, stagger: float, wipe: bool = False
    ) -> float:
        """Returns the seconds from a majority of running voters to a leader.

        Args:
            seed: Seed of the cluster.
            stagger: Maximum time between the first start and the last.
            wipe: Whether the leader's disk is lost as well; then the time
                counts from the last start.
        """
        cluster = core_cluster.Cluster(seed)
        cluster.run(3.0)
        nodes = [n for n in cluster.nodes.values() if n.core is not None]
        former = cluster.leader()
        for node in nodes:
            node.crash()
        if wipe:
            former.empty_disk()
        cluster.run(0.5)
        starts = [cluster.rng.uniform(0.0, stagger) for _ in nodes]
        began = cluster.time
        for node, at in zip(nodes, starts, strict=True):
            cluster.after(at, node.start)
        index = nodes.index(former)
        ready = began + max(starts[index], sorted(starts)[len(nodes) // 2])
        if wipe:
            ready = began + max(starts)
        while cluster.time < began + 5.0:
            cluster.run(0.01)
            try:
                cluster.leader()
            except core_cluster.Fault:
                continue
            return max(0.0, cluster.time - ready)
        raise core_cluster.Fault("no leader after 5 s")

    def test_former_leader_leads_again_at_once(self) -> None:
        # If all voters waited for the lease to expire: 0.50 to 0.98 s, mean
        # 0.66.
        for stagger in (0.0, 0.5):
            times = [self.seconds_to_leader(n, stagger) for n in range(1, 41)]
            mean = sum(times) / len(times)
            self.assertThat(mean, matchers.LessThan(0.15))
            self.assertThat(max(times), matchers.LessThan(0.35))

    def test_leader_that_lost_its_disk_is_soon_replaced(self) -> None:
        # If the others waited for its lease to expire: 0.48 to 0.98 s, mean
        # 0.70.
        times = [self.seconds_to_leader(n, 0.3, True) for n in range(1, 41)]
        mean = sum(times) / len(times)
        self.assertThat(mean, matchers.LessThan(0.3))

    def test_promise_to_a_leader_heard_since_start_survives_a_new_incarnation(
        self,
    ) -> None:
        """Another process starts under the name of a running leader."""
        _, leader, (voter, _) = settled(ALL, True)
        state = voter.core.replicas["g"].state
        other = leader.identity._replace(epoch=leader.identity.epoch + 1)
        before = state.leader_heard_at
        self.assertTrue(before > state.started)
        frame = wire.Frame(
            other, leader.name, voter.identity, [wire.Hello(False)]
        )
        voter.core.receive(frame, voter.now())
        self.assertEqual(before, state.leader_heard_at)

    def test_pre_vote_of_another_candidate_keeps_the_promise(self) -> None:
        _, leader, (voter, candidate) = settled(ALL, True)
        voter.crash()
        voter.start()
        state = voter.core.replicas["g"].state
        request = wire.PreVoteRequest("g", state.term + 1, 10**6, state.term)
        voter.core.step(candidate.identity, request, voter.now())
        self.assertEqual([False], granted(voter))
        voter.core.step(leader.identity, request, voter.now())
        self.assertEqual([True], granted(voter))

    def test_delayed_pre_vote_of_the_leader_keeps_the_promise(self) -> None:
        """A candidate's pre-vote arrives only after it won the election."""
        _, leader, (voter, _) = settled(ALL, True)
        state = voter.core.replicas["g"].state
        request = wire.PreVoteRequest("g", state.term, 10**6, state.term)
        before = state.leader_heard_at
        voter.core.step(leader.identity, request, voter.now())
        self.assertEqual(before, state.leader_heard_at)

    def test_voter_without_a_stored_leader_keeps_its_promise(self) -> None:
        _, leader, (voter, _) = settled(ALL, True)
        voter.crash()
        voter.synced = [r for r in voter.synced if msgpack.unpackb(r)[0] != 3]
        voter.start()
        state = voter.core.replicas["g"].state
        request = wire.PreVoteRequest("g", state.term + 1, 10**6, state.term)
        voter.core.step(leader.identity, request, voter.now())
        self.assertEqual([False], granted(voter))


def granted(node: core_cluster.Node) -> list[bool]:
    """Takes the results of the pre-vote replies in a node's outbox."""
    outgoing = node.core.outbox.take().messages
    return [
        item.message.granted
        for item in outgoing
        if isinstance(item.message, wire.PreVoteReply)
    ]
