"""The plan of an experiment: upstreams, load, faults and policies."""

import pathlib
from typing import Literal

import json5
import msgspec

from mintcleat.decisions import policy
from mintcleat.domain import errors


class Distribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A lognormal distribution.

    Attributes:
        mean: Mean of the distribution, before `most` applies.
        spread: Standard deviation of the logarithm; with 0 the value is
            always `mean`.
        most: Larger values are reduced to this one.
    """

    mean: float
    spread: float = 0.0
    most: float = 1e9


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model engine; times in milliseconds.

    Attributes:
        slots: Maximum number of requests in the batch.
        memory: Tokens that the running requests and the cache share.
        step: Time of one step, which generates a token for each request.
        read_per_ms: Prompt tokens processed per millisecond.
        queue: Maximum number of waiting requests; more are refused.
        step_per_request: Time that each request in the batch adds to a step.
        step_per_thousand: Time that each 1,000 tokens of context add to a
            step.
        chunk: Maximum number of prompt tokens processed in one step.
        first: Minimum time from admission to the first token; it overlaps
            with the prefill.
        stride: Tokens per event of a stream.
        preempts: Whether requests are admitted without room for their output.
            If the memory overflows, the latest one is prefilled again later.
    """

    slots: int
    memory: int
    step: float
    read_per_ms: float
    queue: int = 48
    step_per_request: float = 0.0
    step_per_thousand: float = 0.0
    chunk: int = 2048
    first: float = 18.0
    stride: int = 9
    preempts: bool = False


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call to the plain service between two turns.

    Attributes:
        share: Probability of the call.
        work: Milliseconds that it takes.
        repeatable: Whether it may be executed twice.
    """

    share: float
    work: Distribution
    repeatable: bool = False


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of program; times in milliseconds.

    Attributes:
        per_second: Programs started per second.
        turns: Number of turns.
        prompt: New prompt tokens of each turn.
        events: Stream events of each answer.
        aim: Target duration of a program, as a multiple of its duration on
            idle upstreams; `objective` is added.
        shared: Tokens of the prompt prefix that programs share.
        pause: Time between turns, after any tools or sub-agents.
        fan: Probability that sub-agents run after a turn.
        width: Number of sub-agents that run in parallel.
        helper_turns: Turns of each sub-agent.
        objective: Constant part of the target duration. Entries also derive
            their silence timeout from it.
        way: Network time of a turn, to the entry and back.
        deadline: Time after which the caller gives up an attempt.
        tools: Tools that may be called after a turn without sub-agents.
        priority: Rank of its turns, 0 the most urgent.
    """

    per_second: float
    turns: Distribution
    prompt: Distribution
    events: Distribution
    aim: float
    shared: int = 512
    pause: Distribution = Distribution(60.0, 0.6, 240.0)
    fan: float = 0.0
    width: Distribution = Distribution(5.0, 0.3, 10.0)
    helper_turns: int = 2
    objective: float = 250.0
    way: float = 31.0
    deadline: float = 4000.0
    tools: list[Tool] = []
    priority: int = 0


class Customers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The customers of the programs; all have the same share.

    Attributes:
        count: Number of customers.
        skew: Exponent of their sizes: the n-th customer starts programs in
            proportion to n to the power of minus this.
    """

    count: int = 1
    skew: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or a burst of load; times in seconds.

    Attributes:
        kind: `burst` multiplies the rate of programs by `times`;
            `slow` multiplies the times of upstreams by `times`;
            `crash` stops engines, which restart with empty caches;
            `rollout` restarts engines with a new version of their software,
            one after the other;
            `hang` keeps engines from starting a step;
            `stutter` slows engines down by `times` for 0.6 s, 2 s apart on
            average, or stops them if it is 1;
            `control` leaves the system without a leader;
            `lost` loses the fraction `times` of the answers of upstreams;
            `errors` fails the fraction `times` of the requests;
            `heavy` multiplies the rate of `count` customers by `times`, from
            the one in the middle of the order of sizes on;
            `crashing` sends one request, `times` times a second through any
            entry, that crashes each engine which runs it.
        at: Time at which it begins.
        seconds: Time that it lasts.
        times: Factor or fraction, see `kind`.
        count: Number of upstreams that it affects.
        kinds: Kinds of programs in a burst; all if empty.
        plain: Whether `slow`, `lost` and `errors` affect plain services
            rather than engines.
    """

    kind: Literal[
        "burst",
        "slow",
        "crash",
        "rollout",
        "hang",
        "stutter",
        "control",
        "lost",
        "errors",
        "heavy",
        "crashing",
    ]
    at: float
    seconds: float
    times: float = 1.0
    count: int = 1
    kinds: list[str] = []
    plain: bool = False


class Variant(policy.Policy, frozen=True, forbid_unknown_fields=True):
    """A policy under which an experiment runs.

    Attributes:
        placement: Who chooses upstreams: entries with what they know, or the
            oracle.
        turns: Who decides when turns run: entries and, if the plan says so,
            the leader; or the oracle, which chooses the programs to finish.
        versions: Whether a turn is resumed only at the version that began it.
    """

    placement: Literal["entries", "oracle"] = "entries"
    turns: Literal["leader", "oracle"] = "leader"
    versions: bool = True


def ablations() -> dict[str, Variant]:
    """Returns all mechanisms, and each of them switched off, by name."""
    found = {"all": Variant()}
    for field in msgspec.structs.fields(policy.Policy):
        name = f"no {field.name.replace('_', ' ')}"
        found[name] = msgspec.structs.replace(Variant(), **{field.name: False})
    return found


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment.

    Attributes:
        entries: Number of entries.
        engines: Number of engines.
        engine: Properties of each engine.
        kinds: Kinds of programs by name.
        seconds: Time during which programs are started.
        plains: Number of instances of the plain service.
        plain_slots: Maximum number of requests that an instance runs.
        plain_queue: Maximum number of requests that wait at an instance, which
            refuses more.
        faults: Faults that are injected.
        seeds: Seeds; every variant and load runs with each.
        loads: Factors on the rates of all kinds; every variant runs with
            each.
        variants: Policies by name.
        speeds: Speeds of the engines, repeated for as many as there are.
        report_delay: Milliseconds by which reports on other entries are late.
        customers: Customers of the programs.
        admission: Whether the leader admits turns; variants can do without.
        unmarked: Fraction of the engines' answers whose end nothing marks. An
            engine that crashes closes their connections in order, half of
            them between two events.
        resumable: Whether turns that break off are resumed at another engine.
    """

    entries: int
    engines: int
    engine: Engine
    kinds: dict[str, Kind]
    seconds: float = 34.0
    plains: int = 4
    plain_slots: int = 6
    plain_queue: int = 24
    faults: list[Fault] = []
    seeds: list[int] = msgspec.field(default_factory=lambda: [1])
    loads: list[float] = msgspec.field(default_factory=lambda: [1])
    variants: dict[str, Variant] = msgspec.field(
        default_factory=lambda: {"default": Variant()}
    )
    speeds: list[float] = msgspec.field(default_factory=lambda: [1])
    report_delay: float = 0.0
    customers: Customers = Customers()
    admission: Literal["off", "programs"] = "off"
    unmarked: float = 0.0
    resumable: bool = False


def read(path: pathlib.Path) -> Plan:
    """Returns the plan in a JSON file with comments.

    Raises:
        errors.InvalidSettings: The file can't be read or is not a valid plan;
            the detail names the field.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Plan)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise errors.InvalidSettings(
            f"{path} is not a valid experiment plan: {error}",
            remedy="See docs/reference/experiments.md for the fields.",
        ) from None
