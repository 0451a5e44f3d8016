"""Converts the operators' configuration to a manifest."""

import math
import reprlib
from typing import Any

import msgspec

from mintcleat.domain import errors
from mintcleat.domain import manifest

# Retry mode of a route by the platform's kind of request.
_RETRY_MODES = {"safe": "any", "unsafe": "never"}
_STREAM = "stream"
_MODEL = "model"


def version_of(body: bytes) -> int:
    """Returns the version of a configuration.

    Raises:
        errors.InvalidManifest: The body is not a JSON object, or its version
            is not a positive integer.
    """
    version = _decode(body).get("version")
    if not isinstance(version, int) or version < 1:
        raise errors.InvalidManifest(
            "$.version: must be an integer above 0, but is "
            f"{reprlib.repr(version)}."
        )
    return version


def to_manifest(body: bytes, policies: dict[str, Any]) -> str:
    """Converts a configuration to a manifest, as JSON.

    Unknown fields are ignored: the platform may add fields at any time.

    Args:
        body: The configuration as JSON.
        policies: Policies that the platform sets outside the configuration.

    Raises:
        errors.InvalidManifest: The body is not a JSON object, or a required
            field is missing or of the wrong type.
    """
    fields = _decode(body)
    try:
        built = {
            "services": _by_name(fields["services"], _service),
            "routes": _by_name(fields["routes"], _route),
            "limits": _limits(fields.get("limits") or {}),
            "policies": {
                **policies,
                "stale_lease": "serve",
                "require_keys": bool(fields.get("tenants")),
                "customers": _by_name(fields.get("tenants") or [], _customer),
            },
        }
        return msgspec.json.encode(built).decode()
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise errors.InvalidManifest(
            f"$: a field is missing, of the wrong type or repeated: {error!r}."
        ) from None


def _decode(body: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.InvalidManifest(
            f"$: must be valid JSON: {error}."
        ) from None
    if not isinstance(fields, dict):
        raise errors.InvalidManifest(
            f"$: must be an object, but is of type {type(fields).__name__}."
        )
    return fields


def _by_name(items: list[dict[str, Any]], build: Any) -> dict[str, Any]:
    built: dict[str, Any] = {}
    for item in items:
        if item["name"] in built:
            raise ValueError(
                f"the name {item['name']!r} occurs twice; names must be unique"
            )
        built[item["name"]] = build(item)
    return built


def _service(item: dict[str, Any]) -> dict[str, Any]:
    built: dict[str, Any] = {
        "kind": "plain",
        "connections": item.get("maxConnections", 0),
    }
    engine = item.get("engine")
    if engine:
        models = engine.get("models") or [{"name": _MODEL}]
        built["kind"] = _MODEL
        built["model"] = models[0]["name"]
        built["tokens_per_event"] = engine.get("stride", 1)
        built["memory_tokens"] = engine.get("kvCapacityTokens", 0)
        built["backups"] = bool(engine.get("backups"))
        if engine.get("moves"):
            built.update(_moves(engine))
    return built


def _moves(engine: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields of a service whose engines move running requests.

    Moves stay off if one of the numbers is missing or not positive: a request
    can't be moved without them, and an engine that only states that it could
    must not fail the whole configuration.
    """
    built: dict[str, Any] = {
        "token_bytes": engine.get("kvTokenBytes"),
        "link_mbps": engine.get("linkMbps"),
        "handle_seconds": engine.get("handle_s", engine.get("handleS")),
    }
    if not all(
        type(value) in (int, float) and value > 0 for value in built.values()
    ):
        return {}
    return {
        "moves": True,
        **built,
        "token_bytes": math.ceil(built["token_bytes"]),
    }


def _route(item: dict[str, Any]) -> dict[str, Any]:
    kind = item["kind"]
    resumable = kind == _STREAM and item.get("resumable")
    shares = item.get("split") or [{"service": item["service"], "weight": 1}]
    built = {
        "host": item["host"],
        "prefix": item["pathPrefix"],
        "shares": [
            {"service": share["service"], "weight": share["weight"]}
            for share in shares
        ],
        "stream": kind == _STREAM,
        "repeat": "resume" if resumable else _RETRY_MODES.get(kind, "never"),
        "timeout": item["timeoutMs"] / 1000.0,
        "priority": item.get("priority", 0),
        "attempts": max(1, item.get("attempts", 1)),
        "affinity": bool(item.get("sticky")),
        "public": bool(item.get("public")),
    }
    if item.get("targetLatencyMs"):
        built["target_latency"] = item["targetLatencyMs"] / 1000.0
    if item.get("targetGapMs"):
        built["target_gap"] = item["targetGapMs"] / 1000.0
    if item.get("retainContext"):
        built["retention"] = float(item.get("retentionS", 0.0))
    return built


def _customer(item: dict[str, Any]) -> dict[str, Any]:
    built = {
        "keys": item.get("apiKeys") or [],
        "rate": item.get("ratePerS") or 0,
        "burst": item.get("burst") or 0,
    }
    if item.get("priority") is not None:
        built["priority"] = item["priority"]
    return built


def _limits(item: dict[str, Any]) -> dict[str, Any]:
    defaults = manifest.Limits()
    idle_timeout_ms = item.get("idleTimeoutMs", defaults.idle_seconds * 1000)
    return {
        "header_bytes": item.get("maxHeaderBytes", defaults.header_bytes),
        "body_bytes": item.get("maxBodyBytes", defaults.body_bytes),
        "header_seconds": item.get(
            "headerTimeoutMs", defaults.header_seconds * 1000
        )
        / 1000.0,
        "idle_seconds": idle_timeout_ms / 1000.0,
    }
