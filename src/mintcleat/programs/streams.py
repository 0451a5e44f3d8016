"""Origins of streams that callers may take up, as part of a group's state.

A caller whose stream broke off comes to any entry with the request that brought
its first event. The entry that relayed it may have ended, so the origin is in
the log. It never changes: the first record of a stream counts. Later ones, of
its take-ups, prolong the time for which it is kept.
"""

import collections
import itertools
import math
from typing import Any
from typing import NamedTuple

from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.domain import stream_origins

# Added to the time for which an entry says that a stream can be taken up: a
# caller counts from later, and a new leader's clock starts at the last command.
SLACK_SECONDS = 5.0
# Expired streams that one record deletes; more than it adds, so that the rest
# goes too, and few enough not to stall the event loop.
DELETIONS = 8
# Memory of a record beside its names.
RECORD_BYTES = 320
# Stands for the origin of a request that has brought streams of several.
AMBIGUOUS = stream_origins.StreamOrigin("", "")


class StreamKey(NamedTuple):
    """Names a stream by the request that brought its first event.

    A caller can only take up streams of its own customer and program.
    """

    customer: str
    program: str
    request: str


class Streams:
    """Begun streams of one group.

    Attributes:
        begun: Origin and expiry of each stream; the expiry is a whole second of
            the group's clock.
        due: The streams by expiry, in the order of their records; `begun` has
            the same order.
        due_bytes: Size of these records by expiry.
    """

    def __init__(self) -> None:
        self.begun: dict[
            StreamKey, tuple[stream_origins.StreamOrigin, int]
        ] = {}
        self.due: dict[int, dict[StreamKey, None]] = {}
        self.due_bytes: collections.Counter[int] = collections.Counter()

    def record(
        self, request: program_messages.RecordStream, clock: float
    ) -> identities.Done:
        """Records the origin of a stream, or that it goes on.

        A stream that is taken up again and again may last far longer than one
        request, and its caller may name the first one each time.

        A caller that uses one id for two streams may have begun them at two
        versions. Which one it will take up can't be known, so that neither
        record counts.
        """
        self._forget(clock)
        key = StreamKey(request.customer, request.program, request.request)
        origin = request.stream.origin
        until = math.ceil(clock + request.stream.seconds + SLACK_SECONDS)
        known = self.begun.get(key)
        if known is not None:
            origin = origin if origin == known[0] else AMBIGUOUS
            until = max(until, known[1])
            if (origin, until) == known:
                return identities.Done()
            self._remove(key)
        self._add(key, origin, until)
        return identities.Done()

    def find(
        self, request: program_messages.FindStream, clock: float
    ) -> program_messages.StreamFound:
        """Returns the origin of a stream, if it is recorded."""
        key = StreamKey(request.customer, request.program, request.request)
        origin, until = self.begun.get(key, (None, 0))
        return program_messages.StreamFound(origin if until > clock else None)

    def size(self, clock: float) -> int:
        """Returns the bytes of the records that have not expired.

        Each new record deletes more expired ones than it adds.
        """
        return sum(
            size for until, size in self.due_bytes.items() if until > clock
        )

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        return [
            [*key, *origin, until]
            for key, (origin, until) in self.begun.items()
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        self.__init__()
        for customer, program, request, service, version, until in state:
            key = StreamKey(customer, program, request)
            origin = stream_origins.StreamOrigin(service, version)
            self._add(key, origin, until)

    def _add(
        self,
        key: StreamKey,
        origin: stream_origins.StreamOrigin,
        until: int,
    ) -> None:
        self.begun[key] = (origin, until)
        self.due.setdefault(until, {})[key] = None
        self.due_bytes[until] += _size_of(key, origin)

    def _remove(self, key: StreamKey) -> None:
        origin, until = self.begun.pop(key)
        del self.due[until][key]
        self.due_bytes[until] -= _size_of(key, origin)
        if not self.due[until]:
            del self.due[until]
            del self.due_bytes[until]

    def _forget(self, clock: float) -> None:
        """Deletes expired streams, up to `DELETIONS` of them."""
        left = DELETIONS
        for until in sorted(self.due):
            if until > clock:
                return
            for key in list(itertools.islice(self.due[until], left)):
                self._remove(key)
                left -= 1
            if not left:
                return


def _size_of(key: StreamKey, origin: stream_origins.StreamOrigin) -> int:
    """Returns the bytes of memory that a record takes, by estimate."""
    return RECORD_BYTES + sum(len(name) for name in (*key, *origin))
