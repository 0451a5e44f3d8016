"""How entries learn of upstreams that join, leave, restart or flap."""

import itertools

from testing.fakes import config_links
import testtools

from mintcleat.configuration import lease
from mintcleat.configuration import members
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.roles import follower

# Seconds within which entries must know of joins and leaves.
PROPAGATION = 2.0


class Sidecar:
    """A sidecar that announces a state which the test sets."""

    def __init__(
        self, cluster: config_links.Cluster, name: str, epoch: int = 1
    ) -> None:
        self.state = "ready"
        self.epoch = epoch
        self.name = name
        self.counters = itertools.count(1)
        self.node = cluster.node(name, epoch, announcer=self.announcement)

    def announcement(self) -> member_messages.Announcement:
        return member_messages.Announcement(
            identities.Incarnation(self.name, self.epoch),
            next(self.counters),
            f"{self.name}/{self.epoch}",
            "chat",
            "model",
            "gulf-south",
            "hall-a",
            8,
            self.state,
            True,
            True,
            True,
            True,
        )

    def set_state(self, state: str) -> None:
        self.state = state
        self.node.announce()


class MembershipTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = config_links.Cluster(3)
        self.timers = self.cluster.timers
        self.cluster.push(0, 0, "1")
        self.entries = [self.cluster.node(f"entry-{n}") for n in range(6)]
        self.sidecars = [
            Sidecar(self.cluster, f"sidecar-{n}") for n in range(12)
        ]
        self.timers.advance(PROPAGATION)

    def names(self, entry: follower.Follower, state: str) -> list[str]:
        return [
            item.sidecar.instance
            for item in entry.members("chat")
            if item.state == state
        ]

    def last_choice(self, name: str, seconds: float) -> float:
        """Returns when an entry last considered an upstream ready.

        Entries send new work to each upstream that they consider ready.

        Args:
            name: The upstream.
            seconds: Time to watch from now on.

        Returns:
            Seconds from now; 0 if no entry did.
        """
        begin = self.timers.now()
        last = 0.0
        while self.timers.now() < begin + seconds:
            self.timers.advance(0.05)
            if any(name in self.names(e, "ready") for e in self.entries):
                last = self.timers.now() - begin
        return last

    def test_every_entry_learns_of_every_join(self) -> None:
        for entry in self.entries:
            self.assertEqual(12, len(self.names(entry, "ready")))

    def test_leaving_upstream_gets_no_new_work_after_two_seconds(self) -> None:
        """A sidecar announces that it drains while all entries send work.

        The sidecar refuses calls from then on. The news goes over a relay, the
        leader and other relays; it must reach all entries within 0.7 s of
        virtual time.
        """
        self.sidecars[0].set_state("draining")
        self.assertTrue(self.last_choice("sidecar-0", 10.0) <= 0.7)

    def test_dead_upstream_is_dropped_after_its_lease(self) -> None:
        """A sidecar dies without announcing that it leaves.

        Entries may choose it until its lease and 0.8 s are over. Until then
        they get an error at once and choose another upstream.
        """
        self.sidecars[0].node.stop()
        self.cluster.network.cut_off = {"sidecar-0/1"}
        last = self.last_choice("sidecar-0", 10.0)
        self.assertTrue(last <= lease.MEMBER_LEASE_SECONDS + 0.8, last)
        self.assertEqual(11, len(self.names(self.entries[0], "ready")))

    def test_drained_failure_domain_gets_no_new_work(self) -> None:
        """An operator drains a failure domain, then ends the drain."""
        leader = self.cluster.control[0]
        drain = operator_messages.DrainScope(
            "failure_domain", "hall-a", True, "anna", "test"
        )
        leader.ask(drain)
        self.assertTrue(self.last_choice("sidecar-1", 5.0) <= 0.7)
        self.assertEqual(12, len(self.names(self.entries[0], "draining")))
        node = self.sidecars[1].node
        self.assertTrue(node.is_draining("sidecar-1", "hall-a"))
        leader.ask(drain._replace(drain=False))
        self.timers.advance(PROPAGATION)
        self.assertEqual(12, len(self.names(self.entries[0], "ready")))

    def test_failover_of_the_config_leader_drops_no_upstream(self) -> None:
        """The config leader is lost; its successor knows few upstreams yet.

        No entry may drop an upstream because of that.
        """
        self.cluster.network.cut_off = {"control-0"}
        self.cluster.log.lag = {"control-0"}
        self.cluster.log.elect("control-1")
        for _ in range(300):
            self.timers.advance(0.05)
            for entry in self.entries:
                self.assertEqual(12, len(self.names(entry, "ready")))

    def test_restarted_sidecar_is_not_reported_as_duplicate(self) -> None:
        self.sidecars[0].node.stop()
        Sidecar(self.cluster, "sidecar-0", 2)
        self.timers.advance(PROPAGATION)
        held = {
            item.sidecar.epoch
            for entry in self.entries
            for item in entry.members("chat")
            if item.sidecar.instance == "sidecar-0"
        }
        self.assertEqual({2}, held)
        self.timers.advance(10.0)
        view = self.view("sidecar-0")
        self.assertEqual(([], 2), (view.duplicates, view.starts))

    def test_second_process_with_the_same_name_is_detected(self) -> None:
        """A second process starts with the name of a live sidecar.

        Entries must use the newer one only, the older one must learn that it
        is a duplicate, and operators must see both.
        """
        Sidecar(self.cluster, "sidecar-0", 2)
        self.timers.advance(10.0)
        self.assertTrue(self.sidecars[0].node.duplicate)
        view = self.view("sidecar-0")
        self.assertEqual(2, view.announcement.sidecar.epoch)
        self.assertEqual(
            [identities.Incarnation("sidecar-0", 1)], view.duplicates
        )
        for entry in self.entries:
            self.assertEqual(12, len(entry.members("chat")))

    def test_duplicate_at_the_same_control_instance_is_detected(self) -> None:
        """Both processes announce themselves directly to the leader."""
        self.cluster = config_links.Cluster(1)
        self.timers = self.cluster.timers
        older = Sidecar(self.cluster, "twin", 1)
        self.timers.advance(3.0)
        Sidecar(self.cluster, "twin", 2)
        self.timers.advance(3.0)
        self.assertTrue(older.node.duplicate)
        answer = self.cluster.control[0].ask(operator_messages.ShowUpstreams())
        self.assertEqual(
            [identities.Incarnation("twin", 1)], answer.upstreams[0].duplicates
        )

    def test_upstream_missing_from_a_full_list_is_kept_for_a_lease(
        self,
    ) -> None:
        """All control instances restarted, so their first list is incomplete.

        The entry must keep the upstreams for 4 s, until their sidecars have
        announced themselves again. Otherwise it would refuse calls for lack of
        upstreams.
        """
        entry = self.entries[0]
        entry.stream.stop()
        entry.handle_message(member_messages.MembersUpdate(True, [], []))
        self.timers.advance(lease.MEMBER_LEASE_SECONDS - 1.0)
        self.assertEqual(12, len(entry.members("chat")))
        self.timers.advance(2.0)
        self.assertEqual([], entry.members("chat"))

    def view(self, name: str) -> operator_messages.UpstreamView:
        answer = self.cluster.control[1].ask(operator_messages.ShowUpstreams())
        return next(
            item
            for item in answer.upstreams
            if item.announcement.sidecar.instance == name
        )

    def test_simultaneous_announcements_are_sent_in_few_messages(
        self,
    ) -> None:
        """Sixty sidecars announce themselves at the same time."""
        entry = self.entries[0]
        entry.stream.received.clear()
        for number in range(60):
            Sidecar(self.cluster, f"new-{number}")
        self.timers.advance(PROPAGATION)
        updates = [
            message
            for message in entry.stream.received
            if isinstance(message, member_messages.MembersUpdate)
        ]
        self.assertEqual(72, len(entry.members("chat")))
        self.assertTrue(len(updates) <= 8, len(updates))


class TableTest(testtools.TestCase):
    def announce(
        self, table: members.Table, name: str, counter: int, state: str
    ) -> member_messages.Announcement:
        item = member_messages.Announcement(
            identities.Incarnation(name, 1), counter, "a", "s", "plain", "r",
            "d", 1, state, False, False, False, False,
        )  # fmt: skip
        table.announce(item, 0.0)
        return item

    def test_announcement_with_a_lower_counter_is_ignored(self) -> None:
        """A sidecar moved to another control instance.

        The announcement relayed by the former one arrives after the newer
        one.
        """
        table = members.Table()
        self.announce(table, "a", 5, "draining")
        old = table.view["a"]._replace(counter=4, state="ready")
        table.apply_update(
            "other", member_messages.MembersUpdate(True, [old], []), 0.0
        )
        self.assertEqual("draining", table.view["a"].state)

    def test_announcement_expires_with_the_lease_that_its_sidecar_is_told(
        self,
    ) -> None:
        # Guards against upstreams that leave between two renewals, or stay
        # long after their end, where the settings name another lease.
        for seconds in (2.0, 10.0):
            times = lease.DEFAULT._replace(member_lease=seconds)
            table = members.Table(times)
            item = self.announce(table, "a", 1, "ready")
            table.renew(item.sidecar, 1.0)
            table.expire(1.0 + seconds - 0.1)
            self.assertIn("a", table.view)
            table.expire(1.0 + seconds + 0.1)
            self.assertNotIn("a", table.view)

    def test_renewal_without_a_change_keeps_the_version(self) -> None:
        table = members.Table()
        self.announce(table, "a", 1, "ready")
        version = table.version
        self.announce(table, "a", 2, "ready")
        self.assertEqual(version, table.version)

    def test_delta_has_changes_and_removals_since_a_version(self) -> None:
        table = members.Table()
        self.announce(table, "a", 1, "ready")
        self.announce(table, "b", 1, "ready")
        version = table.version
        table.expire(100.0)
        item = self.announce(table, "c", 1, "ready")
        update = table.update_since(version)
        self.assertEqual((False, [item]), (update.whole, update.members))
        self.assertEqual(
            ["a", "b"], sorted(gone.instance for gone in update.gone)
        )

    def test_removal_of_an_old_incarnation_keeps_the_new_one(self) -> None:
        cluster = config_links.Cluster(1)
        node = cluster.node("entry-1")
        table = members.Table()
        item = self.announce(table, "a", 1, "ready")
        newer = item._replace(sidecar=identities.Incarnation("a", 2))
        node.handle_message(member_messages.MembersUpdate(True, [newer], []))
        node.handle_message(
            member_messages.MembersUpdate(False, [], [item.sidecar])
        )
        self.assertEqual([newer], node.members("s"))
