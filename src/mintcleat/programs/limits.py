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
# Assumed requests per program before any has ended.
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
# requests later than they were counted, so active programs can't use that part
# of the tolerance for a window.
_AHEAD_SHARE = 0.25
# Share of the tolerance for requests that arrive later than others after they
# were counted; an eighth is 0.2 s at the rate of a limit of 10 requests/s.
_DELAY_SHARE = 0.125
AHEAD_SECONDS = program_messages.AHEAD_SECONDS
# Retry delay of a refusal if no earlier requests are known to expire sooner.
_MIN_RETRY_SECONDS = 0.05


class Bucket:
    """Number of requests in a twentieth of a window from `start` on."""

    def __init__(self, start: float, count: int) -> None:
        self.start = start
        self.count = count


class ActiveProgram:
    """A program that has sent a request within ACTIVE_PROGRAM_SECONDS.

    Attributes:
        requests: Requests so far.
        touched: Group clock of the last one.
        is_refused: Whether the next one was refused for the limit.
    """

    def __init__(
        self, requests: int, touched: float, *, is_refused: bool = False
    ) -> None:
        self.requests = requests
        self.touched = touched
        self.is_refused = is_refused


class EndedPrograms:
    """Requests of the programs that have ended.

    Attributes:
        requests: Their requests; decays with each program that was not refused
            at last.
        programs: Number of those not refused; decays likewise. The requests of
            a refused program count without it, because it would have sent more.
            If refused programs lowered the mean, more programs would begin and
            be refused, which would lower it again.
    """

    def __init__(
        self, requests: float = _INITIAL_REQUESTS, programs: float = 1.0
    ) -> None:
        self.requests = requests
        self.programs = programs

    def add(self, program: ActiveProgram) -> None:
        """Adds a program that is no longer active."""
        if not program.is_refused:
            self.requests *= _DECAY
            self.programs = self.programs * _DECAY + 1.0
        self.requests += program.requests


class Rejection(NamedTuple):
    """Why a request was not admitted.

    Attributes:
        used: Requests counted in the window.
        max_requests: Limit of the window in requests.
        retry_after: Seconds until the request may be admitted, if nobody
            sends requests but the active programs and those refused before it.
        is_first: Whether its program is not active, or it has none.
    """

    used: int
    max_requests: float
    retry_after: float
    is_first: bool


def _max_wait(window: float) -> float:
    """Returns the seconds in which all requests so far leave the window."""
    return window * (1 + 1 / BUCKETS_PER_WINDOW)


class CustomerUsage:
    """Recent requests of one customer.

    Attributes:
        buckets: Requests in the window, the oldest bucket first.
        used: Sum of the requests in all buckets.
        active: Active programs by id, the least recently active first.
        by_requests: Number of active programs by their requests so far.
        requests: Requests of recent programs; decays with each new program.
        programs_started: Number of recent programs; decays likewise.
        ended: Requests of programs that have ended.
        lookback: Share of the window whose requests count against a new
            program.
        ahead: (clock, number) of the requests counted ahead that may be sent
            in the window, the oldest first.
        touched: Group clock of the last request.
        waiting: Group clock at which each refused program may begin, as its
            caller was told.
    """

    def __init__(self) -> None:
        self.buckets: collections.deque[Bucket] = collections.deque()
        self.used = 0
        self.active: collections.OrderedDict[str, ActiveProgram] = (
            collections.OrderedDict()
        )
        self.by_requests: collections.Counter[int] = collections.Counter()
        self.requests = _INITIAL_REQUESTS
        self.programs_started = 1.0
        self.ended = EndedPrograms()
        self.lookback = _INITIAL_LOOKBACK
        self.ahead: collections.deque[tuple[float, int]] = collections.deque()
        self.touched = 0.0
        self.waiting: collections.deque[float] = collections.deque()

    def admit(
        self,
        program: str,
        limit: program_messages.RateLimit,
        clock: float,
    ) -> Rejection | None:
        """Counts a request, or returns why it must not be sent."""
        self._expire(limit.window, clock)
        if program in self.active:
            rejection = self._check_active(program, limit, clock)
        else:
            rejection = self._check_new(program, limit, clock)
        if rejection is None:
            self._count(limit.window, clock)
            self._record_request(program, clock)
        return rejection

    def _check_active(
        self,
        program: str,
        limit: program_messages.RateLimit,
        clock: float,
    ) -> Rejection | None:
        """Returns why a request of an active program must not be sent."""
        excess = self.used + 1 - self._max_with_tolerance(limit)
        if excess <= 0:
            return None
        self.active[program].is_refused = True
        self.lookback = min(_MAX_LOOKBACK, self.lookback + _LOOKBACK_INCREASE)
        wait = self._seconds_until_expired(excess, 1.0, limit.window, clock)
        return Rejection(self.used, limit.window_limit(), wait, False)

    def _check_new(
        self,
        program: str,
        limit: program_messages.RateLimit,
        clock: float,
    ) -> Rejection | None:
        """Returns why a program, or a request without one, must not begin."""
        window = limit.window
        excess = self.used + 1 - limit.window_limit()
        expected_excess = 0.0
        own_requests = self._requests_per_program() if program else 1.0
        if self.active:
            expected_excess = (
                self.count_within(window * self.lookback, clock)
                + self._outstanding_requests()
                + own_requests
                - self._max_with_tolerance(limit)
            )
        if excess <= 0 and expected_excess <= 0:
            return None
        # Without the programs that were told an earlier time, all refused
        # programs would come at the same time, and one of them could begin.
        earlier = own_requests * self._waiting_programs(clock)
        wait = max(
            self._seconds_until_expired(excess + earlier, 1.0, window, clock),
            self._seconds_until_expired(
                expected_excess + earlier, self.lookback, window, clock
            ),
        )
        if wait < _max_wait(window):
            self.waiting.append(clock + wait)
        return Rejection(self.used, limit.window_limit(), wait, True)

    def count_ahead(
        self, wanted: int, limit: program_messages.RateLimit, clock: float
    ) -> int:
        """Counts requests that an entry may send within AHEAD_SECONDS.

        Returns:
            The number of requests counted, `wanted` at most; 0 if the customer
            is near its limit.
        """
        max_requests = limit.window_limit()
        available = int(limit.tolerance() * _AHEAD_SHARE) - sum(
            count for at, count in self.ahead if clock - at <= AHEAD_SECONDS
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

    def _max_with_tolerance(self, limit: program_messages.RateLimit) -> float:
        """Returns how many requests of active programs a window may hold.

        Requests may be sent in a window that doesn't count them any more, those
        counted ahead up to AHEAD_SECONDS later. Part of the tolerance is left
        to them.
        """
        tolerance = limit.tolerance()
        late = tolerance * _DELAY_SHARE + sum(n for _, n in self.ahead)
        return limit.window_limit() + max(
            tolerance - late, tolerance * (1 - _AHEAD_SHARE)
        )

    def _expire(self, window: float, clock: float) -> None:
        length = window / BUCKETS_PER_WINDOW
        while self.ahead and (
            clock - self.ahead[0][0] >= window + length + AHEAD_SECONDS
        ):
            self.ahead.popleft()
        while self.buckets and clock - self.buckets[0].start >= window + length:
            self.used -= self.buckets.popleft().count
        while self.active:
            program, record = next(iter(self.active.items()))
            if clock - record.touched < ACTIVE_PROGRAM_SECONDS:
                return
            del self.active[program]
            self._move(record.requests, 0)
            self.ended.add(record)

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
            self.requests *= _DECAY
            self.lookback = max(
                _MIN_LOOKBACK, self.lookback - _LOOKBACK_DECREASE
            )
            record = self.active[program] = ActiveProgram(0, clock)
        record.requests += 1
        self._move(record.requests - 1, record.requests)
        record.touched = clock
        record.is_refused = False
        self.active.move_to_end(program)

    def _requests_per_program(self) -> float:
        """Returns the average number of requests of a program.

        Recent programs have not sent all of theirs, and it takes a while until
        a program is known to have ended, so the larger average is the better.
        """
        return max(
            self.requests / self.programs_started,
            self.ended.requests / self.ended.programs,
        )

    def _outstanding_requests(self) -> float:
        """Estimates the requests that the active programs have yet to send.

        A program that has sent all but one of the usual requests, or more, is
        expected to send one.
        """
        usual = self._requests_per_program() - 1.0
        behind = requests = 0
        for number, programs in self.by_requests.items():
            if number < usual:
                behind += programs
                requests += programs * number
        return len(self.active) + behind * usual - requests

    def _move(self, before: int, now: int) -> None:
        """Updates `by_requests` for a program; 0 if it is not active."""
        for number, change in ((before, -1), (now, 1)):
            if number:
                self.by_requests[number] += change
                if not self.by_requests[number]:
                    del self.by_requests[number]

    def count_within(self, seconds: float, clock: float) -> int:
        """Returns the number of requests in the last `seconds`."""
        return sum(
            bucket.count
            for bucket in self.buckets
            if clock - bucket.start < seconds
        )

    def _waiting_programs(self, clock: float) -> int:
        """Returns how many refused programs were told a time to come."""
        while self.waiting and self.waiting[0] <= clock:
            self.waiting.popleft()
        return len(self.waiting)

    def _seconds_until_expired(
        self, count: float, share: float, window: float, clock: float
    ) -> float:
        """Returns when `count` requests will be older than a share of a window.

        Returns:
            Seconds; `_max_wait` if there are fewer requests.
        """
        seconds = _MIN_RETRY_SECONDS
        for bucket in self.buckets:
            if count <= 0:
                return seconds
            left = window * share - (clock - bucket.start)
            if left > 0:
                until = left + window / BUCKETS_PER_WINDOW
                seconds = max(seconds, until)
                count -= bucket.count
        return seconds if count <= 0 else _max_wait(window)

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        return [
            [[bucket.start, bucket.count] for bucket in self.buckets],
            [
                [
                    program,
                    record.requests,
                    record.touched,
                    *([True] if record.is_refused else []),
                ]
                for program, record in self.active.items()
            ],
            self.requests,
            self.programs_started,
            self.lookback,
            [list(item) for item in self.ahead],
            self.touched,
            *self._added_state(),
        ]

    def _added_state(self) -> list[Any]:
        """Returns the fields that earlier releases don't have.

        They are left out while they have the values that a snapshot of an
        earlier release is read with.
        """
        added = [list(self.waiting), self.ended.requests, self.ended.programs]
        return [] if added == [[], _INITIAL_REQUESTS, 1.0] else added

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        buckets, active, self.requests, self.programs_started, self.lookback = (
            state[:5]
        )
        ahead, self.touched, *added = state[5:]
        self.buckets = collections.deque(Bucket(*item) for item in buckets)
        self.used = sum(bucket.count for bucket in self.buckets)
        for program, requests, touched, *refused in active:
            self.active[program] = ActiveProgram(
                requests, touched, is_refused=bool(refused)
            )
            self._move(0, requests)
        self.ahead = collections.deque((at, count) for at, count in ahead)
        if added:
            waiting, requests, programs = added
            self.waiting = collections.deque(waiting)
            self.ended = EndedPrograms(requests, programs)


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

    def in_use(
        self, customer: str, window: float, clock: float
    ) -> tuple[int, int]:
        """Returns a customer's requests in a window and its active programs.

        It changes nothing, so that a read is the same at every replica.
        """
        usage = self.usages.get(customer)
        if usage is None:
            return 0, 0
        active = sum(
            clock - program.touched < ACTIVE_PROGRAM_SECONDS
            for program in usage.active.values()
        )
        return usage.count_within(window, clock), active

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
