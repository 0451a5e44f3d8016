"""A simple engine: continuous batching, prefix cache, limited memory.

Prefill is first come first served; while prefill and decode both have work
each gets half of the engine. A token takes `BASE + SLOPE * batch` seconds.
"""

import heapq
from typing import Any

PREFILL_RATE = 8000.0
BASE = 0.012
SLOPE = 0.0008
BATCH = 24
# Tokens a second between two engines' caches, a few times a rebuild's.
EXPORT_RATE = 60000.0


def decode_seconds() -> float:
    """Returns engine seconds per token when the batch is full."""
    return (BASE + SLOPE * BATCH) / BATCH


class Engine:
    """Piecewise constant rates; `advance` moves to a time, then change."""

    def __init__(self, memory: int, slow: float = 1.0) -> None:
        self.memory = memory
        self.slow = slow
        self.clock = 0.0
        self.progress = 0.0
        self.prefills: list[list[Any]] = []
        self.decodes: list[tuple[float, int, Any]] = []
        self.numbers = 0
        self.cached: dict[str, int] = {}
        self.cached_tokens = 0
        self.running_tokens = 0

    def token_time(self) -> float:
        """Returns seconds per token now."""
        pace = (BASE + SLOPE * max(1, len(self.decodes))) * self.slow
        return pace * (2.0 if self.prefills else 1.0)

    def advance(self, now: float) -> None:
        """Runs the engine up to `now`; no end may lie before it."""
        elapsed = now - self.clock
        self.clock = now
        if elapsed <= 0:
            return
        if self.prefills:
            self.prefills[0][0] -= elapsed * self._prefill_rate()
        if self.decodes:
            self.progress += elapsed / self.token_time()

    def next_end(self) -> float | None:
        """Returns when the next prefill or decode ends."""
        ends = []
        if self.prefills:
            ends.append(max(0.0, self.prefills[0][0]) / self._prefill_rate())
        if self.decodes:
            left = max(0.0, self.decodes[0][0] - self.progress)
            ends.append(left * self.token_time())
        return self.clock + min(ends) if ends else None

    def start(self, job: Any, compute: int, generate: int) -> None:
        """Starts a job: `compute` prompt tokens, then `generate` tokens."""
        self.prefills.append([float(compute), generate, job])

    def pop_ended(self) -> tuple[list[Any], list[Any]]:
        """Returns jobs whose prefill ended and jobs that are complete."""
        firsts = []
        while self.prefills and self.prefills[0][0] <= 1e-6:
            _, generate, job = self.prefills.pop(0)
            self.numbers += 1
            end = self.progress + generate
            heapq.heappush(self.decodes, (end, self.numbers, job))
            firsts.append(job)
        done = []
        while self.decodes and self.decodes[0][0] <= self.progress + 1e-6:
            done.append(heapq.heappop(self.decodes)[2])
        return firsts, done

    def free(self) -> int:
        """Returns tokens of memory that nothing uses."""
        return self.memory - self.cached_tokens - self.running_tokens

    def keep(self, program: str, tokens: int) -> None:
        """Keeps a program's history in the cache."""
        self.drop(program)
        self.cached[program] = tokens
        self.cached_tokens += tokens

    def drop(self, program: str) -> int:
        """Frees a program's history; returns its tokens."""
        tokens = self.cached.pop(program, 0)
        self.cached_tokens -= tokens
        return tokens

    def _prefill_rate(self) -> float:
        share = 0.5 if self.decodes else 1.0
        return PREFILL_RATE * share / self.slow
