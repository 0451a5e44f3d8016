"""The path of one request, put together from the lines of several processes.

Lines may be missing: over the budget, rotated away, of a process that nobody
kept. Each process numbers its events, so that what is missing is known, and a
conclusion that a missing line could turn says so.
"""

from collections.abc import Iterable
import itertools
import json
from typing import Any
from typing import NamedTuple

# State that changed this long before a request came may have decided it.
BEFORE_SECONDS = 3.0
# Clocks of processes differ; an effect that seems to come before its cause by
# more than this is told.
CLOCK_SECONDS = 0.05
_ENDS = {"call_ended", "call_refused", "caller_gone"}
_STATES = {
    "process_started",
    "process_stopping",
    "process_stopped",
    "dependency_lost",
    "dependency_regained",
    "configuration_applied",
    "upstream_changed",
    "upstream_avoided",
    "leader_changed",
    "lines_dropped",
}
# In this order a request's events happen within one process.
_ORDER = (
    "call_taken",
    "turn_opened",
    "call_placed",
    "attempt_failed",
    "turn_settled",
)


class Line(NamedTuple):
    """One event as it was written.

    Attributes:
        at: Seconds since 1970, by the clock of its process.
        number: Its number in its process; 0 when it has none.
    """

    at: float
    instance: str
    event: str
    number: int
    fields: dict[str, Any]


class Trace(NamedTuple):
    """What is known of a request.

    Attributes:
        steps: Its own lines, in order.
        around: Changes of state in the same processes, shortly before and
            during it.
        gaps: What is missing or does not fit, in words.
        verdict: Which decision ended it, in words.
        certain: Whether no missing line could turn the verdict.
    """

    request: str
    steps: list[Line]
    around: list[Line]
    gaps: list[str]
    verdict: str
    certain: bool


def parse(texts: Iterable[str]) -> list[Line]:
    """Returns the events among lines of text; what is none is passed over.

    A line may have a prefix, as collectors of logs put one before it.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            line = Line(
                float(fields.pop("at")),
                str(fields.pop("instance")),
                str(fields.pop("event")),
                int(fields.pop("n", 0)),
                fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        found.append(line)
    return found


def trace(request: str, lines: list[Line]) -> Trace:
    """Returns the path of a request through the lines of any processes."""
    own = [line for line in lines if line.fields.get("request") == request]
    own.sort(key=_place)
    if not own:
        return Trace(
            request, [], [], [], "No line tells of this request.", False
        )
    begin, end = own[0].at - BEFORE_SECONDS, own[-1].at
    instances = {line.instance for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None, ""}
    around = [
        line
        for line in lines
        if line.event in _STATES
        and begin <= line.at <= end
        and line.instance in instances
        and line.fields.get("upstream", "") in {"", *upstreams}
    ]
    around.sort(key=lambda line: line.at)
    gaps = [*_missing(lines, instances, own[0].at, end), *_misfits(own)]
    ends = [line for line in own if line.event in _ENDS]
    certain = bool(ends) and not any("lines are missing" in g for g in gaps)
    return Trace(request, own, around, gaps, _verdict(own, ends), certain)


def _place(line: Line) -> tuple[float, int]:
    return line.at, line.number


def _missing(
    lines: list[Line], instances: set[str], begin: float, end: float
) -> list[str]:
    """Returns a word for each hole in a process's numbers near the request."""
    found = []
    for instance in sorted(instances):
        numbered = [
            line for line in lines if line.instance == instance and line.number
        ]
        numbered.sort(key=lambda line: line.number)
        for before, after in itertools.pairwise(numbered):
            hole = after.number - before.number - 1
            near = after.at >= begin and before.at <= end
            if hole > 0 and near:
                found.append(
                    f"{hole} lines are missing at {instance} between "
                    f"number {before.number} and {after.number}."
                )
    return found


def _misfits(own: list[Line]) -> list[str]:
    """Returns what can't be: an end without a begin, an order upside down."""
    found = []
    events = [line.event for line in own]
    if "call_taken" not in events and "call_refused" not in events:
        found.append("The line of its coming is missing.")
    if not _ENDS.intersection(events):
        found.append("No line tells how it ended.")
    first = {}
    for line in own:
        first.setdefault((line.instance, line.event), line.at)
    for instance in {line.instance for line in own}:
        known = [first.get((instance, event)) for event in _ORDER]
        times = [at for at in known if at is not None]
        for before, after in itertools.pairwise(times):
            if before - after > CLOCK_SECONDS:
                found.append(
                    f"The clock of {instance} went back by "
                    f"{before - after:.2f} s meanwhile."
                )
                break
    return found


def _verdict(own: list[Line], ends: list[Line]) -> str:
    if not ends:
        last = own[-1]
        return (
            f"The last that is known is {last.event} at {last.instance}; "
            "the process ended there, or its lines are missing."
        )
    end = ends[-1]
    fields = end.fields
    match end.event:
        case "call_ended" if fields.get("outcome") == "whole":
            return (
                f"Answered whole with {fields.get('status')} by "
                f"{fields.get('upstream')} after {fields.get('total_s')} s."
            )
        case "call_ended":
            return (
                f"The answer of {fields.get('upstream')} broke off after "
                f"{fields.get('total_s')} s." + _last_failure(own)
            )
        case "caller_gone":
            return (
                f"The caller left after {fields.get('after_s')} s, before "
                "its answer had ended."
            )
        case _:
            return (
                f"Refused as {fields.get('kind')} ({fields.get('outcome')}) "
                f"after {fields.get('after_s')} s: {fields.get('detail')}"
                + _last_failure(own)
            )


def _last_failure(own: list[Line]) -> str:
    failed = [line for line in own if line.event == "attempt_failed"]
    if not failed:
        return ""
    fields = failed[-1].fields
    return (
        f" Before that, {fields.get('upstream')} failed as "
        f"{fields.get('kind')}: {fields.get('detail')}"
    )
