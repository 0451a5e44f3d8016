"""`mintcleat explain`: shows the path of a request and how it ended."""

import pathlib
import sys
from typing import Any

from mintcleat.domain import traces
from mintcleat.main import cli_tables

_NOT_FOUND = 9
_UNREADABLE = 3


def run(request: str, files: tuple[str, ...], as_json: bool) -> None:
    """Prints the path of a request; exits with 9 if no log line has it."""
    log_lines: list[str] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors="replace")
        except OSError as error:
            print(f"{name} can't be read: {error.strerror}", file=sys.stderr)
            print("remedy: Give the paths of log files.", file=sys.stderr)
            sys.exit(_UNREADABLE)
        log_lines.extend(text.splitlines())
    trace = traces.trace(request, traces.parse(log_lines))
    print(cli_tables.to_json(_as_dict(trace)) if as_json else _as_text(trace))
    if not trace.steps:
        sys.exit(_NOT_FOUND)


def _as_dict(trace: traces.Trace) -> dict[str, Any]:
    return {
        "request": trace.request,
        "steps": [line._asdict() for line in trace.steps],
        "around": [line._asdict() for line in trace.around],
        "gaps": trace.gaps,
        "verdict": trace.verdict,
        "certain": trace.certain,
    }


def _as_text(trace: traces.Trace) -> str:
    parts = [f"request {trace.request}"]
    if trace.steps:
        start = trace.steps[0].at
        rows = [
            (
                f"{line.at - start:+.3f}",
                line.instance,
                line.event,
                _format_fields(line),
            )
            for line in sorted(
                [*trace.steps, *trace.around], key=lambda line: line.at
            )
        ]
        head = ("SECONDS", "INSTANCE", "EVENT", "INPUTS AND OUTCOME")
        parts.append(cli_tables.format_table(head, rows))
    parts.extend(f"gap: {gap}" for gap in trace.gaps)
    caveat = "" if trace.certain else " (missing lines could say otherwise)"
    parts.append(f"verdict: {trace.verdict}{caveat}")
    return "\n".join(parts)


def _format_fields(line: traces.Line) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request" and value != ""
    )
