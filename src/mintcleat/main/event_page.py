"""Makes `docs/reference/logs.md` from the events' own documentation.

python -m mintcleat.main.event_page > docs/reference/logs.md
"""

import inspect
import typing

from mintcleat.domain import events

_INTRO = """# Log lines

Each process on a machine of the platform writes one JSON object a line to
standard output. Every line has `at` (seconds since 1970), `instance`, `event`
and `n`, the number of the event in its process; a hole in the numbers is a
line that was dropped or lost. Fields ending in `_s` are seconds. No line holds
content of a request.

A process writes at most 500 lines a second, with bursts of 1,000. When there
are more, details of requests give way first, all but those of a tenth of the
requests, chosen by id so that every process keeps the same ones; then errors
and refusals; changes of state last. `lines_dropped` says how many.

This page is made by `python -m mintcleat.main.event_page`.
"""
_WEIGHTS = {
    events.STATE: "change of state",
    events.ERROR: "error",
    events.DETAIL: "detail of a request",
}


def page() -> str:
    """Returns the page."""
    parts = [_INTRO]
    for kind in events.KINDS:
        parts.append(_section(kind))
    return "\n".join(parts)


def _section(kind: type) -> str:
    text = inspect.cleandoc(kind.__doc__ or "")
    summary, _, rest = text.partition("\nAttributes:\n")
    meanings = _meanings(rest)
    hints = typing.get_type_hints(kind)
    rows = [
        f"| `{name}` | {getattr(hint, '__name__', hint)} "
        f"| {meanings.get(name, '')} |"
        for name, hint in hints.items()
    ]
    weight = _WEIGHTS[events.severity_of_kind(kind)]
    return (
        f"## `{events.name_of(kind)}`: {weight}\n\n{summary.strip()}\n\n"
        "| field | type | meaning |\n|---|---|---|\n" + "\n".join(rows) + "\n"
    )


def _meanings(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    name = ""
    for line in text.splitlines():
        stripped = line.strip()
        is_start = line.startswith("    ") and not line.startswith("     ")
        head, colon, rest = stripped.partition(":")
        if is_start and colon and head.isidentifier():
            name = head
            found[name] = rest.strip()
        elif name and stripped:
            found[name] += f" {stripped}"
    return found


if __name__ == "__main__":
    print(page(), end="")
