"""Attempts of a call: begin, lookup, settlement and sealing.

A call is identified by an idempotency key within a program or a customer. Its
attempts follow one another; each is bound to one sidecar, and only that
sidecar may run it.
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
    """Identity of a call at its program group and at sidecars.

    Attributes:
        generated_key: Whether this entry generated the key, so that no earlier
            send can have run.
    """

    program: str
    customer: str
    key: str
    generated_key: bool = False

    @property
    def scope(self) -> str:
        """The scope that determines the group of the call."""
        return self.program or placement.call_scope(self.customer, self.key)


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has received the complete answer."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """The attempt has ended for good; another may be granted.

    Attributes:
        sealed: Number of the attempt; 0 when the group has settled it.
        cause: Why it ended: the metric's label, and the caller's error if no
            attempt follows.
    """

    sealed: int
    cause: errors.MintcleatError


@dataclasses.dataclass(frozen=True)
class Attach:
    """The attempt is running or has run at its sidecar: attach to it."""

    attempt: int
    sidecar: identities.Incarnation
    address: str


def with_unknown_outcome(
    name: CallName, error: errors.MintcleatError
) -> errors.MintcleatError:
    """Returns the error with outcome `unknown` if the call may be a resend.

    This send ran nothing, but an earlier one with the same key may have run,
    and the group that recorded it can't be reached.
    """
    if name.generated_key or not name.key:
        return error
    return type(error)(
        error.detail,
        outcome=errors.UNKNOWN,
        remedy="Send the same request again with the same key.",
        retry_after=error.retry_after,
    )


def after_lost_attempt(
    name: CallName, error: errors.MintcleatError
) -> errors.MintcleatError:
    """Returns the error of a send whose earlier attempt may have run.

    A refusal of the last attempt is true of that one only, and so is its
    status, which callers take to mean that nothing has run.
    """
    if error.outcome != errors.NOT_RUN:
        return error
    remedy = "Send it again only if it may run twice."
    if name.key and not name.generated_key:
        remedy = "Send the same request again with the same key."
    return errors.OutcomeUnknown(
        error.detail, remedy=remedy, retry_after=error.retry_after
    )


def never_delivered(failure: errors.Failure) -> bool:
    """Returns whether a failure proves that the attempt never ran.

    The sidecar restarted after it was chosen, and its next incarnation
    refused the message. An attempt is sent once and by one entry only.
    """
    return failure.kind == errors.OtherIncarnation.kind


def digest(*parts: str | bytes) -> bytes:
    """Returns a 16-byte hash of a request's content."""
    state = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        state.update(len(data).to_bytes(4, "big"))
        state.update(data)
    return state.digest()


def new_key() -> str:
    """Returns a random key for a call whose caller sent none."""
    return f"auto-{uuid.uuid4().hex}"


class Attempts:
    """Begins, settles and seals attempts at groups and sidecars."""

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
        """Returns an AttemptGranted, a CallRecorded or an AttemptRunning."""
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
        """Returns the CallRecorded or AttemptRunning of an earlier send.

        Called when no new attempt can start. The call may be a resend that
        has run already. The outcome `not_run` would then be false, and the
        caller would repeat the action under another key.

        Raises:
            errors.MintcleatError: `refusal`, if nothing ran under this key;
                with outcome `unknown`, if the group can't be reached.
        """
        if not name.key or name.generated_key:
            raise refusal
        find = program_messages.FindCall(
            name.program, name.customer, turn, name.key, request_digest
        )
        try:
            found = self.control.ask(name.scope, find, CONTROL_SECONDS)
        except (errors.ControlUnavailable, errors.OutcomeUnknown) as error:
            logger.info("Can't look up earlier sends of {}: {}", name, error)
            raise with_unknown_outcome(name, refusal) from None
        if isinstance(found, identities.Done):
            raise refusal
        return found

    def settle(
        self, name: CallName, attempt: int, error: errors.MintcleatError
    ) -> None:
        """Reports the outcome of an attempt without an answer to the group.

        A failure is only logged: a group that can't be reached keeps the
        reservation until a resend by the caller settles the call or the
        reservation expires.
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
                "Attempt {} of {} could not be settled: {}",
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
        """Determines the state of an attempt after its sidecar was lost.

        Raises:
            errors.OutcomeUnknown: The state can't be determined, and the call
                is not idempotent.
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
            logger.info("Attempt {} could not be sealed: {}", attempt, error)
            return "unknown"

    def _settle_unknown(
        self, name: CallName, attempt: int, idempotent: bool
    ) -> Retry:
        """Settles the attempt as unknown; only an idempotent call may retry.

        The action may have taken effect: a second run could repeat it, and
        the outcome `not_run` could be false. The caller gets the outcome
        `unknown`, and the group keeps the key in use.
        """
        error = errors.OutcomeUnknown(
            "The upstream's sidecar was lost while it had the request."
        )
        self.settle(name, attempt, error)
        if not idempotent:
            raise error
        return Retry(0, error)
