"""What is left of a program, from what finished."""

import testtools

from mintcleat.decisions import remaining_work


class LearnerTest(testtools.TestCase):
    def test_without_evidence_the_attained_service_stands_in(self) -> None:
        remaining = remaining_work.Learner().remaining("new", 700)
        self.assertEqual((700.0, False), (remaining.tokens, remaining.known))

    def test_a_program_past_the_short_ones_has_long_to_go(self) -> None:
        learner = remaining_work.Learner()
        for _ in range(20):
            learner.finished("agent", 500, 3)
            learner.finished("agent", 20_000, 40)
        early = learner.remaining("agent", 100)
        late = learner.remaining("agent", 2000)
        self.assertEqual(10_150.0, early.tokens)
        self.assertEqual(18_000.0, late.tokens)

    def test_a_changed_agent_is_learned_anew(self) -> None:
        learner = remaining_work.Learner()
        for _ in range(600):
            learner.finished("agent", 100, 2)
        for _ in range(3000):
            learner.finished("agent", 10_000, 2)
        left = learner.remaining("agent", 0).tokens
        self.assertTrue(9_000 < left <= 10_000)
