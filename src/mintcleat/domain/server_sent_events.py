"""Server-sent events, cut out of a byte stream whole."""

from typing import NamedTuple

# A stream whose events are larger than this is none.
MAX_EVENT = 1024 * 1024


class Event(NamedTuple):
    """One event.

    Attributes:
        raw: Its bytes, the blank line at its end included.
        id: Value of its id field; empty for none.
        data: Its data lines, joined by line feeds.
    """

    raw: bytes
    id: str
    data: bytes


class EventBuffer:
    """Collects bytes and returns whole events.

    A stream may break within an event. Passed on in pieces, half an event
    could not be taken back when the stream goes on elsewhere.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now.

        Raises:
            ValueError: An event is over its size limit.
        """
        *whole, self.rest = (self.rest + data).split(b"\n\n")
        if len(self.rest) > MAX_EVENT:
            raise ValueError(f"An event of over {MAX_EVENT} bytes.")
        return [_parse(raw + b"\n\n") for raw in whole]


def _parse(raw: bytes) -> Event:
    found = ""
    data = []
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ").removesuffix(b"\r")
        if name == b"id":
            found = value.decode("latin-1")
        elif name == b"data":
            data.append(value)
    return Event(raw, found, b"\n".join(data))
