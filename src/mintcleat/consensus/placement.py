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
    ranked = sorted(members, key=lambda m: (-_weight(group, m), m.instance))
    chosen: list[types.Member] = []
    for distinct in (True, False):
        for member in ranked:
            used = {m.failure_domain for m in chosen}
            taken = member in chosen
            taken = taken or (distinct and member.failure_domain in used)
            if not taken and len(chosen) < size:
                chosen.append(member)
    return chosen


def _weight(group: str, member: types.Member) -> int:
    name = f"{group}\0{member.instance}"
    return xxhash.xxh3_64_intdigest(name.encode())
