"""Migration of programs off an overloaded or leaving upstream."""

import testtools
from testtools import matchers

from mintcleat.decisions import migration

TARGETS = [migration.Target("u2", 0.0, 50_000, 8000.0)]
BUSY = migration.Source(wait=10.0, leaving=False, export_rate=60_000.0)


def make_paused(
    count: int, moved_at: float = 0.0
) -> list[migration.PausedProgram]:
    return [
        migration.PausedProgram(f"p{number}", 5000, 5.0, moved_at)
        for number in range(count)
    ]


class MigrationPlannerTest(testtools.TestCase):
    def test_an_idle_upstream_keeps_its_programs(self) -> None:
        source = BUSY._replace(wait=0.2)
        self.assertEqual(
            [],
            migration.MigrationPlanner().plan(
                source, make_paused(3), TARGETS, 0.0
            ),
        )

    def test_concurrent_moves_are_limited(self) -> None:
        planner = migration.MigrationPlanner()
        moves = planner.plan(BUSY, make_paused(50), TARGETS, 0.0)
        self.assertThat(moves, matchers.HasLength(migration.MAX_MOVING))
        self.assertEqual([], planner.plan(BUSY, make_paused(50), TARGETS, 1.0))
        planner.finished("p0")
        again = planner.plan(BUSY, make_paused(50)[1:], TARGETS, 2.0)
        self.assertThat(again, matchers.HasLength(1))

    def test_two_overloaded_upstreams_do_not_swap_programs(self) -> None:
        """Both upstreams are busy, the other one only slightly less.

        A move would balance them at best, and the next plan would undo it.
        """
        target = TARGETS[0]._replace(wait=8.0)
        self.assertEqual(
            [],
            migration.MigrationPlanner().plan(
                BUSY, make_paused(3), [target], 0.0
            ),
        )

    def test_a_program_that_has_just_moved_stays(self) -> None:
        held = make_paused(3, moved_at=95.0)
        self.assertEqual(
            [], migration.MigrationPlanner().plan(BUSY, held, TARGETS, 100.0)
        )

    def test_a_leaving_upstream_moves_programs_at_any_load(self) -> None:
        source = migration.Source(wait=0.0, leaving=True)
        held = make_paused(3, moved_at=95.0)
        moves = migration.MigrationPlanner().plan(source, held, TARGETS, 100.0)
        self.assertThat(moves, matchers.HasLength(3))
        self.assertEqual({False}, {move.export for move in moves})

    def test_a_target_is_not_filled_beyond_its_memory(self) -> None:
        target = TARGETS[0]._replace(free_memory=11_000)
        moves = migration.MigrationPlanner().plan(
            BUSY, make_paused(4), [target], 0.0
        )
        self.assertThat(moves, matchers.HasLength(2))
