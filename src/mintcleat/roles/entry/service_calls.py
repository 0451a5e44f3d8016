"""Runs calls to plain services at the entry."""

from typing import NamedTuple

import msgpack

from mintcleat.decisions import calls
from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import metrics as metrics_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.entry import attempts as attempts_module
from mintcleat.roles.entry import placement as placement_module

_MIN_WAIT_SECONDS = 0.05
_FINAL_STATUSES = range(200, 600)


class ServiceContext(NamedTuple):
    """What all attempts of one call have in common.

    Attributes:
        digest: Hash of the call's content.
        deadline_at: Deadline by the entry's monotonic clock, in seconds.
        is_recorded: Whether the program group grants the attempts and records
            the answer.
        refusal: Why this entry takes no new work, if it doesn't.
    """

    call: requests.ServiceCall
    name: attempts_module.CallName
    klass: str
    digest: bytes
    deadline_at: float
    idempotent: bool
    is_recorded: bool
    refusal: errors.MintcleatError | None = None


class ServiceCalls:
    """Runs calls to plain services; one instance per entry."""

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

    def run(self, context: ServiceContext) -> requests.ServiceAnswer:
        """Returns the service's answer.

        Raises:
            errors.MintcleatError: The refusal or failure for the caller.
        """
        tried: set[identities.Incarnation] = set()
        sealed = 0
        number = 0
        may_have_run = False
        while True:
            number += 1
            try:
                step = self._attempt(context, tried, sealed)
            except errors.MintcleatError as refusal:
                if not may_have_run:
                    raise
                raise attempts_module.after_lost_attempt(
                    context.name, refusal
                ) from None
            if isinstance(step, requests.ServiceAnswer):
                return step
            sealed = step.sealed
            self.metrics.count("retries_total", cause=step.cause.kind)
            may_have_run |= step.cause.outcome != errors.NOT_RUN
            late = self.timers.now() >= context.deadline_at
            if late or not self.placement.may_retry(
                context.call.service, number
            ):
                cause = step.cause
                if may_have_run:
                    cause = attempts_module.after_lost_attempt(
                        context.name, cause
                    )
                self._give_up(context, sealed, cause)

    def _attempt(
        self,
        context: ServiceContext,
        tried: set[identities.Incarnation],
        sealed: int,
    ) -> requests.ServiceAnswer | attempts_module.Retry:
        """Places and runs one attempt; returns its answer or a retry."""
        try:
            placed = self._place(context, tried, sealed)
        except errors.MintcleatError as refusal:
            if sealed or not context.is_recorded:
                raise
            reply = self.attempts.find_earlier(
                context.name, 0, context.digest, refusal
            )
            return self._use_earlier(context, reply)
        tried.add(placed.sidecar)
        if not context.is_recorded:
            return self._run(context, placed, 0)
        reply = self._begin(context, placed, sealed)
        if isinstance(reply, program_messages.AttemptGranted):
            return self._run(context, placed, reply.attempt)
        return self._use_earlier(context, reply)

    def _use_earlier(
        self,
        context: ServiceContext,
        reply: program_messages.CallRecorded | program_messages.AttemptRunning,
    ) -> requests.ServiceAnswer | attempts_module.Retry:
        """Returns the recorded answer, or attaches to the running attempt."""
        if isinstance(reply, program_messages.AttemptRunning):
            return self._attach(context, reply)
        return recorded_answer(reply)

    def _place(
        self,
        context: ServiceContext,
        tried: set[identities.Incarnation],
        sealed: int,
    ) -> placement_module.Placed:
        if context.refusal is not None:
            raise context.refusal
        try:
            placed = self.placement.choose(
                context.call.service, place_call(context), None, tried
            )
        except errors.NoUpstream as error:
            if sealed:
                self.attempts.settle(context.name, sealed, error)
            raise
        self.metrics.count("placements_total", reason=placed.reason)
        return placed

    def _begin(
        self,
        context: ServiceContext,
        placed: placement_module.Placed,
        sealed: int,
    ) -> (
        program_messages.AttemptGranted
        | program_messages.CallRecorded
        | program_messages.AttemptRunning
    ):
        call = context.call
        begin = program_messages.BeginCall(
            program=call.program,
            customer=context.name.customer,
            service=call.service,
            turn=0,
            key=context.name.key,
            digest=context.digest,
            messages=[],
            reserve=0,
            idempotent=context.idempotent,
            sidecar=placed.sidecar,
            address=placed.address,
            sealed=sealed,
        )
        return self.attempts.begin(context.name, begin)

    def _run(
        self,
        context: ServiceContext,
        placed: placement_module.Placed,
        attempt: int,
    ) -> requests.ServiceAnswer | attempts_module.Retry:
        call = context.call
        run = call_messages.RunTool(
            program=call.program,
            customer=context.name.customer,
            service=call.service,
            key=context.name.key,
            attempt=attempt,
            sidecar=placed.sidecar,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            deadline=self._left(context),
            klass=context.klass,
            digest=context.digest,
            idempotent=context.idempotent,
        )
        try:
            reply = self.streams.ask(placed.address, run, self._left(context))
        except errors.StreamClosed as error:
            if error.outcome == errors.NOT_RUN:
                return attempts_module.Retry(attempt, error)
            return self._resolve_lost(context, attempt, placed)
        except errors.StreamTimeout:
            return self._resolve_lost(context, attempt, placed)
        if isinstance(reply, call_messages.AttemptFailed) and (
            attempts_module.never_delivered(reply.failure)
        ):
            cause = errors.NoUpstream("The sidecar has restarted.")
            return attempts_module.Retry(attempt, cause)
        return self._answer(context, attempt, reply)

    def _answer(
        self,
        context: ServiceContext,
        attempt: int,
        reply: call_messages.ToolAnswer
        | call_messages.AttemptRefused
        | call_messages.AttemptFailed,
    ) -> requests.ServiceAnswer | attempts_module.Retry:
        match reply:
            case call_messages.ToolAnswer(_, status, headers, body, load):
                self.placement.update_load(load)
                self.placement.record_result(
                    context.call.service, load.sidecar, ok=True
                )
                answer = requests.ServiceAnswer(
                    status, headers, body, attempt, replayed=False
                )
                try:
                    return _checked(answer)
                except errors.OutcomeUnknown as error:
                    if attempt:
                        raise
                    return attempts_module.Retry(0, error)
            case call_messages.AttemptRefused(_, failure, load):
                self.placement.update_load(load)
                return attempts_module.Retry(
                    attempt, errors.from_failure(failure)
                )
            case call_messages.AttemptFailed(_, failure):
                return self._attempt_failed(context, attempt, failure)
            case _:
                raise errors.OutcomeUnknown(
                    "Expected the answer of an attempt from the sidecar, "
                    f"received {type(reply).__name__}."
                )

    def _attempt_failed(
        self, context: ServiceContext, attempt: int, failure: errors.Failure
    ) -> attempts_module.Retry:
        """Returns a retry, unless the attempt may have taken effect.

        Raises:
            errors.MintcleatError: It may have run and is not idempotent.
        """
        cause = errors.from_failure(failure)
        if failure.outcome == errors.NOT_RUN or context.idempotent:
            return attempts_module.Retry(attempt, cause)
        self.attempts.settle(context.name, attempt, cause)
        raise cause

    def _attach(
        self, context: ServiceContext, underway: program_messages.AttemptRunning
    ) -> requests.ServiceAnswer | attempts_module.Retry:
        name = context.name
        attach = call_messages.AttachAttempt(
            name.program,
            name.customer,
            name.key,
            underway.attempt,
            underway.sidecar,
        )
        placed = placement_module.Placed(
            underway.sidecar, underway.address, "underway"
        )
        try:
            reply = self.streams.ask(
                underway.address, attach, self._left(context)
            )
        except (errors.StreamClosed, errors.StreamTimeout):
            return self._resolve_lost(context, underway.attempt, placed)
        return self._answer(context, underway.attempt, reply)

    def _resolve_lost(
        self,
        context: ServiceContext,
        attempt: int,
        placed: placement_module.Placed,
    ) -> attempts_module.Retry:
        if not context.is_recorded:
            cause = errors.OutcomeUnknown("The sidecar was lost.")
            return attempts_module.Retry(0, cause)
        step = self.attempts.resolve_lost(
            context.name,
            attempt,
            placed.sidecar,
            placed.address,
            context.idempotent,
        )
        match step:
            case attempts_module.Retry():
                return step
            case _:
                raise errors.OutcomeUnknown(
                    "The request is still running at its upstream.",
                    remedy="Send the same request with the same key to get "
                    "its answer.",
                    retry_after=1.0,
                )

    def _give_up(
        self,
        context: ServiceContext,
        sealed: int,
        cause: errors.MintcleatError,
    ) -> None:
        if context.is_recorded and sealed:
            self.attempts.settle(context.name, sealed, cause)
        raise cause

    def _left(self, context: ServiceContext) -> float:
        return max(context.deadline_at - self.timers.now(), _MIN_WAIT_SECONDS)


def place_call(context: ServiceContext) -> calls.Call:
    """Returns the call as input of the placement decision."""
    return calls.Call(
        call_id=f"{context.name.scope}/{context.call.request}",
        program=context.name.program,
        root=context.name.program.partition(".")[0],
        customer=context.name.customer,
        agent="",
        klass=context.klass,
        deadline_at=context.deadline_at,
    )


def recorded_answer(
    reply: program_messages.CallRecorded,
) -> requests.ServiceAnswer:
    """Returns the recorded answer of an earlier send of the call.

    Raises:
        errors.OutcomeUnknown: Its status is invalid.
    """
    status, headers, body = msgpack.unpackb(reply.answer, raw=False)
    return _checked(
        requests.ServiceAnswer(
            status, headers, body, reply.attempt, replayed=True
        )
    )


def _checked(answer: requests.ServiceAnswer) -> requests.ServiceAnswer:
    """Returns an answer whose status is valid and final (RFC 9110, 15).

    Sidecars of earlier releases pass on and record other statuses.

    Raises:
        errors.OutcomeUnknown: The status is another one.
    """
    if answer.status not in _FINAL_STATUSES:
        raise errors.OutcomeUnknown(
            f"Expected a final status from the service, found {answer.status}."
        )
    return answer
