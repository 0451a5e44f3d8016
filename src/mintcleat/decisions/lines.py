"""Waiting calls of one class: partners by fair share, calls by order."""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admit
from mintcleat.decisions import calls

# Sorts after every call id, so that calls with equal keys count as ahead.
_LAST = chr(0x10FFFF)


class Entry(NamedTuple):
    """A held call.

    Attributes:
        service: Expected service time.
        latest: Last moment at which a start still meets the deadline.
    """

    key: float
    call: calls.Call
    flow: str
    klass: str
    service: float
    latest: float
    footprint: float
    newcomer: bool


class Flow:
    """Waiting calls of one partner: of programs under way, and newcomers."""

    def __init__(self) -> None:
        self.under_way = sortedcontainers.SortedKeyList(key=_place)
        self.newcomers = sortedcontainers.SortedKeyList(key=_place)
        self.work = 0.0

    def __len__(self) -> int:
        return len(self.under_way) + len(self.newcomers)

    def part(self, entry: Entry) -> sortedcontainers.SortedKeyList:
        """Returns the list that the entry belongs to."""
        return self.newcomers if entry.newcomer else self.under_way

    def heads(self) -> list[Entry]:
        """Returns the first of each list, the one to start first ahead."""
        firsts = [part[0] for part in (self.under_way, self.newcomers) if part]
        return sorted(firsts, key=_place)

    def before(self, key: float) -> int:
        """Returns how many calls start before one with this key."""
        place = (key, _LAST)
        return self.under_way.bisect_key_right(
            place
        ) + self.newcomers.bisect_key_right(place)


class Line:
    """Queue of one class: partners by fair share, their calls by order."""

    def __init__(self) -> None:
        self.clock = admit.FairClock()
        self.flows: dict[str, Flow] = {}
        self.total = 0.0
        self.count = 0
        self.newcomers = 0

    def add(self, entry: Entry, weight: float) -> None:
        """Adds a waiting call."""
        flow = self.flows.get(entry.flow)
        if flow is None:
            flow = self.flows[entry.flow] = Flow()
            self.clock.wake(entry.flow, weight)
        flow.part(entry).add(entry)
        flow.work += entry.service
        self.total += entry.service
        self.count += 1
        self.newcomers += entry.newcomer

    def remove(self, entry: Entry) -> None:
        """Removes a waiting call."""
        flow = self.flows[entry.flow]
        flow.part(entry).remove(entry)
        flow.work -= entry.service
        self.total -= entry.service
        self.count -= 1
        self.newcomers -= entry.newcomer
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
