"""The report of a load run: a table, JSON and, with matplotlib, plots."""

import json
import pathlib
from typing import Any

from hdrh import histogram

from mintcleat.load import driver as driver_module

_PERCENTILES = (50.0, 95.0, 99.0, 99.9)
_MICROSECONDS_PER_MILLISECOND = 1000.0
_MILLISECONDS_PER_SECOND = 1000.0


def summary(driver: driver_module.Driver) -> dict[str, Any]:
    """Returns the results of a run by kind; times in milliseconds."""
    return {
        name: _kind_summary(measured)
        for name, measured in sorted(driver.measurements.items())
    }


def _kind_summary(measured: driver_module.Measurements) -> dict[str, Any]:
    return {
        "programs": measured.programs,
        "finished": measured.finished,
        "outcomes": dict(sorted(measured.outcomes.items())),
        "program_ms": _percentiles(measured.program),
        "turn_ms": _percentiles(measured.turn),
        "first_token_ms": _percentiles(measured.first_part),
        "token_gap_ms": _percentiles(measured.gap),
        "prompt_tokens": measured.prompt_tokens,
        "completion_tokens": measured.completion_tokens,
        "wasted_tokens": measured.wasted_tokens,
    }


def _percentiles(values: histogram.HdrHistogram) -> dict[str, float]:
    result = {
        f"p{percentile:g}": values.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_MILLISECOND
        for percentile in _PERCENTILES
    }
    result["mean"] = round(
        values.get_mean_value() / _MICROSECONDS_PER_MILLISECOND, 3
    )
    result["count"] = values.total_count
    return result


def table(results: dict[str, Any]) -> str:
    """Returns the results of `summary` as a text table."""
    lines = [
        f"{'kind':16} {'done/started':>14} {'measure':>15} "
        f"{'p50':>9} {'p95':>9} {'p99':>9} {'p99.9':>9}  (ms)"
    ]
    for name, kind in results.items():
        finished = f"{kind['finished']}/{kind['programs']}"
        for measure in ("program", "turn", "first_token", "token_gap"):
            values = kind[f"{measure}_ms"]
            numbers = " ".join(
                f"{values[f'p{percentile:g}']:9.2f}"
                for percentile in _PERCENTILES
            )
            lines.append(f"{name:16} {finished:>14} {measure:>15} {numbers}")
        wasted = kind["wasted_tokens"] / max(1, kind["prompt_tokens"])
        lines.append(f"{name:16} {'':>14} {'wasted cache':>15} {wasted:9.1%}")
        for outcome, count in kind["outcomes"].items():
            lines.append(f"{name:16} {'':>14} {outcome:>15} {count:9}")
    return "\n".join(lines)


def write(folder: pathlib.Path, driver: driver_module.Driver) -> list[str]:
    """Writes report.json and, with matplotlib, plots; returns the file names.

    The folder is created if it does not exist.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "report.json"
    path.write_text(json.dumps(summary(driver), indent=2) + "\n")
    return [path.name, *_plots(folder, driver)]


def _plots(folder: pathlib.Path, driver: driver_module.Driver) -> list[str]:
    try:
        import matplotlib as mpl
    except ImportError:
        return []
    mpl.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for name, measured in sorted(driver.measurements.items()):
        points = measured.program.get_percentile_iterator(5)
        pairs = [
            (item.percentile_level_iterated_to, item.value_iterated_to)
            for item in points
        ]
        left.plot(
            [pair[0] for pair in pairs],
            [pair[1] / _MICROSECONDS_PER_MILLISECOND for pair in pairs],
            label=name,
        )
        samples = [item for item in driver.samples if item.kind == name]
        right.plot(
            [item.due for item in samples],
            [item.seconds * _MILLISECONDS_PER_SECOND for item in samples],
            ".",
            markersize=3,
            label=name,
        )
    left.set(xlabel="percentile", ylabel="program latency, ms", yscale="log")
    right.set(xlabel="due, s", ylabel="program latency, ms", yscale="log")
    left.legend()
    figure.tight_layout()
    figure.savefig(folder / "programs.png")
    pyplot.close(figure)
    return ["programs.png"]
