"""Load and health of the upstreams that an entry sends routed requests to."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple
from typing import Protocol

from mintcleat.configuration import directory
from mintcleat.decisions import contact_times
from mintcleat.decisions import engine_memory
from mintcleat.decisions import load_balancing
from mintcleat.decisions import policy as policy_module
from mintcleat.decisions import running_requests
from mintcleat.decisions import shared_health
from mintcleat.decisions import shared_load
from mintcleat.decisions import turn_estimates
from mintcleat.decisions import turn_time
from mintcleat.decisions import upstream_health
from mintcleat.domain import events as event_types
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import registrations
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

# Age beyond which `others_age` returns no age of the other entries' report.
# Placement ignores a report much earlier; see `decisions.shared_load`.
MAX_REPORT_AGE_SECONDS = 60.0
# Turns go to upstreams that failed once if fewer than this fraction of a
# service is left and full. If most have failed, one failure doesn't tell a
# faulty one; a single faulty one would lose turns that could wait elsewhere.
_FEW_FRACTION = 0.5
# Reported slowdowns are multiples of this, in percent.
_SLOWDOWN_STEP = 5


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
        memory_tokens: Tokens that an upstream of the service holds; 0 if
            unknown.
        origin: Origin of the stream that it continues; None for any.
    """

    call: routed_calls.RoutedCall
    hint: str
    affinity: str
    repeatable: bool
    memory_tokens: int = 0
    origin: stream_origins.KnownOrigin | None = None


class Placement(NamedTuple):
    """The upstream that was chosen for a request.

    Attributes:
        choice: The decision, with its reason.
        candidates: Number of upstreams that were eligible.
        turn: Tokens that the request holds in memory.
        uncached: Prompt tokens that the upstream has to read.
        load: Load of the upstream in batches, with the request.
        expected: Expected seconds to the end; -1 if unknown.
        held: Tokens that all requests hold there, without this one.
        slowdown: Time of the upstream divided by that of the median.
    """

    upstream: member_messages.Registration
    choice: load_balancing.Choice
    candidates: int
    turn: engine_memory.TurnTokens = engine_memory.TurnTokens()
    uncached: int = 0
    load: float = 0.0
    expected: float = -1.0
    held: int = 0
    slowdown: float = 1.0


class UpstreamLoads:
    """Tracks load and health of upstreams and chooses among them.

    State is kept per incarnation: an upstream that restarts under the same id
    has an empty cache and doesn't inherit penalties.

    Attributes:
        entry: Name of this entry.
        policy: Decisions that are switched on.
        others: Running requests of other entries.
        reported_at: When this entry last made a report.
        reported_failures: Upstreams that several other entries avoid.
        hanging: Upstreams that said nothing before a request was sent.
        requests: This entry's running requests.
        times: Measured rates and speeds.
        prefixes: Prompt parts that programs share.
        tokens: Tokens of this entry's requests, by incarnation.
        on_removed: Called with each incarnation that is removed.
        known: Current registrations by incarnation.
        by_service: Upstreams that accept new work, by service and incarnation.
        versions: Versions of their software, by service.
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
        self.reported_at = float("-inf")
        self.configuration = configuration
        self.timers = timers
        self.events = events
        self.on_removed = on_removed
        self.penalties = upstream_health.FailurePenalties()
        self.reported_failures = shared_health.ReportedFailures()
        self.hanging = contact_times.HangingUpstreams()
        self.requests = running_requests.RunningRequests()
        self.silence_detector = upstream_health.SilenceDetector(self.requests)
        self.latencies = load_balancing.LatencyTracker()
        self.times = turn_time.TurnTimes()
        self.prefixes = engine_memory.Prefixes()
        self.tokens: dict[str, engine_memory.RunningTokens] = {}
        self.known: dict[str, member_messages.Registration] = {}
        self.by_service: dict[str, dict[str, member_messages.Registration]] = {}
        self.versions: dict[str, set[str]] = {}
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
            self.times.forget(incarnation)
            self.penalties.forget(incarnation)
            self.silence_detector.forget(incarnation)
            self.hanging.forget(incarnation)
            self.on_removed(incarnation)
        for incarnation, item in entries.items():
            known = self.known.get(incarnation)
            if known is None or not directory.same_except_renewal(known, item):
                self._emit_changed(item, registered.version)
        self.known = entries
        self.by_service = {}
        self.versions = {}
        for incarnation, item in entries.items():
            if item.state == registrations.READY:
                self.by_service.setdefault(item.service, {})[incarnation] = item
                self.versions.setdefault(item.service, set()).add(item.version)

    def choose(
        self, service: str, tried: set[str], request: PlacementRequest
    ) -> Placement | None:
        """Chooses an upstream for a request.

        Args:
            service: Service that runs it.
            tried: Incarnations that are excluded.
            request: The request.

        Returns:
            The placement; None when no upstream is left.
        """
        now = self.timers.now()
        ready = self.by_service.get(service, {})
        policy = self.policy
        eligible = list(_eligible(ready, tried, request.origin))
        names = upstream_health.healthy(
            eligible,
            self.penalties if policy.standing else None,
            self.silence_detector if policy.silence else None,
            request.repeatable,
            now,
        )
        if policy.standing and not request.repeatable:
            few = len(names) < _FEW_FRACTION * len(eligible)
            if few and all(self._is_full(name, now) for name in names):
                names = self._with_recovering(names, eligible, now)
            names = self.reported_failures.allowed(names, now)
        if policy.turn_time:
            return self._choose_by_time(service, ready, names, request, now)
        return self._choose_by_count(ready, names, request, now)

    def _is_full(self, name: str, now: float) -> bool:
        """Returns whether a further request would exceed the slots."""
        running = self.running(name) + self._others_running(now).get(name, 0)
        return running >= max(1, self.known[name].slots)

    def _with_recovering(
        self, names: list[str], eligible: list[str], now: float
    ) -> list[str]:
        """Adds the upstreams that failed once and have free slots.

        All turns of this entry would otherwise queue at the few upstreams that
        have not failed, beside idle ones.
        """
        recovering = self.penalties.recovering(now)
        silence = self.silence_detector if self.policy.silence else None
        return names + [
            name
            for name in eligible
            if name in recovering
            and name not in names
            and not self._is_full(name, now)
            and not (silence is not None and silence.silent(name, now))
        ]

    def can_continue(
        self, service: str, origin: stream_origins.KnownOrigin | None
    ) -> bool:
        """Returns whether any upstream may continue a stream of an origin."""
        return self.has_any(service, set(), origin)

    def has_any(
        self,
        service: str,
        tried: set[str],
        origin: stream_origins.KnownOrigin | None,
    ) -> bool:
        """Returns whether `choose` would find an upstream.

        Args:
            service: Service of the request.
            tried: Incarnations that are excluded.
            origin: Origin of the stream that it continues; None for any.
        """
        ready = self.by_service.get(service, {})
        return any(_eligible(ready, tried, origin))

    def sound_others(
        self,
        service: str,
        tried: set[str],
        origin: stream_origins.KnownOrigin | None,
    ) -> list[str]:
        """Returns the upstreams that are not known to fail or to hang.

        Args:
            service: Service of the request.
            tried: Incarnations that are excluded.
            origin: Origin of the stream that shall continue there; None for
                any.
        """
        now = self.timers.now()
        ready = self.by_service.get(service, {})
        return [
            name
            for name in _eligible(ready, tried, origin)
            if self.penalties.allows(name, True, now)
            and not self.silence_detector.silent(name, now)
        ]

    def service_times(self, service: str) -> turn_time.ServiceTimes:
        """Returns the rates and speeds of a service."""
        now = self.timers.now()
        ready = self.by_service.get(service, {})
        return self._refreshed_times(
            service, ready, self._others_running(now), now
        )

    def estimates(
        self, service: str, call: routed_calls.RoutedCall, memory: int
    ) -> turn_estimates.TurnEstimates:
        """Returns what is known about a request at each ready upstream.

        Args:
            service: Service of the request.
            call: The request.
            memory: Tokens that an upstream holds; 0 if unknown.
        """
        now = self.timers.now()
        ready = self.by_service.get(service, {})
        return self._estimates(service, ready, call, memory, now)

    def total_slots(self, service: str) -> tuple[int, int]:
        """Returns the running requests of a service, and its slots."""
        others = self._others_running(self.timers.now())
        running = slots = 0
        for name, item in self.by_service.get(service, {}).items():
            running += self.running(name) + others.get(name, 0)
            slots += item.slots
        return running, slots

    def reserve(
        self, incarnation: str, request: str, turn: engine_memory.TurnTokens
    ) -> None:
        """Counts a request whose memory is copied to an upstream.

        The copy takes a slot there before the request is sent; nothing is
        expected to arrive meanwhile. `began` or `ended` must follow.
        """
        self.requests.began(incarnation, request, math.inf, self.timers.now())
        self._add_tokens(incarnation, request, turn)

    def _choose_by_count(
        self,
        ready: Mapping[str, member_messages.Registration],
        names: list[str],
        request: PlacementRequest,
        now: float,
    ) -> Placement | None:
        """Chooses by the number of running requests relative to slots.

        Args:
            ready: Upstreams that accept new work, by incarnation.
            names: Those of them that the request may go to.
            request: The request.
            now: Monotonic time.
        """
        policy = self.policy
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
        return Placement(self.known[choice.upstream], choice, len(candidates))

    def _choose_by_time(
        self,
        service: str,
        ready: Mapping[str, member_messages.Registration],
        names: list[str],
        request: PlacementRequest,
        now: float,
    ) -> Placement | None:
        """Chooses by the expected time to the end; see `_choose_by_count`."""
        call = request.call
        estimates = self._estimates(
            service, ready, call, request.memory_tokens, now
        )
        choice = load_balancing.choose_by_time(
            names,
            request.hint if self.policy.resident else "",
            request.affinity,
            call.request,
            estimates,
        )
        if choice is None:
            return None
        name = choice.upstream
        resident = choice.reason == load_balancing.RESIDENT
        expected = -1.0
        if estimates.times.rates is not None:
            expected = estimates.seconds(name, resident)
        return Placement(
            self.known[name],
            choice,
            len(names),
            estimates.turn,
            estimates.uncached(resident),
            estimates.load(name),
            expected,
            estimates.tokens(name),
            estimates.slowdowns.get(name, 1.0),
        )

    def _estimates(
        self,
        service: str,
        ready: Mapping[str, member_messages.Registration],
        call: routed_calls.RoutedCall,
        memory: int,
        now: float,
    ) -> turn_estimates.TurnEstimates:
        """Returns what is known about a request at each upstream."""
        others = self._others_running(now)
        times = self._refreshed_times(service, ready, others, now)
        generation = call.generation
        turn = engine_memory.TurnTokens()
        if generation.prompt_tokens or generation.parts:
            turn = self.prefixes.tokens_of(call.program.program, generation)
        pending = self.requests.by_upstream
        return turn_estimates.TurnEstimates(
            turn,
            lambda name: len(pending.get(name, ())) + others.get(name, 0),
            lambda name: ready[name].slots,
            memory,
            self.tokens,
            self.others.tokens if others else {},
            times,
            times.slowdowns if self.policy.speed else {},
        )

    def _refreshed_times(
        self,
        service: str,
        ready: Mapping[str, member_messages.Registration],
        others: Mapping[str, int],
        now: float,
    ) -> turn_time.ServiceTimes:
        """Returns a service's rates and speeds, computed again when due."""
        times = self.times.service(service)
        if now - times.refreshed_at < turn_time.REFRESH_SECONDS:
            return times
        pending = self.requests.by_upstream
        shared = self.others.slowdowns if others else {}

        def load_of(name: str) -> float:
            running = len(pending.get(name, ())) + others.get(name, 0)
            item = ready.get(name)
            return running / max(1, item.slots) if item else 0.0

        times.refresh(
            load_of,
            {name: value for name, value in shared.items() if name in ready},
            now,
        )
        return times

    def began(
        self,
        incarnation: str,
        request: str,
        silence_timeout: float,
        placement: Placement | None = None,
    ) -> None:
        """Counts a request that is sent to an upstream.

        Args:
            incarnation: Incarnation of the upstream.
            request: Request id.
            silence_timeout: Seconds of silence after which the upstream
                counts as silent.
            placement: How it was placed; None if its tokens and its time to
                the first event don't count.
        """
        now = self.timers.now()
        self.requests.began(incarnation, request, silence_timeout, now)
        if placement is None or not self.policy.turn_time:
            return
        self._add_tokens(incarnation, request, placement.turn)
        if incarnation not in self.known:
            return
        self.times.upstream(placement.upstream.service, incarnation).began(
            request, placement.uncached, placement.load, now
        )

    def _add_tokens(
        self, incarnation: str, request: str, turn: engine_memory.TurnTokens
    ) -> None:
        """Counts what a request holds in memory; nothing if it is unknown."""
        if not turn.total:
            return
        tokens = self.tokens.get(incarnation)
        if tokens is None:
            tokens = self.tokens[incarnation] = engine_memory.RunningTokens()
        tokens.add(request, turn)

    def arrived(self, incarnation: str) -> None:
        """Records that data arrived, or could have but for a slow caller."""
        if incarnation not in self.known:
            return
        now = self.timers.now()
        self.silence_detector.arrived(incarnation, now)
        times = self.times.upstreams.get(incarnation)
        if times is not None:
            times.alive_at = now

    def running(self, incarnation: str) -> int:
        """Returns the number of this entry's requests at an upstream."""
        return self.requests.count(incarnation)

    def running_elsewhere(self, incarnation: str) -> int:
        """Returns the number of other entries' requests; 0 if unknown."""
        return self._others_running(self.timers.now()).get(incarnation, 0)

    def others_age(self) -> float:
        """Returns the age of the others' report in seconds; -1 for none."""
        age = self.timers.now() - self.others.received_at
        return round(age, 3) if age < MAX_REPORT_AGE_SECONDS else -1.0

    def report(self) -> program_messages.RunningCounts:
        """Returns this entry's requests by upstream, and what it measured."""
        waits = self.requests.by_upstream
        counts = {
            incarnation: len(requests)
            for incarnation, requests in waits.items()
        }
        failing = self._failing()
        if not self.policy.turn_time:
            return program_messages.RunningCounts(
                self.entry, counts, failing=failing
            )
        measured = self._measured_slowdowns()
        # An upstream to be avoided is reported even without a request there, as
        # no other entry may have one. Others without a request are left out: a
        # name takes as much space as ten numbers.
        for incarnation, factor in measured.items():
            if factor >= load_balancing.MAX_SLOWDOWN:
                counts.setdefault(incarnation, 0)
        held = self.tokens
        tokens = [
            min(shared_load.MAX_TOKENS, held[incarnation].own)
            if incarnation in held
            else 0
            for incarnation in counts
        ]
        slowdowns = []
        if measured:
            slowdowns = [_percent(measured.get(name, 1.0)) for name in counts]
        return program_messages.RunningCounts(
            self.entry, counts, tokens, slowdowns, failing
        )

    def report_at_end(self) -> program_messages.RunningCounts | None:
        """Returns the report at a turn's end, None if the last one is young.

        A report without requests is short and always made: the last one would
        otherwise count at the leader until it is too old.
        """
        now = self.timers.now()
        age = now - self.reported_at
        if age < shared_load.INTERVAL and self.requests.by_upstream:
            return None
        self.reported_at = now
        return self.report()

    def report_for_summary(self) -> program_messages.RunningCounts | None:
        """Returns the report with which a turn asks for a summary.

        None if the last summary is young enough.
        """
        now = self.timers.now()
        if now - self.others.received_at < shared_load.INTERVAL:
            return None
        self.reported_at = now
        return self.report()

    def report_for_grant(self) -> program_messages.RunningCounts:
        """Returns a report that asks for a summary only if one is due.

        Admission control needs the entry's name with each request.
        """
        report = self.report_for_summary()
        if report is not None:
            return report
        self.reported_at = self.timers.now()
        report = self.report()
        sent = shared_load.without_summary(
            shared_load.SentReport(
                report.by_upstream, report.tokens, report.slowdowns
            )
        )
        return report._replace(
            by_upstream=dict(sent.running),
            tokens=list(sent.tokens),
            slowdowns=list(sent.slowdowns),
        )

    def _measured_slowdowns(self) -> dict[str, float]:
        """Returns this entry's slowdown factors by incarnation."""
        measured: dict[str, float] = {}
        if self.policy.speed:
            for times in self.times.services.values():
                measured.update(times.measured)
        return measured

    def update_others(
        self, others: shared_load.Summary, failing: Sequence[str] = ()
    ) -> None:
        """Replaces what other entries have running and measured.

        Args:
            others: Running requests, tokens and speeds.
            failing: Upstreams that several entries avoid.
        """
        now = self.timers.now()
        self.others.update(others, now)
        self.reported_failures.update(list(failing), now)

    def _failing(self) -> list[str]:
        """Returns the upstreams that this entry avoids."""
        now = self.timers.now()
        failing = [
            name
            for name in self.penalties.by_upstream
            if not self.penalties.allows(name, False, now)
        ]
        failing.extend(
            name
            for name in self.silence_detector.silent_upstreams(now)
            if name not in failing
        )
        return failing

    def ended(self, incarnation: str, request: str) -> None:
        """Removes a request from the count; idempotent."""
        self.requests.ended(incarnation, request)
        tokens = self.tokens.get(incarnation)
        if tokens is not None:
            tokens.remove(request)
            if not tokens.turns:
                del self.tokens[incarnation]
        times = self.times.upstreams.get(incarnation)
        if times is not None:
            times.ended(request)

    def first_event(self, incarnation: str, request: str) -> None:
        """Records the first event of an answer."""
        times = self.times.upstreams.get(incarnation)
        if times is not None:
            times.first_event(request, self.timers.now())

    def observe(self, incarnation: str, seconds: float) -> None:
        """Records the gap before an event or the time of a whole response."""
        item = self.known.get(incarnation)
        if item is None:
            return
        now = self.timers.now()
        if self.policy.turn_time:
            times = self.times.upstreams.get(incarnation)
            if times is None:
                times = self.times.upstream(item.service, incarnation)
            times.gap(seconds, now)
        else:
            self.latencies.observe(incarnation, seconds, now)

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
                item.upstream,
                item.service,
                item.address,
                item.state,
                version,
                item.version,
            )
        )


def _eligible(
    ready: Mapping[str, member_messages.Registration],
    tried: set[str],
    origin: stream_origins.KnownOrigin | None,
) -> Iterator[str]:
    """Yields the incarnations that may get a request; see `choose`."""
    for name, item in ready.items():
        if name not in tried and (
            origin is None or origin.allows(item.service, item.version)
        ):
            yield name


def _percent(factor: float) -> int:
    """Returns a slowdown in steps of 5 percent.

    Scatter within a step doesn't change the report, so the leader need not
    update its sums and medians.
    """
    steps = round(factor * (100 / _SLOWDOWN_STEP))
    return _SLOWDOWN_STEP * max(1, steps)
