"""Plain text tables for people."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import json
from typing import Any

EMPTY = "-"


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns columns as wide as their widest cell."""
    lines = [list(head), *([_cell(item) for item in row] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def moment(seconds: float) -> str:
    """Returns a time since 1970 as UTC, to the second."""
    if not seconds:
        return EMPTY
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")


def show(value: Any) -> str:
    """Returns JSON for machines, on one line."""
    return json.dumps(value, sort_keys=True)


def _cell(item: Any) -> str:
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
