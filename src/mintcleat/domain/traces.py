"""Trace of a request, reconstructed from the logs of several processes.

Lines may be missing because of the log budget or log rotation, or because the
log of a process was not kept. Each process numbers its events, which reveals
missing lines. A conclusion that a missing line could change is marked as
uncertain.
"""

from collections.abc import Iterable
import itertools
import json
from typing import Any
from typing import NamedTuple

# Changes of state this long before a request may have affected it.
LOOKBACK_SECONDS = 3.0
# Clocks may be adjusted during a request. An event that precedes its cause by
# more than this is reported.
MAX_CLOCK_STEP_SECONDS = 0.05
# Time after the end of an answer within which the end of its upstream is
# reported with it.
LIFE_SECONDS = 5.0
_END_EVENTS = {"call_ended", "call_refused", "caller_gone"}
_WHOLE_ENDS = {
    "marked": "as its framing says",
    "confirmed": "known by the end of the connection, and confirmed",
    "closed": "known by the end of the connection alone",
}
# States of an upstream that has ended, and how they are told.
_STATE_TEXTS = {
    "crashed": "was known to have crashed",
    "gone": "was gone from the directory",
    "left": "left",
    "silent": "was given up as silent",
}
_ENDED_STATES = frozenset(_STATE_TEXTS)
_STATE_EVENTS = {
    "process_started",
    "process_stopping",
    "process_stopped",
    "dependency_lost",
    "dependency_regained",
    "configuration_applied",
    "upstream_changed",
    "upstream_avoided",
    "upstream_crashed",
    "quarantine_changed",
    "leader_changed",
    "lines_dropped",
}
# Order of a request's events within one process.
_EVENT_ORDER = (
    "call_taken",
    "turn_opened",
    "call_placed",
    "attempt_failed",
    "turn_settled",
)


class Line(NamedTuple):
    """A logged event.

    Attributes:
        at: Seconds since 1970, by the clock of the process.
        event: Name of the event, such as `call_placed`.
        number: Number of the event within its process; 0 for none.
        fields: The other fields of the event.
    """

    at: float
    instance: str
    event: str
    number: int
    fields: dict[str, Any]


class Trace(NamedTuple):
    """The trace of a request.

    Attributes:
        steps: Lines of the request, in order of time.
        around: Changes of state of the same processes, shortly before and
            during the request.
        gaps: Descriptions of missing or inconsistent lines.
        verdict: Description of how the request ended.
        certain: Whether no missing line could change the verdict.
    """

    request: str
    steps: list[Line]
    around: list[Line]
    gaps: list[str]
    verdict: str
    certain: bool


def parse(texts: Iterable[str]) -> list[Line]:
    """Returns the events among lines of text; other lines are skipped.

    A line may have a prefix from a log collector.
    """
    lines = []
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
        lines.append(line)
    return lines


def trace(request: str, lines: list[Line]) -> Trace:
    """Returns the trace of a request from the lines of any processes."""
    own = [line for line in lines if line.fields.get("request") == request]
    own.sort(key=_sort_key)
    if not own:
        return Trace(
            request, [], [], [], "No line mentions this request.", False
        )
    begin, end = own[0].at - LOOKBACK_SECONDS, own[-1].at
    instances = {line.instance for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None, ""}
    around = [
        line
        for line in lines
        if line.event in _STATE_EVENTS
        and begin <= line.at <= end
        and line.instance in instances
        and line.fields.get("upstream", "") in {"", *upstreams}
    ]
    around.sort(key=lambda line: line.at)
    gaps = [
        *_missing_lines(lines, instances, own[0].at, end),
        *_inconsistencies(own),
    ]
    ends = [line for line in own if line.event in _END_EVENTS]
    certain = bool(ends) and not any("lines are missing" in g for g in gaps)
    verdict = (
        _verdict(own, ends)
        + _ended_soon(ends, lines)
        + _crashes(request, own, lines)
    )
    return Trace(request, own, around, gaps, verdict, certain)


def _sort_key(line: Line) -> tuple[float, int]:
    return line.at, line.number


def _missing_lines(
    lines: list[Line], instances: set[str], begin: float, end: float
) -> list[str]:
    """Describes gaps in the event numbers of processes during the request."""
    gaps = []
    for instance in sorted(instances):
        numbered = [
            line for line in lines if line.instance == instance and line.number
        ]
        numbered.sort(key=lambda line: line.number)
        for before, after in itertools.pairwise(numbered):
            missing = after.number - before.number - 1
            overlaps = after.at >= begin and before.at <= end
            if missing > 0 and overlaps:
                gaps.append(
                    f"{missing} lines are missing at {instance} between "
                    f"number {before.number} and {after.number}."
                )
    return gaps


def _inconsistencies(own: list[Line]) -> list[str]:
    """Describes a missing start or end, and events in the wrong order."""
    gaps = []
    events = [line.event for line in own]
    if "call_taken" not in events and "call_refused" not in events:
        gaps.append("The line of the request's arrival is missing.")
    if not _END_EVENTS.intersection(events):
        gaps.append("No line shows how the request ended.")
    first: dict[tuple[str, str], float] = {}
    for line in own:
        first.setdefault((line.instance, line.event), line.at)
    for instance in {line.instance for line in own}:
        known = [first.get((instance, event)) for event in _EVENT_ORDER]
        times = [at for at in known if at is not None]
        for before, after in itertools.pairwise(times):
            if before - after > MAX_CLOCK_STEP_SECONDS:
                gaps.append(
                    f"The clock of {instance} went back by "
                    f"{before - after:.2f} s during the request."
                )
                break
    return gaps


def _verdict(own: list[Line], ends: list[Line]) -> str:
    if not ends:
        last = own[-1]
        return (
            f"The last known event is {last.event} at {last.instance}. The "
            "process ended then, or its later lines are missing."
        )
    end = ends[-1]
    fields = end.fields
    stalls = [line for line in own if line.event == "response_stalled"]
    match end.event:
        case "call_ended" if fields.get("outcome") == "whole":
            return (
                f"Answered whole with {fields.get('status')} by "
                f"{fields.get('upstream')} after {fields.get('total_s')} s"
                f"{_known_by(fields)}."
                + _continuations(own)
                + _versions(fields)
                + _repeated(fields)
            )
        case "call_ended":
            return (
                f"The answer of {fields.get('upstream')} broke off after "
                f"{fields.get('total_s')} s."
                + _last_failure(own)
                + _continuations(own)
                + _versions(fields)
                + _repeated(fields)
            )
        case "caller_gone" if stalls:
            return (
                f"The caller did not read its response "
                f"({stalls[-1].fields.get('reason')}); it was ended after "
                f"{fields.get('after_s')} s."
            )
        case "caller_gone":
            return (
                f"The caller disconnected after {fields.get('after_s')} s, "
                "before the end of the answer."
            )
        case _:
            return (
                f"Refused as {fields.get('kind')} ({fields.get('outcome')}) "
                f"after {fields.get('after_s')} s: {fields.get('detail')}"
                + _last_failure(own)
            )


def _known_by(fields: dict[str, Any]) -> str:
    """Describes how it was known that an answer was whole."""
    end = fields.get("end", "")
    rest = fields.get("rest", 0)
    described = _WHOLE_ENDS.get(end, "")
    if end == "marked":
        described += f" ({fields.get('framing')})"
    if rest:
        described += f", with {rest} bytes after the last event"
    return f", {described}" if described else ""


def _versions(fields: dict[str, Any]) -> str:
    """Describes the versions of the software that made a stream's events."""
    versions = fields.get("versions") or []
    if not versions:
        return ""
    names = [name or "unnamed" for name in versions]
    return f" Its events are of version {', then '.join(names)}."


def _repeated(fields: dict[str, Any]) -> str:
    """Describes the events of a stream that were left out."""
    count = fields.get("repeated", 0)
    if not count:
        return ""
    return f" {count} of its events came twice and were forwarded once."


def _last_failure(own: list[Line]) -> str:
    failed = [line for line in own if line.event == "attempt_failed"]
    if not failed:
        return ""
    fields = failed[-1].fields
    return (
        f" Before that, {fields.get('upstream')} failed as "
        f"{fields.get('kind')}: {fields.get('detail')}" + _broke_off(fields)
    )


def _broke_off(fields: dict[str, Any]) -> str:
    """Describes where the answer of a failed attempt broke off."""
    end = fields.get("end", "")
    if not end:
        return ""
    last = fields.get("last_event")
    after = f" after event {last}" if last else ""
    return (
        f" Its answer ended{after} ({end}, {fields.get('rest', 0)} bytes after "
        "the last event)."
    )


def _ended_soon(ends: list[Line], lines: list[Line]) -> str:
    """Describes the end of an upstream soon after the end of its answer.

    An answer whose end its upstream did not mark may have broken off then.
    """
    if not ends or ends[-1].event != "call_ended":
        return ""
    end = ends[-1]
    upstream = end.fields.get("upstream")
    for line in lines:
        seconds = line.at - end.at
        fields = line.fields
        if (
            fields.get("upstream") == upstream
            and -LOOKBACK_SECONDS <= seconds <= LIFE_SECONDS
            and (
                line.event == "upstream_crashed"
                or fields.get("state") in _ENDED_STATES
            )
        ):
            state = fields.get("state") or "crashed"
            return (
                f" Upstream {upstream} {_STATE_TEXTS[state]} {seconds:.3f} s "
                "after that."
            )
    return ""


def _crashes(request: str, own: list[Line], lines: list[Line]) -> str:
    """Describes the upstreams that crashed under a request, and the proof.

    The proof is in the lines of the config leader, and in those of other
    requests with the same digest.
    """
    texts = [
        f" Upstream {line.fields.get('upstream')} crashed while it ran it."
        for line in lines
        if line.event == "upstream_crashed"
        and request in line.fields.get("suspects", [])
    ]
    digests = {line.fields.get("digest", "") for line in own} - {""}
    for line in lines:
        fields = line.fields
        if (
            line.event == "request_quarantined"
            and fields.get("digest") in digests
        ):
            names = ", ".join(fields.get("upstreams", []))
            texts.append(
                f" Its digest {fields.get('digest')} was quarantined for "
                f"{fields.get('seconds')} s, since upstreams crashed under "
                f"its repetitions ({names}), first under "
                f"{fields.get('request')}."
            )
    return "".join(texts)


def _continuations(own: list[Line]) -> str:
    """Describes the moves and resumes of a stream, in order."""
    texts = []
    for line in own:
        if line.event != "stream_continued":
            continue
        fields = line.fields
        way = f"{fields.get('upstream')} to {fields.get('destination')}"
        reason = f"{fields.get('reason')}"
        match fields.get("result"):
            case "resumed" | "moved" | "restored" | "returned" as result:
                texts.append(
                    f" It was {result} from {way} ({reason}) after "
                    f"{fields.get('tokens')} tokens, with a pause of "
                    f"{fields.get('pause_s')} s."
                )
            case result:
                texts.append(
                    f" A move from {way} ({reason}) failed as {result}: "
                    f"{fields.get('detail') or 'no detail'}."
                )
    return "".join(texts)
