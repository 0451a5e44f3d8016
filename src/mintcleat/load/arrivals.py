"""The schedule of a load plan, computed before the first request is sent.

The load is open-loop: programs start at their scheduled times, whether or not
earlier ones have finished, and their latency counts from those times. This
avoids coordinated omission, in which a tool that waits for answers sends less
while the system is slow and so hides queueing.
"""

import random
from typing import NamedTuple

from mintcleat.load import plan as plan_module


class Turn(NamedTuple):
    """One chat turn.

    Attributes:
        words: Number of words in the user message.
        max_tokens: Maximum number of tokens in the answer.
        pause: Seconds between the end of the previous turn and this one.
        sub_agent: Whether a one-turn sub-agent runs before the turn.
        tool: Plain service that is called before the turn, if any.
    """

    words: int
    max_tokens: int
    pause: float
    sub_agent: bool
    tool: plan_module.Tool | None


class Program(NamedTuple):
    """One program.

    Attributes:
        due: Seconds from the start of the run at which it is started.
        kind: Its kind.
        turns: Its turns, in order.
    """

    due: float
    kind: plan_module.Kind
    turns: list[Turn]


def schedule(plan: plan_module.Plan) -> list[Program]:
    """Returns the programs of a plan by due time, at most `max_programs`."""
    programs: list[Program] = []
    for number, kind in enumerate(plan.kinds):
        rng = random.Random(plan.seed * 1000 + number)
        programs.extend(_schedule_kind(plan, kind, rng))
    programs.sort(key=lambda program: program.due)
    return programs[: plan.max_programs]


def _schedule_kind(
    plan: plan_module.Plan, kind: plan_module.Kind, rng: random.Random
) -> list[Program]:
    programs: list[Program] = []
    now = 0.0
    while kind.rate > 0:
        now += rng.expovariate(kind.rate * _rate_factor(kind, now))
        if now >= plan.seconds or len(programs) >= plan.max_programs:
            break
        programs.append(Program(now, kind, _draw_turns(kind, rng)))
    return programs


def _rate_factor(kind: plan_module.Kind, now: float) -> float:
    for burst in kind.bursts:
        if burst.at <= now < burst.at + burst.seconds:
            return burst.times
    return 1.0


def _draw_turns(kind: plan_module.Kind, rng: random.Random) -> list[Turn]:
    count = rng.randint(int(kind.turns[0]), int(kind.turns[1]))
    return [_draw_turn(kind, rng, first=not number) for number in range(count)]


def _draw_turn(kind: plan_module.Kind, rng: random.Random, first: bool) -> Turn:
    tool = None
    if kind.tools and not first:
        tool = rng.choice(kind.tools)
    return Turn(
        words=rng.randint(int(kind.words[0]), int(kind.words[1])),
        max_tokens=rng.randint(
            int(kind.max_tokens[0]), int(kind.max_tokens[1])
        ),
        pause=0.0 if first else rng.uniform(*kind.pause),
        sub_agent=rng.random() < kind.sub_agents,
        tool=tool,
    )
