"""The plain service of `standins` with fault injection."""

from typing import Any

from eventlet import event

from mintcleat.standins import service


class FaultyService(service.Service):
    """A plain service with fault injection.

    Attributes:
        hang: Whether requests are executed but not answered.
        die_after_run: Whether the service crashes after executing a request.
        crashes: Number of crashes so far.
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
        """Closes all connections, as the end of its process would."""
        self.crashes += 1
        self.stop()

    def restart(self, **_: Any) -> None:
        """Starts again at the same address."""
        self.die_after_run = False
        self.start_serving(self.address)
