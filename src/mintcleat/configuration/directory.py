"""Upstreams that registered themselves, as part of the config group's state.

It is replicated, so that an acknowledged registration or deregistration
survives the loss of the leader. It changes only when an upstream joins, changes
its state or leaves, which is rare. Renewals that change nothing are kept in
the leader's memory.

An upstream may restart under the same id; each run is an incarnation of it.
"""

from typing import Any

from mintcleat.configuration import software_versions
from mintcleat.domain import member_messages
from mintcleat.domain import registrations

# Number of upstreams whose ended incarnations are remembered. A delayed
# registration of one that is no longer remembered would be in force until it
# expires. The number covers a week at 480 restarts and replacements a day;
# delays are in seconds.
ENDED_KEPT = 4_096
# Number of removals that are kept for deltas. Nodes at a version before the
# oldest one get the whole directory instead.
REMOVALS_KEPT = 4_096


class Directory:
    """Registrations by upstream, with the version of each change.

    Incarnations of an upstream are ordered by their start, which is a time of
    the upstream's own clock; registrations of one incarnation are ordered by
    their sequence number. Neither is compared with a clock of this system.

    Attributes:
        version: Grows with each change that is sent to nodes.
        horizon: Oldest version from which a delta can be made.
        entries: The registrations in force, by upstream.
        changed_at: Version of the last change, by upstream.
        removed_at: Version of the removal, by upstream, oldest first.
        ended: Start of the latest incarnation that ended for good, by
            upstream, oldest end first; 0 where it stated no start.
        software: Versions of the software of the upstreams. Kept up to date in
            the group's state only, not by updates from another directory.
    """

    def __init__(self) -> None:
        self.version = 0
        self.horizon = 0
        self.entries: dict[str, member_messages.Registration] = {}
        self.changed_at: dict[str, int] = {}
        self.removed_at: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.software = software_versions.SoftwareVersions()

    def has_ended(self, upstream: str, started: int) -> bool:
        """Returns whether this incarnation or a later one ended for good."""
        return upstream in self.ended and started <= self.ended[upstream]

    def is_ready(self, upstream: member_messages.Registration) -> bool:
        """Returns whether an incarnation is registered and takes new work."""
        registered = self.entries.get(upstream.upstream)
        return (
            registered is not None
            and registered.incarnation == upstream.incarnation
            and registered.state == registrations.READY
        )

    def is_registered(self, upstream: member_messages.Registration) -> bool:
        """Returns whether an incarnation is registered, in any state."""
        registered = self.entries.get(upstream.upstream)
        return (
            registered is not None
            and registered.incarnation == upstream.incarnation
        )

    def is_replaced(self, upstream: member_messages.Registration) -> bool:
        """Returns whether a later incarnation of an upstream is registered."""
        registered = self.entries.get(upstream.upstream)
        return registered is not None and registered.started > upstream.started

    def is_address_taken(self, upstream: member_messages.Registration) -> bool:
        """Returns whether another upstream is registered at an address."""
        return any(
            other.address == upstream.address
            and other.upstream != upstream.upstream
            for other in self.entries.values()
        )

    def register(
        self, registration: member_messages.Registration, at: float = 0.0
    ) -> bool:
        """Puts a registration in force at a steady time; returns whether it is.

        A registration of an ended incarnation, or one that is older than that
        in force, was delayed on its way and is ignored. It would route
        requests to an upstream that is gone, or to an address that another
        upstream has by now.
        """
        name = registration.upstream
        if self.has_ended(name, registration.started):
            return False
        current = self.entries.get(name)
        if current is not None and recency_key(current) > recency_key(
            registration
        ):
            return False
        others = [
            other
            for other in self.entries.values()
            if other.address == registration.address and other.upstream != name
        ]
        if any(registration.started < other.started for other in others):
            # Only one process can listen on an address. The other one started
            # later, so the sender of this registration has ended.
            return False
        for other in others:
            self.leave(other.upstream, True, other.started, at)
        if current is not None:
            self.software.removed(current, at)
        self.software.added(registration)
        self._put(registration)
        return True

    def leave(
        self, upstream: str, final: bool, started: int = 0, at: float = 0.0
    ) -> bool:
        """Removes an incarnation; returns whether it was registered.

        Args:
            upstream: Id of the upstream.
            final: Whether to ignore all later registrations of this
                incarnation and of earlier ones.
            started: Start of the incarnation; 0 for the registered one.
            at: Steady time of the group.
        """
        current = self.entries.get(upstream)
        if not started and current is not None:
            started = current.started
        if final and not self.has_ended(upstream, started):
            self._remember_ended(upstream, started)
        if current is None or current.started > started:
            return False
        self.software.removed(current, at)
        self._remove(upstream, self.version + 1)
        return True

    def update_since(self, version: int) -> member_messages.DirectoryUpdate:
        """Returns an update from `version` to the present version.

        An update from 0 has all registrations.
        """
        if not version or version < self.horizon:
            everything = list(self.entries.values())
            return member_messages.DirectoryUpdate(
                self.version, True, everything, []
            )
        changed = [
            self.entries[name]
            for name, at in self.changed_at.items()
            if at > version
        ]
        gone = [name for name, at in self.removed_at.items() if at > version]
        return member_messages.DirectoryUpdate(
            self.version, False, changed, gone
        )

    def apply_update(self, update: member_messages.DirectoryUpdate) -> bool:
        """Applies an update made by another directory.

        Returns:
            False for an update to the present or an earlier version, which
            changes nothing.
        """
        if update.version <= self.version:
            return False
        if update.whole:
            self.entries = {item.upstream: item for item in update.changed}
            self.changed_at = dict.fromkeys(self.entries, update.version)
            self.removed_at = {}
            self.horizon = update.version
        else:
            for item in update.changed:
                self.entries[item.upstream] = item
                self.changed_at[item.upstream] = update.version
                self.removed_at.pop(item.upstream, None)
            for name in update.gone:
                self._remove(name, update.version)
        self.version = update.version
        return True

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        ended_software = self.software.state()
        return [
            self.version,
            self.horizon,
            [list(item) for item in self.entries.values()],
            self.changed_at,
            self.removed_at,
            self.ended,
            # Earlier releases wrote nothing here, and read nothing.
            *([ended_software] if ended_software else ()),
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned, here or earlier."""
        self.version, self.horizon = state[:2]
        registrations = [
            member_messages.Registration(*item) for item in state[2]
        ]
        self.entries = {item.upstream: item for item in registrations}
        self.changed_at, self.removed_at = state[3:5]
        # Earlier releases had no starts; they stored the time of the leave
        # here, as a float.
        self.ended = {
            name: started if isinstance(started, int) else 0
            for name, started in state[5].items()
        }
        self.software.load(state[6] if len(state) > 6 else [], registrations)

    def _put(self, registration: member_messages.Registration) -> None:
        name = registration.upstream
        current = self.entries.get(name)
        self.entries[name] = registration
        if current is not None and same_except_renewal(current, registration):
            return
        self.version += 1
        self.changed_at[name] = self.version
        self.removed_at.pop(name, None)

    def _remove(self, name: str, version: int) -> None:
        self.version = version
        self.entries.pop(name, None)
        self.changed_at.pop(name, None)
        self.removed_at.pop(name, None)
        self.removed_at[name] = version
        while len(self.removed_at) > REMOVALS_KEPT:
            oldest = next(iter(self.removed_at))
            self.horizon = self.removed_at.pop(oldest)

    def _remember_ended(self, name: str, started: int) -> None:
        self.ended.pop(name, None)
        self.ended[name] = started
        while len(self.ended) > ENDED_KEPT:
            del self.ended[next(iter(self.ended))]


def recency_key(registration: member_messages.Registration) -> tuple[int, int]:
    """Returns a key that is higher for newer registrations of an upstream."""
    return registration.started, registration.sequence


def same_except_renewal(
    one: member_messages.Registration, other: member_messages.Registration
) -> bool:
    """Returns whether two registrations differ only in `sequence` or `cold`.

    Those change with renewals and aren't sent to nodes for their own sake.
    """
    return one._replace(sequence=0, cold=0.0) == other._replace(
        sequence=0, cold=0.0
    )
