"""A small plain service that counts what it runs."""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet

from mintcleat.standins import http


class ServiceOptions(NamedTuple):
    """What a stand-in service is like; `seconds` is the time of a request."""

    seconds: float = 0.001


class Service:
    """Answers each request with its method, path, key and body.

    Attributes:
        address: `IP:PORT` of its HTTP server.
        runs: Executions by idempotency key (or body where there is none)
            and path: the witness of a test.
    """

    def __init__(
        self, listen: str = "127.0.0.1:0", options: ServiceOptions | None = None
    ) -> None:
        self.options = options or ServiceOptions()
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.start_serving(listen)

    def start_serving(self, listen: str) -> None:
        """Starts to listen."""
        self.server = http.HttpServer(listen, self.serve)
        self.address = self.server.address

    def stop(self) -> None:
        """Ends the service at once."""
        self.server.stop()

    def serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Any:
        """Answers one HTTP request."""
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
        """Does the work; fault-injecting services override this."""
        self.runs[(key, path)] += 1
        eventlet.sleep(self.options.seconds)
