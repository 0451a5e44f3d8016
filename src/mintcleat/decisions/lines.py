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


class Line:
    """Queue of one class: partners by fair share, their calls by order."""

    def __init__(self) -> None:
        self.clock = admit.FairClock()
        self.flows: dict[str, sortedcontainers.SortedList] = {}
        self.work: dict[str, float] = {}
        self.total = 0.0
        self.count = 0

    def add(self, entry: Entry, weight: float) -> None:
        """Adds a waiting call."""
        flow = self.flows.get(entry.flow)
        if flow is None:
            flow = sortedcontainers.SortedKeyList(key=_place)
            self.flows[entry.flow] = flow
            self.work[entry.flow] = 0.0
            self.clock.wake(entry.flow, weight)
        flow.add(entry)
        self.work[entry.flow] += entry.service
        self.total += entry.service
        self.count += 1

    def remove(self, entry: Entry) -> None:
        """Removes a waiting call."""
        flow = self.flows[entry.flow]
        flow.remove(entry)
        self.work[entry.flow] -= entry.service
        self.total -= entry.service
        self.count -= 1
        if not flow:
            del self.flows[entry.flow]
            del self.work[entry.flow]
            self.clock.rest(entry.flow)
        if not self.count:
            self.total = 0.0

    def ahead(self, flow: str, key: float) -> float:
        """Returns the flow's own work that would start before `key`."""
        entries = self.flows.get(flow)
        if not entries:
            return 0.0
        position = entries.bisect_key_right((key, _LAST))
        return self.work[flow] * position / len(entries)

    def share(self, flow: str, weight: float) -> float:
        """Returns the part of this line's service that the flow would get."""
        active = self.clock.active_weight
        if flow not in self.flows:
            active += weight
        return weight / active


def _place(entry: Entry) -> tuple[float, str]:
    return entry.key, entry.call.call_id
