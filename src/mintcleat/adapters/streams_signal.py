"""Wakes green threads that wait for a change."""

from eventlet import hubs
import greenlet


class Signal:
    """Wakes all green threads that wait for a change.

    A green thread may be woken without a change, so it checks for one.

    Attributes:
        waiting: The green threads that wait.
    """

    def __init__(self) -> None:
        self.waiting: list[greenlet.greenlet] = []

    def wait(self, timeout: float | None = None) -> None:
        """Waits for the next `send` or the timeout in seconds."""
        hub = hubs.get_hub()
        current = greenlet.getcurrent()
        self.waiting.append(current)
        timer = None
        if timeout is not None:
            timer = hub.schedule_call_global(timeout, self._wake, current)
        try:
            hub.switch()
        finally:
            if timer is not None:
                timer.cancel()
            if current in self.waiting:
                self.waiting.remove(current)

    def send(self) -> None:
        """Wakes all waiting green threads."""
        if not self.waiting:
            return
        hub = hubs.get_hub()
        for waiting in self.waiting:
            hub.schedule_call_global(0, self._wake, waiting)

    def _wake(self, waiting: greenlet.greenlet) -> None:
        # It may have been woken by the timeout or an earlier `send`.
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            waiting.switch()
