"""Short digests packed into one byte string.

A program has hundreds of turns; a list of keys would cost a hundred bytes
each. Two of a program's keys share 8 bytes once in some 10 ** 14 programs,
and then a call is refused that could have run, never the reverse.
"""

import xxhash

SIZE = 8


def of_key(key: str) -> bytes:
    """Returns the short digest of an idempotency key."""
    return xxhash.xxh3_64_digest(key.encode())


def of_digest(digest: bytes) -> bytes:
    """Returns the short form of a request's digest."""
    return digest[:SIZE].ljust(SIZE, b"\0")


def count(packed: bytes, prefix: bytes) -> int:
    """Returns how often a short digest is among those packed.

    Most are not there at all, which one search over the bytes tells; only
    what it finds may lie across two digests and is counted one by one.
    """
    if prefix not in packed:
        return 0
    return sum(
        packed.startswith(prefix, start)
        for start in range(0, len(packed), SIZE)
    )
