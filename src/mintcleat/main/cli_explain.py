"""`mintcleat explain`: from a request's id to the decision that ended it."""

import pathlib
import sys
from typing import Any

from mintcleat.domain import traces
from mintcleat.main import cli_tables

_NOT_FOUND = 9
_UNREADABLE = 3


def run(request: str, files: tuple[str, ...], as_json: bool) -> None:
    """Prints the path of a request; exits 9 when no line tells of it."""
    texts: list[str] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors="replace")
        except OSError as error:
            print(f"{name} can't be read: {error.strerror}", file=sys.stderr)
            print("remedy: Name files of log lines.", file=sys.stderr)
            sys.exit(_UNREADABLE)
        texts.extend(text.splitlines())
    found = traces.trace(request, traces.parse(texts))
    print(cli_tables.show(_plain(found)) if as_json else _shown(found))
    if not found.steps:
        sys.exit(_NOT_FOUND)


def _plain(found: traces.Trace) -> dict[str, Any]:
    return {
        "request": found.request,
        "steps": [line._asdict() for line in found.steps],
        "around": [line._asdict() for line in found.around],
        "gaps": found.gaps,
        "verdict": found.verdict,
        "certain": found.certain,
    }


def _shown(found: traces.Trace) -> str:
    parts = [f"request {found.request}"]
    if found.steps:
        begin = found.steps[0].at
        rows = [
            (
                f"{line.at - begin:+.3f}",
                line.instance,
                line.event,
                _fields(line),
            )
            for line in sorted(
                [*found.steps, *found.around], key=lambda line: line.at
            )
        ]
        head = ("SECONDS", "INSTANCE", "EVENT", "INPUTS AND OUTCOME")
        parts.append(cli_tables.table(head, rows))
    parts.extend(f"gap: {gap}" for gap in found.gaps)
    sure = "" if found.certain else " (missing lines could say otherwise)"
    parts.append(f"verdict: {found.verdict}{sure}")
    return "\n".join(parts)


def _fields(line: traces.Line) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request" and value != ""
    )
