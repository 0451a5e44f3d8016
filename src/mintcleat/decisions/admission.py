"""Admission control, and fair queueing among customers.

Handles customers that send large batches without warning, and an offered load
above capacity. Either would otherwise fill the queue with calls that miss
their deadlines, ahead of the calls of every other customer.
"""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import calls

# Fraction of the maximum wait at which a program's first call is refused.
# Refusing a later call wastes the work done for the program so far, so load is
# shed by refusing first calls.
NEW_PROGRAM_SHARE = 1 / 3
# Safety factor on predicted times: a call is admitted only if it meets its
# deadline even when wait and service take this many times the prediction.
MARGIN = 1.5
# Jitter: `retry_after` is multiplied by a factor in [1 - SPREAD, 1 + SPREAD),
# so that callers refused in the same burst don't retry together.
SPREAD = 0.5
MIN_RETRY_AFTER = 1.0  # In seconds, before jitter.


class Refuse(NamedTuple):
    """A refusal of a call.

    Attributes:
        kind: Kind of the typed error in `domain.errors`.
        retry_after: Seconds after which the caller should retry.
    """

    kind: str
    retry_after: float = 0.0


class Inputs(NamedTuple):
    """Inputs of an admission decision; times in seconds.

    Attributes:
        wait: Predicted wait in the queue.
        service: Predicted service time.
        max_wait: Predicted wait above which calls are refused.
        over_share: Whether the customer uses more than its share.
    """

    wait: float
    service: float
    max_wait: float
    over_share: bool


def decide(call: calls.Call, inputs: Inputs, now: float) -> Refuse | None:
    """Returns the refusal of a call, or None to admit it.

    The queue is bounded by wait rather than by length, since a hundred short
    calls can take less time than ten long ones. A call is refused before it
    waits, so that the caller can try another upstream.
    """
    needed = MARGIN * (inputs.wait + inputs.service)
    if now + needed > call.deadline_at:
        return Refuse("deadline_unmet", retry_after(call, inputs.wait))
    bound = inputs.max_wait
    if call.attained == 0:
        bound *= NEW_PROGRAM_SHARE
    if inputs.wait <= bound:
        return None
    kind = "share_exceeded" if inputs.over_share else "overloaded"
    return Refuse(kind, retry_after(call, inputs.wait))


def retry_after(call: calls.Call, wait: float) -> float:
    """Returns the seconds until a retry, with jitter by call id."""
    spread = 1 - SPREAD + 2 * SPREAD * calls.hash_fraction(call.call_id)
    return max(MIN_RETRY_AFTER, wait) * spread


# `drop_idle` does nothing while there are no more idle flows than this.
_MAX_IDLE_FLOWS = 64


class FairClock:
    """Start-time fair queueing among flows (customers or priority classes).

    This is a published form of weighted fair queueing. Each backlogged flow
    gets service in proportion to its weight; the share of idle flows goes to
    the others. A flow that becomes backlogged again starts at the current
    virtual time: it isn't charged for idle shares that it used, and gathers no
    credit while idle.

    Attributes:
        virtual_time: Start tag of the flow served last.
        start_tags: Start tag of each flow's next call.
        weights: Weight of each backlogged flow.
        backlog: Pairs of start tag and backlogged flow, in order.
        active_weight: Sum of `weights`.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.start_tags: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.backlog: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        self.active_weight = 0.0

    def activate(self, flow: str, weight: float) -> None:
        """Marks a flow as backlogged."""
        start = max(self.virtual_time, self.start_tags.get(flow, 0.0))
        self.start_tags[flow] = start
        self.weights[flow] = weight
        self.active_weight += weight
        self.backlog.add((start, flow))

    def deactivate(self, flow: str) -> None:
        """Marks a flow as idle."""
        self.backlog.remove((self.start_tags[flow], flow))
        self.active_weight -= self.weights.pop(flow)
        if not self.backlog:
            self.active_weight = 0.0

    def serve(self, flow: str, weight: float, service: float) -> None:
        """Charges a flow for a call that starts.

        Args:
            flow: The flow that the call belongs to.
            weight: Weight of the flow.
            service: Expected service time of the call in seconds.
        """
        self.advance(self.tag(flow, weight, service))

    def tag(self, flow: str, weight: float, service: float) -> float:
        """Charges a flow for a call that arrives.

        Args:
            flow: The flow that the call belongs to.
            weight: Weight of the flow.
            service: Expected service of the call.

        Returns:
            The start tag of the call; calls start in the order of their tags.
        """
        start = max(self.virtual_time, self.start_tags.get(flow, 0.0))
        self._move(flow, start + service / weight)
        return start

    def advance(self, start: float) -> None:
        """Moves the virtual time to the tag of a call that starts."""
        self.virtual_time = max(self.virtual_time, start)

    def correct(self, flow: str, weight: float, difference: float) -> None:
        """Adjusts the charge for a call that ended.

        Args:
            flow: The flow that the call belongs to.
            weight: Weight of the flow.
            difference: Actual minus expected service time in seconds.
        """
        start = self.start_tags.get(flow)
        if start is not None:
            self._move(flow, start + difference / weight)

    def drop_idle(self) -> None:
        """Drops idle flows whose start tag isn't ahead of the virtual time.

        They would restart at the virtual time anyway. Without this, thousands
        of occasional customers would take memory for ever.
        """
        if len(self.start_tags) <= _MAX_IDLE_FLOWS + len(self.weights):
            return
        for flow, start in list(self.start_tags.items()):
            if start <= self.virtual_time and flow not in self.weights:
                del self.start_tags[flow]

    def _move(self, flow: str, start: float) -> None:
        if flow in self.weights:
            self.backlog.remove((self.start_tags[flow], flow))
            self.backlog.add((start, flow))
        self.start_tags[flow] = start
