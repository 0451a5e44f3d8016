"""Frames the responses of the HTTP/1.1 server."""

from mintcleat.adapters import http1_framing
from mintcleat.adapters import http1_heads

CONNECTION_CLOSE = ("connection", "close")
_CHUNKED = ("transfer-encoding", "chunked")
_STATUSES_WITHOUT_BODY = (204, 304)


class ResponseWriter:
    """Frames one response.

    Attributes:
        left: Bytes of the body, by its Content-Length, that are missing; None
            without that header.
        chunked: Whether the body is sent in chunks.
        without_body: Whether the response has no body, whatever its headers.
        keep_alive: Whether the connection stays open.
        ended: Whether the end has been framed.
    """

    def __init__(
        self,
        request: http1_heads.RequestHead | None,
        status: int,
        headers: list[tuple[str, str]],
        keep_alive: bool,
    ) -> None:
        is_head = request is not None and request.method == "HEAD"
        self.without_body = is_head or status in _STATUSES_WITHOUT_BODY
        self.headers = headers
        length = None
        for name, value in headers:
            if name == "content-length":
                length = int(value)
        self.left = length
        self.keep_alive = (
            keep_alive and request is not None and request.keep_alive
        )
        self.chunked = False
        if length is None and status not in _STATUSES_WITHOUT_BODY:
            if request is not None and request.accepts_chunks:
                self.chunked = True
                self.headers = [*self.headers, _CHUNKED]
            elif not is_head:
                self.keep_alive = False
        if not self.keep_alive and CONNECTION_CLOSE not in self.headers:
            self.headers = [*self.headers, CONNECTION_CLOSE]
        self.ended = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection ends the body."""
        return not (self.without_body or self.chunked or self.left is not None)

    def allows_another(self) -> bool:
        """Returns whether another request may follow this response."""
        return self.ended and self.keep_alive

    def start(self, status: int, reason: str) -> bytes:
        """Returns the head."""
        return http1_framing.head(f"HTTP/1.1 {status} {reason}", self.headers)

    def body(self, data: bytes) -> bytes:
        """Returns the framed bytes of a part of the body.

        Raises:
            ValueError: The body exceeds the announced length.
        """
        if self.without_body:
            return b""
        if self.chunked:
            return http1_framing.chunk(data)
        if self.left is not None:
            self.left -= len(data)
            if self.left < 0:
                raise ValueError("The body exceeds its announced length.")
        return data

    def end(self) -> bytes:
        """Returns the bytes that end the body.

        Raises:
            ValueError: The body is shorter than announced.
        """
        if not self.without_body and self.left:
            raise ValueError("The body is shorter than announced.")
        self.ended = True
        if self.chunked and not self.without_body:
            return http1_framing.LAST_CHUNK
        return b""
