"""An experiment: what is served, the load on it, its faults, and variants."""

import pathlib
from typing import Literal

import json5
import msgspec

from mintcleat.decisions import policy
from mintcleat.domain import errors


class Distribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A lognormal amount: its mean, the spread of its logarithm, its most."""

    mean: float
    spread: float = 0.0
    most: float = 1e9


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model engine; times in milliseconds.

    Attributes:
        slots: Requests in its batch.
        queue: Requests that wait before it refuses.
        memory: Tokens that running requests and the cache share.
        step: Time of one token of every request in the batch, and what each
            request and each thousand tokens of context add to it.
        read_per_ms: Prompt tokens read in a millisecond.
        chunk: Prompt tokens read between two tokens of the others.
        first: Time before a request's first token, beside reading.
        stride: Tokens of one event.
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


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call of the plain service after a turn, with a chance.

    Attributes:
        work: Milliseconds that it takes.
        repeatable: Whether it may run twice.
    """

    share: float
    work: Distribution
    repeatable: bool = False


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of program; times in milliseconds.

    Attributes:
        per_second: Programs that begin a second.
        shared: Tokens at the start of each prompt that programs share.
        prompt: New tokens of each turn.
        events: Events of each answer.
        fan: Chance that sub-agents follow a turn, `width` at a time, of
            `helper_turns` turns each.
        aim: A program should take at most so many times its time on idle
            upstreams, and `objective` more.
        way: Time of a turn's way to the entry and back.
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


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens; times in seconds.

    Attributes:
        kind: `burst` multiplies the programs of `kinds` (of all without);
            `slow` multiplies the times of `count` engines; `crash` ends as
            many, which are back after `seconds`, knowing nothing; `control`
            takes the leader away; `lost` loses a share `times` of the answers
            of `count` engines or, with `plain`, of plain services; `errors`
            has a share `times` answered with a failure.
    """

    kind: Literal["burst", "slow", "crash", "hang", "control", "lost", "errors"]
    at: float
    seconds: float
    times: float = 1.0
    count: int = 1
    kinds: list[str] = []
    plain: bool = False


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole experiment.

    Attributes:
        seconds: During which programs begin.
        plains: Plain services, with `plain_slots` places each.
        variants: Policies by name; the same seeds are played with each.
        loads: Factors on all rates; each is played.
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
    variants: dict[str, policy.Policy] = msgspec.field(
        default_factory=lambda: {"default": policy.DEFAULT}
    )


def read(path: pathlib.Path) -> Plan:
    """Returns the plan in a file: JSON with comments.

    Raises:
        errors.InvalidSettings: It can't be read; the detail names the field.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Plan)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise errors.InvalidSettings(
            f"{path} is no plan: {error}",
            remedy="docs/reference/experiments.md lists the fields.",
        ) from None
