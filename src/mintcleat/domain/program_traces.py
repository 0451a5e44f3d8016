"""Where the time of a program went, reconstructed from log lines.

A program's requests are found by its id in their lines. The time of each one is
divided by the lines of its steps; the rest of the program's time passed between
requests, at the caller.
"""

from collections.abc import Iterable
import itertools
from typing import Any
from typing import NamedTuple

from mintcleat.domain import traces

# Names of the parts of a request's time, in their order.
PARTS = ("count", "open", "retries", "first", "answer")
# Refusals for the customer's limit, for which the request may have been held.
_LIMITED = ("limit_reached", "limit_near")
_ENDS = ("call_ended", "call_refused", "caller_gone")


class RequestTimes(NamedTuple):
    """The times of one request, in seconds.

    Attributes:
        began: Time of its arrival, in seconds since 1970.
        count: Waited for a count against the customer's limit, or for the
            limit itself.
        open: Waited for the group's leader to open the turn, with the wait
            for its grant if turns are admitted there.
        retries: Spent at upstreams whose attempts failed.
        first: From the last placement to the first byte: queue and prefill at
            the upstream.
        answer: From the first byte to the last.
        total: From the arrival to the end; less than the sum of the parts if
            lines are missing.
        outcome: `whole`, `cut`, `gone`, the kind of the refusal, or empty if
            the end is unknown.
        detail: Text of the refusal; empty for none.
        deferred: Whether the leader let the turn wait.
        decision: What the leader or the entry decided that cost the request
            its time, with the figures that it used; empty if no line says so.
    """

    request: str
    route: str
    began: float
    count: float
    open: float
    retries: float
    first: float
    answer: float
    total: float
    outcome: str
    detail: str
    deferred: bool
    decision: str = ""


class ProgramTrace(NamedTuple):
    """Where the time of a program went, in seconds.

    Attributes:
        requests: Its requests, in the order of their arrival.
        total: From the first arrival to the last known end.
        parts: Sum of each part over the requests, by name.
        pauses: Time without a request after one that was answered.
        after_refusals: Time without a request after one that was refused.
        refusals: Number of refusals by kind.
        gaps: Descriptions of missing lines.
    """

    program: str
    requests: list[RequestTimes]
    total: float
    parts: dict[str, float]
    pauses: float
    after_refusals: float
    refusals: dict[str, int]
    gaps: list[str]


def trace(program: str, lines: list[traces.Line]) -> ProgramTrace | None:
    """Returns the trace of a program; None if no line mentions it."""
    ids = {
        line.fields["request"]: None
        for line in lines
        if line.fields.get("program") == program and "request" in line.fields
    }
    by_request: dict[str, list[traces.Line]] = {name: [] for name in ids}
    for line in lines:
        found = by_request.get(line.fields.get("request", ""))
        if found is not None:
            found.append(line)
    if not by_request:
        return None
    requests = sorted(
        (_times(name, own) for name, own in by_request.items()),
        key=lambda item: item.began,
    )
    refusals: dict[str, int] = {}
    for item in requests:
        if item.detail:
            refusals[item.outcome] = refusals.get(item.outcome, 0) + 1
    end = max(item.began + item.total for item in requests)
    pauses, after_refusals = _pauses(requests)
    return ProgramTrace(
        program,
        requests,
        end - requests[0].began,
        {name: sum(getattr(one, name) for one in requests) for name in PARTS},
        pauses,
        after_refusals,
        refusals,
        [
            f"The end of request {item.request} is not in the lines."
            for item in requests
            if not item.outcome
        ],
    )


def verdict(found: ProgramTrace) -> str:
    """Names the largest part of a program's time and its last refusal."""
    parts = {
        "waiting for counts and limits": found.parts["count"],
        "opening turns": found.parts["open"],
        "attempts that failed": found.parts["retries"],
        "queue and prefill at upstreams": found.parts["first"],
        "answers": found.parts["answer"],
        "pauses of the caller": found.pauses,
        "waiting after refusals": found.after_refusals,
    }
    name = max(parts, key=parts.__getitem__)
    text = (
        f"{found.total:.3f} s in {len(found.requests)} requests; most of it "
        f"for {name}: {parts[name]:.3f} s."
    )
    refused = [item for item in found.requests if item.detail]
    if refused:
        last = refused[-1]
        text += f" Last refused as {last.outcome}: {last.detail}"
    costly = _costliest(found)
    if costly is not None:
        text += f" Decision for request {costly.request}: {costly.decision}."
    return text


def _costliest(found: ProgramTrace) -> RequestTimes | None:
    """Returns the request whose decision cost the program the most time.

    A refusal costs the time of its request and the pause of the caller after
    it; other decisions cost the time until the first byte.
    """
    starts = [item.began for item in found.requests[1:]]
    costs = []
    for item, following in itertools.zip_longest(found.requests, starts):
        if not item.decision:
            continue
        cost = item.total - item.answer
        if item.detail and following is not None:
            cost = max(cost, following - item.began)
        costs.append((cost, item))
    return max(costs, key=lambda pair: pair[0])[1] if costs else None


def _decision(own: list[traces.Line]) -> str:
    """Returns the decision that cost a request its time; empty if unknown."""
    texts = []
    for line in own:
        match line.event:
            case "turn_refused" | "turn_deferred":
                texts.append(_admission(line))
            case "stream_continued":
                texts.append(_continuation(line.fields))
    # A turn that waited first is explained by how its wait ended.
    return texts[-1] if texts else ""


def _admission(line: traces.Line) -> str:
    """Returns why the leader refused a turn or let it wait."""
    fields = line.fields
    name = "deferred"
    if line.event == "turn_refused":
        name = f"refused as {fields.get('kind')} for its {fields.get('reason')}"
    return (
        f"{name}, with {fields.get('running')} turns running of "
        f"{fields.get('bound')}, {fields.get('rank')} waiting before it, an "
        f"expected wait of {fields.get('wait_s')} s, and the customer's use of "
        f"{fields.get('use')} with a share of {fields.get('share')}"
    )


def _continuation(fields: dict[str, Any]) -> str:
    """Returns what happened to a stream that left its upstream."""
    return (
        f"stream {fields.get('result')} from {fields.get('upstream')} to "
        f"{fields.get('destination')} ({fields.get('reason')}), with a pause "
        f"of {fields.get('pause_s')} s"
    )


def _times(request: str, own: Iterable[traces.Line]) -> RequestTimes:
    own = sorted(own, key=lambda line: (line.at, line.number))
    ends = [line for line in own if line.event in _ENDS]
    end = ends[-1] if ends else None
    total, outcome, detail = _end(end)
    began = own[0].at
    if end is not None:
        # The line of the end is written at the end; its duration is exact, also
        # if the line of the arrival is missing.
        began = min(began, end.at - total)
    counts = _sum(own, "call_counted", "commit_s")
    opened = _sum(own, "turn_opened", "commit_s")
    retries = _sum(own, "attempt_failed", "after_s")
    first, answer = _response_times(own, began, counts + opened + retries)
    if outcome in _LIMITED and not counts:
        counts = max(0.0, total - opened - retries)
    return RequestTimes(
        request,
        _field(own, "route"),
        began,
        counts,
        opened,
        retries,
        first,
        answer,
        total,
        outcome,
        detail,
        any(line.event == "turn_deferred" for line in own),
        _decision(own),
    )


def _response_times(
    own: list[traces.Line], began: float, steps: float
) -> tuple[float, float]:
    """Returns the times to the first byte of the response, and of the rest.

    Args:
        own: Lines of the request, in order.
        began: Time of its arrival.
        steps: Seconds of the steps before the last placement, which are used if
            the line of that placement is missing.
    """
    answered = [line for line in own if line.event == "call_ended"]
    if not answered:
        return 0.0, 0.0
    fields = answered[-1].fields
    to_first = float(fields.get("first_s", 0.0))
    answer = max(0.0, float(fields.get("total_s", 0.0)) - to_first)
    placed = [line.at for line in own if line.event == "call_placed"]
    before = placed[-1] - began if placed else steps
    return max(0.0, to_first - before), answer


def _end(end: traces.Line | None) -> tuple[float, str, str]:
    """Returns a request's duration, its outcome and the text of a refusal."""
    if end is None:
        return 0.0, "", ""
    fields = end.fields
    match end.event:
        case "call_ended":
            return (
                float(fields.get("total_s", 0.0)),
                str(fields.get("outcome", "")),
                "",
            )
        case "caller_gone":
            return float(fields.get("after_s", 0.0)), "gone", ""
        case _:
            return (
                float(fields.get("after_s", 0.0)),
                str(fields.get("kind", "")),
                str(fields.get("detail") or fields.get("kind", "")),
            )


def _pauses(requests: list[RequestTimes]) -> tuple[float, float]:
    """Returns the seconds without a request after answers and refusals."""
    pauses = after_refusals = 0.0
    end = requests[0].began
    last = requests[0]
    for item in requests:
        gap = item.began - end
        if gap > 0:
            if last.detail:
                after_refusals += gap
            else:
                pauses += gap
        if item.began + item.total >= end:
            end, last = item.began + item.total, item
    return pauses, after_refusals


def _sum(own: list[traces.Line], event: str, field: str) -> float:
    values: list[Any] = [
        line.fields.get(field, 0.0) for line in own if line.event == event
    ]
    return float(sum(values))


def _field(own: list[traces.Line], name: str) -> str:
    for line in own:
        if line.fields.get(name):
            return str(line.fields[name])
    return ""
