"""Whether a call may wait here at all, and whose turn it is among customers.

Made for customers who send large batches without warning, and for an offered
load above capacity. Both would otherwise fill the queue with work that ends
after its deadline, and put every other customer behind it.
"""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import calls

# A program that has not started is refused at this share of the wait that a
# started one may still queue for. Work already done for a program is lost if
# its next call is refused, so an overload is shed at the first calls.
NEW_PROGRAM_SHARE = 1 / 3
# Predictions err; a call is admitted only when it would still meet its
# deadline with wait and service this much longer than predicted.
MARGIN = 1.5
# Retries are spread over [1 - SPREAD, 1 + SPREAD] of the advised time, so
# that callers refused in the same burst don't come back as one.
SPREAD = 0.5
MIN_RETRY_AFTER = 1.0


class Refuse(NamedTuple):
    """The call will not run here.

    Attributes:
        kind: Kind of the typed error in `domain.errors`.
        retry_after: Seconds after which a retry makes sense.
    """

    kind: str
    retry_after: float = 0.0


class Facts(NamedTuple):
    """What a verdict rests on; times in seconds.

    Attributes:
        wait: Predicted wait in the queue.
        service: Predicted service time.
        max_wait: Wait beyond which nothing is queued.
        over_share: Whether the customer uses more than its share.
    """

    wait: float
    service: float
    max_wait: float
    over_share: bool


def verdict(call: calls.Call, facts: Facts, now: float) -> Refuse | None:
    """Returns the refusal of a call, or None when it may wait.

    The queue is bounded by time, not by count: a hundred short calls are a
    shorter queue than ten long ones, and it is the wait that callers feel.
    A refusal is final at once, so that the caller can go elsewhere.
    """
    needed = MARGIN * (facts.wait + facts.service)
    if now + needed > call.deadline_at:
        return Refuse("deadline_unmet", retry_after(call, facts.wait))
    bound = facts.max_wait
    if call.attained == 0:
        bound *= NEW_PROGRAM_SHARE
    if facts.wait <= bound:
        return None
    kind = "share_exceeded" if facts.over_share else "overloaded"
    return Refuse(kind, retry_after(call, facts.wait))


def retry_after(call: calls.Call, wait: float) -> float:
    """Returns seconds until a retry makes sense, spread by call."""
    spread = 1 - SPREAD + 2 * SPREAD * calls.hash_fraction(call.call_id)
    return max(MIN_RETRY_AFTER, wait) * spread


# Flows at rest that are kept without looking at them.
_REMEMBERED = 64


class FairClock:
    """Start-time fair queueing among flows (customers or classes).

    Each backlogged flow gets service in proportion to its weight (published
    as start-time fair queueing, a form of weighted fair queueing). What idle
    flows leave is borrowed by the others; a flow that comes back starts at
    the clock's present, so it neither pays for borrowing nor saves up.

    Attributes:
        virtual: Start tag of the flow served last.
        starts: Start tag of each flow's next call.
        weights: Weight of each backlogged flow.
        backlog: Pairs of start tag and backlogged flow, in order.
    """

    def __init__(self) -> None:
        self.virtual = 0.0
        self.starts: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.backlog: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        self.active_weight = 0.0

    def wake(self, flow: str, weight: float) -> None:
        """Marks a flow as backlogged."""
        start = max(self.virtual, self.starts.get(flow, 0.0))
        self.starts[flow] = start
        self.weights[flow] = weight
        self.active_weight += weight
        self.backlog.add((start, flow))

    def rest(self, flow: str) -> None:
        """Marks a flow as having nothing to send."""
        self.backlog.remove((self.starts[flow], flow))
        self.active_weight -= self.weights.pop(flow)
        if not self.backlog:
            self.active_weight = 0.0

    def serve(self, flow: str, weight: float, service: float) -> None:
        """Counts service that a flow starts to receive."""
        start = max(self.virtual, self.starts.get(flow, 0.0))
        self.virtual = start
        self._move(flow, start + service / weight)

    def correct(self, flow: str, weight: float, difference: float) -> None:
        """Settles how much longer the service was than expected."""
        start = self.starts.get(flow)
        if start is not None:
            self._move(flow, start + difference / weight)

    def forget_idle(self) -> None:
        """Forgets flows at rest whose tag the clock has passed.

        Thousands of customers come and go; the few that matter are those with
        calls waiting or ahead of the clock.
        """
        if len(self.starts) <= _REMEMBERED + len(self.weights):
            return
        for flow, start in list(self.starts.items()):
            if start <= self.virtual and flow not in self.weights:
                del self.starts[flow]

    def _move(self, flow: str, start: float) -> None:
        if flow in self.weights:
            self.backlog.remove((self.starts[flow], flow))
            self.backlog.add((start, flow))
        self.starts[flow] = start
