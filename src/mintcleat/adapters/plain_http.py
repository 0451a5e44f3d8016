"""A plain service over HTTP."""

import eventlet
import urllib3

from mintcleat.adapters import http_errors
from mintcleat.domain import errors
from mintcleat.ports import upstream

_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class HttpService:
    """See `ports.upstream.PlainService`."""

    def __init__(self, address: str, connections: int = 64) -> None:
        self.address = address
        self.base = f"http://{address}"
        self.pool = http_errors.new_pool(connections)

    def alive(self) -> bool:
        """Tells whether the service takes connections."""
        host, _, port = self.address.rpartition(":")
        try:
            with eventlet.Timeout(http_errors.CONNECT_SECONDS, TimeoutError):
                eventlet.connect((host, int(port))).close()
        except (OSError, TimeoutError):
            return False
        return True

    def send(
        self,
        method: str,
        path: str,
        headers: list[list[str]],
        body: bytes,
        timeout: float,
    ) -> upstream.Reply:
        """Sends one request and returns the whole answer."""
        sent = urllib3.HTTPHeaderDict()
        for name, value in end_to_end(headers):
            sent.add(name, value)
        # urllib3's own limit is for each read, so that a service which sends
        # a byte now and then would hold the call for ever.
        try:
            with eventlet.Timeout(timeout or None, TimeoutError):
                response = http_errors.request(
                    self.pool,
                    method,
                    self.base + "/" + path.lstrip("/"),
                    body=body,
                    headers=sent,
                )
        except TimeoutError:
            raise errors.StreamTimeout(
                f"The service gave no whole answer within {timeout} s."
            ) from None
        received = [[name, value] for name, value in response.headers.items()]
        return upstream.Reply(
            response.status, end_to_end(received), response.data
        )


def end_to_end(headers: list[list[str]]) -> list[list[str]]:
    """Returns the headers that are not about one connection only."""
    return [pair for pair in headers if pair[0].lower() not in _HOP_HEADERS]
