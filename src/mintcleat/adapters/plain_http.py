"""An adapter for plain services over HTTP.

Under eventlet, urllib3 takes a reset within a body without a length for its
end; `http1_client` doesn't.

Each request has a connection of its own: a service's answers don't state their
requests, so that a late one to an earlier request on the connection would be
taken for the current one's.
"""

from urllib import parse

import eventlet

from mintcleat.adapters import http1_client
from mintcleat.domain import answer_ends
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
_CONNECT_TIMEOUT_SECONDS = 2.0
# Attempts to find out whether a service goes on: one that has too many
# connections may end some.
_CONFIRM_TRIES = 3
# An answer is held in memory as a whole, more than once, and sent on as one
# message. Requests have the same limit.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Characters of a target that are sent as they are.
_TARGET_CHARACTERS = "/?%:@!$&'()*+,;=~"


class _Expired(BaseException):
    """The time for a response is over.

    Derived from BaseException so that no error handler on the way catches it.
    """


class HttpService:
    """Implements `ports.upstream.PlainService`."""

    def __init__(self, address: str) -> None:
        self.address = address

    def alive(self) -> bool:
        """Returns whether the service accepts connections."""
        host, _, port = self.address.rpartition(":")
        try:
            with eventlet.Timeout(_CONNECT_TIMEOUT_SECONDS, TimeoutError):
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
        try:
            with eventlet.Timeout(timeout or None, _Expired):
                return self._exchange(method, path, headers, body)
        except _Expired:
            raise errors.StreamTimeout(
                f"The service did not complete its response within {timeout} s."
            ) from None

    def _goes_on(self) -> bool:
        """Returns whether the service goes on serving after an answer."""
        for _ in range(_CONFIRM_TRIES):
            try:
                connection = http1_client.connect(self.address)
            except errors.NoUpstream:
                return False
            try:
                if connection.stays_open():
                    return True
            finally:
                connection.close()
        return False

    def _exchange(
        self, method: str, path: str, headers: list[list[str]], content: bytes
    ) -> upstream.Reply:
        target = "/" + parse.quote(path.lstrip("/"), safe=_TARGET_CHARACTERS)
        fields = [("host", self.address)]
        fields.extend((name, value) for name, value in end_to_end(headers))
        connection = http1_client.connect(self.address)
        try:
            connection.send(method, target, fields, content)
            head = connection.read_head()
            body = connection.read_body(MAX_ANSWER_BYTES)
            is_unmarked = connection.end is answer_ends.Kind.CLOSED
            if is_unmarked and not self._goes_on():
                raise errors.StreamClosed(
                    f"The answer of {self.address} has no length, and it ended "
                    "with its connection as the service stopped."
                )
        finally:
            connection.close()
        return upstream.Reply(
            head.status,
            end_to_end([[name, value] for name, value in head.fields]),
            body,
        )


def end_to_end(headers: list[list[str]]) -> list[list[str]]:
    """Returns the headers without hop-by-hop headers."""
    return [
        pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP_HEADERS
    ]
