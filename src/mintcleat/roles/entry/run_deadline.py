"""The deadline of one routed request, and the timeout that enforces it."""

from typing import Any

import eventlet
from eventlet import greenthread

from mintcleat.ports import timers as timer_ports

# A request that has not been sent this long before its deadline can't be
# answered in time; it is refused while the caller still waits.
REFUSAL_MARGIN_SECONDS = 0.05
# Extra time after the deadline of a request that an upstream is running. Its
# response or the last events of a stream may be on the way, and the caller
# decides itself when to stop waiting.
GRACE_SECONDS = 0.15


class RequestTimeout(BaseException):
    """The request timed out.

    Derived from BaseException so that no error handler on the way catches it.
    """


class RunDeadline:
    """Limits the time of a request; times are monotonic, in seconds.

    Attributes:
        began: Time of the request's arrival.
        at: Time by which the caller must have the response.
        timeout: The current timeout, which raises a RequestTimeout; None
            for none.
        thread: Green thread that it limits.
    """

    def __init__(
        self, timers: timer_ports.Timers, began: float, limit: float
    ) -> None:
        self.timers = timers
        self.began = began
        self.at = began + limit
        self.timeout: eventlet.Timeout | None = None
        self.thread: Any = None

    @property
    def left(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.at - self.timers.now()

    @property
    def refusable_for(self) -> float:
        """Seconds in which the request can be refused; negative after them."""
        return self.left - REFUSAL_MARGIN_SECONDS

    def is_refusable(self) -> bool:
        """Returns whether too little time is left to send the request."""
        return self.refusable_for <= 0.0

    @property
    def latest(self) -> float:
        """Time at which the run of a request that was sent ends at latest."""
        return self.at + GRACE_SECONDS

    def limit_wait(self) -> None:
        """Ends the run early enough to refuse a request not yet sent."""
        self._set(self.at - REFUSAL_MARGIN_SECONDS)

    def limit_response(self) -> None:
        """Ends the run of a request that an upstream may be running."""
        self._set(self.latest)

    def cancel(self) -> None:
        """Ends the timeout; has no effect without one."""
        if self.timeout is not None:
            self.timeout.cancel()
            self.timeout = None

    def expire(self) -> None:
        """Lets the request time out now, for a caller in another thread."""
        self.cancel()
        greenthread.kill(self.thread, RequestTimeout())

    def _set(self, until: float) -> None:
        """Sets the timeout; replaces an earlier one."""
        self.cancel()
        left = max(0.0, until - self.timers.now())
        self.timeout = eventlet.Timeout(left, RequestTimeout)
        self.thread = eventlet.getcurrent()
