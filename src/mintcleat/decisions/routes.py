"""Which route serves a request, and which service of the route."""

from typing import NamedTuple

import xxhash

from mintcleat.domain import manifest


class Match(NamedTuple):
    """A route and its name in the manifest."""

    name: str
    route: manifest.Route


class Table:
    """The routes of one revision, ready to look up.

    Attributes:
        hosts: Routes by host, the longest prefix first.
    """

    def __init__(self, routes: dict[str, manifest.Route]) -> None:
        self.hosts: dict[str, list[Match]] = {}
        for name, route in routes.items():
            self.hosts.setdefault(route.host, []).append(Match(name, route))
        for matches in self.hosts.values():
            matches.sort(key=lambda match: -len(match.route.prefix))

    def find(self, host: str, path: str) -> Match | None:
        """Returns the route with the longest prefix; a host's own first."""
        for matches in (self.hosts.get(host), self.hosts.get("")):
            for match in matches or ():
                if path.startswith(match.route.prefix):
                    return match
        return None


def service_of(route: manifest.Route, key: str) -> str:
    """Returns the service of a request, by weight.

    Args:
        route: With at least one share of weight above 0.
        key: What requests that belong together have in common. They go to
            one service, where the cache of earlier ones lies.
    """
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh3_64_intdigest(key.encode()) % total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
