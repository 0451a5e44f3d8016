"""Each safeguard of the core, and what happens without it.

A scenario raises `explorer.Fault` when a guarantee is broken. Each test runs
it with the safeguard, and shows that it fails once that is taken out.
"""

from collections.abc import Callable

import testtools

import explorer
from mintcleat.consensus import types

ALL = types.Safeguards()
# Seeds that showed the fault without the safeguard; they stay as they are.
LEASE_SEED = 126
SYNC_SEEDS = (47, 111)
INCARNATION_SEEDS = (11, 12)


def settled(safeguards: types.Safeguards) -> explorer.Cluster:
    cluster = explorer.Cluster(1, safeguards)
    cluster.run(3.0)
    return cluster


def follower_returns(safeguards: types.Safeguards) -> None:
    cluster = settled(safeguards)
    leader = cluster.leader()
    term = leader.core.replicas["g"].state.term
    away = next(n for n in cluster.voters() if n is not leader)
    cluster.isolate(away.name)
    cluster.run(2.5)
    cluster.blocked.clear()
    cluster.run(1.0)
    if cluster.leader().core.replicas["g"].state.term != term:
        raise explorer.Fault("a returning follower unseated the leader")


def second_loss_within_repair(safeguards: types.Safeguards) -> None:
    cluster = settled(safeguards)
    leader = cluster.leader()
    cluster.write(leader.name, "g", b"kept")
    cluster.run(0.5)
    cut, lost = (n for n in cluster.voters() if n is not leader)
    cluster.isolate(cut.name)
    for _ in range(100):
        cluster.run(0.05)
        if leader.core.replicas["g"].state.configuration.learners:
            break
    spare = leader.core.replicas["g"].state.configuration.learners[0]
    cluster.isolate(spare.replica.instance)
    lost.crash()
    lost.empty_disk()
    cluster.run(1.0)
    cluster.blocked.clear()
    cluster.run(5.0)
    holder = cluster.leader()
    if not cluster.write(holder.name, "g", b"later"):
        raise explorer.Fault("no leader takes proposals")
    cluster.run(0.5)
    if cluster.answers["g"] != [b"kept", b"later"]:
        raise explorer.Fault(f"only {cluster.answers['g']} came through")


class SafeguardsTest(testtools.TestCase):
    def check(
        self, scenario: Callable[[types.Safeguards], object], **off: bool
    ) -> None:
        scenario(ALL)
        without = ALL._replace(**off)
        self.assertRaises(explorer.Fault, scenario, without)

    def test_pre_vote_keeps_the_leader_when_a_follower_returns(self) -> None:
        """A follower is cut off for seconds and comes back.

        Without the pre-vote it has raised its term over and over; the leader
        meets the higher term and steps down, and callers wait for an
        election that nobody needed.
        """
        self.check(follower_returns, pre_vote=False)

    def test_lease_margin_keeps_leases_apart(self) -> None:
        """An answer to a heartbeat is late.

        Counted from the answer, the lease outlasts the voter's promise: the
        old leader, cut off, still answers reads after a new one was elected.
        """
        self.check(
            lambda given: explorer.explore(LEASE_SEED, given),
            lease_margin=False,
        )

    def test_sync_before_acknowledgement_keeps_votes_and_entries(self) -> None:
        """A power failure comes between the answer and the sync.

        The replica forgets an entry that the leader counted, or a vote: a
        committed entry is lost, or two leaders share a term.
        """
        for seed in SYNC_SEEDS:
            self.check(
                lambda given, seed=seed: explorer.explore(seed, given),
                sync_first=False,
            )

    def test_incarnation_keeps_an_emptied_disk_from_voting(self) -> None:
        """A disk is emptied and its instance starts again.

        Under its old identity it would vote for a candidate that lacks what
        it had acknowledged, or vote twice in one term.
        """
        for seed in INCARNATION_SEEDS:
            explorer.explore(seed)
            self.assertRaises(
                explorer.Fault, explorer.explore, seed, ALL, False
            )

    def test_add_before_remove_survives_a_loss_within_the_repair(self) -> None:
        """A voter is only cut off, a spare joins, then a disk is lost.

        The cut voter comes back. Had it been removed first, two voters would
        be left, one of them lost: the group could never commit again.
        """
        self.check(second_loss_within_repair, add_before_remove=False)
