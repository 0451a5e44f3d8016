"""Finds services whose streams may be taken up at another service.

A caller that takes a stream up may name no request. Its route then tells which
service began the stream, unless the routes have changed since.
"""

from typing import NamedTuple

import msgspec

from mintcleat.configuration import sections
from mintcleat.domain import manifest
from mintcleat.domain import uris

_PREFIX = f"{sections.ROUTES}/"
# In the text of each route whose streams callers may take up. Decoding all of
# them at each push would hold up the replicas of a large configuration.
_RESUME = '"resume"'


class _Place(NamedTuple):
    """Where a route leads the streams that callers may take up."""

    host: str
    prefix: str
    shares: tuple[manifest.Share, ...]


def services(before: dict[str, str], after: dict[str, str]) -> set[str]:
    """Returns the services between which a change may have moved streams.

    A route that is added or removed may take requests from another one of its
    host, or leave them to it.

    Args:
        before: JSON text of the sections before the change, by key.
        after: The same after it.
    """
    is_same = all(
        before.get(key) == after.get(key)
        for key in before.keys() | after.keys()
        if key.startswith(_PREFIX)
    )
    if is_same:
        return set()
    old, new = _places(before), _places(after)
    # Without an earlier route no stream can have begun.
    moved = old ^ new if old else set()
    hosts = {place.host for place in moved}
    found = {
        share.service
        for place in old | new
        if place.host in hosts or "" in hosts or (hosts and not place.host)
        for share in place.shares
        if share.weight > 0
    }
    return found if len(found) > 1 else set()


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
