"""How many programs may be under way at one upstream, by its memory.

Made for engines whose memory cannot hold the histories of all programs that
would like to run. Past that point each program that returns evicts another's
cache, the rebuilds slow every turn, slower programs stay longer, and the
memory is shorter still: the engine is busy and programs hardly advance. A
program not yet started waits instead, as processes do in a system that keeps
working sets in memory; it loses nothing, for it has no history to lose.
"""

import math

# Part of the engine's time that rebuilding may take before fewer newcomers
# are let in. Below it, dropping long-paused programs is cheaper than leaving
# newcomers outside.
REBUILD_SHARE = 0.15
# Rebuilding is averaged over so many seconds, a few turns of a program.
WINDOW = 20.0
# Footprints may exceed the memory by this factor, which moves with the
# rebuilding seen: programs that mostly pause share the memory well. It grows
# slowly, only while newcomers wait, and shrinks fast, for newcomers let in
# too early stay for minutes.
START_FACTOR = 1.0
MIN_FACTOR = 0.7
MAX_FACTOR = 2.0
GROWTH = 0.01
SHRINKING = 0.03
# Until two newcomers were let in, one is expected each second.
_FIRST_INTERVAL = 1.0
_GAIN = 1 / 8


class WorkingSet:
    """Footprints of the programs under way at one upstream.

    Attributes:
        footprints: Expected tokens by program.
        factor: Footprints that the memory bears, as a part of it.
        rebuilt: Seconds of rebuilding, fading over `WINDOW`.
        interval: Moving average of seconds between two newcomers.
    """

    def __init__(self, rebuild_share: float = REBUILD_SHARE) -> None:
        self.rebuild_share = rebuild_share
        self.footprints: dict[str, float] = {}
        self.tokens = 0.0
        self.factor = START_FACTOR
        self.rebuilt = 0.0
        self.updated = 0.0
        self.held_back = False
        self.interval = _FIRST_INTERVAL
        self.last_newcomer = 0.0

    def enter(self, program: str, footprint: float) -> None:
        """Adds a program whose call starts, or renews its footprint."""
        self.leave(program)
        self.footprints[program] = footprint
        self.tokens += footprint

    def leave(self, program: str) -> None:
        """Removes a program whose cache is no longer here."""
        self.tokens -= self.footprints.pop(program, 0.0)

    def rebuild(self, seconds: float, now: float) -> None:
        """Counts engine time that goes into a history computed before."""
        self.adapt(now)
        self.rebuilt += seconds

    def adapt(self, now: float) -> None:
        """Moves the factor by the rebuilding since the last time."""
        elapsed = min(now - self.updated, WINDOW)
        self.updated = now
        if self.rebuilt > self.rebuild_share * WINDOW:
            self.factor *= math.exp(-SHRINKING * elapsed)
        elif self.held_back:
            self.factor += GROWTH * elapsed
        self.held_back = False
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, self.factor))
        self.rebuilt *= math.exp(-elapsed / WINDOW)

    def let_in(self, now: float) -> None:
        """Notes that a newcomer started."""
        gap = now - self.last_newcomer
        self.last_newcomer = now
        self.interval += (gap - self.interval) * _GAIN

    def fits(self, footprint: float, memory: float) -> bool:
        """Tells whether a newcomer fits; into an empty set, any does."""
        if not self.footprints:
            return True
        fits = self.tokens + footprint <= memory * self.factor
        self.held_back = self.held_back or not fits
        return fits

    def wait(self, ahead: int, now: float) -> float:
        """Predicts a newcomer's wait behind so many others.

        While none is let in, the time since the last one counts too; else a
        stop would go unnoticed and the queue fill beyond its bound.
        """
        return ahead * max(self.interval, now - self.last_newcomer)
