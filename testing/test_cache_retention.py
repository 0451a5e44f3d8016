"""Retention of caches during tool pauses."""

import testtools
from testtools import matchers

from mintcleat.decisions import cache_retention

OPTIONS = cache_retention.Options(memory=100_000)


def add_pauses(
    paused_caches: cache_retention.PausedCaches, tool: str, pause: float
) -> None:
    for number in range(10):
        name = f"{tool}{number}"
        paused_caches.paused(name, tool, 1, 0.0)
        paused_caches.called(name, pause)
        paused_caches.started(name)


class PausedCachesTest(testtools.TestCase):
    def test_the_cache_used_furthest_in_the_future_is_evicted_first(
        self,
    ) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        add_pauses(paused_caches, "long", 40.0)
        add_pauses(paused_caches, "short", 0.5)
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

    def test_the_cache_of_a_waiting_call_is_not_evicted(self) -> None:
        """The next call of a program waits, and another call needs memory.

        If the cache were evicted, the waiting call would recompute it and evict
        a third one in turn.
        """
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        paused_caches.paused("back", "tool", 5000, 0.0)
        paused_caches.paused("away", "tool", 5000, 1.0)
        self.assertEqual(5000, paused_caches.called("back", 2.0))
        self.assertEqual(
            [cache_retention.Drop("away")], paused_caches.victims(5000, 2.0)
        )

    def test_the_cache_of_a_hung_tool_is_evicted(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        add_pauses(paused_caches, "quick", 0.5)
        paused_caches.paused("hung", "quick", 5000, 0.0)
        self.assertEqual([], paused_caches.sweep(29.0))
        self.assertEqual(
            [cache_retention.Drop("hung")], paused_caches.sweep(31.0)
        )
        self.assertEqual(0, paused_caches.tokens)

    def test_no_cache_is_held_for_more_than_ten_minutes(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        add_pauses(paused_caches, "slow", 5000.0)
        paused_caches.paused("p", "slow", 5000, 0.0)
        self.assertThat(paused_caches.sweep(600.0), matchers.HasLength(1))

    def test_a_program_that_ended_releases_its_memory(self) -> None:
        paused_caches = cache_retention.PausedCaches(OPTIONS)
        paused_caches.paused("p", "tool", 5000, 0.0)
        self.assertTrue(paused_caches.program_ended("p"))
        self.assertFalse(paused_caches.program_ended("p"))
        self.assertEqual(0, paused_caches.tokens)

    def test_under_pressure_the_cache_of_a_long_pause_is_exported(self) -> None:
        options = OPTIONS._replace(export_rate=60_000.0)
        paused_caches = cache_retention.PausedCaches(options)
        add_pauses(paused_caches, "long", 40.0)
        add_pauses(paused_caches, "short", 0.5)
        paused_caches.paused("other", "short", 90_000, 0.0)
        action = paused_caches.paused("p", "long", 5000, 0.0)
        self.assertEqual(cache_retention.Export("p"), action)
