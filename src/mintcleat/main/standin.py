"""A stand-in upstream as a process of its own."""

from collections.abc import Callable

from mintcleat.standins import engine
from mintcleat.standins import service


class Standin:
    """One stand-in engine or plain service."""

    def __init__(self, kind: str, listen: str) -> None:
        self.kind = kind
        self.listen = listen
        self.server: engine.Engine | service.Service | None = None

    def start(self) -> None:
        """Begins to serve."""
        if self.kind == "engine":
            self.server = engine.Engine(self.listen)
        else:
            self.server = service.Service(self.listen)

    def ready_line(self) -> str:
        """Returns the line that tells the address."""
        return f"ready standin {self.kind} http={self.server.address}"

    def stop(self, impatient: Callable[[], bool]) -> int:
        """Stops serving; a stand-in has nothing to wait for."""
        self.server.stop()
        return 0
