"""Simulates one seed, one load and one policy of an experiment."""

import random
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.decisions import policy as policy_module
from mintcleat.emulator import control as control_module
from mintcleat.emulator import crashing as crashing_module
from mintcleat.emulator import engine as engine_module
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import oracle as oracle_module
from mintcleat.emulator import plain_service
from mintcleat.emulator import plan
from mintcleat.emulator import programs as programs_module

# Time for programs to finish after the last one was started.
DRAIN_SECONDS = 15.0
SAMPLE_INTERVAL_SECONDS = 0.1
# Length of a pause of an engine that stutters, and the mean time between two.
STUTTER_SECONDS = 0.6
STUTTER_INTERVAL_SECONDS = 2.0


class Sample(NamedTuple):
    """Number of requests at each engine at one time.

    Attributes:
        at: Seconds since the start of the simulation.
        loads: Running and waiting requests of each engine.
    """

    at: float
    loads: tuple[int, ...]


class Result(NamedTuple):
    """The result of one simulation.

    Attributes:
        programs: Every program that has ended, in order of their ends.
        prefilled_tokens: Prompt tokens that the engines processed.
        samples: Loads of the engines, `SAMPLE_INTERVAL_SECONDS` apart.
        preempted: Requests that an engine took out of its batch.
        crashed: Engines that crashed under a request.
        cut_short: Answers that had broken off and were ended as whole.
        resumed: Turns that were resumed at another engine.
        mixed: Turns that were resumed at another version.
    """

    programs: list[programs_module.ProgramResult]
    prefilled_tokens: int
    samples: list[Sample]
    preempted: int = 0
    crashed: int = 0
    cut_short: int = 0
    resumed: int = 0
    mixed: int = 0


def run(
    experiment: plan.Plan, seed: int, load: float, policy: policy_module.Policy
) -> Result:
    """Runs a simulation; the same arguments give the same result."""
    env = simpy.Environment()
    rng = random.Random(seed)
    fleet = _fleet(env, experiment, rng, seed)
    control = control_module.Control(
        env,
        experiment.report_delay / 1000.0,
        admission=experiment.admission != "off",
    )
    entries = _entries(env, experiment, seed, policy, fleet, control)
    callers = programs_module.Callers(env, experiment, entries, seed, load)
    crashing = [
        crashing_module.CrashingRequest(
            env, fleet, entries, random.Random(f"{seed} crashing {number}")
        )
        for number in range(len(experiment.faults))
    ]
    for fault, request in zip(experiment.faults, crashing, strict=True):
        if fault.kind == "crashing":
            env.process(_send_crashing(env, fault, request))
            continue
        env.process(_inject_fault(env, fault, fleet, control, callers, rng))
    samples: list[Sample] = []
    env.process(_sample(env, fleet, samples))
    env.run(until=experiment.seconds + DRAIN_SECONDS)
    prefilled_tokens = sum(
        engine.prefilled_tokens for engine in fleet.engines.values()
    )
    preempted = sum(engine.preempted for engine in fleet.engines.values())
    crashed = sum(request.crashes for request in crashing)
    return Result(
        callers.results,
        prefilled_tokens,
        samples,
        preempted,
        crashed,
        fleet.cut_short,
        fleet.resumed,
        fleet.mixed,
    )


def _send_crashing(
    env: simpy.Environment,
    fault: plan.Fault,
    request: crashing_module.CrashingRequest,
) -> Any:
    yield env.timeout(fault.at)
    yield from request.send_repeatedly(fault)


def _fleet(
    env: simpy.Environment,
    experiment: plan.Plan,
    rng: random.Random,
    seed: int,
) -> entry_module.Fleet:
    engines = {
        f"e{n}": engine_module.Engine(
            env,
            experiment.engine,
            rng,
            experiment.speeds[n % len(experiment.speeds)],
        )
        for n in range(experiment.engines)
    }
    plain_services = {
        f"s{n}": plain_service.PlainService(
            env, experiment.plain_slots, experiment.plain_queue, rng
        )
        for n in range(experiment.plains)
    }
    return entry_module.Fleet(
        engines,
        plain_services,
        experiment.engine.slots,
        experiment.plain_slots,
        experiment.engine.memory,
        experiment.unmarked,
        random.Random(f"{seed} ends"),
        experiment.resumable,
    )


def _entries(
    env: simpy.Environment,
    experiment: plan.Plan,
    seed: int,
    policy: policy_module.Policy,
    fleet: entry_module.Fleet,
    control: control_module.Control,
) -> list[entry_module.Entry]:
    names = [f"a{n}" for n in range(experiment.entries)]
    match policy:
        case plan.Variant(placement="oracle") | plan.Variant(turns="oracle"):
            oracle = oracle_module.Oracle(env, experiment, fleet, seed)
            return [
                oracle_module.OracleEntry(
                    env, name, fleet, control, policy, oracle
                )
                for name in names
            ]
    return [
        entry_module.Entry(env, name, fleet, control, policy) for name in names
    ]


def _sample(
    env: simpy.Environment, fleet: entry_module.Fleet, samples: list[Sample]
) -> Any:
    while True:
        yield env.timeout(SAMPLE_INTERVAL_SECONDS)
        loads = tuple(engine.load for engine in fleet.engines.values())
        samples.append(Sample(env.now, loads))


def _inject_fault(
    env: simpy.Environment,
    fault: plan.Fault,
    fleet: entry_module.Fleet,
    control: control_module.Control,
    callers: programs_module.Callers,
    rng: random.Random,
) -> Any:
    yield env.timeout(fault.at)
    upstreams: dict[str, Any] = (
        fleet.plain_services if fault.plain else fleet.engines
    )
    names = rng.sample(sorted(upstreams), min(fault.count, len(upstreams)))
    match fault.kind:
        case "burst":
            kinds = fault.kinds or list(callers.plan.kinds)
            callers.burst_factors.update(dict.fromkeys(kinds, fault.times))
            yield env.timeout(fault.seconds)
            for kind in kinds:
                callers.burst_factors.pop(kind, None)
        case "heavy":
            callers.start_heavy(fault)
        case "control":
            control.fail(fault.seconds)
        case "hang":
            for name in names:
                fleet.engines[name].stalled_until = env.now + fault.seconds
        case "stutter":
            for name in names:
                env.process(_stutter(env, fleet.engines[name], fault, rng))
        case "crash":
            yield from _crash(env, fault, fleet, names)
        case "rollout":
            yield from _roll_out(env, fault, fleet, names)
        case "slow" | "lost" | "errors":
            chosen = [upstreams[name] for name in names]
            yield from _degrade(env, fault, chosen)


def _crash(
    env: simpy.Environment,
    fault: plan.Fault,
    fleet: entry_module.Fleet,
    names: list[str],
) -> Any:
    """Stops engines and starts them again after the fault."""
    for name in names:
        fleet.engines[name].crash()
    yield env.timeout(fault.seconds)
    for name in names:
        fleet.engines[name].restart()
        fleet.register(name, fleet.engines[name].start_count)


def _roll_out(
    env: simpy.Environment,
    fault: plan.Fault,
    fleet: entry_module.Fleet,
    names: list[str],
) -> Any:
    """Restarts engines with a new version, spread over the fault's time."""
    pause = fault.seconds / len(names)
    for name in names:
        fleet.engines[name].crash()
        yield env.timeout(pause / 2)
        fleet.versions[name] = f"v{fault.at:g}"
        fleet.engines[name].restart()
        fleet.register(name, fleet.engines[name].start_count)
        yield env.timeout(pause / 2)


def _degrade(
    env: simpy.Environment, fault: plan.Fault, upstreams: list[Any]
) -> Any:
    """Makes upstreams slow, lose requests or answer with errors for a time."""
    attribute, healthy = {
        "slow": ("slow", 1.0),
        "lost": ("losing", 0.0),
        "errors": ("failing", 0.0),
    }[fault.kind]
    for upstream in upstreams:
        setattr(upstream, attribute, fault.times)
    yield env.timeout(fault.seconds)
    for upstream in upstreams:
        setattr(upstream, attribute, healthy)


def _stutter(
    env: simpy.Environment,
    engine: engine_module.Engine,
    fault: plan.Fault,
    rng: random.Random,
) -> Any:
    """Slows an engine down or stops it, again and again."""
    until = env.now + fault.seconds
    while env.now < until:
        yield env.timeout(rng.expovariate(1.0 / STUTTER_INTERVAL_SECONDS))
        if fault.times <= 1.0:
            engine.stalled_until = env.now + STUTTER_SECONDS
            yield env.timeout(STUTTER_SECONDS)
            continue
        engine.slow = fault.times
        yield env.timeout(STUTTER_SECONDS)
        engine.slow = 1.0
