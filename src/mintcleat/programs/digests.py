"""Rolling digest of a program's history."""

from collections.abc import Iterable

import xxhash

EMPTY = bytes(16)


def roll(previous: bytes, messages: Iterable[str]) -> bytes:
    """Returns the digest after a turn.

    Each text goes in with its length, so that moving a character from one
    message to its neighbour gives another digest.

    Args:
        previous: Digest after the turn before, `EMPTY` before the first.
        messages: JSON texts of the turn, the answer last.
    """
    state = xxhash.xxh3_128(previous)
    for message in messages:
        data = message.encode()
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.digest()
