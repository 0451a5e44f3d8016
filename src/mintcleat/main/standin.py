"""A stand-in upstream in a process of its own."""

from collections.abc import Callable

from mintcleat.standins import engine
from mintcleat.standins import service


class Standin:
    """A stand-in engine or plain service; see `mintcleat.standins`."""

    def __init__(self, kind: str, listen: str) -> None:
        self.kind = kind
        self.listen = listen
        self.server: engine.Engine | service.Service | None = None

    def start(self) -> None:
        """Starts to serve."""
        if self.kind == "engine":
            self.server = engine.Engine(self.listen)
        else:
            self.server = service.Service(self.listen)

    def ready_line(self) -> str:
        """Returns the line with the address that is printed once started."""
        return f"ready standin {self.kind} http={self.server.address}"

    def failure(self) -> None:
        """Returns None: a stand-in has no state that can fail."""

    def stop(self, is_forced: Callable[[], bool]) -> int:
        """Stops at once and returns 0."""
        self.server.stop()
        return 0
