"""Versions of the software of upstreams, by service, with those that are over.

An entry that continues a stream of unknown origin asks the config leader for
the versions that can have begun it. The group's state keeps them, since they
must survive a leader.
"""

import collections
from collections.abc import Set
from typing import Any
from typing import NamedTuple

from mintcleat.configuration import route_moves
from mintcleat.domain import member_messages

# Versions that are remembered after their last upstream has left. There are
# few within the time for which a stream may be continued.
ENDED_KEPT = 1_024
# Stands for the versions of other services, from which a route may have come to
# a service. No upstream registers it.
OTHER_SERVICE = "\0"
# Before the host, in place of a service, in the items for what routes have
# left. No service has such a name.
_HOST_MARK = "\0"
# Time for which what a route has left counts when another one is added: as long
# as control keeps the record of a stream for its caller.
LEFT_SECONDS = 600.0


class Software(NamedTuple):
    """One version of the software of one service."""

    service: str
    version: str


class SoftwareVersions:
    """Counts the upstreams of each version, and remembers ended versions.

    Attributes:
        running: Number of registered upstreams of each version.
        ended: When the last upstream of a version left, in the group's steady
            time; the earliest first. Versions with upstreams are not in it,
            `OTHER_SERVICE` may be. Also when routes left a service, as items of
            the marked host and the service.
    """

    def __init__(self) -> None:
        self.running: collections.Counter[Software] = collections.Counter()
        self.ended: dict[Software, float] = {}

    def added(self, item: member_messages.Registration) -> None:
        """Counts a registration that has come into force."""
        software = Software(item.service, item.version)
        self.running[software] += 1
        self.ended.pop(software, None)

    def removed(self, item: member_messages.Registration, at: float) -> None:
        """Counts a registration that is not in force any more."""
        software = Software(item.service, item.version)
        self.running[software] -= 1
        if self.running[software]:
            return
        del self.running[software]
        self.ended[software] = at
        self._trim()

    def moved(self, services: set[str], at: float) -> None:
        """Records that routes may have moved streams among services."""
        # Sorted, as all replicas must have the same state.
        for service in sorted(services):
            software = Software(service, OTHER_SERVICE)
            self.ended.pop(software, None)
            self.ended[software] = at
        self._trim()

    def left(self, served: Set[route_moves.Served], at: float) -> None:
        """Records where no route leads any more."""
        for item in sorted(served):
            key = Software(_HOST_MARK + item.host, item.service)
            self.ended.pop(key, None)
            self.ended[key] = at
        self._trim()

    def left_since(self, at: float) -> set[route_moves.Served]:
        """Returns what routes have left within `LEFT_SECONDS` before a time."""
        return {
            route_moves.Served(
                key.service.removeprefix(_HOST_MARK), key.version
            )
            for key, ended in self.ended.items()
            if key.service.startswith(_HOST_MARK) and ended >= at - LEFT_SECONDS
        }

    def since(self, service: str, at: float) -> set[str]:
        """Returns the versions that a service has had since a steady time.

        `OTHER_SERVICE` is among them if streams of its routes may have begun at
        another service.
        """
        found = {
            software.version
            for software in self.running
            if software.service == service
        }
        found.update(
            software.version
            for software, ended in self.ended.items()
            if software.service == service and ended >= at
        )
        return found

    def state(self) -> list[Any]:
        """Returns the ended versions as plain data for a snapshot."""
        return [[*software, at] for software, at in self.ended.items()]

    def _trim(self) -> None:
        while len(self.ended) > ENDED_KEPT:
            del self.ended[next(iter(self.ended))]

    def load(
        self, state: list[Any], items: list[member_messages.Registration]
    ) -> None:
        """Replaces the contents.

        Args:
            state: What `state` returned; empty in earlier releases.
            items: The registrations in force.
        """
        self.running = collections.Counter(
            Software(item.service, item.version) for item in items
        )
        self.ended = {
            Software(service, version): at for service, version, at in state
        }
