"""Upstreams that send bytes without end, to many requests at once.

    python -m testing.endless_crowd GROUP [KIND ...]

Starts three control instances, an entry, a sound service and for each kind of
the group a faulty one, sends requests to the faulty one from callers of which
half read nothing, and prints for each kind what was seen as a line of JSON. A
process of its own, as other tests replace the sockets of theirs. Only what
doesn't depend on the machine's speed is measured.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
from typing import Any
from typing import NamedTuple

from testing import crowd
from testing.soak import client
from testing.soak import operators
from testing.soak import processes

# Limits in the settings of each process.
MEMORY_MB = 150
DESCRIPTORS = 512
# Requests of one kind at once, and the size of their bodies.
CALLERS = 60
BODY_BYTES = 20_000
# Receive buffer of a caller that reads nothing.
_MUTE_BUFFER_BYTES = 4096
# Time for which the callers of one kind stay before the ordinary request, which
# must be served beside them.
HOLD_SECONDS = 4.0
_SAMPLE_SECONDS = 0.02
# Time within which the entry knows an upstream that control has registered.
_KNOWN_SECONDS = 1.0
# Longer than the ordinary request is tried, so that no end of the crowd's
# requests makes room for it.
_TIMEOUT_MS = 120_000
# Upstreams of each faulty service, so that requests are sent again.
_UPSTREAMS = 2
_SLOTS = 1000
_LISTENING = "0A"

PLAIN = ("safe", "unsafe")
STREAMS = ("stream", "resume", "turn")
_HEAD = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
_EVENTS = f"{_HEAD}Content-Type: text/event-stream\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_KIB = "x" * 1024


class Kind(NamedTuple):
    """What a faulty service sends.

    Attributes:
        parts: See `fakes.faulty_upstream`.
        routes: Routes of the requests.
    """

    parts: list[tuple[str, int]]
    routes: tuple[str, ...] = (*PLAIN, *STREAMS)


def _endless(
    begin: str, repeated: str, routes: tuple[str, ...] = (*PLAIN, *STREAMS)
) -> Kind:
    parts = [(begin, 1)] if begin else []
    return Kind([*parts, (repeated, 0)], routes)


def _event(size: int) -> list[tuple[str, int]]:
    """Returns the parts of an event of at least that size."""
    return [("data: ", 1), (_KIB, size // 1024), ("\n\n", 1)]


# No part of an answer, or parts of one that are too long.
GARBAGE = {
    "no protocol": _endless("", "x"),
    "line of a head": _endless(_HEAD + "X-A: ", "a"),
    "fields of a head": _endless(_HEAD, "X-A: aaaaaaaaaaaaaaaa\r\n"),
    "informational": _endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "size of a chunk": _endless(f"{_HEAD}{_CHUNKED}\r\n", "0"),
    "chunk extension": _endless(f"{_HEAD}{_CHUNKED}\r\n1;", "a"),
    "trailers": _endless(f"{_HEAD}{_CHUNKED}\r\n0\r\n", "X-A: aaa\r\n"),
    "answers to others": _endless(
        "", f"{_HEAD}X-Request-Id: other\r\nContent-Length: 9\r\n\r\nabcdefghi"
    ),
    "refusal": _endless("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n\r\n", "busy"),
}
BODIES = {
    "until the close": _endless(f"{_HEAD}\r\n", "abcde"),
    "length": _endless(f"{_HEAD}Content-Length: {2**62}\r\n\r\n", "abcde"),
    "small chunks": _endless(f"{_HEAD}{_CHUNKED}\r\n", "1\r\na\r\n"),
    "one chunk": _endless(f"{_HEAD}{_CHUNKED}\r\nffffffffffff\r\n", "a"),
    "error": _endless("HTTP/1.1 500 No\r\n\r\n", "abcde"),
}
EVENTS = {
    "events": _endless(f"{_EVENTS}\r\n", "data: ab\n\n", STREAMS),
    "empty data": _endless(f"{_EVENTS}\r\n", "id: 1\n\n", STREAMS),
    "events in chunks": _endless(
        f"{_EVENTS}{_CHUNKED}\r\n", "a\r\ndata: ab\n\n\r\n", STREAMS
    ),
    "comments": _endless(f"{_EVENTS}\r\n", ":\n\n", STREAMS),
    "large events": Kind(
        [(f"{_EVENTS}\r\n", 1), (f"data: {_KIB * 48}\n\n", 0)], STREAMS
    ),
    "one event": _endless(f"{_EVENTS}\r\ndata: ", "a", STREAMS),
    "lines of an event": _endless(f"{_EVENTS}\r\n", "data: a\n", STREAMS),
}
# Just below the bound of each single part, and then silence.
BELOW_BOUNDS = {
    "head": Kind([(_HEAD + "X-A: ", 1), (_KIB, 62)]),
    "trailers": Kind(
        [(f"{_HEAD}{_CHUNKED}\r\n0\r\nX-A: ", 1), (_KIB, 15)],
    ),
    "plain answer": Kind(
        [(f"{_HEAD}Content-Length: {2**20 - 1}\r\n\r\n", 1), (_KIB, 1023)],
        PLAIN,
    ),
    "event": Kind([(f"{_EVENTS}\r\n", 1), *_event(2**20 - 2048)[:2]], STREAMS),
    "events of turns": Kind(
        [(f"{_EVENTS}\r\n", 1), *(4 * _event(2**20 - 2048))], ("turn",)
    ),
    "small events of turns": Kind(
        [(f"{_EVENTS}\r\n", 1), ("data: ab\n\n", 300_000)], ("turn",)
    ),
}
GROUPS = {
    "garbage": GARBAGE,
    "bodies": BODIES,
    "events": EVENTS,
    "below_bounds": BELOW_BOUNDS,
}


class Found(NamedTuple):
    """What was seen with one kind.

    Attributes:
        kind: Name of the kind.
        alive: Whether the entry's process lived until the end.
        held_mb: Most memory that it had, with the bytes that its sockets had
            received and not passed on, in units of 10**6 bytes.
        unread_mb: Most of those bytes.
        descriptors: Most descriptors that it had open.
        beside: Status of the ordinary request while the callers stay; 0 for
            none.
        answered: Status of one after that; 0 for none.
        statuses: Statuses that the callers got, with their numbers.
    """

    kind: str
    alive: bool
    held_mb: float
    unread_mb: float
    descriptors: int
    beside: int
    answered: int
    statuses: dict[str, int]


class Watch:
    """Measures one process while it lives."""

    def __init__(self, pid: int) -> None:
        self.folder = pathlib.Path(f"/proc/{pid}")
        self.held = 0
        self.unread = 0
        self.descriptors = 0

    def reset(self) -> None:
        """Begins a new measurement."""
        self.held = self.unread = self.descriptors = 0
        with contextlib.suppress(OSError):
            # Resets the peak of the resident memory.
            (self.folder / "clear_refs").write_text("5")

    async def run(self) -> None:
        """Measures until it is cancelled."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            with contextlib.suppress(OSError, IndexError):
                statm = (self.folder / "statm").read_text()
                unread, descriptors = self._descriptors()
                resident = int(statm.split()[1]) * page
                self.held = max(self.held, resident + unread, self._peak())
                self.unread = max(self.unread, unread)
                self.descriptors = max(self.descriptors, descriptors)
            await asyncio.sleep(_SAMPLE_SECONDS)

    def _peak(self) -> int:
        """Returns the peak of the resident memory in bytes."""
        text = (self.folder / "status").read_text()
        return 1024 * int(text.partition("VmHWM:")[2].split()[0])

    def _descriptors(self) -> tuple[int, int]:
        """Returns the bytes that sockets hold unread, and the descriptors."""
        sockets = set()
        descriptors = 0
        for path in (self.folder / "fd").iterdir():
            descriptors += 1
            with contextlib.suppress(OSError):
                target = str(path.readlink())
                if target.startswith("socket:["):
                    sockets.add(target[8:-1])
        unread = 0
        with pathlib.Path("/proc/net/tcp").open() as file:
            next(file)
            for line in file:
                fields = line.split()
                # The queue of a listening socket holds connections.
                if fields[9] in sockets and fields[3] != _LISTENING:
                    unread += int(fields[4].partition(":")[2], 16)
        return unread, descriptors


class Caller:
    """Sends one request and reads its response, or nothing of it."""

    def __init__(self, address: str, data: bytes, reads: bool) -> None:
        self.address = address
        self.data = data
        self.reads = reads
        self.status = ""

    async def run(self) -> None:
        """Stays until it is cancelled."""
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if not self.reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _MUTE_BUFFER_BYTES
            )
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, self.data)
            while self.reads and (data := await loop.sock_recv(sock, 65536)):
                if not self.status:
                    self.status = data.split()[1].decode()
            await asyncio.Event().wait()
        except (OSError, IndexError):
            return
        finally:
            sock.close()


def configuration() -> dict[str, Any]:
    """Returns the configuration in force."""
    found = operators.configuration(1)
    engine = {"stride": 1, "models": [{"name": "m"}]}
    routes = {
        "safe": {"kind": "safe", "service": "faulty"},
        "unsafe": {"kind": "unsafe", "service": "faulty"},
        "stream": {"kind": "stream", "service": "faulty-lm"},
        "resume": {
            "kind": "stream",
            "service": "faulty-lm",
            "resumable": True,
        },
        "turn": {
            "kind": "stream",
            "service": "faulty-lm",
            "retainContext": True,
            "retentionS": 60.0,
        },
    }
    return {
        **found,
        "routes": [
            *found["routes"],
            *(
                {
                    "host": client.HOST,
                    "timeoutMs": _TIMEOUT_MS,
                    "targetLatencyMs": 2000,
                    "targetGapMs": 2000,
                    "priority": 0,
                    "attempts": operators.SAFE_ATTEMPTS,
                    "name": f"faulty-{name}",
                    "pathPrefix": f"/faulty-{name}/",
                    **fields,
                }
                for name, fields in routes.items()
            ),
        ],
        "services": [
            *found["services"],
            {"name": "faulty", "maxConnections": _SLOTS},
            {"name": "faulty-lm", "maxConnections": _SLOTS, "engine": engine},
        ],
        "limits": {"maxBodyBytes": 4 * 1024 * 1024},
    }


class System(crowd.System):
    """The processes and their sound service."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder, configuration(), MEMORY_MB, DESCRIPTORS)

    @property
    def entry(self) -> processes.Node:
        """The entry."""
        return self.fleet.entries[0]

    async def control(self, target: str, fields: dict[str, Any]) -> None:
        """Sends an upstream's message to a control until one accepts it."""
        body = json.dumps(fields).encode()
        controls = itertools.cycle(self.clients)

        async def is_accepted() -> bool:
            answer = await next(controls).ask("POST", target, {}, body)
            return answer.status == 200

        await crowd.until(is_accepted)

    def request(self, kind: str, route: str) -> bytes:
        """Returns the bytes of a request to the faulty service."""
        number = next(self.numbers)
        fields = {
            "Host": client.HOST,
            "Content-Length": str(BODY_BYTES),
            "X-Request-Id": f"faulty-{number}",
            "X-Deadline-Milliseconds": str(_TIMEOUT_MS),
            "Api-Key": operators.key_of("anna"),
        }
        if route in STREAMS:
            fields |= {"X-Model": "m", "X-Token-Counts": "50,10000000"}
        if route == "turn":
            fields |= {
                "X-Program-Id": f"program-{number}",
                "X-Token-Budget": "1000000000",
            }
        lines = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        target = f"/faulty-{route}/{kind.replace(' ', '-')}"
        head = f"POST {target} HTTP/1.1\r\n{lines}\r\n"
        return head.encode() + b"x" * BODY_BYTES


class FaultyProcess:
    """A process with the upstreams of the faulty services."""

    def __init__(self, system: System, name: str, kind: Kind) -> None:
        self.system = system
        path = pathlib.Path(__file__).parent / "fakes" / "faulty_upstream.py"
        count = str(2 * _UPSTREAMS)
        self.process = subprocess.Popen(
            [sys.executable, str(path), count, json.dumps(kind.parts)],
            stdout=subprocess.PIPE,
            text=True,
        )
        addresses = json.loads(self.process.stdout.readline())
        services = ["faulty", "faulty-lm"] * _UPSTREAMS
        label = name.replace(" ", "-")
        self.registrations = {
            f"{label}-{number}": self._registration(service, address)
            for number, (service, address) in enumerate(
                zip(services, addresses, strict=True)
            )
        }

    def _registration(self, service: str, address: str) -> dict[str, Any]:
        return {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": _SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def register_forever(self) -> None:
        """Registers the upstreams periodically."""
        while True:
            for name, fields in self.registrations.items():
                fields["sequence"] += 1
                await self.system.control(
                    f"/v1/Instances.Heartbeat/{name}", fields
                )
            await asyncio.sleep(0.5)

    async def stop(self) -> None:
        """Ends the process and its registrations."""
        for name in self.registrations:
            await self.system.control(f"/v1/Instances.Leave/{name}", {})
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


async def play(system: System, watch: Watch, name: str, kind: Kind) -> Found:
    """Plays one kind; returns what was seen."""
    faulty = FaultyProcess(system, name, kind)
    registering = asyncio.create_task(faulty.register_forever())
    await asyncio.sleep(_KNOWN_SECONDS)
    # The entry may still refuse requests after the kind before.
    await system.ordinary()
    watch.reset()
    callers = [
        Caller(
            system.entry.address,
            system.request(name, kind.routes[number % len(kind.routes)]),
            reads=number % 2 == 0,
        )
        for number in range(CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(HOLD_SECONDS)
    beside = await system.ordinary()
    for task in (registering, *tasks):
        task.cancel()
    await asyncio.gather(registering, *tasks, return_exceptions=True)
    answered = await system.ordinary()
    await faulty.stop()
    statuses: dict[str, int] = {}
    for caller in callers:
        if caller.reads:
            statuses[caller.status] = statuses.get(caller.status, 0) + 1
    return Found(
        name,
        system.entry.process.poll() is None,
        round(watch.held / 1e6, 1),
        round(watch.unread / 1e6, 1),
        watch.descriptors,
        beside,
        answered,
        statuses,
    )


async def run(kinds: dict[str, Kind], folder: pathlib.Path) -> None:
    """Plays kinds one after the other; prints what was seen."""
    system = System(folder)
    try:
        await system.start()
        watch = Watch(system.entry.process.pid)
        watching = asyncio.create_task(watch.run())
        for name, kind in kinds.items():
            found = await play(system, watch, name, kind)
            print(json.dumps(found._asdict()), flush=True)
            if not found.alive:
                break
        watching.cancel()
    finally:
        await system.fleet.stop()


def main() -> None:
    """Plays the group that the command line names, or kinds of it."""
    group, *names = sys.argv[1:]
    kinds = GROUPS[group]
    if names:
        kinds = {name: kinds[name] for name in names}
    with tempfile.TemporaryDirectory(prefix="endless-") as folder:
        asyncio.run(run(kinds, pathlib.Path(folder)))


if __name__ == "__main__":
    main()
