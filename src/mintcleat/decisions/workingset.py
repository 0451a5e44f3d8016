"""Working-set admission: how many programs may be in progress at one upstream.

Without a limit, an engine whose memory can't hold the histories of all its
programs starts to thrash: each program that resumes evicts the cache of
another, recomputing histories slows every turn, and slower programs hold
memory for longer. As in operating systems that admit processes by working set,
a program that has not started waits until its context fits. It has no cached
history yet, so the wait costs no recomputation.
"""

from typing import NamedTuple

# Sum of the footprints that is allowed, as a multiple of the memory. At 1.4,
# more than one in a hundred calls admitted under overload missed its deadline;
# at 0.8, programs waited although the engines had capacity for them.
MEMORY_FACTOR = 1.1
# Fraction of that sum that a customer above its share must leave free.
# Programs last for minutes, so a burst that filled the memory would block the
# programs of other customers for as long.
OVER_SHARE_HEADROOM = 0.5
# Seconds of each pause that count as memory in use. In a longer pause the
# cache is usually evicted in favour of another program.
MAX_COUNTED_PAUSE_SECONDS = 8.0
# A program paused for longer is removed until its next call. Its tool may
# hang, and its memory would be reserved for nothing.
ABSENT_SECONDS = 60.0
# Assumed seconds between two admissions until some were measured.
_FIRST_INTERVAL = 1.0
# Weights of a new sample in the moving averages, and in that of the duty cycle.
_GAIN = 1 / 8
_DUTY_GAIN = 1 / 32


class Member(NamedTuple):
    """A program in progress; `flow` is its customer, `footprint` in tokens."""

    agent: str
    flow: str
    footprint: float


class WorkingSet:
    """Memory footprints of the programs in progress at one upstream.

    Attributes:
        members: Programs in progress, by program id.
        pauses: When the last call ended, by paused program, oldest first.
        tokens: Sum of the footprints in tokens.
        used: Sum of the footprints by customer.
        duty_cycle: By agent, the fraction of a program's life in which it
            needs memory.
        interval: Moving average of the seconds that a new program waits at
            the head of the queue.
        last_admission: When a new program last started.
        blocked_at: When `wait` was last called with nobody ahead.
        mean_context: Moving average of the contexts of new programs.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.pauses: dict[str, float] = {}
        self.tokens = 0.0
        self.used: dict[str, float] = {}
        self.duty_cycle: dict[str, float] = {}
        self.interval = _FIRST_INTERVAL
        self.last_admission = 0.0
        self.blocked_at = 0.0
        self.mean_context = 0.0

    def enter(
        self, program: str, agent: str, flow: str, context: float
    ) -> None:
        """Adds a program whose call starts, or updates its footprint.

        Args:
            program: Program id.
            agent: Name of its agent program.
            flow: Its customer.
            context: Mean tokens that it holds while it holds any.
        """
        self.leave(program)
        footprint = self.footprint(agent, context)
        self.members[program] = Member(agent, flow, footprint)
        self.tokens += footprint
        self.used[flow] = self.used.get(flow, 0.0) + footprint

    def footprint(self, agent: str, context: float) -> float:
        """Returns the tokens that a program holds, averaged over its life."""
        return context * self.duty_cycle.get(agent, 1.0)

    def paused(self, program: str, now: float) -> None:
        """Records the end of a program's call."""
        if program in self.members:
            self.pauses.pop(program, None)
            self.pauses[program] = now

    def expire_absent(self, now: float) -> None:
        """Removes programs that have been paused for `ABSENT_SECONDS`."""
        while self.pauses:
            program, ended = next(iter(self.pauses.items()))
            if now - ended < ABSENT_SECONDS:
                return
            self.leave(program)

    def resumed(self, program: str, service: float, now: float) -> None:
        """Updates the agent's duty cycle when a program's pause ends.

        Args:
            program: Program id.
            service: Mean service time of a call, in seconds.
            now: The current time.
        """
        ended = self.pauses.pop(program, None)
        if ended is None:
            return
        pause = now - ended
        agent = self.members[program].agent
        cycle = service + pause
        if cycle <= 0:
            return
        duty = (service + min(pause, MAX_COUNTED_PAUSE_SECONDS)) / cycle
        mean = self.duty_cycle.get(agent, 1.0)
        # Weighted by duration, as a long pause frees memory for longer.
        weight = min(1.0, cycle / (service + MAX_COUNTED_PAUSE_SECONDS))
        self.duty_cycle[agent] = mean + (duty - mean) * weight * _DUTY_GAIN

    def leave(self, program: str) -> None:
        """Removes a program that ended, moved or hung.

        A program whose cache was evicted stays a member: it will resume, and
        its duty cycle already accounts for the pause.
        """
        self.pauses.pop(program, None)
        member = self.members.pop(program, None)
        if member is None:
            return
        self.tokens -= member.footprint
        self.used[member.flow] -= member.footprint
        # Less than a token is a rounding error.
        if self.used[member.flow] < 1.0:
            del self.used[member.flow]

    def admitted(self, context: float, arrived: float, now: float) -> None:
        """Records that a new program started, and the interval before it."""
        gap = now - max(self.last_admission, arrived)
        self.last_admission = now
        self.interval += (gap - self.interval) * _GAIN
        self.mean_context += (context - self.mean_context) * _GAIN

    def fits(self, footprint: float, memory: float) -> bool:
        """Returns whether a new program fits; an empty set takes any."""
        return not self.members or self.tokens + footprint <= memory

    def wait(self, ahead: int, now: float) -> float:
        """Returns the predicted wait of a new program behind `ahead` others.

        The time since the last admission counts as well. Otherwise the
        prediction would not rise when admissions stall, and the queue would
        grow beyond its limit.
        """
        if not ahead:
            self.blocked_at = now
        gap = now - max(self.last_admission, self.blocked_at)
        return (ahead + 1) * max(self.interval, gap)
