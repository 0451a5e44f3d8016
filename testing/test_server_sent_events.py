"""Tests the parser of server-sent events."""

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


class EventBufferTest(testtools.TestCase):
    def test_events_do_not_depend_on_where_reads_end(self) -> None:
        expected = [
            (b"id: 1\ndata: a\ndata:b\n\n", "1", b"a\nb"),
            (b": comment\nid:2\ndata: c\r\n\n", "2", b"c"),
            (b"event: x\ndata\n\n", "", b""),
            (b"data:  two spaces\n\n", "", b" two spaces"),
        ]
        for parts in scripted_socket.splits(STREAM):
            buffer = server_sent_events.EventBuffer()
            events = [tuple(e) for part in parts for e in buffer.feed(part)]
            self.assertEqual(expected, events)
            self.assertEqual(b"id: 3", buffer.rest)

    def test_event_without_end_is_bounded(self) -> None:
        buffer = server_sent_events.EventBuffer()
        buffer.feed(b"x" * server_sent_events.MAX_EVENT_BYTES)
        self.assertRaises(ValueError, buffer.feed, b"x")
