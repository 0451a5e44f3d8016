"""The manifest, which operators push to configure the deployment.

Unknown and ill-typed fields are errors. `parse` reports all errors at once.
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
from mintcleat.domain import manifest_errors

Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=manifest_errors.NAME_PATTERN)]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tool of an agent program, whose calls go to a plain service.

    Attributes:
        non_idempotent: `METHOD /path-prefix` patterns of requests that must
            not be repeated.
    """

    service: str
    non_idempotent: list[str] = []


class Program(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent program.

    Attributes:
        service: Model service of its chat calls.
        klass: Priority class, the field `class` in JSON.
        tokens: Token budget of a program; 0 for no limit.
        turns: Maximum number of turns; 0 for no limit.
        seconds: Maximum duration; 0 for no limit.
        repeat_limit: Number of identical calls among the recent ones at which
            a program is considered to loop; 0 for no limit.
    """

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
        version: Version of the model; a change starts a rollout.
        replicas: Number of upstreams.
        floor: Number of upstreams that a rollout keeps ready.
        fencing: Whether the upstreams refuse outdated fencing tokens.
        idempotent: `METHOD /path-prefix` patterns of requests that may be
            repeated, in addition to idempotent methods.
        non_idempotent: Patterns of requests that must not be repeated. They
            take precedence over `idempotent`.
        connections: Connections that one upstream accepts from all callers; 0
            if unknown.
        tokens_per_event: Tokens that an event of a stream counts for.
        memory_tokens: Capacity of an upstream's cache in tokens; 0 if
            unknown.
        moves: Whether upstreams can hand a running request over to each
            other; requires the three that follow.
        token_bytes: Bytes of the memory that a token of a request takes.
        link_mbps: Rate at which an upstream copies memory to another, in
            Mbit/s; half of it between failure domains.
        handle_seconds: Time for which a copy is kept that no request uses.
        backups: Whether an upstream can send the memory of a running request
            to another as it grows.
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
    moves: bool = False
    token_bytes: Count = 0
    link_mbps: Amount = 0.0
    handle_seconds: Amount = 0.0
    backups: bool = False


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that receives a share of a route's requests.

    Attributes:
        weight: Share relative to the other weights of the route.
    """

    service: str
    weight: Count = 1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A route by which requests are forwarded unchanged; times in seconds.

    A request takes the route of its host with the longest matching prefix.

    Attributes:
        prefix: Prefix of the path, which begins and ends with a slash.
        shares: Services that receive the requests.
        host: Value of the Host header; empty for any.
        repeat: When a request may run again: `any` after any failure,
            `resume` after a broken stream from its last event on, `never`
            only if it certainly did not run.
        stream: Whether answers are server-sent events.
        timeout: Maximum time that a request waits; greater than 0.
        target_latency: Target time to the answer or to its first event.
        target_gap: Target for the longest pause between events.
        priority: Rank of the requests, 0 the most urgent.
        attempts: Maximum number of attempts of a request.
        affinity: Whether requests for the same object run faster at the
            upstream that ran an earlier one.
        retention: Time for which a finished turn can be continued; 0 if
            callers always send the whole conversation.
        public: Whether callers without a customer's key may use the route.
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
    """Limits for requests of callers.

    Attributes:
        header_bytes: Maximum size of the headers.
        body_bytes: Maximum size of the body.
        header_seconds: Maximum time until the headers are complete.
        idle_seconds: Time after which an idle connection is closed.
    """

    header_bytes: Count = 16384
    body_bytes: Count = 4 * 1024 * 1024
    header_seconds: Amount = 3.0
    idle_seconds: Amount = 75.0


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys, share and limits of a customer; 0 means no limit.

    Attributes:
        share: Weight of the customer when customers compete for an upstream.
        max_running: Maximum number of concurrent calls at one upstream.
        keys: Keys that authenticate the customer. `parse` replaces them by
            their digests.
        priority: Rank of its requests on all routes, 0 the most urgent; null
            for the priority of each route.
        rate: Requests per second over all entries.
        burst: Further requests that may be sent at once.
        label: Name of the customer in requests to upstreams, where that isn't
            a valid name in a manifest; absent if it is the same.
    """

    share: Amount = 1.0
    max_running: Count = 0
    keys: list[str] = []
    priority: Count | None = None
    rate: Amount = 0.0
    burst: Amount = 0.0
    # Unset fields aren't encoded: earlier releases refuse unknown ones.
    label: str | msgspec.UnsetType = msgspec.UNSET


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the operator's goals; only their ratio matters.

    Attributes:
        program_latency: Weight of short program latency.
        wasted_cache: Weight of keeping cached prompts in use.
    """

    program_latency: Amount = 1.0
    wasted_cache: Amount = 1.0


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of the deployment; times in seconds.

    Attributes:
        default_customer: Customer of callers that name none; empty for none.
        require_keys: Whether callers must present a customer's key.
        limit_window: Length of the sliding window in which a customer may
            send `rate` times the length plus `burst` requests.
        limit_overage: Further requests of active programs in a window, as a
            fraction of its limit.
        limit_slack: Further requests of active programs in a window, as a
            number.
        deadline: Deadline of calls that give none.
        max_wait: Longest predicted wait at which an interactive call is
            admitted; batch calls may wait longer.
        program_idle: Time without a call after which a program expires.
        record_retention: Time for which the records of ended programs and
            of calls are kept.
        quarantine_seconds: Time after which a quarantine expires.
        quarantine_crashes: Upstreams that must crash under a request, one
            after the other, before entries refuse it.
        suspicion_seconds: Time for which such a crash counts.
        stale_lease: Whether entries and sidecars whose configuration lease
            has expired refuse or serve idempotent calls of plain services.
            They always refuse other calls.
        rollout_pause: Pause between the steps of a rollout.
        loads_per_minute: Maximum rate of model loads.
        load_burst: Maximum number of model loads at once.
        admission: Whether leaders of program groups admit turns by the
            capacity of their services and by the shares of customers
            (`programs`), or open all of them (`off`).
        stream_moves: Whether entries move running streams off upstreams that
            leave or have become slow, for services with `moves`, and resume
            streams whose upstream hangs, on routes that allow it.
        stream_backups: Whether entries have backups of streams that can't be
            resumed otherwise, for services with `backups`. A stream continues
            from its backup when its connection is lost, so it requires
            upstreams that stop a run whose connection is closed.
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
    quarantine_crashes: Count = 3
    suspicion_seconds: Amount = 600.0
    stale_lease: Literal["refuse", "serve"] = "refuse"
    rollout_pause: Amount = 5.0
    loads_per_minute: Amount = 30.0
    load_burst: Count = 2
    admission: Literal["off", "programs"] = "off"
    stream_moves: Literal["off", "on"] = "off"
    stream_backups: Literal["off", "on"] = "off"


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete manifest."""

    programs: dict[Name, Program] = {}
    services: dict[Name, Service] = {}
    policies: Policies = Policies()
    routes: dict[Name, Route] = {}
    limits: Limits = Limits()


class Change(NamedTuple):
    """A field that differs; None stands for an absent field."""

    path: str
    before: Any
    after: Any


def parse(text: str | bytes) -> Manifest:
    """Returns the manifest of a JSON text.

    Raises:
        errors.InvalidManifest: The text is invalid. The detail has a line for
            each error, with the path of the field.
    """
    try:
        parsed = msgspec.json.decode(text, type=Manifest)
    except msgspec.ValidationError:
        # msgspec stopped at the first error. Walking all fields takes ten
        # times as long, so it is done for invalid manifests only.
        raw = msgspec.json.decode(text)
        violations = manifest_errors.schema_violations(raw, Manifest)
        violations.extend(_reference_violations(raw))
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.InvalidManifest(f"$: invalid JSON: {error}.") from None
    else:
        parsed = _with_digests(parsed)
        violations = manifest_errors.reference_violations(parsed)
        if not violations:
            return parsed
    lines = [
        f"{violation.path}: {violation.problem}." for violation in violations
    ]
    raise errors.InvalidManifest("\n".join(lines))


def _reference_violations(raw: Any) -> list[manifest_errors.Violation]:
    """Returns dangling references of a manifest with schema violations.

    The list is empty if the manifest has ill-typed or missing fields.
    """
    known = manifest_errors.without_unknown_fields(
        raw, inspect.type_info(Manifest)
    )
    try:
        parsed = msgspec.convert(known, Manifest)
    except msgspec.ValidationError:
        return []
    return manifest_errors.reference_violations(_with_digests(parsed))


def _with_digests(parsed: Manifest) -> Manifest:
    """Returns the manifest with digests in place of customers' keys."""
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
    """Returns the manifest as JSON on one line."""
    return msgspec.json.encode(manifest).decode()


def render(manifest: Manifest) -> str:
    """Returns the manifest as indented JSON with sorted keys."""
    data = msgspec.json.encode(manifest, order="sorted")
    return msgspec.json.format(data, indent=2).decode()


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Returns whether a request to a plain service may run more than once.

    The path is decoded and normalized first. Otherwise a request to
    `/status/../dispatch` would match `/status` although the service runs
    `/dispatch`, and a retry after a lost answer would run it twice.
    """
    method = method.upper()
    normalized = _normalize(path)
    for pattern in service.non_idempotent:
        verb, prefix = _split_pattern(pattern)
        if verb in ("*", method) and normalized.startswith(prefix):
            return False
    for pattern in service.idempotent:
        verb, prefix = _split_pattern(pattern)
        if verb in ("*", method) and _has_prefix(normalized, prefix):
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


def _normalize(path: str) -> str:
    decoded = url.unquote(path.partition("?")[0])
    return "/" + posixpath.normpath("/" + decoded).lstrip("/")


def _split_pattern(pattern: str) -> tuple[str, str]:
    verb, _, prefix = pattern.partition(" ")
    return verb.upper(), prefix


def _has_prefix(path: str, prefix: str) -> bool:
    """Matches whole path segments: `/find` is no prefix of `/findings`."""
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
