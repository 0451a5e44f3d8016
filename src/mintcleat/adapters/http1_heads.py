"""Parses the heads of HTTP/1.1 messages.

httptools parses the head alone, without the body: it accepts a few forms that
are rejected here, because another recipient may find other message boundaries
in them (request smuggling).
"""

import re
from typing import NamedTuple

import httptools

from mintcleat.adapters import http1_framing
from mintcleat.domain import answer_ends

END = b"\r\n\r\n"
_VERSIONS = (b"HTTP/1.0", b"HTTP/1.1")
_ABSOLUTE_TARGET = re.compile(r"(?i:https?)://([^/?#]*)([^#]*)")
_START = b"HTTP/1."
# Others are invalid (RFC 9110, 15), and nothing says what they mean.
_STATUSES = range(100, 600)
# A length of more digits exceeds 64 bits, or is padded; from some thousand on,
# converting it fails.
_MAX_LENGTH_DIGITS = 20
_SINGLE_FIELDS = ("host", "content-length", "transfer-encoding")


class ProtocolError(Exception):
    """A message that violates HTTP/1.1.

    Attributes:
        status: Status of the response to such a request.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RequestHead(NamedTuple):
    """Head of a request.

    Attributes:
        target: Path and query, also if the caller sent a whole URI.
        fields: Names in lower case, and values.
        keep_alive: Whether the caller keeps its connection open.
        accepts_chunks: Whether the caller understands chunked bodies.
        expects_continue: Whether the caller may wait for a response with status
            100 before it sends the body.
    """

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: http1_framing.BodyReader
    keep_alive: bool
    accepts_chunks: bool
    expects_continue: bool


class ResponseHead(NamedTuple):
    """Head of a response.

    Attributes:
        fields: Names in lower case, and values.
        keep_alive: Whether the connection can carry another request.
    """

    status: int
    reason: str
    fields: list[tuple[str, str]]
    body: http1_framing.BodyReader
    keep_alive: bool


def find_end(data: bytes, searched: int, limit: int) -> int:
    """Returns the length of the head at the start of `data`; 0 if incomplete.

    Args:
        data: Received bytes.
        searched: Length of the part that was searched before.
        limit: Maximum length of a head.

    Raises:
        ProtocolError: The head is too long or can't become valid.
    """
    if data and data[0] <= 0x20:
        raise ProtocolError("Expected a message, but found white space.")
    end = data.find(END, max(0, searched - len(END) + 1), limit)
    if end >= 0:
        return end + len(END)
    if len(data) >= limit:
        raise ProtocolError(f"The head exceeds {limit} bytes.", 431)
    # A head whose lines end with LF only would never be found complete.
    start = searched - 1 if data[searched - 1 : searched] == b"\r" else searched
    _check_line_ends(data[start:].removesuffix(b"\r"))
    return 0


def check_response_start(data: bytes) -> None:
    """Checks the first bytes of a response, as far as they have arrived.

    Raises:
        ProtocolError: They are no response, whatever follows.
    """
    if not _START.startswith(data[: len(_START)]):
        raise ProtocolError(
            f"Expected a response of HTTP/1, found {data[: len(_START)]!r}."
        )


def parse_request(head: bytes) -> RequestHead:
    """Parses the head of a request, including the blank line at its end.

    Raises:
        ProtocolError: It violates HTTP/1.1, or isn't supported.
    """
    _check_line_ends(head)
    parts = _Parts()
    parser = httptools.HttpRequestParser(parts)
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade:
        pass  # The upgrade is declined by responding without it.
    except httptools.HttpParserInvalidMethodError as error:
        raise ProtocolError(str(error), 501) from None
    except httptools.HttpParserError as error:
        # After the whole head only its framing is rejected, such as an unknown
        # transfer coding; `_body` does so with the matching status.
        if not parts.complete:
            raise ProtocolError(str(error)) from None
    method = parser.get_method()
    version = head[: head.index(b"\r\n")].removeprefix(
        b"%b %b " % (method, parts.target)
    )
    if version not in _VERSIONS:
        raise ProtocolError("Expected a request line of HTTP/1.0 or HTTP/1.1.")
    fields = parts.by_name()
    is_current = version == _VERSIONS[1]
    if is_current and "host" not in fields:
        raise ProtocolError("The request has no header Host.")
    coding = fields.get("transfer-encoding")
    if coding is not None and not is_current:
        raise ProtocolError("Transfer-Encoding is not part of HTTP/1.0.")
    if coding is not None and "content-length" in fields:
        raise ProtocolError("Both Content-Length and Transfer-Encoding.")
    target = parts.target.decode("latin-1")
    absolute = split_absolute(target)
    if absolute is not None:
        # The caller's own Host field has no effect then (RFC 9112, 3.2.2).
        host, target = absolute
        others = (field for field in parts.fields if field[0] != "host")
        parts.fields = [("host", host), *others]
    return RequestHead(
        method=method.decode("ascii"),
        target=target,
        fields=tuple(parts.fields),
        body=_body(
            fields, http1_framing.NoBody(), http1_framing.CHUNKS_AT_A_TIME
        ),
        keep_alive=is_current and not _lists(fields, "connection", "close"),
        accepts_chunks=is_current,
        expects_continue=is_current
        and _lists(fields, "expect", "100-continue"),
    )


def split_absolute(target: str) -> tuple[str, str] | None:
    """Returns host and path of a target that is a whole URI, or None.

    Callers send one to a proxy, and any server must accept it (RFC 9112,
    3.2.2). The host includes the port, and the path the query.

    Raises:
        ProtocolError: The URI has no host, or names a user.
    """
    if target.startswith("/"):
        return None
    match = _ABSOLUTE_TARGET.fullmatch(target)
    if match is None:
        return None
    host, path = match.groups()
    if not host or "@" in host:
        raise ProtocolError("Expected a target with a host and without a user.")
    return host, path if path.startswith("/") else f"/{path}"


def parse_response(head: bytes, method: str) -> ResponseHead:
    """Parses the head of a response, including the blank line at its end.

    Args:
        head: The head.
        method: Method of the request; a response to HEAD has no body.

    Raises:
        ProtocolError: It violates HTTP/1.1, or isn't supported.
    """
    _check_line_ends(head)
    parts = _Parts()
    parser = httptools.HttpResponseParser(parts)
    # Transfer-Encoding overrides Content-Length in a response.
    parser.set_dangerous_leniencies(lenient_chunked_length=True)
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade:
        raise ProtocolError("The response switches protocols.") from None
    except httptools.HttpParserError as error:
        if not parts.complete:
            raise ProtocolError(str(error)) from None
    status = parser.get_status_code()
    version = head[:8]
    if version not in _VERSIONS or status not in _STATUSES or status == 101:
        raise ProtocolError(f"Expected a response, found status {status}.")
    fields = parts.by_name()
    if method == "HEAD" or status < 200 or status in (204, 304):
        body: http1_framing.BodyReader = http1_framing.NoBody()
    else:
        body = _body(fields, http1_framing.UntilCloseBody())
    keep_alive = (
        version == _VERSIONS[1]
        and not _lists(fields, "connection", "close")
        and not ("transfer-encoding" in fields and "content-length" in fields)
        and body.framing is not answer_ends.Framing.CLOSE
    )
    reason = parts.reason.decode("latin-1")
    return ResponseHead(status, reason, parts.fields, body, keep_alive)


class _Parts:
    """The parts of a head, which httptools reports by these callbacks."""

    def __init__(self) -> None:
        self.target = b""
        self.reason = b""
        self.fields: list[tuple[str, str]] = []
        self.complete = False

    def on_url(self, target: bytes) -> None:
        self.target = target

    def on_status(self, reason: bytes) -> None:
        self.reason = reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append(
            (
                name.decode("latin-1").lower(),
                value.decode("latin-1").rstrip(" \t"),
            )
        )

    def on_headers_complete(self) -> None:
        self.complete = True

    def by_name(self) -> dict[str, str]:
        """Returns the values by name; those of one name joined by commas.

        Raises:
            ProtocolError: The head is incomplete or repeats a field that may
                occur once.
        """
        if not self.complete:
            raise ProtocolError("The head is incomplete.")
        fields = dict(self.fields)
        if len(fields) == len(self.fields):
            return fields
        joined: dict[str, str] = {}
        for name, value in self.fields:
            if name in joined:
                if name in _SINGLE_FIELDS:
                    raise ProtocolError(f"The header {name} is repeated.")
                value = f"{joined[name]},{value}"  # noqa: PLW2901
            joined[name] = value
        return joined


def _check_line_ends(data: bytes) -> None:
    """Rejects a CR or LF that is not part of a CR LF.

    Raises:
        ProtocolError: See above.
    """
    line_ends = data.count(b"\r\n")
    if data.count(b"\n") != line_ends or data.count(b"\r") != line_ends:
        raise ProtocolError("Expected CR and LF at the end of each line.")


def _lists(fields: dict[str, str], name: str, item: str) -> bool:
    """Returns whether a comma-separated header field contains an item.

    Args:
        fields: Values by name.
        name: Name of the field.
        item: The item in lower case; case is ignored in the field.
    """
    value = fields.get(name)
    if value is None:
        return False
    return item in [part.strip() for part in value.lower().split(",")]


def _body(
    fields: dict[str, str],
    default: http1_framing.BodyReader,
    chunks_at_a_time: int = 0,
) -> http1_framing.BodyReader:
    """Returns the reader of the body.

    Args:
        fields: Values by name.
        default: Reader of a body without a length and a transfer coding.
        chunks_at_a_time: See `http1_framing.ChunkedBody.at_a_time`.

    Raises:
        ProtocolError: The transfer coding is unknown or the length invalid.
    """
    coding = fields.get("transfer-encoding")
    if coding is not None:
        if coding.lower() != "chunked":
            raise ProtocolError(
                "Only the transfer coding chunked is supported.", 501
            )
        return http1_framing.ChunkedBody(chunks_at_a_time)
    length = fields.get("content-length")
    if length is None:
        return default
    if not (length.isascii() and length.isdigit()):
        raise ProtocolError("Invalid Content-Length.")
    if len(length) > _MAX_LENGTH_DIGITS:
        raise ProtocolError("The Content-Length has too many digits.")
    return http1_framing.FixedBody(int(length))
