"""Runs an experiment and reports its results as table, file and plot."""

import collections
from collections.abc import Iterable
import json
import pathlib
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.emulator import plan as plan_module
from mintcleat.emulator import programs
from mintcleat.emulator import simulation
from mintcleat.emulator import worker
from mintcleat.emulator import worth

# Maximum number of processes that simulate at once. Longer experiments take
# minutes, and the machine has other uses.
MAX_PROCESSES = 2
# Length of the intervals of which the worst one is reported. A program belongs
# to the interval in which it was started.
WINDOW_SECONDS = 2.0
_OUTCOMES = ("aim", "late", "failed")
_COLUMNS = ("VARIANT", "LOAD", "WORTH", "+-", "AIM", "LATE", "FAILED", "WORST",
         "READ", "QUEUED", "SPREAD", "PREEMPTED", "CRASHED",
         "CUT SHORT", "RESUMED", "MIXED")  # fmt: skip


class Row(NamedTuple):
    """The results of one variant at one load, over all seeds.

    Attributes:
        variant: Name of the policy.
        load: Factor on the rates of all kinds.
        worth: Worth of the programs that met their target, plus
            `worth.LATE_WORTH` of that of late ones, as a fraction of the worth
            of all programs. A program is worth the mean target duration of its
            kind. Mean over seeds.
        deviation: Half the difference of the best and the worst seed's worth.
        aim: Fraction of programs that met their target.
        late: Fraction of programs that finished late.
        failed: Fraction of programs that failed.
        worst: Worth in the worst interval of `WINDOW_SECONDS`, mean over
            seeds.
        read: Prompt tokens that the engines processed, mean over seeds.
        queued: Requests beyond the slots of their engines, mean over time.
        spread: Requests at the engine with the most, minus those at the
            engine with the fewest; mean over time.
        kinds: Fractions within target, late and failed, by kind. If there
            are heavy customers, also of the programs that begin while they
            are: `heavy customers` and `other customers`.
        preempted: Requests that engines took out of their batches, mean over
            seeds.
        worths: Worth by seed, in the order of the plan's seeds.
        crashed: Engines that crashed under a request, mean over seeds.
        cut_short: Answers that had broken off and were ended as whole, mean
            over seeds.
        resumed: Turns that were resumed at another engine, mean over seeds.
        mixed: Those of them that went on at another version.
    """

    variant: str
    load: float
    worth: float
    deviation: float
    aim: float
    late: float
    failed: float
    worst: float
    read: float
    queued: float
    spread: float
    kinds: dict[str, list[float]]
    preempted: float = 0.0
    worths: list[float] = []
    crashed: float = 0.0
    cut_short: float = 0.0
    resumed: float = 0.0
    mixed: float = 0.0


def run(plan: plan_module.Plan, processes: int = 1) -> list[Row]:
    """Simulates every variant at every load with every seed.

    Args:
        plan: The plan.
        processes: Number of processes that simulate, at most MAX_PROCESSES.
    """
    cases = [
        (load, name, seed)
        for load in plan.loads
        for name in plan.variants
        for seed in plan.seeds
    ]
    arguments = [
        (plan, seed, load, plan.variants[name]) for load, name, seed in cases
    ]
    if processes > 1:
        results = worker.run(arguments, min(processes, MAX_PROCESSES))
    else:
        results = [simulation.run(*each) for each in arguments]
    by_case = dict(zip(cases, results, strict=True))
    return [
        _row(
            plan, name, load, [by_case[load, name, seed] for seed in plan.seeds]
        )
        for load in plan.loads
        for name in plan.variants
    ]


def table(rows: list[Row], before: dict[tuple[str, float], Row]) -> list[Any]:
    """Returns the header and the lines of a table.

    Args:
        rows: Results.
        before: Results of a stored run, by variant and load, from which the
            difference in worth is shown; may be empty.
    """
    header = list(_COLUMNS)
    if before:
        header.append("BEFORE")
    lines: list[list[str]] = [header]
    for row in rows:
        line = [
            row.variant,
            f"{row.load:g}",
            *(f"{value:.3f}" for value in row[2:8]),
            f"{row.read:,.0f}",
            f"{row.queued:.2f}",
            f"{row.spread:.1f}",
            f"{row.preempted:.0f}",
            f"{row.crashed:.1f}",
            f"{row.cut_short:.1f}",
            f"{row.resumed:.1f}",
            f"{row.mixed:.1f}",
        ]
        previous = before.get((row.variant, row.load))
        if previous is not None:
            line.append(f"{row.worth - previous.worth:+.3f}")
        lines.append(line)
    return lines


def differences(rows: list[Row], base: str) -> list[list[str]]:
    """Returns a table of the worth of variants compared with one of them.

    Each seed is compared with itself, as all variants have the same programs.
    A difference is marked with `*` if it has the same sign for all seeds and
    there are several.

    Args:
        rows: Results.
        base: Name of the variant with which the others are compared.

    Raises:
        errors.BadRequest: There are no results of that variant.
    """
    bases = {row.load: row for row in rows if row.variant == base}
    if not bases:
        raise errors.BadRequest(
            f"The plan has no variant {base!r}.",
            remedy="Name one of the plan's variants as the base.",
        )
    lines = [["VARIANT", "LOAD", "DIFFERENCE", "FROM", "TO", "PERCENT", ""]]
    for row in rows:
        reference = bases.get(row.load)
        if reference is None or row.variant == base:
            continue
        changes = [
            own - other
            for own, other in zip(row.worths, reference.worths, strict=True)
        ]
        mean = _mean(changes)
        agrees = len(changes) > 1 and min(changes) * max(changes) > 0.0
        lines.append(
            [
                row.variant,
                f"{row.load:g}",
                f"{mean:+.4f}",
                f"{min(changes):+.4f}",
                f"{max(changes):+.4f}",
                f"{100.0 * mean / reference.worth:+.1f}%"
                if reference.worth
                else "",
                "*" if agrees else "",
            ]
        )
    return lines


def save(rows: list[Row], path: pathlib.Path) -> None:
    """Writes the results to a file, to compare a later run with them."""
    path.write_text(json.dumps({"rows": rows}, indent=1))


def load(path: pathlib.Path) -> dict[tuple[str, float], Row]:
    """Returns stored results by variant and load.

    Raises:
        errors.BadRequest: The file can't be read or is not a file of `save`.
    """
    try:
        rows = [Row(*item) for item in json.loads(path.read_text())["rows"]]
    except (OSError, ValueError, TypeError, KeyError) as error:
        raise errors.BadRequest(
            f"{path} is not a file of experiment results: {error}"
        ) from None
    return {(row.variant, row.load): row for row in rows}


def plot(rows: list[Row], path: pathlib.Path) -> None:
    """Plots worth over load, with one line for each variant.

    Raises:
        errors.BadRequest: matplotlib is not installed.
    """
    try:
        import matplotlib as mpl
    except ImportError:
        raise errors.BadRequest(
            "Plots require matplotlib, which is not installed.",
            remedy="Install requirements-dev.in, or run without a plot.",
        ) from None
    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name in dict.fromkeys(row.variant for row in rows):
        points = [row for row in rows if row.variant == name]
        axes.errorbar(
            [row.load for row in points],
            [row.worth for row in points],
            [row.deviation for row in points],
            label=name,
            marker="o",
            capsize=3,
        )
    axes.set_xlabel("load")
    axes.set_ylabel("worth")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


def _row(
    plan: plan_module.Plan,
    name: str,
    load_factor: float,
    results: list[simulation.Result],
) -> Row:
    programs_run = [
        program for result in results for program in result.programs
    ]
    by_kind = worth.by_kind(plan)
    worths = [worth.earned_part(one.programs, by_kind) for one in results]
    aim, late, failed = _fractions(programs_run)
    kinds = {
        kind: _fractions([one for one in programs_run if one.kind == kind])
        for kind in plan.kinds
    }
    kinds.update(_by_customers(plan, programs_run))
    queued, spread = _engine_loads(plan, results)
    return Row(
        name,
        load_factor,
        _mean(worths),
        (max(worths) - min(worths)) / 2.0,
        aim,
        late,
        failed,
        _mean(_worst_window(result.programs, by_kind) for result in results),
        _mean(result.prefilled_tokens for result in results),
        queued,
        spread,
        kinds,
        _mean(result.preempted for result in results),
        worths,
        _mean(result.crashed for result in results),
        _mean(result.cut_short for result in results),
        _mean(result.resumed for result in results),
        _mean(result.mixed for result in results),
    )


def _engine_loads(
    plan: plan_module.Plan, results: list[simulation.Result]
) -> tuple[float, float]:
    """Returns two means over all samples within the duration of the plan.

    Returns:
        The number of requests that engines have beyond their slots, and the
        difference between the most and the least loaded engine.
    """
    samples = [
        sample.loads
        for result in results
        for sample in result.samples
        if sample.at <= plan.seconds
    ]
    slots = plan.engine.slots
    queued = [sum(max(0, one - slots) for one in loads) for loads in samples]
    spread = [max(loads) - min(loads) for loads in samples]
    return _mean(queued), _mean(spread)


def _worst_window(
    finished: list[programs.ProgramResult], worths: dict[str, float]
) -> float:
    windows: dict[int, list[programs.ProgramResult]] = collections.defaultdict(
        list
    )
    for program in finished:
        windows[int(program.started_at / WINDOW_SECONDS)].append(program)
    return min(
        (worth.earned_part(one, worths) for one in windows.values()),
        default=0.0,
    )


def _fractions(finished: list[programs.ProgramResult]) -> list[float]:
    count = collections.Counter(program.outcome for program in finished)
    return [count[name] / max(1, len(finished)) for name in _OUTCOMES]


def _by_customers(
    plan: plan_module.Plan, finished: list[programs.ProgramResult]
) -> dict[str, list[float]]:
    """Returns the fractions of heavy and of other customers' programs."""
    groups: dict[str, list[programs.ProgramResult]] = {}
    for fault in plan.faults:
        if fault.kind != "heavy":
            continue
        heavy = programs.heavy_customers(plan, fault)
        for program in finished:
            if fault.at <= program.started_at < fault.at + fault.seconds:
                name = "heavy" if program.customer in heavy else "other"
                groups.setdefault(f"{name} customers", []).append(program)
    return {name: _fractions(found) for name, found in groups.items()}


def _mean(values: Iterable[float]) -> float:
    numbers = list(values)
    return sum(numbers) / len(numbers) if numbers else 0.0
