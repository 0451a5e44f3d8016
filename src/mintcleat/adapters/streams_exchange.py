"""One exchange on a connection: flow control, and messages to be read."""

import collections
import time
from typing import Any
from typing import Protocol

from mintcleat.adapters import streams_frames
from mintcleat.adapters import streams_limits
from mintcleat.adapters import streams_sender
from mintcleat.adapters import streams_signal
from mintcleat.domain import errors


class Carrier(Protocol):
    """The connection of exchanges."""

    peer: str
    limits: streams_limits.Limits
    sender: streams_sender.Sender

    def encode(self, message: Any) -> bytes:
        """Returns an encoded message.

        Raises:
            errors.TooLarge: It exceeds the limit.
        """

    def write(self, number: int, kind: int, body: bytes) -> None:
        """Queues one frame; blocks while the send queue is full.

        Raises:
            errors.StreamClosed: The connection is lost.
        """

    def close_exchange(self, number: int) -> None:
        """Removes an exchange and tells the peer."""


class TcpExchange:
    """Implements `ports.streams.Exchange` on a connection.

    Attributes:
        credit: Bytes that may be sent before the peer grants more.
        unread: Bytes received that `receive` has not yet returned.
        consumed: Bytes consumed since credit was last granted to the peer.
    """

    def __init__(self, connection: Carrier, number: int) -> None:
        self.connection = connection
        self.number = number
        self.peer = connection.peer
        self.inbox: collections.deque[tuple[Any, int]] = collections.deque()
        self.closed = False
        self.credit = connection.limits.window
        self.unread = 0
        self.consumed = 0
        self.arrived = streams_signal.Signal()
        self.credited = streams_signal.Signal()

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
        if self.closed or self.credit <= 0 or self.connection.sender.is_full():
            return False
        self.credit -= len(body)
        frame = streams_frames.pack(self.number, streams_frames.DATA, body)
        self.connection.sender.send(frame)
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
        self.connection.sender.send(
            streams_frames.pack_credit(self.number, consumed)
        )
