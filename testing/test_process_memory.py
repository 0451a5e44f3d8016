"""Tests the memory usage that the kernel reports for this process."""

import pathlib
import subprocess
import sys
import tempfile

import testtools
from testtools import matchers

from mintcleat.adapters import process_memory

_ALLOCATE = """
from mintcleat.adapters import process_memory

before = process_memory.peak_mb()
block = bytearray(64 * 1024 * 1024)
block[::4096] = bytes(len(block[::4096]))
del block
print(before, process_memory.peak_mb())
"""


class PeakTest(testtools.TestCase):
    def test_freed_memory_counts_towards_the_peak(self) -> None:
        # A process of its own: this one may have held more before.
        output = subprocess.check_output([sys.executable, "-c", _ALLOCATE])
        before, after = map(float, output.split())
        self.assertThat(after, matchers.GreaterThan(before))
        self.assertThat(after, matchers.GreaterThan(64.0))

    def test_peak_is_returned_and_not_the_current_usage(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix="status") as file:
            file.write("Name:\tx\nVmHWM:\t   81920 kB\nVmRSS:\t 40960 kB\n")
            file.flush()
            found = process_memory.peak_mb(pathlib.Path(file.name))
        self.assertEqual(80.0, found)

    def test_missing_status_file_gives_zero(self) -> None:
        missing = pathlib.Path(tempfile.gettempdir()) / "no-such-status"
        self.assertEqual(0.0, process_memory.peak_mb(missing))
