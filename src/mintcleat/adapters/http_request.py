"""Reads one WSGI request with limits on size and time."""

import json
from typing import Any

import eventlet

from mintcleat.domain import errors

MAX_BODY = 8 * 1024 * 1024
# A caller that sends its body slower than this holds a green thread and a
# socket for nothing; the sizes we take fit in it on a bad mobile line.
BODY_SECONDS = 30.0
_CHUNK = 64 * 1024

Environ = dict[str, Any]


def read_body(environ: Environ) -> bytes:
    """Returns the whole body.

    Raises:
        errors.TooLarge: It is over `MAX_BODY`.
        errors.BadRequest: It was cut short or came too slowly.
    """
    length = content_length(environ)
    if length is None:
        return read_chunked(environ)
    if length > MAX_BODY:
        raise errors.TooLarge(
            f"The body has {length} bytes and the limit is {MAX_BODY}."
        )
    if not length:
        return b""
    data = timed_read(environ, length)
    if len(data) < length:
        raise errors.BadRequest(
            f"The body ended after {len(data)} of {length} bytes."
        )
    return data


def content_length(environ: Environ) -> int | None:
    """Returns the declared length; None for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise errors.BadRequest(f"Content-Length {text[:20]!r} is no number.")
    return int(text)


def read_chunked(environ: Environ) -> bytes:
    """Returns a chunked body, within the same limits."""
    parts: list[bytes] = []
    size = 0
    while True:
        part = timed_read(environ, _CHUNK)
        if not part:
            return b"".join(parts)
        size += len(part)
        if size > MAX_BODY:
            raise errors.TooLarge(f"The body is over {MAX_BODY} bytes.")
        parts.append(part)


def timed_read(environ: Environ, size: int) -> bytes:
    """Reads up to `size` bytes within `BODY_SECONDS`."""
    try:
        with eventlet.Timeout(BODY_SECONDS):
            return environ["wsgi.input"].read(size)
    except eventlet.Timeout:
        raise errors.BadRequest(
            f"The body did not arrive within {BODY_SECONDS:.0f} s."
        ) from None
    except (OSError, ValueError) as error:
        raise errors.BadRequest(f"The body can't be read: {error}.") from None


def read_object(environ: Environ) -> dict[str, Any]:
    """Returns the body as a JSON object.

    Raises:
        errors.BadRequest: It is no JSON object.
    """
    try:
        value = json.loads(read_body(environ))
    except (ValueError, RecursionError) as error:
        raise errors.BadRequest(f"The body is no JSON: {error}.") from None
    if not isinstance(value, dict):
        raise errors.BadRequest("The body is no JSON object.")
    return value


def header(environ: Environ, name: str) -> str:
    """Returns a header's value or an empty text."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "").strip()


def number(text: str, name: str, kind: type = float) -> Any:
    """Returns a header's number; an empty text is 0."""
    if not text:
        return kind(0)
    try:
        value = kind(text)
    except ValueError:
        value = kind(-1)
    if not 0 <= value < float("inf"):
        raise errors.BadRequest(
            f"{name} must be a number from 0 on, not {text[:40]!r}."
        )
    return value


def typed(value: Any, name: str, kind: type, default: Any) -> Any:
    """Returns a JSON field of the given type, or its default when absent."""
    if value is None:
        return default
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
        raise errors.BadRequest(f"`{name}` must be a {kind.__name__}.")
    if kind in (int, float) and not 0 <= value < float("inf"):
        raise errors.BadRequest(f"`{name}` must not be negative.")
    return value
