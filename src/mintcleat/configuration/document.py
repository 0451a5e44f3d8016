"""The manifest in force, by section, with the revision of each change."""

from typing import Any
from typing import NamedTuple

from mintcleat.configuration import commands
from mintcleat.configuration import sections
from mintcleat.domain import errors
from mintcleat.domain import manifest

# A push may be sent again for as long as its id is kept. The design size of
# 9,600 changes a day fits twice; a resend comes within minutes.
PUSHES_KEPT = 20_000
# A removed section must be told to nodes that still hold it. Nodes that are
# behind the oldest removal kept get the whole manifest instead.
REMOVALS_KEPT = 5_000
# Above this share of the whole, a delta saves nothing worth two code paths
# at the node, and a whole manifest also mends whatever the node holds.
WHOLE_SHARE = 0.8
# Nodes lag by few distinct revisions at a time.
UPDATES_CACHED = 64


class Accepted(NamedTuple):
    """A push that won its revision."""

    revision: int
    operator: str
    at: float


class Update(NamedTuple):
    """What brings a node to `revision`; an empty text removes a section."""

    revision: int
    whole: bool
    sections: dict[str, str]


class Document:
    """Sections of the manifest and the pushes that made them.

    Attributes:
        changed_at: Revision of the last change, by section.
        removed_at: Revision of the removal, by section, oldest first.
        horizon: Nodes below this revision cannot be brought up by a delta.
        pushes: Accepted pushes by id, oldest first.
        unread: Sections changed since the manifest was last assembled.
        version: Highest number of a numbered push; 0 before the first.
        source: What that push was generated from, as its sender gave it.
        key_added_at: When each key of a customer was added, by its digest.
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
        self.unread: dict[str, str] = {}
        self.version = 0
        self.source = ""
        self.key_added_at: dict[str, float] = {}

    def push_version(self, command: commands.PushVersion) -> Accepted:
        """Applies a numbered push, unless one as high was applied before.

        A lower or equal number is a late or repeated one: whoever sent it is
        told what is in force. Equal numbers with other content change
        nothing, so that what was read back under a number stays true.
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
            self._note_keys([*delta.changed, *delta.removed], command.at)
            self._forget_old()
        return Accepted(self.revision, command.operator, command.at)

    def push(
        self, command: commands.Push
    ) -> Accepted | errors.RevisionConflict:
        """Applies a push, or answers a resend with its first outcome.

        The id is looked up before the revision is compared. Otherwise an
        operator who lost the answer and resends would be told of a conflict
        with his own push.
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
        self._note_keys([*command.changed, *command.removed], command.at)
        accepted = Accepted(self.revision, command.operator, command.at)
        self.pushes[command.push_id] = accepted
        self._forget_old()
        return accepted

    def update_since(self, revision: int) -> Update:
        """Returns what brings a node from `revision` to the one in force.

        The cost follows the sections that changed, however many revisions
        lie between.
        """
        if revision not in self.cached:
            if len(self.cached) >= UPDATES_CACHED:
                self.cached.clear()
            self.cached[revision] = self._update_since(revision)
        return self.cached[revision]

    def apply_update(self, update: Update) -> None:
        """Takes an update from another document; lower ones change nothing.

        Changes of several revisions count as changes of the last, also where
        a section came back to what it was: a node in between, served by
        another instance, may hold the section as it was for one revision.
        A whole update does not tell what was touched, so nodes below it get
        the whole too.
        """
        if update.revision <= self.revision:
            return
        if update.whole:
            self.sections = dict(update.sections)
            self._read_anew()
            self.changed_at = dict.fromkeys(update.sections, update.revision)
            self.removed_at = {}
            self.horizon = update.revision
        else:
            self._merge(update)
        self.revision = update.revision
        self._forget_old()

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest in force; decodes only new sections."""
        if self.unread:
            unread, self.unread = self.unread, {}
            self.assembly.put(list(unread.items()))
            self.assembled = self.assembly.manifest()
        return self.assembled

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
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
        """Takes what `state` returned."""
        self.cached.clear()
        self.revision = state[0]
        self.sections = sections.upgraded(state[1])
        self.changed_at = sections.upgraded_keys(state[2])
        self.removed_at = sections.upgraded_keys(state[3])
        self.horizon = state[4]
        self.pushes = {key: Accepted(*push) for key, push in state[5].items()}
        # Releases without numbered pushes end before these.
        self.version, self.source = state[6:8] or (0, "")
        self.key_added_at = state[8] if len(state) > 8 else {}
        self._read_anew()

    def _note_keys(self, touched: list[str], at: float) -> None:
        """Notes when keys came, after a push that touched sections."""
        if not any(key.startswith(sections.CUSTOMERS) for key in touched):
            return
        customers = self.manifest().policies.customers
        self.key_added_at = {
            key: self.key_added_at.get(key, at)
            for customer in customers.values()
            for key in customer.keys
        }

    def _conflict(self, expected: int) -> errors.RevisionConflict:
        # The pushes are in the order of their revisions.
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
            # A node that is ahead of this instance is never taken back.
            return Update(self.revision, False, {})
        if revision < self.horizon or not revision:
            return Update(self.revision, True, self._everything())
        found = {
            key: self.sections[key]
            for key, at in self.changed_at.items()
            if at > revision
        }
        size = sum(map(len, found.values()))
        if size > WHOLE_SHARE * sum(map(len, self.sections.values())):
            return Update(self.revision, True, self._everything())
        for key, at in self.removed_at.items():
            if at > revision:
                found[key] = ""
        return Update(self.revision, False, found)

    def _everything(self) -> dict[str, str]:
        """Returns all sections in an order that every instance shares.

        A node that got a part of them from one instance gets the rest from
        another, so both must make the same bytes.
        """
        return dict(sorted(self.sections.items()))

    def _read_anew(self) -> None:
        self.assembly.clear()
        self.assembled = manifest.Manifest()
        self.unread = dict(self.sections)

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
        self.unread[key] = text

    def _remove(self, key: str, revision: int) -> None:
        self.sections.pop(key, None)
        self.changed_at.pop(key, None)
        self.removed_at.pop(key, None)
        self.removed_at[key] = revision
        self.unread[key] = ""

    def _forget_old(self) -> None:
        self.cached.clear()
        while len(self.pushes) > PUSHES_KEPT:
            del self.pushes[next(iter(self.pushes))]
        while len(self.removed_at) > REMOVALS_KEPT:
            oldest = next(iter(self.removed_at))
            self.horizon = self.removed_at.pop(oldest)
