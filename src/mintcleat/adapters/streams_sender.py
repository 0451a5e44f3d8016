"""The send queue of a connection."""

import time
from typing import Any

import eventlet
from eventlet import hubs

from mintcleat.adapters import streams_signal

# Frames that follow one another faster than this are coalesced into one system
# call; a single frame is written at once.
_COALESCE_SECONDS = 50e-6


class Sender:
    """Sends frames over one socket, in order.

    Attributes:
        size: Bytes in `frames` or being written.
        limit: Bytes in the queue from which senders block.
        frames: Frames that are not written yet.
        closed: Whether nothing is sent any more.
        flush_scheduled: Whether the hub is about to call `_flush`.
        writing: Whether a green thread writes `frames`, because the socket's
            buffer is full.
        writer_wake: Signalled when `writing` is set.
        writable: Signalled when the queue has shrunk.
        last_sent: Monotonic time of the last byte.
    """

    def __init__(self, sock: Any, limit: int) -> None:
        self.sock = sock
        self.limit = limit
        self.frames: list[bytes] = []
        self.size = 0
        self.closed = False
        self.flush_scheduled = False
        self.writing = False
        self.writer_wake = streams_signal.Signal()
        self.writable = streams_signal.Signal()
        self.last_sent = time.monotonic()

    def is_full(self) -> bool:
        """Returns whether the queue is full, so that senders block."""
        return self.size >= self.limit

    def wait_for_space(self) -> None:
        """Waits until the queue has space or is closed."""
        while self.is_full() and not self.closed:
            self.writable.wait()

    def send(self, frame: bytes) -> None:
        """Writes a frame at once, or queues it, even if the queue is full.

        Never blocks, because the reading green thread uses it.
        """
        if self.closed:
            return
        if not self.size:
            now = time.monotonic()
            if now - self.last_sent > _COALESCE_SECONDS:
                self.last_sent = now
                frame = frame[self._send_nonblocking(frame) :]
                if not frame:
                    return
        self._append(frame)

    def queue(self, frame: bytes) -> None:
        """Queues a frame to be written once the running green thread waits.

        The frames of all green threads that can run now share one system call
        here and one wakeup of the peer; most often they are an answer and the
        CLOSE frame after it.
        """
        if not self.closed:
            self._append(frame)

    def flush(self, limit: float) -> None:
        """Waits up to `limit` seconds until the queue is written."""
        until = time.monotonic() + limit
        while self.size and not self.closed and time.monotonic() < until:
            eventlet.sleep(0.002)

    def close(self) -> None:
        """Drops the queue and wakes all who wait."""
        self.closed = True
        self.frames.clear()
        self.writer_wake.send()
        self.writable.send()

    def write_forever(self) -> None:
        """Writes what the socket's buffer can't take, until `close`.

        Raises:
            OSError: The connection is lost.
            EOFError: This side has closed the socket.
        """
        while not self.closed:
            frames, self.frames = self.frames, []
            self.writing = bool(frames)
            if not frames:
                self.writer_wake.wait()
                continue
            data = b"".join(frames)
            # A slice of what is left would be a copy otherwise.
            self.sock.sendall(memoryview(data))
            self.size -= len(data)
            self.last_sent = time.monotonic()
            self.writable.send()

    def _append(self, frame: bytes) -> None:
        self.frames.append(frame)
        self.size += len(frame)
        if not self.flush_scheduled and not self.writing:
            self.flush_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._flush)

    def _flush(self) -> None:
        """Writes the queue without waiting."""
        self.flush_scheduled = False
        if self.closed or self.writing or not self.frames:
            return
        data = b"".join(self.frames)
        sent = self._send_nonblocking(data)
        self.size -= sent
        self.last_sent = time.monotonic()
        self.frames = [data[sent:]] if sent < len(data) else []
        self.writing = bool(self.frames)
        if self.writing:
            self.writer_wake.send()
        else:
            self.writable.send()

    def _send_nonblocking(self, data: bytes) -> int:
        """Sends what fits into the socket's buffer; returns the byte count."""
        try:
            return self.sock.fd.send(data)
        except OSError:
            # The buffer is full or the connection lost; the writer finds out.
            return 0
