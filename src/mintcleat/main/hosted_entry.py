"""The entry role on a machine of the hosting platform.

Only a process of this role imports this module.
"""

from mintcleat.adapters import http1_server
from mintcleat.adapters import unsent_bytes
from mintcleat.decisions import entry_capacity
from mintcleat.decisions import memory_account
from mintcleat.decisions import policy as policy_module
from mintcleat.decisions import stop_times
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.main import capacity_watch
from mintcleat.main import common as common_module
from mintcleat.main import listener_bounds
from mintcleat.platform import callers
from mintcleat.platform import machine_settings as settings_module
from mintcleat.platform import upstreams
from mintcleat.ports import events as event_ports
from mintcleat.roles.entry import gateway as gateway_module
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import turn_client

_POLL_SECONDS = 0.05
# The platform checks readiness once a second and stops sending requests after
# two failed checks, so none arrive any more after this time.
_DRAIN_NOTICE_SECONDS = 2.6
# Time for the last responses before the process ends: enough for some hundred
# of them, also if the event loop is late.
_LAST_ANSWERS_SECONDS = 0.3
_CLOSE_STALE_SECONDS = 1.0
# Part of the process's memory limit for bytes that wait for slow callers.
_UNSENT_FRACTION = 0.125
# The same for what requests hold of upstreams' answers.
_ANSWERS_FRACTION = 0.125
# The same for all that is large and on its way: conversations, what callers
# have sent and what requests hold of answers. The rest is for the process
# itself, for connections and for what the heap can't reuse.
_ACCOUNT_FRACTION = 0.3
# Interval of the checks for a changed leader or lease, which is reported.
_STATUS_CHECK_SECONDS = 0.1


class EntryRole:
    """The entry role with its listeners for callers and readiness checks."""

    def __init__(
        self,
        machine: settings_module.MachineSettings,
        common: common_module.SharedComponents,
        events: event_ports.EventReporter,
        policy: policy_module.Policy = policy_module.DEFAULT,
        bounds: listener_bounds.ListenerBounds | None = None,
    ) -> None:
        if bounds is None:
            bounds = listener_bounds.ListenerBounds(
                machine.memory_bytes, machine.descriptors, events
            )
        self.received = bounds.received
        self.account = memory_account.MemoryAccount(
            int(machine.memory_bytes * _ACCOUNT_FRACTION)
        )
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
            turn_client.TurnClient(
                self.client, limiter, common.timers, events, self.account
            ),
            common.timers,
            events,
            self.follower.node.instance,
            policy,
        )
        self.http.on_work = self.gateway.context.fair_turns.worked
        if machine.memory_bytes:
            self.gateway.context.memory.limit = int(
                machine.memory_bytes * _ANSWERS_FRACTION
            )
        self.account.others = [
            lambda: self.received.total,
            lambda: self.gateway.context.memory.total,
        ]
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
            bounds=bounds.of_role(),
            on_yielded=bounds.report,
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
            machine.ready,
            self._answer_readiness,
            limits=listener_bounds.without_body,
            bounds=bounds.beside(),
            on_yielded=bounds.report,
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
        kind = (
            event_types.DependencyRegained
            if has_lease
            else event_types.DependencyLost
        )
        self.events.emit(kind("configuration lease", address))

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
            self.listener.apply_limits()
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
        metrics.gauge("received_bytes", self.received.total)
        metrics.gauge("answer_bytes", self.gateway.context.memory.total)
        metrics.gauge("conversation_bytes", self.account.charged)
        metrics.gauge("quarantined_requests", len(self.follower.quarantine))
        metrics.gauge("suspected_requests", len(self.follower.suspects))
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
            "received_bytes": self.received.total,
            "answer_bytes": self.gateway.context.memory.total,
            "conversation_bytes": self.account.charged,
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
        these are served, and later ones if they can end in time. Meanwhile
        connections are closed after their responses. What has not ended shortly
        before the last moment gets a response that says whether it may have
        run, also a request of which only a part has arrived.

        Returns:
            The number of requests that were interrupted.
        """
        timers = self.common.timers
        now = timers.now()
        answers_by = max(now, until - _LAST_ANSWERS_SECONDS)
        notice_until = min(now + _DRAIN_NOTICE_SECONDS, answers_by)
        self.gateway.stop(stop_times.StopTimes(notice_until, answers_by))
        stop = self.gateway.context.stop
        while timers.now() < notice_until:
            stop.refuse_waiting()
            timers.sleep(_POLL_SECONDS)
        self.listener.close_idle()
        self._await_connections(answers_by)
        interrupted = self.in_flight()
        stop.end_unanswered()
        self.listener.refuse_unread(stop.error())
        # Also if the process is late: SIGKILL comes later than `until`.
        self._await_connections(timers.now() + _LAST_ANSWERS_SECONDS)
        stop.end_all()
        self.follower.stop()
        self.gateway.context.crashes.reporter.stop()
        return interrupted

    def _await_connections(self, until: float) -> None:
        """Waits for the end of all connections, until a time at most."""
        timers = self.common.timers
        while self.listener.connections and timers.now() < until:
            self.gateway.context.stop.refuse_waiting()
            timers.sleep(_POLL_SECONDS)
