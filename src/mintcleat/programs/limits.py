"""Customers' limits, counted over all entries; part of a group's state.

The load: a customer that sends more than it may, through any number of
entries, with its programs under way at several of them; and entries, leaders
and disks that are lost meanwhile. The harm on one side: the others pay for it
at the upstreams. On the other: a program whose turn is refused in the middle
has wasted all that was spent on it, and a request that is refused below the
limit was owed.

A request is counted where its turn is opened, so the count is on as many disks
as the turn: a new leader goes on with it, and no window is counted from zero.
Counts lie in slots of a twentieth of the window and leave a slot late, so no
window holds more than the limit and its tolerance.

Programs begin within the limit, and only while those under way don't need what
is left. These may use the tolerance too: demand comes in lumps, and a lump that
goes over the limit for a second is no reason to lose what was begun.
"""

import collections
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import program_messages

SLOTS = 20
# A program without a request for so long is taken to have ended: its tools
# and pauses take less.
ACTIVE_SECONDS = 3.0
# Customers without a request for so long are forgotten, with what was learned
# of their programs.
IDLE_SECONDS = 120.0
# Requests of a program before any was seen, and how fast what is seen counts.
_USUAL_REQUESTS = 8.0
_MEMORY = 0.95
# Part of the window that a program which begins must find free, beside what
# those under way still need. It grows when one of these is refused and shrinks
# when another begins, so it finds out how much of the window leaves in the time
# that the customer's programs take.
_FIRST_KEPT = 0.5
_LEAST_KEPT = 0.3
_MOST_KEPT = 1.0
_KEPT_UP = 0.02
_KEPT_DOWN = 0.02
# Share of the limit above which nothing is counted ahead.
_CALM_SHARE = 0.75
# Of the tolerance, what entries may hold for calls to come. They may send it a
# little later than it was counted; the rest is for programs under way.
_AHEAD_SHARE = 0.25
# For so long an entry may use what it holds.
AHEAD_SECONDS = 1.0
# What a refused caller is told when nothing is known to end earlier.
_LEAST_WAIT = 0.05


class Slot:
    """Requests counted from `start` on, for a twentieth of a window."""

    def __init__(self, start: float, count: int) -> None:
        self.start = start
        self.count = count


class Running:
    """A program under way: requests so far, and the clock of the last one."""

    def __init__(self, requests: int, touched: float) -> None:
        self.requests = requests
        self.touched = touched


class Need(NamedTuple):
    """What a refusal rests on.

    Attributes:
        used: Requests in the window.
        most: The limit in requests a window.
        wait: Seconds until the request may be admitted.
        begins: Whether its program has not begun yet.
    """

    used: int
    most: float
    wait: float
    begins: bool


class Usage:
    """What one customer has sent lately.

    Attributes:
        slots: The oldest first; those that left the window are gone.
        used: Requests in all of them.
        active: Programs under way, the longest silent first.
        requests: Requests of past programs, fading.
        begun: Programs begun, fading likewise.
        kept: Part of the window that must be free for another program.
        ahead: When how many requests were handed to entries ahead of need.
        touched: Clock of the last request.
    """

    def __init__(self) -> None:
        self.slots: collections.deque[Slot] = collections.deque()
        self.used = 0
        self.active: collections.OrderedDict[str, Running] = (
            collections.OrderedDict()
        )
        self.requests = _USUAL_REQUESTS
        self.begun = 1.0
        self.kept = _FIRST_KEPT
        self.ahead: collections.deque[tuple[float, int]] = collections.deque()
        self.touched = 0.0

    def admit(
        self,
        program: str,
        limit: program_messages.Limit,
        clock: float,
    ) -> Need | None:
        """Counts a request, or returns why it may not be sent."""
        self._forget(limit.window, clock)
        used = self.used
        begins = program not in self.active
        most = limit.most()
        last = most + limit.tolerance() * (1 - _AHEAD_SHARE)
        if used + 1 > (most if begins else last):
            if not begins:
                self.kept = min(_MOST_KEPT, self.kept + _KEPT_UP)
            wait = self._left_in(1, limit.window, clock)
            return Need(used, most, wait, begins)
        if begins and self.active:
            over = self._newer(limit.window * self.kept, clock) + self._owed()
            own = self._mean() if program else 1.0
            if over + own > last:
                wait = self._left_in(1, limit.window * self.kept, clock)
                return Need(used, most, wait, begins)
        self._count(limit.window, clock)
        self._note(program, clock)
        return None

    def count_ahead(
        self, wanted: int, limit: program_messages.Limit, clock: float
    ) -> int:
        """Counts requests ahead of need; returns how many."""
        while self.ahead and clock - self.ahead[0][0] > AHEAD_SECONDS:
            self.ahead.popleft()
        most = limit.most()
        room = int(limit.tolerance() * _AHEAD_SHARE) - sum(
            n for _, n in self.ahead
        )
        # Only where the customer is far from its limit.
        room = min(room, int(most * _CALM_SHARE) - self.used)
        given = max(0, min(wanted, room))
        for _ in range(given):
            self._count(limit.window, clock)
        if given:
            self.ahead.append((clock, given))
        return given

    def refund(self, counted: float) -> None:
        """Takes back a request that was counted at a clock and never ran."""
        for slot in reversed(self.slots):
            if slot.start <= counted:
                if slot.count:
                    slot.count -= 1
                    self.used -= 1
                return

    def _forget(self, window: float, clock: float) -> None:
        length = window / SLOTS
        while self.slots and clock - self.slots[0].start >= window + length:
            self.used -= self.slots.popleft().count
        while self.active:
            program, running = next(iter(self.active.items()))
            if clock - running.touched < ACTIVE_SECONDS:
                return
            del self.active[program]

    def _count(self, window: float, clock: float) -> None:
        if not self.slots or clock >= self.slots[-1].start + window / SLOTS:
            self.slots.append(Slot(clock, 0))
        self.slots[-1].count += 1
        self.used += 1

    def _note(self, program: str, clock: float) -> None:
        self.touched = clock
        self.requests += 1.0
        if not program:
            return
        running = self.active.get(program)
        if running is None:
            self.begun = self.begun * _MEMORY + 1.0
            self.kept = max(_LEAST_KEPT, self.kept - _KEPT_DOWN)
            self.requests *= _MEMORY
            running = self.active[program] = Running(0, clock)
        running.requests += 1
        running.touched = clock
        self.active.move_to_end(program)

    def _mean(self) -> float:
        """Returns the requests that a program takes, as far as is known."""
        return self.requests / self.begun

    def _owed(self) -> float:
        """Returns the requests that the programs under way still need."""
        mean = self._mean()
        return sum(
            max(1.0, mean - running.requests)
            for running in self.active.values()
        )

    def _newer(self, seconds: float, clock: float) -> int:
        """Returns the requests of the last so many seconds."""
        return sum(
            slot.count for slot in self.slots if clock - slot.start < seconds
        )

    def _left_in(self, count: int, seconds: float, clock: float) -> float:
        """Returns when so many requests will be older than `seconds`."""
        for slot in self.slots:
            age = clock - slot.start
            if age >= seconds:
                continue
            count -= slot.count
            if count <= 0:
                return max(_LEAST_WAIT, seconds * (1 + 1 / SLOTS) - age)
        return _LEAST_WAIT

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [
            [[slot.start, slot.count] for slot in self.slots],
            [
                [program, running.requests, running.touched]
                for program, running in self.active.items()
            ],
            self.requests,
            self.begun,
            self.kept,
            [list(item) for item in self.ahead],
            self.touched,
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        slots, active, self.requests, self.begun, self.kept = state[:5]
        ahead, self.touched = state[5:]
        self.slots = collections.deque(Slot(*item) for item in slots)
        self.used = sum(slot.count for slot in self.slots)
        for program, requests, touched in active:
            self.active[program] = Running(requests, touched)
        self.ahead = collections.deque((at, count) for at, count in ahead)


class CustomerLimits:
    """Usage of all customers of a group.

    Attributes:
        usages: By customer, the longest idle first.
    """

    def __init__(self) -> None:
        self.usages: collections.OrderedDict[str, Usage] = (
            collections.OrderedDict()
        )

    def admit(
        self,
        customer: str,
        program: str,
        limit: program_messages.Limit | None,
        clock: float,
    ) -> errors.LimitReached | None:
        """Counts a request of a customer, or returns its refusal."""
        if limit is None or not customer:
            return None
        usage = self._usage(customer, clock)
        need = usage.admit(program, limit, clock)
        if need is None:
            return None
        kind = errors.LimitNear if need.begins else errors.LimitReached
        return kind(
            f"Customer {customer} has sent {need.used} requests in the last "
            f"{limit.window:g} s; its limit is {need.most:g} "
            f"({limit.rate:g} a second and {limit.burst:g} at once), "
            f"and {len(usage.active)} of its programs are under way.",
            retry_after=round(need.wait, 3),
        )

    def count_ahead(
        self,
        customer: str,
        wanted: int,
        limit: program_messages.Limit | None,
        clock: float,
    ) -> int:
        """Counts requests that an entry may send later; returns how many."""
        usage = self.usages.get(customer)
        if limit is None or usage is None or not wanted:
            return 0
        return usage.count_ahead(wanted, limit, clock)

    def refund(self, customer: str, counted: float) -> None:
        """Takes back a request that was counted and never ran."""
        usage = self.usages.get(customer)
        if usage is not None:
            usage.refund(counted)

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [
            [customer, usage.state()] for customer, usage in self.usages.items()
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.usages.clear()
        for customer, held in state:
            self.usages[customer] = Usage()
            self.usages[customer].load(held)

    def _usage(self, customer: str, clock: float) -> Usage:
        while self.usages:
            oldest, idle = next(iter(self.usages.items()))
            if clock - idle.touched < IDLE_SECONDS or oldest == customer:
                break
            del self.usages[oldest]
        usage = self.usages.get(customer)
        if usage is None:
            usage = self.usages[customer] = Usage()
            usage.touched = clock
        self.usages.move_to_end(customer)
        return usage
