"""Added latency of the whole path over calling the stand-in directly.

Three ways in one run, each in processes of its own: straight to the stand-in
engine, through the naive proxy, and through mintcleat (three control
instances with disks, one entry, two sidecars; a durable commit per turn).

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


class Way:
    """One way to reach the engine and what was measured on it."""

    def __init__(self, name: str, address: str, program: bool) -> None:
        self.name = name
        self.address = address
        self.program = program
        self.body = BODY
        self.pool = urllib3.PoolManager(maxsize=512, retries=False)

    def call(self, program: str, turn: int) -> None:
        """Runs one call and checks that its answer is whole."""
        headers = {"Content-Type": "application/json"}
        # Each turn says something else, or the loop limit ends the program.
        said = {"role": "user", "content": f"combine stops, part {turn}"}
        body = {**self.body, "messages": [said]}
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
            raise RuntimeError(f"{self.name} lost a call: {error}") from None
        if reply.status != 200:
            raise RuntimeError(f"{self.name}: {reply.status} {reply.data!r}")

    def create(self) -> str:
        """Returns the id of a new program, where there are programs."""
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


def measure(way: Way, callers: int, calls: int) -> dict[str, float]:
    """Runs `calls` calls from `callers` callers; times in milliseconds."""
    times = histogram.HdrHistogram(1, _MAX_MICROSECONDS, 3)
    share = max(1, calls // callers)

    def caller() -> None:
        program = way.create()
        for turn in range(1, share + 1):
            # Programs of ten turns, as short conversations are.
            position = (turn - 1) % 10 + 1
            if position == 1 and turn > 1:
                program = way.create()
            started = time.perf_counter()
            way.call(program, position)
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
        "rate": callers * share / seconds,
    }


def run(calls: int = 2000, controls: int = 3, output: str = "") -> None:
    """Prints the table; `output` names a JSON file for the figures."""
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
    ways = [
        Way("direct", engine, program=False),
        Way("naive", naive.addresses["http"], program=False),
        Way("stateless", system.http()[0], program=False),
        Way("program", system.http()[0], program=True),
    ]
    entry = system.processes["entry-0"]
    figures: dict[str, Any] = {"commit": commit()}
    for callers in (1, 16, 256):
        for way in ways:
            measure(way, callers, max(callers, calls // 10))
            before = entry.usage().cpu
            found = measure(way, callers, calls)
            used = entry.usage().cpu - before
            done = max(1, calls // callers) * callers
            if way.name in ("stateless", "program") and used:
                found["calls_per_entry_core"] = done / used
            figures[f"{way.name}/{callers}"] = found
    return figures


def _print(figures: dict[str, Any]) -> None:
    print(
        f"{'way':12} {'callers':>7} {'p50 ms':>9} {'p99 ms':>9} "
        f"{'calls/s':>9} {'p50/direct':>10} {'calls/entry core':>17}"
    )
    for name, found in figures.items():
        if name == "commit":
            continue
        way, _, callers = name.partition("/")
        direct = figures[f"direct/{callers}"]["p50"]
        core = found.get("calls_per_entry_core")
        print(
            f"{way:12} {callers:>7} {found['p50']:9.2f} {found['p99']:9.2f} "
            f"{found['rate']:9.0f} {found['p50'] / direct:10.2f} "
            f"{(core and f'{core:17.0f}') or ''}"
        )


def commit() -> str:
    """Returns the short id of the commit that is measured."""
    return subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    ).stdout.strip()


if __name__ == "__main__":
    fire.Fire(run)
