"""The attempts of one routed request at upstreams.

Whether a failed attempt may be retried depends on the route alone. If the
upstream states that it did not run the request, any request may be retried;
otherwise only one whose route allows repeating or resuming.
"""

import functools
from typing import NamedTuple

import eventlet

from mintcleat.decisions import engine_memory
from mintcleat.decisions import evidence
from mintcleat.decisions import routes
from mintcleat.decisions import stream_moves
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding
from mintcleat.roles.entry import crash_watch
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import late_upstreams
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_continuation
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import run_events
from mintcleat.roles.entry import running_stream
from mintcleat.roles.entry import stream_move
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


class _Target(NamedTuple):
    """Where a request is sent next.

    Attributes:
        placement: How the upstream was chosen; None for a moved run.
        copy: Memory from which the upstream continues the run; None to begin
            a new one.
    """

    upstream: member_messages.Registration
    placement: upstream_loads.Placement | None
    copy: routed_calls.Copy | None


class RunAttempts:
    """Sends one request to upstreams until one has answered it completely.

    Attributes:
        attempts: Number of upstreams that may have run it.
        offers: Number of upstreams that it was sent to.
        tried: Incarnations of the upstreams that it was sent to.
        candidates: Number of upstreams that the last attempt could go to.
        sent_at: Monotonic time at which the last attempt began.
        is_sent: Whether the last attempt sent it.
        attempt_limit: Timeout of the last attempt, from its sending on.
        late: Upstreams that were late before it was sent to them.
        tokens: Tokens that the request holds in memory.
        moves: Number of moves that were begun.
        digest: Digest that all repetitions of the request share.
        object_digest: Digest that all requests for its object share.
        crashes: Number of upstreams that crashed under it; one more if a crash
            spoke against it before.
        crashed: Incarnation of the last of them; empty for none.
        continuation: Where its stream continues after it was stopped.
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
        self.is_sent = False
        self.attempt_limit = eventlet.Timeout(None, AttemptTimeout())
        self.late = late_upstreams.LateUpstreams(context.loads, deadline)
        self.tokens = engine_memory.TurnTokens()
        self.moves = 0
        self.digest = events.digest
        self.object_digest = events.object_digest
        self.crashes = int(context.crashes.is_suspect(self.digest))
        self.crashed = ""
        self.continuation = run_continuation.RunContinuation(
            call.request, relay, events
        )

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
        try:
            while not self._run_once(self._next_target(), reply):
                pass
        finally:
            self.continuation.cancel()

    def check_quarantine(self) -> None:
        """Returns if the request may be sent to an upstream.

        Raises:
            errors.MintcleatError: Upstreams crash under it.
        """
        watch = self.context.crashes
        digest, what = self.digest, "this request"
        if watch.is_quarantined(self.object_digest):
            digest, what = self.object_digest, "requests for this object"
        elif (
            not watch.is_quarantined(digest)
            and self.crashes < crash_watch.MAX_CRASHES
        ):
            return
        if self.attempts or self.relay.head_sent:
            raise self._none_left_error("upstreams crashed while they ran it.")
        raise errors.Quarantined(
            f"Upstreams crashed while they ran {what} ({digest.hex()}).",
            retry_after=watch.retry_after(digest),
        )

    def fits_stop(self) -> bool:
        """Returns whether a run can end before this process does."""
        stop = self.context.stop
        expected = stop.answer_times.expected(
            self.service_name, self.route.target_latency
        )
        return stop.times.allow(
            self.now, self.deadline.began, self.deadline.latest, expected
        )

    def check_stop(self) -> None:
        """Returns if a run can end before this process does.

        Raises:
            errors.MintcleatError: It can't.
        """
        if self.fits_stop():
            return
        if self.attempts or self.relay.head_sent:
            raise self._none_left_error(
                "this entry ends before another attempt could."
            )
        raise self.context.stop.error()

    def check_version(self) -> None:
        """Returns if an upstream can continue the stream that is taken up.

        Raises:
            errors.NoUpstream: None has the version that began it.
        """
        if not self.context.loads.can_continue(
            self.service_name, self.relay.origin
        ):
            raise self._no_upstream_error()

    def _no_upstream_error(self) -> errors.NoUpstream:
        return errors.NoUpstream(
            f"No upstream of service {self._software()} takes new work.",
            retry_after=RETRY_SECONDS,
        )

    def _next_target(self) -> _Target:
        """Returns where the request is sent next."""
        self.check_quarantine()
        while self.continuation.copies:
            upstream, copy = self.continuation.copies.pop(0)
            if self._may_continue_at(upstream):
                return _Target(upstream, None, copy)
        self.check_stop()
        placement = self._place()
        return _Target(placement.upstream, placement, None)

    def _may_continue_at(self, upstream: member_messages.Registration) -> bool:
        """Returns whether an upstream with a copy still has the software."""
        origin = self.relay.origin
        known = self.context.loads.known.get(upstream.incarnation, upstream)
        return origin is None or origin.allows(known.service, known.version)

    def _software(self) -> str:
        """Returns the service that the request needs, with its version."""
        origin = self.relay.origin
        if origin is None:
            return repr(self.service_name)
        return f"{self.service_name!r} in version {origin.origin.version!r}"

    def _run_once(
        self, target: _Target, reply: forwarding.CallerResponse
    ) -> bool:
        """Makes one attempt; returns whether the response is complete."""
        upstream = target.upstream
        if target.copy is None:
            self.offers += 1
        self.tried.add(upstream.incarnation)
        self.sent_at = self.now
        self.is_sent = False
        silence_timeout = self.silence_timeout
        loads = self.context.loads
        watch = self.context.crashes
        loads.began(
            upstream.incarnation,
            self.call.request,
            silence_timeout,
            target.placement,
        )
        watch.began(upstream.incarnation, self._sent())
        try:
            move = self._attempt(target, reply)
        except errors.MintcleatError as error:
            self._handle_failure(target, error)
            return False
        except BaseException:
            # The caller disconnected, or the request timed out.
            silent = self.now - max(self.sent_at, self.relay.last_active_at)
            complete = self.relay.complete
            self._record_evidence(
                upstream,
                evidence.of_cancellation(complete, silent, silence_timeout),
            )
            raise
        finally:
            loads.ended(upstream.incarnation, self.call.request)
            watch.ended(upstream.incarnation, self.call.request)
        if move is not None:
            self.continuation.begin_move(move)
            return False
        silent = self.relay.first_at - self.sent_at
        is_proven = self.relay.end is not None and self.relay.end.is_proven
        self._record_evidence(
            upstream,
            evidence.of_answer(
                self.relay.status, silent, silence_timeout, is_proven
            ),
        )
        self.context.attempt_timeouts.answered(self.service_name)
        self.context.stop.answer_times.observe(
            self.service_name, self.now - self.sent_at
        )
        if is_proven:
            watch.answered(
                upstream.incarnation, self.digest, self.object_digest
            )
        return True

    def _handle_failure(
        self, target: _Target, error: errors.MintcleatError
    ) -> None:
        """Returns if the request is to be sent again after a failed attempt.

        Raises:
            errors.MintcleatError: The error for the caller.
        """
        self._attempt_failed(target, error)
        self._watch_crash(target, error)
        if self.continuation.copies and (
            target.copy is None or error.outcome == errors.NOT_RUN
        ):
            # The run continues from its memory, or from the next copy of it.
            return
        if target.copy is not None:
            error = self.continuation.failed(error)
        self._check_retry(error)
        self.continuation.expect_resume(target.upstream, error)
        if self.deadline.is_refusable():
            raise self.timeout_error() from error

    def _sent(self) -> crash_watch.Sent:
        """Returns the attempt as it was last sent."""
        return crash_watch.Sent(
            self.call.request,
            self.digest,
            self.events.match.name,
            self.call.customer,
            self.sent_at,
            self.crashed,
            self.object_digest,
        )

    def _watch_crash(
        self, target: _Target, error: errors.MintcleatError
    ) -> None:
        """Counts a failed attempt whose upstream has crashed under it."""
        if not isinstance(error, errors.StreamClosed):
            return
        upstream = target.upstream
        if self.context.crashes.connection_lost(upstream, self._sent()):
            self.crashes += 1
            self.crashed = upstream.incarnation

    def timeout_error(self) -> errors.MintcleatError:
        """Returns the error of a request whose time has passed."""
        stop = self.context.stop
        limit = (
            "this entry's planned stop" if stop.is_over() else "the deadline"
        )
        if self.relay.head_sent:
            return errors.StreamClosed(
                f"The response had not ended by {limit}."
            )
        if self.attempts:
            return errors.OutcomeUnknown(f"No upstream answered by {limit}.")
        if not self.fits_stop():
            return stop.error()
        return errors.DeadlineUnmet(
            "The deadline passed before the request could be sent.",
            retry_after=RETRY_SECONDS,
        )

    def _record_evidence(
        self,
        upstream: member_messages.Registration,
        verdict: evidence.Evidence,
    ) -> None:
        """Records what an attempt's end tells about its upstream."""
        match verdict:
            case evidence.Evidence.FAILURE:
                self.context.loads.failed(upstream)
            case evidence.Evidence.SUCCESS:
                self.context.loads.answered(upstream.incarnation, self.sent_at)

    def _place(self) -> upstream_loads.Placement:
        """Chooses the upstream of the next attempt."""
        turn = self.relay.turn
        loads = self.context.loads
        request = upstream_loads.PlacementRequest(
            self.call,
            turn.hint if turn else "",
            "" if turn else self.call.affinity,
            self._may_retry(),
            self.service.memory_tokens,
            self.relay.origin,
        )
        found = None
        avoided = self.context.crashes.avoided(self.digest)
        if avoided:
            found = loads.choose(
                self.service_name, self.tried | avoided, request
            )
        if found is None:
            found = loads.choose(self.service_name, self.tried, request)
        if found is None:
            late = self.late.take_back()
            if late:
                self.tried -= late
                return self._place()
            if self.tried or self.attempts:
                raise self._none_left_error(
                    f"No upstream of service {self._software()} is left; "
                    f"{len(self.tried)} failed or refused the request."
                )
            raise self._no_upstream_error()
        self.candidates = found.candidates
        self.events.placed(found, self.offers + 1)
        return found

    def _attempt(
        self, target: _Target, reply: forwarding.CallerResponse
    ) -> stream_move.StreamMove | None:
        """Sends the request and relays the response.

        Returns:
            The move that has stopped the run; None if the response is complete.
        """
        upstream = target.upstream
        turn = self.relay.turn
        self.relay.begin_attempt(upstream)
        backup = None
        if target.copy is None:
            backup = self.context.backups.choose(
                self.call,
                self.route,
                self.service_name,
                self.service,
                turn,
                self.tried,
                upstream,
            )
        answer = self._send(
            upstream,
            routed_calls.UpstreamRequest(
                turn.body() if turn else (self.call.body,),
                self.relay.last_event_id,
                min(MAX_URGENCY, BASE_URGENCY + self.priority),
                self.late.times(upstream, self._has_alternative(target)),
                functools.partial(self._before_sending, target),
                target.copy,
                backup.address if backup else "",
                self.route.stream,
                self._may_retry(),
            ),
        )
        self.context.crashes.responded(upstream, self.sent_at)
        self.context.loads.hanging.answered(upstream.incarnation)
        if target.copy is not None:
            self.continuation.accepted()
        if target.placement is not None:
            self.tokens = target.placement.turn
        stream = self._stream(upstream, answer)
        stream.backup = backup
        if target.copy is not None:
            stream.next_move_at = self.now + stream_moves.RETRY_SECONDS
        return self._relay(stream, reply)

    def _has_alternative(self, target: _Target) -> bool:
        """Returns whether the request can go on without a late upstream."""
        if target.copy is None:
            return self.offers < MAX_OFFERS and self.context.loads.has_any(
                self.service_name, self.tried, self.relay.origin
            )
        # Without its copied memory, a run can only be resumed.
        return bool(self.continuation.copies) or (
            self.route.repeat == "resume"
            and self.attempts < self.route.attempts
        )

    def _before_sending(self, target: _Target) -> float:
        """Returns the seconds left for a request, which counts as sent then.

        Connecting and the upstream's report took time, and so did a pause of
        this process.

        Raises:
            errors.MintcleatError: This entry ends before the request could, or
                its deadline has passed meanwhile.
        """
        if target.copy is None:
            if not self.fits_stop():
                raise self.context.stop.error()
            if self.deadline.is_refusable():
                raise errors.DeadlineUnmet(
                    "The deadline passed before the request could be sent."
                )
        self.attempt_limit = eventlet.Timeout(
            self._attempt_seconds(target), AttemptTimeout()
        )
        self.attempts += target.copy is None
        self.is_sent = True
        self.deadline.limit_response()
        return max(0.0, self.deadline.left)

    def _stream(
        self,
        upstream: member_messages.Registration,
        answer: forwarding.UpstreamResponse,
    ) -> running_stream.RunningStream:
        """Returns the stream that an attempt relays."""
        return running_stream.RunningStream(
            self.call,
            self.route,
            self.service_name,
            self.service,
            upstream,
            self.tokens,
            answer,
            self.relay,
            self.deadline,
            self.tried,
            self.attempts,
            self.moves,
            self.silence_timeout,
        )

    def _relay(
        self,
        stream: running_stream.RunningStream,
        reply: forwarding.CallerResponse,
    ) -> stream_move.StreamMove | None:
        """Relays a response; see `_attempt`."""
        streams = self.context.streams
        answer = stream.answer
        move = None
        try:
            self.context.loads.arrived(stream.upstream.incarnation)
            if answer.head.events:
                streams.add(stream)
            self.relay.confirm_end = functools.partial(
                self._confirm_end, stream
            )
            repeat = self.route.repeat == "any"
            left = self.attempts < self.route.attempts
            self.relay.relay(answer, reply, self.sent_at, repeat and left)
        except errors.StreamClosed as error:
            if stream.silent_for:
                raise errors.StreamTimeout(
                    f"Upstream {stream.upstream.upstream} sent nothing for "
                    f"{stream.silent_for:.2f} s within the stream."
                ) from error
            if not self.relay.fits_copy:
                raise
            move = stream.stopped()
            if move is None:
                self.continuation.use_backup(stream)
                raise
        finally:
            streams.remove(stream)
            answer.close()
            self.moves = stream.moves
            if stream.move is not None and move is None:
                stream.move.cancel()
        return move

    def _confirm_end(
        self, stream: running_stream.RunningStream, end: answer_ends.AnswerEnd
    ) -> answer_ends.AnswerEnd:
        """Returns how an answer ended that seems whole."""
        return self.context.ends.confirm(
            stream.upstream,
            stream.confirm_end(end),
            stream.answer.head.events,
        )

    def _send(
        self,
        upstream: member_messages.Registration,
        request: routed_calls.UpstreamRequest,
    ) -> forwarding.UpstreamResponse:
        """Sends the request; returns once the head of the response is there.

        Raises:
            errors.StreamTimeout: The attempt timed out.
        """
        try:
            return self.context.upstreams.send(upstream, self.call, request)
        except AttemptTimeout:
            self.context.attempt_timeouts.expired(
                self.service_name, self.attempts
            )
            raise errors.StreamTimeout(
                f"Upstream {upstream.upstream} sent nothing for "
                f"{self.attempt_limit.seconds:g} s."
            ) from None
        finally:
            self.attempt_limit.cancel()

    def _attempt_seconds(self, target: _Target) -> float | None:
        """Returns the time for an upstream's head; None for no limit."""
        if target.copy is not None:
            if self.route.repeat == "resume" and (
                self.attempts < self.route.attempts
            ):
                return self.silence_timeout
            return None
        # Giving up the only upstream would leave none for another attempt.
        if self.candidates <= 1:
            return None
        return self.context.attempt_timeouts.seconds(
            self.route,
            self.service_name,
            self.attempts,
            self.silence_timeout,
            self.deadline.left,
        )

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

    def _may_retry(self) -> bool:
        """Returns whether another attempt may follow the next one."""
        repeatable = self.route.repeat in ("any", "resume")
        return repeatable and self.attempts + 1 < self.route.attempts

    def _attempt_failed(
        self, target: _Target, error: errors.MintcleatError
    ) -> None:
        """Records and reports a failed attempt."""
        upstream = target.upstream
        if (
            error.outcome == errors.NOT_RUN
            and target.copy is None
            and self.is_sent
        ):
            self.attempts -= 1
        self.late.failed(upstream, error, self.sent_at)
        self._record_evidence(upstream, evidence.of_error(error))
        self.events.attempt_failed(
            upstream,
            self.offers,
            error,
            self.sent_at,
            self.relay,
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
            repeat == "resume" and self.route.stream and self.relay.can_continue
        ):
            raise errors.StreamClosed(
                f"The response broke off after it had begun: {error.detail}"
            ) from error
        if repeat == "never" or self.attempts >= self.route.attempts:
            raise errors.OutcomeUnknown(
                f"The request may have run: {error.detail}"
            ) from error
