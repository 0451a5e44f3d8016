"""Bounds the bytes of responses that wait for slow callers."""

import fcntl
import struct
import termios
from typing import Any

_INT = struct.Struct("i")
# Assumed if the memory limit of the process is unknown.
DEFAULT_LIMIT = 64 * 1024 * 1024


class UnsentBytes:
    """Counts bytes that could not be sent yet, over all connections.

    The bound of one connection follows from its handler: it writes no further
    bytes before the last ones are sent.

    Attributes:
        limit: Maximum of `total`.
        total: Bytes that wait now.
        sizes: Bytes that wait, by connection; without those of 0 bytes.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.total = 0
        self.sizes: dict[Any, int] = {}

    def set(self, connection: Any, size: int) -> Any:
        """Records what waits for a connection; 0 for nothing.

        Returns:
            If the total exceeds the limit, the connection with the most bytes,
            whose response must be ended; otherwise None.
        """
        self.total += size - self.sizes.pop(connection, 0)
        if not size:
            return None
        self.sizes[connection] = size
        if self.total <= self.limit:
            return None
        return max(self.sizes, key=self.sizes.__getitem__)


def in_kernel(descriptor: int) -> int:
    """Returns the bytes of a TCP socket that its peer hasn't acknowledged.

    Returns:
        Their number; 0 if the platform doesn't tell.
    """
    try:
        found = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(found)[0])
