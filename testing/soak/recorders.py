"""Observers of stand-in upstreams; they tell the checks what they see."""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

from testing.soak import checks as checks_module
from testing.soak import moving_checks
from testing.soak import moving_upstreams
from testing.soak import upstreams


class Recorder:
    """Implements `upstreams.Observer`: passes runs on to the checks.

    Attributes:
        upstreams: All upstreams by name.
        crashed_at: When each upstream crashed that has not restarted.
    """

    def __init__(self, checks: checks_module.Checks) -> None:
        self.checks = checks
        self.upstreams: dict[str, upstreams.Upstream] = {}
        self.crashed_at: dict[str, float] = {}

    def broke_off(self, request: str) -> None:
        """Records an answer that its upstream broke off."""
        self.checks.broken.add(request)

    def crashed(self, request: str, upstream: str) -> None:
        """Records a crash under a request."""
        now = time.monotonic()
        self.crashed_at[upstream] = now
        self.checks.crashed(now, request)

    def restarted(self, upstream: str) -> None:
        """Records the time for which an upstream was down."""
        began = self.crashed_at.pop(upstream)
        self.checks.disturbances.append(
            checks_module.Disturbance(upstream, began, time.monotonic())
        )

    def run_began(
        self, request: str, upstream: str, customer: str, body: bytes
    ) -> None:
        """Records a run, and whether its upstream was draining."""
        now = time.monotonic()
        run = checks_module.Run(now, upstream, customer)
        self.checks.run_began(request, run, body)
        since = self.upstreams[upstream].draining_since
        if since:
            self.checks.ran_while_draining(now, upstream, since, request)


class MovingRecorder(Recorder):
    """Implements `moving_upstreams.Observer`.

    Attributes:
        observed: Gets what upstreams with moves do.
        on_point: Called where a move is at a point; it may disturb it there.
    """

    def __init__(
        self,
        checks: checks_module.Checks,
        on_point: Callable[[str, Any, Any], Awaitable[None]],
    ) -> None:
        super().__init__(checks)
        self.observed = moving_checks.Observed(checks)
        self.on_point = on_point

    def generated(
        self, run: moving_upstreams.Run, upstream: str, number: int
    ) -> None:
        """Records an event."""
        del number
        self.observed.generated(time.monotonic(), run, upstream)

    def worked(self, run: moving_upstreams.Run, upstream: str) -> None:
        """Records the end of work on a run."""
        del upstream
        self.observed.worked(time.monotonic(), run)

    def used_again(self, copy: moving_upstreams.Copy) -> None:
        """Records a second use of a handle."""
        self.observed.violation(
            time.monotonic(), "used_again", f"{copy.handle} {copy.run.request}"
        )

    def used_by_another(
        self, copy: moving_upstreams.Copy, request: str
    ) -> None:
        """Records the use of another request's memory."""
        self.observed.violation(
            time.monotonic(),
            "memory_of_another",
            f"{request} names {copy.handle} of {copy.run.request}",
        )

    async def reached(
        self,
        point: str,
        copy: moving_upstreams.Copy | None,
        run: moving_upstreams.Run,
    ) -> None:
        """Lets the scenario disturb a move."""
        await self.on_point(point, copy, run)
