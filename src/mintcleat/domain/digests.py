"""Digests of program histories."""

import struct

import xxhash

_LENGTH = struct.Struct(">I")

# Digest of a history without turns.
EMPTY = b""


def chain(previous: bytes, messages: list[str]) -> bytes:
    """Returns the digest of a history that is extended by one turn.

    The digests form a hash chain: each covers its turn and all turns before
    it. Each message is prefixed by its length, so that different lists of
    messages never hash the same bytes.

    Args:
        previous: Digest of the history before the turn; `EMPTY` for the first
            turn.
        messages: JSON texts of the turn's messages.

    Returns:
        A digest of 16 bytes.
    """
    hasher = xxhash.xxh3_128(previous)
    for message in messages:
        data = message.encode()
        hasher.update(_LENGTH.pack(len(data)))
        hasher.update(data)
    return hasher.digest()
