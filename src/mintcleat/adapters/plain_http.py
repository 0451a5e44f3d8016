"""An adapter for plain services over HTTP."""

import eventlet
import urllib3

from mintcleat.adapters import http_errors
from mintcleat.domain import errors
from mintcleat.ports import upstream

_HOP_BY_HOP_HEADERS = frozenset(
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
    """Implements `ports.upstream.PlainService`."""

    def __init__(self, address: str, connections: int = 64) -> None:
        self.address = address
        self.base = f"http://{address}"
        self.pool = http_errors.new_pool(connections)

    def alive(self) -> bool:
        """Returns whether the service accepts connections."""
        host, _, port = self.address.rpartition(":")
        try:
            with eventlet.Timeout(
                http_errors.CONNECT_TIMEOUT_SECONDS, TimeoutError
            ):
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
        """Sends a request and returns the complete response."""
        sent = urllib3.HTTPHeaderDict()
        for name, value in end_to_end(headers):
            sent.add(name, value)
        # The timeout of urllib3 applies to each read, so a service that sends
        # a byte now and then would never exceed it.
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
                f"The service did not complete its response within {timeout} s."
            ) from None
        received = [[name, value] for name, value in response.headers.items()]
        return upstream.Reply(
            response.status, end_to_end(received), response.data
        )


def end_to_end(headers: list[list[str]]) -> list[list[str]]:
    """Returns the headers without hop-by-hop headers."""
    return [
        pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP_HEADERS
    ]
