"""Expected time to the end of a turn, by upstream.

Handles engines of unequal and changing speed: some generate slower than their
peers for good, some become several times slower or stop for a while. Placement
by the number of requests alone would give each of them the same share.

All rates are learned for each service: the time to the first event over the
prompt tokens that are not cached, and the gap between two events over the load
of the upstream. The speed of an upstream is what its gaps are relative to these
rates, compared with the median of its peers. Gaps scatter; a deviation counts
only beyond the measured scatter.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import NamedTuple

# Weight that older samples keep with each new one, for the rates of a service.
# Half of a rate comes from the last 170 samples.
RATE_DECAY = 1.0 - 1.0 / 256.0
# Samples needed before a rate is used, and before an upstream is compared.
MIN_RATE_SAMPLES = 8.0
MIN_SPEED_SAMPLES = 2
# Samples after which an entry trusts its own measurement alone.
FULL_SPEED_SAMPLES = 6
# Weights of a new sample in the slow and the fast average of an upstream. If
# they differ by more than the scatter explains, and so do two gaps in a row,
# its speed has changed and the slow average begins anew.
SLOW_GAIN = 1.0 / 16.0
FAST_GAIN = 1.0 / 3.0
# Number of samples whose plain average scatters as much as the fast one.
FAST_WINDOW = 5
# Scatter of an average of gain g, relative to that of one sample.
SLOW_SCATTER = math.sqrt(SLOW_GAIN / (2.0 - SLOW_GAIN))
FAST_SCATTER = math.sqrt(FAST_GAIN / (2.0 - FAST_GAIN))
# Weight of a new answer in the average number of gaps.
GAPS_GAIN = 1.0 / 32.0
# Number of standard deviations that count as a change.
SIGNIFICANT = 3.0
# A gap counts as at most this many times the expected one, so that one pause
# does not hide the samples that follow it.
MAX_RATIO = 8.0
# Lower bound of a sample in seconds, as events that arrive together have no gap
# between them.
MIN_GAP = 0.001
# Upstreams that differ less from the median are taken for equal to it. Load
# that no entry can see changes measured gaps by as much.
MIN_DEVIATION = 0.2
# Seconds after which a speed without new samples no longer counts, so that an
# avoided upstream is tried again. A request in this time is an answer's length
# of harm; its first gaps show whether the upstream has recovered.
MAX_SPEED_AGE = 2.0
# What an overdue event counts as for other entries. They avoid the upstream for
# new programs, but a short pause is no reason to leave a cache there.
STALL_SLOWDOWN = 2.0
# Age at which rates and speeds that a choice uses are computed again; a change
# of speed has them computed at once.
REFRESH_SECONDS = 0.1
# One gap of a running answer in this many is used for the rates of a service.
RATE_SAMPLE_INTERVAL = 4
# Lower bound of a relative speed by which a sample is divided.
_MIN_RELATIVE_GAP = 0.1
# Variance of relative gaps that is assumed before any sample.
_INITIAL_VARIANCE = 0.25
# Lower bound of the scatter with which an overdue event is compared.
_MIN_STALL_SCATTER = 0.5


class Line:
    """A line that is fitted to samples, older ones with less weight."""

    __slots__ = ("count", "x", "xx", "xy", "y")

    def __init__(self) -> None:
        self.count = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Adds a sample."""
        self.count = self.count * RATE_DECAY + 1.0
        self.x = self.x * RATE_DECAY + x
        self.y = self.y * RATE_DECAY + y
        self.xx = self.xx * RATE_DECAY + x * x
        self.xy = self.xy * RATE_DECAY + x * y

    def fit(self) -> tuple[float, float] | None:
        """Returns offset and slope, neither negative; None before enough."""
        if self.count < MIN_RATE_SAMPLES:
            return None
        mean_x, mean_y = self.x / self.count, self.y / self.count
        variance = self.xx / self.count - mean_x * mean_x
        slope = 0.0
        # 1e-6 is far below any spread of samples, and above rounding.
        if variance > 1e-6 * (1.0 + mean_x * mean_x):
            slope = (self.xy / self.count - mean_x * mean_y) / variance
        slope = max(0.0, slope)
        offset = mean_y - slope * mean_x
        if offset < 0.0:
            return 0.0, mean_y / mean_x
        return offset, slope


class Rates(NamedTuple):
    """The rates of a service at an upstream of median speed, in seconds.

    Attributes:
        first: Time to the first event of a prompt without uncached tokens.
        per_token: Time that each uncached token adds.
        gap: Gap between two events at an upstream without load.
        per_batch: Time that a full batch adds to the gap.
        gaps: Gaps of an answer.
    """

    first: float
    per_token: float
    gap: float
    per_batch: float
    gaps: float

    def prefill(self, tokens: int) -> float:
        """Returns the time to the first event without a queue."""
        return self.first + self.per_token * tokens

    def gap_at(self, load: float) -> float:
        """Returns the gap at a load, in batches; a batch can't exceed one."""
        return self.gap + self.per_batch * min(load, 1.0)

    def seconds(self, tokens: int, load: float) -> float:
        """Returns the time of a turn, with its queue.

        Args:
            tokens: Prompt tokens that are not cached.
            load: Load of the upstream in batches, with this turn. Of what
                exceeds a batch, each part waits until as large a part of the
                batch has ended.
        """
        seconds = self.prefill(tokens) + self.gaps * self.gap_at(load)
        if load > 1.0:
            whole = self.first + self.gaps * self.gap_at(1.0)
            seconds += (load - 1.0) * whole
        return seconds


class PendingRequest(NamedTuple):
    """A request that was sent and has had no event.

    Attributes:
        tokens: Prompt tokens that are not cached.
        load: Load of the upstream in batches, with this request.
        sent_at: When it was sent.
    """

    tokens: int
    load: float
    sent_at: float


class UpstreamTimes:
    """What one entry has measured at one upstream.

    Attributes:
        service: The service's times.
        load: Load in batches when the rates were last computed.
        expected: Expected gap at that load, at median speed; 0 if unknown.
        slow: Slow average of the gaps, relative to the expected ones.
        fast: Fast average of the same.
        samples: Number of gaps so far.
        window: Number of gaps in the slow average since it last began.
        is_suspect: Whether the last gap showed a change of speed. A second one
            confirms it; a single pause is no change.
        updated_at: Time of the last gap.
        alive_at: Last time at which the upstream is known not to have been
            late: data came, or the caller did not read it.
        streaming: Time of the first event of each answer that has begun, by
            request.
        pending: Requests that have had no event, by request id.
    """

    __slots__ = (
        "alive_at",
        "expected",
        "fast",
        "is_suspect",
        "load",
        "pending",
        "samples",
        "service",
        "slow",
        "streaming",
        "updated_at",
        "window",
    )

    def __init__(self, service: "ServiceTimes") -> None:
        self.service = service
        self.load = 0.0
        self.expected = 0.0
        self.slow = self.fast = 1.0
        self.samples = 0
        self.window = 0
        self.is_suspect = False
        self.updated_at = self.alive_at = 0.0
        self.streaming: dict[str, float] = {}
        self.pending: dict[str, PendingRequest] = {}

    def began(self, request: str, tokens: int, load: float, now: float) -> None:
        """Records a request that is sent.

        Args:
            request: Request id.
            tokens: Prompt tokens that are not cached.
            load: Load in batches, with this request.
            now: The current time.
        """
        self.pending[request] = PendingRequest(tokens, load, now)
        self.set_load(load)

    def set_load(self, load: float) -> None:
        """Sets the load, in batches, with which gaps are compared."""
        self.load = load
        rates = self.service.rates
        if rates is not None:
            self.expected = max(MIN_GAP, rates.gap_at(load))

    def first_event(self, request: str, now: float) -> None:
        """Records the first event of an answer."""
        sent = self.pending.pop(request, None)
        self.streaming[request] = now
        self.updated_at = max(self.updated_at, now)
        # Beyond the slots, the time would include that in the queue.
        if sent is not None and sent.load <= 1.0:
            seconds = max(MIN_GAP, now - sent.sent_at)
            self.service.first.add(
                sent.tokens, seconds / max(_MIN_RELATIVE_GAP, self.slow)
            )

    def gap(self, seconds: float, now: float) -> None:
        """Records a gap between two events, or the time of a whole answer."""
        seconds = max(seconds, MIN_GAP)
        if now - self.updated_at > MAX_SPEED_AGE:
            self.samples = 0
        self.updated_at = now
        service = self.service
        if not self.expected:
            service.gap.add(self.load, seconds)
            return
        ratio = seconds / self.expected
        ratio = min(ratio, MAX_RATIO)
        self.samples += 1
        if self.samples == 1:
            self.slow = self.fast = ratio
            self.window = 1
            return
        slow = self.slow
        self.fast += FAST_GAIN * (ratio - self.fast)
        # The first samples are averaged with equal weights.
        self.window += 1
        slow += max(SLOW_GAIN, 1.0 / self.window) * (ratio - slow)
        # Most gaps are within the scatter, so this is checked first.
        if -service.change < self.fast - slow < service.change:
            self.is_suspect = False
        else:
            slow = self._after_deviation(ratio, slow)
        self.slow = slow
        if self.samples % RATE_SAMPLE_INTERVAL == 0:
            service.learn(self.load, seconds, ratio, slow)

    def _after_deviation(self, ratio: float, slow: float) -> float:
        """Returns the slow average, begun anew if the speed has changed."""
        bound = self.service.change * max(1.0, min(self.fast, slow))
        if abs(self.fast - slow) <= bound or abs(ratio - slow) <= bound:
            self.is_suspect = False
            return slow
        self.is_suspect = not self.is_suspect
        if self.is_suspect:
            return slow
        self.window = FAST_WINDOW
        self.service.refreshed_at = -math.inf
        return self.fast

    def ended(self, request: str) -> None:
        """Removes a request; the length of its answer counts."""
        self.pending.pop(request, None)
        first_at = self.streaming.pop(request, None)
        if first_at is not None and self.expected:
            seconds = max(0.0, self.updated_at - first_at)
            self.service.answered(seconds / (self.expected * self.slow))

    def stall(self, now: float) -> float:
        """Returns how overdue the next event is, in expected gaps; 0 if not.

        With several answers the next event is due sooner than one gap, so the
        bound is a safe one.
        """
        if not self.streaming or not self.expected:
            return 0.0
        since = max(self.updated_at, self.alive_at)
        gaps = (now - since) / (self.expected * self.slow)
        return gaps if gaps > self.service.overdue else 0.0


class ServiceTimes:
    """What one entry has measured at the upstreams of one service.

    Attributes:
        upstreams: The measurements by upstream.
        first: Time to the first event over uncached tokens.
        gap: Gap over the load in batches.
        gaps: Average number of gaps of an answer.
        variance: Variance of relative gaps.
        change: Relative difference of averages that shows a change of speed.
        deviation: Relative difference from the median that counts.
        overdue: Number of expected gaps without an event that show a stall.
        rates: The rates as last computed; None before enough samples.
        measured: Speeds that this entry measured, of the upstreams that
            differ; see `slowdowns`.
        slowdowns: Time divided by that of the median, of the upstreams that
            differ; above 1 for slow ones.
        stalled: Seconds for which an event has been overdue, by upstream.
        refreshed_at: Time at which these were computed.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamTimes] = {}
        self.first = Line()
        self.gap = Line()
        self.gaps = 1.0
        self.variance = _INITIAL_VARIANCE
        self.rates: Rates | None = None
        self.measured: dict[str, float] = {}
        self.slowdowns: dict[str, float] = {}
        self.stalled: dict[str, float] = {}
        self.refreshed_at = -math.inf
        self._set_bounds()

    def of(self, upstream: str) -> UpstreamTimes:
        """Returns the measurements of an upstream."""
        found = self.upstreams.get(upstream)
        if found is None:
            found = self.upstreams[upstream] = UpstreamTimes(self)
        return found

    def learn(
        self, load: float, seconds: float, ratio: float, average: float
    ) -> None:
        """Adds a gap to the rates.

        Args:
            load: Load of its upstream in batches.
            seconds: The gap.
            ratio: The gap relative to the expected one.
            average: Average of this ratio at its upstream.
        """
        self.gap.add(load, seconds / max(_MIN_RELATIVE_GAP, average))
        deviation = (ratio / max(_MIN_RELATIVE_GAP, average) - 1.0) ** 2
        # A single pause must not make all later changes insignificant.
        deviation = min(deviation, SIGNIFICANT**2 * self.variance)
        self.variance += (1.0 - RATE_DECAY) * (deviation - self.variance)

    def answered(self, gaps: float) -> None:
        """Records the length of an answer, in expected gaps."""
        self.gaps += GAPS_GAIN * (max(1.0, gaps) - self.gaps)

    def refresh(
        self,
        load_of: Callable[[str], float],
        shared: Mapping[str, float],
        now: float,
    ) -> None:
        """Computes rates and speeds again.

        Args:
            load_of: Returns the load of an upstream in batches.
            shared: Slowdowns that several other entries agree on.
            now: The current time.
        """
        self.refreshed_at = now
        self._set_bounds()
        gap = self.gap.fit()
        if gap is not None:
            first = self.first.fit() or (0.0, 0.0)
            self.rates = Rates(*first, *gap, self.gaps)
        known: list[tuple[str, UpstreamTimes]] = []
        for name, times in self.upstreams.items():
            if times.pending or times.streaming:
                times.set_load(load_of(name))
            if times.samples >= MIN_SPEED_SAMPLES:
                known.append((name, times))
        self._compare(known, shared, now)

    def _set_bounds(self) -> None:
        scatter = math.sqrt(self.variance)
        self.change = SIGNIFICANT * scatter * (FAST_SCATTER + SLOW_SCATTER)
        self.deviation = max(
            MIN_DEVIATION, SIGNIFICANT * scatter * SLOW_SCATTER
        )
        self.overdue = 1.0 + SIGNIFICANT * max(scatter, _MIN_STALL_SCATTER)

    def _compare(
        self,
        known: list[tuple[str, UpstreamTimes]],
        shared: Mapping[str, float],
        now: float,
    ) -> None:
        """Compares the upstreams with their median.

        Args:
            known: Upstreams with enough samples.
            shared: Slowdowns that several other entries agree on.
            now: The current time.
        """
        self.measured = {}
        self.stalled = {}
        slowdowns = dict(shared)
        # For an even number the lower median, so that of two upstreams the
        # slower one is compared with the faster.
        ordered = sorted([times.slow for _, times in known])
        median = ordered[(len(ordered) - 1) // 2] if len(ordered) > 1 else 0.0
        for name, times in known:
            own = times.slow / median if median else 1.0
            age = now - times.updated_at
            trust = min(1.0, times.samples / FULL_SPEED_SAMPLES)
            gaps = times.stall(now) if times.streaming else 0.0
            if gaps:
                self.stalled[name] = gaps * times.expected * times.slow
                trust = 1.0
                self.measured[name] = max(own, min(gaps, STALL_SLOWDOWN))
                own = max(own, gaps)
            elif age > MAX_SPEED_AGE:
                continue
            own = 1.0 + (own - 1.0) * trust
            if not gaps and self._differs(own):
                self.measured[name] = own
            if trust < 1.0 and name in shared:
                own += (1.0 - trust) * (shared[name] - 1.0)
            if self._differs(own):
                slowdowns[name] = own
            elif name in slowdowns:
                del slowdowns[name]
        self.slowdowns = slowdowns

    def _differs(self, slowdown: float) -> bool:
        """Returns whether a slowdown differs from the median's, which is 1."""
        return abs(slowdown - 1.0) > self.deviation * min(slowdown, 1.0)


class TurnTimes:
    """What one entry has measured, by service.

    Attributes:
        services: The measurements by service.
        upstreams: The measurements by upstream.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceTimes] = {}
        self.upstreams: dict[str, UpstreamTimes] = {}

    def service(self, name: str) -> ServiceTimes:
        """Returns the measurements of a service."""
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = ServiceTimes()
        return found

    def upstream(self, service: str, name: str) -> UpstreamTimes:
        """Returns the measurements of an upstream of a service."""
        found = self.upstreams.get(name)
        if found is None:
            found = self.upstreams[name] = self.service(service).of(name)
        return found

    def forget(self, upstream: str) -> None:
        """Drops an upstream that no longer exists."""
        self.upstreams.pop(upstream, None)
        for service in self.services.values():
            service.upstreams.pop(upstream, None)
            service.slowdowns.pop(upstream, None)
            service.measured.pop(upstream, None)
