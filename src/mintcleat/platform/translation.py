"""Translates a valid configuration of the platform to a manifest.

The manifest of a valid configuration is always valid: whatever a manifest
restricts further is replaced here by what comes closest to it.
"""

from collections.abc import Iterable
import fractions
import math
from typing import Any

import msgspec

from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.domain import uris
from mintcleat.platform import configuration as configuration_module
from mintcleat.platform import names

# Retry mode of a route by the platform's kind of request.
_RETRY_MODES = {"safe": "any", "unsafe": "never"}
_STREAM = "stream"
_MODEL = "model"
# Bounds within which timers and messages between processes work. Times of 0
# mean that a field isn't set.
_LEAST_SECONDS = 1e-6
_MOST_SECONDS = 366 * 86_400.0
_MOST = 2**53
# Sum of the weights of a route if they can't be kept as they are. A service is
# chosen by a hash of 64 bits, so that no share is off by more than 1 in 10**9.
_SCALED_WEIGHTS = 10**9


def to_manifest(
    configuration: configuration_module.Configuration, policies: dict[str, Any]
) -> str:
    """Translates a configuration to a manifest, as JSON.

    Args:
        configuration: A valid configuration.
        policies: Policies that the platform sets outside the configuration.
    """
    customers = configuration.customers or []
    limits = configuration.limits or configuration_module.Limits()
    built = {
        "services": {
            names.in_manifest(service.name): _service(service)
            for service in configuration.services
        },
        "routes": _routes(configuration.routes),
        "limits": _limits(limits),
        "policies": {
            **policies,
            "stale_lease": "serve",
            "require_keys": bool(customers),
            "customers": {
                names.in_manifest(customer.name): _customer(customer)
                for customer in customers
            },
        },
    }
    return msgspec.json.encode(built).decode()


def _service(service: configuration_module.Service) -> dict[str, Any]:
    built: dict[str, Any] = {
        "kind": "plain",
        "connections": _bounded(service.max_connections),
    }
    engine = service.engine_fields()
    if engine is not None:
        models = engine.models or [configuration_module.Model()]
        stride = engine.stride
        built["kind"] = _MODEL
        built["model"] = models[0].name or _MODEL
        built["tokens_per_event"] = 1 if stride is None else _bounded(stride)
        built["memory_tokens"] = _bounded(engine.kv_capacity_tokens)
        built["backups"] = bool(engine.backups)
        if engine.moves:
            built.update(_moves(engine))
    return built


def _moves(engine: configuration_module.Engine) -> dict[str, Any]:
    """Returns the fields of a service whose engines move running requests.

    Moves stay off if one of the numbers is missing or not positive: a request
    can't be moved without them, and an engine that only states that it could
    must not fail the whole configuration.
    """
    seconds = engine.handle_seconds
    built: dict[str, Any] = {
        "token_bytes": engine.kv_token_bytes,
        "link_mbps": engine.link_mbps,
        "handle_seconds": (
            engine.handle_seconds_camel if seconds is None else seconds
        ),
    }
    if not all(
        type(value) in (int, float) and 0 < value <= _MOST
        for value in built.values()
    ):
        return {}
    return {
        "moves": True,
        **built,
        "token_bytes": math.ceil(built["token_bytes"]),
    }


def _routes(
    routes: Iterable[configuration_module.Route],
) -> dict[str, dict[str, Any]]:
    """Returns the routes by their names in the manifest.

    The names of a configuration's routes need not be unique.
    """
    built: dict[str, dict[str, Any]] = {}
    repetitions: dict[str, int] = {}
    for route in routes:
        name = names.in_manifest(route.name)
        while name in built:
            count = repetitions.get(route.name, 1) + 1
            repetitions[route.name] = count
            name = names.in_manifest(f"{route.name} {count}")
        built[name] = _route(route)
    return built


def _route(route: configuration_module.Route) -> dict[str, Any]:
    is_stream = route.kind == _STREAM
    resumable = is_stream and route.resumable
    built = {
        "host": uris.normal_host(route.host),
        "prefix": route.path_prefix,
        "shares": _shares(route),
        "stream": is_stream,
        "repeat": (
            "resume" if resumable else _RETRY_MODES.get(route.kind, "never")
        ),
        "timeout": _seconds(route.timeout_ms),
        "priority": _bounded(route.priority),
        "attempts": max(1, _bounded(route.attempts)),
        "affinity": bool(route.sticky),
        "public": bool(route.public),
    }
    if route.target_latency_ms:
        built["target_latency"] = _seconds(route.target_latency_ms)
    if route.target_gap_ms:
        built["target_gap"] = _seconds(route.target_gap_ms)
    retention = min(route.retention_s or 0.0, _MOST_SECONDS)
    if route.retain_context:
        built["retention"] = retention
    elif retention:
        built["budget_retention"] = retention
    return built


def _shares(route: configuration_module.Route) -> list[dict[str, Any]]:
    if not route.split:
        service = names.in_manifest(route.service or "")
        return [{"service": service, "weight": 1}]
    weights = integer_weights([share.weight for share in route.split])
    return [
        {"service": names.in_manifest(share.service), "weight": weight}
        for share, weight in zip(route.split, weights, strict=True)
    ]


def integer_weights(weights: list[float]) -> list[int]:
    """Returns integers with the ratios of some weights, of which one is > 0.

    Weights that are integers are kept. Otherwise those that are not 0 stay
    above 0, even if their share is far below one in 10**9.
    """
    # The decimal digits, not the binary value: 0.1 and 0.9 become 1 and 9.
    exact = [fractions.Fraction(repr(weight)) for weight in weights]
    factor = math.lcm(*(weight.denominator for weight in exact))
    if factor * sum(exact) <= _MOST:
        return [int(weight * factor) for weight in exact]
    scale = _SCALED_WEIGHTS / sum(exact)
    return [max(1, round(weight * scale)) if weight else 0 for weight in exact]


def _customer(customer: configuration_module.Customer) -> dict[str, Any]:
    built: dict[str, Any] = {
        # No request carries an empty key.
        "keys": list(
            dict.fromkeys(
                keys.digest(key)
                for key in map(
                    configuration_module.sent_key, customer.api_keys or ()
                )
                if key
            )
        ),
        "rate": min(customer.rate_per_s or 0.0, float(_MOST)),
        "burst": min(customer.burst or 0.0, float(_MOST)),
    }
    if customer.priority is not None:
        built["priority"] = _bounded(customer.priority)
    if names.in_manifest(customer.name) != customer.name:
        built["label"] = customer.name
    return built


def _limits(limits: configuration_module.Limits) -> dict[str, Any]:
    defaults = manifest.Limits()
    return {
        "header_bytes": _bounded(limits.max_header_bytes)
        or defaults.header_bytes,
        "body_bytes": _bounded(limits.max_body_bytes) or defaults.body_bytes,
        "header_seconds": _seconds(limits.header_timeout_ms)
        or defaults.header_seconds,
        "idle_seconds": _seconds(limits.idle_timeout_ms)
        or defaults.idle_seconds,
    }


def _bounded(count: int | None) -> int:
    return min(count or 0, _MOST)


def _seconds(milliseconds: float | None) -> float:
    """Returns the seconds of a time; 0 only for one that isn't set."""
    if not milliseconds:
        return 0.0
    return min(max(milliseconds / 1000.0, _LEAST_SECONDS), _MOST_SECONDS)
