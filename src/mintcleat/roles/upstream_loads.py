"""What an entry knows of the upstreams that it sends routed requests to."""

from collections.abc import Callable
from typing import Protocol

from mintcleat.configuration import directory
from mintcleat.decisions import spread
from mintcleat.domain import events as event_types
from mintcleat.domain import messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

READY = "ready"


class Configuration(Protocol):
    """The registered upstreams as this process follows them."""

    registered: directory.Directory

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change."""


class UpstreamLoads:
    """Counts running requests and avoids upstreams that failed.

    Attributes:
        running: Requests of this process, by upstream.
        by_service: Upstreams that take new work, by service.
        gone: Called with each upstream that went.
    """

    def __init__(
        self,
        configuration: Configuration,
        timers: timer_ports.Timers,
        events: event_ports.Events,
        gone: Callable[[str], None],
    ) -> None:
        self.configuration = configuration
        self.timers = timers
        self.events = events
        self.gone = gone
        self.running: dict[str, int] = {}
        self.avoided = spread.Avoided()
        self.speeds = spread.Speeds()
        self.known: dict[str, messages.Registration] = {}
        self.by_service: dict[str, list[messages.Registration]] = {}
        configuration.subscribe(self.read)

    def read(self) -> None:
        """Takes the directory as it is now."""
        registered = self.configuration.registered
        entries = registered.entries
        for name in self.known.keys() - entries.keys():
            held = self.known[name]
            self._tell(held._replace(state="gone"), registered.version)
            self.speeds.forget(name)
            self.gone(name)
        for name, item in entries.items():
            held = self.known.get(name)
            if held is None or not directory.same_in_force(held, item):
                self._tell(item, registered.version)
        self.known = dict(entries)
        self.by_service = {}
        for item in entries.values():
            if item.state == READY:
                self.by_service.setdefault(item.service, []).append(item)

    def choose(
        self, service: str, tried: set[str], hint: str, key: str, request: str
    ) -> tuple[messages.Registration, spread.Choice, int] | None:
        """Returns an upstream, why, and among how many; None for none."""
        now = self.timers.now()
        ready = [
            item
            for item in self.by_service.get(service, ())
            if item.upstream not in tried
        ]
        usable = [
            item for item in ready if self.avoided.allows(item.upstream, now)
        ]
        names = [item.upstream for item in usable or ready]
        slow = self.speeds.factors(names, now)
        candidates = [
            spread.Candidate(
                item.upstream,
                self.running.get(item.upstream, 0),
                item.slots,
                slow.get(item.upstream, 1.0),
            )
            for item in usable or ready
        ]
        choice = spread.choose(candidates, hint, key, request)
        if choice is None:
            return None
        return self.known[choice.upstream], choice, len(candidates)

    def began(self, upstream: str) -> None:
        """Counts a request that goes there."""
        self.running[upstream] = self.running.get(upstream, 0) + 1

    def ended(self, upstream: str) -> None:
        """Takes the request back out of the count."""
        left = self.running.get(upstream, 0) - 1
        if left > 0:
            self.running[upstream] = left
        else:
            self.running.pop(upstream, None)

    def observe(self, upstream: str, seconds: float) -> None:
        """Takes the pause before a piece, or the time of a whole answer."""
        self.speeds.observe(upstream, seconds, self.timers.now())

    def answered(self, upstream: str) -> None:
        """Notes an answer."""
        self.avoided.answered(upstream)

    def failed(self, upstream: messages.Registration) -> None:
        """Notes that it could not be reached or broke off."""
        now = self.timers.now()
        pause = self.avoided.failed(upstream.upstream, now)
        self.events.emit(
            event_types.UpstreamAvoided(
                upstream.upstream,
                upstream.service,
                pause.failures,
                round(pause.until - now, 3),
            )
        )

    def _tell(self, item: messages.Registration, version: int) -> None:
        self.events.emit(
            event_types.UpstreamChanged(
                item.upstream, item.service, item.address, item.state, version
            )
        )
