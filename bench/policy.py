"""Compares the decisions with simpler schedulers, in virtual time.

Usage: PYTHONPATH=src python bench/policy.py COMMAND [--seeds 20] [--jobs 3]
Commands: goals, burst, slow, overload, mechanisms, weights, capacity, cost.
"""

from collections.abc import Callable
import concurrent.futures
import math
import statistics
import time

import fire

from mintcleat.decisions import calls
from mintcleat.decisions import order
from mintcleat.decisions import placement
from mintcleat.decisions import queue
from mintcleat.decisions import subset
from mintcleat.domain import call_messages
from mintcleat.domain import identities
import policy_engine
import policy_load
import policy_world

# Virtual seconds during which programs arrive, the part of them that is left
# out of the latencies, and the time that programs have to end afterwards.
ARRIVAL_SECONDS = 900.0
WARMUP_SECONDS = 120.0
DRAIN_SECONDS = 3000.0
NAIVE_GATE = queue.Options(
    working_set=False,
    prefill=0.0,
    protect=False,
    adaptive=False,
    fair=False,
    bounded=False,
    classes=False,
    ordering=policy_world.FIFO,
)
NAIVE = policy_world.Policy(
    "naive",
    placement_policy="round_robin",
    retention_policy="none",
    gate=NAIVE_GATE,
    bounded_pause=False,
    export=False,
    deadline=0.0,
    retry_refused=False,
)
STRONG = NAIVE._replace(
    name="strong", placement_policy="least_loaded", retention_policy="age"
)
FULL = policy_world.Policy("full")


def ablations() -> list[policy_world.Policy]:
    """Returns copies of the full policy, each with one mechanism off."""
    gate = FULL.gate
    switches = FULL.switches
    ordering = order.ALL_ON
    gates = {
        "working set": gate._replace(working_set=False),
        "prefill bound": gate._replace(prefill=0.0),
        "protection": gate._replace(protect=False),
        "adaptive limit": gate._replace(adaptive=False),
        "fair shares": gate._replace(fair=False),
        "classes": gate._replace(classes=False),
        "bounded queue": gate._replace(bounded=False),
        "program order": gate._replace(ordering=policy_world.FIFO),
        "learned rest": gate._replace(
            ordering=ordering._replace(learned=False)
        ),
    }
    places = {
        "residency": switches._replace(residency=False),
        "sent since report": switches._replace(lag=False),
        "learned speeds": switches._replace(speeds=False),
        "ejection": switches._replace(ejection=False),
    }
    policies = [FULL._replace(name=name, gate=gates[name]) for name in gates]
    policies += [
        FULL._replace(name=name, switches=places[name]) for name in places
    ]
    policies.append(
        FULL._replace(name="pause histograms", retention_policy="age")
    )
    policies.append(FULL._replace(name="hung bound", bounded_pause=False))
    policies.append(FULL._replace(name="export", export=False))
    policies.append(FULL._replace(name="retries", retry_refused=False))
    return policies


def program_seconds(deployment: policy_load.Deployment) -> float:
    """Returns the mean engine seconds of a program without recomputation."""
    sample = policy_load.Generator(deployment, 1234)
    return statistics.mean(
        policy_load.engine_seconds(
            sample.program(),
            policy_engine.PREFILL_RATE,
            policy_engine.decode_seconds(),
        )
        for _ in range(400)
    )


def arrival_rate(deployment: policy_load.Deployment, load: float) -> float:
    """Returns programs per second at `load` times the capacity."""
    engines = deployment.engines * deployment.capacity
    return load * engines / program_seconds(deployment)


def percentile(values: list[float], fraction: float) -> float:
    """Returns a percentile; infinite for no values."""
    if not values:
        return math.inf
    return sorted(values)[int(fraction * (len(values) - 1))]


def latencies(
    result: policy_world.Result,
    start: float,
    end: float,
    excluded_customer: str = "",
    end_of_run: float = math.inf,
) -> list[float]:
    """Returns the latencies, in seconds, of programs by time of arrival.

    Programs with a hung tool are left out. One that has not ended counts with
    the time from its arrival to the end of the run.

    Args:
        result: Outcome of the run.
        start: Earliest arrival.
        end: Latest arrival, exclusive.
        excluded_customer: Customer whose programs are left out.
        end_of_run: Virtual time at which the run ended.
    """
    return [
        min(ended, end_of_run) - arrived
        for arrived, ended, customer, _, paused in result.records
        if start <= arrived < end
        and paused < math.inf
        and customer != excluded_customer
    ]


def run_steady(
    name: str, policy: policy_world.Policy, seed: int, load: float
) -> dict[str, float]:
    """Runs Poisson arrivals at one load."""
    deployment = policy_load.DEPLOYMENTS[name]
    generator = policy_load.Generator(deployment, seed)
    simulation = policy_world.Simulation(deployment, policy)
    for at in generator.arrivals(
        arrival_rate(deployment, load), 0.0, ARRIVAL_SECONDS
    ):
        simulation.schedule(at, simulation.arrive, generator.program())
    return summarize(simulation)


def summarize(
    simulation: policy_world.Simulation,
    excluded_customer: str = "",
    start: float = WARMUP_SECONDS,
) -> dict[str, float]:
    """Runs a simulation to its end and returns the columns of its row.

    Args:
        simulation: A simulation whose arrivals are scheduled.
        excluded_customer: Customer whose latencies are left out.
        start: Earliest arrival that counts in the latencies.
    """
    simulation.run(ARRIVAL_SECONDS + DRAIN_SECONDS)
    result = simulation.result()
    times = latencies(
        result,
        start,
        ARRIVAL_SECONDS,
        excluded_customer,
        ARRIVAL_SECONDS + DRAIN_SECONDS,
    )
    useful = sum(
        seconds
        for at, seconds in result.useful
        if 300.0 <= at < ARRIVAL_SECONDS
    )
    engine_time = (ARRIVAL_SECONDS - 300.0) * simulation.deployment.engines
    return {
        "useful%": 100 * useful / engine_time,
        "mean": statistics.mean(times),
        "p95": percentile(times, 0.95),
        "waste": result.recomputed_tokens / len(result.records),
        "late%": 100 * result.late / max(1, result.admitted),
        "refused": result.refusals / len(result.records),
        "moves": result.moves / len(result.records),
    }


def run_burst(
    name: str, policy: policy_world.Policy, seed: int, factor: float
) -> dict[str, float]:
    """Runs with one customer at `factor` times its usual rate for 100 s."""
    deployment = policy_load.DEPLOYMENTS[name]
    generator = policy_load.Generator(deployment, seed)
    simulation = policy_world.Simulation(deployment, policy)
    base_rate = arrival_rate(deployment, 0.7)
    for at in generator.arrivals(base_rate, 0.0, ARRIVAL_SECONDS):
        simulation.schedule(at, simulation.arrive, generator.program())
    customer = policy_load.CUSTOMERS[0]
    extra_rate = (factor - 1) * base_rate / len(policy_load.CUSTOMERS)
    if extra_rate > 0:
        other = policy_load.Generator(deployment, 1000 + seed)
        other.count = 10**6
        for at in other.arrivals(extra_rate, 150.0, 250.0):
            simulation.schedule(at, simulation.arrive, other.program(customer))
    return summarize(simulation, excluded_customer=customer, start=150.0)


def run_slow(
    name: str, policy: policy_world.Policy, seed: int, factor: float
) -> dict[str, float]:
    """Runs at 0.6 of capacity with one engine slower by `factor`."""
    deployment = policy_load.DEPLOYMENTS[name]
    generator = policy_load.Generator(deployment, seed)
    simulation = policy_world.Simulation(deployment, policy, {0: factor})
    for at in generator.arrivals(
        arrival_rate(deployment, 0.6), 0.0, ARRIVAL_SECONDS
    ):
        simulation.schedule(at, simulation.arrive, generator.program())
    return summarize(simulation)


def run_overload(
    name: str, policy: policy_world.Policy, seed: int, factor: float
) -> dict[str, float]:
    """Runs 0.7 of capacity, `factor` for ten minutes, then 0.7 again.

    A caller whose first call is refused gives up.
    """
    deployment = policy_load.DEPLOYMENTS[name]
    generator = policy_load.Generator(deployment, seed)
    simulation = policy_world.Simulation(deployment, policy, max_refusals=1)
    phases = [
        (0.7, 0.0, 600.0),
        (factor, 600.0, 1200.0),
        (0.7, 1200.0, 1800.0),
    ]
    for load, start, end in phases:
        for at in generator.arrivals(
            arrival_rate(deployment, load), start, end
        ):
            simulation.schedule(at, simulation.arrive, generator.program())
    simulation.run(1800.0 + DRAIN_SECONDS)
    result = simulation.result()
    good = (
        sum(seconds for at, seconds in result.useful if 700.0 <= at < 1200.0)
        / 500.0
    )
    ended = [
        (arrived, end - arrived)
        for arrived, end, *_, paused in result.records
        if end < math.inf and paused < math.inf
    ]
    before = [time for at, time in ended if 200.0 <= at < 600.0]
    during = [time for at, time in ended if 700.0 <= at < 1200.0]
    after = [time for at, time in ended if 1400.0 <= at < 1800.0]
    return {
        "goodput%": 100 * good / deployment.engines / deployment.useful,
        "late%": 100 * result.late / max(1, result.admitted),
        "mean during": statistics.mean(during or [math.inf]),
        "after/before": statistics.mean(after or [math.inf])
        / statistics.mean(before or [math.inf]),
        "served after%": 100
        * len(after)
        / max(
            1,
            sum(
                1400.0 <= arrived < 1800.0 and paused < math.inf
                for arrived, _, _, _, paused in result.records
            ),
        ),
        "waste": result.recomputed_tokens / len(result.records),
    }


Case = tuple[
    Callable[..., dict[str, float]], str, policy_world.Policy, int, float
]


def run_case(case: Case) -> dict[str, float]:
    """Runs one case; called in a worker process."""
    function, name, policy, seed, argument = case
    return function(name, policy, seed, argument)


def table(
    function: Callable[..., dict[str, float]],
    rows: list[tuple[str, policy_world.Policy, float]],
    seeds: int,
    jobs: int,
) -> list[dict[str, float]]:
    """Runs each row with every seed; prints medians and quartiles.

    Returns:
        The medians by column, one mapping per row.
    """
    cases = [
        (function, name, policy, seed, argument)
        for name, policy, argument in rows
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(run_case, cases))
    medians = []
    for index, (name, policy, argument) in enumerate(rows):
        runs = results[index * seeds : (index + 1) * seeds]
        medians.append(_print_row(name, policy.name, argument, runs))
    return medians


def _print_row(
    name: str, policy: str, argument: float, runs: list[dict[str, float]]
) -> dict[str, float]:
    medians = {}
    cells = []
    for key in runs[0]:
        values = [row[key] for row in runs]
        low, middle, high = (percentile(values, q) for q in (0.25, 0.5, 0.75))
        medians[key] = middle
        cells.append(f"{key} {middle:.1f} [{low:.1f} {high:.1f}]")
    print(
        f"{name:10} {policy:18} {argument:4g}  " + "  ".join(cells), flush=True
    )
    return medians


def _print_ratios(
    text: str, ours: dict[str, float], other: dict[str, float]
) -> None:
    parts = [
        f"{key} {ours[key] / other[key]:.2f}"
        for key in ("mean", "p95", "waste")
        if other[key]
    ]
    print(f"           {text}: " + ", ".join(parts))


class Commands:
    """Commands of the program."""

    def goals(self, seeds: int = 20, jobs: int = 3, load: float = 0.9) -> None:
        """Compares naive, strong and full at `load` times the capacity."""
        for name in policy_load.DEPLOYMENTS:
            rows = [(name, policy, load) for policy in (NAIVE, STRONG, FULL)]
            naive, strong, full = table(run_steady, rows, seeds, jobs)
            _print_ratios("full / naive", full, naive)
            _print_ratios("full / strong", full, strong)

    def burst(self, seeds: int = 20, jobs: int = 3) -> None:
        """Measures the others' latency in one customer's tenfold burst."""
        for name in policy_load.DEPLOYMENTS:
            for policy in (STRONG, FULL):
                rows = [(name, policy, factor) for factor in (1.0, 10.0)]
                calm, burst = table(run_burst, rows, seeds, jobs)
                _print_ratios("burst / calm", burst, calm)

    def slow(self, seeds: int = 20, jobs: int = 3) -> None:
        """Measures a fleet with one engine ten times slower."""
        for name in policy_load.DEPLOYMENTS:
            for policy in (STRONG, FULL):
                rows = [(name, policy, factor) for factor in (1.0, 10.0)]
                healthy, slow = table(run_slow, rows, seeds, jobs)
                _print_ratios("slow / healthy", slow, healthy)

    def overload(self, seeds: int = 20, jobs: int = 3) -> None:
        """Measures twice the capacity for ten minutes, and the recovery."""
        rows = [
            (name, policy, 2.0)
            for name in policy_load.DEPLOYMENTS
            for policy in (STRONG, FULL)
        ]
        table(run_overload, rows, seeds, jobs)

    def mechanisms(
        self, seeds: int = 20, jobs: int = 3, load: float = 1.0
    ) -> None:
        """Switches off one mechanism after the other."""
        for name in policy_load.DEPLOYMENTS:
            rows = [(name, policy, load) for policy in (FULL, *ablations())]
            table(run_steady, rows, seeds, jobs)

    def weights(self, seeds: int = 20, jobs: int = 3) -> None:
        """Compares weights of latency against recomputed tokens."""
        ends = {
            "latency 9:1": (9.0, 1.0),
            "even": (1.0, 1.0),
            "waste 1:9": (1.0, 9.0),
        }
        for name in policy_load.DEPLOYMENTS:
            rows = [
                (
                    name,
                    FULL._replace(name=text, weights=placement.Weights(*pair)),
                    0.9,
                )
                for text, pair in ends.items()
            ]
            table(run_steady, rows, seeds, jobs)

    def capacity(self, seeds: int = 5, jobs: int = 3) -> None:
        """Measures useful work by load, to find the capacity.

        Loads are fractions of the compute of engines that recompute nothing.
        """
        for name, deployment in policy_load.DEPLOYMENTS.items():
            loads = [0.3, 0.6, 0.65, 0.7, 0.75, 0.8]
            rows = [(name, FULL, load / deployment.capacity) for load in loads]
            print(f"{name}: parts of bare compute {loads}")
            table(run_steady, rows, seeds, jobs)

    def cost(self) -> None:
        """Prints the microseconds of one placement and of one admission."""
        for count in (10, 300, 3000):
            print(
                f"upstreams {count:6}  placement {_placement_us(count):7.1f} us"
            )
        for count in (1_000, 100_000):
            print(
                f"programs  {count:6}  admission {_admission_us(count):7.1f} us"
            )


def _placement_us(count: int) -> float:
    """Returns the microseconds of one choice, less clearing sent calls."""
    members = [
        subset.Member(f"u{number}", f"d{number % 9}") for number in range(count)
    ]
    fleet = placement.Fleet()
    fleet.watch(subset.choose(members, "entry"))
    for name in fleet.subset:
        report = call_messages.LoadReport(
            identities.Incarnation(name, 1),
            1,
            3,
            0,
            24,
            0.0,
            0.02,
            8000.0,
            0,
            placement.READY,
        )
        fleet.report(report, 0.0)
    resident = placement.Resident(fleet.subset[0], 5000)
    started = time.perf_counter()
    for number in range(5000):
        call = calls.Call(f"c{number}", "p", "p", "a", "b", attained=1)
        placement.choose(
            fleet, call, resident, placement.Weights(), number * 0.01
        )
        for upstream in fleet.upstreams.values():
            upstream.sent.clear()
    clearing = time.perf_counter()
    for _ in range(5000):
        for upstream in fleet.upstreams.values():
            upstream.sent.clear()
    ended = time.perf_counter()
    return ((clearing - started) - (ended - clearing)) / 5000 * 1e6


def _admission_us(count: int) -> float:
    """Returns the microseconds of one call with `count` calls held.

    One call is an offer, a finish and a `next`.
    """
    gate = queue.Gate(queue.Options(bounded=False), 24)
    for number in range(count):
        gate.offer(_call(number), number * 1e-4)
    started = time.perf_counter()
    outcome = calls.Outcome(1.0, 0.1, 100, 50)
    now = count * 1e-4
    for number in range(count, count + 5000):
        now += 0.01
        gate.offer(_call(number), now)
        running = next(iter(gate.slots.running), None)
        if running is not None:
            gate.finished(running, now, outcome)
        gate.next(now)
    return (time.perf_counter() - started) / 5000 * 1e6


def _call(number: int) -> calls.Call:
    name = f"p{number}"
    customer = f"customer{number % 4200}"
    return calls.Call(
        f"c{number}",
        name,
        name,
        customer,
        "a",
        attained=number % 5000 + 1,
        prompt_tokens=3000,
        new_tokens=500,
        expected_tokens=150,
    )


if __name__ == "__main__":
    fire.Fire(Commands)
