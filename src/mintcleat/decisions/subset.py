"""The few upstreams of a service that one entry watches.

Made for thousands of upstreams before hundreds of entries: watching all of
them would cost each sidecar a report to every entry, several times a second.
"""

from typing import NamedTuple

from mintcleat.decisions import calls

# Two choices among this many balance within a few percent of all, and a
# failure domain may go without leaving an entry short.
SIZE = 32


class Member(NamedTuple):
    """An upstream as the subset sees it."""

    name: str
    failure_domain: str


def choose(members: list[Member], entry: str, size: int = SIZE) -> list[str]:
    """Returns the names that the entry watches, sorted.

    Rendezvous hashing: each entry orders all upstreams by a hash of both
    names, so a member that comes or goes changes one place in few subsets.
    The failure domains take turns, so the loss of one leaves the rest.
    Up to twice the size all are taken: the bookkeeping is then cheap.
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
