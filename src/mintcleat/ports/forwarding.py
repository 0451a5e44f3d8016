"""The interfaces to callers and upstreams for forwarded requests."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import answer_ends
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls


class UpstreamResponse(Protocol):
    """A response whose head has arrived and whose body may not have.

    Attributes:
        head: Status and headers of the response.
        framing: What ends the body.
        end: How the body ended; None before its end.
        skipped: Responses to other requests that came before it.
    """

    head: routed_calls.ResponseHead
    framing: answer_ends.Framing
    end: answer_ends.AnswerEnd | None
    skipped: int

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives and returns at its end.

        Raises:
            errors.StreamClosed: The body ended before the end that its framing
                announces.
        """

    def interrupt(self, reason: str) -> None:
        """Makes `chunks` raise a StreamClosed; for any green thread.

        What has been received is returned first. The response must still be
        closed.
        """

    def close(self) -> None:
        """Discards the rest of the body; the upstream cancels the request."""


class UpstreamClient(Protocol):
    """Sends requests to upstreams in their own protocol."""

    def send(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: routed_calls.UpstreamRequest,
    ) -> UpstreamResponse:
        """Sends a request and returns once the response's head has arrived.

        Raises:
            errors.NoUpstream: The request was not run: it was not delivered,
                or the upstream rejected it (UpstreamBusy, WrongUpstream).
            errors.UpstreamLate: It was not sent, as the upstream said nothing
                within `request.contact`.
            errors.MintcleatError: What `request.before_sending` raised.
            errors.StreamClosed: The connection was lost; the request may have
                run.
        """

    def copy_run(
        self,
        upstream: member_messages.Registration,
        request: str,
        destination: member_messages.Registration,
        stop: bool,
    ) -> routed_calls.CopyReply:
        """Has an upstream copy the memory of a run to another.

        Args:
            upstream: The upstream that runs the request.
            request: Id of the request.
            destination: The upstream that gets the copy.
            stop: Whether the run stops first, and its stream is closed
                without its end.

        Raises:
            errors.NoUpstream: The upstream has not received this.
            errors.StreamClosed: No valid answer came; with `stop`, the run may
                have stopped.
        """

    def free_copy(
        self, upstream: member_messages.Registration, handle: str
    ) -> None:
        """Frees a copy at both upstreams.

        Args:
            upstream: The upstream that made it.
            handle: Name of the copy.

        Raises:
            errors.MintcleatError: The upstream could not be told. The copy
                expires by itself.
        """

    def probe(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        """Opens a connection to an upstream; returns what that shows.

        One that is taken and ended at once shows nothing: the upstream may be
        ending. The connection is kept for the next request.
        """

    def identify(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        """Like `probe`, and asks which process has taken the connection."""

    def forget(self, incarnation: str) -> None:
        """Drops the connections to an upstream process that has ended.

        Args:
            incarnation: The `incarnation` of the process's registration.
        """


class CallerResponse(Protocol):
    """The response to one caller, in the protocol of callers.

    The methods that send wait while the caller doesn't read, so that no more
    is read from the upstream either.
    """

    def set_on_blocked(self, callback: Callable[[], None]) -> None:
        """Sets what is called repeatedly while a write waits for the caller."""

    def send_whole(self, head: routed_calls.ResponseHead, body: bytes) -> None:
        """Sends a complete response."""

    def send_head(self, head: routed_calls.ResponseHead) -> None:
        """Sends the head of a response whose body follows by `write`."""

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body without delay."""

    def end(self) -> None:
        """Marks the response as complete."""
