"""The callers' HTTP listener by itself."""

import socket
from typing import Any

import eventlet
import testtools

from mintcleat.adapters import http1_server

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
SECONDS = 10.0


class LateToPeek:
    """A socket on which a peek finds nothing, as a moment before arrival."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock

    def recv(self, size: int, flags: int = 0) -> bytes:
        if flags & socket.MSG_PEEK:
            raise BlockingIOError
        return self.sock.recv(size, flags)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class StopTest(testtools.TestCase):
    def test_request_that_crosses_the_close_is_not_passed_on(self) -> None:
        # A planned stop closed an idle connection just as a request came. The
        # request ran at an upstream, and nobody could be told.
        handled: list[http1_server.Request] = []

        def handle(
            request: http1_server.Request, reply: http1_server.Reply
        ) -> None:
            handled.append(request)
            reply.send(200, [], b"")

        listener = http1_server.HttpListener("127.0.0.1:0", handle)
        self.addCleanup(listener.stop)
        host, port = listener.address.split(":")
        caller = eventlet.connect((host, int(port)))
        self.addCleanup(caller.close)
        with eventlet.Timeout(SECONDS):
            while not listener.connections:
                eventlet.sleep(0.005)
        (connection,) = listener.connections
        # The thread that serves the connection runs only at the next sleep.
        caller.fd.send(REQUEST)
        connection.sock.fd = LateToPeek(connection.sock.fd)
        connection.close_if_idle()
        with eventlet.Timeout(SECONDS):
            while listener.connections:
                eventlet.sleep(0.005)
        self.assertEqual([], handled)
