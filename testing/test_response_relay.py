"""Tests how responses are relayed."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import testtools

from mintcleat.decisions import answer_memory
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import collected_answer
from mintcleat.roles.entry import response_relay

HEAD = routed_calls.ResponseHead(200, "OK", (), True)
CHUNKED = answer_ends.AnswerEnd(
    answer_ends.Framing.CHUNKS, answer_ends.Kind.MARKED
)


class Timers:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def sleep(self, seconds: float) -> None:
        self.time += seconds


class Loads:
    def __init__(self) -> None:
        self.pauses: list[float] = []
        self.known: dict[str, member_messages.Registration] = {}

    def arrived(self, incarnation: str) -> None:
        pass

    def ended(self, incarnation: str, request: str) -> None:
        pass

    def first_event(self, incarnation: str, request: str) -> None:
        pass

    def observe(self, incarnation: str, seconds: float) -> None:
        self.pauses.append(seconds)


class Answer:
    """A stream whose parts arrive a second apart."""

    head = HEAD
    skipped = 0

    def __init__(
        self,
        timers: Timers,
        parts: list[bytes],
        end: answer_ends.AnswerEnd = CHUNKED,
    ) -> None:
        self.timers = timers
        self.parts = parts
        self.end = end
        self.framing = end.framing

    def chunks(self) -> Iterator[bytes]:
        for part in self.parts:
            self.timers.time += 1.0
            yield part


class Reply:
    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.whole: list[bytes] = []
        self.ended = False

    def set_on_blocked(self, callback: Callable[[], None]) -> None:
        self.on_blocked = callback

    def send_whole(self, head: routed_calls.ResponseHead, body: bytes) -> None:
        self.whole.append(body)

    def send_head(self, head: routed_calls.ResponseHead) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    def end(self) -> None:
        self.ended = True


def new_relay(timers: Timers, loads: Loads) -> response_relay.ResponseRelay:
    unused: Any = None
    relay = response_relay.ResponseRelay(
        manifest.Route("/", []),
        manifest.Service("model", tokens_per_event=4),
        loads,
        unused,
        timers,
        "r1",
        "",
    )
    relay.begin_attempt(
        member_messages.Registration(
            "u1", "s", "a:1", "d1", "v1", 4, "ready", 1
        )
    )
    return relay


class EventsTest(testtools.TestCase):
    def relay(
        self, parts: list[bytes]
    ) -> tuple[response_relay.ResponseRelay, Reply, Loads]:
        timers, loads, reply = Timers(), Loads(), Reply()
        relay = new_relay(timers, loads)
        relay.relay(Answer(timers, parts), reply, 100.0, False)
        return relay, reply, loads

    def test_events_that_arrive_together_are_written_together(self) -> None:
        # A write is a system call and a packet.
        relay, reply, loads = self.relay(
            [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3", b"\ndata: c\n\n"]
        )
        self.assertEqual(
            [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"],
            reply.writes,
        )
        self.assertEqual("3", relay.last_event_id)
        self.assertEqual(12, relay.tokens)
        self.assertEqual([0.0, 1.0], loads.pauses)
        self.assertEqual((101.0, 102.0), (relay.first_at, relay.last_event_at))
        self.assertTrue(reply.ended)

    def test_part_of_an_event_is_not_written(self) -> None:
        # After a failure, the stream continues at another upstream.
        _, reply, _ = self.relay([b"id: 1\n", b"data: a\n", b"\n"])
        self.assertEqual([b"id: 1\ndata: a\n\n"], reply.writes)

    def test_time_that_a_write_waits_is_not_the_upstream_s(self) -> None:
        # Nothing is read meanwhile. As a gap, it would make the upstream look
        # slow, and as silence, dead.
        timers, loads, reply = Timers(), Loads(), Reply()
        relay = new_relay(timers, loads)

        def write(data: bytes) -> None:
            if not reply.writes:
                timers.time += 30.0
                reply.on_blocked()
                timers.time += 0.1
            reply.writes.append(data)

        reply.write = write
        parts = [b"data: a\n\n", b"data: b\n\n"]
        relay.relay(Answer(timers, parts), reply, 100.0, False)
        self.assertEqual([1.1], [round(pause, 3) for pause in loads.pauses])
        self.assertEqual(31.1, round(relay.max_gap, 3))
        self.assertEqual(relay.last_event_at, relay.last_active_at)


class FairTurnsTest(testtools.TestCase):
    def pauses(self, part: bytes) -> list[float]:
        timers, reply = Timers(), Reply()
        pauses: list[float] = []
        timers.sleep = pauses.append
        new_relay(timers, Loads()).relay(
            Answer(timers, [part, part]), reply, 100.0, False
        )
        self.assertEqual(2 * part, b"".join(reply.writes))
        return pauses

    def test_events_at_full_speed_leave_turns_to_other_requests(self) -> None:
        self.assertEqual(16, len(self.pauses(b"data: abcdefgh\n\n" * 2048)))

    def test_few_events_are_not_delayed(self) -> None:
        self.assertEqual([], self.pauses(b"data: abcdefgh\n\n" * 10))


class RoomTest(testtools.TestCase):
    def relay(
        self, parts: list[bytes], limit: int, retention: float
    ) -> tuple[response_relay.ResponseRelay, Reply, Exception | None]:
        timers, reply = Timers(), Reply()
        relay = new_relay(timers, Loads())
        relay.route = manifest.Route("/", [], retention=retention)
        relay.memory.limit = limit
        try:
            relay.relay(Answer(timers, parts), reply, 100.0, False)
        except errors.MintcleatError as error:
            return relay, reply, error
        return relay, reply, None

    def test_turn_whose_events_find_no_room_is_not_recorded(self) -> None:
        events = [b"data: abcdefgh\n\n"] * 3
        relay, reply, error = self.relay(events, 20, 60.0)
        self.assertIsInstance(error, errors.TurnUnrecorded)
        self.assertFalse(reply.ended)
        self.assertEqual(0, relay.memory.total)

    def test_turn_whose_last_event_finds_no_room_does_not_end_whole(
        self,
    ) -> None:
        _, reply, error = self.relay([b"data: abcdefgh\n\n"], 5, 60.0)
        self.assertIsInstance(error, errors.TurnUnrecorded)
        self.assertFalse(reply.ended)

    def test_stream_whose_event_finds_no_room_is_broken_off(self) -> None:
        parts = [b"data: a\n\n", b"data: " + b"b" * 30, b"\n\n"]
        _, reply, error = self.relay(parts, 20, 0.0)
        self.assertIsInstance(error, errors.StreamClosed)
        self.assertEqual([b"data: a\n\n"], reply.writes)

    def test_whole_events_of_a_stream_that_is_not_kept_need_no_room(
        self,
    ) -> None:
        event = b"data: " + b"a" * 100 + b"\n\n"
        _, reply, error = self.relay([event], 20, 0.0)
        self.assertIsNone(error)
        self.assertEqual([event], reply.writes)

    def test_answer_that_finds_no_room_is_sent_as_it_arrives(self) -> None:
        timers, reply = Timers(), Reply()
        block = b"x" * answer_memory.SMALL_BYTES
        answer = Answer(timers, [block, b"a", b"b"])
        answer.head = HEAD._replace(events=False)
        relay = new_relay(timers, Loads())
        relay.memory.limit = len(block)
        relay.relay(answer, reply, 100.0, True)
        self.assertEqual([block + b"a", b"b"], reply.writes)
        self.assertTrue(reply.ended)
        self.assertEqual(0, relay.memory.total)

    def test_answer_of_ordinary_size_is_collected_without_room(self) -> None:
        timers, reply = Timers(), Reply()
        answer = Answer(timers, [b"ab", b"c"])
        answer.head = HEAD._replace(events=False)
        relay = new_relay(timers, Loads())
        relay.memory.limit = 1
        relay.relay(answer, reply, 100.0, True)
        self.assertEqual([b"abc"], reply.whole)


class WholeTest(testtools.TestCase):
    def relay(self, parts: list[bytes]) -> Reply:
        timers, loads, reply = Timers(), Loads(), Reply()
        answer = Answer(timers, parts)
        answer.head = HEAD._replace(events=False)
        new_relay(timers, loads).relay(answer, reply, 100.0, True)
        return reply

    def test_response_is_sent_once_it_is_complete(self) -> None:
        reply = self.relay([b"abc", b"de"])
        self.assertEqual([b"abcde"], reply.whole)

    def test_large_response_is_sent_as_it_arrives(self) -> None:
        block = b"x" * collected_answer.MAX_COLLECTED_BYTES
        reply = self.relay([b"a", block, b"b", b"c"])
        self.assertEqual([], reply.whole)
        self.assertEqual([b"a" + block + b"b", b"c"], reply.writes)
        self.assertTrue(reply.ended)

    def test_response_of_just_that_size_is_sent_whole(self) -> None:
        block = b"x" * collected_answer.MAX_COLLECTED_BYTES
        self.assertEqual([block], self.relay([block]).whole)
