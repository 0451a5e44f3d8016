"""Calls of the disk beside the loop."""

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

    def test_loop_goes_on_during_a_call(self) -> None:
        begun = disk_thread._threading.Event()
        go_on = disk_thread._threading.Event()
        found: list[object] = []

        def hold() -> str:
            begun.set()
            go_on.wait(20.0)
            return "held"

        eventlet.spawn(lambda: found.append(self.run_call(hold)))
        with eventlet.Timeout(20.0):
            while not begun.is_set():
                eventlet.sleep(0.001)
        self.assertEqual([], found)
        go_on.set()
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

    def test_call_after_the_end_is_made_all_the_same(self) -> None:
        """A system that was stopped is stopped once more by its owner.

        The second stop closes the log again, through a thread that had ended:
        it waited for ever, and with it the whole process.
        """
        self.run_call(lambda: None)
        self.worker.close()
        self.worker.close()
        self.assertEqual(7, self.run_call(lambda: 7))

    def test_second_worker_of_a_process_works_beside_an_ended_one(
        self,
    ) -> None:
        self.worker.close()
        self.worker = disk_thread.DiskThread()
        self.addCleanup(self.worker.close)
        self.assertEqual(7, self.run_call(lambda: 7))
