"""Tests how runs end in a planned stop."""

import testtools

from mintcleat.adapters import timers
from mintcleat.roles.entry import process_stop


class Run:
    """A run; its end lets other green threads run, and they end others.

    Attributes:
        ends: How often it was ended.
        meanwhile: Run that ends by itself while this one is ended.
    """

    def __init__(self, stop: process_stop.ProcessStop) -> None:
        self.stop = stop
        self.ends = 0
        self.meanwhile: Run | None = None
        stop.runs.add(self)

    def has_begun(self) -> bool:
        return False

    def waits_in_vain(self) -> bool:
        return True

    def end(self) -> None:
        self.ends += 1
        self.stop.runs.discard(self)
        if self.meanwhile is not None:
            self.stop.runs.discard(self.meanwhile)


class ProcessStopTest(testtools.TestCase):
    def test_run_that_ended_by_itself_is_not_ended_again(self) -> None:
        # Its green thread would be killed in what it does after the run.
        for name in ("refuse_waiting", "end_unanswered", "end_all"):
            stop = process_stop.ProcessStop(timers.VirtualTimers())
            first, second = Run(stop), Run(stop)
            first.meanwhile, second.meanwhile = second, first
            getattr(stop, name)()
            self.assertEqual(1, first.ends + second.ends, name)
