"""The write-ahead log under kills and losses of power, in virtual time.

What a disk may forget is in `fakes/virtual_disk`: writes since a file's last
sync, and names since their directory's last sync, one by one.
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
    """A machine whose process appends numbers to a log until it ends.

    Attributes:
        acknowledged: Records whose sync has returned, in all lives.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.folder = folder / "data"
        self.folder.mkdir()
        self.disk = virtual_disk.VirtualDisk(self.folder, self.rng)
        self.disk.sync_names(self.folder)
        self.acknowledged = 0
        self.story: list[str] = []

    def live(self) -> None:
        """Runs one life and ends it at a moment of its own."""
        process = virtual_time.VirtualProcess()
        self.disk.process = process
        log = wal.FileWal(
            self.folder / "log", self.disk, SEGMENT, detect_copies=False
        )
        thread = eventlet.spawn(self._work, log)
        eventlet.sleep(self.rng.choice((0.01, 0.05, 0.3)) * self.rng.random())
        process.kill()
        eventlet.sleep(0.1)
        if log.lock >= 0:
            fcntl.flock(log.lock, fcntl.LOCK_UN)
        if self.rng.random() < 0.5:
            self.disk.lose_power()
            self.story.append(f"power lost, {self.acknowledged} acknowledged")
        else:
            self.story.append(f"killed, {self.acknowledged} acknowledged")
        thread.wait()
        for descriptor in (log.descriptor, log.lock):
            if descriptor >= 0:
                os.close(descriptor)

    def _work(self, log: wal.FileWal) -> None:
        try:
            found = log.open(identities.Incarnation("c1", len(self.story) + 1))
            records = list(found.records)
            written = len(records)
            whole = [b"%d" % n for n in range(written)]
            assert records == whole, self.story
            assert written >= self.acknowledged, (written, self.story)
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
                    log.save_snapshot("g", written, b"state")
                    log.drop_snapshots("g", written)
        except greenlet.GreenletExit:
            return


class PowerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def play(self, seed: int, lives: int = 12) -> None:
        folder = self.folder / str(seed)
        folder.mkdir()

        def body() -> None:
            machine = Machine(folder, seed)
            for _ in range(lives):
                machine.live()

        virtual_time.run(body)

    def test_what_was_synced_survives(self) -> None:
        """An instance comes back with an empty disk, or lacks a segment.

        The data folder's own name, and the name of a segment that a killed
        process had just made, were never synced. After a loss of power they
        may be gone, with all that was written under them and acknowledged.
        """
        for seed in range(150):
            self.play(seed)

    def test_token_file_is_whole_or_absent_after_a_loss_of_power(self) -> None:
        """An operator's token file was empty: every empty token was valid."""

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
                assert again, "an empty token"
            return found

        self.assertEqual({"same"}, virtual_time.run(body))
