"""Tokens of running turns: what they hold and what an upstream can take."""

import random

import testtools

from mintcleat.decisions import engine_memory
from mintcleat.domain import routed_calls


def turn(
    prefixes: engine_memory.Prefixes,
    program: str,
    *parts: tuple[str, int],
    prompt: int = 0,
    output: int = 0,
) -> engine_memory.TurnTokens:
    found = tuple(routed_calls.PromptPart(*part) for part in parts)
    return prefixes.tokens_of(
        program, routed_calls.Generation("m", prompt, output, found)
    )


class PrefixesTest(testtools.TestCase):
    def test_prefix_is_shared_once_a_second_program_begins_with_it(
        self,
    ) -> None:
        prefixes = engine_memory.Prefixes()
        first = turn(prefixes, "p", ("s", 500), ("a", 100), output=50)
        self.assertEqual((0, 650), (first.shared_tokens, first.own))
        second = turn(prefixes, "q", ("s", 500), ("b", 100), output=50)
        self.assertEqual((500, 150), (second.shared_tokens, second.own))
        again = turn(prefixes, "p", ("s", 500), ("a", 100), output=50)
        self.assertEqual((500, 150), (again.shared_tokens, again.own))

    def test_history_of_one_program_is_its_own(self) -> None:
        prefixes = engine_memory.Prefixes()
        for _ in range(3):
            found = turn(prefixes, "p", ("a", 100), ("b", 30))
        self.assertEqual((0, 130, 30), (found.shared, found.own, found.last))

    def test_prompt_beyond_its_parts_is_new(self) -> None:
        prefixes = engine_memory.Prefixes()
        found = turn(prefixes, "p", ("a", 100), prompt=140, output=9)
        self.assertEqual(
            (149, 40, 140), (found.own, found.last, found.uncached)
        )

    def test_remembered_prefixes_are_bounded_and_shared_ones_stay(
        self,
    ) -> None:
        prefixes = engine_memory.Prefixes()
        turn(prefixes, "p", ("s", 1))
        for number in range(2 * engine_memory.MAX_PREFIXES):
            turn(prefixes, f"p{number}", ("s", 1), (f"a{number}", 1))
        self.assertEqual(engine_memory.MAX_PREFIXES, len(prefixes.programs))
        self.assertIsNone(prefixes.programs["s"])

    def test_what_callers_state_is_bounded(self) -> None:
        """Callers choose ids and numbers; reports must stay encodable."""
        prefixes = engine_memory.Prefixes()
        found = turn(prefixes, "p", ("a", 2**52), ("b", 2**52), output=2**52)
        self.assertEqual(engine_memory.MAX_TOKENS, found.total)
        turn(prefixes, "p", ("x" * 10_000, 5))
        turn(prefixes, "y" * 10_000, ("a", 5))
        self.assertEqual({}, prefixes.programs)


class RunningTokensTest(testtools.TestCase):
    def test_shared_parts_count_once_and_own_ones_per_turn(self) -> None:
        prefixes = engine_memory.Prefixes()
        turn(prefixes, "x", ("s", 500))
        running = engine_memory.RunningTokens()
        for name in "pqr":
            running.add(
                name, turn(prefixes, name, ("s", 500), (name, 100), output=20)
            )
        self.assertEqual(500 + 3 * 120, running.total)
        self.assertEqual(3 * 120, running.own)
        further = turn(prefixes, "t", ("s", 500), ("t", 40), output=5)
        self.assertEqual(45, running.needed(further))

    def test_sums_return_to_zero_in_any_order(self) -> None:
        """Guards against sums that drift when turns end in another order."""
        rng = random.Random(3)
        prefixes = engine_memory.Prefixes()
        running = engine_memory.RunningTokens()
        present: list[str] = []
        for number in range(500):
            if present and rng.random() < 0.5:
                running.remove(present.pop(rng.randrange(len(present))))
            else:
                program = f"p{rng.randrange(5)}"
                parts = [("s", 300), (program, 90), (f"{number}", 10)]
                count = rng.randrange(1, 4)
                found = turn(prefixes, program, *parts[:count], output=7)
                running.add(f"r{number}", found)
                running.add(f"r{number}", found)
                present.append(f"r{number}")
            identified = {
                part.id: part.tokens
                for one in running.turns.values()
                for part in one.parts
            }
            self.assertEqual(
                sum(identified.values()) + 7 * len(present), running.total
            )
        for request in present:
            running.remove(request)
        running.remove("absent")
        self.assertEqual(
            (0, 0, {}), (running.total, running.own, running.parts)
        )

    def test_unknown_memory_bounds_nothing(self) -> None:
        self.assertEqual(float("inf"), engine_memory.room(0, 10**9))
        self.assertEqual(-5, engine_memory.room(100, 105))
