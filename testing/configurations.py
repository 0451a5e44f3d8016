"""Configurations of the platform's operators, valid ones and invalid ones.

Each invalid one has exactly one reason. `is_valid` decides independently of
the product and of the generator whether a body must be accepted. Bodies for
which the platform's protocol doesn't say whether they are valid are not
generated; for them `is_valid` follows `docs/QUESTIONS.md`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import copy
import json
import random
from typing import Any
from typing import NamedTuple

Fields = dict[str, Any]
Write = Callable[[random.Random, Any], str]

_HOSTS = ("callers.example", "Callers-2.Example", "third.example")
_NAMES = (
    "plain",
    "with space",
    "with/slash",
    "_underscore",
    "Grüße",
    "日本語",
    "quote\"d\\'",
    "tab\tbed",
    "a.b-c_d",
    "n" * 200,
    "",
)
_KINDS = ("safe", "unsafe", "stream")
# Deeper than any parser must follow.
_DEPTH = 20_000


class Case(NamedTuple):
    """A body and what is expected of it.

    Attributes:
        reason: Why it is invalid; empty for a valid one.
        spelling: Which of the ways to be invalid for this reason.
    """

    body: bytes
    reason: str = ""
    spelling: str = ""


class Unreadable(Exception):
    """A body that cannot be read in full."""


# --- The oracle ---


def is_valid(body: bytes) -> bool:
    """Returns whether a configuration must be accepted."""
    try:
        fields = _read(body)
        services = _distinct_names(_items(fields, "services"))
        for service in _items(fields, "services"):
            _optional_count(service, "maxConnections")
            _check_engine(service.get("engine"))
        places = set()
        for route in _items(fields, "routes"):
            _check_fields(route)
            place = (route["host"].lower(), route["pathPrefix"])
            if place in places or route["timeoutMs"] == 0:
                return False
            places.add(place)
            split = route.get("split")
            shares = [] if split is None else _objects(split)
            named = {_text(share["service"]) for share in shares}
            if route.get("service") is not None:
                named.add(_text(route["service"]))
            if not named or not named <= services:
                return False
            if shares and not sum(_number(item["weight"]) for item in shares):
                return False
        return not _shares_a_key(fields)
    except (Unreadable, ArithmeticError, KeyError, RecursionError, ValueError):
        return False


def _read(body: bytes) -> Fields:
    fields = json.loads(
        body.decode(),
        object_pairs_hook=_without_repetition,
        parse_constant=_refuse,
        parse_int=lambda text: int(text) if _finite(text) else 0,
        parse_float=_finite,
    )
    if not isinstance(fields, dict):
        raise Unreadable
    json.dumps(fields, ensure_ascii=False).encode()
    version = _number(fields["version"])
    if version != int(version) or not 1 <= version < 2**64:
        raise Unreadable
    limits = fields.get("limits")
    if not isinstance(limits, dict | None):
        raise Unreadable
    for name in ("maxHeaderBytes", "maxBodyBytes"):
        _optional_count(limits or {}, name)
    for name in ("headerTimeoutMs", "idleTimeoutMs"):
        _optional_number(limits or {}, name)
    return fields


def _without_repetition(pairs: list[tuple[str, Any]]) -> Fields:
    if len(dict(pairs)) < len(pairs):
        raise Unreadable
    return dict(pairs)


def _refuse(text: str) -> None:
    raise Unreadable(text)


def _finite(text: str) -> float:
    if abs(float(text)) == float("inf"):
        raise Unreadable
    return float(text)


def _items(fields: Fields, name: str) -> list[Fields]:
    return _objects(fields[name])


def _objects(found: Any) -> list[Fields]:
    if not isinstance(found, list):
        raise Unreadable
    if not all(isinstance(item, dict) for item in found):
        raise Unreadable
    return found


def _distinct_names(items: list[Fields]) -> set[str]:
    found = {_text(item["name"]) for item in items}
    if len(found) < len(items):
        raise Unreadable
    return found


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise Unreadable
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Unreadable
    if value < 0:
        raise Unreadable
    float(value)
    return value


def _optional_number(fields: Fields, name: str) -> None:
    if fields.get(name) is not None:
        _number(fields[name])


def _optional_count(fields: Fields, name: str) -> None:
    _optional_number(fields, name)
    if fields.get(name) is not None and fields[name] != int(fields[name]):
        raise Unreadable


def _check_fields(route: Fields) -> None:
    prefix = _text(route["pathPrefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise Unreadable
    for name in ("name", "host", "kind"):
        _text(route[name])
    _number(route["timeoutMs"])
    for name in ("targetLatencyMs", "targetGapMs", "retentionS"):
        _optional_number(route, name)
    for name in ("priority", "attempts"):
        _optional_count(route, name)
    for name in ("sticky", "resumable", "retainContext", "public"):
        if not isinstance(route.get(name), bool | None):
            raise Unreadable


def _check_engine(engine: Any) -> None:
    if not isinstance(engine, dict | None):
        raise Unreadable
    for name in ("stride", "kvCapacityTokens"):
        _optional_count(engine or {}, name)
    for name in ("moves", "backups"):
        if not isinstance((engine or {}).get(name), bool | None):
            raise Unreadable
    models = (engine or {}).get("models")
    for model in [] if models is None else _objects(models):
        if not isinstance(model.get("name"), str | None):
            raise Unreadable


def _shares_a_key(fields: Fields) -> bool:
    holders: dict[str, int] = {}
    tenants = [] if fields.get("tenants") is None else fields["tenants"]
    _distinct_names(_objects(tenants))
    for number, tenant in enumerate(_objects(tenants)):
        for name in ("ratePerS", "burst"):
            _optional_number(tenant, name)
        _optional_count(tenant, "priority")
        own = tenant.get("apiKeys")
        if not isinstance(own, list | None):
            raise Unreadable
        for key in own or ():
            if holders.setdefault(_text(key), number) != number:
                return True
    return False


# --- Valid configurations ---


def valid(generator: random.Random, version: int) -> Fields:
    """Returns a valid configuration of random content."""
    services = _some_names(generator, 2, 4)
    fields: Fields = {
        "version": version,
        "routes": [
            _route(generator, number, name, services)
            for number, name in enumerate(_some_names(generator, 1, 5))
        ],
        "services": [_service(generator, name) for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": generator.choice([100_000, 4_194_304.0]),
            "headerTimeoutMs": generator.choice([3000, 2500.5]),
            "idleTimeoutMs": 15000,
        },
    }
    if generator.random() < 0.3:
        # Names of routes need not be unique.
        repeated = generator.choice(fields["routes"])
        fields["routes"].append({**repeated, "pathPrefix": "/repeated/"})
    if generator.random() < 0.3:
        fields["tenants"] = [
            _tenant(generator, number, name)
            for number, name in enumerate(_some_names(generator, 1, 4))
        ]
    if generator.random() < 0.3:
        _add_unknown_fields(generator, fields)
    return fields


def _some_names(generator: random.Random, least: int, most: int) -> list[str]:
    return generator.sample(_NAMES, generator.randint(least, most))


def _service(generator: random.Random, name: str) -> Fields:
    fields: Fields = {"name": name, "healthPath": "/health"}
    if generator.random() < 0.8:
        fields["maxConnections"] = generator.choice([64, 0, 120.0, None])
    if generator.random() < 0.4:
        fields["engine"] = {
            "slots": 48,
            "stride": generator.choice([1, 3]),
            "kvCapacityTokens": 329175,
            "models": [{"name": "m"}],
            "backups": True,
            "moves": generator.random() < 0.5,
            "kvTokenBytes": 131072,
            "linkMbps": generator.choice([340000.0, None]),
            "handle_s": 5.0,
        }
    return fields


def _route(
    generator: random.Random, number: int, name: str, services: list[str]
) -> Fields:
    fields: Fields = {
        "name": name,
        "host": generator.choice(_HOSTS),
        "pathPrefix": generator.choice(["/p{}/", "/ü{}/", "/a b/{}/"]).format(
            number
        ),
        "kind": generator.choice(_KINDS),
        "timeoutMs": generator.choice([5000, 250.5, 0.25]),
    }
    if generator.random() < 0.5:
        weights = generator.choice([(90, 10), (0.5, 0.5), (90.0, 0), (1e-9, 7)])
        fields["split"] = [
            {"service": service, "weight": weight}
            for service, weight in zip(services[:2], weights, strict=True)
        ]
    if "split" not in fields or generator.random() < 0.3:
        fields["service"] = generator.choice(services)
    optional = {
        "targetLatencyMs": (250, 0.5, None),
        "targetGapMs": (300, None),
        "priority": (0, 3, 1.0, None),
        "attempts": (1, 2, 3.0, None),
        "retentionS": (60.0, 60, None),
        "retainContext": (True, False, None),
        "sticky": (True, False),
        "resumable": (True, False),
        "public": (True, False),
    }
    for field, values in optional.items():
        if generator.random() < 0.7:
            fields[field] = generator.choice(values)
    return fields


def _tenant(generator: random.Random, number: int, name: str) -> Fields:
    keys = [f"key-{number}-{count}" for count in range(generator.randint(0, 3))]
    # A key may occur twice at its own tenant.
    return {
        "name": name,
        "apiKeys": keys + keys[: generator.randint(0, 1)],
        "ratePerS": generator.choice([0, 5, 2.5, None]),
        "burst": generator.choice([0, 10, None]),
        "priority": generator.choice([0, 4, None]),
    }


def _add_unknown_fields(generator: random.Random, fields: Fields) -> None:
    added = {"any": [1, None, {"more": -2.5}], "text": "é"}
    for place in (
        fields,
        fields["routes"][0],
        fields["services"][0],
        fields["limits"],
    ):
        name = f"later{generator.randint(0, 9)}"
        place[name] = added if place is not fields["limits"] else 1


# --- Spelling ---


def spell(generator: random.Random, value: Any) -> str:
    """Returns a value as JSON text, in one of many ways to write it."""
    space = generator.choice(["", "", " ", "\n\t"])
    match value:
        case dict():
            items = [
                f"{spell(generator, name)}{space}:{spell(generator, item)}"
                for name, item in value.items()
            ]
            generator.shuffle(items)
            return f"{{{space}{','.join(items)}{space}}}"
        case list():
            items = [spell(generator, item) for item in value]
            return f"[{space}{f',{space}'.join(items)}]"
        case str():
            return json.dumps(value, ensure_ascii=generator.random() < 0.5)
        case bool() | None:
            return json.dumps(value)
        case int() if 0 < value < 10**6:
            return generator.choice(
                [str(value), f"{value}.0", f"{value}e0", f"{value}0E-1"]
            )
        case _:
            return json.dumps(value)


# --- Invalid configurations ---

_WRONG_NUMBERS = ("5", True, [], {}, "", -1)
_WRONG_FLAGS = ("no", 1, 0, "true", [])


def _some_route(generator: random.Random, fields: Fields) -> Fields:
    return generator.choice(fields["routes"])


def _unknown_service(
    generator: random.Random, fields: Fields, spelling: str
) -> None:
    route = _some_route(generator, fields)
    known = fields["services"][0]["name"]
    shares = [{"service": known, "weight": 1}]
    match spelling:
        case "alone":
            route.pop("split", None)
            route["service"] = "none"
        case "beside a split":
            route["split"] = shares
            route["service"] = "none"
        case "in a split":
            route["split"] = [*shares, {"service": "none", "weight": 9}]
        case "in a split, without weight":
            route["split"] = [*shares, {"service": "none", "weight": 0}]
        case "in other letters":
            route.pop("split", None)
            route["service"] = known + "X"


def _same_place(
    generator: random.Random, fields: Fields, spelling: str
) -> None:
    other = dict(_some_route(generator, fields))
    if spelling == "in other letters":
        other["host"] = other["host"].swapcase()
    if spelling != "alike":
        other["name"] = "another"
        other["timeoutMs"] = 777
    fields["routes"].append(other)


def _no_weight(generator: random.Random, fields: Fields, spelling: str) -> None:
    weight = {"zero": 0, "zero as a float": 0.0, "minus zero": -0.0}[spelling]
    names = [service["name"] for service in fields["services"]]
    _some_route(generator, fields)["split"] = [
        {"service": name, "weight": weight}
        for name in names[: generator.randint(1, 2)]
    ]


def _no_timeout(
    generator: random.Random, fields: Fields, spelling: str
) -> None:
    timeout = {"zero": 0, "zero as a float": 0.0, "minus zero": -0.0}[spelling]
    _some_route(generator, fields)["timeoutMs"] = timeout


def _shared_key(
    generator: random.Random, fields: Fields, spelling: str
) -> None:
    fields["tenants"] = [
        {"name": "one", "apiKeys": ["own", "common"]},
        {"name": "two", "apiKeys": ["common"]},
    ]
    generator.shuffle(fields["tenants"])


def _missing(generator: random.Random, fields: Fields, spelling: str) -> None:
    place, _, name = spelling.rpartition(".")
    holder = {
        "": fields,
        "route": _some_route(generator, fields),
        "service": generator.choice(fields["services"]),
    }[place]
    if spelling == "route.service":
        holder.pop("split", None)
    holder.pop(name, None)


def _wrong_type(
    generator: random.Random, fields: Fields, spelling: str
) -> None:
    place, _, name = spelling.rpartition(".")
    holder = {
        "": fields,
        "route": _some_route(generator, fields),
        "service": generator.choice(fields["services"]),
        "limits": fields.setdefault("limits", {}),
    }[place]
    wrong: dict[str, tuple] = {
        "version": (True, "7", None, 7.5, [7], -7, 0, 2**64, 2**70, 10**400),
        "routes": ({}, None, "", {"a": {}}, [[]], [None]),
        "services": ({}, None, "", [1]),
        "limits": ([], "", 0, True, [1]),
        "timeoutMs": (*_WRONG_NUMBERS, None, 10**400),
        "sticky": _WRONG_FLAGS,
        "public": _WRONG_FLAGS,
        "split": ({"service": "a", "weight": 1}, "a", 1, [1]),
        "name": (None, 1, True, []),
        "host": (None, 1, []),
        "pathPrefix": (None, 1, [], "/open", "closed/", ""),
        "kind": (None, 1, []),
    }
    holder[name] = generator.choice(wrong.get(name, _WRONG_NUMBERS))


def _damaged_text(
    generator: random.Random, fields: Fields, spelling: str, write: Write
) -> bytes:
    text = write(generator, fields)
    route = _some_route(generator, fields)
    match spelling:
        case "cut short":
            whole = text.encode()
            return whole[: generator.randint(0, len(whole) - 1)]
        case "more behind it":
            text += generator.choice([text, "}", ",", "x", "\0"])
        case "no object":
            text = generator.choice(
                ["[]", "null", "7", '"x"', "true", f"[{text}]"]
            )
        case "not UTF-8":
            return generator.choice(
                [
                    b"\xff\xfe" + text.encode("utf-16-le"),
                    text.encode("utf-16-be"),
                    text.encode()[:-1] + b',"later":"\xff"}',
                ]
            )
        case "half a surrogate pair":
            text = text.rstrip()[:-1] + ',"later":"\\ud800"}'
        case "repeated key":
            text = _with_repetition(generator, fields, route)
        case "no JSON number":
            wrong = generator.choice(["NaN", "Infinity", "1e999", "0x7", "07"])
            text = text.rstrip()[:-1] + f',"later":{wrong}}}'
        case "no JSON":
            text = generator.choice(
                [
                    text.replace('"', "'"),
                    text.rstrip()[:-1] + ",}",
                    text.rstrip()[:-1] + " /* end */}",
                ]
            )
        case "nested too deep":
            opened, closed = generator.choice([("[", "]"), ('{"a":', "}")])
            nested = opened * _DEPTH + "1" + closed * _DEPTH
            text = text.rstrip()[:-1] + f',"later":{nested}}}'
    return text.encode()


def _with_repetition(
    generator: random.Random, fields: Fields, route: Fields
) -> str:
    """Returns a text in which one key of an object occurs twice."""
    holder = generator.choice([fields, route, fields["services"][0]])
    mark = "repeated-here"
    name = generator.choice(list(holder))
    holder[mark] = holder[name]
    # Without escapes, so that the key can be replaced in the text.
    text = json.dumps(fields)
    return text.replace(json.dumps(mark), json.dumps(name))


_DAMAGES: dict[str, tuple[Callable[..., Any], tuple[str, ...]]] = {
    "unknown service": (
        _unknown_service,
        (
            "alone",
            "beside a split",
            "in a split",
            "in a split, without weight",
            "in other letters",
        ),
    ),
    "same place": (_same_place, ("alike", "named", "in other letters")),
    "no weight": (_no_weight, ("zero", "zero as a float", "minus zero")),
    "no timeout": (_no_timeout, ("zero", "zero as a float", "minus zero")),
    "shared key": (_shared_key, ("shared key",)),
    "missing field": (
        _missing,
        (
            "version",
            "routes",
            "services",
            "route.host",
            "route.pathPrefix",
            "route.kind",
            "route.timeoutMs",
            "route.service",
            "service.name",
        ),
    ),
    "wrong type": (
        _wrong_type,
        (
            "version",
            "routes",
            "services",
            "limits",
            "limits.maxBodyBytes",
            "limits.idleTimeoutMs",
            "route.name",
            "route.host",
            "route.pathPrefix",
            "route.kind",
            "route.timeoutMs",
            "route.attempts",
            "route.priority",
            "route.sticky",
            "route.public",
            "route.split",
            "route.targetLatencyMs",
            "service.name",
            "service.maxConnections",
        ),
    ),
    "unreadable": (
        _damaged_text,
        (
            "cut short",
            "more behind it",
            "no object",
            "not UTF-8",
            "half a surrogate pair",
            "repeated key",
            "no JSON number",
            "no JSON",
            "nested too deep",
        ),
    ),
}
SPELLINGS = tuple(
    (reason, spelling)
    for reason, (_, spellings) in _DAMAGES.items()
    for spelling in spellings
)


def valid_case(generator: random.Random, version: int) -> Case:
    """Returns a valid configuration in a random spelling."""
    return Case(spell(generator, valid(generator, version)).encode())


def plain(generator: random.Random, value: Any) -> str:
    """Returns a value as JSON text, in the usual way to write it."""
    return json.dumps(value)


def invalid_case(
    generator: random.Random,
    fields: Fields,
    reason: str,
    spelling: str,
    write: Write = spell,
) -> Case:
    """Returns a valid configuration made invalid for one reason.

    Args:
        generator: Source of all choices.
        fields: A valid configuration with a route and two services.
        reason: A reason and a spelling of `SPELLINGS`.
        spelling: See `reason`.
        write: Writes the JSON text.
    """
    damage, _ = _DAMAGES[reason]
    copied = json.loads(json.dumps(fields))
    if damage is _damaged_text:
        body = _damaged_text(generator, copied, spelling, write)
    else:
        damage(generator, copied, spelling)
        body = write(generator, copied).encode()
    return Case(body, reason, spelling)


# --- Configurations with values of any kind ---

_STRANGE: tuple[Any, ...] = (
    None,
    True,
    False,
    0,
    -1,
    1,
    2.5,
    1e-320,
    1e300,
    10**400,
    2**63,
    2**64,
    "",
    "\0",
    "text",
    "x" * 5000,
    [],
    [[]],
    {},
    {"name": "a"},
)


def strange_case(generator: random.Random, version: int) -> Case:
    """Returns a configuration in which a few values were replaced at random.

    It is valid or not; the reason is not known.
    """
    fields = json.loads(json.dumps(valid(generator, version)))
    for _ in range(generator.randint(1, 3)):
        holder, name = generator.choice(list(_places(fields)))
        holder[name] = copy.deepcopy(generator.choice(_STRANGE))
    return Case(spell(generator, fields).encode(), "strange")


def _places(value: Any) -> Iterator[tuple[Any, Any]]:
    """Yields all values within a value, as their containers and keys."""
    names: Any = ()
    if isinstance(value, dict):
        names = value
    elif isinstance(value, list):
        names = range(len(value))
    for name in names:
        yield value, name
        yield from _places(value[name])
