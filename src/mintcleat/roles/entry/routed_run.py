"""Runs one routed request: opens its turn, makes attempts, settles the turn.

Whether a failed attempt may be retried depends on the route alone. If the
upstream states that it did not run the request, any request may be retried;
otherwise only one whose route allows repeating or resuming.
"""

import math
from typing import NamedTuple
from typing import Protocol

import eventlet

from mintcleat.configuration import directory as directory_module
from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import evidence
from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import turn_demand
from mintcleat.roles.entry import upstream_loads

# Upstreams to which one request is sent if each refuses to run it. More would
# only spread an overload from one upstream to the next.
MAX_OFFERS = 4
# A request that has not been sent this long before its deadline can't be
# answered in time; it is refused while the caller still waits.
REFUSAL_MARGIN_SECONDS = 0.05
# Extra time after the deadline of a request that an upstream is running. Its
# response or the last events of a stream may be on the way, and the caller
# decides itself when to stop waiting.
GRACE_SECONDS = 0.15
# Retry delay for callers after a lost quorum or without an upstream: about the
# duration of a failover or a restart.
RETRY_SECONDS = 0.5
# Time for which the budget of a program is kept on a route without retention.
BUDGET_RETENTION_SECONDS = 60.0
# Urgency sent to upstreams for priority 0, the most urgent, and its maximum. An
# upstream assumes 5 for a request without one.
BASE_URGENCY = 4
MAX_URGENCY = 9
# Silence after which an upstream counts as silent, as a multiple of the route's
# target latency. A loaded engine takes up to twice that latency.
SILENCE_FACTOR = 2.0


class RequestTimeout(BaseException):
    """The request timed out.

    Derived from BaseException so that no error handler on the way catches it.
    """


class AttemptTimeout(BaseException):
    """An attempt timed out; another upstream may run the request.

    Derived from BaseException so that no error handler on the way catches it.
    """


class Configuration(directory_port.Directory, Protocol):
    """The followed configuration, as routed requests need it.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory_module.Directory

    def lease_left(self) -> float:
        """Returns the seconds left of the configuration lease."""

    def key_seconds(self) -> float:
        """Returns the seconds for which keys may still be accepted."""

    def known_until(self) -> float:
        """Returns the time up to which all accepted pushes are applied."""

    def push_propagation_seconds(self) -> float:
        """Returns the seconds in which a connected node gets every push."""


class EntryContext(NamedTuple):
    """Dependencies that all requests of one entry share.

    Attributes:
        configuration: Configuration that this process follows.
        upstreams: Client for requests to upstreams.
        loads: Load and health of the upstreams.
        turns: Client of the leaders that keep turns and budgets.
        attempt_timeouts: Timeouts of attempts of repeatable requests.
    """

    configuration: Configuration
    upstreams: forwarding.UpstreamClient
    loads: upstream_loads.UpstreamLoads
    turns: turn_client.TurnClient
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    attempt_timeouts: attempt_timeout.AttemptTimeouts


class RoutedRun:
    """The run of one request.

    Times are monotonic, in seconds.

    Attributes:
        began: Time of the request's arrival.
        priority: Priority of the customer, or else of the route; 0 is the most
            urgent.
        deadline_at: Time by which the caller must have the response.
        timeout: The current timeout, which raises a RequestTimeout.
        attempts: Number of upstreams that may have run it.
        offers: Number of upstreams that it was sent to.
        tried: Incarnations of the upstreams that it was sent to.
        candidates: Number of upstreams that the last attempt could go to.
        sent_at: Time at which it was last sent to an upstream.
        relay: Relay of the responses to the caller.
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
        self.candidates = 0
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
        """The current time."""
        return self.context.timers.now()

    def serve(self, reply: forwarding.CallerResponse) -> None:
        """Serves the request within its deadline.

        Raises:
            errors.MintcleatError: The request was refused or failed.
        """
        self._emit_received()
        outcome = "cut"
        try:
            self._set_timeout(self.deadline_at - REFUSAL_MARGIN_SECONDS)
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

    @property
    def silence_timeout(self) -> float:
        """Seconds of silence that are normal for the route."""
        return SILENCE_FACTOR * self.route.target_latency

    def _set_timeout(self, until: float) -> None:
        """Ends the run at a time; replaces an earlier timeout."""
        if self.timeout is not None:
            self.timeout.cancel()
        left = max(0.0, until - self.now)
        self.timeout = eventlet.Timeout(left, RequestTimeout)

    # --- Turn -----------------------------------------------------------------

    def _open_turn(self) -> None:
        program = self.call.program
        retains = self.route.retention > 0 and self.route.stream
        if not program.program or not (retains or program.budget):
            if program.previous:
                raise errors.UnknownTurn(
                    f"Route {self.match.name!r} doesn't retain turns, but the "
                    "request names a previous turn."
                )
            self.context.turns.rate_limiter.admit(
                self.call.customer, program.program, self.call.request
            )
            return
        step = max(1, self.service.tokens_per_event)
        reserve = step * math.ceil(self.call.generation.max_tokens / step)
        retention = self.route.retention or BUDGET_RETENTION_SECONDS
        loads = self.context.loads
        turn = self.context.turns.open(
            self.call, reserve, retention, loads.report(), self._admission()
        )
        loads.update_others(turn.others, turn.failing)
        self.relay.turn = turn

    def _admission(self) -> turn_demand.Admission | None:
        """Returns how the turn asks for its grant; None if that is off."""
        policies = self.context.configuration.manifest().policies
        if (
            policies.admission == "off"
            or not self.context.loads.policy.admission
        ):
            return None
        wait = turn_demand.HOLD_FRACTION * (self.deadline_at - self.began)
        return turn_demand.Admission(
            self._demand, self.context.loads.report, self.began + wait
        )

    def _demand(self) -> program_messages.TurnDemand:
        """Returns the demand of the turn at present."""
        policies = self.context.configuration.manifest().policies
        customer = policies.customers.get(self.call.customer)
        now = self.now
        return turn_demand.demand_of(
            self.call,
            self.match.name,
            self.service_name,
            self.service,
            self.priority,
            self.route.priority,
            customer.share if customer else 1.0,
            now - self.began,
            self.deadline_at + GRACE_SECONDS - now,
            turn_demand.capacity_of(self.context.loads, self.service_name),
        )

    def _settle(self) -> None:
        """Settles the turn unless it is committed."""
        relay = self.relay
        if relay.turn is None or relay.committed:
            return
        # The program's prefix cache is at the upstream that began to run the
        # turn, not at one that the request was only sent to.
        ran_at = relay.incarnation if relay.head_sent else ""
        ran = bool(self.attempts)
        self.context.turns.settle(relay.turn, relay.tokens, ran_at, ran)

    # --- Attempts -------------------------------------------------------------

    def _run_attempts(self, reply: forwarding.CallerResponse) -> None:
        while True:
            placement = self._place()
            upstream = placement.upstream
            self.offers += 1
            self.tried.add(upstream.incarnation)
            self.sent_at = self.now
            silence_timeout = self.silence_timeout
            loads = self.context.loads
            loads.began(
                upstream.incarnation,
                self.call.request,
                silence_timeout,
                placement,
            )
            try:
                self._attempt(upstream, reply)
            except errors.MintcleatError as error:
                self._attempt_failed(upstream, error)
                self._check_retry(error)
                if self.now >= self.deadline_at - REFUSAL_MARGIN_SECONDS:
                    raise self._timeout_error() from error
            except BaseException:
                # The caller disconnected, or the request timed out.
                silent = self.now - max(self.sent_at, self.relay.last_active_at)
                complete = self.relay.complete
                self._record_evidence(
                    upstream,
                    evidence.of_cancellation(complete, silent, silence_timeout),
                )
                raise
            else:
                silent = self.relay.first_at - self.sent_at
                self._record_evidence(
                    upstream,
                    evidence.of_answer(
                        self.relay.status, silent, silence_timeout
                    ),
                )
                self.context.attempt_timeouts.answered(self.service_name)
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

    def _place(self) -> upstream_loads.Placement:
        """Chooses the upstream of the next attempt."""
        turn = self.relay.turn
        found = self.context.loads.choose(
            self.service_name,
            self.tried,
            upstream_loads.PlacementRequest(
                self.call,
                turn.hint if turn else "",
                "" if turn else self.call.affinity,
                self._may_retry(),
                self.service.memory_tokens,
            ),
        )
        if found is None:
            if self.tried:
                raise self._none_left_error(
                    f"No upstream of service {self.service_name!r} is left; "
                    f"{len(self.tried)} failed or refused the request."
                )
            raise errors.NoUpstream(
                f"No upstream of service {self.service_name!r} takes new work.",
                retry_after=RETRY_SECONDS,
            )
        upstream = found.upstream
        self.candidates = found.candidates
        self.context.events.emit(
            event_types.CallPlaced(
                self.call.request,
                upstream.upstream,
                self.offers + 1,
                found.choice.reason,
                self.context.loads.running(upstream.incarnation),
                self.context.loads.running_elsewhere(upstream.incarnation),
                self.context.loads.others_age(),
                found.candidates,
                round(self.deadline_at - self.now, 3),
                self.context.configuration.registered.version,
                round(found.expected, 4),
                found.held,
                round(found.slowdown, 2),
            )
        )
        return found

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
        answer = self._send(
            upstream,
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

    def _send(
        self,
        upstream: member_messages.Registration,
        request: routed_calls.UpstreamRequest,
    ) -> forwarding.UpstreamResponse:
        """Sends the request; returns once the head of the response is there.

        Raises:
            errors.StreamTimeout: The attempt timed out.
        """
        timeouts = self.context.attempt_timeouts
        # Giving up the only upstream would leave none for another attempt.
        seconds = None
        if self.candidates > 1:
            seconds = timeouts.seconds(
                self.route,
                self.service_name,
                self.attempts - 1,
                self.silence_timeout,
                self.deadline_at - self.now,
            )
        try:
            with eventlet.Timeout(seconds, AttemptTimeout()):
                return self.context.upstreams.send(upstream, self.call, request)
        except AttemptTimeout:
            timeouts.expired(self.service_name, self.attempts)
            raise errors.StreamTimeout(
                f"Upstream {upstream.upstream} sent nothing for {seconds:g} s."
            ) from None

    def _may_retry(self) -> bool:
        """Returns whether another attempt may follow the next one."""
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
        """Returns if another attempt may follow; else raises the final error.

        Raises:
            errors.MintcleatError: The error for the caller.
        """
        if error.outcome == errors.NOT_RUN:
            if self.offers < MAX_OFFERS:
                return
            raise self._none_left_error(
                f"{self.offers} upstreams of service {self.service_name!r} "
                "failed or refused the request."
            ) from error
        repeat = self.route.repeat
        if isinstance(error, errors.TurnUnrecorded):
            # Another run would only repeat what the caller has received.
            raise errors.StreamClosed(error.detail) from error
        if self.relay.head_sent and not (
            repeat == "resume" and self.route.stream
        ):
            raise errors.StreamClosed(
                f"The response broke off after it had begun: {error.detail}"
            ) from error
        if repeat == "never" or self.attempts >= self.route.attempts:
            raise errors.OutcomeUnknown(
                f"The request may have run: {error.detail}"
            ) from error

    def _none_left_error(self, detail: str) -> errors.MintcleatError:
        """Returns the error of a request that no further upstream can run.

        It is a refusal only if none of the upstreams may have run it.
        """
        if self.relay.head_sent:
            return errors.StreamClosed(
                f"The response broke off after it had begun: {detail}"
            )
        if self.attempts:
            return errors.OutcomeUnknown(f"The request may have run: {detail}")
        return errors.Overloaded(detail, retry_after=RETRY_SECONDS)

    def _timeout_error(self) -> errors.MintcleatError:
        if self.relay.head_sent:
            return errors.StreamClosed(
                "The deadline passed before the end of the response."
            )
        if self.attempts:
            return errors.OutcomeUnknown(
                "No upstream answered before the deadline."
            )
        return errors.DeadlineUnmet(
            "The deadline passed before the request could be sent.",
            retry_after=RETRY_SECONDS,
        )

    # --- Events ---------------------------------------------------------------

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
        relay = self.relay
        self.context.events.emit(
            event_types.CallEnded(
                self.call.request,
                self.match.name,
                self.call.program.program,
                relay.upstream_name,
                relay.status,
                outcome,
                self.offers,
                round(max(0.0, relay.first_at - self.began), 4),
                round(relay.max_gap, 4),
                round(self.now - self.began, 4),
                relay.tokens,
            )
        )
