"""Text and files of the result of a run."""

import collections
import pathlib

from testing.soak import checks as checks_module
from testing.soak import move_faults
from testing.soak import moving_checks
from testing.soak import moving_upstreams
from testing.soak import schedule

_MAX_SHOWN = 20


def summary(
    checks: checks_module.Checks,
    faults: list[schedule.Fault],
    start: float,
) -> str:
    """Returns what was done and found, as text.

    Args:
        checks: The observations of the run.
        faults: The faults that were begun.
        start: Monotonic time of the start of the load, in seconds.
    """
    kinds = collections.Counter(
        f"{fault.track} {fault.kind}" for fault in faults
    )
    lines = [
        f"{len(faults)} faults: "
        + ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items())),
        f"{len(checks.requests)} requests, "
        f"{sum(end.status == 200 for end in checks.ends.values())} served, "
        f"{sum(map(len, checks.runs.values()))} runs, "
        f"{len(checks.acknowledged)} configurations",
    ]
    for kind, counts in sorted(_ends_by_kind(checks).items()):
        shown = ", ".join(f"{s}: {n}" for s, n in sorted(counts.items()))
        lines.append(f"  {kind:9} {shown}")
    for name, crashes in sorted(checks.crashes.items()):
        lines.append(
            f"  crashes under {name}: {len(crashes)}, runs after its "
            f"quarantine was due: {checks.late_runs[name]}"
        )
    lines.append(f"  streams taken up: {_counts(checks.take_ups)}")
    peaks = sorted(checks.peak_mb.items())
    lines.append(
        "  memory in MB: " + ", ".join(f"{n} {mb:.0f}" for n, mb in peaks)
    )
    lines.append("  engines in use when observed:")
    lines.extend(f"    {use}" for use in checks.uses)
    for violation in checks.violations[:_MAX_SHOWN]:
        lines.append(
            f"VIOLATION {violation.rule} after {violation.at - start:.1f} s: "
            f"{violation.detail}"
        )
    if len(checks.violations) > _MAX_SHOWN:
        lines.append(f"and {len(checks.violations) - _MAX_SHOWN} more")
    return "\n".join(lines)


def moves(
    checks: checks_module.Checks,
    observed: moving_checks.Observed,
    copies: list[moving_upstreams.Copy],
    faults: move_faults.MoveFaults,
) -> str:
    """Returns what came of the streams that continued, as further lines."""
    events = sum(len(end.numbers) for end in checks.ends.values())
    ends = collections.Counter(copy.end or "kept" for copy in copies)
    return (
        f"\n  streams that continued: {_counts(observed.continued)}"
        f"\n  {events} events, {observed.handovers} handovers, copies: "
        f"{_counts(ends)}"
        f"\n  points of moves: {_counts(faults.points)}, faults there: "
        f"{faults.applied.total()}"
    )


def _counts(counter: collections.Counter[str]) -> str:
    shown = ", ".join(f"{name}: {n}" for name, n in sorted(counter.items()))
    return shown or "none"


def _ends_by_kind(
    checks: checks_module.Checks,
) -> dict[str, collections.Counter]:
    """Returns the number of ends of each sort, by kind of request."""
    counts: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for name, end in checks.ends.items():
        label = str(end.status)
        if not end.sent:
            label = "unsent"
        elif end.left:
            label = "left"
        elif not end.whole:
            label = f"{end.status} cut"
        counts[checks.requests[name].kind][label] += 1
    return counts


def write_schedule(
    folder: pathlib.Path, seed: int, faults: list[schedule.Fault]
) -> None:
    """Writes the seed and the schedule beside the logs."""
    lines = [f"seed {seed}", *(str(fault) for fault in faults)]
    (folder / "schedule.txt").write_text("\n".join(lines) + "\n")


def write_timeline(
    folder: pathlib.Path, checks: checks_module.Checks, start: float
) -> None:
    """Writes the ends of all requests, the earliest first."""
    lines = []
    for name, end in sorted(checks.ends.items(), key=lambda item: item[1].at):
        request = checks.requests[name]
        lines.append(
            f"{end.at - start:8.3f} {end.at - request.sent_at:6.3f} s "
            f"{request.entry} {request.customer:9} {name:14} {end.status} "
            f"{'whole' if end.whole else 'cut'} {end.error}"
        )
    (folder / "requests.txt").write_text("\n".join(lines) + "\n")
