"""One routed request on its way: its turn, its attempts, its end.

What may be sent again follows from the route alone: after an upstream's own
word that it did not run the request, any request; after anything else, only
one that may repeat or resume.
"""

import math
from typing import NamedTuple
from typing import Protocol

import eventlet

from mintcleat.configuration import directory as directory_module
from mintcleat.decisions import evidence
from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads

# Upstreams that one request is offered to when each says that it does not
# run it. More would only carry an overload from one to the next.
MAX_OFFERS = 4
# What was not sent to an upstream by then never will be in time; the caller is
# told while it still listens.
REFUSAL_MARGIN = 0.05
# What an upstream is at is waited for a little beyond its time: the upstream's
# own answer, or the last pieces of a stream, may be on their way, and the
# caller knows best when it has waited long enough.
GRACE_SECONDS = 0.15
# A caller that hears of a lost quorum, or of no upstream, comes back after
# about the time that a failover or a restart takes.
RETRY_SECONDS = 0.5
# A program of a route that keeps no turns keeps its budget for so long.
BUDGET_RETENTION_SECONDS = 60.0
# Urgency of the most urgent routes; 5 is what an upstream takes for a request
# that says nothing.
BASE_URGENCY = 4
MAX_URGENCY = 9
# Silence of an upstream that is still usual, against the time in which a good
# answer of the route comes. A loaded engine takes that time twice.
SILENCE_FACTOR = 2.0


class RequestTimeout(BaseException):
    """The request's time is over; no handler on the way may go on."""


class Configuration(directory_port.Directory, Protocol):
    """The configuration as routed requests read it.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory_module.Directory

    def lease_left(self) -> float:
        """Returns the seconds left of the lease on the configuration."""

    def key_seconds(self) -> float:
        """Returns for how long customers' keys may still be taken."""

    def known_until(self) -> float:
        """Returns the clock up to which no accepted push is unknown here."""

    def word_seconds(self) -> float:
        """Returns within which time a node in touch hears of every push."""


class EntryContext(NamedTuple):
    """What the requests of one entry share.

    Attributes:
        configuration: The configuration that this process follows.
        upstreams: The way to upstreams.
        loads: What is known of the upstreams.
        turns: The way to the leaders that keep turns and budgets.
    """

    configuration: Configuration
    upstreams: forwarding.UpstreamClient
    loads: upstream_loads.UpstreamLoads
    turns: turn_client.TurnClient
    timers: timer_ports.Timers
    events: event_ports.EventReporter


class RoutedRun:
    """One request on its way.

    Attributes:
        priority: Rank of the request: its customer's, or else its route's.
        until: Clock at which its caller must have the answer.
        attempts: Upstreams that may have run it.
        offers: Upstreams that it was sent to at all.
        tried: Lives of upstreams that it was sent to.
        answer: What its caller has been given.
    """

    def __init__(
        self,
        context: EntryContext,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        began: float,
        priority: int | None = None,
    ) -> None:
        self.context = context
        self.call = call
        self.match = match
        self.route = match.route
        self.service_name = service_name
        self.service = service
        self.began = began
        self.priority = self.route.priority if priority is None else priority
        limit = self.route.timeout
        if call.deadline:
            limit = min(limit, call.deadline)
        self.deadline_at = began + limit
        self.timeout: eventlet.Timeout | None = None
        self.attempts = 0
        self.offers = 0
        self.tried: set[str] = set()
        self.sent_at = 0.0
        self.relay = response_relay.ResponseRelay(
            self.route,
            service,
            context.loads,
            context.turns,
            context.timers,
            call.request,
            call.last_event,
        )

    @property
    def now(self) -> float:
        """The clock."""
        return self.context.timers.now()

    def serve(self, reply: forwarding.CallerResponse) -> None:
        """Answers the request within its time."""
        self._emit_received()
        outcome = "cut"
        try:
            self._set_timeout(self.deadline_at - REFUSAL_MARGIN)
            self._open_turn()
            self._run_attempts(reply)
            outcome = "whole"
        except RequestTimeout:
            raise self._timeout_error() from None
        except errors.MintcleatError:
            raise
        except BaseException:
            self._emit_caller_gone()
            raise
        finally:
            self.timeout.cancel()
            self._settle()
            if self.relay.head_sent:
                self._emit_ended(outcome)

    def _set_timeout(self, until: float) -> None:
        """Ends the run at a time, in place of an earlier limit."""
        if self.timeout is not None:
            self.timeout.cancel()
        left = max(0.0, until - self.now)
        self.timeout = eventlet.Timeout(left, RequestTimeout)

    # --- The turn -------------------------------------------------------------

    def _open_turn(self) -> None:
        program = self.call.program
        keeps = self.route.retention > 0 and self.route.stream
        if not program.program or not (keeps or program.budget):
            if program.previous:
                raise errors.UnknownTurn("The route keeps no turns.")
            self.context.turns.rate_limiter.admit(
                self.call.customer, program.program, self.call.request
            )
            return
        step = max(1, self.service.tokens_per_event)
        reserve = step * math.ceil(self.call.generation.max_tokens / step)
        retention = self.route.retention or BUDGET_RETENTION_SECONDS
        loads = self.context.loads
        turn = self.context.turns.open(
            self.call, reserve, retention, loads.report()
        )
        loads.update_others(turn.others)
        self.relay.turn = turn

    def _settle(self) -> None:
        """Settles what was not kept; a turn that was kept stays so."""
        answer = self.relay
        if answer.turn is None or answer.committed:
            return
        # The program's cache is where a turn began to run, not where a
        # request for it went.
        ran_at = answer.incarnation if answer.head_sent else ""
        ran = bool(self.attempts)
        self.context.turns.settle(answer.turn, answer.tokens, ran_at, ran)

    # --- Attempts -------------------------------------------------------------

    def _run_attempts(self, reply: forwarding.CallerResponse) -> None:
        while True:
            upstream = self._place()
            self.offers += 1
            self.tried.add(upstream.incarnation)
            self.sent_at = self.now
            silence_timeout = SILENCE_FACTOR * self.route.target_latency
            loads = self.context.loads
            loads.began(
                upstream.incarnation, self.call.request, silence_timeout
            )
            try:
                self._attempt(upstream, reply)
            except errors.MintcleatError as error:
                self._attempt_failed(upstream, error)
                self._check_retry(error)
                if self.now >= self.deadline_at - REFUSAL_MARGIN:
                    raise self._timeout_error() from error
            except BaseException:
                # The caller left, or its time is over.
                silent = self.now - max(self.sent_at, self.relay.last_event_at)
                received = self.relay.complete
                self._record_evidence(
                    upstream,
                    evidence.of_cancellation(received, silent, silence_timeout),
                )
                raise
            else:
                self._record_evidence(
                    upstream, evidence.of_answer(self.relay.status)
                )
                return
            finally:
                loads.ended(upstream.incarnation, self.call.request)

    def _record_evidence(
        self,
        upstream: member_messages.Registration,
        verdict: evidence.Evidence,
    ) -> None:
        match verdict:
            case evidence.Evidence.FAILURE:
                self.context.loads.failed(upstream)
            case evidence.Evidence.SUCCESS:
                self.context.loads.answered(upstream.incarnation, self.sent_at)

    def _place(self) -> member_messages.Registration:
        turn = self.relay.turn
        found = self.context.loads.choose(
            self.service_name,
            self.tried,
            upstream_loads.PlacementRequest(
                self.call,
                turn.hint if turn else "",
                "" if turn else self.call.affinity,
                self._may_retry(),
            ),
        )
        if found is None:
            if self.tried:
                raise errors.Overloaded(
                    f"No other upstream of {self.service_name} is left.",
                    retry_after=RETRY_SECONDS,
                )
            raise errors.NoUpstream(
                f"No upstream of {self.service_name} takes new work.",
                retry_after=RETRY_SECONDS,
            )
        upstream, choice, candidates = found
        self.context.events.emit(
            event_types.CallPlaced(
                self.call.request,
                upstream.upstream,
                self.offers + 1,
                choice.reason,
                self.context.loads.running(upstream.incarnation),
                self.context.loads.running_elsewhere(upstream.incarnation),
                self.context.loads.others_age(),
                candidates,
                round(self.deadline_at - self.now, 3),
                self.context.configuration.registered.version,
            )
        )
        return upstream

    def _attempt(
        self,
        upstream: member_messages.Registration,
        reply: forwarding.CallerResponse,
    ) -> None:
        turn = self.relay.turn
        body = turn.body() if turn else self.call.body
        self._set_timeout(self.deadline_at + GRACE_SECONDS)
        self.attempts += 1
        self.relay.upstream = upstream
        answer = self.context.upstreams.send(
            upstream,
            self.call,
            routed_calls.UpstreamRequest(
                body,
                max(0.0, self.deadline_at - self.now),
                self.relay.last_event_id,
                min(MAX_URGENCY, BASE_URGENCY + self.priority),
            ),
        )
        try:
            self.context.loads.arrived(upstream.incarnation)
            repeat = self.route.repeat == "any"
            left = self.attempts < self.route.attempts
            self.relay.relay(answer, reply, self.sent_at, repeat and left)
        finally:
            answer.close()

    def _may_retry(self) -> bool:
        """Tells whether the next attempt may be followed by another one."""
        repeatable = self.route.repeat in ("any", "resume")
        return repeatable and self.attempts + 1 < self.route.attempts

    def _attempt_failed(
        self,
        upstream: member_messages.Registration,
        error: errors.MintcleatError,
    ) -> None:
        if error.outcome == errors.NOT_RUN:
            self.attempts -= 1
        self._record_evidence(upstream, evidence.of_error(error))
        self.context.events.emit(
            event_types.AttemptFailed(
                self.call.request,
                upstream.upstream,
                self.offers,
                error.kind,
                error.detail,
                error.outcome,
                round(self.now - self.sent_at, 4),
                self.relay.last_event_id,
            )
        )

    def _check_retry(self, error: errors.MintcleatError) -> None:
        """Lets the next attempt begin, or raises what the caller is told."""
        if error.outcome == errors.NOT_RUN:
            if self.offers < MAX_OFFERS:
                return
            raise errors.Overloaded(
                f"{self.offers} upstreams of {self.service_name} did not "
                "take the request.",
                retry_after=RETRY_SECONDS,
            ) from error
        repeat = self.route.repeat
        if isinstance(error, errors.TurnUnrecorded):
            # Another run would only repeat what the caller has been given.
            raise errors.StreamClosed(error.detail) from error
        if self.relay.head_sent and not (
            repeat == "resume" and self.route.stream
        ):
            raise errors.StreamClosed("The answer broke off.") from error
        if repeat == "never" or self.attempts >= self.route.attempts:
            raise errors.OutcomeUnknown(
                f"The request may have run: {error.detail}"
            ) from error

    def _timeout_error(self) -> errors.MintcleatError:
        if self.relay.head_sent:
            return errors.StreamClosed("The request's time is over.")
        if self.attempts:
            return errors.OutcomeUnknown("No answer came in time.")
        return errors.DeadlineUnmet(
            "The request's time was over before it could be sent.",
            retry_after=RETRY_SECONDS,
        )

    # --- What is told ---------------------------------------------------------

    def _emit_received(self) -> None:
        configuration = self.context.configuration
        program = self.call.program
        self.context.events.emit(
            event_types.CallTaken(
                self.call.request,
                self.match.name,
                self.service_name,
                program.program,
                program.session,
                program.previous,
                round(self.deadline_at - self.began, 3),
                configuration.revision(),
                round(configuration.lease_left(), 3),
                configuration.registered.version,
                self.call.customer,
            )
        )

    def _emit_caller_gone(self) -> None:
        self.context.events.emit(
            event_types.CallerGone(
                self.call.request,
                self.match.name,
                self.call.program.program,
                self.relay.upstream_name,
                round(self.now - self.began, 4),
            )
        )

    def _emit_ended(self, outcome: str) -> None:
        answer = self.relay
        self.context.events.emit(
            event_types.CallEnded(
                self.call.request,
                self.match.name,
                self.call.program.program,
                answer.upstream_name,
                answer.status,
                outcome,
                self.offers,
                round(max(0.0, answer.first_at - self.began), 4),
                round(answer.max_gap, 4),
                round(self.now - self.began, 4),
                answer.tokens,
            )
        )
