"""One TCP connection between two processes, and the exchanges on it."""

import collections
from collections.abc import Callable
import contextlib
import socket
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import hubs
import greenlet
from loguru import logger

from mintcleat.adapters import streams_frames
from mintcleat.domain import codec
from mintcleat.domain import errors

_READ_BYTES = 256 * 1024
# Frames that follow one another faster than this are coalesced into one system
# call; a single frame is written at once.
_COALESCE_SECONDS = 50e-6
_BLOCKS_PER_TURN = 16


class Limits(NamedTuple):
    """Limits of streams; sizes in bytes, times in seconds.

    Attributes:
        message: Maximum message size, sent or received.
        window: Flow control window: bytes on one exchange that its reader has
            not consumed. A message may be larger than what is left of it.
        queued: Bytes in a connection's send queue from which senders block.
        exchanges: Open exchanges of one connection, of both sides, at which the
            peer may not open another.
        connections: Maximum number of accepted connections.
        heartbeat: Time without sending after which a heartbeat is sent.
        silence_timeout: Time without receiving a byte after which the
            connection is closed.
        connect_timeout: Time within which a connection must be established.
    """

    message: int = 64 * 1024 * 1024
    window: int = 256 * 1024
    queued: int = 1024 * 1024
    exchanges: int = 16384
    connections: int = 16384
    heartbeat: float = 2.0
    silence_timeout: float = 6.0
    connect_timeout: float = 2.0


class Signal:
    """Wakes all green threads that wait for a change.

    A green thread may be woken without a change, so it checks for one.

    Attributes:
        waiting: The green threads that wait.
    """

    def __init__(self) -> None:
        self.waiting: list[greenlet.greenlet] = []

    def wait(self, timeout: float | None = None) -> None:
        """Waits for the next `send` or the timeout in seconds."""
        hub = hubs.get_hub()
        current = greenlet.getcurrent()
        self.waiting.append(current)
        timer = None
        if timeout is not None:
            timer = hub.schedule_call_global(timeout, self._wake, current)
        try:
            hub.switch()
        finally:
            if timer is not None:
                timer.cancel()
            if current in self.waiting:
                self.waiting.remove(current)

    def send(self) -> None:
        """Wakes all waiting green threads."""
        if not self.waiting:
            return
        hub = hubs.get_hub()
        for waiting in self.waiting:
            hub.schedule_call_global(0, self._wake, waiting)

    def _wake(self, waiting: greenlet.greenlet) -> None:
        # It may have been woken by the timeout or an earlier `send`.
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            waiting.switch()


class TcpExchange:
    """Implements `ports.streams.Exchange` on a connection.

    Attributes:
        credit: Bytes that may be sent before the peer grants more.
        unread: Bytes received that `receive` has not yet returned.
        consumed: Bytes consumed since credit was last granted to the peer.
    """

    def __init__(self, connection: "Connection", number: int) -> None:
        self.connection = connection
        self.number = number
        self.peer = connection.peer
        self.inbox: collections.deque[tuple[Any, int]] = collections.deque()
        self.closed = False
        self.credit = connection.limits.window
        self.unread = 0
        self.consumed = 0
        self.arrived = Signal()
        self.credited = Signal()

    def send(self, message: Any) -> None:
        """Sends a message; blocks while there is no credit."""
        body = self.connection.encode(message)
        while self.credit <= 0 and not self.closed:
            self.credited.wait()
        if self.closed:
            raise errors.StreamClosed(
                f"The exchange with {self.peer} is closed."
            )
        self.credit -= len(body)
        self.connection.write(self.number, streams_frames.DATA, body)

    def try_send(self, message: Any) -> bool:
        """Sends a message unless that would block; returns whether it did."""
        body = self.connection.encode(message)
        if self.closed or self.credit <= 0 or self.connection.is_full():
            return False
        self.credit -= len(body)
        frame = streams_frames.pack(self.number, streams_frames.DATA, body)
        self.connection.enqueue(frame)
        return True

    def receive(self, timeout: float | None = None) -> Any:
        """Returns the next message; raises the error if it is a Failure."""
        until = None if timeout is None else time.monotonic() + timeout
        while not self.inbox:
            if self.closed:
                raise errors.StreamClosed(
                    f"The exchange with {self.peer} is closed."
                )
            left = None if until is None else until - time.monotonic()
            if left is not None and left <= 0:
                raise errors.StreamTimeout(
                    f"No message arrived from {self.peer} within {timeout} s."
                )
            self.arrived.wait(left)
        message, size = self.inbox.popleft()
        self._mark_read(size)
        if isinstance(message, errors.Failure):
            raise errors.from_failure(message)
        return message

    def close(self) -> None:
        """Closes the exchange on both sides."""
        if not self.closed:
            self.end()
            self.connection.close_exchange(self.number)

    def end(self) -> None:
        """Marks the exchange as closed and wakes its waiting green threads."""
        self.closed = True
        self.arrived.send()
        self.credited.send()

    def deliver(self, message: Any, size: int) -> None:
        """Queues a received message for `receive`.

        Raises:
            errors.BadRequest: The peer sent without credit. It is faulty, and
                would exhaust this process's memory.
        """
        if self.unread >= self.connection.limits.window:
            raise errors.BadRequest("The peer sent data without credit.")
        self.unread += size
        self.inbox.append((message, size))
        self.arrived.send()

    def add_credit(self, size: int) -> None:
        """Adds credit that the peer granted, and wakes blocked senders."""
        self.credit += size
        self.credited.send()

    def _mark_read(self, size: int) -> None:
        self.unread -= size
        self.consume(size)

    def consume(self, size: int) -> None:
        """Counts consumed bytes; grants credit in steps of half a window."""
        self.consumed += size
        if self.closed or self.consumed < self.connection.limits.window // 2:
            return
        consumed, self.consumed = self.consumed, 0
        self.connection.enqueue(
            streams_frames.pack_credit(self.number, consumed)
        )


Serve = Callable[[TcpExchange, Any], None]


class Connection:
    """One TCP connection, with a green thread each for reading and writing.

    Attributes:
        threads: Number of those green threads that are running.
        queued: Bytes in `outgoing` or being written.
        flush_scheduled: Whether the hub will write `outgoing`.
        writing: Whether the writing green thread writes `outgoing`, because
            the socket's buffer is full.
        writer_wake: Signalled when `writing` is set.
        writable: Signalled when the send queue has shrunk.
        last_received: Monotonic time of the last byte from the peer.
        last_sent: Monotonic time of the last byte to the peer.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer: str,
        limits: Limits,
        serve: Serve,
        on_lost: Callable[["Connection"], None],
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.limits = limits
        self.serve = serve
        self.on_lost = on_lost
        self.exchanges: dict[int, TcpExchange] = {}
        self.next_number = 1
        self.lost = False
        self.threads = 0
        self.outgoing: list[bytes] = []
        self.queued = 0
        self.flush_scheduled = False
        self.writing = False
        self.writer_wake = Signal()
        self.writable = Signal()
        self.last_received = time.monotonic()
        self.last_sent = self.last_received

    def start(self) -> None:
        """Starts the reading and the writing green thread."""
        # After a network partition the kernel's retransmission backoff may
        # reach minutes; a new connection is quicker.
        with contextlib.suppress(OSError, AttributeError):
            self.sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self.limits.silence_timeout * 1000),
            )
        self.threads = 2
        eventlet.spawn(self._write_forever)
        eventlet.spawn(self._read_forever)

    def open(self, message: Any) -> TcpExchange:
        """Opens an exchange with a first message."""
        body = self.encode(message)
        number = self.next_number
        self.next_number += 1
        exchange = TcpExchange(self, number)
        self.exchanges[number] = exchange
        exchange.credit -= len(body)
        self.write(number, streams_frames.OPEN, body)
        return exchange

    def encode(self, message: Any) -> bytes:
        """Returns an encoded message.

        Raises:
            errors.TooLarge: It exceeds the limit; the connection stays open.
        """
        body = codec.encode(message)
        if len(body) > self.limits.message:
            raise errors.TooLarge(
                f"A message has {len(body)} bytes; the limit is "
                f"{self.limits.message}."
            )
        return body

    def write(self, number: int, kind: int, body: bytes) -> None:
        """Queues one frame; blocks while the send queue is full.

        Raises:
            errors.StreamClosed: The connection is lost.
        """
        while self.is_full() and not self.lost:
            self.writable.wait()
        if self.lost:
            raise errors.StreamClosed(f"The connection to {self.peer} is lost.")
        self._append(streams_frames.pack(number, kind, body))

    def is_full(self) -> bool:
        """Returns whether the send queue is full, so that senders block."""
        return self.queued >= self.limits.queued

    def enqueue(self, frame: bytes) -> None:
        """Writes a frame at once, or queues it, even if the queue is full.

        Never blocks, because the reading green thread uses it.
        """
        if self.lost:
            return
        if not self.queued:
            now = time.monotonic()
            if now - self.last_sent > _COALESCE_SECONDS:
                self.last_sent = now
                frame = frame[self._send_nonblocking(frame) :]
                if not frame:
                    return
        self._append(frame)

    def _append(self, frame: bytes) -> None:
        """Queues a frame to be written once the running green thread waits.

        Frames that the green threads of this moment send share one system
        call here and one wakeup of the peer, above all an answer and the
        CLOSE frame behind it.
        """
        self.outgoing.append(frame)
        self.queued += len(frame)
        if not self.flush_scheduled and not self.writing:
            self.flush_scheduled = True
            hubs.get_hub().schedule_call_global(0, self._flush_outgoing)

    def _flush_outgoing(self) -> None:
        """Writes the queue; leaves what does not fit to the green thread."""
        self.flush_scheduled = False
        if self.lost or self.writing or not self.outgoing:
            return
        data = b"".join(self.outgoing)
        sent = self._send_nonblocking(data)
        self.queued -= sent
        self.last_sent = time.monotonic()
        if sent < len(data):
            self.outgoing = [data[sent:]]
            self.writing = True
            self.writer_wake.send()
            return
        self.outgoing = []
        self.writable.send()

    def close_exchange(self, number: int) -> None:
        """Removes an exchange and sends the peer a CLOSE frame."""
        if self.exchanges.pop(number, None) is not None and not self.lost:
            self.enqueue(streams_frames.pack(number, streams_frames.CLOSE))

    def check_heartbeat(self, now: float) -> None:
        """Sends a heartbeat if one is due; closes a silent connection.

        A peer that was powered off, or that a network partition cut off, does
        not close the connection, so its loss is detected by a timeout.
        """
        if now - self.last_received > self.limits.silence_timeout:
            logger.warning(
                "Closing the connection to {}: no data received for {} s",
                self.peer,
                self.limits.silence_timeout,
            )
            self.abort()
        elif now - self.last_sent >= self.limits.heartbeat and not self.queued:
            self.enqueue(streams_frames.pack(0, streams_frames.PING))

    def flush(self, limit: float) -> None:
        """Waits up to `limit` seconds until the send queue is written."""
        until = time.monotonic() + limit
        while self.queued and not self.lost and time.monotonic() < until:
            eventlet.sleep(0.002)

    def abort(self) -> None:
        """Closes the connection and all its exchanges."""
        if self.lost:
            return
        self.lost = True
        self.on_lost(self)
        for exchange in list(self.exchanges.values()):
            exchange.end()
        self.exchanges.clear()
        self.outgoing.clear()
        self.writer_wake.send()
        self.writable.send()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        if not self.threads:
            self.sock.close()

    def _thread_ended(self) -> None:
        """Counts the end of a green thread; the last one closes the socket.

        If the socket were closed while a green thread waits on it, its file
        descriptor could be reused while the hub still has the old listener,
        and the new user would fail with "Second simultaneous read".
        """
        self.abort()
        self.threads -= 1
        if not self.threads:
            self.sock.close()

    def _send_nonblocking(self, frame: bytes) -> int:
        """Sends what fits into the socket's buffer; returns the byte count."""
        try:
            return self.sock.fd.send(frame)
        except OSError:
            # The buffer is full or the connection lost; the writer finds out.
            return 0

    def _write_forever(self) -> None:
        try:
            self._write_queued()
        finally:
            self._thread_ended()

    def _write_queued(self) -> None:
        while not self.lost:
            if not self.outgoing:
                self.writing = False
                self.writer_wake.wait()
                continue
            self.writing = True
            frames, self.outgoing = self.outgoing, []
            data = b"".join(frames)
            try:
                self.sock.sendall(data)
            except (OSError, EOFError) as error:
                logger.info(
                    "The connection to {} is lost: {}", self.peer, error
                )
                self.abort()
                return
            self.queued -= len(data)
            self.last_sent = time.monotonic()
            self.writable.send()

    def _read_forever(self) -> None:
        buffer = streams_frames.FrameBuffer(self.limits.message)
        blocks = 0
        try:
            while not self.lost:
                # The socket is hardly ever readable yet; trying to read it
                # first would cost a system call and an exception.
                hubs.trampoline(self.sock, read=True)
                block = self.sock.recv(_READ_BYTES)
                if not block:
                    return
                self.last_received = time.monotonic()
                for frame in buffer.feed(block):
                    self._handle_frame(frame)
                blocks += 1
                if blocks % _BLOCKS_PER_TURN == 0:
                    # Yields, so that a peer that sends all the time does not
                    # starve other green threads.
                    eventlet.sleep(0)
        except (OSError, EOFError):
            # eventlet raises EOFError if this side closed the socket.
            return
        except errors.MintcleatError as error:
            logger.warning(
                "Closing the connection to {}: {}", self.peer, error.detail
            )
        except Exception:
            logger.exception(
                "Closing the connection to {}: reading failed", self.peer
            )
        finally:
            self._thread_ended()

    def _handle_frame(self, frame: streams_frames.Frame) -> None:
        if frame.kind == streams_frames.PING:
            return
        if frame.kind == streams_frames.OPEN:
            self._handle_open(frame)
            return
        exchange = self.exchanges.get(frame.exchange)
        if exchange is None:
            return
        match frame.kind:
            case streams_frames.DATA:
                exchange.deliver(codec.decode(frame.body), len(frame.body))
            case streams_frames.CREDIT:
                exchange.add_credit(streams_frames.read_credit(frame))
            case streams_frames.CLOSE:
                del self.exchanges[frame.exchange]
                exchange.end()
            case _:
                raise errors.BadRequest(f"Unknown frame kind {frame.kind}.")

    def _handle_open(self, frame: streams_frames.Frame) -> None:
        if frame.exchange in self.exchanges:
            raise errors.BadRequest(
                f"The peer opened exchange {frame.exchange} twice."
            )
        if len(self.exchanges) >= self.limits.exchanges:
            raise errors.BadRequest(
                f"The connection has {len(self.exchanges)} open exchanges; the "
                f"limit is {self.limits.exchanges}."
            )
        message = codec.decode(frame.body)
        exchange = TcpExchange(self, frame.exchange)
        self.exchanges[frame.exchange] = exchange
        # The first message is consumed at once. If it filled the window and
        # credit were granted only after a second message, the exchange would
        # deadlock.
        exchange.consume(len(frame.body))
        eventlet.spawn(self.serve, exchange, message)
