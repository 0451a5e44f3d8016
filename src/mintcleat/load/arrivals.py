"""The schedule of a plan, made before the first request is sent.

Arrivals do not wait for answers. A system that falls behind is then measured
against the time at which each program was due, not against the time at which
the tool got round to it (coordinated omission).
"""

import random
from typing import NamedTuple

from mintcleat.load import plan as plan_module


class Turn(NamedTuple):
    """One chat turn; `pause` seconds pass before it."""

    words: int
    max_tokens: int
    pause: float
    sub_agent: bool
    tool: plan_module.Tool | None


class Program(NamedTuple):
    """One program and the second at which it is due."""

    due: float
    kind: plan_module.Kind
    turns: list[Turn]


def schedule(plan: plan_module.Plan) -> list[Program]:
    """Returns every program of the plan, earliest first."""
    programs: list[Program] = []
    for number, kind in enumerate(plan.kinds):
        chance = random.Random(plan.seed * 1000 + number)
        programs.extend(_of_kind(plan, kind, chance))
    programs.sort(key=lambda program: program.due)
    return programs[: plan.max_programs]


def _of_kind(
    plan: plan_module.Plan, kind: plan_module.Kind, chance: random.Random
) -> list[Program]:
    found: list[Program] = []
    now = 0.0
    while kind.rate > 0:
        now += chance.expovariate(kind.rate * _factor(kind, now))
        if now >= plan.seconds or len(found) >= plan.max_programs:
            break
        found.append(Program(now, kind, _turns(kind, chance)))
    return found


def _factor(kind: plan_module.Kind, now: float) -> float:
    for burst in kind.bursts:
        if burst.at <= now < burst.at + burst.seconds:
            return burst.times
    return 1.0


def _turns(kind: plan_module.Kind, chance: random.Random) -> list[Turn]:
    count = chance.randint(int(kind.turns[0]), int(kind.turns[1]))
    return [_turn(kind, chance, first=not number) for number in range(count)]


def _turn(kind: plan_module.Kind, chance: random.Random, first: bool) -> Turn:
    tool = None
    if kind.tools and not first:
        tool = chance.choice(kind.tools)
    return Turn(
        words=chance.randint(int(kind.words[0]), int(kind.words[1])),
        max_tokens=chance.randint(
            int(kind.max_tokens[0]), int(kind.max_tokens[1])
        ),
        pause=0.0 if first else chance.uniform(*kind.pause),
        sub_agent=chance.random() < kind.sub_agents,
        tool=tool,
    )
