"""What becomes of caches over tool pauses."""

import testtools
from testtools import matchers

from mintcleat.decisions import cache_retention

OPTIONS = cache_retention.Options(memory=100_000)


def learned(keeper: cache_retention.Keeper, tool: str, pause: float) -> None:
    for number in range(10):
        name = f"{tool}{number}"
        keeper.paused(name, tool, 1, 0.0)
        keeper.called(name, pause)
        keeper.started(name)


class KeeperTest(testtools.TestCase):
    def test_the_cache_used_furthest_in_the_future_goes_first(self) -> None:
        keeper = cache_retention.Keeper(OPTIONS)
        learned(keeper, "long", 40.0)
        learned(keeper, "short", 0.5)
        keeper.paused("patient", "long", 5000, 0.2)
        keeper.paused("soon", "short", 5000, 0.0)
        self.assertEqual(
            [cache_retention.Drop("patient")], keeper.victims(5000, 0.3)
        )

    def test_no_more_is_dropped_than_is_needed(self) -> None:
        keeper = cache_retention.Keeper(OPTIONS)
        keeper.paused("p", "tool", 5000, 0.0)
        self.assertEqual(
            [cache_retention.Drop("p", 3000)], keeper.victims(2000, 1.0)
        )
        self.assertEqual(3000, keeper.tokens)

    def test_the_cache_of_a_waiting_call_stays(self) -> None:
        """A program is back and its call waits in the queue.

        Another call needs room. Were this cache taken, its own call would
        rebuild it in turn and take the room of a third one, and so on.
        """
        keeper = cache_retention.Keeper(OPTIONS)
        keeper.paused("back", "tool", 5000, 0.0)
        keeper.paused("away", "tool", 5000, 1.0)
        self.assertEqual(5000, keeper.called("back", 2.0))
        self.assertEqual(
            [cache_retention.Drop("away")], keeper.victims(5000, 2.0)
        )

    def test_a_hung_tool_does_not_hold_memory_for_ever(self) -> None:
        keeper = cache_retention.Keeper(OPTIONS)
        learned(keeper, "quick", 0.5)
        keeper.paused("hung", "quick", 5000, 0.0)
        self.assertEqual([], keeper.sweep(29.0))
        self.assertEqual([cache_retention.Drop("hung")], keeper.sweep(31.0))
        self.assertEqual(0, keeper.tokens)

    def test_nothing_is_held_beyond_ten_minutes(self) -> None:
        keeper = cache_retention.Keeper(OPTIONS)
        learned(keeper, "slow", 5000.0)
        keeper.paused("p", "slow", 5000, 0.0)
        self.assertThat(keeper.sweep(600.0), matchers.HasLength(1))

    def test_a_program_that_ended_releases_its_memory(self) -> None:
        keeper = cache_retention.Keeper(OPTIONS)
        keeper.paused("p", "tool", 5000, 0.0)
        self.assertTrue(keeper.gone("p"))
        self.assertFalse(keeper.gone("p"))
        self.assertEqual(0, keeper.tokens)

    def test_under_pressure_a_long_pause_is_exported(self) -> None:
        options = OPTIONS._replace(export_rate=60_000.0)
        keeper = cache_retention.Keeper(options)
        learned(keeper, "long", 40.0)
        learned(keeper, "short", 0.5)
        keeper.paused("other", "short", 90_000, 0.0)
        action = keeper.paused("p", "long", 5000, 0.0)
        self.assertEqual(cache_retention.Export("p"), action)
