"""Measures the latency that the whole path adds to a call of an engine.

The same load runs on four routes: directly to a stand-in engine, through the
naive proxy, and through mintcleat, with stateless calls and with turns of
programs, each of which is a durable commit. Mintcleat runs as three control
instances with disks, one entry and two engines with sidecars.

Usage: python -m bench.path [--calls N] [--output FILE]
"""

import json
import pathlib
import subprocess
import time
from typing import Any

import eventlet
import fire
from hdrh import histogram
import urllib3

ROOT = pathlib.Path(__file__).parent.parent

from bench import processes
from bench import rig

_MAX_MICROSECONDS = 600_000_000
BODY = {
    "model": "triage",
    "max_tokens": 8,
    "messages": [{"role": "user", "content": "combine stops in the field"}],
}


class Route:
    """One route to an engine.

    Attributes:
        program: Whether calls are turns of programs.
        body: Request body of a call, without its messages.
    """

    def __init__(self, name: str, address: str, program: bool) -> None:
        self.name = name
        self.address = address
        self.program = program
        self.body = BODY
        self.pool = urllib3.PoolManager(maxsize=512, retries=False)

    def call(self, program: str, turn: int) -> None:
        """Runs one call.

        Raises:
            RuntimeError: The call failed.
        """
        headers = {"Content-Type": "application/json"}
        # Messages differ by turn, since repeated ones reach the loop limit,
        # which ends the program.
        message = {"role": "user", "content": f"combine stops, part {turn}"}
        body = {**self.body, "messages": [message]}
        if self.program:
            headers["Mintcleat-Program"] = program
            headers["Mintcleat-Turn"] = str(turn)
        try:
            reply = self.pool.request(
                "POST",
                f"http://{self.address}/v1/chat/completions",
                body=json.dumps(body),
                headers=headers,
                timeout=60.0,
            )
        except urllib3.exceptions.HTTPError as error:
            raise RuntimeError(f"{self.name}: a call failed: {error}") from None
        if reply.status != 200:
            raise RuntimeError(f"{self.name}: {reply.status} {reply.data!r}")

    def create(self) -> str:
        """Returns the id of a new program, empty on a route without them."""
        if not self.program:
            return ""
        reply = self.pool.request(
            "POST",
            f"http://{self.address}/v1/programs",
            body=b'{"agent": "triage"}',
            timeout=60.0,
        )
        if reply.status != 201:
            raise RuntimeError(f"{self.name}: {reply.status} {reply.data!r}")
        return reply.json()["id"]


def measure(route: Route, callers: int, calls: int) -> dict[str, float]:
    """Runs about `calls` calls from concurrent callers.

    Returns:
        Latencies `p50` and `p99` in milliseconds, and calls per second.
    """
    times = histogram.HdrHistogram(1, _MAX_MICROSECONDS, 3)
    calls_per_caller = max(1, calls // callers)

    def caller() -> None:
        program = route.create()
        for turn in range(1, calls_per_caller + 1):
            # Programs have ten turns, like short conversations.
            position = (turn - 1) % 10 + 1
            if position == 1 and turn > 1:
                program = route.create()
            started = time.perf_counter()
            route.call(program, position)
            taken = time.perf_counter() - started
            times.record_value(max(1, int(taken * 1e6)))

    started = time.perf_counter()
    threads = [eventlet.spawn(caller) for _ in range(callers)]
    for thread in threads:
        thread.wait()
    seconds = time.perf_counter() - started
    return {
        "p50": times.get_value_at_percentile(50) / 1000,
        "p99": times.get_value_at_percentile(99) / 1000,
        "rate": callers * calls_per_caller / seconds,
    }


def run(calls: int = 2000, controls: int = 3, output: str = "") -> None:
    """Prints the table.

    Args:
        calls: Calls on each route at each number of callers.
        controls: Control instances.
        output: JSON file for the figures; empty for none.
    """
    system = rig.system(controls=controls)
    naive = processes.Process(
        "naive",
        ["-W", "ignore", "bench/naive_proxy.py", "127.0.0.1:0"]
        + [
            system.processes[name].addresses["http"]
            for name in ("engine-0", "engine-1")
        ],
    )
    try:
        figures = _measure_all(system, naive, calls)
    finally:
        naive.stop()
        system.stop()
    _print(figures)
    if output:
        pathlib.Path(output).write_text(json.dumps(figures, indent=2) + "\n")


def _measure_all(
    system: processes.System, naive: processes.Process, calls: int
) -> dict[str, Any]:
    engine = system.processes["engine-0"].addresses["http"]
    routes = [
        Route("direct", engine, program=False),
        Route("naive", naive.addresses["http"], program=False),
        Route("stateless", system.http()[0], program=False),
        Route("program", system.http()[0], program=True),
    ]
    entry = system.processes["entry-0"]
    figures: dict[str, Any] = {"commit": commit_id()}
    for callers in (1, 16, 256):
        for route in routes:
            measure(route, callers, max(callers, calls // 10))
            before = entry.usage().cpu
            row = measure(route, callers, calls)
            cpu_seconds = entry.usage().cpu - before
            call_count = max(1, calls // callers) * callers
            if route.name in ("stateless", "program") and cpu_seconds:
                row["calls_per_entry_core"] = call_count / cpu_seconds
            figures[f"{route.name}/{callers}"] = row
    return figures


def _print(figures: dict[str, Any]) -> None:
    print(
        f"{'way':12} {'callers':>7} {'p50 ms':>9} {'p99 ms':>9} "
        f"{'calls/s':>9} {'p50/direct':>10} {'calls/entry core':>17}"
    )
    for name, row in figures.items():
        if name == "commit":
            continue
        route, _, callers = name.partition("/")
        direct = figures[f"direct/{callers}"]["p50"]
        per_cpu = row.get("calls_per_entry_core")
        print(
            f"{route:12} {callers:>7} {row['p50']:9.2f} {row['p99']:9.2f} "
            f"{row['rate']:9.0f} {row['p50'] / direct:10.2f} "
            f"{(per_cpu and f'{per_cpu:17.0f}') or ''}"
        )


def commit_id() -> str:
    """Returns the short id of the checked-out commit."""
    return subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    ).stdout.strip()


if __name__ == "__main__":
    fire.Fire(run)
