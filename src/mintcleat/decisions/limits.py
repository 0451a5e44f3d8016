"""What an entry does about customers' limits, apart from the counting.

The load: customers with limits of a few requests a second before twenty and
more entries, each of which sees less than one of them a second. The harm: an
entry that asks control before each call of a tool makes each later by a
commit; one that has requests counted long before it needs them takes them
from the others, who refuse what was owed.
"""

import collections
from typing import NamedTuple

from mintcleat.domain import manifest
from mintcleat.domain import program_messages

# A refusal that ends so soon is waited for: sent away and back, a caller would
# take longer, and its program has few tries.
HOLD_SECONDS = 0.4
# Requests waiting so at once; more would only queue behind each other.
MAX_HELD = 64
# How fast the calls that follow a turn are learned.
_MEMORY = 0.95


def limit_of(
    customer: manifest.Customer, policies: manifest.Policies
) -> program_messages.Limit | None:
    """Returns what a customer's requests are counted against; None for none."""
    if not customer.rate:
        return None
    return program_messages.Limit(
        customer.rate,
        customer.burst,
        policies.limit_window,
        policies.limit_overage,
        policies.limit_slack,
    )


def hold_seconds(wait: float, waited: float, held: int) -> float:
    """Returns for how long a request of a program under way waits here.

    One whose program has not begun never waits: nothing is lost by sending it
    away, and what is left of the limit is for those that have.

    Args:
        wait: Seconds until it may be sent, as the group told.
        waited: Seconds for which it has waited already.
        held: Other requests that wait here.

    Returns:
        Seconds; 0 to refuse it at once.
    """
    if held >= MAX_HELD or waited + wait > HOLD_SECONDS:
        return 0.0
    return wait


class Counted(NamedTuple):
    """Requests that were counted for calls to come; good until `until`."""

    count: int
    until: float


class RequestPrefetch:
    """Requests counted ahead of need, and how many to ask for.

    Attributes:
        held: By customer, the oldest first.
        turns: Turns of limited customers lately, fading.
        calls: Other requests of theirs, fading likewise.
    """

    def __init__(self) -> None:
        self.held: dict[str, collections.deque[Counted]] = {}
        self.turns = 0.0
        self.calls = 0.0

    def prefetch_count(self, customer: str, now: float) -> int:
        """Returns how many to ask for with a turn of a customer."""
        self.turns = self.turns * _MEMORY + 1.0
        self.calls *= _MEMORY
        return max(
            0, round(self.calls / self.turns) - self._left(customer, now)
        )

    def take(self, customer: str, now: float) -> bool:
        """Uses one of what is held; tells whether there was one."""
        self.calls += 1.0
        if not self._left(customer, now):
            return False
        held = self.held[customer]
        first = held.popleft()
        if first.count > 1:
            held.appendleft(first._replace(count=first.count - 1))
        return True

    def put(self, customer: str, count: int, until: float) -> None:
        """Keeps requests that were counted; nobody may use them later."""
        if count:
            held = self.held.setdefault(customer, collections.deque())
            held.append(Counted(count, until))

    def _left(self, customer: str, now: float) -> int:
        held = self.held.get(customer)
        if held is None:
            return 0
        while held and held[0].until <= now:
            held.popleft()
        if not held:
            del self.held[customer]
        return sum(item.count for item in held)
