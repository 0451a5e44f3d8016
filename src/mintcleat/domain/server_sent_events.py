"""Parser of server-sent events."""

import re
from typing import NamedTuple

# A stream with a larger event is taken for invalid.
MAX_EVENT_BYTES = 1024 * 1024
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# The end of a line and an empty line, which end an event. Lines end with LF,
# CR LF or CR, also mixed. A CR at the end of what has arrived ends the empty
# line already: if its LF follows, it comes before the next event.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
_MAX_EVENT_END_BYTES = 4
_LINE_ENDS = (b"\n", b"\r")


class Event(NamedTuple):
    """A server-sent event.

    Attributes:
        raw: Bytes of the event, including the blank line at its end.
        id: Value of the id field; empty for none.
        data: Data lines, joined by line feeds.
        is_empty: Whether it has neither data nor an id, as a comment that only
            keeps the connection open.
    """

    raw: bytes
    id: str
    data: bytes
    is_empty: bool = False


class InvalidEvent(Exception):
    """An event that is too long, or is more than its stream may have."""


class EventOutOfOrder(InvalidEvent):
    """An event whose id isn't above that of the event before it."""


class EventBuffer:
    """Collects bytes and returns complete events.

    A stream may break within an event. If a part of an event had been
    forwarded, the stream could not be resumed at another upstream.

    Attributes:
        rest: Bytes after the last complete event.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.at_start = True

    @property
    def is_inside_event(self) -> bool:
        """Whether `rest` is a part of an event.

        Empty lines and whole comments belong to no event.
        """
        return any(
            line.strip(b"\r\n")
            and not (line.startswith(b":") and line.endswith(_LINE_ENDS))
            for line in self.rest.splitlines(keepends=True)
        )

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are complete after these bytes.

        Raises:
            InvalidEvent: An event exceeds `MAX_EVENT_BYTES`.
        """
        received = self.rest + data if self.rest else data
        # The rest has no end of an event, but may have the first bytes of one.
        # Searching all of it again would take time with the square of its size.
        position = max(0, len(self.rest) - _MAX_EVENT_END_BYTES + 1)
        complete = []
        start = 0
        # Streams without a CR, which are the rule, need no pattern.
        if b"\r" in received:
            for match in _EVENT_END.finditer(received, position):
                complete.append(received[start : match.end()])
                start = match.end()
        else:
            while (end := received.find(b"\n\n", position)) >= 0:
                complete.append(received[start : end + 2])
                start = position = end + 2
        self.rest = received[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise InvalidEvent(
                f"A server-sent event exceeds {MAX_EVENT_BYTES} bytes."
            )
        events = [_parse(raw) for raw in complete]
        if events and self.at_start:
            self.at_start = False
            if complete[0].startswith(_BYTE_ORDER_MARK):
                first = _parse(complete[0].removeprefix(_BYTE_ORDER_MARK))
                events[0] = first._replace(raw=complete[0])
        return events


def _parse(raw: bytes) -> Event:
    """Returns the event with these bytes."""
    event_id = ""
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"data":
            data.append(value.removeprefix(b" "))
        elif name == b"id" and b"\0" not in value:
            event_id = value.removeprefix(b" ").decode("latin-1")
    return Event(raw, event_id, b"\n".join(data), not (data or event_id))
