"""Which version of software began a stream: one fact for all who continue it.

What two versions of an upstream's software generate doesn't fit together, and
upstreams don't check it. So a stream may only go on at the version that made
its first event.
"""

import enum
from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """The software that made the first event of a stream.

    Attributes:
        service: Service that runs the request.
        version: Version of the upstream's software, as it registered.
    """

    service: str
    version: str


class Source(enum.Enum):
    """How the origin of a stream is known.

    Attributes:
        OWN: This entry has relayed, or is about to relay, its first event.
        RECORDED: A program group has a record of it.
        ONLY: The service has had no other version since the stream can have
            begun.
    """

    OWN = "own"
    RECORDED = "recorded"
    ONLY = "only"


class KnownOrigin(NamedTuple):
    """The origin of a stream, and how it is known."""

    origin: StreamOrigin
    source: Source

    def allows(self, service: str, version: str) -> bool:
        """Returns whether the stream may go on at this software."""
        return self.origin == StreamOrigin(service, version)
