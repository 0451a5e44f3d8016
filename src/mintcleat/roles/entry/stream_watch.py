"""Watches the running streams of an entry for upstreams to leave.

All streams are checked together every few tens of milliseconds, so that an
event of a stream costs nothing more. Nothing runs while there is no stream that
could continue elsewhere.
"""

from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import stream_silence
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import upstream_loads

# Interval of the checks. Shorter ones would find a silence or a slow upstream
# hardly earlier: both are known after several gaps of events.
CHECK_SECONDS = 0.05
# A check that is late by more than this follows a stall of this process. What
# upstreams sent meanwhile has not been read, so nothing counts as silence.
MAX_DELAY_SECONDS = 0.05


class RunningStream:
    """A stream of events at one upstream.

    Attributes:
        route: Route of its request.
        service: Name of the service.
        upstream: The upstream that sends it.
        answer: Its response.
        relay: Relays it to the caller.
        deadline: Deadline of its request.
        tried: Incarnations that the request was sent to.
        attempts: Number of upstreams that may have run the request.
        silence_timeout: Seconds of silence that are normal for the route.
        tokens: Prompt tokens that another upstream would have to read.
        silent_for: Silence in seconds for which it was abandoned; 0 before.
    """

    def __init__(
        self,
        route: manifest.Route,
        service: str,
        placement: upstream_loads.Placement,
        answer: forwarding.UpstreamResponse,
        relay: response_relay.ResponseRelay,
        deadline: run_deadline.RunDeadline,
        tried: set[str],
        attempts: int,
        silence_timeout: float,
    ) -> None:
        self.route = route
        self.service = service
        self.upstream: member_messages.Registration = placement.upstream
        self.answer = answer
        self.relay = relay
        self.deadline = deadline
        self.tried = tried
        self.attempts = attempts
        self.silence_timeout = silence_timeout
        self.tokens = placement.turn.uncached
        self.silent_for = 0.0

    def may_resume(self) -> bool:
        """Returns whether another upstream may resume it."""
        return (
            self.route.repeat == "resume"
            and self.attempts < self.route.attempts
        )


class StreamWatch:
    """The streams of one entry that may continue at another upstream.

    Attributes:
        streams: The streams, in the order in which they began.
        checked_at: Time of the last check.
    """

    def __init__(
        self,
        loads: upstream_loads.UpstreamLoads,
        timers: timer_ports.Timers,
        attempt_timeouts: attempt_timeout.AttemptTimeouts,
    ) -> None:
        self.loads = loads
        self.timers = timers
        self.attempt_timeouts = attempt_timeouts
        self.streams: dict[RunningStream, None] = {}
        self.is_scheduled = False
        self.checked_at = 0.0
        self.quiet_since = 0.0

    def add(self, stream: RunningStream) -> None:
        """Watches a stream if it could continue elsewhere."""
        if not stream.may_resume():
            return
        self.streams[stream] = None
        if not self.is_scheduled:
            self._schedule()

    def remove(self, stream: RunningStream) -> None:
        """Ends the watch of a stream; has no effect if it isn't watched."""
        self.streams.pop(stream, None)

    def _schedule(self) -> None:
        self.is_scheduled = True
        self.checked_at = self.timers.now()
        self.timers.after(CHECK_SECONDS, self._check)

    def _check(self) -> None:
        now = self.timers.now()
        self.is_scheduled = False
        if now - self.checked_at > CHECK_SECONDS + MAX_DELAY_SECONDS:
            self.quiet_since = now
        for stream in list(self.streams):
            since = stream.relay.waiting_since
            if since and now - since >= stream_silence.MIN_SECONDS:
                self._check_silence(stream, now)
        if self.streams:
            self._schedule()

    def _check_silence(self, stream: RunningStream, now: float) -> None:
        """Abandons a stream whose upstream has been silent for too long."""
        relay = stream.relay
        if stream.silent_for or not relay.has_attempt_event:
            return
        silent = now - max(relay.waiting_since, self.quiet_since)
        times = self.loads.times.upstreams.get(stream.upstream.incarnation)
        tokens = stream.tokens + relay.tokens
        bound = stream_silence.seconds(times, tokens, stream.silence_timeout)
        if silent < bound or stream.deadline.left < bound:
            return
        if not self.attempt_timeouts.allows(stream.service):
            return
        if not self.loads.has_other(stream.service, stream.tried):
            return
        self.attempt_timeouts.expired(stream.service, stream.attempts)
        stream.silent_for = silent
        stream.answer.interrupt(f"it sent nothing for {silent:.2f} s")
