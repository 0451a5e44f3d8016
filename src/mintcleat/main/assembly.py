"""The composition root: builds the roles of a process from its settings."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from mintcleat.adapters import caller_http
from mintcleat.adapters import engine_http
from mintcleat.adapters import metrics_http
from mintcleat.adapters import plain_http
from mintcleat.adapters import settings as settings_module
from mintcleat.adapters import wsgi
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.main import common as common_module
from mintcleat.main import control_role
from mintcleat.roles.entry import entry as entry_module
from mintcleat.roles.entry import placement as placement_module
from mintcleat.roles.sidecar import sidecar as sidecar_module

_FLUSH_SECONDS = 0.1
_POLL_SECONDS = 0.02


class Role(Protocol):
    """The components of one role in a process."""

    def start(self) -> None:
        """Starts to serve."""

    def drain(self) -> None:
        """Begins a graceful stop; requests in flight continue."""

    def in_flight(self) -> int:
        """Returns how many requests `stop` would interrupt now."""

    def stop(self) -> None:
        """Stops at once."""

    def addresses(self) -> dict[str, str]:
        """Returns this role's addresses in the ready line, by name."""

    def update_gauges(self) -> None:
        """Sets the gauges of this role before a metrics scrape."""


class EntryRole:
    """The entry role with its HTTP server."""

    def __init__(self, common: common_module.SharedComponents) -> None:
        self.common = common
        self.follower = common.follower("entry")
        placement = placement_module.Placement(
            common.settings.instance,
            common.streams,
            common.timers,
            self.follower,
        )
        self.placement = placement
        self.entry = entry_module.Entry(
            common.client(),
            self.follower,
            placement,
            common.streams,
            common.timers,
            common.metrics,
        )
        app = caller_http.CallerApp(self.entry, common.metrics)
        self.server = wsgi.HttpServer(common.settings.entry.http, app)
        self.notice_elapsed = True

    def start(self) -> None:
        """Starts to follow the configuration and to track the upstreams."""
        self.follower.start()
        self.placement.start()

    def drain(self) -> None:
        """Fails /readyz first and refuses new requests after a delay.

        The load balancer polls /readyz. Until it has seen the change it still
        sends requests. They are served, because a refusal would make them fail
        at their callers.
        """
        self.entry.leaving = True
        self.notice_elapsed = False
        notice = self.common.settings.entry.notice_seconds
        self.common.timers.after(notice, self._refuse_new)

    def _refuse_new(self) -> None:
        self.entry.draining = True
        self.notice_elapsed = True

    def in_flight(self) -> int:
        """Returns the requests in flight, at least 1 during the notice."""
        return self.server.active + (0 if self.notice_elapsed else 1)

    def stop(self) -> None:
        """Closes the listener and stops following the configuration."""
        self.server.stop()
        self.placement.stop()
        self.follower.stop()

    def addresses(self) -> dict[str, str]:
        """Returns the address of the callers' listener."""
        return {"http": self.server.address}

    def update_gauges(self) -> None:
        """Sets the entry's gauges."""
        metrics = self.common.metrics
        metrics.gauge("running_calls", self.entry.running)
        metrics.gauge("config_revision", self.follower.revision())


class SidecarRole:
    """The sidecar role with its upstream's adapter."""

    def __init__(self, common: common_module.SharedComponents) -> None:
        self.common = common
        options = common.settings.sidecar
        self.follower = common.follower("sidecar", self.announce)
        adapter = plain_http.HttpService
        if options.kind == "model":
            adapter = engine_http.HttpEngine
        self.sidecar = sidecar_module.Sidecar(
            common.node,
            sidecar_module.SidecarOptions(
                service=options.service,
                kind=options.kind,
                region=common.settings.region,
                failure_domain=common.settings.failure_domain,
                capacity=options.capacity,
            ),
            streams=common.streams,
            timers=common.timers,
            upstream=adapter(options.upstream),
            control=common.client(),
            directory=self.follower,
            address=common.streams.address,
            metrics=common.metrics,
        )

    def announce(self) -> member_messages.Announcement:
        """Returns the current announcement of the upstream."""
        return self.sidecar.announcement()

    def start(self) -> None:
        """Starts to serve and to announce the upstream."""
        self.sidecar.start()
        self.follower.start()

    def drain(self) -> None:
        """Refuses new calls; announcements and load reports say so."""
        self.sidecar.drain()
        self.follower.announce()

    def in_flight(self) -> int:
        """Returns the calls that are queued or running."""
        return len(self.sidecar.in_flight())

    def stop(self) -> None:
        """Ends the remaining calls, each with its correct outcome."""
        self.sidecar.stop(0.0)
        self.follower.stop()

    def addresses(self) -> dict[str, str]:
        """Returns no addresses: the sidecar has no listener of its own."""
        return {}

    def update_gauges(self) -> None:
        """Sets the sidecar's gauges."""
        load = self.sidecar.load()
        metrics = self.common.metrics
        metrics.gauge("running_calls", load.running)
        metrics.gauge("queued_calls", load.queued)
        metrics.gauge("call_limit", load.limit)
        metrics.gauge("predicted_wait_seconds", load.wait)
        metrics.gauge("config_revision", self.follower.revision())


class Process:
    """One process with the roles that its settings name."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.common = common_module.SharedComponents(settings)
        # Control is first: the other roles of the process depend on it.
        start_order = ("control", "sidecar", "entry")
        self.roles = [
            self._build_role(role)
            for role in start_order
            if role in settings.roles
        ]
        self.metrics_server: wsgi.HttpServer | None = None
        if settings.metrics:
            app = metrics_http.MetricsApp(
                self.common.metrics, self._update_gauges
            )
            self.metrics_server = wsgi.HttpServer(settings.metrics, app)

    def _build_role(self, role: str) -> Role:
        match role:
            case "control":
                return control_role.ControlRole(self.common)
            case "sidecar":
                return SidecarRole(self.common)
            case _:
                return EntryRole(self.common)

    def start(self) -> None:
        """Starts every role."""
        for role in self.roles:
            role.start()
        logger.info("Started as {}", self.common.node)

    def _update_gauges(self) -> None:
        for role in self.roles:
            role.update_gauges()

    def ready_line(self) -> str:
        """Returns the line with the addresses that is printed once started."""
        addresses = {"streams": self.common.streams.address}
        if self.metrics_server is not None:
            addresses["metrics"] = self.metrics_server.address
        for role in self.roles:
            addresses.update(role.addresses())
        pairs = " ".join(
            f"{name}={address}" for name, address in addresses.items()
        )
        return f"ready {self.settings.instance} {pairs}"

    def failure(self) -> errors.MintcleatError | None:
        """Returns the error that makes the process unusable, if any.

        A control replica stops when its disk fails. The process must then exit,
        because a supervisor restarts or replaces only processes that have.
        """
        for role in self.roles:
            if isinstance(role, control_role.ControlRole):
                return role.failure()
        return None

    def stop(self, is_forced: Callable[[], bool]) -> int:
        """Stops every role, in reverse order of their start.

        Args:
            is_forced: Returns whether to stop without waiting any longer.

        Returns:
            The number of requests that were interrupted.
        """
        deadline = self.common.timers.now() + self.settings.stop_seconds
        interrupted = 0
        for role in reversed(self.roles):
            role.drain()
            self._wait(role, deadline, is_forced)
            interrupted += role.in_flight()
            role.stop()
        if self.metrics_server is not None:
            self.metrics_server.stop()
        # Lets the last frames and responses reach the sockets.
        self.common.timers.sleep(_FLUSH_SECONDS)
        self.common.streams.stop()
        return interrupted

    def _wait(
        self, role: Role, deadline: float, is_forced: Callable[[], bool]
    ) -> None:
        """Waits until a role has no requests in flight."""
        timers = self.common.timers
        while role.in_flight() and timers.now() < deadline:
            if is_forced():
                return
            timers.sleep(_POLL_SECONDS)
