"""A deployment of processes around fault-injecting upstreams, and faults."""

import json
import shutil
import signal
import subprocess
import sys
import tempfile
from typing import Any

import eventlet

from bench import processes
from bench import rig
from fakes import engine_faults
from fakes import service_faults
from mintcleat.standins import batch
from mintcleat.standins import engine

_READY_SECONDS = 20.0
_SPEED = batch.Speed(token_time=0.004, slots=16)
FAULTS = (
    "none",
    "entry dies",
    "sidecar dies",
    "engine dies",
    "service dies",
    "leader dies",
    "streams cut",
    "events lost",
    "rolling restart",
)


class GreenProcess(processes.Process):
    """A process whose start does not hold up this process's own loop."""

    def begin(self) -> None:
        """Starts the process and waits for its ready line."""
        self.output = tempfile.TemporaryFile("w+")
        environment = {
            **processes.os.environ,
            "PYTHONPATH": str(processes.ROOT / "src"),
        }
        self.child = subprocess.Popen(
            [sys.executable, *self.arguments],
            stdout=self.output,
            stderr=self.log,
            text=True,
            env=environment,
            cwd=processes.ROOT,
        )
        for _ in range(int(_READY_SECONDS / 0.02)):
            self.output.seek(0)
            line = self.output.readline()
            if line.startswith("ready"):
                pairs = [item for item in line.split() if "=" in item]
                self.addresses = dict(item.split("=", 1) for item in pairs)
                return
            if self.child.poll() is not None:
                break
            eventlet.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start: {self.errors()}")

    def stop(self) -> int:
        """Asks the process to stop; returns its exit code."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        for _ in range(2000):
            if self.child.poll() is not None:
                return self.child.returncode
            eventlet.sleep(0.01)
        self.child.kill()
        return -9


class FaultSystem(processes.System):
    """Three control instances, two entries, engines and two services."""

    def __init__(self, engines: int = 2, entries: int = 2) -> None:
        self.upstreams: dict[str, Any] = {}
        self.turn = 0
        super().__init__(
            controls=3, entries=entries, engines=engines, services=2
        )
        rig.push(self, rig.MANIFEST)
        rig.wait_ready(self)
        # Entries hear of the other upstreams a moment after the first one.
        eventlet.sleep(1.0)

    def stop(self) -> dict[str, int]:
        """Stops everything; returns the exit codes by name."""
        names = [name for name in self.processes if name not in self.upstreams]
        threads = [eventlet.spawn(self.processes[name].stop) for name in names]
        codes = dict(
            zip(names, [thread.wait() for thread in threads], strict=True)
        )
        for upstream in self.upstreams.values():
            upstream.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    def engines(self) -> list[engine_faults.FaultyEngine]:
        """Returns the engines."""
        found = self.upstreams.values()
        return [one for one in found if isinstance(one, engine.Engine)]

    def services(self) -> list[service_faults.FaultyService]:
        """Returns the plain services."""
        found = self.upstreams.values()
        return [one for one in found if not isinstance(one, engine.Engine)]

    def rotate(self, items: list[Any]) -> Any:
        """Returns one item after another."""
        self.turn += 1
        return items[self.turn % len(items)]

    def strike(self, fault: str) -> None:
        """Lets one fault come once, and mends it where it lasts."""
        match fault:
            case "entry dies":
                self._kill("entry-")
            case "sidecar dies":
                self._kill("sidecar-")
            case "leader dies":
                self._kill("control-")
            case "engine dies":
                self._crash(self.rotate(self.engines()))
            case "service dies":
                self._crash(self.rotate(self.services()))
            case "streams cut":
                for one in self.engines():
                    one.cuts += 1
            case "events lost":
                for one in self.engines():
                    one.hidden = set(one.cache.tokens_by_program)
            case "rolling restart":
                self._restart_next()

    def _kill(self, prefix: str) -> None:
        names = [name for name in self.processes if name.startswith(prefix)]
        process = self.processes[self.rotate(names)]
        process.child.kill()
        process.child.wait()
        process.begin()

    def _crash(self, upstream: Any) -> None:
        upstream.crash()
        eventlet.sleep(0.5)
        upstream.restart()

    def _restart_next(self) -> None:
        names = [name for name in self.processes if name not in self.upstreams]
        process = self.processes[self.rotate(names)]
        code = process.stop()
        if code:
            raise RuntimeError(f"{process.name} exited with {code}.")
        process.begin()

    def _add(self, name: str, arguments: list[str]) -> processes.Process:
        self.processes[name] = GreenProcess(name, arguments)
        return self.processes[name]

    def _settings(self, name: str, domain: int, **more: object) -> list[str]:
        # Quick notice: no balancer polls these entries.
        if "entry" in more:
            more["entry"] = {"http": "127.0.0.1:0", "notice_seconds": 0.2}
        return super()._settings(name, domain, **more)

    def _add_upstream(
        self, name: str, standin: str, service: str, kind: str
    ) -> None:
        if kind == "model":
            options = engine.EngineOptions(speed=_SPEED)
            upstream: Any = engine_faults.FaultyEngine(options)
        else:
            upstream = service_faults.FaultyService()
        self.upstreams[name] = upstream
        role = {
            "upstream": upstream.address,
            "service": service,
            "kind": kind,
        }
        self._add(
            f"sidecar-{name}",
            self._settings(
                f"sidecar-{name}", 0, roles=["sidecar"], sidecar=role
            ),
        )


def parse(data: bytes) -> Any:
    """Returns decoded JSON, or None."""
    try:
        return json.loads(data or b"null")
    except ValueError:
        return None
