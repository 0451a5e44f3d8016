"""How many programs may be under way at one upstream, by its memory.

Made for engines whose memory cannot hold the histories of all programs that
would like to run. Past that point each program that returns evicts another's
cache, the rebuilds slow every turn, slower programs stay longer, and the
memory is shorter still: the engine is busy and programs hardly advance. A
program not yet started waits instead, as processes do in a system that keeps
working sets in memory; it loses nothing, for it has no history to lose.
"""

from typing import NamedTuple

# Footprints may exceed the memory by this much in all: not all programs are
# at their largest at once, and some pause long enough to be put out.
OVERCOMMIT = 1.0
_GAIN = 1 / 8
# Until two newcomers were let in, one is expected each second.
_FIRST_INTERVAL = 1.0


class Options(NamedTuple):
    """Memory in tokens; 0 turns the working set off."""

    memory: int = 0
    overcommit: float = OVERCOMMIT


class WorkingSet:
    """Footprints of the programs under way at one upstream.

    Attributes:
        footprints: Expected tokens by program.
        interval: Moving average of seconds between two newcomers.
    """

    def __init__(self) -> None:
        self.footprints: dict[str, float] = {}
        self.tokens = 0.0
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

    def let_in(self, now: float) -> None:
        """Notes that a newcomer started after a wait for memory."""
        gap = now - self.last_newcomer
        self.last_newcomer = now
        self.interval += (gap - self.interval) * _GAIN

    def fits(self, footprint: float, memory: float) -> bool:
        """Tells whether a newcomer fits; into an empty set, any does."""
        return not self.footprints or self.tokens + footprint <= memory
