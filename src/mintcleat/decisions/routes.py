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

    A request costs one look per segment of its path, however many routes
    its host has: an operator may add thousands while entries are busy.

    Attributes:
        hosts: Routes by host and prefix.
    """

    def __init__(self, routes: dict[str, manifest.Route]) -> None:
        self.hosts: dict[str, dict[str, Match]] = {}
        for name, route in routes.items():
            prefixes = self.hosts.setdefault(route.host, {})
            prefixes[route.prefix] = Match(name, route)

    def find(self, host: str, path: str) -> Match | None:
        """Returns the route with the longest prefix; a host's own first."""
        return self._longest(host, path) or self._longest("", path)

    def _longest(self, host: str, path: str) -> Match | None:
        prefixes = self.hosts.get(host)
        if not prefixes:
            return None
        # Every prefix ends with a slash.
        end = path.rfind("/")
        while end >= 0:
            match = prefixes.get(path[: end + 1])
            if match is not None:
                return match
            end = path.rfind("/", 0, end)
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
