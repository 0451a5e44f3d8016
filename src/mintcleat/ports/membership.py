"""What a sidecar knows of the configuration, beyond what an entry needs."""

from typing import Any
from typing import Protocol

from mintcleat.ports import directory


class Membership(directory.Directory, Protocol):
    """The configuration as a sidecar follows it.

    Attributes:
        duplicate: Whether a newer process announces this node's name.
    """

    duplicate: bool

    def may_serve_stale(self) -> bool:
        """Tells whether idempotent plain calls go on without a lease."""

    def draining(self, instance: str, failure_domain: str) -> bool:
        """Tells whether an operator drains the instance or its domain."""

    def quarantined(self, digest: bytes) -> bool:
        """Tells whether a request is refused everywhere."""

    def suspect(self, digest: bytes) -> bool:
        """Tells whether a request may run beside no other suspect only."""

    def ask(self, message: Any, timeout: float) -> Any:
        """Asks the config leader; the message must be safe to repeat.

        Raises:
            errors.ControlUnavailable: No control instance gave an answer.
        """

    def announce(self) -> None:
        """Sends a changed announcement at once."""
