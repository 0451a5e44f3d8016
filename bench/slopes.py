"""Measures the slopes of docs/CAPACITY.md, each at three sizes.

Usage: python -m bench.slopes run [STEP] [--output docs/capacity.json]

`python -m bench.capacity` then writes the page from that file.
"""

from collections.abc import Callable
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import TypedDict

import eventlet
import fire
import numpy as np

from bench import config_processes
from bench import config_state
from bench import configuration
from bench import path
from bench import processes
from bench import programs
from bench import rig
from bench import state
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.decisions import placement
from mintcleat.domain import call_messages
from mintcleat.domain import codec
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import operator_messages
from mintcleat.domain import program_messages
from mintcleat.roles import control_client
from mintcleat.roles.sidecar import history as sidecar_history

ROOT = pathlib.Path(__file__).parent.parent
_CALLERS = 16
_LOAD_SECONDS = 6.0
# Prints the resident memory of a process with the libraries only.
_BARE_PROCESS = (
    "import eventlet, urllib3, aioprometheus, fire, loguru, msgspec, msgpack,"
    " json5, xxhash, sortedcontainers; eventlet.monkey_patch();"
    "print([l for l in open('/proc/self/status') if 'VmRSS' in l][0])"
)


class Slope(TypedDict):
    """One line of the data file.

    Attributes:
        points: Pairs of size and value.
        slope: Value per unit of size, by least squares.
        base: Value at size 0.
        bend: Largest deviation from the line, as a fraction of the value.
        command: Command that measures it.
    """

    unit: str
    size: str
    points: list[list[float]]
    slope: float
    base: float
    bend: float
    command: str


def fit(size: str, unit: str, points: list[list[float]], command: str) -> Slope:
    """Returns the least-squares line through the points."""
    sizes = np.array([point[0] for point in points], float)
    values = np.array([point[1] for point in points], float)
    slope, base = np.polyfit(sizes, values, 1)
    line = slope * sizes + base
    bend = float(np.max(np.abs(values - line) / np.maximum(values, 1e-12)))
    return Slope(
        unit=unit,
        size=size,
        points=[[float(a), float(b)] for a, b in points],
        slope=float(slope),
        base=float(base),
        bend=bend,
        command=command,
    )


def tokens_per_call(results: dict[str, Any]) -> None:
    """Measures entry and sidecar: processor time per call and token frame."""
    system = rig.system(controls=1, engines=1)
    try:
        entry = system.processes["entry-0"]
        sidecar = system.processes["sidecar-engine-0"]
        route = path.Route("stateless", system.http()[0], program=False)
        path.measure(route, _CALLERS, 100)
        entries, sidecars = [], []
        for tokens in (8, 64, 256):
            route.body = {**path.BODY, "max_tokens": tokens, "stream": True}
            calls = 320
            before = entry.usage().cpu, sidecar.usage().cpu
            path.measure(route, _CALLERS, calls)
            after = entry.usage().cpu, sidecar.usage().cpu
            entries.append([tokens, (after[0] - before[0]) / calls * 1e6])
            sidecars.append([tokens, (after[1] - before[1]) / calls * 1e6])
    finally:
        system.stop()
    command = "python -m bench.slopes run tokens_per_call"
    size, unit = "tokens in the answer", "us of a core per call"
    results["entry_call"] = fit(size, unit, entries, command)
    results["sidecar_call"] = fit(size, unit, sidecars, command)


def turns(results: dict[str, Any]) -> None:
    """Measures control: processor time per turn, here and elsewhere."""
    system = rig.system(controls=3, engines=1, groups=1)
    names = {
        "entry": "entry-0",
        "sidecar": "sidecar-engine-0",
        **{f"control-{number}": f"control-{number}" for number in range(3)},
    }
    points: dict[str, list[list[float]]] = {name: [] for name in names}
    try:
        route = path.Route("program", system.http()[0], program=True)
        plain = path.Route("stateless", system.http()[0], program=False)
        path.measure(route, _CALLERS, 160)
        idle = _cpu_used(system, names, lambda: time.sleep(3.0))
        for calls in (160, 480, 960):
            started = time.monotonic()
            used = _cpu_used(
                system,
                names,
                lambda n=calls: path.measure(route, _CALLERS, n),
            )
            seconds = time.monotonic() - started
            for name, cpu in used.items():
                own = cpu - idle[name] / 3.0 * seconds
                points[name].append([calls, own * 1e6])
        without = _cpu_used(
            system, names, lambda: path.measure(plain, _CALLERS, 960)
        )
        leader = _find_leader(system, "programs-0")
        resident = {
            name: system.processes[process].usage().resident
            for name, process in names.items()
        }
    finally:
        system.stop()
    command = "python -m bench.slopes run turns"
    for name, values in points.items():
        role = name
        if name.startswith("control"):
            role = "leader" if name == leader else f"follower-{name[-1]}"
        results[f"turn_{role}"] = fit("turns", "us of a core", values, command)
    for name in ("entry", "sidecar"):
        each = results[f"turn_{name}"]["slope"]
        results[f"turn_{name}_control"] = each - without[name] / 960 * 1e6
    results["idle_cpu"] = {name: cpu / 3.0 for name, cpu in idle.items()}
    results["resident"] = resident
    results["bare_resident"] = _bare_resident()


def batched(results: dict[str, Any]) -> None:
    """Measures control: processor time per begin and finish, by batch size."""
    system = processes.System(controls=3, entries=0, engines=0, services=0)
    hub = streams.TcpStreams("127.0.0.1:0")
    names = {f"control-{number}": f"control-{number}" for number in range(3)}
    points = []
    try:
        client = control_client.ControlClient(
            hub, timers.EventletTimers(), system.control_addresses, 4
        )
        _run_pairs(client, "warm", 16, 160)
        for callers in (16, 128, 512):
            pairs = 6 * 512
            used = _cpu_used(
                system,
                names,
                lambda n=callers: _run_pairs(client, f"c{n}", n, 6 * 512),
            )
            points.append([callers, sum(used.values()) / pairs * 1e6])
    finally:
        hub.stop()
        system.stop()
    results["pair_by_callers"] = points


def _run_pairs(
    client: control_client.ControlClient, prefix: str, callers: int, count: int
) -> None:
    """Runs begin and finish of `count` turns from concurrent callers."""
    sidecar = identities.Incarnation("bench", 1)

    def caller(number: int) -> None:
        name = f"{prefix}-{number}"
        client.ask(
            name,
            program_messages.CreateProgram(
                name, "p", "", "batch", identities.Budget()
            ),
            30.0,
        )
        for turn in range(1, count // callers + 1):
            key = f"turn-{turn}"
            begin = program_messages.BeginCall(
                name, "", "triage", turn, key, b"d" * 16, ["x" * 400], 500,
                True, sidecar, "127.0.0.1:1",
            )  # fmt: skip
            granted = client.ask(name, begin, 30.0)
            finish = program_messages.FinishCall(
                name, "", key, granted.attempt, sidecar, b"y" * 800,
                identities.Usage(500, 200, 0),
            )  # fmt: skip
            client.ask(name, finish, 30.0)

    threads = [eventlet.spawn(caller, number) for number in range(callers)]
    for thread in threads:
        thread.wait()


def _cpu_used(
    system: processes.System, names: dict[str, str], action: Callable[[], Any]
) -> dict[str, float]:
    before = {n: system.processes[p].usage().cpu for n, p in names.items()}
    action()
    return {
        n: system.processes[p].usage().cpu - before[n] for n, p in names.items()
    }


def _find_leader(system: processes.System, group: str) -> str:
    client = streams.TcpStreams("127.0.0.1:0")
    try:
        for number, address in enumerate(system.control_addresses):
            rows = client.ask(address, operator_messages.ShowGroups(), 5.0).rows
            for row in map(json.loads, rows):
                if row["group"] == group and row["role"] == "leader":
                    return f"control-{number}"
    finally:
        client.stop()
    raise errors.NoUpstream(f"No control instance leads group {group}.")


def _bare_resident() -> int:
    """Returns the resident bytes of a process with the libraries only."""
    completed = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", _BARE_PROCESS],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(completed.stdout.split()[1]) * 1024


def load_reports(results: dict[str, Any]) -> None:
    """Measures sidecar: processor time per watcher, at two reports a second."""
    system = rig.system(controls=1, engines=1)
    points = []
    try:
        process = system.processes["sidecar-engine-0"]
        watchers: list[streams.TcpStreams] = []
        for count in (0, 40, 120):
            while len(watchers) < count:
                watcher = streams.TcpStreams("127.0.0.1:0")
                watcher.open(
                    process.addresses["streams"],
                    call_messages.WatchLoad("bench"),
                )
                watchers.append(watcher)
            time.sleep(0.5)
            before = process.usage().cpu
            time.sleep(_LOAD_SECONDS)
            used = process.usage().cpu - before
            points.append([count, used / _LOAD_SECONDS * 1e6])
        for watcher in watchers:
            watcher.stop()
    finally:
        system.stop()
    results["sidecar_watcher"] = fit(
        "watching entries",
        "us of a core per second",
        points,
        "python -m bench.slopes run load_reports",
    )


def records(results: dict[str, Any]) -> None:
    """Measures control: memory, snapshot and restore per program record."""
    command = "python -m bench.slopes run records"
    with tempfile.TemporaryDirectory() as name:
        rows = [
            programs.measure(size, 3, pathlib.Path(name))
            for size in (1000, 4000, 16000)
        ]
    size = "programs of 3 turns"
    for key, unit, value in (
        ("record_bytes", "bytes", lambda row: row.bytes_each * row.programs),
        ("record_snapshot", "ms", lambda row: row.snapshot_ms),
        ("record_restore", "ms", lambda row: row.restore_ms),
        ("record_snapshot_bytes", "bytes", lambda row: row.snapshot_bytes),
    ):
        points = [[row.programs, value(row)] for row in rows]
        results[key] = fit(size, unit, points, command)
    results["record_pair_us"] = [[row.programs, row.pair_us] for row in rows]


def members(results: dict[str, Any]) -> None:
    """Measures nodes and control: memory per member."""
    command = "python -m bench.slopes run members"
    for key, build in (
        ("member_node", config_state.make_follower),
        ("member_control", config_state.make_table),
    ):
        points = [
            [count, config_state.traced_bytes(build, count)]
            for count in (500, 1500, 3000)
        ]
        results[key] = fit("announced upstreams", "bytes", points, command)


def memories(results: dict[str, Any]) -> None:
    """Measures memory of a history, a watched upstream and a node's stream."""
    command = "python -m bench.slopes run memories"
    for key, size, build in (
        ("held_history", "programs of 3 turns of 600 bytes", _histories),
        ("watched_upstream", "watched upstreams", _fleet),
    ):
        points = [
            [count, config_state.traced_bytes(build, count)]
            for count in (500, 1500, 3000)
        ]
        results[key] = fit(size, "bytes", points, command)
    points = []
    for count in (20, 100, 300):
        nodes = config_processes.Cluster(count, "nodes")
        try:
            nodes.push(
                config_processes.make_manifest(
                    config_processes.SMALL_MANIFEST_BYTES, "0"
                )
            )
            nodes.wait_applied()
            points.append([count, nodes.leader.usage().resident])
        finally:
            nodes.stop()
    results["node_stream"] = fit(
        "nodes, a third served by it", "bytes resident", points, command
    )


def _histories(count: int) -> sidecar_history.Histories:
    histories = sidecar_history.Histories(1 << 40)
    for number in range(count):
        digest = digests.EMPTY
        for turn in range(3):
            messages = [f"{number} {turn} " + "x" * 200, "y" * 400]
            histories.finish(f"program-{number:06d}", turn, digest, messages)
            digest = digests.chain(digest, messages)
    return histories


def _fleet(count: int) -> placement.Fleet:
    fleet = placement.Fleet()
    names = [f"sidecar-{number:06d}" for number in range(count)]
    fleet.watch(names)
    for name in names:
        report = call_messages.LoadReport(
            identities.Incarnation(name, 1),
            1,
            4,
            0,
            16,
            0.0,
            0.02,
            8e3,
            9,
            "ready",
        )
        fleet.report(report, 0.0)
    return fleet


def spread(results: dict[str, Any]) -> None:
    """Measures configuration: seconds from acceptance to the last node."""
    command = "python -m bench.slopes run spread"
    points, tails = [], []
    for count in (10, 50, 200):
        times = configuration.measure_spread(count, "nodes", 10)
        points.append([count, configuration.quantile(times, 0.5)])
        tails.append([count, max(times)])
    results["spread_p50"] = fit("nodes", "seconds", points, command)
    results["spread_worst"] = fit("nodes", "seconds", tails, command)


def config_cost(results: dict[str, Any]) -> None:
    """Measures configuration: processor time of control per node served."""
    command = "python -m bench.slopes run config_cost"
    rows = {
        count: configuration.measure_cost("nodes", count, 6.0)
        for count in (20, 80, 200)
    }
    for load in ("idle", "10x"):
        points = [
            [count, row[load].leader_cpu * 1e6] for count, row in rows.items()
        ]
        results[f"config_leader_{load}"] = fit(
            "nodes, a third served by it",
            "us of a core per second",
            points,
            command,
        )
        last = rows[200][load]
        results[f"config_node_{load}"] = {
            "cpu": last.node_cpu,
            "sent": last.node_sent,
            "received": last.node_received,
        }


def recovery(results: dict[str, Any]) -> None:
    """Measures control: time to read its log back after a restart."""
    results["recovery"] = state.recovery()


def sizes(results: dict[str, Any]) -> None:
    """Measures the bytes of messages, which the page multiplies."""
    here = identities.Incarnation("sidecar-of-engine-0001", time.time_ns())
    report = call_messages.LoadReport(
        here, 123456, 8, 3, 16, 0.12, 0.021, 8000.0, 400_000, "ready", 0.2
    )
    begin = program_messages.BeginCall(
        "a" * 32, "", "agent-model", 12, "turn-12-" + "0" * 32, b"d" * 16,
        ["x" * 500], 700, True, here, "10.0.12.34:7101", 0, 1 << 60,
    )  # fmt: skip
    granted = program_messages.AttemptGranted(
        1 << 40, 11, b"d" * 16, 9000, 700, "a" * 32, "claim", "interactive"
    )
    finish = program_messages.FinishCall(
        "a" * 32, "", "turn-12-" + "0" * 32, 1 << 40, here, b"y" * 1000,
        identities.Usage(9000, 250, 8800),
    )  # fmt: skip
    chunk = call_messages.Chunk(1 << 40, 1200, "word ")
    results["bytes"] = {
        type(message).__name__: len(codec.encode(message))
        for message in (report, begin, granted, finish, chunk)
    }


STEPS = {
    "sizes": sizes,
    "records": records,
    "members": members,
    "tokens_per_call": tokens_per_call,
    "turns": turns,
    "batched": batched,
    "load_reports": load_reports,
    "recovery": recovery,
    "memories": memories,
    "spread": spread,
    "config_cost": config_cost,
}


def run(step: str = "", output: str = "docs/capacity.json") -> None:
    """Measures and writes the data file after each step.

    Args:
        step: One of `STEPS`; empty for all. Other figures of the file stay.
        output: Data file, relative to the root of the repository.
    """
    file = ROOT / output
    results = json.loads(file.read_text()) if step and file.exists() else {}
    results["commit"] = path.commit_id()
    for name, measure in STEPS.items():
        if step in ("", name):
            print(f"measuring {name}", flush=True)
            measure(results)
            file.write_text(
                json.dumps(results, indent=1, sort_keys=True) + "\n"
            )


if __name__ == "__main__":
    fire.Fire({"run": run})
