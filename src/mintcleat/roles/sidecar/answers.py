"""Lets callers follow an attempt, each at its own pace."""

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
    """One caller that follows an attempt.

    Attributes:
        gone: The caller closed before the end.
        done: The following has ended.
    """

    def __init__(self, attempt: sidecar_attempts.Attempt) -> None:
        self.attempt = attempt
        self.closed = False
        self.done = False


class AnswerSender:
    """Sends answers to callers.

    The pieces lie in the attempt once, whatever the number of callers, and
    each caller's exchange has its own credit: a slow one waits in its own
    green thread and holds back neither the engine nor the others.
    """

    def __init__(self, timers: timers_port.Timers, cancel: Cancel) -> None:
        self.timers = timers
        self.cancel = cancel

    def follow(
        self,
        exchange: streams_port.Exchange,
        attempt: sidecar_attempts.Attempt,
    ) -> None:
        """Sends the answer from its start until the outcome."""
        watcher = Watcher(attempt)
        attempt.watchers += 1
        self.timers.spawn(self._listen, exchange, watcher)
        try:
            self._send_all(exchange, watcher)
        finally:
            watcher.done = True
            attempt.watchers -= 1
            if not attempt.watchers and not attempt.number:
                # Nobody can attach to an attempt without a number.
                self.cancel(attempt, caller_gone())

    def _send_all(
        self, exchange: streams_port.Exchange, watcher: Watcher
    ) -> None:
        attempt = watcher.attempt
        place = 0
        offset = 0
        while not watcher.closed:
            changed = attempt.changed
            if place < len(attempt.chunks):
                text = "".join(attempt.chunks[place:])
                place = len(attempt.chunks)
                exchange.send(call_messages.Chunk(attempt.number, offset, text))
                offset += len(text)
            elif attempt.outcome is not None:
                exchange.send(attempt.outcome)
                return
            else:
                changed.wait()

    def _listen(
        self, exchange: streams_port.Exchange, watcher: Watcher
    ) -> None:
        """Notices that the caller closed, even while nothing is sent."""
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
    """Returns the reason of a cancel by the caller."""
    return errors.OutcomeUnknown("The caller has gone.")
