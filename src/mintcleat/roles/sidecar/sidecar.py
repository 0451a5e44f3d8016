"""The sidecar: admission control and execution in front of one upstream.

It decides whether an attempt runs here, runs it at most once, reports the
outcome to the program's group and streams the answer to every caller that
follows it.
"""

import itertools
from typing import Any

from mintcleat.decisions import send_interval
from mintcleat.domain import call_messages
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.ports import control as control_port
from mintcleat.ports import membership as membership_port
from mintcleat.ports import metrics as metrics_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles.sidecar import admission as sidecar_admission
from mintcleat.roles.sidecar import answers as sidecar_answers
from mintcleat.roles.sidecar import attempts as sidecar_attempts
from mintcleat.roles.sidecar import commit as sidecar_commit
from mintcleat.roles.sidecar import crashes as sidecar_crashes
from mintcleat.roles.sidecar import execution as sidecar_execution
from mintcleat.roles.sidecar import history as sidecar_history
from mintcleat.roles.sidecar import memory as sidecar_memory
from mintcleat.roles.sidecar import monitor as sidecar_monitor
from mintcleat.roles.sidecar import orders as sidecar_orders
from mintcleat.roles.sidecar import runners as sidecar_runners

# Size of a load report on the wire, its frame included (docs/capacity.json).
_LOAD_REPORT_BYTES = 100
_STOP_POLL_SECONDS = 0.02
_ATTACH_POLL_SECONDS = 0.02
_EXPIRE_INTERVAL = 0.1
_FORGET_INTERVAL = 1.0
# Concurrent calls until the engine has announced its capacity.
_DEFAULT_CAPACITY = 16

SidecarOptions = sidecar_monitor.SidecarOptions


class Sidecar:
    """The sidecar of one upstream.

    Attributes:
        monitor: State of the upstream and of this sidecar.
        attempts: Attempts that this sidecar has received.
        load_watchers: Open load report streams.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        options: sidecar_monitor.SidecarOptions,
        *,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
        upstream: upstream_port.ModelEngine | upstream_port.PlainService,
        control: control_port.Control,
        directory: membership_port.Membership,
        address: str = "",
        metrics: metrics_port.Metrics | None = None,
    ) -> None:
        self.node = node
        self.options = options
        self.streams = streams
        self.timers = timers
        self.upstream = upstream
        self.directory = directory
        self.address = address or getattr(streams, "address", "")
        self.metrics = metrics
        self.is_model = options.kind == "model"
        self.attempts = sidecar_attempts.AttemptTable(
            timers, control.groups, options.retention, options.answer_retention
        )
        self.histories = sidecar_history.Histories(options.history_bytes)
        self.reporter = sidecar_commit.OutcomeReporter(node, control, timers)
        self.admission = sidecar_admission.Admission(
            timers, directory, options.capacity or _DEFAULT_CAPACITY
        )
        self.cache_manager = sidecar_memory.CacheManager(
            node,
            upstream,
            control,
            timers,
            admission=self.admission,
            export_bytes=options.export_bytes,
            on_program_ended=self._on_program_ended,
        )
        self.monitor = sidecar_monitor.UpstreamMonitor(
            node,
            options,
            address or getattr(streams, "address", ""),
            upstream=upstream,
            directory=directory,
            timers=timers,
            admission=self.admission,
            cache_manager=self.cache_manager,
        )
        self.crashes = sidecar_crashes.CrashReporter(
            node, directory, timers, self.monitor
        )
        self.executor = sidecar_execution.Executor(
            self._new_runner(upstream),
            self.attempts,
            self.admission,
            self.crashes,
            self.reporter,
            timers,
            self.load,
            self._count,
        )
        target = sidecar_orders.OrderTarget(
            upstream, self.monitor, self.in_flight
        )
        self.orders = sidecar_orders.new_receiver(
            node, target, timers, directory
        )
        self.answer_sender = sidecar_answers.AnswerSender(
            timers, self.executor.cancel
        )
        self.request_numbers = itertools.count(1)
        self.load_watchers = 0
        self.subscriptions: list[timers_port.Subscription] = []

    def start(self) -> None:
        """Registers the handlers and starts to probe the upstream."""
        handlers = {
            call_messages.RunTurn: self.run_turn,
            call_messages.RunTool: self.run_tool,
            call_messages.AttachAttempt: self.attach,
            call_messages.SealAttempt: self.seal,
            call_messages.CancelAttempt: self.cancel,
            call_messages.WatchLoad: self.watch_load,
            config_messages.Order: self.order,
            operator_messages.DrainUpstream: self.drain_upstream,
        }
        for kind, handler in handlers.items():
            self.streams.handle(kind, handler)
        self.monitor.probe()
        self.subscriptions = [
            self.timers.every(self.options.probe_interval, self.monitor.probe),
            self.timers.every(_FORGET_INTERVAL, self.attempts.forget_old),
            self.timers.every(_EXPIRE_INTERVAL, self.executor.expire),
        ]
        self.directory.subscribe(self._on_configuration)
        if self.is_model:
            self.cache_manager.start(self.options.renew_interval)

    def announcement(self) -> member_messages.Announcement:
        """Returns the description of the upstream that is sent to control.

        Its counter is incremented with each change.
        """
        return self.monitor.announcement()

    def load(self) -> call_messages.LoadReport:
        """Returns a load report of this moment."""
        return self.monitor.load()

    # --- Handlers -------------------------------------------------------------

    def run_turn(
        self, exchange: streams_port.Exchange, request: call_messages.RunTurn
    ) -> None:
        """Serves RunTurn; see `domain.call_messages`."""
        if self._answer_without_running(exchange, request):
            return
        base = (request.program, request.base_turn, request.base_digest)
        kept = self.histories.count_kept(*base)
        if kept < request.base_turn and request.history:
            try:
                self.histories.extend(request.program, request.history)
            except errors.BadRequest as error:
                self._refuse(exchange, request, error)
                return
            kept = self.histories.count_kept(*base)
        if kept < request.base_turn:
            exchange.send(call_messages.NeedHistory(kept))
            return
        before = self.histories.prompt(request.program, request.base_turn)
        self._start(exchange, request, [*before, *request.messages])

    def run_tool(
        self, exchange: streams_port.Exchange, request: call_messages.RunTool
    ) -> None:
        """Serves RunTool; see `domain.call_messages`."""
        if not self._answer_without_running(exchange, request):
            self._start(exchange, request, [])

    def attach(
        self,
        exchange: streams_port.Exchange,
        request: call_messages.AttachAttempt,
    ) -> None:
        """Streams an attempt's answer from its start to a caller."""
        if request.sidecar != self.node:
            exchange.send(_other_incarnation(request.attempt))
            return
        scope = _scope(request)
        give_up_at = self.timers.now() + self.options.attach_timeout
        while not self.attempts.state(scope, request.attempt):
            if self.timers.now() >= give_up_at:
                # The request to run it has not arrived. Once sealed, a copy
                # that arrives later is refused, so "not run" is safe to say
                # and the caller need not wait.
                self.attempts.seal(scope, request.attempt)
                break
            self.timers.sleep(_ATTACH_POLL_SECONDS)
        attempt = self.attempts.find(scope, request.attempt)
        if attempt is not None:
            self.answer_sender.follow(exchange, attempt)
            return
        exchange.send(self._outcome_without_answer(scope, request.attempt))

    def seal(
        self,
        exchange: streams_port.Exchange,
        request: call_messages.SealAttempt,
    ) -> None:
        """Prevents an attempt from running here, unless it has started.

        Replies with the attempt's state.
        """
        state = sidecar_attempts.UNKNOWN
        if request.sidecar == self.node:
            scope = _scope(request)
            attempt = self.attempts.find(scope, request.attempt)
            if attempt and attempt.state == sidecar_attempts.QUEUED:
                sealed = errors.Draining("The attempt was sealed.")
                self.executor.cancel(attempt, sealed)
            state = self.attempts.seal(scope, request.attempt)
        exchange.send(call_messages.AttemptState(request.attempt, state))

    def cancel(
        self,
        exchange: streams_port.Exchange,
        request: call_messages.CancelAttempt,
    ) -> None:
        """Cancels an attempt whose caller has disconnected."""
        attempt = self.attempts.find(request.program, request.attempt)
        if attempt is not None:
            self.executor.cancel(attempt, sidecar_answers.caller_gone())
        exchange.send(identities.Done())

    def watch_load(
        self, exchange: streams_port.Exchange, request: call_messages.WatchLoad
    ) -> None:
        """Sends load reports until the watcher disconnects.

        The interval grows with the number of watchers, to bound the traffic.
        Every answer carries a report too, so a watcher that sends calls here
        has recent loads in any case.
        """
        self.load_watchers += 1
        try:
            while True:
                exchange.send(self.load())
                size = self.load_watchers * _LOAD_REPORT_BYTES
                seconds = send_interval.for_budget(
                    self.options.load_interval,
                    size,
                    send_interval.REPORT_BUDGET,
                )
                self.timers.sleep(seconds)
        finally:
            self.load_watchers -= 1

    def order(
        self, exchange: streams_port.Exchange, request: config_messages.Order
    ) -> None:
        """Executes an order on the upstream."""
        if not self.is_model:
            raise errors.BadRequest(
                "Only model engines take orders; this is a plain service."
            )
        self.orders.handle(exchange, request)

    def drain_upstream(
        self,
        exchange: streams_port.Exchange,
        request: operator_messages.DrainUpstream,
    ) -> None:
        """Starts or ends the draining of this sidecar."""
        if request.sidecar != self.node:
            raise errors.FencedOff(
                f"The request is for {request.sidecar}, this is {self.node}."
            )
        if request.drain:
            self.drain()
        else:
            self.monitor.draining = False
        self.directory.announce()
        exchange.send(identities.Done(self.monitor.state()))

    # --- Stopping -------------------------------------------------------------

    def drain(self) -> None:
        """Refuses new attempts and those in the queue."""
        self.monitor.draining = True
        self._refuse_queued()

    def stop(self, limit: float) -> int:
        """Drains the sidecar and stops it.

        Args:
            limit: Seconds to wait for running attempts to end.

        Returns:
            How many attempts were still running and were cut off.
        """
        self.drain()
        until = self.timers.now() + limit
        while self.in_flight() and self.timers.now() < until:
            self.timers.sleep(_STOP_POLL_SECONDS)
        unfinished = self.in_flight()
        self.reporter.stopped = True
        for attempt in unfinished:
            failure = errors.OutcomeUnknown(
                "The sidecar stopped while the call ran."
            )
            attempt.end(
                call_messages.AttemptFailed(attempt.number, failure.failure())
            )
        for subscription in self.subscriptions:
            subscription.cancel()
        self.cache_manager.stopped = True
        if self.is_model and self.options.release_on_stop:
            self.cache_manager.release_all()
        return len(unfinished)

    def in_flight(self) -> list[sidecar_attempts.Attempt]:
        """Returns the attempts that wait or run here."""
        return self.executor.in_flight()

    # --- Helpers --------------------------------------------------------------

    def _new_runner(self, upstream: Any) -> sidecar_execution.Runner:
        if self.is_model:
            return sidecar_runners.TurnRunner(
                upstream,
                self.histories,
                self.cache_manager,
                self.reporter,
                self.timers,
                self.load,
                self.admission,
            )
        return sidecar_runners.ToolRunner(
            upstream,
            self.reporter,
            self.timers,
            self.load,
        )

    def _answer_without_running(
        self, exchange: streams_port.Exchange, request: Any
    ) -> bool:
        """Answers a repeated or refused attempt, which must not run.

        Returns:
            Whether the request was answered.
        """
        if request.attempt:
            if request.sidecar != self.node:
                exchange.send(_other_incarnation(request.attempt))
                return True
            scope = _scope(request)
            attempt = self.attempts.find(scope, request.attempt)
            if attempt is not None:
                self.answer_sender.follow(exchange, attempt)
                return True
            if self.attempts.state(scope, request.attempt):
                exchange.send(
                    self._outcome_without_answer(scope, request.attempt)
                )
                return True
        refusal = self.monitor.refusal(request)
        if refusal is None:
            return False
        self._refuse(exchange, request, refusal)
        return True

    def _refuse(
        self,
        exchange: streams_port.Exchange,
        request: Any,
        error: errors.MintcleatError,
    ) -> None:
        """Refuses an attempt that is not registered.

        It is sealed first: another copy of the request may still arrive, and
        would run after the caller was told that the attempt did not.
        """
        self._count("refused", error.kind)
        if request.attempt:
            self.attempts.seal(_scope(request), request.attempt)
        exchange.send(
            call_messages.AttemptRefused(
                request.attempt, error.failure(), self.load()
            )
        )

    def _count(self, ended: str, kind: str) -> None:
        """Counts an ended attempt; `kind` is the kind of its error."""
        if self.metrics is not None:
            self.metrics.count("attempts_total", ended=ended, kind=kind)

    def _start(
        self, exchange: streams_port.Exchange, request: Any, prompt: list[str]
    ) -> None:
        seconds = (
            request.deadline or self.directory.manifest().policies.deadline
        )
        attempt = sidecar_attempts.Attempt(
            request,
            f"{self.node.epoch:x}-{next(self.request_numbers)}",
            self.timers.now() + seconds,
        )
        attempt.prompt = prompt
        self.executor.start(attempt)
        self.answer_sender.follow(exchange, attempt)

    def _outcome_without_answer(
        self, scope: str, number: int
    ) -> sidecar_attempts.Outcome:
        """Returns the outcome of an attempt whose answer is not kept."""
        match self.attempts.state(scope, number):
            case sidecar_attempts.NEVER:
                failure = errors.Draining(
                    "The attempt was refused or sealed here."
                )
                return call_messages.AttemptRefused(
                    number, failure.failure(), self.load()
                )
            case sidecar_attempts.RAN:
                failure = errors.OutcomeUnknown(
                    "The call ran and its answer is recorded.",
                    outcome=errors.RAN,
                    remedy="Send the call again with the same key.",
                )
            case _:
                failure = errors.OutcomeUnknown(
                    "The call may have run; its outcome is unknown here."
                )
        return call_messages.AttemptFailed(number, failure.failure())

    def _on_configuration(self) -> None:
        self.admission.configure()
        if self.monitor.is_draining():
            self._refuse_queued()

    def _refuse_queued(self) -> None:
        """Refuses queued attempts, so that entries place them elsewhere."""
        for attempt in self.in_flight():
            if attempt.state == sidecar_attempts.QUEUED:
                draining = errors.Draining("This sidecar is draining.")
                self.executor.cancel(attempt, draining)

    def _on_program_ended(self, program: str) -> None:
        """Drops the state of a program that its group no longer has."""
        self.histories.drop(program)
        for attempt in self.in_flight():
            if attempt.program == program:
                closed = errors.ProgramClosed(
                    "The program was closed while the call ran.",
                    outcome=errors.UNKNOWN,
                )
                self.executor.cancel(attempt, closed)


def _scope(request: Any) -> str:
    return sidecar_attempts.scope_of(
        request.program, request.customer, request.key
    )


def _other_incarnation(number: int) -> call_messages.AttemptFailed:
    failure = errors.OtherIncarnation(
        "The attempt belongs to another incarnation of this sidecar."
    )
    return call_messages.AttemptFailed(number, failure.failure())
