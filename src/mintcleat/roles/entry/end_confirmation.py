"""Confirms the ends of answers that nothing marks.

The connection of such an answer is closed in order when the answer is whole,
and also when its upstream crashes, or exits as planned and ends what still
runs. A process that has ended refuses connections at once, so one attempt to
connect tells the two apart. News of the upstream can't: they are some
milliseconds old, and seconds if this entry stood still, so that it isn't known
whether what they tell was before or after the end. Only an upstream that goes
on serving has ended its answer; answers with a marked end cost nothing.
"""

from collections.abc import Callable
from typing import Protocol

import eventlet

from mintcleat.configuration import directory
from mintcleat.decisions import answer_end
from mintcleat.domain import answer_ends
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import forwarding

# Times for which the end of an answer waits for each attempt to connect. The
# packet that opens a connection may be lost, and is sent again only after a
# second; over a slow link one round trip may exceed the first time. An upstream
# that lost power never answers.
CONFIRM_SECONDS = (0.05, 0.1, 0.1)
# The same for a stream, whose upstream is asked for a report: a busy process
# takes long for one.
REPORT_SECONDS = (0.05, 0.1, 0.25, 0.25)


class Configuration(Protocol):
    """The part of the followed configuration that is used here.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory.Directory


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

        Waits up to the sum of `CONFIRM_SECONDS` if nothing marks its end. Of a
        stream it also asks which process is there now, for up to the sum of
        `REPORT_SECONDS`: one that replaced that of the answer would confirm its
        end otherwise. Services of plain answers report nothing on themselves.
        """
        if end.kind is not answer_ends.Kind.CLOSED or not self.enabled:
            return end
        if self._is_replaced(upstream):
            return end._replace(kind=answer_ends.Kind.CRASHED)
        waits: tuple[float, ...] = CONFIRM_SECONDS
        ask = self.upstreams.probe
        if is_stream:
            waits = REPORT_SECONDS
            ask = self.upstreams.identify
        found = self._reachability(upstream, ask, waits)
        # A later process may have registered since.
        if self._is_replaced(upstream):
            return end._replace(kind=answer_ends.Kind.CRASHED)
        return answer_end.confirmed(end, found)

    def _is_replaced(self, upstream: member_messages.Registration) -> bool:
        """Returns whether another process has an upstream's id or address."""
        registered = self.configuration.registered
        return registered.is_replaced(upstream) or registered.is_address_taken(
            upstream
        )

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
                # One at its most connections resets others for a moment.
                eventlet.sleep(seconds)
        return routed_calls.Reachability.UNKNOWN
