"""Estimates the remaining work of a program from finished ones of its agent.

The call graph of a program is unknown. The only evidence is how many tokens
and turns earlier programs of the same agent took in total. Programs of an agent
can differ by orders of magnitude, so the estimate is the mean remaining work of
those that got at least as far as this one.
"""

import math
from typing import NamedTuple

# Finished programs needed for an estimate. With fewer, a single unusual program
# would determine the order of the whole queue.
MIN_EVIDENCE = 8
# Samples after which all counts are halved, so that the histogram adapts to a
# changed agent within this many finished programs.
MAX_SAMPLES = 512
# Mean tokens of a program, assumed until some have finished.
INITIAL_MEAN_TOKENS = 4000.0
_BUCKETS = 48
_GROWTH = math.sqrt(2.0)


class Remaining(NamedTuple):
    """Expected remaining work of a program.

    Attributes:
        tokens: Remaining tokens.
        turns: Remaining turns.
        known: False if too few programs of the agent have finished.
    """

    tokens: float
    turns: float
    known: bool


class TotalsHistogram:
    """Histogram of the totals of finished programs.

    Buckets grow by sqrt(2), so an estimate is within 20% of the exact value of
    the samples, and the size is constant: 48 counts and sums.

    Attributes:
        counts: Samples per bucket.
        sums: Sum of the samples per bucket.
        total: Number of samples.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.sums = [0.0] * _BUCKETS
        self.total = 0.0

    def add(self, value: float) -> None:
        """Adds the total of one finished program."""
        if self.total >= MAX_SAMPLES:
            self._decay()
        bucket = _bucket(value)
        self.counts[bucket] += 1.0
        self.sums[bucket] += value
        self.total += 1.0

    def mean_remaining(self, attained: float) -> float:
        """Returns the mean remainder of samples larger than `attained`."""
        first = _bucket(attained)
        count = sum(self.counts[first:])
        if count < 1.0:
            # Larger than all samples: with a heavy-tailed distribution, about
            # as much remains as was attained.
            return max(attained, 1.0)
        mean = sum(self.sums[first:]) / count
        return max(mean - attained, 1.0)

    def _decay(self) -> None:
        self.counts = [count / 2 for count in self.counts]
        self.sums = [total / 2 for total in self.sums]
        self.total /= 2


class Estimator:
    """Estimates of remaining work and answer size, by agent.

    Attributes:
        mean_tokens: Moving average of tokens of all finished programs.
        tokens: Total tokens of finished programs.
        turns: Total turns of finished programs.
        answer_sizes: Moving average of tokens per answer.
    """

    def __init__(self) -> None:
        self.mean_tokens = INITIAL_MEAN_TOKENS
        self.tokens: dict[str, TotalsHistogram] = {}
        self.turns: dict[str, TotalsHistogram] = {}
        self.answer_sizes: dict[str, float] = {}

    def answered(self, agent: str, generated: int) -> None:
        """Records the number of tokens in one answer."""
        mean = self.answer_sizes.get(agent, float(generated))
        self.answer_sizes[agent] = mean + (generated - mean) / 16

    def answer_tokens(self, agent: str, fallback: int) -> int:
        """Returns the expected tokens in an answer to a call of this agent."""
        return int(self.answer_sizes.get(agent, fallback))

    def finished(self, agent: str, tokens: int, turns: int) -> None:
        """Records the total tokens and turns of a finished program."""
        self.mean_tokens += (tokens - self.mean_tokens) / 32
        self.tokens.setdefault(agent, TotalsHistogram()).add(tokens)
        self.turns.setdefault(agent, TotalsHistogram()).add(turns)

    def remaining(self, agent: str, attained: int, turns: int = 0) -> Remaining:
        """Returns the expected remaining work of a program.

        Without enough samples the attained tokens are returned as the
        remaining ones, which gives least-attained-service order.

        Args:
            agent: Name of the agent program.
            attained: Tokens served to the program so far.
            turns: Turns of the program so far.
        """
        tokens = self.tokens.get(agent)
        if tokens is None or tokens.total < MIN_EVIDENCE:
            return Remaining(float(attained), 0.0, known=False)
        remaining_turns = self.turns[agent].mean_remaining(turns)
        return Remaining(
            tokens.mean_remaining(attained), remaining_turns, known=True
        )


def _bucket(value: float) -> int:
    if value <= 1.0:
        return 0
    return min(_BUCKETS - 1, int(math.log(value, _GROWTH)) + 1)
