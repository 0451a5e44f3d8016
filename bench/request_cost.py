"""CPU time of a request in the hosted processes, by role.

Usage: python -m bench.request_cost [--trees A,B] [--rate N] [--seconds S]
    [--folder DIR]

Starts 3 control processes and 2 entries of each source tree on loopback
addresses, with stand-in upstreams in this process. Programs of turns and tool
calls arrive at a given rate. With several trees, all run at the same time with
the same load, so that their CPU times can be compared on a busy machine.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

import fire

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
_INTERNAL_PORT = 7400
_HEARTBEAT_SECONDS = 1.0
_START_SECONDS = 30.0
_SETTLE_SECONDS = 3.0
_REQUEST_SECONDS = 10.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Response(NamedTuple):
    """A response; status 0 stands for a failed connection."""

    status: int
    body: bytes


class Connection(NamedTuple):
    """A caller's or an upstream's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Returns the first line and the headers with lowercase names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


async def _read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return b""
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


class Caller:
    """Sends requests to one address over connections that are kept open."""

    def __init__(self, address: str) -> None:
        self.host, _, self.port = address.rpartition(":")
        self.idle: list[Connection] = []

    async def ask(
        self, method: str, target: str, headers: dict, body: bytes = b""
    ) -> Response:
        """Sends a request and returns its response."""
        try:
            async with asyncio.timeout(_REQUEST_SECONDS):
                return await self._ask(method, target, headers, body)
        except (OSError, EOFError, TimeoutError, ValueError):
            return Response(0, b"")

    async def _ask(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> Response:
        if self.idle:
            connection = self.idle.pop()
        else:
            opened = await asyncio.open_connection(self.host, int(self.port))
            connection = Connection(*opened)
        fields = {"Host": _HOST, "Content-Length": str(len(body)), **headers}
        lines = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        is_reusable = False
        try:
            connection.writer.write(
                f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body
            )
            first, found = await _read_head(connection.reader)
            content = await _read_body(connection.reader, found)
            is_reusable = found.get("connection") != "close"
        finally:
            if is_reusable:
                self.idle.append(connection)
            else:
                connection.writer.close()
        return Response(int(first.split()[1]), content)


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

    async def register(self, control: Caller) -> Response:
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
                _, headers = await _read_head(reader)
                await _read_body(reader, headers)
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
        self.controls = [self._ip(number) for number in range(1, 4)]
        self.entries: list[Caller] = []
        self.operators = [Caller(f"{ip}:8090") for ip in self.controls]
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
            self.entries.append(Caller(f"{ip}:8080"))
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
            ready = Caller(f"{entry.host}:8081")
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
        """Plays the turns and tool calls of one program."""
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
        settings = {
            "nodeName": name,
            "ip": ip,
            "zone": f"z{name[-1]}",
            "internalPortRange": [_INTERNAL_PORT, _INTERNAL_PORT + 10],
            "seeds": [f"{seed}:{_INTERNAL_PORT}" for seed in self.controls],
            "bootstrap": True,
            "dataDirectory": str(self.folder / name),
            "listen": {"control": f"{ip}:8090"}
            if role == "control"
            else {"front": f"{ip}:8080", "ready": f"{ip}:8081"},
        }
        path = self.folder / f"{name}.toml"
        path.write_text(_toml(settings))
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(
                [str(self.tree / "src"), os.environ.get("PYTHONPATH", "")]
            ),
            "MINTCLEAT_CONFIG": str(path),
        }
        with (self.folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "mintcleat.main.hosted", role],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.processes.setdefault(role, []).append(process)


def _cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _toml(fields: dict[str, Any]) -> str:
    """Returns TOML; tables come after all other fields."""
    lines = []
    for key, value in fields.items():
        if isinstance(value, dict):
            lines.append(f"[{key}]\n{_toml(value)}")
        else:
            lines.append(f"{key} = {json.dumps(value)}\n")
    return "".join(lines)


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


async def _play(systems: list[System], rate: float, seconds: float) -> None:
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
        await _play(systems, rate, 1.0)
        for system in systems:
            system.seconds.clear()
            system.failed = 0
        begun = [system.cpu_seconds() for system in systems]
        await _play(systems, rate, seconds)
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
