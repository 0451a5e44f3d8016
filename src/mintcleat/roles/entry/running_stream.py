"""A stream of events that an entry relays."""

from mintcleat.decisions import engine_memory
from mintcleat.domain import answer_ends
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import stream_move


class RunningStream:
    """A stream of events at one upstream.

    Attributes:
        call: The request.
        route: Its route.
        service_name: Name of the service that runs it.
        service: Settings of that service.
        upstream: The upstream that sends the stream.
        turn: Tokens that the request holds in memory.
        answer: The upstream's response.
        relay: Relays it to the caller.
        deadline: Deadline of the request.
        tried: Incarnations that the request was sent to.
        attempts: Number of upstreams that may have run the request anew.
        moves: Number of moves of the request so far.
        silence_timeout: Seconds of silence that are normal for the route.
        silent_for: Silence in seconds for which it was abandoned; 0 before.
        may_move: Whether it may be moved to another upstream.
        move: Its move, if one is in progress or has stopped the run.
        backup: Upstream that has a backup of its run; None for none.
        next_move_at: Time before which no move is considered.
    """

    def __init__(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        service_name: str,
        service: manifest.Service,
        upstream: member_messages.Registration,
        turn: engine_memory.TurnTokens,
        answer: forwarding.UpstreamResponse,
        relay: response_relay.ResponseRelay,
        deadline: run_deadline.RunDeadline,
        tried: set[str],
        attempts: int,
        moves: int,
        silence_timeout: float,
    ) -> None:
        self.call = call
        self.route = route
        self.service_name = service_name
        self.service = service
        self.upstream = upstream
        self.turn = turn
        self.answer = answer
        self.relay = relay
        self.deadline = deadline
        self.tried = tried
        self.attempts = attempts
        self.moves = moves
        self.silence_timeout = silence_timeout
        self.silent_for = 0.0
        self.may_move = False
        self.move: stream_move.StreamMove | None = None
        self.backup: member_messages.Registration | None = None
        self.next_move_at = 0.0

    def may_resume(self) -> bool:
        """Returns whether another upstream may resume it."""
        return (
            self.route.repeat == "resume"
            and self.attempts < self.route.attempts
            and self.relay.can_continue
        )

    def stopped(self) -> stream_move.StreamMove | None:
        """Returns the move that has stopped the run; waits for its outcome.

        None if there is none, if the run has ended by itself, or if it is
        unknown whether the run has stopped.
        """
        move = self.move
        if move is None or not move.is_stopping:
            return None
        move.wait()
        return move if move.has_stopped() else None

    def confirm_end(self, end: answer_ends.AnswerEnd) -> answer_ends.AnswerEnd:
        """Returns how a stream ended whose run may have been stopped."""
        stopped = self.stopped() is not None
        move = self.move
        is_unknown = (
            move is not None and move.outcome is stream_move.Outcome.UNKNOWN
        )
        if stopped or (is_unknown and end.kind is answer_ends.Kind.CLOSED):
            return end._replace(kind=answer_ends.Kind.STOPPED)
        return end
