"""Strict decoding of JSON that the platform's operators send.

msgspec takes the last of repeated keys, and nested objects can exceed the
stack of the green thread that decodes them.
"""

import collections
import decimal
import json
import math
import re
import reprlib
from typing import Any

# Far below the limit on recursion, far above what any configuration needs.
MAX_DEPTH = 100
_EXACT_FLOAT = 2.0**53
_MAX_EXACT_CHARS = 400
_STRUCTURE = b'[]{}"'
_OTHER_BYTES = bytes(set(range(256)) - set(_STRUCTURE))
_STRING = re.compile(rb'"[^"]*"')
_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")


class InvalidJson(Exception):
    """A text that can't be read in full and in one way only."""


def decode(body: bytes) -> Any:
    """Returns the value of a JSON text in UTF-8.

    Numbers without a fraction are integers, however they are written.

    Raises:
        InvalidJson: The text isn't JSON or UTF-8, repeats a key of an object,
            is nested deeper than `MAX_DEPTH`, or has a number that isn't
            finite.
    """
    if _is_too_deep(body):
        raise InvalidJson(f"must be nested at most {MAX_DEPTH} deep")
    try:
        text = body.decode()
        value = json.loads(
            text,
            object_pairs_hook=_object,
            parse_int=_integer,
            parse_float=_number,
            parse_constant=_refuse_constant,
        )
        if _SURROGATE.search(text):
            # Half of a surrogate pair can't be encoded again.
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise InvalidJson(
            f"must be valid JSON in UTF-8: {_without_content(error)}"
        ) from None
    return value


def _is_too_deep(body: bytes) -> bool:
    """Returns whether arrays and objects are nested deeper than allowed."""
    unescaped = body.replace(b"\\\\", b"").replace(b'\\"', b"")
    marks = _STRING.sub(b"", unescaped.translate(None, _OTHER_BYTES))
    depth = 0
    for mark in marks:
        if mark in b"[{":
            depth += 1
            if depth > MAX_DEPTH:
                return True
        elif mark in b"]}":
            depth -= 1
    return False


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        counts = collections.Counter(name for name, _ in pairs)
        repeated = counts.most_common(1)[0][0]
        raise InvalidJson(
            "must not repeat a key of an object, but has "
            f"{reprlib.repr(repeated)} more than once"
        )
    return fields


def _integer(text: str) -> int:
    _finite(text)
    return int(text)


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise InvalidJson(
            f"must have finite numbers only, but has {reprlib.repr(text)}"
        )
    return value


def _number(text: str) -> int | float:
    value = _finite(text)
    if not value.is_integer():
        return value
    # Above 2**53, the float may be another integer than the one written.
    if abs(value) <= _EXACT_FLOAT or len(text) > _MAX_EXACT_CHARS:
        return int(value)
    return int(decimal.Decimal(text))


def _refuse_constant(text: str) -> None:
    raise InvalidJson(f"must have finite numbers only, but has {text}")


def _without_content(error: Exception) -> str:
    """Returns what an error says without the text that it concerns."""
    if isinstance(error, UnicodeError):
        return f"{error.reason} at position {error.start}"
    return str(error)
