"""Reports what came of an attempt to its program's group, until committed."""

from typing import Any

from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import control as control_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.sidecar import attempts as sidecar_attempts

_ASK_SECONDS = 5.0
_FIRST_PAUSE = 0.05
_LONGEST_PAUSE = 1.0
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


class Reporter:
    """Sends FinishCall and SettleCall and repeats them.

    The upstream has run by then, so giving up would lose an answer that
    cannot be made again; the messages are idempotent, so repeating is safe.
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
        """Records a whole answer; returns once it is committed.

        Raises:
            errors.MintcleatError: The group refuses it for good.
        """
        asked = attempt.message
        finish = program_messages.FinishCall(
            asked.program,
            asked.customer,
            asked.key,
            asked.attempt,
            self.node,
            answer,
            usage,
        )
        try:
            self._commit(attempt.scope, finish)
        except errors.MintcleatError as error:
            # A refusal says "not run" of the commit; the call itself ran.
            if error.outcome == errors.NOT_RUN:
                error.outcome = errors.RAN
            raise

    def settle(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: str,
        failure: errors.Failure,
    ) -> None:
        """Records an end without an answer; returns once it is committed."""
        asked = attempt.message
        self._commit(
            attempt.scope,
            program_messages.SettleCall(
                asked.program,
                asked.customer,
                asked.key,
                asked.attempt,
                outcome,
                failure,
            ),
        )

    def _commit(self, scope: str, message: Any) -> None:
        pause = _FIRST_PAUSE
        while True:
            try:
                self.control.ask(scope, message, _ASK_SECONDS)
                return
            except _TRANSIENT as error:
                if self.stopped:
                    raise
                logger.info("{} is not committed yet: {}", scope, error.detail)
            self.timers.sleep(pause)
            pause = min(_LONGEST_PAUSE, pause * 2)
