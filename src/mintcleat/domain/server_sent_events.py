"""Parser of server-sent events."""

from typing import NamedTuple

# A stream with a larger event is taken for invalid.
MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """A server-sent event.

    Attributes:
        raw: Bytes of the event, including the blank line at its end.
        id: Value of the id field; empty for none.
        data: Data lines, joined by line feeds.
    """

    raw: bytes
    id: str
    data: bytes


class EventBuffer:
    """Collects bytes and returns complete events.

    A stream may break within an event. If a part of an event had been
    forwarded, the stream could not be resumed at another upstream.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are complete after these bytes.

        Raises:
            ValueError: An event exceeds `MAX_EVENT_BYTES`.
        """
        *complete, self.rest = (self.rest + data).split(b"\n\n")
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError(
                f"A server-sent event exceeds {MAX_EVENT_BYTES} bytes."
            )
        return [_parse(lines) for lines in complete]


def _parse(lines: bytes) -> Event:
    """Returns the event with these lines, without the blank line."""
    event_id = ""
    data = []
    for line in lines.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"data":
            data.append(value.removeprefix(b" ").removesuffix(b"\r"))
        elif name == b"id":
            value = value.removeprefix(b" ").removesuffix(b"\r")
            event_id = value.decode("latin-1")
    return Event(lines + b"\n\n", event_id, b"\n".join(data))
