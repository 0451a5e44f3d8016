"""Which upstreams an entry leaves out for a while, from what it saw fail.

Made for upstreams that are gone without a word, and for those that fail or
hang a part of their requests while the rest go well and their own health
answers are good. One entry sends an upstream about one request a second, so
there is no waiting for a statistic: the first failure counts, and good answers
between failures take only a part of it back. Requests that may be repeated
find out whether an upstream is well again, as a failure costs their callers
no more than the time of a second try; all others keep away meanwhile.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Pauses after failures. The first is about the time in which a restarted
# upstream registers anew; the cap lets one that came back at the same address,
# unheard, be tried again soon.
FIRST_PAUSE = 0.75
LONGEST_PAUSE = 6.0
# What a good answer takes back of a failure: an upstream that fails more than
# one request in four gets worse in this count, one with a lost answer or a
# broken connection now and then stays near zero.
FORGIVEN = 0.34
# Without any request, half of the count is gone after so long.
HALF_LIFE = 6.0
# Failures beyond these would only make the way back longer.
MOST = 5.0
# With more failures than these, only requests that may be repeated go there:
# for six seconds after one failure, or until two of them went well.
TRUSTED = 0.5


class FailurePenalty(NamedTuple):
    """What is held against one upstream.

    Attributes:
        failures: Failures, less what was forgiven since.
        at: Clock at which `failures` held.
        failed: Clock of the last failure.
        until: Clock until which it is left out if there are others.
    """

    failures: float
    at: float
    failed: float
    until: float

    def now(self, now: float) -> float:
        """Returns the failures that still count at a time."""
        return self.failures * 0.5 ** ((now - self.at) / HALF_LIFE)


class FailurePenalties:
    """The standing of each upstream that failed lately."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, FailurePenalty] = {}

    def failed(self, upstream: str, now: float) -> FailurePenalty:
        """Counts a failure; returns the standing with its pause."""
        before = self.by_upstream.get(upstream)
        failures = 1.0
        if before is not None:
            failures = min(MOST, before.now(now) + 1.0)
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** (failures - 1.0))
        until = now + pause
        if before is not None:
            until = max(until, before.until)
        standing = FailurePenalty(failures, now, now, until)
        self.by_upstream[upstream] = standing
        return standing

    def answered(self, upstream: str, began: float, now: float) -> None:
        """Counts a good answer to a request that began at `began`.

        A request that was under way when another failed proves nothing, so
        it lifts no pause; one that began after it shows that the upstream
        can be reached again.
        """
        before = self.by_upstream.get(upstream)
        if before is None:
            return
        failures = before.now(now) - FORGIVEN
        if failures <= 0.0:
            del self.by_upstream[upstream]
            return
        until = now if began > before.failed else before.until
        self.by_upstream[upstream] = FailurePenalty(
            failures, now, before.failed, until
        )

    def allows(self, upstream: str, repeatable: bool, now: float) -> bool:
        """Tells whether it gets a request as usual.

        Args:
            upstream: The upstream.
            repeatable: Whether the request may run once more elsewhere.
            now: The clock.
        """
        standing = self.by_upstream.get(upstream)
        if standing is None:
            return True
        if now < standing.until:
            return False
        return repeatable or standing.now(now) <= TRUSTED

    def forget(self, upstream: str) -> None:
        """Drops an upstream that is gone."""
        self.by_upstream.pop(upstream, None)


class Wait(NamedTuple):
    """A request that waits at an upstream.

    Attributes:
        since: Clock at which it was sent.
        patience: Seconds of silence that are still usual for its route.
    """

    since: float
    patience: float


class SilenceDetector:
    """Upstreams from which nothing comes though something is due.

    Made for an upstream that stands still or lost its power: its connections
    stay open, and each request placed there is lost to its caller only when
    the caller's own patience ends, seconds later. Anything that arrives from
    it, for whichever request, shows that it lives.
    """

    def __init__(self) -> None:
        self.pending_requests: dict[str, dict[str, Wait]] = {}
        self.last_received: dict[str, float] = {}

    def began(
        self, upstream: str, request: str, patience: float, now: float
    ) -> None:
        """Notes that a request was sent."""
        self.pending_requests.setdefault(upstream, {})[request] = Wait(
            now, patience
        )

    def arrived(self, upstream: str, now: float) -> None:
        """Notes that something came from the upstream."""
        self.last_received[upstream] = now

    def ended(self, upstream: str, request: str) -> None:
        """Takes the request back out."""
        waits = self.pending_requests.get(upstream, {})
        waits.pop(request, None)
        if not waits:
            self.pending_requests.pop(upstream, None)
            self.last_received.pop(upstream, None)

    def waiting(self, upstream: str) -> int:
        """Returns how many requests wait there."""
        return len(self.pending_requests.get(upstream, ()))

    def silent(self, upstream: str, now: float) -> bool:
        """Tells whether a request waits there for longer than is usual."""
        waits = self.pending_requests.get(upstream)
        if not waits:
            return False
        heard = self.last_received.get(upstream, 0.0)
        return any(
            now - max(wait.since, heard) > wait.patience
            for wait in waits.values()
        )


def healthy(
    upstreams: Sequence[str],
    penalties: FailurePenalties | None,
    silence_detector: SilenceDetector | None,
    repeatable: bool,
    now: float,
) -> list[str]:
    """Returns the upstreams that a request may go to as usual.

    All of them where none is left: a poor chance is better than a refusal.

    Args:
        upstreams: Those that take new work.
        penalties: What failed lately; None to go without.
        silence_detector: What keeps silent; None to go without.
        repeatable: Whether the request may run once more elsewhere.
        now: The clock.
    """
    found = [
        name
        for name in upstreams
        if (penalties is None or penalties.allows(name, repeatable, now))
        and (silence_detector is None or not silence_detector.silent(name, now))
    ]
    return found or list(upstreams)
