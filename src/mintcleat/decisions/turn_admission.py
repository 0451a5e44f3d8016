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

from mintcleat.decisions import fair_shares
from mintcleat.decisions import granted_turns
from mintcleat.decisions import jitter
from mintcleat.decisions import leader_pauses
from mintcleat.decisions import moving_average
from mintcleat.decisions import program_times
from mintcleat.decisions import reported_turns
from mintcleat.decisions import turn_decisions
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
# Average delay of programs from which on turns count as too slow. While
# programs end in time, fewer running turns would only finish less: engines
# finish more turns in a full batch, though each takes longer.
_LATE_DELAY = 0.8
# Closed turns from which on the speed of the service counts as known. Nothing
# is predicted, and so nothing refused by prediction, before.
_MIN_CLOSED_TURNS = 16
# With at least this many turns running, messages arrive many times within the
# duration of a turn. If none does for that time, and for at least the second
# constant, this leader was cut off.
_SILENT_TURNS = 8
_MIN_SILENCE_SECONDS = 0.1
# With at least as many turns waiting, none of which asks again for this time,
# the leader was cut off: it is twice the longest time between two asks.
_CUT_OFF_SECONDS = 2 * MAX_RETRY_SECONDS * (1 + jitter.SPREAD)
# Work of a turn in units: a generated token counts 1. Engines process prompt
# tokens about two orders of magnitude faster than they generate.
_UNITS_PER_PROMPT_TOKEN = 0.01
# Constant part of a turn's time, in units: placement, first token, commits.
_TURN_UNITS = 4.0
# First turns leave free the square root of the bound, divided by this number.
_RESERVE_DIVISOR = 3
# Lower bound of the average time of a turn, which throughput is divided by.
_MIN_TURN_SECONDS = 0.001
# Lost waiting and lost running turns that are removed with one ask. After the
# loss of entries there can be thousands, which would stall the event loop.
_MAX_EXPIRED = 32
# Time between two updates of what is derived from the programs of each kind.
_REFRESH_SECONDS = 0.25
# Customers whose refusals are counted; all counts begin again beyond it.
_MAX_COUNTED_CUSTOMERS = 10_000


class ServiceSchedule:
    """Decides which turns of one service run; soft state of a leader.

    Times are in seconds of one monotonic clock, passed as `now`.

    Attributes:
        part: Fraction of the service's capacity that this schedule may use;
            below 1 if several leaders share it.
        pauses: Times in which this leader handled no messages.
        turns: Granted turns.
        queue: Waiting turns.
        shares: Work of the customers.
        pace: Limit by the time that turns take.
        times: Durations of programs.
        first_attempts: When waiting and refused programs were first sent.
        slots: Slots of the service, as entries see them.
        memory: Memory of the service in tokens, as entries see it.
        turn_tokens: Moving average of the tokens of a turn.
        turn_seconds: Moving average of the time of a turn.
        closed: Closed turns that have run.
        delay: Moving average of the ratio by which programs are behind their
            targets; see `program_times.ProgramTimes.delay`.
        granted: Number of granted turns.
        deferred: Number of turns that had to wait.
        lost: Number of waiting turns dropped because they did not ask again.
        refused: Number of refusals by `<kind>/<reason>`.
        customer_refused: Number of refusals by customer.
    """

    def __init__(self, part: float = 1.0) -> None:
        self.part = part
        self.pauses = leader_pauses.LeaderPauses()
        self.turns = granted_turns.GrantedTurns(self.pauses)
        self.queue = turn_queue.TurnQueue()
        self.shares = fair_shares.FairShares()
        self.pace = turn_pace.PaceLimit()
        self.times = program_times.ProgramTimes()
        self.first_attempts = program_times.FirstAttempts()
        self.slots = 0.0
        self.memory = 0.0
        self.turn_tokens = 0.0
        self.turn_seconds = 0.0
        self.closed = 0
        self.delay = 0.0
        self.granted = 0
        self.deferred = 0
        self.lost = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.customer_refused: collections.Counter[str] = collections.Counter()
        # Grants to more urgent ranks since the last one to each rank.
        self._passed: dict[turn_queue.Rank, int] = {}
        # Time of the last `overloaded` refusal by urgency.
        self._refused_at: dict[tuple[int, int], float] = {}
        # Allowed seconds per unit of work; inf while programs end in time.
        self._allowed_seconds = math.inf
        # Mean number of turns of a program, by known kinds.
        self._mean_turns: dict[str, float] = {}
        self._refresh_at = -math.inf
        # Time of the last message, and the end of the last time without any.
        self._active_at = -math.inf
        self._silent_until = -math.inf

    def ask(
        self, ask: turn_queue.Ask, now: float
    ) -> turn_decisions.Grant | turn_decisions.Defer | turn_decisions.Refuse:
        """Decides on a turn; also for turns that ask again."""
        ask = _with_valid_share(ask)
        self._note_activity(now)
        self._expire(now)
        self._observe_capacity(ask.demand)
        self._observe_report(ask, now)
        if self.turns.grant_again(ask, now):
            return turn_decisions.Grant(0.0, again=True)
        waiter = self.queue.waiters.get(ask.key)
        again = waiter is not None
        if waiter is None:
            waiter = self._arrive(ask, now)
        else:
            self.queue.asked_again(ask.key, now)
            waiter = self.queue.promote(ask.key, now)
        bound = self._bound_for(ask)
        ahead = self.queue.ahead(waiter)
        if self._may_run(waiter, ahead, bound, now):
            return self._grant(waiter, now)
        # The newest request states what is left of the target.
        waiter = waiter._replace(ask=ask)
        if ask.first:
            refusal = self._refusal(waiter, ahead, bound, now)
            if refusal is not None:
                self._refuse(waiter, refusal, now)
                return refusal
        self.deferred += not again
        return self._defer(waiter, ahead, bound, again, now)

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
        ended = self.turns.close(key, now)
        if ended is None:
            return False
        self.turns.hear(ended.turn.ask.entry, now)
        self._observe_end(ended, tokens, ran, now)
        return True

    def tick(self, now: float) -> None:
        """Records that the leader runs; see `leader_pauses.TICK_SECONDS`."""
        self.pauses.tick(now)

    def capacity(self) -> float:
        """Returns the bound by slots and memory; inf if neither is known."""
        bound = math.inf
        if self.slots:
            # Rounded up: one engine with few slots can't be loaded unevenly.
            bound = math.ceil(self.slots * self.part * CAPACITY_FRACTION)
        if self.memory and self.turn_tokens:
            memory = self.memory * self.part * CAPACITY_FRACTION
            bound = min(bound, memory / self.turn_tokens)
        return max(1.0, bound)

    def bound(self) -> float:
        """Returns the bound on running turns; inf if unknown."""
        return max(1.0, min(self.capacity(), self.pace.limit))

    def running_turns(self) -> int:
        """Returns the number of running turns, as far as they are known."""
        return self.turns.count()

    @property
    def running(self) -> dict[turn_queue.TurnKey, granted_turns.RunningTurn]:
        """Turns that count as running, by key."""
        return self.turns.granted

    @property
    def reports(self) -> reported_turns.EntryReports:
        """Turns that entries report beyond the granted ones."""
        return self.turns.reports

    @property
    def expired(self) -> int:
        """Number of granted turns released by their timeout."""
        return self.turns.expired

    def view(
        self, now: float, max_customers: int = 100
    ) -> turn_decisions.ScheduleView:
        """Returns the state for operators."""
        self._expire(now, math.inf)
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
                turn_decisions.CustomerView(
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
        return turn_decisions.ScheduleView(
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
        self.turn_tokens = moving_average.update(
            self.turn_tokens, demand.tokens
        )
        if _program_key(ask) not in self.first_attempts.attempts:
            work = self._shared_work(ask)
            self.shares.demand(customer, demand.share, work, now)
        rank = turn_queue.Rank(
            ask.first and self.shares.is_over(customer, now),
            demand.priority,
            demand.route_priority,
            turn_queue.FIRST if ask.first else turn_queue.IN_PROGRESS,
        )
        self._passed.setdefault(rank, 0)
        return self.queue.add(ask, rank, now)

    def _shared_work(self, ask: turn_queue.Ask) -> float:
        """Returns the tokens that a turn counts for in its customer's share.

        A first turn counts for its whole program, so that a customer that
        begins many programs is recognized before their later turns arrive.
        """
        turns = self._mean_turns.get(_kind(ask))
        if turns is None:
            return float(ask.demand.tokens)
        return ask.demand.tokens * turns if ask.first else 0.0

    def _bound_for(self, ask: turn_queue.Ask) -> float:
        """Returns the bound for one turn.

        Turns of programs in progress arrive at random, so that their number
        varies by about its square root. First turns leave room for a part of
        that; the rest waits, for a short time.
        """
        bound = self.bound()
        if ask.first and math.isfinite(bound):
            return max(1.0, round(bound - math.sqrt(bound) / _RESERVE_DIVISOR))
        return bound

    def _may_run(
        self, waiter: turn_queue.Waiter, ahead: int, bound: float, now: float
    ) -> bool:
        """Returns whether a waiting turn runs now, with `ahead` before it."""
        free = math.inf
        if math.isfinite(bound):
            free = int(bound) - self.running_turns()
        if free <= 0:
            return False
        more_urgent = self.queue.ahead_of_rank(waiter.rank)
        if self._is_due(waiter.rank):
            return ahead - more_urgent < self._lookahead()
        if more_urgent >= free or self._is_held_back(waiter.rank, now):
            return False
        return ahead < max(free, self._lookahead())

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
        """Returns how many turns end before a waiting turn asks again.

        At least 1. The time is twice the shortest one between two asks.
        """
        return max(1.0, self._throughput() * 2 * MIN_RETRY_SECONDS)

    def _throughput(self) -> float:
        """Returns the turns per second at the bound; 0 if unknown."""
        bound = self.bound()
        if self.closed < _MIN_CLOSED_TURNS or not math.isfinite(bound):
            return 0.0
        return bound / max(self.turn_seconds, _MIN_TURN_SECONDS)

    def _predicted_wait(self, turns: float) -> float:
        """Returns the seconds in which some turns end; 0 if unknown."""
        throughput = self._throughput()
        return turns / throughput if throughput else 0.0

    def _refusal(
        self,
        waiter: turn_queue.Waiter,
        ahead: int,
        bound: float,
        now: float,
    ) -> turn_decisions.Refuse | None:
        """Returns the refusal of a first turn; None if it may wait."""
        ask = waiter.ask
        demand = ask.demand
        waited = self._waited(waiter, now)
        first = self.first_attempts.of(
            _program_key(ask),
            program_times.Attempt(
                min(waiter.since, now - demand.waited), demand.finish_within
            ),
            now,
        )
        elapsed = self.pauses.awake(first.at, now)
        expected = self.times.expected(_kind(ask), first.target, self.pace.pace)
        # Programs that begin before this one, and itself, send further turns.
        programs = max(0, ahead - self.queue.in_progress) + 1
        later_turns = programs * (expected.turns - 1)
        wait = self._predicted_wait(ahead + 1 + later_turns)
        if self._is_held_back(waiter.rank, now):
            wait = max(wait, _RECENT_SECONDS)
        limit, slack = _max_wait(demand), math.inf
        if first.target > 0:
            slack = first.target * _TARGET_FRACTION - expected.seconds
        if waited + wait <= limit and elapsed + wait <= slack:
            return None
        kind = "overloaded"
        if waiter.rank.over_share:
            kind = "share_exceeded"
        return turn_decisions.Refuse(
            kind,
            "wait" if waited + wait > limit else "duration",
            min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, wait)),
            self._situation(ask, wait, ahead, bound, now),
        )

    def _waited(self, waiter: turn_queue.Waiter, now: float) -> float:
        """Returns the seconds of a turn's wait that this leader didn't cause.

        It did not cause those within its pauses.
        """
        since = min(waiter.since, now - waiter.ask.demand.waited)
        return self.pauses.awake(since, now)

    def _defer(
        self,
        waiter: turn_queue.Waiter,
        ahead: int,
        bound: float,
        again: bool,
        now: float,
    ) -> turn_decisions.Defer:
        """Returns the answer to a turn that keeps waiting.

        Args:
            waiter: The turn, with its newest request.
            ahead: Waiting turns that come before it.
            bound: Bound on running turns that applies to it.
            again: Whether it was waiting before.
            now: The current time in seconds.
        """
        ask = waiter.ask
        wait = self._predicted_wait(ahead)
        retry_after = min(wait, MAX_RETRY_SECONDS)
        if ask.first:
            # So that a refusal for waiting too long comes at once.
            waited = self._waited(waiter, now)
            retry_after = min(retry_after, _max_wait(ask.demand) - waited)
        retry_after = max(MIN_RETRY_SECONDS, retry_after)
        return turn_decisions.Defer(
            jitter.retry_after(f"{ask.key.turn}{now}", retry_after),
            self._situation(ask, wait, ahead, bound, now),
            again,
        )

    def _situation(
        self,
        ask: turn_queue.Ask,
        wait: float,
        ahead: int,
        bound: float,
        now: float,
    ) -> turn_decisions.Situation:
        share = self.shares.share(ask.key.customer, now)
        return turn_decisions.Situation(
            wait, ahead, self.running_turns(), bound, share.share, share.use
        )

    # --- Changes --------------------------------------------------------------

    def _grant(
        self, waiter: turn_queue.Waiter, now: float
    ) -> turn_decisions.Grant:
        ask = waiter.ask
        demand = ask.demand
        self.queue.remove(ask.key)
        self.queue.clock.advance(waiter.tag)
        self.shares.use(ask.key.customer, self._shared_work(ask), now)
        self._count_passed(waiter.rank)
        self.turns.grant(ask, now)
        self.times.opened(
            _program_key(ask), _kind(ask), ask.first, demand.finish_within, now
        )
        self.granted += 1
        return turn_decisions.Grant(now - waiter.since)

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
        self,
        waiter: turn_queue.Waiter,
        refusal: turn_decisions.Refuse,
        now: float,
    ) -> None:
        key = waiter.ask.key
        self.queue.refund(self.queue.remove(key).ask)
        self.refused[f"{refusal.kind}/{refusal.reason}"] += 1
        if len(self.customer_refused) > _MAX_COUNTED_CUSTOMERS:
            self.customer_refused.clear()
        self.customer_refused[key.customer] += 1
        if refusal.kind == "overloaded":
            self._refused_at[waiter.rank.urgency] = now

    def _expire(self, now: float, limit: float = _MAX_EXPIRED) -> None:
        self.lost += self.queue.drop_lost(now, limit, self.pauses)
        for ended in self.turns.expire(now, limit):
            self._observe_end(ended, 0, False, now)
        if self.closed >= _MIN_CLOSED_TURNS:
            seconds = granted_turns.SILENT_TURN_TIMES * self.turn_seconds
            self.turns.drop_silent(
                now, max(granted_turns.MIN_SILENT_SECONDS, seconds), limit
            )

    # --- Measurements ---------------------------------------------------------

    def _observe_capacity(self, demand: program_messages.TurnDemand) -> None:
        if demand.places:
            self.slots = moving_average.update(self.slots, demand.places)
        if demand.memory_tokens:
            self.memory = moving_average.update(
                self.memory, demand.memory_tokens
            )

    def _observe_report(self, ask: turn_queue.Ask, now: float) -> None:
        """Takes what an entry reports with a turn that it asks for."""
        self.turns.hear(ask.entry, now)
        if ask.key not in self.turns.granted:
            # The request for a turn that is granted was resent, and its report
            # is older than the grant.
            self.turns.report(ask.entry, ask.demand.running, now)
        self.turns.report_ended(
            ask.entry,
            (turn_queue.TurnKey(*one) for one in ask.demand.ended),
            now,
        )

    def _note_activity(self, now: float) -> None:
        """Recognizes times in which no message arrived.

        Turns that ended in such a time are reported late, and seem slow.
        """
        self.pauses.handled(now)
        silence = now - self._active_at
        if len(self.running) >= _SILENT_TURNS and silence > max(
            self.turn_seconds, _MIN_SILENCE_SECONDS
        ):
            self._silent_until = now
        if len(self.queue) >= _SILENT_TURNS and silence > _CUT_OFF_SECONDS:
            self.pauses.add(self._active_at, now)
        self._active_at = now

    def _observe_end(
        self,
        ended: granted_turns.EndedTurn,
        tokens: int,
        ran: bool,
        now: float,
    ) -> None:
        """Measures a turn that was closed, or whose timeout has passed."""
        ask = ended.turn.ask
        units = 0.0
        if ran:
            units = tokens + ask.prompt * _UNITS_PER_PROMPT_TOKEN + _TURN_UNITS
            self._observe_turn(ended, units, now)
        self.times.closed(_program_key(ask), units, now)
        delay = self.times.delay(_program_key(ask), now)
        if delay is not None:
            self.delay = moving_average.update(self.delay, delay)

    def _observe_turn(
        self, ended: granted_turns.EndedTurn, units: float, now: float
    ) -> None:
        turn = ended.turn
        if ended.silent or turn.at < self._silent_until:
            return
        seconds = ended.at - turn.at
        self.closed += 1
        self.turn_seconds = moving_average.update(self.turn_seconds, seconds)
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_SECONDS
            self._allowed_seconds = self._pace_to_hold()
            self._mean_turns = self._mean_turns_by_kind()
            self.queue.clock.drop_idle()
        self.pace.observe(
            seconds,
            units,
            turn.level,
            self.capacity(),
            self._allowed_seconds,
            now,
        )

    def _pace_to_hold(self) -> float:
        """Returns the pace above which running turns are reduced.

        Returns:
            Seconds per unit of work; inf while programs end in time, or if
            full batches alone would not make them late.
        """
        if self.delay <= _LATE_DELAY:
            return math.inf
        allowed = self._allowed_pace()
        return allowed if self.pace.at_capacity() > allowed else math.inf

    def _mean_turns_by_kind(self) -> dict[str, float]:
        """Returns the mean number of turns of programs, by known kinds."""
        found = {
            kind: self.times.expected(kind, 0.0, self.pace.pace)
            for kind in self.times.kinds
        }
        return {kind: one.turns for kind, one in found.items() if one.known}

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


def _with_valid_share(ask: turn_queue.Ask) -> turn_queue.Ask:
    """Returns a turn whose customer has at least the smallest weight."""
    if ask.demand.share >= fair_shares.MIN_WEIGHT:
        return ask
    demand = ask.demand._replace(share=fair_shares.MIN_WEIGHT)
    return ask._replace(demand=demand)


def _max_wait(demand: program_messages.TurnDemand) -> float:
    """Returns the seconds that a first turn may wait.

    It may ask again that much later than it should.
    """
    if demand.finish_within > 0:
        longest = MAX_WAIT_FRACTION * demand.finish_within
        return max(0.0, longest - MIN_RETRY_SECONDS)
    return MAX_WAIT_SECONDS


def _kind(ask: turn_queue.Ask) -> str:
    """Returns the kind of the turn's program: its route and priority."""
    return f"{ask.demand.kind}/{ask.demand.priority}"


def _program_key(ask: turn_queue.Ask) -> str:
    return f"{ask.key.customer}/{ask.program}"
