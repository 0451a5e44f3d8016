"""A crowd of callers that misbehave, at processes of the product.

    python -m testing.crowd KIND TARGET
    python -m testing.crowd calm

Starts three control instances, an entry and a stand-in service on loopback
addresses, sends what the crowd of that kind sends to the target, and prints
what was seen as JSON. A process of its own, as other tests replace the sockets
of theirs. Only what doesn't depend on the machine's speed is measured.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import itertools
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import client
from testing.soak import operators
from testing.soak import processes
from testing.soak import upstreams

# Limits in the settings of each process, low enough for a small crowd.
MEMORY_MB = 100
DESCRIPTORS = 256
# `maxBodyBytes`, as in the deployments.
BODY_BYTES = 4 * 1024 * 1024
# Callers of a kind that sends bodies, and of one that only opens connections.
CALLERS = 40
CONNECTIONS = 400
# Time for which the crowd sends and stays before the ordinary request, and
# time within which that one must be answered, refusals included.
HOLD_SECONDS = 4.0
ORDINARY_SECONDS = 60.0
_SAMPLE_SECONDS = 0.02
_RETURN_SECONDS = 0.02
_START_SECONDS = 30.0
_FAR_OVER = 64 * BODY_BYTES
_BLOCK = b"x" * 65536
ENTRY, READY, CONTROL, METRICS = "entry", "ready", "control", "metrics"
_PORTS = {
    ENTRY: hosted_processes.FRONT_PORT,
    READY: hosted_processes.READY_PORT,
    CONTROL: hosted_processes.CONTROL_PORT,
    METRICS: 9464,
}


class Found(NamedTuple):
    """What was seen.

    Attributes:
        alive: Whether the process that the crowd called lived until the end.
        held_mb: Most memory that it had, with the bytes that its sockets had
            received and not passed on, in units of 10**6 bytes.
        descriptors: Most descriptors that it had open.
        answered: Status of the ordinary request; 0 for none.
        statuses: Statuses that the crowd got, with their numbers.
    """

    alive: bool
    held_mb: float
    descriptors: int
    answered: int
    statuses: dict[str, int]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _repeat(block: bytes, size: int) -> AsyncIterator[bytes]:
    for _ in range(size // len(block)):
        yield block


async def _chunked_large() -> AsyncIterator[bytes]:
    async for part in _repeat(_chunk(_BLOCK), BODY_BYTES - 65536):
        yield part


async def _one_chunk() -> AsyncIterator[bytes]:
    yield b"%x\r\n" % BODY_BYTES
    async for part in _repeat(_BLOCK, BODY_BYTES - 65536):
        yield part


async def _short() -> AsyncIterator[bytes]:
    async for part in _repeat(_BLOCK, BODY_BYTES - 65536):
        yield part
    yield _BLOCK[:-1]


async def _whole() -> AsyncIterator[bytes]:
    async for part in _repeat(_BLOCK, BODY_BYTES):
        yield part


async def _dripped() -> AsyncIterator[bytes]:
    async for part in _repeat(_BLOCK, BODY_BYTES - 65536):
        yield part
        await asyncio.sleep(0.05)


async def _over_chunked() -> AsyncIterator[bytes]:
    async for part in _repeat(_chunk(_BLOCK), _FAR_OVER):
        yield part


async def _over_one_chunk() -> AsyncIterator[bytes]:
    yield b"%x\r\n" % _FAR_OVER
    async for part in _repeat(_BLOCK, _FAR_OVER):
        yield part


async def _over_announced() -> AsyncIterator[bytes]:
    async for part in _repeat(_BLOCK, _FAR_OVER):
        yield part


async def _tiny_chunks() -> AsyncIterator[bytes]:
    block = (_chunk(b"x") + _chunk(b"yz")) * 5000
    async for part in _repeat(block, 8 * BODY_BYTES):
        yield part


async def _tiny_writes() -> AsyncIterator[bytes]:
    for _ in itertools.repeat(None, 20_000):
        yield _chunk(b"x")
        await asyncio.sleep(0)


async def _nothing() -> AsyncIterator[bytes]:
    if False:
        yield b""


async def _pipelined() -> AsyncIterator[bytes]:
    async for part in _repeat(_BLOCK, BODY_BYTES):
        yield part


_CHUNKED = "Transfer-Encoding: chunked\r\n"
_MANY_FIELDS = "".join(f"a{n:x}:\r\n" for n in range(2000))


class Kind(NamedTuple):
    """What each caller of a crowd sends.

    Attributes:
        fields: Header fields besides those that each request has.
        body: What follows its head.
        is_cut: Whether the head lacks its end.
        callers: Number of callers.
        returns: Whether a caller comes back at once when its connection ends.
    """

    fields: str
    body: Callable[[], AsyncIterator[bytes]]
    is_cut: bool = False
    callers: int = CALLERS
    returns: bool = False


def _length(size: int) -> str:
    return f"Content-Length: {size}\r\n"


KINDS = {
    "chunked_large": Kind(_CHUNKED, _chunked_large),
    "one_chunk": Kind(_CHUNKED, _one_chunk),
    "announced_short": Kind(_length(BODY_BYTES), _short),
    "whole": Kind(_length(BODY_BYTES), _whole),
    "dripped": Kind(_length(BODY_BYTES), _dripped),
    "over_chunked": Kind(_CHUNKED, _over_chunked),
    "over_one_chunk": Kind(_CHUNKED, _over_one_chunk),
    "over_announced": Kind(_length(_FAR_OVER), _over_announced),
    "tiny_chunks": Kind(_CHUNKED, _tiny_chunks),
    "tiny_writes": Kind(_CHUNKED, _tiny_writes),
    "short_heads": Kind("", _nothing, True, CONNECTIONS),
    "silent_connections": Kind("", _nothing, False, CONNECTIONS),
    "many_fields": Kind(_MANY_FIELDS + _length(BODY_BYTES), _short),
    "pipelined": Kind(_length(0), _pipelined),
    "returning": Kind(_CHUNKED, _chunked_large, returns=True),
    "returning_over": Kind(_CHUNKED, _over_chunked, returns=True),
    "returning_tiny": Kind(_CHUNKED, _tiny_chunks, returns=True),
}


class Crowd:
    """Callers that stay until they are told to leave.

    Attributes:
        statuses: Statuses of the responses that came.
    """

    def __init__(self, kind: str, address: str, target: str) -> None:
        self.name = kind
        self.kind = KINDS[kind]
        self.host, _, self.port = address.rpartition(":")
        self.target = target
        self.statuses: dict[str, int] = {}
        self.tasks = [
            asyncio.create_task(self._call(number))
            for number in range(self.kind.callers)
        ]

    def _head(self, number: int) -> bytes:
        if self.name == "silent_connections":
            return b""
        lines = (
            f"POST {self.target} HTTP/1.1\r\nHost: {client.HOST}\r\n"
            f"X-Request-Id: crowd-{number}\r\n"
            "X-Deadline-Milliseconds: 20000\r\n"
            f"Api-Key: {operators.key_of('anna')}\r\n{self.kind.fields}"
        )
        return lines.encode() + (b"" if self.kind.is_cut else b"\r\n")

    async def _call(self, number: int) -> None:
        await self._connect_once(number)
        while self.kind.returns:
            await asyncio.sleep(_RETURN_SECONDS)
            await self._connect_once(number)

    async def _connect_once(self, number: int) -> None:
        """Sends what the kind says; stays until the connection ends."""
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(
                self.host, int(self.port)
            )
            reading = asyncio.create_task(self._read(reader))
            try:
                with contextlib.suppress(OSError):
                    writer.write(self._head(number))
                    async for part in self.kind.body():
                        writer.write(part)
                        await writer.drain()
                await reading
            finally:
                reading.cancel()
                writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError):
            while line := await reader.readline():
                if line.startswith(b"HTTP/1.1 "):
                    status = line.split()[1].decode()
                    self.statuses[status] = self.statuses.get(status, 0) + 1

    async def leave(self) -> None:
        """Closes all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _unread_bytes(address: str) -> int:
    """Returns the bytes that sockets at an address have not passed on."""
    host, _, port = address.rpartition(":")
    octets = bytes(int(part) for part in reversed(host.split(".")))
    local = f"{octets.hex().upper()}:{int(port):04X}"
    total = 0
    with pathlib.Path("/proc/net/tcp").open() as file:
        next(file)
        for line in file:
            fields = line.split()
            # State 0A is a listening socket, whose queue holds connections.
            if fields[1] == local and fields[3] != "0A":
                total += int(fields[4].partition(":")[2], 16)
    return total


class Watch:
    """Measures one process while it lives."""

    def __init__(self, pid: int, address: str) -> None:
        self.folder = pathlib.Path(f"/proc/{pid}")
        self.address = address
        self.held = 0
        self.descriptors = 0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            with contextlib.suppress(OSError, IndexError):
                statm = (self.folder / "statm").read_text()
                resident = int(statm.split()[1]) * page
                unread = _unread_bytes(self.address)
                self.held = max(self.held, resident + unread)
                count = len(os.listdir(self.folder / "fd"))
                self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(_SAMPLE_SECONDS)

    def peak(self) -> int:
        """Returns the peak of the resident memory in bytes."""
        with contextlib.suppress(OSError):
            text = (self.folder / "status").read_text()
            return 1024 * int(text.partition("VmHWM:")[2].split()[0])
        return 0


class Silent:
    """Takes the reports of the stand-in service."""

    def run_began(self, *_: object) -> None:
        """See `upstreams.Observer`."""

    broke_off = crashed = restarted = run_began


def configuration() -> dict[str, Any]:
    """Returns the configuration in force."""
    return {
        **operators.configuration(1),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def until(condition: Callable[[], Coroutine[Any, Any, bool]]) -> None:
    """Waits for a condition.

    Raises:
        TimeoutError: It doesn't become true.
    """
    end = time.monotonic() + _START_SECONDS
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError("The processes did not start.")
        await asyncio.sleep(0.1)


class System:
    """The processes and their stand-in service.

    Args:
        folder: Folder of settings, disks and logs.
        pushed: Configuration in force.
        memory_mb: Memory limit in the settings of each process.
        descriptors: Limit of its file descriptors there.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        pushed: dict[str, Any],
        memory_mb: int,
        descriptors: int,
    ) -> None:
        self.pushed = pushed
        network = processes.free_network()
        self.fleet = processes.Fleet(network, folder, 3, 1, "")
        self.fleet.memory_mb = memory_mb
        self.fleet.descriptors = descriptors
        self.clients = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 5.0
            )
            for node in self.fleet.controls
        ]
        self.service = upstreams.Upstream(
            "desk-1", "desk", Silent(), self.clients
        )
        self.numbers = itertools.count()

    async def start(self) -> None:
        """Starts everything; returns once a request is served."""
        await self.fleet.start()
        body = json.dumps(self.pushed).encode()

        async def is_pushed() -> bool:
            answer = await self.clients[0].ask(
                "POST", "/v1/Configuration.Put", {}, body
            )
            return answer.status == 200

        async def is_served() -> bool:
            return await self.ask() == 200

        await until(is_pushed)
        await self.service.start()
        await until(is_served)

    async def ask(self) -> int:
        """Sends an ordinary request to the entry; returns its status."""
        entry = self.fleet.entries[0]
        caller = hosted_processes.Caller(entry.address, client.HOST, 20.0)
        fields = {
            "X-Request-Id": f"ordinary-{next(self.numbers)}",
            "X-Deadline-Milliseconds": "10000",
            "Api-Key": operators.key_of("berta"),
        }
        answer = await caller.ask("POST", "/safe/x", fields, b"ordinary")
        caller.close_idle()
        return answer.status

    async def ask_in_limits(self, block: bytes, blocks: int) -> int:
        """Sends one request whose body comes in these chunks, in calm."""
        entry = self.fleet.entries[0]
        host, _, port = entry.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /safe/x HTTP/1.1\r\nHost: {client.HOST}\r\n"
            f"X-Request-Id: large-{next(self.numbers)}\r\n"
            "X-Deadline-Milliseconds: 20000\r\n"
            f"Api-Key: {operators.key_of('anna')}\r\n{_CHUNKED}\r\n".encode()
        )
        for _ in range(blocks):
            writer.write(block)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        first, _ = await hosted_processes.read_head(reader)
        writer.transport.abort()
        return int(first.split()[1])

    async def ask_control(self) -> int:
        """Reads the configuration at the first control; returns the status."""
        node = self.fleet.controls[0]
        caller = hosted_processes.Caller(
            f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 5.0
        )
        answer = await caller.ask("GET", "/v1/Configuration.Get", {})
        caller.close_idle()
        return answer.status

    async def ordinary(self, target: str = ENTRY) -> int:
        """Sends an ordinary request until it is served, or for too long."""
        until = time.monotonic() + ORDINARY_SECONDS
        status = 0
        while status != 200 and time.monotonic() < until:
            ask = self.ask_control if target == CONTROL else self.ask
            status = await ask()
            if status != 200:
                await asyncio.sleep(0.5)
        return status


async def run(kind: str, target: str, folder: pathlib.Path) -> Found:
    """Plays one kind of crowd at a target; returns what was seen."""
    system = System(folder, configuration(), MEMORY_MB, DESCRIPTORS)
    try:
        await system.start()
        fleet = system.fleet
        node = fleet.controls[0] if target == CONTROL else fleet.entries[0]
        address = f"{node.ip}:{_PORTS[target]}"
        process = node.process
        watch = Watch(process.pid, address)
        watching = asyncio.create_task(watch.run())
        path = "/safe/x"
        if target == CONTROL:
            path = "/v1/Instances.Heartbeat/crowd"
        crowd = Crowd(kind, address, path)
        await asyncio.sleep(HOLD_SECONDS)
        answered = await system.ordinary(target)
        held = max(watch.held, watch.peak())
        alive = process.poll() is None
        await crowd.leave()
        watching.cancel()
        return Found(
            alive,
            round(held / 1e6, 1),
            watch.descriptors,
            answered,
            crowd.statuses,
        )
    finally:
        await system.fleet.stop()


async def run_in_limits(folder: pathlib.Path) -> dict[str, int]:
    """Returns the statuses of single requests inside the limits, in calm."""
    system = System(folder, configuration(), MEMORY_MB, DESCRIPTORS)
    try:
        await system.start()
        return {
            "large": await system.ask_in_limits(
                _chunk(_BLOCK), BODY_BYTES // len(_BLOCK)
            ),
            "tiny": await system.ask_in_limits(
                (_chunk(b"x") + _chunk(b"yz")) * 1000, 20
            ),
            "one": await system.ask_in_limits(
                _chunk(_BLOCK * (BODY_BYTES // len(_BLOCK))), 1
            ),
        }
    finally:
        await system.fleet.stop()


def main() -> None:
    """Plays the kind of crowd that the command line names, or `calm`."""
    kind, *targets = sys.argv[1:]
    with tempfile.TemporaryDirectory(prefix="crowd-") as name:
        folder = pathlib.Path(name)
        if kind == "calm":
            print(json.dumps(asyncio.run(run_in_limits(folder))))
            return
        found = asyncio.run(run(kind, targets[0], folder))
    print(json.dumps(found._asdict()))


if __name__ == "__main__":
    main()
