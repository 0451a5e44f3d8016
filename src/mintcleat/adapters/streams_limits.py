"""Limits of streams."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits of streams; sizes in bytes, times in seconds.

    Attributes:
        message: Maximum message size, sent or received.
        window: Flow control window: bytes on one exchange that its reader has
            not consumed. A message may be larger than what is left of it.
        queued: Bytes in a connection's send queue from which senders block.
        exchanges: Open exchanges of one connection, of both sides, at which the
            peer may not open another.
        connections: Maximum number of accepted connections.
        heartbeat: Time without sending after which a heartbeat is sent.
        silence_timeout: Time without receiving a byte after which the
            connection is closed.
        connect_timeout: Time within which a connection must be established.
    """

    message: int = 64 * 1024 * 1024
    window: int = 256 * 1024
    queued: int = 1024 * 1024
    exchanges: int = 16384
    connections: int = 16384
    heartbeat: float = 2.0
    silence_timeout: float = 6.0
    connect_timeout: float = 2.0
