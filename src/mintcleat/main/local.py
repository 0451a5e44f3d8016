"""All roles on loopback in one process, for first runs and for tests."""

from collections.abc import Callable
import pathlib

from mintcleat.adapters import settings as settings_module
from mintcleat.domain import errors
from mintcleat.main import assembly
from mintcleat.main import local_manifest
from mintcleat.standins import engine
from mintcleat.standins import service

_ANY_PORT = "127.0.0.1:0"
_FAILURE_DOMAINS = ("local-a", "local-b")
_PROGRAM_GROUPS = 4


class Local:
    """One control, one entry, two engines and one service with sidecars.

    Each role has its own streams, as in separate processes.
    """

    def __init__(self, http: str, admin: str, data: pathlib.Path) -> None:
        self.data = data
        self.engines = [engine.Engine(_ANY_PORT), engine.Engine(_ANY_PORT)]
        self.service = service.Service(_ANY_PORT)
        self.control = assembly.Process(self._control_settings(admin))
        self.sidecars = [
            assembly.Process(
                self._sidecar_settings(number, upstream, "triage", "model")
            )
            for number, upstream in enumerate(self.engines, start=1)
        ]
        self.sidecars.append(
            assembly.Process(
                self._sidecar_settings(3, self.service, "dispatch", "plain")
            )
        )
        self.entry = assembly.Process(self._entry_settings(http))

    def start(self) -> None:
        """Starts all roles and waits until the entry is ready.

        Control is first, because the others follow its configuration.
        """
        self.control.start()
        local_manifest.push_initial(self.control)
        for process in (*self.sidecars, self.entry):
            process.start()
        self._wait_until_ready()

    def ready_line(self) -> str:
        """Returns the line with the addresses that is printed once started."""
        entry = self.entry.roles[0].addresses()["http"]
        admin = self.control.roles[0].addresses()["admin"]
        return f"ready local http={entry} admin={admin} data={self.data}"

    def failure(self) -> errors.MintcleatError | None:
        """Returns the error that stopped the control role, if any."""
        return self.control.failure()

    def stop(self, is_forced: Callable[[], bool]) -> int:
        """Stops all roles, the entry first and control last.

        Args:
            is_forced: Returns whether to stop without waiting any longer.

        Returns:
            The number of requests that were interrupted.
        """
        interrupted = 0
        for process in (self.entry, *self.sidecars, self.control):
            interrupted += process.stop(is_forced)
        for upstream in (*self.engines, self.service):
            upstream.stop()
        return interrupted

    def _wait_until_ready(self) -> None:
        """Waits until the entry has its lease and knows all engines."""
        role = self.entry.roles[0]
        timers = self.entry.common.timers
        deadline = timers.now() + 10.0
        while timers.now() < deadline:
            engines = role.follower.members("triage")
            if role.entry.ready() and len(engines) == len(self.engines):
                return
            timers.sleep(0.05)

    def _common_settings(
        self, name: str, role: str, domain: str
    ) -> dict[str, object]:
        return {
            "instance": name,
            "failure_domain": domain,
            "listen": _ANY_PORT,
            "roles": [role],
            "program_groups": _PROGRAM_GROUPS,
            "stop_seconds": 30.0,
        }

    def _control_settings(self, admin: str) -> settings_module.Settings:
        # The port of the streams is unknown until it is bound. With a single
        # address, `ControlRole` uses its own in place of it.
        value = self._common_settings(
            "control-1", "control", _FAILURE_DOMAINS[0]
        )
        value["control"] = [_ANY_PORT]
        value["control_role"] = {"data": str(self.data), "admin": admin}
        return settings_module.parse(value)

    def _sidecar_settings(
        self,
        number: int,
        upstream: engine.Engine | service.Service,
        name: str,
        kind: str,
    ) -> settings_module.Settings:
        domain = _FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)]
        value = self._common_settings(f"sidecar-{number}", "sidecar", domain)
        value["control"] = [self.control.common.streams.address]
        value["sidecar"] = {
            "upstream": upstream.address,
            "service": name,
            "kind": kind,
            "capacity": 8,
        }
        return settings_module.parse(value)

    def _entry_settings(self, http: str) -> settings_module.Settings:
        value = self._common_settings("entry-1", "entry", _FAILURE_DOMAINS[0])
        value["control"] = [self.control.common.streams.address]
        value["entry"] = {"http": http, "notice_seconds": 0.0}
        return settings_module.parse(value)
