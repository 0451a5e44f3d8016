"""CPU time of a request in the hosted processes, by role.

Usage: python -m bench.request_cost [--trees A,B] [--rate N] [--seconds S]
    [--idle S] [--folder DIR]

Starts 3 control processes and 2 entries of each source tree on loopback
addresses, with stand-in upstreams in this process. Programs of turns and tool
calls arrive at a given rate. With several trees, all run at the same time with
the same load, so that their CPU times can be compared on a busy machine.
"""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import fire

from bench import hosted_processes

ROOT = pathlib.Path(__file__).parent.parent
_HOST = "callers.example"
_CONTROLS = 3
_ENTRIES = 2
_CUSTOMERS = 8
# A program: turns, with tool calls after each turn but the last.
_TURNS = 3
_CALLS_PER_TURN = 2
_PROGRAM_REQUESTS = _TURNS + _CALLS_PER_TURN * (_TURNS - 1)
_EVENTS_PER_TURN = 8
_EVENT_SECONDS = 0.005
_HEARTBEAT_SECONDS = 1.0
_START_SECONDS = 30.0
# Wait after the entries are ready, so that no work of the start is measured.
_SETTLE_SECONDS = 3.0


class Upstream:
    """A stand-in engine or plain service that registers itself."""

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.sequence = 0
        self.address = ""

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def register(
        self, control: hosted_processes.Caller
    ) -> hosted_processes.Response:
        """Sends one heartbeat to control."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        path = f"/v1/Instances.Heartbeat/{self.name}"
        return await control.ask("POST", path, {}, json.dumps(body).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A server's connections are cancelled when this program ends.
        ended = (OSError, EOFError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                _, headers = await hosted_processes.read_head(reader)
                await hosted_processes.read_body(reader, headers)
                await self._answer(headers, writer)

    async def _answer(
        self, headers: dict, writer: asyncio.StreamWriter
    ) -> None:
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {headers['x-request-id']}\r\n"
            f"X-Response-Signature: {self.name}\r\n"
        )
        if self.service == "desk":
            writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
            await writer.drain()
            return
        writer.write(
            f"{head}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, _EVENTS_PER_TURN + 1):
            await asyncio.sleep(_EVENT_SECONDS)
            event = f"id: {number}\ndata: piece-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class System:
    """The hosted processes of one source tree and their upstreams.

    Attributes:
        processes: By role.
        seconds: Durations of the requests that succeeded, by target.
        failed: Number of the others.
    """

    def __init__(
        self, tree: pathlib.Path, network: str, folder: str | None
    ) -> None:
        self.tree = tree
        self.network = network
        self.folder = pathlib.Path(
            tempfile.mkdtemp(prefix="request-cost-", dir=folder)
        )
        self.processes: dict[str, list[subprocess.Popen]] = {}
        self.controls = [self._ip(number) for number in range(1, _CONTROLS + 1)]
        self.entries: list[hosted_processes.Caller] = []
        self.operators = [
            hosted_processes.Caller(f"{ip}:8090", _HOST) for ip in self.controls
        ]
        self.seconds: dict[str, list[float]] = {}
        self.failed = 0
        self.upstreams = [
            Upstream(f"{service}-{number}", service)
            for service in ("lm", "desk")
            for number in (1, 2)
        ]

    async def start(self) -> None:
        """Starts everything and returns once all entries are ready."""
        for number, ip in enumerate(self.controls):
            self._start_process("control", f"control-{number}", ip)
        for number in range(_ENTRIES):
            ip = self._ip(100 + number)
            self._start_process("entry", f"entry-{number}", ip)
            self.entries.append(hosted_processes.Caller(f"{ip}:8080", _HOST))
        for upstream in self.upstreams:
            await upstream.start()
        body = json.dumps(_configuration()).encode()
        await self._until_done(
            lambda: self.operators[0].ask(
                "POST", "/v1/Configuration.Put", {}, body
            )
        )
        self.registrations = asyncio.create_task(self._register_forever())
        for entry in self.entries:
            ready = hosted_processes.Caller(f"{entry.host}:8081", _HOST)
            await self._until_done(lambda r=ready: r.ask("GET", "/", {}))
        await asyncio.sleep(_SETTLE_SECONDS)

    def stop(self) -> None:
        """Ends the processes and deletes their files."""
        for process in itertools.chain(*self.processes.values()):
            process.kill()
            process.wait()
        shutil.rmtree(self.folder)

    def cpu_seconds(self) -> dict[str, float]:
        """Returns the CPU time so far, by role."""
        return {
            role: sum(_cpu_seconds(process.pid) for process in processes)
            for role, processes in self.processes.items()
        }

    async def run_program(self, name: str) -> None:
        """Sends the turns and tool calls of one program."""
        generator = random.Random(name)
        key = f"key-{generator.randrange(_CUSTOMERS)}"
        previous = ""
        for turn in range(_TURNS):
            request = f"{name}-t{turn}"
            headers = {
                "X-Program-Id": name,
                "X-Token-Counts": "200,64",
                "X-Token-Budget": "100000",
                "X-Prompt-Prefix": f"{name}:200",
                "X-Model": "m",
            }
            if previous:
                headers["X-Previous-Turn"] = previous
            await self._request(generator, "/turns/a", request, key, headers)
            previous = request
            if turn == _TURNS - 1:
                return
            for call in range(_CALLS_PER_TURN):
                request = f"{name}-t{turn}-c{call}"
                program = {"X-Program-Id": name}
                await self._request(generator, "/tool/a", request, key, program)

    async def _request(
        self,
        generator: random.Random,
        target: str,
        request: str,
        key: str,
        headers: dict,
    ) -> None:
        entry = generator.choice(self.entries)
        fields = {
            "X-Request-Id": request,
            "X-Deadline-Milliseconds": "5000",
            "Api-Key": key,
            **headers,
        }
        start = time.monotonic()
        answer = await entry.ask("POST", target, fields, b"x" * 200)
        if answer.status == 200:
            took = time.monotonic() - start
            self.seconds.setdefault(target, []).append(took)
        else:
            self.failed += 1

    async def _register_forever(self) -> None:
        while True:
            for upstream in self.upstreams:
                for operator in self.operators:
                    answer = await upstream.register(operator)
                    if answer.status == 200:
                        break
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _until_done(self, ask: Any) -> None:
        until = time.monotonic() + _START_SECONDS
        while (answer := await ask()).status != 200:
            if time.monotonic() > until:
                raise RuntimeError(f"{self.tree} did not start: {answer}")
            await asyncio.sleep(0.1)

    def _ip(self, number: int) -> str:
        return f"{self.network}.{number}"

    def _start_process(self, role: str, name: str, ip: str) -> None:
        settings = hosted_processes.settings(
            role, name, ip, self.controls, self.folder
        )
        path = self.folder / f"{name}.toml"
        path.write_text(hosted_processes.toml(settings))
        environment = hosted_processes.environment(self.tree, path)
        with (self.folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "mintcleat.main.hosted", role],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.processes.setdefault(role, []).append(process)


def _cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process's living threads.

    /proc/PID/stat counts in steps of 10 ms, too coarse for idle processes.
    """
    paths = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in paths) / 1e9


def _configuration() -> dict[str, Any]:
    common = {
        "host": _HOST,
        "timeoutMs": 5000,
        "priority": 0,
        "attempts": 2,
    }
    return {
        "version": 1,
        "routes": [
            {
                **common,
                "name": "turns",
                "pathPrefix": "/turns/",
                "kind": "stream",
                "service": "lm",
                "retainContext": True,
                "retentionS": 60.0,
            },
            {
                **common,
                "name": "tool",
                "pathPrefix": "/tool/",
                "kind": "unsafe",
                "service": "desk",
            },
        ],
        "services": [
            {"name": "desk", "maxConnections": 64},
            {
                "name": "lm",
                "maxConnections": 64,
                "engine": {"stride": 1, "models": [{"name": "m"}]},
            },
        ],
        "tenants": [
            {
                "name": f"customer-{number}",
                "apiKeys": [f"key-{number}"],
                "ratePerS": 1000,
                "burst": 1000,
            }
            for number in range(_CUSTOMERS)
        ],
        "limits": {},
    }


async def _run_programs(
    systems: list[System], rate: float, seconds: float
) -> None:
    """Starts programs at a steady rate in all systems; waits for their end."""
    interval = _PROGRAM_REQUESTS / rate
    count = max(1, round(seconds / interval))
    label = random.randrange(10**9)
    start = time.monotonic()
    programs = []
    for number in range(count):
        await asyncio.sleep(start + number * interval - time.monotonic())
        programs.extend(
            asyncio.create_task(system.run_program(f"p{label}-{number}"))
            for system in systems
        )
    await asyncio.gather(*programs)


def _used(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    used = {role: after[role] - before[role] for role in after}
    return {**used, "all": sum(used.values())}


async def _measure(
    trees: list[pathlib.Path],
    rate: float,
    seconds: float,
    idle: float,
    folder: str | None,
) -> None:
    # The second byte differs between runs, so that several can run at a time.
    base = random.randrange(20, 250)
    systems = [
        System(tree, f"127.{base}.{number}", folder)
        for number, tree in enumerate(trees)
    ]
    try:
        await asyncio.gather(*(system.start() for system in systems))
        started = [system.cpu_seconds() for system in systems]
        await asyncio.sleep(idle)
        rested = [system.cpu_seconds() for system in systems]
        await _run_programs(systems, rate, 1.0)
        for system in systems:
            system.seconds.clear()
            system.failed = 0
        begun = [system.cpu_seconds() for system in systems]
        await _run_programs(systems, rate, seconds)
        ended = [system.cpu_seconds() for system in systems]
    finally:
        for system in systems:
            system.stop()
    for number, system in enumerate(systems):
        _print_load(system)
        resting = _used(started[number], rested[number])
        busy = _used(begun[number], ended[number])
        total = system.failed + sum(map(len, system.seconds.values()))
        starts = {**started[number], "all": sum(started[number].values())}
        for role, spent in busy.items():
            print(
                f"  {role:8} start {starts[role]:5.2f} s"
                f"  request {1000 * spent / total:6.2f} ms"
                f"  idle second {1000 * resting[role] / idle:6.1f} ms"
            )


def _print_load(system: System) -> None:
    print(f"{system.tree}: {system.failed} requests failed")
    for target, seconds in sorted(system.seconds.items()):
        print(
            f"  {target:10} {len(seconds):5} requests"
            f"  median {1000 * statistics.median(seconds):6.1f} ms"
            f"  90% {1000 * statistics.quantiles(seconds, n=10)[-1]:6.1f} ms"
        )


def main(
    trees: str = str(ROOT),
    rate: float = 80.0,
    seconds: float = 15.0,
    idle: float = 5.0,
    folder: str | None = None,
) -> None:
    """Measures and prints the CPU time of requests.

    Args:
        trees: Roots of source trees, separated by commas.
        rate: Requests per second, of each tree.
        seconds: Duration of the load.
        idle: Duration of the measurement without load, in seconds.
        folder: Parent of the data folders. In one that is kept in memory,
            other users of the disk don't influence the batches of commits.
    """
    names = trees if isinstance(trees, (list, tuple)) else trees.split(",")
    paths = [pathlib.Path(name).resolve() for name in names]
    asyncio.run(_measure(paths, rate, seconds, idle, folder))


if __name__ == "__main__":
    fire.Fire(main)
