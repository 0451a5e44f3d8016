"""Validation of manifests that reports every error with its path.

msgspec stops at the first error, so an operator would have to push once per
error. The functions below walk msgspec's description of the types instead.
"""

import re
from typing import Any
from typing import NamedTuple

from msgspec import inspect

from mintcleat.domain import keys
from mintcleat.domain import uris

_ENDPOINT_PATTERN = re.compile(r"(\*|[A-Za-z]+) /\S*")
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z"
_NAME = re.compile(NAME_PATTERN)
_KEY_PATH = re.compile(r"\.keys(\[\d+\])?$")
_SCALARS: dict[type, tuple[type, str]] = {
    inspect.StrType: (str, "a string"),
    inspect.IntType: (int, "an integer"),
    inspect.BoolType: (bool, "true or false"),
}


class Violation(NamedTuple):
    """A violation of the schema or of a rule between fields.

    Attributes:
        path: Path of the field, from the root `$`.
        problem: What is wrong, as the predicate of a sentence on the field.
    """

    path: str
    problem: str


def schema_violations(value: Any, kind: type) -> list[Violation]:
    """Returns the unknown, missing and ill-typed fields of decoded JSON."""
    violations: list[Violation] = []
    _walk(value, inspect.type_info(kind), "$", violations)
    return violations


def without_unknown_fields(value: Any, node: inspect.Type) -> Any:
    """Returns decoded JSON without the fields that its type does not have.

    If the rest matches the types, dangling references are found in the same
    run as the unknown fields.
    """
    match node:
        case inspect.StructType(fields=fields) if isinstance(value, dict):
            return {
                field.encode_name: without_unknown_fields(
                    value[field.encode_name], field.type
                )
                for field in fields
                if field.encode_name in value
            }
        case inspect.DictType(value_type=kind) if isinstance(value, dict):
            return {
                name: without_unknown_fields(item, kind)
                for name, item in value.items()
            }
        case _:
            return value


def reference_violations(manifest: Any) -> list[Violation]:
    """Returns the violated rules between fields of a parsed Manifest."""
    violations: list[Violation] = []
    for name, program in manifest.programs.items():
        _check_program(f"$.programs.{name}", program, manifest, violations)
    for name, service in manifest.services.items():
        _check_service(f"$.services.{name}", service, violations)
    _check_routes(manifest, violations)
    _check_policies(manifest.policies, violations)
    return violations


def _walk(
    value: Any, node: inspect.Type, path: str, out: list[Violation]
) -> None:
    match node:
        case inspect.StructType():
            _walk_struct(value, node, path, out)
        case inspect.DictType(value_type=inner):
            _walk_dict(value, inner, path, out)
        case inspect.ListType(item_type=inner):
            if not isinstance(value, list):
                found = _describe(value, path)
                out.append(Violation(path, f"must be a list, not {found}"))
                return
            for index, item in enumerate(value):
                _walk(item, inner, f"{path}[{index}]", out)
        case inspect.LiteralType(values=values):
            if value not in values:
                choices = ", ".join(map(str, values))
                out.append(
                    Violation(path, f"must be one of {choices}, not {value!r}")
                )
        case inspect.UnionType(types=kinds):
            if value is not None:
                variants = [
                    k for k in kinds if not isinstance(k, inspect.NoneType)
                ]
                _walk(value, variants[0], path, out)
        case inspect.FloatType():
            _check_number(value, path, out)
        case _:
            _check_scalar(value, node, path, out)


def _walk_struct(
    value: Any, node: inspect.StructType, path: str, out: list[Violation]
) -> None:
    if not isinstance(value, dict):
        out.append(
            Violation(path, f"must be an object, not {_describe(value)}")
        )
        return
    fields = {field.encode_name: field for field in node.fields}
    for name, item in value.items():
        if name in fields:
            _walk(item, fields[name].type, f"{path}.{name}", out)
            continue
        known = ", ".join(fields)
        out.append(
            Violation(f"{path}.{name}", f"unknown field; known: {known}")
        )
    out.extend(
        Violation(f"{path}.{name}", "is missing")
        for name, field in fields.items()
        if field.required and name not in value
    )


def _walk_dict(
    value: Any, inner: inspect.Type, path: str, out: list[Violation]
) -> None:
    if not isinstance(value, dict):
        out.append(
            Violation(path, f"must be an object, not {_describe(value)}")
        )
        return
    for name, item in value.items():
        if not _NAME.match(name):
            out.append(
                Violation(
                    f"{path}.{name}",
                    "a name must have 1 to 128 letters, digits, dots, dashes "
                    "and underscores, and start with a letter or digit",
                )
            )
        _walk(item, inner, f"{path}.{name}", out)


def _check_number(value: Any, path: str, out: list[Violation]) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        out.append(Violation(path, f"must be a number, not {_describe(value)}"))
    elif value < 0:
        out.append(Violation(path, f"must not be negative, but is {value}"))


def _check_scalar(
    value: Any, node: inspect.Type, path: str, out: list[Violation]
) -> None:
    kind, words = _SCALARS[type(node)]
    if type(value) is not kind:
        found = _describe(value, path)
        out.append(Violation(path, f"must be {words}, not {found}"))
    elif isinstance(value, int) and kind is int and value < 0:
        out.append(Violation(path, f"must not be negative, but is {value}"))


def _describe(value: Any, path: str = "") -> str:
    """Returns a value as shown in a violation; a possible key is not shown."""
    names = {dict: "an object", list: "a list", type(None): "null"}
    if _KEY_PATH.search(path):
        names |= {str: "a string", int: "a number", float: "a number"}
    return names.get(type(value), repr(value))


def _check_program(
    path: str, program: Any, manifest: Any, out: list[Violation]
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
    path: str, name: str, kind: str, manifest: Any, out: list[Violation]
) -> None:
    service = manifest.services.get(name)
    if service is None:
        out.append(Violation(path, f"names {name!r}, which is not a service"))
    elif service.kind != kind:
        out.append(
            Violation(
                path,
                f"names {name!r}, a {service.kind} service, but must name a "
                f"{kind} service",
            )
        )


def _check_service(path: str, service: Any, out: list[Violation]) -> None:
    if service.floor > service.replicas:
        out.append(
            Violation(
                f"{path}.floor",
                f"is {service.floor}, but must be at most the number of "
                f"replicas, {service.replicas}",
            )
        )
    if service.kind == "model" and not service.model:
        out.append(
            Violation(f"{path}.model", "is required for a model service")
        )
    if service.kind == "plain" and service.model:
        out.append(
            Violation(f"{path}.model", "must be empty for a plain service")
        )
    if service.backups and service.kind != "model":
        out.append(
            Violation(f"{path}.backups", "must be false for a plain service")
        )
    if service.moves:
        _check_moves(path, service, out)
    _check_patterns(f"{path}.idempotent", service.idempotent, out)
    _check_patterns(f"{path}.non_idempotent", service.non_idempotent, out)


def _check_moves(path: str, service: Any, out: list[Violation]) -> None:
    """Finds what a move of a running request could not be planned without."""
    if service.kind != "model":
        out.append(
            Violation(f"{path}.moves", "must be false for a plain service")
        )
    out.extend(
        Violation(
            f"{path}.{name}", "must be greater than 0 for a service with moves"
        )
        for name in ("token_bytes", "link_mbps", "handle_seconds")
        if not getattr(service, name)
    )


def _check_patterns(
    path: str, patterns: list[str], out: list[Violation]
) -> None:
    out.extend(
        Violation(
            f"{path}[{index}]",
            f"must be `METHOD /path-prefix`, not {pattern!r}",
        )
        for index, pattern in enumerate(patterns)
        if not _ENDPOINT_PATTERN.fullmatch(pattern)
    )


def _check_routes(manifest: Any, out: list[Violation]) -> None:
    owners: dict[tuple[str, str], str] = {}
    for name, route in manifest.routes.items():
        path = f"$.routes.{name}"
        place = uris.normal_host(route.host), uris.normal_path(route.prefix)
        owner = owners.setdefault(place, name)
        if owner != name:
            out.append(
                Violation(
                    path, f"has the same host and prefix as route {owner!r}"
                )
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            out.append(
                Violation(f"{path}.prefix", "must begin and end with a slash")
            )
        if not route.timeout:
            out.append(Violation(f"{path}.timeout", "must be greater than 0"))
        if not sum(share.weight for share in route.shares):
            out.append(
                Violation(f"{path}.shares", "must have a weight greater than 0")
            )
        out.extend(
            Violation(
                f"{path}.shares[{number}].service",
                f"names {share.service!r}, which is not a service",
            )
            for number, share in enumerate(route.shares)
            if share.service not in manifest.services
        )


def _check_policies(policies: Any, out: list[Violation]) -> None:
    default = policies.default_customer
    if default and default not in policies.customers:
        out.append(
            Violation(
                "$.policies.default_customer",
                f"names {default!r}, which is not a customer",
            )
        )
    if policies.weights.program_latency + policies.weights.wasted_cache <= 0:
        out.append(Violation("$.policies.weights", "must not both be 0"))
    holders: dict[str, str] = {}
    for name, customer in policies.customers.items():
        path = f"$.policies.customers.{name}"
        if customer.share <= 0:
            out.append(Violation(f"{path}.share", "must be greater than 0"))
        _check_keys(f"{path}.keys", name, customer.keys, holders, out)


def _check_keys(
    path: str,
    name: str,
    digests: list[str],
    holders: dict[str, str],
    out: list[Violation],
) -> None:
    """Finds empty and duplicate keys; violations show digests only."""
    for index, key in enumerate(digests):
        where = f"{path}[{index}]"
        if not key:
            out.append(Violation(where, "must not be empty"))
            continue
        holder = holders.setdefault(key, name)
        if holder != name or key in digests[:index]:
            short = keys.short_digest(key)
            out.append(
                Violation(where, f"repeats key {short} of customer {holder!r}")
            )
