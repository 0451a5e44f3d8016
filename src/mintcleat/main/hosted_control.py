"""The control role on a machine of the hosting platform.

Only a process of this role imports this module.
"""

from mintcleat.adapters import http1_server
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.main import common as common_module
from mintcleat.main import control_role
from mintcleat.main import listener_bounds
from mintcleat.platform import control_api
from mintcleat.platform import machine_settings as settings_module
from mintcleat.ports import events as event_ports
from mintcleat.roles.control.replication import status as replication_status

_LEADERSHIP_TRANSFER_SECONDS = 1.5
# Interval of the checks for a changed leader or lease, which is reported.
_STATUS_CHECK_SECONDS = 0.1
_POLL_SECONDS = 0.02
# Time after its limit in which a response is sent.
_ANSWER_MARGIN_SECONDS = 0.1
# Retry delay for callers that are refused: other instances serve at once.
_RETRY_SECONDS = 0.1


class ControlRole:
    """The control role with its listener for operators and upstreams."""

    def __init__(
        self,
        machine: settings_module.MachineSettings,
        common: common_module.SharedComponents,
        events: event_ports.EventReporter,
        bounds: listener_bounds.ListenerBounds | None = None,
    ) -> None:
        if bounds is None:
            bounds = listener_bounds.ListenerBounds(
                machine.memory_bytes, machine.descriptors, events
            )
        self.received = bounds.received
        self.common = common
        self.wrapped = control_role.ControlRole(
            common, events, machine.memory_bytes
        )
        self.events = events
        self.leaders: dict[str, replication_status.GroupLeader] = {}
        api = control_api.ControlApi(
            self.wrapped.config,
            machine.answer_seconds,
            events,
            machine.policies,
        )
        self.stopping = False
        self.answer_seconds = machine.answer_seconds
        self.listener = http1_server.HttpListener(
            machine.control,
            api.handle,
            keep_alive=lambda: not self.stopping,
            bounds=bounds.of_role(),
            on_yielded=bounds.report,
        )

    def start(self) -> None:
        """Recovers from disk and joins the groups."""
        self.wrapped.start()
        self.common.timers.every(_STATUS_CHECK_SECONDS, self._watch_leaders)

    def _watch_leaders(self) -> None:
        for found in self.wrapped.log.leaders():
            if self.leaders.get(found.group) != found:
                self.leaders[found.group] = found
                self.events.emit(control_events.LeaderChanged(*found))

    def reload(self, machine: settings_module.MachineSettings) -> list[str]:
        """Ignores new settings: the groups keep their members."""
        return []

    def update_gauges(self) -> None:
        """Sets the gauges of this role before a metrics scrape."""
        metrics = self.common.metrics
        self.wrapped.update_gauges()
        metrics.gauge("received_bytes", self.received.total)
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
        return self.wrapped.log.resource_usage() | {
            "kept_turn_bytes": self.wrapped.programs.kept_bytes(),
            "content_bytes": self.wrapped.programs.account.total(),
            "received_bytes": self.received.total,
        }

    def in_flight(self) -> int:
        """Returns the number of requests without a response."""
        return self.listener.active

    def failure(self) -> errors.MintcleatError | None:
        """Returns the error that stopped the replica, if any."""
        return self.wrapped.failure()

    def stop(self, until: float) -> int:
        """Transfers every leadership and stops, until a time at most.

        Requests in progress go on to the new leaders and are answered; one of
        which only a part has arrived is refused.

        Returns:
            The number of requests that were interrupted.
        """
        self.stopping = True
        self.wrapped.log.transfer_leadership(_LEADERSHIP_TRANSFER_SECONDS)
        self.listener.close_idle()
        timers = self.common.timers
        longest = self.answer_seconds + _ANSWER_MARGIN_SECONDS
        until = min(until, timers.now() + longest)
        while self.listener.active and timers.now() < until:
            timers.sleep(_POLL_SECONDS)
        interrupted = self.in_flight()
        self.listener.refuse_unread(
            errors.Draining(
                "This instance is stopping.", retry_after=_RETRY_SECONDS
            )
        )
        self.wrapped.stop()
        return interrupted
