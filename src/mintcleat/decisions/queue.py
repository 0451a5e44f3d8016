"""The sidecar's queue and admission in one object, driven with explicit time.

The sidecar calls `offer` for each call, `next` whenever one may start (after
`offer`, `finished`, `cancel` and `configure`), `finished` when a started call
ends, and `expire` a few times a second.
"""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admit
from mintcleat.decisions import calls
from mintcleat.decisions import concurrency
from mintcleat.decisions import learn
from mintcleat.decisions import lines
from mintcleat.decisions import order
from mintcleat.decisions import speed

# Of the slots, the part that a partner over its share may not take. Slots are
# not preempted, so without it a burst fills all of them and the next call of
# another partner waits for one to end.
HEADROOM = 1 / 8
# Of the slots, the part that batch calls may not take, for the same reason.
INTERACTIVE_ONLY = 1 / 4
# Batch gets a tenth while interactive calls queue, so that it never starves.
CLASS_WEIGHTS = {calls.INTERACTIVE: 0.9, calls.BATCH: 0.1}
# Partners looked at for one that may start. The fair clock puts those under
# their share first, so a longer search finds nothing more often.
_LOOKAHEAD = 8
# A batch call may wait longer: no person is waiting for it.
BATCH_WAIT_FACTOR = 4.0


class Options(NamedTuple):
    """Policies in force; replaced whole when the manifest changes.

    Attributes:
        shares: Weight by partner; others have `default_share`.
        max_running: Calls of a partner that may run here at once; 0 or
            absent for no limit.
        max_wait: Longest predicted wait in the queue, in seconds.
        memory: Tokens of context that the upstream can hold; 0 for no limit.
        adaptive: Whether the concurrency limit is learned.
        fair: Whether partners get fair shares; else one common queue.
        bounded: Whether calls are refused by predicted wait and deadline.
        classes: Whether interactive calls go before batch calls.
    """

    shares: dict[str, float] = {}
    default_share: float = 1.0
    max_running: dict[str, int] = {}
    max_wait: float = 30.0
    memory: int = 0
    adaptive: bool = True
    fair: bool = True
    bounded: bool = True
    classes: bool = True
    ordering: order.Switches = order.ALL_ON


class Admit(NamedTuple):
    """The call starts now; it counts as running."""


class Queued(NamedTuple):
    """The call waits; `next` will return it, or `expire` will."""

    wait: float


class Load(NamedTuple):
    """Load of the gate, as `messages.LoadReport` carries it."""

    running: int
    queued: int
    limit: int
    wait: float
    token_time: float
    prefill_rate: float


class Running(NamedTuple):
    """A started call."""

    entry: lines.Entry
    started: float


class Gate:
    """Admission, queue and concurrency limit of one upstream."""

    def __init__(self, options: Options, capacity: int) -> None:
        self.options = options
        self.limit = concurrency.Limit(capacity)
        self.speed = speed.Speed()
        self.learner = learn.Learner()
        self.lines = {klass: lines.Line() for klass in CLASS_WEIGHTS}
        self.classes = admit.FairClock()
        self.waiting: dict[str, lines.Entry] = {}
        self.latest: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.running: dict[str, Running] = {}
        self.running_of: dict[str, int] = {}
        self.running_batch = 0
        self.running_tokens = 0
        self.running_suspects = 0
        self.suspects: list[lines.Entry] = []

    def configure(self, options: Options) -> None:
        """Puts other policies in force; what waits keeps its place."""
        self.options = options

    def offer(
        self, call: calls.Call, now: float
    ) -> Admit | Queued | admit.Refuse:
        """Admits, queues or refuses a call.

        Raises:
            ValueError: The gate already holds a call with this id.
        """
        if call.call_id in self.waiting or call.call_id in self.running:
            raise ValueError(f"The gate holds the call {call.call_id!r}.")
        entry = self._entry(call, now)
        wait = self._wait(entry)
        if self.options.bounded:
            refusal = self._verdict(entry, wait, now)
            if refusal is not None:
                return refusal
        idle = not self.waiting
        if idle and self._may_start(entry) and self._fits(call):
            self._start(entry, now)
            return Admit()
        self._enqueue(entry)
        return Queued(wait)

    def next(self, now: float) -> calls.Call | None:
        """Returns a call to start now, or None; call it until None."""
        entry = self._pick()
        if entry is None:
            return None
        self._dequeue(entry)
        self._start(entry, now)
        return entry.call

    def finished(
        self, call_id: str, now: float, outcome: calls.Outcome
    ) -> None:
        """Ends a started call; unknown ids are ignored, so it may repeat."""
        running = self.running.get(call_id)
        if running is None:
            return
        self.speed.observe(outcome)
        if self.options.adaptive:
            self.limit.observe(outcome, len(self.running), now)
        entry = running.entry
        if outcome.ok:
            self.learner.answered(entry.call.agent, outcome.generated)
        self._release(entry)
        line = self.lines[entry.klass]
        weight = self._weight(entry.flow)
        line.clock.correct(entry.flow, weight, outcome.seconds - entry.service)

    def progressed(self, token_time: float) -> None:
        """Learns the pace of a stream under way; see `Speed.observe_gap`."""
        self.speed.observe_gap(token_time)

    def cancel(self, call_id: str) -> bool:
        """Drops a call, waiting or running; tells whether it was held.

        A running call's slot is free at once; cancel it at the upstream too.
        """
        entry = self.waiting.get(call_id)
        if entry is not None:
            self._dequeue(entry)
            return True
        running = self.running.get(call_id)
        if running is None:
            return False
        self._release(running.entry)
        return True

    def expire(self, now: float) -> list[calls.Call]:
        """Removes the waiting calls that can no longer meet their deadline.

        They are refused here and now (`deadline_unmet`), before they spend
        the upstream's time on an answer that comes too late.
        """
        late = []
        while self.latest and self.latest[0][0] < now:
            entry = self.waiting[self.latest[0][1]]
            self._dequeue(entry)
            late.append(entry.call)
        return late

    def drain(self) -> list[calls.Call]:
        """Removes every waiting call, for an upstream that leaves."""
        entries = list(self.waiting.values())
        for entry in entries:
            self._dequeue(entry)
        return [entry.call for entry in entries]

    def predicted_wait(self, now: float) -> float:
        """Returns the wait of a usual new call, in seconds."""
        call = calls.Call("", "", "", "", "")
        return self._wait(self._entry(call, now))

    def load(self, now: float) -> Load:
        """Returns the load to report."""
        return Load(
            len(self.running),
            len(self.waiting),
            self.limit.current(),
            self.predicted_wait(now),
            self.speed.token_time,
            self.speed.prefill_rate,
        )

    def _entry(self, call: calls.Call, now: float) -> lines.Entry:
        options = self.options
        remaining = self.learner.remaining(call.agent, call.attained)
        place = order.key(
            call, remaining, self.speed.token_time, now, options.ordering
        )
        flow = call.partner if options.fair else ""
        klass = calls.INTERACTIVE
        if options.classes and call.klass == calls.BATCH:
            klass = calls.BATCH
        service = self.speed.estimate(call)
        return lines.Entry(
            place, call, flow, klass, service, call.deadline_at - service
        )

    def _verdict(
        self, entry: lines.Entry, wait: float, now: float
    ) -> admit.Refuse | None:
        max_wait = self.options.max_wait
        if entry.klass == calls.BATCH:
            max_wait *= BATCH_WAIT_FACTOR
        facts = admit.Facts(
            wait, entry.service, max_wait, self._over_share(entry.flow)
        )
        return admit.verdict(entry.call, facts, now)

    def _wait(self, entry: lines.Entry) -> float:
        """Predicts the wait: work that starts before it over the slots.

        Work of other partners counts only as far as their shares let them
        go first, so one partner's burst refuses that partner's calls only.
        """
        limit = self.limit.current()
        if not self.waiting and len(self.running) < limit:
            return 0.0
        line = self.lines[entry.klass]
        weight = self._weight(entry.flow)
        own = line.ahead(entry.flow, entry.key) + self._mean_service(entry)
        shared = min(line.total + own, own / line.share(entry.flow, weight))
        other = self._other(entry.klass)
        if other.count:
            part = CLASS_WEIGHTS[entry.klass]
            shared = min(shared + other.total, shared / part)
        return shared / limit

    def _other(self, klass: str) -> lines.Line:
        if klass == calls.BATCH:
            return self.lines[calls.INTERACTIVE]
        return self.lines[calls.BATCH]

    def _mean_service(self, entry: lines.Entry) -> float:
        """Returns what the calls that run now will still take, about."""
        return self.speed.service if self.speed.samples else entry.service

    def _weight(self, flow: str) -> float:
        weight = self.options.shares.get(flow, self.options.default_share)
        return max(weight, 1e-6)

    def _over_share(self, flow: str) -> bool:
        """Tells whether the partner holds more slots than its weight earns.

        The weights are those of partners with calls running or waiting here.
        """
        mine = self.running_of.get(flow, 0)
        weight = self._weight(flow)
        active = sum(map(self._weight, self.running_of))
        if flow not in self.running_of:
            active += weight
        return mine >= self.limit.current() * weight / active

    def _may_start(self, entry: lines.Entry) -> bool:
        limit = self.limit.current()
        free = limit - len(self.running)
        if free <= 0:
            return False
        call = entry.call
        if call.suspect and self.running_suspects:
            return False
        top = self.options.max_running.get(call.partner, 0)
        if top and self.running_of.get(entry.flow, 0) >= top:
            return False
        if entry.klass == calls.BATCH:
            batch_slots = max(1, limit - int(limit * INTERACTIVE_ONLY))
            if self.running_batch >= batch_slots:
                return False
        if not self.options.fair or free > int(limit * HEADROOM):
            return True
        return not self._over_share(entry.flow)

    def _fits(self, call: calls.Call) -> bool:
        """Tells whether the contexts fit the engine's memory together.

        Beyond it the engine would evict what the running calls still need.
        """
        memory = self.options.memory
        if not memory or not self.running:
            return True
        return self.running_tokens + _context(call) <= memory

    def _pick(self) -> lines.Entry | None:
        if len(self.running) >= self.limit.current():
            return None
        if self.suspects:
            entry = self.suspects[0]
            if self._may_start(entry) and self._fits(entry.call):
                return entry
        for _, klass in list(self.classes.backlog):
            line = self.lines[klass]
            for _, flow in line.clock.backlog[:_LOOKAHEAD]:
                entry = line.flows[flow][0]
                if not self._may_start(entry):
                    continue
                # A large context at the head waits for memory and holds the
                # others back; passed over, it would starve.
                return entry if self._fits(entry.call) else None
        return None

    def _enqueue(self, entry: lines.Entry) -> None:
        self.waiting[entry.call.call_id] = entry
        self.latest.add((entry.latest, entry.call.call_id))
        if entry.call.suspect:
            self.suspects.append(entry)
            return
        line = self.lines[entry.klass]
        if not line.count:
            self.classes.wake(entry.klass, CLASS_WEIGHTS[entry.klass])
        line.add(entry, self._weight(entry.flow))

    def _dequeue(self, entry: lines.Entry) -> None:
        del self.waiting[entry.call.call_id]
        self.latest.remove((entry.latest, entry.call.call_id))
        if entry.call.suspect:
            self.suspects.remove(entry)
            return
        line = self.lines[entry.klass]
        line.remove(entry)
        if not line.count:
            self.classes.rest(entry.klass)

    def _start(self, entry: lines.Entry, now: float) -> None:
        self.running[entry.call.call_id] = Running(entry, now)
        self.running_of[entry.flow] = self.running_of.get(entry.flow, 0) + 1
        self.running_batch += entry.klass == calls.BATCH
        self.running_tokens += _context(entry.call)
        self.running_suspects += entry.call.suspect
        line = self.lines[entry.klass]
        line.clock.serve(entry.flow, self._weight(entry.flow), entry.service)
        self.classes.serve(
            entry.klass, CLASS_WEIGHTS[entry.klass], entry.service
        )

    def _release(self, entry: lines.Entry) -> None:
        del self.running[entry.call.call_id]
        self.running_of[entry.flow] -= 1
        if not self.running_of[entry.flow]:
            del self.running_of[entry.flow]
        self.running_batch -= entry.klass == calls.BATCH
        self.running_tokens -= _context(entry.call)
        self.running_suspects -= entry.call.suspect


def _context(call: calls.Call) -> int:
    return call.prompt_tokens + call.expected_tokens
