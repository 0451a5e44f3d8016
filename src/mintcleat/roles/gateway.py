"""The entry's way of a routed request: route, turn, upstream, answer.

One `RoutedRun` carries one request. What may be sent again follows from the
route alone: after an upstream's own word that it did not run the request, any
request; after anything else, only one that may repeat or resume.
"""

import math
from typing import Protocol

import eventlet

from mintcleat.configuration import directory as directory_module
from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import messages
from mintcleat.domain import routed
from mintcleat.domain import server_events
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles import turn_keeper
from mintcleat.roles import upstream_loads

# Upstreams that one request is offered to when each says that it does not
# run it. More would only carry an overload from one to the next.
MAX_OFFERS = 4
# What was not sent to an upstream by then never will be in time; the caller is
# told while it still listens.
REFUSAL_MARGIN = 0.05
# What an upstream is at is waited for a little beyond its time: the upstream's
# own answer, or the last pieces of a stream, may be on their way, and the
# caller knows best when it has waited long enough.
LATE_SECONDS = 0.15
# A caller that hears of a lost quorum, or of no upstream, comes back after
# about the time that a failover or a restart takes.
RETRY_SECONDS = 0.5
RAN_STATUS = 500
# A program of a route that keeps no turns keeps its budget for so long.
BUDGET_SECONDS = 60.0
# Urgency of the most urgent routes; 5 is what an upstream takes for a request
# that says nothing.
FIRST_URGENCY = 4


class LimitReached(BaseException):
    """The request's time is over; no handler on the way may go on."""


class Configuration(directory_port.Directory, Protocol):
    """The configuration as the gateway reads it.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory_module.Directory

    def lease_left(self) -> float:
        """Returns the seconds left of the lease on the configuration."""


class Gateway:
    """Serves routed requests.

    Attributes:
        draining: Set when the process takes no new work.
    """

    def __init__(
        self,
        configuration: Configuration,
        upstreams: forwarding.Upstreams,
        turns: turn_keeper.TurnKeeper,
        timers: timer_ports.Timers,
        events: event_ports.Events,
    ) -> None:
        self.configuration = configuration
        self.upstreams = upstreams
        self.turns = turns
        self.timers = timers
        self.events = events
        self.loads = upstream_loads.UpstreamLoads(
            configuration, timers, events, upstreams.forget
        )
        self.table = routes.Table({})
        self.table_of: manifest.Manifest | None = None
        self.draining = False

    def ready(self) -> bool:
        """Tells whether requests can be served here."""
        return not self.draining and self.configuration.revision() > 0

    def limits(self) -> manifest.Limits:
        """Returns what callers may send."""
        return self.configuration.manifest().limits

    def handle(self, call: routed.RoutedCall, reply: forwarding.Reply) -> None:
        """Answers a request.

        Raises:
            errors.MintcleatError: The refusal; nothing was sent to the caller
                unless it is a StreamClosed.
        """
        began = self.timers.now()
        run: RoutedRun | None = None
        try:
            run = self._route(call, began)
            run.serve(reply)
        except errors.MintcleatError as error:
            name = run.match.name if run else ""
            self._tell_refusal(call, name, error, began)
            raise

    def _route(self, call: routed.RoutedCall, began: float) -> "RoutedRun":
        configuration = self.configuration
        if not configuration.revision():
            raise errors.ControlUnavailable(
                "This entry knows no configuration yet.",
                retry_after=RETRY_SECONDS,
            )
        current = configuration.manifest()
        if current is not self.table_of:
            self.table = routes.Table(current.routes)
            self.table_of = current
        match = self.table.find(call.host, call.path)
        if match is None:
            if not configuration.in_lease():
                # A route that was added since can't be told from none.
                raise errors.LeaseExpired(
                    "No route is known, and the configuration may be old.",
                    retry_after=RETRY_SECONDS,
                )
            raise errors.UnknownRoute(f"No route for {call.host}{call.path}.")
        key = call.program.program or call.affinity or call.request
        name = routes.service_of(match.route, key)
        service = current.services[name]
        return RoutedRun(self, call, match, name, service, began)

    def _tell_refusal(
        self,
        call: routed.RoutedCall,
        route: str,
        error: errors.MintcleatError,
        began: float,
    ) -> None:
        self.events.emit(
            event_types.CallRefused(
                call.request,
                route,
                call.program.program,
                error.kind,
                error.detail,
                error.outcome,
                error.retry_after,
                round(self.timers.now() - began, 4),
            )
        )


class RoutedRun:
    """One request on its way.

    Attributes:
        until: Clock at which its caller must have the answer.
        attempts: Upstreams that may have run it.
        offers: Upstreams that it was sent to at all.
        tokens: Tokens handed to the caller.
        last_event: Id of the last event passed on.
        answered: Whether the head of an answer was passed on.
        kept: Whether the turn is on record with its content.
    """

    def __init__(
        self,
        gateway: Gateway,
        call: routed.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        began: float,
    ) -> None:
        self.gateway = gateway
        self.call = call
        self.match = match
        self.route = match.route
        self.service_name = service_name
        self.service = service
        self.began = began
        limit = self.route.timeout
        if call.deadline:
            limit = min(limit, call.deadline)
        self.until = began + limit
        self.timeout: eventlet.Timeout | None = None
        self.turn: turn_keeper.OpenedTurn | None = None
        self.attempts = 0
        self.offers = 0
        self.tried: set[str] = set()
        self.tokens = 0
        self.last_event = call.last_event
        self.answered = False
        self.kept = False
        self.first = 0.0
        self.gap = 0.0
        self.piece_at = 0.0
        self.sent_at = 0.0
        self.output: list[bytes] = []
        self.upstream: messages.Registration | None = None
        self.status = 0

    @property
    def now(self) -> float:
        """The clock."""
        return self.gateway.timers.now()

    def serve(self, reply: forwarding.Reply) -> None:
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
            if self.turn is not None:
                self._settle()
            if self.answered:
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
            return
        step = max(1, self.service.tokens_per_event)
        reserve = step * math.ceil(self.call.generation.most / step)
        retention = self.route.retention or BUDGET_SECONDS
        self.turn = self.gateway.turns.open(self.call, reserve, retention)

    def _settle(self) -> None:
        """Settles what `keep` did not; a turn that was kept stays so."""
        upstream = self.upstream.upstream if self.upstream else ""
        if not self.kept:
            self.gateway.turns.settle(self.turn, self.tokens, upstream)

    # --- Attempts -------------------------------------------------------------

    def _attempt_all(self, reply: forwarding.Reply) -> None:
        while True:
            upstream = self._place()
            self.offers += 1
            self.tried.add(upstream.upstream)
            loads = self.gateway.loads
            loads.began(upstream.upstream)
            self.sent_at = self.now
            try:
                self._attempt(upstream, reply)
            except errors.MintcleatError as error:
                self._failed(upstream, error)
                self._check_repeat(error)
                if self.now >= self.until - REFUSAL_MARGIN:
                    raise self._late() from error
            else:
                loads.answered(upstream.upstream)
                return
            finally:
                loads.ended(upstream.upstream)

    def _place(self) -> messages.Registration:
        hint = self.turn.hint if self.turn else ""
        key = self.call.program.program or self.call.affinity
        found = self.gateway.loads.choose(
            self.service_name, self.tried, hint, key, self.call.request
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
        self.gateway.events.emit(
            event_types.CallPlaced(
                self.call.request,
                upstream.upstream,
                self.offers + 1,
                choice.reason,
                self.gateway.loads.running.get(upstream.upstream, 0),
                candidates,
                round(self.until - self.now, 3),
                self.gateway.configuration.registered.version,
            )
        )
        return upstream

    def _attempt(
        self, upstream: messages.Registration, reply: forwarding.Reply
    ) -> None:
        body = self.turn.body() if self.turn else self.call.body
        self._limit(self.until + LATE_SECONDS)
        self.attempts += 1
        answer = self.gateway.upstreams.send(
            upstream,
            self.call,
            routed.Sending(
                body,
                max(0.0, self.until - self.now),
                self.last_event,
                self._urgency(),
            ),
        )
        self.upstream = upstream
        try:
            self._deliver(answer, reply)
        finally:
            answer.close()

    def _urgency(self) -> int:
        return min(9, FIRST_URGENCY + self.route.priority)

    def _failed(
        self,
        upstream: messages.Registration,
        error: errors.MintcleatError,
    ) -> None:
        if error.outcome == errors.NOT_RUN:
            self.attempts -= 1
        busy = isinstance(error, errors.UpstreamBusy)
        if not busy:
            self.gateway.loads.failed(upstream)
        self.gateway.events.emit(
            event_types.AttemptFailed(
                self.call.request,
                upstream.upstream,
                self.offers,
                error.kind,
                error.detail,
                error.outcome,
                round(self.now - self.sent_at, 4),
                self.last_event,
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
        if self.answered and not (repeat == "resume" and self.route.stream):
            raise errors.StreamClosed("The answer broke off.") from error
        if repeat == "never" or self.attempts >= self.route.attempts:
            raise errors.OutcomeUnknown(
                f"The request may have run: {error.detail}"
            ) from error

    # --- The answer -----------------------------------------------------------

    def _deliver(
        self, answer: forwarding.Answer, reply: forwarding.Reply
    ) -> None:
        head = answer.head
        if head.events:
            self._deliver_events(answer, reply)
            return
        body = answer.body()
        self.status = head.status
        may_repeat = (
            head.status >= RAN_STATUS
            and self.route.repeat == "any"
            and self.attempts < self.route.attempts
        )
        if may_repeat:
            raise errors.UpstreamFailed(f"The upstream said {head.status}.")
        if self.answered:
            raise errors.UpstreamFailed("The stream did not go on.")
        self.first = self.now
        if head.status < RAN_STATUS:
            self.gateway.loads.observe(
                self.upstream.upstream, self.now - self.sent_at
            )
        self.answered = True
        reply.whole(head, body)

    def _deliver_events(
        self, answer: forwarding.Answer, reply: forwarding.Reply
    ) -> None:
        if not self.answered:
            self.status = answer.head.status
            self.answered = True
            reply.begin(answer.head)
        buffer = server_events.EventBuffer()
        for data in answer.pieces():
            for event in buffer.feed(data):
                self._pass_on(event, reply)
        if buffer.rest:
            reply.write(buffer.rest)
        self._keep_turn()
        reply.end()

    def _pass_on(
        self, event: server_events.Event, reply: forwarding.Reply
    ) -> None:
        now = self.now
        if self.piece_at:
            self.gap = max(self.gap, now - self.piece_at)
            loads = self.gateway.loads
            loads.observe(self.upstream.upstream, now - self.piece_at)
        else:
            self.first = now
        self.piece_at = now
        self.tokens += self.service.tokens_per_event
        self.last_event = event.id or self.last_event
        if self.route.retention:
            self.output.append(event.data)
        reply.write(event.raw)

    def _keep_turn(self) -> None:
        """Commits the turn before its answer ends; a later turn may follow."""
        if self.turn is None or not self.route.retention:
            return
        output = b"".join(data + b"\n" for data in self.output)
        try:
            self.gateway.turns.keep(
                self.turn, self.tokens, self.upstream.upstream, output
            )
        except errors.MintcleatError as error:
            raise errors.UpstreamFailed(
                f"The turn could not be recorded: {error.detail}"
            ) from error
        self.kept = True

    def _late(self) -> errors.MintcleatError:
        if self.answered:
            return errors.StreamClosed("The request's time is over.")
        if self.attempts:
            return errors.OutcomeUnknown("No answer came in time.")
        return errors.DeadlineUnmet(
            "The request's time was over before it could be sent.",
            retry_after=RETRY_SECONDS,
        )

    # --- What is told ---------------------------------------------------------

    def _tell_taken(self) -> None:
        configuration = self.gateway.configuration
        program = self.call.program
        self.gateway.events.emit(
            event_types.CallTaken(
                self.call.request,
                self.match.name,
                self.service_name,
                program.program,
                program.line,
                program.previous,
                round(self.until - self.began, 3),
                configuration.revision(),
                round(configuration.lease_left(), 3),
                configuration.registered.version,
            )
        )

    def _tell_gone(self) -> None:
        self.gateway.events.emit(
            event_types.CallerGone(
                self.call.request,
                self.match.name,
                self.call.program.program,
                self.upstream.upstream if self.upstream else "",
                round(self.now - self.began, 4),
            )
        )

    def _tell_ended(self, outcome: str) -> None:
        self.gateway.events.emit(
            event_types.CallEnded(
                self.call.request,
                self.match.name,
                self.call.program.program,
                self.upstream.upstream if self.upstream else "",
                self.status,
                outcome,
                self.offers,
                round(max(0.0, self.first - self.began), 4),
                round(self.gap, 4),
                round(self.now - self.began, 4),
                self.tokens,
            )
        )
