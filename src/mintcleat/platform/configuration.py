"""The configuration that the platform's operators push.

`read` and `check` decide whether a configuration is valid. The
manifest that `translation` makes of a valid one is valid too. Each type has the
fields that mintcleat uses; others are ignored, as the platform may add fields
at any time. Null stands for an absent optional field.
"""

from collections.abc import Iterator
import reprlib
from typing import Annotated
from typing import Any

import msgspec

from mintcleat.domain import errors
from mintcleat.domain import uris
from mintcleat.platform import json_text

# Largest version that the log and all peers can encode.
MAX_VERSION = 2**64 - 1
# Problems that one error names; each may be repeated for thousands of routes.
_MAX_PROBLEMS = 20

Version = Annotated[int, msgspec.Meta(ge=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


def sent_key(key: str) -> str:
    """Returns a customer's key as requests show it.

    Blanks around the value of a header are no part of it.
    """
    return key.strip(" \t")


class Share(msgspec.Struct, frozen=True):
    """A service that receives a part of a route's requests.

    Attributes:
        weight: Part relative to the other weights of the route.
    """

    service: str
    weight: Amount


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """A route; `_ms` are milliseconds.

    Attributes:
        path_prefix: Prefix of the path, which begins and ends with a slash.
        kind: `safe` if requests may run again after any failure, `stream` if
            responses are server-sent events; otherwise they run at most once.
        service: Service of all requests; unused if there is a split.
        attempts: Maximum number of attempts of a request; 0 counts as 1.
        retain_context: Whether finished turns can be continued.
        retention_s: Seconds for which they can be.
        sticky: Whether requests for the same object run faster at the upstream
            that ran an earlier one.
        resumable: Whether a broken stream may be resumed elsewhere.
        public: Whether callers without a customer's key may use the route.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Amount
    service: str | None = None
    split: list[Share] | None = None
    target_latency_ms: Amount | None = None
    target_gap_ms: Amount | None = None
    priority: Count | None = None
    attempts: Count | None = None
    retain_context: bool | None = None
    retention_s: Amount | None = None
    sticky: bool | None = None
    resumable: bool | None = None
    public: bool | None = None

    def services(self) -> set[str]:
        """Returns the names of all services that the route names."""
        named = {share.service for share in self.split or ()}
        return named if self.service is None else {*named, self.service}


class Model(msgspec.Struct, frozen=True):
    """A model that an engine serves."""

    name: str | None = None


class Engine(msgspec.Struct, frozen=True, rename="camel"):
    """What the upstreams of a model service can do.

    Attributes:
        stride: Tokens that an event of a stream counts for.
        kv_capacity_tokens: Capacity of an upstream's cache in tokens.
        moves: Whether upstreams can hand running requests over to each other.
            The following numbers are needed for that and are of any type here,
            because one that is unusable must not make the rest invalid.
        kv_token_bytes: Bytes of the memory that a token takes.
        link_mbps: Rate at which an upstream copies memory, in Mbit/s.
        handle_seconds: Time for which a copy is kept that no request uses.
        handle_seconds_camel: The same under its other name.
        backups: Whether an upstream can send the memory of a running request
            to another as it grows.
    """

    stride: Count | None = None
    kv_capacity_tokens: Count | None = None
    models: list[Model] | None = None
    moves: bool | None = None
    kv_token_bytes: Any = None
    link_mbps: Any = None
    handle_seconds: Any = msgspec.field(default=None, name="handle_s")
    handle_seconds_camel: Any = msgspec.field(default=None, name="handleS")
    backups: bool | None = None


class Service(msgspec.Struct, frozen=True, rename="camel"):
    """A service.

    Attributes:
        max_connections: Connections that one upstream accepts from all callers;
            0 if unknown.
        engine: Absent, null or without fields for a plain service.
    """

    name: str
    max_connections: Count | None = None
    engine: dict[str, Any] | None = None

    def engine_fields(self) -> Engine | None:
        """Returns the description of a model service's upstreams."""
        return msgspec.convert(self.engine, Engine) if self.engine else None


class Customer(msgspec.Struct, frozen=True, rename="camel"):
    """A customer; absent limits and those of 0 don't limit it.

    Attributes:
        api_keys: Keys that authenticate the customer.
        rate_per_s: Requests per second over all entries.
        burst: Further requests that may be sent at once.
        priority: Rank of its requests on all routes; null for that of the
            route.
    """

    name: str
    api_keys: list[str] | None = None
    rate_per_s: Amount | None = None
    burst: Amount | None = None
    priority: Count | None = None


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits for requests of callers; 0 stands for the default."""

    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: Amount | None = None
    idle_timeout_ms: Amount | None = None


class Configuration(msgspec.Struct, frozen=True):
    """A complete configuration.

    Attributes:
        customers: If there are any, requests must carry a customer's key.
    """

    version: Version
    routes: list[Route]
    services: list[Service]
    customers: list[Customer] | None = msgspec.field(
        default=None, name="tenants"
    )
    limits: Limits | None = None


_LISTS: dict[str, type] = {
    "routes": Route,
    "services": Service,
    "tenants": Customer,
}


def read(body: bytes) -> Configuration:
    """Returns the configuration of a request's body, for `check`.

    Raises:
        errors.InvalidManifest: It can't be read in full.
    """
    try:
        fields = json_text.decode(body)
    except json_text.InvalidJson as error:
        raise errors.InvalidManifest(f"$: {error}.") from None
    if not isinstance(fields, dict):
        raise errors.InvalidManifest(
            f"$: must be an object, but is of type {type(fields).__name__}."
        )
    return _typed(fields)


def check(configuration: Configuration) -> None:
    """Checks a configuration of the right types.

    Raises:
        errors.InvalidManifest: It is invalid. The detail has a line for each
            problem, with the path of the field.
    """
    problems = list(_problems(configuration))
    if problems:
        left_out = len(problems) - _MAX_PROBLEMS
        if left_out > 0:
            problems[_MAX_PROBLEMS:] = [f"$: has {left_out} more problems"]
        raise errors.InvalidManifest(
            "\n".join(f"{problem}." for problem in problems)
        )


def _typed(fields: dict[str, Any]) -> Configuration:
    try:
        configuration = msgspec.convert(fields, Configuration)
        for service in configuration.services:
            service.engine_fields()
    except msgspec.ValidationError as error:
        raise errors.InvalidManifest(_located(fields, error)) from None
    return configuration


def _located(fields: dict[str, Any], error: msgspec.ValidationError) -> str:
    """Returns an error's text with the index of the item that it concerns."""
    for group, kind in _LISTS.items():
        items = fields.get(group)
        for index, item in enumerate(items if isinstance(items, list) else ()):
            path = f"$.{group}[{index}]"
            try:
                built = msgspec.convert(item, kind)
                if isinstance(built, Service):
                    path += ".engine"
                    built.engine_fields()
            except msgspec.ValidationError as found:
                return f"{path}: {found}."
    return f"$: {error}."


def _problems(configuration: Configuration) -> Iterator[str]:
    """Yields what makes a configuration of the right types invalid."""
    if configuration.version > MAX_VERSION:
        yield (
            f"$.version: must be at most {MAX_VERSION}, but is "
            f"{_shown(configuration.version)}"
        )
    services = {service.name for service in configuration.services}
    yield from _repeated_names("services", configuration.services)
    yield from _repeated_names("tenants", configuration.customers or [])
    places: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        path = f"$.routes[{index}]"
        yield from _route_problems(path, route, services)
        # Entries take equivalent spellings of a place for the same one.
        place = (
            uris.normal_host(route.host),
            uris.normal_path(route.path_prefix),
        )
        first = places.setdefault(place, index)
        if first != index:
            yield f"{path}: has the same host and prefix as $.routes[{first}]"
    yield from _shared_keys(configuration.customers or [])


def _route_problems(
    path: str, route: Route, services: set[str]
) -> Iterator[str]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"{path}.pathPrefix: must begin and end with a slash"
    if not route.timeout_ms:
        yield f"{path}.timeoutMs: must be greater than 0"
    if route.service is None and not route.split:
        yield f"{path}: must have a service or a split"
    if route.split and not any(share.weight for share in route.split):
        yield f"{path}.split: must have a weight greater than 0"
    for name in sorted(route.services() - services):
        yield f"{path}: names {_shown(name)}, which is not a service"


def _repeated_names(
    group: str, items: list[Service] | list[Customer]
) -> Iterator[str]:
    first: dict[str, int] = {}
    for index, item in enumerate(items):
        known = first.setdefault(item.name, index)
        if known != index:
            yield (
                f"$.{group}[{index}]: has the same name as $.{group}[{known}]"
            )


def _shared_keys(customers: list[Customer]) -> Iterator[str]:
    """Yields the customers that share a key, without showing it."""
    holders: dict[str, int] = {}
    for index, customer in enumerate(customers):
        for number, key in enumerate(customer.api_keys or ()):
            holder = holders.setdefault(sent_key(key), index)
            if holder != index:
                yield (
                    f"$.tenants[{index}].apiKeys[{number}]: is a key of "
                    f"$.tenants[{holder}] too"
                )


def _shown(value: Any) -> str:
    return reprlib.repr(value)
