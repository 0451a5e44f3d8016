"""Tests which ends of answers count as whole."""

import testtools

from mintcleat.decisions import answer_end
from mintcleat.domain import answer_ends
from mintcleat.domain import routed_calls

Kind = answer_ends.Kind


def end_of(kind: Kind, events: int = 1, inside: bool = False) -> Kind:
    framing = answer_ends.Framing.CLOSE
    if kind is not Kind.CLOSED:
        framing = answer_ends.Framing.CHUNKS
    return answer_end.of_stream(
        answer_ends.AnswerEnd(framing, kind),
        answer_end.ReceivedStream(events, inside),
    ).kind


class ConfirmedTest(testtools.TestCase):
    def test_upstream_that_refuses_connections_has_crashed(self) -> None:
        end = answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, Kind.CLOSED)
        expected = {
            routed_calls.Reachability.ACCEPTS: (Kind.CONFIRMED, True, True),
            routed_calls.Reachability.REFUSES: (Kind.CRASHED, False, False),
            routed_calls.Reachability.UNKNOWN: (
                Kind.UNCONFIRMED,
                False,
                False,
            ),
        }
        for reachability, kind in expected.items():
            found = answer_end.confirmed(end, reachability)
            self.assertEqual(
                kind, (found.kind, found.is_whole, found.is_proven)
            )


class StreamTest(testtools.TestCase):
    def test_unfinished_event_counts_whatever_the_framing_says(self) -> None:
        for kind in (Kind.CLOSED, Kind.MARKED):
            self.assertEqual(Kind.INSIDE_EVENT, end_of(kind, inside=True))

    def test_kind_of_a_broken_body_stays(self) -> None:
        for kind in (Kind.CUT, Kind.RESET, Kind.INVALID, Kind.ABANDONED):
            self.assertEqual(kind, end_of(kind, inside=True))

    def test_stream_without_an_event_needs_a_marked_end(self) -> None:
        self.assertEqual(Kind.NO_EVENT, end_of(Kind.CLOSED, events=0))
        self.assertEqual(Kind.MARKED, end_of(Kind.MARKED, events=0))

    def test_stream_without_an_event_that_is_as_long_as_asked_for_is_whole(
        self,
    ) -> None:
        # It was resumed after its last event.
        end = answer_end.of_stream(
            answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, Kind.CLOSED),
            answer_end.ReceivedStream(0, False, True),
        )
        self.assertEqual(Kind.CONFIRMED, end.kind)

    def test_stream_as_long_as_asked_for_is_proven(self) -> None:
        end = answer_end.of_stream(
            answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, Kind.CLOSED),
            answer_end.ReceivedStream(3, False, True),
        )
        self.assertEqual(Kind.CONFIRMED, end.kind)

    def test_each_kind_is_whole_or_says_why_not(self) -> None:
        for kind in Kind:
            end = answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, kind)
            self.assertTrue(end.is_whole or end.text)
