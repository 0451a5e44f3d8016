"""Runs one role on a machine of the platform.

Its command line is `python -m mintcleat.main.hosted ROLE [POLICY]`; the second
word names a file that switches off mechanisms of an entry, for experiments.
The composition root for machines whose settings, callers, upstreams and
operators speak the platform's protocol; `assembly` is the one for our own.
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
from loguru import logger

from mintcleat.adapters import event_log
from mintcleat.adapters import event_metrics
from mintcleat.adapters import http1_server
from mintcleat.adapters import process_memory
from mintcleat.decisions import policy as policy_module
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.main import common as common_module
from mintcleat.platform import callers
from mintcleat.platform import control_api
from mintcleat.platform import machine as machine_module
from mintcleat.platform import upstreams
from mintcleat.ports import events as event_ports
from mintcleat.roles.entry import allowances
from mintcleat.roles.entry import gateway as gateway_module
from mintcleat.roles.entry import turn_keeper

_EXIT_SETTINGS = 2
_EXIT_FAILED = 4
_POLL_SECONDS = 0.05
_RELOAD_SECONDS = 1.0
# The platform asks once a second and believes the second refusal, so after
# this time it sends nobody here any more.
_NOTICE_SECONDS = 2.6
_STALE_SECONDS = 1.0
_HAND_OVER_SECONDS = 1.5
_LINGER_SECONDS = 0.1
# How often a change of leader or lease is looked for, to be told.
_WATCH_SECONDS = 0.1
# A start or a snapshot takes some tenths of a second, and more memory than
# the time between.
_MEMORY_SECONDS = 0.2
_MEMORY_STEP_MB = 8.0
# Often enough to see a stall of half a second, seldom enough to cost nothing.
_LOOP_SECONDS = 0.5


class EntryPart:
    """The entry role: callers' requests, and whether it takes them."""

    def __init__(
        self,
        machine: machine_module.Machine,
        common: common_module.Common,
        events: event_ports.EventReporter,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ) -> None:
        self.common = common
        self.follower = common.follower("entry")
        self.client = common.client()
        self.follower.subscribe(self._learn_control)
        self.http = upstreams.HttpUpstreams()
        allowed = allowances.Allowances(
            self.client, common.timers, events, self.follower
        )
        self.gateway = gateway_module.Gateway(
            self.follower,
            self.http,
            turn_keeper.TurnKeeper(self.client, allowed, common.timers, events),
            common.timers,
            events,
            self.follower.node.instance,
            policy,
        )
        self.revision = 0
        self.held_lease = False
        self.events = events
        handler = callers.Callers(self.gateway).handle
        self.listener = http1_server.HttpListener(
            machine.callers, handler, self.gateway.limits, self.gateway.ready
        )
        self.asked = http1_server.HttpListener(machine.ready, self._answer)

    def start(self) -> None:
        """Follows the configuration."""
        self.follower.start()
        self.common.timers.every(_STALE_SECONDS, self.http.pool.close_stale)
        self.common.timers.every(_WATCH_SECONDS, self._watch_control)

    def _watch_control(self) -> None:
        """Tells when the lease on the configuration is lost or back."""
        held = self.follower.has_lease()
        if held == self.held_lease:
            return
        self.held_lease = held
        address = self.follower.stream.address or "no control instance"
        kind = event_types.DependencyRegained
        if not held:
            kind = event_types.DependencyLost
        self.events.emit(kind("configuration lease", address))

    def _answer(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        status = 200 if self.gateway.ready() else 503
        reply.send(status, [("content-type", "text/plain")], b"\n")

    def _learn_control(self) -> None:
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

    def reload(self, machine: machine_module.Machine) -> list[str]:
        """Takes changed settings; returns the names of those that changed."""
        if machine.settings.control == self.follower.control_addresses:
            return []
        self.follower.control_addresses = list(machine.settings.control)
        return ["control"]

    def gauge(self) -> None:
        """Writes the gauges of this role."""
        metrics = self.common.metrics
        metrics.gauge("running_calls", self.listener.active)
        metrics.gauge("config_revision", self.follower.revision())
        metrics.gauge("lease_left_seconds", self.follower.lease_left())
        for (
            upstream,
            waits,
        ) in self.gateway.loads.silence_detector.pending_requests.items():
            running = len(waits)
            metrics.gauge("upstream_running_calls", running, upstream=upstream)

    def held(self) -> dict[str, int]:
        """Returns what may grow with the load, by name."""
        return {
            "requests": self.listener.active,
            "connections": len(self.listener.connections),
            "chain_bytes": self.gateway.turns.chains.size,
        }

    def under_way(self) -> int:
        """Returns the requests that have no answer yet."""
        return self.listener.active

    def failure(self) -> errors.MintcleatError | None:
        """Returns None: an entry goes on without any other process."""
        return None

    def stop(self, until: float) -> int:
        """Answers what is under way; returns the requests that were cut.

        Callers are sent here until the platform has noticed; they are
        served. Connections close after their answers meanwhile.
        """
        timers = self.common.timers
        self.gateway.draining = True
        timers.sleep(_NOTICE_SECONDS)
        self.listener.close_idle()
        while self.listener.connections and timers.now() < until:
            timers.sleep(_POLL_SECONDS)
        self.follower.stop()
        return self.under_way()


class ControlPart:
    """The control role: the replicated logs, operators and upstreams."""

    def __init__(
        self,
        machine: machine_module.Machine,
        common: common_module.Common,
        events: event_ports.EventReporter,
    ) -> None:
        # Imported here: an entry has no use for the logs and their disk.
        from mintcleat.main import control_part

        self.common = common
        self.part = control_part.ControlPart(common, events)
        self.events = events
        self.leaders: dict[str, tuple[str, int, str]] = {}
        api = control_api.ControlApi(
            self.part.config, machine.answer_seconds, events, machine.policies
        )
        self.listener = http1_server.HttpListener(machine.control, api.handle)

    def start(self) -> None:
        """Recovers from disk and takes part."""
        self.part.start()
        self.common.timers.every(_WATCH_SECONDS, self._watch_leaders)

    def _watch_leaders(self) -> None:
        for status in self.part.log.status():
            now = status.leader, status.term, status.role
            if self.leaders.get(status.group) != now:
                self.leaders[status.group] = now
                self.events.emit(
                    control_events.LeaderChanged(status.group, *now)
                )

    def reload(self, machine: machine_module.Machine) -> list[str]:
        """Learns changed members; the groups keep the ones that they have."""
        return []

    def gauge(self) -> None:
        """Writes the gauges of this role."""
        metrics = self.common.metrics
        self.part.gauge()
        for status in self.part.log.status():
            group = status.group
            metrics.gauge(
                "log_lag", status.commit - status.applied, group=group
            )
            metrics.gauge("log_term", status.term, group=group)
            metrics.gauge(
                "leader_lease_seconds", status.lease_left, group=group
            )

    def held(self) -> dict[str, int]:
        """Returns what may grow with the load, by name."""
        return self.part.log.resource_usage()

    def under_way(self) -> int:
        """Returns the operators' and upstreams' calls without an answer."""
        return self.listener.active

    def failure(self) -> errors.MintcleatError | None:
        """Returns why the replica stopped by itself, if it has."""
        return self.part.failure()

    def stop(self, until: float) -> int:
        """Hands every leadership over and ends."""
        self.part.log.transfer_leadership(_HAND_OVER_SECONDS)
        self.listener.close_idle()
        self.part.stop()
        return 0


class Process:
    """One role, from its settings to its end."""

    def __init__(
        self, role: str, path: pathlib.Path, policy: policy_module.Policy
    ) -> None:
        self.role = role
        self.path = path
        self.began = time.monotonic()
        self.stops = 0
        self.reloads = 0
        self.changed_at = _changed_at(path)
        self.next_look = 0.0
        self.machine = machine_module.load(path, role)
        settings = self.machine.settings
        self.log = event_log.EventLog(settings.instance)
        self.common = common_module.Common(settings)
        metrics = self.common.metrics
        self.events = event_metrics.MeasuredEvents(metrics, self.log)
        parts: dict[str, Callable[..., Any]] = {
            machine_module.ENTRY: functools.partial(EntryPart, policy=policy),
            machine_module.CONTROL: ControlPart,
        }
        self.part = parts[role](self.machine, self.common, self.events)
        self.scrape = http1_server.HttpListener(settings.metrics, self._scrape)
        signal.signal(signal.SIGTERM, self._take_stop)
        signal.signal(signal.SIGHUP, self._take_reload)

    def run(self) -> int:
        """Runs until a request to stop; returns the exit code."""
        self.part.start()
        self.common.timers.spawn(self._watch_loop)
        self.common.timers.spawn(self._watch_memory)
        instance = self.machine.settings.instance
        self.events.emit(
            event_types.ProcessStarted(
                self.role,
                instance,
                self.common.streams.address,
                round(time.monotonic() - self.began, 3),
            )
        )
        while not self.stops and self.part.failure() is None:
            eventlet.sleep(_POLL_SECONDS)
            self._reload_if_changed()
        if self.part.failure() is not None:
            logger.error("Stopping: {}", self.part.failure())
            self.log.close()
            return _EXIT_FAILED
        return self._stop()

    def _scrape(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        self.part.gauge()
        body, kind = self.common.metrics.render()
        reply.send(200, [("content-type", kind)], body)

    def _watch_loop(self) -> None:
        """Measures how late the loop runs what is due."""
        timers = self.common.timers
        while not self.stops:
            due = timers.now() + _LOOP_SECONDS
            timers.sleep(_LOOP_SECONDS)
            late = max(0.0, timers.now() - due)
            self.common.metrics.observe("loop_lag_seconds", late)

    def _watch_memory(self) -> None:
        """Tells what is held whenever the process takes more memory."""
        told = 0.0
        while not self.stops:
            peak = process_memory.peak_mb()
            if peak >= told + _MEMORY_STEP_MB:
                told = peak
                held = self.part.held() | self.common.streams.held_bytes()
                self.events.emit(event_types.MemoryGrown(round(peak, 1), held))
            self.common.timers.sleep(_MEMORY_SECONDS)

    def _stop(self) -> int:
        under_way = self.part.under_way()
        self.events.emit(event_types.ProcessStopping(self.role, under_way))
        until = self.common.timers.now() + self.machine.settings.stop_seconds
        cut = self.part.stop(until)
        self.events.emit(event_types.ProcessStopped(self.role, cut))
        eventlet.sleep(_LINGER_SECONDS)
        self.log.close()
        return 0

    def _reload_if_changed(self) -> None:
        """Reads the settings again when they changed, with or without HUP."""
        if not self.reloads and time.monotonic() < self.next_look:
            return
        self.next_look = time.monotonic() + _RELOAD_SECONDS
        changed_at = _changed_at(self.path)
        asked, self.reloads = self.reloads, 0
        if not asked and changed_at == self.changed_at:
            return
        self.changed_at = changed_at
        try:
            machine = machine_module.load(self.path, self.role)
        except errors.MintcleatError as error:
            # A file that is being written; the next look finds it whole.
            logger.warning("Settings not taken: {}", error.detail)
            self.changed_at = 0
            return
        changed = self.part.reload(machine)
        self.events.emit(event_types.SettingsReloaded(changed))

    def _take_stop(self, number: int, frame: Any) -> None:
        self.stops += 1

    def _take_reload(self, number: int, frame: Any) -> None:
        self.reloads += 1


def _changed_at(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def main() -> None:
    """Runs the role that the command line names."""
    warnings.filterwarnings("ignore", category=DeprecationWarning)
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {message}")
    roles = (machine_module.ENTRY, machine_module.CONTROL)
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in roles:
        usage = f"usage: hosted {'|'.join(roles)} [POLICY]"
        print(usage, file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    try:
        policy = policy_module.DEFAULT
        if len(sys.argv) == 3:
            policy = policy_module.parse(pathlib.Path(sys.argv[2]).read_text())
        process = Process(sys.argv[1], machine_module.settings_path(), policy)
    except errors.MintcleatError as error:
        print(f"{error.detail}\nremedy: {error.remedy}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    except OSError as error:
        print(f"{error}\nremedy: Name a policy's file.", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    sys.exit(process.run())


if __name__ == "__main__":
    main()
