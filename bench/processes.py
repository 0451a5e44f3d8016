"""Starts the system's processes on loopback, for measurements.

Only measurements and tests start processes; the system itself never does.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
_READY_SECONDS = 20.0
_STOP_SECONDS = 20.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Resources used by a process.

    Attributes:
        cpu: Seconds of processor time, user and system.
        resident: Resident memory, in bytes.
    """

    cpu: float
    resident: int


def free_port() -> int:
    """Returns a loopback port that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_address() -> str:
    """Returns a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


class Process:
    """A started process of the system.

    Attributes:
        addresses: `name=address` pairs of its ready line.
    """

    def __init__(self, name: str, arguments: list[str]) -> None:
        self.name = name
        self.arguments = arguments
        self.log = tempfile.TemporaryFile("w+")
        self.addresses: dict[str, str] = {}
        self.start()

    def start(self) -> None:
        """Starts the process and waits for its ready line.

        Raises:
            RuntimeError: The process ended, or printed no ready line in time.
        """
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        self.child = subprocess.Popen(
            [sys.executable, *self.arguments],
            stdout=subprocess.PIPE,
            stderr=self.log,
            text=True,
            env=environment,
            cwd=ROOT,
        )
        deadline = time.monotonic() + _READY_SECONDS
        while time.monotonic() < deadline:
            line = self.child.stdout.readline()
            if line.startswith("ready"):
                pairs = [item for item in line.split() if "=" in item]
                self.addresses = dict(item.split("=", 1) for item in pairs)
                return
            if not line:
                break
        raise RuntimeError(
            f"{self.name} ended or printed no ready line in {_READY_SECONDS:g}"
            f" s; its error output: {self.errors()}"
        )

    def errors(self) -> str:
        """Returns the last 4,000 characters of the error output."""
        self.log.seek(0)
        return self.log.read()[-4000:]

    def usage(self) -> Usage:
        """Returns the resources used since the start."""
        stat = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        resident = pages * os.sysconf("SC_PAGE_SIZE")
        return Usage(ticks / _CLOCK_TICKS, resident)

    def kill(self) -> None:
        """Kills the process by SIGKILL."""
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()

    def stop(self) -> int:
        """Stops the process; returns its exit code, -9 if it was killed."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -9


def module(name: str, *arguments: str) -> list[str]:
    """Returns the interpreter's arguments that run a module."""
    return ["-W", "ignore", "-m", name, *arguments]


class System:
    """A deployment of processes with a temporary data folder.

    Args:
        controls: Control instances.
        entries: Entries.
        engines: Stand-in engines, each with a sidecar.
        services: Stand-in services, each with a sidecar.
        groups: Groups of the programs' replicated log.
    """

    def __init__(
        self,
        controls: int = 3,
        entries: int = 1,
        engines: int = 2,
        services: int = 1,
        groups: int = 4,
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mintcleat-bench-"))
        self.groups = groups
        self.processes: dict[str, Process] = {}
        self.control_addresses = [free_address() for _ in range(controls)]
        self.admin = free_address()
        self.members = [
            {
                "instance": f"control-{number}",
                "address": address,
                "failure_domain": f"domain-{number}",
            }
            for number, address in enumerate(self.control_addresses)
        ]
        for number in range(controls):
            self._add_control(number)
        for number in range(engines):
            self._add_upstream(f"engine-{number}", "engine", "triage", "model")
        for number in range(services):
            self._add_upstream(
                f"service-{number}", "service", "dispatch", "plain"
            )
        for number in range(entries):
            self._add_entry(number)

    def http(self) -> list[str]:
        """Returns the HTTP addresses of the entries."""
        return [
            process.addresses["http"]
            for name, process in self.processes.items()
            if name.startswith("entry")
        ]

    def stop(self) -> dict[str, int]:
        """Stops every process; returns the exit codes by name."""
        names = list(self.processes)
        codes = {name: self.processes[name].stop() for name in reversed(names)}
        shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    def _settings(self, name: str, domain: int, **more: object) -> list[str]:
        path = self.folder / f"{name}.json"
        value = {
            "instance": name,
            "failure_domain": f"domain-{domain}",
            "listen": "127.0.0.1:0",
            "control": self.control_addresses,
            "program_groups": self.groups,
            **more,
        }
        path.write_text(json.dumps(value))
        return module("mintcleat.main.daemon", str(path))

    def _add(self, name: str, arguments: list[str]) -> Process:
        self.processes[name] = Process(name, arguments)
        return self.processes[name]

    def _add_control(self, number: int) -> None:
        name = f"control-{number}"
        role = {
            "data": str(self.folder / name),
            "admin": self.admin if not number else "127.0.0.1:0",
            "members": self.members,
        }
        self._add(
            name,
            self._settings(
                name,
                number,
                listen=self.control_addresses[number],
                roles=["control"],
                control_role=role,
            ),
        )

    def _add_upstream(
        self, name: str, standin: str, service: str, kind: str
    ) -> None:
        upstream = free_address()
        self._add(
            name, module("mintcleat.main.daemon", "standin", standin, upstream)
        )
        role = {"upstream": upstream, "service": service, "kind": kind}
        self._add(
            f"sidecar-{name}",
            self._settings(
                f"sidecar-{name}", 0, roles=["sidecar"], sidecar=role
            ),
        )

    def _add_entry(self, number: int) -> None:
        name = f"entry-{number}"
        self._add(
            name,
            self._settings(
                name,
                number,
                roles=["entry"],
                entry={"http": "127.0.0.1:0"},
            ),
        )
