"""What becomes of a program's KV cache while its tool runs.

Made for engines whose memory holds fewer histories than there are programs
under way. Dropped at each pause, every turn rebuilds its history; held
without limit, hung and abandoned programs crowd out the live ones; evicted by
age, the engine drops just those that are about to return.

The policy is the published retention over tool pauses: hold, export or drop
by expected cost.
"""

import dataclasses
import math
from typing import NamedTuple

from mintcleat.decisions import pauses

# A pause this many times longer than nearly all of its tool is a hung tool
# or an abandoned program.
HUNG_FACTOR = 4.0
HUNG_QUANTILE = 0.99
# The bound lies between these whatever the histogram says: a fast tool gets
# time for a retry of its own, and nothing is held longer than ten minutes.
MIN_HUNG_SECONDS = 30.0
MAX_HUNG_SECONDS = 600.0
# Histograms kept, about 400 bytes each.
MAX_TOOLS = 512
# A cache expected back within this is not worth evicting: a rebuild of a
# usual history, with its share of the engine, takes about as long.
SOON_SECONDS = 4.0
# Under this part of the memory, holding costs nothing.
FREE_PRESSURE = 0.8


@dataclasses.dataclass(frozen=True)
class Hold:
    """Keep the cache until `until`, then ask again."""

    until: float


@dataclasses.dataclass(frozen=True)
class Export:
    """Write the cache out, then release it."""

    program: str


@dataclasses.dataclass(frozen=True)
class Drop:
    """Release the cache beyond its first `keep` tokens."""

    program: str
    keep: int = 0


Action = Hold | Export | Drop


class Options(NamedTuple):
    """What holding is weighed by.

    Attributes:
        memory: Tokens that the engine can hold.
        prefill_rate: Prompt tokens a second that a rebuild computes.
        export_rate: Tokens a second of an export or import; 0 if impossible.
        by_pause: Whether victims are chosen by expected return, not by age.
        bounded: Whether hung pauses are cut off.
    """

    memory: int
    prefill_rate: float = 5000.0
    export_rate: float = 0.0
    by_pause: bool = True
    bounded: bool = True


class Paused(NamedTuple):
    """A program whose cache is held while it is between calls.

    Attributes:
        tool: Name under which pauses are learned, as `agent/tool`.
        since: When its last call ended.
        waiting: Whether its next call waits in the queue.
    """

    program: str
    tool: str
    tokens: int
    since: float
    waiting: bool = False


class PausedCaches:
    """Caches of paused programs in one engine's memory."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.held: dict[str, Paused] = {}
        self.tokens = 0
        self.histograms: dict[str, pauses.Histogram] = {}

    def paused(
        self, program: str, tool: str, tokens: int, now: float
    ) -> Action:
        """Notes that a call ended and its program's cache is still there."""
        self._forget(program)
        self.held[program] = Paused(program, tool, tokens, now)
        self.tokens += tokens
        return self.decide(program, now)

    def called(self, program: str, now: float) -> int:
        """Learns the pause; returns the cached tokens that the call can use.

        From here to its start the cache is not evicted: the call that makes
        room for itself would only change places with this one.
        """
        paused = self.held.get(program)
        if paused is None or paused.waiting:
            return paused.tokens if paused else 0
        self.histogram(paused.tool).add(now - paused.since)
        self.held[program] = paused._replace(waiting=True)
        return paused.tokens

    def refused(self, program: str, now: float) -> None:
        """Notes that a call was not taken; its cache may go again."""
        paused = self.held.get(program)
        if paused is not None:
            self.held[program] = paused._replace(waiting=False, since=now)

    def started(self, program: str) -> None:
        """Notes that the call runs; its memory is the engine's own now."""
        self._forget(program)

    def missed(self, tool: str, seconds: float) -> None:
        """Learns a pause whose cache was dropped before its end.

        Left out, only short pauses would be learned, and the rest believed
        never to return.
        """
        self.histogram(tool).add(seconds)

    def gone(self, program: str) -> bool:
        """Forgets a program that ended; tells whether memory is to release."""
        paused = self._forget(program)
        if paused is None:
            return False
        if not paused.waiting:
            self.histogram(paused.tool).add_gone()
        return True

    def decide(self, program: str, now: float) -> Action:
        """Returns what to do with the cache of a paused program."""
        paused = self.held[program]
        if now >= self._hung_at(paused):
            return self._put_out(paused)
        if self._export_is_cheaper(paused, now):
            return self._put_out(paused)
        return Hold(self._hung_at(paused))

    def sweep(self, now: float) -> list[Action]:
        """Returns what to release because its pause grew too long."""
        hung = [
            paused
            for paused in self.held.values()
            if now >= self._hung_at(paused)
        ]
        return [self._put_out(paused) for paused in hung]

    def victims(self, needed: int, now: float) -> list[Action]:
        """Frees `needed` tokens, least expected benefit first.

        Rebuild time and memory both grow with the tokens, so what counts is
        the chance of return over the expected rest of the pause: the
        cache that will be used furthest in the future goes first.
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
        """Drops no more of a history than is needed, from its end.

        A prefix cache can use what is left of it.
        """
        keep = paused.tokens - needed
        if keep <= 0:
            return self._put_out(paused)
        self.held[paused.program] = paused._replace(tokens=keep)
        self.tokens -= needed
        return Drop(paused.program, keep)

    def expected_soon(self, now: float) -> int:
        """Returns the tokens of caches that will probably be used soon.

        Evicting them for a call that can wait a moment gains nothing: their
        programs come back and evict in turn.
        """
        return sum(
            paused.tokens
            for paused in self.held.values()
            if self._soon(paused, now)
        )

    def _soon(self, paused: Paused, now: float) -> bool:
        if paused.waiting:
            return True
        histogram = self.histogram(paused.tool)
        return histogram.left(now - paused.since) < SOON_SECONDS

    def histogram(self, tool: str) -> pauses.Histogram:
        """Returns the histogram of a tool.

        Tool names come out of model answers; beyond a number of them, the
        rest share one.
        """
        if tool not in self.histograms and len(self.histograms) >= MAX_TOOLS:
            tool = ""
        return self.histograms.setdefault(tool, pauses.Histogram())

    def _value(self, paused: Paused, now: float) -> float:
        if paused.waiting:
            return math.inf
        if not self.options.by_pause:
            return paused.since
        histogram = self.histogram(paused.tool)
        elapsed = now - paused.since
        return histogram.chance(elapsed) / histogram.left(elapsed)

    def _hung_at(self, paused: Paused) -> float:
        if not self.options.bounded or paused.waiting:
            return math.inf
        usual = self.histogram(paused.tool).quantile(HUNG_QUANTILE)
        bound = min(MAX_HUNG_SECONDS, HUNG_FACTOR * usual)
        return paused.since + max(MIN_HUNG_SECONDS, bound)

    def _export_is_cheaper(self, paused: Paused, now: float) -> bool:
        """Tells whether exporting beats holding through the pause.

        Only under pressure, and only when the pause is long against the time
        of the export and import themselves.
        """
        rate = self.options.export_rate
        if not rate or self.tokens < FREE_PRESSURE * self.options.memory:
            return False
        moving = 2 * paused.tokens / rate
        rebuild = paused.tokens / self.options.prefill_rate
        left = self.histogram(paused.tool).left(now - paused.since)
        return moving < rebuild and left > 2 * moving

    def _put_out(self, paused: Paused) -> Action:
        self._forget(paused.program)
        rate = self.options.export_rate
        if rate and 2 * self.options.prefill_rate < rate:
            return Export(paused.program)
        return Drop(paused.program)

    def _forget(self, program: str) -> Paused | None:
        paused = self.held.pop(program, None)
        if paused is not None:
            self.tokens -= paused.tokens
        return paused
