"""Digests of program histories and of requests."""

from collections.abc import Iterable
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
    _add_texts(hasher, head)
    hasher.update(call.body)
    return hasher.digest()


def of_object(call: routed_calls.RoutedCall) -> bytes:
    """Returns a digest that all requests for one object share.

    They have the same customer, method, host and path. Query, previous turn and
    body are left out: callers send different content to one object.

    Returns:
        A digest of 16 bytes, which is none of `of_call`.
    """
    hasher = hashlib.blake2b(digest_size=16, person=b"object")
    path, _, _ = call.target.partition("?")
    _add_texts(hasher, (call.customer, call.method, call.host, path))
    return hasher.digest()


def _add_texts(hasher: hashlib.blake2b, texts: Iterable[str]) -> None:
    for text in texts:
        data = text.encode()
        hasher.update(_LENGTH.pack(len(data)))
        hasher.update(data)
