"""The interface to multiplexed message streams between processes."""

from collections.abc import Callable
from typing import Any
from typing import Protocol


class Exchange(Protocol):
    """A bidirectional message stream that one request opened.

    Attributes:
        peer: Address of the other process.
    """

    peer: str

    def send(self, message: Any) -> None:
        """Sends a message; blocks while the peer's flow control window is full.

        Raises:
            errors.StreamClosed: The peer closed the exchange, or the
                connection was lost.
        """

    def try_send(self, message: Any) -> bool:
        """Sends a message unless that would block; returns whether it did."""

    def receive(self, timeout: float | None = None) -> Any:
        """Returns the next message; blocks until there is one.

        Raises:
            errors.MintcleatError: The message was an `errors.Failure`, which
                is raised as the error that it describes.
            errors.StreamClosed: The peer closed the exchange, or the
                connection was lost.
            errors.StreamTimeout: No message arrived within `timeout` seconds.
        """

    def close(self) -> None:
        """Closes the exchange on both sides; closing it again has no effect."""


Handler = Callable[[Exchange, Any], None]


class Streams(Protocol):
    """Opens exchanges with peers and serves those that peers open."""

    def open(self, address: str, message: Any) -> Exchange:
        """Opens an exchange with a first message.

        Raises:
            errors.StreamClosed: The peer is unreachable. If the error's
                outcome is `not_run`, the message was not delivered.
        """

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the peer's first reply.

        Raises:
            errors.MintcleatError: The error that the peer replied.
            errors.StreamClosed: As in `open` and `receive`.
            errors.StreamTimeout: No reply arrived within `timeout` seconds.
        """

    def handle(self, kind: type, handler: Handler) -> None:
        """Registers the handler of exchanges opened by a message type.

        The handler runs in a green thread of its own for each exchange, which
        closes when the handler returns. An `errors.MintcleatError` raised by
        the handler is sent to the peer as the last message.

        Args:
            kind: Type of the first message.
            handler: Called with the exchange and its first message.
        """

    def stop(self) -> None:
        """Closes the listener and all connections."""
