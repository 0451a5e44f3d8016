"""Runs one routed request: opens its turn, makes attempts, settles the turn."""

import functools

from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins
from mintcleat.ports import forwarding
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_attempts
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import run_events
from mintcleat.roles.entry import run_turn


class RoutedRun:
    """The run of one request.

    Attributes:
        deadline: Limit of its time.
        relay: Relay of the responses to the caller.
        events: Reports its course.
        turn: Its turn.
        attempts: Its attempts at upstreams.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        began: float,
        priority: int | None = None,
    ) -> None:
        """Initializes the run of a request.

        Args:
            context: Dependencies of all requests.
            call: The request.
            match: Its route.
            service_name: Service that runs it.
            service: That service's settings.
            began: Monotonic time of its arrival, in seconds.
            priority: Priority of the customer, 0 is the most urgent; None for
                that of the route.
        """
        self.context = context
        self.call = call
        self.match = match
        self.service_name = service_name
        if priority is None:
            priority = match.route.priority
        limit = match.route.timeout
        if call.deadline:
            limit = min(limit, call.deadline)
        self.deadline = run_deadline.RunDeadline(context.timers, began, limit)
        self.relay = response_relay.ResponseRelay(
            match.route,
            service,
            context.loads,
            context.turns,
            context.timers,
            call.request,
            call.last_event,
            call.generation.max_tokens,
            context.memory,
            context.fair_turns,
            context.stream_ids,
        )
        self.events = run_events.RunEvents(
            context, call, match, service_name, self.deadline
        )
        self.turn = run_turn.RunTurn(
            context,
            call,
            match,
            service_name,
            service,
            priority,
            self.deadline,
        )
        self.attempts = run_attempts.RunAttempts(
            context,
            call,
            match,
            service_name,
            service,
            priority,
            self.deadline,
            self.relay,
            self.events,
        )

    def _open_new(self) -> None:
        """Opens the turn of a request that continues no stream.

        Its stream is bound to a version by the record that the turn's opening
        commits, or else by its first event, which is recorded then.

        Raises:
            errors.MintcleatError: The request is refused.
        """
        origins = self.context.origins
        route = self.match.route
        planned = origins.planned(self.call, route, self.service_name)
        self.relay.turn = self.turn.open(planned)
        if self.relay.turn is not None and planned is not None:
            self.relay.origin = stream_origins.KnownOrigin(
                planned.origin, stream_origins.Source.OWN
            )
        else:
            self.relay.on_begun = functools.partial(
                origins.begun, self.call, route
            )

    def _open_continued(self) -> None:
        """Opens the turn of a request that takes up its caller's stream.

        Raises:
            errors.MintcleatError: The request is refused, as no upstream has
                the version that began the stream, or nobody knows which did;
                or its turn is kept, and would lack the events before.
        """
        if self.match.route.retention:
            raise errors.UnknownStream(
                f"Route {self.match.name!r} retains turns, and a turn can't be "
                "recorded without the events before "
                f"{self.call.last_event!r}."
            )
        origins = self.context.origins
        route = self.match.route
        found = origins.find(self.call, route, self.service_name)
        self.relay.origin = found
        self._use_service_of(found)
        self.attempts.check_version()
        stream = origins.continued(self.call, route, found)
        self.relay.turn = self.turn.open(stream)
        self.relay.on_begun = self._record_take_up

    def _record_take_up(self, origin: stream_origins.StreamOrigin) -> None:
        """Records a stream that goes on, under the ids that may name it."""
        origins = self.context.origins
        origins.went_on(self.call, self.match.route, origin)
        if self.relay.turn is None:
            origins.begun(self.call, self.match.route, origin)

    def _use_service_of(self, known: stream_origins.KnownOrigin) -> None:
        """Has the run use the service that began its stream.

        Raises:
            errors.UnknownStream: The service has been removed meanwhile.
        """
        name = known.origin.service
        if name == self.service_name:
            return
        service = self.context.configuration.manifest().services.get(name)
        if service is None:
            raise errors.UnknownStream(
                f"The stream began at service {name!r}, which has been removed."
            )
        self.service_name = self.events.service_name = name
        self.relay.service = service
        for part in (self.turn, self.attempts):
            part.service_name, part.service = name, service

    def has_begun(self) -> bool:
        """Returns whether the caller has the beginning of the response."""
        return self.relay.head_sent

    def waits_in_vain(self) -> bool:
        """Returns whether it has yet to be sent and no run fits any more."""
        return not self.attempts.attempts and not self.attempts.fits_stop()

    def end(self) -> None:
        """Ends the run with its last answer, as the process ends."""
        self.deadline.expire()

    def serve(self, reply: forwarding.CallerResponse) -> None:
        """Serves the request within its deadline.

        Raises:
            errors.MintcleatError: The request was refused or failed.
        """
        self.events.received()
        outcome = "cut"
        runs = self.context.stop.runs
        relay = self.relay
        attempts = self.attempts
        try:
            self.deadline.limit_wait()
            runs.add(self)
            attempts.check_quarantine()
            attempts.check_stop()
            if self.match.route.stream and self.call.last_event:
                self._open_continued()
            else:
                self._open_new()
            attempts.run(reply)
            outcome = "whole"
        except run_deadline.RequestTimeout:
            raise attempts.timeout_error() from None
        except errors.MintcleatError:
            raise
        except BaseException:
            self.events.caller_gone(relay.upstream_name)
            raise
        finally:
            self.deadline.cancel()
            runs.discard(self)
            relay.release()
            self.turn.settle(relay, bool(attempts.attempts))
            if relay.head_sent:
                self.events.ended(relay, outcome, attempts.offers)
