"""What an entry asks of a program's group and of a sidecar per attempt.

A call is an idempotency key within a program, or within a customer. It gets
attempts one after another; only the sidecar that an attempt is bound to may
run it.
"""

import dataclasses
from typing import Any
from typing import NamedTuple
import uuid

from loguru import logger
import xxhash

from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import control as control_port
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.programs import placement

CONTROL_SECONDS = 5.0
SEAL_SECONDS = 1.0


class CallName(NamedTuple):
    """Names a call to its program group and to sidecars.

    Attributes:
        fresh: This entry made the key up, so no earlier send can have run.
    """

    program: str
    customer: str
    key: str
    generated_key: bool = False

    @property
    def scope(self) -> str:
        """What the group of the call is found by."""
        return self.program or placement.call_scope(self.customer, self.key)


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has its whole answer."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """The attempt ended and never runs again; another may be granted.

    Attributes:
        sealed: Its number, or 0 when the group already settled it.
        cause: Why, for metrics and the last refusal.
    """

    sealed: int
    cause: errors.MintcleatError


@dataclasses.dataclass(frozen=True)
class Attach:
    """The attempt runs, or ran, at its sidecar: attach to it."""

    attempt: int
    sidecar: identities.Incarnation
    address: str


def with_unknown_outcome(
    name: CallName, error: errors.MintcleatError
) -> errors.MintcleatError:
    """Returns the error with a true outcome for a call that may be a resend.

    Nothing was run for this send. An earlier send under the same key may
    have run, and the group that knows can't be asked.
    """
    if name.generated_key or not name.key:
        return error
    return type(error)(
        error.detail,
        outcome=errors.UNKNOWN,
        remedy="Send the same request again with the same key.",
        retry_after=error.retry_after,
    )


def never_delivered(failure: errors.Failure) -> bool:
    """Tells whether the answer to an attempt's only send proves it unrun.

    The sidecar restarted after it was chosen, so the frame reached its next
    life, which refused it. An attempt is sent once and by one entry.
    """
    return failure.kind == errors.OtherIncarnation.kind


def digest(*parts: str | bytes) -> bytes:
    """Returns 16 bytes that tell one request's content from another's."""
    state = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        state.update(len(data).to_bytes(4, "big"))
        state.update(data)
    return state.digest()


def new_key() -> str:
    """Returns a key for a call whose caller sent none."""
    return f"auto-{uuid.uuid4().hex}"


class Attempts:
    """Begins, settles and seals attempts."""

    def __init__(
        self,
        control: control_port.Control,
        streams: streams_port.Streams,
        timers: timers_port.Timers,
    ) -> None:
        self.control = control
        self.streams = streams
        self.timers = timers

    def begin(self, name: CallName, begin: program_messages.BeginCall) -> Any:
        """Returns AttemptGranted, CallRecorded or AttemptRunning."""
        try:
            return self.control.ask(name.scope, begin, CONTROL_SECONDS)
        except errors.ControlUnavailable as error:
            raise with_unknown_outcome(name, error) from None

    def find_earlier(
        self,
        name: CallName,
        turn: int,
        request_digest: bytes,
        refusal: errors.MintcleatError,
    ) -> Any:
        """Returns an earlier send's CallRecorded or AttemptRunning, or refuses.

        This entry takes no new work, but the caller may be sending again
        what has run already. "Not run" would then be untrue, and the caller
        would book a second time under another key.

        Raises:
            errors.MintcleatError: `refusal`, if nothing ran under this key;
                with an unknown outcome, if nobody could be asked.
        """
        if not name.key or name.generated_key:
            raise refusal
        find = program_messages.FindCall(
            name.program, name.customer, turn, name.key, request_digest
        )
        try:
            found = self.control.ask(name.scope, find, CONTROL_SECONDS)
        except (errors.ControlUnavailable, errors.OutcomeUnknown) as error:
            logger.info("Earlier sends of {} are unknown: {}", name, error)
            raise with_unknown_outcome(name, refusal) from None
        if isinstance(found, identities.Done):
            raise refusal
        return found

    def settle(
        self, name: CallName, attempt: int, error: errors.MintcleatError
    ) -> None:
        """Tells the group how an attempt without an answer ended.

        The caller's answer doesn't wait on it being possible: a group that
        can't be reached keeps the reservation until the outcome is settled
        by the caller's resend or by expiry.
        """
        settle = program_messages.SettleCall(
            name.program,
            name.customer,
            name.key,
            attempt,
            error.outcome,
            error.failure(),
        )
        try:
            self.control.ask(name.scope, settle, CONTROL_SECONDS)
        except errors.MintcleatError as failure:
            logger.warning(
                "Attempt {} of {} stays unsettled: {}",
                attempt,
                name.scope,
                failure,
            )

    def resolve_lost(
        self,
        name: CallName,
        attempt: int,
        sidecar: identities.Incarnation,
        address: str,
        idempotent: bool,
    ) -> Retry | Attach:
        """Finds out what became of an attempt whose sidecar was lost.

        Raises:
            errors.OutcomeUnknown: Nobody can tell, and a second run might
                do harm.
        """
        state = self._seal(name, attempt, sidecar, address)
        match state:
            case "never":
                cause = errors.NoUpstream("The sidecar was lost before it ran.")
                return Retry(attempt, cause)
            case "running" | "ran":
                return Attach(attempt, sidecar, address)
            case _:
                return self._settle_unknown(name, attempt, idempotent)

    def _seal(
        self,
        name: CallName,
        attempt: int,
        sidecar: identities.Incarnation,
        address: str,
    ) -> str:
        seal = call_messages.SealAttempt(
            name.program, name.customer, name.key, attempt, sidecar
        )
        try:
            return self.streams.ask(address, seal, SEAL_SECONDS).state
        except errors.MintcleatError as error:
            logger.info("Attempt {} can't be sealed: {}", attempt, error)
            return "unknown"

    def _settle_unknown(
        self, name: CallName, attempt: int, idempotent: bool
    ) -> Retry:
        """Settles as unknown; only an idempotent call may go on.

        An action with an effect may have happened: running it again could
        double it and "not run" could be a lie, so the caller is told that
        the outcome is unknown and the group keeps the key taken.
        """
        error = errors.OutcomeUnknown(
            "The upstream's sidecar was lost while it had the request."
        )
        self.settle(name, attempt, error)
        if not idempotent:
            raise error
        return Retry(0, error)
