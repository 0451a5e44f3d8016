"""Passes an upstream's answer to a routed request on to its caller."""

from mintcleat.decisions import evidence
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import server_sent_events
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads


class ResponseRelay:
    """What the caller of one request has been given, over all attempts.

    Attributes:
        upstream: The upstream of the attempt at hand.
        turn: The turn that the request runs, if any.
        status: Status of the answer.
        request: Id of the request.
        begun: Whether the head of an answer was passed on.
        received: Whether the upstream's answer has come to its end.
        kept: Whether the turn is on record with its content.
        tokens: Tokens handed to the caller.
        last_event_id: Id of the last event passed on.
        first: Clock of the answer or its first event; 0 before.
        gap: Longest pause between two events, in seconds.
        last_event_at: Clock of the last event; 0 before the first.
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
        self.first_at = 0.0
        self.max_gap = 0.0
        self.last_event_at = 0.0
        self.output: list[bytes] = []

    @property
    def upstream_name(self) -> str:
        """The upstream asked last; empty for none."""
        return self.upstream.upstream if self.upstream else ""

    @property
    def incarnation(self) -> str:
        """The life of the upstream asked last; empty for none."""
        return self.upstream.incarnation if self.upstream else ""

    def relay(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
        sent_at: float,
        may_retry: bool,
    ) -> None:
        """Passes one attempt's answer on, to its end.

        Args:
            answer: The upstream's answer, its head read.
            reply: The caller's side.
            sent_at: Clock at which the request was sent.
            may_retry: Whether a failed answer may be replaced by another
                upstream's.

        Raises:
            errors.MintcleatError: The answer can't be passed on whole.
        """
        if answer.head.events:
            self._relay_events(answer, reply)
        else:
            self._relay_whole(answer, reply, sent_at, may_retry)

    def _relay_whole(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
        sent_at: float,
        may_retry: bool,
    ) -> None:
        head = answer.head
        body = answer.body()
        self.status = head.status
        verdict = evidence.of_answer(head.status)
        if verdict is evidence.Evidence.FAILURE and may_retry:
            raise errors.UpstreamFailed(f"The upstream said {head.status}.")
        if self.head_sent:
            raise errors.UpstreamFailed("The stream did not go on.")
        self.first_at = self.timers.now()
        self._mark_complete()
        if verdict is evidence.Evidence.SUCCESS:
            self.loads.observe(self.incarnation, self.first_at - sent_at)
        self.head_sent = True
        reply.send_whole(head, body)

    def _relay_events(
        self,
        answer: forwarding.UpstreamResponse,
        reply: forwarding.CallerResponse,
    ) -> None:
        if not self.head_sent:
            self.status = answer.head.status
            self.head_sent = True
            reply.send_head(answer.head)
        buffer = server_sent_events.EventBuffer()
        for data in answer.chunks():
            self.loads.arrived(self.incarnation)
            for event in buffer.feed(data):
                self._forward_event(event, reply)
        if buffer.rest:
            reply.write(buffer.rest)
        self._mark_complete()
        self._commit_turn()
        reply.end()

    def _mark_complete(self) -> None:
        """Notes that nothing more is due from the upstream.

        What follows waits for control or for the caller. Counted on, it
        would look like load on the upstream, and like its silence.
        """
        self.complete = True
        self.loads.ended(self.incarnation, self.request)

    def _forward_event(
        self, event: server_sent_events.Event, reply: forwarding.CallerResponse
    ) -> None:
        now = self.timers.now()
        if self.last_event_at:
            pause = now - self.last_event_at
            self.max_gap = max(self.max_gap, pause)
            self.loads.observe(self.incarnation, pause)
        else:
            self.first_at = now
        self.last_event_at = now
        self.tokens += self.service.tokens_per_event
        self.last_event_id = event.id or self.last_event_id
        if self.route.retention:
            self.output.append(event.data)
        reply.write(event.raw)

    def _commit_turn(self) -> None:
        """Commits the turn before its answer ends; a later turn may follow."""
        if self.turn is None or not self.route.retention:
            return
        output = b"".join(data + b"\n" for data in self.output)
        try:
            self.turns.commit(
                self.turn,
                self.tokens,
                self.incarnation,
                output,
                self.loads.report(),
            )
        except errors.MintcleatError as error:
            raise errors.TurnUnrecorded(
                f"The turn could not be recorded: {error.detail}"
            ) from error
        self.committed = True
