"""Refusals of first turns, and when their callers should try again.

Turns of programs in progress are never refused. A first turn is refused at once
if its program can't end in time after its expected wait, or if that wait would
take a fraction of its target, so that its caller can try elsewhere.

A customer over its share has a backlog of its own: its programs that were
refused come on top of those that it begins. If all were told the time after
which some turn ends, all would ask again within a few hundred milliseconds and
be refused several times. So each is told the next free time at the rate at
which the share of the customer admits its programs.

Each decision takes constant time, for any number of customers.
"""

import collections
import math
from typing import NamedTuple

from mintcleat.decisions import program_times
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_measurements
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

# Longest wait of a first turn, as a fraction of its program's target duration,
# so that a refused caller still has time to try elsewhere.
MAX_WAIT_FRACTION = 0.2
# Longest wait, in seconds, of a first turn without a target.
MAX_WAIT_SECONDS = 0.5
# Bounds of the time after which a refused caller should retry, in seconds. A
# shorter time would add requests and free no slot; a longer one outlasts what
# the leader knows of a customer, which is some seconds old.
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 10.0
# Customers whose refusals and backlogs are counted; all counts begin again
# beyond it.
_MAX_COUNTED_CUSTOMERS = 10_000


class Outlook(NamedTuple):
    """What is expected for a first turn; times in seconds.

    Attributes:
        waited: Time that it has waited.
        elapsed: Time since its program was first sent.
        target: Target duration of the program; 0 for none.
        wait: Expected further wait.
        expected: Expected duration of the program from its grant on.
    """

    waited: float
    elapsed: float
    target: float
    wait: float
    expected: float


class CustomerBacklogs:
    """When the shares of customers admit their refused programs.

    Attributes:
        free_at: By customer, the time at which its share admits a further
            program, after those that were refused.
        times: When each refused program is admitted; the oldest refusal first.
    """

    def __init__(self) -> None:
        self.free_at: dict[str, float] = {}
        self.times: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def refused(
        self,
        customer: str,
        program: str,
        waiting: int,
        spacing: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a refused program is admitted.

        A program that tries again before its time keeps it, so that each
        program counts once.

        Args:
            customer: Customer of the program.
            program: Id of the program, unique for all customers.
            waiting: Programs of the customer that wait to begin.
            spacing: Seconds between two programs that its share admits.
            now: The current time in seconds.
        """
        at = self.times.get(program, now)
        if at <= now:
            at = self._next_time(customer, waiting, spacing, now)
            self.times[program] = at
            self.times.move_to_end(program)
            if len(self.times) > program_times.MAX_ATTEMPTS:
                self.times.popitem(last=False)
        return at - now

    def _next_time(
        self, customer: str, waiting: int, spacing: float, now: float
    ) -> float:
        """Takes the next time at which the share admits a program."""
        if len(self.free_at) >= _MAX_COUNTED_CUSTOMERS:
            self.free_at.clear()
        first = now + (waiting + 1) * spacing
        at = max(first, self.free_at.get(customer, now) + spacing)
        # A backlog beyond the bound is not followed: its callers try again
        # before their time, or have given up.
        self.free_at[customer] = at = min(at, now + MAX_RETRY_AFTER)
        return at


class TurnRefusals:
    """Refusals of one service.

    Attributes:
        backlogs: Backlogs of the customers over their share.
        first_attempts: When waiting and refused programs were first sent.
        counts: Number of refusals by `<kind>/<reason>`.
        by_customer: Number of refusals by customer.
    """

    def __init__(self) -> None:
        self.backlogs = CustomerBacklogs()
        self.first_attempts = program_times.FirstAttempts()
        self.counts: collections.Counter[str] = collections.Counter()
        self.by_customer: collections.Counter[str] = collections.Counter()

    def first_attempt(
        self, waiter: turn_queue.Waiter, now: float
    ) -> program_times.Attempt:
        """Returns when the program of a first turn was first sent."""
        demand = waiter.ask.demand
        since = min(waiter.since, now - demand.waited)
        return self.first_attempts.of(
            turn_measurements.program_key(waiter.ask),
            program_times.Attempt(since, demand.finish_within),
            now,
        )

    def count(self, customer: str, refusal: turn_decisions.Refuse) -> None:
        """Counts a refusal."""
        self.counts[f"{refusal.kind}/{refusal.reason}"] += 1
        if len(self.by_customer) > _MAX_COUNTED_CUSTOMERS:
            self.by_customer.clear()
        self.by_customer[customer] += 1


def reason(outlook: Outlook, demand: program_messages.TurnDemand) -> str | None:
    """Returns why a first turn is refused; None if it may wait.

    Returns:
        `wait` or `duration`; see `turn_decisions.Refuse`.
    """
    if outlook.waited + outlook.wait > max_wait(demand):
        return "wait"
    slack = math.inf
    if outlook.target > 0:
        longest = outlook.target * turn_measurements.TARGET_FRACTION
        slack = longest - outlook.expected
    return "duration" if outlook.elapsed + outlook.wait > slack else None


def max_wait(demand: program_messages.TurnDemand) -> float:
    """Returns the seconds that a first turn may wait.

    It may ask again that much later than it should.
    """
    if demand.finish_within > 0:
        longest = MAX_WAIT_FRACTION * demand.finish_within
        return max(0.0, longest - turn_decisions.MIN_RETRY_SECONDS)
    return MAX_WAIT_SECONDS
