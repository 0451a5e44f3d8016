"""In which order the calls of one customer and class start.

Made for short and long programs mixed: in arrival order, a short program
waits at each of its turns behind the long ones. The order is the published
least-attained-service policy for whole programs, sharpened by the learned
rest of the program where there is evidence.
"""

from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import remaining_work

# No call is put behind calls that arrive more than this after it: ageing, so
# that none starves. The key never changes, so the queue is never re-sorted.
MAX_DELAY = 30.0
# A call that no one waits for yields to those that gate their program.
NOT_GATING_DELAY = 5.0


class Switches(NamedTuple):
    """Parts of the order; a bench turns each off to show what it earns."""

    attained: bool = True
    learned: bool = True
    gating: bool = True


ALL_ON = Switches()


def key(
    call: calls.Call,
    remaining: remaining_work.Remaining,
    typical: float,
    now: float,
    switches: Switches = ALL_ON,
) -> float:
    """Returns the call's place: arrival time plus the delay it can bear.

    A program with `typical` tokens to go is put back by half of `MAX_DELAY`.
    The delay grows ever slower with the tokens, so that long programs are
    still told apart from very long ones.
    """
    delay = 0.0
    if switches.attained:
        left = call.attained
        if switches.learned and remaining.known:
            left = remaining.tokens
        delay = MAX_DELAY * left / (left + max(typical, 1.0))
    if switches.gating and not call.gating:
        delay += NOT_GATING_DELAY
    return now + min(delay, MAX_DELAY)
