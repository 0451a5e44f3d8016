"""Waiting calls of one class: customers by fair share, calls by order."""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admission
from mintcleat.decisions import calls

# Sorts after every call id, so that calls with equal keys count as ahead.
_LAST = chr(0x10FFFF)


# What a call needs of the engine's memory. A resident call's history is
# cached here; a returning one's is not, and neither is there one for a
# newcomer, the first call of its program.
RESIDENT = 0
RETURNING = 1
NEWCOMER = 2


class Entry(NamedTuple):
    """A held call.

    Attributes:
        arrived: When it was offered.
        need: `RESIDENT`, `RETURNING` or `NEWCOMER`.
        service: Expected service time.
        latest: Last moment at which a start still meets the deadline.
        footprint: Tokens that its program will hold over its life, on average.
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
    """Waiting calls of one customer, in a list for each kind of need."""

    def __init__(self) -> None:
        self.parts = [
            sortedcontainers.SortedKeyList(key=_place)
            for _ in (RESIDENT, RETURNING, NEWCOMER)
        ]
        self.work = 0.0

    def __len__(self) -> int:
        return sum(map(len, self.parts))

    def heads(self) -> list[Entry]:
        """Returns the first of each list, the one to start first ahead."""
        return sorted((part[0] for part in self.parts if part), key=_place)

    def before(self, key: float) -> int:
        """Returns how many calls start before one with this key."""
        place = (key, _LAST)
        return sum(part.bisect_key_right(place) for part in self.parts)


class Line:
    """Queue of one class: customers by fair share, their calls by order.

    Attributes:
        total: Expected service of all waiting calls, in seconds.
        needs: Waiting calls of each kind of need.
        prompts: Prompt tokens that the waiting calls must compute.
    """

    def __init__(self) -> None:
        self.clock = admission.FairClock()
        self.flows: dict[str, Flow] = {}
        self.total = 0.0
        self.count = 0
        self.needs = [0, 0, 0]
        self.prompts = 0

    def add(self, entry: Entry, weight: float) -> None:
        """Adds a waiting call."""
        flow = self.flows.get(entry.flow)
        if flow is None:
            flow = self.flows[entry.flow] = Flow()
            self.clock.wake(entry.flow, weight)
        flow.parts[entry.need].add(entry)
        flow.work += entry.service
        self.total += entry.service
        self.count += 1
        self.needs[entry.need] += 1
        self.prompts += entry.call.new_tokens

    def remove(self, entry: Entry) -> None:
        """Removes a waiting call."""
        flow = self.flows[entry.flow]
        flow.parts[entry.need].remove(entry)
        flow.work -= entry.service
        self.total -= entry.service
        self.count -= 1
        self.needs[entry.need] -= 1
        self.prompts -= entry.call.new_tokens
        if not flow:
            del self.flows[entry.flow]
            self.clock.rest(entry.flow)
        if not self.count:
            self.total = 0.0

    def ahead(self, flow: str, key: float) -> float:
        """Returns the flow's own work that would start before `key`."""
        known = self.flows.get(flow)
        if known is None:
            return 0.0
        return known.work * known.before(key) / len(known)

    def share(self, flow: str, weight: float) -> float:
        """Returns the part of this line's service that the flow would get."""
        active = self.clock.active_weight
        if flow not in self.flows:
            active += weight
        return weight / active


def _place(entry: Entry) -> tuple[float, str]:
    return entry.key, entry.call.call_id
