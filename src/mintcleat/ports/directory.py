"""What an entry or a sidecar knows of the configuration and the members."""

from collections.abc import Callable
from typing import Protocol

from mintcleat.domain import manifest
from mintcleat.domain import member_messages


class Directory(Protocol):
    """The node's applied configuration and the announced upstreams."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied here."""

    def revision(self) -> int:
        """Returns the revision applied here; 0 before the first."""

    def has_lease(self) -> bool:
        """Tells whether new work may be taken on this revision."""

    def members(self, service: str) -> list[member_messages.Announcement]:
        """Returns the live upstreams of a service, sorted by instance."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of manifest or members."""
