"""Runs chat calls at the entry: attempts, streamed answers and retries."""

from collections.abc import Generator
from collections.abc import Iterator
from typing import Any

from loguru import logger

from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import metrics as metrics_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.entry import attempts as attempts_module
from mintcleat.roles.entry import chat_call
from mintcleat.roles.entry import delivery as delivery_module
from mintcleat.roles.entry import placement as placement_module

# Lower bound of the waits below. Only the deadline limits the wait for a
# sidecar: it sends nothing while a call is queued or its prompt is processed,
# and a lost peer is detected by the heartbeats of the streams.
_MIN_WAIT_SECONDS = 0.05
# Yields the parts of an answer and returns the next step of its call.
_Steps = Generator[
    requests.AnswerText | requests.AnswerEnd,
    None,
    attempts_module.Attach | attempts_module.Retry | attempts_module.Answered,
]


class Progress:
    """State of one call over its attempts.

    Attributes:
        delivery: The part of the answer that the caller has received.
        tried: Sidecars that refused, failed or were lost.
        sealed: Number of the sealed attempt that the next one replaces.
        attempts: Attempts so far.
        sidecar: Sidecar of the last attempt.
        may_have_run: Whether an earlier attempt may have reached its engine.
        software: Version of the software that made an attempt's text, by the
            attempt's number.
    """

    def __init__(self, streamed: bool) -> None:
        self.delivery = delivery_module.Delivery(streamed)
        self.tried: set[identities.Incarnation] = set()
        self.sealed = 0
        self.attempts = 0
        self.sidecar: identities.Incarnation | None = None
        self.may_have_run = False
        self.software: dict[int, str] = {}


class Chat:
    """Runs chat calls; one instance per entry."""

    def __init__(
        self,
        attempts: attempts_module.Attempts,
        placement: placement_module.Placement,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
        metrics: metrics_port.Metrics,
    ) -> None:
        self.attempts = attempts
        self.placement = placement
        self.streams = streams
        self.timers = timers
        self.metrics = metrics

    def run(
        self, context: chat_call.RequestContext
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the answer's text in parts, then its end.

        Raises:
            errors.MintcleatError: The refusal or failure for the caller.
        """
        progress = Progress(context.call.streamed)
        try:
            yield from self._run_attempts(context, progress)
        except errors.MintcleatError as error:
            if not progress.may_have_run:
                raise
            raise attempts_module.after_lost_attempt(
                context.name, error
            ) from None

    def _run_attempts(
        self, context: chat_call.RequestContext, progress: Progress
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the answer, from as many attempts as it takes."""
        step: Any = None
        while True:
            if isinstance(step, attempts_module.Attach):
                step = yield from self._attach(context, progress, step)
            else:
                step = yield from self._attempt(context, progress)
            match step:
                case attempts_module.Answered():
                    return
                case attempts_module.Retry(sealed, cause):
                    progress.sealed = sealed
                    self._check_retry(context, progress, cause)

    def _attempt(
        self, context: chat_call.RequestContext, progress: Progress
    ) -> _Steps:
        """Places and runs one attempt; returns the next step."""
        progress.attempts += 1
        try:
            placed = self._place(context, progress)
        except errors.MintcleatError as error:
            if progress.sealed or progress.may_have_run:
                raise
            return (yield from self._find_earlier(context, progress, error))
        progress.sidecar = placed.sidecar
        self.metrics.count("placements_total", reason=placed.reason)
        if not context.name.key:
            run = self._run_message(context, progress, placed, None)
            return (yield from self._run(context, progress, placed, run))
        reply = self._begin(context, progress, placed)
        match reply:
            case (
                program_messages.CallRecorded()
                | program_messages.AttemptRunning()
            ):
                return (yield from self._use_earlier(progress, reply))
            case _:
                run = self._run_message(context, progress, placed, reply)
                return (yield from self._run(context, progress, placed, run))

    def _find_earlier(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        refusal: errors.MintcleatError,
    ) -> _Steps:
        """Uses what an earlier send of the call left, or refuses."""
        reply = self.attempts.find_earlier(
            context.name, context.call.turn, context.digest, refusal
        )
        return (yield from self._use_earlier(progress, reply))

    def _use_earlier(
        self,
        progress: Progress,
        reply: program_messages.CallRecorded | program_messages.AttemptRunning,
    ) -> _Steps:
        """Replays the recorded answer or attaches to the running attempt."""
        if isinstance(reply, program_messages.AttemptRunning):
            return attempts_module.Attach(
                reply.attempt, reply.sidecar, reply.address
            )
        progress.delivery.restart()
        software = progress.software.get(reply.attempt, "")
        yield from chat_call.replay(
            progress.delivery, reply.answer.decode(), software
        )
        yield chat_call.recorded_end(reply)
        return attempts_module.Answered()

    def _place(
        self, context: chat_call.RequestContext, progress: Progress
    ) -> placement_module.Placed:
        if context.refusal is not None:
            raise context.refusal
        try:
            return self.placement.choose(
                context.service,
                chat_call.place_call(context, progress.attempts),
                context.resident,
                progress.tried,
                progress.delivery.software,
            )
        except errors.NoUpstream as refusal:
            # The last attempt is sealed and no other follows. Settling it
            # releases the key and the reservation for the caller's resend.
            error: errors.MintcleatError = refusal
            if progress.may_have_run:
                error = attempts_module.after_lost_attempt(
                    context.name, refusal
                )
            if progress.sealed:
                self.attempts.settle(context.name, progress.sealed, error)
            raise error from None

    def _begin(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        placed: placement_module.Placed,
    ) -> Any:
        call = context.call
        begin = program_messages.BeginCall(
            program=call.program,
            customer=context.name.customer,
            service=context.service,
            turn=call.turn,
            key=context.name.key,
            digest=context.digest,
            messages=call.messages,
            reserve=chat_call.prompt_bound(call)
            + chat_call.completion_limit(context),
            idempotent=True,
            sidecar=placed.sidecar,
            address=placed.address,
            sealed=progress.sealed,
        )
        return self.attempts.begin(context.name, begin)

    def _run_message(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        placed: placement_module.Placed,
        granted: program_messages.AttemptGranted | None,
    ) -> call_messages.RunTurn:
        call = context.call
        return call_messages.RunTurn(
            program=call.program,
            customer=context.name.customer,
            service=context.service,
            key=context.name.key,
            attempt=granted.attempt if granted else 0,
            sidecar=placed.sidecar,
            base_turn=granted.base_turn if granted else 0,
            base_digest=granted.base_digest if granted else b"",
            history=[],
            messages=call.messages,
            parameters=chat_call.bounded_parameters(context),
            deadline=max(
                context.deadline_at - self.timers.now(), _MIN_WAIT_SECONDS
            ),
            klass=granted.klass if granted else context.klass,
            agent=granted.agent if granted else context.agent,
            root=granted.root if granted else "",
            attained=granted.attained if granted else 0,
            digest=context.digest,
            idempotent=True,
            software=progress.delivery.software,
        )

    def _run(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        placed: placement_module.Placed,
        run: call_messages.RunTurn,
    ) -> _Steps:
        """Sends one attempt to its sidecar and relays the answer."""
        try:
            exchange = self.streams.open(placed.address, run)
        except errors.StreamClosed as error:
            progress.tried.add(placed.sidecar)
            return self._sidecar_lost(context, run, placed.address, error)
        try:
            first = exchange.receive(self._left(context))
            if isinstance(first, call_messages.NeedHistory):
                exchange.close()
                run = self._with_history(run, first)
                exchange = self.streams.open(placed.address, run)
                first = exchange.receive(self._left(context))
            return (
                yield from self._relay(
                    context, progress, placed.sidecar, exchange, first
                )
            )
        except errors.StreamTimeout as error:
            return self._deadline_passed(context, run, placed.address, error)
        except errors.StreamClosed as error:
            progress.tried.add(placed.sidecar)
            return self._sidecar_lost(context, run, placed.address, error)
        finally:
            exchange.close()

    def _attempt_failed(
        self,
        context: chat_call.RequestContext,
        attempt: int,
        failure: errors.Failure,
    ) -> attempts_module.Retry:
        """Returns the retry after a failed attempt.

        An attempt that may have run doesn't count as sealed; it is settled as
        unknown.
        """
        cause = errors.from_failure(failure)
        if failure.outcome == errors.NOT_RUN or not context.name.key:
            return attempts_module.Retry(attempt, cause)
        unknown = errors.OutcomeUnknown(cause.detail)
        self.attempts.settle(context.name, attempt, unknown)
        return attempts_module.Retry(0, cause)

    def _record_failure(
        self, context: chat_call.RequestContext, progress: Progress
    ) -> None:
        """Counts a failure against the sidecar of the last attempt."""
        if progress.sidecar is None:
            return
        progress.tried.add(progress.sidecar)
        self.placement.record_result(
            context.service, progress.sidecar, ok=False
        )

    def _with_history(
        self, run: call_messages.RunTurn, need: call_messages.NeedHistory
    ) -> call_messages.RunTurn:
        fetch = program_messages.FetchHistory(
            run.program, need.turns + 1, run.base_turn
        )
        history = self.attempts.control.ask(
            run.program, fetch, attempts_module.CONTROL_SECONDS
        )
        return run._replace(history=history.turns)

    def _relay(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        sidecar: identities.Incarnation,
        exchange: streams_port.Exchange,
        first: Any,
    ) -> _Steps:
        """Relays one answer; returns the next step."""
        message = first
        delivery = progress.delivery
        delivery.restart()
        while True:
            match message:
                case call_messages.Chunk(attempt, offset, text, software):
                    progress.software[attempt] = software
                    self.placement.note_software(
                        context.service, sidecar, software
                    )
                    new = delivery.add(offset, text, software)
                    if new:
                        yield requests.AnswerText(new)
                case call_messages.AttemptFinished():
                    self.placement.update_load(message.load)
                    self.placement.record_result(
                        context.service, message.load.sidecar, ok=True
                    )
                    yield from chat_call.replay(
                        delivery,
                        message.message,
                        progress.software.get(message.attempt, ""),
                    )
                    yield chat_call.finished_end(message)
                    return attempts_module.Answered()
                case call_messages.AttemptRefused(attempt, failure, load):
                    self.placement.update_load(load)
                    progress.tried.add(load.sidecar)
                    cause = errors.from_failure(failure)
                    return attempts_module.Retry(attempt, cause)
                case call_messages.AttemptFailed(attempt, failure):
                    self._record_failure(context, progress)
                    return self._attempt_failed(context, attempt, failure)
                case _:
                    raise errors.StreamClosed(
                        "Expected a part or the end of an answer, received "
                        f"{type(message).__name__}."
                    )
            message = exchange.receive(self._left(context))

    def _attach(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        target: attempts_module.Attach,
    ) -> _Steps:
        """Attaches to an attempt that an earlier send started."""
        name = context.name
        attach = call_messages.AttachAttempt(
            name.program,
            name.customer,
            name.key,
            target.attempt,
            target.sidecar,
        )
        try:
            exchange = self.streams.open(target.address, attach)
        except errors.StreamClosed:
            return self._resolve_lost(context, target)
        try:
            first = exchange.receive(self._left(context))
            return (
                yield from self._relay(
                    context, progress, target.sidecar, exchange, first
                )
            )
        except errors.StreamTimeout as error:
            raise self._deadline_error(error) from None
        except errors.StreamClosed:
            progress.tried.add(target.sidecar)
            return self._resolve_lost(context, target)
        finally:
            exchange.close()

    def _resolve_lost(
        self, context: chat_call.RequestContext, target: attempts_module.Attach
    ) -> attempts_module.Retry | attempts_module.Attach:
        self.timers.sleep(_MIN_WAIT_SECONDS)
        if self.timers.now() >= context.deadline_at:
            raise self._deadline_error(None)
        return self.attempts.resolve_lost(
            context.name,
            target.attempt,
            target.sidecar,
            target.address,
            idempotent=True,
        )

    def _sidecar_lost(
        self,
        context: chat_call.RequestContext,
        run: call_messages.RunTurn,
        address: str,
        error: errors.StreamClosed,
    ) -> attempts_module.Retry | attempts_module.Attach:
        """Returns the next step after the sidecar's stream was lost."""
        if not context.name.key or error.outcome == errors.NOT_RUN:
            return attempts_module.Retry(run.attempt, error)
        target = attempts_module.Attach(run.attempt, run.sidecar, address)
        return self._resolve_lost(context, target)

    def _deadline_passed(
        self,
        context: chat_call.RequestContext,
        run: call_messages.RunTurn,
        address: str,
        error: errors.StreamTimeout,
    ) -> attempts_module.Retry:
        """Ends a call at its deadline; `not_run` only if that is certain."""
        if not context.name.key:
            raise self._deadline_error(error)
        step = self.attempts.resolve_lost(
            context.name, run.attempt, run.sidecar, address, idempotent=True
        )
        match step:
            case attempts_module.Retry(sealed, cause) if isinstance(
                cause, errors.NoUpstream
            ):
                refusal = errors.DeadlineUnmet(
                    "The call did not start in time."
                )
                self.attempts.settle(context.name, sealed, refusal)
                raise refusal
            case _:
                raise self._deadline_error(error)

    def _deadline_error(
        self, cause: errors.MintcleatError | None
    ) -> errors.DeadlineUnmet:
        logger.info("Call exceeded its deadline: {}", cause)
        return errors.DeadlineUnmet(
            "The call was still running at its deadline.",
            outcome=errors.UNKNOWN,
            remedy="Send the same request with the same key to get its answer.",
        )

    def _left(self, context: chat_call.RequestContext) -> float:
        return max(context.deadline_at - self.timers.now(), _MIN_WAIT_SECONDS)

    def _check_retry(
        self,
        context: chat_call.RequestContext,
        progress: Progress,
        cause: errors.MintcleatError,
    ) -> None:
        """Raises the final error when no further attempt is allowed."""
        self.metrics.count("retries_total", cause=cause.kind)
        progress.may_have_run |= cause.outcome != errors.NOT_RUN
        is_final = (
            isinstance(cause, errors.Quarantined)
            or self.timers.now() >= context.deadline_at
            or not self.placement.may_retry(context.service, progress.attempts)
        )
        if not is_final:
            return
        if progress.may_have_run:
            cause = attempts_module.after_lost_attempt(context.name, cause)
        if progress.sealed and context.name.key:
            self.attempts.settle(context.name, progress.sealed, cause)
        raise cause
