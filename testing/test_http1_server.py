"""Tests the HTTP/1.1 server."""

import socket
from typing import Any

import eventlet
import testtools

from mintcleat.adapters import http1_server

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
SECONDS = 10.0


class PeekFindsNothing:
    """A socket on which a peek finds no data, as just before its arrival."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock

    def recv(self, size: int, flags: int = 0) -> bytes:
        if flags & socket.MSG_PEEK:
            raise BlockingIOError
        return self.sock.recv(size, flags)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class StopTest(testtools.TestCase):
    def test_request_that_arrives_during_the_close_is_not_handled(self) -> None:
        # A request arrives just as a planned stop closes its idle connection.
        # If it ran at an upstream, its response could not be delivered.
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
        # The connection's green thread runs only at the next sleep.
        caller.fd.send(REQUEST)
        connection.sock.fd = PeekFindsNothing(connection.sock.fd)
        connection.close_if_idle()
        with eventlet.Timeout(SECONDS):
            while listener.connections:
                eventlet.sleep(0.005)
        self.assertEqual([], handled)
