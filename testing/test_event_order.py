"""Ids of events that don't follow each other, over sockets."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from unittest import mock

import eventlet
import testtools

from fakes import platform_engine
from fakes import platform_system
from mintcleat.decisions import event_order
from mintcleat.domain import events
from mintcleat.domain import server_sent_events


class Part(NamedTuple):
    """Answer to one of the requests that carry a stream.

    Attributes:
        ids: Ids of its events; an empty one stands for an event without an id.
        ends: Whether it has its last chunk; otherwise it breaks off.
        text: Names the run in the events' data.
    """

    ids: Sequence[int | str]
    ends: bool = True
    text: str = "piece"

    def body(self) -> bytes:
        """Returns its events."""
        return b"".join(event(name, self.text) for name in self.ids)


def event(name: int | str, text: str = "piece") -> bytes:
    field = f"id: {name}\n" if name != "" else ""
    return f"{field}data: {text}-{name}\n\n".encode()


def ids_of(answer: platform_system.Answer) -> list[str]:
    """Returns the ids of the events that a caller has."""
    found = server_sent_events.EventBuffer().feed(answer.body)
    return [one.id for one in found]


class Case(platform_system.HostedTest):
    """Three engines; the parts are sent in turn, whichever is asked.

    Attributes:
        attempts: Attempts of a request.
        parts: The parts that have not been sent.
    """

    attempts = 2

    def setUp(self) -> None:
        super().setUp()
        self.parts: list[Part] = []
        fields = platform_system.configuration()
        for route in fields["routes"]:
            route["attempts"] = self.attempts
        self.assertEqual(200, self.system.put(fields).status)
        for number in range(3):
            self.system.add(f"e{number}", "lm", self.send_part)
        self.system.settle()

    def send_part(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        part = self.parts.pop(0)
        connection.begin_stream(received)
        for name in part.ids:
            connection.chunk(event(name, part.text))
            eventlet.sleep(0)
        if part.ends:
            connection.end_stream()
        return part.ends

    def received(self) -> list[platform_engine.ReceivedRequest]:
        """Returns the requests that ran."""
        return [
            one for engine in self.system.engines for one in engine.received
        ]

    def call(self, **headers: str) -> platform_system.Answer:
        return self.system.call("POST", "/resumable/a", b"x", **headers)

    def turn(self, request: str, **headers: str) -> platform_system.Answer:
        return self.system.call(
            "POST",
            "/turns/a",
            b"x",
            request,
            X_Program_Id="p",
            X_Token_Counts="10,60",
            **headers,
        )

    def assert_stream(
        self, answer: platform_system.Answer, *ids: int | str
    ) -> None:
        """Checks that the caller has these events and a proper end."""
        self.assertEqual(200, answer.status)
        self.assertEqual([str(name) for name in ids], ids_of(answer))
        self.assertTrue(answer.whole)

    def assert_cut(
        self, answer: platform_system.Answer, *ids: int | str
    ) -> None:
        """Checks that the caller has these events and sees that it is cut."""
        self.assertEqual([str(name) for name in ids], ids_of(answer))
        self.assertEqual((200, False), (answer.status, answer.whole))

    def last_attempt(self) -> events.AttemptFailed:
        return self.system.reporter.of(events.AttemptFailed)[-1]

    def ended(self) -> events.CallEnded:
        return self.system.reporter.of(events.CallEnded)[-1]


class ResumeTest(Case):
    """The entry continues a stream that broke off after its third event."""

    first = Part((1, 2, 3), ends=False)

    def resume(self, *parts: Part) -> platform_system.Answer:
        self.parts = [self.first, *parts]
        return self.call()

    def test_upstream_that_begins_anew_adds_no_second_run(self) -> None:
        answer = self.resume(Part((1, 2, 3, 4), text="other"))
        self.assert_cut(answer, 1, 2, 3)
        self.assertNotIn(b"other", answer.body)
        self.assertEqual("out_of_order", self.last_attempt().end)

    def test_upstream_that_replays_all_events_adds_none_twice(self) -> None:
        self.assert_cut(self.resume(Part((1, 2, 3, 4))), 1, 2, 3)

    def test_upstream_that_goes_back_adds_none_twice(self) -> None:
        self.assert_cut(self.resume(Part((2, 3, 4))), 1, 2, 3)

    def test_last_event_with_other_text_is_not_added(self) -> None:
        answer = self.resume(Part((3, 4), text="other"))
        self.assert_cut(answer, 1, 2, 3)
        self.assertNotIn(b"other", answer.body)

    def test_last_event_that_is_repeated_comes_once(self) -> None:
        self.assert_stream(self.resume(Part((3, 4, 5))), 1, 2, 3, 4, 5)
        ended = self.ended()
        self.assertEqual((2, 1), (ended.events, ended.repeated))

    def test_stream_that_ends_after_a_repeated_event_is_whole(self) -> None:
        self.assert_stream(self.resume(Part((3,))), 1, 2, 3)

    def test_upstream_that_has_no_content_ends_no_stream(self) -> None:
        statuses = [b"204 No Content", b"205 Reset Content"]

        def send_none(connection: Any, received: Any) -> bool:
            fields = {
                "Content-Type": "text/event-stream",
                "Content-Length": "0",
            }
            head = connection.head(received, fields)
            connection.send(head.replace(b"200 OK", statuses.pop()))
            return True

        def send_next(connection: Any, received: Any) -> bool:
            return next(scripts)(connection, received)

        scripts = iter(2 * [self.send_part, send_none])
        for engine in self.system.engines:
            engine.script = send_next
        while statuses:
            self.parts = [self.first]
            self.assert_cut(self.call(), 1, 2, 3)

    def test_stream_whose_events_have_no_ids_is_cut(self) -> None:
        for ids in (("", ""), (1, 2, "")):
            self.parts = [Part(ids, ends=False), Part((3, 4))]
            self.assert_cut(self.call(), *ids)

    def test_stream_that_goes_on_is_whole(self) -> None:
        self.assert_stream(self.resume(Part((4, 5))), 1, 2, 3, 4, 5)
        self.assertEqual(0, self.ended().repeated)

    def test_upstream_that_goes_on_after_a_skipped_event_adds_nothing(
        self,
    ) -> None:
        self.assert_cut(self.resume(Part((5, 6))), 1, 2, 3)
        self.assertEqual("out_of_order", self.last_attempt().end)

    def test_repeated_event_before_a_skipped_one_hides_nothing(self) -> None:
        self.assert_cut(self.resume(Part((3, 5))), 1, 2, 3)

    def test_stream_whose_ids_had_gaps_may_go_on_with_one(self) -> None:
        self.first = Part((1, 3, 4), ends=False)
        self.assert_stream(self.resume(Part((7, 9))), 1, 3, 4, 7, 9)

    def test_two_events_do_not_tell_how_ids_follow(self) -> None:
        for ids in ((1,), (1, 2)):
            self.first = Part(ids, ends=False)
            self.assert_stream(self.resume(Part((5, 7))), *ids, 5, 7)

    def test_ids_of_many_digits_are_not_looked_at_for_gaps(self) -> None:
        last = 10**18
        self.first = Part((last - 3, last - 2, last - 1), ends=False)
        answer = self.resume(Part((last, last + 5)))
        self.assert_stream(answer, last - 3, last - 2, last - 1, last, last + 5)

    def test_gap_within_the_resumed_part_is_not_forwarded(self) -> None:
        self.assert_cut(self.resume(Part((4, 6))), 1, 2, 3, 4)
        self.assertEqual("out_of_order", self.last_attempt().end)


class UntypedStreamTest(Case):
    """Streams whose head doesn't say that events follow."""

    def send_part(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        fields = {"Transfer-Encoding": "chunked"}
        with mock.patch.object(
            connection,
            "begin_stream",
            lambda one: connection.send(connection.head(one, fields)),
        ):
            return super().send_part(connection, received)

    def test_its_events_are_compared(self) -> None:
        self.parts = [Part((1, 2, 3, 5)), Part((4, 5))]
        self.assert_stream(self.call(), 1, 2, 3, 4, 5)

    def test_its_turn_is_recorded(self) -> None:
        self.parts = [Part((1, 2)), Part((1,))]
        self.assert_stream(self.turn("t1"), 1, 2)
        self.assert_stream(self.turn("t2", X_Previous_Turn="t1"), 1)


class OtherTypeTest(Case):
    def test_answer_of_another_type_is_relayed_whole(self) -> None:
        body = b'{"models": []}'

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            fields = {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
            connection.send(connection.head(received, fields) + body)
            return True

        for engine in self.system.engines:
            engine.script = run
        answer = self.call()
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual(body, answer.body)


class LeftOutTest(Case):
    """Events that an upstream leaves out of its answer."""

    def play_sound_streams(self) -> None:
        for _ in range(3):
            self.parts = [Part((1, 2, 3))]
            self.assert_stream(self.call(), 1, 2, 3)

    def test_stream_goes_on_elsewhere_before_the_gap(self) -> None:
        self.parts = [Part((1, 2, 3, 5, 6)), Part((4, 5, 6))]
        self.assert_stream(self.call(), 1, 2, 3, 4, 5, 6)

    def test_turn_with_a_gap_is_cut_and_not_recorded(self) -> None:
        self.parts = [Part((1, 2, 3, 5)), Part((1,))]
        self.assert_cut(self.turn("t1"), 1, 2, 3)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)

    def test_second_event_is_like_those_of_other_streams(self) -> None:
        self.play_sound_streams()
        self.parts = [Part((1, 3, 4)), Part((2, 3))]
        self.assert_stream(self.call(), 1, 2, 3)

    def test_streams_may_begin_at_any_id(self) -> None:
        self.play_sound_streams()
        self.parts = [Part((8, 9))]
        self.assert_stream(self.call(), 8, 9)

    def test_event_after_that_which_a_caller_names_is_not_left_out(
        self,
    ) -> None:
        self.play_sound_streams()
        self.parts = [Part((7, 8)), Part((6, 7, 8))]
        self.assert_stream(self.call(Last_Event_Id="5"), 6, 7, 8)

    def test_ids_of_other_software_have_gaps(self) -> None:
        for _ in range(4):
            self.parts = [Part((2, 4, 9))]
            self.assert_stream(self.call(), 2, 4, 9)
        self.parts = [Part((12, 15))]
        self.assert_stream(self.call(Last_Event_Id="9"), 12, 15)

    def test_gap_that_two_upstreams_make_is_forwarded(self) -> None:
        self.play_sound_streams()
        for _ in range(6):
            self.parts = [Part((1, 3, 5)), Part((3, 5))]
            self.assert_stream(self.call(), 1, 3, 5)

    def test_streams_of_two_events_tell_how_ids_follow(self) -> None:
        for _ in range(3):
            self.parts = [Part((1, 2))]
            self.assert_stream(self.call(), 1, 2)
        self.parts = [Part((1, 3)), Part((2, 3))]
        self.assert_stream(self.call(), 1, 2, 3)

    def test_later_gaps_that_all_streams_have_are_forwarded_in_the_end(
        self,
    ) -> None:
        for _ in range(40):
            self.parts = [Part((1, 2, 3, 5)), Part((5,))]
            answer = self.call()
        self.assert_stream(answer, 1, 2, 3, 5)

    def test_gaps_that_all_take_ups_have_are_forwarded_in_the_end(self) -> None:
        self.play_sound_streams()
        for _ in range(30):
            self.parts = [Part((10, 11)), Part((10, 11))]
            answer = self.call(Last_Event_Id="5")
        self.assert_stream(answer, 10, 11)

    def test_left_out_event_that_others_send_is_no_usual_gap(self) -> None:
        self.play_sound_streams()
        for _ in range(3):
            self.parts = [Part((1, 3, 4)), Part((2, 3, 4))]
            self.assert_stream(self.call(), 1, 2, 3, 4)


class ThirdUpstreamTest(Case):
    attempts = 3

    def test_stream_goes_on_where_no_event_is_skipped(self) -> None:
        self.parts = [
            Part((1, 2, 3), ends=False),
            Part((5, 6)),
            Part((4, 5, 6)),
        ]
        self.assert_stream(self.call(), 1, 2, 3, 4, 5, 6)

    def test_stream_goes_on_at_an_upstream_that_follows(self) -> None:
        self.parts = [
            Part((1, 2, 3), ends=False),
            Part((1, 2), text="other"),
            Part((4, 5)),
        ]
        answer = self.call()
        self.assert_stream(answer, 1, 2, 3, 4, 5)
        self.assertNotIn(b"other", answer.body)
        asked = [
            one.headers.get("last-event-id", "") for one in self.received()
        ]
        self.assertEqual(["", "3", "3"], sorted(asked))


class OneAnswerTest(Case):
    """The ids of one upstream's answer."""

    def test_answer_that_begins_again_is_cut(self) -> None:
        self.parts = [Part((1, 2, 3, 1, 2, 3), ends=True), Part((1, 2, 3))]
        self.assert_cut(self.call(), 1, 2, 3)

    def test_answer_that_begins_again_is_continued_elsewhere(self) -> None:
        self.parts = [Part((1, 2, 3, 1, 2, 3)), Part((4,))]
        self.assert_stream(self.call(), 1, 2, 3, 4)

    def test_event_that_is_sent_twice_in_a_row_comes_once(self) -> None:
        self.parts = [Part((1, 2, 2, 3))]
        self.assert_stream(self.call(), 1, 2, 3)
        self.assertEqual(9, self.ended().tokens)

    def test_event_that_is_repeated_without_end_breaks_the_answer_off(
        self,
    ) -> None:
        self.parts = [Part((1, 2, 2, 2)), Part((3,))]
        self.assert_stream(self.call(), 1, 2, 3)

    def test_answer_whose_last_event_is_out_of_order_is_reported(self) -> None:
        # The body has ended with its length when the event is looked at.
        body = Part((1, 2, 1)).body()

        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            fields = {
                "Content-Type": "text/event-stream",
                "Content-Length": str(len(body)),
            }
            connection.send(connection.head(received, fields) + body)
            return True

        for engine in self.system.engines:
            engine.script = run
        self.assert_cut(self.call(), 1, 2)
        self.assertEqual("out_of_order", self.ended().end)

    def test_events_that_arrive_together_are_checked(self) -> None:
        def run(
            connection: platform_engine.Connection,
            received: platform_engine.ReceivedRequest,
        ) -> bool:
            connection.begin_stream(received)
            connection.chunk(Part((1, 2, 2, 3, 1)).body())
            connection.end_stream()
            return True

        for engine in self.system.engines:
            engine.script = run
        self.assert_cut(self.call(), 1, 2, 3)

    def test_ids_that_begin_above_1_with_gaps_are_forwarded(self) -> None:
        self.parts = [Part((100, 103, 200))]
        self.assert_stream(self.call(), 100, 103, 200)

    def test_ids_are_compared_as_numbers(self) -> None:
        ids = (9, 10, 99, 100, 10**40, 10**40 + 1)
        self.parts = [Part(ids)]
        self.assert_stream(self.call(), *ids)

    def test_ids_that_are_no_numbers_are_forwarded(self) -> None:
        for ids in (
            ("b", "a", "a"),
            ("7-1", "7-0"),
            ("-1", "-2", "3", "2"),
            ("5", "x", "4", "4"),
        ):
            self.parts = [Part(ids)]
            self.assert_stream(self.call(), *ids)

    def test_events_without_ids_are_forwarded(self) -> None:
        self.parts = [Part((1, "", 2, "", 3))]
        self.assert_stream(self.call(), 1, "", 2, "", 3)


class TakeUpTest(Case):
    """The caller names the last event that it has."""

    def take_up(self, last: str, *parts: Part) -> platform_system.Answer:
        self.parts = list(parts)
        return self.call(Last_Event_Id=last)

    def test_upstream_that_begins_anew_adds_nothing(self) -> None:
        again = Part((1, 2, 3, 4))
        self.assert_cut(self.take_up("2", again, again))

    def test_event_that_the_caller_has_is_not_sent_again(self) -> None:
        again = Part((2, 3, 4))
        self.assert_cut(self.take_up("2", again, again))

    def test_stream_goes_on_at_an_upstream_that_follows(self) -> None:
        answer = self.take_up("2", Part((1, 2, 3)), Part((3, 4)))
        self.assert_stream(answer, 3, 4)

    def test_events_after_an_id_beyond_the_end_are_not_sent(self) -> None:
        again = Part((1, 2, 3))
        self.assert_cut(self.take_up("99", again, again))

    def test_upstream_that_has_nothing_more_ends_the_stream(self) -> None:
        self.assert_stream(self.take_up("99", Part(())))

    def test_id_that_is_no_number_is_left_to_the_upstream(self) -> None:
        self.assert_stream(self.take_up("x", Part((1, 2))), 1, 2)


class TurnTest(Case):
    def test_turn_has_each_event_and_its_tokens_once(self) -> None:
        self.parts = [Part((1, 2, 2, 3)), Part((1,))]
        self.assert_stream(self.turn("t1"), 1, 2, 3)
        self.assertEqual(9, self.ended().tokens)
        self.turn("t2", X_Previous_Turn="t1")
        (body,) = (
            received.body
            for received in self.received()
            if received.request == "t2"
        )
        self.assertEqual(b"xpiece-1\npiece-2\npiece-3\nx", body)

    def test_turn_that_goes_back_is_cut_and_not_recorded(self) -> None:
        self.parts = [Part((1, 2, 1)), Part((1,))]
        self.assert_cut(self.turn("t1"), 1, 2)
        self.assertEqual(404, self.turn("t2", X_Previous_Turn="t1").status)

    def test_turn_that_is_taken_up_is_not_recorded_without_its_beginning(
        self,
    ) -> None:
        # The next turn would run without the events that its caller has.
        self.parts = [Part((1, 2, 3), ends=False), Part((4, 5)), Part((1,))]
        self.assert_cut(self.turn("t1"), 1, 2, 3)
        taken_up = self.turn("t2", Last_Event_Id="3", Resumes="t1")
        self.assertEqual(503, taken_up.status)
        self.assertEqual(["t1"], [one.request for one in self.received()])

    def test_repeated_event_costs_no_budget(self) -> None:
        self.parts = [Part((1, 1, 2, 2)), Part((1,))]
        budget = {"X_Token_Budget": "66"}
        self.assert_stream(self.turn("t1", **budget), 1, 2)
        self.assertEqual(200, self.turn("t2", **budget).status)


class EventOrderTest(testtools.TestCase):
    def places(self, last: str, *ids: str) -> list[event_order.Place]:
        order = event_order.EventOrder(last)
        found = []
        for name in ids:
            raw = f"id: {name}\n\n".encode()
            one = server_sent_events.Event(raw, name, b"")
            found.append(order.place(one))
            if found[-1] is event_order.Place.NEXT:
                order.add(one)
        return found

    def test_leading_zeros_and_many_digits_are_compared_as_numbers(
        self,
    ) -> None:
        many = "9" * 10_000
        self.assertEqual(
            ["next", "next", "earlier", "next", "earlier"],
            [
                place.value
                for place in self.places("007", "08", "10", "9", many, "0010")
            ],
        )

    def test_digits_of_other_alphabets_are_no_numbers(self) -> None:
        # str.isdigit takes them for digits, and int refuses some of them.
        for text in ("\u00b2", "\u0663"):
            places = self.places("5", text, "1")
            self.assertEqual([event_order.Place.NEXT] * 2, places)
