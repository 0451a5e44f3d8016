"""The config service over real streams and a replicated log in memory."""

from testing.fakes import config_cluster
import testtools

from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import operator_messages
from mintcleat.roles.control.configuration import stream as config_stream


class PushTest(testtools.TestCase):
    def test_accepted_push_is_in_force_at_every_node(self) -> None:
        cluster = config_cluster.Cluster(self, 3)
        nodes = [cluster.node(f"entry-{n}") for n in range(4)]
        answer = cluster.control[1].ask(config_cluster.push(0, "1", "anna"))
        self.assertEqual(1, answer.revision)
        cluster.until(lambda: all(node.revision() == 1 for node in nodes))
        cluster.until(lambda: all(node.has_lease() for node in nodes))
        service = nodes[0].manifest().services["chat"]
        self.assertEqual("1", service.version)
        shown = cluster.control[2].ask(operator_messages.ShowInstances())
        entries = [item for item in shown.nodes if item.role == "entry"]
        self.assertEqual([1] * 4, [item.revision for item in entries])
        self.assertTrue(all(item.lease > 0 for item in entries))

    def test_second_push_on_the_same_revision_is_refused(self) -> None:
        """Two operators push on the same revision at two instances.

        One gets the new revision. The other is refused with an error that
        names the accepted push, so that he can fetch, merge and push again.
        """
        cluster = config_cluster.Cluster(self, 3)
        cluster.control[1].ask(config_cluster.push(0, "1", "anna"))
        error = self.assertRaises(
            errors.RevisionConflict,
            cluster.control[2].ask,
            config_cluster.push(0, "2", "bert"),
        )
        self.assertIn("anna won revision 1", error.detail)
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_resent_push_returns_its_first_revision_after_failover(
        self,
    ) -> None:
        """The leader commits a push, but the operator gets no answer.

        Another push follows, then the leader is lost. The operator sends his
        push again to the new leader and gets the revision of the first commit.
        """
        cluster = config_cluster.Cluster(self, 3)
        cluster.control[0].ask(config_cluster.push(0, "1", "anna"))
        cluster.control[0].ask(config_cluster.push(1, "2", "bert"))
        cluster.log.elect(cluster.control[1].address)
        again = cluster.control[2].ask(config_cluster.push(0, "1", "anna"))
        self.assertEqual(1, again.revision)
        view = cluster.control[2].ask(config_messages.ReadManifest())
        self.assertEqual(2, view.revision)

    def test_lost_answer_is_retried_to_the_same_revision(self) -> None:
        """A push is committed, but the proposal's result is lost.

        The service proposes it again with the same id and gets revision 1.
        """
        cluster = config_cluster.Cluster(self, 1)
        cluster.until(cluster.control[0].leads)
        cluster.log.lose_next = 1
        answer = cluster.control[0].ask(config_cluster.push(0, "1", "anna"))
        self.assertEqual(1, answer.revision)

    def test_node_of_a_lost_instance_follows_another(self) -> None:
        """The control instance that serves a node stops.

        The connection ends. The node opens a stream to another instance and
        gets the next push from there.
        """
        cluster = config_cluster.Cluster(self, 3)
        cluster.control[0].ask(config_cluster.push(0, "1", "anna"))
        relays = [item.address for item in cluster.control[1:]]
        # The ports of a run decide which instance serves a node. With eight
        # fixed names, no node preferred the lost instance in 4 of 100 runs, so
        # four names that prefer it are selected.
        addresses = [item.address for item in cluster.control]
        lost = [
            name
            for name in (f"entry-{n}" for n in range(200))
            if config_stream.rank_addresses(name, addresses)[0] == relays[1]
        ]
        names = [*lost[:4], "other-1", "other-2", "other-3", "other-4"]
        nodes = [cluster.node(name) for name in names]
        cluster.until(lambda: all(node.has_lease() for node in nodes))
        # Nodes that started before their preferred instance had a
        # configuration return to it.
        cluster.until(
            lambda: relays[1] in [node.stream.address for node in nodes]
        )
        moved = [n for n in nodes if n.stream.address == relays[1]]
        cluster.control[2].stop()
        cluster.control[2].streams.stop()
        cluster.control[0].ask(config_cluster.push(1, "2", "anna"))
        cluster.until(lambda: all(node.revision() == 2 for node in nodes))
        self.assertNotIn(relays[1], {n.stream.address for n in moved})


class RestrictionsTest(testtools.TestCase):
    def test_drain_reaches_nodes_when_the_new_leaders_clock_is_behind(
        self,
    ) -> None:
        """An operator drains an upstream just after a change of leader.

        The new leader's wall clock is an hour behind the old one's. If the
        version of the restrictions came from that clock, the node would drop
        the drain as outdated, and the upstream would go on getting requests.
        """
        cluster = config_cluster.Cluster(self, 2)
        old, new = cluster.control
        old.timers.skew = 3600.0
        node = cluster.node("entry-1")
        cluster.until(lambda: bool(node.restrictions.control))
        cluster.log.elect(new.address)
        cluster.until(new.leads)
        request = operator_messages.DrainScope(
            "instance", "u-1", True, "anna", "test"
        )
        new.ask(request)
        cluster.until(lambda: node.is_draining("u-1", ""))


class SteadyTimeTest(testtools.TestCase):
    """The leader's wall clock steps by an hour, and back again.

    Measured with the wall clock, a quarantine would end an hour early and a
    permit bucket would fill; after the step back, pauses would last an hour
    longer.
    """

    def test_steps_of_the_wall_clock_have_no_effect(self) -> None:
        cluster = config_cluster.Cluster(self, 1)
        (leader,) = cluster.control
        cluster.until(leader.leads)
        before = leader.steady_time()
        for skew in (3600.0, -3600.0, 0.0):
            leader.timers.skew = skew
            passed = leader.steady_time() - before
            self.assertTrue(0.0 <= passed < 60.0, passed)

    def test_time_does_not_go_back_at_the_next_leader(self) -> None:
        cluster = config_cluster.Cluster(self, 2)
        old, new = cluster.control
        cluster.until(old.leads)
        new.timers.skew = -3600.0
        before = old.steady_time()
        cluster.log.elect(new.address)
        cluster.until(new.leads)
        self.assertTrue(new.steady_time() - before > -60.0)
