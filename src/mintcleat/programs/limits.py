"""Per-customer request limits over all entries, counted by a program group.

A customer may send through any number of entries at once, while entries,
leaders and disks fail. If it could exceed its limit in this way, the others
would pay for it at the upstreams. A refusal does harm too: a program refused
in the middle has wasted everything spent on it, and a request below the limit
must never be refused.

A request is counted by the command that opens its turn. The count is thus
replicated with the turn, and a new leader continues it instead of starting at
zero. Requests are counted in buckets of a twentieth of the window, which leave
the count only when they lie entirely outside of the window, so that no window
holds more than the limit and its tolerance.

A program may begin only within the limit, and only if the active programs are
not expected to need what is left. Requests of active programs may also use the
tolerance: demand is bursty, and to refuse them when a burst exceeds the limit
for a second would lose the work already done.
"""

import collections
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import program_messages

BUCKETS_PER_WINDOW = 20
# A program that has sent nothing for this long is considered to have ended;
# its tool calls and pauses are shorter.
ACTIVE_PROGRAM_SECONDS = 3.0
# A customer that has sent nothing for this long is forgotten, together with
# the statistics of its programs.
IDLE_CUSTOMER_SECONDS = 120.0
# Assumed requests per program before any was seen.
_INITIAL_REQUESTS = 8.0
# Factor by which the statistics of past programs decay with each program.
_DECAY = 0.95
# The lookback is the share of the window whose requests count against a new
# program, in addition to what active programs still need. It grows when a
# request of an active program is refused and shrinks when a program begins,
# and so adapts to how much of the window expires while a program runs.
_INITIAL_LOOKBACK = 0.5
_MIN_LOOKBACK = 0.3
_MAX_LOOKBACK = 1.0
_LOOKBACK_INCREASE = 0.02
_LOOKBACK_DECREASE = 0.02
# Share of the limit above which no requests are counted ahead.
_AHEAD_MAX_LOAD = 0.75
# Share of the tolerance that may be counted ahead. Entries may send these
# requests later than they were counted; the rest is for active programs.
_AHEAD_SHARE = 0.25
# Time within which an entry must send a request that was counted ahead.
AHEAD_SECONDS = 1.0
# Retry delay of a refusal if no earlier requests are known to expire sooner.
_MIN_RETRY_SECONDS = 0.05


class Bucket:
    """Number of requests in a twentieth of a window from `start` on."""

    def __init__(self, start: float, count: int) -> None:
        self.start = start
        self.count = count


class ActiveProgram:
    """Requests of a program so far, and the group clock of the last one."""

    def __init__(self, requests: int, touched: float) -> None:
        self.requests = requests
        self.touched = touched


class Rejection(NamedTuple):
    """Why a request was not admitted.

    Attributes:
        used: Requests counted in the window.
        max_requests: Limit of the window in requests.
        retry_after: Seconds until the request may be admitted.
        is_first: Whether its program is not active, or it has none.
    """

    used: int
    max_requests: float
    retry_after: float
    is_first: bool


class CustomerUsage:
    """Recent requests of one customer.

    Attributes:
        buckets: Requests in the window, the oldest bucket first.
        used: Sum of the requests in all buckets.
        active: Active programs by id, the least recently active first.
        requests: Requests of recent programs; decays with each new program.
        programs_started: Number of recent programs; decays likewise.
        lookback: Share of the window whose requests count against a new
            program.
        ahead: (clock, number) of the requests counted ahead that entries may
            still hold, the oldest first.
        touched: Group clock of the last request.
    """

    def __init__(self) -> None:
        self.buckets: collections.deque[Bucket] = collections.deque()
        self.used = 0
        self.active: collections.OrderedDict[str, ActiveProgram] = (
            collections.OrderedDict()
        )
        self.requests = _INITIAL_REQUESTS
        self.programs_started = 1.0
        self.lookback = _INITIAL_LOOKBACK
        self.ahead: collections.deque[tuple[float, int]] = collections.deque()
        self.touched = 0.0

    def admit(
        self,
        program: str,
        limit: program_messages.RateLimit,
        clock: float,
    ) -> Rejection | None:
        """Counts a request, or returns why it must not be sent."""
        self._expire(limit.window, clock)
        used = self.used
        is_first = program not in self.active
        max_requests = limit.window_limit()
        max_with_tolerance = max_requests + limit.tolerance() * (
            1 - _AHEAD_SHARE
        )
        if used + 1 > (max_requests if is_first else max_with_tolerance):
            if not is_first:
                self.lookback = min(
                    _MAX_LOOKBACK, self.lookback + _LOOKBACK_INCREASE
                )
            retry_after = self._seconds_until_expired(1, limit.window, clock)
            return Rejection(used, max_requests, retry_after, is_first)
        if is_first and self.active:
            expected = (
                self._count_within(limit.window * self.lookback, clock)
                + self._outstanding_requests()
            )
            own_requests = self._requests_per_program() if program else 1.0
            if expected + own_requests > max_with_tolerance:
                retry_after = self._seconds_until_expired(
                    1, limit.window * self.lookback, clock
                )
                return Rejection(used, max_requests, retry_after, is_first)
        self._count(limit.window, clock)
        self._record_request(program, clock)
        return None

    def count_ahead(
        self, wanted: int, limit: program_messages.RateLimit, clock: float
    ) -> int:
        """Counts requests that an entry may send within AHEAD_SECONDS.

        Returns:
            The number of requests counted, `wanted` at most; 0 if the customer
            is near its limit.
        """
        while self.ahead and clock - self.ahead[0][0] > AHEAD_SECONDS:
            self.ahead.popleft()
        max_requests = limit.window_limit()
        available = int(limit.tolerance() * _AHEAD_SHARE) - sum(
            n for _, n in self.ahead
        )
        available = min(
            available, int(max_requests * _AHEAD_MAX_LOAD) - self.used
        )
        granted = max(0, min(wanted, available))
        for _ in range(granted):
            self._count(limit.window, clock)
        if granted:
            self.ahead.append((clock, granted))
        return granted

    def refund(self, counted_at: float) -> None:
        """Uncounts a request that never ran.

        Args:
            counted_at: Group clock at which the request was counted.
        """
        for bucket in reversed(self.buckets):
            if bucket.start <= counted_at:
                if bucket.count:
                    bucket.count -= 1
                    self.used -= 1
                return

    def _expire(self, window: float, clock: float) -> None:
        length = window / BUCKETS_PER_WINDOW
        while self.buckets and clock - self.buckets[0].start >= window + length:
            self.used -= self.buckets.popleft().count
        while self.active:
            program, record = next(iter(self.active.items()))
            if clock - record.touched < ACTIVE_PROGRAM_SECONDS:
                return
            del self.active[program]

    def _count(self, window: float, clock: float) -> None:
        if (
            not self.buckets
            or clock >= self.buckets[-1].start + window / BUCKETS_PER_WINDOW
        ):
            self.buckets.append(Bucket(clock, 0))
        self.buckets[-1].count += 1
        self.used += 1

    def _record_request(self, program: str, clock: float) -> None:
        self.touched = clock
        self.requests += 1.0
        if not program:
            return
        record = self.active.get(program)
        if record is None:
            self.programs_started = self.programs_started * _DECAY + 1.0
            self.lookback = max(
                _MIN_LOOKBACK, self.lookback - _LOOKBACK_DECREASE
            )
            self.requests *= _DECAY
            record = self.active[program] = ActiveProgram(0, clock)
        record.requests += 1
        record.touched = clock
        self.active.move_to_end(program)

    def _requests_per_program(self) -> float:
        """Returns the average number of requests of recent programs."""
        return self.requests / self.programs_started

    def _outstanding_requests(self) -> float:
        """Estimates the requests that the active programs have yet to send."""
        mean = self._requests_per_program()
        return sum(
            max(1.0, mean - record.requests) for record in self.active.values()
        )

    def _count_within(self, seconds: float, clock: float) -> int:
        """Returns the number of requests in the last `seconds`."""
        return sum(
            bucket.count
            for bucket in self.buckets
            if clock - bucket.start < seconds
        )

    def _seconds_until_expired(
        self, count: int, seconds: float, clock: float
    ) -> float:
        """Returns when `count` more requests will be older than `seconds`."""
        for bucket in self.buckets:
            age = clock - bucket.start
            if age >= seconds:
                continue
            count -= bucket.count
            if count <= 0:
                return max(
                    _MIN_RETRY_SECONDS,
                    seconds * (1 + 1 / BUCKETS_PER_WINDOW) - age,
                )
        return _MIN_RETRY_SECONDS

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        return [
            [[bucket.start, bucket.count] for bucket in self.buckets],
            [
                [program, record.requests, record.touched]
                for program, record in self.active.items()
            ],
            self.requests,
            self.programs_started,
            self.lookback,
            [list(item) for item in self.ahead],
            self.touched,
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        buckets, active, self.requests, self.programs_started, self.lookback = (
            state[:5]
        )
        ahead, self.touched = state[5:]
        self.buckets = collections.deque(Bucket(*item) for item in buckets)
        self.used = sum(bucket.count for bucket in self.buckets)
        for program, requests, touched in active:
            self.active[program] = ActiveProgram(requests, touched)
        self.ahead = collections.deque((at, count) for at, count in ahead)


class CustomerLimits:
    """Request counts of all customers of a group.

    Attributes:
        usages: Usage by customer, the least recently active first.
    """

    def __init__(self) -> None:
        self.usages: collections.OrderedDict[str, CustomerUsage] = (
            collections.OrderedDict()
        )

    def admit(
        self,
        customer: str,
        program: str,
        limit: program_messages.RateLimit | None,
        clock: float,
    ) -> errors.LimitReached | None:
        """Counts a request of a customer, or returns the error refusing it.

        Requests without a customer or without a limit are not counted.

        Returns:
            None if the request may be sent; errors.LimitNear if its program
            is not active and may not begin now; otherwise
            errors.LimitReached.
        """
        if limit is None or not customer:
            return None
        usage = self._usage(customer, clock)
        rejection = usage.admit(program, limit, clock)
        if rejection is None:
            return None
        kind = errors.LimitNear if rejection.is_first else errors.LimitReached
        return kind(
            f"Customer {customer} has sent {rejection.used} requests in the "
            f"last {limit.window:g} s; its limit is {rejection.max_requests:g} "
            f"({limit.rate:g} per second and a burst of {limit.burst:g}), "
            f"and {len(usage.active)} of its programs are active.",
            retry_after=round(rejection.retry_after, 3),
        )

    def count_ahead(
        self,
        customer: str,
        wanted: int,
        limit: program_messages.RateLimit | None,
        clock: float,
    ) -> int:
        """Counts requests that an entry may send within AHEAD_SECONDS.

        Returns:
            The number of requests counted, `wanted` at most.
        """
        usage = self.usages.get(customer)
        if limit is None or usage is None or not wanted:
            return 0
        return usage.count_ahead(wanted, limit, clock)

    def refund(self, customer: str, counted_at: float) -> None:
        """Uncounts a request of a customer that never ran.

        Args:
            customer: The customer.
            counted_at: Group clock at which the request was counted.
        """
        usage = self.usages.get(customer)
        if usage is not None:
            usage.refund(counted_at)

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        return [
            [customer, usage.state()] for customer, usage in self.usages.items()
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        self.usages.clear()
        for customer, saved in state:
            self.usages[customer] = CustomerUsage()
            self.usages[customer].load(saved)

    def _usage(self, customer: str, clock: float) -> CustomerUsage:
        while self.usages:
            oldest, idle = next(iter(self.usages.items()))
            if (
                clock - idle.touched < IDLE_CUSTOMER_SECONDS
                or oldest == customer
            ):
                break
            del self.usages[oldest]
        usage = self.usages.get(customer)
        if usage is None:
            usage = self.usages[customer] = CustomerUsage()
            usage.touched = clock
        self.usages.move_to_end(customer)
        return usage
