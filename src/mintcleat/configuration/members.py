"""Announced upstreams, as soft state owned by their sidecars.

A control instance knows announcements from several sources: those made to it
directly, and those that other control instances pass on. The newest version,
by (epoch, counter), wins; an upstream is gone when no source lists it.
"""

from typing import NamedTuple

from mintcleat.configuration import lease
from mintcleat.domain import identities
from mintcleat.domain import member_messages

DIRECT = ""
# Starts of one instance within FLAP_WINDOW seconds are shown to operators.
FLAP_WINDOW = 60.0
# Removals told to nodes; nodes further behind get the whole list.
REMOVALS_KEPT = 4_096


class Record(NamedTuple):
    """One announcement at one source.

    Attributes:
        renewed: Clock of the last direct renewal.
        expires: Clock at which it is dropped; infinite while relayed.
    """

    announcement: member_messages.Announcement
    renewed: float
    expires: float


class Table:
    """The members, merged over all sources.

    Attributes:
        version: Grows with each visible change.
        sources: Records by source and incarnation.
        holders: Sources and incarnations by instance name.
        view: The announcement in force, by instance.
        changed_at: Version of the last change, by instance.
        removed_at: Version of the removal, by incarnation, oldest first.
        starts: When each incarnation was first seen, by instance.
    """

    def __init__(self) -> None:
        self.version = 0
        self.horizon = 0
        self.sources: dict[str, dict[identities.Incarnation, Record]] = {}
        self.holders: dict[str, set[tuple[str, identities.Incarnation]]] = {}
        self.view: dict[str, member_messages.Announcement] = {}
        self.changed_at: dict[str, int] = {}
        self.removed_at: dict[identities.Incarnation, int] = {}
        self.starts: dict[str, dict[int, float]] = {}
        self.cached: dict[tuple[int, int], member_messages.MembersUpdate] = {}

    def announce(
        self, announcement: member_messages.Announcement, now: float
    ) -> None:
        """Takes a direct announcement and renews its lease."""
        expires = now + lease.MEMBER_LEASE
        self._put(DIRECT, Record(announcement, now, expires), now)

    def renew(self, sidecar: identities.Incarnation, now: float) -> None:
        """Renews the lease of a direct announcement."""
        records = self.sources.get(DIRECT, {})
        record = records.get(sidecar)
        if record is not None:
            expires = now + lease.MEMBER_LEASE
            records[sidecar] = Record(record.announcement, now, expires)

    def apply_update(
        self, source: str, update: member_messages.MembersUpdate, now: float
    ) -> None:
        """Takes what another control instance passes on."""
        if update.whole:
            listed = {item.sidecar for item in update.members}
            held = self.sources.get(source, {})
            for sidecar in [key for key in held if key not in listed]:
                self._drop(source, sidecar)
        for announcement in update.members:
            self._put(source, Record(announcement, now, float("inf")), now)
        for sidecar in update.gone:
            self._drop(source, sidecar)

    def expire_source(self, source: str, now: float, grace: float) -> None:
        """Lets a source's records run out, unless they come back."""
        for sidecar, record in self.sources.get(source, {}).items():
            limit = min(record.expires, now + grace)
            self.sources[source][sidecar] = record._replace(expires=limit)

    def expire(self, now: float) -> None:
        """Drops the records whose lease is over."""
        for source, records in self.sources.items():
            late = [key for key, item in records.items() if item.expires < now]
            for sidecar in late:
                self._drop(source, sidecar)
        for instance, starts in list(self.starts.items()):
            for epoch, seen in list(starts.items()):
                if seen < now - FLAP_WINDOW:
                    del starts[epoch]
            if not starts:
                del self.starts[instance]

    def duplicates(
        self, instance: str, now: float
    ) -> list[identities.Incarnation]:
        """Returns older incarnations that renew though a newer one is alive.

        A sidecar that was restarted stops renewing; its last announcement
        just runs out. Only another process with the same name goes on.
        """
        current = self.view.get(instance)
        if current is None:
            return []
        newest = current.sidecar.epoch
        since = self.starts.get(instance, {}).get(newest, float("-inf"))
        return sorted(
            sidecar
            for source, sidecar in self.holders[instance]
            if sidecar.epoch < newest
            and self._lives_on(source, sidecar, since, now)
        )

    def update_since(self, version: int) -> member_messages.MembersUpdate:
        """Returns what brings a node from `version` to the present one."""
        key = (version, self.version)
        if key not in self.cached:
            # Most nodes lag by the same step, so one answer serves them all.
            self.cached = {key: self._update_since(version)}
        return self.cached[key]

    def direct_announcements(
        self,
    ) -> dict[identities.Incarnation, member_messages.Announcement]:
        """Returns what was announced to this instance itself."""
        records = self.sources.get(DIRECT, {})
        return {key: item.announcement for key, item in records.items()}

    def _update_since(self, version: int) -> member_messages.MembersUpdate:
        if version <= 0 or version < self.horizon or version > self.version:
            return member_messages.MembersUpdate(
                True, list(self.view.values()), []
            )
        changed = [
            self.view[name]
            for name, at in self.changed_at.items()
            if at > version
        ]
        gone = [key for key, at in self.removed_at.items() if at > version]
        return member_messages.MembersUpdate(False, changed, gone)

    def _lives_on(
        self,
        source: str,
        sidecar: identities.Incarnation,
        since: float,
        now: float,
    ) -> bool:
        """Tells whether it renewed after its successor was first seen."""
        record = self.sources[source][sidecar]
        if source == DIRECT:
            return record.renewed > since + lease.RENEW
        return (
            record.expires == float("inf")
            and now > since + lease.MEMBER_LEASE + lease.RENEW
        )

    def _put(self, source: str, record: Record, now: float) -> None:
        sidecar = record.announcement.sidecar
        records = self.sources.setdefault(source, {})
        held = records.get(sidecar)
        if held is not None and held.announcement.counter > (
            record.announcement.counter
        ):
            record = record._replace(announcement=held.announcement)
        records[sidecar] = record
        holders = self.holders.setdefault(sidecar.instance, set())
        holders.add((source, sidecar))
        starts = self.starts.setdefault(sidecar.instance, {})
        starts.setdefault(sidecar.epoch, now)
        self._refresh(sidecar.instance)

    def _drop(self, source: str, sidecar: identities.Incarnation) -> None:
        if self.sources.get(source, {}).pop(sidecar, None) is None:
            return
        holders = self.holders[sidecar.instance]
        holders.discard((source, sidecar))
        self._refresh(sidecar.instance)
        if not holders:
            del self.holders[sidecar.instance]

    def _refresh(self, instance: str) -> None:
        """Chooses the announcement in force for one instance."""
        found = [
            self.sources[source][sidecar].announcement
            for source, sidecar in self.holders[instance]
        ]
        held = self.view.get(instance)
        if not found:
            if held is not None:
                self._remove(held)
            return
        best = max(found, key=lambda item: (item.sidecar.epoch, item.counter))
        if held is not None and held._replace(counter=0) == best._replace(
            counter=0
        ):
            self.view[instance] = best
            return
        self.version += 1
        if held is not None and held.sidecar != best.sidecar:
            self._note_removal(held.sidecar)
        self.removed_at.pop(best.sidecar, None)
        self.view[instance] = best
        self.changed_at[instance] = self.version

    def _remove(self, held: member_messages.Announcement) -> None:
        self.version += 1
        instance = held.sidecar.instance
        del self.view[instance]
        del self.changed_at[instance]
        self._note_removal(held.sidecar)

    def _note_removal(self, sidecar: identities.Incarnation) -> None:
        self.removed_at.pop(sidecar, None)
        self.removed_at[sidecar] = self.version
        while len(self.removed_at) > REMOVALS_KEPT:
            self.horizon = self.removed_at.pop(next(iter(self.removed_at)))
