"""Admission of turns while entries freeze or messages are late.

Each load test compares with a run without the fault; see `turn_world`.
"""

import statistics
from typing import Any

import testtools

from mintcleat.decisions import granted_turns
from mintcleat.decisions import leader_pauses
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages
import turn_world

URGENT = turn_world.Kind("urgent", 0, 14.0, 3.0, deadline=4.0)
LESS_URGENT = turn_world.Kind(
    "less", 2, 8.0, 7.0, aim=2.0, extra=0.507, deadline=4.0
)
# At this load, both kinds offer 0.75 of the work of full batches.
USUAL = 3.6


def world(load: float = USUAL, **options: object) -> turn_world.World:
    return turn_world.World([URGENT, LESS_URGENT], load=load, **options)


class FrozenEntriesTest(testtools.TestCase):
    def work_in_time(self, frozen: list[str]) -> float:
        """Returns the work in time while entries are frozen."""
        played = world(1.5 * USUAL, entries=9)
        played.run(8.0)
        played.freeze(frozen, 14.0)
        played.run(18.0)
        return played.work_in_time(8.3, 12.0) / played.capacity()

    def test_slots_of_frozen_entries_are_used_by_others(self) -> None:
        # Guards against slots that wait for the timeouts of turns which were
        # granted to a frozen entry and have ended at the engines.
        usual = self.work_in_time([])
        frozen = self.work_in_time(["a0", "a1", "a2"])
        self.assertTrue(frozen >= 0.9 * usual, (frozen, usual))

    def test_engines_are_not_overloaded_when_entries_continue(self) -> None:
        # Guards against slots that are given away twice: the entries continue
        # with what they still have, and ask for more at once.
        played = world(1.5 * USUAL, entries=9)
        played.run(8.0)
        played.freeze(["a0", "a1", "a2"], 9.0)
        played.run(14.0)
        most = max(load for at, load, _ in played.samples if at > 8.0)
        self.assertTrue(most <= 8 * 12 * 1.1, most)
        self.assertEqual(
            set(),
            played.schedule.running.keys()
            & played.schedule.turns.uncounted.keys(),
        )


class LateClosesTest(testtools.TestCase):
    def finished(self, delay: float) -> float:
        """Returns the work of programs that ended, as a fraction."""
        played = world(1.5 * USUAL, report_delay=delay)
        played.run(16.0)
        return played.work_in_time(6.0, 13.0) / played.capacity()

    def test_late_closes_leave_no_slot_idle(self) -> None:
        usual = self.finished(0.0)
        late = self.finished(0.5)
        self.assertTrue(late >= 0.9 * usual, (late, usual))


class HeavyCustomerTest(testtools.TestCase):
    def test_customer_at_six_times_its_usual_with_patient_callers(self) -> None:
        # All together demand 0.95 of full batches before it, 1.2 with it.
        others, heavy, told, refused = [], [], [], 0
        for seed in (1, 2, 3):
            played = world(USUAL, seed=seed, patient=True)
            played.run(6.0)
            played.add_load("c3", 5.0)
            played.run(12.0)
            played.stopped = 12.0
            played.run(16.0)
            for one in played.results:
                if one.started >= 6.5:
                    of = heavy if one.customer == "c3" else others
                    of.append(one.outcome == "aim")
            refused += played.refused["c3"]
            told += played.retry_times
        self.assertTrue(sum(others) > 0.96 * len(others), sum(others))
        self.assertTrue(0.3 < sum(heavy) / len(heavy) < 0.8, sum(heavy))
        # Guards against callers that are all told to try again at once, though
        # the excess lasts for seconds.
        self.assertTrue(statistics.median(told) > 0.6, statistics.median(told))
        self.assertTrue(max(told) > 1.5, max(told))
        self.assertTrue(refused < 1.5 * len(heavy), (refused, len(heavy)))


class PausedLeaderTest(testtools.TestCase):
    """A leader whose process is paused, for instance by its machine."""

    def pause(self, factor: float, seconds: float) -> turn_world.World:
        """Returns the world after a pause at 8 s."""
        played = world(factor * USUAL)
        played.run(8.0)
        played.paused_until = 8.0 + seconds
        played.run(16.0)
        return played

    def test_waiting_turns_survive_a_pause(self) -> None:
        # Guards against a queue that is dropped since no turn has asked again.
        played = self.pause(1.5, 0.8)
        self.assertEqual(0, played.schedule.lost)

    def test_pause_overloads_no_engine(self) -> None:
        # Guards against slots that are granted twice as all entries seem silent
        # after the pause.
        played = self.pause(1.5, 2.0)
        most = max(load for at, load, _ in played.samples if at > 10.0)
        self.assertTrue(most <= 8 * 12, most)


DEMAND = program_messages.TurnDemand(
    "lm", "turns", 0, 1.0, 1000, 2.0, 0.0, 10, 0, timeout=3.0
)


def key_of(turn: str) -> turn_queue.TurnKey:
    return turn_queue.TurnKey("farm", turn)


class GrantedTurnsTest(testtools.TestCase):
    """Counts of running turns under late and contradictory reports."""

    def setUp(self) -> None:
        super().setUp()
        self.turns = granted_turns.GrantedTurns(leader_pauses.LeaderPauses())

    def grant(self, turn: str, now: float, entry: str = "a1") -> Any:
        ask = turn_queue.Ask(key_of(turn), "p", True, entry, 900, DEMAND)
        self.turns.grant(ask, now)
        return ask

    def test_report_made_before_a_grant_arrived_releases_nothing(self) -> None:
        # Guards against a slot that is given away while the turn which has it
        # is on its way to an engine.
        self.grant("t1", 0.0)
        self.turns.report("a1", 0, 0.01)
        self.turns.report_ended("a1", [], 0.01)
        self.assertEqual(1, self.turns.count())

    def test_ended_turn_is_closed_once(self) -> None:
        self.grant("t1", 0.0)
        self.grant("t2", 0.0)
        self.turns.report("a1", 1, 0.3)
        self.turns.report_ended("a1", [key_of("t1")], 0.3)
        self.assertEqual(1, self.turns.count())
        ended = self.turns.close(key_of("t1"), 0.8)
        self.assertEqual(0.3, ended.at)
        self.assertEqual(1, self.turns.count())
        self.assertIsNone(self.turns.close(key_of("t1"), 0.9))

    def test_turn_of_another_leader_that_ended_is_ignored(self) -> None:
        # With several groups, an entry names turns that others granted.
        self.grant("t1", 0.0)
        self.turns.report_ended("a1", [key_of("t7")], 0.1)
        self.assertEqual(1, self.turns.count())

    def test_entry_that_continues_reports_what_it_has(self) -> None:
        for number in range(4):
            self.grant(f"t{number}", 0.0)
        self.turns.report("a1", 4, 0.1)
        self.turns.drop_silent(2.0, 1.0, 32)
        self.assertEqual(0, self.turns.count())
        self.assertEqual(4, self.turns.silenced)
        self.turns.report("a1", 3, 2.1)
        self.assertEqual(3, self.turns.count())
        # One of the three ends, then the one that ended before the report.
        self.turns.close(key_of("t0"), 2.2)
        self.assertEqual(2, self.turns.count())
        self.turns.report_ended("a1", [key_of("t3")], 2.3)
        self.turns.close(key_of("t3"), 2.3)
        self.assertEqual(2, self.turns.count())

    def test_turn_of_a_silent_entry_is_not_granted_twice(self) -> None:
        ask = self.grant("t1", 0.0)
        self.turns.drop_silent(2.0, 1.0, 32)
        self.assertTrue(self.turns.grant_again(ask, 2.1))
        self.assertEqual(1, self.turns.count())
        self.turns.close(ask.key, 2.2)
        self.assertEqual(0, self.turns.count())
        self.assertFalse(self.turns.grant_again(ask, 2.3))

    def test_uncounted_turn_is_forgotten_at_its_timeout(self) -> None:
        self.grant("t1", 0.0)
        self.turns.drop_silent(2.0, 1.0, 32)
        self.turns.expire(DEMAND.timeout, 32)
        self.assertEqual({}, self.turns.uncounted)
        self.assertEqual(0, self.turns.expired)
