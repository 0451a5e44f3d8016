"""A urllib3 pool that takes only final responses whose heads are valid.

The standard library's client below urllib3 reads a status with `int`, so that
`0200` and `2_00` are 200, and returns statuses from 101 to 999 as final. Fields
end for it at a line that is none, and those behind it are dropped.
"""

import http.client
from typing import Any
from typing import ClassVar

import urllib3
from urllib3 import connection as urllib3_connection

from mintcleat.adapters import http1_heads

_FIRST_FINAL_STATUS = 200


class _RecordedFile:
    """The file that a response is read from, which keeps the lines of its head.

    Attributes:
        head: Lines that were read, from the last status line on.
    """

    def __init__(self, file: Any) -> None:
        self.file = file
        self.head: list[bytes] = []

    def readline(self, limit: int) -> bytes:
        line = self.file.readline(limit)
        # Only the line after a blank one, of an informational response, starts
        # another head.
        if self.head and self.head[-1] == b"\r\n":
            _check(self.head)
            self.head = []
        self.head.append(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _Response(http.client.HTTPResponse):
    """A response of the standard library whose head is valid and final."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.BadStatusLine: The head is invalid or informational.
        """
        file = self.fp
        self.fp = recorded = _RecordedFile(file)
        super().begin()
        if self.fp is recorded:
            self.fp = file
        _check(recorded.head)
        if self.status < _FIRST_FINAL_STATUS:
            raise http.client.BadStatusLine(
                f"Expected a final status, found {self.status}."
            )


def _check(head: list[bytes]) -> None:
    """Parses a head as an entry parses those of upstreams.

    Raises:
        http.client.BadStatusLine: The head is invalid or incomplete.
    """
    try:
        http1_heads.parse_response(b"".join(head), "GET")
    except http1_heads.ProtocolError as error:
        raise http.client.BadStatusLine(str(error)) from None


class _HttpConnection(urllib3_connection.HTTPConnection):
    response_class = _Response


class _HttpsConnection(urllib3_connection.HTTPSConnection):
    response_class = _Response


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls: ClassVar[Any] = _HttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls: ClassVar[Any] = _HttpsConnection


class PoolManager(urllib3.PoolManager):
    """A pool manager whose requests raise `ProtocolError` for such responses.

    They count as lost, as nothing says what they mean (RFC 9110, 15).
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": _HttpPool, "https": _HttpsPool}
