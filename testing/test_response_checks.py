"""Tests the urllib3 pool that checks the heads of responses."""

from typing import Any

from testing.soak import wrong_heads
import testtools
import urllib3

from fakes import endless_answers
from mintcleat.adapters import response_checks

_END = b"\r\nContent-Length: 2\r\n\r\n{}"
_SECONDS = 5.0
_INVALID = (
    b"HTTP/1.1 000",
    b"HTTP/1.1 099 No",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 199 OK",
    b"HTTP/1.1 600 No",
    b"HTTP/1.1 999 No",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 \xb200 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 OK",
    b"HTTP/1.1",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK",
)
_VALID = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200 \xe9\xb4 HTTP/1.1 000",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\nHTTP: HTTP/1.1 000",
    b"HTTP/1.1 200 OK\r\nX-Trace:",
    b"HTTP/1.1 200 OK\r\nX-Trace: a: b\tc \xe4",
)


class HeadTest(testtools.TestCase):
    def ask(self, start: bytes) -> Any:
        server = endless_answers.EndlessServer(
            endless_answers.Endless(start + _END, b"")
        )
        self.addCleanup(server.stop)
        pool = response_checks.PoolManager(retries=False, timeout=_SECONDS)
        self.addCleanup(pool.clear)
        return pool.request("POST", f"http://{server.address}/")

    def test_response_with_an_invalid_status_is_an_error(self) -> None:
        for start in _INVALID:
            self.assertRaises(urllib3.exceptions.ProtocolError, self.ask, start)

    def test_valid_status_line_is_taken(self) -> None:
        for start in _VALID:
            response = self.ask(start)
            self.assertEqual((200, b"{}"), (response.status, response.data))

    def test_response_with_an_invalid_line_is_an_error(self) -> None:
        # Guards against lines that end the fields, so that a length is lost.
        for line in wrong_heads.LINES:
            start = b"HTTP/1.1 200 OK\r\n" + line
            for one in (start, start + b"\r\nX-Trace: 1"):
                self.assertRaises(
                    urllib3.exceptions.ProtocolError, self.ask, one
                )

    def test_invalid_line_of_an_informational_response_is_an_error(
        self,
    ) -> None:
        start = b"HTTP/1.1 100 Continue\r\nX Trace: 1\r\n\r\nHTTP/1.1 200 OK"
        self.assertRaises(urllib3.exceptions.ProtocolError, self.ask, start)
