"""Finds every fault of a manifest, each with the path of its field.

msgspec stops at the first fault, so an operator would push once per fault.
The walk below follows msgspec's own description of the types instead.
"""

import re
from typing import Any
from typing import NamedTuple

from msgspec import inspect

from mintcleat.domain import keys

PATTERN = re.compile(r"(\*|[A-Za-z]+) /\S*")
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z"
NAME = re.compile(NAME_PATTERN)
_SECRET = re.compile(r"\.keys(\[\d+\])?$")
SCALARS = {
    inspect.StrType: (str, "a text"),
    inspect.IntType: (int, "a whole number"),
    inspect.BoolType: (bool, "true or false"),
}


class Fault(NamedTuple):
    """One fault; `path` starts with `$`, the whole manifest."""

    path: str
    problem: str


def schema_faults(value: Any, kind: type) -> list[Fault]:
    """Returns the unknown, missing and ill-typed fields of decoded JSON."""
    faults: list[Fault] = []
    _walk(value, inspect.type_info(kind), "$", faults)
    return faults


def without_unknown(value: Any, node: inspect.Type) -> Any:
    """Returns decoded JSON without the fields that its type does not have.

    What is left may be well typed; dangling names are then found in the same
    run as the unknown fields.
    """
    match node:
        case inspect.StructType(fields=fields) if isinstance(value, dict):
            return {
                field.encode_name: without_unknown(
                    value[field.encode_name], field.type
                )
                for field in fields
                if field.encode_name in value
            }
        case inspect.DictType(value_type=kind) if isinstance(value, dict):
            return {
                name: without_unknown(item, kind)
                for name, item in value.items()
            }
        case _:
            return value


def reference_faults(manifest: Any) -> list[Fault]:
    """Returns the faults between well-typed fields of a Manifest."""
    faults: list[Fault] = []
    for name, program in manifest.programs.items():
        _check_program(f"$.programs.{name}", program, manifest, faults)
    for name, service in manifest.services.items():
        _check_service(f"$.services.{name}", service, faults)
    _check_routes(manifest, faults)
    _check_policies(manifest.policies, faults)
    return faults


def _walk(value: Any, node: inspect.Type, path: str, out: list[Fault]) -> None:
    match node:
        case inspect.StructType():
            _walk_struct(value, node, path, out)
        case inspect.DictType(value_type=inner):
            _walk_dict(value, inner, path, out)
        case inspect.ListType(item_type=inner):
            if not isinstance(value, list):
                shown = _shown(value, path)
                out.append(Fault(path, f"must be a list, not {shown}"))
                return
            for index, item in enumerate(value):
                _walk(item, inner, f"{path}[{index}]", out)
        case inspect.LiteralType(values=values):
            if value not in values:
                choices = ", ".join(map(str, values))
                out.append(
                    Fault(path, f"must be one of {choices}, not {value!r}")
                )
        case inspect.UnionType(types=kinds):
            if value is not None:
                bare = [k for k in kinds if not isinstance(k, inspect.NoneType)]
                _walk(value, bare[0], path, out)
        case inspect.FloatType():
            _check_number(value, path, out)
        case _:
            _check_scalar(value, node, path, out)


def _walk_struct(
    value: Any, node: inspect.StructType, path: str, out: list[Fault]
) -> None:
    if not isinstance(value, dict):
        out.append(Fault(path, f"must be an object, not {_shown(value)}"))
        return
    fields = {field.encode_name: field for field in node.fields}
    for name, item in value.items():
        if name in fields:
            _walk(item, fields[name].type, f"{path}.{name}", out)
            continue
        known = ", ".join(fields)
        out.append(Fault(f"{path}.{name}", f"unknown field; known: {known}"))
    out.extend(
        Fault(f"{path}.{name}", "is missing")
        for name, field in fields.items()
        if field.required and name not in value
    )


def _walk_dict(
    value: Any, inner: inspect.Type, path: str, out: list[Fault]
) -> None:
    if not isinstance(value, dict):
        out.append(Fault(path, f"must be an object, not {_shown(value)}"))
        return
    for name, item in value.items():
        if not NAME.match(name):
            out.append(
                Fault(
                    f"{path}.{name}",
                    "a name takes 1 to 128 letters, digits, dots, dashes "
                    "and underscores, and starts with a letter or digit",
                )
            )
        _walk(item, inner, f"{path}.{name}", out)


def _check_number(value: Any, path: str, out: list[Fault]) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        out.append(Fault(path, f"must be a number, not {_shown(value)}"))
    elif value < 0:
        out.append(Fault(path, f"must not be negative, but is {value}"))


def _check_scalar(
    value: Any, node: inspect.Type, path: str, out: list[Fault]
) -> None:
    kind, words = SCALARS[type(node)]
    if type(value) is not kind:
        shown = _shown(value, path)
        out.append(Fault(path, f"must be {words}, not {shown}"))
    elif kind is int and value < 0:
        out.append(Fault(path, f"must not be negative, but is {value}"))


def _shown(value: Any, path: str = "") -> str:
    """Returns a value as a fault names it; never what may be a key."""
    names = {dict: "an object", list: "a list", type(None): "null"}
    if _SECRET.search(path):
        names |= {str: "a text", int: "a number", float: "a number"}
    return names.get(type(value), repr(value))


def _check_program(
    path: str, program: Any, manifest: Any, out: list[Fault]
) -> None:
    _check_service_name(
        f"{path}.service", program.service, "model", manifest, out
    )
    for name, tool in program.tools.items():
        where = f"{path}.tools.{name}"
        _check_service_name(
            f"{where}.service", tool.service, "plain", manifest, out
        )
        _check_patterns(f"{where}.non_idempotent", tool.non_idempotent, out)


def _check_service_name(
    path: str, name: str, kind: str, manifest: Any, out: list[Fault]
) -> None:
    service = manifest.services.get(name)
    if service is None:
        out.append(Fault(path, f"names {name!r}, which is no service"))
    elif service.kind != kind:
        out.append(
            Fault(path, f"names {name!r}, a {service.kind} service, not {kind}")
        )


def _check_service(path: str, service: Any, out: list[Fault]) -> None:
    if service.floor > service.replicas:
        out.append(
            Fault(
                f"{path}.floor",
                f"is {service.floor}, over the {service.replicas} replicas",
            )
        )
    if service.kind == "model" and not service.model:
        out.append(Fault(f"{path}.model", "is missing for a model service"))
    if service.kind == "plain" and service.model:
        out.append(Fault(f"{path}.model", "has no place in a plain service"))
    _check_patterns(f"{path}.idempotent", service.idempotent, out)
    _check_patterns(f"{path}.non_idempotent", service.non_idempotent, out)


def _check_patterns(path: str, patterns: list[str], out: list[Fault]) -> None:
    out.extend(
        Fault(f"{path}[{index}]", f"{pattern!r} is no `METHOD /path-prefix`")
        for index, pattern in enumerate(patterns)
        if not PATTERN.fullmatch(pattern)
    )


def _check_routes(manifest: Any, out: list[Fault]) -> None:
    places: dict[tuple[str, str], str] = {}
    for name, route in manifest.routes.items():
        path = f"$.routes.{name}"
        taken = places.setdefault((route.host, route.prefix), name)
        if taken != name:
            out.append(
                Fault(path, f"has the host and prefix of the route {taken!r}")
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            out.append(
                Fault(f"{path}.prefix", "must begin and end with a slash")
            )
        if not route.timeout:
            out.append(Fault(f"{path}.timeout", "must be more than 0"))
        if not sum(share.weight for share in route.shares):
            out.append(Fault(f"{path}.shares", "need a weight above 0"))
        out.extend(
            Fault(
                f"{path}.shares[{number}].service",
                f"names {share.service!r}, which is no service",
            )
            for number, share in enumerate(route.shares)
            if share.service not in manifest.services
        )


def _check_policies(policies: Any, out: list[Fault]) -> None:
    default = policies.default_customer
    if default and default not in policies.customers:
        out.append(
            Fault(
                "$.policies.default_customer",
                f"names {default!r}, which is no customer",
            )
        )
    if policies.weights.program_latency + policies.weights.wasted_cache <= 0:
        out.append(
            Fault("$.policies.weights", "must not both be 0; one must count")
        )
    holders: dict[str, str] = {}
    for name, customer in policies.customers.items():
        path = f"$.policies.customers.{name}"
        if customer.share <= 0:
            out.append(Fault(f"{path}.share", "must be more than 0"))
        _check_keys(f"{path}.keys", name, customer.keys, holders, out)


def _check_keys(
    path: str,
    name: str,
    held: list[str],
    holders: dict[str, str],
    out: list[Fault],
) -> None:
    """Finds empty keys and keys that come twice; shows digests alone."""
    for index, key in enumerate(held):
        where = f"{path}[{index}]"
        if not key:
            out.append(Fault(where, "must not be empty"))
            continue
        holder = holders.setdefault(key, name)
        if holder != name or key in held[:index]:
            shown = keys.short_digest(key)
            out.append(
                Fault(where, f"is the key {shown} that {holder!r} has too")
            )
