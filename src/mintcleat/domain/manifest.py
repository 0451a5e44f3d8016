"""The manifest: what operators push to say what should be in force.

Unknown and ill-typed fields are faults. `parse` reports every fault at once.
"""

import posixpath
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple
from urllib import parse as url

import msgspec
from msgspec import inspect

from mintcleat.domain import errors
from mintcleat.domain import keys
from mintcleat.domain import manifest_faults

Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=manifest_faults.NAME_PATTERN)]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tool of an agent program: calls of one plain service."""

    service: str
    non_idempotent: list[str] = []


class Program(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent program; budgets of 0 mean no limit."""

    service: str
    klass: Literal["interactive", "batch"] = msgspec.field(
        default="interactive", name="class"
    )
    tokens: Count = 0
    turns: Count = 0
    seconds: Amount = 0.0
    repeat_limit: Count = 8
    tools: dict[Name, Tool] = {}


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or plain service.

    Attributes:
        idempotent: `METHOD /path-prefix` patterns that may be repeated,
            beside the methods that are idempotent by definition.
        non_idempotent: Patterns that may not; they win over `idempotent`.
        floor: Upstreams that a rollout keeps ready.
        connections: Connections that one upstream takes from all callers; 0
            when it is not known.
        tokens_per_event: Tokens that one event of a stream counts for.
        memory_tokens: Tokens that an upstream's cache holds; 0 for unknown.
    """

    kind: Literal["model", "plain"]
    model: str = ""
    version: str = ""
    adapters: list[str] = []
    replicas: Count = 0
    floor: Count = 0
    fencing: bool = True
    idempotent: list[str] = []
    non_idempotent: list[str] = []
    connections: Count = 0
    tokens_per_event: Count = 1
    memory_tokens: Count = 0


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that takes part of a route's requests, by weight."""

    service: str
    weight: Count = 1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests that are passed on as they are; times in seconds.

    The route with the longest prefix of a request's host serves it.

    Attributes:
        host: Value of the Host header; empty for any.
        prefix: Start of the path; it begins and ends with a slash.
        shares: Services that serve it.
        repeat: Whether a request may run again: `any` after any failure,
            `resume` after a broken stream, from its last event on, `never`
            unless it surely did not run.
        stream: Whether answers are server-sent events.
        timeout: Longest time that a request is kept waiting; more than 0.
        target_latency: Time to the answer, or its first event, that is good.
        target_gap: Longest good pause between events.
        priority: 0 is the most urgent.
        attempts: Upstreams that one request may be sent to.
        affinity: Whether requests on one object run faster where an earlier
            one ran.
        retention: For how long a turn that has ended can be continued; 0
            when callers send whole conversations themselves.
        public: Whether callers without a customer's key may use it.
    """

    prefix: str
    shares: list[Share]
    host: str = ""
    repeat: Literal["any", "resume", "never"] = "never"
    stream: bool = False
    timeout: Amount = 30.0
    target_latency: Amount = 1.0
    target_gap: Amount = 1.0
    priority: Count = 0
    attempts: Count = 1
    affinity: bool = False
    retention: Amount = 0.0
    public: bool = False


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller of a route may send, in bytes and seconds."""

    header_bytes: Count = 16384
    body_bytes: Count = 4 * 1024 * 1024
    header_seconds: Amount = 3.0
    idle_seconds: Amount = 75.0


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer's keys, share and limits; 0 means no limit.

    Attributes:
        keys: Each opens the system under the customer's name. `parse` puts
            their digests in place of keys.
        priority: Rank of its requests on all routes, 0 the most urgent; null
            for each route's own.
        rate: Requests a second over all entries.
        burst: Requests that may come at once beyond that.
    """

    share: Amount = 1.0
    max_running: Count = 0
    keys: list[str] = []
    priority: Count | None = None
    rate: Amount = 0.0
    burst: Amount = 0.0


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operator weighs; only the ratio counts."""

    program_latency: Amount = 1.0
    wasted_cache: Amount = 1.0


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of the deployment; times in seconds.

    Attributes:
        require_keys: Whether callers must show a customer's key.
        limit_window: In any time of this length a customer may send its
            `rate` times the length, and its `burst`.
        limit_overage: What programs under way may send beyond that, as a
            share of it.
        limit_slack: What they may send besides, in requests.
    """

    customers: dict[Name, Customer] = {}
    default_customer: str = ""
    require_keys: bool = False
    limit_window: Amount = 5.0
    limit_overage: Amount = 0.1
    limit_slack: Amount = 0.0
    weights: Weights = Weights()
    deadline: Amount = 120.0
    max_wait: Amount = 30.0
    program_idle: Amount = 3600.0
    record_retention: Amount = 86400.0
    quarantine_seconds: Amount = 3600.0
    stale_lease: Literal["refuse", "serve"] = "refuse"
    rollout_pause: Amount = 5.0
    loads_per_minute: Amount = 30.0
    load_burst: Count = 2


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole manifest."""

    programs: dict[Name, Program] = {}
    services: dict[Name, Service] = {}
    policies: Policies = Policies()
    routes: dict[Name, Route] = {}
    limits: Limits = Limits()


class Change(NamedTuple):
    """One field that differs; None stands for a field that is absent."""

    path: str
    before: Any
    after: Any


def parse(text: str | bytes) -> Manifest:
    """Returns the manifest that a JSON text describes.

    Raises:
        errors.InvalidManifest: Its detail lists every fault, one a line, each
            with the path of its field.
    """
    try:
        parsed = msgspec.json.decode(text, type=Manifest)
    except msgspec.ValidationError:
        # It stopped at the first fault. The walk over all fields costs ten
        # times as much, which only a faulty manifest pays for.
        raw = msgspec.json.decode(text)
        faults = manifest_faults.schema_faults(raw, Manifest)
        faults.extend(_reference_faults(raw))
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.InvalidManifest(f"$: no valid JSON: {error}.") from None
    else:
        parsed = _with_digests(parsed)
        faults = manifest_faults.reference_faults(parsed)
        if not faults:
            return parsed
    lines = [f"{fault.path}: {fault.problem}." for fault in faults]
    raise errors.InvalidManifest("\n".join(lines))


def _reference_faults(raw: Any) -> list[manifest_faults.Fault]:
    """Returns dangling names, as far as the types let them be told."""
    known = manifest_faults.without_unknown(raw, inspect.type_info(Manifest))
    try:
        parsed = msgspec.convert(known, Manifest)
    except msgspec.ValidationError:
        return []
    return manifest_faults.reference_faults(_with_digests(parsed))


def _with_digests(parsed: Manifest) -> Manifest:
    """Returns a manifest that holds digests in place of customers' keys."""
    if not any(item.keys for item in parsed.policies.customers.values()):
        return parsed
    customers = {
        name: msgspec.structs.replace(
            item, keys=[key and keys.as_digest(key) for key in item.keys]
        )
        for name, item in parsed.policies.customers.items()
    }
    policies = msgspec.structs.replace(parsed.policies, customers=customers)
    return msgspec.structs.replace(parsed, policies=policies)


def compact(manifest: Manifest) -> str:
    """Returns the manifest as JSON on one line, for machines to read."""
    return msgspec.json.encode(manifest).decode()


def render(manifest: Manifest) -> str:
    """Returns the manifest as JSON with sorted keys, for people to read."""
    data = msgspec.json.encode(manifest, order="sorted")
    return msgspec.json.format(data, indent=2).decode()


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Tells whether a request to a plain service may run more than once.

    The path is decoded and its dots are resolved first. Otherwise
    `/status/../dispatch` would pass for a status read while the service runs
    a dispatch, and a lost answer would send two crews out.
    """
    method = method.upper()
    plain = _resolved(path)
    for pattern in service.non_idempotent:
        verb, prefix = _pattern(pattern)
        if verb in ("*", method) and plain.startswith(prefix):
            return False
    for pattern in service.idempotent:
        verb, prefix = _pattern(pattern)
        if verb in ("*", method) and _within(plain, prefix):
            return True
    return method in IDEMPOTENT_METHODS


def diff(before: Manifest, after: Manifest) -> list[Change]:
    """Returns the fields that differ, in the order of their paths."""
    changes: list[Change] = []
    _compare(
        "$", msgspec.to_builtins(before), msgspec.to_builtins(after), changes
    )
    return changes


def _compare(path: str, before: Any, after: Any, changes: list[Change]) -> None:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        changes.append(Change(path, before, after))
        return
    for name in sorted(before.keys() | after.keys()):
        _compare(f"{path}.{name}", before.get(name), after.get(name), changes)


def _resolved(path: str) -> str:
    decoded = url.unquote(path.partition("?")[0])
    return "/" + posixpath.normpath("/" + decoded).lstrip("/")


def _pattern(pattern: str) -> tuple[str, str]:
    verb, _, prefix = pattern.partition(" ")
    return verb.upper(), prefix


def _within(path: str, prefix: str) -> bool:
    """Matches whole path segments, so `/find` does not admit `/findings`."""
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
