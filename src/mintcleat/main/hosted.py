"""Runs one role on a machine of the hosting platform.

    python -m mintcleat.main.hosted ROLE [POLICY]

POLICY is a file that disables mechanisms of an entry, for experiments.

This is the composition root for machines whose settings, callers, upstreams
and operators use the platform's protocols. `assembly` is the one for
mintcleat's own protocols.
"""

from collections.abc import Callable
import functools
import pathlib
import signal
import sys
import time
from typing import Any
import warnings

import eventlet
from eventlet import hubs
from loguru import logger

from mintcleat.adapters import event_log
from mintcleat.adapters import event_loop
from mintcleat.adapters import event_metrics
from mintcleat.adapters import http1_server
from mintcleat.adapters import process_memory
from mintcleat.adapters import unsent_bytes
from mintcleat.decisions import entry_capacity
from mintcleat.decisions import policy as policy_module
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.main import capacity_watch
from mintcleat.main import common as common_module
from mintcleat.platform import callers
from mintcleat.platform import control_api
from mintcleat.platform import machine_settings as settings_module
from mintcleat.platform import upstreams
from mintcleat.ports import events as event_ports
from mintcleat.roles.entry import gateway as gateway_module
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import turn_client

_EXIT_SETTINGS = 2
_EXIT_FAILED = 4
_POLL_SECONDS = 0.05
# Interval of the checks for a signal or a failure that ends the process.
_STOP_CHECK_SECONDS = 0.1
_SETTINGS_CHECK_SECONDS = 1.0
# The platform checks readiness once a second and stops sending requests after
# two failed checks, so none arrive any more after this time.
_DRAIN_NOTICE_SECONDS = 2.6
_CLOSE_STALE_SECONDS = 1.0
_LEADERSHIP_TRANSFER_SECONDS = 1.5
_FLUSH_SECONDS = 0.1
# Interval of the checks for a changed leader or lease, which is reported.
_STATUS_CHECK_SECONDS = 0.1
# Short enough to sample memory during a start or a snapshot, which take some
# tenths of a second and have the peaks.
_MEMORY_CHECK_SECONDS = 0.2
_MEMORY_STEP_MB = 8.0
# Part of the process's memory limit for bytes that wait for slow callers.
_UNSENT_FRACTION = 0.125
# Short enough to measure a stall of half a second, at negligible cost.
_LOOP_CHECK_SECONDS = 0.5


class EntryRole:
    """The entry role with its listeners for callers and readiness checks."""

    def __init__(
        self,
        machine: settings_module.MachineSettings,
        common: common_module.SharedComponents,
        events: event_ports.EventReporter,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ) -> None:
        self.common = common
        self.follower = common.follower("entry")
        self.client = common.client()
        self.follower.subscribe(self._apply_configuration)
        self.http = upstreams.HttpUpstreamClient()
        limiter = rate_limiter.RateLimiter(
            self.client, common.timers, events, self.follower
        )
        self.gateway = gateway_module.Gateway(
            self.follower,
            self.http,
            turn_client.TurnClient(self.client, limiter, common.timers, events),
            common.timers,
            events,
            self.follower.node.instance,
            policy,
        )
        self.revision = 0
        self.had_lease = False
        self.events = events
        handler = callers.CallerApi(self.gateway).handle
        self.listener = http1_server.HttpListener(
            machine.callers,
            handler,
            limits=self.gateway.limits,
            keep_alive=self.gateway.ready,
            on_stalled=self._report_stall,
            max_unsent_bytes=int(machine.memory_bytes * _UNSENT_FRACTION)
            or unsent_bytes.DEFAULT_LIMIT,
        )
        # None if the settings state no limits of the process.
        self.capacity_watch: capacity_watch.CapacityWatch | None = None
        if machine.memory_bytes or machine.descriptors:
            self.gateway.capacity = entry_capacity.EntryCapacity(
                entry_capacity.Limits(machine.memory_bytes, machine.descriptors)
            )
            self.capacity_watch = capacity_watch.CapacityWatch(
                self.gateway.capacity,
                common.timers,
                events,
                self.in_flight,
                self._close_idle_connections,
            )
        self.readiness_listener = http1_server.HttpListener(
            machine.ready, self._answer_readiness
        )

    def start(self) -> None:
        """Starts to follow the configuration."""
        self.follower.start()
        self.common.timers.every(
            _CLOSE_STALE_SECONDS, self.http.pool.close_stale
        )
        self.common.timers.every(_STATUS_CHECK_SECONDS, self._watch_lease)
        if self.capacity_watch is not None:
            self.common.timers.spawn(self.capacity_watch.run)

    def _close_idle_connections(self) -> None:
        self.listener.close_idle_connections()
        self.http.pool.close_idle()

    def _report_stall(self, stall: http1_server.Stall) -> None:
        request = stall.request
        self.events.emit(
            event_types.ResponseStalled(
                request.header(callers.REQUEST_ID) if request else "",
                stall.peer,
                stall.reason,
                stall.unsent,
                round(stall.waited_seconds, 3),
            )
        )

    def _watch_lease(self) -> None:
        """Reports when the lease on the configuration is lost or regained."""
        has_lease = self.follower.has_lease()
        if has_lease == self.had_lease:
            return
        self.had_lease = has_lease
        address = self.follower.stream.address or "no control instance"
        dependency = "configuration lease"
        if has_lease:
            event = event_types.DependencyRegained(dependency, address)
            self.events.emit(event)
        else:
            self.events.emit(event_types.DependencyLost(dependency, address))

    def _answer_readiness(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        status = 200 if self.gateway.ready() else 503
        reply.send(status, [("content-type", "text/plain")], b"\n")

    def _apply_configuration(self) -> None:
        self.client.addresses = self.follower.addresses()
        follower = self.follower
        if follower.revision() != self.revision:
            self.revision = follower.revision()
            current = follower.manifest()
            self.events.emit(
                event_types.ConfigurationApplied(
                    self.revision,
                    len(current.routes),
                    len(current.services),
                    round(follower.lease_left(), 3),
                )
            )

    def reload(self, machine: settings_module.MachineSettings) -> list[str]:
        """Applies new settings; returns the names of those that changed."""
        if machine.settings.control == self.follower.control_addresses:
            return []
        self.follower.control_addresses = list(machine.settings.control)
        return ["control"]

    def update_gauges(self) -> None:
        """Sets the gauges of this role before a metrics scrape."""
        metrics = self.common.metrics
        metrics.gauge("running_calls", self.listener.active)
        metrics.gauge("config_revision", self.follower.revision())
        metrics.gauge("lease_left_seconds", self.follower.lease_left())
        metrics.gauge("unsent_bytes", self.listener.unsent.total)
        metrics.gauge("capacity_level", int(self.gateway.capacity.level))
        for (
            upstream,
            pending,
        ) in self.gateway.loads.requests.by_upstream.items():
            running = len(pending)
            metrics.gauge("upstream_running_calls", running, upstream=upstream)

    def sizes(self) -> dict[str, int]:
        """Returns the sizes of what grows with the load, by name."""
        return {
            "requests": self.listener.active,
            "connections": len(self.listener.connections),
            "unsent_bytes": self.listener.unsent.total,
            "chain_bytes": self.gateway.turns.chains.size,
        }

    def in_flight(self) -> int:
        """Returns the number of requests without a response."""
        return self.listener.active

    def failure(self) -> errors.MintcleatError | None:
        """Returns None: an entry continues without any other process."""
        return None

    def stop(self, until: float) -> int:
        """Drains the requests in flight, until a time at most.

        The platform sends requests until its readiness checks have failed;
        these are served. Meanwhile connections are closed after their
        responses.

        Returns:
            The number of requests that were interrupted.
        """
        timers = self.common.timers
        self.gateway.draining = True
        timers.sleep(_DRAIN_NOTICE_SECONDS)
        self.listener.close_idle()
        while self.listener.connections and timers.now() < until:
            timers.sleep(_POLL_SECONDS)
        self.follower.stop()
        return self.in_flight()


class ControlRole:
    """The control role with its listener for operators and upstreams."""

    def __init__(
        self,
        machine: settings_module.MachineSettings,
        common: common_module.SharedComponents,
        events: event_ports.EventReporter,
    ) -> None:
        # Imported here because an entry doesn't need the logs and their disk.
        from mintcleat.main import control_role

        self.common = common
        self.wrapped = control_role.ControlRole(common, events)
        self.events = events
        self.leaders: dict[str, tuple[str, int, str]] = {}
        api = control_api.ControlApi(
            self.wrapped.config,
            machine.answer_seconds,
            events,
            machine.policies,
        )
        self.listener = http1_server.HttpListener(machine.control, api.handle)

    def start(self) -> None:
        """Recovers from disk and joins the groups."""
        self.wrapped.start()
        self.common.timers.every(_STATUS_CHECK_SECONDS, self._watch_leaders)

    def _watch_leaders(self) -> None:
        for status in self.wrapped.log.status():
            leader = status.leader, status.term, status.role
            if self.leaders.get(status.group) != leader:
                self.leaders[status.group] = leader
                self.events.emit(
                    control_events.LeaderChanged(status.group, *leader)
                )

    def reload(self, machine: settings_module.MachineSettings) -> list[str]:
        """Ignores new settings: the groups keep their members."""
        return []

    def update_gauges(self) -> None:
        """Sets the gauges of this role before a metrics scrape."""
        metrics = self.common.metrics
        self.wrapped.update_gauges()
        for status in self.wrapped.log.status():
            group = status.group
            metrics.gauge(
                "log_lag", status.commit - status.applied, group=group
            )
            metrics.gauge("log_term", status.term, group=group)
            metrics.gauge(
                "leader_lease_seconds", status.lease_left, group=group
            )

    def sizes(self) -> dict[str, int]:
        """Returns the sizes of what grows with the load, by name."""
        return self.wrapped.log.resource_usage()

    def in_flight(self) -> int:
        """Returns the number of requests without a response."""
        return self.listener.active

    def failure(self) -> errors.MintcleatError | None:
        """Returns the error that stopped the replica, if any."""
        return self.wrapped.failure()

    def stop(self, until: float) -> int:
        """Transfers every leadership and stops; returns 0."""
        self.wrapped.log.transfer_leadership(_LEADERSHIP_TRANSFER_SECONDS)
        self.listener.close_idle()
        self.wrapped.stop()
        return 0


class Process:
    """A process that runs one role."""

    def __init__(
        self, role: str, path: pathlib.Path, policy: policy_module.Policy
    ) -> None:
        self.role_name = role
        self.path = path
        self.started_at = time.monotonic()
        self.stop_signals = 0
        self.reload_signals = 0
        self.modified_at = _modified_at(path)
        self.next_check = 0.0
        self.machine = settings_module.load(path, role)
        settings = self.machine.settings
        self.log = event_log.EventLog(settings.instance)
        self.common = common_module.SharedComponents(settings)
        metrics = self.common.metrics
        self.events = event_metrics.EventMetrics(metrics, self.log)
        role_types: dict[str, Callable[..., Any]] = {
            settings_module.ENTRY: functools.partial(EntryRole, policy=policy),
            settings_module.CONTROL: ControlRole,
        }
        self.role = role_types[role](self.machine, self.common, self.events)
        self.metrics_listener = http1_server.HttpListener(
            settings.metrics, self._scrape
        )
        signal.signal(signal.SIGTERM, self._count_stop)
        signal.signal(signal.SIGHUP, self._count_reload)

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
            due = timers.now() + _LOOP_CHECK_SECONDS
            timers.sleep(_LOOP_CHECK_SECONDS)
            late = max(0.0, timers.now() - due)
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
        return 0

    def _reload_if_changed(self) -> None:
        """Reloads the settings after SIGHUP, or when the file has changed."""
        if not self.reload_signals and time.monotonic() < self.next_check:
            return
        self.next_check = time.monotonic() + _SETTINGS_CHECK_SECONDS
        modified_at = _modified_at(self.path)
        requested, self.reload_signals = self.reload_signals, 0
        if not requested and modified_at == self.modified_at:
            return
        self.modified_at = modified_at
        try:
            machine = settings_module.load(self.path, self.role_name)
        except errors.MintcleatError as error:
            # The file may be half written; the next check reads it again.
            logger.warning("Settings were not reloaded: {}", error.detail)
            self.modified_at = 0
            return
        changed = self.role.reload(machine)
        self.events.emit(event_types.SettingsReloaded(changed))

    def _count_stop(self, number: int, frame: Any) -> None:
        self.stop_signals += 1

    def _count_reload(self, number: int, frame: Any) -> None:
        self.reload_signals += 1


def _modified_at(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def main() -> None:
    """Runs the role that the command line names and exits with its code."""
    hubs.use_hub(event_loop.Hub)
    warnings.filterwarnings("ignore", category=DeprecationWarning)
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {message}")
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
