"""What a connection to an upstream holds in memory and in the kernel."""

import fcntl
import json
import pathlib
import struct
import subprocess
import sys
import termios

import eventlet
import testtools

from mintcleat.adapters import http1_client

SENDER = pathlib.Path(__file__).parent / "fakes" / "faulty_upstream.py"
HEAD = "HTTP/1.1 200 OK\r\n\r\n"
READ_BYTES = 64 * 1024 * 1024


class MemoryTest(testtools.TestCase):
    def connect(self, address: str) -> http1_client.Connection:
        connection = http1_client.connect(address)
        self.addCleanup(connection.close)
        return connection

    def test_kernel_holds_little_of_an_answer_that_nobody_reads(self) -> None:
        sender = subprocess.Popen(
            [sys.executable, SENDER, "1", json.dumps([[HEAD, 1], ["x", 0]])],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(sender.stdout.close)
        self.addCleanup(sender.wait)
        self.addCleanup(sender.kill)
        (address,) = json.loads(sender.stdout.readline())
        connection = self.connect(address)
        connection.send("GET", "/", [], b"")
        connection.read_head()
        left = READ_BYTES
        while left > 0:
            left -= len(connection.read_data())
        eventlet.sleep(0.5)
        found = fcntl.ioctl(connection.sock.fileno(), termios.FIONREAD, b"0000")
        (unread,) = struct.unpack("i", found)
        self.assertLessEqual(unread, 128 * 1024)
