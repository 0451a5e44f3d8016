"""Digests that address a program's history and tell requests apart."""

import struct

import xxhash

_LENGTH = struct.Struct(">I")

EMPTY = b""


def chain(previous: bytes, messages: list[str]) -> bytes:
    """Returns the digest of a history after one more turn.

    Each message is prefixed by its length, so that no two lists of messages
    give the same bytes.

    Args:
        previous: Digest up to the turn before; empty before the first turn.
        messages: JSON texts of the turn's messages.
    """
    hasher = xxhash.xxh3_128(previous)
    for message in messages:
        data = message.encode()
        hasher.update(_LENGTH.pack(len(data)))
        hasher.update(data)
    return hasher.digest()
