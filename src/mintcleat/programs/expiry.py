"""Keys in the order in which they expire.

Turns and accounts are renewed all the time and kept for different times, so the
order in which they were renewed is not that in which they expire.
"""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

Key = TypeVar("Key")


class ExpiryIndex(Generic[Key]):
    """Finds expired keys without walking the others.

    Replicas whose index was built in another order, such as after a snapshot,
    find the same keys in the same order.

    Attributes:
        by_second: Expiry of each key; the keys are grouped by the whole second
            of their expiry.
    """

    def __init__(self) -> None:
        self.by_second: dict[int, dict[Key, float]] = {}

    def add(self, key: Key, expires: float) -> None:
        """Adds a key that expires at a group clock."""
        self.by_second.setdefault(int(expires), {})[key] = expires

    def move(self, key: Key, before: float, expires: float) -> None:
        """Changes the expiry of a key from `before` to `expires`."""
        self.remove(key, before)
        self.add(key, expires)

    def remove(self, key: Key, expires: float) -> None:
        """Removes a key that expires at a group clock."""
        second = int(expires)
        keys = self.by_second[second]
        del keys[key]
        if not keys:
            del self.by_second[second]

    def has_expired(self, clock: float) -> bool:
        """Returns whether any key has expired."""
        second = min(self.by_second, default=None)
        return second is not None and (
            second < int(clock) or min(self.by_second[second].values()) < clock
        )

    def expired(self, clock: float, limit: int) -> list[Key]:
        """Returns expired keys, the earliest first.

        Args:
            clock: Group clock.
            limit: Maximum number of keys.
        """
        found: list[Key] = []
        for second in sorted(self.by_second):
            if second > int(clock) or len(found) >= limit:
                break
            keys = self.by_second[second]
            found.extend(
                key
                for expires, key in sorted(
                    (expires, key) for key, expires in keys.items()
                )
                if expires < clock
            )
        return found[:limit]

    def in_order(self) -> Iterator[tuple[Key, float]]:
        """Yields keys with their expiry, ordered by its whole second."""
        for second in sorted(self.by_second):
            yield from self.by_second[second].items()
