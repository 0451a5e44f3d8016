"""Runs one role on a machine of the hosting platform.

    python -m mintcleat.launch ROLE [POLICY]

POLICY is a file that disables mechanisms of an entry, for experiments.

This is the composition root for machines whose settings, callers, upstreams
and operators use the platform's protocols. `assembly` is the one for
mintcleat's own protocols.
"""

import pathlib
import signal
import sys
import time
from typing import Any
from typing import NamedTuple
import warnings

import eventlet
from eventlet import hubs
from loguru import logger

from mintcleat.adapters import event_log
from mintcleat.adapters import event_loop
from mintcleat.adapters import event_metrics
from mintcleat.adapters import http1_server
from mintcleat.adapters import process_memory
from mintcleat.decisions import policy as policy_module
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.main import common as common_module
from mintcleat.main import listener_bounds
from mintcleat.platform import callers
from mintcleat.platform import machine_settings as settings_module
from mintcleat.ports import events as event_ports

_EXIT_SETTINGS = 2
_EXIT_FAILED = 4
# Interval of the checks for a signal or a failure that ends the process.
_STOP_CHECK_SECONDS = 0.1
_SETTINGS_CHECK_SECONDS = 1.0
_FLUSH_SECONDS = 0.1
# Time for which a start waits for settings that can be read. A process that
# ends at once would be restarted and counted as failed while the file is still
# being written.
_SETTINGS_WAIT_SECONDS = 3.0
_SETTINGS_RETRY_SECONDS = 0.05
# Short enough to sample memory during a start or a snapshot, which take some
# tenths of a second and have the peaks.
_MEMORY_CHECK_SECONDS = 0.2
_MEMORY_STEP_MB = 8.0
# Short enough to measure a stall of half a second, at negligible cost.
_LOOP_CHECK_SECONDS = 0.5


class FileState(NamedTuple):
    """What differs after a change of a file.

    The modification time alone is not enough: tools may write files with a
    fixed time, and two writes may fall into one tick of the clock.
    """

    inode: int
    size: int
    modified_ns: int
    changed_ns: int


class Process:
    """A process that runs one role.

    Attributes:
        loaded_state: State of the settings file before it was last read; None
            if that failed.
    """

    def __init__(
        self, role: str, path: pathlib.Path, policy: policy_module.Policy
    ) -> None:
        self.role_name = role
        self.path = path
        self.started_at = time.monotonic()
        self.stop_signals = 0
        self.reload_signals = 0
        signal.signal(signal.SIGHUP, self._count_reload)
        self.loaded_state = _state_of(path)
        self.next_check = 0.0
        self.machine = _load_when_written(path, role)
        settings = self.machine.settings
        self.log = event_log.EventLog(settings.instance)
        self.common = common_module.SharedComponents(settings)
        metrics = self.common.metrics
        self.events = event_metrics.EventMetrics(metrics, self.log)
        bounds = listener_bounds.ListenerBounds(
            self.machine.memory_bytes,
            self.machine.descriptors,
            self.events,
            callers.REQUEST_ID,
        )
        self.role = _new_role(
            role, self.machine, self.common, self.events, policy, bounds
        )
        self.metrics_listener = http1_server.HttpListener(
            settings.metrics,
            self._scrape,
            limits=listener_bounds.without_body,
            bounds=bounds.beside(),
            on_yielded=bounds.report,
        )
        signal.signal(signal.SIGTERM, self._count_stop)

    def run(self) -> int:
        """Runs until SIGTERM or a failure; returns the exit code."""
        self.role.start()
        self.common.timers.spawn(self._watch_loop)
        self.common.timers.spawn(self._watch_memory)
        instance = self.machine.settings.instance
        self.events.emit(
            event_types.ProcessStarted(
                self.role_name,
                instance,
                self.common.streams.address,
                round(time.monotonic() - self.started_at, 3),
            )
        )
        while not self.stop_signals and self.role.failure() is None:
            self.common.timers.sleep_to_next(_STOP_CHECK_SECONDS)
            self._reload_if_changed()
        if self.role.failure() is not None:
            logger.error("Stopping: {}", self.role.failure())
            self.log.close()
            return _EXIT_FAILED
        return self._stop()

    def _scrape(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        self.role.update_gauges()
        body, kind = self.common.metrics.render()
        reply.send(200, [("content-type", kind)], body)

    def _watch_loop(self) -> None:
        """Measures how late the event loop runs a timer."""
        timers = self.common.timers
        while not self.stop_signals:
            late = timers.sleep_to_next(_LOOP_CHECK_SECONDS)
            self.common.metrics.observe("loop_lag_seconds", late)

    def _watch_memory(self) -> None:
        """Reports what uses memory whenever the peak has grown by a step."""
        reported_mb = 0.0
        while not self.stop_signals:
            peak_mb = process_memory.peak_mb()
            if peak_mb >= reported_mb + _MEMORY_STEP_MB:
                reported_mb = peak_mb
                sizes = self.role.sizes() | self.common.streams.buffer_usage()
                self.events.emit(
                    event_types.MemoryGrown(round(peak_mb, 1), sizes)
                )
            self.common.timers.sleep_to_next(_MEMORY_CHECK_SECONDS)

    def _stop(self) -> int:
        in_flight = self.role.in_flight()
        self.events.emit(event_types.ProcessStopping(self.role_name, in_flight))
        until = self.common.timers.now() + self.machine.settings.stop_seconds
        interrupted = self.role.stop(until)
        self.events.emit(
            event_types.ProcessStopped(self.role_name, interrupted)
        )
        eventlet.sleep(_FLUSH_SECONDS)
        self.log.close()
        # The interpreter gives handlers up as it ends. A signal would then end
        # the process as a failed one.
        for number in (signal.SIGHUP, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        return 0

    def _reload_if_changed(self) -> None:
        """Reloads the settings after SIGHUP, or when the file has changed."""
        if not self.reload_signals and time.monotonic() < self.next_check:
            return
        self.next_check = time.monotonic() + _SETTINGS_CHECK_SECONDS
        state = _state_of(self.path)
        requested, self.reload_signals = self.reload_signals, 0
        if not requested and state == self.loaded_state:
            return
        self.loaded_state = state
        try:
            machine = settings_module.load(self.path, self.role_name)
        except errors.MintcleatError as error:
            # The file may be half written; the next check reads it again.
            logger.warning("Settings were not reloaded: {}", error.detail)
            self.loaded_state = None
            return
        changed = self.role.reload(machine)
        self.events.emit(event_types.SettingsReloaded(changed))

    def _count_stop(self, number: int, frame: Any) -> None:
        self.stop_signals += 1

    def _count_reload(self, number: int, frame: Any) -> None:
        self.reload_signals += 1


def _new_role(
    role: str,
    machine: settings_module.MachineSettings,
    common: common_module.SharedComponents,
    events: event_ports.EventReporter,
    policy: policy_module.Policy,
    bounds: listener_bounds.ListenerBounds,
) -> Any:
    """Returns a role; imports only what it needs, to save memory and time."""
    if role == settings_module.ENTRY:
        from mintcleat.main import hosted_entry

        return hosted_entry.EntryRole(machine, common, events, policy, bounds)
    from mintcleat.main import hosted_control

    return hosted_control.ControlRole(machine, common, events, bounds)


def _load_when_written(
    path: pathlib.Path, role: str
) -> settings_module.MachineSettings:
    """Returns the settings; waits for a file that is being written.

    Raises:
        errors.InvalidSettings: The file can't be read after the longest wait.
    """
    until = time.monotonic() + _SETTINGS_WAIT_SECONDS
    is_reported = False
    while True:
        try:
            return settings_module.load(path, role)
        except errors.InvalidSettings as error:
            if time.monotonic() > until:
                raise
            if not is_reported:
                logger.warning("Waiting for settings: {}", error.detail)
            is_reported = True
        time.sleep(_SETTINGS_RETRY_SECONDS)


def _state_of(path: pathlib.Path) -> FileState | None:
    """Returns the state of a file; None if there is none."""
    try:
        found = path.stat()
    except OSError:
        return None
    return FileState(
        found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns
    )


def main() -> None:
    """Runs the role that the command line names and exits with its code."""
    hubs.use_hub(event_loop.Hub)
    warnings.filterwarnings("ignore", category=DeprecationWarning)
    logger.remove()
    logger.add(
        sys.stderr,
        level="INFO",
        format="{time:HH:mm:ss.SSS} {message}",
        # Values of variables would show customers' keys.
        diagnose=False,
    )
    roles = (settings_module.ENTRY, settings_module.CONTROL)
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in roles:
        usage = f"usage: hosted {'|'.join(roles)} [POLICY]"
        print(usage, file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    try:
        policy = policy_module.DEFAULT
        if len(sys.argv) == 3:
            policy = policy_module.parse(pathlib.Path(sys.argv[2]).read_text())
        process = Process(sys.argv[1], settings_module.settings_path(), policy)
    except errors.MintcleatError as error:
        print(f"{error.detail}\nremedy: {error.remedy}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    except OSError as error:
        print(f"{error}\nremedy: Name a policy's file.", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    sys.exit(process.run())


if __name__ == "__main__":
    main()
