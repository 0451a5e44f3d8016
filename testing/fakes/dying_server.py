"""A server whose process ends within its first answer."""

import socket

import eventlet

# Time after the end of the connection at which the listener ends too. The
# system closes what a process had open one after the other, in any order.
LISTENER_SECONDS = 0.005
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class DyingServer:
    """Sends a part of an answer, which nothing marks the end of, and ends.

    Attributes:
        address: `IP:PORT` that it listens on.
    """

    def __init__(self, part: bytes) -> None:
        self.part = part
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.thread = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Ends it, whatever it does."""
        self.thread.kill()
        self.listener.close()

    def _serve(self) -> None:
        sock, _ = self.listener.accept()
        sock.recv(65536)
        sock.sendall(HEAD + self.part)
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        eventlet.sleep(LISTENER_SECONDS)
        self.listener.close()
