"""How fast a manifest is in force everywhere, and what following costs.

    python bench/configuration.py spread    time to the last node
    python bench/configuration.py cost      bytes and CPU, idle and changing
    python bench/configuration.py sizes     bytes against manifest size

Three control instances with disks run as processes, with light nodes in a
few more; the leader and both relays serve a third of them each. The baseline
polls the leader for the revision each second and reads the manifest when it
changed. Each command prints a table.
"""

import functools
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from typing import NamedTuple

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import eventlet

eventlet.monkey_patch()

import fire

from bench import processes
from mintcleat.adapters import streams
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import messages

RIG = str(pathlib.Path(__file__).parent / "config_rig.py")
# The users' plan: 9,600 changes a day.
USER_RATE = 9_600 / 86_400
CONTROLS = 3
WAY = {"nodes": "stream", "pollers": "polling"}
NODES_PER_PROCESS = 125
# What one service and one partner add to a manifest, in bytes, about.
SMALL = 10_000


class Record(NamedTuple):
    """What one process has seen; see `config_rig.Recorder`."""

    events: list[list[float]]
    sent: int
    received: int


class Window(NamedTuple):
    """Costs over some seconds: CPU in cores, traffic in bytes a second."""

    node_cpu: float
    leader_cpu: float
    relay_cpu: float
    node_sent: float
    node_received: float


class Rig:
    """Control and node processes, and a client that pushes."""

    def __init__(self, count: int, kind: str = "nodes") -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mintcleat-bench-"))
        self.count = count
        addresses = [processes.free_address() for _ in range(CONTROLS)]
        controls = [
            self._start(
                f"control-{number}",
                "control",
                f"--name=control-{number}",
                f"--addresses={','.join(addresses)}",
                f"--folder={self.folder / f'data-{number}'}",
            )
            for number in range(CONTROLS)
        ]
        self.client = shared_client()
        self.address = self._find_leader(addresses)
        self.leader = controls[addresses.index(self.address)]
        self.relays = [item for item in controls if item is not self.leader]
        addresses.sort(key=lambda address: address != self.address)
        control = ",".join(addresses)
        self.nodes = [
            self._start(
                f"{kind}-{first}",
                kind,
                f"--first={first}",
                f"--count={min(NODES_PER_PROCESS, count - first)}",
                f"--control={control}",
            )
            for first in range(0, count, NODES_PER_PROCESS)
        ]
        self.revision = 0

    def push(self, text: str) -> None:
        """Pushes a manifest over the one in force."""
        request = messages.PushManifest(
            self.revision, f"push-{self.revision}", text, "bench", "bench"
        )
        answer = self.client.ask(self.address, request, 30.0)
        self.revision = answer.revision

    def settle(self) -> None:
        """Waits until every node has applied the revision."""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            reached = sum(
                1
                for process in self.nodes
                for revision, _ in self.record(process).events
                if revision == self.revision
            )
            if reached >= self.count:
                return
            time.sleep(0.2)
        raise RuntimeError("Not every node applied the revision in 60 s.")

    def record(self, process: processes.Process) -> Record:
        """Returns what a process has seen so far."""
        path = self.folder / process.name
        path.unlink(missing_ok=True)
        os.kill(process.child.pid, signal.SIGUSR1)
        while not path.exists():
            time.sleep(0.005)
        return Record(**json.loads(path.read_text()))

    def measure(self, seconds: float, rate: float) -> Window:
        """Returns the costs over a window with `rate` pushes a second."""
        before = self._totals()
        begin = time.monotonic()
        number = 0
        while time.monotonic() < begin + seconds:
            if not rate:
                time.sleep(seconds)
                break
            number += 1
            self.push(manifest_of(SMALL, f"{self.revision}"))
            due = begin + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
        after = self._totals()
        passed = time.monotonic() - begin
        cpu, leader, relay, sent, received = (
            (late - early) / passed
            for early, late in zip(before, after, strict=True)
        )
        each = self.count
        return Window(cpu / each, leader, relay, sent / each, received / each)

    def stop(self) -> None:
        """Ends every process."""
        for process in (*self.nodes, *self.relays, self.leader):
            process.stop()

    def _totals(self) -> tuple[float, float, float, float, float]:
        records = [self.record(process) for process in self.nodes]
        return (
            sum(process.usage().cpu for process in self.nodes),
            self.leader.usage().cpu,
            sum(item.usage().cpu for item in self.relays) / len(self.relays),
            sum(record.sent for record in records),
            sum(record.received for record in records),
        )

    def _find_leader(self, addresses: list[str]) -> str:
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for address in addresses:
                try:
                    self.client.ask(address, messages.ReadManifest(), 1.0)
                except errors.MintcleatError:
                    time.sleep(0.1)
                else:
                    return address
        raise RuntimeError("No control instance took the lead in 20 s.")

    def _start(self, name: str, *arguments: str) -> processes.Process:
        out = f"--out={self.folder / name}"
        return processes.Process(name, ["-W", "ignore", RIG, *arguments, out])


@functools.cache
def shared_client() -> streams.TcpStreams:
    """Returns the one client that pushes for all rigs."""
    return streams.TcpStreams("127.0.0.1:0")


def manifest_of(size: int, version: str) -> str:
    """Returns a manifest of about `size` bytes; one section has `version`."""
    service = manifest.Service(
        kind="plain",
        idempotent=[f"POST /search/{n}" for n in range(5)],
        non_idempotent=[f"POST /book/{n}" for n in range(5)],
    )
    bytes_each = 250
    services = {f"service-{n:05}": service for n in range(size // bytes_each)}
    services["changed"] = manifest.Service(
        kind="model", model="m", version=version
    )
    whole = manifest.Manifest(services=services)
    return manifest.msgspec.json.encode(whole).decode()


def spread(pushes: int = 20) -> None:
    """Time from acceptance to in force at the last node."""
    print("nodes  way      p50 s   p99 s   max s   pushes")
    for count in (10, 100, 500):
        found = {}
        for way in ("nodes", "pollers"):
            found[way] = _spread(count, way, pushes)
            p50, p99, most = (
                quantile(found[way], share) for share in (0.5, 0.99, 1.0)
            )
            print(
                f"{count:5}  {WAY[way]:7}  {p50:.3f}   {p99:.3f}   {most:.3f}"
                f"   {len(found[way])}",
                flush=True,
            )
        ratio = quantile(found["pollers"], 0.5) / quantile(found["nodes"], 0.5)
        print(f"       polling / stream at p50: {ratio:.0f}")


def _spread(count: int, way: str, pushes: int) -> list[float]:
    rig = Rig(count, way)
    try:
        rig.push(manifest_of(SMALL, "0"))
        rig.settle()
        for number in range(1, pushes + 1):
            # An uneven step, so that pushes do not fall on the same phase of
            # the polls.
            time.sleep(1.0 + (number * 0.618) % 1.0)
            rig.push(manifest_of(SMALL, str(number)))
        rig.settle()
        accepted = dict(rig.record(rig.leader).events)
        last: dict[float, float] = {}
        for process in rig.nodes:
            for revision, at in rig.record(process).events:
                last[revision] = max(last.get(revision, 0.0), at)
    finally:
        rig.stop()
    return [at - accepted[rev] for rev, at in last.items() if rev > 1]


def cost(seconds: float = 15.0) -> None:
    """Bytes and CPU per node, idle and at 10 times the users' changes."""
    print(
        "nodes  way      load  node CPU %  node B/s up  node B/s down"
        "  leader CPU %  relay CPU %  leader MB  node process MB"
    )
    rows: dict[str, list[tuple[int, Window]]] = {"idle": [], "10x": []}
    for way, count in (
        ("nodes", 10),
        ("nodes", 100),
        ("nodes", 250),
        ("nodes", 500),
        ("pollers", 500),
    ):
        for name, window in _cost(way, count, seconds).items():
            if way == "nodes":
                rows[name].append((count, window))
    for name, points in rows.items():
        leader = slope([(n, w.leader_cpu) for n, w in points]) * 3
        relay = slope([(n, w.relay_cpu) for n, w in points]) * 3
        print(
            f"{name}: {leader * 1e6:.0f} us of a core per second and node"
            f" served at the leader, {relay * 1e6:.0f} at a relay"
            " (a third of the nodes each)"
        )


def _cost(way: str, count: int, seconds: float) -> dict[str, Window]:
    """Measures and prints both loads of one size."""
    rig = Rig(count, way)
    found = {}
    try:
        rig.push(manifest_of(SMALL, "0"))
        rig.settle()
        time.sleep(3.0)
        for name, rate in (("idle", 0.0), ("10x", 10 * USER_RATE)):
            window = rig.measure(seconds, rate)
            found[name] = window
            print(
                f"{count:5}  {WAY[way]:7}  {name:4}"
                f"  {window.node_cpu * 100:10.3f}"
                f"  {window.node_sent:11.0f}  {window.node_received:13.0f}"
                f"  {window.leader_cpu * 100:12.2f}"
                f"  {window.relay_cpu * 100:11.2f}"
                f"  {rig.leader.usage().resident / 1e6:9.1f}"
                f"  {rig.nodes[0].usage().resident / 1e6:15.1f}",
                flush=True,
            )
    finally:
        rig.stop()
    return found


def sizes(changes: int = 10) -> None:
    """Bytes that a node receives for one changed section."""
    print("manifest B   first B/node   change B/node   change / manifest")
    for size in (10_000, 100_000, 1_000_000, 5_000_000):
        rig = Rig(10)
        try:
            text = manifest_of(size, "0")
            begin = _received(rig)
            rig.push(text)
            rig.settle()
            first = (_received(rig) - begin) / rig.count
            time.sleep(1.0)
            idle = _idle_bytes(rig, 5.0)
            begin, started = _received(rig), time.monotonic()
            for number in range(1, changes + 1):
                rig.push(manifest_of(size, str(number)))
                rig.settle()
            passed = time.monotonic() - started
            total = (_received(rig) - begin) / rig.count - idle * passed
        finally:
            rig.stop()
        change = total / changes
        print(
            f"{len(text):10}   {first:12.0f}   {change:13.0f}"
            f"   {change / len(text):.6f}",
            flush=True,
        )


def _received(rig: Rig) -> float:
    return sum(rig.record(process).received for process in rig.nodes)


def _idle_bytes(rig: Rig, seconds: float) -> float:
    """Returns the bytes a second that a node receives without a change."""
    begin = _received(rig)
    time.sleep(seconds)
    return (_received(rig) - begin) / seconds / rig.count


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile by rank; the largest for 1."""
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[place]


def slope(points: list[tuple[int, float]]) -> float:
    """Returns the slope of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


if __name__ == "__main__":
    fire.Fire({"spread": spread, "cost": cost, "sizes": sizes})
