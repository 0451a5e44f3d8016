"""Watches the running streams of an entry for upstreams to leave.

All streams are checked together every few tens of milliseconds, so that an
event of a stream costs nothing more. Nothing runs while there is no stream that
could continue elsewhere.
"""

import collections
import functools
import math

from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import load_balancing
from mintcleat.decisions import retry
from mintcleat.decisions import stream_moves
from mintcleat.decisions import stream_silence
from mintcleat.domain import events as event_types
from mintcleat.domain import member_messages
from mintcleat.domain import registrations
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import running_stream
from mintcleat.roles.entry import stream_move
from mintcleat.roles.entry import upstream_loads

# Interval of the checks. Shorter ones would find a silence or a slow upstream
# hardly earlier: both are known after several gaps of events.
CHECK_SECONDS = 0.05
# A check that is late by more than this follows a stall of this process. What
# upstreams sent meanwhile has not been read, so nothing counts as silence.
MAX_DELAY_SECONDS = 0.05
# Reasons of a move.
LEAVING = "leaving"
SLOW = "slow"


class StreamWatch:
    """The streams of one entry that may continue at another upstream.

    Attributes:
        streams: The streams, in the order in which they began.
        is_scheduled: Whether a check is due.
        checked_at: Time of the last check.
        stall_ended_at: End of the last stall of this process; silence before
            it doesn't count.
        leaving_since: When an upstream was first seen to leave, by
            incarnation; only of upstreams with streams.
        copying: Number of moves in progress, by incarnation of the source.
        move_budgets: Budget of moves, by service.
    """

    def __init__(
        self,
        configuration: directory_port.Directory,
        client: forwarding.UpstreamClient,
        loads: upstream_loads.UpstreamLoads,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        attempt_timeouts: attempt_timeout.AttemptTimeouts,
    ) -> None:
        self.configuration = configuration
        self.client = client
        self.loads = loads
        self.timers = timers
        self.events = events
        self.attempt_timeouts = attempt_timeouts
        self.streams: dict[running_stream.RunningStream, None] = {}
        self.is_scheduled = False
        self.checked_at = 0.0
        self.stall_ended_at = 0.0
        self.leaving_since: dict[str, float] = {}
        self.copying: dict[str, int] = {}
        self.move_budgets: collections.defaultdict[str, retry.Budget] = (
            collections.defaultdict(
                lambda: retry.Budget(
                    stream_moves.FRACTION, stream_moves.RESERVE
                )
            )
        )

    def add(self, stream: running_stream.RunningStream) -> None:
        """Watches a stream if it could continue elsewhere."""
        policies = self.configuration.manifest().policies
        if policies.stream_moves == "off":
            return
        if stream.service.moves:
            stream.may_move = True
            self.move_budgets[stream.service_name].succeeded()
        if not (stream.may_move or stream.may_resume()):
            return
        self.streams[stream] = None
        if not self.is_scheduled:
            self._schedule()

    def remove(self, stream: running_stream.RunningStream) -> None:
        """Ends the watch of a stream; has no effect if it isn't watched."""
        self.streams.pop(stream, None)

    def _schedule(self) -> None:
        self.is_scheduled = True
        self.checked_at = self.timers.now()
        self.timers.after(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        now = self.timers.now()
        if now - self.checked_at > CHECK_SECONDS + MAX_DELAY_SECONDS:
            self.stall_ended_at = now
        try:
            movable = []
            for stream in list(self.streams):
                since = stream.relay.waiting_since
                if since and now - since >= stream_silence.MIN_SECONDS:
                    self._check_silence(stream, now)
                if stream.may_move:
                    movable.append(stream)
            self._check_moves(movable, now)
        finally:
            self.is_scheduled = False
            if self.streams:
                self._schedule()

    # --- Silence --------------------------------------------------------------

    def _check_silence(
        self, stream: running_stream.RunningStream, now: float
    ) -> None:
        """Abandons a stream whose upstream has been silent for too long."""
        relay = stream.relay
        if stream.silent_for or not relay.has_attempt_event:
            return
        silent = now - max(relay.waiting_since, self.stall_ended_at)
        if stream.move is not None and stream.move.is_stopping:
            self._check_stopped(stream, silent)
            return
        if not stream.may_resume():
            return
        times = self.loads.times.upstreams.get(stream.upstream.incarnation)
        tokens = stream.turn.uncached + relay.tokens
        bound = stream_silence.seconds(times, tokens, stream.silence_timeout)
        if silent < bound or stream.deadline.left < bound:
            return
        if not self.attempt_timeouts.allows(stream.service_name):
            return
        others = self.loads.sound_others(
            stream.service_name, stream.tried, relay.origin
        )
        if not others:
            return
        self.attempt_timeouts.expired(stream.service_name, stream.attempts)
        _interrupt(stream, silent)

    def _check_stopped(
        self, stream: running_stream.RunningStream, silent: float
    ) -> None:
        """Ends a stream whose run has stopped without a handle to continue.

        The answer of its upstream to the move was lost.
        """
        move = stream.move
        if move is None or move.outcome is not stream_move.Outcome.UNKNOWN:
            return
        if silent >= stream.silence_timeout:
            _interrupt(stream, silent)

    # --- Moves ----------------------------------------------------------------

    def _check_moves(
        self, streams: list[running_stream.RunningStream], now: float
    ) -> None:
        """Starts the moves that are due."""
        reasons: dict[str, str] = {}
        for stream in streams:
            name = stream.upstream.incarnation
            reason = reasons.get(name)
            if reason is None:
                reason = reasons[name] = self._reason(stream, now)
            if reason and self._is_movable(stream, now):
                self._move(stream, reason, now)
        for name in self.leaving_since.keys() - reasons.keys():
            del self.leaving_since[name]

    def _reason(self, stream: running_stream.RunningStream, now: float) -> str:
        """Returns why streams should leave an upstream; empty for not."""
        name = stream.upstream.incarnation
        registered = self.loads.known.get(name)
        if registered is not None and registered.state == (
            registrations.DRAINING
        ):
            self.leaving_since.setdefault(name, now)
            return LEAVING
        times = self.loads.service_times(stream.service_name)
        # An upstream that has stopped for a moment would not answer a call.
        if name in times.stalled:
            return ""
        slowdown = times.slowdowns.get(name, 1.0)
        return SLOW if slowdown >= load_balancing.MAX_SLOWDOWN else ""

    def _is_movable(
        self, stream: running_stream.RunningStream, now: float
    ) -> bool:
        """Returns whether the state of a stream allows a move now."""
        relay = stream.relay
        return (
            stream.move is None
            and stream.moves < stream_moves.MAX_MOVES
            and not stream.silent_for
            and now >= stream.next_move_at
            # While its caller doesn't read, the end of the run isn't seen.
            and relay.waiting_since > 0.0
            and relay.has_attempt_event
            # Without ids of events the rest of the stream can't be requested.
            and relay.last_event_id != ""
            and relay.can_continue
            and not self.copying.get(stream.upstream.incarnation)
            and sum(self.copying.values()) < stream_moves.MAX_CONCURRENT
        )

    def _move(
        self, stream: running_stream.RunningStream, reason: str, now: float
    ) -> None:
        """Starts the move of a stream if it pays."""
        stream.next_move_at = now + stream_moves.RETRY_SECONDS
        budget = self.move_budgets[stream.service_name]
        if not budget.allows():
            return
        if not stream_moves.has_capacity(
            *self.loads.total_slots(stream.service_name)
        ):
            return
        gap = self._gap(stream)
        if not gap:
            return
        progress = self._progress(stream)
        if reason == LEAVING:
            since = self.leaving_since[stream.upstream.incarnation]
            stops_in = since + stream_moves.LEAVING_SECONDS - now
            if not stream_moves.outlasts(progress, gap, stops_in):
                return
        found = self._destination(stream, progress, gap)
        if found is None:
            return
        destination, plan = found
        # It would end before the copy, or too late after it.
        if plan.copy >= plan.stay or plan.total > stream.deadline.left:
            return
        if reason == SLOW and not stream_moves.pays(
            plan, stream.route.target_gap, self._target_left(stream, now)
        ):
            return
        budget.take()
        self._start(stream, reason, destination, plan)

    def _start(
        self,
        stream: running_stream.RunningStream,
        reason: str,
        destination: member_messages.Registration,
        plan: stream_moves.Plan,
    ) -> None:
        """Starts a move, which takes a slot at its destination at once."""
        source = stream.upstream.incarnation
        request = stream.call.request
        self.copying[source] = self.copying.get(source, 0) + 1
        self.loads.reserve(destination.incarnation, request, stream.turn)
        stream.moves += 1
        stream.move = stream_move.StreamMove(
            self.client,
            self.timers,
            request,
            stream.upstream,
            destination,
            reason,
            plan,
            functools.partial(self._move_finished, stream),
            functools.partial(self._move_cancelled, stream),
        )
        stream.move.start()

    def _move_finished(
        self, stream: running_stream.RunningStream, move: stream_move.StreamMove
    ) -> None:
        """Frees what a move has used when it has its outcome."""
        source = move.source.incarnation
        self.copying[source] -= 1
        if not self.copying[source]:
            del self.copying[source]
        is_moved = move.outcome is stream_move.Outcome.MOVED
        if is_moved and not move.is_cancelled:
            # The slot at the destination is kept for the request's next
            # attempt, which is there.
            return
        if not move.is_cancelled:
            # Otherwise it is free already, and the request may run there anew.
            self.loads.ended(move.destination.incarnation, move.request)
        if move.outcome is stream_move.Outcome.STAYED:
            stream.move = None
            stream.next_move_at = self.timers.now() + stream_moves.RETRY_SECONDS
        if move.is_cancelled or not move.has_stopped():
            self._emit_failed(move, stream.relay.tokens)

    def _move_cancelled(
        self, stream: running_stream.RunningStream, move: stream_move.StreamMove
    ) -> None:
        """Frees the slot of a move that the stream doesn't need any more."""
        self.loads.ended(move.destination.incarnation, move.request)
        if move.has_stopped() and not move.is_reported:
            self._emit_failed(move, stream.relay.tokens)

    def _emit_failed(self, move: stream_move.StreamMove, tokens: int) -> None:
        """Reports a move after which the stream does not continue elsewhere."""
        move.is_reported = True
        result = "stayed"
        if move.outcome is stream_move.Outcome.UNKNOWN:
            result = "unknown"
        if move.is_cancelled:
            result = "cancelled"
        self.events.emit(
            event_types.StreamContinued(
                move.request,
                move.source.upstream,
                move.destination.upstream,
                move.reason,
                result,
                0.0,
                tokens,
                move.detail,
                move.source.version,
                move.destination.version,
            )
        )

    def _gap(self, stream: running_stream.RunningStream) -> float:
        """Returns the seconds between two events of a stream; 0 if unknown."""
        times = self.loads.times.upstreams.get(stream.upstream.incarnation)
        if times is not None and times.expected:
            return times.expected * times.slow
        relay = stream.relay
        events = relay.tokens // max(1, stream.service.tokens_per_event)
        if events < 2:
            return 0.0
        return (relay.last_event_at - relay.first_at) / (events - 1)

    def _progress(
        self, stream: running_stream.RunningStream
    ) -> stream_moves.Progress:
        """Returns the state of a stream."""
        made = stream.relay.tokens
        step = max(1, stream.service.tokens_per_event)
        most = stream.call.generation.max_tokens
        rates = self.loads.service_times(stream.service_name).rates
        return stream_moves.Progress(
            # `turn.total` includes all tokens that may be generated; the
            # memory holds those generated so far.
            stream.turn.total - stream.turn.generated + made,
            made // step,
            max(1.0, (most - made) / step) if most else math.inf,
            rates.gaps + 1.0 if rates else 0.0,
            step,
        )

    def _destination(
        self,
        stream: running_stream.RunningStream,
        progress: stream_moves.Progress,
        gap: float,
    ) -> tuple[member_messages.Registration, stream_moves.Plan] | None:
        """Returns where a stream would end first, and the move there."""
        service = stream.service
        estimates = self.loads.estimates(
            stream.service_name, stream.call, service.memory_tokens
        )
        rates = estimates.times.rates
        candidates = [
            name
            for name in self.loads.sound_others(
                stream.service_name, stream.tried, stream.relay.origin
            )
            if estimates.slowdowns.get(name, 1.0) < load_balancing.MAX_SLOWDOWN
            and not estimates.is_full(name)
        ]
        best = None
        for name in load_balancing.compared_upstreams(
            stream.call.request, candidates
        ):
            there = self.loads.known[name]
            gap_there = gap
            if rates is not None:
                gap_there = rates.gap_at(estimates.load(name))
                gap_there *= estimates.slowdowns.get(name, 1.0)
            link = stream_moves.Link(
                service.token_bytes,
                service.link_mbps,
                there.failure_domain != stream.upstream.failure_domain,
            )
            plan = stream_moves.plan(progress, link, gap, gap_there)
            if best is None or plan.total < best[1].total:
                best = there, plan
        return best

    def _target_left(
        self, stream: running_stream.RunningStream, now: float
    ) -> float | None:
        """Returns the seconds to the target of a program; None without one."""
        target = stream.call.program.finish_within
        if not target:
            return None
        return target - (now - stream.deadline.began)


def _interrupt(stream: running_stream.RunningStream, silent: float) -> None:
    """Ends a stream whose upstream sent nothing for `silent` seconds."""
    stream.silent_for = silent
    stream.answer.interrupt(f"it sent nothing for {silent:.2f} s")
