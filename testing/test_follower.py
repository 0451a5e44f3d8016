"""Nodes while control instances are lost, unreachable or behind."""

from testing.fakes import config_links
import testtools

from mintcleat.configuration import lease
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import operator_messages
from mintcleat.roles.control.configuration import stream as config_stream


class FollowerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = config_links.Cluster(3)
        self.timers = self.cluster.timers

    def version(self, node: config_links.follower.Follower) -> str:
        return node.manifest().services["chat"].version

    def test_nodes_of_every_instance_apply_the_manifest_and_have_a_lease(
        self,
    ) -> None:
        self.cluster.push(1, 0, "1")
        nodes = [self.cluster.node(f"entry-{n}") for n in range(8)]
        self.timers.advance(2.0)
        served = {node.stream.address for node in nodes}
        self.assertEqual(3, len(served))
        self.assertEqual({1}, {node.revision() for node in nodes})
        self.assertTrue(all(node.has_lease() for node in nodes))
        self.timers.advance(20.0)
        self.assertTrue(all(node.has_lease() for node in nodes))

    def test_connected_nodes_have_a_push_within_the_propagation_time(
        self,
    ) -> None:
        # Guards against callers that wait for longer to learn of a wrong key.
        self.cluster.push(1, 0, "1")
        nodes = [self.cluster.node(f"entry-{n}") for n in range(8)]
        self.timers.advance(2.0)
        self.cluster.push(1, 1, "2")
        longest = nodes[0].push_propagation_seconds()
        self.assertAlmostEqual(2.25, longest)
        self.timers.advance(longest)
        self.assertEqual({2}, {node.revision() for node in nodes})

    def test_push_after_a_partition_waits_for_the_old_leases(self) -> None:
        """A partition separates the leader and one node from the others.

        The separated node acts on revision 1 until its lease expires, and only
        then does the new leader accept revision 2. Two nodes never act on
        different revisions, and the old leader accepts no push.
        """
        self.cluster.push(0, 0, "1")
        old = self.cluster.node("entry-old", control=["control-0"])
        new = self.cluster.node("entry-new", control=["control-1", "control-2"])
        self.timers.advance(2.0)
        self.cluster.network.cut_off = {"control-0", "entry-old/1"}
        self.cluster.log.lag = {"control-0"}
        self.cluster.log.elect("control-1")
        seen = []
        self.timers.every(
            0.05,
            lambda: seen.append(
                {node.revision() for node in (old, new) if node.has_lease()}
            ),
        )
        self.assertEqual(2, self.cluster.push(2, 1, "2"))
        self.assertRaises(
            errors.ControlUnavailable, self.cluster.push, 0, 1, "3"
        )
        self.timers.advance(5.0)
        self.assertTrue(all(len(revisions) <= 1 for revisions in seen), seen)
        self.assertFalse(old.has_lease())
        self.assertEqual("1", self.version(old))
        self.assertEqual("2", self.version(new))
        self.cluster.network.cut_off = set()
        self.cluster.log.heal()
        self.timers.advance(5.0)
        self.assertEqual("2", self.version(old))
        self.assertTrue(old.has_lease())

    def test_node_of_an_unreachable_relay_moves_before_its_lease_ends(
        self,
    ) -> None:
        """One control instance becomes unreachable; connections stay open.

        Its nodes get no renewals and move to another instance before their
        leases expire, so that no caller is refused.
        """
        self.cluster.push(0, 0, "1")
        nodes = [self.cluster.node(f"entry-{n}") for n in range(8)]
        self.timers.advance(2.0)
        moved = [n for n in nodes if n.stream.address == "control-2"]
        self.assertTrue(moved)
        self.cluster.network.cut_off = {"control-2"}
        for _ in range(200):
            self.timers.advance(0.05)
            self.assertTrue(all(node.has_lease() for node in nodes))
        self.assertNotIn("control-2", {n.stream.address for n in nodes})

    def test_unreachable_relay_and_node_lose_their_lease_in_four_seconds(
        self,
    ) -> None:
        """A partition separates a relay and its node; then there is a push.

        The relay may grant only the rest of its own lease. Four seconds after
        the push was accepted, no node acts on the old revision.
        """
        self.cluster.push(0, 0, "1")
        node = self.cluster.node("entry-1", control=["control-2"])
        self.timers.advance(3.3)
        self.cluster.network.cut_off = {"control-2", "entry-1/1"}
        self.cluster.push(0, 1, "2")
        self.timers.advance(lease.MAX_LEASE_SECONDS - 1.0)
        self.assertTrue(node.lease.expires > 0)
        self.timers.advance(1.0)
        self.assertFalse(node.has_lease())

    def test_nodes_of_an_unreachable_relay_are_reported_as_missing(
        self,
    ) -> None:
        """A relay with a node becomes unreachable right before a push.

        The status lists the relay as missing until the leases of its nodes
        have expired.
        """
        self.cluster.push(0, 0, "1")
        self.cluster.node("entry-1", control=["control-2"])
        self.timers.advance(3.0)
        self.cluster.network.cut_off = {"control-2", "entry-1/1"}
        self.cluster.push(0, 1, "2")
        leader = self.cluster.control[0]
        answer = leader.ask(operator_messages.ShowInstances())
        self.assertEqual(["control-2"], answer.missing)
        self.timers.advance(lease.MAX_LEASE_SECONDS)
        answer = leader.ask(operator_messages.ShowInstances())
        self.assertEqual([], answer.missing)
        self.assertEqual([2], [n.revision for n in answer.nodes if n.lease > 0])

    def test_lower_revision_is_neither_applied_nor_renewed(self) -> None:
        """A node that applied revision 2 gets an update of revision 1."""
        self.cluster.push(0, 0, "1")
        self.cluster.push(0, 1, "2")
        node = self.cluster.node("entry-1")
        self.timers.advance(2.0)
        before = node.lease.expires
        late = config_messages.ConfigUpdate(1, True, {}, 9.0, self.timers.now())
        node.handle_message(late)
        self.assertEqual((2, before), (node.revision(), node.lease.expires))
        self.assertEqual("2", self.version(node))

    def test_nodes_keep_their_lease_when_the_leader_hangs(self) -> None:
        """The leader hangs and another one is elected 2.3 s later.

        The nodes of all three instances have a lease all the time, so that no
        caller is refused.
        """
        self.cluster.push(0, 0, "1")
        nodes = [self.cluster.node(f"entry-{n}") for n in range(8)]
        for phase in range(10):
            self.timers.advance(10.05 + phase / 10)
            old = self.cluster.log.leader
            self.cluster.network.cut_off = {old}
            self.cluster.log.lag = {old}
            for step in range(120):
                if step == 46:
                    self.cluster.log.elect(
                        "control-1" if old == "control-0" else "control-0"
                    )
                self.timers.advance(0.05)
                held = [node.has_lease() for node in nodes]
                self.assertTrue(all(held), (phase, step, held))
            self.cluster.network.cut_off = set()
            self.cluster.log.heal()

    def test_restarted_node_never_goes_back_to_an_older_revision(self) -> None:
        """A node that applied revision 2 restarts at an instance with 1.

        That instance was unreachable during the push. It cannot reach the
        leader, so it sends no revision. The node has no lease until it reaches
        another instance.
        """
        self.cluster.push(0, 0, "1")
        self.timers.advance(1.0)
        self.cluster.network.cut_off = {"control-2", "entry-1/2"}
        self.cluster.push(0, 1, "2")
        node = self.cluster.node("entry-1", epoch=2)
        self.assertEqual(1, self.cluster.control[2].document().revision)
        seen = set()
        for _ in range(100):
            self.timers.advance(0.05)
            seen.add(node.revision())
        self.assertEqual({0}, seen)
        self.assertFalse(node.has_lease())
        self.cluster.network.cut_off = {"control-2"}
        self.timers.advance(5.0)
        self.assertEqual(2, node.revision())
        self.assertTrue(node.has_lease())

    def test_node_500_revisions_behind_gets_one_update(self) -> None:
        """A node is unreachable during 500 pushes."""
        text = config_links.manifest_text("0", customers=200)
        leader = self.cluster.control[0]
        leader.ask(
            config_messages.PushManifest(0, "first", text, "anna", "test")
        )
        node = self.cluster.node("entry-1")
        self.timers.advance(2.0)
        self.cluster.network.cut_off = {"entry-1/1"}
        self.timers.advance(10.0)
        for number in range(1, 501):
            text = config_links.manifest_text(str(number), customers=200)
            push = config_messages.PushManifest(
                number, f"push-{number}", text, "anna", "test"
            )
            leader.ask(push)
        node.stream.received.clear()
        self.cluster.network.cut_off = set()
        self.timers.advance(5.0)
        self.assertEqual(501, node.revision())
        updates = [
            message
            for message in node.stream.received
            if isinstance(message, config_messages.ConfigUpdate)
            and message.sections
        ]
        self.assertEqual(1, len(updates))
        self.assertEqual(["services/chat"], list(updates[0].sections))

    def test_delayed_grant_does_not_extend_the_lease(self) -> None:
        """A grant of 4 s arrives after 3 s.

        If the lease ran from the arrival of the grant, the node would act on
        it for 3 s after the granter considers it expired. It runs from the
        time of the request instead.
        """
        held = lease.Lease()
        held.renew(10.0, 4.0)
        self.assertEqual(1.0, held.left(13.0))
        held.renew(9.0, 4.0)
        self.assertEqual(1.0, held.left(13.0))

    def test_unreadable_update_is_not_applied_and_not_renewed(self) -> None:
        """A node of an older release gets a manifest of a newer one.

        The node keeps its manifest and refuses new work once its lease
        expires. It never applies a part of a manifest.
        """
        self.cluster.push(0, 0, "1")
        node = self.cluster.node("entry-1")
        self.timers.advance(2.0)
        before = node.lease.expires
        node.handle_message(
            config_messages.ConfigUpdate(
                2,
                False,
                {"services/chat": '{"kind": "new"}', "services/b": ""},
                4.0,
                self.timers.now(),
            )
        )
        self.assertEqual((1, before), (node.revision(), node.lease.expires))
        self.assertEqual("1", self.version(node))

    def test_nodes_of_a_lost_instance_spread_over_the_others(self) -> None:
        addresses = ["a", "b", "c", "d"]
        counts = dict.fromkeys(addresses[:3], 0)
        for number in range(900):
            order = config_stream.rank_addresses(f"node-{number}", addresses)
            if order[0] == "d":
                counts[order[1]] += 1
        total = sum(counts.values())
        self.assertTrue(all(n > total / 5 for n in counts.values()), counts)
