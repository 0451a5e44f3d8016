"""Load and health of the upstreams that an entry sends routed requests to."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from mintcleat.configuration import directory
from mintcleat.decisions import load_balancing
from mintcleat.decisions import policy as policy_module
from mintcleat.decisions import shared_load
from mintcleat.decisions import upstream_health
from mintcleat.domain import events as event_types
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import registrations
from mintcleat.domain import routed_calls
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

# Age from which on `others_age` gives no figure for the other entries' report.
# Placement ignores a report much earlier; see `decisions.shared_load`.
MAX_REPORT_AGE_SECONDS = 60.0


class Configuration(Protocol):
    """The part of the followed configuration that holds the upstreams."""

    registered: directory.Directory

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each change."""


class PlacementRequest(NamedTuple):
    """A request that needs an upstream.

    Attributes:
        hint: Incarnation of the upstream that ran its program last; empty for
            none.
        affinity: Key shared by requests that should go to one upstream.
        repeatable: Whether another upstream may run it after a failure.
    """

    call: routed_calls.RoutedCall
    hint: str
    affinity: str
    repeatable: bool


class UpstreamLoads:
    """Tracks load and health of upstreams and chooses among them.

    State is kept per incarnation: an upstream that restarts under the same id
    has an empty cache and doesn't inherit penalties.

    Attributes:
        entry: Name of this entry.
        policy: Decisions that are switched on.
        others: Running requests of other entries.
        on_removed: Called with each incarnation that is removed.
        known: Current registrations by incarnation.
        by_service: Upstreams that accept new work, by service and incarnation.
    """

    def __init__(
        self,
        configuration: Configuration,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        on_removed: Callable[[str], None],
        entry: str,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ) -> None:
        self.entry = entry
        self.policy = policy
        self.others = shared_load.OtherEntriesLoad()
        self.configuration = configuration
        self.timers = timers
        self.events = events
        self.on_removed = on_removed
        self.penalties = upstream_health.FailurePenalties()
        self.silence_detector = upstream_health.SilenceDetector()
        self.latencies = load_balancing.LatencyTracker()
        self.known: dict[str, member_messages.Registration] = {}
        self.by_service: dict[str, dict[str, member_messages.Registration]] = {}
        configuration.subscribe(self.refresh)

    def refresh(self) -> None:
        """Applies the current directory and reports the changes."""
        registered = self.configuration.registered
        entries = {
            item.incarnation: item for item in registered.entries.values()
        }
        for incarnation in self.known.keys() - entries.keys():
            previous = self.known[incarnation]
            self._emit_changed(
                previous._replace(state="gone"), registered.version
            )
            self.latencies.forget(incarnation)
            self.penalties.forget(incarnation)
            self.on_removed(incarnation)
        for incarnation, item in entries.items():
            previous = self.known.get(incarnation)
            if previous is None or not directory.same_except_renewal(
                previous, item
            ):
                self._emit_changed(item, registered.version)
        self.known = entries
        self.by_service = {}
        for incarnation, item in entries.items():
            if item.state == registrations.READY:
                self.by_service.setdefault(item.service, {})[incarnation] = item

    def choose(
        self, service: str, tried: set[str], request: PlacementRequest
    ) -> tuple[member_messages.Registration, load_balancing.Choice, int] | None:
        """Chooses an upstream for a request.

        Args:
            service: Service that runs it.
            tried: Incarnations that are excluded.
            request: The request.

        Returns:
            The upstream, the choice and the number of candidates; None when
            no upstream is left.
        """
        now = self.timers.now()
        ready = self.by_service.get(service, {})
        policy = self.policy
        names = upstream_health.healthy(
            [incarnation for incarnation in ready if incarnation not in tried],
            self.penalties if policy.standing else None,
            self.silence_detector if policy.silence else None,
            request.repeatable,
            now,
        )
        slow = (
            self.latencies.slowdown_factors(names, now) if policy.speed else {}
        )
        others = self._others_running(now)
        candidates = [
            load_balancing.Candidate(
                name,
                self.running(name) + others.get(name, 0),
                ready[name].slots,
                slow.get(name, 1.0),
            )
            for name in names
        ]
        hint = request.hint if policy.resident else ""
        choice = load_balancing.choose(
            candidates, hint, request.affinity, request.call.request
        )
        if choice is None:
            return None
        return self.known[choice.upstream], choice, len(candidates)

    def began(
        self, incarnation: str, request: str, silence_timeout: float
    ) -> None:
        """Counts a request that is sent to an upstream.

        Args:
            incarnation: Incarnation of the upstream.
            request: Request id.
            silence_timeout: Seconds of silence after which the upstream
                counts as silent.
        """
        self.silence_detector.began(
            incarnation, request, silence_timeout, self.timers.now()
        )

    def arrived(self, incarnation: str) -> None:
        """Records that data arrived from an upstream."""
        self.silence_detector.arrived(incarnation, self.timers.now())

    def running(self, incarnation: str) -> int:
        """Returns the number of this entry's requests at an upstream."""
        return self.silence_detector.waiting(incarnation)

    def running_elsewhere(self, incarnation: str) -> int:
        """Returns the number of other entries' requests; 0 if unknown."""
        return self._others_running(self.timers.now()).get(incarnation, 0)

    def others_age(self) -> float:
        """Returns the age of the others' report in seconds; -1 for none."""
        age = self.timers.now() - self.others.received_at
        return round(age, 3) if age < MAX_REPORT_AGE_SECONDS else -1.0

    def report(self) -> program_messages.RunningCounts:
        """Returns this entry's running requests by upstream."""
        waits = self.silence_detector.pending_requests
        counts = {
            incarnation: len(requests)
            for incarnation, requests in waits.items()
        }
        return program_messages.RunningCounts(self.entry, counts)

    def update_others(self, others: Mapping[str, int]) -> None:
        """Replaces the running requests of other entries."""
        self.others.update(others, self.timers.now())

    def ended(self, incarnation: str, request: str) -> None:
        """Removes a request from the count; idempotent."""
        self.silence_detector.ended(incarnation, request)

    def observe(self, incarnation: str, seconds: float) -> None:
        """Records the gap before an event or the time of a whole response."""
        if incarnation in self.known:
            self.latencies.observe(incarnation, seconds, self.timers.now())

    def answered(self, incarnation: str, began: float) -> None:
        """Records a good response to a request that was sent at `began`."""
        self.penalties.answered(incarnation, began, self.timers.now())

    def failed(self, upstream: member_messages.Registration) -> None:
        """Records a failed request, a broken response or a failed connect."""
        if upstream.incarnation not in self.known:
            return
        now = self.timers.now()
        previous = self.penalties.failed(upstream.incarnation, now)
        self.events.emit(
            event_types.UpstreamAvoided(
                upstream.upstream,
                upstream.service,
                round(previous.failures, 2),
                round(previous.until - now, 3),
            )
        )

    def _others_running(self, now: float) -> Mapping[str, int]:
        return self.others.current(now) if self.policy.shared_load else {}

    def _emit_changed(
        self, item: member_messages.Registration, version: int
    ) -> None:
        self.events.emit(
            event_types.UpstreamChanged(
                item.upstream, item.service, item.address, item.state, version
            )
        )
