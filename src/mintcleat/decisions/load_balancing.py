"""Load balancing of routed requests among the upstreams of a service.

Several entries share the upstreams and exchange what they have running and
which upstreams differ in speed. The next turn of a program goes to the upstream
that has its cache. If that one is full or much slower than its peers, the turn
goes there only if it ends there sooner than after a prefill elsewhere. All
other requests go to the upstream with the earliest expected end among a few
that a hash of the request id selects. An upstream whose slots or memory the
request would exceed counts as full and is passed over while another is not.
With equal speeds and without full upstreams, this is the choice by the number
of requests that `choose` makes; `choose_by_time` handles uneven and changing
speeds and scarce memory.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

import xxhash

# Reasons of a choice: the upstream has the program's cache, it is preferred for
# the affinity key, or it is the least loaded of those compared.
RESIDENT = "resident"
AFFINITY = "affinity"
LEAST = "least"
# By how many batches the upstream with a program's cache may be busier than the
# least loaded one. Recomputing a conversation elsewhere takes as long as
# several requests and delays every request of that batch, whereas a queue
# delays only the requests behind it.
MAX_RESIDENT_EXCESS = 1.0
# Number of upstreams compared for a request. The load of other entries is known
# with a delay of tens of milliseconds; if each entry picked the least loaded
# of all upstreams, all would pick the same one.
CHOICES = 3
# By how many batches the upstream preferred for an affinity may be busier than
# the least loaded one. A warm cache in a plain service halves the work of a
# request at best.
MAX_AFFINITY_EXCESS = 0.2
# An upstream this many times slower than the median of its peers is avoided.
# Load alone slows an engine down by less.
MAX_SLOWDOWN = 2.0
# Weight of a new sample, and the samples needed before an upstream is compared:
# about as many as one streamed answer has chunks.
LATENCY_GAIN = 0.15
MIN_SAMPLES = 8
# Without new samples, the excess of a slowdown halves in this many seconds, so
# that an avoided upstream is tried again.
SLOWDOWN_HALF_LIFE = 2.0
# Lower bound of a sample in seconds, as chunks that arrive together have no
# delay between them.
MIN_LATENCY = 0.001


class Candidate(NamedTuple):
    """An upstream that could take the request.

    Attributes:
        running: Requests running there, as far as this entry knows.
        slots: Requests that it can run at once.
        slowdown: Latency divided by the median of its peers; at least 1.
    """

    upstream: str
    running: int
    slots: int
    slowdown: float = 1.0

    @property
    def load(self) -> float:
        """Load in batches with one more request, weighted by the slowdown."""
        return (self.running + 1) * self.slowdown / max(1, self.slots)


class Choice(NamedTuple):
    """The chosen upstream and the reason: one of the constants above."""

    upstream: str
    reason: str


def choose(
    candidates: Sequence[Candidate], hint: str, affinity: str, request: str
) -> Choice | None:
    """Returns the upstream for a request, or None without candidates.

    Args:
        candidates: Upstreams that accept requests and were not tried yet.
        hint: Upstream of the program's previous turn; empty for none.
        affinity: Key that related requests share; empty for none.
        request: Id of the request; hashed where there is no affinity.
    """
    if not candidates:
        return None
    fast = [c for c in candidates if c.slowdown < MAX_SLOWDOWN]
    candidates = fast or candidates
    loads = {candidate.upstream: candidate.load for candidate in candidates}
    least = min(loads.values())
    if hint in loads and loads[hint] <= least + MAX_RESIDENT_EXCESS:
        return Choice(hint, RESIDENT)
    ranked = sorted(loads, key=lambda name: _rank(affinity or request, name))
    if affinity and loads[ranked[0]] <= least + MAX_AFFINITY_EXCESS:
        return Choice(ranked[0], AFFINITY)
    return Choice(min(ranked[:CHOICES], key=loads.__getitem__), LEAST)


class Estimates(Protocol):
    """What is expected of the upstreams for one request.

    Attributes:
        slowdowns: Time divided by that of the median, of the upstreams that
            differ from it.
    """

    slowdowns: Mapping[str, float]

    def load(self, upstream: str) -> float:
        """Returns the load in batches with the request."""

    def is_full(self, upstream: str) -> bool:
        """Returns whether the request would exceed slots or memory."""

    def is_crowded(self, upstream: str) -> bool:
        """Returns whether it would leave too little memory to the cache."""

    def seconds(self, upstream: str, resident: bool) -> float:
        """Returns the time to the end of the request.

        Args:
            upstream: The upstream.
            resident: Whether it has the program's cache.
        """

    def disturbance(self, upstream: str) -> float:
        """Returns the time that the prefill costs the requests there."""


def choose_by_time(
    upstreams: Sequence[str],
    hint: str,
    affinity: str,
    request: str,
    estimates: Estimates,
) -> Choice | None:
    """Returns the upstream for a request, or None without upstreams.

    Args:
        upstreams: Upstreams that accept requests and were not tried yet.
        hint: Upstream of the program's previous turn; empty for none.
        affinity: Key that related requests share; empty for none.
        request: Id of the request; hashed where there is no affinity.
        estimates: What is expected of the upstreams.
    """
    if not upstreams:
        return None
    slowdowns = estimates.slowdowns
    has_cache = hint in upstreams
    # A prefill elsewhere also delays every request there, so a cache is not
    # left for a small difference in speed.
    if (
        has_cache
        and slowdowns.get(hint, 1.0) < MAX_SLOWDOWN
        and not estimates.is_full(hint)
    ):
        return Choice(hint, RESIDENT)
    if slowdowns:
        fast = [
            name
            for name in upstreams
            if slowdowns.get(name, 1.0) < MAX_SLOWDOWN
        ]
        upstreams = fast or upstreams
    key = affinity or request
    ranked = [
        name
        for _, name in sorted([(_rank(key, name), name) for name in upstreams])
    ]
    if affinity and not has_cache and _keeps_affinity(ranked, estimates):
        return Choice(ranked[0], AFFINITY)
    best = _earliest(ranked, estimates)
    if has_cache and estimates.seconds(hint, True) <= (
        estimates.seconds(best, False) + estimates.disturbance(best)
    ):
        return Choice(hint, RESIDENT)
    return Choice(best, LEAST)


def compared_upstreams(request: str, upstreams: Sequence[str]) -> list[str]:
    """Returns the few upstreams that are compared for a request.

    They follow from a hash of its id, so that entries which know the same load
    don't all choose the same one.
    """
    return sorted(upstreams, key=lambda name: _rank(request, name))[:CHOICES]


def _keeps_affinity(ranked: Sequence[str], estimates: Estimates) -> bool:
    """Returns whether the first upstream is free and hardly busier than any."""
    loads = [estimates.load(name) for name in ranked]
    if loads[0] > min(loads) + MAX_AFFINITY_EXCESS:
        return False
    return not estimates.is_full(ranked[0])


def _earliest(ranked: Sequence[str], estimates: Estimates) -> str:
    """Returns the upstream with the earliest end of the first few.

    Crowded ones count only if all are, and full ones only if all are full.
    """
    compared: Sequence[str] = _first(ranked, estimates.is_crowded)
    if not compared:
        compared = _first(ranked, estimates.is_full) or ranked[:CHOICES]
    if len(compared) == 1:
        return compared[0]
    return min(
        compared,
        key=lambda name: (
            estimates.seconds(name, False),
            estimates.load(name),
        ),
    )


def _first(
    ranked: Sequence[str], is_excluded: Callable[[str], bool]
) -> list[str]:
    """Returns the first `CHOICES` that are not excluded."""
    found = []
    for name in ranked:
        if not is_excluded(name):
            found.append(name)
            if len(found) == CHOICES:
                break
    return found


def _rank(key: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{upstream}".encode())


class Latency(NamedTuple):
    """Latency of one upstream.

    Attributes:
        mean: Moving average in seconds.
        samples: Number of samples.
        updated_at: Time of the last sample.
    """

    mean: float
    samples: int
    updated_at: float


class LatencyTracker:
    """Tracks how much slower each upstream is than its peers.

    Detects an engine that still answers, but at a quarter of its speed. It
    refuses and aborts nothing, its few requests look like a low load, and every
    program that stays there misses its latency target.
    """

    def __init__(self) -> None:
        self.by_upstream: dict[str, Latency] = {}

    def observe(self, upstream: str, seconds: float, now: float) -> None:
        """Adds a sample: the delay before a chunk or of a whole answer."""
        seconds = max(seconds, MIN_LATENCY)
        before = self.by_upstream.get(upstream)
        if before is None:
            self.by_upstream[upstream] = Latency(seconds, 1, now)
            return
        mean = before.mean + LATENCY_GAIN * (seconds - before.mean)
        self.by_upstream[upstream] = Latency(mean, before.samples + 1, now)

    def forget(self, upstream: str) -> None:
        """Drops an upstream that no longer exists."""
        self.by_upstream.pop(upstream, None)

    def slowdown_factors(
        self, upstreams: Sequence[str], now: float
    ) -> dict[str, float]:
        """Returns latency divided by the median, at least 1, by upstream.

        Upstreams with fewer than `MIN_SAMPLES` are left out. If fewer than two
        remain, the result is empty.
        """
        known = {
            name: latency
            for name in upstreams
            if (latency := self.by_upstream.get(name)) is not None
            and latency.samples >= MIN_SAMPLES
        }
        if len(known) < 2:
            return {}
        means = sorted(latency.mean for latency in known.values())
        # For an even number the lower median, so that of two upstreams the
        # slower one is compared with the faster.
        median = means[(len(means) - 1) // 2]
        factors = {}
        for name, latency in known.items():
            excess = max(0.0, latency.mean / median - 1.0)
            decay = 0.5 ** ((now - latency.updated_at) / SLOWDOWN_HALF_LIFE)
            factors[name] = 1.0 + excess * decay
        return factors
