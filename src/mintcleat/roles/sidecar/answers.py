"""Streaming of answers to callers, each at its own pace."""

from collections.abc import Callable

from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.ports import streams as streams_port
from mintcleat.ports import timers as timers_port
from mintcleat.roles.sidecar import attempts as sidecar_attempts

Cancel = Callable[
    [sidecar_attempts.Attempt, errors.MintcleatError],
    None,
]


class Watcher:
    """A caller that receives the answer of an attempt.

    Attributes:
        closed: Whether the caller disconnected before the end.
        done: Whether nothing more is sent to the caller.
    """

    def __init__(self, attempt: sidecar_attempts.Attempt) -> None:
        self.attempt = attempt
        self.closed = False
        self.done = False


class AnswerSender:
    """Sends the answers of attempts to callers.

    The text is stored once per attempt, and each caller has its own flow
    control and green thread, so that a slow caller delays neither the engine
    nor other callers.
    """

    def __init__(self, timers: timers_port.Timers, cancel: Cancel) -> None:
        self.timers = timers
        self.cancel = cancel

    def follow(
        self,
        exchange: streams_port.Exchange,
        attempt: sidecar_attempts.Attempt,
    ) -> None:
        """Sends the answer from its start to its outcome.

        Blocks until it is sent or the caller disconnects.
        """
        watcher = Watcher(attempt)
        attempt.watchers += 1
        self.timers.spawn(self._listen, exchange, watcher)
        try:
            self._send_all(exchange, watcher)
        finally:
            watcher.done = True
            attempt.watchers -= 1
            if not attempt.watchers and not attempt.number:
                # No other caller can attach to an attempt without a number.
                self.cancel(attempt, caller_gone())

    def _send_all(
        self, exchange: streams_port.Exchange, watcher: Watcher
    ) -> None:
        attempt = watcher.attempt
        next_chunk = 0
        offset = 0
        while not watcher.closed:
            changed = attempt.changed
            if next_chunk < len(attempt.chunks):
                text = "".join(attempt.chunks[next_chunk:])
                next_chunk = len(attempt.chunks)
                exchange.send(
                    call_messages.Chunk(
                        attempt.number, offset, text, attempt.software
                    )
                )
                offset += len(text)
            elif attempt.outcome is not None:
                exchange.send(attempt.outcome)
                return
            else:
                changed.wait()

    def _listen(
        self, exchange: streams_port.Exchange, watcher: Watcher
    ) -> None:
        """Receives cancellations and detects that the caller disconnects."""
        try:
            while True:
                message = exchange.receive()
                if isinstance(message, call_messages.CancelAttempt):
                    self.cancel(watcher.attempt, caller_gone())
        except errors.MintcleatError:
            if not watcher.done:
                watcher.closed = True
                watcher.attempt.notify()


def caller_gone() -> errors.MintcleatError:
    """Returns the error of an attempt that its caller cancelled."""
    return errors.OutcomeUnknown(
        "The caller cancelled the call or disconnected."
    )
