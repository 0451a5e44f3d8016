"""Green threads that are reused.

Python maps memory for the stack of each new green thread and unmaps it at its
end, which takes as long as a short task. Tasks that are started for each
message therefore share green threads.
"""

from collections.abc import Callable
from typing import Any

from eventlet import hubs
from eventlet import patcher
import greenlet
from loguru import logger

# Maximum number of idle green threads; about as many as run at the same time.
_MAX_IDLE = 64

# The idle green threads of each hub; a hub belongs to one thread.
_local = patcher.original("threading").local()


def spawn(function: Callable[..., Any], *args: Any) -> None:
    """Runs a function in a green thread, after those that can run now.

    An exception of the function is logged.
    """
    hub = hubs.get_hub()
    idle = _idle_workers(hub)
    worker = idle.pop() if idle else _Worker(hub, idle)
    worker.task = function, args
    hub.schedule_call_global(0, worker.greenlet.switch)


def _idle_workers(hub: Any) -> "list[_Worker]":
    if getattr(_local, "hub", None) is not hub:
        _local.hub = hub
        _local.idle = []
    return _local.idle


class _Worker:
    """A green thread that runs one task after another.

    Attributes:
        hub: The hub of its thread.
        idle: Idle workers of that hub; this one is listed while it is idle.
        task: The next function and its arguments; None while it is idle.
    """

    def __init__(self, hub: Any, idle: "list[_Worker]") -> None:
        self.hub = hub
        self.idle = idle
        self.task: tuple[Callable[..., Any], Any] | None = None
        self.greenlet = greenlet.greenlet(self._run, hub.greenlet)

    def _run(self) -> None:
        while True:
            self._run_task()
            if len(self.idle) >= _MAX_IDLE:
                return
            self.idle.append(self)
            try:
                while self.task is None:
                    self.hub.switch()
            finally:
                # It is still listed if it was killed while it was idle.
                if self.task is None and self in self.idle:
                    self.idle.remove(self)

    def _run_task(self) -> None:
        task, self.task = self.task, None
        if task is None:
            return
        function, args = task
        try:
            function(*args)
        except Exception:
            logger.exception("A green thread failed.")
