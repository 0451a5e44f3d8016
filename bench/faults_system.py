"""A deployment around fault-injecting upstreams, and the faults themselves."""

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
_ENGINE_SPEED = batch.Speed(token_time=0.004, slots=16)
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
    """A process whose start and stop do not block this process's event loop.

    The upstreams run in this process and must answer meanwhile.
    """

    def start(self) -> None:
        """Starts the process and waits for its ready line.

        Raises:
            RuntimeError: The process ended, or printed no ready line in time.
        """
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
        raise RuntimeError(
            f"{self.name} ended or printed no ready line in"
            f" {_READY_SECONDS:g} s;"
            f" its error output: {self.errors()}"
        )

    def stop(self) -> int:
        """Stops the process; returns its exit code, -9 if it was killed."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        for _ in range(2000):
            if self.child.poll() is not None:
                return self.child.returncode
            eventlet.sleep(0.01)
        self.child.kill()
        return -9


class FaultSystem(processes.System):
    """Three control instances, entries, two services and engines.

    Engines and services run in this process and can inject faults.
    """

    def __init__(self, engines: int = 2, entries: int = 2) -> None:
        self.upstreams: dict[str, Any] = {}
        self.pick_count = 0
        super().__init__(
            controls=3, entries=entries, engines=engines, services=2
        )
        rig.push(self, rig.MANIFEST)
        rig.wait_ready(self)
        # Entries learn of the other upstreams a moment after the first one.
        eventlet.sleep(1.0)

    def stop(self) -> dict[str, int]:
        """Stops everything; returns the exit codes of processes by name."""
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
        upstreams = self.upstreams.values()
        return [
            upstream
            for upstream in upstreams
            if isinstance(upstream, engine.Engine)
        ]

    def services(self) -> list[service_faults.FaultyService]:
        """Returns the services of kind `plain`."""
        upstreams = self.upstreams.values()
        return [
            upstream
            for upstream in upstreams
            if not isinstance(upstream, engine.Engine)
        ]

    def pick_next(self, items: list[Any]) -> Any:
        """Returns another item of the list at each call, in turn."""
        self.pick_count += 1
        return items[self.pick_count % len(items)]

    def inject(self, fault: str) -> None:
        """Injects a fault once; restarts what it ended.

        Args:
            fault: One of `FAULTS`; `none` does nothing.
        """
        match fault:
            case "entry dies":
                self._kill("entry-")
            case "sidecar dies":
                self._kill("sidecar-")
            case "leader dies":
                self._kill("control-")
            case "engine dies":
                self._crash(self.pick_next(self.engines()))
            case "service dies":
                self._crash(self.pick_next(self.services()))
            case "streams cut":
                for upstream in self.engines():
                    upstream.cuts += 1
            case "events lost":
                for upstream in self.engines():
                    upstream.hidden = set(upstream.cache.tokens_by_program)
            case "rolling restart":
                self._restart_next()

    def _kill(self, prefix: str) -> None:
        names = [name for name in self.processes if name.startswith(prefix)]
        process = self.processes[self.pick_next(names)]
        process.child.kill()
        process.child.wait()
        process.start()

    def _crash(self, upstream: Any) -> None:
        upstream.crash()
        eventlet.sleep(0.5)
        upstream.restart()

    def _restart_next(self) -> None:
        names = [name for name in self.processes if name not in self.upstreams]
        process = self.processes[self.pick_next(names)]
        code = process.stop()
        if code:
            raise RuntimeError(
                f"{process.name} exited with code {code} after SIGTERM, not 0."
            )
        process.start()

    def _add(self, name: str, arguments: list[str]) -> processes.Process:
        self.processes[name] = GreenProcess(name, arguments)
        return self.processes[name]

    def _settings(self, name: str, domain: int, **more: object) -> list[str]:
        # No load balancer polls these entries, so they need not announce a
        # stop long in advance.
        if "entry" in more:
            more["entry"] = {"http": "127.0.0.1:0", "notice_seconds": 0.2}
        return super()._settings(name, domain, **more)

    def _add_upstream(
        self, name: str, standin: str, service: str, kind: str
    ) -> None:
        if kind == "model":
            options = engine.EngineOptions(speed=_ENGINE_SPEED)
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
    """Returns the decoded JSON, or None if it is empty or invalid."""
    try:
        return json.loads(data or b"null")
    except ValueError:
        return None
