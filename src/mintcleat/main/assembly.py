"""The composition root: builds a process's parts from its settings."""

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
from mintcleat.main import control_part
from mintcleat.roles.entry import entry as entry_module
from mintcleat.roles.entry import placement as placement_module
from mintcleat.roles.sidecar import sidecar as sidecar_module

_LINGER_SECONDS = 0.1
_POLL_SECONDS = 0.02


class Part(Protocol):
    """One role in a process."""

    def start(self) -> None:
        """Begins to serve."""

    def drain(self) -> None:
        """Begins a planned stop; what is under way goes on."""

    def under_way(self) -> int:
        """Returns how many requests a stop would cut now."""

    def stop(self) -> None:
        """Ends at once."""

    def addresses(self) -> dict[str, str]:
        """Returns what the ready line tells of this role."""

    def gauge(self) -> None:
        """Writes the gauges of this role, for a scrape."""


class EntryPart:
    """The entry role with its HTTP server."""

    def __init__(self, common: common_module.Common) -> None:
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
        self.noticed = True

    def start(self) -> None:
        """Follows the configuration and watches the upstreams."""
        self.follower.start()
        self.placement.start()

    def drain(self) -> None:
        """Tells the balancer first, and only then refuses new work.

        The balancer learns from /readyz, by polling. Requests that it still
        sends in the meantime are served: refusing them would cut them.
        """
        self.entry.leaving = True
        self.noticed = False
        notice = self.common.settings.entry.notice_seconds
        self.common.timers.after(notice, self._refuse_new)

    def _refuse_new(self) -> None:
        self.entry.draining = True
        self.noticed = True

    def under_way(self) -> int:
        """Returns the requests that are being answered."""
        return self.server.active + (0 if self.noticed else 1)

    def stop(self) -> None:
        """Closes the listener."""
        self.server.stop()
        self.placement.stop()
        self.follower.stop()

    def addresses(self) -> dict[str, str]:
        """Returns the callers' address."""
        return {"http": self.server.address}

    def gauge(self) -> None:
        """Writes the entry's gauges."""
        metrics = self.common.metrics
        metrics.gauge("running_calls", self.entry.running)
        metrics.gauge("config_revision", self.follower.revision())


class SidecarPart:
    """The sidecar role."""

    def __init__(self, common: common_module.Common) -> None:
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
        """Returns the upstream's announcement."""
        return self.sidecar.announcement()

    def start(self) -> None:
        """Serves and announces the upstream."""
        self.sidecar.start()
        self.follower.start()

    def drain(self) -> None:
        """Refuses new work; entries hear of it by announcement and report."""
        self.sidecar.drain()
        self.follower.announce()

    def under_way(self) -> int:
        """Returns the calls that wait or run."""
        return len(self.sidecar.under_way())

    def stop(self) -> None:
        """Ends what is left, with a true outcome."""
        self.sidecar.stop(0.0)
        self.follower.stop()

    def addresses(self) -> dict[str, str]:
        """Returns nothing beside the streams' address."""
        return {}

    def gauge(self) -> None:
        """Writes the sidecar's gauges."""
        load = self.sidecar.load()
        metrics = self.common.metrics
        metrics.gauge("running_calls", load.running)
        metrics.gauge("queued_calls", load.queued)
        metrics.gauge("call_limit", load.limit)
        metrics.gauge("predicted_wait_seconds", load.wait)
        metrics.gauge("config_revision", self.follower.revision())


class Process:
    """One process with the roles of its settings."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.common = common_module.Common(settings)
        # Control first: the other roles of the same process need it.
        order = ("control", "sidecar", "entry")
        self.parts = [
            self._part(role) for role in order if role in settings.roles
        ]
        self.scrape: wsgi.HttpServer | None = None
        if settings.metrics:
            app = metrics_http.MetricsApp(self.common.metrics, self._gauge)
            self.scrape = wsgi.HttpServer(settings.metrics, app)

    def _part(self, role: str) -> Part:
        match role:
            case "control":
                return control_part.ControlPart(self.common)
            case "sidecar":
                return SidecarPart(self.common)
            case _:
                return EntryPart(self.common)

    def start(self) -> None:
        """Starts every role."""
        for part in self.parts:
            part.start()
        logger.info("Started as {}", self.common.node)

    def _gauge(self) -> None:
        for part in self.parts:
            part.gauge()

    def ready_line(self) -> str:
        """Returns the line that tells the addresses."""
        found = {"streams": self.common.streams.address}
        if self.scrape is not None:
            found["metrics"] = self.scrape.address
        for part in self.parts:
            found.update(part.addresses())
        pairs = " ".join(f"{name}={at}" for name, at in found.items())
        return f"ready {self.settings.instance} {pairs}"

    def failure(self) -> errors.MintcleatError | None:
        """Returns why the process can't go on, if it can't.

        A control replica whose disk failed stops by itself; a supervisor
        can only restart or replace what has ended.
        """
        for part in self.parts:
            if isinstance(part, control_part.ControlPart):
                return part.failure()
        return None

    def stop(self, impatient: Callable[[], bool]) -> int:
        """Stops every role, callers' side first; returns what was cut."""
        deadline = self.common.timers.now() + self.settings.stop_seconds
        cut = 0
        for part in reversed(self.parts):
            part.drain()
            self._wait(part, deadline, impatient)
            cut += part.under_way()
            part.stop()
        if self.scrape is not None:
            self.scrape.stop()
        # The last frames and replies are on their way to the sockets.
        self.common.timers.sleep(_LINGER_SECONDS)
        self.common.streams.stop()
        return cut

    def _wait(
        self, part: Part, deadline: float, impatient: Callable[[], bool]
    ) -> None:
        """Waits for a part; a second signal ends the waiting."""
        timers = self.common.timers
        while part.under_way() and timers.now() < deadline:
            if impatient():
                return
            timers.sleep(_POLL_SECONDS)
