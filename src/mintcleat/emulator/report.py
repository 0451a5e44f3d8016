"""Runs a plan and puts its figures into a table, a file and a plot."""

import collections
from collections.abc import Iterable
import json
import pathlib
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.emulator import plan as plan_module
from mintcleat.emulator import play
from mintcleat.emulator import programs

# What a program is worth that ended late, against one in aim.
LATE_WORTH = 0.5
# Programs are judged by the second in which they began, so many at a time.
WINDOW = 2.0
_OUTCOMES = ("aim", "late", "failed")
_HEAD = ("VARIANT", "LOAD", "WORTH", "+-", "AIM", "LATE", "FAILED", "WORST",
         "READ", "QUEUED", "SPREAD")  # fmt: skip


class Row(NamedTuple):
    """The figures of one variant at one load, over all seeds.

    Attributes:
        worth: Share earned of what all programs are worth, by kind as much as
            its mean aim.
        deviation: Half the distance of the best and the worst seed's worth.
        aim: Share of programs in aim; `late` and `failed` likewise.
        worst: Worth of the worst two seconds, mean over seeds.
        read: Prompt tokens read, mean over seeds.
        queued: Requests over the engines' slots, mean over time.
        spread: Requests at the fullest less those at the emptiest engine.
        kinds: Shares in aim, late and failed by kind.
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


def run(plan: plan_module.Plan) -> list[Row]:
    """Plays every variant at every load with every seed."""
    return [
        _row(
            plan,
            name,
            load,
            [play.play(plan, seed, load, policy) for seed in plan.seeds],
        )
        for load in plan.loads
        for name, policy in plan.variants.items()
    ]


def table(rows: list[Row], before: dict[tuple[str, float], Row]) -> list[Any]:
    """Returns the head and the lines of a table.

    Args:
        rows: The figures.
        before: Those of a stored run, shown as differences; may be empty.
    """
    head = list(_HEAD)
    if before:
        head.append("BEFORE")
    lines: list[list[str]] = [head]
    for row in rows:
        line = [
            row.variant,
            f"{row.load:g}",
            *(f"{value:.3f}" for value in row[2:8]),
            f"{row.read:,.0f}",
            f"{row.queued:.2f}",
            f"{row.spread:.1f}",
        ]
        held = before.get((row.variant, row.load))
        if held is not None:
            line.append(f"{row.worth - held.worth:+.3f}")
        lines.append(line)
    return lines


def save(rows: list[Row], path: pathlib.Path) -> None:
    """Stores the figures, to compare a later run with."""
    path.write_text(json.dumps({"rows": rows}, indent=1))


def load(path: pathlib.Path) -> dict[tuple[str, float], Row]:
    """Returns stored figures by variant and load.

    Raises:
        errors.BadRequest: The file holds none.
    """
    try:
        rows = [Row(*item) for item in json.loads(path.read_text())["rows"]]
    except (OSError, ValueError, TypeError, KeyError) as error:
        raise errors.BadRequest(f"{path} holds no figures: {error}") from None
    return {(row.variant, row.load): row for row in rows}


def plot(rows: list[Row], path: pathlib.Path) -> None:
    """Draws worth over load, a line for each variant.

    Raises:
        errors.BadRequest: matplotlib is not installed.
    """
    try:
        import matplotlib as mpl
    except ImportError:
        raise errors.BadRequest(
            "No plot without matplotlib.",
            remedy="Install requirements-dev.in, or leave the plot out.",
        ) from None
    mpl.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name in dict.fromkeys(row.variant for row in rows):
        found = [row for row in rows if row.variant == name]
        axes.errorbar(
            [row.load for row in found],
            [row.worth for row in found],
            [row.deviation for row in found],
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
    plan: plan_module.Plan, name: str, load_now: float, days: list[play.Day]
) -> Row:
    ended = [program for day in days for program in day.ended]
    weights = _weights(ended)
    worths = [_worth(day.ended, weights) for day in days]
    shares = _shares(ended)
    kinds = {
        kind: _shares([one for one in ended if one.kind == kind])
        for kind in plan.kinds
    }
    samples = [
        sample.loads
        for day in days
        for sample in day.samples
        if sample.at <= plan.seconds
    ]
    slots = plan.engine.slots
    over = [sum(max(0, one - slots) for one in loads) for loads in samples]
    spread = [max(loads) - min(loads) for loads in samples]
    return Row(
        name,
        load_now,
        _mean(worths),
        (max(worths) - min(worths)) / 2.0,
        *shares,
        _mean(_worst(day.ended, weights) for day in days),
        _mean(day.read for day in days),
        _mean(over),
        _mean(spread),
        kinds,
    )


def _weights(ended: list[programs.Ended]) -> dict[str, float]:
    """Returns the mean aim of each kind: what a program of it is worth.

    One that failed early has run too little to tell its own aim.
    """
    aims: dict[str, list[float]] = collections.defaultdict(list)
    for program in ended:
        if program.served:
            aims[program.kind].append(program.aim)
    return {kind: _mean(found) for kind, found in aims.items()}


def _worth(ended: Iterable[programs.Ended], weights: dict[str, float]) -> float:
    """Returns the share earned of what all programs are worth."""
    owed = earned = 0.0
    for program in ended:
        weight = weights.get(program.kind, 1.0)
        owed += weight
        match program.outcome:
            case "aim":
                earned += weight
            case "late":
                earned += weight * LATE_WORTH
    return earned / owed if owed else 0.0


def _worst(ended: list[programs.Ended], weights: dict[str, float]) -> float:
    windows: dict[int, list[programs.Ended]] = collections.defaultdict(list)
    for program in ended:
        windows[int(program.began / WINDOW)].append(program)
    return min((_worth(one, weights) for one in windows.values()), default=0.0)


def _shares(ended: list[programs.Ended]) -> list[float]:
    count = collections.Counter(program.outcome for program in ended)
    return [count[name] / max(1, len(ended)) for name in _OUTCOMES]


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found) if found else 0.0
