"""Placement of a group's voters and of its leader."""

from collections.abc import Sequence

import xxhash

from mintcleat.consensus import types


def voters(
    group: str, members: Sequence[types.Member], size: int
) -> list[types.Member]:
    """Returns the members that should hold a group, by rendezvous hashing.

    Each failure domain is used once before any is used twice, so that with
    enough of them the loss of one takes at most one replica. The hash spreads
    groups evenly and moves few of them when a member is added.

    Returns:
        `size` members in order of rank, or all of them if there are fewer.
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
    """Returns the voter that should lead, to spread leaders evenly."""
    return min(
        configuration.voters, key=lambda p: _rank(group, p.replica.instance)
    )


def _rank(group: str, instance: str) -> tuple[int, str]:
    name = f"{group}\0{instance}".encode()
    return -xxhash.xxh3_64_intdigest(name), instance
