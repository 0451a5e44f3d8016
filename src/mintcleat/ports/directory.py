"""The interface to the applied configuration and the live upstreams."""

from collections.abc import Callable
from typing import Protocol

from mintcleat.domain import manifest
from mintcleat.domain import member_messages


class Directory(Protocol):
    """The configuration applied on this node and the announced upstreams."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest that this node has applied."""

    def revision(self) -> int:
        """Returns the revision of the applied manifest; 0 if there is none."""

    def has_lease(self) -> bool:
        """Returns whether this node's configuration lease is still valid.

        Without a valid lease a newer revision may be in force elsewhere, so
        the node must not accept new work.
        """

    def members(self, service: str) -> list[member_messages.Announcement]:
        """Returns the live upstreams of a service, sorted by instance."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each change of the manifest or members."""
