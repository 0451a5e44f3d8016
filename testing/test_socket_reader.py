"""Tests the reader that stays registered with the hub."""

import socket
from typing import Any

import eventlet
from eventlet import hubs
import testtools

from mintcleat.adapters import socket_reader

SECONDS = 10.0
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"


class SocketReaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.peer = eventlet.connect(listener.getsockname())
        self.sock, _ = listener.accept()
        listener.close()
        self.closings: list[int] = []
        self.reader = socket_reader.SocketReader(
            self.sock, lambda: self.closings.append(1)
        )
        self.addCleanup(self.sock.close)
        self.addCleanup(self.reader.stop)
        self.addCleanup(self.peer.close)
        timeout = eventlet.Timeout(SECONDS)
        self.addCleanup(timeout.cancel)

    def wait_for(self, condition: Any) -> None:
        while not condition():
            eventlet.sleep(0.002)

    def is_registered(self) -> bool:
        return self.sock.fileno() in hubs.get_hub().listeners["read"]

    def test_bytes_come_before_the_end(self) -> None:
        self.peer.sendall(b"abc")
        self.peer.close()
        self.assertEqual(b"abc", self.reader.read())
        self.assertEqual(b"", self.reader.read())
        self.assertEqual(b"", self.reader.read())

    def test_bytes_of_several_arrivals_are_returned_together(self) -> None:
        self.peer.sendall(b"a")
        self.reader.read()
        self.peer.sendall(b"b")
        self.wait_for(lambda: self.reader.unread)
        self.peer.sendall(b"c")
        self.wait_for(lambda: len(self.reader.unread) > 1)
        self.assertEqual(b"bc", self.reader.read())

    def test_reset_is_an_error_after_the_bytes(self) -> None:
        self.peer.sendall(b"abc")
        self.assertEqual(b"abc", self.reader.read())
        self.peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.peer.close()
        self.assertRaises(OSError, self.reader.read)

    def test_reset_that_a_sender_took_is_an_error_after_the_bytes(self) -> None:
        # Guards against the end that the kernel shows once a sender has failed.
        self.peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.peer.sendall(b"abc")
        self.peer.close()
        try:
            self.sock.sendall(b"x")
        except ConnectionResetError as error:
            self.reader.fail(error)
        self.assertEqual(b"abc", self.reader.read())
        self.assertRaises(ConnectionResetError, self.reader.read)

    def test_failure_of_a_sender_does_not_change_an_end_in_order(self) -> None:
        self.peer.close()
        self.assertEqual(b"", self.reader.read())
        self.reader.fail(TimeoutError())
        self.assertEqual(b"", self.reader.read())

    def test_close_is_reported_while_nobody_reads(self) -> None:
        self.peer.sendall(b"abc")
        self.reader.read()
        self.peer.close()
        self.wait_for(lambda: self.closings)
        self.assertTrue(self.reader.closed)
        # A closed socket stays readable; the hub would call without end.
        self.assertFalse(self.is_registered())

    def test_close_is_not_reported_to_a_reader_too(self) -> None:
        self.peer.close()
        self.assertEqual(b"", self.reader.read())
        self.assertEqual([], self.closings)

    def test_unread_bytes_are_bounded(self) -> None:
        self.peer.sendall(b"a")
        self.reader.read()
        sender = eventlet.spawn(self.peer.sendall, b"x" * 5_000_000)
        self.wait_for(lambda: not self.is_registered())
        eventlet.sleep(0.02)
        self.assertLess(len(self.reader.unread), 200_000)
        received = 0
        while received < 5_000_000:
            received += len(self.reader.read())
        sender.wait()

    def test_timeout_of_a_read_leaves_the_reader_usable(self) -> None:
        with eventlet.Timeout(0.01, False):
            self.reader.read()
        self.peer.sendall(b"abc")
        self.assertEqual(b"abc", self.reader.read())

    def test_stop_removes_the_registration(self) -> None:
        # The file descriptor may be used for another socket right after.
        self.peer.sendall(b"a")
        self.reader.read()
        self.assertTrue(self.is_registered())
        self.reader.stop()
        self.assertFalse(self.is_registered())

    def test_quiet_until_something_arrives(self) -> None:
        self.assertTrue(self.reader.is_quiet())
        self.peer.sendall(b"a")
        self.assertFalse(self.reader.is_quiet())
        self.reader.read()
        self.assertTrue(self.reader.is_quiet())
        self.peer.close()
        self.assertFalse(self.reader.is_quiet())

    def test_interrupt_ends_a_read_that_waits(self) -> None:
        # The thread that interrupts must go on, too.
        done: list[str] = []

        def interrupt() -> None:
            eventlet.sleep(0.01)
            self.reader.interrupt(ConnectionAbortedError("silent"))
            done.append("interrupted")

        eventlet.spawn(interrupt)
        self.assertRaises(ConnectionAbortedError, self.reader.read)
        self.wait_for(lambda: done)
        self.assertFalse(self.is_registered())

    def test_bytes_come_before_an_interrupt(self) -> None:
        self.peer.sendall(b"a")
        self.reader.read()
        self.peer.sendall(b"b")
        self.wait_for(lambda: self.reader.unread)
        self.reader.interrupt(ConnectionAbortedError("silent"))
        self.assertEqual(b"b", self.reader.read())
        self.assertRaises(ConnectionAbortedError, self.reader.read)
