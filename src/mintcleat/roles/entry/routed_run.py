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
BUDGET_SECONDS = 60.0
# Urgency of the most urgent routes; 5 is what an upstream takes for a request
# that says nothing.
FIRST_URGENCY = 4
LAST_URGENCY = 9
# Silence of an upstream that is still usual, against the time in which a good
# answer of the route comes. A loaded engine takes that time twice.
SILENCE_FACTOR = 2.0


class LimitReached(BaseException):
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


class Means(NamedTuple):
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
        means: Means,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        began: float,
        priority: int | None = None,
    ) -> None:
        self.means = means
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
        self.until = began + limit
        self.timeout: eventlet.Timeout | None = None
        self.attempts = 0
        self.offers = 0
        self.tried: set[str] = set()
        self.sent_at = 0.0
        self.answer = response_relay.RoutedAnswer(
            self.route,
            service,
            means.loads,
            means.turns,
            means.timers,
            call.request,
            call.last_event,
        )

    @property
    def now(self) -> float:
        """The clock."""
        return self.means.timers.now()

    def serve(self, reply: forwarding.CallerResponse) -> None:
        """Answers the request within its time."""
        self._tell_taken()
        outcome = "cut"
        try:
            self._limit(self.until - REFUSAL_MARGIN)
            self._open_turn()
            self._attempt_all(reply)
            outcome = "whole"
        except LimitReached:
            raise self._late() from None
        except errors.MintcleatError:
            raise
        except BaseException:
            self._tell_gone()
            raise
        finally:
            self.timeout.cancel()
            self._settle()
            if self.answer.begun:
                self._tell_ended(outcome)

    def _limit(self, until: float) -> None:
        """Ends the run at a time, in place of an earlier limit."""
        if self.timeout is not None:
            self.timeout.cancel()
        left = max(0.0, until - self.now)
        self.timeout = eventlet.Timeout(left, LimitReached)

    # --- The turn -------------------------------------------------------------

    def _open_turn(self) -> None:
        program = self.call.program
        keeps = self.route.retention > 0 and self.route.stream
        if not program.program or not (keeps or program.budget):
            if program.previous:
                raise errors.UnknownTurn("The route keeps no turns.")
            self.means.turns.rate_limiter.admit(
                self.call.customer, program.program, self.call.request
            )
            return
        step = max(1, self.service.tokens_per_event)
        reserve = step * math.ceil(self.call.generation.max_tokens / step)
        retention = self.route.retention or BUDGET_SECONDS
        loads = self.means.loads
        turn = self.means.turns.open(
            self.call, reserve, retention, loads.report()
        )
        loads.update_others(turn.others)
        self.answer.turn = turn

    def _settle(self) -> None:
        """Settles what was not kept; a turn that was kept stays so."""
        answer = self.answer
        if answer.turn is None or answer.kept:
            return
        # The program's cache is where a turn began to run, not where a
        # request for it went.
        ran_at = answer.incarnation if answer.begun else ""
        ran = bool(self.attempts)
        self.means.turns.settle(answer.turn, answer.tokens, ran_at, ran)

    # --- Attempts -------------------------------------------------------------

    def _attempt_all(self, reply: forwarding.CallerResponse) -> None:
        while True:
            upstream = self._place()
            self.offers += 1
            self.tried.add(upstream.incarnation)
            self.sent_at = self.now
            patience = SILENCE_FACTOR * self.route.target_latency
            loads = self.means.loads
            loads.began(upstream.incarnation, self.call.request, patience)
            try:
                self._attempt(upstream, reply)
            except errors.MintcleatError as error:
                self._failed(upstream, error)
                self._check_repeat(error)
                if self.now >= self.until - REFUSAL_MARGIN:
                    raise self._late() from error
            except BaseException:
                # The caller left, or its time is over.
                silent = self.now - max(self.sent_at, self.answer.piece_at)
                received = self.answer.received
                self._note(
                    upstream,
                    evidence.of_cancellation(received, silent, patience),
                )
                raise
            else:
                self._note(upstream, evidence.of_answer(self.answer.status))
                return
            finally:
                loads.ended(upstream.incarnation, self.call.request)

    def _note(
        self,
        upstream: member_messages.Registration,
        said: evidence.Evidence,
    ) -> None:
        match said:
            case evidence.Evidence.FAILURE:
                self.means.loads.failed(upstream)
            case evidence.Evidence.SUCCESS:
                self.means.loads.answered(upstream.incarnation, self.sent_at)

    def _place(self) -> member_messages.Registration:
        turn = self.answer.turn
        found = self.means.loads.choose(
            self.service_name,
            self.tried,
            upstream_loads.PlacementRequest(
                self.call,
                turn.hint if turn else "",
                "" if turn else self.call.affinity,
                self._may_repeat(),
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
        self.means.events.emit(
            event_types.CallPlaced(
                self.call.request,
                upstream.upstream,
                self.offers + 1,
                choice.reason,
                self.means.loads.running(upstream.incarnation),
                self.means.loads.running_elsewhere(upstream.incarnation),
                self.means.loads.others_age(),
                candidates,
                round(self.until - self.now, 3),
                self.means.configuration.registered.version,
            )
        )
        return upstream

    def _attempt(
        self,
        upstream: member_messages.Registration,
        reply: forwarding.CallerResponse,
    ) -> None:
        turn = self.answer.turn
        body = turn.body() if turn else self.call.body
        self._limit(self.until + GRACE_SECONDS)
        self.attempts += 1
        self.answer.upstream = upstream
        answer = self.means.upstreams.send(
            upstream,
            self.call,
            routed_calls.UpstreamRequest(
                body,
                max(0.0, self.until - self.now),
                self.answer.last_event,
                min(LAST_URGENCY, FIRST_URGENCY + self.priority),
            ),
        )
        try:
            self.means.loads.arrived(upstream.incarnation)
            repeat = self.route.repeat == "any"
            left = self.attempts < self.route.attempts
            self.answer.deliver(answer, reply, self.sent_at, repeat and left)
        finally:
            answer.close()

    def _may_repeat(self) -> bool:
        """Tells whether the next attempt may be followed by another one."""
        repeatable = self.route.repeat in ("any", "resume")
        return repeatable and self.attempts + 1 < self.route.attempts

    def _failed(
        self,
        upstream: member_messages.Registration,
        error: errors.MintcleatError,
    ) -> None:
        if error.outcome == errors.NOT_RUN:
            self.attempts -= 1
        self._note(upstream, evidence.of_error(error))
        self.means.events.emit(
            event_types.AttemptFailed(
                self.call.request,
                upstream.upstream,
                self.offers,
                error.kind,
                error.detail,
                error.outcome,
                round(self.now - self.sent_at, 4),
                self.answer.last_event,
            )
        )

    def _check_repeat(self, error: errors.MintcleatError) -> None:
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
        if self.answer.begun and not (repeat == "resume" and self.route.stream):
            raise errors.StreamClosed("The answer broke off.") from error
        if repeat == "never" or self.attempts >= self.route.attempts:
            raise errors.OutcomeUnknown(
                f"The request may have run: {error.detail}"
            ) from error

    def _late(self) -> errors.MintcleatError:
        if self.answer.begun:
            return errors.StreamClosed("The request's time is over.")
        if self.attempts:
            return errors.OutcomeUnknown("No answer came in time.")
        return errors.DeadlineUnmet(
            "The request's time was over before it could be sent.",
            retry_after=RETRY_SECONDS,
        )

    # --- What is told ---------------------------------------------------------

    def _tell_taken(self) -> None:
        configuration = self.means.configuration
        program = self.call.program
        self.means.events.emit(
            event_types.CallTaken(
                self.call.request,
                self.match.name,
                self.service_name,
                program.program,
                program.session,
                program.previous,
                round(self.until - self.began, 3),
                configuration.revision(),
                round(configuration.lease_left(), 3),
                configuration.registered.version,
                self.call.customer,
            )
        )

    def _tell_gone(self) -> None:
        self.means.events.emit(
            event_types.CallerGone(
                self.call.request,
                self.match.name,
                self.call.program.program,
                self.answer.upstream_name,
                round(self.now - self.began, 4),
            )
        )

    def _tell_ended(self, outcome: str) -> None:
        answer = self.answer
        self.means.events.emit(
            event_types.CallEnded(
                self.call.request,
                self.match.name,
                self.call.program.program,
                answer.upstream_name,
                answer.status,
                outcome,
                self.offers,
                round(max(0.0, answer.first - self.began), 4),
                round(answer.gap, 4),
                round(self.now - self.began, 4),
                answer.tokens,
            )
        )
