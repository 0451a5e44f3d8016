"""What becomes of caches over tool pauses."""

import testtools
from testtools import matchers

from mintcleat.decisions import cache_retention

OPTIONS = cache_retention.Options(memory=100_000)


def learned(
    paused_caches: cache_retention.PausedCaches, tool: str, pause: float
) -> None:
    for number in range(10):
        name = f"{tool}{number}"
        paused_caches.paused(name, tool, 1, 0.0)
        paused_caches.called(name, pause)
        paused_caches.started(name)


class KeeperTest(testtools.TestCase):
    def test_the_cache_used_furthest_in_the_future_goes_first(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        learned(paused_caches, "long", 40.0)
        learned(paused_caches, "short", 0.5)
        paused_caches.paused("patient", "long", 5000, 0.2)
        paused_caches.paused("soon", "short", 5000, 0.0)
        self.assertEqual(
            [cache_retention.Drop("patient")], paused_caches.victims(5000, 0.3)
        )

    def test_no_more_is_dropped_than_is_needed(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        paused_caches.paused("p", "tool", 5000, 0.0)
        self.assertEqual(
            [cache_retention.Drop("p", 3000)], paused_caches.victims(2000, 1.0)
        )
        self.assertEqual(3000, paused_caches.tokens)

    def test_the_cache_of_a_waiting_call_stays(self) -> None:
        """A program is back and its call waits in the queue.

        Another call needs room. Were this cache taken, its own call would
        rebuild it in turn and take the room of a third one, and so on.
        """
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        paused_caches.paused("back", "tool", 5000, 0.0)
        paused_caches.paused("away", "tool", 5000, 1.0)
        self.assertEqual(5000, paused_caches.called("back", 2.0))
        self.assertEqual(
            [cache_retention.Drop("away")], paused_caches.victims(5000, 2.0)
        )

    def test_a_hung_tool_does_not_hold_memory_for_ever(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        learned(paused_caches, "quick", 0.5)
        paused_caches.paused("hung", "quick", 5000, 0.0)
        self.assertEqual([], paused_caches.sweep(29.0))
        self.assertEqual(
            [cache_retention.Drop("hung")], paused_caches.sweep(31.0)
        )
        self.assertEqual(0, paused_caches.tokens)

    def test_nothing_is_held_beyond_ten_minutes(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        learned(paused_caches, "slow", 5000.0)
        paused_caches.paused("p", "slow", 5000, 0.0)
        self.assertThat(paused_caches.sweep(600.0), matchers.HasLength(1))

    def test_a_program_that_ended_releases_its_memory(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        paused_caches.paused("p", "tool", 5000, 0.0)
        self.assertTrue(paused_caches.gone("p"))
        self.assertFalse(paused_caches.gone("p"))
        self.assertEqual(0, paused_caches.tokens)

    def test_under_pressure_a_long_pause_is_exported(self) -> None:
        options = OPTIONS._replace(export_rate=60_000.0)
        paused_caches = cache_retention.PausedCaches(options)
        learned(paused_caches, "long", 40.0)
        learned(paused_caches, "short", 0.5)
        paused_caches.paused("other", "short", 90_000, 0.0)
        action = paused_caches.paused("p", "long", 5000, 0.0)
        self.assertEqual(cache_retention.Export("p"), action)
