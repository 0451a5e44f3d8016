"""`mintcleat explain`: the path of a request, or the time of a program."""

import pathlib
import sys
from typing import Any

from mintcleat.domain import program_traces
from mintcleat.domain import traces
from mintcleat.main import cli_tables

_NOT_FOUND = 9
_UNREADABLE = 3


def run(name: str, files: tuple[str, ...], as_json: bool) -> None:
    """Prints the trace of a request or of a program.

    Exits with 9 if no log line has it.

    Args:
        name: Id of a request or of a program.
        files: Log files of any processes.
        as_json: Whether to print JSON.
    """
    log_lines: list[str] = []
    for file in files:
        try:
            text = pathlib.Path(file).read_text(errors="replace")
        except OSError as error:
            print(f"{file} can't be read: {error.strerror}", file=sys.stderr)
            print("remedy: Give the paths of log files.", file=sys.stderr)
            sys.exit(_UNREADABLE)
        log_lines.extend(text.splitlines())
    lines = traces.parse(log_lines)
    trace = traces.trace(name, lines)
    if not trace.steps:
        program = program_traces.trace(name, lines)
        if program is not None:
            _print_program(program, as_json)
            return
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


def _print_program(program: program_traces.ProgramTrace, as_json: bool) -> None:
    if as_json:
        data = program._asdict()
        data["requests"] = [item._asdict() for item in program.requests]
        data["verdict"] = program_traces.verdict(program)
        print(cli_tables.to_json(data))
    else:
        print(_program_as_text(program))


def _program_as_text(program: program_traces.ProgramTrace) -> str:
    start = program.requests[0].began
    rows = [
        (
            f"{item.began - start:+.3f}",
            item.request,
            item.route,
            *(f"{getattr(item, name):.3f}" for name in program_traces.PARTS),
            f"{item.total:.3f}",
            "deferred, " * item.deferred + (item.outcome or "unknown"),
        )
        for item in program.requests
    ]
    rows.append(
        (
            "sum",
            "",
            "",
            *(f"{program.parts[name]:.3f}" for name in program_traces.PARTS),
            f"{sum(item.total for item in program.requests):.3f}",
            "",
        )
    )
    head = ("SECONDS", "REQUEST", "ROUTE", "COUNT", "OPEN", "RETRIES",
            "FIRST", "ANSWER", "TOTAL", "OUTCOME")  # fmt: skip
    parts = [
        f"program {program.program}",
        cli_tables.format_table(head, rows),
        f"between requests: {program.pauses:.3f} s after answers, "
        f"{program.after_refusals:.3f} s after refusals",
    ]
    parts.extend(
        f"refused: {program.refusals[kind]} {kind}"
        for kind in sorted(program.refusals)
    )
    parts.extend(f"gap: {gap}" for gap in program.gaps)
    parts.append(f"verdict: {program_traces.verdict(program)}")
    return "\n".join(parts)


def _format_fields(line: traces.Line) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request" and value != ""
    )
