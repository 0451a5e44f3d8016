"""The entry's choice of an upstream for one call.

Made for programs whose history is cached at one upstream while others are
idle, and for load reports that lag. Always the resident upstream overloads
it; always the least loaded rebuilds the history at each turn, and sends every
entry's calls to the same one until the next report.
"""

import statistics
from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import outliers
from mintcleat.domain import call_messages

# A report that arrives now left before the calls of this last moment reached
# the sidecar, so they are still counted as sent since the report.
REPORT_LAG = 0.01
# A full upstream generates about this much slower per call than an idle one.
CROWDING = 0.5
# At even weights, a move must gain this many times what a rebuild takes, also
# where the cache can be imported: predictions err, the copy takes memory that
# others need, and the next report may send the program back.
STAY = 6.0
# Known upstreams outside the subset are forgotten after this silence.
GUEST_SECONDS = 600.0
READY = "ready"


class Weights(NamedTuple):
    """The manifest's weights; only their ratio counts."""

    program_latency: float = 1.0
    wasted_cache: float = 1.0


class Resident(NamedTuple):
    """Where a program's history is cached.

    Attributes:
        name: Instance name of the sidecar.
        tokens: Tokens of the call's context that are cached there.
        export: Seconds to export and import the cache; 0 if impossible.
    """

    name: str
    tokens: int
    export: float = 0.0


class Choice(NamedTuple):
    """Where to send a call.

    Attributes:
        moved: Whether the history must be rebuilt or imported there.
        export: Whether importing the cache beats rebuilding it.
        wait: Predicted wait.
        finish: Predicted seconds to the end of the answer.
        probe: Whether the call tries an ejected upstream.
    """

    name: str
    moved: bool
    export: bool
    wait: float
    finish: float
    probe: bool = False


class Switches(NamedTuple):
    """Parts of the choice; a bench turns each off to show what it earns."""

    residency: bool = True
    lag: bool = True
    speeds: bool = True
    ejection: bool = True


ALL_ON = Switches()


class Upstream:
    """What an entry has learned of one upstream.

    Attributes:
        sent: Time and expected service of calls since the report.
        heard: When the report came.
    """

    def __init__(self, report: call_messages.LoadReport, now: float) -> None:
        self.report = report
        self.received_at = now
        self.sent: list[tuple[float, float]] = []

    def take(self, report: call_messages.LoadReport, now: float) -> bool:
        """Takes a report unless it is older than the one held."""
        age = (report.sidecar.epoch, report.counter)
        if age < (self.report.sidecar.epoch, self.report.counter):
            return False
        self.report = report
        self.received_at = now
        self.sent = [item for item in self.sent if item[0] > now - REPORT_LAG]
        return True

    def wait(self, first: bool, lag: bool) -> float:
        """Returns the predicted wait, with what was sent since the report.

        A program's first call may also wait for memory.
        """
        report = self.report
        reported = report.new_wait if first else report.wait
        if not lag:
            return reported
        limit = max(1, report.limit)
        if report.running + report.queued + len(self.sent) < limit:
            return reported
        extra = sum(service for _, service in self.sent)
        return reported + extra / limit

    def crowding(self) -> float:
        """Returns the factor by which a full batch slows the call."""
        report = self.report
        busy = report.running + len(self.sent)
        return 1.0 + CROWDING * min(1.0, busy / max(1, report.limit))


class Fleet:
    """The upstreams of one service as one entry knows them."""

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
        """Takes a load report, pushed or with an answer."""
        name = report.sidecar.instance
        known = self.upstreams.get(name)
        if known is None:
            self.upstreams[name] = Upstream(report, now)
        elif not known.take(report, now):
            return
        self._compare(name, now)

    def answered(self, name: str, ok: bool, now: float) -> None:
        """Counts the end of a call; refusals are not counted."""
        self.outliers.answered(name, ok, len(self.subset), now)

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        self.upstreams.pop(name, None)
        self.outliers.forget(name)

    def forget_silent(self, now: float) -> None:
        """Drops silent upstreams outside the subset; call it each minute."""
        members = set(self.subset)
        for name, known in list(self.upstreams.items()):
            if name not in members and now - known.received_at > GUEST_SECONDS:
                self.forget(name)

    def _compare(self, name: str, now: float) -> None:
        ready = [
            self.upstreams[other].report
            for other in self.subset
            if other in self.upstreams
        ]
        if not ready:
            return
        self.token_time = _median(
            [one.token_time for one in ready], self.token_time
        )
        self.prefill_rate = _median(
            [one.prefill_rate for one in ready], self.prefill_rate
        )
        report = self.upstreams[name].report
        slowness = max(
            (report.token_time or self.token_time) / self.token_time,
            self.prefill_rate / (report.prefill_rate or self.prefill_rate),
        )
        self.outliers.compared(name, slowness, len(self.subset), now)


def _median(values: list[float], otherwise: float) -> float:
    """Returns the median of what was measured; 0 stands for not measured."""
    measured = [value for value in values if value > 0]
    return statistics.median(measured) if measured else otherwise


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

    Compared are the resident upstream and two others drawn by a hash of the
    call (the published power of two choices): a constant cost whatever the
    size of the fleet, and no rush of all entries to one least loaded.

    Args:
        fleet: The service's upstreams as this entry knows them.
        call: Its `new_tokens` count what is new since the last turn.
        resident: Where the history is cached; None for the first turn.
        weights: The manifest's weights.
        now: The entry's clock.
        exclude: Upstreams that refused or failed this call already.

    Returns:
        None when no upstream may take the call.
    """
    fleet.counter += 1
    probe = _probe(fleet, call, resident, now, exclude)
    if probe is not None:
        return _sent(fleet, probe, now)
    names = _draw(fleet, call, exclude)
    names.extend(_resident_name(fleet, resident, names, exclude))
    if not names:
        return None
    scored = [
        (_cost(fleet, name, call, resident, weights), name) for name in names
    ]
    _, name = min(scored)
    return _sent(fleet, _choice(fleet, name, call, resident), now)


def _usable(fleet: Fleet, name: str, exclude: frozenset[str]) -> bool:
    if not _ready(fleet, name, exclude):
        return False
    return not fleet.switches.ejection or fleet.outliers.allows(name)


def _ready(fleet: Fleet, name: str, exclude: frozenset[str]) -> bool:
    known = fleet.upstreams.get(name)
    return (
        known is not None
        and known.report.state == READY
        and name not in exclude
    )


def _draw(fleet: Fleet, call: calls.Call, exclude: frozenset[str]) -> list[str]:
    """Returns up to two usable upstreams, drawn by a hash of the call.

    When only ejected ones are ready, they are better than a refusal.
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
            if name not in names and _usable(fleet, name, exclude):
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
    if resident.name in names or not _usable(fleet, resident.name, exclude):
        return []
    return [resident.name]


def _missing(
    fleet: Fleet, name: str, call: calls.Call, resident: Resident | None
) -> int:
    """Returns the cached tokens that the upstream would lack."""
    if resident is None or resident.name == name:
        return 0
    return resident.tokens


def _rebuild(
    fleet: Fleet, name: str, call: calls.Call, resident: Resident | None
) -> tuple[float, bool]:
    """Returns seconds to get the history there, and whether by export."""
    missing = _missing(fleet, name, call, resident)
    if not missing:
        return 0.0, False
    rebuild = missing / _prefill_rate(fleet, name)
    if resident and 0 < resident.export < rebuild:
        return resident.export, True
    return rebuild, False


def _prefill_rate(fleet: Fleet, name: str) -> float:
    if not fleet.switches.speeds:
        return max(fleet.prefill_rate, 1.0)
    # An upstream that has not been measured is taken to be like the rest:
    # were it taken as slower it would never get a call and never be measured.
    known = fleet.upstreams[name].report.prefill_rate
    return max(known or fleet.prefill_rate, 1.0)


def _service(fleet: Fleet, name: str, call: calls.Call) -> float:
    known = fleet.upstreams[name]
    token_time = fleet.token_time
    if fleet.switches.speeds:
        token_time = known.report.token_time or fleet.token_time
    generate = call.expected_tokens * token_time * known.crowding()
    return call.new_tokens / _prefill_rate(fleet, name) + generate


def _cost(
    fleet: Fleet,
    name: str,
    call: calls.Call,
    resident: Resident | None,
    weights: Weights,
) -> float:
    """Returns seconds that the choice costs, under the weights.

    A rebuild counts as the caller's latency, and so does an import; and as
    wasted cache, which is memory and engine time taken from everybody.
    """
    total = max(weights.program_latency + weights.wasted_cache, 1e-9)
    latency = 2 * weights.program_latency / total
    waste = 2 * weights.wasted_cache / total
    rebuild, _ = _rebuild(fleet, name, call, resident)
    service = _service(fleet, name, call)
    first = call.attained == 0
    wait = fleet.upstreams[name].wait(first, fleet.switches.lag)
    missing = _missing(fleet, name, call, resident)
    lost = missing / _prefill_rate(fleet, name)
    return latency * (wait + rebuild + service) + waste * STAY * lost


def _choice(
    fleet: Fleet, name: str, call: calls.Call, resident: Resident | None
) -> Choice:
    rebuild, exported = _rebuild(fleet, name, call, resident)
    wait = fleet.upstreams[name].wait(call.attained == 0, fleet.switches.lag)
    finish = wait + rebuild + _service(fleet, name, call)
    return Choice(name, rebuild > 0, exported, wait, finish)


def _sent(fleet: Fleet, choice: Choice, now: float) -> Choice:
    known = fleet.upstreams[choice.name]
    known.sent.append((now, choice.finish - choice.wait))
    return choice


def _probe(
    fleet: Fleet,
    call: calls.Call,
    resident: Resident | None,
    now: float,
    exclude: frozenset[str],
) -> Choice | None:
    """Sends one cheap call to an ejected upstream whose time is up.

    A call with a cached history would pay for the test with a rebuild.
    """
    if not fleet.switches.ejection or resident is not None:
        return None
    name = fleet.outliers.probe_due(now)
    known = fleet.upstreams.get(name or "")
    if name is None or known is None or name in exclude:
        return None
    if known.report.state != READY:
        return None
    fleet.outliers.probe(name, now)
    return _choice(fleet, name, call, None)._replace(probe=True)
