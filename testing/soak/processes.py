"""The product's processes and the proxies between them."""

import asyncio
from collections.abc import Collection
import contextlib
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import checks as checks_module
from testing.soak import links

ROOT = pathlib.Path(__file__).parent.parent.parent
_MEMORY_MB = 220
_DESCRIPTORS = 1024
# Time after which a revoked key is refused at every entry.
REVOKE_SECONDS = 3.0
# Time within which a process must end after SIGTERM. Requests in progress get
# 8 s.
_STOP_SECONDS = 12.0
_GRACE_SECONDS = 8
_POLL_SECONDS = 0.1


# Last bytes of the addresses that a run may use.
_NUMBERS = (*range(1, 8), *range(11, 15))


def free_network() -> str:
    """Returns the first two bytes of loopback addresses that no run uses.

    Runs beside this one have random ones of their own.
    """
    while True:
        network = f"127.{random.randrange(20, 250)}"
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for number in _NUMBERS:
                sock = stack.enter_context(socket.socket())
                port = hosted_processes.INTERNAL_PORT
                sock.bind((f"{network}.0.{number}", port))
            return network


class Usage(NamedTuple):
    """Resources that a process uses.

    Attributes:
        memory_mb: Resident memory in units of 10**6 bytes.
        descriptors: Number of open file descriptors.
    """

    memory_mb: float
    descriptors: int


class Node:
    """One process and its files.

    Attributes:
        links: Proxies of its connections to the controls, by their name.
        front: Proxy between callers and this entry; None for a control.
        process: The running process; None when it is down.
        planned: Whether it is being stopped by SIGTERM.
        starts: Number of starts.
        log_offset: Size of the log at the last start, in characters.
        interruptions: Times in which the process did not run, stood still or
            was being stopped.

    Args:
        fleet: All nodes.
        name: Name of the machine.
        role: `control` or `entry`.
        number: Last byte of its loopback address.
    """

    def __init__(
        self, fleet: "Fleet", name: str, role: str, number: int
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.role = role
        self.number = number
        self.ip = f"{fleet.network}.0.{number}"
        self.links: dict[str, links.Link] = {}
        self.front: links.Link | None = None
        self.process: subprocess.Popen | None = None
        self.planned = False
        self.starts = 0
        self.log_offset = 0
        self.interruptions: list[checks_module.Disturbance] = []
        self.log_path = fleet.folder / f"{name}.log"
        self.machine_path = fleet.folder / f"{name}.machine"
        self.settings_path = fleet.folder / f"{name}.toml"

    @property
    def address(self) -> str:
        """`IP:PORT` at which callers reach this entry without a proxy."""
        return f"{self.ip}:{hosted_processes.FRONT_PORT}"

    def start(
        self, bootstrap: bool = False, writes_settings: bool = True
    ) -> None:
        """Starts the process with the disk that it has, unless it runs.

        Args:
            bootstrap: Whether a control may found the groups.
            writes_settings: Whether the settings file is written first.
        """
        if self.process is not None and self.process.poll() is None:
            return
        if writes_settings:
            self.write_settings(bootstrap)
        environment = hosted_processes.environment(ROOT, self.settings_path)
        environment["SOAK_LINKS"] = json.dumps(
            {
                self.fleet.nodes[name].ip: link.address.rpartition(":")[0]
                for name, link in self.links.items()
            }
        )
        environment["SOAK_FAULT"] = self.fleet.fault
        environment["SOAK_MACHINE"] = str(self.machine_path)
        environment["SOAK_BACKUPS"] = "1" if self.fleet.backups else ""
        self.starts += 1
        self._end_interruptions()
        if self.log_path.exists():
            self.log_offset = len(self.log_path.read_text())
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "testing.soak.launch", self.role],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    def write_settings(self, bootstrap: bool = False) -> None:
        """Writes the settings file as a whole."""
        text = hosted_processes.toml(self._settings(bootstrap))
        self.settings_path.write_text(text)

    def damage_settings(self, damage: str) -> None:
        """Overwrites the settings file by what can't be read.

        Args:
            damage: `empty`, `half` or `bytes`.
        """
        whole = hosted_processes.toml(self._settings(False)).encode()
        self.settings_path.write_bytes(
            {
                "empty": b"",
                "half": whole[: len(whole) // 2],
                "bytes": whole + b"\xff\xfe",
            }[damage]
        )

    def _settings(self, bootstrap: bool) -> dict[str, Any]:
        fields = hosted_processes.settings(
            self.role,
            self.name,
            self.ip,
            self.fleet.seeds,
            self.fleet.folder,
            bootstrap,
        )
        fields["contracts"] = ["pressure"]
        fields["bounds"] = {
            "strictRevocation": True,
            "revokeMs": int(REVOKE_SECONDS * 1000),
            "graceS": _GRACE_SECONDS,
        }
        fields["limits"] = {
            "memoryMb": self.fleet.memory_mb,
            "fileDescriptors": self.fleet.descriptors,
        }
        # Disks of this many control instances may be lost at once.
        fields["faultTolerance"] = {"machines": len(self.fleet.controls) // 2}
        return fields

    def harm(self, **faults: float) -> None:
        """Sets the faults of its machine; see `launch.Machine`."""
        written = self.machine_path.with_suffix(".new")
        written.write_text(json.dumps(faults))
        written.replace(self.machine_path)

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(number)
        if number == signal.SIGCONT:
            self._end_interruptions()
        elif number != signal.SIGHUP:
            self.interruptions.append(
                checks_module.Disturbance(self.name, time.monotonic(), math.inf)
            )

    def _end_interruptions(self) -> None:
        now = time.monotonic()
        self.interruptions = [
            one._replace(end=min(one.end, now)) for one in self.interruptions
        ]

    async def until_handling(self, number: int) -> None:
        """Waits until a signal doesn't end the process that was started.

        The interpreter itself needs some time before it can handle signals.
        """
        if self.process is None:
            return
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        bit = 1 << (number - 1)
        for _ in range(round(_STOP_SECONDS / _POLL_SECONDS)):
            try:
                text = path.read_text()
            except (FileNotFoundError, ProcessLookupError):
                return
            fields = dict(line.split(":", 1) for line in text.splitlines())
            handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
            if handled & bit:
                return
            await asyncio.sleep(_POLL_SECONDS / 10)

    def kill(self) -> None:
        """Ends the process by SIGKILL."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    async def stop(self) -> int | None:
        """Ends the process by SIGTERM; returns its exit code, None if late.

        The code is 0 if another fault has killed the process before its end.
        """
        process = None
        while process is not self.process:
            process = self.process
            await self.until_handling(signal.SIGTERM)
        self.signal(signal.SIGTERM)
        for _ in range(round(_STOP_SECONDS / _POLL_SECONDS)):
            if process is None or self.process is not process:
                return 0
            if process.poll() is not None:
                self.process = None
                return process.returncode
            await asyncio.sleep(_POLL_SECONDS)
        self.kill()
        return None

    def wipe(self) -> None:
        """Deletes the disk of a process that is down."""
        shutil.rmtree(self.fleet.folder / self.name, ignore_errors=True)

    def has_ended(self) -> bool:
        """Returns whether the process ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def usage(self) -> Usage | None:
        """Returns what the process uses; None if it doesn't run."""
        if self.process is None:
            return None
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            descriptors = len(os.listdir(folder / "fd"))
        except (OSError, IndexError):
            return None
        memory = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        return Usage(memory, descriptors)

    def apply(self, kind: str) -> None:
        """Begins a fault of all links from and to this node.

        `cut_in` and `cut_out` are seen from this node.
        """
        opposite = {"cut_in": "cut_out", "cut_out": "cut_in"}
        for link in self.links.values():
            link.apply(opposite.get(kind, kind))
        for link in self._links_to_it():
            link.apply(kind)

    def lose_packets(
        self, directions: Collection[str], others: Collection[str]
    ) -> None:
        """Begins a cut as of a real network; see `links.Link.lose_packets`.

        Args:
            directions: `in` and `out`, as seen from this node.
            others: Names of the nodes that it is cut from.
        """
        opposite = {"in": "out", "out": "in"}
        for link in self._links_from_it(others):
            link.lose_packets([opposite[one] for one in directions])
        for link in self._links_to_it(others):
            link.lose_packets(directions)

    def regain(self, others: Collection[str]) -> list[links.Silence]:
        """Ends such a cut for new connections; returns the old silences."""
        cut = (*self._links_from_it(others), *self._links_to_it(others))
        return [silence for link in cut for silence in link.regain()]

    def delay_incoming(self, seconds: float) -> None:
        """Delays all that reaches this node from others."""
        for link in self.links.values():
            link.delays["out"] = seconds
        for link in self._links_to_it():
            link.delays["in"] = seconds

    def hold_outgoing(self) -> None:
        """Holds all that this node sends to others."""
        for link in self.links.values():
            link.gates["in"].clear()
        for link in self._links_to_it():
            link.gates["out"].clear()

    def drop_held(self) -> None:
        """Resets all links from and to this node; what they held is lost."""
        for link in (*self.links.values(), *self._links_to_it()):
            link.abort()

    def restore(self) -> None:
        """Ends the faults of all links from and to this node."""
        for link in (*self.links.values(), *self._links_to_it()):
            link.restore()

    def _links_from_it(self, others: Collection[str]) -> list[links.Link]:
        """Returns the proxies of its connections to some controls."""
        return [link for name, link in self.links.items() if name in others]

    def _links_to_it(self, others: Collection[str] = ()) -> list[links.Link]:
        """Returns the proxies of other nodes' connections to this one.

        Args:
            others: Names of these nodes; empty for all.
        """
        return [
            other.links[self.name]
            for name, other in self.fleet.nodes.items()
            if self.name in other.links and (not others or name in others)
        ]


class Fleet:
    """All processes of the product.

    Attributes:
        nodes: All processes by name.
        controls: Control instances.
        entries: Entries.
        spare: The control instance that may replace one of them, at an address
            of its own; not started before that.
        seeds: Addresses of control instances in all settings files. They stay
            the same after a replacement, so that one may be long gone.
        memory_mb: Memory limit in the settings of each process.
        descriptors: Limit of its file descriptors there.
        backups: Whether streams have backups and moves for every reason; see
            `launch`.

    Args:
        network: First two bytes of the loopback addresses.
        folder: Folder of settings, disks and logs.
        controls: Number of control instances; odd, all of them are voters.
        entries: Number of entries.
        fault: Known fault to reintroduce; empty for none.
    """

    def __init__(
        self,
        network: str,
        folder: pathlib.Path,
        controls: int,
        entries: int,
        fault: str,
    ) -> None:
        self.network = network
        self.folder = folder
        self.fault = fault
        self.memory_mb = _MEMORY_MB
        self.descriptors = _DESCRIPTORS
        self.backups = False
        self.nodes: dict[str, Node] = {}
        self.controls = [
            self._add(f"control-{number}", "control", number)
            for number in range(1, controls + 1)
        ]
        self.seeds = [node.ip for node in self.controls]
        self.spare: Node | None = self._add(
            f"control-{controls + 1}", "control", controls + 1
        )
        self.entries = [
            self._add(f"entry-{number}", "entry", 10 + number)
            for number in range(1, entries + 1)
        ]

    def _add(self, name: str, role: str, number: int) -> Node:
        node = self.nodes[name] = Node(self, name, role, number)
        return node

    async def start(self) -> None:
        """Starts the proxies and all processes."""
        port = hosted_processes.INTERNAL_PORT
        for node in self.nodes.values():
            for other in (*self.controls, self.spare):
                if other is node:
                    continue
                link = links.Link(f"{other.ip}:{port}")
                host = f"{self.network}.{node.number}.{other.number}"
                await link.start(host, port)
                node.links[other.name] = link
        for node in self.entries:
            node.front = links.Link(node.address)
            await node.front.start("127.0.0.1", 0)
        for node in self.running():
            node.start(bootstrap=True)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of all log lines of entries with an event."""
        lines = (
            fields_of(line)
            for node in self.entries
            for line in node.log_path.read_text().splitlines()
            if f'"{event}"' in line
        )
        return [fields for fields in lines if fields]

    def interruptions(self) -> list[checks_module.Disturbance]:
        """Returns when processes of entries did not work."""
        return [one for node in self.entries for one in node.interruptions]

    def running(self) -> list[Node]:
        """Returns the nodes that should run, without a spare."""
        return [*self.controls, *self.entries]

    def replace(self, old: Node) -> Node | None:
        """Replaces a control by the spare, which has no disk yet.

        Returns:
            The spare, to be started; None if there is none any more.
        """
        new, self.spare = self.spare, None
        if new is None:
            return None
        old.kill()
        old.wipe()
        for node in self.nodes.values():
            link = node.links.pop(old.name, None)
            if link is not None:
                link.close()
        del self.nodes[old.name]
        self.controls[self.controls.index(old)] = new
        return new

    async def stop(self) -> None:
        """Ends all processes, and the proxies before entries."""
        for node in self.nodes.values():
            node.kill()
        for node in self.entries:
            if node.front is not None:
                node.front.close()
        # Lets the closed connections end before their event loop does.
        await asyncio.sleep(_POLL_SECONDS)

    def is_whole(self) -> bool:
        """Returns whether all groups have all controls as voters.

        It is read from the logs. Until then, the loss of another disk may
        leave a group without a quorum.
        """
        identities: set[str] = set()
        voters: dict[str, tuple[int, set[str]]] = {}
        for node in self.controls:
            # Before that, the disk may be another than that of the last start.
            identity = ""
            text = node.log_path.read_text()
            for line in text[node.log_offset :].splitlines():
                if '"disk_opened"' in line:
                    identity = fields_of(line).get("identity", identity)
            for line in text.splitlines():
                if '"voters_changed"' in line:
                    fields = fields_of(line)
                    known = voters.get(fields["group"], (-1, set()))
                    if fields["index"] > known[0]:
                        voters[fields["group"]] = (
                            fields["index"],
                            set(fields["voters"]),
                        )
            identities.add(identity)
        return bool(voters) and all(
            found == identities for _, found in voters.values()
        )

    def leader(self, group: str = "") -> Node:
        """Returns the node that logged the highest term as a leader.

        Args:
            group: Name of the group; empty for any group.
        """
        found, latest = self.controls[0], -1
        for node in self.controls:
            for line in node.log_path.read_text().splitlines():
                if '"leader_changed"' not in line:
                    continue
                fields = fields_of(line)
                is_group = not group or fields.get("group") == group
                term = fields.get("term", 0)
                if (
                    is_group
                    and fields.get("role") == "leader"
                    and term > latest
                ):
                    found, latest = node, term
        return found


def fields_of(line: str) -> dict:
    """Returns the fields of a log line; none if it isn't complete."""
    try:
        return json.loads(line[line.index("{") :])
    except ValueError:
        return {}
