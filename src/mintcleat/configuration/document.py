"""The manifest in force by section, with the revision of each change.

The revision of each section's last change is kept, so that a node at any
recent revision can be sent just the sections that it lacks.
"""

from typing import Any
from typing import NamedTuple

import msgspec

from mintcleat.configuration import commands
from mintcleat.configuration import sections
from mintcleat.domain import errors
from mintcleat.domain import manifest

# Number of accepted pushes whose ids are kept to recognise resends, which come
# within minutes. It covers two days at the design load of 9,600 changes a day.
PUSHES_KEPT = 20_000
# Number of removals of sections that are kept for deltas. Nodes at a revision
# before the oldest one get the whole manifest instead.
REMOVALS_KEPT = 5_000
# Share of the manifest's text above which a node gets all sections instead of
# a delta: it costs hardly more and also corrects any wrong section of the node.
WHOLE_SHARE = 0.8
# Number of updates cached for other nodes. At any time the nodes are at few
# distinct revisions.
UPDATES_CACHED = 64


class Accepted(NamedTuple):
    """A push that was accepted.

    Attributes:
        revision: Revision that it created.
        operator: Who pushed.
        at: When it was accepted, in seconds since 1970.
    """

    revision: int
    operator: str
    at: float


class Update(NamedTuple):
    """Sections that bring a node to `revision`.

    Attributes:
        whole: Whether these are all sections; otherwise the changed ones.
        sections: JSON text by key; an empty text removes the section.
    """

    revision: int
    whole: bool
    sections: dict[str, str]


class Document:
    """Sections of the manifest and the pushes that created them.

    Attributes:
        revision: Revision in force; each push that is accepted adds 1.
        sections: JSON text by key; see `sections`.
        changed_at: Revision of the last change, by section key.
        removed_at: Revision of the removal, by section key, oldest first.
        horizon: Oldest revision from which a delta can be made.
        pushes: Accepted compare-and-set pushes by id, oldest first.
        cached: Updates by the revision that they start from.
        assembly: The decoded sections.
        assembled: Manifest that was last assembled from them.
        undecoded: Sections changed since then, by key; an empty text for a
            removed one.
        decode_error: Why these can't be decoded, as far as that was tried;
            empty if they can or if it was not.
        version: Highest number of a numbered push; 0 before the first.
        source: What that push was generated from, as its sender gave it.
        key_added_at: When each customer key was added, in seconds since 1970,
            by the key's digest.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.sections: dict[str, str] = {}
        self.changed_at: dict[str, int] = {}
        self.removed_at: dict[str, int] = {}
        self.horizon = 0
        self.pushes: dict[str, Accepted] = {}
        self.cached: dict[int, Update] = {}
        self.assembly = sections.Assembly()
        self.assembled = manifest.Manifest()
        self.undecoded: dict[str, str] = {}
        self.decode_error = ""
        self.version = 0
        self.source = ""
        self.key_added_at: dict[str, float] = {}

    def push_version(self, command: commands.PushVersion) -> Accepted:
        """Applies a numbered push if its version is the highest so far.

        A push with a lower or equal version arrived late or was repeated; it
        changes nothing. That holds for an equal version with other content
        too: the content that was read back under a version must not change.

        Returns:
            The revision in force.
        """
        if command.version > self.version:
            delta = sections.difference(self.sections, command.sections)
            self.revision += 1
            for key, text in delta.changed.items():
                self._put(key, text, self.revision)
            for key in delta.removed:
                self._remove(key, self.revision)
            self.version = command.version
            self.source = command.source
            self._update_key_times([*delta.changed, *delta.removed], command.at)
            self._forget_old()
        return Accepted(self.revision, command.operator, command.at)

    def push(
        self, command: commands.Push
    ) -> Accepted | errors.RevisionConflict:
        """Applies a push; a repeated push returns the outcome of the first one.

        The id is looked up before the revision is compared. Otherwise an
        operator who lost the answer and sends the push again would get a
        conflict with that same push.
        """
        known = self.pushes.get(command.push_id)
        if known is not None:
            return known
        if command.expected != self.revision:
            return self._conflict(command.expected)
        self.revision += 1
        for key, text in command.changed.items():
            self._put(key, text, self.revision)
        for key in command.removed:
            self._remove(key, self.revision)
        self._update_key_times([*command.changed, *command.removed], command.at)
        accepted = Accepted(self.revision, command.operator, command.at)
        self.pushes[command.push_id] = accepted
        self._forget_old()
        return accepted

    def update_since(self, revision: int) -> Update:
        """Returns an update from `revision` to the one in force.

        Its size depends on the number of sections that changed, not on the
        number of revisions in between. An update from 0 has all sections.
        """
        if revision not in self.cached:
            if len(self.cached) >= UPDATES_CACHED:
                self.cached.clear()
            self.cached[revision] = self._update_since(revision)
        return self.cached[revision]

    def apply_update(self, update: Update) -> None:
        """Applies an update made by another document.

        An update to the present or an earlier revision changes nothing.

        All sections of a delta count as changed at its last revision, even one
        whose text is the same as here: a node that another instance updated to
        a revision in between may hold a different text. An update with all
        sections doesn't say which of them changed, so nodes at earlier
        revisions get all sections from here as well.
        """
        if update.revision <= self.revision:
            return
        if update.whole:
            self.sections = dict(update.sections)
            self._decode_from_scratch()
            self.changed_at = dict.fromkeys(update.sections, update.revision)
            self.removed_at = {}
            self.horizon = update.revision
        else:
            self._merge(update)
        self.revision = update.revision
        self._forget_old()

    def has_service(self, name: str) -> bool:
        """Returns whether the manifest in force names a service.

        It does so also if this release can't read the service's fields.
        """
        return f"{sections.SERVICES}/{name}" in self.sections

    def readable(self) -> manifest.Manifest:
        """Returns the last manifest in force that this release could read."""
        try:
            return self.manifest()
        except msgspec.ValidationError:
            return self.assembled

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest in force.

        Only sections that changed since the last call are decoded.

        Raises:
            msgspec.ValidationError: A section doesn't match the schema of
                this release. Each call raises it until sections change.
        """
        if self.decode_error:
            raise msgspec.ValidationError(self.decode_error)
        if self.undecoded:
            try:
                self.assembly.put(list(self.undecoded.items()))
            except msgspec.ValidationError as error:
                self.decode_error = str(error)
                raise
            self.undecoded = {}
            self.assembled = self.assembly.manifest()
        return self.assembled

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        return [
            self.revision,
            self.sections,
            self.changed_at,
            self.removed_at,
            self.horizon,
            {key: list(push) for key, push in self.pushes.items()},
            self.version,
            self.source,
            self.key_added_at,
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned, here or earlier.

        Snapshots of releases without numbered pushes have 6 items, and those
        without the times of keys have 8.
        """
        self.cached.clear()
        self.revision = state[0]
        self.sections = sections.upgraded(state[1])
        self.changed_at = sections.upgraded_keys(state[2])
        self.removed_at = sections.upgraded_keys(state[3])
        self.horizon = state[4]
        self.pushes = {key: Accepted(*push) for key, push in state[5].items()}
        self.version, self.source = state[6:8] or (0, "")
        self.key_added_at = state[8] if len(state) > 8 else {}
        self._decode_from_scratch()

    def _update_key_times(self, touched: list[str], at: float) -> None:
        """Updates `key_added_at` after a push changed these sections."""
        if not any(key.startswith(sections.CUSTOMERS) for key in touched):
            return
        customers = self.readable().policies.customers
        self.key_added_at = {
            key: self.key_added_at.get(key, at)
            for customer in customers.values()
            for key in customer.keys
        }

    def _conflict(self, expected: int) -> errors.RevisionConflict:
        # `pushes` is in the order of revisions, so the newest come first here.
        wanted = min(expected + 1, self.revision)
        for push_id, push in reversed(self.pushes.items()):
            if push.revision == wanted:
                return errors.RevisionConflict(
                    f"Revision {self.revision} is in force, not {expected}: "
                    f"{push.operator} won revision {push.revision} with push "
                    f"{push_id}."
                )
        return errors.RevisionConflict(
            f"Revision {self.revision} is in force, not {expected}."
        )

    def _update_since(self, revision: int) -> Update:
        if revision >= self.revision:
            # A node that is ahead of this instance keeps its revision.
            return Update(self.revision, False, {})
        if revision < self.horizon or not revision:
            return Update(self.revision, True, self._all_sections())
        changed = {
            key: self.sections[key]
            for key, at in self.changed_at.items()
            if at > revision
        }
        size = sum(map(len, changed.values()))
        if size > WHOLE_SHARE * sum(map(len, self.sections.values())):
            return Update(self.revision, True, self._all_sections())
        for key, at in self.removed_at.items():
            if at > revision:
                changed[key] = ""
        return Update(self.revision, False, changed)

    def _all_sections(self) -> dict[str, str]:
        """Returns all sections, sorted by key.

        A node may get the first parts of an update from one control instance
        and the rest from another, so both must encode the same bytes.
        """
        return dict(sorted(self.sections.items()))

    def _decode_from_scratch(self) -> None:
        self.assembly.clear()
        self.assembled = manifest.Manifest()
        self.undecoded = dict(self.sections)
        self.decode_error = ""

    def _merge(self, update: Update) -> None:
        for key, text in update.sections.items():
            if not text:
                self._remove(key, update.revision)
                continue
            self._put(key, text, update.revision)

    def _put(self, key: str, text: str, revision: int) -> None:
        self.sections[key] = text
        self.changed_at[key] = revision
        self.removed_at.pop(key, None)
        self.undecoded[key] = text
        self.decode_error = ""

    def _remove(self, key: str, revision: int) -> None:
        self.sections.pop(key, None)
        self.changed_at.pop(key, None)
        self.removed_at.pop(key, None)
        self.removed_at[key] = revision
        self.undecoded[key] = ""
        self.decode_error = ""

    def _forget_old(self) -> None:
        self.cached.clear()
        while len(self.pushes) > PUSHES_KEPT:
            del self.pushes[next(iter(self.pushes))]
        while len(self.removed_at) > REMOVALS_KEPT:
            oldest = next(iter(self.removed_at))
            self.horizon = self.removed_at.pop(oldest)
