"""Tests the HTTP/1.1 server."""

from collections.abc import Callable
import contextlib
import itertools
import socket
from typing import Any
from unittest import mock

import eventlet
import msgspec
import testtools

from mintcleat.adapters import http1_framing
from mintcleat.adapters import http1_requests
from mintcleat.adapters import http1_server
from mintcleat.adapters import received_bytes
from mintcleat.domain import manifest

HEAD_END = b"\r\n\r\n"
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


class CallerTest(testtools.TestCase):
    """Requests over a real connection; the path tells what the handler does."""

    def setUp(self) -> None:
        super().setUp()
        self.handled: list[str] = []
        self.ended: list[str] = []
        self.listener = http1_server.HttpListener("127.0.0.1:0", self.handle)
        self.addCleanup(self.listener.stop)
        host, port = self.listener.address.split(":")
        self.caller = eventlet.connect((host, int(port)))
        self.addCleanup(self.caller.close)

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        self.handled.append(request.target)
        try:
            match request.target.split("/")[1]:
                case "wait":
                    eventlet.sleep(SECONDS)
                case "stream":
                    reply.start(200, [])
                    for _ in range(3):
                        reply.write(request.target.encode())
                        eventlet.sleep(0.001)
                    reply.end()
                    return
                case "cut":
                    reply.start(200, [("content-length", "9")])
                    return
            reply.send(200, [], request.target.encode())
        except http1_server.CallerDisconnected:
            self.ended.append(request.target)
            raise

    def send(self, *targets: str, method: str = "GET") -> None:
        for target in targets:
            self.caller.sendall(
                f"{method} {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
            )

    def read_until(self, end: bytes) -> bytes:
        data = b""
        with eventlet.Timeout(SECONDS):
            while not data.endswith(end):
                data += self.caller.recv(65536)
        return data

    def wait_for(self, condition: Any) -> None:
        with eventlet.Timeout(SECONDS):
            while not condition():
                eventlet.sleep(0.005)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        self.send("/stream/1", "/stream/2", "/a/3")
        data = self.read_until(b"/a/3")
        self.assertEqual(["/stream/1", "/stream/2", "/a/3"], self.handled)
        first, second = data.find(b"/stream/1"), data.find(b"/stream/2")
        self.assertTrue(0 < first < second)

    def test_disconnect_ends_the_handler(self) -> None:
        self.send("/wait")
        self.wait_for(lambda: self.handled)
        self.caller.close()
        self.wait_for(lambda: self.ended)
        self.wait_for(lambda: not self.listener.connections)
        self.assertEqual(0, self.listener.active)

    def test_disconnect_with_a_pipelined_request_ends_the_handler(self) -> None:
        # The bytes of the second request must not hide the disconnect, and
        # nobody is left to answer it.
        self.send("/wait", "/a")
        self.wait_for(lambda: self.handled)
        self.caller.close()
        self.wait_for(lambda: not self.listener.connections)
        self.assertEqual((["/wait"], ["/wait"]), (self.handled, self.ended))

    def test_disconnect_between_requests_closes_the_connection(self) -> None:
        self.send("/a")
        self.read_until(b"/a")
        self.caller.close()
        self.wait_for(lambda: not self.listener.connections)
        self.assertEqual([], self.ended)

    def test_pipelined_bytes_are_not_read_without_bound(self) -> None:
        self.send("/wait")
        self.wait_for(lambda: self.handled)
        (connection,) = self.listener.connections
        eventlet.spawn(self.caller.sendall, b"x" * 1_000_000)
        eventlet.sleep(0.05)
        self.assertLess(len(connection.requests.reader.unread), 200_000)

    def test_response_to_head_has_no_body(self) -> None:
        self.send("/a", method="HEAD")
        self.send("/b")
        data = self.read_until(b"/b")
        heads = data.split(HEAD_END)
        self.assertEqual(b"/b", heads[-1])
        self.assertEqual(3, len(heads))
        self.assertIn(b"content-length: 2", heads[0])

    def test_stream_is_chunked(self) -> None:
        self.send("/stream")
        body = self.read_until(b"\r\n0\r\n\r\n")
        self.assertIn(b"transfer-encoding: chunked", body)
        self.assertEqual(3, body.count(b"7\r\n/stream\r\n"))

    def test_stream_for_http_1_0_ends_with_the_connection(self) -> None:
        self.caller.sendall(b"GET /stream HTTP/1.0\r\n\r\n")
        with eventlet.Timeout(SECONDS):
            data = b"".join(iter(lambda: self.caller.recv(65536), b""))
        head, _, body = data.partition(HEAD_END)
        self.assertNotIn(b"chunked", head)
        self.assertIn(b"connection: close", head)
        self.assertEqual(b"/stream" * 3, body)

    def test_unfinished_response_closes_the_connection(self) -> None:
        # The next response would be taken for the rest of this one.
        self.send("/cut", "/a")
        with eventlet.Timeout(SECONDS):
            data = b"".join(iter(lambda: self.caller.recv(65536), b""))
        self.assertEqual(["/cut"], self.handled)
        self.assertTrue(data.endswith(HEAD_END))

    def test_header_with_a_line_end_is_not_sent(self) -> None:
        listener = http1_server.HttpListener(
            "127.0.0.1:0",
            lambda request, reply: reply.send(200, [("a", "b\r\nc: d")], b""),
        )
        self.addCleanup(listener.stop)
        host, port = listener.address.split(":")
        caller = eventlet.connect((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(REQUEST)
        with eventlet.Timeout(SECONDS):
            self.assertEqual(b"", caller.recv(65536))


class LimitsTest(testtools.TestCase):
    """Limits that change while a connection waits for its next request."""

    def setUp(self) -> None:
        super().setUp()
        self.limits = manifest.Limits(body_bytes=4, idle_seconds=SECONDS)
        self.listener = http1_server.HttpListener(
            "127.0.0.1:0",
            lambda request, reply: reply.send(200, [], b""),
            lambda: self.limits,
        )
        self.addCleanup(self.listener.stop)
        host, port = self.listener.address.split(":")
        self.caller = eventlet.connect((host, int(port)))
        self.addCleanup(self.caller.close)
        self.assertEqual(200, self.ask(b""))

    def ask(self, body: bytes) -> int:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        self.caller.sendall(head % len(body) + body)
        with eventlet.Timeout(SECONDS):
            return int(self.caller.recv(65536).split()[1])

    def change(self, **fields: float) -> None:
        self.limits = msgspec.structs.replace(self.limits, **fields)
        self.listener.apply_limits()

    def is_open_after(self, seconds: float) -> bool:
        with eventlet.Timeout(seconds, False):
            return bool(self.caller.recv(1))
        return True

    def test_raised_body_limit_holds_for_the_next_request(self) -> None:
        # The caller would take 413 as final.
        self.change(body_bytes=8)
        self.assertEqual(200, self.ask(b"12345678"))

    def test_lowered_body_limit_holds_for_the_next_request(self) -> None:
        self.change(body_bytes=2)
        self.assertEqual(413, self.ask(b"123"))

    def test_changed_head_limit_holds_for_the_next_request(self) -> None:
        self.change(header_bytes=32)
        self.assertEqual(431, self.ask(b""))

    def test_lowered_idle_timeout_ends_a_connection_that_is_idle(self) -> None:
        self.change(idle_seconds=0.1)
        self.assertFalse(self.is_open_after(0.5 * SECONDS))

    def test_raised_idle_timeout_keeps_a_connection_that_is_idle(self) -> None:
        # The caller sends its next request when the connection has been idle
        # for most of the raised time.
        self.change(idle_seconds=1.0)
        self.assertEqual(200, self.ask(b""))
        (connection,) = self.listener.connections
        with eventlet.Timeout(SECONDS):
            while connection.requests.reader.waiter is None:
                eventlet.sleep(0.001)
        self.change(idle_seconds=SECONDS)
        self.assertTrue(self.is_open_after(1.5))
        self.assertEqual(200, self.ask(b""))

    def test_idle_time_counts_from_the_last_response(self) -> None:
        # Frequent changes of the limits would keep every connection open.
        self.change(idle_seconds=0.5)
        with eventlet.Timeout(SECONDS):
            while self.listener.connections:
                eventlet.sleep(0.05)
                self.change(idle_seconds=0.5)

    def test_change_doesnt_disturb_a_request_that_arrives(self) -> None:
        # The bytes of the head and the body come one by one between changes.
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
        for index in range(len(data)):
            self.caller.sendall(data[index : index + 1])
            eventlet.sleep(0.001)
            self.change()
        with eventlet.Timeout(SECONDS):
            self.assertIn(b" 200 ", self.caller.recv(65536))


class SlowHeadTest(testtools.TestCase):
    def test_head_that_drips_is_read_no_longer_than_its_limit(self) -> None:
        limits = manifest.Limits(header_seconds=0.3, idle_seconds=20.0)
        listener = http1_server.HttpListener(
            "127.0.0.1:0", lambda *_: None, lambda: limits
        )
        self.addCleanup(listener.stop)
        host, port = listener.address.split(":")
        caller = eventlet.connect((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(b"GET / HTTP/1.1\r\nX-A: ")
        with eventlet.Timeout(5.0):
            while not listener.connections:
                eventlet.sleep(0.01)
            while listener.connections:
                with contextlib.suppress(OSError):
                    caller.sendall(b"a")
                eventlet.sleep(0.05)

    def test_head_may_begin_after_a_longer_pause(self) -> None:
        limits = manifest.Limits(header_seconds=0.2, idle_seconds=20.0)
        listener = http1_server.HttpListener(
            "127.0.0.1:0",
            lambda request, reply: reply.send(200, [], b"x"),
            lambda: limits,
        )
        self.addCleanup(listener.stop)
        host, port = listener.address.split(":")
        caller = eventlet.connect((host, int(port)))
        self.addCleanup(caller.close)
        for _ in range(2):
            eventlet.sleep(0.4)
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            with eventlet.Timeout(5.0):
                self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))


class BoundsTest(testtools.TestCase):
    """The handler waits until it is released, and answers the body's size."""

    LIMIT = 400_000

    def setUp(self) -> None:
        super().setUp()
        self.callers: list[Any] = []
        self.release = eventlet.Event()
        self.handled: list[int] = []
        self.yielded: list[http1_server.Yielded] = []
        self.listener = http1_server.HttpListener(
            "127.0.0.1:0",
            self.handle,
            limits=lambda: manifest.Limits(body_bytes=100_000),
            bounds=http1_server.Bounds(
                received_bytes.ReceivedBytes(self.LIMIT), 8
            ),
            on_yielded=self.yielded.append,
        )
        # The limit of this test is lower than one that fits any body.
        self.received = self.listener.bounds.received
        self.received.make_fit = lambda body_bytes: None
        self.addCleanup(self.listener.stop)

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        self.handled.append(len(request.body))
        if request.target == "/wait":
            self.release.wait()
        reply.send(200, [], b"%d" % len(request.body))

    def connect(self) -> Any:
        host, port = self.listener.address.split(":")
        sock = eventlet.connect((host, int(port)))
        self.addCleanup(sock.close)
        # A green socket is closed once nothing refers to it.
        self.callers.append(sock)
        return sock

    def send(self, target: str, announced: int, sent: int) -> Any:
        sock = self.connect()
        sock.sendall(
            b"POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % (target.encode(), announced)
            + b"x" * sent
        )
        eventlet.sleep(0.02)
        return sock

    def read(self, sock: Any) -> bytes:
        with eventlet.Timeout(SECONDS):
            return sock.recv(65536)

    def wait_for(self, condition: Callable[[], Any]) -> None:
        with eventlet.Timeout(SECONDS):
            while not condition():
                eventlet.sleep(0.001)

    def test_sum_of_incomplete_bodies_is_bounded(self) -> None:
        for _ in range(6):
            self.send("/", 100_000, 99_000)
        self.assertLessEqual(self.received.total, self.LIMIT)
        self.assertEqual([], self.handled)
        self.assertTrue(self.yielded)
        small = self.send("/", 5, 5)
        self.assertIn(b" 200 ", self.read(small))

    def test_request_that_gives_way_is_refused_and_never_handled(self) -> None:
        # Guards against a refusal that says "not run" of a request that runs.
        stopped = self.send("/", 100_000, 99_000)
        eventlet.sleep(0.3)
        for _ in range(3):
            self.send("/", 100_000, 90_000)
        refusal = self.read(stopped)
        self.assertIn(b" 503 ", refusal)
        self.assertIn(b"retry-after: 1\r\n", refusal)
        stopped.sendall(b"x" * 1000)
        eventlet.sleep(0.02)
        self.assertEqual([], self.handled)

    def test_new_connection_is_not_closed_before_its_request_arrives(
        self,
    ) -> None:
        for _ in range(7):
            self.assertIn(b" 200 ", self.read(self.send("/", 0, 0)))
        new = self.connect()
        eventlet.sleep(0.02)
        self.connect()
        eventlet.sleep(0.02)
        new.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        self.assertIn(b" 200 ", self.read(new))

    def test_body_counts_until_its_response(self) -> None:
        sock = self.send("/wait", 100_000, 100_000)
        self.wait_for(lambda: self.handled)
        self.assertEqual([100_000], self.handled)
        self.assertGreaterEqual(self.received.total, 100_000)
        self.release.send()
        self.assertIn(b" 200 ", self.read(sock))
        self.wait_for(lambda: self.received.total == 0)

    def test_bytes_behind_a_request_are_dropped_and_not_its_response(
        self,
    ) -> None:
        busy = []
        for _ in range(7):
            sock = self.send("/wait", 0, 0)
            sock.sendall(b"x" * 65_000)
            busy.append(sock)
        eventlet.sleep(0.05)
        self.assertLessEqual(self.received.total, self.LIMIT)
        self.release.send()
        eventlet.sleep(0.05)
        for sock in busy:
            self.assertIn(b" 200 ", self.read(sock))

    def test_announced_chunk_over_the_limit_is_refused_before_it_comes(
        self,
    ) -> None:
        sock = self.connect()
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n186a1\r\n"
        )
        self.assertIn(b" 413 ", self.read(sock))

    def test_body_that_never_ends_is_given_up(self) -> None:
        # Guards against a body that drips for as long as its caller likes.
        with mock.patch.object(http1_requests, "_BODY_SECONDS", 0.3):
            sock = self.send("/", 1000, 10)
            for _ in range(5):
                eventlet.sleep(0.05)
                sock.sendall(b"x")
            self.assertIn(b" 408 ", self.read(sock))

    def test_tiny_chunks_leave_turns_to_others(self) -> None:
        # Guards against one caller whose chunks hold up the event loop.
        turns = []

        def count() -> None:
            while True:
                turns.append(len(self.handled))
                eventlet.sleep(0)

        sock = self.connect()
        chunks = b"1\r\nx\r\n" * 10_000
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        eventlet.sleep(0.02)
        counter = eventlet.spawn(count)
        self.addCleanup(counter.kill)
        sock.sendall(chunks + b"0\r\n\r\n")
        self.assertIn(b"10000", self.read(sock))
        self.assertGreaterEqual(
            turns.count(0), 10_000 // http1_framing.CHUNKS_AT_A_TIME - 1
        )

    def test_pipelined_requests_leave_turns_to_others(self) -> None:
        # Guards against one caller whose requests hold up the event loop.
        turns = []

        def count() -> None:
            while True:
                turns.append(len(self.handled))
                eventlet.sleep(0)

        sock = self.connect()
        counter = eventlet.spawn(count)
        self.addCleanup(counter.kill)
        eventlet.sleep(0.02)
        sock.sendall(REQUEST * 500)
        answered = b""
        while answered.count(b" 200 ") < 500:
            answered += self.read(sock)
        self.assertEqual(500, len(self.handled))
        most = max(b - a for a, b in itertools.pairwise(turns))
        self.assertLessEqual(most, 2)

    def test_head_counts_until_the_response(self) -> None:
        # Guards against heads of many fields that are held and not counted.
        sock = self.connect()
        fields = b"".join(b"a%x:\r\n" % n for n in range(1000))
        head = b"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        sock.sendall(head + fields + b"\r\nx")
        eventlet.sleep(0.05)
        held = len(head + fields)
        self.assertGreaterEqual(self.received.total, held)
        sock.sendall(b"x")
        eventlet.sleep(0.05)
        self.assertEqual([2], self.handled)
        self.assertGreaterEqual(self.received.total, held)
        self.release.send()
        self.read(sock)
        eventlet.sleep(0.02)
        self.assertEqual(0, self.received.total)

    def test_long_head_counts_while_its_request_is_handled(self) -> None:
        # Guards against long fields that are held and not counted.
        sock = self.connect()
        sock.sendall(
            b"GET /wait HTTP/1.1\r\nHost: h\r\na: " + b"x" * 15_000 + HEAD_END
        )
        eventlet.sleep(0.02)
        self.assertGreaterEqual(self.received.total, 15_000)

    def test_small_requests_in_one_read_are_within_the_limit(self) -> None:
        # Guards against whole requests that are handled without any room.
        self.received.limit = 100_000
        callers = [self.send("/wait", 20_000, 20_000) for _ in range(8)]
        self.assertLessEqual(self.received.total, self.received.limit)
        self.assertLess(len(self.handled), 8)
        self.assertIn(b" 503 ", self.read(callers[-1]))

    def test_part_of_a_head_that_gives_way_is_refused_at_once(self) -> None:
        # Guards against a caller that waits in vain, and gets no answer.
        self.received.limit = 1000
        sock = self.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\na: " + b"x" * 5000)
        self.assertIn(b" 503 ", self.read(sock))

    def test_silent_connections_give_way_to_new_ones(self) -> None:
        # Guards against connections without requests that use up descriptors.
        kept = self.send("/", 0, 0)
        self.assertIn(b" 200 ", self.read(kept))
        for _ in range(20):
            self.connect()
            eventlet.sleep(0)
        eventlet.sleep(0.05)
        self.assertLessEqual(len(self.listener.connections), 8)
        kept.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b" 200 ", self.read(kept))
        self.assertIn(b" 200 ", self.read(self.send("/", 0, 0)))

    def test_connections_with_requests_do_not_give_way(self) -> None:
        busy = [self.send("/wait", 0, 0) for _ in range(8)]
        refused = self.connect()
        self.assertEqual(b"", self.read(refused))
        self.release.send()
        for sock in busy:
            self.assertIn(b" 200 ", self.read(sock))
