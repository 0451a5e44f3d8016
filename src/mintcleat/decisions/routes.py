"""Selects the route of a request, and the service within the route."""

from typing import NamedTuple

import xxhash

from mintcleat.domain import manifest
from mintcleat.domain import uris


class Match(NamedTuple):
    """A matching route and its name in the manifest."""

    name: str
    route: manifest.Route


class Table:
    """The routes of one configuration revision, indexed for lookup.

    The time of a lookup depends on the number of path segments, not on the
    number of routes: an operator may add thousands of them while entries are
    busy.

    Attributes:
        hosts: Routes by host and prefix, in the forms that `uris` returns.
    """

    def __init__(self, routes: dict[str, manifest.Route]) -> None:
        self.hosts: dict[str, dict[str, Match]] = {}
        for name, route in routes.items():
            host = uris.normal_host(route.host)
            prefixes = self.hosts.setdefault(host, {})
            prefixes[uris.normal_path(route.prefix)] = Match(name, route)

    def find(self, host: str, path: str) -> Match | None:
        """Returns the route with the longest matching prefix, or None.

        Routes of the host take precedence over those without a host.

        Args:
            host: Host in the form of `uris.normal_host`.
            path: Path as the caller sent it.
        """
        path = uris.normal_path(path)
        return self._longest_prefix(host, path) or self._longest_prefix(
            "", path
        )

    def _longest_prefix(self, host: str, path: str) -> Match | None:
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
    """Returns the service of a request, chosen by weight.

    Args:
        route: A route with at least one share of weight above 0.
        key: Key that related requests share. They go to the same service,
            which has the cache of earlier ones.
    """
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh3_64_intdigest(key.encode()) % total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
