"""The sidecar's queue and admission in one object, driven with explicit time.

The sidecar calls `offer` for each call, `next` whenever one may start (after
`offer`, `finished`, `cancel` and `configure`), `finished` when a started call
ends, and `expire` a few times a second.
"""

from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admission
from mintcleat.decisions import calls
from mintcleat.decisions import class_queue
from mintcleat.decisions import concurrency
from mintcleat.decisions import order
from mintcleat.decisions import remaining_work
from mintcleat.decisions import slots
from mintcleat.decisions import speed

# Batch gets a tenth while interactive calls queue, so that it never starves.
CLASS_WEIGHTS = {calls.INTERACTIVE: 0.9, calls.BATCH: 0.1}
# Customers looked at for one that may start. The fair clock puts those under
# their share first, so a longer search finds nothing more often.
_LOOKAHEAD = 8
# A batch call may wait longer: no person is waiting for it.
BATCH_WAIT_FACTOR = 4.0


# Stands for a call of which nothing is known.
_USUAL = calls.Call("", "", "", "", "")
_STARTED = _USUAL._replace(attained=1, prompt_tokens=1)


Options = slots.Options


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
    new_wait: float


class Gate:
    """Admission, queue and concurrency limit of one upstream."""

    def __init__(self, options: Options, capacity: int) -> None:
        self.options = options
        self.limit = concurrency.Limit(capacity)
        self.speed = speed.Speed()
        self.estimator = remaining_work.Estimator()
        self.lines = {klass: class_queue.Line() for klass in CLASS_WEIGHTS}
        self.classes = admission.FairClock()
        self.waiting: dict[str, class_queue.Entry] = {}
        self.latest: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.slots = slots.Slots(options, self.speed)
        self.suspects: list[class_queue.Entry] = []

    def configure(self, options: Options) -> None:
        """Puts other policies in force; what waits keeps its place."""
        self.options = options
        self.slots.configure(options)

    def offer(
        self, call: calls.Call, now: float
    ) -> Admit | Queued | admission.Refuse:
        """Admits, queues or refuses a call.

        Raises:
            ValueError: The gate already holds a call with this id.
        """
        if call.call_id in self.waiting or call.call_id in self.slots.running:
            raise ValueError(f"The gate holds the call {call.call_id!r}.")
        service = self.speed.service
        self.slots.working_set.back(call.program, service, now)
        entry = self._entry(call, now)
        wait = self._wait(entry, now)
        if self.options.bounded:
            refusal = self._verdict(entry, wait, now)
            if refusal is not None:
                return refusal
        idle = not self.waiting
        if idle and self._ready(entry, now):
            self._start(entry, now)
            return Admit()
        self._enqueue(entry)
        return Queued(wait)

    def next(self, now: float) -> calls.Call | None:
        """Returns a call to start now, or None; call it until None."""
        entry = self._pick(now)
        if entry is None:
            return None
        self._dequeue(entry)
        self._start(entry, now)
        return entry.call

    def finished(
        self, call_id: str, now: float, outcome: calls.Outcome
    ) -> None:
        """Ends a started call; unknown ids are ignored, so it may repeat."""
        running = self.slots.running.get(call_id)
        if running is None:
            return
        self.speed.observe(outcome, running.backlog)
        if self.options.adaptive:
            self.limit.observe(outcome, len(self.slots.running), now)
        entry = running.entry
        if outcome.ok:
            self.estimator.answered(entry.call.agent, outcome.generated)
        self.slots.release(call_id)
        self.slots.working_set.paused(entry.call.program, now)
        line = self.lines[entry.klass]
        weight = self.slots.weight(entry.flow)
        line.clock.correct(entry.flow, weight, outcome.seconds - entry.service)

    def first_token(self, call_id: str) -> None:
        """Notes that a started call's prompt is computed."""
        self.slots.prefilled(call_id)

    def progressed(self, token_time: float) -> None:
        """Learns the pace of a stream under way; see `Speed.observe_gap`."""
        self.speed.observe_gap(token_time)

    def protect(self, tokens: int) -> None:
        """Takes the size of the caches that are expected back soon."""
        self.slots.protected = tokens

    def program_left(self, program: str) -> None:
        """Notes that a program ended, moved elsewhere or hung."""
        self.slots.working_set.leave(program)

    def cancel(self, call_id: str) -> bool:
        """Drops a call, waiting or running; tells whether it was held.

        A running call's slot is free at once; cancel it at the upstream too.
        """
        entry = self.waiting.get(call_id)
        if entry is not None:
            self._dequeue(entry)
            return True
        return self.slots.release(call_id)

    def expire(self, now: float) -> list[calls.Call]:
        """Removes the waiting calls that can no longer meet their deadline.

        They are refused here and now (`deadline_unmet`), before they spend
        the upstream's time on an answer that comes too late.
        """
        self.slots.working_set.absent(now)
        for line in self.lines.values():
            line.clock.forget_idle()
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
        """Returns the wait of a program's first call, in seconds."""
        entry = self._entry(_USUAL, now)
        context = self.slots.working_set.usual_context
        return self._wait(entry._replace(footprint=context), now)

    def load(self, now: float) -> Load:
        """Returns the load to report."""
        return Load(
            len(self.slots.running),
            len(self.waiting),
            self.limit.current(),
            self._wait(self._entry(_STARTED, now), now),
            self.speed.measured_token_time(),
            self.speed.measured_prefill_rate(),
            self.predicted_wait(now),
        )

    def _entry(self, call: calls.Call, now: float) -> class_queue.Entry:
        options = self.options
        remaining = self.estimator.remaining(call.agent, call.attained)
        typical = self.estimator.typical
        place = order.key(call, remaining, typical, now, options.ordering)
        flow = call.customer if options.fair else ""
        klass = calls.INTERACTIVE
        if options.classes and call.klass == calls.BATCH:
            klass = calls.BATCH
        service = self.speed.estimate(call)
        footprint = slots.context(call)
        if remaining.known:
            footprint += remaining.tokens / 2
        return class_queue.Entry(
            place,
            call,
            flow,
            klass,
            now,
            _need(call),
            service,
            call.deadline_at - service,
            footprint,
        )

    def _verdict(
        self, entry: class_queue.Entry, wait: float, now: float
    ) -> admission.Refuse | None:
        max_wait = self.options.max_wait
        if entry.klass == calls.BATCH:
            max_wait *= BATCH_WAIT_FACTOR
        facts = admission.Facts(
            wait,
            entry.service,
            max_wait,
            self.slots.over_share(entry.flow, self.limit.current()),
        )
        return admission.verdict(entry.call, facts, now)

    def _wait(self, entry: class_queue.Entry, now: float) -> float:
        """Predicts the wait: work that starts before it over the slots.

        Work of other customers counts only as far as their shares let them
        go first, so one customer's burst refuses that customer's calls only.
        """
        line = self.lines[entry.klass]
        memory_wait = 0.0
        if entry.need == class_queue.NEWCOMER and not self.slots.has_room(
            entry
        ):
            ahead = line.needs[class_queue.NEWCOMER]
            memory_wait = self.slots.working_set.wait(ahead, now)
        return max(
            memory_wait, self._slot_wait(entry, line), self._prefill_wait(line)
        )

    def _prefill_wait(self, line: class_queue.Line) -> float:
        """Predicts the wait for the prompts that are ahead."""
        if not self.options.prefill or not line.count:
            return 0.0
        tokens = self.slots.computing_tokens + line.prompts
        return tokens / max(self.speed.prefill_rate, 1.0)

    def _slot_wait(
        self, entry: class_queue.Entry, line: class_queue.Line
    ) -> float:
        limit = self.limit.current()
        if len(self.slots.running) < limit:
            return 0.0
        weight = self.slots.weight(entry.flow)
        own = line.ahead(entry.flow, entry.key) + self._mean_service(entry)
        shared = min(line.total + own, own / line.share(entry.flow, weight))
        other = self._other(entry.klass)
        if other.count:
            part = CLASS_WEIGHTS[entry.klass]
            shared = min(shared + other.total, shared / part)
        return shared / limit

    def _other(self, klass: str) -> class_queue.Line:
        if klass == calls.BATCH:
            return self.lines[calls.INTERACTIVE]
        return self.lines[calls.BATCH]

    def _mean_service(self, entry: class_queue.Entry) -> float:
        """Returns what the calls that run now will still take, about."""
        return self.speed.service if self.speed.samples else entry.service

    def _ready(self, entry: class_queue.Entry, now: float) -> bool:
        limit = self.limit.current()
        return self.slots.allows(entry, limit) and self.slots.fits(entry, now)

    def _pick(self, now: float) -> class_queue.Entry | None:
        if len(self.slots.running) >= self.limit.current():
            return None
        if self.suspects and self._ready(self.suspects[0], now):
            return self.suspects[0]
        for _, klass in list(self.classes.backlog):
            line = self.lines[klass]
            for _, flow in line.clock.backlog[:_LOOKAHEAD]:
                for entry in line.flows[flow].heads():
                    if self._ready(entry, now):
                        return entry
                    if self._holds_back(entry, now):
                        return None
        return None

    def _holds_back(self, entry: class_queue.Entry, now: float) -> bool:
        """Tells whether nothing else may start until this call does.

        A large context is passed over while smaller ones fit. They would go
        on coming, and it would wait without bound.
        """
        if entry.need == class_queue.NEWCOMER:
            return False
        if now - entry.arrived < slots.HOLD_BACK_SECONDS:
            return False
        return self.slots.allows(entry, self.limit.current())

    def _enqueue(self, entry: class_queue.Entry) -> None:
        self.waiting[entry.call.call_id] = entry
        self.latest.add((entry.latest, entry.call.call_id))
        if entry.call.suspect:
            self.suspects.append(entry)
            return
        line = self.lines[entry.klass]
        if not line.count:
            self.classes.wake(entry.klass, CLASS_WEIGHTS[entry.klass])
        line.add(entry, self.slots.weight(entry.flow))

    def _dequeue(self, entry: class_queue.Entry) -> None:
        del self.waiting[entry.call.call_id]
        self.latest.remove((entry.latest, entry.call.call_id))
        if entry.call.suspect:
            self.suspects.remove(entry)
            return
        line = self.lines[entry.klass]
        line.remove(entry)
        if not line.count:
            self.classes.rest(entry.klass)

    def _start(self, entry: class_queue.Entry, now: float) -> None:
        self.slots.start(entry, now)
        line = self.lines[entry.klass]
        weight = self.slots.weight(entry.flow)
        line.clock.serve(entry.flow, weight, entry.service)
        self.classes.serve(
            entry.klass, CLASS_WEIGHTS[entry.klass], entry.service
        )


def _need(call: calls.Call) -> int:
    if call.attained == 0:
        return class_queue.NEWCOMER
    if call.new_tokens < call.prompt_tokens:
        return class_queue.RESIDENT
    return class_queue.RETURNING
