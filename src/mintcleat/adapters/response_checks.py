"""A urllib3 pool that takes only final responses with valid status lines.

The standard library's client below urllib3 reads a status with `int`, so that
`0200` and `2_00` are 200, and returns statuses from 101 to 999 as final.
"""

import http.client
import re
from typing import Any
from typing import ClassVar

import urllib3
from urllib3 import connection as urllib3_connection

_START = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d( [^\r\n]*)?\r\n")
_FIRST_FINAL_STATUS = 200


class _CheckedFile:
    """The file that a response is read from, with its status lines checked."""

    def __init__(self, file: Any) -> None:
        self.file = file

    def readline(self, limit: int) -> bytes:
        line = self.file.readline(limit)
        # No other line of a head can start like this.
        if line.startswith(_START) and not _STATUS_LINE.fullmatch(line):
            raise http.client.BadStatusLine(repr(line))
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _Response(http.client.HTTPResponse):
    """A response of the standard library whose status is valid and final."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.BadStatusLine: Its status is invalid or informational.
        """
        file = self.fp
        self.fp = checked = _CheckedFile(file)
        super().begin()
        if self.fp is checked:
            self.fp = file
        if self.status < _FIRST_FINAL_STATUS:
            raise http.client.BadStatusLine(
                f"Expected a final status, found {self.status}."
            )


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
