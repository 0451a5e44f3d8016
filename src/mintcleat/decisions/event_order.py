"""Decides which events of an upstream may be added to a stream.

The ids of a stream's events increase. An upstream that is asked to go on after
an event may replay the stream, begin it anew or send an event again. Callers
can't tell such events from those that belong there, and what two runs generated
doesn't fit together. An upstream may also leave an event out. Where ids follow
one another, a gap shows that, and is as a break at that place.
"""

import enum

from mintcleat.decisions import event_ids
from mintcleat.domain import server_sent_events


class Place(enum.Enum):
    """Where an event belongs in its stream.

    Attributes:
        NEXT: After all events before it.
        REPEATED: It is the last event once more, byte for byte.
        EARLIER: Its id isn't above that of the last event.
        LATER: Events between the last one and it are missing.
    """

    NEXT = "next"
    REPEATED = "repeated"
    EARLIER = "earlier"
    LATER = "later"


# A number that compares as its value does: its digits without leading zeros,
# after how many they are. An id may have more than Python converts to an int.
_Number = tuple[int, str]
# Steps of 1 from which a stream's ids count as consecutive, whatever is usual;
# one may be chance. Ids of other streams may have gaps, which mean nothing.
MIN_STEPS = 2
# Numbers of more digits aren't converted, and not looked at for gaps.
_MAX_DIGITS = 18


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
        steps: Events whose ids were one above those before them; -1 once there
            was a gap.
        usual: The ids of the other streams of the same software.
        doubted: Number that came after a gap in an earlier attempt; None for
            none.
    """

    def __init__(self, last_id: str = "") -> None:
        """Initializes the order of events after the one with an id."""
        self.last: bytes | None = None
        self.last_number = _number(last_id)
        self.is_numbered = True
        self.is_repeated = False
        self.steps = 0
        self.usual = event_ids.StreamIds()
        self.doubted: _Number | None = None

    def begin_attempt(self, usual: event_ids.StreamIds) -> None:
        """Records what is known of the software of the next attempt."""
        self.usual = usual

    def place(self, event: server_sent_events.Event) -> Place:
        """Returns where an event belongs.

        A second repetition counts as `EARLIER`, as there might be no end to
        them.
        """
        number = _number(event.id)
        if number is None or not self.is_numbered:
            return Place.NEXT
        if self.last_number is None:
            return Place.NEXT
        if number > self.last_number:
            return Place.LATER if self._skips(number) else Place.NEXT
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
        else:
            self._count(number)
        self.last, self.last_number = event.raw, number
        self.is_repeated = False

    def reject(self, event: server_sent_events.Event) -> None:
        """Records an event that came after a gap.

        If another upstream goes on with it too, nothing was left out.
        """
        self.doubted = _number(event.id)

    def _count(self, number: _Number) -> None:
        """Counts the steps of the stream, and what they say of its software."""
        is_step = _is_next(self.last_number, number)
        if number == self.doubted and not is_step:
            self.usual.steps.append(False)
        elif self.last is not None and self.steps == 0:
            self.usual.steps.append(is_step)
        if self.last is not None and self.steps >= 0:
            self.steps = self.steps + 1 if is_step else -1
        self.doubted = None

    def _skips(self, number: _Number) -> bool:
        """Returns whether an upstream has left events out before a number."""
        if _is_next(self.last_number, number) or number == self.doubted:
            return False
        if self.steps >= MIN_STEPS:
            return not self.usual.have_gaps()
        return self.steps >= 0 and self.usual.are_consecutive()

    def skip(self) -> None:
        """Records that the last event was repeated."""
        self.is_repeated = True


def _number(text: str) -> _Number | None:
    """Returns a number that compares as its value does; None if it is none.

    An id may have more digits than Python converts to an int.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    return len(digits), digits


def _is_next(last: _Number | None, number: _Number) -> bool:
    """Returns whether a number is, or may be, one above another."""
    if last is None:
        return False
    if number[0] > _MAX_DIGITS:
        return True
    return int(number[1] or "0") == int(last[1] or "0") + 1
