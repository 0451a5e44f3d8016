"""How many programs may be under way at one upstream, by its memory.

Made for engines whose memory cannot hold the histories of all programs that
would like to run. Past that point each program that returns evicts another's
cache, the rebuilds slow every turn, slower programs stay longer, and the
memory is shorter still: the engine is busy and programs hardly advance. A
program not yet started waits instead, as processes do in a system that keeps
working sets in memory; it loses nothing, for it has no history to lose.
"""

from typing import NamedTuple

# Part of the memory that the footprints may take. At 1.4, more than one call
# in a hundred that an overload let in missed its deadline; at 0.8, programs
# waited outside while the engines had time for them.
PART = 1.1
# Of that, what a customer that has more than its share leaves free. A program
# stays for minutes, so a burst that may fill the memory keeps the programs of
# other customers out for as long.
HEADROOM = 0.5
# A pause counts as memory held for this long at most; in longer ones another
# program's cache takes the place.
HELD_SECONDS = 8.0
# A program that has paused so long counts as absent until it comes back: its
# tool may hang, and its place would be lost for as long.
ABSENT_SECONDS = 60.0
# Until newcomers have waited, one is expected to be let in each second.
_FIRST_INTERVAL = 1.0
_GAIN = 1 / 8
_DUTY_GAIN = 1 / 32


class Member(NamedTuple):
    """A program under way."""

    agent: str
    flow: str
    footprint: float


class WorkingSet:
    """Footprints of the programs under way at one upstream.

    Attributes:
        members: By program.
        pauses: When the last call ended, by paused program, oldest first.
        tokens: Sum of the footprints.
        used: The same by customer.
        duty: By agent, the part of a program's life in which it needs memory.
        interval: Moving average of a newcomer's seconds as first in line.
        usual_context: Moving average of newcomers' contexts.
        blocked_at: When a newcomer last found the line empty.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.pauses: dict[str, float] = {}
        self.tokens = 0.0
        self.used: dict[str, float] = {}
        self.duty: dict[str, float] = {}
        self.interval = _FIRST_INTERVAL
        self.last_newcomer = 0.0
        self.blocked_at = 0.0
        self.usual_context = 0.0

    def enter(
        self, program: str, agent: str, flow: str, context: float
    ) -> None:
        """Adds a program whose call starts, or renews its footprint.

        Args:
            program: The program.
            agent: Its agent program.
            flow: Its customer.
            context: Tokens that it will hold on average, when it holds any.
        """
        self.leave(program)
        footprint = self.footprint(agent, context)
        self.members[program] = Member(agent, flow, footprint)
        self.tokens += footprint
        self.used[flow] = self.used.get(flow, 0.0) + footprint

    def footprint(self, agent: str, context: float) -> float:
        """Returns the memory that a program takes, averaged over its life."""
        return context * self.duty.get(agent, 1.0)

    def paused(self, program: str, now: float) -> None:
        """Notes the end of a program's call."""
        if program in self.members:
            self.pauses.pop(program, None)
            self.pauses[program] = now

    def absent(self, now: float) -> None:
        """Removes the programs that have paused too long."""
        while self.pauses:
            program, ended = next(iter(self.pauses.items()))
            if now - ended < ABSENT_SECONDS:
                return
            self.leave(program)

    def back(self, program: str, service: float, now: float) -> None:
        """Learns the agent's duty from a pause and the service before it."""
        ended = self.pauses.pop(program, None)
        if ended is None:
            return
        pause = now - ended
        agent = self.members[program].agent
        whole = service + pause
        if whole <= 0:
            return
        duty = (service + min(pause, HELD_SECONDS)) / whole
        known = self.duty.get(agent, 1.0)
        # Weighted by time: a long pause frees memory for as long as it is.
        weight = min(1.0, whole / (service + HELD_SECONDS))
        self.duty[agent] = known + (duty - known) * weight * _DUTY_GAIN

    def leave(self, program: str) -> None:
        """Removes a program that ended, moved or hung.

        One whose cache was evicted stays: it will be back, and its duty
        counts the pauses already.
        """
        self.pauses.pop(program, None)
        member = self.members.pop(program, None)
        if member is None:
            return
        self.tokens -= member.footprint
        self.used[member.flow] -= member.footprint
        if self.used[member.flow] < 1.0:
            del self.used[member.flow]

    def let_in(self, context: float, arrived: float, now: float) -> None:
        """Notes that a newcomer started; learns its time as the first."""
        gap = now - max(self.last_newcomer, arrived)
        self.last_newcomer = now
        self.interval += (gap - self.interval) * _GAIN
        self.usual_context += (context - self.usual_context) * _GAIN

    def fits(self, footprint: float, memory: float) -> bool:
        """Tells whether a newcomer fits; into an empty set, any does."""
        return not self.members or self.tokens + footprint <= memory

    def wait(self, ahead: int, now: float) -> float:
        """Predicts a newcomer's wait with so many before it.

        While they wait and none is let in, that time counts too; else a
        stop would go unnoticed and the queue fill beyond its bound.
        """
        if not ahead:
            self.blocked_at = now
        gap = now - max(self.last_newcomer, self.blocked_at)
        return (ahead + 1) * max(self.interval, gap)
