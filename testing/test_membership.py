"""How entries hear of upstreams that join, leave, restart or flap."""

import itertools

from testing.fakes import config_links
import testtools

from mintcleat.configuration import lease
from mintcleat.configuration import members
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.roles import follower

# Entries shall hear of joins and leaves within this time.
HEARD = 2.0


class Sidecar:
    """A sidecar's announcement, whose state a test changes."""

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

    def say(self, state: str) -> None:
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
        self.timers.advance(HEARD)

    def names(self, entry: follower.Follower, state: str) -> list[str]:
        return [
            item.sidecar.instance
            for item in entry.members("chat")
            if item.state == state
        ]

    def last_work(self, name: str, seconds: float) -> float:
        """Returns when an entry last gave work to an upstream, from now.

        Each entry gives new work to each ready upstream all the time.
        """
        begin = self.timers.now()
        last = 0.0
        while self.timers.now() < begin + seconds:
            self.timers.advance(0.05)
            if any(name in self.names(e, "ready") for e in self.entries):
                last = self.timers.now() - begin
        return last

    def test_every_entry_hears_of_every_join(self) -> None:
        for entry in self.entries:
            self.assertEqual(12, len(self.names(entry, "ready")))

    def test_leaving_upstream_gets_no_new_work_after_two_seconds(self) -> None:
        """A sidecar announces that it drains, while all entries send work.

        The sidecar refuses from this moment; the entries choose others
        within 0.7 s of virtual time, over relays and the leader.
        """
        self.sidecars[0].say("draining")
        self.assertTrue(self.last_work("sidecar-0", 10.0) <= 0.7)

    def test_dead_upstream_is_dropped_after_its_lease(self) -> None:
        """A sidecar dies without a word; its last work is at 4.8 s or less.

        Until then entries that choose it get an error at once and choose
        another; after it they do not choose it any more.
        """
        self.sidecars[0].node.stop()
        self.cluster.network.cut_off = {"sidecar-0/1"}
        last = self.last_work("sidecar-0", 10.0)
        self.assertTrue(last <= lease.MEMBER_LEASE + 0.8, last)
        self.assertEqual(11, len(self.names(self.entries[0], "ready")))

    def test_drained_failure_domain_gets_no_new_work(self) -> None:
        """The operator drains a failure domain, then ends it."""
        leader = self.cluster.control[0]
        drain = operator_messages.DrainScope(
            "failure_domain", "hall-a", True, "anna", "test"
        )
        leader.ask(drain)
        self.assertTrue(self.last_work("sidecar-1", 5.0) <= 0.7)
        self.assertEqual(12, len(self.names(self.entries[0], "draining")))
        node = self.sidecars[1].node
        self.assertTrue(node.is_draining("sidecar-1", "hall-a"))
        leader.ask(drain._replace(drain=False))
        self.timers.advance(HEARD)
        self.assertEqual(12, len(self.names(self.entries[0], "ready")))

    def test_failover_hides_no_upstream(self) -> None:
        """The config leader is lost; the new one has heard of few upstreams.

        Callers see nothing: no entry drops an upstream meanwhile.
        """
        self.cluster.network.cut_off = {"control-0"}
        self.cluster.log.lag = {"control-0"}
        self.cluster.log.elect("control-1")
        for _ in range(300):
            self.timers.advance(0.05)
            for entry in self.entries:
                self.assertEqual(12, len(self.names(entry, "ready")))

    def test_restart_of_a_sidecar_is_no_duplicate(self) -> None:
        self.sidecars[0].node.stop()
        Sidecar(self.cluster, "sidecar-0", 2)
        self.timers.advance(HEARD)
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

    def test_two_processes_with_one_name_are_told_apart(self) -> None:
        """A second process starts with the name of a live sidecar.

        Entries send to the newer one only. The older one learns that it is
        a duplicate, and operators see both in the list.
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

    def test_duplicate_at_one_control_instance_is_told_apart(self) -> None:
        """Both processes announce themselves to the leader itself."""
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

    def test_upstream_missing_from_a_first_list_is_kept_for_a_while(
        self,
    ) -> None:
        """All control instances restarted; the first list is incomplete.

        The entry keeps what it knew for 4 s, so that sidecars can announce
        themselves again; it does not refuse calls for want of an upstream.
        """
        entry = self.entries[0]
        entry.stream.stop()
        entry.take(member_messages.MembersUpdate(True, [], []))
        self.timers.advance(lease.MEMBER_LEASE - 1.0)
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

    def test_storm_of_registrations_reaches_a_node_as_few_messages(
        self,
    ) -> None:
        """Sixty sidecars announce themselves in the same moment."""
        entry = self.entries[0]
        entry.stream.received.clear()
        for number in range(60):
            Sidecar(self.cluster, f"new-{number}")
        self.timers.advance(HEARD)
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

    def test_older_counter_does_not_undo_a_newer_one(self) -> None:
        """A sidecar moved; the old relay's copy arrives after the new one."""
        table = members.Table()
        self.announce(table, "a", 5, "draining")
        old = table.view["a"]._replace(counter=4, state="ready")
        table.relay(
            "other", member_messages.MembersUpdate(True, [old], []), 0.0
        )
        self.assertEqual("draining", table.view["a"].state)

    def test_renewal_alone_is_no_change(self) -> None:
        table = members.Table()
        self.announce(table, "a", 1, "ready")
        version = table.version
        self.announce(table, "a", 2, "ready")
        self.assertEqual(version, table.version)

    def test_delta_names_changes_and_removals_since_a_version(self) -> None:
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

    def test_removal_of_an_old_life_spares_the_new_one(self) -> None:
        cluster = config_links.Cluster(1)
        node = cluster.node("entry-1")
        table = members.Table()
        item = self.announce(table, "a", 1, "ready")
        newer = item._replace(sidecar=identities.Incarnation("a", 2))
        node.take(member_messages.MembersUpdate(True, [newer], []))
        node.take(member_messages.MembersUpdate(False, [], [item.sidecar]))
        self.assertEqual([newer], node.members("s"))
