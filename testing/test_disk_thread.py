"""Tests the thread for disk operations."""

import eventlet
import testtools

from mintcleat.adapters import disk_thread


class DiskThreadTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.seconds: list[float] = []
        self.worker = disk_thread.DiskThread(self.seconds.append)
        self.addCleanup(self.worker.close)

    def run_call(self, function: object, *args: object) -> object:
        with eventlet.Timeout(20.0):
            return self.worker.run(function, *args)

    def test_call_returns_what_the_function_returns(self) -> None:
        self.assertEqual(5, self.run_call(lambda a, b: a + b, 2, 3))
        self.assertEqual(1, len(self.seconds))

    def test_call_raises_what_the_function_raises(self) -> None:
        self.assertRaises(ZeroDivisionError, self.run_call, lambda: 1 / 0)

    def test_event_loop_runs_during_a_call(self) -> None:
        started = disk_thread._threading.Event()
        release = disk_thread._threading.Event()
        found: list[object] = []

        def block() -> str:
            started.set()
            release.wait(20.0)
            return "held"

        eventlet.spawn(lambda: found.append(self.run_call(block)))
        with eventlet.Timeout(20.0):
            while not started.is_set():
                eventlet.sleep(0.001)
        self.assertEqual([], found)
        release.set()
        with eventlet.Timeout(20.0):
            while not found:
                eventlet.sleep(0.001)
        self.assertEqual(["held"], found)

    def test_calls_keep_their_order(self) -> None:
        done: list[int] = []
        threads = [
            eventlet.spawn(self.run_call, done.append, n) for n in range(50)
        ]
        for thread in threads:
            thread.wait()
        self.assertEqual(list(range(50)), done)

    def test_call_after_close_runs_on_the_caller(self) -> None:
        """A system is stopped twice, and the second stop closes the log again.

        If that call were queued for the thread, which has ended, the process
        would hang.
        """
        self.run_call(lambda: None)
        self.worker.close()
        self.worker.close()
        self.assertEqual(7, self.run_call(lambda: 7))

    def test_second_worker_works_after_the_first_was_closed(
        self,
    ) -> None:
        self.worker.close()
        self.worker = disk_thread.DiskThread()
        self.addCleanup(self.worker.close)
        self.assertEqual(7, self.run_call(lambda: 7))

    def test_quiet_call_wakes_nobody_until_it_is_asked_for(self) -> None:
        # Each wakeup of an idle process costs about half a millisecond.
        found: list[object] = []
        eventlet.spawn(lambda: found.append(self.worker.run_quietly(lambda: 7)))
        with eventlet.Timeout(20.0):
            while not self.worker.done:
                eventlet.sleep(0.001)
        eventlet.sleep(0.01)
        self.assertEqual([], found)
        self.worker.wake_callers()
        eventlet.sleep(0)
        self.assertEqual([7], found)

    def test_quiet_call_that_is_asked_for_early_wakes_its_caller(self) -> None:
        # The caller would otherwise wait for the next event of its process.
        release = disk_thread._threading.Event()
        found: list[object] = []

        def block() -> int:
            release.wait(20.0)
            return 7

        eventlet.spawn(lambda: found.append(self.worker.run_quietly(block)))
        eventlet.sleep(0.01)
        self.worker.wake_callers()
        release.set()
        with eventlet.Timeout(20.0):
            while not found:
                eventlet.sleep(1.0)

    def test_later_call_ends_a_quiet_one(self) -> None:
        found: list[object] = []
        eventlet.spawn(lambda: found.append(self.worker.run_quietly(lambda: 7)))
        eventlet.sleep(0)
        self.run_call(lambda: None)
        eventlet.sleep(0)
        self.assertEqual([7], found)
