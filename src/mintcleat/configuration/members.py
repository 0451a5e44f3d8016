"""Upstreams announced by their sidecars, as soft state.

A control instance gets announcements from several sources: directly from
sidecars, and relayed by other control instances. The announcement with the
highest (epoch, counter) is in force. An upstream is gone when no source lists
it any more.
"""

from typing import NamedTuple

from mintcleat.configuration import lease
from mintcleat.domain import identities
from mintcleat.domain import member_messages

# Source of the announcements made to this control instance itself.
DIRECT = ""
# Seconds within which starts of an instance are counted, so that operators see
# instances that restart repeatedly.
FLAP_WINDOW = 60.0
# Number of removals that are kept for deltas. Nodes at a version before the
# oldest one get the whole list instead.
REMOVALS_KEPT = 4_096


class Record(NamedTuple):
    """An announcement as one source lists it.

    Attributes:
        renewed: Clock of the last renewal, or of the last relayed change.
        expires: Clock at which it is dropped; infinite for a relayed one,
            which its source removes.
    """

    announcement: member_messages.Announcement
    renewed: float
    expires: float


class Table:
    """The announced upstreams, merged from all sources.

    Attributes:
        times: Lease and interval of renewals, as sidecars are told them.
        version: Grows with each change that is sent to nodes.
        horizon: Oldest version from which a delta can be made.
        sources: Records by source and incarnation.
        holders: Sources that list an instance, with its incarnation there, by
            instance name.
        view: The announcement in force, by instance.
        changed_at: Version of the last change, by instance.
        removed_at: Version of the removal, by incarnation, oldest first.
        starts: Clock at which an epoch was first seen, by instance and epoch.
        cached: The last update made, by its first and last version.
    """

    def __init__(self, times: lease.Times = lease.DEFAULT) -> None:
        self.times = times
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
        """Stores a direct announcement and renews its lease."""
        expires = now + self.times.member_lease
        self._put(DIRECT, Record(announcement, now, expires), now)

    def renew(self, sidecar: identities.Incarnation, now: float) -> None:
        """Renews the lease of a direct announcement."""
        records = self.sources.get(DIRECT, {})
        record = records.get(sidecar)
        if record is not None:
            expires = now + self.times.member_lease
            records[sidecar] = Record(record.announcement, now, expires)

    def apply_update(
        self, source: str, update: member_messages.MembersUpdate, now: float
    ) -> None:
        """Applies an update relayed by another control instance."""
        if update.whole:
            listed = {item.sidecar for item in update.members}
            records = self.sources.get(source, {})
            for sidecar in [key for key in records if key not in listed]:
                self._drop(source, sidecar)
        for announcement in update.members:
            self._put(source, Record(announcement, now, float("inf")), now)
        for sidecar in update.gone:
            self._drop(source, sidecar)

    def expire_source(self, source: str, now: float, grace: float) -> None:
        """Makes a source's records expire `grace` seconds from now.

        Those that the source relays again before then don't expire.
        """
        for sidecar, record in self.sources.get(source, {}).items():
            limit = min(record.expires, now + grace)
            self.sources[source][sidecar] = record._replace(expires=limit)

    def expire(self, now: float) -> None:
        """Drops expired records, and starts that left the flap window."""
        for source, records in self.sources.items():
            expired = [
                key for key, item in records.items() if item.expires < now
            ]
            for sidecar in expired:
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
        """Returns older incarnations that still renew beside a newer one.

        They belong to another process with the same name. The announcement of
        a sidecar that was restarted isn't renewed and just expires.
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
            and self._renewed_since(source, sidecar, since, now)
        )

    def update_since(self, version: int) -> member_messages.MembersUpdate:
        """Returns an update from `version` to the present version.

        An update from 0 or from an unknown version has all announcements.
        """
        key = (version, self.version)
        if key not in self.cached:
            # Most nodes are at the same version, so one answer serves them.
            self.cached = {key: self._update_since(version)}
        return self.cached[key]

    def direct_announcements(
        self,
    ) -> dict[identities.Incarnation, member_messages.Announcement]:
        """Returns what sidecars announced to this control instance."""
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

    def _renewed_since(
        self,
        source: str,
        sidecar: identities.Incarnation,
        since: float,
        now: float,
    ) -> bool:
        """Returns whether an incarnation renewed after its successor's start.

        The source of a relayed record drops it within a member lease if it
        isn't renewed there.

        Args:
            source: Source that lists the incarnation.
            sidecar: The older incarnation.
            since: When the newest incarnation was first seen.
            now: The present time.
        """
        record = self.sources[source][sidecar]
        if source == DIRECT:
            return record.renewed > since + self.times.renew
        return (
            record.expires == float("inf")
            and now > since + self.times.member_lease + self.times.renew
        )

    def _put(self, source: str, record: Record, now: float) -> None:
        sidecar = record.announcement.sidecar
        records = self.sources.setdefault(source, {})
        current = records.get(sidecar)
        if current is not None and current.announcement.counter > (
            record.announcement.counter
        ):
            record = record._replace(announcement=current.announcement)
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
        """Recomputes the announcement in force for one instance."""
        announcements = [
            self.sources[source][sidecar].announcement
            for source, sidecar in self.holders[instance]
        ]
        current = self.view.get(instance)
        if not announcements:
            if current is not None:
                self._remove(current)
            return
        best = max(
            announcements, key=lambda item: (item.sidecar.epoch, item.counter)
        )
        if current is not None and current._replace(counter=0) == best._replace(
            counter=0
        ):
            self.view[instance] = best
            return
        self.version += 1
        if current is not None and current.sidecar != best.sidecar:
            self._note_removal(current.sidecar)
        self.removed_at.pop(best.sidecar, None)
        self.view[instance] = best
        self.changed_at[instance] = self.version

    def _remove(self, announcement: member_messages.Announcement) -> None:
        self.version += 1
        instance = announcement.sidecar.instance
        del self.view[instance]
        del self.changed_at[instance]
        self._note_removal(announcement.sidecar)

    def _note_removal(self, sidecar: identities.Incarnation) -> None:
        self.removed_at.pop(sidecar, None)
        self.removed_at[sidecar] = self.version
        while len(self.removed_at) > REMOVALS_KEPT:
            self.horizon = self.removed_at.pop(next(iter(self.removed_at)))
