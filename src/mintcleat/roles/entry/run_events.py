"""Reports the course of one routed request as events."""

from mintcleat.decisions import routes
from mintcleat.domain import answer_ends
from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import upstream_loads


class RunEvents:
    """Emits the events of one request.

    Attributes:
        digest: Digest that all repetitions of the request share.
        object_digest: Digest that all requests for its object share.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        deadline: run_deadline.RunDeadline,
    ) -> None:
        self.context = context
        self.call = call
        self.match = match
        self.service_name = service_name
        self.deadline = deadline
        self.digest = digests.of_call(call)
        self.object_digest = digests.of_object(call)

    @property
    def elapsed(self) -> float:
        """Seconds since the request arrived."""
        return round(self.context.timers.now() - self.deadline.began, 4)

    def received(self) -> None:
        """Reports that the request arrived."""
        configuration = self.context.configuration
        program = self.call.program
        deadline = self.deadline
        self.context.events.emit(
            event_types.CallTaken(
                self.call.request,
                self.match.name,
                self.service_name,
                program.program,
                program.session,
                program.previous,
                round(deadline.at - deadline.began, 3),
                configuration.revision(),
                round(configuration.lease_left(), 3),
                configuration.registered.version,
                self.call.customer,
                self.digest.hex(),
                self.call.last_event,
                self.call.resumes,
            )
        )

    def placed(self, placement: upstream_loads.Placement, attempt: int) -> None:
        """Reports the upstream that was chosen for an attempt."""
        upstream = placement.upstream
        loads = self.context.loads
        self.context.events.emit(
            event_types.CallPlaced(
                self.call.request,
                upstream.upstream,
                attempt,
                placement.choice.reason,
                loads.running(upstream.incarnation),
                loads.running_elsewhere(upstream.incarnation),
                loads.others_age(),
                placement.candidates,
                round(self.deadline.left, 3),
                self.context.configuration.registered.version,
                round(placement.expected, 4),
                placement.held,
                round(placement.slowdown, 2),
                upstream.version,
            )
        )

    def attempt_failed(
        self,
        upstream: member_messages.Registration,
        attempt: int,
        error: errors.MintcleatError,
        sent_at: float,
        relay: response_relay.ResponseRelay,
    ) -> None:
        """Reports a failed attempt that was sent at `sent_at`."""
        self.context.events.emit(
            event_types.AttemptFailed(
                self.call.request,
                upstream.upstream,
                attempt,
                error.kind,
                error.detail,
                error.outcome,
                round(self.context.timers.now() - sent_at, 4),
                relay.last_event_id,
                # The request itself still counts as running.
                max(0, self.context.loads.running(upstream.incarnation) - 1),
                self.service_name,
                *_end_fields(relay.end),
            )
        )

    def continued(
        self,
        source: member_messages.Registration,
        destination: member_messages.Registration,
        reason: str,
        result: str,
        pause: float,
        tokens: int,
        detail: str = "",
    ) -> None:
        """Reports a move or a resume; see `events.StreamContinued`."""
        self.context.events.emit(
            event_types.StreamContinued(
                self.call.request,
                source.upstream,
                destination.upstream,
                reason,
                result,
                round(pause, 4),
                tokens,
                detail,
                source.version,
                destination.version,
            )
        )

    def caller_gone(self, upstream: str) -> None:
        """Reports that the caller disconnected."""
        self.context.events.emit(
            event_types.CallerGone(
                self.call.request,
                self.match.name,
                self.call.program.program,
                upstream,
                self.elapsed,
            )
        )

    def ended(
        self, relay: response_relay.ResponseRelay, outcome: str, attempts: int
    ) -> None:
        """Reports the end of the response."""
        self.context.events.emit(
            event_types.CallEnded(
                self.call.request,
                self.match.name,
                self.call.program.program,
                relay.upstream_name,
                relay.status,
                outcome,
                attempts,
                round(max(0.0, relay.first_at - self.deadline.began), 4),
                round(relay.max_gap, 4),
                self.elapsed,
                relay.tokens,
                self.service_name,
                *_end_fields(relay.end),
                relay.last_event_id,
                tuple(relay.versions),
                relay.repeated,
                relay.skipped,
            )
        )


def _end_fields(
    end: answer_ends.AnswerEnd | None,
) -> tuple[str, str, int, int, int]:
    """Returns the fields of events on the end of an answer."""
    if end is None:
        return "", "", 0, 0, 0
    return (
        end.framing.value,
        end.kind.value,
        end.received,
        end.events,
        end.rest,
    )
