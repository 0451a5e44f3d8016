"""Which upstream gets a routed request.

Made for a few upstreams before several entries that do not know each other's
requests. A program's next turn goes where the one before left its cache,
unless that upstream has clearly more to do than another; a new program goes
to one of two chosen by its id, whichever has less to do, so that entries
spread alike without asking each other.
"""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

RESIDENT = "resident"
AFFINITY = "affinity"
LEAST = "least"
# Reading a conversation anew costs about as much of an upstream as a third of
# its slots being busier for the length of a turn.
RESIDENT_SLACK = 0.34
# An object's warmth in a plain service halves its work at best.
AFFINITY_SLACK = 0.2
# Pauses after failures in a row. The first is about the time in which a
# restarted upstream registers anew; the cap lets one that came back at the
# same address, unheard, be tried again soon.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0


class Candidate(NamedTuple):
    """An upstream that could take the request.

    Attributes:
        running: Requests of this entry there.
        slots: Requests that it runs at once.
        slow: Factor by which it is slower than its peers, or 1.
    """

    upstream: str
    running: int
    slots: int
    slow: float = 1.0

    @property
    def load(self) -> float:
        """Work there against its size; one more request counted in."""
        return (self.running + 1) * self.slow / max(1, self.slots)


class Choice(NamedTuple):
    """The upstream chosen, and why."""

    upstream: str
    reason: str


def choose(
    candidates: Sequence[Candidate], hint: str, affinity: str, request: str
) -> Choice | None:
    """Returns the upstream for a request, or None without candidates.

    Args:
        candidates: Upstreams that take new work and were not tried yet.
        hint: Where the program ran last; empty for none.
        affinity: Program or object that requests have in common.
        request: Id of the request, for what is left to chance.
    """
    if not candidates:
        return None
    ranked = sorted(candidates, key=lambda c: _rank(affinity or request, c))
    least = min(ranked, key=lambda c: c.load)
    for candidate in candidates:
        near = candidate.load <= least.load + RESIDENT_SLACK
        if candidate.upstream == hint and near:
            return Choice(hint, RESIDENT)
    if affinity and not hint:
        first = ranked[0]
        if first.load <= least.load + AFFINITY_SLACK:
            return Choice(first.upstream, AFFINITY)
    better = min(ranked[:2], key=lambda c: c.load)
    if better.load <= least.load + AFFINITY_SLACK:
        return Choice(better.upstream, LEAST)
    return Choice(least.upstream, LEAST)


def _rank(key: str, candidate: Candidate) -> int:
    name = f"{key}|{candidate.upstream}".encode()
    return xxhash.xxh3_64_intdigest(name)


class Pause(NamedTuple):
    """Failures in a row of one upstream, and until when it is avoided."""

    failures: int
    until: float


class Avoided:
    """Upstreams that failed lately; they get requests only if no other can.

    Made for an upstream that is gone without a word: each request placed
    there costs its caller the time of a connection that never opens.
    """

    def __init__(self) -> None:
        self.pauses: dict[str, Pause] = {}

    def failed(self, upstream: str, now: float) -> Pause:
        """Counts a failure to reach it; returns the pause."""
        before = self.pauses.get(upstream, Pause(0, 0.0))
        seconds = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**before.failures)
        pause = Pause(before.failures + 1, now + seconds)
        self.pauses[upstream] = pause
        return pause

    def answered(self, upstream: str) -> None:
        """Notes that it answered."""
        self.pauses.pop(upstream, None)

    def allows(self, upstream: str, now: float) -> bool:
        """Tells whether it gets requests as usual."""
        pause = self.pauses.get(upstream)
        return pause is None or now >= pause.until
