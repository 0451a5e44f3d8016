"""What is left of a program, learned per agent program from finished ones.

The call graph of a program is unknown, so the only evidence is how much
service and how many turns earlier programs of the same agent took in all.
Made for agents whose programs differ by orders of magnitude: the estimate is
the mean residual among those that got at least as far as this one.
"""

import math
from typing import NamedTuple

# Programs that must have finished before their history counts as evidence;
# fewer would let one odd program order the whole queue.
MIN_EVIDENCE = 8
# Finished programs that the histograms remember. Older ones fade, so that a
# changed agent program is learned anew within this many ends.
MEMORY = 512
# Tokens of a usual program until some have finished.
START_TYPICAL = 4000.0
_BUCKETS = 48
_STEP = math.sqrt(2.0)


class Remaining(NamedTuple):
    """Expected rest of a program; `known` is False without evidence."""

    tokens: float
    turns: float
    known: bool


class Residual:
    """Histogram of totals that answers: how much is left after `attained`?

    Buckets grow by sqrt(2), so an estimate is within 20% of the sample's
    and the state is 48 pairs of numbers whatever the number of programs.
    """

    def __init__(self) -> None:
        self.counts = [0.0] * _BUCKETS
        self.sums = [0.0] * _BUCKETS
        self.total = 0.0

    def add(self, value: float) -> None:
        """Counts the total of one finished program."""
        if self.total >= MEMORY:
            self._fade()
        bucket = _bucket(value)
        self.counts[bucket] += 1.0
        self.sums[bucket] += value
        self.total += 1.0

    def left(self, attained: float) -> float:
        """Returns the mean rest among programs that got past `attained`."""
        first = _bucket(attained)
        count = sum(self.counts[first:])
        if count < 1.0:
            # Longer than all seen: programs with heavy tails have about as
            # much before them as behind them.
            return max(attained, 1.0)
        mean = sum(self.sums[first:]) / count
        return max(mean - attained, 1.0)

    def _fade(self) -> None:
        self.counts = [count / 2 for count in self.counts]
        self.sums = [total / 2 for total in self.sums]
        self.total /= 2


class Estimator:
    """Expected rest of programs, by agent program.

    Attributes:
        typical: Moving average of tokens of finished programs of all agents.
    """

    def __init__(self) -> None:
        self.typical = START_TYPICAL
        self.tokens: dict[str, Residual] = {}
        self.turns: dict[str, Residual] = {}
        self.answers: dict[str, float] = {}

    def answered(self, agent: str, generated: int) -> None:
        """Learns the size of one answer."""
        known = self.answers.get(agent, float(generated))
        self.answers[agent] = known + (generated - known) / 16

    def answer_tokens(self, agent: str, fallback: int) -> int:
        """Returns the tokens that a call of this agent will generate."""
        return int(self.answers.get(agent, fallback))

    def finished(self, agent: str, tokens: int, turns: int) -> None:
        """Learns from a program that ended."""
        self.typical += (tokens - self.typical) / 32
        self.tokens.setdefault(agent, Residual()).add(tokens)
        self.turns.setdefault(agent, Residual()).add(turns)

    def remaining(self, agent: str, attained: int, turns: int = 0) -> Remaining:
        """Returns what is left of a program that attained so much.

        Without evidence, the attained service stands for the rest; that is
        the least-attained-service order.
        """
        tokens = self.tokens.get(agent)
        if tokens is None or tokens.total < MIN_EVIDENCE:
            return Remaining(float(attained), 0.0, known=False)
        left = self.turns[agent].left(turns)
        return Remaining(tokens.left(attained), left, known=True)


def _bucket(value: float) -> int:
    if value <= 1.0:
        return 0
    return min(_BUCKETS - 1, int(math.log(value, _STEP)) + 1)
