"""A complete system of real roles in one process, with crashes at given steps.

Every role has its own streams and HTTP connections over loopback. Killing a
role closes all of them at once, and nothing that it does later reaches the
other roles. To them this is the same as the end of a process.
"""

from collections.abc import Callable
import json
import pathlib
from typing import Any
from typing import NamedTuple

import eventlet
import greenlet
import urllib3

from fakes import engine_faults
from fakes import service_faults
from fakes import service_rig
from mintcleat.adapters import settings as settings_module
from mintcleat.adapters import timers as timers_module
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.main import assembly
from mintcleat.programs import placement
from mintcleat.roles.entry import attempts as attempts_module
from mintcleat.roles.sidecar import attempts as sidecar_attempts
from mintcleat.roles.sidecar import commit as sidecar_commit
from mintcleat.roles.sidecar import execution as sidecar_execution

ANY = "127.0.0.1:0"
DEAD = "127.0.0.1:1"
GROUPS = 2
ANSWER_TOKENS = 8
_FIRST_GROUP = placement.group_names(1)[0]
_LEADER_TRIES = 500
MANIFEST = {
    "programs": {"agent": {"service": "model"}},
    "services": {
        "model": {"kind": "model", "model": "model-1"},
        "tool": {"kind": "plain"},
    },
}

STEPS = (
    "before_begin",
    "after_begin",
    "after_run",
    "mid_stream",
    "before_finish",
    "after_finish",
)
ROLES = ("entry", "sidecar", "control", "upstream")


class Reply(NamedTuple):
    """The response to a caller; status 0 if the connection was lost."""

    status: int
    body: Any

    @property
    def outcome(self) -> str:
        """Outcome in the body of an error; empty for none."""
        known = isinstance(self.body, dict)
        return self.body.get("outcome", "") if known else ""


class System:
    """Control instances, two entries, and two upstreams of each service.

    Attributes:
        armed: Step at which to kill `victims`, once.
        fired: Whether that step was reached.
    """

    def __init__(self, folder: pathlib.Path, controls: int = 1) -> None:
        self.folder = folder
        self.armed = ""
        self.victims: tuple[str, ...] = ()
        self.fired = False
        self.control_settings: list[settings_module.Settings] = []
        self.controls: list[assembly.Process | None] = []
        self.upstreams: dict[str, Any] = {}
        self.sidecars: dict[str, assembly.Process | None] = {}
        self.entries: list[assembly.Process | None] = [None, None]
        self._start_controls(controls)
        self._push()
        for number in range(2):
            options = engine_faults.slow(0.002)
            self._add(f"model-{number}", engine_faults.FaultyEngine(options))
            service = service_faults.FaultyService()
            self._add(f"tool-{number}", service)
        self.restore()

    def stop(self) -> None:
        for process in self.processes():
            kill(process)
        for upstream in self.upstreams.values():
            upstream.stop()

    def processes(self) -> list[assembly.Process]:
        """Returns the running processes."""
        found = [*self.entries, *self.sidecars.values(), *self.controls]
        return [process for process in found if process is not None]

    # --- Killing --------------------------------------------------------------

    def arm(self, step: str, *victims: str) -> None:
        """Kills the victims when the next call reaches the step."""
        self.armed = step
        self.victims = victims
        self.fired = False

    def reach(self, step: str, owner: str, sidecar: str) -> None:
        """Kills the victims if `step` is armed.

        If `owner` is one of them, also ends the calling green thread.
        """
        if self.fired or step != self.armed:
            return
        self.fired = True
        for victim in self.victims:
            self._kill(victim, sidecar)
        if owner in self.victims:
            raise greenlet.GreenletExit

    def _kill(self, victim: str, sidecar: str) -> None:
        match victim:
            case "entry":
                process, self.entries[0] = self.entries[0], None
                kill(process)
            case "sidecar":
                process, self.sidecars[sidecar] = self.sidecars[sidecar], None
                kill(process)
            case "upstream":
                self.upstreams[sidecar].crash()
            case "control":
                self._kill_leader()

    def _kill_control(self, number: int, process: assembly.Process) -> None:
        self.controls[number] = None
        kill(process)
        if len(self.controls) == 1:
            eventlet.spawn_after(0.02, self._start_control, number)

    def _kill_leader(self) -> None:
        """Kills the leader of the first group; a lone instance restarts.

        Right after a restart an election may be in progress. Waits for its
        end, since until then there is no leader to kill.
        """
        for _ in range(_LEADER_TRIES):
            for number, process in enumerate(self.controls):
                if process and process.roles[0].log.leads(_FIRST_GROUP):
                    self._kill_control(number, process)
                    return
            eventlet.sleep(0.01)
        raise AssertionError(
            f"No control instance became leader of {_FIRST_GROUP}."
        )

    def restore(self) -> None:
        """Restarts what was killed and waits until everything is ready."""
        for number, process in enumerate(self.controls):
            if process is None and len(self.controls) > 1:
                self._start_control(number)
        for name, upstream in self.upstreams.items():
            if upstream.crashes and not is_alive(upstream):
                upstream.restart()
            if self.sidecars.get(name) is None:
                self._start_sidecar(name)
        for number, process in enumerate(self.entries):
            if process is None:
                self._start_entry(number)
        service_rig.wait_until(self._is_ready, 15.0)

    def _is_ready(self) -> bool:
        return all(
            process.roles[0].entry.ready()
            and [
                member.sidecar
                for service in ("model", "tool")
                for member in process.roles[0].follower.members(service)
                if member.state == "ready"
            ]
            == [self.sidecars[name].common.node for name in sorted(NAMES)]
            for process in self.entries
        )

    # --- Starting -------------------------------------------------------------

    def _start_controls(self, count: int) -> None:
        ports = [eventlet.listen(("127.0.0.1", 0)) for _ in range(count)]
        at = ["{}:{}".format(*port.getsockname()) for port in ports]
        for port in ports:
            port.close()
        self.addresses = at
        members = [
            {
                "instance": f"control-{number}",
                "address": address,
                "failure_domain": f"d{number}",
            }
            for number, address in enumerate(at)
        ]
        for number, address in enumerate(at):
            value = self._base(f"control-{number}", "control")
            value["listen"] = address
            value["control_role"] = {
                "data": str(self.folder / f"control-{number}"),
                "admin": ANY,
                "members": members,
            }
            self.control_settings.append(settings_module.parse(value))
            self.controls.append(None)
            self._start_control(number)

    def _start_control(self, number: int) -> None:
        process = assembly.Process(self.control_settings[number])
        process.start()
        self.controls[number] = process

    def _push(self) -> None:
        push = config_messages.PushManifest(
            0, "p", json.dumps(MANIFEST), "o", "test"
        )

        def pushed() -> bool:
            try:
                self.controls[0].roles[0].config.ask(push)
            except errors.MintcleatError:
                return False
            return True

        service_rig.wait_until(pushed, 10.0)

    def _add(self, name: str, upstream: Any) -> None:
        upstream.name = name
        self.upstreams[name] = upstream
        self.sidecars[name] = None

    def _start_sidecar(self, name: str) -> None:
        kind = "model" if name.startswith("model") else "plain"
        value = self._base(name, "sidecar")
        value["sidecar"] = {
            "upstream": self.upstreams[name].address,
            "service": name.partition("-")[0],
            "kind": kind,
            "capacity": 8,
        }
        process = assembly.Process(settings_module.parse(value))
        side = process.roles[0].sidecar
        side.options = side.options._replace(
            renew_interval=0.05,
            probe_interval=0.05,
            load_interval=0.05,
            attach_timeout=0.03,
        )
        process.start()
        self.sidecars[name] = process

    def _start_entry(self, number: int) -> None:
        value = self._base(f"entry-{number}", "entry")
        value["entry"] = {"http": ANY, "notice_seconds": 0.0}
        process = assembly.Process(settings_module.parse(value))
        self.entries[number] = process
        process.start()

    def _base(self, name: str, role: str) -> dict[str, Any]:
        return {
            "instance": name,
            "failure_domain": f"d{name[-1]}",
            "listen": ANY,
            "roles": [role],
            "control": self.addresses,
            "program_groups": GROUPS,
        }

    # --- Calling --------------------------------------------------------------

    def send(
        self, entry: int, method: str, path: str, body: Any, **headers: str
    ) -> Reply:
        """Sends one request through an entry."""
        process = self.entries[entry]
        if process is None:
            return Reply(0, None)
        names = {key.replace("_", "-"): text for key, text in headers.items()}
        try:
            reply = urllib3.PoolManager(retries=False).request(
                method,
                f"http://{process.roles[0].server.address}{path}",
                body=json.dumps(body).encode(),
                headers={**names, "Mintcleat-Deadline": "5"},
                timeout=8.0,
            )
            return Reply(reply.status, json.loads(reply.data or b"null"))
        except (urllib3.exceptions.HTTPError, ValueError):
            return Reply(0, None)


NAMES = ("model-0", "model-1", "tool-0", "tool-1")


def is_alive(upstream: Any) -> bool:
    """Returns whether the upstream accepts connections."""
    return upstream.server.listener.fd.fileno() >= 0


def kill(process: assembly.Process) -> None:
    """Closes connections and ends timers of a process, as its end would."""
    _end_timers(process.common.timers)
    streams = process.common.streams
    streams.stopped = True
    streams.listener.close()
    streams.open = refuse
    for connection in [*streams.dialled.values(), *streams.accepted]:
        connection.abort()
    part = process.roles[0]
    if hasattr(part, "follower"):
        part.follower.stop()
    if hasattr(part, "server"):
        part.server.stop()
        current = greenlet.getcurrent()
        for thread in list(part.server.pool.coroutines_running):
            if thread is not current:
                thread.kill()
    if hasattr(part, "sidecar"):
        side = part.sidecar
        side.upstream.base = f"http://{DEAD}"
        side.reporter.stopped = True
        side.cache_manager.stopped = True
        for subscription in side.subscriptions:
            subscription.cancel()
    if hasattr(part, "log"):
        part.config.stop()
        part.log.stop()


def _end_timers(timers: Any) -> None:
    """Ends what a process repeats; later tests would go on paying for it."""

    def end(*_: Any) -> None:
        raise greenlet.GreenletExit

    timers.sleep = timers.sleep_to_next = timers._seconds_to_next = end
    timers.spawn = lambda *_: None
    timers.after = lambda *_: timers_module.EventletSubscription()


def refuse(address: str, message: Any) -> Any:
    """Replaces `open` of the streams of a killed process."""
    raise errors.StreamClosed(
        "This process was killed.", outcome=errors.NOT_RUN
    )


def hook(system: System, patch: Callable[[Any, str, Any], None]) -> None:
    """Patches the roles to call `system.reach` at every step of a call."""
    begin = attempts_module.Attempts.begin
    start = sidecar_execution.Executor.start
    add = sidecar_attempts.Attempt.add
    finish = sidecar_commit.OutcomeReporter.finish
    execute = service_faults.FaultyService.execute

    def begin_hooked(self: Any, name: Any, asked: Any) -> Any:
        system.reach("before_begin", "entry", asked.sidecar.instance)
        reply = begin(self, name, asked)
        system.reach("after_begin", "entry", asked.sidecar.instance)
        return reply

    def start_hooked(self: Any, attempt: Any) -> None:
        start(self, attempt)
        at = attempt.message.sidecar.instance
        system.reach("after_run", "sidecar", at)

    def add_hooked(self: Any, *part: Any) -> None:
        add(self, *part)
        at = self.message.sidecar.instance
        if len(self.chunks) == 2:
            system.reach("mid_stream", "sidecar", at)

    def execute_hooked(self: Any, key: str, path: str) -> None:
        execute(self, key, path)
        system.reach("mid_stream", "upstream", self.name)

    def finish_hooked(self: Any, attempt: Any, *rest: Any) -> None:
        at = attempt.message.sidecar.instance
        system.reach("before_finish", "sidecar", at)
        finish(self, attempt, *rest)
        system.reach("after_finish", "sidecar", at)

    patch(attempts_module.Attempts, "begin", begin_hooked)
    patch(sidecar_execution.Executor, "start", start_hooked)
    patch(sidecar_attempts.Attempt, "add", add_hooked)
    patch(sidecar_commit.OutcomeReporter, "finish", finish_hooked)
    patch(service_faults.FaultyService, "execute", execute_hooked)
