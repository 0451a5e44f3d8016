"""Admission of turns: order, bounds, shares, pace and lost waiters."""

import collections
import math
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from mintcleat.decisions import fair_shares
from mintcleat.decisions import leader_pauses
from mintcleat.decisions import priority_classes
from mintcleat.decisions import program_times
from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_pace
from mintcleat.decisions import turn_queue
from mintcleat.decisions import turn_ranks
from mintcleat.decisions import turn_refusals
from mintcleat.domain import program_messages

DEMAND = program_messages.TurnDemand(
    "lm", "turns", 0, 1.0, 1000, 2.0, 0.0, 10, 0, timeout=3.0
)


def ask_of(
    turn: str,
    first: bool = True,
    customer: str = "farm",
    entry: str = "a1",
    **changes: Any,
) -> turn_queue.Ask:
    return turn_queue.Ask(
        turn_queue.TurnKey(customer, turn),
        f"p-{turn}",
        first,
        entry,
        900,
        DEMAND._replace(**changes),
    )


def is_granted(decision: Any) -> bool:
    return isinstance(decision, turn_decisions.Grant)


class ScheduleTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.schedule = turn_admission.ServiceSchedule()
        self.now = 0.0

    def ask(self, turn: str, **fields: Any) -> Any:
        return self.schedule.ask(ask_of(turn, **fields), self.now)

    def fill(self, first: bool = True) -> list[str]:
        """Runs turns until no more are granted."""
        turns = []
        while is_granted(self.ask(f"f{len(turns)}", first=first)):
            turns.append(f"f{len(turns)}")
        self.now += turn_queue.LOST_SECONDS + 0.01
        return turns

    def end(self, turn: str, customer: str = "farm") -> None:
        self.schedule.release(
            turn_queue.TurnKey(customer, turn), 100, True, self.now
        )

    def run_turns(self, count: int, seconds: float) -> None:
        """Runs turns one after the other, so that the speed is known."""
        for number in range(count):
            self.ask(f"r{number}")
            self.now += seconds
            self.end(f"r{number}")

    def test_first_turns_leave_room_for_programs_in_progress(self) -> None:
        first = len(self.fill())
        self.assertTrue(is_granted(self.ask("next", first=False)))
        self.assertTrue(0 < first < DEMAND.places)

    def test_running_turns_stay_below_the_slots(self) -> None:
        self.assertTrue(len(self.fill(first=False)) <= DEMAND.places)

    def test_running_turns_stay_below_the_memory(self) -> None:
        # Ten slots, but memory for four turns: a fifth would preempt one.
        turns = []
        while is_granted(
            self.ask(f"m{len(turns)}", first=False, memory_tokens=4300)
        ):
            turns.append(0)
        self.assertEqual(4, len(turns))

    def test_unknown_capacity_bounds_nothing(self) -> None:
        # Guards against a service that stops because no entry states its slots.
        for number in range(100):
            self.assertTrue(is_granted(self.ask(f"t{number}", places=0)))

    def test_program_in_progress_comes_before_first_turns(self) -> None:
        turns = self.fill(first=False)
        self.ask("begins", priority=2)
        self.ask("continues", first=False, priority=2)
        self.end(turns[0])
        self.assertFalse(is_granted(self.ask("begins", priority=2)))
        self.assertTrue(
            is_granted(self.ask("continues", first=False, priority=2))
        )

    def test_turn_in_progress_yields_to_an_urgent_first_turn(self) -> None:
        # Guards against urgent programs that end late behind a backlog of less
        # urgent programs in progress.
        turns = self.fill(first=False)
        self.ask("continues", first=False, priority=2)
        self.ask("begins", priority=0)
        for turn in turns[:4]:
            self.end(turn)
        self.assertTrue(is_granted(self.ask("begins", priority=0)))

    def test_turn_in_progress_yields_for_a_part_of_its_time(self) -> None:
        # Guards against less urgent programs in progress that end late because
        # urgent programs begin all the time.
        turns = self.fill(first=False)
        self.ask("continues", first=False, priority=2)
        self.now += 0.25
        self.ask("continues", first=False, priority=2)
        self.ask("begins", priority=0)
        self.end(turns[0])
        self.assertFalse(is_granted(self.ask("begins", priority=0)))
        self.assertTrue(
            is_granted(self.ask("continues", first=False, priority=2))
        )

    def test_route_orders_turns_of_one_customer_priority(self) -> None:
        # Guards against urgent routes that wait behind others because all
        # customers have the same priority.
        turns = self.fill()
        self.ask("less", priority=1, route_priority=2)
        self.ask("urgent", priority=1, route_priority=0)
        self.end(turns[0])
        self.assertFalse(
            is_granted(self.ask("less", priority=1, route_priority=2))
        )
        self.assertTrue(
            is_granted(self.ask("urgent", priority=1, route_priority=0))
        )

    def test_less_urgent_kind_does_not_overtake(self) -> None:
        turns = self.fill()
        self.ask("less", priority=2)
        self.ask("urgent", priority=0)
        self.end(turns[0])
        self.assertFalse(is_granted(self.ask("less", priority=2)))
        self.assertTrue(is_granted(self.ask("urgent", priority=0)))

    def test_less_urgent_kind_gets_its_guaranteed_turns(self) -> None:
        # Urgent programs that always wait would otherwise starve the others.
        turns = self.fill()
        self.ask("less", priority=2)
        urgent = [f"u{number}" for number in range(60)]
        for turn in urgent:
            self.ask(turn)
        granted = 0
        self.end(turns.pop(0))
        while not is_granted(self.ask("less", priority=2)):
            self.assertTrue(is_granted(self.ask(urgent[granted])))
            turns.append(urgent[granted])
            granted += 1
            self.end(turns.pop(0))
        self.assertEqual(turn_ranks.GUARANTEED_INTERVAL, granted)

    def use_priorities(self, count: int) -> None:
        """Runs turns of as many priorities."""
        for number in range(3 * count):
            self.ask("probe", priority=number % count)
            self.now += 0.2
            self.end("probe")

    def refused_after(self, turn: str, over: list[bool]) -> Any:
        """Lets a turn wait until it is refused; returns the refusal.

        Args:
            turn: The turn.
            over: Whether its customer is over its share, at each ask; the last
                one holds for all later asks.
        """
        self.patch(
            self.schedule.shares,
            "is_over",
            lambda *_: over.pop(0) if len(over) > 1 else over[0],
        )
        arrived = self.now
        while True:
            found = self.ask(turn, waited=self.now - arrived)
            if isinstance(found, turn_decisions.Refuse):
                return found
            self.now += turn_decisions.MAX_RETRY_SECONDS

    def test_customer_over_its_share_is_refused_by_its_share(self) -> None:
        self.fill()
        self.assertEqual("share_exceeded", self.refused_after("w", [True]).kind)

    def test_refusal_does_not_blame_a_share_that_is_not_exceeded_any_more(
        self,
    ) -> None:
        # Guards against callers sent away for seconds by a share of long ago.
        self.fill()
        refusal = self.refused_after("w", [True, False])
        self.assertEqual("overloaded", refusal.kind)
        self.assertEqual(turn_refusals.MIN_RETRY_AFTER, refusal.retry_after)

    def test_many_priorities_leave_an_order(self) -> None:
        # Guards against a guaranteed turn for each of many ranks, after which
        # nothing is left for the most urgent one.
        customers = {f"c{number}": number for number in range(40)}
        self.use_priorities(40)
        running = collections.deque(
            ("farm", turn) for turn in self.fill(first=False)
        )
        for customer, priority in customers.items():
            for number in range(8):
                self.ask(
                    f"w{number}",
                    first=False,
                    customer=customer,
                    priority=priority,
                )
        granted = collections.Counter()
        for _ in range(60):
            owner, turn = running.popleft()
            self.end(turn, owner)
            for key in [
                key
                for _, _, key in sorted(
                    (one.rank, one.tag, key)
                    for key, one in self.schedule.queue.waiters.items()
                )
            ][::-1]:
                if is_granted(
                    self.ask(
                        key.turn,
                        first=False,
                        customer=key.customer,
                        priority=customers[key.customer],
                    )
                ):
                    running.append(key)
                    granted[customers[key.customer]] += 1
                    break
        first = sum(granted[priority] for priority in range(13))
        self.assertTrue(first >= 30, granted)
        self.assertTrue(sum(granted[p] for p in range(27, 40)), granted)

    def test_route_orders_turns_of_customers_with_many_priorities(
        self,
    ) -> None:
        # Guards against less urgent programs of a preferred customer that
        # always come before the urgent ones of the next customer.
        self.use_priorities(40)
        turns = self.fill()
        self.ask("less", priority=2, route_priority=2)
        self.ask("urgent", priority=3, route_priority=0)
        self.end(turns[0])
        self.assertFalse(
            is_granted(self.ask("less", priority=2, route_priority=2))
        )
        self.assertTrue(
            is_granted(self.ask("urgent", priority=3, route_priority=0))
        )

    def test_customer_with_less_work_comes_first(self) -> None:
        turns = self.fill()
        for number in range(3):
            self.ask(f"h{number}", customer="heavy")
        self.ask("light", customer="light")
        self.end(turns[0])
        self.assertTrue(is_granted(self.ask("h0", customer="heavy")))
        self.end(turns[1])
        self.assertFalse(is_granted(self.ask("h2", customer="heavy")))
        self.assertTrue(is_granted(self.ask("light", customer="light")))

    def test_weight_of_a_customer_multiplies_its_work(self) -> None:
        turns = self.fill()
        for number in range(8):
            self.ask(f"a{number}", customer="one", share=1.0)
            self.ask(f"b{number}", customer="three", share=3.0)
        waiters = sorted(
            self.schedule.queue.waiters.values(),
            key=lambda waiter: (waiter.rank, waiter.tag, waiter.number),
        )
        order = [waiter.ask.key.customer for waiter in waiters]
        self.assertTrue(turns)
        self.assertEqual(6, order[:8].count("three"))

    def test_position_survives_asking_again(self) -> None:
        # Guards against a turn that goes to the end of the queue with each ask.
        turns = self.fill()
        self.ask("early", finish_within=10.0)
        for _ in range(5):
            self.now += 0.1
            self.ask("late", finish_within=10.0)
            self.ask("early", finish_within=10.0)
        self.end(turns[0])
        self.assertFalse(is_granted(self.ask("late", finish_within=10.0)))
        self.assertTrue(is_granted(self.ask("early", finish_within=10.0)))

    def test_waiter_that_does_not_ask_again_is_dropped(self) -> None:
        # Guards against turns of callers that have gone and hold up the others.
        turns = self.fill()
        self.ask("gone")
        self.now += turn_queue.LOST_SECONDS + 0.01
        self.ask("waits")
        self.end(turns[0])
        self.assertTrue(is_granted(self.ask("waits")))
        self.assertEqual(2, self.schedule.lost)

    def pass_time(self, seconds: float) -> None:
        """Passes time in which the leader's timer is called."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + leader_pauses.TICK_SECONDS)
            self.schedule.tick(self.now)

    def test_pause_of_the_leader_drops_and_refuses_no_waiter(self) -> None:
        # Guards against callers that are refused as no turn was decided on
        # while the leader's process was stopped.
        self.fill()
        self.pass_time(0.3)
        self.ask("waits", finish_within=0.0)
        self.now += 1.0
        self.schedule.tick(self.now)
        self.ask("other", finish_within=10.0)
        self.assertEqual(1, self.schedule.lost)
        for _ in range(4):
            decision = self.ask("waits", finish_within=0.0, waited=1.0)
            self.assertIsInstance(decision, turn_decisions.Defer)
            self.pass_time(0.1)
        self.pass_time(0.2)
        decision = self.ask("waits", finish_within=0.0)
        self.assertIsInstance(decision, turn_decisions.Refuse)

    def test_waiter_that_is_gone_after_a_pause_is_dropped(self) -> None:
        self.fill()
        self.pass_time(0.3)
        self.ask("gone")
        self.now += 2.0
        self.pass_time(turn_queue.LOST_SECONDS + 0.3)
        self.ask("waits")
        self.assertNotIn(
            "gone", [key.turn for key in self.schedule.queue.waiters]
        )

    def test_many_waiters_that_are_all_silent_were_cut_off(self) -> None:
        # Guards against a queue that is dropped as its leader heard no entry.
        self.fill()
        turns = [f"w{number}" for number in range(10)]
        for turn in turns:
            self.ask(turn, finish_within=10.0)
        self.pass_time(1.0)
        lost = self.schedule.lost
        for turn in turns:
            self.ask(turn, finish_within=10.0)
        self.assertEqual(lost, self.schedule.lost)

    def test_turn_that_is_never_closed_is_released(self) -> None:
        # Guards against slots that are lost with an entry.
        self.fill()
        self.now += DEMAND.timeout
        self.assertTrue(is_granted(self.ask("next")))
        self.assertEqual(1, self.schedule.running_turns())

    def test_first_turn_is_refused_if_its_wait_would_be_too_long(self) -> None:
        self.run_turns(30, 0.2)
        self.fill()
        decisions = [self.ask(f"w{number}") for number in range(60)]
        refused = [
            one for one in decisions if isinstance(one, turn_decisions.Refuse)
        ]
        self.assertTrue(refused)
        self.assertEqual(
            {("overloaded", "wait")},
            {(one.kind, one.reason) for one in refused},
        )
        for one in refused:
            self.assertAlmostEqual(one.situation.wait, one.retry_after)
            self.assertTrue(one.situation.running >= 7)
            self.assertTrue(one.situation.bound <= 10)

    def test_program_in_progress_waits_however_long(self) -> None:
        self.run_turns(30, 0.2)
        self.fill(first=False)
        for number in range(200):
            decision = self.ask(f"w{number}", first=False, waited=50.0)
            self.assertIsInstance(decision, turn_decisions.Defer)

    def test_nothing_is_refused_before_the_speed_is_known(self) -> None:
        # Guards against a new leader that refuses by a speed that it guessed.
        self.fill()
        for number in range(60):
            decision = self.ask(f"w{number}")
            self.assertIsInstance(decision, turn_decisions.Defer)

    def test_reported_turns_of_a_former_leader_count(self) -> None:
        self.ask("t1", running=6, entry="a1")
        self.ask("t2", running=6, entry="a2")
        self.assertEqual(12, self.schedule.running_turns())
        self.assertFalse(is_granted(self.ask("t3", entry="a3")))
        self.now += 2.0
        self.assertTrue(is_granted(self.ask("t3", entry="a3")))

    def test_reported_turns_that_were_granted_here_count_once(self) -> None:
        # Guards against a service that runs at half of its slots.
        for number in range(4):
            self.ask(f"t{number}", running=number)
        self.assertEqual(4, self.schedule.running_turns())
        self.end("t0")
        self.assertEqual(3, self.schedule.running_turns())

    def test_release_is_idempotent(self) -> None:
        # Guards against a close that is sent twice and frees two slots.
        self.ask("t1")
        self.end("t1")
        self.end("t1")
        self.assertEqual(0, self.schedule.running_turns())

    def test_view_shows_what_operators_need(self) -> None:
        self.run_turns(30, 0.2)
        self.fill()
        for number in range(60):
            self.ask(f"w{number}", customer="heavy")
        view = self.schedule.view(self.now)
        self.assertTrue(view.running and view.waiting and view.deferred)
        self.assertTrue(sum(view.refused.values()))
        self.assertEqual(
            ["farm", "heavy"], sorted(one.customer for one in view.customers)
        )
        heavy = {one.customer: one for one in view.customers}["heavy"]
        self.assertTrue(heavy.waiting and heavy.refused)

    def test_retry_times_are_spread(self) -> None:
        # Guards against waiting turns that all ask again at the same time.
        self.fill()
        times = {self.ask(f"w{number}").retry_after for number in range(50)}
        self.assertTrue(len(times) > 8, times)


class SharesTest(testtools.TestCase):
    def test_level_divides_what_others_leave(self) -> None:
        wants = [fair_shares.Want(*one) for one in ((10, 1), (50, 1), (90, 2))]
        self.assertAlmostEqual(30.0, fair_shares.max_min_level(wants, 100))
        self.assertEqual(math.inf, fair_shares.max_min_level(wants, 150))
        self.assertEqual(math.inf, fair_shares.max_min_level([], 0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 1000), strategies.floats(0.01, 10)
            ),
            min_size=1,
            max_size=20,
        ),
        strategies.floats(0, 5000),
    )
    def test_shares_are_conserved(
        self, wants: list[tuple[float, float]], capacity: float
    ) -> None:
        items = [fair_shares.Want(*one) for one in wants]
        level = fair_shares.max_min_level(items, capacity)
        given = sum(
            min(one.demand, level * one.weight) if one.demand else 0.0
            for one in items
        )
        expected = min(capacity, sum(one.demand for one in items))
        self.assertAlmostEqual(expected, given, places=3)

    def test_heavy_customer_is_recognized_quickly_and_forgotten(self) -> None:
        shares = fair_shares.FairShares()
        now, recognized, forgotten = 0.0, 0.0, 0.0
        for step in range(2000):
            now = step * 0.01
            for number in range(20):
                if step % 10 == number % 10:
                    shares.demand(f"c{number}", 1.0, 100, now)
                    shares.use(f"c{number}", 100, now)
            if 500 <= step < 1000:
                shares.demand("c0", 1.0, 60, now)
            over = shares.is_over("c0", now)
            recognized = recognized or (now if over else 0.0)
            if step > 1000 and not over:
                forgotten = forgotten or now
            self.assertFalse(shares.is_over("c1", now))
        self.assertTrue(5.0 < recognized < 5.7, recognized)
        self.assertTrue(10.0 < forgotten < 14.0, forgotten)

    def test_nobody_is_over_when_all_want_too_much(self) -> None:
        shares = fair_shares.FairShares()
        for step in range(300):
            for number in range(5):
                shares.demand(f"c{number}", 1.0, 100, step * 0.01)
            shares.use("c0", 100, step * 0.01)
        for number in range(5):
            self.assertFalse(shares.is_over(f"c{number}", 3.0))

    def test_idle_customers_are_forgotten(self) -> None:
        shares = fair_shares.FairShares()
        for number in range(4200):
            shares.demand(f"c{number}", 1.0, 500, 0.0)
        shares.refresh(60.0)
        self.assertEqual({}, shares.usages)


class PausesTest(testtools.TestCase):
    def test_pauses_are_left_out_of_a_time(self) -> None:
        pauses = leader_pauses.LeaderPauses()
        for tenth in range(20):
            # Stopped from 0.5 to 1.2 s.
            if not 5 < tenth < 12:
                pauses.tick(tenth / 10)
        self.assertAlmostEqual(0.7, pauses.within(0.0, 1.9))
        self.assertAlmostEqual(0.2, pauses.within(1.0, 1.9))
        self.assertAlmostEqual(0.0, pauses.within(1.2, 1.9))
        self.assertAlmostEqual(1.2, pauses.awake(0.0, 1.9))

    def test_time_that_is_reported_twice_counts_once(self) -> None:
        pauses = leader_pauses.LeaderPauses()
        pauses.add(1.0, 2.0)
        pauses.add(0.5, 2.5)
        self.assertAlmostEqual(1.5, pauses.within(0.0, 3.0))

    def test_messages_show_that_the_leader_runs(self) -> None:
        # Guards against a timer that is late on a busy machine.
        pauses = leader_pauses.LeaderPauses()
        pauses.tick(0.0)
        for tenth in range(20):
            pauses.handled(tenth / 10)
        self.assertEqual(0, len(pauses.pauses))


class PriorityClassesTest(testtools.TestCase):
    def test_few_values_are_a_class_each(self) -> None:
        classes = priority_classes.PriorityClasses()
        for second in range(10):
            for priority in (0, 2, 7):
                classes.observe(priority, float(second))
        self.assertEqual(
            [0, 2, 7], [classes.class_of(one) for one in (0, 2, 7)]
        )

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 1000), min_size=1, max_size=400)
    )
    def test_number_and_order_of_classes(self, priorities: list[int]) -> None:
        classes = priority_classes.PriorityClasses()
        for number, priority in enumerate(priorities):
            classes.observe(priority, number * 0.1)
        found = [classes.class_of(one) for one in sorted(set(priorities))]
        self.assertEqual(found, sorted(found))
        self.assertTrue(len(set(found)) <= priority_classes.MAX_CLASSES)

    def test_many_values_are_divided_by_their_turns(self) -> None:
        classes = priority_classes.PriorityClasses()
        for number in range(2000):
            classes.observe(number % 30, number * 0.01)
        found = collections.Counter(classes.class_of(n) for n in range(30))
        self.assertEqual([10, 10, 10], [found[n] for n in sorted(found)])

    def test_values_that_are_no_longer_used_are_forgotten(self) -> None:
        classes = priority_classes.PriorityClasses()
        for number in range(30):
            classes.observe(number, 0.0)
        for second in range(400):
            classes.observe(5, float(second))
            classes.observe(6, float(second))
        self.assertEqual([5, 6], classes.classes)


class BacklogsTest(testtools.TestCase):
    def test_refused_programs_are_spread_over_the_time_of_their_share(
        self,
    ) -> None:
        # Guards against callers that all ask again within 0.3 s, though the
        # excess of their customer takes seconds.
        backlogs = turn_refusals.CustomerBacklogs()
        times = [
            backlogs.refused("farm", f"p{number}", 4, 0.1, 0.0)
            for number in range(20)
        ]
        self.assertAlmostEqual(0.5, times[0])
        self.assertAlmostEqual(2.4, times[-1])
        self.assertEqual(times, sorted(times))
        other = backlogs.refused("light", "p", 0, 0.1, 0.0)
        self.assertAlmostEqual(0.1, other)

    def test_program_that_tries_early_keeps_its_time(self) -> None:
        # Guards against a backlog that grows with each attempt of a program.
        backlogs = turn_refusals.CustomerBacklogs()
        first = backlogs.refused("farm", "p1", 0, 1.0, 0.0)
        again = backlogs.refused("farm", "p1", 0, 1.0, 0.4)
        self.assertAlmostEqual(first - 0.4, again)
        self.assertAlmostEqual(2.0, backlogs.refused("farm", "p2", 0, 1.0, 0.0))

    def test_backlog_is_bounded(self) -> None:
        backlogs = turn_refusals.CustomerBacklogs()
        for number in range(1000):
            seconds = backlogs.refused("farm", f"p{number}", 0, 1.0, 0.0)
        self.assertEqual(turn_refusals.MAX_RETRY_AFTER, seconds)
        later = backlogs.refused("farm", "late", 0, 1.0, 60.0)
        self.assertAlmostEqual(1.0, later)


class TimesTest(testtools.TestCase):
    def test_duration_follows_turns_pauses_and_pace(self) -> None:
        times = program_times.ProgramTimes()
        for number in range(20):
            begin = number * 1.0
            for turn in range(3):
                at = begin + turn * 0.3
                times.opened(f"p{number}", "k", turn == 0, 2.0, at)
                times.closed(f"p{number}", 20.0, at + 0.2)
        times.opened("last", "k", True, 2.0, 60.0)
        found = times.expected("k", 2.0, 0.01)
        self.assertTrue(found.known)
        self.assertAlmostEqual(3.0, found.turns, places=1)
        self.assertAlmostEqual(3 * 0.2 + 2 * 0.1, found.seconds, places=1)
        longer = times.expected("k", 4.0, 0.01)
        self.assertAlmostEqual(2 * found.seconds, longer.seconds, places=3)

    def test_sample_is_bounded(self) -> None:
        times = program_times.ProgramTimes()
        for number in range(5000):
            times.opened(f"p{number}", "k", True, 2.0, 0.0)
        self.assertEqual(program_times.MAX_PROGRAMS, len(times.programs))


class PaceTest(testtools.TestCase):
    """The limit before a service whose turns slow down with their number."""

    def simulate(
        self,
        seconds: float,
        delay: float,
        knee: float,
        demand: Any,
        slow: Any = lambda now: 1.0,
        allowed: float = 2.0,
    ) -> list[tuple[float, float]]:
        """Returns time and limit; turns take 0.2 s at low load.

        Args:
            seconds: Simulated seconds.
            delay: Seconds by which each sample is late.
            knee: Running turns from which on turns take longer.
            demand: Returns the turns that would run without a limit.
            slow: Returns a factor on the time of turns.
            allowed: Allowed pace; turns have one unit per 0.2 s.
        """
        limit = turn_pace.PaceLimit()
        pending: list[tuple[float, float, int]] = []
        found = []
        now = 0.0
        while now < seconds:
            now += 0.01
            level = min(demand(now), limit.limit, 400.0)
            turn = 0.2 * max(1.0, level / knee) * slow(now)
            for _ in range(round(level * 0.01 / turn)):
                pending.append((now + turn + delay, turn, int(level)))
            pending.sort()
            while pending and pending[0][0] <= now:
                _, turn_seconds, at_level = pending.pop(0)
                limit.observe(
                    turn_seconds, 1.0, at_level, 400.0, allowed * 0.2, now
                )
            found.append((now, limit.limit))
        return found

    def assert_settles(self, delay: float) -> None:
        def step(now: float) -> float:
            return 350.0 if now > 3.0 else 60.0

        found = self.simulate(20.0, delay, 100.0, step)
        settled = [limit for now, limit in found if now > 8.0]
        # Turns may take twice as long, which they do at 200.
        self.assertTrue(min(settled) > 130, min(settled))
        self.assertTrue(max(settled) < 220, max(settled))
        reversals = sum(
            (b - a) * (c - b) < 0
            for a, b, c in zip(settled, settled[1:], settled[2:], strict=False)
        )
        self.assertTrue(reversals <= 4, reversals)

    def test_limit_settles_after_a_step_in_load(self) -> None:
        self.assert_settles(0.0)

    def test_limit_settles_with_reports_half_a_second_late(self) -> None:
        self.assert_settles(0.5)

    def test_limit_falls_within_some_hundred_milliseconds(self) -> None:
        found = self.simulate(
            6.0, 0.0, 100.0, lambda now: 350.0 if now > 3.0 else 60.0
        )
        # Turns take 0.7 s at this load; the first samples come after that.
        first = min(now for now, limit in found if limit < 350.0)
        self.assertTrue(first < 3.0 + 0.7 + 0.4, first)

    def test_slowness_without_load_leaves_the_limit(self) -> None:
        # Engines that became slow for another reason would only be left idle.
        found = self.simulate(
            30.0,
            0.0,
            1000.0,
            lambda now: 200.0,
            lambda now: 3.0 if now > 3.0 else 1.0,
        )
        lowered = sum(limit < 200.0 for now, limit in found if now > 3.0)
        self.assertTrue(lowered < 0.15 * len(found), lowered / len(found))


class Machine(stateful.RuleBasedStateMachine):
    """Random loads and losses against the invariants of a schedule."""

    def __init__(self) -> None:
        super().__init__()
        self.schedule = turn_admission.ServiceSchedule()
        self.now = 0.0
        self.count = 0
        self.places = 12
        self.running: dict[turn_queue.TurnKey, float] = {}
        self.waiting: dict[turn_queue.TurnKey, turn_queue.Ask] = {}

    def decide(self, ask: turn_queue.Ask) -> None:
        decision = self.schedule.ask(ask, self.now)
        match decision:
            case turn_decisions.Grant(again=again):
                assert again or self.schedule.running_turns() <= max(
                    1.0, self.schedule.bound()
                )
                self.waiting.pop(ask.key, None)
                self.running[ask.key] = self.now + ask.demand.timeout
            case turn_decisions.Defer(retry_after=seconds):
                assert 0 < seconds < 0.2
                self.waiting[ask.key] = ask
            case turn_decisions.Refuse(retry_after=seconds):
                assert ask.first
                assert 0 < seconds <= 10.0
                self.waiting.pop(ask.key, None)

    @stateful.rule(
        first=strategies.booleans(),
        customer=strategies.sampled_from(["a", "b", "c"]),
        priority=strategies.sampled_from([0, 2]),
        finish_within=strategies.sampled_from([0.0, 0.5, 3.0]),
        count=strategies.integers(1, 15),
        entry=strategies.sampled_from(["e1", "e2"]),
    )
    def arrive(
        self,
        first: bool,
        customer: str,
        priority: int,
        finish_within: float,
        count: int,
        entry: str,
    ) -> None:
        for _ in range(count):
            self.count += 1
            self.decide(
                ask_of(
                    f"t{self.count}",
                    first,
                    customer,
                    entry,
                    priority=priority,
                    finish_within=finish_within,
                    places=self.places,
                )
            )

    @stateful.rule(seconds=strategies.floats(0.001, 0.3))
    def ask_again(self, seconds: float) -> None:
        self.pass_time(seconds)
        for ask in list(self.waiting.values()):
            self.decide(ask)

    @stateful.rule(count=strategies.integers(1, 12), ran=strategies.booleans())
    def end(self, count: int, ran: bool) -> None:
        self.pass_time(0.0)
        for key in list(self.running)[:count]:
            del self.running[key]
            assert self.schedule.release(key, 50, ran, self.now)
            assert not self.schedule.release(key, 50, ran, self.now)

    @stateful.rule(places=strategies.integers(1, 30))
    def resize(self, places: int) -> None:
        self.places = places

    @stateful.rule()
    def lose_waiters(self) -> None:
        self.waiting.clear()
        self.pass_time(turn_queue.LOST_SECONDS + 0.05)
        self.schedule.view(self.now)
        assert not self.schedule.queue.waiters

    @stateful.rule()
    def lose_running(self) -> None:
        """Entries are lost with everything that they have running."""
        self.waiting.clear()
        self.pass_time(DEMAND.timeout + 0.1)
        self.schedule.view(self.now)
        assert not self.schedule.running
        assert not self.schedule.turns.uncounted

    @stateful.rule()
    def drain(self) -> None:
        """No waiter starves once running turns end."""
        for _ in range(400):
            if not self.waiting:
                return
            self.pass_time(0.05)
            for key in list(self.running):
                del self.running[key]
                self.schedule.release(key, 50, True, self.now)
            for ask in list(self.waiting.values()):
                self.decide(ask)
        raise AssertionError(f"{len(self.waiting)} turns starve.")

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.running = {
            key: until
            for key, until in self.running.items()
            if until > self.now
        }

    @stateful.invariant()
    def counts_agree(self) -> None:
        queue = self.schedule.queue
        assert len(queue.order) == len(queue.waiters) == len(queue.asked)
        assert queue.in_progress == sum(
            waiter.rank.stage == turn_queue.IN_PROGRESS
            for waiter in queue.waiters.values()
        )
        # Turns of a silent entry don't count, but are kept until they end.
        silent = {
            key
            for key, ended in self.schedule.turns.uncounted.items()
            if ended.silent
        }
        assert self.schedule.running.keys() | silent >= self.running.keys()
        uncounted = self.schedule.turns.uncounted
        assert not self.schedule.running.keys() & uncounted.keys()
        assert sum(self.schedule.reports.granted.values()) == len(
            self.schedule.running
        )
        assert self.schedule.reports.total >= 0


Machine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
InvariantsTest = Machine.TestCase
