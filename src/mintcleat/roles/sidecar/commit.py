"""Commit of the outcomes of attempts at the program's group."""

from typing import Any

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import control as control_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.sidecar import attempts as sidecar_attempts

_ASK_TIMEOUT = 5.0
_MIN_BACKOFF = 0.05
_MAX_BACKOFF = 1.0
_TRANSIENT = (
    errors.ControlUnavailable,
    errors.LeaseExpired,
    errors.NotLeader,
    errors.OutcomeUnknown,
    errors.ProposalLost,
    errors.StorageFailed,
    errors.StreamClosed,
    errors.StreamTimeout,
    errors.Draining,
    errors.Overloaded,
)


class OutcomeReporter:
    """Sends FinishCall and SettleCall, repeatedly until they are committed.

    The upstream has run the call by then, so giving up would lose an answer
    that may not be reproducible. The messages are idempotent.

    Attributes:
        stopped: Whether to give up after the next transient error.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        control: control_port.Control,
        timers: timers_port.Timers,
    ) -> None:
        self.node = node
        self.control = control
        self.timers = timers
        self.stopped = False

    def finish(
        self,
        attempt: sidecar_attempts.Attempt,
        answer: bytes,
        usage: identities.Usage,
    ) -> None:
        """Commits a complete answer; blocks until it is committed.

        Raises:
            errors.MintcleatError: The group rejected it permanently.
        """
        request = attempt.message
        finish = program_messages.FinishCall(
            request.program,
            request.customer,
            request.key,
            request.attempt,
            self.node,
            answer,
            usage,
        )
        try:
            self._commit(attempt.scope, finish)
        except errors.MintcleatError as error:
            # The group's "not run" is about the commit; the call itself ran.
            if error.outcome == errors.NOT_RUN:
                error.outcome = errors.RAN
            raise

    def settle(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: str,
        failure: errors.Failure,
    ) -> None:
        """Commits an end without an answer; blocks until committed."""
        request = attempt.message
        self._commit(
            attempt.scope,
            program_messages.SettleCall(
                request.program,
                request.customer,
                request.key,
                request.attempt,
                outcome,
                failure,
            ),
        )

    def _commit(self, scope: str, message: Any) -> None:
        backoff = _MIN_BACKOFF
        while True:
            try:
                self.control.ask(scope, message, _ASK_TIMEOUT)
                return
            except _TRANSIENT as error:
                if self.stopped:
                    raise
                logger.info(
                    "An outcome of {} is not committed yet: {}",
                    scope,
                    error.detail,
                )
            self.timers.sleep(backoff)
            backoff = min(_MAX_BACKOFF, backoff * 2)
