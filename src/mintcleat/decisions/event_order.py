"""Decides which events of an upstream may be added to a stream.

The ids of a stream's events increase. An upstream that is asked to go on after
an event may replay the stream, begin it anew or send an event again. Callers
can't tell such events from those that belong there, and what two runs generated
doesn't fit together.
"""

import enum

from mintcleat.domain import server_sent_events


class Place(enum.Enum):
    """Where an event belongs in its stream.

    Attributes:
        NEXT: After all events before it.
        REPEATED: It is the last event once more, byte for byte.
        EARLIER: Its id isn't above that of the last event.
    """

    NEXT = "next"
    REPEATED = "repeated"
    EARLIER = "earlier"


class EventOrder:
    """The order of one stream's events.

    Ids are compared only if all of them are numbers: nothing is known of the
    order of others.

    Attributes:
        last: The last event with an id; None for none, or if only its id is
            known.
        last_number: Number of the last event; None for none.
        is_numbered: Whether all ids of events were numbers.
        is_repeated: Whether the last event has been repeated.
    """

    def __init__(self, last_id: str = "") -> None:
        """Initializes the order of events after the one with an id."""
        self.last: bytes | None = None
        self.last_number = _number(last_id)
        self.is_numbered = True
        self.is_repeated = False

    def place(self, event: server_sent_events.Event) -> Place:
        """Returns where an event belongs.

        A second repetition counts as `EARLIER`, as there might be no end to
        them.
        """
        if not event.id or not self.is_numbered or self.last_number is None:
            return Place.NEXT
        number = _number(event.id)
        if number is None or number > self.last_number:
            return Place.NEXT
        if event.raw == self.last and not self.is_repeated:
            return Place.REPEATED
        return Place.EARLIER

    def add(self, event: server_sent_events.Event) -> None:
        """Records an event that is added to the stream."""
        if not event.id or not self.is_numbered:
            return
        number = _number(event.id)
        if number is None:
            self.is_numbered = False
        self.last, self.last_number = event.raw, number
        self.is_repeated = False

    def skip(self) -> None:
        """Records that the last event was repeated."""
        self.is_repeated = True


def _number(text: str) -> tuple[int, str] | None:
    """Returns a number that compares as its value does; None if it is none.

    An id may have more digits than Python converts to an int.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    return len(digits), digits
