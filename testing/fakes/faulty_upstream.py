"""A process that answers every request with the same bytes.

Usage: python -m fakes.faulty_upstream LISTENERS PARTS

PARTS is a JSON list of [text, count]: each text, of characters up to U+00FF, is
sent so many times, without end if the count is 0. After the last part it waits
for the close. It prints the addresses of its listeners as a JSON list.
"""

from collections.abc import Iterator
import contextlib
import json
import socket
import sys
import threading
from typing import NamedTuple

_BLOCK_BYTES = 64 * 1024


class Part(NamedTuple):
    """Bytes that are sent `count` times; 0 for without end."""

    text: bytes
    count: int


def blocks(part: Part) -> Iterator[bytes]:
    """Yields the bytes of a part, several repetitions at once."""
    times = max(1, _BLOCK_BYTES // len(part.text))
    block = part.text * times
    left = part.count
    while not part.count or left >= times:
        yield block
        left -= times
    yield part.text * left


def serve(sock: socket.socket, parts: list[Part]) -> None:
    """Sends the parts to one caller, then waits until it closes."""
    with contextlib.suppress(OSError):
        sock.recv(_BLOCK_BYTES)
        for part in parts:
            for block in blocks(part):
                sock.sendall(block)
        while sock.recv(_BLOCK_BYTES):
            pass
    sock.close()


def accept(listener: socket.socket, parts: list[Part]) -> None:
    """Serves each connection in a thread."""
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, parts), daemon=True).start()


def main() -> None:
    """Listens until it is ended."""
    parts = [
        Part(text.encode("latin-1"), count)
        for text, count in json.loads(sys.argv[2])
    ]
    listeners = [
        socket.create_server(("127.0.0.1", 0), backlog=512)
        for _ in range(int(sys.argv[1]))
    ]
    addresses = ["{}:{}".format(*one.getsockname()) for one in listeners]
    threads = [
        threading.Thread(target=accept, args=(one, parts)) for one in listeners
    ]
    for thread in threads:
        thread.start()
    print(json.dumps(addresses), flush=True)
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
