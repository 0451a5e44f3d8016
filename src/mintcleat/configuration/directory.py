"""Upstreams that registered themselves, as part of the config group's state.

It changes when an upstream comes, changes its state or goes, which is rare;
renewals that change nothing are kept by the leader alone. What was
acknowledged to an upstream that leaves therefore survives the leader.
"""

from typing import Any

from mintcleat.domain import member_messages

# Lives remembered as over. A late registration of one that is forgotten would
# be believed until it falls silent. With 480 restarts and replacements a day
# this many last for a week; registrations are held up for seconds.
ENDED_KEPT = 4_096
# Removals told to nodes; nodes further behind get the whole directory.
REMOVALS_KEPT = 4_096


class Directory:
    """Registrations by upstream, with the version of each change.

    An upstream may start again under its id. Its lives are ordered by their
    starts, by the upstream's own clock; within a life the sequence orders.
    Neither is ever compared with a clock of ours.

    Attributes:
        version: Grows with each visible change.
        entries: The registrations in force.
        changed_at: Version of the last change, by upstream.
        removed_at: Version of the removal, by upstream, oldest first.
        ended: Start of the last life that is over for good, by upstream, the
            one that left first first; 0 for lives that do not tell it.
        horizon: Nodes below this version cannot be brought up by a delta.
    """

    def __init__(self) -> None:
        self.version = 0
        self.horizon = 0
        self.entries: dict[str, member_messages.Registration] = {}
        self.changed_at: dict[str, int] = {}
        self.removed_at: dict[str, int] = {}
        self.ended: dict[str, int] = {}

    def has_ended(self, upstream: str, started: int) -> bool:
        """Tells whether this life left for good, or a later one did."""
        return upstream in self.ended and started <= self.ended[upstream]

    def register(self, registration: member_messages.Registration) -> bool:
        """Takes a registration; returns whether it is in force afterwards.

        A registration of a life that is over, or an older one of the same
        life, was late. Taken in, it would send requests to an upstream that
        is gone, or whose address another one has by now.
        """
        name = registration.upstream
        if self.has_ended(name, registration.started):
            return False
        held = self.entries.get(name)
        if held is not None and recency_key(held) > recency_key(registration):
            return False
        others = [
            other
            for other in self.entries.values()
            if other.address == registration.address and other.upstream != name
        ]
        if any(registration.started < other.started for other in others):
            # One process has an address. The other one started later, so
            # this registration was held up until after its sender's end.
            return False
        for other in others:
            self.leave(other.upstream, True, other.started)
        self._put(registration)
        return True

    def leave(self, upstream: str, final: bool, started: int = 0) -> bool:
        """Takes a life of an upstream out; returns whether it was there.

        Args:
            upstream: Its id.
            final: Whether this life and all before it never come back.
            started: Start of the life; 0 for the one that is registered.
        """
        held = self.entries.get(upstream)
        if not started and held is not None:
            started = held.started
        if final and not self.has_ended(upstream, started):
            self._remember_ended(upstream, started)
        if held is None or held.started > started:
            return False
        self._remove(upstream, self.version + 1)
        return True

    def update_since(self, version: int) -> member_messages.DirectoryUpdate:
        """Returns what brings a node from `version` to the present one."""
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
        """Takes an update of another directory; False for an older one."""
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
        """Returns everything as plain data."""
        return [
            self.version,
            self.horizon,
            [list(item) for item in self.entries.values()],
            self.changed_at,
            self.removed_at,
            self.ended,
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.version, self.horizon = state[:2]
        found = [member_messages.Registration(*item) for item in state[2]]
        self.entries = {item.upstream: item for item in found}
        self.changed_at, self.removed_at = state[3:5]
        # Releases before the starts of lives kept the time of leaving here,
        # as a float, of upstreams that told no start.
        self.ended = {
            name: started if isinstance(started, int) else 0
            for name, started in state[5].items()
        }

    def _put(self, registration: member_messages.Registration) -> None:
        name = registration.upstream
        held = self.entries.get(name)
        self.entries[name] = registration
        if held is not None and same_except_renewal(held, registration):
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
    """Returns what tells which of two registrations of an id is newer."""
    return registration.started, registration.sequence


def same_except_renewal(
    one: member_messages.Registration, other: member_messages.Registration
) -> bool:
    """Tells whether two registrations of one upstream mean the same."""
    return one._replace(sequence=0, cold=0.0) == other._replace(
        sequence=0, cold=0.0
    )
