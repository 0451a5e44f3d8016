"""Why take-ups were refused that named the first request of their stream."""

import collections
from typing import Any
from typing import NamedTuple

from testing.soak import processes

from mintcleat.programs import streams

UNEXPLAINED = "unexplained"


class Refusal(NamedTuple):
    """A take-up that was refused as one of an unknown stream.

    Attributes:
        request: The take-up.
        first: Request that brought the first event.
        role: What its stream is there for; see `out_of_step.ROLES`.
        age: Seconds since the first request was sent.
        kept: Seconds for which its caller may come back, by the deadline that
            it has stated.
        entry: Name of the entry that the stream began at.
        has_ended: Whether that process has ended since.
        is_disturbed: Whether that entry was out of step when it was refused.
    """

    request: str
    first: str
    role: str
    age: float
    kept: float
    entry: str
    has_ended: bool
    is_disturbed: bool


class Lines(NamedTuple):
    """What the entries logged of the records of streams.

    Attributes:
        taken_up: Fields of `stream_taken_up` by request.
        late: Fields of `stream_recorded_late` by request.
        unrecorded: Fields of `stream_unrecorded` by request.
    """

    taken_up: dict[str, dict[str, Any]]
    late: dict[str, dict[str, Any]]
    unrecorded: dict[str, dict[str, Any]]


def read(entries: list[processes.Node]) -> Lines:
    """Returns the lines of all entries."""
    found = Lines({}, {}, {})
    by_event = {
        "stream_taken_up": found.taken_up,
        "stream_recorded_late": found.late,
        "stream_unrecorded": found.unrecorded,
    }
    for node in entries:
        for line in node.log_path.read_text().splitlines():
            if '"stream_' not in line:
                continue
            fields = processes.fields_of(line)
            lines = by_event.get(fields.get("event", ""))
            if lines is not None:
                lines[fields["request"]] = fields
    return found


def reason_of(refusal: Refusal, lines: Lines) -> str:
    """Returns why no record of a stream was found."""
    record = lines.taken_up.get(refusal.request, {}).get("record", "")
    if record not in ("", "none"):
        return record
    if refusal.age > refusal.kept + streams.SLACK_SECONDS:
        return "expired"
    if refusal.first in lines.unrecorded:
        return "unrecorded"
    if refusal.has_ended:
        return "its entry has ended"
    if refusal.first in lines.late:
        return "recorded late"
    if refusal.is_disturbed:
        return "its entry is out of step"
    return UNEXPLAINED


def count(refusals: list[Refusal], lines: Lines) -> dict[str, list[int]]:
    """Returns the numbers of refusals and of their streams, by reason and role.

    Those within the time that the caller has stated are counted apart.
    """
    found: dict[str, list[str]] = collections.defaultdict(list)
    for one in refusals:
        phase = "in time" if one.age <= one.kept else "after its deadline"
        found[f"{one.role}, {phase}: {reason_of(one, lines)}"].append(one.first)
    return {
        name: [len(firsts), len(set(firsts))]
        for name, firsts in sorted(found.items())
    }
