"""The processes that `bench/configuration.py` measures, and pushes to them."""

import functools
import json
import os
import pathlib
import signal
import tempfile
import time
from typing import NamedTuple

import msgspec

from bench import processes
from mintcleat.adapters import streams
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import manifest

PROCESS_SCRIPT = str(pathlib.Path(__file__).parent / "config_rig.py")
# The users plan 9,600 changes of the manifest a day.
USER_CHANGES_PER_SECOND = 9_600 / 86_400
CONTROLS = 3
# How nodes learn of a revision, by the kind of node process.
SCHEME_NAMES = {"nodes": "stream", "pollers": "polling"}
NODES_PER_PROCESS = 125
SMALL_MANIFEST_BYTES = 10_000


class Record(NamedTuple):
    """What one process has recorded; see `config_rig.Recorder`.

    Attributes:
        events: [revision, seconds] of each revision applied.
        sent: Bytes sent to control.
        received: Bytes received from control.
        leaseless: Samples in which a node had no lease, over its nodes.
    """

    events: list[list[float]]
    sent: int
    received: int
    leaseless: int


class Window(NamedTuple):
    """Costs over a time window, per node and per control instance.

    Processor time is in cores, traffic in bytes per second.
    """

    node_cpu: float
    leader_cpu: float
    relay_cpu: float
    node_sent: float
    node_received: float


class Cluster:
    """Control and node processes, and a client that pushes manifests.

    Args:
        count: Number of nodes.
        kind: Command of `config_rig.py` that runs them, `nodes` or `pollers`.
        options: Further arguments of that command.
    """

    def __init__(self, count: int, kind: str = "nodes", *options: str) -> None:
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
        self.addresses = list(addresses)
        self.address = self._find_leader()
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
                *options,
            )
            for first in range(0, count, NODES_PER_PROCESS)
        ]
        self.revision = 0

    def push(self, text: str) -> None:
        """Pushes a manifest that replaces the current one."""
        request = config_messages.PushManifest(
            self.revision, f"push-{self.revision}", text, "bench", "bench"
        )
        answer = self.client.ask(self.address, request, 30.0)
        self.revision = answer.revision

    def lose_leader(self, hang: bool) -> None:
        """Kills or suspends the leader; waits until another one answers.

        Args:
            hang: Suspend the leader by SIGSTOP instead of killing it.
        """
        number = signal.SIGSTOP if hang else signal.SIGKILL
        self.leader.child.send_signal(number)
        self.addresses.remove(self.address)
        self.address = self._find_leader()

    def resume_leader(self) -> None:
        """Resumes a suspended leader, which doesn't know of the new one yet."""
        self.leader.child.send_signal(signal.SIGCONT)

    def wait_applied(self) -> None:
        """Waits until every node has applied the last pushed revision.

        Raises:
            RuntimeError: Some node did not apply it in 60 s.
        """
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
        raise RuntimeError(
            f"{reached} of {self.count} nodes applied revision {self.revision}"
            " in 60 s."
        )

    def record(self, process: processes.Process) -> Record:
        """Returns what a process has recorded so far."""
        path = self.folder / process.name
        path.unlink(missing_ok=True)
        os.kill(process.child.pid, signal.SIGUSR1)
        while not path.exists():
            time.sleep(0.005)
        return Record(**json.loads(path.read_text()))

    def measure(self, seconds: float, rate: float) -> Window:
        """Returns the costs over a window with `rate` pushes per second."""
        before = self._totals()
        started = time.monotonic()
        number = 0
        while time.monotonic() < started + seconds:
            if not rate:
                time.sleep(seconds)
                break
            number += 1
            self.push(make_manifest(SMALL_MANIFEST_BYTES, f"{self.revision}"))
            due = started + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
        after = self._totals()
        elapsed = time.monotonic() - started
        cpu, leader, relay, sent, received = (
            (late - early) / elapsed
            for early, late in zip(before, after, strict=True)
        )
        each = self.count
        return Window(cpu / each, leader, relay, sent / each, received / each)

    def stop(self) -> None:
        """Stops every process."""
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

    def _find_leader(self) -> str:
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            for address in self.addresses:
                try:
                    self.client.ask(
                        address, config_messages.ReadManifest(), 1.0
                    )
                except errors.MintcleatError:
                    time.sleep(0.1)
                else:
                    return address
        raise RuntimeError("No control instance became the leader in 20 s.")

    def _start(self, name: str, *arguments: str) -> processes.Process:
        out = f"--out={self.folder / name}"
        return processes.Process(
            name, ["-W", "ignore", PROCESS_SCRIPT, *arguments, out]
        )


@functools.cache
def shared_client() -> streams.TcpStreams:
    """Returns the client that pushes for all clusters."""
    return streams.TcpStreams("127.0.0.1:0")


def make_manifest(size: int, version: str) -> str:
    """Returns a manifest of about `size` bytes; one service has `version`."""
    service = manifest.Service(
        kind="plain",
        idempotent=[f"POST /search/{n}" for n in range(5)],
        non_idempotent=[f"POST /book/{n}" for n in range(5)],
    )
    # Approximate JSON size of one service.
    bytes_each = 250
    services = {f"service-{n:05}": service for n in range(size // bytes_each)}
    services["changed"] = manifest.Service(
        kind="model", model="m", version=version
    )
    whole = manifest.Manifest(services=services)
    return msgspec.json.encode(whole).decode()
