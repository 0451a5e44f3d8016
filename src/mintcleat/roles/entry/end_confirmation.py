"""Confirms the ends of answers that nothing marks.

The connection of such an answer is closed in order when the answer is whole,
and also when its upstream crashes. A process that crashed refuses connections
at once, so one attempt to connect tells the two apart. One that leaves refuses
them too after its last answer, but it deregisters then, which a process that
was killed can't do any more. One whose time to drain is over deregisters and
ends what still runs with its connections. Which came first, the end of the
answer or the deregistration, this entry's own directory can't tell, as it is
always some milliseconds old. So the config leader is asked once the end is
there. Answers with a marked end cost nothing.
"""

from collections.abc import Callable
import contextlib
from typing import Any
from typing import Protocol

import eventlet

from mintcleat.configuration import directory
from mintcleat.decisions import answer_end
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding

# Time for which the end of an answer waits for each attempt to connect: several
# round trips. An upstream that lost power never answers.
CONFIRM_SECONDS = 0.05
# Attempts to connect. The packet that opens a connection may be lost, and is
# sent again only after a second.
CONFIRM_TRIES = 3
# Further attempts of a stream, whose upstream is asked for a report: the times
# that a busy process may take for one.
REPORT_SECONDS = (0.1, 0.25, 0.25)
# Time for which the end of an answer waits until its upstream deregisters: some
# commits.
LEAVE_SECONDS = 0.25
_LEAVE_CHECK_SECONDS = 0.02
# Time after which another control instance is asked.
_TRY_SECONDS = 0.1


class Configuration(Protocol):
    """The part of the followed configuration that is used here.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory.Directory

    def ask(self, message: Any, timeout: float, try_timeout: float) -> Any:
        """Sends a request to the config leader and returns its reply."""


class EndConfirmation:
    """Asks upstreams whether they still run after their answers.

    Attributes:
        enabled: Whether it asks at all; experiments can do without.
    """

    def __init__(
        self,
        configuration: Configuration,
        upstreams: forwarding.UpstreamClient,
        enabled: bool = True,
    ) -> None:
        self.configuration = configuration
        self.upstreams = upstreams
        self.enabled = enabled

    def confirm(
        self,
        upstream: member_messages.Registration,
        end: answer_ends.AnswerEnd,
        is_stream: bool,
    ) -> answer_ends.AnswerEnd:
        """Returns how an answer ended that seems whole.

        Waits up to `CONFIRM_TRIES` times `CONFIRM_SECONDS` if nothing marks
        its end, and `LEAVE_SECONDS` more if its upstream was leaving and is
        gone. Of a stream it also asks which process is there now, for up to
        `REPORT_SECONDS` more: one that replaced that of the answer would
        confirm its end otherwise. Services of plain answers report nothing on
        themselves.
        """
        if end.kind is not answer_ends.Kind.CLOSED or not self.enabled:
            return end
        registered = self.configuration.registered
        if registered.is_replaced(upstream):
            return end._replace(kind=answer_ends.Kind.CRASHED)
        # One that has deregistered before the end says nothing more.
        may_deregister = registered.is_registered(
            upstream
        ) and not registered.is_ready(upstream)
        if is_stream:
            ask = self.upstreams.identify
            waits = (CONFIRM_SECONDS, *REPORT_SECONDS)
        else:
            ask = self.upstreams.probe
            waits = (CONFIRM_SECONDS,) * CONFIRM_TRIES
        found = self._reachability(upstream, ask, waits)
        # A later process may have registered since.
        if registered.is_replaced(upstream):
            return end._replace(kind=answer_ends.Kind.CRASHED)
        if (
            found is routed_calls.Reachability.REFUSES
            and may_deregister
            and self._deregisters(upstream)
        ):
            return end
        return answer_end.confirmed(end, found)

    def _deregisters(self, upstream: member_messages.Registration) -> bool:
        """Returns whether a leaving upstream deregisters from now on.

        If it has done so before, or was removed for another reason, nothing
        shows that it still ran at the end of its answer.
        """
        question = member_messages.FindUpstream(
            upstream.upstream, upstream.started
        )
        was_registered = False
        with (
            eventlet.Timeout(LEAVE_SECONDS, False),
            contextlib.suppress(errors.MintcleatError),
        ):
            while True:
                found = self.configuration.ask(
                    question, LEAVE_SECONDS, _TRY_SECONDS
                )
                if not found.is_registered:
                    return was_registered and found.has_deregistered
                was_registered = True
                eventlet.sleep(_LEAVE_CHECK_SECONDS)
        return False

    def _reachability(
        self,
        upstream: member_messages.Registration,
        ask: Callable[
            [member_messages.Registration], routed_calls.Reachability
        ],
        waits: tuple[float, ...],
    ) -> routed_calls.Reachability:
        for seconds in waits:
            with eventlet.Timeout(seconds, False):
                found = ask(upstream)
                if found is not routed_calls.Reachability.UNKNOWN:
                    return found
        return routed_calls.Reachability.UNKNOWN
