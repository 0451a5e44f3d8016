"""Refusals of turns for want of room to keep them."""

import os
import tracemalloc
from typing import Any

import msgpack
import testtools
from testtools import matchers

from fakes import log as fake_log
from mintcleat.adapters import timers
from mintcleat.decisions import kept_turns
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import placement
from mintcleat.roles.control.programs import service as program_service
from test_program_service import NoStreams

SIZE = 1000
LIMIT = 10 * SIZE


class RoomTest(testtools.TestCase):
    def test_turns_that_are_open_reserve_room(self) -> None:
        room = kept_turns.Room(LIMIT)
        opened = [
            room.has_room(("c", f"t{n}"), SIZE, 0, True, 0.0) for n in range(12)
        ]
        self.assertEqual([True] * 10 + [False] * 2, opened)

    def test_turn_that_is_sent_again_needs_no_more_room(self) -> None:
        room = kept_turns.Room(LIMIT)
        for _ in range(20):
            self.assertTrue(room.has_room(("c", "t"), SIZE, 0, True, 0.0))

    def test_room_of_a_sender_that_is_gone_is_free_after_a_while(self) -> None:
        room = kept_turns.Room(LIMIT)
        room.has_room(("c", "lost"), LIMIT, 0, True, 0.0)
        self.assertFalse(room.has_room(("c", "t"), SIZE, 0, True, 59.0))
        self.assertTrue(room.has_room(("c", "t"), SIZE, 0, True, 61.0))

    def test_caller_is_told_when_enough_turns_expire(self) -> None:
        room = kept_turns.Room(LIMIT)
        expiring = [kept_turns.Expiring(5.0 + n, SIZE) for n in range(10)]
        found = room.retry_after(2 * SIZE, LIMIT, True, expiring, 0.0)
        self.assertEqual(6.0, found)


class ServiceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timers = timers.VirtualTimers()
        cluster = fake_log.Cluster()
        self.service = program_service.ProgramService(
            fake_log.MemoryLog(cluster, "c1:1"),
            NoStreams(),
            self.timers,
            placement.group_names(1),
            manifest.Policies,
            kept_limit=LIMIT,
        )
        cluster.elect("c1:1")

    def open(self, turn: str, previous: str = "", size: int = SIZE) -> Any:
        (reply,) = self.service.answer(
            [
                program_messages.OpenTurn(
                    f"p-{turn}", turn, previous, 0, 1, 60.0, input_bytes=size
                )
            ]
        )
        return reply

    def run_turn(self, turn: str, previous: str = "") -> Any:
        reply = self.open(turn, previous)
        if isinstance(reply, program_messages.TurnOpened):
            close = program_messages.CloseTurn(
                f"p-{turn}", turn, 1, "u", True, previous, bytes(SIZE), b"",
                60.0, None,
            )  # fmt: skip
            self.service.answer([close])
        return reply

    def test_kept_turns_of_a_batch_are_bounded(self) -> None:
        # Without a bound, replicas were killed for their memory again and
        # again, and no kept turn could be continued.
        replies = [self.run_turn(f"t{n}") for n in range(40)]
        self.assertThat(
            replies[8], matchers.IsInstance(program_messages.TurnOpened)
        )
        for reply in replies[9:]:
            self.assertThat(reply, matchers.IsInstance(errors.Overloaded))
            self.assertEqual(errors.NOT_RUN, reply.outcome)
        (group,) = self.service.machines.values()
        self.assertEqual(9 * SIZE, group.branches.kept_bytes)

    def test_program_in_progress_goes_on_after_others_are_refused(
        self,
    ) -> None:
        for number in range(10):
            self.run_turn(f"t{number}")
        opened = self.open("next", "t0")
        self.assertThat(
            opened, matchers.IsInstance(program_messages.TurnOpened)
        )

    def test_refused_caller_finds_room_at_the_stated_time(self) -> None:
        for number in range(10):
            refused = self.run_turn(f"t{number}")
        self.timers.advance(refused.retry_after)
        self.assertThat(
            self.open("later"), matchers.IsInstance(program_messages.TurnOpened)
        )

    def test_room_of_a_cancelled_turn_is_free_again(self) -> None:
        self.open("large", size=9 * SIZE)
        self.assertThat(self.open("t"), matchers.IsInstance(errors.Overloaded))
        self.service.answer(
            [
                program_messages.CloseTurn(
                    "p-large", "large", 0, "", False, "", b"", b"", 60.0, None
                )
            ]
        )
        self.assertThat(
            self.open("t"), matchers.IsInstance(program_messages.TurnOpened)
        )

    def test_turn_that_is_not_kept_needs_no_room(self) -> None:
        for number in range(10):
            self.run_turn(f"t{number}")
        self.assertThat(
            self.open("t", size=0),
            matchers.IsInstance(program_messages.TurnOpened),
        )

    def test_kept_bytes_survive_a_snapshot_and_end_with_the_turns(self) -> None:
        # A count that drifts would refuse turns for ever, or never.
        for number in range(5):
            self.run_turn(f"t{number}")
        self.run_turn("t4")
        (group,) = self.service.machines.values()
        restored = machine.ProgramMachine(None)
        restored.restore(group.snapshot())
        self.assertEqual(
            [5 * SIZE, 5 * SIZE],
            [group.branches.kept_bytes, restored.branches.kept_bytes],
        )
        self.timers.advance(100.0)
        self.assertEqual(0, self.service.kept_bytes())

    def filled(self) -> machine.ProgramMachine:
        """Returns a group whose turns keep 20 MB; starts to trace memory."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        group = machine.ProgramMachine(None)
        for number in range(1000):
            size = (200, 300, 8 * SIZE, 70 * SIZE)[number % 4]
            close = program_messages.CloseTurn(
                "p", f"t{number}", 1, "u", True, "", os.urandom(size), b"out",
                60.0, None,
            )  # fmt: skip
            group.apply(
                number, commands.encode(commands.Command(0, 0, [close]))
            )
        return group

    def test_snapshot_holds_no_second_copy_of_what_turns_keep(self) -> None:
        # Guards against replicas whose memory bounds what may be kept.
        group = self.filled()
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        parts = group.snapshot_parts()
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - before, 1000 * SIZE)
        state = b"".join(parts)
        # As msgpack encodes it, which releases before this one did.
        unpacked = msgpack.unpackb(state, strict_map_key=False)
        self.assertEqual(msgpack.packb(unpacked), state)
        restored = machine.ProgramMachine(None)
        restored.restore(state)
        self.assertEqual(group.branches.turns, restored.branches.turns)

    def test_replaced_state_is_not_held_beside_the_received_one(self) -> None:
        group = self.filled()
        state = group.snapshot()
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        group.restore(state)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - before, 5000 * SIZE)
