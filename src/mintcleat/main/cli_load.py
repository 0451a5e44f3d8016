"""`mintcleat load`: who uses how much, and what is refused."""

from collections.abc import Mapping
from typing import Any

from mintcleat.main import cli_client
from mintcleat.main import cli_tables

_CUSTOMERS = ("CUSTOMER", "USED", "LIMIT", "WITH TOLERANCE", "PROGRAMS",
              "REFUSED IN 60 S", "RETRY AFTER S")  # fmt: skip
_SERVICES = ("SERVICE", "RUNNING", "BOUND", "CAPACITY", "WAITING", "SLOWDOWN",
             "GRANTED", "DEFERRED", "REFUSED")  # fmt: skip
_VERSIONS = ("SERVICE", "VERSION", "UPSTREAMS", "LEAVING", "SLOTS", "RUNNING")
_SHARES = ("SERVICE", "CUSTOMER", "SHARE", "USE", "RUNNING", "WAITING",
           "REFUSED")  # fmt: skip
_UPSTREAMS = ("UPSTREAM", "RUNNING", "TOKENS", "MEMORY", "USED", "SPEED",
              "REPORTS", "AVOIDED BY")  # fmt: skip


def run(
    client: cli_client.AdminClient,
    customers: int,
    upstreams: int,
    as_json: bool,
) -> None:
    """Prints the load of services, customers and upstreams."""
    answer = client.get("load", customers=customers, upstreams=upstreams)
    print(cli_tables.to_json(answer) if as_json else as_text(answer))


def as_text(answer: dict[str, Any]) -> str:
    """Returns the tables of a load view; those without rows are left out."""
    parts = [f"{answer['entries']} entries have reported"]
    services = answer["services"]
    tables = (
        (_SERVICES, [_service_row(item) for item in services]),
        (
            _VERSIONS,
            [
                (
                    item["service"],
                    item["version"],
                    item["upstreams"],
                    item["leaving"] or "",
                    item["slots"],
                    item["running"],
                )
                for item in answer.get("versions", ())
            ],
        ),
        (
            _SHARES,
            [
                _share_row(item["service"], one)
                for item in services
                for one in item["customers"]
            ],
        ),
        (_CUSTOMERS, [_customer_row(item) for item in answer["customers"]]),
        (_UPSTREAMS, [_upstream_row(item) for item in answer["upstreams"]]),
    )
    parts.extend(
        cli_tables.format_table(head, rows) for head, rows in tables if rows
    )
    shown = len(answer["upstreams"])
    total = answer.get("upstream_count", shown)
    if total > shown:
        parts.append(
            f"{shown} of {total} upstreams are shown; use --upstreams for more"
        )
    return "\n\n".join(parts)


def _service_row(item: dict[str, Any]) -> tuple[Any, ...]:
    return (
        item["service"],
        item["running"],
        _known(item["bound"]),
        _known(item["capacity"]),
        item["waiting"],
        f"{item['slowdown']:.2f}",
        item["granted"],
        item["deferred"],
        _format_counts(item["refused"]),
    )


def _share_row(service: str, item: dict[str, Any]) -> tuple[Any, ...]:
    return (
        service,
        item["customer"],
        f"{item['share']:.3f}",
        f"{item['use']:.3f}",
        item["running"],
        item["waiting"],
        item["refused"],
    )


def _customer_row(item: dict[str, Any]) -> tuple[Any, ...]:
    limit = item["limit"]
    return (
        item["customer"],
        item["used"],
        f"{limit:.0f} in {item['window']:g} s" if limit else "no limit",
        f"{limit + item['tolerance']:.0f}" if limit else "",
        item["programs"],
        _format_counts(item.get("reasons") or item["refused"]),
        _format_delays(item),
    )


def _upstream_row(item: dict[str, Any]) -> tuple[Any, ...]:
    speed, tokens = item["speed"], item["tokens"]
    memory = item.get("memory_tokens", 0)
    avoided_by = item.get("avoided_by", 0)
    return (
        item["upstream"],
        item["running"],
        tokens or "",
        memory or "",
        f"{100.0 * tokens / memory:.0f}%" if memory and tokens else "",
        f"{speed:.2f}" if speed else "",
        item.get("speed_reports", 0) or "",
        _format_avoided(avoided_by, item.get("avoided", False)),
    )


def _format_avoided(entries: int, by_all: bool) -> str:
    """Returns the number of entries, and whether the others follow them."""
    if not entries:
        return ""
    return f"{entries}, so by all" if by_all else str(entries)


def _format_delays(item: dict[str, Any]) -> str:
    """Returns the median and the longest delay advised to a customer."""
    median = item.get("retry_after", 0.0)
    longest = item.get("retry_after_max", 0.0)
    if not longest:
        return ""
    return f"{median:g}" if median == longest else f"{median:g} to {longest:g}"


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{counts[kind]} {kind}" for kind in sorted(counts))


def _known(value: float) -> Any:
    return value if value >= 0 else ""
