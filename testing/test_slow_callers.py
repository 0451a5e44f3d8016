"""Tests what an entry holds for callers that read slowly."""

import contextlib
import socket
import time
from typing import Any
from unittest import mock

import eventlet
from eventlet import patcher
import testtools

from mintcleat.adapters import http1_server
from mintcleat.adapters import unsent_bytes

SECONDS = 10.0
BLOCK = b"x" * 100_000
REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
LIMIT = 3_000_000


class UnsentBytesTest(testtools.TestCase):
    def test_largest_is_named_over_the_limit(self) -> None:
        unsent = unsent_bytes.UnsentBytes(100)
        self.assertIsNone(unsent.set("a", 60))
        self.assertIsNone(unsent.set("b", 40))
        self.assertEqual("a", unsent.set("c", 1))
        self.assertIsNone(unsent.set("a", 0))
        self.assertEqual(41, unsent.total)
        unsent.set("b", 10)
        unsent.set("c", 0)
        self.assertEqual((10, {"b": 10}), (unsent.total, unsent.sizes))


class SlowCallerTest(testtools.TestCase):
    """The target of a request is the number of blocks in its response."""

    def setUp(self) -> None:
        super().setUp()
        self.written: dict[str, int] = {}
        self.ended: list[str] = []
        self.blocked = 0
        self.callers: list[Any] = []
        self.stalls: list[http1_server.Stall] = []
        self.listener = http1_server.HttpListener(
            "127.0.0.1:0",
            self.handle,
            on_stalled=self.stalls.append,
            max_unsent_bytes=LIMIT,
        )
        self.addCleanup(self.listener.stop)

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        reply.on_blocked = self.count_blocked
        blocks = int(request.target[1:])
        try:
            if blocks > 1000:
                reply.send(200, [], b"x" * blocks)
                return
            reply.start(200, [])
            for _ in range(blocks):
                self.written.setdefault(request.target, 0)
                self.written[request.target] += 1
                reply.write(BLOCK)
            reply.end()
        except http1_server.CallerStalled:
            self.ended.append(request.target)
            raise

    def count_blocked(self) -> None:
        self.blocked += 1

    def call(self, blocks: int) -> Any:
        host, port = self.listener.address.split(":")
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.connect((host, int(port)))
        caller.sendall(REQUEST % blocks)
        self.addCleanup(caller.close)
        # A green socket is closed once nothing refers to it.
        self.callers.append(caller)
        return caller

    def wait_for(self, condition: Any) -> None:
        with eventlet.Timeout(SECONDS):
            while not condition():
                eventlet.sleep(0.005)

    def patch_seconds(self, stall: float, blocked: float) -> None:
        for name, seconds in (
            ("_STALL_SECONDS", stall),
            ("_BLOCKED_SECONDS", blocked),
        ):
            patch = mock.patch.object(http1_server, name, seconds)
            patch.start()
            self.addCleanup(patch.stop)

    def test_handler_writes_no_more_than_the_caller_reads(self) -> None:
        # Otherwise a stream of an upstream would pile up here.
        self.call(1000)
        self.wait_for(lambda: self.listener.unsent.total)
        before = dict(self.written)
        eventlet.sleep(0.1)
        self.assertEqual(before, self.written)
        self.assertLessEqual(self.listener.unsent.total, len(BLOCK) + 100)

    def test_response_without_progress_is_ended(self) -> None:
        self.patch_seconds(0.2, 0.02)
        caller = self.call(1000)
        self.wait_for(lambda: self.ended)
        self.wait_for(lambda: not self.listener.connections)
        (stall,) = self.stalls
        self.assertEqual(http1_server.NO_PROGRESS, stall.reason)
        self.assertEqual("/1000", stall.request.target)
        self.assertGreaterEqual(stall.waited_seconds, 0.2)
        self.assertGreater(stall.unsent, 0)
        self.assertEqual(0, self.listener.unsent.total)
        self.assertGreater(self.blocked, 3)
        # The caller must not take what it got for the whole response.
        # eventlet's own `recv` hides the reset.
        with testtools.ExpectedException(ConnectionResetError):
            while caller.fd.recv(65536):
                pass

    def test_slow_progress_is_not_a_stall(self) -> None:
        self.patch_seconds(0.3, 0.05)
        caller = self.call(40)
        caller.setblocking(False)
        received = b""
        with eventlet.Timeout(30):
            while not received.endswith(b"\r\n0\r\n\r\n"):
                eventlet.sleep(0.02)
                try:
                    received += caller.recv(100_000)
                except BlockingIOError:
                    continue
        self.assertEqual([], self.stalls)
        self.assertEqual(40 * len(BLOCK), received.count(b"x"))

    def test_steady_reader_is_not_ended_while_the_kernel_takes_nothing(
        self,
    ) -> None:
        # The kernel takes no bytes until a third of its buffer was read, which
        # at this rate is several times the time without progress.
        self.patch_seconds(0.3, 0.05)
        caller = self.call(100)
        caller.setblocking(False)
        received = 0
        began = time.monotonic()
        while time.monotonic() - began < 3.0:
            eventlet.sleep(0.02)
            with contextlib.suppress(BlockingIOError):
                received += len(caller.recv(20_000))
        self.assertEqual([], self.stalls)
        self.assertGreater(received, 1_000_000)

    def test_pause_of_this_process_is_not_a_stall(self) -> None:
        self.patch_seconds(0.5, 0.05)
        self.call(1000)
        self.wait_for(lambda: self.listener.unsent.total)
        eventlet.sleep(0.1)
        patcher.original("time").sleep(0.7)
        eventlet.sleep(0.1)
        self.assertEqual([], self.stalls)
        self.wait_for(lambda: self.stalls)

    def test_total_over_the_limit_ends_the_largest(self) -> None:
        for _ in range(4):
            self.call(6_000_000)
        self.wait_for(lambda: self.stalls)
        self.assertEqual(http1_server.BUFFERS_FULL, self.stalls[0].reason)
        self.assertLessEqual(self.listener.unsent.total, LIMIT)

    def test_small_responses_survive_a_large_one(self) -> None:
        small = self.call(60)
        self.wait_for(lambda: self.listener.unsent.total)
        self.call(12_000_000)
        self.wait_for(lambda: self.ended)
        self.assertEqual(["/12000000"], self.ended)
        self.assertEqual(1, len(self.stalls))
        small.setblocking(False)
        received = b""
        with eventlet.Timeout(SECONDS):
            while not received.endswith(b"\r\n0\r\n\r\n"):
                eventlet.sleep(0.001)
                try:
                    received += small.recv(100_000)
                except BlockingIOError:
                    continue
        self.assertEqual(60 * len(BLOCK), received.count(b"x"))

    def test_caller_that_stops_reading_can_be_ended_by_another(self) -> None:
        # What the kernel takes of a response is not known exactly.
        self.listener.unsent.limit = 50_000_000
        self.call(9_000_000)
        self.wait_for(lambda: self.listener.unsent.total)
        self.listener.unsent.limit = self.listener.unsent.total
        self.call(1000)
        self.wait_for(lambda: self.ended)
        self.wait_for(lambda: len(self.listener.connections) == 1)
        self.assertEqual(["/9000000"], self.ended)
