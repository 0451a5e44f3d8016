"""The attempts of one routed request at upstreams.

Whether a failed attempt may be retried depends on the route alone. If the
upstream states that it did not run the request, any request may be retried;
otherwise only one whose route allows repeating or resuming.
"""

import eventlet

from mintcleat.decisions import evidence
from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import run_events
from mintcleat.roles.entry import stream_watch
from mintcleat.roles.entry import upstream_loads

# Upstreams to which one request is sent if each refuses to run it. More would
# only spread an overload from one upstream to the next.
MAX_OFFERS = 4
# Retry delay for callers after a lost quorum or without an upstream: about the
# duration of a failover or a restart.
RETRY_SECONDS = 0.5
# Urgency sent to upstreams for priority 0, the most urgent, and its maximum. An
# upstream assumes 5 for a request without one.
BASE_URGENCY = 4
MAX_URGENCY = 9
# Silence after which an upstream counts as silent, as a multiple of the route's
# target latency. A loaded engine takes up to twice that latency.
SILENCE_FACTOR = 2.0


class AttemptTimeout(BaseException):
    """An attempt timed out; another upstream may run the request.

    Derived from BaseException so that no error handler on the way catches it.
    """


class RunAttempts:
    """Sends one request to upstreams until one has answered it completely.

    Attributes:
        attempts: Number of upstreams that may have run it.
        offers: Number of upstreams that it was sent to.
        tried: Incarnations of the upstreams that it was sent to.
        candidates: Number of upstreams that the last attempt could go to.
        sent_at: Monotonic time at which it was last sent to an upstream.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        priority: int,
        deadline: run_deadline.RunDeadline,
        relay: response_relay.ResponseRelay,
        events: run_events.RunEvents,
    ) -> None:
        self.context = context
        self.call = call
        self.route = match.route
        self.service_name = service_name
        self.service = service
        self.priority = priority
        self.deadline = deadline
        self.relay = relay
        self.events = events
        self.attempts = 0
        self.offers = 0
        self.tried: set[str] = set()
        self.candidates = 0
        self.sent_at = 0.0

    @property
    def now(self) -> float:
        """The current time."""
        return self.context.timers.now()

    @property
    def silence_timeout(self) -> float:
        """Seconds of silence that are normal for the route."""
        return SILENCE_FACTOR * self.route.target_latency

    def run(self, reply: forwarding.CallerResponse) -> None:
        """Makes attempts until the caller has a complete response.

        Raises:
            errors.MintcleatError: The error for the caller.
        """
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
                self._attempt(placement, reply)
            except errors.MintcleatError as error:
                self._attempt_failed(upstream, error)
                self._check_retry(error)
                self._expect_continuation(upstream, error)
                if self.deadline.is_refusable():
                    raise self.timeout_error() from error
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

    def timeout_error(self) -> errors.MintcleatError:
        """Returns the error of a request whose deadline has passed."""
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
                raise errors.Overloaded(
                    f"No upstream of service {self.service_name!r} is left; "
                    f"{len(self.tried)} failed or refused the request.",
                    retry_after=RETRY_SECONDS,
                )
            raise errors.NoUpstream(
                f"No upstream of service {self.service_name!r} takes new work.",
                retry_after=RETRY_SECONDS,
            )
        self.candidates = found.candidates
        self.events.placed(found, self.offers + 1)
        return found

    def _attempt(
        self,
        placement: upstream_loads.Placement,
        reply: forwarding.CallerResponse,
    ) -> None:
        upstream = placement.upstream
        turn = self.relay.turn
        body = turn.body() if turn else self.call.body
        self.deadline.limit_response()
        self.attempts += 1
        self.relay.upstream = upstream
        answer = self._send(
            upstream,
            routed_calls.UpstreamRequest(
                body,
                max(0.0, self.deadline.left),
                self.relay.last_event_id,
                min(MAX_URGENCY, BASE_URGENCY + self.priority),
            ),
        )
        stream = stream_watch.RunningStream(
            self.route,
            self.service_name,
            placement,
            answer,
            self.relay,
            self.deadline,
            self.tried,
            self.attempts,
            self.silence_timeout,
        )
        streams = self.context.streams
        try:
            self.context.loads.arrived(upstream.incarnation)
            if answer.head.events:
                streams.add(stream)
            repeat = self.route.repeat == "any"
            left = self.attempts < self.route.attempts
            self.relay.relay(answer, reply, self.sent_at, repeat and left)
        except errors.StreamClosed as error:
            if stream.silent_for:
                raise errors.StreamTimeout(
                    f"Upstream {upstream.upstream} sent nothing for "
                    f"{stream.silent_for:.2f} s within the stream."
                ) from error
            raise
        finally:
            streams.remove(stream)
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
                self.deadline.left,
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
        self.events.attempt_failed(
            upstream,
            self.offers,
            error,
            self.sent_at,
            self.relay.last_event_id,
        )

    def _expect_continuation(
        self,
        upstream: member_messages.Registration,
        error: errors.MintcleatError,
    ) -> None:
        """Has the continuation of a begun stream reported once it goes on."""
        if not self.relay.last_event_at or error.outcome == errors.NOT_RUN:
            return
        reason = "interrupted"
        if isinstance(error, errors.StreamTimeout):
            reason = "silent"
        tokens = self.relay.tokens

        def report(pause: float) -> None:
            self.relay.on_first_event = None
            self.events.continued(
                upstream.upstream,
                self.relay.upstream_name,
                reason,
                "resumed",
                pause,
                tokens,
            )

        self.relay.on_first_event = report

    def _check_retry(self, error: errors.MintcleatError) -> None:
        """Returns if another attempt may follow; else raises the final error.

        Raises:
            errors.MintcleatError: The error for the caller.
        """
        if error.outcome == errors.NOT_RUN:
            if self.offers < MAX_OFFERS:
                return
            raise errors.Overloaded(
                f"{self.offers} upstreams of service {self.service_name!r} "
                "refused the request.",
                retry_after=RETRY_SECONDS,
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
