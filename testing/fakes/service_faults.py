"""A stand-in service that fails on command."""

from typing import Any

from eventlet import event

from mintcleat.standins import service


class FaultyService(service.Service):
    """A service with faults to switch on.

    Attributes:
        hang: Whether requests run and never get an answer.
        die_after_run: Whether the service dies once it has run a request.
        crashes: How often the service has died.
    """

    def __init__(
        self,
        options: service.ServiceOptions | None = None,
        listen: str = "127.0.0.1:0",
    ) -> None:
        self.hang = False
        self.die_after_run = False
        self.crashes = 0
        super().__init__(listen, options)

    def execute(self, key: str, path: str) -> None:
        super().execute(key, path)
        if self.hang:
            event.Event().wait(60.0)
        if self.die_after_run:
            self.crash()

    def crash(self) -> None:
        """Dies as a process does."""
        self.crashes += 1
        self.stop()

    def restart(self, **_: Any) -> None:
        """Comes back at the same address."""
        self.die_after_run = False
        self.start_serving(self.address)
