"""Which instances hold a new group."""

from collections.abc import Sequence

import xxhash

from mintcleat.consensus import types


def voters(
    group: str, members: Sequence[types.Member], size: int
) -> list[types.Member]:
    """Returns the members that hold a group, by rendezvous hash.

    Each failure domain is used once before any is used twice, so that losing
    one takes at most one replica where there are enough of them. The hash
    spreads groups evenly and moves few when a member is added.
    """
    ranked = sorted(members, key=lambda m: _rank(group, m.instance))
    chosen: list[types.Member] = []
    for distinct in (True, False):
        for member in ranked:
            used = {m.failure_domain for m in chosen}
            taken = member in chosen
            taken = taken or (distinct and member.failure_domain in used)
            if not taken and len(chosen) < size:
                chosen.append(member)
    return chosen


def preferred_leader(
    group: str, configuration: types.Configuration
) -> types.Peer:
    """Returns the voter that should lead, so that leaders are spread."""
    return min(
        configuration.voters, key=lambda p: _rank(group, p.replica.instance)
    )


def _rank(group: str, instance: str) -> tuple[int, str]:
    name = f"{group}\0{instance}".encode()
    return -xxhash.xxh3_64_intdigest(name), instance
