"""Requests that are passed on: the caller's side and the upstream's side."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import member_messages
from mintcleat.domain import routed


class UpstreamResponse(Protocol):
    """An upstream's answer whose head has come.

    Attributes:
        head: Its head.
    """

    head: routed.Head

    def body(self) -> bytes:
        """Returns the whole body.

        Raises:
            errors.StreamClosed: It broke off.
        """

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it comes; ends only at its whole end.

        Raises:
            errors.StreamClosed: It broke off.
        """

    def close(self) -> None:
        """Gives up what has not come; the upstream stops working on it."""


class UpstreamClient(Protocol):
    """Sends requests to upstreams in the upstreams' own protocol."""

    def send(
        self,
        upstream: member_messages.Registration,
        call: routed.RoutedCall,
        sending: routed.Sending,
    ) -> UpstreamResponse:
        """Sends a request and returns the answer once its head has come.

        Raises:
            errors.NoUpstream: Nothing was delivered; as UpstreamBusy or
                WrongUpstream, the upstream said that it does not run it.
            errors.StreamClosed: It may have run, and no answer will come.
        """

    def forget(self, life: str) -> None:
        """Drops what is kept for a life of an upstream that is over."""


class CallerResponse(Protocol):
    """The answer to one caller, in the callers' own protocol."""

    def send_whole(self, head: routed.Head, body: bytes) -> None:
        """Sends an upstream's whole answer."""

    def send_head(self, head: routed.Head) -> None:
        """Sends the head of an upstream's answer."""

    def write(self, data: bytes) -> None:
        """Sends a piece of its body at once."""

    def end(self) -> None:
        """Ends it as complete."""
