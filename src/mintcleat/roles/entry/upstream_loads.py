"""What an entry knows of the upstreams that it sends routed requests to."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from mintcleat.configuration import directory
from mintcleat.decisions import spread
from mintcleat.decisions import standing
from mintcleat.domain import events as event_types
from mintcleat.domain import member_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

READY = "ready"


class Configuration(Protocol):
    """The registered upstreams as this process follows them."""

    registered: directory.Directory

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change."""


class Wanted(NamedTuple):
    """A request that is to be placed.

    Attributes:
        request: Its id.
        hint: Life of the upstream where its program ran last; empty for none.
        affinity: Program or object that requests have in common.
        repeatable: Whether it may run once more elsewhere.
    """

    request: str
    hint: str
    affinity: str
    repeatable: bool


class UpstreamLoads:
    """Counts running requests; leaves out upstreams that fail or keep silent.

    All that is learned is kept by the life of an upstream: what starts again
    under the same id has no cache and owes nothing for the life before.

    Attributes:
        running: Requests of this process, by life.
        known: Registrations in force, by life.
        by_service: Upstreams that take new work, by service.
        gone: Called with each life that is over.
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
        self.standings = standing.Standings()
        self.silences = standing.Silences()
        self.speeds = spread.Speeds()
        self.known: dict[str, member_messages.Registration] = {}
        self.by_service: dict[str, list[member_messages.Registration]] = {}
        configuration.subscribe(self.read)

    def read(self) -> None:
        """Takes the directory as it is now."""
        registered = self.configuration.registered
        entries = {item.life: item for item in registered.entries.values()}
        for life in self.known.keys() - entries.keys():
            held = self.known[life]
            self._tell(held._replace(state="gone"), registered.version)
            self.speeds.forget(life)
            self.standings.forget(life)
            self.gone(life)
        for life, item in entries.items():
            held = self.known.get(life)
            if held is None or not directory.same_in_force(held, item):
                self._tell(item, registered.version)
        self.known = entries
        self.by_service = {}
        for item in entries.values():
            if item.state == READY:
                self.by_service.setdefault(item.service, []).append(item)

    def choose(
        self, service: str, tried: set[str], wanted: Wanted
    ) -> tuple[member_messages.Registration, spread.Choice, int] | None:
        """Returns an upstream, why, and among how many; None for none."""
        now = self.timers.now()
        ready = {
            item.life: item
            for item in self.by_service.get(service, ())
            if item.life not in tried
        }
        names = standing.usable(
            list(ready), self.standings, self.silences, wanted.repeatable, now
        )
        slow = self.speeds.factors(names, now)
        candidates = [
            spread.Candidate(
                name,
                self.running.get(name, 0),
                ready[name].slots,
                slow.get(name, 1.0),
            )
            for name in names
        ]
        choice = spread.choose(
            candidates, wanted.hint, wanted.affinity, wanted.request
        )
        if choice is None:
            return None
        return self.known[choice.upstream], choice, len(candidates)

    def began(self, life: str, request: str, patience: float) -> None:
        """Counts a request that goes there.

        Args:
            life: Where it goes.
            request: Its id.
            patience: Seconds of silence that are still usual for its route.
        """
        self.running[life] = self.running.get(life, 0) + 1
        self.silences.began(life, request, patience, self.timers.now())

    def arrived(self, life: str) -> None:
        """Notes that something came from it."""
        self.silences.arrived(life, self.timers.now())

    def ended(self, life: str, request: str) -> None:
        """Takes the request back out of the count."""
        self.silences.ended(life, request)
        left = self.running.get(life, 0) - 1
        if left > 0:
            self.running[life] = left
        else:
            self.running.pop(life, None)

    def observe(self, life: str, seconds: float) -> None:
        """Takes the pause before a piece, or the time of a whole answer."""
        if life in self.known:
            self.speeds.observe(life, seconds, self.timers.now())

    def answered(self, life: str, began: float) -> None:
        """Notes a good answer to a request that was sent at `began`."""
        self.standings.answered(life, began, self.timers.now())

    def failed(self, upstream: member_messages.Registration) -> None:
        """Notes that it failed a request, broke off or was not reached."""
        if upstream.life not in self.known:
            return
        now = self.timers.now()
        held = self.standings.failed(upstream.life, now)
        self.events.emit(
            event_types.UpstreamAvoided(
                upstream.upstream,
                upstream.service,
                round(held.failures, 2),
                round(held.until - now, 3),
            )
        )

    def _tell(self, item: member_messages.Registration, version: int) -> None:
        self.events.emit(
            event_types.UpstreamChanged(
                item.upstream, item.service, item.address, item.state, version
            )
        )
