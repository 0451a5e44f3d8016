"""Scheduling order of the calls of one customer and priority class.

In arrival order, a short program would wait behind long ones at each of its
turns. So calls are ordered by least attained service of the whole program, or
by its estimated remaining work where an estimate exists.
"""

from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import remaining_work

# Maximum time by which a later call can overtake, so that none starves. The
# key of a call doesn't change while it waits, so the queue is never re-sorted.
MAX_DELAY_SECONDS = 30.0
# Added delay in seconds of a call that its program doesn't wait for.
NOT_GATING_DELAY = 5.0


class Switches(NamedTuple):
    """Parts of the order that a benchmark can turn off one by one.

    Attributes:
        attained: Whether programs are ordered by service, not by arrival.
        learned: Whether estimates of remaining work are used.
        gating: Whether calls that their program waits for go first.
    """

    attained: bool = True
    learned: bool = True
    gating: bool = True


ALL_ON = Switches()


def key(
    call: calls.Call,
    remaining: remaining_work.Remaining,
    mean_tokens: float,
    now: float,
    switches: Switches = ALL_ON,
) -> float:
    """Returns the sort key of a call: its arrival time plus a delay.

    A program with `mean_tokens` remaining is delayed by half of
    `MAX_DELAY_SECONDS`. The delay approaches the maximum as the tokens grow, so
    that long and very long programs still differ.

    Args:
        call: The call.
        remaining: Expected remaining work of its program.
        mean_tokens: Mean tokens of finished programs.
        now: Arrival time in seconds.
        switches: Parts of the order that are in force.
    """
    delay = 0.0
    if switches.attained:
        tokens = float(call.attained)
        if switches.learned and remaining.known:
            tokens = remaining.tokens
        delay = MAX_DELAY_SECONDS * tokens / (tokens + max(mean_tokens, 1.0))
    if switches.gating and not call.gating:
        delay += NOT_GATING_DELAY
    return now + min(delay, MAX_DELAY_SECONDS)
