"""A manifest as many small sections, so that only what changed travels.

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
# Names that releases before the present ones gave to sections and policies.
_RENAMED = {"partners": CUSTOMERS}
_RENAMED_POLICY = ('"default_partner":', '"default_customer":')


class Delta(NamedTuple):
    """Sections that differ between two manifests."""

    changed: dict[str, str]
    removed: list[str]


def split(whole: manifest.Manifest) -> dict[str, str]:
    """Returns the sections of a manifest."""
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
    """Returns sections that an earlier release stored, under today's names.

    An instance that could not read its own disk after an upgrade would have
    to be emptied, and a majority of such instances would lose the manifest.
    """
    found = upgraded_keys(stored)
    old, new = _RENAMED_POLICY
    if POLICIES in found:
        found[POLICIES] = found[POLICIES].replace(old, new)
    return found


def upgraded_keys(stored: dict[str, Any]) -> dict[str, Any]:
    """Returns what is kept by section, under today's names of sections."""
    found = {}
    for key, value in stored.items():
        group, slash, name = key.partition("/")
        found[_RENAMED.get(group, group) + slash + name] = value
    return found


def difference(before: dict[str, str], after: dict[str, str]) -> Delta:
    """Returns what turns `before` into `after`."""
    changed = {
        key: text for key, text in after.items() if before.get(key) != text
    }
    removed = sorted(key for key in before if key not in after)
    return Delta(changed, removed)


class Assembly:
    """A manifest put together from sections; only new ones are decoded.

    Attributes:
        typed: Decoded items by group and name.
    """

    def __init__(self) -> None:
        self.typed: dict[str, dict[str, Any]] = {}
        self.clear()

    def clear(self) -> None:
        """Drops every section."""
        self.typed = {group: {} for group in _TYPES}

    def put(self, sections: Iterable[tuple[str, str]]) -> None:
        """Takes new texts of sections; an empty text removes the section.

        Raises:
            msgspec.ValidationError: The text is not of this release's schema.
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
        """Returns the manifest of the sections held now."""
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
