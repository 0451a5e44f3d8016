"""Tests when an entry counts as over its own capacity."""

import testtools

from mintcleat.decisions import entry_capacity

MB = 1024 * 1024
LIMITS = entry_capacity.Limits(200 * MB, 1000)
IDLE = entry_capacity.Usage(0.0, 80 * MB, 50, 3)
NORMAL = entry_capacity.Level.NORMAL
BUSY = entry_capacity.Level.BUSY
FULL = entry_capacity.Level.FULL
STEP = 0.25


class EntryCapacityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.capacity = entry_capacity.EntryCapacity(LIMITS)
        self.now = 1000.0
        self.changes: list[entry_capacity.Change] = []

    def measure(self, seconds: float, **usage: float) -> None:
        """Feeds the same measurement for a time."""
        for _ in range(max(1, round(seconds / STEP))):
            self.now += STEP
            change = self.capacity.update(IDLE._replace(**usage), self.now)
            if change is not None:
                self.changes.append(change)

    def test_healthy_entry_takes_everything(self) -> None:
        self.measure(60.0, lag_seconds=0.05, memory_bytes=160 * MB)
        self.assertEqual([], self.changes)
        self.assertTrue(self.capacity.takes(False))

    def test_no_limits_and_no_measurements_refuse_nothing(self) -> None:
        capacity = entry_capacity.EntryCapacity()
        self.assertTrue(capacity.takes(False))
        usage = entry_capacity.Usage(0.0, 10**12, 10**9, 5)
        self.assertIsNone(capacity.update(usage, 1.0))

    def test_stall_is_not_overload(self) -> None:
        # The platform suspends processes for half a second; refusing after it
        # would only add refusals.
        for _ in range(20):
            self.measure(STEP, lag_seconds=0.6)
            self.measure(STEP, lag_seconds=0.6)
            self.measure(STEP, lag_seconds=0.0)
        self.assertEqual([], self.changes)

    def test_late_loop_refuses_new_programs_only(self) -> None:
        self.measure(1.0, lag_seconds=0.3)
        self.assertEqual([(BUSY, "event loop")], self.reasons())
        self.assertFalse(self.capacity.takes(False))
        self.assertTrue(self.capacity.takes(True))

    def test_very_late_loop_refuses_all(self) -> None:
        self.measure(1.0, lag_seconds=1.0)
        self.assertEqual([(FULL, "event loop")], self.reasons())
        self.assertFalse(self.capacity.takes(True))

    def test_isolated_stalls_keep_no_entry_busy(self) -> None:
        # Guards against refusals that go on for as long as a machine has them.
        self.measure(1.0, lag_seconds=0.3)
        for _ in range(8):
            self.measure(0.75, lag_seconds=0.0)
            self.measure(STEP, lag_seconds=0.6)
        self.assertEqual(NORMAL, self.capacity.level)

    def test_memory_near_its_limit(self) -> None:
        self.measure(STEP, memory_bytes=171 * MB)
        self.measure(STEP, memory_bytes=191 * MB)
        self.assertEqual([(BUSY, "memory"), (FULL, "memory")], self.reasons())

    def test_descriptors_near_their_limit(self) -> None:
        self.measure(STEP, descriptors=960)
        self.assertEqual([(FULL, "file descriptors")], self.reasons())

    def test_level_is_left_step_by_step_after_a_calm_time(self) -> None:
        self.measure(STEP, memory_bytes=191 * MB)
        self.measure(10.0, memory_bytes=172 * MB)
        # Below the threshold of FULL, but not yet below that of BUSY.
        self.assertEqual(FULL, self.capacity.level)
        self.measure(10.0, memory_bytes=160 * MB)
        self.assertEqual(BUSY, self.capacity.level)
        self.measure(2.0, memory_bytes=140 * MB)
        self.assertEqual(NORMAL, self.capacity.level)
        self.assertEqual("", self.capacity.reason)

    def test_values_around_a_threshold_do_not_flap(self) -> None:
        for _ in range(100):
            self.measure(STEP, memory_bytes=171 * MB)
            self.measure(STEP, memory_bytes=169 * MB)
        self.assertEqual([(BUSY, "memory")], self.reasons())

    def test_memory_that_is_not_returned_does_not_refuse_forever(self) -> None:
        # Python rarely returns memory to the system.
        self.measure(STEP, memory_bytes=180 * MB)
        self.measure(10.0, memory_bytes=180 * MB, in_flight=2)
        self.assertEqual(BUSY, self.capacity.level)
        self.measure(5.0, memory_bytes=180 * MB, in_flight=0)
        self.assertEqual(NORMAL, self.capacity.level)
        self.measure(5.0, memory_bytes=190 * MB)
        self.assertEqual(NORMAL, self.capacity.level)
        self.measure(STEP, memory_bytes=198 * MB)
        self.assertEqual(BUSY, self.capacity.level)

    def test_retry_time_covers_the_calm_time(self) -> None:
        self.measure(1.0, lag_seconds=0.3)
        self.assertEqual(1.0, self.capacity.retry_after(self.now))
        self.measure(1.25)
        self.assertEqual(0.5, self.capacity.retry_after(self.now))

    def test_relapses_get_rarer(self) -> None:
        times = []
        for _ in range(8):
            self.measure(1.0, lag_seconds=0.3)
            while self.capacity.level is not NORMAL:
                self.measure(STEP)
            times.append(self.changes[-1].seconds)
        self.assertEqual(sorted(times), times)
        self.assertGreater(times[-1], 8 * times[0])
        # A long time without overload resets it.
        self.measure(120.0)
        self.measure(1.0, lag_seconds=0.3)
        self.assertEqual(1.0, self.capacity.calm_seconds)

    def test_step_in_load_does_not_oscillate(self) -> None:
        # The load doubles; half of it continues programs. Callers learn of a
        # change of the level only 0.5 s later.
        delay = round(0.5 / STEP)
        levels = [NORMAL] * delay
        queue = 0.0
        for _ in range(round(120.0 / STEP)):
            admitted = {NORMAL: 2.0, BUSY: 1.0, FULL: 0.0}[levels[-delay]]
            queue = max(0.0, queue + (admitted - 1.1) * STEP)
            self.measure(STEP, lag_seconds=queue)
            levels.append(self.capacity.level)
        returns = [
            change.seconds for change in self.changes if change.level is NORMAL
        ]
        # The times are 1, 2, 4, 8, 16 and 16 s, at two levels each.
        self.assertLess(len(returns), 7)
        self.assertEqual(sorted(returns), returns)
        self.assertGreater(returns[-1], 16.0)

    def reasons(self) -> list[tuple[entry_capacity.Level, str]]:
        return [(change.level, change.reason) for change in self.changes]
