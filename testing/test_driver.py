"""The driver of one replica in virtual time, mostly with a slow disk."""

import fcntl
import pathlib
import random
import shutil
import tempfile
from typing import Any

import eventlet
from testing.fakes import virtual_disk
from testing.fakes import virtual_time
import testtools
from testtools import matchers

from mintcleat.adapters import wal
from mintcleat.consensus import messages as wire
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.roles.control.replication import driver as replication_driver
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import usage

LEADER = identities.Incarnation("c1", 1)
FOLLOWER = identities.Incarnation("c2", 1)
MEMBERS = [
    types.Member(name, f"{name}:1", name, "r") for name in ("c1", "c2", "c3")
]
VOTERS = types.Configuration(
    [
        types.Peer(identities.Incarnation(n, 1), f"{n}:1", n, "r")
        for n in ("c1", "c2", "c3")
    ],
    [],
)


class RecordingMachine:
    """A state machine that records every command."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        self.commands.append(command)
        return len(self.commands)

    def snapshot_parts(self) -> list[bytes]:
        return [b" ".join(self.commands)]

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b" ")


class RecordingLinks:
    """Links that record the sent messages and deliver none."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, address: str, payload: bytes) -> None:
        self.sent.extend(wire.decode(payload).messages)

    def peer_seen(self, address: str) -> None:
        """Opens no connection."""

    bulk_bytes = 0

    def queued_bytes(self) -> int:
        """Returns 0, as nothing is queued."""
        return 0


class Follower:
    """A follower's driver on a disk that can stall.

    `take` delivers messages from its leader.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        disk: virtual_disk.VirtualDisk | None = None,
        identity: identities.Incarnation = FOLLOWER,
    ) -> None:
        rng = random.Random(1)
        self.process = process = virtual_time.VirtualProcess()
        self.disk = disk or virtual_disk.VirtualDisk(folder, rng)
        self.disk.process = process
        self.machine = RecordingMachine()
        self.events: list[Any] = []
        self.links = RecordingLinks()
        self.driver = replication_driver.Driver(
            identity,
            "c2:1",
            MEMBERS,
            wal.FileWal(folder / "log", self.disk),
            {"g": self.machine},
            links=self.links,
            timers=virtual_time.ProcessTimers(process, rng, 0.0),
            options=replication_driver.Options(
                core=types.Settings(founder=False), seed=1
            ),
            worker=virtual_disk.VirtualDiskWorker(process),
            events=self,
        )

    def emit(self, event: Any) -> None:
        self.events.append(event)

    def take(self, *messages: Any) -> None:
        frame = wire.Frame(LEADER, "c1:1", FOLLOWER, list(messages))
        self.driver.receive(wire.encode(frame))
        eventlet.sleep(0.001)

    def lose_power(self) -> None:
        self.process.kill()
        fcntl.flock(self.driver.wal.lock, fcntl.LOCK_UN)
        self.disk.lose_power(content_only=True)

    def append(self, first: int, last: int, commit: int) -> None:
        """Delivers entries `first` to `last`, all of term 1."""
        entries = [entry(index) for index in range(first, last + 1)]
        before = min(first - 1, 1)
        self.take(wire.Append("g", 1, first - 1, before, entries, commit))


def entry(index: int) -> types.Entry:
    if index == 1:
        data = records.encode_configuration(VOTERS)
        return types.Entry(1, 1, types.CONFIGURATION, data)
    return types.Entry(index, 1, types.COMMAND, b"%d" % index)


class NoStreams:
    """Streams without any listening peer."""

    def handle(self, kind: type, handler: Any) -> None:
        """Ignores the handler."""

    def open(self, address: str, message: Any) -> Any:
        raise errors.StreamClosed("No peer is listening.")


class LeaderTest(testtools.TestCase):
    """Base of tests of a leader."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def elected(self) -> replication.GroupLog:
        """Returns a new leader's log with a committed, unapplied command.

        One frame gives it the lease and commits the first entry of its term.
        The driver applies what that commits in the next turn of the event
        loop.
        """
        process = virtual_time.VirtualProcess()
        rng = random.Random(1)
        disk = virtual_disk.VirtualDisk(self.folder, rng)
        log = replication.GroupLog(
            FOLLOWER,
            "c2:1",
            MEMBERS,
            wal.FileWal(self.folder / "log", disk),
            ["g"],
            streams=NoStreams(),
            timers=virtual_time.ProcessTimers(process, rng, 0.0),
            options=replication.Options(
                core=types.Settings(founder=False), seed=1
            ),
            worker=virtual_disk.VirtualDiskWorker(process),
        )
        self.machine = RecordingMachine()
        log.attach("g", self.machine)
        log.start()

        def take(*messages: Any) -> None:
            frame = wire.Frame(LEADER, "c1:1", FOLLOWER, list(messages))
            log.driver.receive(wire.encode(frame))

        entries = [entry(1), entry(2)]
        take(wire.Append("g", 1, 0, 0, entries, 1))
        state = log.driver.core.replicas["g"].state
        while state.role != types.PRE_CANDIDATE:
            eventlet.sleep(0.01)
        take(wire.PreVoteReply("g", 2, True))
        eventlet.sleep(0.05)
        take(wire.VoteReply("g", 2, True))
        eventlet.sleep(0.05)
        version = log.driver.core.outgoing[LEADER].version
        now = log.timers.now()
        take(
            wire.HeartbeatReply(FOLLOWER.epoch, version, now, True, []),
            wire.AppendReply("g", 2, True, 3),
        )
        return log


class ElectedTest(LeaderTest):
    def test_new_leader_answers_only_once_it_has_applied(self) -> None:
        """A former leader is elected again after another instance led.

        The other leader acknowledged a change, which this replica holds in
        its log but has not applied. Its state machine still holds its old
        leader epoch. Green threads that run between the message that commits
        its first entry and the loop's next turn must not find it leading in
        that epoch, or they would answer from stale state.
        """

        def play() -> list[tuple[bool, list[bytes]]]:
            log = self.elected()
            found = [(log.leads("g"), list(self.machine.commands))]
            eventlet.sleep(0.01)
            found.append((log.leads("g"), list(self.machine.commands)))
            return found

        self.assertEqual([(False, []), (True, [b"2"])], virtual_time.run(play))


class EventTest(testtools.TestCase):
    def test_past_changes_of_voters_are_not_reported_again(self) -> None:
        """At a start only the newest of the old changes is reported.

        Otherwise each voter would repeat the group's whole history in the
        event log at each start, in one case eight lines per voter.
        """
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)

        def play() -> list[int]:
            follower = Follower(folder)
            data = records.encode_configuration(VOTERS)
            entries = [
                types.Entry(index, 1, types.CONFIGURATION, data)
                for index in range(1, 6)
            ]
            follower.take(wire.Append("g", 1, 0, 0, entries, 5))
            eventlet.sleep(0.5)
            later = types.Entry(6, 1, types.CONFIGURATION, data)
            follower.take(wire.Append("g", 1, 5, 1, [later], 6))
            eventlet.sleep(0.5)
            return [
                event.index
                for event in follower.events
                if isinstance(event, control_events.VotersChanged)
            ]

        self.assertEqual([5, 6], virtual_time.run(play))


class QuietSyncTest(LeaderTest):
    """Syncs of a leader that wake up nobody."""

    def leading(self) -> replication.GroupLog:
        """Returns a leader's log without timers."""
        log = self.elected()
        eventlet.sleep(0.5)
        log.ticker.cancel()
        return log

    def reply(self, log: replication.GroupLog, last: int) -> None:
        """Delivers a follower's reply that it holds entries up to `last`."""
        reply = wire.AppendReply("g", 2, True, last)
        frame = wire.Frame(LEADER, "c1:1", FOLLOWER, [reply])
        log.driver.receive(wire.encode(frame))

    def propose(
        self, log: replication.GroupLog, command: bytes, done: list[Any]
    ) -> None:
        eventlet.spawn(lambda: done.append(log.propose("g", command, 9.0)))
        eventlet.sleep(0.001)

    def test_reply_after_the_sync_commits(self) -> None:
        def play() -> tuple[int, int]:
            log = self.leading()
            done: list[Any] = []
            self.propose(log, b"a", done)
            eventlet.sleep(0.1)
            before = len(done)
            self.reply(log, 4)
            eventlet.sleep(0.001)
            return before, len(done)

        self.assertEqual((0, 1), virtual_time.run(play))

    def test_sync_after_the_reply_commits(self) -> None:
        # The caller would otherwise wait for the next heartbeat's reply.
        def play() -> int:
            log = self.leading()
            log.wal.disk.sync_seconds = 0.04
            done: list[Any] = []
            self.propose(log, b"a", done)
            self.reply(log, 4)
            eventlet.sleep(0.1)
            return len(done)

        self.assertEqual(1, virtual_time.run(play))

    def test_reply_before_the_entry_is_written_here_commits(self) -> None:
        # An entry is sent to the followers while the disk is busy with the
        # previous one. With the third voter down, no further reply follows.
        def play() -> int:
            log = self.leading()
            log.wal.disk.sync_seconds = 0.04
            done: list[Any] = []
            self.propose(log, b"a", done)
            self.propose(log, b"b", done)
            self.reply(log, 5)
            eventlet.sleep(0.2)
            return len(done)

        self.assertEqual(2, virtual_time.run(play))


class LaterIncarnationTest(testtools.TestCase):
    """Peers address a later incarnation than that of the disk."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def follower(self, name: str, epoch: int) -> Follower:
        folder = self.folder / name
        folder.mkdir()
        return Follower(folder, identity=FOLLOWER._replace(epoch=epoch))

    def name_later(self, follower: Follower, *messages: Any) -> None:
        later = FOLLOWER._replace(epoch=99)
        frame = wire.Frame(LEADER, "c1:1", later, list(messages))
        follower.driver.receive(wire.encode(frame))

    def test_empty_disks_get_different_identities(self) -> None:
        # Guards against the identity of a disk that was lost with its votes,
        # and that the peer which names an earlier one doesn't know.
        def body() -> None:
            found = set()
            for epoch in (5, 6):
                follower = self.follower(f"{epoch}", epoch)
                append = wire.Append("g", 1, 0, 0, [entry(1)], 1)
                self.name_later(follower, append)
                driver = follower.driver
                self.assertIsNone(driver.failed)
                self.assertGreater(driver.core.me.epoch, 99)
                self.assertEqual([], driver.core.known_groups())
                self.assertNotIn(driver.core.me, found)
                found.add(driver.core.me)

        virtual_time.run(body)

    def test_frames_that_come_while_the_identity_is_written_change_nothing(
        self,
    ) -> None:
        # Guards against a second identity, and a vote under the former one.
        def body() -> None:
            follower = self.follower("c2", 5)
            driver = follower.driver
            renew = driver.wal.renew
            renewed = []

            def renew_slowly(identity: identities.Incarnation) -> None:
                renewed.append(identity)
                vote = wire.VoteRequest("g", 9, 0, 0)
                own = FOLLOWER._replace(epoch=5)
                frame = wire.Frame(LEADER, "c1:1", own, [vote])
                driver.receive(wire.encode(frame))
                self.name_later(follower)
                driver.tick()
                renew(identity)

            driver.wal.renew = renew_slowly
            self.name_later(follower)
            self.assertEqual([driver.core.me], renewed)
            self.assertEqual([], driver.core.known_groups())
            self.assertIsNone(driver.failed)

        virtual_time.run(body)

    def test_disk_with_entries_keeps_its_identity_and_stops(self) -> None:
        # Guards against a disk that forgets what it has promised.
        def body() -> None:
            follower = self.follower("c2", FOLLOWER.epoch)
            follower.append(1, 2, 2)
            self.name_later(follower)
            self.assertEqual(FOLLOWER, follower.driver.core.me)
            self.assertIsInstance(
                follower.driver.failed, errors.InvalidSettings
            )

        virtual_time.run(body)


class SlowDiskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def test_snapshot_behind_a_slow_disk_loses_no_command(self) -> None:
        """A snapshot arrives while the disk stalls, then newer entries.

        Committed entries 2 and 3 wait for the disk. The leader has compacted
        4 and 5, so it sends a snapshot up to 5, then entries 6 and 7. If 6
        and 7 were applied before the snapshot is restored, it would overwrite
        their effects while the replica counts them as applied, and
        acknowledged commands would be lost.
        """

        def play() -> tuple[int, list[bytes]]:
            follower = Follower(self.folder)
            follower.append(1, 1, 1)
            eventlet.sleep(1.0)
            follower.disk.stalled = True
            follower.append(2, 3, 3)
            snapshot = types.SnapshotMetadata(5, 1, VOTERS)
            follower.take(wire.InstallSnapshot("g", 1, snapshot, b"2 3 4 5"))
            follower.append(6, 7, 7)
            eventlet.sleep(1.0)
            follower.disk.stalled = False
            eventlet.sleep(1.0)
            state = follower.driver.core.replicas["g"].state
            return state.applied, follower.machine.commands

        applied, commands = virtual_time.run(play)
        self.assertEqual(7, applied)
        self.assertEqual([b"2", b"3", b"4", b"5", b"6", b"7"], commands)

    def test_memory_usage_counts_what_waits_for_a_slow_disk(self) -> None:
        """Effects queue up in memory while the disk stalls.

        If the process runs out of memory, its last usage reports must show
        what grew.
        """

        def play() -> tuple[dict[str, int], dict[str, int]]:
            follower = Follower(self.folder)
            follower.append(1, 1, 1)
            eventlet.sleep(1.0)
            before = usage.measure(follower.driver)
            follower.disk.stalled = True
            follower.append(2, 40, 40)
            eventlet.sleep(0.1)
            follower.append(41, 80, 80)
            eventlet.sleep(0.1)
            return before, usage.measure(follower.driver)

        before, after = virtual_time.run(play)
        self.assertEqual((1, 80), (before["entries"], after["entries"]))
        self.assertEqual(0, before["unsynced_bytes"])
        self.assertThat(
            after["unsynced_bytes"], matchers.GreaterThan(after["entry_bytes"])
        )

    def test_snapshot_file_is_removed_only_after_the_next_record_is_synced(
        self,
    ) -> None:
        """A second snapshot is written while entries wait for the disk.

        If the first file were removed when those entries are synced, before
        the record that names the second one, a power loss at that moment
        would leave a record without its file, and the instance could not
        start. All voters take snapshots at about the same entry, so one
        power loss could affect several of them.
        """

        def play() -> bytes:
            follower = Follower(self.folder)
            follower.append(1, 3, 3)
            eventlet.sleep(0.1)
            follower.driver.snapshot("g")
            eventlet.sleep(0.1)
            follower.append(4, 5, 5)
            eventlet.sleep(0.1)
            follower.driver.snapshot("g")
            first, second = (
                self.folder / "log" / f"g-{index:016d}.snapshot"
                for index in (3, 5)
            )
            while not second.exists():
                eventlet.sleep(0.0001)
            follower.append(6, 6, 6)
            while first.exists():
                eventlet.sleep(0.0001)
            follower.lose_power()
            again = Follower(self.folder, follower.disk)
            return again.machine.snapshot_parts()[0][:3]

        self.assertEqual(b"2 3", virtual_time.run(play))

    def test_snapshot_waits_for_space_on_a_full_disk(self) -> None:
        """A follower must not stop when a received snapshot doesn't fit."""

        def play() -> tuple[Any, list[bytes]]:
            follower = Follower(self.folder)
            follower.append(1, 3, 3)
            eventlet.sleep(0.1)
            follower.disk.full = True
            snapshot = types.SnapshotMetadata(5, 1, VOTERS)
            follower.take(wire.InstallSnapshot("g", 1, snapshot, b"2 3 4 5"))
            eventlet.sleep(1.0)
            follower.disk.full = False
            eventlet.sleep(1.0)
            return follower.driver.failed, follower.machine.commands

        failed, commands = virtual_time.run(play)
        self.assertIsNone(failed)
        self.assertEqual([b"2", b"3", b"4", b"5"], commands)
