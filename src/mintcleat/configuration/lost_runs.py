"""Runs that were lost in crashes, and which of the crashes came in a row.

Times come with reports, in seconds of one clock.
"""

from typing import Any
from typing import NamedTuple

# Part of a run that may seem to lie before the crash that it followed, since
# the reports of both took different times. Runs that were lost together overlap
# whole.
MAX_OVERLAP = 0.5


class Run(NamedTuple):
    """A run that was lost in a crash.

    Attributes:
        started_at: When it was sent to the upstream, in seconds.
        lost_at: When its connection was lost.
        after: Incarnation of the upstream that had crashed under the attempt
            before, of the same request; empty for none.
        crashed_by: Latest time of the crash, if that may be later than the
            loss; 0 if the loss shows it.
    """

    started_at: float
    lost_at: float
    after: str = ""
    crashed_by: float = 0.0


def in_a_row(runs: dict[str, Run], times: dict[str, float]) -> list[str]:
    """Returns the crashes of one request that followed each other.

    Args:
        runs: Its lost run in each crash, by incarnation of the upstream.
        times: When each upstream has crashed for certain, by the same.
    """
    found: list[str] = []
    last_crash = float("-inf")
    for started_at, lost_at, incarnation in _in_order(runs):
        overlap = last_crash - started_at
        is_next = runs[incarnation].after in found[-1:]
        if is_next or overlap <= MAX_OVERLAP * (lost_at - started_at):
            found.append(incarnation)
            last_crash = max(lost_at, times[incarnation])
    return found


def is_before_crash(run: Run, crash: dict[bytes, Run]) -> bool:
    """Returns whether a run began before the first one was lost in a crash.

    What is sent to an upstream that has crashed may be accepted on its way and
    lost without having run.
    """
    crashed_at = min(other.lost_at for other in crash.values())
    late = run.started_at - crashed_at
    return late <= MAX_OVERLAP * (run.lost_at - run.started_at)


def crashed_by(crash: dict[bytes, Run]) -> float:
    """Returns the time by which an upstream has crashed for certain."""
    return min(max(run.lost_at, run.crashed_by) for run in crash.values())


def plain(run: Run) -> list[Any]:
    """Returns a run as plain data; without a field that it doesn't use."""
    return list(run) if run.crashed_by else list(run[:-1])


def _in_order(runs: dict[str, Run]) -> list[tuple[float, float, str]]:
    """Returns start, loss and incarnation of each run, in order.

    A run that followed another one of the same request begins when that one
    was lost, whatever the times in the reports, which are delayed differently.
    """
    found = []
    for incarnation, run in runs.items():
        before = runs.get(run.after)
        started_at = run.started_at
        if before is not None:
            started_at = max(started_at, before.lost_at)
        found.append((started_at, max(run.lost_at, started_at), incarnation))
    return sorted(found)


def earlier(known: Run | None, run: Run) -> Run:
    """Returns the run that began first, of two of one request in a crash."""
    if known is None or run.started_at < known.started_at:
        return run
    return known
