"""Tests how responses are relayed."""

from collections.abc import Iterator
from typing import Any

import testtools

from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import response_relay

HEAD = routed_calls.ResponseHead(200, "OK", (), None, True)


class Timers:
    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class Loads:
    def __init__(self) -> None:
        self.pauses: list[float] = []

    def arrived(self, incarnation: str) -> None:
        pass

    def ended(self, incarnation: str, request: str) -> None:
        pass

    def observe(self, incarnation: str, seconds: float) -> None:
        self.pauses.append(seconds)


class Answer:
    """A stream whose parts arrive a second apart."""

    head = HEAD

    def __init__(self, timers: Timers, parts: list[bytes]) -> None:
        self.timers = timers
        self.parts = parts

    def chunks(self) -> Iterator[bytes]:
        for part in self.parts:
            self.timers.time += 1.0
            yield part


class Reply:
    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.ended = False

    def send_head(self, head: routed_calls.ResponseHead) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    def end(self) -> None:
        self.ended = True


class EventsTest(testtools.TestCase):
    def relay(
        self, parts: list[bytes]
    ) -> tuple[response_relay.ResponseRelay, Reply, Loads]:
        timers, loads, reply = Timers(), Loads(), Reply()
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
        relay.upstream = member_messages.Registration(
            "u1", "s", "a:1", "d1", "v1", 4, "ready", 1
        )
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
