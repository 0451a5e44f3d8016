"""The move of one running stream: the calls to its upstream.

A move runs in a green thread of its own while the stream goes on. It has the
memory copied until little is left and then has the run stopped. The source ends
the stream without its end at that time, so the request's own green thread waits
for the outcome of the move before it sends the request to the destination.
"""

from collections.abc import Callable
import enum

import eventlet
from eventlet import event as eventlet_event
from loguru import logger

from mintcleat.decisions import stream_moves
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports

# A call may take this many times as long as planned, and these seconds more:
# other copies share the link, and the load of the engines varies.
TIMEOUT_FACTOR = 3.0
TIMEOUT_SECONDS = 0.5
# Time limit of the call that frees a copy, in seconds.
FREE_TIMEOUT_SECONDS = 1.0


class CallTimeout(BaseException):
    """An upstream did not answer a call in time.

    Derived from BaseException so that no error handler on the way catches it.
    """


class Outcome(enum.Enum):
    """How a move ended.

    Attributes:
        STAYED: The run goes on at the source, or has ended there by itself.
        MOVED: The run has stopped, and the destination has its memory.
        RETURNED: The run has stopped, and only the source has its memory.
        UNKNOWN: No answer tells whether the run has stopped.
    """

    STAYED = "stayed"
    MOVED = "moved"
    RETURNED = "returned"
    UNKNOWN = "unknown"


class StreamMove:
    """The move of one stream.

    Attributes:
        request: Id of the request.
        source: Upstream that runs it.
        destination: Upstream that shall continue it.
        reason: Why it is moved: `leaving` or `slow`.
        plan: Its expected times.
        is_stopping: Whether the source may have been told to stop the run.
        outcome: How it ended; None before.
        detail: Why it failed; empty if it didn't.
        handle: Name of the copy; empty for none.
        is_cancelled: Whether the stream doesn't need it any more.
        is_used: Whether an upstream has continued the run from the copy.
        is_reported: Whether there is an event on its result.
        finished: Set when it has its outcome; green threads wait for it.
    """

    def __init__(
        self,
        client: forwarding.UpstreamClient,
        timers: timer_ports.Timers,
        request: str,
        source: member_messages.Registration,
        destination: member_messages.Registration,
        reason: str,
        plan: stream_moves.Plan,
        on_finished: Callable[["StreamMove"], None],
        on_cancelled: Callable[["StreamMove"], None],
    ) -> None:
        """Initializes a move.

        Args:
            client: Client of the upstreams.
            timers: Starts green threads.
            request: Id of the request.
            source: Upstream that runs it.
            destination: Upstream that shall continue it.
            reason: Why it is moved.
            plan: Its expected times.
            on_finished: Called with the move when it has its outcome.
            on_cancelled: Called with the move when the stream doesn't need
                it any more, which may be before or after it has its outcome.
        """
        self.client = client
        self.timers = timers
        self.request = request
        self.source = source
        self.destination = destination
        self.reason = reason
        self.plan = plan
        self.on_finished = on_finished
        self.on_cancelled = on_cancelled
        self.is_stopping = False
        self.outcome: Outcome | None = None
        self.detail = ""
        self.handle = ""
        self.is_cancelled = False
        self.is_used = False
        self.is_reported = False
        self.finished = eventlet_event.Event()

    def start(self) -> None:
        """Begins the move in a green thread of its own."""
        self.timers.spawn(self._run)

    def wait(self) -> None:
        """Waits for the outcome.

        Once the move is stopping, this takes at most the time of one call.
        """
        if self.outcome is None:
            self.finished.wait()

    def has_stopped(self) -> bool:
        """Returns whether it has stopped the run, which a copy continues."""
        return self.outcome in (Outcome.MOVED, Outcome.RETURNED)

    def cancel(self) -> None:
        """Frees what a move holds that the stream doesn't use; idempotent."""
        if self.is_cancelled:
            return
        self.is_cancelled = True
        self.on_cancelled(self)
        if self.outcome is not None:
            self._free()

    def copies(
        self,
    ) -> list[tuple[member_messages.Registration, routed_calls.Copy]]:
        """Returns where the run can be continued, in order of preference."""
        copy = routed_calls.Copy(self.source.address, self.handle)
        if self.outcome is Outcome.MOVED:
            return [(self.destination, copy), (self.source, copy)]
        return [(self.source, copy)]

    def _run(self) -> None:
        """Makes the move; sets and reports its outcome even if it fails."""
        outcome = Outcome.UNKNOWN
        try:
            outcome = self._move()
        finally:
            self.outcome = outcome
            self.finished.send(None)
            self.on_finished(self)
            if self.is_cancelled or outcome in (
                Outcome.STAYED,
                Outcome.UNKNOWN,
            ):
                self._free()

    def _move(self) -> Outcome:
        """Has the memory copied while the run goes on, then the run stopped."""
        try:
            for _ in range(self.plan.rounds):
                reply = self._call(self.plan.copy, stop=False)
                self.handle = reply.handle or self.handle
                if reply.status is not routed_calls.CopyStatus.COPIED:
                    self.detail = reply.status.value
                    return Outcome.STAYED
                if self.is_cancelled:
                    return Outcome.STAYED
        except (errors.MintcleatError, CallTimeout) as error:
            self.detail = _text_of(error)
            return Outcome.STAYED
        return self._stop()

    def _stop(self) -> Outcome:
        """Has the source stop the run and copy the rest."""
        self.is_stopping = True
        try:
            reply = self._call(self.plan.pause, stop=True)
        except errors.NoUpstream as error:
            # The source has not received the call.
            self.is_stopping = False
            self.detail = _text_of(error)
            return Outcome.STAYED
        except (errors.MintcleatError, CallTimeout) as error:
            self.detail = _text_of(error)
            return Outcome.UNKNOWN
        if reply.status is not routed_calls.CopyStatus.COPIED:
            self.detail = reply.status.value
        match reply.status:
            case routed_calls.CopyStatus.COPIED:
                self.handle = reply.handle
                return Outcome.MOVED
            case routed_calls.CopyStatus.REFUSED if reply.handle:
                self.handle = reply.handle
                return Outcome.RETURNED
            case routed_calls.CopyStatus.REFUSED:
                return Outcome.UNKNOWN
            case _:
                return Outcome.STAYED

    def _call(self, seconds: float, stop: bool) -> routed_calls.CopyReply:
        """Requests one copy, which is planned to take some seconds.

        Raises:
            errors.MintcleatError: See `ports.forwarding.UpstreamClient`.
            CallTimeout: It took much longer than planned.
        """
        limit = TIMEOUT_FACTOR * seconds + TIMEOUT_SECONDS
        with eventlet.Timeout(limit, CallTimeout):
            return self.client.copy_run(
                self.source, self.request, self.destination, stop
            )

    def _free(self) -> None:
        """Frees the copy unless it is used; in the background."""
        if not self.handle or self.is_used:
            return
        handle, self.handle = self.handle, ""
        self.timers.spawn(self._free_handle, handle)

    def _free_handle(self, handle: str) -> None:
        try:
            with eventlet.Timeout(FREE_TIMEOUT_SECONDS, CallTimeout):
                self.client.free_copy(self.source, handle)
        except (errors.MintcleatError, CallTimeout) as error:
            logger.info(
                "Can't free the copy {} of {} at {}, which keeps it until it"
                " expires: {}",
                handle,
                self.request,
                self.source.upstream,
                _text_of(error),
            )


def _text_of(error: BaseException) -> str:
    if isinstance(error, errors.MintcleatError):
        return error.detail
    return "no answer in time"
