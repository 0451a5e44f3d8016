"""How the stream of one request continues after it has stopped or broken off.

A run that a move has stopped, or that has a backup, continues from its copied
memory. A stream that is resumed is a new run; its continuation is only reported
here.
"""

from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_events
from mintcleat.roles.entry import running_stream
from mintcleat.roles.entry import stream_move


class _Backup(NamedTuple):
    """A backup from which a stream is to continue."""

    source: member_messages.Registration
    destination: member_messages.Registration


class RunContinuation:
    """Where the stream of one request continues.

    Attributes:
        move: The last move that has stopped the run; None for none.
        copies: Where the stopped run may continue, in order.
        backup: Backup from which the stream is to continue; None for none.
    """

    def __init__(
        self,
        request: str,
        relay: response_relay.ResponseRelay,
        events: run_events.RunEvents,
    ) -> None:
        self.request = request
        self.relay = relay
        self.events = events
        self.backup: _Backup | None = None
        self.move: stream_move.StreamMove | None = None
        self.copies: list[
            tuple[member_messages.Registration, routed_calls.Copy]
        ] = []

    def cancel(self) -> None:
        """Frees a copy that was not used, at the end of the request."""
        if self.move is not None:
            self.move.cancel()

    def accepted(self) -> None:
        """Records that an upstream continues the run, which uses the copy."""
        if self.move is not None:
            self.move.is_used = True

    def begin_move(self, move: stream_move.StreamMove) -> None:
        """Has a stopped run continued from its copied memory."""
        self.move = move
        self.copies = move.copies()
        tokens = self.relay.tokens

        def report(pause: float) -> None:
            self.relay.on_first_event = None
            move.is_reported = True
            destination = self.relay.upstream or move.destination
            returned = destination.upstream == move.source.upstream
            self.events.continued(
                move.source,
                destination,
                move.reason,
                "returned" if returned else "moved",
                pause,
                tokens,
                move.detail,
            )

        self.relay.on_first_event = report

    def use_backup(self, stream: running_stream.RunningStream) -> None:
        """Has a stream that broke off continue from its backup, if any.

        Not if its run was told to stop for a move and may not have stopped.
        """
        backup = stream.backup
        is_unknown = stream.move is not None and stream.move.is_stopping
        relay = self.relay
        if backup is None or is_unknown or not relay.last_event_id:
            return
        self.copies = [
            (backup, routed_calls.Copy(backup.address, self.request))
        ]
        self.backup = _Backup(stream.upstream, backup)
        tokens = relay.tokens

        def report(pause: float) -> None:
            relay.on_first_event = None
            self.backup = None
            self.events.continued(
                stream.upstream,
                backup,
                "interrupted",
                "restored",
                pause,
                tokens,
            )

        relay.on_first_event = report

    def failed(self, error: errors.MintcleatError) -> errors.MintcleatError:
        """Ends a move or a restore that failed; returns the error.

        What the source ran is lost. So the request counts as run, also if the
        upstreams state that they did not continue it.
        """
        move = self.move
        self.copies = []
        if move is not None:
            if not move.is_reported:
                move.is_reported = True
                self._report_lost(
                    move.source,
                    move.destination,
                    move.reason,
                    error,
                )
            # A run that is resumed may be moved again.
            move.cancel()
            self.move = None
        if self.backup is not None:
            self._report_lost(
                self.backup.source,
                self.backup.destination,
                "interrupted",
                error,
            )
            self.backup = None
        if error.outcome != errors.NOT_RUN:
            return error
        return errors.StreamClosed(
            f"The stream could not continue elsewhere: {error.detail}"
        )

    def _report_lost(
        self,
        source: member_messages.Registration,
        destination: member_messages.Registration,
        reason: str,
        error: errors.MintcleatError,
    ) -> None:
        """Reports a stream that could not continue from its copied memory.

        Args:
            source: Upstream that sent the stream so far.
            destination: Upstream that should have continued it.
            reason: See `events.StreamContinued`.
            error: Why it could not.
        """
        self.relay.on_first_event = None
        self.events.continued(
            source,
            destination,
            reason,
            "lost",
            0.0,
            self.relay.tokens,
            error.detail,
        )

    def expect_resume(
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
                upstream,
                self.relay.upstream or upstream,
                reason,
                "resumed",
                pause,
                tokens,
            )

        self.relay.on_first_event = report
