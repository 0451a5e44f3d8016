"""A stand-in for a plain HTTP service that counts its executions."""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet

from mintcleat.standins import http


class ServiceOptions(NamedTuple):
    """Properties of a stand-in service.

    Attributes:
        seconds: Time that each request takes.
    """

    seconds: float = 0.001


class Service:
    """A service that answers each request with a description of it.

    Attributes:
        address: `IP:PORT` of its HTTP server.
        runs: Number of executions by key and path, for tests. The key is the
            idempotency key or, without one, the body.
    """

    def __init__(
        self, listen: str = "127.0.0.1:0", options: ServiceOptions | None = None
    ) -> None:
        self.options = options or ServiceOptions()
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.start_serving(listen)

    def start_serving(self, listen: str) -> None:
        """Starts the HTTP server at the address `listen`."""
        self.server = http.HttpServer(listen, self.serve)
        self.address = self.server.address

    def stop(self) -> None:
        """Stops the service at once and drops its connections."""
        self.server.stop()

    def serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Any:
        """Handles one HTTP request as a WSGI application."""
        body = http.read_body(environ)
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "") or body.decode()
        self.execute(key, path)
        answer = {
            "method": method,
            "path": path,
            "key": key,
            "body": body.decode(),
            "customer": environ.get("HTTP_MINTCLEAT_CUSTOMER", ""),
            "credentials": environ.get("HTTP_AUTHORIZATION", ""),
        }
        return http.reply_json(start_response, answer)

    def execute(self, key: str, path: str) -> None:
        """Executes a request; services that inject faults override this."""
        self.runs[(key, path)] += 1
        eventlet.sleep(self.options.seconds)
