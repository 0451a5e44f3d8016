"""Encoding of messages as msgpack arrays `[tag, fields...]`.

Decoding checks the fields against the types of the message, so that an
invalid message from a peer closes the connection and does no other harm.
"""

from typing import Any

import msgpack
import msgspec

from mintcleat.domain import errors
from mintcleat.domain import messages

_TAG_OF = {kind: tag for tag, kind in messages.TAGS.items()}
# Defaults of the optional fields, the last one first, by message type.
_OPTIONAL_DEFAULTS = {
    kind: [
        kind._field_defaults[name] for name in kind._fields[: -count - 1 : -1]
    ]
    for kind, count in messages.OPTIONAL_FIELDS.items()
}


def encode(message: Any) -> bytes:
    """Returns a message as bytes."""
    return msgpack.packb(to_wire(message), use_bin_type=True)


def to_wire(message: Any) -> list[Any]:
    """Returns a message as `[tag, fields...]`, nested messages as tuples.

    Optional fields at the end (`messages.OPTIONAL_FIELDS`) are left out as long
    as they have their defaults.
    """
    kind = type(message)
    items = [_TAG_OF[kind], *message]
    for default in _OPTIONAL_DEFAULTS.get(kind, ()):
        if items[-1] != default:
            break
        items.pop()
    return items


def decode(data: bytes) -> Any:
    """Returns the message that `encode` turned into these bytes.

    Raises:
        errors.BadRequest: The bytes are not a valid message of a known kind.
    """
    try:
        items = msgpack.unpackb(data, raw=False, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise errors.BadRequest(
            f"A peer sent invalid msgpack: {error}."
        ) from error
    return from_wire(items)


def from_wire(items: Any) -> Any:
    """Returns the message for `[tag, fields...]`.

    Raises:
        errors.BadRequest: The tag is unknown or a field has the wrong type.
    """
    if not isinstance(items, list) or not items:
        raise errors.BadRequest("A peer sent a message without a tag.")
    kind = messages.TAGS.get(items[0])
    if kind is None:
        raise errors.BadRequest(
            f"A peer sent a message with the unknown tag {items[0]!r}."
        )
    try:
        return msgspec.convert(items[1:], kind)
    except msgspec.ValidationError as error:
        raise errors.BadRequest(
            f"A peer sent an invalid {kind.__name__}: {error}."
        ) from error
