"""Multiplexed message streams between the system's processes."""

from collections.abc import Callable
from typing import Any
from typing import Protocol


class Exchange(Protocol):
    """One request and whatever both sides send on it until it closes.

    Attributes:
        peer: Address of the other side.
    """

    peer: str

    def send(self, message: Any) -> None:
        """Sends a message; waits while the peer gives no credit.

        Raises:
            errors.StreamClosed: The peer closed or is lost.
        """

    def try_send(self, message: Any) -> bool:
        """Sends a message if that needs no waiting; tells whether it did."""

    def receive(self, timeout: float | None = None) -> Any:
        """Returns the next message; a Failure is raised as its typed error.

        Raises:
            errors.StreamClosed: The peer closed or is lost.
            errors.StreamTimeout: Nothing came within `timeout` seconds.
        """

    def close(self) -> None:
        """Ends the exchange for both sides; safe to repeat."""


Handler = Callable[[Exchange, Any], None]


class Streams(Protocol):
    """Dials peers and serves exchanges that peers open."""

    def open(self, address: str, message: Any) -> Exchange:
        """Opens an exchange with a first message.

        Raises:
            errors.StreamClosed: The peer cannot be reached. The message was
                not delivered when the error's outcome is `not_run`.
        """

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        """Sends one message and returns the one reply.

        Raises:
            errors.StreamClosed: As in `open` and `receive`.
            errors.StreamTimeout: No reply within `timeout` seconds.
        """

    def handle(self, kind: type, handler: Handler) -> None:
        """Runs `handler` in a green thread for each exchange of `kind`.

        A typed error that the handler raises is sent as the last message;
        the exchange closes when the handler returns.
        """

    def stop(self) -> None:
        """Closes the listener and every connection."""
