"""One TCP connection of a stream and the exchanges on it."""

import collections
from collections.abc import Callable
import contextlib
import socket
import time
from typing import Any
from typing import NamedTuple

import eventlet
from eventlet import event
from loguru import logger

from mintcleat.adapters import streams_frames
from mintcleat.domain import codec
from mintcleat.domain import errors

_BLOCK = 256 * 1024
# A lone frame is written at once; frames that follow one another faster than
# this are gathered into one system call.
_GATHER_SECONDS = 50e-6
_BLOCKS_IN_A_ROW = 16


class Limits(NamedTuple):
    """Limits of streams; sizes in bytes, times in seconds.

    Attributes:
        message: Largest message that is sent or taken.
        window: Bytes in flight on one exchange that its reader has not yet
            taken. A message larger than what is left of it may still go.
        queued: Bytes that wait for a connection's socket before senders
            block.
        exchanges: Exchanges that one peer may hold open.
        connections: Connections that are accepted at once.
        heartbeat: Longest time for which a connection is quiet.
        silence_timeout: Time without a byte after which a peer counts as lost.
        connect_timeout: Time within which a peer takes a new connection.
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
    """Wakes every green thread that waits for a change."""

    def __init__(self) -> None:
        self.waiting: event.Event | None = None

    def wait(self, timeout: float | None = None) -> None:
        """Waits for the next `send`, or until the time is over."""
        if self.waiting is None:
            self.waiting = event.Event()
        self.waiting.wait(timeout)

    def send(self) -> None:
        """Wakes all."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.send()


class TcpExchange:
    """One exchange on a connection; see `ports.streams.Exchange`.

    Attributes:
        credit: Bytes that may still be sent.
        unread: Bytes that came and were not yet taken by `receive`.
        taken: Bytes taken since the peer last got credit.
    """

    def __init__(self, connection: "Connection", number: int) -> None:
        self.connection = connection
        self.number = number
        self.peer = connection.peer
        self.inbox: collections.deque[tuple[Any, int]] = collections.deque()
        self.closed = False
        self.credit = connection.limits.window
        self.unread = 0
        self.taken = 0
        self.arrived = Signal()
        self.credited = Signal()

    def send(self, message: Any) -> None:
        """Sends a message; waits while the peer gives no credit."""
        body = self.connection.encode(message)
        while self.credit <= 0 and not self.closed:
            self.credited.wait()
        if self.closed:
            raise errors.StreamClosed(f"The exchange with {self.peer} closed.")
        self.credit -= len(body)
        self.connection.write(self.number, streams_frames.DATA, body)

    def try_send(self, message: Any) -> bool:
        """Sends a message if that needs no waiting; tells whether it did."""
        body = self.connection.encode(message)
        if self.closed or self.credit <= 0 or self.connection.is_full():
            return False
        self.credit -= len(body)
        frame = streams_frames.pack(self.number, streams_frames.DATA, body)
        self.connection.push(frame)
        return True

    def receive(self, timeout: float | None = None) -> Any:
        """Returns the next message; a Failure is raised as its error."""
        until = None if timeout is None else time.monotonic() + timeout
        while not self.inbox:
            if self.closed:
                raise errors.StreamClosed(
                    f"The exchange with {self.peer} closed."
                )
            left = None if until is None else until - time.monotonic()
            if left is not None and left <= 0:
                raise errors.StreamTimeout(
                    f"No message from {self.peer} within {timeout} s."
                )
            self.arrived.wait(left)
        message, size = self.inbox.popleft()
        self._take(size)
        if isinstance(message, errors.Failure):
            raise errors.from_failure(message)
        return message

    def close(self) -> None:
        """Ends the exchange for both sides."""
        if not self.closed:
            self.end()
            self.connection.forget(self.number)

    def end(self) -> None:
        """Marks the exchange as closed and wakes whoever waits on it."""
        self.closed = True
        self.arrived.send()
        self.credited.send()

    def deliver(self, message: Any, size: int) -> None:
        """Takes in a message from the peer.

        Raises:
            errors.BadRequest: The peer sent without credit. Only a faulty
                peer does, and it would fill this process's memory.
        """
        if self.unread >= self.connection.limits.window:
            raise errors.BadRequest("The peer sends without credit.")
        self.unread += size
        self.inbox.append((message, size))
        self.arrived.send()

    def add_credit(self, size: int) -> None:
        """Lets `send` go on."""
        self.credit += size
        self.credited.send()

    def _take(self, size: int) -> None:
        self.unread -= size
        self.count_taken(size)

    def count_taken(self, size: int) -> None:
        """Gives the peer credit for what was taken, half a window at once."""
        self.taken += size
        if self.closed or self.taken < self.connection.limits.window // 2:
            return
        taken, self.taken = self.taken, 0
        self.connection.push(streams_frames.pack_credit(self.number, taken))


Serve = Callable[[TcpExchange, Any], None]


class Connection:
    """One TCP connection, read and written by a green thread each.

    Attributes:
        heard: Monotonic time of the last byte from the peer.
        written: Monotonic time of the last byte to the peer.
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
        self.work = Signal()
        self.room = Signal()
        self.heard = time.monotonic()
        self.written = self.heard

    def start(self) -> None:
        """Begins to read and write."""
        # After a silent partition the kernel would wait for its own backoff,
        # minutes long, before it sends again; a new dial is quicker.
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
        """Opens an exchange from this side."""
        body = self.encode(message)
        number = self.next_number
        self.next_number += 1
        exchange = TcpExchange(self, number)
        self.exchanges[number] = exchange
        exchange.credit -= len(body)
        self.write(number, streams_frames.OPEN, body)
        return exchange

    def encode(self, message: Any) -> bytes:
        """Returns a message as bytes.

        Raises:
            errors.TooLarge: It is over the limit; the connection lives on.
        """
        body = codec.encode(message)
        if len(body) > self.limits.message:
            raise errors.TooLarge(f"A message of {len(body)} bytes.")
        return body

    def write(self, number: int, kind: int, body: bytes) -> None:
        """Queues one frame; waits while too much is queued.

        Raises:
            errors.StreamClosed: The connection is lost.
        """
        while self.is_full() and not self.lost:
            self.room.wait()
        if self.lost:
            raise errors.StreamClosed(f"{self.peer} is lost.")
        self.push(streams_frames.pack(number, kind, body))

    def is_full(self) -> bool:
        """Tells whether so much is queued that senders must wait."""
        return self.queued >= self.limits.queued

    def push(self, frame: bytes) -> None:
        """Writes or queues a frame without waiting, as the reader has to."""
        if self.lost:
            return
        if not self.queued:
            now = time.monotonic()
            if now - self.written > _GATHER_SECONDS:
                self.written = now
                frame = frame[self._write_now(frame) :]
                if not frame:
                    return
        self.outgoing.append(frame)
        self.queued += len(frame)
        self.work.send()

    def forget(self, number: int) -> None:
        """Drops an exchange and tells the peer."""
        if self.exchanges.pop(number, None) is not None and not self.lost:
            self.push(streams_frames.pack(number, streams_frames.CLOSE))

    def beat(self, now: float) -> None:
        """Sends a heartbeat when quiet; loses a peer that is silent.

        A peer behind a silent partition, or one that was powered off, never
        closes the connection, so only its silence tells.
        """
        if now - self.heard > self.limits.silence_timeout:
            logger.warning("{} is silent; closing the connection", self.peer)
            self.abort()
        elif now - self.written >= self.limits.heartbeat and not self.queued:
            self.push(streams_frames.pack(0, streams_frames.PING))

    def flush(self, limit: float) -> None:
        """Waits until everything queued is written, or `limit` seconds."""
        until = time.monotonic() + limit
        while self.queued and not self.lost and time.monotonic() < until:
            eventlet.sleep(0.002)

    def abort(self) -> None:
        """Closes the socket and every exchange."""
        if self.lost:
            return
        self.lost = True
        self.on_lost(self)
        for exchange in list(self.exchanges.values()):
            exchange.end()
        self.exchanges.clear()
        self.outgoing.clear()
        self.work.send()
        self.room.send()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        if not self.threads:
            self.sock.close()

    def _leave(self) -> None:
        """Ends one of the two threads; the last one closes the socket.

        Closed under a thread that still waits on it, the descriptor's number
        goes to the next connection while the hub holds the old waiter, and
        that connection fails with "Second simultaneous read".
        """
        self.abort()
        self.threads -= 1
        if not self.threads:
            self.sock.close()

    def _write_now(self, frame: bytes) -> int:
        """Writes what the socket takes without waiting; returns how much."""
        try:
            return self.sock.fd.send(frame)
        except OSError:
            # Full, or lost: the writer's own attempt will tell which.
            return 0

    def _write_forever(self) -> None:
        try:
            self._write_queued()
        finally:
            self._leave()

    def _write_queued(self) -> None:
        while not self.lost:
            if not self.outgoing:
                self.work.wait()
                continue
            frames, self.outgoing = self.outgoing, []
            data = b"".join(frames)
            try:
                self.sock.sendall(data)
            except (OSError, EOFError) as error:
                logger.info("{} is lost: {}", self.peer, error)
                self.abort()
                return
            self.queued -= len(data)
            self.written = time.monotonic()
            self.room.send()

    def _read_forever(self) -> None:
        buffer = streams_frames.FrameBuffer(self.limits.message)
        blocks = 0
        try:
            while not self.lost:
                block = self.sock.recv(_BLOCK)
                if not block:
                    return
                self.heard = time.monotonic()
                for frame in buffer.feed(block):
                    self._take(frame)
                blocks += 1
                if blocks % _BLOCKS_IN_A_ROW == 0:
                    # A peer that never pauses must not keep the loop.
                    eventlet.sleep(0)
        except (OSError, EOFError):
            # EOFError is how eventlet tells that this side closed.
            return
        except errors.MintcleatError as error:
            logger.warning("Closing {}: {}", self.peer, error.detail)
        except Exception:
            logger.exception("Closing {}: its bytes can't be read", self.peer)
        finally:
            self._leave()

    def _take(self, frame: streams_frames.Frame) -> None:
        if frame.kind == streams_frames.PING:
            return
        if frame.kind == streams_frames.OPEN:
            self._take_open(frame)
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

    def _take_open(self, frame: streams_frames.Frame) -> None:
        if frame.exchange in self.exchanges:
            raise errors.BadRequest(f"Exchange {frame.exchange} is open.")
        if len(self.exchanges) >= self.limits.exchanges:
            raise errors.BadRequest("Too many exchanges are open.")
        message = codec.decode(frame.body)
        exchange = TcpExchange(self, frame.exchange)
        self.exchanges[frame.exchange] = exchange
        # The first message is taken at once. If it fills the window and its
        # credit waited for a second one, neither side could ever go on.
        exchange.count_taken(len(frame.body))
        eventlet.spawn(self.serve, exchange, message)
