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
from mintcleat.decisions import priority_classes
from mintcleat.decisions import program_times
from mintcleat.decisions import reported_turns
from mintcleat.decisions import service_capacity
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_measurements
from mintcleat.decisions import turn_pace
from mintcleat.decisions import turn_queue
from mintcleat.decisions import turn_ranks
from mintcleat.decisions import turn_refusals

# With at least as many turns waiting, none of which asks again for this time,
# the leader was cut off: it is twice the longest time between two asks. Fewer
# turns may have gone with their callers.
_SILENT_WAITERS = 8
_CUT_OFF_SECONDS = 2 * turn_decisions.MAX_RETRY_SECONDS * (1 + jitter.SPREAD)
# Time between two removals of what idle customers leave.
_CLEAN_UP_SECONDS = 0.25
# First turns leave free the square root of the bound, divided by this number.
_RESERVE_DIVISOR = 3
# Lower bound of the average time of a turn, which throughput is divided by.
_MIN_TURN_SECONDS = 0.001
# Lost waiting and lost running turns that are removed with one ask. After the
# loss of entries there can be thousands, which would stall the event loop.
_MAX_EXPIRED = 32


class ServiceSchedule:
    """Decides which turns of one service run; soft state of a leader.

    Times are in seconds of one monotonic clock, passed as `now`.

    Attributes:
        pauses: Times in which this leader handled no messages.
        turns: Granted turns.
        queue: Waiting turns.
        shares: Work of the customers.
        priorities: Classes of the customers' priorities.
        capacities: Slots and memory.
        measurements: Speed of the service, durations of programs.
        refusals: Refusals of first turns.
        ranks: Guaranteed turns, and ranks that are held back.
        granted: Number of granted turns.
        deferred: Number of turns that had to wait.
        lost: Number of waiting turns dropped because they did not ask again.
    """

    def __init__(self, part: float = 1.0) -> None:
        """Creates an empty schedule.

        Args:
            part: Fraction of the service's capacity that it may use; below 1
                if several leaders share it.
        """
        self.pauses = leader_pauses.LeaderPauses()
        self.turns = granted_turns.GrantedTurns(self.pauses)
        self.queue = turn_queue.TurnQueue()
        self.shares = fair_shares.FairShares()
        self.priorities = priority_classes.PriorityClasses()
        self.capacities = service_capacity.ServiceCapacity(part)
        self.measurements = turn_measurements.TurnMeasurements()
        self.refusals = turn_refusals.TurnRefusals()
        self.ranks = turn_ranks.RankLimits()
        self.granted = 0
        self.deferred = 0
        self.lost = 0
        self._clean_up_at = -math.inf
        # Time of the last message.
        self._active_at = -math.inf

    def ask(
        self, ask: turn_queue.Ask, now: float
    ) -> turn_decisions.Grant | turn_decisions.Defer | turn_decisions.Refuse:
        """Decides on a turn; also for turns that ask again."""
        self._note_activity(now)
        ask = self._with_bounds(ask, now)
        self._expire(now)
        self._drop_silent(now)
        self.capacities.observe(ask.demand)
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
        self.measurements.ended(ended, tokens, ran, self.capacity(), now)
        return True

    def tick(self, now: float) -> None:
        """Records that the leader runs; see `leader_pauses.TICK_SECONDS`."""
        self.pauses.tick(now)

    def capacity(self) -> float:
        """Returns the bound by slots and memory; inf if neither is known."""
        return self.capacities.bound()

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
    def pace(self) -> turn_pace.PaceLimit:
        """Limit by the time that turns take."""
        return self.measurements.pace

    @property
    def times(self) -> program_times.ProgramTimes:
        """Durations of programs."""
        return self.measurements.times

    @property
    def customer_refused(self) -> collections.Counter[str]:
        """Number of refusals by customer."""
        return self.refusals.by_customer

    @property
    def refused(self) -> collections.Counter[str]:
        """Number of refusals by `<kind>/<reason>`."""
        return self.refusals.counts

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

    # --- Arrival --------------------------------------------------------------

    def _with_bounds(self, ask: turn_queue.Ask, now: float) -> turn_queue.Ask:
        """Returns a turn with at least the smallest weight, and its class."""
        demand = ask.demand
        if ask.key not in self.queue.waiters:
            self.priorities.observe(demand.priority, now)
        priority = self.priorities.class_of(demand.priority)
        share = max(demand.share, fair_shares.MIN_WEIGHT)
        if (priority, share) == (demand.priority, demand.share):
            return ask
        demand = demand._replace(priority=priority, share=share)
        return ask._replace(demand=demand)

    def _arrive(self, ask: turn_queue.Ask, now: float) -> turn_queue.Waiter:
        """Adds a new turn to the queue; counts its work as demand."""
        demand = ask.demand
        customer = ask.key.customer
        self.capacities.observe_turn(demand.tokens)
        # The work of a program whose first turn waited or was refused has been
        # counted then.
        if turn_measurements.program_key(ask) not in (
            self.refusals.first_attempts.attempts
        ):
            work = self.measurements.shared_work(ask)
            self.shares.demand(customer, demand.share, work, now)
        rank = turn_queue.Rank(
            ask.first and self.shares.is_over(customer, now),
            demand.priority,
            demand.route_priority,
            turn_queue.FIRST if ask.first else turn_queue.IN_PROGRESS,
        )
        self.ranks.arrived(rank)
        return self.queue.add(ask, rank, now)

    # --- Decision -------------------------------------------------------------

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
        if self.ranks.is_due(waiter.rank):
            return ahead - more_urgent < self._lookahead()
        if more_urgent >= free or self.ranks.is_held_back(waiter.rank, now):
            return False
        return ahead < max(free, self._lookahead())

    def _lookahead(self) -> float:
        """Returns how many turns end before a waiting turn asks again.

        At least 1. The time is twice the shortest one between two asks.
        """
        return max(
            1.0, self._throughput() * 2 * turn_decisions.MIN_RETRY_SECONDS
        )

    def _throughput(self) -> float:
        """Returns the turns per second at the bound; 0 if unknown."""
        bound = self.bound()
        if not self.measurements.known() or not math.isfinite(bound):
            return 0.0
        return bound / max(self.measurements.turn_seconds, _MIN_TURN_SECONDS)

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
        first = self.refusals.first_attempt(waiter, now)
        expected = self.measurements.expected(ask, first.target)
        # Programs that begin before this one, and itself, send further turns.
        programs = max(0, ahead - self.queue.in_progress) + 1
        later_turns = programs * (expected.turns - 1)
        wait = self._predicted_wait(ahead + 1 + later_turns)
        if self.ranks.is_held_back(waiter.rank, now):
            wait = max(wait, turn_ranks.HOLD_BACK_SECONDS)
        outlook = turn_refusals.Outlook(
            self._waited(waiter, now),
            self.pauses.awake(first.at, now),
            first.target,
            wait,
            expected.seconds,
        )
        reason = turn_refusals.reason(outlook, ask.demand)
        if reason is None:
            return None
        # The rank is as old as the wait.
        over_share = waiter.rank.over_share and self.shares.is_over(
            ask.key.customer, now
        )
        return turn_decisions.Refuse(
            "share_exceeded" if over_share else "overloaded",
            reason,
            self._retry_after(ask, wait, over_share, now),
            self._situation(ask, wait, ahead, bound, now),
        )

    def _retry_after(
        self, ask: turn_queue.Ask, wait: float, over_share: bool, now: float
    ) -> float:
        """Returns the seconds after which a refused caller should retry."""
        if over_share:
            customer = ask.key.customer
            rate = self.shares.rate(customer, now)
            work = self.measurements.shared_work(ask)
            spacing = work / rate if rate else turn_refusals.MAX_RETRY_AFTER
            waiting = self.queue.first_turns[customer] - 1
            program = turn_measurements.program_key(ask)
            wait = self.refusals.backlogs.refused(
                customer, program, waiting, spacing, now
            )
        return min(
            turn_refusals.MAX_RETRY_AFTER,
            max(turn_refusals.MIN_RETRY_AFTER, wait),
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
        retry_after = min(wait, turn_decisions.MAX_RETRY_SECONDS)
        if ask.first:
            # It asks again when its longest wait ends, so that a refusal for
            # waiting too long isn't late.
            waited = self._waited(waiter, now)
            retry_after = min(
                retry_after, turn_refusals.max_wait(ask.demand) - waited
            )
        retry_after = max(turn_decisions.MIN_RETRY_SECONDS, retry_after)
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
        self.queue.remove(ask.key)
        self.queue.clock.advance(waiter.tag)
        self.shares.use(
            ask.key.customer, self.measurements.shared_work(ask), now
        )
        self.ranks.granted(waiter.rank)
        self.turns.grant(ask, now)
        self.measurements.granted(ask, now)
        self.granted += 1
        return turn_decisions.Grant(now - waiter.since)

    def _refuse(
        self,
        waiter: turn_queue.Waiter,
        refusal: turn_decisions.Refuse,
        now: float,
    ) -> None:
        key = waiter.ask.key
        self.queue.refund(self.queue.remove(key).ask)
        self.refusals.count(key.customer, refusal)
        if refusal.kind == "overloaded":
            self.ranks.refused(waiter.rank, now)

    def _expire(self, now: float, limit: float = _MAX_EXPIRED) -> None:
        """Removes at most `limit` turns each that are lost or timed out."""
        self._clean_up(now)
        self.lost += self.queue.drop_lost(now, limit, self.pauses)
        for ended in self.turns.expire(now, limit):
            self.measurements.ended(ended, 0, False, self.capacity(), now)

    def _clean_up(self, now: float) -> None:
        """Removes what idle customers and ranks leave; does so seldom."""
        if now < self._clean_up_at:
            return
        self._clean_up_at = now + _CLEAN_UP_SECONDS
        self.queue.clock.drop_idle()
        self.ranks.forget(self.queue.waiters.values())

    def _drop_silent(self, now: float) -> None:
        """Stops counting the turns of silent entries.

        Not before the speed of the service is known: without the time that
        turns take, an entry with long turns would seem silent. Only messages
        lead to it: an instance that no longer leads hears from no entry.
        """
        measured = self.measurements
        if not measured.known():
            return
        seconds = granted_turns.SILENT_TURN_TIMES * measured.turn_seconds
        self.turns.drop_silent(
            now, max(granted_turns.MIN_SILENT_SECONDS, seconds), _MAX_EXPIRED
        )

    # --- Messages -------------------------------------------------------------

    def _observe_report(self, ask: turn_queue.Ask, now: float) -> None:
        """Takes what an entry reports with a turn that it asks for."""
        self.turns.hear(ask.entry, now)
        if ask.key not in self.turns.granted:
            # The request for a turn that is granted was resent, and its report
            # is older than the grant.
            self.turns.report(ask.entry, ask.demand.running, now)
        if ask.demand.ended:
            keys = [turn_queue.TurnKey(*one) for one in ask.demand.ended]
            self.turns.report_ended(ask.entry, keys, now)

    def _note_activity(self, now: float) -> None:
        """Recognizes times in which no message arrived."""
        self.pauses.handled(now)
        silence = now - self._active_at
        self.measurements.silence(len(self.running), silence, now)
        if len(self.queue) >= _SILENT_WAITERS and silence > _CUT_OFF_SECONDS:
            self.pauses.add(self._active_at, now)
        self._active_at = now
