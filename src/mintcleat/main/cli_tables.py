"""Output of the CLI as text tables and as JSON."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any

EMPTY = "-"


def format_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a text table; each column is as wide as its widest cell."""
    lines = [
        list(head),
        *([_format_cell(item) for item in row] for row in rows),
    ]
    widths = [max(len(line[n]) for line in lines) for n in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_time(seconds: float) -> str:
    """Formats seconds since 1970 as UTC; 0 stands for no time."""
    if not seconds:
        return EMPTY
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")


def to_json(value: Any) -> str:
    """Returns a value as JSON on one line."""
    return json.dumps(value, sort_keys=True)


def _format_cell(item: Any) -> str:
    match item:
        case None | "":
            return EMPTY
        case bool():
            return "yes" if item else "no"
        case float():
            return f"{item:.1f}"
        case list():
            return ", ".join(map(str, item)) or EMPTY
        case _:
            return str(item)
