"""Resumed streams of slow callers, beside bytes that belong to no answer."""

import re
import socket

import eventlet

from fakes import platform_engine
from fakes import platform_system

COUNT = 100
SIZE = 40_000
EXTRA = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"


def _event(number: int) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * SIZE)


class SlowCallerTest(platform_system.HostedTest):
    def stream(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        last = int(received.headers.get("last-event-id", "0"))
        connection.begin_stream(received)
        for number in range(last + 1, COUNT + 1):
            connection.chunk(_event(number))
            if number == last + 50 and number < COUNT:
                return False
        connection.send(b"0\r\n\r\n" + EXTRA)
        eventlet.spawn_after(0.1, connection.send, EXTRA)
        return True

    def test_caller_that_stops_and_goes_on_gets_each_event_once(self) -> None:
        self.start_engines(
            ("e1", "lm", self.stream),
            ("e2", "lm", self.stream),
            ("e3", "lm", self.stream),
        )
        for number, pauses in enumerate(((0.0,), (0.2, 0.0), (0.02,))):
            host, port = self.system.entry.listener.address.split(":")
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            caller.connect((host, int(port)))
            fields = {
                "Host": platform_system.HOST,
                "X-Request-Id": f"r{number}",
                "X-Deadline-Milliseconds": "30000",
            }
            caller.sendall(
                platform_system.request_bytes(
                    "POST", "/resumable/a", fields, b"x"
                )
            )
            data = b""
            reads = 0
            with eventlet.Timeout(30.0):
                while block := caller.recv(65536):
                    data += block
                    reads += 1
                    if reads % 20 == 0:
                        eventlet.sleep(pauses[reads // 20 % len(pauses)])
                    if data.endswith(b"0\r\n\r\n"):
                        break
            ids = [int(found) for found in re.findall(rb"id: (\d+)\n", data)]
            self.assertEqual(list(range(1, COUNT + 1)), ids)
            self.assertTrue(data.endswith(b"\r\n0\r\n\r\n"))
            self.assertNotIn(b"foreign", data)
