"""Finds services whose streams may be taken up at another service.

A caller that takes a stream up may name no request. Its route then tells which
service began the stream, unless the routes have changed since.
"""

from collections.abc import Set
from typing import NamedTuple

import msgspec

from mintcleat.configuration import sections
from mintcleat.domain import manifest
from mintcleat.domain import uris

_PREFIX = f"{sections.ROUTES}/"
# In the text of each route whose streams callers may take up. Decoding all of
# them at each push would hold up the replicas of a large configuration.
_RESUME = '"resume"'


class Served(NamedTuple):
    """A service to which routes of a host lead streams.

    Attributes:
        host: In the form of `uris.normal_host`; empty for all hosts.
    """

    host: str
    service: str


class Change(NamedTuple):
    """What a change of the routes does to streams.

    Attributes:
        services: Services between which it may have moved streams.
        left: Where no route leads any more.
    """

    services: set[str]
    left: set[Served]


class _Place(NamedTuple):
    """Where a route leads the streams that callers may take up."""

    host: str
    prefix: str
    shares: tuple[manifest.Share, ...]


def change(
    before: dict[str, str], after: dict[str, str], left: Set[Served]
) -> Change:
    """Returns what a change of the sections does to streams.

    A route that is added or removed may take requests from another one of its
    host, or leave them to it. One may be removed by one change and added with
    another service by a later one.

    Args:
        before: JSON text of the sections before the change, by key.
        after: The same after it.
        left: What earlier changes have left, while streams of it may be taken
            up.
    """
    is_same = all(
        before.get(key) == after.get(key)
        for key in before.keys() | after.keys()
        if key.startswith(_PREFIX)
    )
    if is_same:
        return Change(set(), set())
    old, new = _places(before), _places(after)
    served_before, served_after = _served(old), _served(new)
    earlier = served_before | left
    # Without an earlier route no stream can have begun.
    moved = old ^ new if earlier else set()
    hosts = {place.host for place in moved}
    found = {
        served.service
        for served in earlier | served_after
        if served.host in hosts or "" in hosts or (hosts and not served.host)
    }
    return Change(
        found if len(found) > 1 else set(), served_before - served_after
    )


def _served(places: set[_Place]) -> set[Served]:
    return {
        Served(place.host, share.service)
        for place in places
        for share in place.shares
        if share.weight > 0
    }


def _places(texts: dict[str, str]) -> set[_Place]:
    """Returns where the routes lead whose streams callers may take up."""
    found = set()
    for key, text in texts.items():
        if not key.startswith(_PREFIX) or _RESUME not in text:
            continue
        try:
            route = msgspec.json.decode(text, type=manifest.Route)
        except msgspec.MsgspecError:
            # Of a later release; this one serves no request by it.
            continue
        if route.stream and route.repeat == "resume":
            shares = tuple(route.shares)
            host = uris.normal_host(route.host)
            found.add(_Place(host, route.prefix, shares))
    return found
