"""Relays an upstream's response to the caller of a routed request."""

from collections.abc import Callable

from mintcleat.decisions import answer_end
from mintcleat.decisions import answer_memory
from mintcleat.decisions import event_ids
from mintcleat.decisions import event_order
from mintcleat.decisions import evidence
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import server_sent_events
from mintcleat.domain import stream_origins
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import collected_answer
from mintcleat.roles.entry import fair_turns as fair_turns_module
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads

# Maximum size of the events that are kept for the record of a turn. A later
# turn repeats them in its body.
MAX_TURN_BYTES = 4 * 1024 * 1024
_NO_ROOM = (
    "The answers that this process holds exceed their limit, and this stream "
    "held the most."
)


class ResponseRelay:
    """Relays the responses of one request's attempts to its caller.

    Times are monotonic, in seconds.

    Attributes:
        upstream: Upstream of the current attempt.
        turn: Turn that the request opened, if any.
        status: HTTP status of the response.
        request: Request id.
        head_sent: Whether the head of a response was sent to the caller.
        complete: Whether the upstream's response was received completely.
        committed: Whether the turn is committed with its content.
        tokens: Tokens sent to the caller.
        last_event_id: Id of the last event sent to the caller.
        can_continue: Whether the stream can go on elsewhere: it has no event
            yet, or the last one has an id. After one without an id, whoever is
            asked to go on would send it again, or the stream from its start.
        order: Order of the events; others are not added to the stream.
        stream_ids: How the ids of each software's streams follow one another.
        repeated: Events that an upstream repeated, and that were left out.
        skipped: Answers to other requests that came before those to this one.
        max_tokens: Tokens that the answer may have; 0 if that isn't known.
        first_at: Time of the response or its first event; 0 before.
        max_gap: Longest pause between two events, in seconds.
        last_event_at: Time of the last event; 0 before the first.
        waiting_since: Time since which the upstream's stream is being read
            without any data; 0 while nothing is read.
        on_first_event: Called at the first event of each attempt with the
            seconds since the event before; 0 if there is none.
        confirm_end: Called with the end of an answer that seems whole; returns
            how it ended.
        end: How the answer of the current attempt ended; None before.
        attempt_events: Events of the current attempt.
        has_attempt_event: Whether the current attempt has had an event.
        blocked_at: Last time at which a write waited for the caller; 0 before.
            While it waits, nothing is read from the upstream, which must not
            count as silence of the upstream.
        output: Data of the events, each with a line end, for the turn's
            record.
        memory: Account of what all requests hold of their answers.
        share: What this request holds of its stream.
        buffer: Parses the events of the current attempt.
        fair_turns: Delays answers that arrive at full speed.
        work_seconds: Time that the last part of a stream took, without the
            write.
        versions: Versions of the software that made the forwarded events, in
            order.
        origin: Software that began the stream; None before its first event.
            Events of any other software are not forwarded.
        on_begun: Called once with the origin, before the request's first event
            is forwarded.
    """

    def __init__(
        self,
        route: manifest.Route,
        service: manifest.Service,
        loads: upstream_loads.UpstreamLoads,
        turns: turn_client.TurnClient,
        timers: timer_ports.Timers,
        request: str,
        last_event_id: str,
        max_tokens: int = 0,
        memory: answer_memory.AnswerMemory | None = None,
        fair_turns: fair_turns_module.FairTurns | None = None,
        stream_ids: event_ids.KnownStreamIds | None = None,
    ) -> None:
        self.route = route
        self.service = service
        self.loads = loads
        self.turns = turns
        self.timers = timers
        self.upstream: member_messages.Registration | None = None
        self.turn: turn_client.OpenedTurn | None = None
        self.status = 0
        self.request = request
        self.head_sent = False
        self.complete = False
        self.committed = False
        self.tokens = 0
        self.last_event_id = last_event_id
        self.can_continue = True
        self.order = event_order.EventOrder(last_event_id)
        self.stream_ids = stream_ids or event_ids.KnownStreamIds()
        self.repeated = 0
        self.skipped = 0
        self.max_tokens = max_tokens
        self.first_at = 0.0
        self.max_gap = 0.0
        self.last_event_at = 0.0
        self.blocked_at = 0.0
        self.waiting_since = 0.0
        self.on_first_event: Callable[[float], None] | None = None
        self.confirm_end = _confirm_nothing
        self.end: answer_ends.AnswerEnd | None = None
        self.attempt_events = 0
        self.has_attempt_event = False
        self.output = bytearray()
        self.memory = memory or answer_memory.AnswerMemory()
        self.share = answer_memory.Share(self.memory, self._drop_held)
        self.buffer = server_sent_events.EventBuffer()
        self.fair_turns = fair_turns or fair_turns_module.FairTurns(timers)
        self.work_seconds = 0.0
        self.versions: list[str] = []
        self.origin: stream_origins.KnownOrigin | None = None
        self.on_begun: Callable[[stream_origins.StreamOrigin], None] | None = (
            None
        )

    @property
    def upstream_name(self) -> str:
        """Name of the upstream of the last attempt; empty for none."""
        return self.upstream.upstream if self.upstream else ""

    @property
    def incarnation(self) -> str:
        """Incarnation of the last attempt's upstream; empty for none."""
        return self.upstream.incarnation if self.upstream else ""

    @property
    def last_active_at(self) -> float:
        """Time since which the upstream may have been silent; 0 before."""
        return max(self.last_event_at, self.blocked_at)

    @property
    def fits_copy(self) -> bool:
        """Whether a copy of the run's memory continues what the caller has.

        An upstream whose events go back may have begun the run anew, and the
        copy may be of either run.
        """
        end = self.end
        is_in_order = (
            end is None or end.kind is not answer_ends.Kind.OUT_OF_ORDER
        )
        return self.can_continue and is_in_order

    def begin_attempt(self, upstream: member_messages.Registration) -> None:
        """Prepares for the answer of an upstream to the next attempt."""
        self.upstream = upstream
        self.end = None
        self.attempt_events = 0
        self.has_attempt_event = False
        self.order.begin_attempt(
            self.stream_ids.of(upstream.service, upstream.version)
        )

    def relay(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
        sent_at: float,
        may_retry: bool,
    ) -> None:
        """Relays one attempt's response to its end.

        Args:
            answer: Response of the upstream, with its head read.
            reply: Response to the caller.
            sent_at: Time at which the request was sent.
            may_retry: Whether another upstream may replace a failed response.

        Raises:
            errors.MintcleatError: The response can't be relayed completely.
        """
        reply.set_on_blocked(self._record_blocked)
        self.skipped += answer.skipped
        if answer.head.events:
            self._relay_events(answer, reply)
        else:
            self._relay_whole(answer, reply, sent_at, may_retry)

    def release(self) -> None:
        """Drops what the request holds of its answer."""
        self.share.resize(0)
        self._drop_held()

    def _drop_held(self) -> None:
        self.output = bytearray()
        self.buffer.rest = b""

    def _hold(self) -> None:
        """Records what the request holds of its stream."""
        self.share.resize(len(self.output) + len(self.buffer.rest))

    def _check_room(self) -> None:
        """Returns if the request still has what it held of its stream.

        Raises:
            errors.TurnUnrecorded: Events of the turn were dropped.
            server_sent_events.InvalidEvent: A part of an event was dropped.
        """
        if not self.share.has_yielded:
            return
        if self.route.retention:
            raise errors.TurnUnrecorded(
                f"The turn could not be recorded: {_NO_ROOM}"
            )
        raise server_sent_events.InvalidEvent(_NO_ROOM)

    def _relay_whole(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
        sent_at: float,
        may_retry: bool,
    ) -> None:
        collected = collected_answer.CollectedAnswer(self.memory)
        try:
            self._relay_collected(collected, answer, reply, sent_at, may_retry)
        finally:
            collected.release()

    def _relay_collected(
        self,
        collected: collected_answer.CollectedAnswer,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
        sent_at: float,
        may_retry: bool,
    ) -> None:
        head = answer.head
        chunks = answer.chunks()
        try:
            body = collected.read(chunks)
            rest = next(chunks, None)
        finally:
            end = self._record_end(answer)
        self.status = head.status
        verdict = evidence.of_answer(head.status)
        if verdict is evidence.Evidence.FAILURE and may_retry:
            raise errors.UpstreamFailed(
                f"The upstream answered with status {head.status}."
            )
        if self.head_sent:
            raise errors.UpstreamFailed(
                "Expected the rest of the event stream from the upstream, "
                f"received a plain response with status {head.status}."
            )
        if rest is None:
            self._check_end(end)
        self.first_at = self.timers.now()
        if verdict is evidence.Evidence.SUCCESS:
            self.loads.observe(self.incarnation, self.first_at - sent_at)
        self.head_sent = True
        if rest is None:
            self._mark_complete()
            reply.send_whole(head, body)
            return
        reply.send_head(head)
        body += rest
        reply.write(body)
        del body, rest
        collected.release()
        try:
            for data in chunks:
                self.loads.arrived(self.incarnation)
                reply.write(data)
        finally:
            end = self._record_end(answer)
        self._check_end(end)
        self._mark_complete()
        reply.end()

    def _relay_events(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
    ) -> None:
        if not self.head_sent:
            self.status = answer.head.status
            self.head_sent = True
            reply.send_head(answer.head)
        buffer = self.buffer = server_sent_events.EventBuffer()
        if not self.route.retention:
            self.share.begin()
        invalid = None
        timers = self.timers
        self.waiting_since = timers.now()
        try:
            for data in answer.chunks():
                self.waiting_since = 0.0
                self.loads.arrived(self.incarnation)
                for part in fair_turns_module.parts(data):
                    self._forward_part(part, reply)
                    # Only an answer that arrives at full speed has several.
                    if len(part) < len(data):
                        self.fair_turns.worked(self.work_seconds)
                self.waiting_since = timers.now()
            self._check_room()
        except server_sent_events.InvalidEvent as error:
            invalid = answer_ends.Kind.INVALID
            if isinstance(error, server_sent_events.EventOutOfOrder):
                invalid = answer_ends.Kind.OUT_OF_ORDER
            raise errors.StreamClosed(str(error)) from None
        finally:
            self.waiting_since = 0.0
            end = self._record_end(answer, len(buffer.rest), invalid)
        end = self._check_end(
            answer_end.of_stream(
                end,
                answer_end.ReceivedStream(
                    self.attempt_events,
                    buffer.is_inside_event,
                    0 < self.max_tokens <= self.tokens,
                ),
            )
        )
        if buffer.rest:
            reply.write(buffer.rest)
        self._mark_complete()
        self._commit_turn(end)
        reply.end()

    def _record_end(
        self,
        answer: forwarding.UpstreamResponse,
        rest: int = 0,
        invalid: answer_ends.Kind | None = None,
    ) -> answer_ends.AnswerEnd:
        """Records and returns how the body of an answer has ended so far.

        Args:
            answer: The answer.
            rest: Bytes after the last complete event.
            invalid: Why this process ended an answer that is invalid; None if
                it isn't. The body may have ended by itself before that.
        """
        end = answer.end or answer_ends.AnswerEnd(
            answer.framing, answer_ends.Kind.ABANDONED
        )
        if invalid is not None:
            end = end._replace(kind=invalid)
        self.end = end._replace(events=self.attempt_events, rest=rest)
        return self.end

    def _check_end(self, end: answer_ends.AnswerEnd) -> answer_ends.AnswerEnd:
        """Records and returns how an answer ended that is whole.

        Raises:
            errors.StreamClosed: It broke off.
        """
        if end.is_whole:
            end = self.confirm_end(end)
        self.end = end
        if not end.is_whole:
            raise errors.StreamClosed(
                f"The answer of {self.upstream_name} broke off after "
                f"{end.events} events: {end.text}."
            )
        return end

    def _record_blocked(self) -> None:
        """Keeps the upstream from counting as silent while a write waits."""
        self.blocked_at = self.timers.now()
        if not self.complete:
            self.loads.arrived(self.incarnation)

    def _mark_complete(self) -> None:
        """Ends the request's count at the upstream.

        The rest waits for control or for the caller. It must not count as load
        on the upstream, nor as its silence.
        """
        self.complete = True
        self.loads.ended(self.incarnation, self.request)

    def _forward_part(
        self, part: bytes, reply: forwarding.CallerResponse
    ) -> None:
        """Forwards the events that a part of a stream completes.

        Raises:
            errors.TurnUnrecorded: See `_check_room`.
            server_sent_events.InvalidEvent: See `_check_room`; or the stream is
                longer than it may be, or an event doesn't follow the one before
                it. The events before that are forwarded.
        """
        began = self.timers.now()
        events = self.buffer.feed(part)
        self._check_room()
        data, invalid = self._record_events(events) if events else (b"", None)
        # A write may wait for long; the events would stay in memory meanwhile.
        del events
        self._hold()
        self.work_seconds = self.timers.now() - began
        if data:
            reply.write(data)
        if invalid is not None:
            raise invalid

    def _record_events(
        self, events: list[server_sent_events.Event]
    ) -> tuple[bytes, server_sent_events.InvalidEvent | None]:
        """Records events that arrived together.

        Returns:
            The bytes to forward, and why the events after them may not be
            sent, if so.
        """
        now = self.timers.now()
        forwarded = []
        invalid = None
        try:
            for event in events:
                if event.is_empty:
                    forwarded.append(event.raw)
                elif self._follows(event):
                    self._check_length(event)
                    self._record_event(event, now)
                    forwarded.append(event.raw)
        except server_sent_events.InvalidEvent as error:
            invalid = error
        return b"".join(forwarded), invalid

    def _follows(self, event: server_sent_events.Event) -> bool:
        """Returns whether an event follows; not if it repeats the last one.

        Raises:
            server_sent_events.EventOutOfOrder: It is another event of before,
                or events before it are missing.
        """
        match self.order.place(event):
            case event_order.Place.NEXT:
                return True
            case event_order.Place.REPEATED:
                self.order.skip()
                self.repeated += 1
                return False
            case event_order.Place.LATER:
                self.order.reject(event)
                expected = "the event right after"
            case event_order.Place.EARLIER:
                expected = "an event with an id above"
        raise server_sent_events.EventOutOfOrder(
            f"Expected {expected} {self.last_event_id!r}, but "
            f"{self.upstream_name} sent {event.id!r}."
        )

    def _check_length(self, event: server_sent_events.Event) -> None:
        """Returns if a stream may have another event.

        One that goes on beyond what its request allows would exceed the
        program's budget, and fill the memory with the record of its turn.

        Raises:
            server_sent_events.InvalidEvent: It may not.
        """
        if 0 < self.max_tokens <= self.tokens:
            raise server_sent_events.InvalidEvent(
                f"Expected at most {self.max_tokens} tokens, but found an "
                f"event after {self.tokens}."
            )
        size = len(self.output) + len(event.data)
        if self.route.retention and size > MAX_TURN_BYTES:
            raise server_sent_events.InvalidEvent(
                f"The events of the turn exceed {MAX_TURN_BYTES} bytes."
            )

    def _record_event(
        self, event: server_sent_events.Event, now: float
    ) -> None:
        """Counts an event that is forwarded."""
        if self.last_event_at:
            self.max_gap = max(self.max_gap, now - self.last_event_at)
        if self.has_attempt_event:
            pause = now - self.last_active_at
            self.loads.observe(self.incarnation, pause)
        else:
            self._record_first_event(now)
        self.last_event_at = now
        self.attempt_events += 1
        self.tokens += self.service.tokens_per_event
        self.last_event_id = event.id or self.last_event_id
        self.can_continue = bool(event.id)
        self.order.add(event)
        if self.route.retention:
            self.output += event.data
            self.output += b"\n"

    def _record_first_event(self, now: float) -> None:
        """Records the first event of an attempt.

        The time since the last event of an earlier attempt is no gap of this
        upstream.
        """
        self._check_origin()
        self.has_attempt_event = True
        pause = 0.0
        if self.last_event_at:
            pause = now - self.last_event_at
        else:
            self.first_at = now
        self.loads.first_event(self.incarnation, self.request)
        if self.on_first_event is not None:
            self.on_first_event(pause)

    def _check_origin(self) -> None:
        """Returns if the attempt's events may be added to the stream.

        Raises:
            errors.StreamClosed: They are of other software than those before,
                or the upstream has been replaced in place.
        """
        upstream = self.upstream
        if upstream is None:
            return
        known = self.loads.known.get(upstream.incarnation, upstream)
        software = stream_origins.StreamOrigin(
            upstream.service, upstream.version
        )
        if known.version != upstream.version:
            raise errors.StreamClosed(
                f"Upstream {upstream.upstream} had version "
                f"{upstream.version!r} when the request was sent, but has "
                f"{known.version!r} now."
            )
        if self.origin is None:
            self.origin = stream_origins.KnownOrigin(
                software, stream_origins.Source.OWN
            )
        elif software != self.origin.origin:
            raise errors.StreamClosed(
                f"The stream began at {self.origin.origin}, but upstream "
                f"{upstream.upstream} has {software}."
            )
        if self.on_begun is not None:
            self.on_begun(software)
            self.on_begun = None
        self.versions.append(upstream.version)

    def _commit_turn(self, end: answer_ends.AnswerEnd) -> None:
        """Commits the turn before its response ends.

        The caller may send the next turn as soon as it has the end.
        """
        if self.turn is None or not self.route.retention:
            return
        # Other streams may have taken the room while the end was confirmed.
        self._check_room()
        self.share.pin()
        output = bytes(self.output)
        self.output = bytearray()
        try:
            self.turns.commit(
                self.turn,
                self.tokens,
                self.incarnation,
                output,
                self.loads.report_at_end(),
                end,
            )
        except errors.MintcleatError as error:
            raise errors.TurnUnrecorded(
                f"The turn could not be recorded: {error.detail}"
            ) from error
        self.committed = True


def _confirm_nothing(end: answer_ends.AnswerEnd) -> answer_ends.AnswerEnd:
    """Takes an end as it is, until an attempt sets another `confirm_end`."""
    return end
