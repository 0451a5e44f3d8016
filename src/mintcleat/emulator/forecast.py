"""The course of a program on idle upstreams, computed in advance.

A program draws its turns, tools and pauses from a random generator of its own.
Running it alone, on upstreams that serve everything at once, yields its whole
course without any effect on the simulation.

The forecast is exact for programs whose parts run one after another and that no
call fails. Sub-agents draw from their program's generator in the order in which
they happen to proceed, so for programs with sub-agents it is an estimate, like
an average program of the same length.
"""

from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.domain import routed_calls
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import plan
from mintcleat.emulator import programs

# Number of programs from which the mean target of a kind is computed. With the
# spread of the plans, the mean is exact to 3%.
_SAMPLES = 400


class Turn(NamedTuple):
    """One turn of a program.

    Attributes:
        starts_at: Seconds from the start of the program on idle upstreams.
        seconds: Time at an idle engine, without the network.
        prompt: Tokens of the prompt that were not part of an earlier turn.
        context: Tokens of the whole prompt.
        output: Tokens of the answer.
    """

    starts_at: float
    seconds: float
    prompt: int
    context: int
    output: int


class Forecast(NamedTuple):
    """The course of a program on idle upstreams.

    Attributes:
        turns: Its turns, in the order of their starts.
        duration: Seconds from its start to its end.
        target: Seconds that it may take.
    """

    turns: list[Turn]
    duration: float
    target: float


class _IdleEntry:
    """An entry before upstreams that are always idle.

    Attributes:
        turns: The turns that it ran.
    """

    def __init__(self, env: simpy.Environment, engine: plan.Engine) -> None:
        self.env = env
        self.engine = engine
        self.turns: list[Turn] = []

    def turn(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        silence_timeout: float,
        terms: entry_module.TurnTerms,
    ) -> Any:
        """Runs a turn; the arguments are those of `entry.Entry.turn`."""
        prompt = call.generation.parts[-1].tokens
        seconds = idle_seconds(self.engine, prompt, output)
        self.turns.append(
            Turn(
                self.env.now,
                seconds,
                prompt,
                call.generation.prompt_tokens,
                output,
            )
        )
        yield self.env.timeout(seconds)
        return "idle"

    def call(
        self, call: routed_calls.RoutedCall, work: float, repeatable: bool
    ) -> Any:
        """Runs a call of a tool; the arguments are those of `entry.Entry`."""
        yield self.env.timeout(work)


class _IdleCallers:
    """What a program needs of `programs.Callers`.

    Attributes:
        results: The result of the program.
    """

    def __init__(self, experiment: plan.Plan, seed: int) -> None:
        self.env = simpy.Environment()
        self.plan = experiment
        self.seed = seed
        entry = _IdleEntry(self.env, experiment.engine)
        # A program draws one of the entries for each call, which must take as
        # much from its generator as in the simulation.
        self.entries = [entry] * experiment.entries
        self.results: list[programs.ProgramResult] = []


def idle_seconds(engine: plan.Engine, prompt: int, output: int) -> float:
    """Returns the seconds of a turn at an idle engine, without the network."""
    step = engine.step + engine.step_per_request
    return (engine.first + prompt / engine.read_per_ms + output * step) / 1000.0


def forecast(
    experiment: plan.Plan, seed: int, kind: str, number: str, customer: str
) -> Forecast:
    """Returns the course of one program.

    Args:
        experiment: The plan.
        seed: Seed of the simulation.
        kind: Name of its kind.
        number: Its number, as in `programs.Program`.
        customer: Its customer.
    """
    callers: Any = _IdleCallers(experiment, seed)
    program = programs.Program(callers, kind, number, customer)
    callers.env.process(program.run())
    callers.env.run()
    (result,) = callers.results
    return Forecast(callers.entries[0].turns, result.duration, result.target)


def mean_target(
    model: plan.Engine, entries: int, kind: plan.Kind, name: str
) -> float:
    """Returns the mean target of programs of a kind in seconds.

    It depends neither on the load nor on a policy, so the worth of programs is
    the same in all variants of an experiment.
    """
    experiment = plan.Plan(entries, 1, model, {name: kind})
    targets = [
        forecast(experiment, 1, name, str(number), "").target
        for number in range(_SAMPLES)
    ]
    return sum(targets) / len(targets)
