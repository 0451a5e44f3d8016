"""Load plans: which programs to run, and when."""

import pathlib

import json5
import msgspec

from mintcleat.domain import errors

# The least and the greatest value, both included.
Range = tuple[float, float]


class Tool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call to a plain service between two turns.

    Attributes:
        service: Name of the service.
        path: Path below that of the service.
        method: HTTP method.
    """

    service: str
    path: str = "/"
    method: str = "GET"


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time during which the rate of programs is multiplied.

    Attributes:
        at: Seconds from the start of the run.
        seconds: Length of the burst.
        times: Factor on the rate.
    """

    at: float
    seconds: float
    times: float


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of program.

    Attributes:
        name: Name of the kind in the report.
        model: Model that the turns request.
        rate: Programs started per second, as a Poisson process.
        customer: Customer of the programs; may be empty.
        key: The customer's key, where entries require one.
        agent: Agent of the programs; may be empty.
        klass: Class of the programs.
        turns: Number of chat turns.
        words: Words in each user message.
        max_tokens: Maximum number of tokens in each answer.
        pause: Seconds between the end of a turn and the next.
        sub_agents: Probability that a one-turn sub-agent runs before a turn.
        tools: One of them is called before each turn except the first.
        bursts: Times with a higher rate; the first that applies counts.
        deadline: Seconds that each turn and tool call may take.
        stream: Whether answers are streamed.
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
    """A load plan.

    Attributes:
        kinds: Kinds of programs.
        seconds: Time during which programs are started.
        seed: Seed of the schedule; the same seed gives the same programs at
            the same times.
        max_programs: Maximum number of programs.
    """

    kinds: list[Kind]
    seconds: float = 10.0
    seed: int = 1
    max_programs: int = 100_000


def load(path: pathlib.Path) -> Plan:
    """Returns the plan in a JSON file with comments.

    Raises:
        errors.BadRequest: The file can't be read or is not a valid plan.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Plan)
    except (OSError, ValueError) as error:
        raise errors.BadRequest(
            f"{path.name} is not a valid load plan: {error}.",
            remedy="See docs/reference/load.md for the fields.",
        ) from None
