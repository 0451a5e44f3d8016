"""Typed errors that callers and operators see.

Each kind has an HTTP status, a default outcome and a remedy. The outcome is
a guarantee: `not_run` means that the request did not run and will not run
later.
"""

from typing import ClassVar
from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


class Failure(NamedTuple):
    """An error in a message; `from_failure` converts it to its class."""

    kind: str
    detail: str
    outcome: str
    remedy: str
    retry_after: float = 0.0


class MintcleatError(Exception):
    """Base class of all typed errors.

    Attributes:
        detail: What happened, in one or more sentences.
        outcome: Whether the request ran: `not_run`, `unknown` or `ran`.
        remedy: What the caller or operator can do.
        retry_after: Seconds to wait before a retry; 0 when unspecified.
        reason: Rule that decided, for counts within this process; empty if
            the kind tells it. It is not sent in messages.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 502
    default_outcome: ClassVar[str] = UNKNOWN
    default_remedy: ClassVar[str] = (
        "Search the daemon's log for the request id and report a bug."
    )

    def __init__(
        self,
        detail: str,
        *,
        outcome: str = "",
        remedy: str = "",
        retry_after: float = 0.0,
    ) -> None:
        self.detail = detail
        self.outcome = outcome or self.default_outcome
        self.remedy = remedy or self.default_remedy
        self.retry_after = retry_after
        self.reason = ""
        super().__init__(f"{detail} {self.remedy}")

    def failure(self) -> Failure:
        """Returns the error as it is sent in messages."""
        return Failure(
            self.kind, self.detail, self.outcome, self.remedy, self.retry_after
        )


class BadRequest(MintcleatError):
    """The request is malformed."""

    kind = "bad_request"
    status = 400
    default_outcome = NOT_RUN
    default_remedy = "Correct the request as the detail says and send it again."


class Unauthorized(MintcleatError):
    """The bearer token is missing or wrong."""

    kind = "unauthorized"
    status = 401
    default_outcome = NOT_RUN
    default_remedy = "Send the admin token as a bearer token."


class UnknownProgram(MintcleatError):
    """The program does not exist, or its retention is over."""

    kind = "unknown_program"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Create the program with POST /v1/programs first."


class UnknownService(MintcleatError):
    """The manifest defines no service of this name."""

    kind = "unknown_service"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Use a service that `mintcleat manifest show` lists."


class UnknownInstance(MintcleatError):
    """There is no control instance of this name."""

    kind = "unknown_instance"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Use a name that `mintcleat control status` lists."


class UnknownUpstream(MintcleatError):
    """No announced upstream has this name or failure domain."""

    kind = "unknown_upstream"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = (
        "Use a name that `mintcleat upstreams list` shows, or pass --ahead for "
        "one that is not announced."
    )


class UnknownRoute(MintcleatError):
    """No route of the manifest matches the request's host and path."""

    kind = "unknown_route"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Use a host and path that match a route of the manifest."


class UnknownTurn(MintcleatError):
    """The turn to continue from does not exist, or its retention is over."""

    kind = "unknown_turn"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Start a new conversation without a previous turn."


class TooFewInstances(MintcleatError):
    """Without this control instance the groups could not survive a failure."""

    kind = "too_few_instances"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Add a control instance first."


class UnknownCustomer(MintcleatError):
    """The manifest defines no customer of this name."""

    kind = "unknown_customer"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Use a customer that the manifest's policies list."


class UnknownDigest(MintcleatError):
    """No request with this digest is a suspect or quarantined."""

    kind = "unknown_digest"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Copy the digest from `mintcleat quarantine list`."


class WrongTurn(MintcleatError):
    """The turn is not the program's next turn."""

    kind = "wrong_turn"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Fetch the program and send its next turn."


class KeyConflict(MintcleatError):
    """The idempotency key was used before with another body."""

    kind = "key_conflict"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Use a new Idempotency-Key for a different request."


class ProgramClosed(MintcleatError):
    """The program was closed or has expired."""

    kind = "program_closed"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Create a new program."


class ProgramExists(MintcleatError):
    """A program with this id exists with other attributes."""

    kind = "program_exists"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Choose another id or send the same attributes."


class CallRunning(MintcleatError):
    """Another call of this program is running the turn."""

    kind = "call_running"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Wait for the running call, or resend it with its own key."


class RevisionConflict(MintcleatError):
    """Another push changed the manifest after the expected revision."""

    kind = "revision_conflict"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Fetch the manifest in force, merge, and push again."


class TooLarge(MintcleatError):
    """The body, a header or a message exceeds its size limit."""

    kind = "too_large"
    status = 413
    default_outcome = NOT_RUN
    default_remedy = "Send a smaller request."


class BudgetExhausted(MintcleatError):
    """The program's budget does not cover the call."""

    kind = "budget_exhausted"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Close the program or create one with a larger budget."


class LoopDetected(MintcleatError):
    """The program repeated the same call too often."""

    kind = "loop_detected"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Fix the agent's loop, then start a new program."


class Quarantined(MintcleatError):
    """Upstreams crashed while running this request."""

    kind = "quarantined"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Change the request or ask an operator to release it."


class InvalidManifest(MintcleatError):
    """The manifest is invalid; the detail lists every error with its path."""

    kind = "invalid_manifest"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = (
        "Fix every error and check with `mintcleat manifest check`."
    )


class InvalidSettings(MintcleatError):
    """A field of the settings file is invalid."""

    kind = "invalid_settings"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Fix the field and check with `mintcleatd --check`."


class ShareExceeded(MintcleatError):
    """The customer exceeds its share while other customers wait."""

    kind = "share_exceeded"
    status = 429
    default_outcome = NOT_RUN
    default_remedy = "Send again after retry_after seconds."


class LimitReached(MintcleatError):
    """The customer has reached its request limit."""

    kind = "limit_reached"
    status = 429
    default_outcome = NOT_RUN
    default_remedy = (
        "Send again after retry_after seconds, or ask the operator for a "
        "higher limit."
    )


class LimitNear(LimitReached):
    """A new program can't begin: active ones need the rest of the limit."""

    kind = "limit_near"


class Overloaded(MintcleatError):
    """The predicted wait exceeds the limit."""

    kind = "overloaded"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again after retry_after seconds."


class TurnDeferred(Overloaded):
    """The turn waits for running turns to end; its sender asks again."""

    kind = "turn_deferred"


class NoUpstream(MintcleatError):
    """No upstream of the service accepts new work."""

    kind = "no_upstream"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Check `mintcleat upstreams list`, then send again."


class UnknownStream(MintcleatError):
    """It isn't known which version of software began the stream."""

    kind = "unknown_stream"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send the request again from its start."


class OtherSoftware(MintcleatError):
    """The rest of an answer was made by other software than its beginning."""

    kind = "other_software"
    status = 502
    default_remedy = "Send the request again with the same key."


class UpstreamBusy(NoUpstream):
    """The upstream is full and refused the request without running it."""

    kind = "upstream_busy"
    default_remedy = "Send again after retry_after seconds."


class UpstreamLate(NoUpstream):
    """The upstream said nothing in time; the request was not sent to it."""

    kind = "upstream_late"
    default_remedy = "Send again after retry_after seconds."


class WrongUpstream(NoUpstream):
    """The address now belongs to another upstream; the request did not run."""

    kind = "wrong_upstream"
    default_remedy = "Send again; the directory is refreshed."


class LeaseExpired(MintcleatError):
    """This instance's configuration lease has expired."""

    kind = "lease_expired"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again to another entry; check `mintcleat instances`."


class Draining(MintcleatError):
    """This instance or upstream accepts no new work."""

    kind = "draining"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again; another instance will accept it."


class ControlUnavailable(MintcleatError):
    """No quorum of control instances answered; nothing was proposed."""

    kind = "control_unavailable"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again; check `mintcleat control status`."


class DeadlineUnmet(MintcleatError):
    """The call cannot finish, or did not finish, before its deadline."""

    kind = "deadline_unmet"
    status = 504
    default_outcome = NOT_RUN
    default_remedy = "Send again later or with a longer deadline."


class OutcomeUnknown(MintcleatError):
    """It is unknown whether the request ran."""

    kind = "outcome_unknown"
    status = 504
    default_outcome = UNKNOWN
    default_remedy = (
        "Check the effect at the service; resend with the same key."
    )


class UpstreamFailed(MintcleatError):
    """The upstream accepted the request and failed."""

    kind = "upstream_failed"
    status = 502
    default_outcome = RAN
    default_remedy = "Check the upstream's own error, then send again."


class TurnUnrecorded(MintcleatError):
    """The upstream's answer is complete, but no leader recorded the turn."""

    kind = "turn_unrecorded"
    status = 504
    default_remedy = "Send the turn again; no later turn can continue from it."


class StreamClosed(MintcleatError):
    """The peer closed the exchange or its connection was lost."""

    kind = "stream_closed"
    default_remedy = "Send again with the same key; check that the peer runs."


class StreamTimeout(MintcleatError):
    """No message arrived before the timeout."""

    kind = "stream_timeout"
    default_remedy = "Send again with the same key; check the peer's load."


class NotLeader(MintcleatError):
    """This replica does not lead the group; nothing was proposed.

    Attributes:
        leader: Stream address of the leader; empty when unknown.
    """

    kind = "not_leader"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send the request to the group's leader."

    @property
    def leader(self) -> str:
        """Stream address of the leader, which is sent as the detail."""
        return self.detail


class ProposalLost(MintcleatError):
    """Leadership was lost after the proposal, which may still be committed."""

    kind = "proposal_lost"
    status = 504
    default_remedy = "Ask the group's leader for the outcome, or resend by key."


class StorageFailed(MintcleatError):
    """A write or sync failed; the replica has stopped."""

    kind = "storage_failed"
    default_remedy = "Free or replace the disk, then restart the instance."


class StorageFull(MintcleatError):
    """The disk is full; no part of the write is left on it."""

    kind = "storage_full"
    default_remedy = "Free space in the data folder; the write is retried."


class StorageDamaged(MintcleatError):
    """The log is corrupt before its tail."""

    kind = "storage_damaged"
    default_remedy = (
        "Empty the data folder and rebuild it with `mintcleat control replace`."
    )


class FencedOff(MintcleatError):
    """The order carries a fencing token lower than one already seen."""

    kind = "fenced_off"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Nothing to do: a newer leader has taken over."


class OtherIncarnation(MintcleatError):
    """The attempt is bound to another incarnation of the sidecar.

    A client that sent the attempt once, and to no other sidecar, knows that
    it did not run. For any other client the outcome is unknown.
    """

    kind = "other_incarnation"
    status = 503
    default_remedy = "Send again with the same key."


class Superseded(MintcleatError):
    """The attempt was replaced by a newer one; its answer is not recorded."""

    kind = "superseded"
    status = 409
    default_remedy = "Resend with the same key to get the recorded answer."


def kinds() -> dict[str, type[MintcleatError]]:
    """Returns all error classes by their kind."""
    found = {MintcleatError.kind: MintcleatError}
    pending = list(MintcleatError.__subclasses__())
    while pending:
        error = pending.pop()
        found[error.kind] = error
        pending.extend(error.__subclasses__())
    return found


def from_failure(failure: Failure) -> MintcleatError:
    """Returns the typed error of a failure in a message."""
    error = kinds().get(failure.kind, MintcleatError)
    return error(
        failure.detail,
        outcome=failure.outcome,
        remedy=failure.remedy,
        retry_after=failure.retry_after,
    )
