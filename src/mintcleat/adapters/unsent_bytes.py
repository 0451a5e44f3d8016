"""Bounds the bytes of responses that wait for slow callers."""

from typing import Any

# Assumed if the memory limit of the process is unknown.
DEFAULT_LIMIT = 64 * 1024 * 1024


class UnsentBytes:
    """Counts bytes that could not be sent yet, over all connections.

    The bound of one connection follows from its handler: it writes no further
    bytes before the last ones are sent.

    Attributes:
        limit: Maximum of `total`.
        total: Bytes that wait now.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.total = 0
        self.sizes: dict[Any, int] = {}

    def set(self, connection: Any, size: int) -> Any:
        """Records what waits for a connection; 0 for nothing.

        Returns:
            The connection whose response must be ended, because the total
            exceeds the limit and it has most of it; None for none.
        """
        self.total += size - self.sizes.pop(connection, 0)
        if not size:
            return None
        self.sizes[connection] = size
        if self.total <= self.limit:
            return None
        return max(self.sizes, key=self.sizes.__getitem__)
