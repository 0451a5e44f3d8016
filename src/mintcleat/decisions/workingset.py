"""How many programs may be under way at one upstream, by its memory.

Made for engines whose memory cannot hold the histories of all programs that
would like to run. Past that point each program that returns evicts another's
cache, the rebuilds slow every turn, slower programs stay longer, and the
memory is shorter still: the engine is busy and programs hardly advance. A
program not yet started waits instead, as processes do in a system that keeps
working sets in memory; it loses nothing, for it has no history to lose.
"""

from typing import NamedTuple

# Footprints may exceed the memory by this factor: not all programs are at
# their largest at once.
OVERCOMMIT = 1.2
# A pause counts as memory held for this long at most; in longer ones another
# program's cache takes the place.
HELD_SECONDS = 8.0
# Until two newcomers were let in, one is expected each second.
_FIRST_INTERVAL = 1.0
_GAIN = 1 / 8
_DUTY_GAIN = 1 / 32


class Member(NamedTuple):
    """A program under way; `ended` is when its last call did, or 0."""

    agent: str
    footprint: float
    ended: float = 0.0


class WorkingSet:
    """Footprints of the programs under way at one upstream.

    Attributes:
        members: By program.
        tokens: Sum of the footprints.
        duty: By agent, the part of a program's life in which it needs memory.
        interval: Moving average of seconds between two newcomers.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.tokens = 0.0
        self.duty: dict[str, float] = {}
        self.interval = _FIRST_INTERVAL
        self.last_newcomer = 0.0

    def enter(self, program: str, agent: str, context: float) -> None:
        """Adds a program whose call starts, or renews its footprint.

        Args:
            program: The program.
            agent: Its agent program.
            context: Tokens that it will hold on average, when it holds any.
        """
        self.leave(program)
        footprint = context * self.duty.get(agent, 1.0)
        self.members[program] = Member(agent, footprint)
        self.tokens += footprint

    def paused(self, program: str, now: float) -> None:
        """Notes the end of a program's call."""
        member = self.members.get(program)
        if member is not None:
            self.members[program] = member._replace(ended=now)

    def back(self, program: str, service: float, now: float) -> None:
        """Learns the agent's duty from a pause and the service before it."""
        member = self.members.get(program)
        if member is None or not member.ended:
            return
        pause = max(0.0, now - member.ended)
        self.members[program] = member._replace(ended=0.0)
        whole = service + pause
        if whole <= 0:
            return
        duty = (service + min(pause, HELD_SECONDS)) / whole
        known = self.duty.get(member.agent, 1.0)
        # Weighted by time: a long pause frees memory for as long as it is.
        weight = min(1.0, whole / (service + HELD_SECONDS))
        self.duty[member.agent] = known + (duty - known) * weight * _DUTY_GAIN

    def leave(self, program: str) -> None:
        """Removes a program whose cache is no longer here."""
        member = self.members.pop(program, None)
        if member is not None:
            self.tokens -= member.footprint

    def let_in(self, now: float) -> None:
        """Notes that a newcomer started."""
        gap = now - self.last_newcomer
        self.last_newcomer = now
        self.interval += (gap - self.interval) * _GAIN

    def fits(self, agent: str, context: float, memory: float) -> bool:
        """Tells whether a newcomer fits; into an empty set, any does."""
        if not self.members:
            return True
        footprint = context * self.duty.get(agent, 1.0)
        return self.tokens + footprint <= memory * OVERCOMMIT

    def wait(self, ahead: int, now: float) -> float:
        """Predicts a newcomer's wait behind so many others.

        While none is let in, the time since the last one counts too; else a
        stop would go unnoticed and the queue fill beyond its bound.
        """
        return ahead * max(self.interval, now - self.last_newcomer)
