"""Reading of WSGI requests, with limits on size and time."""

import json
import time
from typing import Any

import eventlet

from mintcleat.domain import errors

MAX_BODY_BYTES = 8 * 1024 * 1024
# Bounds how long a slow caller occupies a green thread and a socket. A body of
# the maximum size arrives within it even over a slow mobile connection.
BODY_TIMEOUT_SECONDS = 30.0
_READ_BYTES = 64 * 1024
# Key of the `BodyBytes` of a server in the environment of its requests.
BODIES = "mintcleat.bodies"
# Time after which a caller may return whose body found no room.
_RETRY_SECONDS = 1.0
# Up to this size a body counts as small.
SMALL_BYTES = 64 * 1024
# Part of the limit up to which large bodies find room, so that a few that are
# announced and never sent don't keep out the small ones.
_LARGE_FRACTION = 0.75

Environ = dict[str, Any]


class BodyBytes:
    """The bytes of bodies that the requests of one server hold.

    Each body is within its limit, but many at once would exceed the memory of
    the process.

    Attributes:
        limit: Maximum of `total`.
        total: Bytes that are held, or announced by requests in progress.
    """

    def __init__(self, limit: int = 64 * 1024 * 1024) -> None:
        self.limit = limit
        self.total = 0

    def take(self, environ: Environ, size: int) -> None:
        """Counts bytes of a request until `release`.

        Raises:
            errors.Overloaded: There is no room for them.
        """
        taken = environ.get(_TAKEN, 0) + size
        limit = self.limit
        if taken > SMALL_BYTES:
            limit = int(limit * _LARGE_FRACTION)
        if self.total + size > limit:
            raise errors.Overloaded(
                f"The bodies of all requests exceed {self.limit} bytes.",
                retry_after=_RETRY_SECONDS,
            )
        self.total += size
        environ[_TAKEN] = taken

    def release(self, environ: Environ) -> None:
        """Frees the bytes of a request that has ended."""
        self.total -= environ.pop(_TAKEN, 0)


_TAKEN = "mintcleat.body_bytes"
# Key of the monotonic time until which the body must have arrived.
_UNTIL = "mintcleat.body_until"


def take_bytes(environ: Environ, size: int) -> None:
    """Counts bytes of a body at the server of its request.

    Raises:
        errors.Overloaded: There is no room for them.
    """
    bodies = environ.get(BODIES)
    if bodies is not None:
        bodies.take(environ, size)


def read_body(environ: Environ) -> bytes:
    """Returns the whole body.

    Raises:
        errors.TooLarge: It exceeds `MAX_BODY_BYTES`.
        errors.BadRequest: It is incomplete or did not arrive in time.
        errors.Overloaded: The bodies of all requests exceed their limit.
    """
    length = content_length(environ)
    if length is None:
        return read_chunked(environ)
    if length > MAX_BODY_BYTES:
        raise errors.TooLarge(
            f"The body has {length} bytes and the limit is {MAX_BODY_BYTES}."
        )
    if not length:
        return b""
    take_bytes(environ, length)
    data = read_with_timeout(environ, length)
    if len(data) < length:
        raise errors.BadRequest(
            f"The body ended after {len(data)} of {length} bytes."
        )
    return data


def content_length(environ: Environ) -> int | None:
    """Returns the Content-Length; None for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise errors.BadRequest(
            f"Content-Length must be a number, not {text[:20]!r}."
        )
    return int(text)


def read_chunked(environ: Environ) -> bytes:
    """Returns a chunked body; raises errors as `read_body` does."""
    parts: list[bytes] = []
    size = 0
    while True:
        part = read_with_timeout(environ, _READ_BYTES)
        if not part:
            return b"".join(parts)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise errors.TooLarge(
                f"The body exceeds the limit of {MAX_BODY_BYTES} bytes."
            )
        take_bytes(environ, len(part))
        parts.append(part)


def read_with_timeout(environ: Environ, size: int) -> bytes:
    """Reads up to `size` bytes; the whole body has `BODY_TIMEOUT_SECONDS`."""
    now = time.monotonic()
    until = environ.setdefault(_UNTIL, now + BODY_TIMEOUT_SECONDS)
    try:
        with eventlet.Timeout(max(0.0, until - now)):
            return environ["wsgi.input"].read(size)
    except eventlet.Timeout:
        raise errors.BadRequest(
            f"The body did not arrive within {BODY_TIMEOUT_SECONDS:.0f} s."
        ) from None
    except (OSError, ValueError) as error:
        raise errors.BadRequest(
            f"The body could not be read: {error}."
        ) from None


def read_object(environ: Environ) -> dict[str, Any]:
    """Returns the body as a JSON object.

    Raises:
        errors.BadRequest: It is not a JSON object.
    """
    try:
        value = json.loads(read_body(environ))
    except (ValueError, RecursionError) as error:
        raise errors.BadRequest(
            f"The body is not valid JSON: {error}."
        ) from None
    if not isinstance(value, dict):
        raise errors.BadRequest("The body must be a JSON object.")
    return value


def header(environ: Environ, name: str) -> str:
    """Returns a header's value, or an empty string."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "").strip()


def number(text: str, name: str, kind: type = float) -> Any:
    """Returns a header's value as a number; 0 if it is empty."""
    if not text:
        return kind(0)
    try:
        value = kind(text)
    except ValueError:
        value = kind(-1)
    if not 0 <= value < float("inf"):
        raise errors.BadRequest(
            f"{name} must be a number not less than 0, not {text[:40]!r}."
        )
    return value


def checked_field(value: Any, name: str, kind: type, default: Any) -> Any:
    """Returns a JSON field checked for its type; its default if absent."""
    if value is None:
        return default
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
        raise errors.BadRequest(f"`{name}` must be a {kind.__name__}.")
    if isinstance(value, (int, float)) and not 0 <= value < float("inf"):
        raise errors.BadRequest(f"`{name}` must not be negative.")
    return value
