"""One TCP connection between two processes, and the exchanges on it."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import time
from typing import Any

import eventlet
from eventlet import hubs
from loguru import logger

from mintcleat.adapters import green_threads
from mintcleat.adapters import streams_exchange
from mintcleat.adapters import streams_frames
from mintcleat.adapters import streams_limits
from mintcleat.adapters import streams_sender
from mintcleat.domain import codec
from mintcleat.domain import errors

# Read buffer of all connections: its content is copied before another green
# thread runs. A new buffer for each read would be mapped and unmapped by the
# system, because it is large.
_READ_BUFFER = memoryview(bytearray(256 * 1024))
# Frames of one connection that are handled before others have their turn. A
# block may hold thousands of small ones.
_FRAMES_PER_TURN = 256


Serve = Callable[[streams_exchange.TcpExchange, Any], None]


class Connection:
    """One TCP connection, with a green thread each for reading and writing.

    Attributes:
        threads: Number of those green threads that are running.
        sender: The send queue.
        last_received: Monotonic time of the last byte from the peer.
    """

    def __init__(
        self,
        sock: Any,
        peer: str,
        limits: streams_limits.Limits,
        serve: Serve,
        on_lost: Callable[["Connection"], None],
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.limits = limits
        self.serve = serve
        self.on_lost = on_lost
        self.exchanges: dict[int, streams_exchange.TcpExchange] = {}
        self.next_number = 1
        self.lost = False
        self.threads = 0
        self.sender = streams_sender.Sender(sock, limits.queued)
        self.last_received = time.monotonic()

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

    def open(self, message: Any) -> streams_exchange.TcpExchange:
        """Opens an exchange with a first message."""
        body = self.encode(message)
        number = self.next_number
        self.next_number += 1
        exchange = streams_exchange.TcpExchange(self, number)
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
        self.sender.wait_for_space()
        if self.lost:
            raise errors.StreamClosed(f"The connection to {self.peer} is lost.")
        self.sender.queue(streams_frames.pack(number, kind, body))

    def close_exchange(self, number: int) -> None:
        """Removes an exchange and sends the peer a CLOSE frame."""
        if self.exchanges.pop(number, None) is not None and not self.lost:
            frame = streams_frames.pack(number, streams_frames.CLOSE)
            self.sender.send(frame)

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
            return
        idle = now - self.sender.last_sent >= self.limits.heartbeat
        if idle and not self.sender.size:
            self.sender.send(streams_frames.pack(0, streams_frames.PING))

    def abort(self) -> None:
        """Closes the connection and all its exchanges."""
        if self.lost:
            return
        self.lost = True
        self.on_lost(self)
        for exchange in list(self.exchanges.values()):
            exchange.end()
        self.exchanges.clear()
        self.sender.close()
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

    def _write_forever(self) -> None:
        try:
            self.sender.write_forever()
        except (OSError, EOFError) as error:
            logger.info("The connection to {} is lost: {}", self.peer, error)
        finally:
            self._thread_ended()

    def _read_forever(self) -> None:
        buffer = streams_frames.FrameBuffer(self.limits.message)
        hub = hubs.get_hub()
        current = eventlet.getcurrent()
        # eventlet's own `recv` adds and removes a listener for each block. The
        # thread waits for nothing else, so only this listener continues it.
        listener = hub.add(
            hub.READ,
            self.sock.fileno(),
            current.switch,
            current.throw,
            lambda: None,
        )
        try:
            while not self.lost:
                # Other green threads run and other sockets are polled before
                # the next block, so a peer that sends all the time doesn't
                # starve them.
                hub.switch()
                size = self._receive()
                if not size:
                    return
                self._handle_frames(buffer.feed(_READ_BUFFER[:size]))
        except OSError:
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
            hub.remove(listener)
            self._thread_ended()

    def _handle_frames(self, frames: Iterator[streams_frames.Frame]) -> None:
        """Handles the frames of a block.

        Raises:
            errors.MintcleatError: A frame is invalid.
        """
        for number, frame in enumerate(frames, 1):
            if self.lost:
                return
            self._handle_frame(frame)
            if number % _FRAMES_PER_TURN == 0:
                eventlet.sleep(0)

    def _receive(self) -> int:
        """Reads a block into the buffer; returns its size, 0 at the end.

        Raises:
            OSError: The connection is lost.
        """
        while True:
            try:
                size = self.sock.fd.recv_into(_READ_BUFFER)
            except BlockingIOError:
                hubs.get_hub().switch()
                continue
            if size:
                self.last_received = time.monotonic()
            return size

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
        exchange = streams_exchange.TcpExchange(self, frame.exchange)
        self.exchanges[frame.exchange] = exchange
        # The first message is consumed at once. If it filled the window and
        # credit were granted only after a second message, the exchange would
        # deadlock.
        exchange.consume(len(frame.body))
        green_threads.spawn(self.serve, exchange, message)
