"""The server of WSGI applications."""

from collections.abc import Iterable
import resource
from typing import Any

import eventlet
import testtools

from fakes import platform_system
from mintcleat.adapters import http_request
from mintcleat.adapters import wsgi
from mintcleat.domain import errors


def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
    start("200 OK", [])
    names = ("HTTP_HOST", "PATH_INFO", "QUERY_STRING")
    return [" ".join(environ.get(name, "") for name in names).encode()]


class TargetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        server = wsgi.HttpServer("127.0.0.1:0", application)
        self.addCleanup(server.stop)
        self.address = server.address

    def get(self, target: str) -> platform_system.Answer:
        fields = {"Host": "own", "Connection": "close"}
        return platform_system.exchange(
            self.address, "GET", target, fields, b""
        )

    def test_whole_uri_as_target_is_split_into_host_and_path(self) -> None:
        answer = self.get("http://h:80/v1/models?a=b")
        self.assertEqual((200, b"h:80 /v1/models a=b"), answer[::2])

    def test_path_that_contains_a_uri_is_left_as_it_is(self) -> None:
        answer = self.get("/http://h/a")
        self.assertEqual((200, b"own /http://h/a "), answer[::2])

    def test_whole_uri_with_a_user_gets_400(self) -> None:
        self.assertEqual(400, self.get("http://u@h/a").status)


class BodiesTest(testtools.TestCase):
    """The application reads the body and answers when it is released."""

    def setUp(self) -> None:
        super().setUp()
        self.release = eventlet.Event()
        self.server = wsgi.HttpServer("127.0.0.1:0", self.application)
        self.addCleanup(self.server.stop)
        self.server.bodies.limit = 2500

    def application(
        self, environ: dict[str, Any], start: Any
    ) -> Iterable[bytes]:
        try:
            http_request.read_body(environ)
        except errors.Overloaded as error:
            start("503 Service Unavailable", [])
            return [error.detail.encode()]
        self.release.wait()
        start("200 OK", [])
        return [b"done"]

    def post(self) -> platform_system.Answer:
        return platform_system.exchange(
            self.server.address,
            "POST",
            "/",
            {"Host": "own", "Connection": "close"},
            b"x" * 1000,
        )

    def test_sum_of_bodies_is_bounded(self) -> None:
        # Guards against many bodies that exceed the memory together.
        waiting = [eventlet.spawn(self.post) for _ in range(2)]
        eventlet.sleep(0.1)
        self.assertEqual(503, self.post().status)
        self.release.send()
        self.assertEqual([200, 200], [each.wait().status for each in waiting])
        self.assertEqual(0, self.server.bodies.total)
        self.assertEqual(200, self.post().status)

    def test_bodies_that_are_only_announced_leave_room_for_small_ones(
        self,
    ) -> None:
        # Guards against a few callers that keep all others out for good.
        self.server.bodies.limit = 4 * http_request.SMALL_BYTES
        host, port = self.server.address.split(":")
        announced = b"%d" % (2 * http_request.SMALL_BYTES)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
        callers = [eventlet.connect((host, int(port))) for _ in range(3)]
        for sock in callers:
            self.addCleanup(sock.close)
            sock.sendall(head + announced + b"\r\n\r\nx")
        eventlet.sleep(0.1)
        self.release.send()
        self.assertEqual(200, self.post().status)


class EndlessTest(testtools.TestCase):
    """The server's answer to bytes without end in a body."""

    def ends(self, reads: bool, fields: bytes, block: bytes) -> bool:
        """Returns whether the connection ends while a body is sent.

        Args:
            reads: Whether the application reads the body.
            fields: Header fields that frame it.
            block: What is sent again and again.
        """

        def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
            if reads:
                try:
                    http_request.read_body(environ)
                except errors.BadRequest:
                    start("400 Bad Request", [])
                    return [b"refused"]
            start("200 OK", [])
            return [b"done"]

        server = wsgi.HttpServer("127.0.0.1:0", application)
        self.addCleanup(server.stop)
        host, port = server.address.split(":")
        sock = eventlet.connect((host, int(port)))
        self.addCleanup(sock.close)
        try:
            sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n")
            for _ in range(400):
                sock.sendall(block)
                eventlet.sleep(0.002)
        except OSError:
            return True
        return False

    def test_chunk_line_without_end_is_not_kept(self) -> None:
        # Guards against a caller that fills the memory with one line.
        chunked = b"Transfer-Encoding: chunked\r\n"
        for reads in (True, False):
            self.assertTrue(self.ends(reads, chunked, b"1" * 65536), reads)

    def test_rest_of_a_body_that_is_not_read_ends_with_the_connection(
        self,
    ) -> None:
        # Guards against work for bodies that nobody wants, without a limit.
        length = b"Content-Length: 1000000000\r\n"
        self.assertTrue(self.ends(False, length, b"x" * 65536))

    def test_trailers_without_end_are_not_read(self) -> None:
        # Guards against work for trailers, which nobody wants, without a limit.
        chunked = b"Transfer-Encoding: chunked\r\n"
        trailers = b"0\r\n" + b"a: b\r\n" * 10_000
        for reads in (True, False):
            self.assertTrue(self.ends(reads, chunked, trailers), reads)

    def test_body_that_never_ends_in_time_ends_with_the_connection(
        self,
    ) -> None:
        # Guards against a caller that sends a little now and then for good.
        self.patch(http_request, "BODY_TIMEOUT_SECONDS", 0.2)
        chunked = b"Transfer-Encoding: chunked\r\n"
        length = b"Content-Length: 8000000\r\n"
        block = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        for reads in (True, False):
            self.assertTrue(self.ends(reads, chunked, block), reads)
            self.assertTrue(self.ends(reads, length, b"x"), reads)


class ConnectionsTest(testtools.TestCase):
    def test_connections_leave_descriptors_to_the_process(self) -> None:
        # Guards against silent callers that take each descriptor there is.
        allowed = {100: 40, 1: 1, 1_000_000: 10_000, -1: 10_000}
        for descriptors, connections in allowed.items():
            limits = (descriptors, descriptors)
            self.patch(resource, "getrlimit", lambda _, given=limits: given)
            server = wsgi.HttpServer("127.0.0.1:0", application)
            self.addCleanup(server.stop)
            self.assertEqual(connections, server.pool.size)
