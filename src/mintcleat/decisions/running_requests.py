"""What one entry has running at each upstream.

Load balancing reads the number of requests, and detection of silent upstreams
how long each has been pending.
"""

from typing import NamedTuple


class PendingRequest(NamedTuple):
    """A request that an upstream has not answered completely.

    Attributes:
        sent_at: When it was sent.
        silence_timeout: Seconds of silence that are normal for its route.
    """

    sent_at: float
    silence_timeout: float


class RunningRequests:
    """The requests of one entry that are running.

    Attributes:
        by_upstream: Requests by upstream and request id; without upstreams
            that have none.
    """

    def __init__(self) -> None:
        self.by_upstream: dict[str, dict[str, PendingRequest]] = {}

    def began(
        self, upstream: str, request: str, silence_timeout: float, now: float
    ) -> None:
        """Records that a request was sent."""
        self.by_upstream.setdefault(upstream, {})[request] = PendingRequest(
            now, silence_timeout
        )

    def ended(self, upstream: str, request: str) -> None:
        """Removes a request that ended; idempotent."""
        pending = self.by_upstream.get(upstream, {})
        pending.pop(request, None)
        if not pending:
            self.by_upstream.pop(upstream, None)

    def count(self, upstream: str) -> int:
        """Returns the number of requests at an upstream."""
        return len(self.by_upstream.get(upstream, ()))
