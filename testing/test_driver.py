"""One replica's driver in virtual time: its disk is slow, its loop goes on."""

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


class Journal:
    """A machine that keeps every command."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b" ".join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b" ")


class NoLinks:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, address: str, payload: bytes) -> None:
        self.sent.extend(wire.decode(payload).messages)

    def peer_seen(self, address: str) -> None:
        """Dials nobody."""

    bulk_bytes = 0

    def queued_bytes(self) -> int:
        """Returns 0: nothing waits."""
        return 0


class Follower:
    """A follower with a driver, a disk that can stall, and its leader."""

    def __init__(
        self,
        folder: pathlib.Path,
        disk: virtual_disk.VirtualDisk | None = None,
    ) -> None:
        rng = random.Random(1)
        self.life = life = virtual_time.Life()
        self.disk = disk or virtual_disk.VirtualDisk(folder, rng)
        self.disk.life = life
        self.journal = Journal()
        self.told: list[Any] = []
        self.links = NoLinks()
        self.driver = replication_driver.Driver(
            FOLLOWER,
            "c2:1",
            MEMBERS,
            wal.FileWal(folder / "log", self.disk),
            {"g": self.journal},
            links=self.links,
            timers=virtual_time.LifeTimers(life, rng, 0.0),
            options=replication_driver.Options(
                core=types.Settings(founder=False), seed=1
            ),
            worker=virtual_disk.VirtualWorker(life),
            events=self,
        )

    def emit(self, event: Any) -> None:
        self.told.append(event)

    def take(self, *messages: Any) -> None:
        frame = wire.Frame(LEADER, "c1:1", FOLLOWER, list(messages))
        self.driver.receive(wire.encode(frame))
        eventlet.sleep(0.001)

    def lose_power(self) -> None:
        self.life.end()
        fcntl.flock(self.driver.wal.lock, fcntl.LOCK_UN)
        self.disk.lose_power(content_only=True)

    def append(self, first: int, last: int, commit: int) -> None:
        """The leader sends entries of its first term."""
        entries = [entry(index) for index in range(first, last + 1)]
        before = min(first - 1, 1)
        self.take(wire.Append("g", 1, first - 1, before, entries, commit))


def entry(index: int) -> types.Entry:
    if index == 1:
        data = records.encode_configuration(VOTERS)
        return types.Entry(1, 1, types.CONFIGURATION, data)
    return types.Entry(index, 1, types.COMMAND, b"%d" % index)


class Nowhere:
    """Streams on which nobody listens."""

    def handle(self, kind: type, handler: Any) -> None:
        """Registers nothing."""

    def open(self, address: str, message: Any) -> Any:
        raise errors.StreamClosed("Nobody is there.")


class ElectedTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def elected(self) -> replication.GroupLog:
        """Returns a log that is elected with a command it has not applied.

        Its own first entry is committed and its lease holds, all told in one
        frame; what that commits waits for the loop's next turn.
        """
        life = virtual_time.Life()
        rng = random.Random(1)
        disk = virtual_disk.VirtualDisk(self.folder, rng)
        log = replication.GroupLog(
            FOLLOWER,
            "c2:1",
            MEMBERS,
            wal.FileWal(self.folder / "log", disk),
            ["g"],
            streams=Nowhere(),
            timers=virtual_time.LifeTimers(life, rng, 0.0),
            options=replication.Options(
                core=types.Settings(founder=False), seed=1
            ),
            worker=virtual_disk.VirtualWorker(life),
        )
        self.journal = Journal()
        log.attach("g", self.journal)
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

    def test_new_leader_answers_only_once_it_has_applied(self) -> None:
        """A leader that was passed over and elected again answers too early.

        Another instance led in between and a change was acknowledged there.
        This one holds the change in its log but has not applied it: between
        the message that commits its first entry and the loop's next turn other
        green threads ran, and found it leading under its old office.
        """

        def play() -> list[tuple[bool, list[bytes]]]:
            log = self.elected()
            found = [(log.leads("g"), list(self.journal.commands))]
            eventlet.sleep(0.01)
            found.append((log.leads("g"), list(self.journal.commands)))
            return found

        self.assertEqual([(False, []), (True, [b"2"])], virtual_time.run(play))


class ToldTest(testtools.TestCase):
    def test_past_changes_of_voters_are_not_told_again(self) -> None:
        """Eight lines a voter told the group's whole past at each start."""
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
                for event in follower.told
                if isinstance(event, control_events.VotersChanged)
            ]

        self.assertEqual([5, 6], virtual_time.run(play))


class SlowDiskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def test_snapshot_behind_a_slow_disk_takes_no_command_away(self) -> None:
        """A replica that leads later lacks commands that were acknowledged.

        The disk stalls with committed entries 2 and 3 waiting for it. The
        leader, which has dropped 4 and 5 from its log, sends a snapshot up to
        5, then 6 and 7. When the disk goes on, 6 and 7 were applied behind
        entry 3, and then the snapshot of 5 replaced the machine's state: it
        lacked 6 and 7 while the replica counted them as applied, and nobody
        applied them again.
        """

        def play() -> tuple[int, list[bytes]]:
            follower = Follower(self.folder)
            follower.append(1, 1, 1)
            eventlet.sleep(1.0)
            follower.disk.stalled = True
            follower.append(2, 3, 3)
            mark = types.SnapshotMetadata(5, 1, VOTERS)
            follower.take(wire.InstallSnapshot("g", 1, mark, b"2 3 4 5"))
            follower.append(6, 7, 7)
            eventlet.sleep(1.0)
            follower.disk.stalled = False
            eventlet.sleep(1.0)
            state = follower.driver.core.replicas["g"].state
            return state.applied, follower.journal.commands

        applied, commands = virtual_time.run(play)
        self.assertEqual(7, applied)
        self.assertEqual([b"2", b"3", b"4", b"5", b"6", b"7"], commands)

    def test_what_waits_for_a_slow_disk_is_told(self) -> None:
        """A process ends by its memory, and its last lines say what grew."""

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

    def test_snapshot_is_removed_only_after_its_successor_is_on_record(
        self,
    ) -> None:
        """An instance that lost power can't start: its snapshot is missing.

        A second snapshot's file was written while a batch of entries waited
        for the disk. When that batch was synced, the first file was removed,
        though the record that names the second was not written yet. All
        voters of a group take their snapshots at about the same entry, so a
        loss of power just then takes more disks than the fault itself did.
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
            return again.journal.snapshot()[:3]

        self.assertEqual(b"2 3", virtual_time.run(play))

    def test_snapshot_waits_for_room_on_a_full_disk(self) -> None:
        """A follower with a full disk ended at each snapshot that came."""

        def play() -> tuple[Any, list[bytes]]:
            follower = Follower(self.folder)
            follower.append(1, 3, 3)
            eventlet.sleep(0.1)
            follower.disk.full = True
            mark = types.SnapshotMetadata(5, 1, VOTERS)
            follower.take(wire.InstallSnapshot("g", 1, mark, b"2 3 4 5"))
            eventlet.sleep(1.0)
            follower.disk.full = False
            eventlet.sleep(1.0)
            return follower.driver.failed, follower.journal.commands

        failed, commands = virtual_time.run(play)
        self.assertIsNone(failed)
        self.assertEqual([b"2", b"3", b"4", b"5"], commands)
