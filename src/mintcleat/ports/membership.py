"""The interface of a sidecar to the configuration service."""

from typing import Any
from typing import Protocol

from mintcleat.ports import directory


class Membership(directory.Directory, Protocol):
    """The directory, and what only sidecars need of the configuration.

    Attributes:
        duplicate: Whether a newer process announces itself under this
            node's name.
    """

    duplicate: bool

    def may_serve_stale(self) -> bool:
        """Returns whether idempotent plain calls are served without a lease."""

    def is_draining(self, instance: str, failure_domain: str) -> bool:
        """Returns whether the instance or its failure domain is drained."""

    def is_quarantined(self, digest: bytes) -> bool:
        """Returns whether a request is quarantined, that is, never run.

        Args:
            digest: Digest of the request.
        """

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a request is suspected of crashing upstreams.

        Suspects run one at a time, so that a crash shows which one caused it.

        Args:
            digest: Digest of the request.
        """

    def ask(self, message: Any, timeout: float) -> Any:
        """Sends a request to the configuration leader and returns its reply.

        The request may be sent more than once, so it must be idempotent.

        Raises:
            errors.ControlUnavailable: No control instance answered in time.
        """

    def announce(self) -> None:
        """Sends this node's announcement now, not at the next interval."""
