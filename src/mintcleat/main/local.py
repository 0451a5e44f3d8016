"""All roles on loopback in one process, for a first run and for tests."""

from collections.abc import Callable
import pathlib

from mintcleat.adapters import settings as settings_module
from mintcleat.main import assembly
from mintcleat.main import local_manifest
from mintcleat.standins import engine
from mintcleat.standins import service

_ANY = "127.0.0.1:0"
_DOMAINS = ("local-a", "local-b")
_GROUPS = 4


class Local:
    """One control, one entry, two engines and one service with sidecars.

    Each role has its own streams, as it would in a process of its own.
    """

    def __init__(self, http: str, admin: str, data: pathlib.Path) -> None:
        self.data = data
        self.engines = [engine.Engine(_ANY), engine.Engine(_ANY)]
        self.service = service.Service(_ANY)
        self.control = assembly.Process(self._control(admin))
        self.others = [
            assembly.Process(self._sidecar(number, upstream, "triage", "model"))
            for number, upstream in enumerate(self.engines, start=1)
        ]
        self.others.append(
            assembly.Process(
                self._sidecar(3, self.service, "dispatch", "plain")
            )
        )
        self.entry = assembly.Process(self._entry(http))

    def start(self) -> None:
        """Starts control first; the others follow its configuration."""
        self.control.start()
        local_manifest.ensure(self.control)
        for process in (*self.others, self.entry):
            process.start()
        self._wait_until_ready()

    def ready_line(self) -> str:
        """Returns the line that tells the addresses."""
        entry = self.entry.parts[0].addresses()["http"]
        admin = self.control.parts[0].addresses()["admin"]
        return f"ready local http={entry} admin={admin} data={self.data}"

    def stop(self, impatient: Callable[[], bool]) -> int:
        """Stops callers' side first; returns what was cut."""
        cut = 0
        for process in (self.entry, *self.others, self.control):
            cut += process.stop(impatient)
        for upstream in (*self.engines, self.service):
            upstream.stop()
        return cut

    def _wait_until_ready(self) -> None:
        """Waits until the entry has its lease and has heard of upstreams."""
        part = self.entry.parts[0]
        timers = self.entry.common.timers
        deadline = timers.now() + 10.0
        while timers.now() < deadline:
            heard = part.follower.members("triage")
            if part.entry.ready() and len(heard) == len(self.engines):
                return
            timers.sleep(0.05)

    def _base(self, name: str, role: str, domain: str) -> dict[str, object]:
        return {
            "instance": name,
            "failure_domain": domain,
            "listen": _ANY,
            "roles": [role],
            "program_groups": _GROUPS,
            "stop_seconds": 30.0,
        }

    def _control(self, admin: str) -> settings_module.Settings:
        # The streams' port is not known before it is bound; the control
        # part takes its own address as the only member's.
        value = self._base("control-1", "control", _DOMAINS[0])
        value["control"] = [_ANY]
        value["control_role"] = {"data": str(self.data), "admin": admin}
        return settings_module.parse(value)

    def _sidecar(
        self,
        number: int,
        upstream: engine.Engine | service.Service,
        name: str,
        kind: str,
    ) -> settings_module.Settings:
        domain = _DOMAINS[number % len(_DOMAINS)]
        value = self._base(f"sidecar-{number}", "sidecar", domain)
        value["control"] = [self.control.common.streams.address]
        value["sidecar"] = {
            "upstream": upstream.address,
            "service": name,
            "kind": kind,
            "capacity": 8,
        }
        return settings_module.parse(value)

    def _entry(self, http: str) -> settings_module.Settings:
        value = self._base("entry-1", "entry", _DOMAINS[0])
        value["control"] = [self.control.common.streams.address]
        value["entry"] = {"http": http, "notice_seconds": 0.0}
        return settings_module.parse(value)
