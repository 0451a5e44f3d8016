"""The manifest: what operators push to say what should be in force.

Unknown and ill-typed fields are faults. `parse` reports every fault at once.
"""

from typing import Literal

import msgspec


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
    tokens: int = 0
    turns: int = 0
    seconds: float = 0.0
    repeat_limit: int = 8
    tools: dict[str, Tool] = {}


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or plain service.

    Attributes:
        idempotent: `METHOD /path-prefix` patterns that may be repeated,
            beside the methods that are idempotent by definition.
        non_idempotent: Patterns that may not; they win over `idempotent`.
        floor: Upstreams that a rollout keeps ready.
    """

    kind: Literal["model", "plain"]
    model: str = ""
    version: str = ""
    adapters: list[str] = []
    replicas: int = 0
    floor: int = 0
    fencing: bool = True
    idempotent: list[str] = []
    non_idempotent: list[str] = []


class Partner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A partner's share and limits; 0 means no limit."""

    share: float = 1.0
    max_running: int = 0


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operator weighs; only the ratio counts."""

    program_latency: float = 1.0
    wasted_cache: float = 1.0


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policies of the deployment; times in seconds."""

    partners: dict[str, Partner] = {}
    default_partner: str = ""
    weights: Weights = Weights()
    deadline: float = 120.0
    max_wait: float = 30.0
    program_idle: float = 3600.0
    record_retention: float = 86400.0
    quarantine_seconds: float = 3600.0
    stale_lease: Literal["refuse", "serve"] = "refuse"
    rollout_pause: float = 5.0
    loads_per_minute: float = 30.0
    load_burst: int = 2


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole manifest."""

    programs: dict[str, Program] = {}
    services: dict[str, Service] = {}
    policies: Policies = Policies()


SECTIONS = ("programs", "services", "policies")
