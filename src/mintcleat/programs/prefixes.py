"""Short digests, packed into one byte string to save memory.

A program has hundreds of turns, and a list of their keys would take about a
hundred bytes per key. Two keys of a program have the same short digest in about
one of 10**14 programs. A call that could have run is then refused; a collision
never lets a call run twice.
"""

import xxhash

PREFIX_BYTES = 8


def of_key(key: str) -> bytes:
    """Returns the short digest of an idempotency key."""
    return xxhash.xxh3_64_digest(key.encode())


def of_digest(digest: bytes) -> bytes:
    """Returns the short digest of a request, given its full digest."""
    return digest[:PREFIX_BYTES].ljust(PREFIX_BYTES, b"\0")


def count(packed: bytes, prefix: bytes) -> int:
    """Returns how often a short digest occurs among those packed.

    Most do not occur, which a single search over the bytes shows. A match may
    lie across two digests, so matches are then counted digest by digest.
    """
    if prefix not in packed:
        return 0
    return sum(
        packed.startswith(prefix, start)
        for start in range(0, len(packed), PREFIX_BYTES)
    )
