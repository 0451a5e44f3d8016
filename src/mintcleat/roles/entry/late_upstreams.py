"""The upstreams that were late for one request before it was sent there."""

from mintcleat.decisions import contact_times
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import upstream_loads


class LateUpstreams:
    """How long one request waits for upstreams, and which it has left.

    A request that has left late upstreams and finds all others full or failed
    goes back to them: they are alive more often than not.

    Attributes:
        left: Incarnations of the upstreams that it has left for another one.
        is_early: Whether it would leave the current one for another one.
        is_back: Whether it has gone back to them.
    """

    def __init__(
        self,
        loads: upstream_loads.UpstreamLoads,
        deadline: run_deadline.RunDeadline,
    ) -> None:
        self.loads = loads
        self.deadline = deadline
        self.left: set[str] = set()
        self.is_early = False
        self.is_back = False

    def times(
        self, upstream: member_messages.Registration, has_alternative: bool
    ) -> routed_calls.ContactTimes:
        """Returns how long the request waits for an upstream.

        Args:
            upstream: The upstream.
            has_alternative: Whether the request can go on without it.
        """
        now = self.loads.timers.now()
        is_hanging = self.loads.hanging.is_hanging(upstream.incarnation, now)
        has_alternative = has_alternative and not self.is_back
        self.is_early = has_alternative and not is_hanging
        return contact_times.times(
            has_alternative, is_hanging, self.deadline.refusable_for
        )

    def failed(
        self,
        upstream: member_messages.Registration,
        error: errors.MintcleatError,
        began: float,
    ) -> None:
        """Records a failed attempt that began at a time."""
        if not isinstance(error, errors.UpstreamLate):
            return
        now = self.loads.timers.now()
        if self.is_early:
            self.left.add(upstream.incarnation)
        self.loads.hanging.left(upstream.incarnation, now - began, now)

    def take_back(self) -> set[str]:
        """Returns the late upstreams to go back to; only the first time."""
        if self.is_back:
            return set()
        self.is_back = bool(self.left)
        return self.left
