"""A process that answers every connection with bytes without end.

Usage: python -m fakes.endless_process BEGIN REPEATED PAUSE, both texts in
hexadecimal. It prints its address. A sender in a process of its own is never
slower than its reader, as one in a green thread beside it would be.
"""

import contextlib
import socket
import sys
import threading
import time

_WRITE_BYTES = 64 * 1024


def serve(
    sock: socket.socket, begin: bytes, block: bytes, pause: float
) -> None:
    """Sends to one caller until it closes."""
    with contextlib.suppress(OSError):
        sock.recv(_WRITE_BYTES)
        sock.sendall(begin)
        while True:
            sock.sendall(block)
            time.sleep(pause)
    sock.close()


def main() -> None:
    """Accepts connections until it is ended."""
    begin, repeated = (bytes.fromhex(text) for text in sys.argv[1:3])
    pause = float(sys.argv[3])
    if not pause:
        repeated *= -(-_WRITE_BYTES // len(repeated))
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    print(f"{host}:{port}", flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(
            target=serve, args=(sock, begin, repeated, pause), daemon=True
        ).start()


if __name__ == "__main__":
    main()
