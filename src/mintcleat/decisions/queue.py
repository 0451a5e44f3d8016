"""Admission control and scheduling of calls at one upstream.

`Gate` reads no clock: the current time in seconds is passed to it. The
sidecar calls `offer` for each call, `next` whenever one may start (after
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

# Share of each priority class while both queue. Batch calls keep a tenth, so
# that they never starve.
CLASS_WEIGHTS = {calls.INTERACTIVE: 0.9, calls.BATCH: 0.1}
# Customers examined for a call that may start. Fair queueing orders those
# below their share first, so a longer search rarely finds one.
_LOOKAHEAD = 8
# Factor on the maximum wait of a batch call, as no user waits for its answer.
BATCH_WAIT_FACTOR = 4.0


# Placeholders for predicting the wait of an average call: the first call of a
# program, and a later one.
_NEW_PROGRAM_CALL = calls.Call("", "", "", "", "")
_RUNNING_PROGRAM_CALL = _NEW_PROGRAM_CALL._replace(attained=1, prompt_tokens=1)


Options = slots.Options


class Admit(NamedTuple):
    """The call starts now and counts as running."""


class Queued(NamedTuple):
    """The call waits until `next` or `expire` returns it.

    Attributes:
        wait: Predicted wait in seconds.
    """

    wait: float


class Load(NamedTuple):
    """Load of the gate, as sent in `call_messages.LoadReport`.

    Attributes:
        running: Calls that have started and not ended.
        queued: Calls that wait.
        limit: Concurrency limit in force.
        wait: Predicted wait of a later call of a program, in seconds.
        token_time: Measured seconds per token; 0 if not measured.
        prefill_rate: Measured prompt tokens per second; 0 if not measured.
        first_call_wait: Predicted wait of a program's first call, in seconds.
    """

    running: int
    queued: int
    limit: int
    wait: float
    token_time: float
    prefill_rate: float
    first_call_wait: float


class Gate:
    """Admission, queues and concurrency limit of one upstream.

    Attributes:
        queues: Waiting calls by priority class.
        waiting: Waiting calls by call id, suspects included.
        latest: Pairs of latest start time and call id of all waiting calls.
        suspects: Waiting suspect calls, oldest first; they run one at a time.
    """

    def __init__(self, options: Options, capacity: int) -> None:
        self.options = options
        self.limit = concurrency.Limit(capacity)
        self.speed = speed.Speed()
        self.estimator = remaining_work.Estimator()
        self.queues = {
            klass: class_queue.ClassQueue() for klass in CLASS_WEIGHTS
        }
        self.classes = admission.FairClock()
        self.waiting: dict[str, class_queue.QueueItem] = {}
        self.latest: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.slots = slots.Slots(options, self.speed)
        self.suspects: list[class_queue.QueueItem] = []

    def configure(self, options: Options) -> None:
        """Replaces the options; waiting calls keep their position."""
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
            raise ValueError(
                f"Call id {call.call_id!r} is already waiting or running here;"
                " offer each call once."
            )
        service = self.speed.service
        self.slots.working_set.resumed(call.program, service, now)
        item = self._queue_item(call, now)
        wait = self._wait(item, now)
        if self.options.bounded:
            refusal = self._refusal(item, wait, now)
            if refusal is not None:
                return refusal
        idle = not self.waiting
        if idle and self._ready(item, now):
            self._start(item, now)
            return Admit()
        self._enqueue(item)
        return Queued(wait)

    def next(self, now: float) -> calls.Call | None:
        """Returns a call to start now; call it until it returns None."""
        item = self._pick(now)
        if item is None:
            return None
        self._dequeue(item)
        self._start(item, now)
        return item.call

    def finished(
        self, call_id: str, now: float, outcome: calls.Outcome
    ) -> None:
        """Ends a started call. Unknown ids are ignored, so it is idempotent."""
        running = self.slots.running.get(call_id)
        if running is None:
            return
        self.speed.observe(outcome, running.backlog)
        if self.options.adaptive:
            self.limit.observe(outcome, len(self.slots.running), now)
        item = running.item
        if outcome.ok:
            self.estimator.answered(item.call.agent, outcome.generated)
        self.slots.release(call_id)
        self.slots.working_set.paused(item.call.program, now)
        queue = self.queues[item.klass]
        weight = self.slots.weight(item.flow)
        queue.clock.correct(item.flow, weight, outcome.seconds - item.service)

    def first_token(self, call_id: str) -> None:
        """Records that a started call's prompt is computed."""
        self.slots.prefilled(call_id)

    def progressed(self, token_time: float) -> None:
        """Updates the seconds per token from a stream that is running."""
        self.speed.observe_token_time(token_time)

    def protect(self, tokens: int) -> None:
        """Sets the tokens of paused caches that will be used again soon."""
        self.slots.protected = tokens

    def program_left(self, program: str) -> None:
        """Removes a program that ended, moved elsewhere or hung."""
        self.slots.working_set.leave(program)

    def cancel(self, call_id: str) -> bool:
        """Drops a waiting or running call; returns whether it was known.

        The slot of a running call is freed at once. The caller must cancel it
        at the upstream as well.
        """
        item = self.waiting.get(call_id)
        if item is not None:
            self._dequeue(item)
            return True
        return self.slots.release(call_id)

    def expire(self, now: float) -> list[calls.Call]:
        """Removes and returns waiting calls that can't meet their deadline.

        The sidecar refuses them with `deadline_unmet`, before the upstream
        spends time on an answer that would come too late.
        """
        self.slots.working_set.expire_absent(now)
        for queue in self.queues.values():
            queue.clock.drop_idle()
        expired = []
        while self.latest and self.latest[0][0] < now:
            item = self.waiting[self.latest[0][1]]
            self._dequeue(item)
            expired.append(item.call)
        return expired

    def drain(self) -> list[calls.Call]:
        """Removes and returns every waiting call, before a planned stop."""
        items = list(self.waiting.values())
        for item in items:
            self._dequeue(item)
        return [item.call for item in items]

    def predicted_wait(self, now: float) -> float:
        """Returns the predicted wait of a program's first call in seconds."""
        item = self._queue_item(_NEW_PROGRAM_CALL, now)
        context = self.slots.working_set.mean_context
        return self._wait(item._replace(footprint=context), now)

    def load(self, now: float) -> Load:
        """Returns the load to report."""
        return Load(
            len(self.slots.running),
            len(self.waiting),
            self.limit.current(),
            self._wait(self._queue_item(_RUNNING_PROGRAM_CALL, now), now),
            self.speed.measured_token_time(),
            self.speed.measured_prefill_rate(),
            self.predicted_wait(now),
        )

    def _queue_item(
        self, call: calls.Call, now: float
    ) -> class_queue.QueueItem:
        options = self.options
        remaining = self.estimator.remaining(call.agent, call.attained)
        mean_tokens = self.estimator.mean_tokens
        key = order.key(call, remaining, mean_tokens, now, options.ordering)
        flow = call.customer if options.fair else ""
        klass = calls.INTERACTIVE
        if options.classes and call.klass == calls.BATCH:
            klass = calls.BATCH
        service = self.speed.estimate(call)
        footprint = float(slots.context(call))
        if remaining.known:
            footprint += remaining.tokens / 2
        return class_queue.QueueItem(
            key,
            call,
            flow,
            klass,
            now,
            _memory_need(call),
            service,
            call.deadline_at - service,
            footprint,
        )

    def _refusal(
        self, item: class_queue.QueueItem, wait: float, now: float
    ) -> admission.Refuse | None:
        max_wait = self.options.max_wait
        if item.klass == calls.BATCH:
            max_wait *= BATCH_WAIT_FACTOR
        inputs = admission.Inputs(
            wait,
            item.service,
            max_wait,
            self.slots.over_share(item.flow, self.limit.current()),
        )
        return admission.decide(item.call, inputs, now)

    def _wait(self, item: class_queue.QueueItem, now: float) -> float:
        """Returns the longest of the waits for memory, a slot and prefill."""
        queue = self.queues[item.klass]
        memory_wait = 0.0
        if (
            item.need == class_queue.NEW_PROGRAM
            and not self.slots.fits_working_set(item)
        ):
            ahead = queue.need_counts[class_queue.NEW_PROGRAM]
            memory_wait = self.slots.working_set.wait(ahead, now)
        return max(
            memory_wait, self._slot_wait(item, queue), self._prefill_wait(queue)
        )

    def _prefill_wait(self, queue: class_queue.ClassQueue) -> float:
        """Returns the seconds to compute the prompts ahead of a new call."""
        if not self.options.prefill or not queue.count:
            return 0.0
        tokens = self.slots.prefill_tokens + queue.prompt_tokens
        return tokens / max(self.speed.prefill_rate, 1.0)

    def _slot_wait(
        self, item: class_queue.QueueItem, queue: class_queue.ClassQueue
    ) -> float:
        """Returns the service time scheduled before a call, per slot.

        Calls of other customers count only as far as fair queueing serves
        them first, so a burst leads to refusals for its own customer only.
        """
        limit = self.limit.current()
        if len(self.slots.running) < limit:
            return 0.0
        weight = self.slots.weight(item.flow)
        own = queue.service_before(item.flow, item.key) + self._mean_service(
            item
        )
        shared = min(
            queue.total_service + own, own / queue.share(item.flow, weight)
        )
        other = self._other_class(item.klass)
        if other.count:
            class_share = CLASS_WEIGHTS[item.klass]
            shared = min(shared + other.total_service, shared / class_share)
        return shared / limit

    def _other_class(self, klass: str) -> class_queue.ClassQueue:
        if klass == calls.BATCH:
            return self.queues[calls.INTERACTIVE]
        return self.queues[calls.BATCH]

    def _mean_service(self, item: class_queue.QueueItem) -> float:
        """Estimates the time until a running call frees its slot."""
        return self.speed.service if self.speed.samples else item.service

    def _ready(self, item: class_queue.QueueItem, now: float) -> bool:
        limit = self.limit.current()
        return self.slots.allows(item, limit) and self.slots.fits(item, now)

    def _pick(self, now: float) -> class_queue.QueueItem | None:
        if len(self.slots.running) >= self.limit.current():
            return None
        if self.suspects and self._ready(self.suspects[0], now):
            return self.suspects[0]
        for _, klass in list(self.classes.backlog):
            queue = self.queues[klass]
            for _, flow in queue.clock.backlog[:_LOOKAHEAD]:
                for item in queue.flows[flow].heads():
                    if self._ready(item, now):
                        return item
                    if self._blocks_others(item, now):
                        return None
        return None

    def _blocks_others(self, item: class_queue.QueueItem, now: float) -> bool:
        """Returns whether no other call may start before this one.

        Without it, a call with a large context starves: smaller ones that fit
        into the free memory keep overtaking it.
        """
        if item.need == class_queue.NEW_PROGRAM:
            return False
        if now - item.arrived < slots.STARVATION_SECONDS:
            return False
        return self.slots.allows(item, self.limit.current())

    def _enqueue(self, item: class_queue.QueueItem) -> None:
        self.waiting[item.call.call_id] = item
        self.latest.add((item.latest, item.call.call_id))
        if item.call.suspect:
            self.suspects.append(item)
            return
        queue = self.queues[item.klass]
        if not queue.count:
            self.classes.activate(item.klass, CLASS_WEIGHTS[item.klass])
        queue.add(item, self.slots.weight(item.flow))

    def _dequeue(self, item: class_queue.QueueItem) -> None:
        del self.waiting[item.call.call_id]
        self.latest.remove((item.latest, item.call.call_id))
        if item.call.suspect:
            self.suspects.remove(item)
            return
        queue = self.queues[item.klass]
        queue.remove(item)
        if not queue.count:
            self.classes.deactivate(item.klass)

    def _start(self, item: class_queue.QueueItem, now: float) -> None:
        self.slots.start(item, now)
        queue = self.queues[item.klass]
        weight = self.slots.weight(item.flow)
        queue.clock.serve(item.flow, weight, item.service)
        self.classes.serve(item.klass, CLASS_WEIGHTS[item.klass], item.service)


def _memory_need(call: calls.Call) -> int:
    if call.attained == 0:
        return class_queue.NEW_PROGRAM
    if call.new_tokens < call.prompt_tokens:
        return class_queue.RESIDENT
    return class_queue.RETURNING
