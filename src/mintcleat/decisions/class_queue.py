"""The queue of one priority class: fair queueing among its customers."""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admission
from mintcleat.decisions import calls

# Sorts after every call id, so that calls with an equal key count as earlier.
_LAST = chr(0x10FFFF)


# Memory needs of a call. The history of a `RESIDENT` call is cached here, that
# of a `RETURNING` call was evicted or is elsewhere, and `NEW_PROGRAM` is the
# first call of a program, which has no history.
RESIDENT = 0
RETURNING = 1
NEW_PROGRAM = 2


class QueueItem(NamedTuple):
    """A call with the values that it is scheduled by; times in seconds.

    Attributes:
        key: Sort key within the customer's calls; see `order.key`.
        flow: Customer, or empty when customers share one queue.
        klass: Priority class, `calls.INTERACTIVE` or `calls.BATCH`.
        arrived: When the call was offered.
        need: `RESIDENT`, `RETURNING` or `NEW_PROGRAM`.
        service: Expected service time.
        latest: Latest start that still meets the deadline.
        footprint: Mean tokens of context over the life of the program.
    """

    key: float
    call: calls.Call
    flow: str
    klass: str
    arrived: float
    need: int
    service: float
    latest: float
    footprint: float


class Flow:
    """Waiting calls of one customer.

    Attributes:
        by_need: A sorted list of items for each memory need.
        service: Expected service of the calls, in seconds.
    """

    def __init__(self) -> None:
        self.by_need = [
            sortedcontainers.SortedKeyList(key=_sort_key)
            for _ in (RESIDENT, RETURNING, NEW_PROGRAM)
        ]
        self.service = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.by_need))

    def heads(self) -> list[QueueItem]:
        """Returns the first item of each list, in scheduling order."""
        return sorted(
            (item_list[0] for item_list in self.by_need if item_list),
            key=_sort_key,
        )

    def count_before(self, key: float) -> int:
        """Returns how many calls are scheduled before one with this key."""
        sort_key = (key, _LAST)
        return sum(
            item_list.bisect_key_right(sort_key) for item_list in self.by_need
        )


class ClassQueue:
    """Queue of one priority class.

    Customers are served by fair queueing, the calls of one customer by key.

    Attributes:
        clock: Fair queueing among customers.
        flows: Waiting calls by customer.
        total_service: Expected service of all waiting calls, in seconds.
        count: Number of waiting calls.
        need_counts: Waiting calls by memory need.
        prompt_tokens: Prompt tokens that the waiting calls must compute.
    """

    def __init__(self) -> None:
        self.clock = admission.FairClock()
        self.flows: dict[str, Flow] = {}
        self.total_service = 0.0
        self.count = 0
        self.need_counts = [0, 0, 0]
        self.prompt_tokens = 0

    def add(self, item: QueueItem, weight: float) -> None:
        """Adds a waiting call."""
        flow = self.flows.get(item.flow)
        if flow is None:
            flow = self.flows[item.flow] = Flow()
            self.clock.activate(item.flow, weight)
        flow.by_need[item.need].add(item)
        flow.service += item.service
        self.total_service += item.service
        self.count += 1
        self.need_counts[item.need] += 1
        self.prompt_tokens += item.call.new_tokens

    def remove(self, item: QueueItem) -> None:
        """Removes a waiting call."""
        flow = self.flows[item.flow]
        flow.by_need[item.need].remove(item)
        flow.service -= item.service
        self.total_service -= item.service
        self.count -= 1
        self.need_counts[item.need] -= 1
        self.prompt_tokens -= item.call.new_tokens
        if not flow:
            del self.flows[item.flow]
            self.clock.deactivate(item.flow)
        if not self.count:
            self.total_service = 0.0

    def service_before(self, flow: str, key: float) -> float:
        """Returns the flow's service scheduled before `key`, in seconds.

        It is estimated from the mean service of the flow's calls.
        """
        waiting = self.flows.get(flow)
        if waiting is None:
            return 0.0
        return waiting.service * waiting.count_before(key) / len(waiting)

    def share(self, flow: str, weight: float) -> float:
        """Returns the fraction of this queue's service the flow would get."""
        active = self.clock.active_weight
        if flow not in self.flows:
            active += weight
        return weight / active


def _sort_key(item: QueueItem) -> tuple[float, str]:
    return item.key, item.call.call_id
