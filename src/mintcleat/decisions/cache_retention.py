"""Retention of a program's KV cache while its tool runs.

Applies to engines whose memory holds fewer histories than there are programs
in progress. If caches were dropped at each pause, every turn would recompute
its history. If they were held without limit, hung and abandoned programs would
take the memory. And eviction by age drops the caches that are about to be used.

So each cache is held, exported or dropped by expected cost, based on the
learned duration of tool pauses. This is a published retention policy.
"""

import dataclasses
import math
from typing import NamedTuple

from mintcleat.decisions import pauses

# A pause counts as hung (or its program as abandoned) when it is this many
# times as long as the given quantile of its tool's pauses.
HUNG_FACTOR = 4.0
HUNG_QUANTILE = 0.99
# Limits of that duration: a fast tool gets time for a retry of its own, and
# nothing is held for more than ten minutes.
MIN_HUNG_SECONDS = 30.0
MAX_HUNG_SECONDS = 600.0
# Maximum number of histograms, about 400 bytes each.
MAX_TOOLS = 512
# A cache that will be used within this time isn't worth evicting: recomputing
# an average history on a shared engine takes about as long.
SOON_SECONDS = 4.0
# Fraction of the memory in use below which holding a cache costs nothing.
PRESSURE_THRESHOLD = 0.8


@dataclasses.dataclass(frozen=True)
class Hold:
    """Keep the cache until the time `until`, then decide again."""

    until: float


@dataclasses.dataclass(frozen=True)
class Export:
    """Export the cache, then release it."""

    program: str


@dataclasses.dataclass(frozen=True)
class Drop:
    """Release the cache beyond its first `keep` tokens."""

    program: str
    keep: int = 0


Action = Hold | Export | Drop


class Options(NamedTuple):
    """Parameters of the retention policy.

    Attributes:
        memory: Tokens that the engine can hold.
        prefill_rate: Prompt tokens per second when a history is recomputed.
        export_rate: Tokens per second of an export or import; 0 if the engine
            has none.
        by_pause: Whether victims are chosen by expected use rather than age.
        bounded: Whether the caches of hung pauses are evicted.
    """

    memory: int
    prefill_rate: float = 5000.0
    export_rate: float = 0.0
    by_pause: bool = True
    bounded: bool = True


class Paused(NamedTuple):
    """A program between two calls whose cache is held.

    Attributes:
        tool: Key of the pause histogram, as `agent/tool`.
        tokens: Size of the cache.
        since: When its last call ended.
        waiting: Whether its next call waits in the queue.
    """

    program: str
    tool: str
    tokens: int
    since: float
    waiting: bool = False


class PausedCaches:
    """Caches of paused programs in the memory of one engine.

    Attributes:
        held: Paused programs by program id.
        tokens: Sum of the cache sizes.
        histograms: Durations of pauses by tool.
    """

    def __init__(self, options: Options) -> None:
        self.options = options
        self.held: dict[str, Paused] = {}
        self.tokens = 0
        self.histograms: dict[str, pauses.Histogram] = {}

    def paused(
        self, program: str, tool: str, tokens: int, now: float
    ) -> Action:
        """Records that a call ended; returns what to do with the cache."""
        self._forget(program)
        self.held[program] = Paused(program, tool, tokens, now)
        self.tokens += tokens
        return self.decide(program, now)

    def called(self, program: str, now: float) -> int:
        """Records that a program's next call waits; returns the cached tokens.

        Until the call starts, its cache is evicted only after all others.
        Evicting it would free memory for another call at the price of
        recomputing this history.
        """
        paused = self.held.get(program)
        if paused is None or paused.waiting:
            return paused.tokens if paused else 0
        self.histogram(paused.tool).add(now - paused.since)
        self.held[program] = paused._replace(waiting=True)
        return paused.tokens

    def refused(self, program: str, now: float) -> None:
        """Records that a call was refused; its cache may be evicted again."""
        paused = self.held.get(program)
        if paused is not None:
            self.held[program] = paused._replace(waiting=False, since=now)

    def started(self, program: str) -> None:
        """Records that the call runs; the engine manages its memory now."""
        self._forget(program)

    def pause_ended_uncached(self, tool: str, seconds: float) -> None:
        """Records the duration of a pause whose cache was already dropped.

        Without these, only short pauses would be counted, and longer ones
        would look as if their programs never returned.
        """
        self.histogram(tool).add(seconds)

    def program_ended(self, program: str) -> bool:
        """Removes a program that ended; returns whether it held a cache."""
        paused = self._forget(program)
        if paused is None:
            return False
        if not paused.waiting:
            self.histogram(paused.tool).add_abandoned()
        return True

    def decide(self, program: str, now: float) -> Action:
        """Returns what to do with the cache of a paused program."""
        paused = self.held[program]
        if now >= self._hung_after(paused):
            return self._evict(paused)
        if self._export_is_cheaper(paused, now):
            return self._evict(paused)
        return Hold(self._hung_after(paused))

    def sweep(self, now: float) -> list[Action]:
        """Evicts the caches of hung pauses; returns the actions."""
        hung = [
            paused
            for paused in self.held.values()
            if now >= self._hung_after(paused)
        ]
        return [self._evict(paused) for paused in hung]

    def victims(self, needed: int, now: float) -> list[Action]:
        """Frees `needed` tokens, caches of the lowest value first.

        The time to recompute a cache and the memory it takes both grow with
        its tokens. So its value is the probability of use divided by the
        expected time until then: the cache that will be used furthest in the
        future goes first.
        """
        ranked = sorted(
            self.held.values(), key=lambda paused: self._value(paused, now)
        )
        actions = []
        for paused in ranked:
            if needed <= 0:
                break
            actions.append(self._shorten(paused, needed))
            needed -= paused.tokens
        return actions

    def _shorten(self, paused: Paused, needed: int) -> Action:
        """Drops only as many tokens as needed, from the end of the history.

        The remaining prefix is still useful to a prefix cache.
        """
        keep = paused.tokens - needed
        if keep <= 0:
            return self._evict(paused)
        self.held[paused.program] = paused._replace(tokens=keep)
        self.tokens -= needed
        return Drop(paused.program, keep)

    def expected_soon(self, now: float) -> int:
        """Returns the tokens of caches expected to be used soon.

        Evicting them for a call that can wait gains nothing, as their programs
        will resume and evict other caches in turn.
        """
        return sum(
            paused.tokens
            for paused in self.held.values()
            if self._used_soon(paused, now)
        )

    def _used_soon(self, paused: Paused, now: float) -> bool:
        if paused.waiting:
            return True
        histogram = self.histogram(paused.tool)
        return histogram.mean_remaining(now - paused.since) < SOON_SECONDS

    def histogram(self, tool: str) -> pauses.Histogram:
        """Returns the histogram of a tool.

        Tool names come from model output and are unbounded, so all tools
        beyond the first `MAX_TOOLS` share one histogram.
        """
        if tool not in self.histograms and len(self.histograms) >= MAX_TOOLS:
            tool = ""
        return self.histograms.setdefault(tool, pauses.Histogram())

    def _value(self, paused: Paused, now: float) -> float:
        if paused.waiting:
            return math.inf
        if not self.options.by_pause:
            # The cache of the longest pause has the lowest value.
            return paused.since
        histogram = self.histogram(paused.tool)
        elapsed = now - paused.since
        return histogram.return_probability(elapsed) / histogram.mean_remaining(
            elapsed
        )

    def _hung_after(self, paused: Paused) -> float:
        if not self.options.bounded or paused.waiting:
            return math.inf
        usual = self.histogram(paused.tool).quantile(HUNG_QUANTILE)
        bound = min(MAX_HUNG_SECONDS, HUNG_FACTOR * usual)
        return paused.since + max(MIN_HUNG_SECONDS, bound)

    def _export_is_cheaper(self, paused: Paused, now: float) -> bool:
        """Returns whether to export the cache rather than hold it.

        Only under memory pressure, and only if the expected pause is long
        compared with the export and import.
        """
        rate = self.options.export_rate
        if not rate or self.tokens < PRESSURE_THRESHOLD * self.options.memory:
            return False
        transfer_seconds = 2 * paused.tokens / rate
        recompute_seconds = paused.tokens / self.options.prefill_rate
        remaining_pause = self.histogram(paused.tool).mean_remaining(
            now - paused.since
        )
        return (
            transfer_seconds < recompute_seconds
            and remaining_pause > 2 * transfer_seconds
        )

    def _evict(self, paused: Paused) -> Action:
        self._forget(paused.program)
        rate = self.options.export_rate
        # The cache is transferred twice: by the export and by the import.
        if rate and 2 * self.options.prefill_rate < rate:
            return Export(paused.program)
        return Drop(paused.program)

    def _forget(self, program: str) -> Paused | None:
        paused = self.held.pop(program, None)
        if paused is not None:
            self.tokens -= paused.tokens
        return paused
