"""Model of an inference engine: continuous batching and a prefix cache.

Prefill is first come, first served. While both prefill and decode have work,
each gets half of the engine. One decode step, which yields a token for every
job of the batch, takes `TOKEN_BASE_SECONDS +
TOKEN_SECONDS_PER_JOB * batch` seconds.
"""

import heapq
from typing import Any

# Prompt tokens per second.
PREFILL_RATE = 8000.0
TOKEN_BASE_SECONDS = 0.012
TOKEN_SECONDS_PER_JOB = 0.0008
MAX_BATCH = 24
# Tokens per second that are copied from one engine's cache to another's; a
# few times faster than computing them again.
EXPORT_RATE = 60000.0


def decode_seconds() -> float:
    """Returns the engine seconds of one token when the batch is full."""
    return (TOKEN_BASE_SECONDS + TOKEN_SECONDS_PER_JOB * MAX_BATCH) / MAX_BATCH


class Engine:
    """One engine, whose rates are constant between two changes of its jobs.

    Call `advance` before each change, so that past time is accounted for at
    the old rates.

    Attributes:
        memory: Capacity for prompt and answer tokens, cached ones included.
        slowdown: Factor by which prefill and decode take longer.
        clock: Time up to which the engine has run.
        decoded_steps: Decode steps done since the start.
        prefills: Waiting prefills, as [tokens left, answer tokens, job].
        decodes: Heap of (step at which it finishes, sequence number, job).
        cached_histories: Tokens of the cached history, by program.
    """

    def __init__(self, memory: int, slowdown: float = 1.0) -> None:
        self.memory = memory
        self.slowdown = slowdown
        self.clock = 0.0
        self.decoded_steps = 0.0
        self.prefills: list[list[Any]] = []
        self.decodes: list[tuple[float, int, Any]] = []
        self.sequence = 0
        self.cached_histories: dict[str, int] = {}
        self.cached_tokens = 0
        self.running_tokens = 0

    def token_time(self) -> float:
        """Returns the seconds of one decode step now."""
        seconds = (
            TOKEN_BASE_SECONDS
            + TOKEN_SECONDS_PER_JOB * max(1, len(self.decodes))
        ) * self.slowdown
        return seconds * (2.0 if self.prefills else 1.0)

    def advance(self, now: float) -> None:
        """Runs the engine up to `now`, at most the time of `next_finish`."""
        elapsed = now - self.clock
        self.clock = now
        if elapsed <= 0:
            return
        if self.prefills:
            self.prefills[0][0] -= elapsed * self._prefill_rate()
        if self.decodes:
            self.decoded_steps += elapsed / self.token_time()

    def next_finish(self) -> float | None:
        """Returns when the next prefill or decode finishes; None if idle."""
        ends = []
        if self.prefills:
            ends.append(max(0.0, self.prefills[0][0]) / self._prefill_rate())
        if self.decodes:
            steps = max(0.0, self.decodes[0][0] - self.decoded_steps)
            ends.append(steps * self.token_time())
        return self.clock + min(ends) if ends else None

    def start(self, job: Any, compute: int, generate: int) -> None:
        """Queues a job.

        Args:
            job: Returned by `pop_finished` when it is prefilled and completed.
            compute: Prompt tokens that are not cached.
            generate: Tokens of the answer.
        """
        self.prefills.append([float(compute), generate, job])

    def pop_finished(self) -> tuple[list[Any], list[Any]]:
        """Removes and returns the prefilled and the completed jobs."""
        prefilled = []
        while self.prefills and self.prefills[0][0] <= 1e-6:
            _, generate, job = self.prefills.pop(0)
            self.sequence += 1
            end = self.decoded_steps + generate
            heapq.heappush(self.decodes, (end, self.sequence, job))
            prefilled.append(job)
        completed = []
        while self.decodes and self.decodes[0][0] <= self.decoded_steps + 1e-6:
            completed.append(heapq.heappop(self.decodes)[2])
        return prefilled, completed

    def free_tokens(self) -> int:
        """Returns the tokens of memory that are free; negative if overused."""
        return self.memory - self.cached_tokens - self.running_tokens

    def cache_history(self, program: str, tokens: int) -> None:
        """Caches a program's history of `tokens` tokens."""
        self.evict(program)
        self.cached_histories[program] = tokens
        self.cached_tokens += tokens

    def evict(self, program: str) -> int:
        """Evicts a program's history; returns its tokens, 0 if not cached."""
        tokens = self.cached_histories.pop(program, 0)
        self.cached_tokens -= tokens
        return tokens

    def _prefill_rate(self) -> float:
        share = 0.5 if self.decodes else 1.0
        return PREFILL_RATE * share / self.slowdown
