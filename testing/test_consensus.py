"""Tests of the consensus core, most of them with faults in virtual time."""

import collections

import hypothesis
from hypothesis import strategies
import testtools

import explorer
from fakes import core_cluster
from mintcleat.consensus import entries
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import placement
from mintcleat.consensus import records
from mintcleat.consensus import replica
from mintcleat.consensus import roster
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities

SEEDS = range(1, 61)
STEPS = ("write", "read", "cut", "heal", "crash", "restart", "stall", "wait")


def settled() -> core_cluster.Cluster:
    cluster = core_cluster.Cluster(1)
    cluster.run(3.0)
    return cluster


class InstallFrameTest(testtools.TestCase):
    def test_header_and_state_are_the_encoded_frame(self) -> None:
        one = identities.Incarnation("a", 1)
        snapshot = types.SnapshotMetadata(7, 2, types.EMPTY)
        for size in (0, 1, 255, 256, 65_535, 65_536, 200_000):
            message = wire.InstallSnapshot("g", 2, snapshot, bytes(size))
            frame = wire.Frame(one, "a:1", one, [message])
            parts = wire.encode_install(frame)
            self.assertEqual(wire.encode(frame), b"".join(parts))
            self.assertIs(message.state, parts[1])
            self.assertEqual(frame, wire.decode(b"".join(parts)))


class EntryLogTest(testtools.TestCase):
    def test_compacted_entries_are_refused(self) -> None:
        """Entries that a snapshot covers are requested.

        A negative offset would return the newest entries instead, and the
        state machine would apply them in place of the compacted ones.
        """
        log = entries.EntryLog()
        log.reset(5, 1)
        for index in (6, 7, 8):
            log.append(types.Entry(index, 1, types.COMMAND, b"%d" % index))
        self.assertEqual([6, 7], [e.index for e in log.between(6, 7)])
        self.assertRaises(ValueError, log.between, 4, 7)

    def test_empty_range_below_the_base_is_empty(self) -> None:
        """A replica has applied entry 4 and is restoring a snapshot up to 5.

        The range from the first entry of the log, 6, to 4 is empty. With a
        negative offset the log would return entry 6, which was not applied,
        and a check would find the state machine behind its replica.
        """
        log = entries.EntryLog()
        log.reset(5, 1)
        for index in (6, 7):
            log.append(types.Entry(index, 1, types.COMMAND, b"%d" % index))
        self.assertEqual([], log.between(6, 4))


class ScheduleTest(testtools.TestCase):
    def test_fixed_schedules_violate_no_guarantee(self) -> None:
        clusters = [explorer.explore(seed) for seed in SEEDS]
        work = sum(cluster.acknowledged_count for cluster in clusters)
        changes = sum(len(cluster.leaders) for cluster in clusters)
        # The schedules must contain commits and elections to be meaningful.
        self.assertGreater(work, 20 * len(clusters))
        self.assertGreater(changes, 4 * len(clusters))

    def test_same_seed_is_the_same_schedule(self) -> None:
        one, two = explorer.explore(7), explorer.explore(7)
        self.assertEqual(one.history, two.history)

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(STEPS), strategies.integers(0, 3)
            ),
            max_size=40,
        )
    )
    def test_log_holds_the_acknowledged_commands_in_order(
        self, steps: list[tuple[str, int]]
    ) -> None:
        """Compares random runs with a list of the acknowledged commands.

        The replicated log must hold each acknowledged command once, in the
        order of acknowledgement, and no command that was not proposed.
        """
        cluster = settled()
        proposed = []
        for number, (step, which) in enumerate(steps):
            command = b"%d" % number
            if play(cluster, step, core_cluster.NAMES[which], command):
                proposed.append(command)
            cluster.run(0.15)
        explorer.Schedule(cluster).check_recovery()
        log = cluster.commands["g"]
        acknowledged = cluster.acknowledged_commands["g"]
        self.assertEqual(
            acknowledged, [c for c in log if c in set(acknowledged)]
        )
        known = {*proposed, b"last"}
        self.assertEqual([], [c for c in log if c not in known])


def play(
    cluster: core_cluster.Cluster, step: str, name: str, command: bytes
) -> bool:
    node = cluster.nodes[name]
    match step:
        case "write":
            return cluster.write(name, "g", command)
        case "read":
            cluster.read(name, "g")
        case "cut":
            cluster.isolate(name)
        case "heal":
            cluster.blocked.clear()
        case "crash" if node.core is not None:
            node.crash()
        case "restart" if node.core is None:
            node.start()
        case "stall":
            node.stalled_until = cluster.time + 0.7
        case "wait":
            cluster.run(1.0)
    return False


class LeaseTest(testtools.TestCase):
    def test_partitioned_leader_loses_its_lease_before_another_leads(
        self,
    ) -> None:
        """The leader is partitioned, and its frames are silently dropped.

        Its lease must expire before another leader is elected, which takes
        at most two seconds, so that its callers read no stale state. Then it
        steps down.
        """
        cluster = settled()
        old = cluster.leader()
        cluster.isolate(old.name)
        for _ in range(40):
            cluster.run(0.05)
            if cluster.leader() is not old:
                break
        self.assertIsNot(old, cluster.leader())
        self.assertFalse(old.core.replicas["g"].holds_lease(old.now()))
        cluster.run(1.0)
        state = old.core.replicas["g"].state
        self.assertNotEqual(types.LEADER, state.role)

    def test_read_without_a_lease_waits_for_a_quorum(self) -> None:
        cluster = settled()
        leader = cluster.leader()
        leader.core.replicas["g"].state.lease_given_up = True
        cluster.read(leader.name, "g")
        self.assertEqual(1, len(cluster.reads))
        cluster.run(0.1)
        self.assertEqual(0, len(cluster.reads))

    def test_transfer_moves_the_leadership_without_a_timeout(self) -> None:
        cluster = settled()
        leader = cluster.leader()
        other = next(n for n in cluster.voters() if n is not leader)
        replica = leader.core.replicas["g"]
        replica.transfer(other.identity, leader.now())
        leader.work()
        self.assertFalse(cluster.write(leader.name, "g", b"late"))
        cluster.run(0.1)
        self.assertIs(other, cluster.leader())


class SplitVoteTest(testtools.TestCase):
    def test_slow_votes_are_not_split_again_and_again(self) -> None:
        # Guards against seconds without a leader on a slow machine.
        for seed in range(40):
            self.assertLessEqual(self.elections(seed), 1, seed)

    def elections(self, seed: int) -> int:
        """Returns the terms until the survivors of three voters have a leader.

        Each message takes 0.2 s, so that a round of votes takes as long as the
        random part of the election timeout.
        """
        cluster = core_cluster.Cluster(seed)
        cluster.run(6.0)
        for source in core_cluster.NAMES:
            for target in core_cluster.NAMES:
                cluster.extra_delay[source, target] = 0.2
        cluster.run(1.0)
        lost = cluster.leader()
        term = lost.core.replicas["g"].state.term
        lost.crash()
        for _ in range(1_000):
            cluster.run(0.02)
            leading = [
                node.core.replicas["g"].state
                for node in cluster.nodes.values()
                if node.core is not None
            ]
            terms = [
                state.term for state in leading if state.role == types.LEADER
            ]
            if terms:
                return max(terms) - term
        raise AssertionError(f"no leader in 20 s, seed {seed}")


class CommitTest(testtools.TestCase):
    def test_majority_for_an_entry_of_an_earlier_term_commits_nothing(
        self,
    ) -> None:
        """A new leader finds an entry of an earlier term on a majority.

        A replica with an entry of a later term could still overwrite it, so
        it is committed only together with an entry of the leader's own term.
        """
        me, other = (identities.Incarnation(name, 1) for name in ("c1", "c2"))
        voters = [
            types.Peer(identities.Incarnation(name, 1), name, name, "r")
            for name in ("c1", "c2", "c3")
        ]
        data = records.encode_configuration(types.Configuration(voters, []))
        entries = [
            types.Entry(1, 1, types.CONFIGURATION, data),
            types.Entry(2, 2, types.COMMAND, b"x"),
        ]
        items = [records.vote("g", 2, other), records.entries("g", entries)]
        found = replica.Replica(
            "g",
            me,
            types.Settings(),
            lambda: 0.0,
            outbox.Outbox(),
            stored=records.replay(items)["g"],
            now=0.0,
        )
        found.tick(10.0)
        found.step(other, wire.PreVoteReply("g", 3, True), 10.0)
        found.step(other, wire.VoteReply("g", 3, True), 10.0)
        found.on_synced()
        found.step(other, wire.AppendReply("g", 3, True, 2), 10.0)
        self.assertEqual((types.LEADER, 0), _role_and_commit(found))
        found.step(other, wire.AppendReply("g", 3, True, 3), 10.0)
        self.assertEqual((types.LEADER, 3), _role_and_commit(found))

    def test_learner_that_lacks_entries_is_not_promoted(self) -> None:
        cluster = settled()
        leader = cluster.leader()
        silent = next(n for n in cluster.voters() if n is not leader)
        cluster.isolate(silent.name)
        state = leader.core.replicas["g"].state
        while not state.configuration.learners:
            cluster.run(0.05)
        cluster.isolate(state.configuration.learners[0].replica.instance)
        cluster.run(1.0)
        self.assertEqual(1, len(state.configuration.learners))
        self.assertIn(silent, cluster.voters())

    def test_entries_proposed_at_the_in_flight_limit_share_a_message(
        self,
    ) -> None:
        # While `max_in_flight` messages lack a reply, new entries must be
        # batched. Sent one by one at hundreds of commits per second, each
        # would wake every voter and then the leader.
        cluster = settled()
        leader = cluster.leader()
        core, state = leader.core, leader.core.replicas["g"].state
        follower = min(state.progress)
        state.settings = types.Settings()
        core.outbox.take()

        def appends() -> list[wire.Append]:
            core.flush(leader.now())
            box = core.outbox.take()
            return [
                item.message
                for item in (*box.messages, *box.messages_after_sync)
                if item.to == follower and isinstance(item.message, wire.Append)
            ]

        sent = []
        for number in range(50):
            core.replicas["g"].propose(b"%d" % number, leader.now())
            sent += appends()
        self.assertEqual([1, 1], [len(found.entries) for found in sent])
        last = sent[0].entries[-1].index
        reply = wire.AppendReply("g", state.term, True, last)
        core.step(follower, reply, leader.now())
        self.assertEqual([48], [len(found.entries) for found in appends()])


def _role_and_commit(found: replica.Replica) -> tuple[str, int]:
    return found.state.role, found.state.commit


class HeartbeatTest(testtools.TestCase):
    def test_idle_groups_share_one_small_heartbeat(self) -> None:
        cluster = settled()
        leader = cluster.leader()
        leader.core.outbox.take()
        leader.core.tick(leader.now() + 0.2)
        beats = [
            item
            for item in leader.core.outbox.messages
            if isinstance(item.message, wire.Heartbeat)
        ]
        targets = [item.to for item in beats]
        self.assertEqual(len(set(targets)), len(targets))
        self.assertEqual({None}, {b.message.groups for b in beats})

    def test_frame_for_another_incarnation_is_dropped(self) -> None:
        cluster = settled()
        node = cluster.leader()
        other_incarnation = node.identity._replace(epoch=99)
        vote = wire.VoteRequest("g", 1000, 1000, 1000, True)
        other = identities.Incarnation("c9", 1)
        frame = wire.Frame(other, "c9", other_incarnation, [vote])
        node.core.receive(frame, node.now())
        self.assertLess(node.core.replicas["g"].state.term, 1000)

    def test_invalid_frame_is_a_typed_error(self) -> None:
        for data in (b"", b"\xc1", b"\x90", b"\x94\x01\x02\x03\x04"):
            self.assertRaises(errors.BadRequest, wire.decode, data)


class RecordsTest(testtools.TestCase):
    def test_later_entries_replace_from_their_first_index(self) -> None:
        entries = [types.Entry(i, 1, types.COMMAND, b"a") for i in (1, 2, 3)]
        newer = types.Entry(2, 2, types.COMMAND, b"b")
        snapshot = types.SnapshotMetadata(1, 1, types.EMPTY)
        stored = records.replay(
            [
                records.entries("g", entries),
                records.snapshot("g", snapshot),
                records.vote("g", 2, identities.Incarnation("c1", 1)),
                records.entries("g", [newer]),
            ]
        )["g"]
        self.assertEqual([newer], stored.log.entries)
        self.assertEqual((1, 2), (stored.log.base_index, stored.term))


class PlacementTest(testtools.TestCase):
    members = [
        types.Member(f"c{n}", f"a{n}", f"d{n % 3}", "r") for n in range(9)
    ]

    def test_voters_are_in_different_failure_domains(self) -> None:
        for number in range(50):
            chosen = placement.voters(f"g{number}", self.members, 3)
            self.assertEqual(3, len({m.failure_domain for m in chosen}))

    def test_groups_spread_over_the_members(self) -> None:
        count = collections.Counter(
            member.instance
            for number in range(300)
            for member in placement.voters(f"g{number}", self.members, 3)
        )
        self.assertEqual(9, len(count))
        self.assertLess(max(count.values()), 2 * min(count.values()))

    def test_instance_with_an_emptied_disk_bootstraps_no_known_group(
        self,
    ) -> None:
        """The bootstrapping instance's disk is emptied; others know the group.

        Bootstrapping it again would create a second group of the same name
        without the commits of the first.
        """
        members = self.members[:3]
        founder, second, third = placement.voters("g", members, 3)
        me = identities.Incarnation(founder.instance, 2)
        found = roster.Roster(me, members)
        for name, groups in ((second.instance, ["g"]), (third.instance, [])):
            sender = identities.Incarnation(name, 1)
            found.on_frame(sender, name, 5.0)
            found.on_known_groups(sender, wire.KnownGroups(groups), 5.0)
        self.assertIsNone(found.initial_configuration("g", 3, 0.0))
        known = wire.KnownGroups([])
        found.on_known_groups(
            identities.Incarnation(second.instance, 1), known, 5.0
        )
        self.assertIsNotNone(found.initial_configuration("g", 3, 0.0))


class OutboxTest(testtools.TestCase):
    def test_take_leaves_the_outbox_empty(self) -> None:
        box = outbox.Outbox()
        box.records.append(b"x")
        self.assertEqual([b"x"], box.take().records)
        self.assertTrue(box.is_empty())
