"""Plays one day of an experiment: one seed, one load, one policy."""

import random
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.decisions import policy as policy_module
from mintcleat.emulator import control as control_module
from mintcleat.emulator import engine as engine_module
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import plain as plain_module
from mintcleat.emulator import plan
from mintcleat.emulator import programs

# After the last program has begun, its end is awaited for so long.
FINISH = 15.0
SAMPLE = 0.1


class Sample(NamedTuple):
    """Requests at each engine at one moment."""

    at: float
    loads: tuple[int, ...]


class Day(NamedTuple):
    """What one play gave.

    Attributes:
        ended: Every program that began.
        read: Prompt tokens that engines read.
        samples: Engines' loads, ten times a second.
    """

    ended: list[programs.Ended]
    read: int
    samples: list[Sample]


def play(
    experiment: plan.Plan, seed: int, load: float, policy: policy_module.Policy
) -> Day:
    """Plays a day; the same arguments give the same day."""
    env = simpy.Environment()
    chance = random.Random(seed)
    engines = {
        f"e{n}": engine_module.Engine(env, experiment.engine, chance)
        for n in range(experiment.engines)
    }
    plains = {
        f"s{n}": plain_module.Plain(
            env, experiment.plain_slots, experiment.plain_queue, chance
        )
        for n in range(experiment.plains)
    }
    fleet = entry_module.Fleet(
        engines, plains, experiment.engine.slots, experiment.plain_slots
    )
    control = control_module.Control(env)
    entries = [
        entry_module.Entry(env, f"a{n}", fleet, control, policy)
        for n in range(experiment.entries)
    ]
    callers = programs.Callers(env, experiment, entries, seed, load)
    for fault in experiment.faults:
        env.process(_strike(env, fault, fleet, control, callers, chance))
    samples: list[Sample] = []
    env.process(_sample(env, fleet, samples))
    env.run(until=experiment.seconds + FINISH)
    read = sum(engine.read for engine in engines.values())
    return Day(callers.ended, read, samples)


def _sample(
    env: simpy.Environment, fleet: entry_module.Fleet, samples: list[Sample]
) -> Any:
    while True:
        yield env.timeout(SAMPLE)
        loads = tuple(engine.load for engine in fleet.engines.values())
        samples.append(Sample(env.now, loads))


def _strike(
    env: simpy.Environment,
    fault: plan.Fault,
    fleet: entry_module.Fleet,
    control: control_module.Control,
    callers: programs.Callers,
    chance: random.Random,
) -> Any:
    yield env.timeout(fault.at)
    group: dict[str, Any] = fleet.plains if fault.plain else fleet.engines
    names = chance.sample(sorted(group), min(fault.count, len(group)))
    match fault.kind:
        case "burst":
            kinds = fault.kinds or list(callers.plan.kinds)
            callers.bursts.update(dict.fromkeys(kinds, fault.times))
            yield env.timeout(fault.seconds)
            for kind in kinds:
                callers.bursts.pop(kind, None)
        case "control":
            control.lose(fault.seconds)
        case "hang":
            for name in names:
                fleet.engines[name].stalled = env.now + fault.seconds
        case "crash":
            for name in names:
                fleet.engines[name].crash()
            yield env.timeout(fault.seconds)
            for name in names:
                fleet.engines[name].restart()
                fleet.register(name, fleet.engines[name].life)
        case "slow" | "lost" | "errors":
            field = {"slow": "slow", "lost": "losing", "errors": "failing"}
            for name in names:
                setattr(group[name], field[fault.kind], fault.times)
            yield env.timeout(fault.seconds)
            for name in names:
                well = 1.0 if fault.kind == "slow" else 0.0
                setattr(group[name], field[fault.kind], well)
