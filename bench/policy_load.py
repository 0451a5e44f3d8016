"""Synthetic programs of two deployments, drawn from a seed."""

import random
from typing import NamedTuple


class Step(NamedTuple):
    """One turn of a program and the pause that follows.

    Attributes:
        new: Prompt tokens that the turn adds.
        generate: Tokens of its answer.
        tool: Name of the tool that the answer calls.
        pause: Seconds that the tool takes; infinite for one that hangs.
        child: A sub-agent that runs in place of the tool.
    """

    new: int
    generate: int
    tool: str
    pause: float
    child: "Program | None" = None


class Program(NamedTuple):
    """All turns of a program, drawn in advance; hidden from decisions."""

    name: str
    agent: str
    customer: str
    klass: str
    steps: list[Step]


class Agent(NamedTuple):
    """Distributions from which an agent's programs are drawn.

    Attributes:
        share: Part of the programs that this agent runs.
        klass: Class of its calls, `interactive` or `batch`.
        turns: Least and largest number of turns.
        first: Least and largest prompt of the first turn, in tokens.
        new: The same of the later turns.
        generate: The same of the answers.
        tools: (name, share, median seconds, sigma of the logarithm); the
            duration is log-normal.
        child: Agent of the sub-agents, and the probability of one per turn.
    """

    name: str
    share: float
    klass: str
    turns: tuple[int, int]
    first: tuple[int, int]
    new: tuple[int, int]
    generate: tuple[int, int]
    tools: list[tuple[str, float, float, float]]
    child: tuple[str, float] = ("", 0.0)


class Deployment(NamedTuple):
    """A deployment: its engines, its agents and its weights.

    Attributes:
        memory: Tokens of cache per engine.
        latency_weight: Weight of latency in placement.
        waste_weight: Weight of recomputed tokens in placement.
        capacity: Offered load up to which useful work grows with all decisions
            on, as a fraction of the compute of engines that recompute
            nothing; `policy.py capacity` measures it.
        useful: Useful work at that load, as the same kind of fraction.
    """

    name: str
    engines: int
    memory: int
    latency_weight: float
    waste_weight: float
    capacity: float
    useful: float
    agents: list[Agent]


CUSTOMERS = ["north", "south", "east", "west"]
# Probability that a tool never returns.
HANG_PROBABILITY = 0.002

BREAKDOWN = Deployment(
    "breakdown",
    5,
    200_000,
    3.0,
    1.0,
    0.65,
    0.66,
    [
        Agent(
            "triage",
            0.55,
            "interactive",
            (2, 5),
            (800, 2500),
            (150, 600),
            (60, 200),
            [("route", 1.0, 1.0, 0.6)],
        ),
        Agent(
            "claim",
            0.30,
            "interactive",
            (8, 25),
            (2000, 4000),
            (150, 1200),
            (80, 300),
            [
                ("cover", 0.4, 0.5, 0.5),
                ("parts", 0.3, 2.0, 0.7),
                ("farmer", 0.3, 12.0, 0.8),
            ],
            ("search", 0.10),
        ),
        Agent(
            "reassess",
            0.15,
            "batch",
            (3, 8),
            (2000, 6000),
            (200, 800),
            (150, 500),
            [("records", 1.0, 0.8, 0.6)],
        ),
        Agent(
            "search",
            0.0,
            "interactive",
            (2, 4),
            (600, 1500),
            (200, 800),
            (50, 150),
            [("catalogue", 1.0, 0.5, 0.5)],
        ),
    ],
)

BUGDESK = Deployment(
    "bugdesk",
    6,
    300_000,
    1.0,
    3.0,
    0.65,
    0.56,
    [
        Agent(
            "triage",
            0.60,
            "interactive",
            (2, 4),
            (2000, 6000),
            (150, 500),
            (80, 250),
            [("dedupe", 1.0, 0.6, 0.6)],
        ),
        Agent(
            "repro",
            0.25,
            "interactive",
            (12, 45),
            (3000, 5000),
            (150, 900),
            (100, 350),
            [
                ("build", 0.4, 6.0, 0.7),
                ("replay", 0.3, 2.0, 0.6),
                ("tester", 0.3, 25.0, 0.9),
            ],
            ("search", 0.05),
        ),
        Agent(
            "export",
            0.15,
            "batch",
            (2, 5),
            (3000, 8000),
            (200, 800),
            (200, 500),
            [("pull", 1.0, 1.0, 0.5)],
        ),
        Agent(
            "search",
            0.0,
            "interactive",
            (2, 4),
            (600, 1500),
            (200, 800),
            (50, 150),
            [("tickets", 1.0, 0.5, 0.5)],
        ),
    ],
)

DEPLOYMENTS = {"breakdown": BREAKDOWN, "bugdesk": BUGDESK}


class Generator:
    """Draws programs and arrival times from one seed.

    Args:
        deployment: Agents of the programs.
        seed: Seed of the random numbers.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.agents = {agent.name: agent for agent in deployment.agents}
        self.count = 0

    def program(self, customer: str = "", agent: str = "") -> Program:
        """Returns the next program; empty arguments are drawn too."""
        names = list(self.agents)
        weights = [self.agents[name].share for name in names]
        chosen = agent or self.random.choices(names, weights)[0]
        return self._draw_program(
            chosen, customer or self.random.choice(CUSTOMERS)
        )

    def arrivals(self, rate: float, start: float, end: float) -> list[float]:
        """Returns Poisson arrival times from `start` to `end`.

        Args:
            rate: Arrivals per second.
            start: First second.
            end: Last second, exclusive.
        """
        times = []
        now = start + self.random.expovariate(rate)
        while now < end:
            times.append(now)
            now += self.random.expovariate(rate)
        return times

    def _draw_program(self, name: str, customer: str) -> Program:
        agent = self.agents[name]
        self.count += 1
        number = self.count
        turns = self.random.randint(*agent.turns)
        steps = [
            self._step(agent, customer, agent.new if turn else agent.first)
            for turn in range(turns)
        ]
        steps[-1] = steps[-1]._replace(pause=0.0, child=None)
        return Program(f"p{number}", name, customer, agent.klass, steps)

    def _step(self, agent: Agent, customer: str, new: tuple[int, int]) -> Step:
        rng = self.random
        child_agent, chance = agent.child
        child = None
        if rng.random() < chance:
            child = self._draw_program(child_agent, customer)
        tools = [tool for tool, *_ in agent.tools]
        shares = [share for _, share, *_ in agent.tools]
        tool = rng.choices(tools, shares)[0]
        _, _, median, sigma = next(t for t in agent.tools if t[0] == tool)
        pause = median * rng.lognormvariate(0.0, sigma)
        if rng.random() < HANG_PROBABILITY:
            pause = float("inf")
        return Step(
            rng.randint(*new),
            rng.randint(*agent.generate),
            tool,
            pause,
            child,
        )


def engine_seconds(
    program: Program, prefill_rate: float, decode_seconds: float
) -> float:
    """Returns the engine seconds of a program without recomputation."""
    total = 0.0
    for step in program.steps:
        total += step.new / prefill_rate + step.generate * decode_seconds
        if step.child:
            total += engine_seconds(step.child, prefill_rate, decode_seconds)
        if step.pause == float("inf"):
            break
    return total
