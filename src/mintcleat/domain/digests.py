"""Digests of program histories and of requests."""

import hashlib
import struct

import xxhash

from mintcleat.domain import routed_calls

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


def of_call(call: routed_calls.RoutedCall) -> bytes:
    """Returns a digest that all repetitions of a request share.

    A repetition has the same customer, method, host, path, query, previous turn
    and body. What differs between repetitions is left out: the request's id,
    its deadline, its program, and header fields, which name the client's
    software rather than the work.

    Requests are refused by this digest, so it is a cryptographic one: nobody
    can make a request that has the digest of another.

    Returns:
        A digest of 16 bytes.
    """
    hasher = hashlib.blake2b(digest_size=16)
    head = (
        call.customer,
        call.method,
        call.host,
        call.target,
        call.program.previous,
    )
    for text in head:
        data = text.encode()
        hasher.update(_LENGTH.pack(len(data)))
        hasher.update(data)
    hasher.update(call.body)
    return hasher.digest()
