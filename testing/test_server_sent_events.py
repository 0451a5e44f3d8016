"""Tests the parser of server-sent events."""

import itertools
import time

from hypothesis import given
from hypothesis import strategies as st
import testtools

from fakes import scripted_socket
from mintcleat.domain import server_sent_events

STREAM = (
    b"id: 1\ndata: a\ndata:b\n\n"
    b": comment\nid:2\ndata: c\r\n\n"
    b"event: x\ndata\n\n"
    b"data:  two spaces\n\n"
    b"id: 3"
)
LINE_ENDS = (b"\n", b"\r\n", b"\r")
TEXT = st.binary(max_size=6).map(
    lambda text: text.replace(b"\r", b"x").replace(b"\n", b"y")
)


def events_of(parts: list[bytes]) -> tuple[list, bytes, bool]:
    """Returns the events, the bytes after them, and whether one is begun."""
    buffer = server_sent_events.EventBuffer()
    found = [event for part in parts for event in buffer.feed(part)]
    return found, buffer.rest, buffer.is_inside_event


class EventBufferTest(testtools.TestCase):
    def test_events_do_not_depend_on_where_reads_end(self) -> None:
        expected = [
            (b"id: 1\ndata: a\ndata:b\n\n", "1", b"a\nb", False),
            (b": comment\nid:2\ndata: c\r\n\n", "2", b"c", False),
            (b"event: x\ndata\n\n", "", b"", False),
            (b"data:  two spaces\n\n", "", b" two spaces", False),
        ]
        for parts in scripted_socket.splits(STREAM):
            buffer = server_sent_events.EventBuffer()
            events = [tuple(e) for part in parts for e in buffer.feed(part)]
            self.assertEqual(expected, events)
            self.assertEqual(b"id: 3", buffer.rest)

    def test_event_without_end_is_bounded(self) -> None:
        buffer = server_sent_events.EventBuffer()
        buffer.feed(b"x" * server_sent_events.MAX_EVENT_BYTES)
        self.assertRaises(server_sent_events.InvalidEvent, buffer.feed, b"x")

    def test_long_event_in_small_blocks_takes_little_time(self) -> None:
        for line in (b"data: a\r", b"data: a\r\n", b"data: a\n"):
            buffer = server_sent_events.EventBuffer()
            block = line * 128
            began = time.process_time()
            for _ in range(server_sent_events.MAX_EVENT_BYTES // len(block)):
                self.assertEqual([], buffer.feed(block))
            self.assertLess(time.process_time() - began, 2.0)

    def test_each_line_end_ends_lines_and_events(self) -> None:
        for line_end in LINE_ENDS:
            stream = b"id: 1\ndata: a\n\ndata: b\n\n".replace(b"\n", line_end)
            for parts in scripted_socket.splits(stream):
                found, rest, _ = events_of(parts)
                self.assertEqual(
                    [("1", b"a"), ("", b"b")],
                    [(event.id, event.data) for event in found],
                )
                raw = b"".join(event.raw for event in found)
                self.assertEqual(stream, raw + rest)

    @given(
        st.lists(
            st.tuples(TEXT, TEXT, st.sampled_from(LINE_ENDS)),
            min_size=1,
            max_size=4,
        ),
        st.lists(st.integers(0, 120), max_size=6),
    )
    def test_mixed_line_ends_lose_and_add_nothing(
        self, items: list[tuple[bytes, bytes, bytes]], cuts: list[int]
    ) -> None:
        stream = b"".join(
            b"id:%b%bdata:%b%b%b" % (number, end, text, end, end)
            for number, text, end in items
        )
        bounds = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
        parts = [stream[a:b] for a, b in itertools.pairwise(bounds)]
        found, rest, inside = events_of(parts)
        self.assertEqual(
            [text.removeprefix(b" ") for _, text, _ in items],
            [event.data for event in found if not event.is_empty],
        )
        raw = b"".join(event.raw for event in found)
        self.assertEqual(stream, raw + rest)
        self.assertFalse(inside)

    def test_part_of_an_event_is_told_from_empty_lines_and_comments(
        self,
    ) -> None:
        whole = b"id: 1\ndata: a\n\n"
        for line_end in LINE_ENDS:
            for stream, inside in (
                (whole, False),
                (whole + b"\n", False),
                (whole + b": bye\n", False),
                (whole + b": by", True),
                (whole + b"d", True),
                (whole + b"data: b\n", True),
                (whole + b": bye\nid: 2\n", True),
                (whole[:-1], True),
                (b"", False),
            ):
                found = events_of([stream.replace(b"\n", line_end)])
                self.assertEqual(inside, found[2], (stream, line_end))

    def test_comment_alone_is_no_event(self) -> None:
        found, _, _ = events_of([b": still here\n\nretry: 5\n\ndata:\n\n"])
        self.assertEqual([True, True, False], [e.is_empty for e in found])

    def test_byte_order_mark_is_no_part_of_the_first_field(self) -> None:
        stream = b"\xef\xbb\xbfid: 1\ndata: a\n\n"
        (event,), _, _ = events_of([stream])
        self.assertEqual((stream, "1"), (event.raw, event.id))

    def test_id_with_a_nul_is_ignored(self) -> None:
        # It could not be sent on in a header.
        (event,), _, _ = events_of([b"id: 1\0\ndata: a\n\n"])
        self.assertEqual("", event.id)
