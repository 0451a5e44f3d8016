"""Requests whose callers stop within them."""

from collections.abc import Iterable
import socket
from typing import Any

import eventlet
import testtools

from mintcleat.adapters import http1_server
from mintcleat.adapters import http_request
from mintcleat.adapters import streams
from mintcleat.adapters import wsgi
from mintcleat.domain import errors
from mintcleat.standins import service

_SECONDS = 5.0
_START = b"POST /v1/a HTTP/1.1\r\nHost: a\r\n"
PLAIN = _START + b"Mintcleat-Program: p12345\r\nContent-Length: 0\r\n\r\n"
CHUNKED = (
    _START + b"Transfer-Encoding: chunked\r\n\r\n"
    b"a\r\nhelloworld\r\n0a;x=y\r\nhelloworld\r\n0\r\nA: b\r\n\r\n"
)


class Case(testtools.TestCase):
    """Each request is cut at each of its bytes, and the caller still reads."""

    def setUp(self) -> None:
        super().setUp()
        self.ran: list[str] = []
        self.address = self.start()

    def start(self) -> str:
        """Starts the server; returns its address."""
        raise NotImplementedError

    def send(self, data: bytes) -> bytes:
        """Sends bytes and their end; returns what comes back."""
        address = streams.split_address(self.address)
        with eventlet.Timeout(_SECONDS):
            sock = eventlet.connect(address)
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            parts = []
            while part := sock.recv(4096):
                parts.append(part)
            sock.close()
        return b"".join(parts)

    def assert_only_whole_runs(self, request: bytes) -> None:
        for size in range(1, len(request)):
            answer = self.send(request[:size])
            self.assertEqual([], self.ran, request[:size])
            self.assertNotIn(b" 200 ", answer)
        self.assertIn(b" 200 ", self.send(request))


class CutRequestTest(Case):
    """At the product's own interface."""

    def start(self) -> str:
        server = wsgi.HttpServer("127.0.0.1:0", self.application)
        self.addCleanup(server.stop)
        return server.address

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        try:
            body = http_request.read_body(environ)
        except errors.BadRequest as error:
            start("400 Bad Request", [])
            return [error.detail.encode()]
        program = environ.get("HTTP_MINTCLEAT_PROGRAM", "")
        self.ran.append(f"{environ['PATH_INFO']} {program} {body.decode()}")
        start("200 OK", [("Content-Length", "0")])
        return []

    def test_request_whose_head_is_cut_does_not_run(self) -> None:
        self.assert_only_whole_runs(PLAIN)
        self.assertEqual(["/v1/a p12345 "], self.ran)

    def test_request_whose_chunks_are_cut_does_not_run(self) -> None:
        self.assert_only_whole_runs(CHUNKED)
        self.assertEqual(["/v1/a  helloworldhelloworld"], self.ran)

    def test_cut_head_is_told_as_such(self) -> None:
        answer = self.send(PLAIN[:-2])
        self.assertIn(b" 400 ", answer)
        self.assertIn(b"blank line", answer)


class CutRoutedRequestTest(Case):
    """At the listener for routed requests."""

    def start(self) -> str:
        listener = http1_server.HttpListener("127.0.0.1:0", self.handle)
        self.addCleanup(listener.stop)
        return listener.address

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        self.ran.append(request.target)
        reply.send(200, [], b"")

    def test_request_whose_head_is_cut_does_not_run(self) -> None:
        self.assert_only_whole_runs(PLAIN)
        self.assertEqual(["/v1/a"], self.ran)

    def test_request_whose_chunks_are_cut_does_not_run(self) -> None:
        self.assert_only_whole_runs(CHUNKED)
        self.assertEqual(["/v1/a"], self.ran)


class CutStandInRequestTest(Case):
    """At the stand-ins for upstreams with a sidecar."""

    def start(self) -> str:
        self.service = service.Service()
        self.addCleanup(self.service.stop)
        return self.service.address

    def send(self, data: bytes) -> bytes:
        answer = super().send(data)
        self.ran = [path for _, path in self.service.runs]
        return answer

    def test_request_whose_head_is_cut_does_not_run(self) -> None:
        self.assert_only_whole_runs(PLAIN)
        self.assertEqual(["/v1/a"], self.ran)

    def test_cut_request_line_of_an_early_version_does_not_run(self) -> None:
        # Guards against an "HTTP/0.9" request that is the rest of another.
        for line in (b"GET /v1/a", b"GET /v1/a\r\n"):
            self.assertNotIn(b" 200 ", self.send(line))
        self.assertEqual([], self.ran)
