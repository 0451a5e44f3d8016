"""Rate limits of customers, as applied by an entry and counted by control.

A customer can have a limit of a few requests per second and use twenty or more
entries, each of which sees less than one request per second. If an entry asked
control before every tool call, each would be delayed by a commit. If it had
requests counted long before it needs them, other entries would refuse requests
within the limit. So the message that opens a turn also asks control to count
the requests that are expected to follow it.
"""

import collections
from typing import NamedTuple

from mintcleat.domain import manifest
from mintcleat.domain import program_messages

# A request that may be sent within this many seconds is held rather than
# refused. A retry by the caller would take longer, and its program has few
# attempts.
MAX_HOLD_SECONDS = 0.4
# Maximum of concurrently held requests; more would only queue up.
MAX_HELD = 64
# Decay per turn of the counts that estimate the calls after a turn.
_DECAY = 0.95


def limit_of(
    customer: manifest.Customer, policies: manifest.Policies
) -> program_messages.RateLimit | None:
    """Returns the rate limit of a customer, or None if it has none."""
    if not customer.rate:
        return None
    return program_messages.RateLimit(
        customer.rate,
        customer.burst,
        policies.limit_window,
        policies.limit_overage,
        policies.limit_slack,
    )


def hold_seconds(wait: float, waited: float, held: int) -> float:
    """Returns how long to hold a request of a started program.

    First requests of a program are never held: refusing them loses no work,
    and the rest of the limit is left to programs that have started.

    Args:
        wait: Seconds until the request may be sent, as control replied.
        waited: Seconds that it has been held already.
        held: Other requests that are held here.

    Returns:
        Seconds; 0 to refuse it immediately.
    """
    if held >= MAX_HELD or waited + wait > MAX_HOLD_SECONDS:
        return 0.0
    return wait


class CountedRequests(NamedTuple):
    """Requests that were counted ahead; valid until the time `until`."""

    count: int
    until: float


class CountAhead:
    """Requests counted ahead, and how many more to ask for.

    Attributes:
        requests: Requests counted ahead, by customer, oldest first.
        turns: Decaying count of turns of customers with limits.
        calls: Decaying count of their other requests.
    """

    def __init__(self) -> None:
        self.requests: dict[str, collections.deque[CountedRequests]] = {}
        self.turns = 0.0
        self.calls = 0.0

    def requests_ahead(self, customer: str, now: float) -> int:
        """Returns how many requests to count ahead with a turn."""
        self.turns = self.turns * _DECAY + 1.0
        self.calls *= _DECAY
        return max(
            0, round(self.calls / self.turns) - self._available(customer, now)
        )

    def take(self, customer: str, now: float) -> bool:
        """Uses one counted request; returns whether there was one."""
        self.calls += 1.0
        if not self._available(customer, now):
            return False
        counted = self.requests[customer]
        first = counted.popleft()
        if first.count > 1:
            counted.appendleft(first._replace(count=first.count - 1))
        return True

    def put(self, customer: str, count: int, until: float) -> None:
        """Adds requests that were counted; they expire at `until`."""
        if count:
            counted = self.requests.setdefault(customer, collections.deque())
            counted.append(CountedRequests(count, until))

    def _available(self, customer: str, now: float) -> int:
        counted = self.requests.get(customer)
        if counted is None:
            return 0
        while counted and counted[0].until <= now:
            counted.popleft()
        if not counted:
            del self.requests[customer]
        return sum(item.count for item in counted)
