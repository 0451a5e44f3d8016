"""Checks on what callers, upstreams and the operator observe.

No I/O and no clock: observations come with their times, in seconds of one
monotonic clock. Each check allows for all orders of events that fit the
observations, so that a violation is certain.
"""

import collections
import itertools
import math
from typing import NamedTuple

from testing.soak import changes

# Time after the acknowledgement of a configuration by which every entry that
# is connected to control must apply it.
IN_FORCE_SECONDS = 2.0
# Time after an entry showed the effect of a version from which it must not act
# on an older one.
REGRESS_SECONDS = 0.25
# Part of the requests on routes that must be there which has to be served in a
# time without faults.
SERVED_PART = 0.25
# Chance that the check of weights finds a fault where there is none.
_FALSE_ALARM = 1e-9
# Time after the acknowledgement of a drain from which an upstream must not get
# new work.
DRAIN_SECONDS = 2.0
# Time after the end of a fault in which it may still have effects: processes
# connect again and elect leaders.
RECOVERY_SECONDS = 3.0
# Time after the last loss of a run, from the start of the processes, within
# which control must answer reads again.
READ_BACK_SECONDS = 12.0
# Length of the window of customers' limits, and the part beyond a limit that
# programs in progress may use (`limit_window` and `limit_overage`).
WINDOW_SECONDS = 5.0
OVERAGE = 0.1
# Statuses that say that the request has not run and never will.
REFUSALS = frozenset({400, 401, 402, 404, 413, 429, 503})
# Kinds of requests that every customer must get served. The others are probes,
# which may be refused rightly.
SERVED_KINDS = frozenset({"tool", "safe", "turn", "long_turn", "resume"})
# Crashes of upstreams under a request after which entries that are connected
# to control must know of it within `RECOVERY_SECONDS`, and the runs that may
# follow that.
CRASHES_ALLOWED = 3
LATE_RUNS_ALLOWED = 3
# Number of results from which a check draws conclusions; a few refusals in a
# row are not a fault.
MIN_RESULTS = 8
# Part of the engines' slots in use up to which no turn may be refused for load.
IDLE_FRACTION = 0.3
# Processes use 45 MB at rest; callers that read slowly may add an eighth of the
# memory limit of 220 MB, and kept turns 4 MB.
MAX_MEMORY_MB = 100.0
# The limit in the settings of the processes.
MAX_DESCRIPTORS = 1024


class Request(NamedTuple):
    """A request as its caller sent it.

    Attributes:
        request: Its id, which no other request has.
        kind: `tool`, `safe`, `turn`, `long_turn`, `resume`, `long`,
            `revision`, `key`, `change` or `late`.
        customer: The customer whose key it shows.
        entry: Name of the entry.
        sent_at: When its connection was opened.
        max_runs: How often upstreams may run it.
        program: Id of its program; empty if it has none.
        events: Number of the last event of its response; 0 for a plain one.
        body: What the upstream must receive; None if it isn't checked.
        content: Whole content of a plain response.
        crashing: Name of the request that crashes upstreams, of which this is
            a repetition; empty for others.
        after: Number of the event after which its response begins.
    """

    request: str
    kind: str
    customer: str
    entry: str
    sent_at: float
    max_runs: int
    program: str = ""
    events: int = 0
    body: bytes | None = None
    content: bytes = b""
    crashing: str = ""
    after: int = 0


class End(NamedTuple):
    """The end of a request as its caller saw it; see `client.Outcome`.

    Attributes:
        at: When the caller had it.
        numbers: Numbers of the events.
        intact: Whether the content of events or body is as expected.
        error: Kind and detail of the entry's error; empty if there is none.
        missing: Bytes that a plain body lacks.
        rest: Bytes after the last event of a stream.
        crossed: Whether a connection that had carried other requests was
            closed without a byte of response, so that the request may have
            crossed its end.
        makers: Numbers of the runs that made the events, in order, once each
            in a row; empty if their upstreams state none.
    """

    at: float
    sent: bool
    status: int
    whole: bool
    left: bool
    numbers: list[int]
    intact: bool
    error: str = ""
    missing: int = 0
    rest: int = 0
    crossed: bool = False
    makers: tuple[int, ...] = ()


class Run(NamedTuple):
    """The start of a run at an upstream."""

    at: float
    upstream: str
    customer: str


class Proof(NamedTuple):
    """An observation that a process has a version or a later one."""

    at: float
    version: int


class ChangeResult(NamedTuple):
    """A probe on a route that must be there."""

    sent_at: float
    probe: str
    served: bool


class ShareResult(NamedTuple):
    """A probe on a route with weights that are known.

    Attributes:
        part: Part of the requests that the alternative service must get.
        service: Service that ran it; empty if none did.
    """

    part: float
    service: str


class Violation(NamedTuple):
    """An observation that a check does not allow.

    Attributes:
        at: When it was found.
        rule: Name of the check.
        detail: What was observed.
    """

    at: float
    rule: str
    detail: str


class Disturbance(NamedTuple):
    """A time in which a node was under a fault.

    Attributes:
        node: Name of the process or upstream, or `load`; empty if the fault
            may affect every node.
        start: When it began.
        end: When it ended; infinity while it lasts.
    """

    node: str
    start: float
    end: float


class EnginesSample(NamedTuple):
    """Use of the engines' slots at a time.

    Attributes:
        at: When they were counted.
        turns: Part of all slots that ran a turn of a program.
        taken: Part of all slots that ran any request.
        waiting: Requests that waited for a slot at an engine.
        processor_wait: Seconds that the soak itself, which runs the stand-ins,
            has waited for a processor.
    """

    at: float
    turns: float
    taken: float
    waiting: int
    processor_wait: float = 0.0


class Checks:
    """Collects observations and the violations that they show.

    Attributes:
        requests: Requests by id.
        runs: Runs by request id.
        ends: Ends by request id.
        budgets: Budget of each program, in tokens.
        delivered: Tokens delivered to the caller of each program.
        pushed: When the push of each version of the configuration began.
        acknowledged: When each version was acknowledged.
        disturbances: Faults so far.
        planned: Planned stops so far.
        violations: What was found.
        broken: Requests whose upstream broke off an answer.
        peak_mb: Most memory that each process used, in units of 10**6 bytes.
        crashes: Times of the crashes under each request that crashes upstreams.
        late_runs: Runs of it that its quarantine should have prevented.
        versions: Versions of software that made the events of each stream, by
            its first request.
        take_ups: Number of take-ups of streams by what came of them.
        proofs: What each process of an entry has shown of its version.
        added: Results of probes on routes that must be there.
        shares: Results of probes on the route with weights.
        engines: Use of the engines' slots over time.
        uses: The same in each interval that was checked, as text.
    """

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.ends: dict[str, End] = {}
        self.budgets: dict[str, int] = {}
        self.delivered: dict[str, int] = collections.defaultdict(int)
        self.pushed: dict[int, float] = {}
        self.acknowledged: dict[int, float] = {}
        self.disturbances: list[Disturbance] = []
        self.planned: list[Disturbance] = []
        self.violations: list[Violation] = []
        self.broken: set[str] = set()
        self.peak_mb: dict[str, float] = {}
        self.crashes: dict[str, list[float]] = collections.defaultdict(list)
        self.late_runs: collections.Counter[str] = collections.Counter()
        self.versions: dict[str, list[str]] = collections.defaultdict(list)
        self.take_ups: collections.Counter[str] = collections.Counter()
        self.proofs: dict[str, list[Proof]] = collections.defaultdict(list)
        self.added: list[ChangeResult] = []
        self.shares: list[ShareResult] = []
        self.engines: list[EnginesSample] = []
        self.uses: list[str] = []

    def _report(self, at: float, rule: str, detail: str) -> None:
        self.violations.append(Violation(at, rule, detail))

    # --- Requests -------------------------------------------------------------

    def sent(self, request: Request) -> None:
        """A caller sends a request."""
        self.requests[request.request] = request

    def run_began(self, name: str, run: Run, body: bytes) -> None:
        """An upstream begins to run a request."""
        runs = self.runs[name]
        runs.append(run)
        request = self.requests.get(name)
        if request is None:
            self._report(run.at, "unknown_request", f"{name} at {run}")
            return
        if len(runs) > request.max_runs:
            self._report(
                run.at, "at_most_once", f"{request.kind} {name}: {runs}"
            )
        if request.body is not None and body != request.body:
            self._report(
                run.at,
                "chain",
                f"{name} received {body[:200]!r}, expected "
                f"{request.body[:200]!r}",
            )
        if run.customer != request.customer:
            self._report(
                run.at,
                "customer",
                f"{name} of {request.customer!r} runs as {run.customer!r}",
            )
        if request.crashing:
            self._check_crash_loop(request, run)
        end = self.ends.get(name)
        if end is not None and end.status in REFUSALS:
            self._report(
                run.at,
                "truthful_refusal",
                f"{request.kind} {name} was refused with {end.status} at "
                f"{end.at:.3f} and runs at {run}",
            )

    def ended(self, name: str, end: End) -> None:
        """A caller has the end of its request."""
        request = self.requests[name]
        self.ends[name] = end
        runs = self.runs.get(name, [])
        if end.status in REFUSALS and runs:
            self._report(
                end.at,
                "truthful_refusal",
                f"{request.kind} {name} is refused with {end.status} "
                f"{end.error} and ran at {runs}",
            )
        if end.status == 200:
            self._check_content(request, end)
            self._count_tokens(request, end)
            if not runs:
                self._report(
                    end.at, "invented", f"{name} has a response, but no run"
                )
        if end.error.startswith("quarantined") and not request.crashing:
            self._report(
                end.at,
                "innocent",
                f"{request.kind} {name} of {request.customer} is refused as "
                f"one that crashes upstreams: {end.error}",
            )
        self._check_planned(request, end)

    def crashed(self, at: float, name: str) -> None:
        """An upstream crashes under a request."""
        self.crashes[self.requests[name].crashing].append(at)

    def _check_crash_loop(self, request: Request, run: Run) -> None:
        """A request under which three upstreams crashed isn't passed on."""
        crashes = self.crashes[request.crashing]
        if len(crashes) < CRASHES_ALLOWED:
            return
        known_at = crashes[CRASHES_ALLOWED - 1] + RECOVERY_SECONDS
        if run.at <= known_at or not self._in_touch(request.entry, run.at):
            return
        self.late_runs[request.crashing] += 1
        if self.late_runs[request.crashing] == LATE_RUNS_ALLOWED + 1:
            self._report(
                run.at,
                "crash_loop",
                f"{request.crashing} runs at {run.upstream} through "
                f"{request.entry}, and {LATE_RUNS_ALLOWED} times before, more "
                f"than {RECOVERY_SECONDS:g} s after its crash number "
                f"{CRASHES_ALLOWED}; {len(crashes)} crashes",
            )

    def _in_touch(self, entry: str, at: float) -> bool:
        """Returns whether no fault kept an entry and control apart."""
        return not any(
            (fault.node in ("", entry) or fault.node.startswith("control"))
            and fault.start <= at <= fault.end + RECOVERY_SECONDS
            for fault in self.disturbances
        )

    def _check_content(self, request: Request, end: End) -> None:
        last = request.after + len(end.numbers)
        expected = list(range(request.after + 1, last + 1))
        if end.numbers != expected:
            self._report(end.at, "events", f"{request.request}: {end.numbers}")
        is_back = len(set(end.makers)) < len(end.makers)
        if is_back or len(end.makers) > request.max_runs:
            self._report(
                end.at,
                "joined_runs",
                f"{request.request} has events of the runs {end.makers}",
            )
        if end.whole and last != request.events:
            self._report(
                end.at,
                "early_end",
                f"{request.request} ended as whole after "
                f"{last} of {request.events} events",
            )
        if end.whole and (end.missing or end.rest):
            self._report(
                end.at,
                "early_end",
                f"{request.request} ended as whole; its body lacks "
                f"{end.missing} bytes and has {end.rest} after the last event",
            )
        if not end.intact:
            self._report(end.at, "content", f"{request.request} is not intact")

    def _count_tokens(self, request: Request, end: End) -> None:
        budget = self.budgets.get(request.program)
        if not budget or not request.events:
            return
        self.delivered[request.program] += len(end.numbers)
        if self.delivered[request.program] > budget:
            self._report(
                end.at,
                "budget",
                f"{request.program} got {self.delivered[request.program]} "
                f"tokens of {budget}",
            )

    def stream_read(
        self,
        at: float,
        first: str,
        versions: list[str],
        naming: str,
        error: str,
    ) -> None:
        """A caller has read a part of a stream: all of it is of one version.

        Args:
            at: When it had that.
            first: Request that brought the first event.
            versions: Versions that made the events of this part.
            naming: How it names the stream that it takes up: `first`, `latest`
                or `none`; empty if it begins one.
            error: Kind and detail of the entry's error; empty for none.
        """
        known = self.versions[first]
        known.extend(versions)
        if len(set(known)) > 1 and versions:
            self._report(at, "versions", f"{first} has events of {known}")
        if naming:
            kind = error.partition(":")[0] or "no answer"
            outcome = "went on" if versions else kind
            self.take_ups[f"{naming} {outcome}"] += 1

    def _check_planned(self, request: Request, end: End) -> None:
        """Nothing is lost at a planned stop."""
        if end.left or (end.whole and end.status not in (502, 504)):
            return
        if not end.sent or request.request in self.broken:
            return
        if end.crossed and not self.runs.get(request.request):
            return
        if request.kind == "long":
            # It may take longer than a process that stops goes on.
            return
        if request.kind == "late" and end.status == 504:
            # Its upstream answers only after the time-out of its route.
            return
        for stop in self.planned:
            is_during = request.sent_at >= stop.start and end.at <= stop.end
            if is_during and not self.disturbed("", stop.start, stop.end):
                self._report(
                    end.at,
                    "planned_stop",
                    f"{request.kind} {request.request} at {request.entry} "
                    f"during the stop of {stop.node}: status {end.status} "
                    f"{end.error}, sent {request.sent_at - stop.start:.3f} s "
                    f"after it began, ended after "
                    f"{end.at - request.sent_at:.3f} s",
                )

    # --- Limits ---------------------------------------------------------------

    def check_limits(self, now: float, limits: dict[str, list[float]]) -> None:
        """No window has more requests of a customer than its limit.

        A request was admitted between its sending and its run. Only those
        count that were both sent and run in the window.

        Args:
            now: When the check is made.
            limits: Rate and burst by customer.
        """
        for customer, (rate, burst) in limits.items():
            found = sorted(
                (request.sent_at, self.runs[name][0].at)
                for name, request in self.requests.items()
                if request.customer == customer and self.runs.get(name)
            )
            allowed = (rate * WINDOW_SECONDS + burst) * (1 + OVERAGE)
            for number, (start, _) in enumerate(found):
                inside = sum(
                    1
                    for sent, ran in itertools.islice(found, number, None)
                    if sent <= start + WINDOW_SECONDS
                    and ran <= start + WINDOW_SECONDS
                )
                if inside > allowed:
                    self._report(
                        now,
                        "rate_limit",
                        f"{customer}: {inside} requests in a window, allowed "
                        f"are {allowed:g}",
                    )
                    break

    # --- Configuration and keys -----------------------------------------------

    def acknowledged_before(self, at: float) -> int:
        """Returns the highest version acknowledged before a time."""
        return max(
            (v for v, time in self.acknowledged.items() if time < at), default=0
        )

    def pushed_before(self, at: float) -> int:
        """Returns the highest version whose push began before a time."""
        return max((v for v, t in self.pushed.items() if t <= at), default=0)

    def configuration_read(
        self, began: float, ended: float, version: int
    ) -> None:
        """Control has answered a read of the configuration."""
        least = self.acknowledged_before(began)
        if version < least:
            self._report(
                ended,
                "stale_configuration",
                f"version {version} was read, {least} had been acknowledged "
                f"{began - self.acknowledged[least]:.3f} s before",
            )
        if version > self.pushed_before(ended):
            self._report(
                ended, "unknown_configuration", f"version {version} was read"
            )

    def revision_answered(self, name: str, version: int, end: End) -> None:
        """A route that only one version has was used."""
        request = self.requests[name]
        since = self.acknowledged.get(version)
        if (
            end.status == 404
            and since is not None
            and since + IN_FORCE_SECONDS < request.sent_at
            and self.pushed_before(end.at) == version
        ):
            self._report(
                end.at,
                "in_force",
                f"{request.entry} doesn't know version {version}, "
                f"acknowledged {request.sent_at - since:.3f} s before",
            )
        replaced = self.acknowledged.get(version + 1)
        if (
            end.status == 200
            and replaced is not None
            and replaced + IN_FORCE_SECONDS < request.sent_at
            and not self.disturbed(request.entry, replaced, end.at)
        ):
            self._report(
                end.at,
                "in_force",
                f"{request.entry} serves version {version}, replaced "
                f"{request.sent_at - replaced:.3f} s before",
            )

    def change_probed(self, name: str, life: str, probe: changes.Probe) -> None:
        """A route that not all versions have, or have alike, was used.

        The entry handled the request with one version that was pushed before
        the observed effect and fits it.

        Args:
            name: Id of the request.
            life: Process of the entry; empty if it isn't known.
            probe: What was examined.
        """
        request, end = self.requests[name], self.ends[name]
        runs = self.runs.get(name, [])
        service = runs[0].upstream.rpartition("-")[0] if runs else ""
        at = runs[0].at if runs and not probe.is_late else end.at
        due = request.sent_at - IN_FORCE_SECONDS
        least = self.acknowledged_before(due)
        if self.disturbed(request.entry, due, at):
            least = 0
        shown = self._version_shown(life, request.sent_at - REGRESS_SECONDS)
        pushed = [v for v, time in self.pushed.items() if time <= at]
        possible = [v for v in pushed if v >= max(least, shown)]
        self._count_result(request, end, service, probe, possible)
        seen = probe.seen(end.status, end.at - request.sent_at, service)
        if not seen:
            return
        fitting = [v for v in pushed if seen in probe.effects(v)]
        allowed = [v for v in fitting if v in possible]
        if allowed:
            self._prove(life, at, min(allowed))
            return
        if not fitting:
            rule = "unknown_change"
        elif max(fitting) < least:
            rule = "late"
        else:
            rule = "regress"
        self._report(
            at,
            rule,
            f"{request.entry} ({life}) answers {probe.name!r} with {seen!r} "
            f"{at - request.sent_at:.3f} s after {name} was sent; version "
            f"{least} was to be in force, {shown} had been shown, and "
            f"{possible} could be",
        )

    def _version_shown(self, life: str, before: float) -> int:
        """Returns the version that a process had at a time, at least."""
        return max(
            (p.version for p in self.proofs.get(life, ()) if p.at < before),
            default=0,
        )

    def _prove(self, life: str, at: float, version: int) -> None:
        if not life:
            return
        proofs = self.proofs[life]
        if not proofs or version > max(proof.version for proof in proofs):
            proofs.append(Proof(at, version))

    def _count_result(
        self,
        request: Request,
        end: End,
        service: str,
        probe: changes.Probe,
        possible: list[int],
    ) -> None:
        """Counts a probe whose effects are the same in all versions."""
        effects = {probe.effects(version) for version in possible}
        if len(effects) != 1 or end.left or not end.sent:
            return
        (found,) = effects
        if probe.name == "split":
            parts = {changes.content(v).weight / 100 for v in possible}
            self.shares.append(ShareResult(parts.pop(), service))
        if not found & {changes.UNKNOWN_ROUTE, changes.TOO_LARGE}:
            served = end.status == 200 and end.whole
            self.added.append(ChangeResult(request.sent_at, probe.name, served))

    def check_added_routes(self, now: float, since: float) -> None:
        """Routes that must be there are served in a time without faults.

        Args:
            now: When the check is made.
            since: Time since which there were no faults.
        """
        results: dict[str, list[bool]] = collections.defaultdict(list)
        for result in self.added:
            if result.sent_at >= since:
                results[result.probe].append(result.served)
        for probe, served in sorted(results.items()):
            if probe == changes.LATE_PROBE.name:
                continue
            if len(served) < MIN_RESULTS:
                continue
            if sum(served) < SERVED_PART * len(served):
                self._report(
                    now,
                    "added_route",
                    f"{sum(served)} of {len(served)} requests on the routes of "
                    f"{probe!r} were served without faults",
                )

    def check_shares(self, now: float) -> None:
        """Services get the parts of the requests that their weights say.

        A request that ran nowhere may have been meant for either service.
        """
        mixed = [one for one in self.shares if 0 < one.part < 1]
        if not mixed:
            return
        expected = sum(one.part for one in mixed)
        taken = sum(one.service == changes.ALTERNATIVE for one in mixed)
        unknown = sum(not one.service for one in mixed)
        slack = math.sqrt(len(mixed) * math.log(2 / _FALSE_ALARM) / 2)
        if taken > expected + slack or taken + unknown < expected - slack:
            self._report(
                now,
                "weights",
                f"{taken} of {len(mixed)} requests ran at "
                f"{changes.ALTERNATIVE}, {expected:.0f} were expected",
            )

    def key_answered(
        self, name: str, first: int, last: int, bound: float, end: End
    ) -> None:
        """A key that the versions from `first` to `last` have was used.

        Args:
            name: Id of the request.
            first: First version with the key.
            last: Last version with the key.
            bound: Seconds after which a revoked key must be refused.
            end: End of the request.
        """
        request = self.requests[name]
        since = self.acknowledged.get(first)
        if (
            end.status == 401
            and since is not None
            and since < request.sent_at
            and self.pushed_before(end.at) <= last
        ):
            self._report(
                end.at,
                "valid_key",
                f"{request.entry} rejects a key that was acknowledged "
                f"{request.sent_at - since:.3f} s before",
            )
        revoked = self.acknowledged.get(last + 1)
        ran = end.status == 200 or self.runs.get(name)
        if ran and revoked is not None and revoked + bound < request.sent_at:
            self._report(
                end.at,
                "revoked_key",
                f"{request.entry} accepts a key that was revoked "
                f"{request.sent_at - revoked:.3f} s before",
            )

    # --- Operations -----------------------------------------------------------

    def disturbed(self, node: str, start: float, end: float) -> bool:
        """Returns whether a fault may have affected a node in an interval.

        Args:
            node: Its name. If it is empty, any fault counts.
            start: Start of the interval.
            end: End of the interval.
        """
        return any(
            (not node or fault.node in ("", node))
            and fault.start <= end
            and fault.end + RECOVERY_SECONDS >= start
            for fault in self.disturbances
        )

    def ran_while_draining(
        self, at: float, upstream: str, since: float, name: str
    ) -> None:
        """A draining upstream gets a request."""
        request = self.requests.get(name)
        if request is None or at <= since + DRAIN_SECONDS:
            return
        if not self.disturbed(request.entry, since, at):
            self._report(
                at,
                "drain",
                f"{upstream} gets {name} {at - since:.3f} s after its drain "
                "was acknowledged",
            )

    def accepted_invalid(self, at: float, what: str) -> None:
        """Control accepted an invalid configuration or registration."""
        self._report(at, "invalid_accepted", what)

    def turn_lost(self, at: float, name: str, previous: str) -> None:
        """An entry doesn't know a turn whose whole response was delivered."""
        self._report(at, "chain", f"{name}: {previous} is unknown")

    def process_ended(self, at: float, node: str, code: int) -> None:
        """A process ended by itself."""
        self._report(at, "process", f"{node} ended by itself with code {code}")

    def other_content_read(self, at: float, version: int) -> None:
        """A configuration was read that isn't what was sent as its version."""
        self._report(at, "other_content", f"version {version} was read")

    def not_read_back(self, at: float, version: int) -> None:
        """No control answered a read in time after the last loss."""
        self._report(
            at,
            "read_back",
            f"no control returned a configuration within "
            f"{READ_BACK_SECONDS:g} s; {version} had been acknowledged",
        )

    def not_repaired(self, at: float, what: str) -> None:
        """A lost disk was not replaced in time."""
        self._report(at, "repair", f"{what} was not repaired")

    def stopped(self, at: float, node: str, code: int | None) -> None:
        """A planned stop is over; the code is None if it took too long."""
        if code != 0:
            self._report(at, "planned_stop", f"{node} ended with code {code}")

    def used(
        self, at: float, node: str, memory_mb: float, descriptors: int
    ) -> None:
        """A process was measured."""
        self.peak_mb[node] = max(self.peak_mb.get(node, 0.0), memory_mb)
        if memory_mb > MAX_MEMORY_MB:
            self._report(at, "memory", f"{node} uses {memory_mb:.0f} MB")
        if descriptors > MAX_DESCRIPTORS:
            self._report(at, "descriptors", f"{node} has {descriptors}")

    def engines_sampled(self, sample: EnginesSample) -> None:
        """The engines' slots were counted."""
        self.engines.append(sample)

    def check_idle_capacity(self, now: float, since: float) -> None:
        """No turn is refused for load while engines are idle.

        Args:
            now: When the check is made.
            since: Time since which there were no faults, nor turns left over
                from them.
        """
        samples = [sample for sample in self.engines if sample.at >= since]
        if not samples:
            return
        refused = [
            name
            for name, end in self.ends.items()
            if self.requests[name].kind == "turn"
            and self.requests[name].sent_at >= since
            and end.status in (429, 503)
        ]
        mean = sum(sample.turns for sample in samples) / len(samples)
        use = _text_of(samples, [self.ends[name].error for name in refused])
        self.uses.append(use)
        if mean > IDLE_FRACTION:
            return
        if len(refused) >= MIN_RESULTS:
            self._report(
                now,
                "idle_capacity",
                f"{len(refused)} turns were refused while "
                f"{mean:.0%} of the engines' slots were in use, such "
                f"as {refused[-1]}: {self.ends[refused[-1]].error}; {use}",
            )

    def check_starvation(self, now: float, since: float) -> None:
        """Each customer and kind is served in a time without faults."""
        served: dict[tuple[str, str], list[bool]] = collections.defaultdict(
            list
        )
        for name, end in self.ends.items():
            request = self.requests[name]
            if request.sent_at >= since and request.kind in SERVED_KINDS:
                good = end.status == 200 and end.whole
                served[request.customer, request.kind].append(good)
        for (customer, kind), results in sorted(served.items()):
            if len(results) >= MIN_RESULTS and not any(results):
                self._report(
                    now,
                    "starved",
                    f"none of {len(results)} requests of {customer} and kind "
                    f"{kind} was served without faults",
                )
        if not any(any(results) for results in served.values()):
            self._report(now, "starved", "nobody was served without faults")


def _text_of(samples: list[EnginesSample], refusals: list[str]) -> str:
    """Returns the mean use of the slots, and the refusals by their kind."""
    count = len(samples)
    turns = sum(sample.turns for sample in samples) / count
    taken = sum(sample.taken for sample in samples) / count
    full = sum(sample.taken >= 1.0 for sample in samples) / count
    waiting = sum(sample.waiting for sample in samples) / count
    kinds = collections.Counter(text.partition(":")[0] for text in refusals)
    found = ", ".join(f"{kind} {n}" for kind, n in kinds.most_common())
    first, last = samples[0], samples[-1]
    seconds = last.at - first.at
    waited = last.processor_wait - first.processor_wait
    part = waited / seconds if seconds else 0.0
    return (
        f"turns ran in {turns:.0%} of the slots, any request in {taken:.0%}, "
        f"all slots were taken for {full:.0%} of the time, and {waiting:.1f} "
        f"requests waited at engines; refused: {found or 'none'}; the soak "
        f"itself waited for a processor for {part:.0%} of the time"
    )
