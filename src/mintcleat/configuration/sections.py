"""A manifest split into sections, so that only changed ones are sent.

A section is one program, service, customer or route, the limits, or all other
policies. Its key is `programs/NAME`, `services/NAME`, `customers/NAME`,
`routes/NAME`, `limits` or `policies`; its value is JSON text with sorted keys.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec

from mintcleat.domain import manifest

PROGRAMS = "programs"
SERVICES = "services"
CUSTOMERS = "customers"
ROUTES = "routes"
LIMITS = "limits"
POLICIES = "policies"
_TYPES: dict[str, Any] = {
    PROGRAMS: manifest.Program,
    SERVICES: manifest.Service,
    CUSTOMERS: manifest.Customer,
    ROUTES: manifest.Route,
    LIMITS: manifest.Limits,
    POLICIES: manifest.Policies,
}
# Names of sections and policies in the stored state of earlier releases, with
# their present names.
_RENAMED = {"partners": CUSTOMERS}
_RENAMED_POLICY = ('"default_partner":', '"default_customer":')


class Delta(NamedTuple):
    """Sections that differ between two manifests.

    Attributes:
        changed: JSON text of added and changed sections, by key.
        removed: Sorted keys of removed sections.
    """

    changed: dict[str, str]
    removed: list[str]


def split(whole: manifest.Manifest) -> dict[str, str]:
    """Returns the sections of a manifest, as JSON text by key."""
    bare = msgspec.structs.replace(whole.policies, customers={})
    sections = {POLICIES: _text(bare)}
    if whole.limits != manifest.Limits():
        sections[LIMITS] = _text(whole.limits)
    groups = (
        (PROGRAMS, whole.programs),
        (SERVICES, whole.services),
        (ROUTES, whole.routes),
        (CUSTOMERS, whole.policies.customers),
    )
    for group, items in groups:
        for name, item in items.items():
            sections[f"{group}/{name}"] = _text(item)
    return sections


def upgraded(stored: dict[str, str]) -> dict[str, str]:
    """Returns stored sections with the present names of keys and policies.

    A control instance that couldn't read its disk after an upgrade would have
    to be set up from scratch. If a majority had to, the manifest would be
    lost.
    """
    renamed = upgraded_keys(stored)
    old, new = _RENAMED_POLICY
    if POLICIES in renamed:
        renamed[POLICIES] = renamed[POLICIES].replace(old, new)
    return renamed


def upgraded_keys(stored: dict[str, Any]) -> dict[str, Any]:
    """Returns values by section key with the present names of the keys."""
    renamed = {}
    for key, value in stored.items():
        group, slash, name = key.partition("/")
        renamed[_RENAMED.get(group, group) + slash + name] = value
    return renamed


def difference(before: dict[str, str], after: dict[str, str]) -> Delta:
    """Returns the delta that turns `before` into `after`."""
    changed = {
        key: text for key, text in after.items() if before.get(key) != text
    }
    removed = sorted(key for key in before if key not in after)
    return Delta(changed, removed)


class Assembly:
    """Assembles a manifest from sections and decodes each section once.

    Attributes:
        typed: Decoded items by group (the key up to the `/`) and name.
    """

    def __init__(self) -> None:
        self.typed: dict[str, dict[str, Any]] = {}
        self.clear()

    def clear(self) -> None:
        """Removes all sections."""
        self.typed = {group: {} for group in _TYPES}

    def put(self, sections: Iterable[tuple[str, str]]) -> None:
        """Adds or replaces sections; an empty text removes one.

        Raises:
            msgspec.ValidationError: A text doesn't match the schema of this
                release. Nothing was changed.
        """
        decoded = [
            (key, msgspec.json.decode(text, type=_TYPES[_group(key)]))
            for key, text in sections
            if text
        ]
        for key, text in sections:
            if not text:
                self.typed[_group(key)].pop(_name(key), None)
        for key, item in decoded:
            self.typed[_group(key)][_name(key)] = item

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest that consists of the present sections."""
        policies = self.typed[POLICIES].get("") or manifest.Policies()
        return manifest.Manifest(
            programs=dict(self.typed[PROGRAMS]),
            services=dict(self.typed[SERVICES]),
            routes=dict(self.typed[ROUTES]),
            limits=self.typed[LIMITS].get("") or manifest.Limits(),
            policies=msgspec.structs.replace(
                policies, customers=dict(self.typed[CUSTOMERS])
            ),
        )


def _group(key: str) -> str:
    return key.partition("/")[0]


def _name(key: str) -> str:
    return key.partition("/")[2]


def _text(item: Any) -> str:
    return msgspec.json.encode(item, order="sorted").decode()
