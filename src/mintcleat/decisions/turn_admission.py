"""Admission of turns by the leader that opens them.

Without it, engines get all turns that callers send. Beyond their slots and
memory, engines queue and preempt, prompts are prefilled again, and throughput
falls, so that the backlog persists after its cause is gone.

The turns of a service that run are bounded; the others wait here, in order
(`turn_queue`), so that a backlog drains at full throughput. Turns of programs
in progress are never refused. A first turn is refused at once if its program
can't end in time, or if its wait would exceed a fraction of its target.

A waiting turn asks again after the time that it is told. It is granted if its
turn has come by then; turns just behind it may be granted before it, so that no
slot idles until it asks.

Handles several thousand asks a second with thousands of waiting turns: each
takes a few tens of microseconds.
"""

import collections
import math
from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import fair_shares
from mintcleat.decisions import jitter
from mintcleat.decisions import program_times
from mintcleat.decisions import shared_load
from mintcleat.decisions import turn_pace
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

# Fraction of slots and of memory that running turns may use. Entries place
# turns by figures that are a little old, so engines are never loaded evenly.
CAPACITY_FRACTION = 0.95
# Longest wait of a first turn, as a fraction of its program's target duration,
# so that a refused caller still has time to try elsewhere.
MAX_WAIT_FRACTION = 0.2
# Longest wait, in seconds, of a first turn without a target.
MAX_WAIT_SECONDS = 0.5
# Part of a target that expected durations may take; programs vary.
_TARGET_FRACTION = 0.9
# After this many grants to more urgent ranks, a rank is granted one turn, so
# that no kind and no customer starves.
GUARANTEED_INTERVAL = 16
# Time for which less urgent programs are held back after a more urgent one was
# refused, so that the retry of the latter comes first.
_RECENT_SECONDS = 0.3
# Bounds of the time after which a waiting turn asks again, in seconds.
MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 0.1
# Bounds of the time after which a refused caller should retry, in seconds.
_MIN_RETRY_AFTER = 0.1
_MAX_RETRY_AFTER = 10.0
# Closed turns from which on the speed of the service counts as known. Nothing
# is predicted, and so nothing refused by prediction, before.
_MIN_EVIDENCE = 16
_SMOOTHING = 1 / 16
# With at least this many turns running, messages arrive many times within the
# duration of a turn. If none does, this leader was cut off.
_SILENT_TURNS = 8
_MIN_SILENCE_SECONDS = 0.1
# Work of a turn in units: a generated token counts 1. Engines process prompt
# tokens about two orders of magnitude faster than they generate.
_UNITS_PER_PROMPT_TOKEN = 0.01
# Constant part of a turn's time, in units: placement, first token, commits.
_TURN_UNITS = 4.0
_MIN_SHARE = 0.01
_REFRESH_SECONDS = 0.25


class Situation(NamedTuple):
    """What a decision was based on.

    Attributes:
        wait: Predicted wait in seconds.
        rank: Number of waiting turns that come before this one.
        running: Running turns of the service.
        bound: Bound on the running turns that applied; inf if unknown.
        share: Share of the customer, as a fraction of the work.
        use: Work that the customer received recently, as a fraction.
    """

    wait: float
    rank: int
    running: int
    bound: float
    share: float
    use: float


class Grant(NamedTuple):
    """The turn may run.

    Attributes:
        waited: Seconds that it has waited.
        again: Whether it had been granted before.
    """

    waited: float
    again: bool = False


class Defer(NamedTuple):
    """The turn waits and asks again.

    Attributes:
        retry_after: Seconds after which it should ask again.
        again: Whether it was waiting before.
    """

    retry_after: float
    situation: Situation
    again: bool


class Refuse(NamedTuple):
    """The turn doesn't run.

    Attributes:
        kind: `share_exceeded` or `overloaded`.
        reason: `duration` if its program could not end in time after the
            wait, `wait` if it would wait or has waited for too long.
        retry_after: Seconds after which the backlog is expected to be gone,
            without jitter per request.
    """

    kind: str
    reason: str
    retry_after: float
    situation: Situation


class RunningTurn(NamedTuple):
    """A granted turn.

    Attributes:
        at: When it was granted.
        level: Running turns at that time, itself included.
        expires: When it is released if it was not closed.
    """

    ask: turn_queue.Ask
    at: float
    level: int
    expires: float


class CustomerView(NamedTuple):
    """One customer's part of a service.

    Attributes:
        running: Running turns.
        waiting: Waiting turns.
        share: Share that it is entitled to, as a fraction of the work.
        use: Work that it received recently, as a fraction.
        refused: Refused turns since the schedule began.
    """

    customer: str
    running: int
    waiting: int
    share: float
    use: float
    refused: int


class ScheduleView(NamedTuple):
    """State of a schedule for operators.

    Attributes:
        running: Granted turns, and turns reported by entries beyond them.
        waiting: Waiting turns.
        bound: Bound on running turns; -1 if unknown.
        capacity: Bound by slots and memory; -1 if unknown.
        slowdown: Current time of turns as a multiple of that at low load.
        granted: Granted turns since the schedule began.
        deferred: Turns that had to wait since then.
        refused: Refused turns since then, by kind and reason.
        lost: Waiting turns dropped because they did not ask again.
        expired: Granted turns released by their timeout.
        customers: The customers with most use, at most as many as asked for.
    """

    running: int
    waiting: int
    bound: float
    capacity: float
    slowdown: float
    granted: int
    deferred: int
    refused: dict[str, int]
    lost: int
    expired: int
    customers: list[CustomerView]


class EntryReports:
    """Turns that entries report beyond those granted here.

    A new leader learns from them what its predecessor granted.

    Attributes:
        reports: Time of the report and reported turns by entry; the oldest
            report first.
        granted: Turns granted here, by entry.
        excess: Reported turns beyond the granted ones, by entry.
        total: Sum of `excess`.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[str, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self.granted: collections.Counter[str] = collections.Counter()
        self.excess: dict[str, int] = {}
        self.total = 0

    def report(self, entry: str, running: int, now: float) -> None:
        """Replaces the report of an entry."""
        self.reports[entry] = (now, running)
        self.reports.move_to_end(entry)
        self._update(entry)

    def expire(self, now: float) -> None:
        """Drops reports that are too old."""
        while self.reports:
            entry, (at, _) = next(iter(self.reports.items()))
            if now - at <= shared_load.MAX_AGE:
                return
            del self.reports[entry]
            self._update(entry)

    def started(self, entry: str) -> None:
        """Counts a granted turn."""
        self.granted[entry] += 1
        self._update(entry)

    def ended(self, entry: str) -> None:
        """Removes a granted turn, also from the last report."""
        self.granted[entry] -= 1
        if self.granted[entry] <= 0:
            del self.granted[entry]
        if entry in self.reports:
            at, running = self.reports[entry]
            self.reports[entry] = (at, max(0, running - 1))
        self._update(entry)

    def _update(self, entry: str) -> None:
        _, running = self.reports.get(entry, (0.0, 0))
        excess = max(0, running - self.granted[entry])
        self.total += excess - self.excess.pop(entry, 0)
        if excess:
            self.excess[entry] = excess


class ServiceSchedule:
    """Decides which turns of one service run; soft state of a leader.

    Times are in seconds of one monotonic clock, passed as `now`.

    Attributes:
        part: Part of the service's capacity that this schedule may use, when
            several leaders share it.
        running: Granted turns by key.
        queue: Waiting turns.
        shares: Work of the customers.
        pace: Limit by the time that turns take.
        times: Durations of programs.
        first_attempts: When waiting and refused programs were first sent.
        reports: Turns that entries report beyond the granted ones.
        places: Slots of the service, as entries see them.
        memory: Memory of the service in tokens, as entries see it.
        turn_tokens: Moving average of the tokens of a turn.
        turn_seconds: Moving average of the time of a turn.
        closed: Closed turns that have run.
    """

    def __init__(self, part: float = 1.0) -> None:
        self.part = part
        self.running: dict[turn_queue.TurnKey, RunningTurn] = {}
        self.queue = turn_queue.TurnQueue()
        self.shares = fair_shares.FairShares()
        self.pace = turn_pace.PaceLimit()
        self.times = program_times.ProgramTimes()
        self.first_attempts = program_times.FirstAttempts()
        self.reports = EntryReports()
        self.places = 0.0
        self.memory = 0.0
        self.turn_tokens = 0.0
        self.turn_seconds = 0.0
        self.closed = 0
        self.granted = 0
        self.deferred = 0
        self.lost = 0
        self.expired = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.customer_refused: collections.Counter[str] = collections.Counter()
        self._expiries: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        # Grants to more urgent ranks since the last one to each rank.
        self._passed: dict[turn_queue.Rank, int] = {}
        self._refused_at: dict[tuple[int, int], float] = {}
        self._allowed = 0.0
        self._refresh_at = -math.inf
        self._active_at = -math.inf
        self._silent_until = -math.inf

    def ask(self, ask: turn_queue.Ask, now: float) -> Grant | Defer | Refuse:
        """Decides on a turn; also for turns that ask again."""
        ask = _with_valid_share(ask)
        self._note_activity(now)
        self._expire(now)
        self._observe_capacity(ask.demand)
        self.reports.report(ask.entry, ask.demand.running, now)
        if ask.key in self.running:
            return Grant(0.0, again=True)
        waiter = self.queue.waiters.get(ask.key)
        again = waiter is not None
        if waiter is None:
            waiter = self._arrive(ask, now)
        else:
            self.queue.asked_again(ask.key, now)
            waiter = self.queue.promote(ask.key, now)
        bound = self._bound_for(ask)
        rank = self.queue.ahead(waiter)
        if self._may_run(waiter, rank, bound, now):
            return self._grant(waiter, now)
        if ask.first:
            refusal = self._refusal(waiter._replace(ask=ask), rank, bound, now)
            if refusal is not None:
                self._refuse(waiter, refusal, now)
                return refusal
        self.deferred += not again
        wait = self._wait(rank, 0.0)
        retry_after = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait / 2))
        return Defer(
            jitter.retry_after(f"{ask.key.turn}{now}", retry_after),
            self._situation(ask, wait, rank, bound, now),
            again,
        )

    def release(
        self, key: turn_queue.TurnKey, tokens: int, ran: bool, now: float
    ) -> bool:
        """Ends a granted turn, or removes a waiting one; idempotent.

        Args:
            key: The turn.
            tokens: Tokens that it generated.
            ran: Whether it ran; others say nothing about the speed.
            now: The current time in seconds.

        Returns:
            Whether the turn was granted.
        """
        self._note_activity(now)
        if key in self.queue.waiters:
            self.queue.refund(self.queue.remove(key).ask)
        turn = self.running.pop(key, None)
        if turn is None:
            return False
        self._expiries.remove((turn.expires, key))
        self.reports.ended(turn.ask.entry)
        units = 0.0
        if ran:
            units = (
                tokens + turn.ask.prompt * _UNITS_PER_PROMPT_TOKEN + _TURN_UNITS
            )
            self._observe_turn(turn, units, now)
        self.times.closed(_program_key(turn.ask), units, now)
        return True

    def capacity(self) -> float:
        """Returns the bound by slots and memory; inf if neither is known."""
        bound = math.inf
        if self.places:
            bound = self.places * self.part * CAPACITY_FRACTION
        if self.memory and self.turn_tokens:
            memory = self.memory * self.part * CAPACITY_FRACTION
            bound = min(bound, memory / self.turn_tokens)
        return max(1.0, bound)

    def bound(self) -> float:
        """Returns the bound on running turns; inf if unknown."""
        return max(1.0, min(self.capacity(), self.pace.limit))

    def running_turns(self) -> int:
        """Returns the number of running turns, as far as they are known."""
        return len(self.running) + self.reports.total

    def view(self, now: float, max_customers: int = 100) -> ScheduleView:
        """Returns the state for operators."""
        self._expire(now)
        self.shares.refresh(now)
        running = collections.Counter(key.customer for key in self.running)
        waiting = collections.Counter(
            key.customer for key in self.queue.waiters
        )
        names = running.keys() | waiting.keys() | self.shares.usages.keys()
        customers = []
        for name in names:
            share = self.shares.share(name, now)
            customers.append(
                CustomerView(
                    name,
                    running[name],
                    waiting[name],
                    share.share,
                    share.use,
                    self.customer_refused[name],
                )
            )
        customers.sort(key=lambda item: (-item.use, item.customer))
        bound, capacity = self.bound(), self.capacity()
        return ScheduleView(
            self.running_turns(),
            len(self.queue),
            bound if math.isfinite(bound) else -1.0,
            capacity if math.isfinite(capacity) else -1.0,
            self.pace.slowdown(),
            self.granted,
            self.deferred,
            dict(self.refused),
            self.lost,
            self.expired,
            customers[:max_customers],
        )

    # --- Decision -------------------------------------------------------------

    def _arrive(self, ask: turn_queue.Ask, now: float) -> turn_queue.Waiter:
        demand = ask.demand
        customer = ask.key.customer
        self.turn_tokens = _moved(self.turn_tokens, demand.tokens)
        self.shares.demand(customer, demand.share, demand.tokens, now)
        rank = turn_queue.Rank(
            ask.first and self.shares.is_over(customer, now),
            demand.priority,
            demand.route_priority,
            turn_queue.FIRST if ask.first else turn_queue.IN_PROGRESS,
        )
        self._passed.setdefault(rank, 0)
        return self.queue.add(ask, rank, now)

    def _bound_for(self, ask: turn_queue.Ask) -> float:
        """Returns the bound for one turn.

        Turns of programs in progress arrive at random, so that their number
        varies by about its square root. First turns leave room for a part of
        that; the rest waits, for a short time.
        """
        bound = self.bound()
        if ask.first and math.isfinite(bound):
            return max(1.0, bound - math.sqrt(bound) / 3)
        return bound

    def _may_run(
        self, waiter: turn_queue.Waiter, rank: int, bound: float, now: float
    ) -> bool:
        free = math.inf
        if math.isfinite(bound):
            free = int(bound) - self.running_turns()
        if free <= 0:
            return False
        before = self.queue.ahead_of_rank(waiter.rank)
        if self._is_due(waiter.rank):
            return rank - before < self._lookahead()
        if before >= free or self._is_held_back(waiter.rank, now):
            return False
        return rank < max(free, self._lookahead())

    def _is_due(self, rank: turn_queue.Rank) -> bool:
        """Returns whether a rank has been passed over often enough."""
        return self._passed.get(rank, 0) >= GUARANTEED_INTERVAL

    def _is_held_back(self, rank: turn_queue.Rank, now: float) -> bool:
        """Returns whether a more urgent program was refused just now."""
        if rank.stage == turn_queue.IN_PROGRESS:
            return False
        return any(
            urgency < rank.urgency and now - at < _RECENT_SECONDS
            for urgency, at in self._refused_at.items()
        )

    def _lookahead(self) -> float:
        """Returns how many turns end while a waiting turn pauses."""
        return max(1.0, self._throughput() * 2 * MIN_RETRY_SECONDS)

    def _throughput(self) -> float:
        """Returns the turns per second at the bound; 0 if unknown."""
        bound = self.bound()
        if self.closed < _MIN_EVIDENCE or not math.isfinite(bound):
            return 0.0
        return bound / max(self.turn_seconds, 0.001)

    def _wait(self, turns: int, programs: float) -> float:
        """Returns the predicted wait behind some turns and programs.

        Args:
            turns: Turns that come before.
            programs: Further turns of the programs among them.

        Returns:
            Seconds; 0 while the speed is unknown.
        """
        throughput = self._throughput()
        return (turns + programs) / throughput if throughput else 0.0

    def _refusal(
        self,
        waiter: turn_queue.Waiter,
        rank: int,
        bound: float,
        now: float,
    ) -> Refuse | None:
        """Returns the refusal of a first turn; None if it may wait."""
        ask = waiter.ask
        demand = ask.demand
        waited = max(now - waiter.since, demand.waited)
        first = self.first_attempts.of(
            _program_key(ask),
            program_times.Attempt(now - waited, demand.finish_within),
            now,
        )
        expected = self.times.expected(_kind(ask), first.target, self.pace.pace)
        programs = max(0, rank - self.queue.in_progress) + 1
        wait = self._wait(rank + 1, programs * (expected.turns - 1))
        if self._is_held_back(waiter.rank, now):
            wait = max(wait, _RECENT_SECONDS)
        limit, slack = MAX_WAIT_SECONDS, math.inf
        if first.target > 0:
            limit = MAX_WAIT_FRACTION * first.target
            slack = first.target * _TARGET_FRACTION - expected.seconds
        if waited + wait <= limit and now - first.at + wait <= slack:
            return None
        kind = "overloaded"
        if waiter.rank.over_share:
            kind = "share_exceeded"
        return Refuse(
            kind,
            "wait" if waited + wait > limit else "duration",
            min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, wait)),
            self._situation(ask, wait, rank, bound, now),
        )

    def _situation(
        self,
        ask: turn_queue.Ask,
        wait: float,
        rank: int,
        bound: float,
        now: float,
    ) -> Situation:
        share = self.shares.share(ask.key.customer, now)
        return Situation(
            wait, rank, self.running_turns(), bound, share.share, share.use
        )

    # --- Changes --------------------------------------------------------------

    def _grant(self, waiter: turn_queue.Waiter, now: float) -> Grant:
        ask = waiter.ask
        demand = ask.demand
        self.queue.remove(ask.key)
        self.queue.clock.advance(waiter.tag)
        self.shares.use(ask.key.customer, demand.tokens, now)
        self._count_passed(waiter.rank)
        self.reports.started(ask.entry)
        expires = now + demand.timeout
        self.running[ask.key] = RunningTurn(
            ask, now, self.running_turns() + 1, expires
        )
        self._expiries.add((expires, ask.key))
        self.times.opened(
            _program_key(ask), _kind(ask), ask.first, demand.finish_within, now
        )
        self.granted += 1
        return Grant(now - waiter.since)

    def _count_passed(self, granted: turn_queue.Rank) -> None:
        """Counts a grant for the ranks that it passed over.

        First turns aren't passed over by turns of programs in progress: these
        end by themselves when no program begins.
        """
        begins = granted.stage != turn_queue.IN_PROGRESS
        for rank in self._passed:
            if rank > granted and (
                begins or rank.stage == turn_queue.IN_PROGRESS
            ):
                self._passed[rank] += 1
        self._passed[granted] = 0

    def _refuse(
        self, waiter: turn_queue.Waiter, refusal: Refuse, now: float
    ) -> None:
        key = waiter.ask.key
        self.queue.refund(self.queue.remove(key).ask)
        self.refused[f"{refusal.kind}/{refusal.reason}"] += 1
        if len(self.customer_refused) > _MAX_COUNTED_CUSTOMERS:
            self.customer_refused.clear()
        self.customer_refused[key.customer] += 1
        if refusal.kind == "overloaded":
            self._refused_at[waiter.rank.urgency] = now

    def _expire(self, now: float) -> None:
        self.reports.expire(now)
        self.lost += len(self.queue.drop_lost(now))
        while self._expiries and self._expiries[0][0] <= now:
            _, key = self._expiries[0]
            self.release(key, 0, False, now)
            self.expired += 1

    # --- Measurements ---------------------------------------------------------

    def _observe_capacity(self, demand: program_messages.TurnDemand) -> None:
        if demand.places:
            self.places = _moved(self.places, demand.places)
        if demand.memory_tokens:
            self.memory = _moved(self.memory, demand.memory_tokens)

    def _note_activity(self, now: float) -> None:
        """Recognizes times in which no message arrived.

        Turns that ended in such a time are reported late, and seem slow.
        """
        silence = now - self._active_at
        if len(self.running) >= _SILENT_TURNS and silence > max(
            self.turn_seconds, _MIN_SILENCE_SECONDS
        ):
            self._silent_until = now
        self._active_at = now

    def _observe_turn(
        self, turn: RunningTurn, units: float, now: float
    ) -> None:
        if turn.at < self._silent_until:
            return
        seconds = now - turn.at
        self.closed += 1
        self.turn_seconds = _moved(self.turn_seconds, seconds)
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_SECONDS
            self._allowed = self._allowed_pace()
            self.queue.clock.drop_idle()
        self.pace.observe(
            seconds, units, turn.level, self.capacity(), self._allowed, now
        )

    def _allowed_pace(self) -> float:
        """Returns the pace at which programs of all kinds end in time.

        Returns:
            Seconds per unit of work; 0 if it isn't known.
        """
        paces = [
            self.times.allowed_pace(kind, _TARGET_FRACTION)
            for kind in self.times.kinds
        ]
        return min(filter(None, paces), default=0.0)


# Customers whose refusals are counted; all counts begin again beyond it.
_MAX_COUNTED_CUSTOMERS = 10_000


def _with_valid_share(ask: turn_queue.Ask) -> turn_queue.Ask:
    if ask.demand.share >= _MIN_SHARE:
        return ask
    return ask._replace(demand=ask.demand._replace(share=_MIN_SHARE))


def _kind(ask: turn_queue.Ask) -> str:
    return f"{ask.demand.kind}/{ask.demand.priority}"


def _program_key(ask: turn_queue.Ask) -> str:
    return f"{ask.key.customer}/{ask.program}"


def _moved(mean: float, sample: float) -> float:
    return sample if not mean else mean + (sample - mean) * _SMOOTHING
