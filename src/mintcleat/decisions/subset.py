"""Subsetting: the upstreams of a service that one entry uses.

With thousands of upstreams and hundreds of entries, watching all of them would
make each sidecar send a load report to every entry, several times per second.
"""

from typing import NamedTuple

from mintcleat.decisions import calls

# Upstreams in a subset. Power-of-two-choices among this many balances load
# within a few percent of using all, and an entry has enough upstreams left when
# a failure domain is lost.
SIZE = 32


class Member(NamedTuple):
    """An upstream with its failure domain."""

    name: str
    failure_domain: str


def choose(members: list[Member], entry: str, size: int = SIZE) -> list[str]:
    """Returns the sorted names of the upstreams that the entry uses.

    Uses rendezvous hashing: each entry ranks all upstreams by a hash of both
    names, so adding or removing one changes a single position in few subsets.
    Names are taken from each failure domain in turn, so that the loss of one
    leaves the others. A service with up to twice `size` upstreams is used as a
    whole, which is cheap enough.

    Args:
        members: All upstreams of the service.
        entry: Name of the entry.
        size: Number of upstreams to choose.
    """
    if len(members) <= 2 * size:
        return sorted(member.name for member in members)
    domains: dict[str, list[str]] = {}
    ranked = sorted(
        members, key=lambda member: calls.hash_fraction(entry, member.name)
    )
    for member in ranked:
        domains.setdefault(member.failure_domain, []).append(member.name)
    chosen: list[str] = []
    rank = 0
    while len(chosen) < size:
        layer = [names[rank] for names in domains.values() if rank < len(names)]
        chosen.extend(layer[: size - len(chosen)])
        rank += 1
    return sorted(chosen)
