"""Which upstream gets a routed request.

Made for upstreams before several entries that tell each other what they have
running. An upstream that has become much slower than its peers is left to
those entries that have not noticed yet. A program's next turn goes where the
one before left its cache, unless that upstream has a whole batch more to do
than another. Everything else goes to the one with the least to do of a few that
the request's id chooses.
"""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

RESIDENT = "resident"
AFFINITY = "affinity"
LEAST = "least"
# By how many batches a program's upstream may be busier than another. Reading a
# conversation anew takes a batch as long as some requests of it do, and every
# request there waits meanwhile; a queue costs only those behind it.
RESIDENT_SLACK = 1.0
# Upstreams that a request compares, chosen by its id. What entries know of each
# other is some ten milliseconds old: if all chose the least of all, they would
# meet there.
CHOICES = 3
# An object's warmth in a plain service halves its work at best.
AFFINITY_SLACK = 0.2
# An upstream whose pieces take so many times as long as its peers' (median) is
# passed over. Load alone makes an engine slower by less than that.
SLOW_LIMIT = 2.0
# Weight of a new observation, and how many must come before they count: about
# as many as one answer has pieces.
SPEED_GAIN = 0.15
MIN_OBSERVED = 8
# Without observations, what an upstream is slower by halves in this time, so
# that it is tried again.
SPEED_HALF_LIFE = 2.0
# Pieces that arrive together have no pause between them.
MIN_PACE = 0.001


class Candidate(NamedTuple):
    """An upstream that could take the request.

    Attributes:
        running: Requests there, as far as this entry knows.
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
        affinity: Object that requests have in common; empty for none.
        request: Id of the request, for what is left to chance.
    """
    if not candidates:
        return None
    fast = [c for c in candidates if c.slow < SLOW_LIMIT]
    candidates = fast or candidates
    loads = {candidate.upstream: candidate.load for candidate in candidates}
    least = min(loads.values())
    if hint in loads and loads[hint] <= least + RESIDENT_SLACK:
        return Choice(hint, RESIDENT)
    ranked = sorted(loads, key=lambda name: _rank(affinity or request, name))
    if affinity and loads[ranked[0]] <= least + AFFINITY_SLACK:
        return Choice(ranked[0], AFFINITY)
    return Choice(min(ranked[:CHOICES], key=loads.__getitem__), LEAST)


def _rank(key: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{upstream}".encode())


class Speed(NamedTuple):
    """What was seen of one upstream: mean seconds, how often, and when."""

    mean: float
    observed: int
    at: float


class LatencyTracker:
    """How much slower each upstream is than its peers.

    Made for an engine that goes on answering at a quarter of its speed. It
    refuses nothing and breaks nothing off; its few requests look like little
    load, and every program that stays there misses its aim.
    """

    def __init__(self) -> None:
        self.by_upstream: dict[str, Speed] = {}

    def observe(self, upstream: str, seconds: float, now: float) -> None:
        """Takes the pause before a piece, or the time of a whole answer."""
        seconds = max(seconds, MIN_PACE)
        before = self.by_upstream.get(upstream)
        if before is None:
            self.by_upstream[upstream] = Speed(seconds, 1, now)
            return
        mean = before.mean + SPEED_GAIN * (seconds - before.mean)
        self.by_upstream[upstream] = Speed(mean, before.observed + 1, now)

    def forget(self, upstream: str) -> None:
        """Drops an upstream that is gone."""
        self.by_upstream.pop(upstream, None)

    def slowdown_factors(
        self, upstreams: Sequence[str], now: float
    ) -> dict[str, float]:
        """Returns by how much each is slower than the median; 1 or more."""
        known = {
            name: speed
            for name in upstreams
            if (speed := self.by_upstream.get(name)) is not None
            and speed.observed >= MIN_OBSERVED
        }
        if len(known) < 2:
            return {}
        means = sorted(speed.mean for speed in known.values())
        # The lower one of two: of two upstreams, one can be slow.
        median = means[(len(means) - 1) // 2]
        found = {}
        for name, speed in known.items():
            excess = max(0.0, speed.mean / median - 1.0)
            age = 0.5 ** ((now - speed.at) / SPEED_HALF_LIFE)
            found[name] = 1.0 + excess * age
        return found
