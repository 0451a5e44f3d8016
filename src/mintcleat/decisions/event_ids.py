"""How the ids of the events of one software's streams follow one another.

Ids only have to increase, so a gap may be an upstream's own choice, or an event
that it has left out. A stream of which little is known yet is like the others
of its software. What teaches is the first step of a stream, and a gap that a
second upstream makes at the same place. A gap that nobody else makes teaches
nothing, as it is an event that was left out.
"""

import collections

# Recent streams of a software that count.
_RECENT = 32
# Streams from which on they tell what is usual, and the least part of them that
# has to be alike.
_MIN_STREAMS = 3
_MIN_PART = 0.75
# Software that is known at a time.
_MAX_SOFTWARE = 1024


class StreamIds:
    """The ids of the recent streams of one software.

    Attributes:
        steps: Whether the ids of a stream followed one another; latest last.
    """

    def __init__(self) -> None:
        self.steps: collections.deque[bool] = collections.deque(maxlen=_RECENT)

    def are_consecutive(self) -> bool:
        """Returns whether the ids of a stream usually follow one another."""
        return self._part_of(True) >= _MIN_PART

    def have_gaps(self) -> bool:
        """Returns whether many streams have gaps that upstreams agree on."""
        return self._part_of(False) > 1.0 - _MIN_PART

    def _part_of(self, is_step: bool) -> float:
        """Returns the part of the streams that are so; 0 if too few count."""
        total = len(self.steps)
        if total < _MIN_STREAMS:
            return 0.0
        return self.steps.count(is_step) / total


class KnownStreamIds:
    """The ids of all streams that an entry relays, by software.

    Attributes:
        known: By service and version, the one that was used last at the end.
    """

    def __init__(self) -> None:
        self.known: collections.OrderedDict[tuple[str, str], StreamIds] = (
            collections.OrderedDict()
        )

    def of(self, service: str, version: str) -> StreamIds:
        """Returns what is known of a software's streams."""
        ids = self.known.setdefault((service, version), StreamIds())
        self.known.move_to_end((service, version))
        if len(self.known) > _MAX_SOFTWARE:
            self.known.popitem(last=False)
        return ids
