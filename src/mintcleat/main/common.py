"""The components that all roles of one process share."""

from collections.abc import Callable
import time

from mintcleat.adapters import metrics as metrics_module
from mintcleat.adapters import settings as settings_module
from mintcleat.adapters import streams as streams_module
from mintcleat.adapters import streams_limits
from mintcleat.adapters import timers as timers_module
from mintcleat.configuration import lease
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.roles import control_client
from mintcleat.roles import follower as follower_module


class SharedComponents:
    """The components that all roles of one process share."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.node = identities.Incarnation(settings.instance, time.time_ns())
        self.timers = timers_module.AlignedTimers()
        times = settings.times
        self.streams = streams_module.TcpStreams(
            settings.listen,
            streams_limits.Limits(
                heartbeat=times.stream_heartbeat,
                silence_timeout=times.stream_silence,
                connect_timeout=times.stream_connect,
            ),
        )
        self.metrics = metrics_module.PrometheusMetrics()

    def client(self) -> control_client.ControlClient:
        """Returns a new client of the program groups."""
        return control_client.ControlClient(
            self.streams,
            self.timers,
            list(self.settings.control),
            self.settings.program_groups,
            self.settings.times.control_try,
        )

    def lease_times(self) -> lease.Times:
        """Returns the times of configuration leases."""
        times = self.settings.times
        return lease.Times(
            times.max_lease,
            times.renew,
            times.relay_renew,
            times.move_after,
            times.member_lease,
            times.key_grace,
        )

    def follower(
        self,
        role: str,
        announcer: Callable[[], member_messages.Announcement] | None = None,
    ) -> follower_module.Follower:
        """Returns a new follower of the configuration.

        Args:
            role: The role that it is for.
            announcer: Returns the announcement of a sidecar's upstream.
        """
        return follower_module.Follower(
            self.node,
            role,
            self.settings.failure_domain,
            self.streams.address,
            streams=self.streams,
            timers=self.timers,
            control_addresses=self.settings.control,
            announcer=announcer,
            times=self.lease_times(),
        )
