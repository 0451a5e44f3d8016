"""Bounds on what callers may send to the listeners of one process."""

from mintcleat.adapters import http1_server
from mintcleat.adapters import received_bytes
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.ports import events as event_ports

# Part of the process's file descriptors for connections at the listener of its
# role. The rest is for upstreams, control instances and files.
_ROLE_FRACTION = 0.6
# The same for each listener beside it, which health checks and scrapes use.
_BESIDE_FRACTION = 0.1
# Part of the process's memory limit for what the kernel and this process hold
# of connections before their requests are read.
_MEMORY_FRACTION = 0.35
_CONNECTION_BYTES = 44 * 1024
# Health checks and scrapes have no body.
_WITHOUT_BODY = manifest.Limits(body_bytes=64 * 1024)


class ListenerBounds:
    """The bounds of one process.

    Args:
        memory_bytes: Memory limit of the process; 0 if unknown.
        descriptors: Limit of its file descriptors; 0 if unknown.
        events: Where connections that give way are reported.
        id_field: Header field with the id of a request; empty for none.
    """

    def __init__(
        self,
        memory_bytes: int,
        descriptors: int,
        events: event_ports.EventReporter,
        id_field: str = "",
    ) -> None:
        self.id_field = id_field
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors
        self.events = events
        limit = int(memory_bytes * received_bytes.FRACTION)
        self.received = received_bytes.ReceivedBytes(
            limit or received_bytes.DEFAULT_LIMIT
        )

    def of_role(self) -> http1_server.Bounds:
        """Returns the bounds of the listener of the process's role."""
        return self._bounds(_ROLE_FRACTION)

    def beside(self) -> http1_server.Bounds:
        """Returns the bounds of a listener beside that of the role."""
        return self._bounds(_BESIDE_FRACTION)

    def _bounds(self, fraction: float) -> http1_server.Bounds:
        limits = [http1_server.DEFAULT_MAX_CONNECTIONS]
        if self.descriptors:
            limits.append(int(self.descriptors * fraction))
        if self.memory_bytes:
            memory = self.memory_bytes * _MEMORY_FRACTION
            limits.append(int(memory / _CONNECTION_BYTES))
        return http1_server.Bounds(self.received, max(1, min(limits)))

    def report(self, yielded: http1_server.Yielded) -> None:
        """Reports a connection that gave way to others."""
        dropped = yielded.dropped
        fields = dict(reversed(dropped.fields)) if dropped else {}
        self.events.emit(
            event_types.ConnectionYielded(
                fields.get(self.id_field, ""),
                yielded.peer,
                yielded.reason,
                dropped.size if dropped else 0,
            )
        )


def without_body() -> manifest.Limits:
    """Returns the limits of listeners whose requests have no body."""
    return _WITHOUT_BODY
