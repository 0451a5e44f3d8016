"""Conversion of messages to JSON data for operators."""

import collections
from typing import Any

import msgspec

from mintcleat.domain import operator_messages
from mintcleat.domain import program_messages

# JSON names of fields whose names are keywords in Python.
_JSON_NAMES = {"klass": "class"}


def plain(value: Any) -> Any:
    """Returns JSON data: named tuples as objects, bytes in hexadecimal."""
    if isinstance(value, msgspec.Raw):
        return value
    if hasattr(value, "_asdict"):
        return {
            _JSON_NAMES.get(name, name): plain(item)
            for name, item in value._asdict().items()
        }
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {name: plain(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


def load(
    views: list[program_messages.LoadView],
    customers: int,
    max_upstreams: int = 50,
) -> dict[str, Any]:
    """Returns the load over all groups.

    Each entry reports all its running requests to every leader that it sends
    turns to, so the largest count of an upstream is the most complete one. One
    group counts the requests of a customer; any group may refuse them.

    Args:
        views: View of each group.
        customers: Maximum number of customers.
        max_upstreams: Maximum number of upstreams.
    """
    upstreams: dict[str, program_messages.UpstreamLoad] = {}
    usages: dict[str, program_messages.CustomerLoad] = {}
    for view in views:
        for item in view.upstreams:
            other = upstreams.get(item.upstream)
            upstreams[item.upstream] = (
                _merge_upstreams(other, item) if other else item
            )
        for load in view.customers:
            usage = usages.get(load.customer)
            usages[load.customer] = (
                _merge_customers(usage, load) if usage else load
            )
    listed = sorted(usages.values(), key=program_messages.CustomerLoad.sort_key)
    found = sorted(
        upstreams.values(), key=program_messages.UpstreamLoad.sort_key
    )
    count = max((view.upstream_count for view in views), default=0)
    return {
        "entries": max((view.entries for view in views), default=0),
        "upstreams": plain(found[:max_upstreams]),
        "upstream_count": max(count, len(found)),
        "customers": plain(listed[:customers]),
        "services": plain([item for view in views for item in view.services]),
        "versions": plain(_merge_versions(views)),
    }


def _merge_versions(
    views: list[program_messages.LoadView],
) -> list[program_messages.VersionLoad]:
    """Returns the versions of services' software, with their most requests."""
    found: dict[tuple[str, str], program_messages.VersionLoad] = {}
    for item in (item for view in views for item in view.versions):
        name = (item.service, item.version)
        other = found.get(name, item)
        found[name] = max(item, other, key=lambda one: one.running)
    return [found[name] for name in sorted(found)]


def _merge_upstreams(
    one: program_messages.UpstreamLoad, other: program_messages.UpstreamLoad
) -> program_messages.UpstreamLoad:
    """Returns the load of one upstream that two groups' leaders reported.

    Each entry reports everything to every leader, so the values are not added:
    the greater one comes from the leader that has heard from more entries.
    """
    most = max(one, other, key=lambda item: item.running)
    speed = max(one, other, key=lambda item: item.speed_reports)
    return most._replace(
        speed=speed.speed,
        speed_reports=speed.speed_reports,
        avoided_by=max(one.avoided_by, other.avoided_by),
        avoided=one.avoided or other.avoided,
    )


def _merge_customers(
    one: program_messages.CustomerLoad, other: program_messages.CustomerLoad
) -> program_messages.CustomerLoad:
    """Returns the load of one customer that two groups reported.

    The delays are the longer ones: medians can't be merged.
    """
    refused = collections.Counter(one.refused) + collections.Counter(
        other.refused
    )
    reasons = collections.Counter(one.reasons) + collections.Counter(
        other.reasons
    )
    return max(one, other, key=lambda item: item.used)._replace(
        refused=dict(refused),
        reasons=dict(reasons),
        retry_after=max(one.retry_after, other.retry_after),
        retry_after_max=max(one.retry_after_max, other.retry_after_max),
    )


def status(
    instances: operator_messages.Instances,
    upstreams: operator_messages.Upstreams,
    rollouts: operator_messages.Rollouts,
    listed: operator_messages.QuarantineList,
) -> dict[str, Any]:
    """Returns the status overview for operators.

    `in_force` is the number of live nodes, those that hold a lease, that have
    applied the current revision; `late` lists the live nodes with an older one.
    """
    revision = instances.revision
    live = [node for node in instances.nodes if node.lease > 0]
    late = [node for node in live if node.revision < revision]
    services: dict[str, dict[str, int]] = {}
    for view in upstreams.upstreams:
        counts = services.setdefault(view.announcement.service, {})
        state = "draining" if view.drained else view.announcement.state
        counts[state] = counts.get(state, 0) + 1
    return {
        "revision": revision,
        "live": len(live),
        "in_force": len(live) - len(late),
        "late": sorted(node.node.instance for node in late),
        "missing": instances.missing,
        "services": services,
        "rollouts": plain(rollouts.rollouts),
        "quarantined": sum(item.quarantined for item in listed.entries),
    }
