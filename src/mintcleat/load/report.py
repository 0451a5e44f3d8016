"""The report of a load run: a table, JSON, and plots where possible."""

import json
import pathlib
from typing import Any

from hdrh import histogram

from mintcleat.load import driver as driver_module

_PERCENTILES = (50.0, 95.0, 99.0, 99.9)
_MILLISECOND = 1000.0


def summary(driver: driver_module.Driver) -> dict[str, Any]:
    """Returns the figures of a run by kind; times in milliseconds."""
    return {
        name: _kind(record)
        for name, record in sorted(driver.measurements.items())
    }


def _kind(record: driver_module.Record) -> dict[str, Any]:
    return {
        "programs": record.programs,
        "finished": record.finished,
        "outcomes": dict(sorted(record.outcomes.items())),
        "program_ms": _percentiles(record.program),
        "turn_ms": _percentiles(record.turn),
        "first_token_ms": _percentiles(record.first),
        "token_gap_ms": _percentiles(record.gap),
        "prompt_tokens": record.prompt_tokens,
        "completion_tokens": record.completion_tokens,
        "wasted_tokens": record.wasted_tokens,
    }


def _percentiles(values: histogram.HdrHistogram) -> dict[str, float]:
    found = {
        f"p{percentile:g}": values.get_value_at_percentile(percentile)
        / _MILLISECOND
        for percentile in _PERCENTILES
    }
    found["mean"] = round(values.get_mean_value() / _MILLISECOND, 3)
    found["count"] = values.total_count
    return found


def table(figures: dict[str, Any]) -> str:
    """Returns the figures as text for people."""
    lines = [
        f"{'kind':16} {'done/started':>14} {'measure':>15} "
        f"{'p50':>9} {'p95':>9} {'p99':>9} {'p99.9':>9}  (ms)"
    ]
    for name, kind in figures.items():
        done = f"{kind['finished']}/{kind['programs']}"
        for measure in ("program", "turn", "first_token", "token_gap"):
            values = kind[f"{measure}_ms"]
            numbers = " ".join(
                f"{values[f'p{percentile:g}']:9.2f}"
                for percentile in _PERCENTILES
            )
            lines.append(f"{name:16} {done:>14} {measure:>15} {numbers}")
        share = kind["wasted_tokens"] / max(1, kind["prompt_tokens"])
        lines.append(f"{name:16} {'':>14} {'wasted cache':>15} {share:9.1%}")
        for outcome, count in kind["outcomes"].items():
            lines.append(f"{name:16} {'':>14} {outcome:>15} {count:9}")
    return "\n".join(lines)


def write(folder: pathlib.Path, driver: driver_module.Driver) -> list[str]:
    """Writes report.json and, with matplotlib, plots; returns their names."""
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
    for name, record in sorted(driver.measurements.items()):
        points = record.program.get_percentile_iterator(5)
        pairs = [
            (item.percentile_level_iterated_to, item.value_iterated_to)
            for item in points
        ]
        left.plot(
            [pair[0] for pair in pairs],
            [pair[1] / _MILLISECOND for pair in pairs],
            label=name,
        )
        samples = [item for item in driver.samples if item.kind == name]
        right.plot(
            [item.due for item in samples],
            [item.seconds * _MILLISECOND for item in samples],
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
