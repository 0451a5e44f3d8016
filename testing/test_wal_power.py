"""Tests the write-ahead log with killed processes and power losses.

`fakes.virtual_disk` simulates what a disk may lose: writes since a file's last
sync and directory entries since the directory's last sync.
"""

import fcntl
import os
import pathlib
import random
import shutil
import tempfile

import eventlet
import greenlet
from testing.fakes import virtual_disk
from testing.fakes import virtual_time
import testtools

from mintcleat.adapters import admin_token
from mintcleat.adapters import wal
from mintcleat.domain import identities

SEGMENT = 400


class Machine:
    """A machine whose process appends numbers to a log until it is killed.

    Attributes:
        acknowledged: Number of records whose sync has returned, over all
            process starts.
        history: Descriptions of the process ends, for failure messages.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.folder = folder / "data"
        self.folder.mkdir()
        self.disk = virtual_disk.VirtualDisk(self.folder, self.rng)
        self.disk.sync_names(self.folder)
        self.acknowledged = 0
        self.history: list[str] = []

    def run_process(self) -> None:
        """Runs a process and kills it at a random time."""
        process = virtual_time.VirtualProcess()
        self.disk.process = process
        log = wal.FileWal(
            self.folder / "log", self.disk, SEGMENT, detect_copies=False
        )
        thread = eventlet.spawn(self._append_forever, log)
        eventlet.sleep(self.rng.choice((0.01, 0.05, 0.3)) * self.rng.random())
        process.kill()
        eventlet.sleep(0.1)
        if log.lock >= 0:
            fcntl.flock(log.lock, fcntl.LOCK_UN)
        if self.rng.random() < 0.5:
            self.disk.lose_power()
            self.history.append(f"power lost, {self.acknowledged} acknowledged")
        else:
            self.history.append(f"killed, {self.acknowledged} acknowledged")
        thread.wait()
        for descriptor in (log.descriptor, log.lock):
            if descriptor >= 0:
                os.close(descriptor)

    def _append_forever(self, log: wal.FileWal) -> None:
        try:
            found = log.open(
                identities.Incarnation("c1", len(self.history) + 1)
            )
            records = list(found.records)
            written = len(records)
            whole = [b"%d" % n for n in range(written)]
            assert records == whole, self.history
            assert written >= self.acknowledged, (written, self.history)
            while True:
                size = self.rng.choice((1, 1, 5, 30))
                batch = [b"%d" % n for n in range(written, written + size)]
                log.append(batch)
                log.sync()
                written += size
                self.acknowledged = written
                if self.rng.random() < 0.02:
                    log.rewrite([b"%d" % n for n in range(written)])
                if self.rng.random() < 0.05:
                    log.save_snapshot("g", written, [b"state"])
                    log.drop_snapshots("g", written)
        except greenlet.GreenletExit:
            return


class PowerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def run_machine(self, seed: int, runs: int = 12) -> None:
        folder = self.folder / str(seed)
        folder.mkdir()

        def body() -> None:
            machine = Machine(folder, seed)
            for _ in range(runs):
                machine.run_process()

        virtual_time.run(body)

    def test_synced_records_survive(self) -> None:
        """A power loss removes the data folder or a segment.

        Happens if the directory entry of the data folder, or of a segment that
        a killed process had just created, is never synced: acknowledged
        records are lost with it.
        """
        for seed in range(150):
            self.run_machine(seed)

    def test_token_file_is_complete_or_missing_after_a_power_loss(self) -> None:
        """Were the token file empty, an empty token would be accepted."""

        def body() -> set[str]:
            found = set()
            for seed in range(20):
                folder = self.folder / str(seed)
                folder.mkdir()
                disk = virtual_disk.VirtualDisk(folder, random.Random(seed))
                disk.sync_names(folder)
                made = admin_token.load_or_create(folder, disk)
                disk.lose_power()
                again = admin_token.load_or_create(folder, disk)
                found.add("same" if again == made else "other")
                assert again, "the token is empty"
            return found

        self.assertEqual({"same"}, virtual_time.run(body))
