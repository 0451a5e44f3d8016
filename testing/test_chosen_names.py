"""Growth of tables whose names are chosen by callers that nobody controls."""

import testtools

from mintcleat.domain import program_messages
from mintcleat.roles.entry import turn_client


def _kept(turn: str, content: bytes = b"") -> program_messages.KeptTurn:
    return program_messages.KeptTurn(turn, "", content, content, "u:1", "c")


class ChainCacheTest(testtools.TestCase):
    def test_turns_without_content_do_not_fill_the_memory_of_an_entry(
        self,
    ) -> None:
        cache = turn_client.ChainCache(limit=64 * 1024)
        for number in range(1000):
            cache.put(_kept(f"turn-{number}"))
        self.assertTrue(len(cache.turns) <= 128, len(cache.turns))

    def test_long_names_of_turns_count_against_the_cache(self) -> None:
        cache = turn_client.ChainCache(limit=64 * 1024)
        for number in range(100):
            cache.put(_kept(f"{number:08000}"))
        held = sum(len(turn.name) for turn in cache.turns)
        self.assertTrue(held <= cache.limit, held)

    def test_size_of_the_cache_does_not_drift(self) -> None:
        cache = turn_client.ChainCache(limit=8 * 1024)
        for number in range(100):
            cache.put(_kept(f"turn-{number % 40}", bytes(number)))
        sizes = [turn_client.cached_size(kept) for kept in cache.turns.values()]
        self.assertEqual(sum(sizes), cache.size)
