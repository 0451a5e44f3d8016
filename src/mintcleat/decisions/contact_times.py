"""How long a request waits for its upstream before it is sent there.

An entry connects to an upstream, and asks it before a stream which process it
is. Nothing runs until then. Both take a round trip, but on a busy machine up to
a second or so.

While another upstream could take the request, a late one is left soon: that
costs the caller a round trip. At the last one, leaving would cost it the
request, so the wait is longer, but no longer than an upstream that works may be
silent, and for a part of the remaining time only: a caller that is refused has
to have time to try another entry, which may be connected already. An upstream
that stayed silent for a long wait hangs, and its next callers don't wait for
it.
"""

from mintcleat.domain import routed_calls

# With another upstream to go to. A lost packet delays data by 0.2 s.
_EARLY_CONNECT_SECONDS = 0.5
_EARLY_REPORT_SECONDS = 0.25
# A busy process answers within about a second, and a packet that opens a
# connection is sent again after one.
MAX_SECONDS = 2.0
# Part of the remaining time for which the last upstream is waited for.
_PART = 0.5
# Silence after which an upstream hangs, and the time for which its callers are
# not held after that; the next one finds out whether it still does.
_HANG_SECONDS = 1.0
_RECOVERY_SECONDS = 1.0


def times(
    has_alternative: bool, is_hanging: bool, left: float
) -> routed_calls.ContactTimes:
    """Returns how long a request waits for an upstream.

    Args:
        has_alternative: Whether the request can go on without it.
        is_hanging: Whether it was silent for a long wait just now.
        left: Seconds in which the request can still be refused.
    """
    left = max(0.0, left)
    if has_alternative or is_hanging:
        return routed_calls.ContactTimes(
            _EARLY_CONNECT_SECONDS, _EARLY_REPORT_SECONDS, left
        )
    longest = max(_EARLY_REPORT_SECONDS, min(MAX_SECONDS, _PART * left))
    return routed_calls.ContactTimes(longest, longest, min(longest, left))


class HangingUpstreams:
    """Upstreams that were silent for a long wait.

    Attributes:
        until: When each is waited for again; monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}

    def left(self, upstream: str, waited: float, now: float) -> None:
        """Records that a request left an upstream that said nothing.

        Args:
            upstream: The upstream.
            waited: Seconds for which it waited.
            now: The current time.
        """
        if waited >= _HANG_SECONDS:
            self.until[upstream] = now + _RECOVERY_SECONDS

    def is_hanging(self, upstream: str, now: float) -> bool:
        """Returns whether waiting for an upstream seems in vain."""
        return now < self.until.get(upstream, now)

    def answered(self, upstream: str) -> None:
        """Records that an upstream answers; idempotent."""
        self.until.pop(upstream, None)

    # An upstream that no longer exists leaves nothing.
    forget = answered
