"""The memory of this process, as the kernel tells it."""

import pathlib
import tempfile

import testtools
from testtools import matchers

from mintcleat.adapters import process_memory


class PeakTest(testtools.TestCase):
    def test_memory_that_was_held_once_counts(self) -> None:
        before = process_memory.peak_mb()
        held = bytearray(64 * 1024 * 1024)
        held[::4096] = bytes(len(held[::4096]))
        del held
        after = process_memory.peak_mb()
        self.assertThat(after, matchers.GreaterThan(before))
        self.assertThat(after, matchers.GreaterThan(64.0))

    def test_figure_is_the_peak_and_not_what_is_held_now(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix="status") as file:
            file.write("Name:\tx\nVmHWM:\t   81920 kB\nVmRSS:\t 40960 kB\n")
            file.flush()
            found = process_memory.peak_mb(pathlib.Path(file.name))
        self.assertEqual(80.0, found)

    def test_system_that_does_not_say_is_no_failure(self) -> None:
        nowhere = pathlib.Path(tempfile.gettempdir()) / "no-such-status"
        self.assertEqual(0.0, process_memory.peak_mb(nowhere))
