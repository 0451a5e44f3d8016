"""The platform's upstreams: requests out, answers in."""

from collections.abc import Iterator
import contextlib
from typing import Any

from mintcleat.adapters import http1_client
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import callers

_EXPECT_UPSTREAM = "x-expect-instance"
_URGENCY = "x-request-urgency"
_SIGNATURE = "x-response-signature"
_NOT_RUN = "x-not-executed"
_WRONG_UPSTREAM = 421
_SUCCESS = range(200, 300)
# Answers to earlier requests that are read over before the right one.
_MAX_PASSED_OVER = 3


class HttpUpstreams:
    """See `ports.forwarding.UpstreamClient`."""

    def __init__(self) -> None:
        self.pool = http1_client.Pool()

    def send(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: routed_calls.UpstreamRequest,
    ) -> "HttpAnswer":
        """Sends a request and returns the answer once its head has come."""
        connection = self.pool.acquire(upstream.incarnation, upstream.address)
        try:
            connection.send(
                call.method,
                call.target,
                _headers(upstream, call, request),
                request.body,
            )
            head = _answer_to(connection, call.request)
            return HttpAnswer(self.pool, upstream, connection, head)
        except BaseException:
            connection.close()
            raise

    def forget(self, incarnation: str) -> None:
        """Drops the idle connections of a life of an upstream that is over."""
        self.pool.discard(incarnation)


class HttpAnswer:
    """See `ports.forwarding.UpstreamResponse`.

    Attributes:
        head: Start of the answer.
    """

    def __init__(
        self,
        pool: http1_client.Pool,
        upstream: member_messages.Registration,
        connection: http1_client.Connection,
        response: Any,
    ) -> None:
        self.pool = pool
        self.upstream = upstream
        self.connection: http1_client.Connection | None = connection
        fields = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        ]
        self.fields = dict(fields)
        status = response.status_code
        self._check(status)
        kind = self.fields.get("content-type", "")
        length = self.fields.get("content-length", "")
        self.head = routed_calls.ResponseHead(
            status,
            response.reason.decode("latin-1"),
            tuple(
                field
                for field in fields
                if field[0] not in callers.CONNECTION_FIELDS
            ),
            int(length) if length.isdigit() else None,
            status in _SUCCESS and kind.startswith("text/event-stream"),
        )

    def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join(self.chunks())

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it comes; ends only at its whole end."""
        connection = self.connection
        while True:
            data = connection.read_data()
            if data is None:
                break
            yield data
        self.connection = None
        if connection.prepare_reuse(
            _keep_alive(self.fields.get("keep-alive", ""))
        ):
            self.pool.release(self.upstream.incarnation, connection)
        else:
            connection.close()

    def close(self) -> None:
        """Gives up what has not come."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _check(self, status: int) -> None:
        """Refuses what is no answer of the upstream that was asked.

        Raises:
            errors.NoUpstream: The request surely did not run.
            errors.StreamClosed: Nothing can be said of it.
        """
        if status == _WRONG_UPSTREAM:
            raise errors.WrongUpstream(
                f"{self.upstream.address} is another upstream by now."
            )
        if _NOT_RUN in self.fields:
            with contextlib.suppress(errors.StreamClosed):
                self.body()
            raise errors.UpstreamBusy(
                f"{self.upstream.upstream} took no more and said {status}."
            )
        if "content-encoding" in self.fields:
            raise errors.StreamClosed("The answer's body is encoded.")
        if status in _SUCCESS and _SIGNATURE not in self.fields:
            raise errors.StreamClosed("The answer bears no mark.")


def _headers(
    upstream: member_messages.Registration,
    call: routed_calls.RoutedCall,
    request: routed_calls.UpstreamRequest,
) -> list[tuple[str, str]]:
    headers = [
        *call.headers,
        (callers.DEADLINE, str(int(request.deadline * 1000))),
        (_EXPECT_UPSTREAM, upstream.upstream),
        (_URGENCY, str(request.urgency)),
    ]
    if call.customer:
        headers.append((callers.CUSTOMER, call.customer))
    if request.last_event:
        headers.append((callers.LAST_EVENT, request.last_event))
    return headers


def _answer_to(connection: http1_client.Connection, request: str) -> Any:
    """Returns the head of the answer to a request.

    An upstream may answer an earlier request of this connection once more;
    the id that it repeats tells which request an answer belongs to.
    """
    for _ in range(_MAX_PASSED_OVER):
        head = connection.read_head()
        found = dict(head.headers).get(callers.REQUEST_ID.encode())
        if found is None or found.decode("latin-1") == request:
            return head
        connection.skip_response()
    raise errors.StreamClosed(
        f"{connection.address} answers other requests only."
    )


def _keep_alive(value: str) -> float:
    """Returns the seconds for which an idle connection is kept."""
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return 0.0
