"""Rate limits of customers, as applied by an entry and counted by control.

A customer can have a limit of a few requests per second and use twenty or more
entries, each of which sees less than one request per second. If an entry asked
control before every tool call, each would be delayed by a commit. If it had
requests counted long before it needs them, other entries would refuse requests
within the limit. So the message that opens a turn also asks control to count
the requests that are expected to follow it.
"""

import collections
import math
from typing import NamedTuple

from mintcleat.domain import manifest
from mintcleat.domain import program_messages

# A request that may be sent within this many seconds is held rather than
# refused. A retry by the caller would take longer, and its program has few
# attempts.
MAX_HOLD_SECONDS = 0.4
# Maximum of concurrently held requests; more would only queue up.
MAX_HELD = 64
# Maximum of requests to count ahead with one turn.
MAX_AHEAD = 4
# A request is counted ahead if a call would have used it after at least this
# share of the recent turns.
_MIN_USED_SHARE = 0.5
# Turns without calls that are assumed before the first turn, so that a few
# turns are not taken as a rule.
_PRIOR_TURNS = 2.0
# The calls of a customer without a turn here for this long are forgotten.
_IDLE_CUSTOMER_SECONDS = 120.0
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


def lower_limit(
    first: program_messages.RateLimit, second: program_messages.RateLimit | None
) -> program_messages.RateLimit:
    """Returns the lower of two limits of a customer, None being no limit.

    It answers two configurations of which neither is known to be the newer:
    counting by the wrong one could let too many requests run, the lower one
    refuses some until it is known.
    """
    if second is None:
        return first
    return program_messages.RateLimit(
        min(first.rate, second.rate),
        min(first.burst, second.burst),
        second.window,
        min(first.overage, second.overage),
        min(first.slack, second.slack),
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

    number: int
    until: float


class RecentCalls:
    """Calls that followed the recent turns of one customer at this entry.

    Only calls within AHEAD_SECONDS of a turn count, because a later one could
    not have used a request that was counted with the turn.

    Attributes:
        turns: Decaying number of turns.
        followed: Decaying number of turns that at least one, two, ... calls
            followed.
        last_turn_at: Time of the last turn.
        calls: Calls since then.
    """

    def __init__(self) -> None:
        self.turns = 0.0
        self.followed = [0.0] * MAX_AHEAD
        self.last_turn_at = -math.inf
        self.calls = 0

    def add_turn(self, now: float) -> None:
        """Adds a turn."""
        self.turns = self.turns * _DECAY + 1.0
        self.followed = [count * _DECAY for count in self.followed]
        self.last_turn_at = now
        self.calls = 0

    def add_call(self, now: float) -> None:
        """Adds a call that opens no turn."""
        if now - self.last_turn_at < program_messages.AHEAD_SECONDS:
            if self.calls < MAX_AHEAD:
                self.followed[self.calls] += 1.0
            self.calls += 1

    def expected(self) -> int:
        """Returns how many calls follow a turn often enough."""
        threshold = (self.turns + _PRIOR_TURNS) * _MIN_USED_SHARE
        return sum(count > threshold for count in self.followed)


class CountAhead:
    """Requests counted ahead, and how many more to ask for.

    A request that is counted and never sent takes the place of another one
    until the window has passed. The calls of a program may go to other entries
    than its turns, so requests are only counted ahead for customers whose calls
    have come to this entry after their turns.

    Attributes:
        requests: Requests counted ahead, by customer, oldest first.
        recent: Calls after the recent turns of a customer; the customer whose
            last turn is the oldest comes first.
    """

    def __init__(self) -> None:
        self.requests: dict[str, collections.deque[CountedRequests]] = {}
        self.recent: collections.OrderedDict[str, RecentCalls] = (
            collections.OrderedDict()
        )

    def requests_ahead(self, customer: str, now: float) -> int:
        """Adds a turn; returns how many requests to count ahead with it."""
        recent = self._recent(customer, now)
        wanted = recent.expected() - self._available(customer, now)
        recent.add_turn(now)
        return max(0, wanted)

    def take(self, customer: str, now: float) -> bool:
        """Uses one counted request; returns whether there was one."""
        recent = self.recent.get(customer)
        if recent is not None:
            recent.add_call(now)
        if not self._available(customer, now):
            return False
        counted = self.requests[customer]
        first = counted.popleft()
        if first.number > 1:
            counted.appendleft(first._replace(number=first.number - 1))
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
        return sum(item.number for item in counted)

    def _recent(self, customer: str, now: float) -> RecentCalls:
        """Returns a customer's recent calls; forgets customers without any."""
        while self.recent:
            oldest, idle = next(iter(self.recent.items()))
            if (
                now - idle.last_turn_at < _IDLE_CUSTOMER_SECONDS
                or oldest == customer
            ):
                break
            del self.recent[oldest]
            self.requests.pop(oldest, None)
        recent = self.recent.setdefault(customer, RecentCalls())
        self.recent.move_to_end(customer)
        return recent
