"""Digests of customers' API keys.

An entry replaces a key by its digest as soon as it has read it. Manifests,
messages, disks and memory hold digests only, so that a copy of any of them
gives no access.
"""

import hashlib

PREFIX = "digest:"
# Characters; a request with a longer key counts as one without a key.
MAX_KEY_LENGTH = 16 * 1024
_DIGEST_BYTES = 16
_SHORT_DIGITS = 8


def digest(key: str) -> str:
    """Returns the digest of a key in the form used in manifests."""
    hashed = hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES
    )
    return PREFIX + hashed.hexdigest()


def digest_from_fields(fields: list[str]) -> str:
    """Returns the digest of a request's key; empty if it has no valid key.

    A request with several key fields has no valid key. Proxies differ on
    which field they use, so a caller could act as another customer.

    Args:
        fields: Values of all header fields that carry a key, with a character
            for each byte, as headers are read.
    """
    if len(fields) != 1 or not 0 < len(fields[0]) <= MAX_KEY_LENGTH:
        return ""
    sent = fields[0].encode("latin-1", "surrogateescape")
    return digest(sent.decode("utf-8", "surrogateescape"))


def as_digest(key: str) -> str:
    """Returns the digest of a key; a digest is returned unchanged.

    A manifest that was read from control holds digests in place of keys, and
    may be pushed again as it is.
    """
    return key if is_digest(key) else digest(key)


def is_digest(key: str) -> bool:
    """Returns whether a text is the digest of a key."""
    digits = key.removeprefix(PREFIX)
    return (
        key.startswith(PREFIX)
        and len(digits) == 2 * _DIGEST_BYTES
        and all(letter in "0123456789abcdef" for letter in digits)
    )


def short_digest(full: str) -> str:
    """Returns the abbreviated digest that logs and errors show."""
    return full.removeprefix(PREFIX)[:_SHORT_DIGITS]
