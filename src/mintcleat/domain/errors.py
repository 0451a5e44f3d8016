"""Typed errors that callers and operators see.

Each kind has an HTTP status, a default outcome and a remedy. The outcome is
a promise: `not_run` means that the request did not and will not run.
"""

from typing import ClassVar
from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


class Failure(NamedTuple):
    """An error on the wire; `raise_failure` turns it into its class again."""

    kind: str
    detail: str
    outcome: str
    remedy: str
    retry_after: float = 0.0


class MintcleatError(Exception):
    """Base of every typed error.

    Attributes:
        detail: What happened, for a person.
        outcome: One of `not_run`, `unknown`, `ran`.
        remedy: What the reader can do about it.
        retry_after: Seconds after which a retry makes sense; 0 for no advice.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 502
    default_outcome: ClassVar[str] = UNKNOWN
    default_remedy: ClassVar[str] = (
        "Look in the daemon's log for the request id and report a bug."
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
        super().__init__(f"{detail} {self.remedy}")

    def failure(self) -> Failure:
        """Returns the wire form."""
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
    """No such program, or it was expired by the retention policy."""

    kind = "unknown_program"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Create the program with POST /v1/programs first."


class UnknownService(MintcleatError):
    """The manifest names no such service."""

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
    """No announced upstream, or failure domain of one, has this name."""

    kind = "unknown_upstream"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = (
        "Use a name that `mintcleat upstreams list` shows, or --ahead for one "
        "that is not there now."
    )


class UnknownRoute(MintcleatError):
    """No route of the manifest covers the request's host and path."""

    kind = "unknown_route"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Use a host and path that the manifest's routes cover."


class UnknownTurn(MintcleatError):
    """The turn to continue from does not exist, or its retention is over."""

    kind = "unknown_turn"
    status = 404
    default_outcome = NOT_RUN
    default_remedy = "Start a new line of turns without a previous turn."


class TooFewInstances(MintcleatError):
    """Without this control instance the groups could not bear a loss."""

    kind = "too_few_instances"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Add a control instance first."


class UnknownCustomer(MintcleatError):
    """The manifest names no such customer."""

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
    """The turn is not the program's next one."""

    kind = "wrong_turn"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Read the program and send the turn it names as next."


class KeyConflict(MintcleatError):
    """The idempotency key was used before with another body."""

    kind = "key_conflict"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Use a fresh Idempotency-Key for a different request."


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
    """Another call of this program holds the turn."""

    kind = "call_running"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Wait for the running call, or resend it with its own key."


class RevisionConflict(MintcleatError):
    """Another push won the revision."""

    kind = "revision_conflict"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Fetch the manifest in force, merge, and push again."


class TooLarge(MintcleatError):
    """The body, a header or a message is over its size limit."""

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
    """The program sends the same call over and over."""

    kind = "loop_detected"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Mend the agent's loop, then start a new program."


class Quarantined(MintcleatError):
    """Upstreams crashed while they ran this request."""

    kind = "quarantined"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Change the request or ask an operator to release it."


class InvalidManifest(MintcleatError):
    """The manifest has faults; the detail lists each with its path."""

    kind = "invalid_manifest"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = (
        "Mend every fault and check with `mintcleat manifest check`."
    )


class InvalidSettings(MintcleatError):
    """A field of the settings file is wrong."""

    kind = "invalid_settings"
    status = 422
    default_outcome = NOT_RUN
    default_remedy = "Mend the field and check with `mintcleatd --check`."


class ShareExceeded(MintcleatError):
    """The customer is over its share while others wait."""

    kind = "share_exceeded"
    status = 429
    default_outcome = NOT_RUN
    default_remedy = "Send again after retry_after seconds."


class LimitReached(MintcleatError):
    """The customer has sent all the requests that its limit allows."""

    kind = "limit_reached"
    status = 429
    default_outcome = NOT_RUN
    default_remedy = (
        "Send again after retry_after seconds, or ask the operator for a "
        "higher limit."
    )


class LimitNear(LimitReached):
    """A program can't begin: those under way need what is left of the limit."""

    kind = "limit_near"


class Overloaded(MintcleatError):
    """The predicted wait is over the limit."""

    kind = "overloaded"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again after retry_after seconds."


class NoUpstream(MintcleatError):
    """No upstream of the service takes new work."""

    kind = "no_upstream"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Check `mintcleat upstreams list`, then send again."


class UpstreamBusy(NoUpstream):
    """The upstream said that it did not run the request: it is full."""

    kind = "upstream_busy"
    default_remedy = "Send again after retry_after seconds."


class WrongUpstream(NoUpstream):
    """Another upstream has the address by now; it did not run the request."""

    kind = "wrong_upstream"
    default_remedy = "Send again; the directory is read anew."


class LeaseExpired(MintcleatError):
    """This instance's configuration lease ran out."""

    kind = "lease_expired"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again to another entry; check `mintcleat instances`."


class Draining(MintcleatError):
    """This instance or upstream takes no new work."""

    kind = "draining"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again; another instance will take it."


class ControlUnavailable(MintcleatError):
    """No control quorum answered before anything was proposed."""

    kind = "control_unavailable"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send again; check `mintcleat control status`."


class DeadlineUnmet(MintcleatError):
    """The call cannot end, or did not end, before its deadline."""

    kind = "deadline_unmet"
    status = 504
    default_outcome = NOT_RUN
    default_remedy = "Send again later or with a longer deadline."


class OutcomeUnknown(MintcleatError):
    """Nobody can tell whether the request ran."""

    kind = "outcome_unknown"
    status = 504
    default_outcome = UNKNOWN
    default_remedy = (
        "Check the effect at the service; resend with the same key."
    )


class UpstreamFailed(MintcleatError):
    """The upstream took the request and failed."""

    kind = "upstream_failed"
    status = 502
    default_outcome = RAN
    default_remedy = "Look at the upstream's own error, then send again."


class TurnUnrecorded(MintcleatError):
    """The upstream's answer is whole, but no leader recorded the turn."""

    kind = "turn_unrecorded"
    status = 504
    default_remedy = "Send the turn again: no later turn can go on from it."


class StreamClosed(MintcleatError):
    """The peer closed the exchange or its connection was lost."""

    kind = "stream_closed"
    default_remedy = "Send again with the same key; see that the peer runs."


class StreamTimeout(MintcleatError):
    """No message came within the time allowed."""

    kind = "stream_timeout"
    default_remedy = "Send again with the same key; see how loaded the peer is."


class NotLeader(MintcleatError):
    """This replica does not lead the group; nothing was proposed.

    Attributes:
        leader: Stream address of the leader, empty when unknown.
    """

    kind = "not_leader"
    status = 503
    default_outcome = NOT_RUN
    default_remedy = "Send the request to the group's leader."

    @property
    def leader(self) -> str:
        """The leader's address; it travels as the detail."""
        return self.detail


class ProposalLost(MintcleatError):
    """Leadership was lost after the proposal; it may yet be committed."""

    kind = "proposal_lost"
    status = 504
    default_remedy = "Ask the group's leader what came of it; resend by key."


class StorageFailed(MintcleatError):
    """The disk refused a write or a sync; the replica has stopped."""

    kind = "storage_failed"
    default_remedy = "Free or replace the disk, then restart the instance."


class StorageFull(MintcleatError):
    """The disk takes no more bytes; nothing of the write is left on it."""

    kind = "storage_full"
    default_remedy = "Free space in the data folder; the write is repeated."


class StorageDamaged(MintcleatError):
    """The log is damaged before its tail."""

    kind = "storage_damaged"
    default_remedy = (
        "Empty the data folder and let `mintcleat control replace` rebuild it."
    )


class FencedOff(MintcleatError):
    """The order carries a fencing number lower than one already seen."""

    kind = "fenced_off"
    status = 409
    default_outcome = NOT_RUN
    default_remedy = "Nothing to do: a newer leader has taken over."


class OtherIncarnation(MintcleatError):
    """The attempt is bound to another life of the sidecar that was asked.

    Whoever sent the attempt once, and to nobody else, knows that it did not
    run; to anybody else its outcome is unknown.
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
    """Returns every error class by its kind."""
    found = {MintcleatError.kind: MintcleatError}
    pending = list(MintcleatError.__subclasses__())
    while pending:
        error = pending.pop()
        found[error.kind] = error
        pending.extend(error.__subclasses__())
    return found


def from_failure(failure: Failure) -> MintcleatError:
    """Returns the typed error that a wire failure stands for."""
    error = kinds().get(failure.kind, MintcleatError)
    return error(
        failure.detail,
        outcome=failure.outcome,
        remedy=failure.remedy,
        retry_after=failure.retry_after,
    )
