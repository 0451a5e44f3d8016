"""The memory of a replica that keeps as many turns as it may."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import testtools

REPLICA = pathlib.Path(__file__).parent / "fakes" / "kept_replica.py"
ROOT = pathlib.Path(__file__).parent.parent
MEMORY_MB = 160
KEPT = 0.16
# Left to the accounts of programs, to streams, and to a state that is sent.
OTHERS = 0.1 + 0.05 + KEPT


class MemoryTest(testtools.TestCase):
    def peak_mb(self, folder: str, share: float, groups: int) -> float:
        path = os.pathsep.join(map(str, (ROOT / "src", ROOT)))
        ended = subprocess.run(
            [
                sys.executable,
                str(REPLICA),
                folder,
                str(MEMORY_MB * 1_000_000),
                str(share),
                str(groups),
            ],
            env={**os.environ, "PYTHONPATH": path},
            stdout=subprocess.PIPE,
            check=True,
            timeout=60.0,
        )
        return float(ended.stdout)

    def test_replica_with_all_turns_that_it_may_keep_has_memory_left(
        self,
    ) -> None:
        for groups in (1, 8):
            folder = tempfile.mkdtemp()
            self.addCleanup(shutil.rmtree, folder)
            filled = self.peak_mb(folder, KEPT, groups)
            started_again = self.peak_mb(folder, 0.0, groups)
            self.assertLess(filled, MEMORY_MB * (1 - OTHERS))
            self.assertLess(started_again, MEMORY_MB * (1 - OTHERS))
