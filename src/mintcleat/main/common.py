"""What all roles of one process share."""

from collections.abc import Callable
import time

from mintcleat.adapters import metrics as metrics_module
from mintcleat.adapters import settings as settings_module
from mintcleat.adapters import streams as streams_module
from mintcleat.adapters import timers as timers_module
from mintcleat.domain import messages
from mintcleat.roles import control_client
from mintcleat.roles import follower as follower_module


class Common:
    """What all roles of a process share."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.node = messages.Incarnation(settings.instance, time.time_ns())
        self.timers = timers_module.EventletTimers()
        self.streams = streams_module.TcpStreams(settings.listen)
        self.metrics = metrics_module.PrometheusMetrics()

    def client(self) -> control_client.ControlClient:
        """Returns a client of the program groups."""
        return control_client.ControlClient(
            self.streams,
            self.timers,
            self.settings.control,
            self.settings.program_groups,
        )

    def follower(
        self,
        role: str,
        announcer: Callable[[], messages.Announcement] | None = None,
    ) -> follower_module.Follower:
        """Returns the node's view of the configuration."""
        return follower_module.Follower(
            self.node,
            role,
            self.settings.failure_domain,
            self.streams.address,
            streams=self.streams,
            timers=self.timers,
            control_addresses=self.settings.control,
            announcer=announcer,
        )
