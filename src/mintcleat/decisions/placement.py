"""An entry's choice of an upstream for one call.

Weighs the prefix cache against load. If calls always went to the upstream with
the cached history, it could be overloaded while others are idle. If they always
went to the least loaded upstream, the history would be recomputed at each turn;
and since load reports lag, all entries would pick the same upstream until the
next report.
"""

import statistics
from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import outliers
from mintcleat.domain import call_messages

# Time that a load report takes to arrive. Calls sent this shortly before it
# came had not reached the sidecar, so the report doesn't include them and they
# still count as sent since then.
REPORT_LAG_SECONDS = 0.01
# A full batch slows down the generation of each call by about this fraction.
FULL_BATCH_SLOWDOWN = 0.5
# With equal weights, moving a program must save this many times the duration of
# recomputing its history, even where the cache can be imported: predictions
# err, the copy takes memory that others need, and the next load report may
# move the program back.
MOVE_PENALTY = 6.0
# Upstreams outside the subset are dropped when no report came for this long.
FORGET_SECONDS = 600.0
# State in the load report of an upstream that accepts calls.
READY = "ready"


class Weights(NamedTuple):
    """The weights of the two costs in the manifest; only their ratio counts."""

    program_latency: float = 1.0
    wasted_cache: float = 1.0


class Resident(NamedTuple):
    """The upstream that holds a program's history in its prefix cache.

    Attributes:
        name: Instance name of the sidecar.
        tokens: Tokens of the call's context that are cached there.
        export: Seconds to export and import the cache; 0 if not possible.
    """

    name: str
    tokens: int
    export: float = 0.0


class Choice(NamedTuple):
    """The upstream that a call is sent to.

    Attributes:
        name: Instance name of the sidecar.
        moved: Whether the history must be recomputed or imported there.
        export: Whether importing the cache is faster than recomputing it.
        wait: Predicted wait in seconds.
        finish: Predicted seconds until the end of the answer.
        probe: Whether the call tries an ejected upstream.
    """

    name: str
    moved: bool
    export: bool
    wait: float
    finish: float
    probe: bool = False


class Switches(NamedTuple):
    """Parts of the choice that a benchmark can turn off one by one.

    Attributes:
        residency: Whether the upstream with the cached history is a candidate.
        lag: Whether calls sent since the last load report are counted.
        speeds: Whether measured speeds of single upstreams are used.
        ejection: Whether slow and failing upstreams are ejected.
    """

    residency: bool = True
    lag: bool = True
    speeds: bool = True
    ejection: bool = True


ALL_ON = Switches()


class Upstream:
    """What an entry knows about one upstream.

    Attributes:
        report: The newest load report.
        received_at: When the report arrived, on the entry's clock.
        sent: Time and expected service of each call sent since the report.
    """

    def __init__(self, report: call_messages.LoadReport, now: float) -> None:
        self.report = report
        self.received_at = now
        self.sent: list[tuple[float, float]] = []

    def take(self, report: call_messages.LoadReport, now: float) -> bool:
        """Stores a report; returns False if it is older than the current."""
        version = (report.sidecar.epoch, report.counter)
        if version < (self.report.sidecar.epoch, self.report.counter):
            return False
        self.report = report
        self.received_at = now
        self.sent = [
            item for item in self.sent if item[0] > now - REPORT_LAG_SECONDS
        ]
        return True

    def wait(self, first: bool, lag: bool) -> float:
        """Returns the predicted wait in seconds.

        Args:
            first: Whether it is a program's first call, which may also have
                to wait for memory.
            lag: Whether to add the calls sent since the report.
        """
        report = self.report
        reported = report.first_call_wait if first else report.wait
        if not lag:
            return reported
        limit = max(1, report.limit)
        if report.running + report.queued + len(self.sent) < limit:
            return reported
        extra = sum(service for _, service in self.sent)
        return reported + extra / limit

    def batch_slowdown(self) -> float:
        """Returns the factor by which concurrent calls slow down a call."""
        report = self.report
        busy = report.running + len(self.sent)
        return 1.0 + FULL_BATCH_SLOWDOWN * min(1.0, busy / max(1, report.limit))


class Fleet:
    """The upstreams of one service as one entry knows them.

    Attributes:
        upstreams: Upstreams with a load report, by instance name.
        subset: Names of the upstreams that this entry chooses among.
        outliers: Which upstreams are ejected.
        token_time: Median seconds per token in the subset.
        prefill_rate: Median prompt tokens per second in the subset.
        counter: Number of choices so far; varies the hash of each choice.
    """

    def __init__(self, switches: Switches = ALL_ON) -> None:
        self.switches = switches
        self.upstreams: dict[str, Upstream] = {}
        self.subset: list[str] = []
        self.outliers = outliers.Outliers()
        self.token_time = 0.03
        self.prefill_rate = 5000.0
        self.counter = 0

    def watch(self, subset: list[str]) -> None:
        """Replaces the names that this entry chooses among."""
        for name in set(self.subset) - set(subset):
            self.forget(name)
        self.subset = list(subset)

    def report(self, report: call_messages.LoadReport, now: float) -> None:
        """Stores a load report, either pushed or sent with an answer."""
        name = report.sidecar.instance
        upstream = self.upstreams.get(name)
        if upstream is None:
            self.upstreams[name] = Upstream(report, now)
        elif not upstream.take(report, now):
            return
        self._update_outliers(name, now)

    def answered(self, name: str, ok: bool, now: float) -> None:
        """Records whether a call succeeded; refusals are not recorded."""
        self.outliers.answered(name, ok, len(self.subset), now)

    def forget(self, name: str) -> None:
        """Drops an upstream that no longer exists."""
        self.upstreams.pop(name, None)
        self.outliers.forget(name)

    def forget_silent(self, now: float) -> None:
        """Drops silent upstreams outside the subset; call it every minute."""
        members = set(self.subset)
        for name, upstream in list(self.upstreams.items()):
            if (
                name not in members
                and now - upstream.received_at > FORGET_SECONDS
            ):
                self.forget(name)

    def _update_outliers(self, name: str, now: float) -> None:
        reports = [
            self.upstreams[other].report
            for other in self.subset
            if other in self.upstreams
        ]
        if not reports:
            return
        self.token_time = _median(
            [one.token_time for one in reports], self.token_time
        )
        self.prefill_rate = _median(
            [one.prefill_rate for one in reports], self.prefill_rate
        )
        report = self.upstreams[name].report
        slowness = max(
            (report.token_time or self.token_time) / self.token_time,
            self.prefill_rate / (report.prefill_rate or self.prefill_rate),
        )
        self.outliers.report_slowness(name, slowness, len(self.subset), now)


def _median(values: list[float], default: float) -> float:
    """Returns the median of the measured values, or `default` without any.

    Values of 0 were not measured.
    """
    measured = [value for value in values if value > 0]
    return statistics.median(measured) if measured else default


def choose(
    fleet: Fleet,
    call: calls.Call,
    resident: Resident | None,
    weights: Weights,
    now: float,
    *,
    exclude: frozenset[str] = frozenset(),
) -> Choice | None:
    """Chooses an upstream and counts the call as sent there.

    Compares the upstream with the cached history and two others drawn by a
    hash of the call ("power of two choices"). The cost doesn't depend on the
    size of the fleet, and entries don't all pick the least loaded upstream.

    Args:
        fleet: The service's upstreams as this entry knows them.
        call: The call; `new_tokens` are those since the last turn.
        resident: Where the history is cached; None for the first turn.
        weights: The manifest's weights.
        now: The current time on the entry's clock.
        exclude: Upstreams that have already refused or failed this call.

    Returns:
        The choice, or None if no upstream can take the call.
    """
    fleet.counter += 1
    probe = _probe_choice(fleet, call, resident, now, exclude)
    if probe is not None:
        return _record_sent(fleet, probe, now)
    names = _draw_candidates(fleet, call, exclude)
    names.extend(_resident_name(fleet, resident, names, exclude))
    if not names:
        return None
    scored = [
        (_cost(fleet, name, call, resident, weights), name) for name in names
    ]
    _, name = min(scored)
    return _record_sent(fleet, _choice(fleet, name, call, resident), now)


def _accepts_calls(fleet: Fleet, name: str, exclude: frozenset[str]) -> bool:
    if not _ready(fleet, name, exclude):
        return False
    return not fleet.switches.ejection or fleet.outliers.allows(name)


def _ready(fleet: Fleet, name: str, exclude: frozenset[str]) -> bool:
    upstream = fleet.upstreams.get(name)
    return (
        upstream is not None
        and upstream.report.state == READY
        and name not in exclude
    )


def _draw_candidates(
    fleet: Fleet, call: calls.Call, exclude: frozenset[str]
) -> list[str]:
    """Returns up to two upstreams that accept calls, by a hash of the call.

    If all ready upstreams are ejected, they are used rather than refusing the
    call.
    """
    total = len(fleet.subset)
    if not total:
        return []
    first = int(calls.hash_fraction(call.call_id, fleet.counter) * total)
    step = 1 + int(
        calls.hash_fraction(fleet.counter, call.call_id) * (total - 1)
    )
    names: list[str] = []
    for start in (first, first + step):
        for offset in range(total):
            name = fleet.subset[(start + offset) % total]
            if name not in names and _accepts_calls(fleet, name, exclude):
                names.append(name)
                break
    return names or _ejected_but_ready(fleet, exclude)


def _ejected_but_ready(fleet: Fleet, exclude: frozenset[str]) -> list[str]:
    return [
        name
        for name in sorted(fleet.outliers.ejected)
        if _ready(fleet, name, exclude)
    ][:2]


def _resident_name(
    fleet: Fleet,
    resident: Resident | None,
    names: list[str],
    exclude: frozenset[str],
) -> list[str]:
    if resident is None or not fleet.switches.residency:
        return []
    if resident.name in names or not _accepts_calls(
        fleet, resident.name, exclude
    ):
        return []
    return [resident.name]


def _tokens_to_rebuild(name: str, resident: Resident | None) -> int:
    """Returns the cached tokens that are missing at the upstream."""
    if resident is None or resident.name == name:
        return 0
    return resident.tokens


def _rebuild_seconds(
    fleet: Fleet, name: str, resident: Resident | None
) -> tuple[float, bool]:
    """Returns the seconds to get the history there, and whether by export."""
    missing = _tokens_to_rebuild(name, resident)
    if not missing:
        return 0.0, False
    rebuild = missing / _prefill_rate(fleet, name)
    if resident and 0 < resident.export < rebuild:
        return resident.export, True
    return rebuild, False


def _prefill_rate(fleet: Fleet, name: str) -> float:
    if not fleet.switches.speeds:
        return max(fleet.prefill_rate, 1.0)
    # An upstream that isn't measured yet counts as average. If it counted as
    # slower, it would get no calls and never be measured.
    measured = fleet.upstreams[name].report.prefill_rate
    return max(measured or fleet.prefill_rate, 1.0)


def _service_seconds(fleet: Fleet, name: str, call: calls.Call) -> float:
    upstream = fleet.upstreams[name]
    token_time = fleet.token_time
    if fleet.switches.speeds:
        token_time = upstream.report.token_time or fleet.token_time
    generate = call.expected_tokens * token_time * upstream.batch_slowdown()
    return call.new_tokens / _prefill_rate(fleet, name) + generate


def _cost(
    fleet: Fleet,
    name: str,
    call: calls.Call,
    resident: Resident | None,
    weights: Weights,
) -> float:
    """Returns the weighted cost of an upstream in seconds.

    Recomputing or importing the history counts twice: as latency of this call,
    and as wasted cache, which costs all others memory and engine time.
    """
    total = max(weights.program_latency + weights.wasted_cache, 1e-9)
    latency = 2 * weights.program_latency / total
    waste = 2 * weights.wasted_cache / total
    rebuild, _ = _rebuild_seconds(fleet, name, resident)
    service = _service_seconds(fleet, name, call)
    first = call.attained == 0
    wait = fleet.upstreams[name].wait(first, fleet.switches.lag)
    missing = _tokens_to_rebuild(name, resident)
    lost = missing / _prefill_rate(fleet, name)
    return latency * (wait + rebuild + service) + waste * MOVE_PENALTY * lost


def _choice(
    fleet: Fleet, name: str, call: calls.Call, resident: Resident | None
) -> Choice:
    rebuild, exported = _rebuild_seconds(fleet, name, resident)
    wait = fleet.upstreams[name].wait(call.attained == 0, fleet.switches.lag)
    finish = wait + rebuild + _service_seconds(fleet, name, call)
    return Choice(name, rebuild > 0, exported, wait, finish)


def _record_sent(fleet: Fleet, choice: Choice, now: float) -> Choice:
    upstream = fleet.upstreams[choice.name]
    upstream.sent.append((now, choice.finish - choice.wait))
    return choice


def _probe_choice(
    fleet: Fleet,
    call: calls.Call,
    resident: Resident | None,
    now: float,
    exclude: frozenset[str],
) -> Choice | None:
    """Returns an ejected upstream to probe with this call, if one is due.

    Only calls without a cached history are used, as others would have to
    recompute theirs.
    """
    if not fleet.switches.ejection or resident is not None:
        return None
    name = fleet.outliers.probe_due(now)
    upstream = fleet.upstreams.get(name or "")
    if name is None or upstream is None or name in exclude:
        return None
    if upstream.report.state != READY:
        return None
    fleet.outliers.probe_sent(name, now)
    return _choice(fleet, name, call, None)._replace(probe=True)
