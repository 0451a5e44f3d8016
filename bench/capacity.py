"""Writes the tables of docs/CAPACITY.md from docs/capacity.json.

Usage: python -m bench.capacity [--check]

Tables stand between the markers `<!-- NAME -->` and `<!-- end -->`; the text
around them is written in the page itself.
"""

import json
import pathlib
import re
import sys
from typing import Any
from typing import NamedTuple

import fire

from mintcleat.decisions import send_interval

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
DATA = ROOT / "docs" / "capacity.json"

# The planned size; rates are per second.
NODES = 860
ENGINES = 3_000
REQUEST_RATE = 35_000
TOKEN_RATE = 12_000_000
PROGRAMS = 780_000
CONTROLS = 21
REPLICAS = 3
# 160,000 tokens of 4 bytes.
HISTORY_BYTES = 160_000 * 4
# Sidecars, calls and token frames of one node.
SIDECARS = ENGINES / NODES
CALL_RATE = REQUEST_RATE / NODES
FRAME_RATE = TOKEN_RATE / NODES
# An entry watches 32 upstreams (decisions/subset.py) of each of 24 models.
WATCHED = 24 * 32
# Limits per node: percent of one core, MB, and KB per second.
CPU_LIMIT_PERCENT = 4.4
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT_KB = 20.0


class Line(NamedTuple):
    """One line of a table; `value` is in `unit`, at the planned size."""

    what: str
    arithmetic: str
    value: float
    unit: str
    source: str
    mechanism: str


def node_cpu(data: dict[str, Any]) -> list[Line]:
    """Returns the processor time of control per node, in % of one core."""
    report = data["sidecar_watcher"]["slope"] / 2
    reports = SIDECARS * send_interval.REPORT_BUDGET / 100
    entry = data["turn_entry_control"]
    sidecar = data["turn_sidecar_control"]
    followers = 1 + SIDECARS
    config = data["config_node_10x"]["cpu"] * 1e6
    return [
        Line(
            "commits, entry's side",
            f"{entry:.0f} us a turn x {CALL_RATE:.1f} turns/s",
            entry * CALL_RATE / 1e4,
            "%",
            "turns",
            "roles/control_client.py batches requests to one leader",
        ),
        Line(
            "commits, sidecars' side",
            f"{sidecar:.0f} us a turn x {CALL_RATE:.1f} turns/s",
            sidecar * CALL_RATE / 1e4,
            "%",
            "turns",
            "roles/sidecar/commit.py reports outcomes from the sidecar",
        ),
        Line(
            "load reports sent",
            f"{report:.0f} us each x {reports:.0f} a second",
            report * reports / 1e4,
            "%",
            "load_reports",
            "decisions/send_interval.py bounds their bytes",
        ),
        Line(
            "configuration followed",
            f"{config:.0f} us a second x {followers:.1f} followers",
            config * followers / 1e4,
            "%",
            "config_cost, 10 times the users' rate",
            "roles/follower.py takes changed sections only",
        ),
    ]


def node_bytes(data: dict[str, Any]) -> list[Line]:
    """Returns the network traffic of control per node, in KB per second."""
    config = data["config_node_10x"]
    stream = config["sent"] + config["received"]
    followers = 1 + SIDECARS
    return [
        Line(
            "load reports sent",
            f"{send_interval.REPORT_BUDGET:.0f} B/s x {SIDECARS:.2f} sidecars",
            send_interval.REPORT_BUDGET * SIDECARS / 1e3,
            "KB/s",
            "budget in the code",
            "decisions/send_interval.py",
        ),
        Line(
            "residency renewed",
            f"{send_interval.RENEWAL_BUDGET:.0f} B/s x {SIDECARS:.2f} sidecars",
            send_interval.RENEWAL_BUDGET * SIDECARS / 1e3,
            "KB/s",
            "budget in the code",
            "decisions/send_interval.py, roles/sidecar/memory.py",
        ),
        Line(
            "configuration stream",
            f"{stream:.0f} B/s x {followers:.1f} followers",
            stream * followers / 1e3,
            "KB/s",
            "config_cost, 10 times the users' rate",
            "roles/control/configuration/feed.py",
        ),
    ]


def node_memory(data: dict[str, Any]) -> list[Line]:
    """Returns the memory of control per node, in MB."""
    member = data["member_node"]["slope"]
    watched = data["watched_upstream"]["slope"]
    own = (data["resident"]["entry"] - data["bare_resident"]) / 1e6
    return [
        Line(
            "members known to the entry",
            f"{member:.0f} B x {ENGINES}",
            member * ENGINES / 1e6,
            "MB",
            "members",
            "roles/follower.py",
        ),
        Line(
            "watched upstreams",
            f"{watched:.0f} B x {WATCHED}",
            watched * WATCHED / 1e6,
            "MB",
            "memories",
            "decisions/subset.py bounds their number",
        ),
        Line(
            "entry's own code and state",
            "resident less a process with the same libraries",
            own,
            "MB",
            "turns",
            "lean imports; no state that must survive",
        ),
    ]


def control(data: dict[str, Any]) -> list[Line]:
    """Returns the load and memory of one control instance."""
    pair = data["pair_by_callers"][-1][1]
    turns = REQUEST_RATE / CONTROLS
    record = data["record_bytes"]["slope"]
    each = PROGRAMS * REPLICAS / CONTROLS
    begin, finish = data["bytes"]["BeginCall"], data["bytes"]["FinishCall"]
    served = NODES * (1 + SIDECARS) / CONTROLS
    per_node = 3 * data["config_leader_10x"]["slope"]
    stream = 3 * data["node_stream"]["slope"]
    return [
        Line(
            "commits of turns, all replicas",
            f"{pair:.0f} us a turn x {turns:.0f} turns/s",
            pair * turns / 1e4,
            "% of a core",
            "batched, 512 callers",
            "group commit in adapters/wal.py, batches in program_service.py",
        ),
        Line(
            "nodes served with configuration",
            f"{per_node:.0f} us a second x {served:.0f} nodes",
            per_node * served / 1e4,
            "% of a core",
            "config_cost, 10 times the users' rate",
            "roles/control/configuration/feed.py and relay.py",
        ),
        Line(
            "nodes' configuration streams",
            f"{stream:.0f} B x {served:.0f} nodes",
            stream * served / 1e6,
            "MB resident",
            "memories",
            "roles/control/configuration/feed.py",
        ),
        Line(
            "program records",
            f"{record:.0f} B x {each:.0f} replicas of programs",
            record * each / 1e6,
            "MB",
            "records",
            "programs/records.py; histories are in files",
        ),
        Line(
            "histories on disk, all at 160,000 tokens",
            f"{HISTORY_BYTES} B x {each:.0f}",
            HISTORY_BYTES * each / 1e9,
            "GB",
            "4 bytes a token",
            "adapters/histories.py",
        ),
        Line(
            "log sent to followers",
            f"({begin} + {finish}) B x {turns:.0f} x {REPLICAS - 1}",
            (begin + finish) * turns * (REPLICAS - 1) / 1e6,
            "MB/s",
            "sizes",
            "one frame a peer, roles/control/replication/links.py",
        ),
    ]


def data_path(data: dict[str, Any]) -> list[Line]:
    """Returns the processor time of the calls themselves, per node."""
    lines = []
    for role in ("entry", "sidecar"):
        slope = data[f"{role}_call"]
        lines.append(
            Line(
                f"{role}: calls",
                f"{slope['base']:.0f} us x {CALL_RATE:.1f} calls/s",
                slope["base"] * CALL_RATE / 1e4,
                "%",
                "tokens_per_call",
                "roles/entry/entry.py, roles/sidecar/sidecar.py",
            )
        )
        lines.append(
            Line(
                f"{role}: token frames",
                f"{slope['slope']:.1f} us x {FRAME_RATE:.0f} tokens/s",
                slope["slope"] * FRAME_RATE / 1e4,
                "%",
                "tokens_per_call",
                "adapters/streams_connection.py gathers frames",
            )
        )
    return lines


def spread_line(data: dict[str, Any]) -> str:
    """Returns the time for a change to reach all nodes, by the line."""
    worst = data["spread_worst"]
    seconds = worst["base"] + worst["slope"] * NODES
    return (
        f"Slowest of 10 pushes: {worst['points'][-1][1] * 1e3:.0f} ms at 200 "
        f"nodes measured, {seconds * 1e3:.0f} ms at {NODES} by the line; the "
        "limit is 5 s."
    )


def table(lines: list[Line], limit: float = 0.0) -> str:
    """Returns a Markdown table; with a limit, also the sum against it."""
    rows = [
        "| what | slope x size | at the planned size | source | carried by |",
        "|---|---|---|---|---|",
    ]
    rows.extend(
        f"| {line.what} | {line.arithmetic} | {line.value:.2f} {line.unit} "
        f"| {line.source} | {line.mechanism} |"
        for line in lines
    )
    if limit:
        total = sum(line.value for line in lines)
        unit = lines[0].unit
        verdict = "met" if total <= limit else "missed"
        rows.append(
            f"| **sum** | limit {limit:g} {unit} | **{total:.2f} {unit}** "
            f"| {verdict}, {total / limit:.2f} of the limit | |"
        )
    return "\n".join(rows)


def slopes(data: dict[str, Any]) -> str:
    """Returns a Markdown table of all measured lines and their points."""
    rows = [
        "| line | points (size: value) | slope | at 0 | largest deviation |",
        "|---|---|---|---|---|",
    ]
    for name, slope in sorted(data.items()):
        if not isinstance(slope, dict) or "slope" not in slope:
            continue
        points = ", ".join(f"{a:g}: {b:.4g}" for a, b in slope["points"])
        rows.append(
            f"| {name} | {points} | {slope['slope']:.4g} {slope['unit']} "
            f"for each of: {slope['size']} | {slope['base']:.4g} "
            f"| {slope['bend']:.0%} |"
        )
    batches = ", ".join(f"{a}: {b:.0f}" for a, b in data["pair_by_callers"])
    rows.append(
        f"| pair_by_callers | {batches} | us of three replicas a turn, by "
        "callers | | |"
    )
    return "\n".join(rows)


def blocks(data: dict[str, Any]) -> dict[str, str]:
    """Returns each generated block by the name of its marker."""
    return {
        "node-cpu": table(node_cpu(data), CPU_LIMIT_PERCENT),
        "node-bytes": table(node_bytes(data), BYTES_LIMIT_KB),
        "node-memory": table(node_memory(data), MEMORY_LIMIT_MB),
        "control": table(control(data)),
        "data-path": table(data_path(data)),
        "spread": spread_line(data),
        "slopes": slopes(data),
    }


def page(text: str, data: dict[str, Any]) -> str:
    """Returns the page with every generated block replaced.

    Raises:
        SystemExit: The page does not have each block once.
    """
    for name, block in blocks(data).items():
        pattern = rf"(<!-- {name} -->\n).*?(\n<!-- end -->)"
        text, count = re.subn(
            pattern,
            lambda match, block=block: match[1] + block + match[2],
            text,
            flags=re.DOTALL,
        )
        if count != 1:
            raise SystemExit(f"The page has {count} blocks {name!r}, not 1.")
    return text


def main(check: bool = False) -> None:
    """Writes the page.

    Args:
        check: Write nothing; fail if the page differs from the data.
    """
    text = PAGE.read_text()
    generated = page(text, json.loads(DATA.read_text()))
    if not check:
        PAGE.write_text(generated)
    elif generated != text:
        sys.exit(
            "docs/CAPACITY.md differs from docs/capacity.json;"
            " run `python -m bench.capacity`."
        )


if __name__ == "__main__":
    fire.Fire(main)
