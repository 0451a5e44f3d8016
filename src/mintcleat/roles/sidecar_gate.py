"""Admission at the sidecar: who runs now, who waits, who is refused."""

import collections

from mintcleat.domain import errors
from mintcleat.ports import timers as timers_port
from mintcleat.roles import sidecar_attempts


class Admission:
    """A queue before the upstream, in order of arrival.

    Attributes:
        limit: Calls at the upstream at once.
        longest: Calls that may wait; a longer queue would only end in
            missed deadlines, so what comes after is refused at once.
    """

    def __init__(
        self, timers: timers_port.Timers, limit: int, longest: int
    ) -> None:
        self.timers = timers
        self.limit = limit
        self.longest = longest
        self.running = 0
        self.waiting: collections.deque[sidecar_attempts.Attempt] = (
            collections.deque()
        )
        self.service_time = 0.0

    def enter(self, attempt: sidecar_attempts.Attempt) -> None:
        """Waits until the attempt may go to the upstream.

        Raises:
            errors.Overloaded: Too many wait.
            errors.DeadlineUnmet: The caller's deadline ended in the queue.
        """
        if self.running < self.limit and not self.waiting:
            self.running += 1
            return
        if len(self.waiting) >= self.longest:
            raise errors.Overloaded(
                f"{len(self.waiting)} calls wait here.",
                retry_after=max(0.1, self.wait()),
            )
        self.waiting.append(attempt)
        subscription = self.timers.after(
            max(0.0, attempt.until - self.timers.now()), attempt.notify
        )
        try:
            self._wait_turn(attempt)
        finally:
            subscription.cancel()

    def leave(self, seconds: float) -> None:
        """Frees a place after a call of `seconds`."""
        self.running -= 1
        share = 0.1 if self.service_time else 1.0
        self.service_time += share * (seconds - self.service_time)
        self._admit_next()

    def wait(self) -> float:
        """Returns the predicted wait of a new call, in seconds."""
        if self.running < self.limit and not self.waiting:
            return 0.0
        return (len(self.waiting) + 1) * self.service_time / self.limit

    def _wait_turn(self, attempt: sidecar_attempts.Attempt) -> None:
        while attempt in self.waiting:
            if attempt.cancelled is not None:
                self.waiting.remove(attempt)
                raise attempt.cancelled
            if self.timers.now() >= attempt.until:
                self.waiting.remove(attempt)
                raise errors.DeadlineUnmet("The deadline ended in the queue.")
            attempt.changed.wait()

    def _admit_next(self) -> None:
        while self.waiting and self.running < self.limit:
            attempt = self.waiting.popleft()
            self.running += 1
            attempt.notify()
