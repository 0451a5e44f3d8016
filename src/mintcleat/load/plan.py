"""A load plan: kinds of programs, their rates, shapes and bursts."""

import pathlib

import json5
import msgspec

from mintcleat.domain import errors

Range = tuple[float, float]


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call to a plain service between two turns."""

    service: str
    path: str = "/"
    method: str = "GET"


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """From `at`, for `seconds`, the rate is multiplied by `times`."""

    at: float
    seconds: float
    times: float


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of program.

    Attributes:
        rate: Programs started a second, as a Poisson process.
        turns: Least and most chat turns; the same for the other ranges.
        words: Words in each new user message.
        max_tokens: Tokens that each answer may have.
        pause: Seconds between the end of a turn and the next.
        key: The customer's key, where callers must show one.
        sub_agents: Chance that a turn starts a one-turn sub-agent first.
    """

    name: str
    model: str
    rate: float
    customer: str = ""
    key: str = ""
    agent: str = ""
    klass: str = msgspec.field(default="interactive", name="class")
    turns: Range = (1, 4)
    words: Range = (20, 80)
    max_tokens: Range = (8, 32)
    pause: Range = (0.0, 0.2)
    sub_agents: float = 0.0
    tools: list[Tool] = []
    bursts: list[Burst] = []
    deadline: float = 60.0
    stream: bool = True


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole plan; the same seed gives the same programs at the same times."""

    kinds: list[Kind]
    seconds: float = 10.0
    seed: int = 1
    max_programs: int = 100_000


def load(path: pathlib.Path) -> Plan:
    """Returns the plan in a JSON file with comments.

    Raises:
        errors.BadRequest: The file can't be read or has a fault.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Plan)
    except (OSError, ValueError) as error:
        raise errors.BadRequest(
            f"The load plan {path.name} has a fault: {error}.",
            remedy="See docs/reference/load.md for the fields.",
        ) from None
