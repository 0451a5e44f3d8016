"""The sidecar: the last gate before one upstream.

It decides whether an attempt runs here, runs it at most once, reports the
outcome to the program's group and lets callers follow the answer.
"""

import itertools
from typing import Any
from typing import NamedTuple

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.ports import control as control_port
from mintcleat.ports import directory as directory_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles import sidecar_attempts
from mintcleat.roles import sidecar_commit
from mintcleat.roles import sidecar_gate
from mintcleat.roles import sidecar_history
from mintcleat.roles import sidecar_run

_STOP_STEP = 0.02
_ATTACH_STEP = 0.02


class SidecarOptions(NamedTuple):
    """Settings of one sidecar.

    Attributes:
        kind: `model` or `plain`.
        capacity: Calls that the upstream takes at once; 0 asks the engine.
        queue: Calls that may wait here.
        history_bytes: Bytes of program history kept here.
        retention: Seconds for which the state of an ended attempt is kept.
        keep_answer: Seconds for which an ended answer can be attached to.
        attach_patience: Seconds that Attach waits for a run on its way.
        load_seconds: Time between two load reports on a watch.
        probe_seconds: Time between two looks at the upstream.
    """

    service: str
    kind: str
    region: str = ""
    failure_domain: str = ""
    capacity: int = 0
    queue: int = 1024
    history_bytes: int = 64 * 1024 * 1024
    retention: float = 120.0
    keep_answer: float = 30.0
    attach_patience: float = 1.0
    load_seconds: float = 0.5
    probe_seconds: float = 1.0


class Sidecar:
    """One sidecar beside one upstream.

    Attributes:
        state: `loading`, `ready`, `draining` or `down`.
    """

    def __init__(
        self,
        node: messages.Incarnation,
        options: SidecarOptions,
        *,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
        upstream: upstream_port.ModelEngine | upstream_port.PlainService,
        control: control_port.Control,
        directory: directory_port.Directory,
        address: str = "",
    ) -> None:
        self.node = node
        self.options = options
        self.streams = streams
        self.timers = timers
        self.upstream = upstream
        self.directory = directory
        self.address = address or getattr(streams, "address", "")
        self.attempts = sidecar_attempts.AttemptTable(
            timers, options.retention, options.keep_answer
        )
        self.loose: set[sidecar_attempts.Attempt] = set()
        self.histories = sidecar_history.Histories(options.history_bytes)
        self.reporter = sidecar_commit.Reporter(node, control, timers)
        capacity = options.capacity or 16
        self.gate = sidecar_gate.Admission(timers, capacity, options.queue)
        self.runner = self._new_runner()
        self.info = _UNKNOWN_ENGINE
        self.state = "ready" if options.kind == "plain" else "loading"
        self.draining = False
        self.highest_fence = 0
        self.numbers = itertools.count(1)
        self.counters = itertools.count(1)
        self.subscriptions: list[timers_port.Subscription] = []

    def start(self) -> None:
        """Serves and begins to look at the upstream."""
        handlers = {
            messages.RunTurn: self.run_turn,
            messages.RunTool: self.run_tool,
            messages.Attach: self.attach,
            messages.SealAttempt: self.seal,
            messages.CancelAttempt: self.cancel,
            messages.WatchLoad: self.watch_load,
            messages.Order: self.order,
            messages.DrainUpstream: self.drain_upstream,
        }
        for kind, handler in handlers.items():
            self.streams.handle(kind, handler)
        self.probe()
        self.subscriptions = [
            self.timers.every(self.options.probe_seconds, self.probe),
            self.timers.every(1.0, self.attempts.forget_old),
        ]

    def probe(self) -> None:
        """Asks the engine how it is; a plain service is taken as it comes."""
        if self.options.kind != "model":
            return
        try:
            self.info = self.upstream.info()
        except errors.MintcleatError as error:
            if self.state != "down":
                logger.warning("The engine is down: {}", error.detail)
            self.state = "down"
            return
        self.state = self.info.state
        if not self.options.capacity:
            self.gate.limit = self.info.capacity

    def announcement(self) -> messages.Announcement:
        """Describes the upstream, with a fresh counter."""
        return messages.Announcement(
            sidecar=self.node,
            counter=next(self.counters),
            address=self.address,
            service=self.options.service,
            kind=self.options.kind,
            region=self.options.region,
            failure_domain=self.options.failure_domain,
            capacity=self.gate.limit,
            state=self.told_state(),
            fencing=self.info.fencing,
            kv_export=self.info.kv_export,
            priority=self.info.priority,
            resume=self.info.resume,
            model=self.info.model,
        )

    def told_state(self) -> str:
        """Returns the state that others hear of."""
        return "draining" if self.draining else self.state

    def load(self) -> messages.LoadReport:
        """Returns a fresh load report."""
        return messages.LoadReport(
            sidecar=self.node,
            counter=next(self.counters),
            running=self.gate.running,
            queued=len(self.gate.waiting),
            limit=self.gate.limit,
            wait=self.gate.wait(),
            token_time=0.0,
            prefill_rate=0.0,
            free_memory=0,
            state=self.told_state(),
        )

    def run_turn(
        self, exchange: streams_port.Exchange, asked: messages.RunTurn
    ) -> None:
        """Serves RunTurn; see `domain.messages`."""
        if self._answer_known(exchange, asked):
            return
        have = self.histories.have(
            asked.program, asked.base_turn, asked.base_digest
        )
        if have < asked.base_turn and asked.history:
            try:
                self.histories.extend(asked.program, asked.history)
            except errors.BadRequest as error:
                self._refuse(exchange, asked, error)
                return
            have = self.histories.have(
                asked.program, asked.base_turn, asked.base_digest
            )
        if have < asked.base_turn:
            exchange.send(messages.NeedHistory(have))
            return
        self._start(exchange, asked)

    def run_tool(
        self, exchange: streams_port.Exchange, asked: messages.RunTool
    ) -> None:
        """Serves RunTool; see `domain.messages`."""
        if not self._answer_known(exchange, asked):
            self._start(exchange, asked)

    def attach(
        self, exchange: streams_port.Exchange, asked: messages.Attach
    ) -> None:
        """Lets a caller follow an attempt from the start of its answer."""
        if asked.sidecar != self.node:
            exchange.send(_other_incarnation(asked.attempt))
            return
        scope = sidecar_attempts.scope_of(
            asked.program, asked.partner, asked.key
        )
        patience = self.timers.now() + self.options.attach_patience
        while self.timers.now() < patience:
            attempt = self.attempts.find(scope, asked.attempt)
            if attempt is not None:
                self._follow(exchange, attempt)
                return
            if self.attempts.state(scope, asked.attempt):
                break
            self.timers.sleep(_ATTACH_STEP)
        # The run never came. Sealing it makes "not run" true for a copy that
        # is still on its way, so that the caller need not wait for it.
        self.attempts.seal(scope, asked.attempt)
        state = self.attempts.state(scope, asked.attempt)
        exchange.send(self._ended(asked.attempt, state))

    def seal(
        self, exchange: streams_port.Exchange, asked: messages.SealAttempt
    ) -> None:
        """Makes sure that an attempt never runs here, unless it has begun."""
        exchange.send(messages.Sealed(asked.attempt, self._seal(asked)))

    def _seal(self, asked: messages.SealAttempt) -> str:
        if asked.sidecar != self.node:
            return "unknown"
        scope = sidecar_attempts.scope_of(
            asked.program, asked.partner, asked.key
        )
        attempt = self.attempts.find(scope, asked.attempt)
        if attempt is not None and attempt.state == sidecar_attempts.QUEUED:
            self._cancel(attempt, errors.Draining("The attempt was sealed."))
        elif attempt is None:
            self.attempts.seal(scope, asked.attempt)
        return self.attempts.state(scope, asked.attempt)

    def cancel(
        self, exchange: streams_port.Exchange, asked: messages.CancelAttempt
    ) -> None:
        """Stops an attempt whose caller has gone."""
        attempt = self.attempts.find(asked.program, asked.attempt)
        if attempt is not None:
            self._cancel(attempt, _caller_gone())
        exchange.send(messages.Done())

    def watch_load(
        self, exchange: streams_port.Exchange, asked: messages.WatchLoad
    ) -> None:
        """Pushes load reports until the watcher goes."""
        while True:
            exchange.send(self.load())
            self.timers.sleep(self.options.load_seconds)

    def order(
        self, exchange: streams_port.Exchange, asked: messages.Order
    ) -> None:
        """Carries out an order, unless a newer leader has ordered."""
        if asked.sidecar != self.node:
            raise errors.FencedOff("The order is for another incarnation.")
        if asked.fence < self.highest_fence:
            raise errors.FencedOff(
                f"Order {asked.fence} is older than {self.highest_fence}."
            )
        self.highest_fence = asked.fence
        self.upstream.order(asked.fence, asked.action, asked.model)
        self.probe()
        exchange.send(messages.Done(self.info.model))

    def drain_upstream(
        self, exchange: streams_port.Exchange, asked: messages.DrainUpstream
    ) -> None:
        """Takes no new work, or takes it again."""
        if asked.sidecar != self.node:
            raise errors.FencedOff("The order is for another incarnation.")
        if asked.drain:
            self.drain()
        else:
            self.draining = False
        exchange.send(messages.Done(self.told_state()))

    def drain(self) -> None:
        """Refuses new work and hands back what waits."""
        self.draining = True
        for attempt in [*self.attempts.running(), *self.loose]:
            if attempt.state == sidecar_attempts.QUEUED:
                self._cancel(attempt, errors.Draining("This sidecar stops."))

    def stop(self, limit: float) -> int:
        """Drains, waits for what runs, and returns how many were cut."""
        self.drain()
        until = self.timers.now() + limit
        while self.under_way() and self.timers.now() < until:
            self.timers.sleep(_STOP_STEP)
        cut = self.under_way()
        self.reporter.stopped = True
        for attempt in cut:
            failure = errors.OutcomeUnknown("The sidecar was stopped.")
            attempt.end(messages.Broken(attempt.number, failure.failure()))
        for subscription in self.subscriptions:
            subscription.cancel()
        return len(cut)

    def under_way(self) -> list[sidecar_attempts.Attempt]:
        """Returns the attempts that wait or run."""
        return [*self.attempts.running(), *self.loose]

    def _new_runner(
        self,
    ) -> sidecar_run.TurnRunner | sidecar_run.ToolRunner:
        match self.options.kind:
            case "model":
                return sidecar_run.TurnRunner(
                    self.upstream,
                    self.histories,
                    self.reporter,
                    self.timers,
                    self.load,
                )
            case _:
                return sidecar_run.ToolRunner(
                    self.upstream, self.reporter, self.timers, self.load
                )

    def _answer_known(
        self, exchange: streams_port.Exchange, asked: Any
    ) -> bool:
        """Answers a copy of a known attempt; True when it is answered."""
        if asked.sidecar != self.node and asked.attempt:
            exchange.send(_other_incarnation(asked.attempt))
            return True
        if asked.attempt:
            scope = sidecar_attempts.scope_of(
                asked.program, asked.partner, asked.key
            )
            attempt = self.attempts.find(scope, asked.attempt)
            if attempt is not None:
                self._follow(exchange, attempt)
                return True
            state = self.attempts.state(scope, asked.attempt)
            if state:
                exchange.send(self._ended(asked.attempt, state))
                return True
        refusal = self._refusal(asked)
        if refusal is not None:
            self._refuse(exchange, asked, refusal)
            return True
        return False

    def _refusal(self, asked: Any) -> errors.MintcleatError | None:
        if asked.service != self.options.service:
            return errors.UnknownService(
                f"This sidecar serves {self.options.service}."
            )
        if self.draining:
            return errors.Draining("This sidecar takes no new work.")
        if self.state != "ready":
            return errors.NoUpstream(f"The upstream here is {self.state}.")
        policies = self.directory.manifest().policies
        if not self.directory.in_lease() and policies.stale_lease == "refuse":
            return errors.LeaseExpired("The configuration here is too old.")
        return None

    def _refuse(
        self,
        exchange: streams_port.Exchange,
        asked: Any,
        error: errors.MintcleatError,
    ) -> None:
        """Seals first: "not run" must hold for every copy of the frame."""
        if asked.attempt:
            scope = sidecar_attempts.scope_of(
                asked.program, asked.partner, asked.key
            )
            self.attempts.seal(scope, asked.attempt)
        exchange.send(
            messages.Refused(asked.attempt, error.failure(), self.load())
        )

    def _start(self, exchange: streams_port.Exchange, asked: Any) -> None:
        seconds = asked.deadline or self.directory.manifest().policies.deadline
        request = f"{self.node.epoch:x}-{next(self.numbers)}"
        attempt = sidecar_attempts.Attempt(
            asked, request, self.timers.now() + seconds
        )
        if asked.attempt:
            self.attempts.add(attempt)
        else:
            self.loose.add(attempt)
        self.timers.spawn(self._execute, attempt)
        self._follow(exchange, attempt)

    def _execute(self, attempt: sidecar_attempts.Attempt) -> None:
        """Admits and runs an attempt; whatever happens, it gets an outcome."""
        try:
            self.gate.enter(attempt)
        except errors.MintcleatError as error:
            self._end_refused(attempt, error)
            return
        if attempt.cancelled is not None:
            # Sealed between its admission and this line: it must not run.
            self.gate.leave(0.0)
            self._end_refused(attempt, attempt.cancelled)
            return
        attempt.state = sidecar_attempts.RUNNING
        started = self.timers.now()
        deadline = self.timers.after(
            max(0.0, attempt.until - started),
            lambda: self._cancel(attempt, _deadline_over()),
        )
        try:
            self.runner.run(attempt)
            self._conclude(attempt, "ran")
        except errors.NoUpstream as error:
            self._end_refused(attempt, error)
        except errors.MintcleatError as error:
            self._end_broken(attempt, error)
        finally:
            deadline.cancel()
            self.gate.leave(self.timers.now() - started)

    def _end_refused(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        self._conclude(attempt, "never")
        failure = error.failure()._replace(outcome=errors.NOT_RUN)
        attempt.end(messages.Refused(attempt.number, failure, self.load()))

    def _end_broken(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        failure = error.failure()
        if failure.outcome == errors.NOT_RUN:
            failure = failure._replace(outcome=errors.UNKNOWN)
        if attempt.number and self._must_settle(attempt, failure):
            try:
                self.reporter.settle(attempt, failure.outcome, failure)
            except errors.MintcleatError as refused:
                logger.warning("{}: {}", attempt.scope, refused.detail)
        state = "ran" if failure.outcome == errors.RAN else "unknown"
        self._conclude(attempt, state)
        attempt.end(messages.Broken(attempt.number, failure))

    def _must_settle(
        self, attempt: sidecar_attempts.Attempt, failure: errors.Failure
    ) -> bool:
        """Tells whether the group must hear of a failure from here.

        An idempotent call of unknown outcome is retried by its entry, which
        needs the key free; everything else is final.
        """
        if failure.outcome == errors.RAN:
            return True
        return not attempt.message.idempotent

    def _conclude(self, attempt: sidecar_attempts.Attempt, state: str) -> None:
        attempt.state = sidecar_attempts.ENDED
        self.loose.discard(attempt)
        if attempt.number:
            self.attempts.conclude(attempt, state)

    def _cancel(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        """Stops an attempt; a tool that has begun can't be stopped."""
        if attempt.outcome is not None or attempt.cancelled is not None:
            return
        if attempt.state == sidecar_attempts.QUEUED:
            attempt.cancelled = error
            self._conclude(attempt, "never")
            attempt.notify()
            return
        if attempt.state != sidecar_attempts.RUNNING:
            return
        if self.options.kind == "model":
            attempt.cancelled = error
            self.timers.spawn(self._cancel_at_engine, attempt)

    def _cancel_at_engine(self, attempt: sidecar_attempts.Attempt) -> None:
        try:
            self.upstream.cancel(attempt.request)
        except errors.MintcleatError as error:
            logger.warning("A cancel did not reach: {}", error.detail)

    def _follow(
        self,
        exchange: streams_port.Exchange,
        attempt: sidecar_attempts.Attempt,
    ) -> None:
        """Sends the answer from its start until the outcome."""
        attempt.watchers += 1
        watch = Watch(attempt)
        self.timers.spawn(self._listen, exchange, watch)
        place = 0
        offset = 0
        try:
            while not watch.gone:
                changed = attempt.changed
                if place < len(attempt.pieces):
                    text = "".join(attempt.pieces[place:])
                    place = len(attempt.pieces)
                    exchange.send(messages.Chunk(attempt.number, offset, text))
                    offset += len(text)
                elif attempt.outcome is not None:
                    exchange.send(attempt.outcome)
                    return
                else:
                    changed.wait()
        finally:
            watch.done = True
            attempt.watchers -= 1
            if not attempt.watchers and not attempt.number:
                self._cancel(attempt, _caller_gone())

    def _listen(self, exchange: streams_port.Exchange, watch: "Watch") -> None:
        """Notices that the watcher closed, even while nothing is sent."""
        try:
            while True:
                message = exchange.receive()
                if isinstance(message, messages.CancelAttempt):
                    self._cancel(watch.attempt, _caller_gone())
        except errors.MintcleatError:
            if not watch.done:
                watch.gone = True
                watch.attempt.notify()

    def _ended(self, number: int, state: str) -> sidecar_attempts.Outcome:
        """Returns the outcome of an attempt whose answer is not kept."""
        match state:
            case "never":
                failure = errors.Draining("The attempt was sealed here.")
                return messages.Refused(number, failure.failure(), self.load())
            case "ran":
                failure = errors.OutcomeUnknown(
                    "The call ran and its answer is recorded.",
                    outcome=errors.RAN,
                    remedy="Send the call again with the same key.",
                )
            case _:
                failure = errors.OutcomeUnknown("The call may have run.")
        return messages.Broken(number, failure.failure())


class Watch:
    """One caller that follows an attempt.

    Attributes:
        gone: The caller closed before the end.
        done: The follower has ended.
    """

    def __init__(self, attempt: sidecar_attempts.Attempt) -> None:
        self.attempt = attempt
        self.gone = False
        self.done = False


def _other_incarnation(number: int) -> messages.Broken:
    failure = errors.OutcomeUnknown(
        "The attempt belongs to another life of this sidecar."
    )
    return messages.Broken(number, failure.failure())


def _caller_gone() -> errors.MintcleatError:
    return errors.OutcomeUnknown("The caller has gone.")


def _deadline_over() -> errors.MintcleatError:
    return errors.DeadlineUnmet(
        "The deadline ended while the call ran.", outcome=errors.RAN
    )


_UNKNOWN_ENGINE = upstream_port.EngineInfo(
    life=0,
    model="",
    capacity=0,
    state="loading",
    fencing=False,
    kv_export=False,
    priority=False,
    resume=False,
)
