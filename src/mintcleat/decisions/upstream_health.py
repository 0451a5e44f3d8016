"""Passive health checks: excludes upstreams that fail or fall silent.

Handles upstreams that vanish without deregistering, and partial failures: some
requests fail or hang while the others and the health checks succeed. One entry
sends an upstream about one request per second, too few for a failure rate, so
the first failure counts and a success takes back only a part of it. Only
repeatable requests test whether an upstream has recovered, since a failure
costs their callers no more than a second attempt. All other requests avoid it
until then.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from mintcleat.decisions import running_requests

# Seconds for which a failure excludes an upstream, doubled with each further
# failure up to the maximum. The first is about the time in which a restarted
# upstream registers again. The maximum is short because an upstream may come
# back at the same address without any notice.
FIRST_EXCLUSION_SECONDS = 0.75
MAX_EXCLUSION_SECONDS = 6.0
# What a success subtracts from the failure count. The count of an upstream that
# fails more than one request in four grows; with an occasional lost answer or
# broken connection it stays near zero.
SUCCESS_CREDIT = 0.34
# Without requests, the failure count halves in this many seconds.
HALF_LIFE_SECONDS = 6.0
# Upper bound of the failure count; more would only delay the recovery.
MAX_FAILURES = 5.0
# Above this failure count an upstream gets only repeatable requests: for six
# seconds after one failure, or until two of them have succeeded.
MAX_FAILURES_NON_REPEATABLE = 0.5
# From this failure count on an excluded upstream is no capacity: two failures
# in a row, soon after each other.
NO_CAPACITY_FAILURES = 1.5


class FailurePenalty(NamedTuple):
    """The failure penalty of one upstream; times in seconds of the clock.

    Attributes:
        failures: Failure count at `updated_at`, reduced by successes.
        updated_at: When `failures` last changed.
        last_failure: When a request last failed.
        until: End of its exclusion, which is ignored if no other upstream is
            healthy.
    """

    failures: float
    updated_at: float
    last_failure: float
    until: float

    def current(self, now: float) -> float:
        """Returns the decayed failure count at a time."""
        return self.failures * 0.5 ** (
            (now - self.updated_at) / HALF_LIFE_SECONDS
        )


class FailurePenalties:
    """Penalties of the upstreams that failed recently.

    Attributes:
        by_upstream: The penalty of each such upstream.
    """

    def __init__(self) -> None:
        self.by_upstream: dict[str, FailurePenalty] = {}

    def failed(self, upstream: str, now: float) -> FailurePenalty:
        """Counts a failure; returns the new penalty."""
        before = self.by_upstream.get(upstream)
        failures = 1.0
        if before is not None:
            failures = min(MAX_FAILURES, before.current(now) + 1.0)
        exclusion = min(
            MAX_EXCLUSION_SECONDS,
            FIRST_EXCLUSION_SECONDS * 2.0 ** (failures - 1.0),
        )
        until = now + exclusion
        if before is not None:
            until = max(until, before.until)
        penalty = FailurePenalty(failures, now, now, until)
        self.by_upstream[upstream] = penalty
        return penalty

    def answered(self, upstream: str, began: float, now: float) -> None:
        """Counts a successful answer to a request that was sent at `began`.

        A request sent after the last failure shows that the upstream works
        again, so it ends the exclusion. One sent before it proves nothing.
        """
        before = self.by_upstream.get(upstream)
        if before is None:
            return
        failures = before.current(now) - SUCCESS_CREDIT
        if failures <= 0.0:
            del self.by_upstream[upstream]
            return
        until = now if began > before.last_failure else before.until
        self.by_upstream[upstream] = FailurePenalty(
            failures, now, before.last_failure, until
        )

    def allows(self, upstream: str, repeatable: bool, now: float) -> bool:
        """Returns whether a request may go to the upstream.

        Args:
            upstream: The upstream.
            repeatable: Whether the request may be repeated elsewhere.
            now: The current time.
        """
        penalty = self.by_upstream.get(upstream)
        if penalty is None:
            return True
        if now < penalty.until:
            return False
        return repeatable or penalty.current(now) <= MAX_FAILURES_NON_REPEATABLE

    def is_failing(self, upstream: str, now: float) -> bool:
        """Returns whether the upstream seems to fail all requests."""
        penalty = self.by_upstream.get(upstream)
        return (
            penalty is not None
            and now < penalty.until
            and penalty.current(now) >= NO_CAPACITY_FAILURES
        )

    def recovering(self, now: float) -> list[str]:
        """Returns the upstreams which failed once, and not just now.

        They get only repeatable requests, while others have free slots.
        """
        return [
            name
            for name, penalty in self.by_upstream.items()
            if now >= penalty.until
            and MAX_FAILURES_NON_REPEATABLE
            < penalty.current(now)
            < NO_CAPACITY_FAILURES
        ]

    def forget(self, upstream: str) -> None:
        """Drops an upstream that no longer exists."""
        self.by_upstream.pop(upstream, None)


class SilenceDetector:
    """Detects upstreams that send nothing while requests are pending.

    An upstream that hangs or lost power leaves its connections open, so its
    requests fail only when their callers time out, seconds later. Any data from
    it, for whichever request, shows that it is alive.

    Attributes:
        requests: The pending requests.
        last_received: When data last came, by upstream.
    """

    def __init__(self, requests: running_requests.RunningRequests) -> None:
        self.requests = requests
        self.last_received: dict[str, float] = {}

    def arrived(self, upstream: str, now: float) -> None:
        """Records that data came from the upstream."""
        self.last_received[upstream] = now

    def forget(self, upstream: str) -> None:
        """Drops an upstream that no longer exists."""
        self.last_received.pop(upstream, None)

    def silent(self, upstream: str, now: float) -> bool:
        """Returns whether a request has exceeded its silence timeout."""
        pending = self.requests.by_upstream.get(upstream)
        return pending is not None and self._exceeded(upstream, pending, now)

    def silent_upstreams(self, now: float) -> list[str]:
        """Returns all upstreams that are silent."""
        return [
            upstream
            for upstream, pending in self.requests.by_upstream.items()
            if self._exceeded(upstream, pending, now)
        ]

    def _exceeded(
        self,
        upstream: str,
        pending: Mapping[str, running_requests.PendingRequest],
        now: float,
    ) -> bool:
        silent = now - self.last_received.get(upstream, 0.0)
        for request in pending.values():
            timeout = request.silence_timeout
            if silent > timeout and now - request.sent_at > timeout:
                return True
        return False


def healthy(
    upstreams: Sequence[str],
    penalties: FailurePenalties | None,
    silence_detector: SilenceDetector | None,
    repeatable: bool,
    now: float,
) -> list[str]:
    """Returns the upstreams that a request may go to.

    Returns all of them if none is healthy, as an attempt is better than a
    refusal.

    Args:
        upstreams: Upstreams that accept requests.
        penalties: Recent failures; None to ignore them.
        silence_detector: Silent upstreams; None to ignore silence.
        repeatable: Whether the request may be repeated elsewhere.
        now: The current time.
    """
    # Few upstreams have failed recently or have requests of this entry.
    excluded = set()
    if penalties is not None:
        for name in penalties.by_upstream:
            if not penalties.allows(name, repeatable, now):
                excluded.add(name)
    if silence_detector is not None:
        excluded.update(silence_detector.silent_upstreams(now))
    return _without(upstreams, excluded)


def capacity(
    upstreams: Sequence[str],
    penalties: FailurePenalties | None,
    silence_detector: SilenceDetector | None,
    now: float,
) -> list[str]:
    """Returns the upstreams whose slots count as capacity of their service.

    A request avoids an upstream after a single failure, as another one is as
    good. For that the slots are not lost: a service of three upstreams which
    break off one answer in twenty would lose half of them, and refuse turns
    beside idle slots.

    Args:
        upstreams: See `healthy`.
        penalties: See `healthy`.
        silence_detector: See `healthy`.
        now: The current time.
    """
    excluded = set()
    if penalties is not None:
        for name in penalties.by_upstream:
            if penalties.is_failing(name, now):
                excluded.add(name)
    if silence_detector is not None:
        excluded.update(silence_detector.silent_upstreams(now))
    return _without(upstreams, excluded)


def _without(upstreams: Sequence[str], excluded: set[str]) -> list[str]:
    """Returns the upstreams but the excluded ones; all if none is left."""
    if not excluded:
        return list(upstreams)
    names = [name for name in upstreams if name not in excluded]
    return names or list(upstreams)
