"""Idle connections to upstreams, which carry later requests."""

from mintcleat.adapters import http1_client

# Maximum number of idle connections of one upstream.
_MAX_IDLE = 64


class Pool:
    """Idle connections by upstream; the last used is reused first."""

    def __init__(self) -> None:
        self.idle: dict[str, list[http1_client.Connection]] = {}

    def take_idle(
        self, upstream: str, request: str = ""
    ) -> http1_client.Connection | None:
        """Returns a usable idle connection; None if there is none.

        Args:
            upstream: The upstream.
            request: Id of the request that it is for. A late answer to an
                earlier request of that id would be taken for the answer.
        """
        connections = self.idle.get(upstream, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable() and request not in connection.carried:
                return connection
            connection.close()
        return None

    def release(
        self, upstream: str, connection: http1_client.Connection
    ) -> None:
        """Returns a connection to the pool; closes it if the pool is full."""
        connections = self.idle.setdefault(upstream, [])
        if len(connections) >= _MAX_IDLE:
            connection.close()
            return
        connections.append(connection)

    def discard(self, upstream: str) -> None:
        """Closes an upstream's idle connections."""
        for connection in self.idle.pop(upstream, []):
            connection.close()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for upstream in list(self.idle):
            self.discard(upstream)

    def close_stale(self) -> None:
        """Closes idle connections that are not usable any more."""
        for connections in self.idle.values():
            for connection in list(connections):
                if connection.is_stale():
                    connections.remove(connection)
                    connection.close()
