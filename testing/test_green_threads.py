"""Green threads that are reused."""

import eventlet
from eventlet import event
import greenlet
from loguru import logger
import testtools

from mintcleat.adapters import green_threads


class SpawnTest(testtools.TestCase):
    def run_all(self, count: int) -> list[greenlet.greenlet]:
        """Runs tasks that wait for each other; returns their threads."""
        go = event.Event()
        found: list[greenlet.greenlet] = []

        def task() -> None:
            found.append(greenlet.getcurrent())
            go.wait()

        for _ in range(count):
            green_threads.spawn(task)
        eventlet.sleep(0)
        go.send()
        eventlet.sleep(0.01)
        return found

    def test_tasks_start_in_order_after_the_running_one(self) -> None:
        found: list[int] = []
        for number in range(5):
            green_threads.spawn(found.append, number)
        self.assertEqual([], found)
        eventlet.sleep(0)
        self.assertEqual([0, 1, 2, 3, 4], found)

    def test_finished_green_threads_are_reused(self) -> None:
        # Green threads of earlier tests may take one between two rounds, so
        # one pair of rounds must have the same; without reuse none has.
        pairs = [(self.run_all(3), self.run_all(3)) for _ in range(5)]
        for first, second in pairs:
            self.assertEqual((3, 3), (len(set(first)), len(set(second))))
        self.assertIn(
            True, [set(first) == set(second) for first, second in pairs]
        )

    def test_idle_green_threads_are_bounded(self) -> None:
        # Green threads of earlier tests may use one of them at any moment, so
        # the largest of several counts is compared.
        counts = []
        for _ in range(5):
            self.run_all(200)
            counts.append(len(green_threads._local.idle))
        self.assertEqual(green_threads._MAX_IDLE, max(counts))

    def test_failed_task_is_logged_and_its_green_thread_continues(
        self,
    ) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, level="ERROR")
        self.addCleanup(logger.remove, sink)
        found: list[int] = []
        green_threads.spawn(lambda: 1 / 0)
        eventlet.sleep(0)
        green_threads.spawn(found.append, 1)
        eventlet.sleep(0)
        self.assertEqual([1], found)
        self.assertIn("ZeroDivisionError", lines[0])

    def test_killed_green_thread_gets_no_further_task(self) -> None:
        # A task that was handed to a dead green thread would never run.
        for thread in self.run_all(3):
            eventlet.greenthread.kill(thread)
        eventlet.sleep(0)
        found: list[int] = []
        for number in range(5):
            green_threads.spawn(found.append, number)
        eventlet.sleep(0)
        self.assertEqual([0, 1, 2, 3, 4], found)

    def test_stale_wakeup_does_not_run_a_task_again(self) -> None:
        found: list[int] = []
        threads = self.run_all(1)
        green_threads.spawn(found.append, 1)
        for thread in threads:
            eventlet.hubs.get_hub().schedule_call_global(0, thread.switch)
        eventlet.sleep(0.01)
        self.assertEqual([1], found)
