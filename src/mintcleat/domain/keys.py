"""Customers' keys: what is kept of them, and how lines name them.

Nothing behind the edge holds a key as its customer sends it. A key is read
once and turned into its digest; manifests, messages, disks and memory hold
digests, so that a copy of any of them opens nothing.
"""

import hashlib

PREFIX = "digest:"
# A longer one is no key that any manifest takes.
LONGEST = 256
_BYTES = 16
_SHOWN = 8


def digest(key: str) -> str:
    """Returns the digest of a key as manifests hold it."""
    hashed = hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=_BYTES
    )
    return PREFIX + hashed.hexdigest()


def digest_from_fields(fields: list[str]) -> str:
    """Returns the digest of the key that a request carries; empty for none.

    A key in two header fields is none: proxies differ on which of them
    counts, and one customer must not speak for another.
    """
    if len(fields) != 1 or not 0 < len(fields[0]) <= LONGEST:
        return ""
    return digest(fields[0])


def as_digest(key: str) -> str:
    """Returns what a manifest holds of a key that an operator wrote.

    A manifest that was read back has digests in place of keys, and is pushed
    again as it is.
    """
    return key if is_digest(key) else digest(key)


def is_digest(key: str) -> bool:
    """Tells whether a text is a digest of a key."""
    shown = key.removeprefix(PREFIX)
    return (
        key.startswith(PREFIX)
        and len(shown) == 2 * _BYTES
        and all(letter in "0123456789abcdef" for letter in shown)
    )


def short_digest(held: str) -> str:
    """Returns the name of a key in lines and errors, from its digest."""
    return held.removeprefix(PREFIX)[:_SHOWN]
