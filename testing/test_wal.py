"""Tests the write-ahead log in a real folder, with disk failures."""

import contextlib
import errno
import os
import pathlib
import shutil
import tempfile
import tracemalloc
from typing import Any
from unittest import mock

import eventlet
import testtools
from testtools import matchers

from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.adapters import wal_disk
from mintcleat.consensus import messages as wire
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import wal as wal_port
from mintcleat.roles.control.replication import snapshots

NODE = identities.Incarnation("c1", 7)


class FailingDisk(wal_disk.SystemDisk):
    """A disk whose writes and syncs can be made to fail.

    Attributes:
        fail_write: Errno of writes, which write half of the data; 0 for none.
        fail_sync: Errno of the next sync; 0 for none.
        syncs: Number of successful syncs.
    """

    def __init__(self) -> None:
        self.fail_write = 0
        self.fail_sync = 0
        self.syncs = 0

    def write(self, descriptor: int, data: bytes) -> None:
        if self.fail_write:
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(self.fail_write, "injected")
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.fail_sync:
            code, self.fail_sync = self.fail_sync, 0
            raise OSError(code, "injected")
        self.syncs += 1
        super().sync(descriptor)


class WalTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.disk = FailingDisk()

    def opened(
        self, epoch: int = 7, size: int = 1 << 20
    ) -> tuple[wal.FileWal, list[bytes]]:
        log = wal.FileWal(self.folder, self.disk, size)
        found = log.open(identities.Incarnation("c1", epoch))
        self.addCleanup(log.close)
        return log, list(found.records)

    def write(self, *batches: list[bytes], size: int = 1 << 20) -> None:
        log, _ = self.opened(size=size)
        for batch in batches:
            log.append(batch)
            log.sync()
        log.close()

    def segment(self) -> pathlib.Path:
        return max(self.folder.glob("*.segment"))

    def damage(self, path: pathlib.Path, offset: int) -> None:
        data = bytearray(path.read_bytes())
        data[offset] ^= 0xFF
        path.write_bytes(data)

    def test_synced_records_come_back_in_order(self) -> None:
        self.write([b"a", b"b"], [b"c"])
        self.assertEqual([b"a", b"b", b"c"], self.opened()[1])

    def test_records_span_segments(self) -> None:
        batches = [[bytes([i]) * 40] for i in range(20)]
        self.write(*batches, size=200)
        self.assertGreater(len(list(self.folder.glob("*.segment"))), 3)
        self.assertEqual([b[0] for b in batches], self.opened(size=200)[1])

    def test_torn_tail_is_truncated_and_later_records_are_kept(self) -> None:
        """The process is killed during a write.

        The incomplete last record was not acknowledged, so it is dropped, and
        records appended later are readable after another restart.
        """
        self.write([b"whole"], [b"torn record"])
        path = self.segment()
        os.truncate(path, path.stat().st_size - 4)
        log, records = self.opened()
        self.assertEqual([b"whole"], records)
        log.append([b"next"])
        log.sync()
        log.close()
        self.assertEqual([b"whole", b"next"], self.opened()[1])

    def test_unsynced_batch_with_a_hole_is_truncated(self) -> None:
        """The disk wrote the second block of a batch but not the first.

        The batch was not synced, so this is a torn write although an intact
        record follows the corrupt one.
        """
        self.write([b"whole"], [b"first", b"second"])
        data = self.segment().read_bytes()
        self.damage(self.segment(), data.index(b"first"))
        self.assertEqual([b"whole"], self.opened()[1])

    def test_damage_before_the_tail_is_an_error_that_names_the_repair(
        self,
    ) -> None:
        """A synced record is corrupt and a later batch is intact.

        Truncating there would lose records that the replica has acknowledged.
        It must not start, and the error says how to rebuild it.
        """
        self.write([b"first"], [b"second"])
        data = self.segment().read_bytes()
        self.damage(self.segment(), data.index(b"first"))
        error = self.assertRaises(errors.StorageDamaged, self.opened)
        self.assertIn("control replace", error.remedy)

    def test_damage_in_an_older_segment_is_an_error(self) -> None:
        self.write(*[[bytes([65 + i]) * 40] for i in range(9)], size=200)
        first = min(self.folder.glob("*.segment"))
        self.damage(first, first.stat().st_size - 1)
        self.assertRaises(errors.StorageDamaged, self.opened)

    def test_missing_segment_is_an_error(self) -> None:
        self.write(*[[bytes([65 + i]) * 40] for i in range(9)], size=200)
        sorted(self.folder.glob("*.segment"))[1].unlink()
        self.assertRaises(errors.StorageDamaged, self.opened)

    def test_segment_without_header_is_an_error(self) -> None:
        self.write(*[[bytes([65 + i]) * 40] for i in range(9)], size=200)
        self.damage(self.segment(), 3)
        self.assertRaises(errors.StorageDamaged, self.opened)

    def test_log_without_identity_is_an_error(self) -> None:
        self.write([b"x" * 100])
        (self.folder / "identity").unlink()
        self.assertRaises(errors.StorageDamaged, self.opened)

    def test_log_fails_all_calls_after_a_failed_sync(self) -> None:
        """A sync fails once, and the kernel drops the dirty pages.

        A second sync would report success although the data is lost, so all
        later calls fail even if the disk works again.
        """
        log, _ = self.opened()
        log.append([b"lost"])
        self.disk.fail_sync = errno.EIO
        self.assertRaises(errors.StorageFailed, log.sync)
        syncs = self.disk.syncs
        self.assertRaises(errors.StorageFailed, log.sync)
        self.assertRaises(errors.StorageFailed, log.append, [b"more"])
        self.assertEqual(syncs, self.disk.syncs)

    def test_restart_on_new_inodes_keeps_the_log_without_copy_detection(
        self,
    ) -> None:
        # If volumes are remounted with new inode numbers after a power loss,
        # every instance would consider its own disk a copy, and all
        # acknowledged data would be lost.
        self.write([b"kept"])
        moved = self.folder.parent / (self.folder.name + "-moved")
        shutil.copytree(self.folder, moved)
        self.addCleanup(shutil.rmtree, moved)
        log = wal.FileWal(moved, detect_copies=False)
        found = log.open(NODE._replace(epoch=9))
        self.addCleanup(log.close)
        self.assertEqual([b"kept"], list(found.records))
        self.assertEqual(NODE, found.identity)

    def test_full_disk_keeps_no_part_of_a_batch_and_takes_it_later(
        self,
    ) -> None:
        log, _ = self.opened()
        log.append([b"kept"])
        log.sync()
        before = self.segment().read_bytes()
        log.append([b"too much"])
        self.disk.fail_write = errno.ENOSPC
        self.assertRaises(errors.StorageFull, log.sync)
        self.assertRaises(errors.StorageFull, log.sync)
        self.assertEqual(before, self.segment().read_bytes())
        self.disk.fail_write = 0
        log.append([b"and more"])
        log.sync()
        log.close()
        self.assertEqual([b"kept", b"too much", b"and more"], self.opened()[1])

    def test_crash_on_a_full_disk_loses_only_what_was_never_synced(
        self,
    ) -> None:
        log, _ = self.opened()
        log.append([b"kept"])
        log.sync()
        log.append([b"too much"])
        self.disk.fail_write = errno.ENOSPC
        self.assertRaises(errors.StorageFull, log.sync)
        log.close()
        self.disk.fail_write = 0
        self.assertEqual([b"kept"], self.opened()[1])

    def test_full_disk_continues_in_the_current_segment(self) -> None:
        log, _ = self.opened(size=100)
        log.append([b"x" * 200])
        full = OSError(errno.ENOSPC, "injected")
        replace_file = wal_disk.replace_file
        wal_disk.replace_file = mock.Mock(side_effect=full)
        try:
            log.sync()
        finally:
            wal_disk.replace_file = replace_file
        log.append([b"more"])
        log.sync()
        log.close()
        self.assertEqual([b"x" * 200, b"more"], self.opened()[1])

    def test_snapshot_on_a_full_disk_leaves_no_temporary_file(self) -> None:
        log, _ = self.opened()
        self.disk.fail_write = errno.ENOSPC
        self.assertRaises(
            errors.StorageFull, log.save_snapshot, "g", 5, [b"new"]
        )
        self.disk.fail_write = 0
        self.assertEqual([], list(self.folder.glob("*.draft")))
        log.append([b"more"])
        log.sync()

    def test_log_fails_after_a_failed_write_and_drops_the_half_record(
        self,
    ) -> None:
        log, _ = self.opened()
        log.append([b"kept"])
        log.sync()
        log.append([b"too much"])
        self.disk.fail_write = errno.EIO
        error = self.assertRaises(errors.StorageFailed, log.sync)
        self.assertIn("EIO", error.detail)
        log.close()
        self.disk.fail_write = 0
        self.assertEqual([b"kept"], self.opened()[1])

    def test_rewrite_replaces_the_log_in_one_step(self) -> None:
        log, _ = self.opened(size=200)
        for i in range(9):
            log.append([bytes([65 + i]) * 40])
            log.sync()
        log.rewrite([b"live"])
        log.append([b"later"])
        log.sync()
        log.close()
        self.assertEqual(1, len(list(self.folder.glob("*.segment"))))
        self.assertEqual([b"live", b"later"], self.opened()[1])

    def test_snapshot_is_verified_and_older_ones_are_removed(self) -> None:
        log, _ = self.opened()
        log.save_snapshot("g", 5, [b"old"])
        log.save_snapshot("g", 9, [b"new"])
        log.drop_snapshots("g", 9)
        self.assertEqual(b"new", log.load_snapshot("g", 9))
        self.assertRaises(errors.StorageDamaged, log.load_snapshot, "g", 5)

    def test_identity_outlives_restarts_but_not_an_empty_disk(self) -> None:
        self.write([b"x"])
        log = wal.FileWal(self.folder, self.disk)
        self.assertEqual(NODE, log.open(NODE._replace(epoch=8)).identity)
        log.close()
        for path in self.folder.iterdir():
            path.unlink()
        found = wal.FileWal(self.folder).open(NODE._replace(epoch=9))
        self.assertEqual((9, []), (found.identity.epoch, list(found.records)))

    def test_restored_copy_of_a_disk_gets_a_new_identity(self) -> None:
        """An operator restores an old backup of the data folder.

        The copy lacks later votes and entries, so it must not vote under the
        old identity: it starts empty under a new one.
        """
        self.write([b"x"])
        backup = self.folder / "backup"
        backup.mkdir()
        for name in ("identity", self.segment().name):
            shutil.copy(self.folder / name, backup / name)
        found = wal.FileWal(backup).open(NODE._replace(epoch=8))
        self.assertEqual((8, []), (found.identity.epoch, list(found.records)))

    def test_empty_disk_keeps_a_renewed_identity(self) -> None:
        log, _ = self.opened()
        log.renew(NODE._replace(epoch=99))
        log.close()
        found = wal.FileWal(self.folder).open(NODE._replace(epoch=8))
        self.assertEqual((99, False), (found.identity.epoch, found.formatted))

    def test_identity_of_a_disk_with_records_cannot_be_renewed(self) -> None:
        # Guards against a disk whose votes no longer bind it.
        log, _ = self.opened()
        log.append([b"vote"])
        later = NODE._replace(epoch=99)
        self.assertRaises(ValueError, log.renew, later)
        log.sync()
        self.assertRaises(ValueError, log.renew, later)
        log.close()
        log = wal.FileWal(self.folder)
        self.assertEqual(NODE, log.open(NODE._replace(epoch=8)).identity)
        self.assertRaises(ValueError, log.renew, later)

    def test_two_processes_cannot_share_a_folder(self) -> None:
        self.opened()
        self.assertRaises(errors.StorageFailed, self.opened)


class MemoryTest(testtools.TestCase):
    def opened(self) -> wal.FileWal:
        """Returns a new, empty log."""
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        log = wal.FileWal(folder)
        self.addCleanup(log.close)
        log.open(NODE)
        return log

    def test_start_does_not_hold_the_whole_log_in_memory(self) -> None:
        """A log that is read as a whole exceeds the memory of a small machine.

        A log grows to many times the size of the entries after its last
        snapshot. Reading all records before replaying them took 26 MB for this
        log of 24 MB. A process that exceeds its memory on start is killed at
        each restart.
        """
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        log = wal.FileWal(folder, segment_size=1 << 20)
        log.open(NODE)
        index = 0
        for _ in range(24):
            entries = []
            for _ in range(500):
                index += 1
                entries.append(
                    types.Entry(index, 1, types.COMMAND, bytes(2000))
                )
            mark = types.SnapshotMetadata(index, 1, types.EMPTY)
            log.append(
                [records.entries("g", entries), records.snapshot("g", mark)]
            )
            log.sync()
        log.close()
        again = wal.FileWal(folder)
        self.addCleanup(again.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        found = again.open(NODE)
        stored = records.replay(found.records)
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual(index, stored["g"].log.last_index)
        self.assertThat(found.size, matchers.GreaterThan(24_000_000))
        self.assertThat(peak, matchers.LessThan(8_000_000))

    def test_state_is_sent_to_all_followers_from_one_copy(self) -> None:
        """A leader sends its state to two followers and runs out of memory.

        This happens after a power loss that destroyed the disks of both: in the
        second after its start, the leader replays the entries after its
        snapshot and sends the state to both. Each transfer held three copies of
        the state for a moment and one until its end: 80 MB for two transfers of
        16 MB.
        """
        log = self.opened()
        state = os.urandom(16_000_000)
        log.save_snapshot("g", 5, [state])
        stored = snapshots.Snapshots(
            log,
            timers.EventletTimers(),
            snapshots.Limits(),
            stop_on_failure=contextlib.nullcontext,
            on_saved=lambda: None,
            worker=wal_port.InlineWorker(lambda: None),
        )
        mark = types.SnapshotMetadata(5, 1, types.EMPTY)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sent = []
        for _ in range(2):
            message = wire.InstallSnapshot("g", 1, mark, stored.acquire("g", 5))
            frame = wire.Frame(NODE, "c1:1", NODE, [message])
            sent.append(wire.encode_install(frame))
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual([state, state], [pieces[1] for pieces in sent])
        self.assertThat(peak, matchers.LessThan(18_000_000))
        stored.release("g", 5)
        self.assertEqual(1, len(stored.in_use))
        stored.release("g", 5)
        self.assertEqual({}, stored.in_use)

    def test_state_is_read_once_for_followers_that_ask_together(self) -> None:
        read = []

        class Wal:
            def load_snapshot(self, group: str, index: int) -> bytes:
                read.append((group, index))
                return b"state"

        class SlowDisk:
            def run(self, function: Any, *args: Any) -> Any:
                eventlet.sleep(0.01)
                return function(*args)

        stored = snapshots.Snapshots(
            Wal(),
            timers.EventletTimers(),
            snapshots.Limits(),
            stop_on_failure=contextlib.nullcontext,
            on_saved=lambda: None,
            worker=SlowDisk(),
        )
        threads = [eventlet.spawn(stored.acquire, "g", 5) for _ in range(2)]
        self.assertEqual([b"state"] * 2, [one.wait() for one in threads])
        self.assertEqual([("g", 5)], read)

    def test_snapshot_is_stored_without_a_copy_of_it(self) -> None:
        log = self.opened()
        state = os.urandom(16_000_000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        log.save_snapshot("g", 5, [state])
        _, peak = tracemalloc.get_traced_memory()
        self.assertThat(peak, matchers.LessThan(4_000_000))
        self.assertEqual(state, log.load_snapshot("g", 5))

    def test_log_is_rewritten_without_a_copy_of_it(self) -> None:
        log = self.opened()
        entries = [
            types.Entry(n, 1, types.COMMAND, os.urandom(64_000))
            for n in range(1, 251)
        ]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        log.rewrite(records.entries("g", [entry]) for entry in entries)
        _, peak = tracemalloc.get_traced_memory()
        self.assertThat(peak, matchers.LessThan(4_000_000))
        log.close()
        again = wal.FileWal(log.folder)
        self.addCleanup(again.close)
        stored = records.replay(again.open(NODE).records)["g"]
        self.assertEqual(250, stored.log.last_index)

    def test_large_state_does_not_delay_the_next_snapshot(self) -> None:
        # The entries meanwhile were in memory beside a state of their size.
        clock = timers.VirtualTimers()
        mark = types.SnapshotMetadata(0, 0, types.EMPTY)
        replica = mock.Mock()
        replica.state.configure_mock(group="g", applied=0, snapshot=mark)
        replica.snapshot_metadata.return_value = mark
        state = mock.Mock()
        state.snapshot_parts.return_value = [bytes(20_000_000)]
        stored = snapshots.Snapshots(
            mock.Mock(),
            clock,
            snapshots.limits_for(80_000_000),
            stop_on_failure=contextlib.nullcontext,
            on_saved=lambda: None,
            worker=wal_port.InlineWorker(),
        )
        taken = []
        for number in range(24):
            stored.on_applied("g", replica, state, 1_000_000)
            clock.advance(0.0)
            if state.snapshot_parts.called:
                taken.append(number)
                state.snapshot_parts.reset_mock()
        self.assertEqual([1, 5, 9, 13, 17, 21], taken)
