"""An HTTP client for the platform's upstreams."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import re
import reprlib
from typing import Any
from urllib import parse

import eventlet
import msgspec

from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_heads
from mintcleat.adapters import http1_pool
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import callers
from mintcleat.platform import names
from mintcleat.platform import upstream_replies

_URGENCY = "x-request-urgency"
_SIGNATURE = "x-response-signature"
_COPY_FROM = "kv-from"
_BACKUP = "x-kv-backup"
_MOVE_PATH = "/v1/kv-move"
_HANDLE_PATH = "/v1/kv-handle/"
_NO_CONTENT = (204, 205)
_COPY_STATUS = {
    200: routed_calls.CopyStatus.COPIED,
    404: routed_calls.CopyStatus.ABSENT,
    409: routed_calls.CopyStatus.IN_PROGRESS,
    upstream_replies.NO_CAPACITY: routed_calls.CopyStatus.REFUSED,
}
# Handles are sent on in a header.
_HANDLE = re.compile(r"[\x21-\x7e]{1,256}")
_SUCCESS = range(200, 300)
# Bounds of the body of a refusal that is read.
_MAX_REFUSAL_BYTES = 64 * 1024
_REFUSAL_SECONDS = 0.1


class _ContactTimeout(Exception):
    """An upstream took too long before a request could be sent."""


class HttpUpstreamClient:
    """See `ports.forwarding.UpstreamClient`.

    Attributes:
        on_work: See `http1_client.Connection`; None to wait for nothing.
    """

    def __init__(self) -> None:
        self.pool = http1_pool.Pool()
        self.on_work: Callable[[float], None] | None = None

    def send(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: routed_calls.UpstreamRequest,
    ) -> "HttpUpstreamResponse":
        """Sends a request and returns once the response's head has arrived."""
        connection = self._contact(upstream, call, request)
        try:
            if self.on_work is not None:
                connection.on_work = self.on_work
            left = request.before_sending()
            is_first = not connection.carried
            connection.carried.append(call.request)
            connection.send(
                call.method,
                call.target,
                _headers(upstream, call, request, left),
                *request.body,
            )
            head = upstream_replies.read_head(
                connection,
                upstream_replies.SentRequest(
                    call.request,
                    is_first,
                    request.may_retry,
                    request.copy is not None,
                ),
            )
            # The run was not continued, so the next copy of it can be tried.
            if (
                request.copy is not None
                and head.status == upstream_replies.NO_CAPACITY
            ):
                raise errors.UpstreamBusy(
                    f"Upstream {upstream.upstream} has no copy {request.copy} "
                    "of the run's memory."
                )
            return HttpUpstreamResponse(
                self.pool, upstream, connection, head, request.is_stream
            )
        except BaseException:
            connection.close()
            raise

    def _contact(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: routed_calls.UpstreamRequest,
    ) -> http1_client.Connection:
        """Returns a connection on which a request can be sent.

        Raises:
            errors.NoUpstream: There is none, or not in time.
        """
        times = request.contact
        is_checked = bool(upstream.started) and (
            request.is_stream or request.copy is not None
        )
        connection = self.pool.take_idle(upstream.incarnation, call.request)
        if connection is not None and (
            connection.is_identified or not is_checked
        ):
            return connection
        # A report states no request, and a late answer may state none either.
        if connection is not None and connection.carried:
            connection.close()
            connection = None
        try:
            with eventlet.Timeout(times.total, _ContactTimeout):
                if connection is None:
                    connection = http1_client.connect(
                        upstream.address, times.connect
                    )
                if is_checked:
                    return _identified(connection, upstream, times)
                return connection
        except BaseException as error:
            if connection is not None:
                connection.close()
            if isinstance(error, _ContactTimeout):
                raise errors.UpstreamLate(
                    f"Upstream {upstream.upstream} was not ready for the "
                    f"request within {times.total:.2f} s."
                ) from None
            raise

    def copy_run(
        self,
        upstream: member_messages.Registration,
        request: str,
        destination: member_messages.Registration,
        stop: bool,
    ) -> routed_calls.CopyReply:
        """See `ports.forwarding.UpstreamClient`."""
        body = {"id": request, "to": destination.address, "last": stop}
        status, data = _exchange(
            upstream, "POST", _MOVE_PATH, msgspec.json.encode(body)
        )
        if status == upstream_replies.WRONG_UPSTREAM:
            raise errors.WrongUpstream(
                f"Another upstream has the address {upstream.address} now."
            )
        fields = upstream_replies.decode_object(data)
        handle = _handle_of(fields)
        made = fields.get("made", 0)
        found = _COPY_STATUS.get(status)
        # A copy without a handle could be neither continued nor freed.
        if found is None or (status in _SUCCESS and not handle):
            raise errors.StreamClosed(
                f"Expected an answer on a copy from {upstream.upstream}, but "
                f"found status {status} and {reprlib.repr(data)}."
            )
        return routed_calls.CopyReply(
            found, handle, made if type(made) is int else 0
        )

    def free_copy(
        self, upstream: member_messages.Registration, handle: str
    ) -> None:
        """See `ports.forwarding.UpstreamClient`."""
        path = _HANDLE_PATH + parse.quote(handle, safe=":@")
        _exchange(upstream, "DELETE", path, b"")

    def probe(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        """See `ports.forwarding.UpstreamClient`."""
        opened = _open(upstream)
        if isinstance(opened, routed_calls.Reachability):
            return opened
        try:
            serves = opened.stays_open()
        except BaseException:
            # The caller's time is up.
            opened.close()
            raise
        if not serves:
            opened.close()
            return routed_calls.Reachability.UNKNOWN
        opened.keep_unused()
        self.pool.release(upstream.incarnation, opened)
        return routed_calls.Reachability.ACCEPTS

    def identify(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        """See `ports.forwarding.UpstreamClient`."""
        opened = _open(upstream)
        if isinstance(opened, routed_calls.Reachability):
            return opened
        try:
            report = upstream_replies.read_report(opened, upstream)
        except errors.StreamClosed:
            opened.close()
            return routed_calls.Reachability.UNKNOWN
        except BaseException:
            # The caller's time is up.
            opened.close()
            raise
        found = report.reachability(upstream)
        is_same = found is routed_calls.Reachability.ACCEPTS
        if report.is_reusable and is_same:
            self.pool.release(upstream.incarnation, opened)
        else:
            opened.close()
        return found

    def forget(self, incarnation: str) -> None:
        """Closes the idle connections to an upstream process that has ended."""
        self.pool.discard(incarnation)


class HttpUpstreamResponse:
    """See `ports.forwarding.UpstreamResponse`.

    Attributes:
        head: Status and headers of the response.
        framing: What ends the body.
        received: Bytes of the body that were received.
        end: How the body ended; None before its end.
        skipped: Responses to other requests that came before it.
    """

    def __init__(
        self,
        pool: http1_pool.Pool,
        upstream: member_messages.Registration,
        connection: http1_client.Connection,
        response: http1_heads.ResponseHead,
        is_stream: bool,
    ) -> None:
        """Initializes a response whose head has arrived.

        Args:
            pool: Where its connection is kept after it.
            upstream: The upstream that sends it.
            connection: The connection on which it arrives.
            response: Its head.
            is_stream: Whether a success whose head states no type consists of
                events.
        """
        self.pool = pool
        self.upstream = upstream
        self.connection: http1_client.Connection | None = connection
        self.fields = dict(response.fields)
        self.framing = response.body.framing
        self.skipped = connection.skipped
        self.received = 0
        self.end: answer_ends.AnswerEnd | None = None
        status = response.status
        self._validate(status)
        content_type = self.fields.get("content-type", "").lower()
        self.head = routed_calls.ResponseHead(
            status,
            response.reason,
            tuple(
                field
                for field in response.fields
                if field[0] not in callers.HOP_BY_HOP_FIELDS
            ),
            status in _SUCCESS
            and status not in _NO_CONTENT
            and (
                content_type.startswith("text/event-stream")
                if content_type
                else is_stream
            ),
        )

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives; returns at its end.

        Raises:
            errors.StreamClosed: The body was cut off.
        """
        connection = self.connection
        if connection is None:
            raise errors.StreamClosed("The response has been closed.")
        while (data := self._read(connection)) is not None:
            self.received += len(data)
            yield data
        self.connection = None
        keep_alive = self.fields.get("keep-alive", "")
        if connection.prepare_reuse(
            http1_client.keep_alive_seconds(keep_alive)
        ):
            self.pool.release(self.upstream.incarnation, connection)
        else:
            connection.close()

    def _read(self, connection: http1_client.Connection) -> bytes | None:
        """Returns the next part of the body; records how the body ended."""
        try:
            return connection.read_data()
        finally:
            if connection.end is not None:
                self.end = answer_ends.AnswerEnd(
                    self.framing, connection.end, self.received
                )

    def interrupt(self, reason: str) -> None:
        """Makes `chunks` fail after what has been received."""
        if self.connection is not None:
            self.connection.interrupt(reason)

    def close(self) -> None:
        """Discards the rest of the body; the upstream cancels the request."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _validate(self, status: int) -> None:
        """Rejects a response that is not the addressed upstream's.

        Raises:
            errors.NoUpstream: The request did not run.
            errors.StreamClosed: The request may have run.
        """
        if status == upstream_replies.WRONG_UPSTREAM:
            raise errors.WrongUpstream(
                f"Expected upstream {self.upstream.upstream} at "
                f"{self.upstream.address}, but it answered {status}: another "
                "upstream has this address now."
            )
        if upstream_replies.NOT_EXECUTED in self.fields:
            self._skip_refusal()
            raise errors.UpstreamBusy(
                f"Upstream {self.upstream.upstream} refused the request with "
                f"status {status} and {upstream_replies.NOT_EXECUTED}."
            )
        if "content-encoding" in self.fields:
            raise errors.StreamClosed(
                f"Expected a response of {self.upstream.upstream} without "
                "content-encoding, but found "
                f"{reprlib.repr(self.fields['content-encoding'])}."
            )
        if status in _SUCCESS and _SIGNATURE not in self.fields:
            raise errors.StreamClosed(
                f"The response of {self.upstream.upstream} with status "
                f"{status} has no header {_SIGNATURE}."
            )

    def _skip_refusal(self) -> None:
        """Reads the body of a refusal, after which its connection is reusable.

        The head has said that the request did not run. A body without end must
        not keep it from another upstream.
        """
        size = 0
        with (
            contextlib.suppress(errors.StreamClosed),
            eventlet.Timeout(_REFUSAL_SECONDS, False),
        ):
            for data in self.chunks():
                size += len(data)
                if size > _MAX_REFUSAL_BYTES:
                    return


def _identified(
    connection: http1_client.Connection,
    upstream: member_messages.Registration,
    times: routed_calls.ContactTimes,
) -> http1_client.Connection:
    """Returns a connection to the process that registered, the given or a new.

    Raises:
        errors.NoUpstream: See `upstream_replies.check_process`.
    """
    if upstream_replies.check_process(connection, upstream, times.report):
        return connection
    connection.close()
    connection = http1_client.connect(upstream.address, times.connect)
    is_reusable = False
    try:
        is_reusable = upstream_replies.check_process(
            connection, upstream, times.report
        )
    finally:
        if not is_reusable:
            connection.close()
    if is_reusable:
        return connection
    raise errors.NoUpstream(
        f"Upstream {upstream.upstream} closed two connections on which it "
        "reported on itself."
    )


def _open(
    upstream: member_messages.Registration,
) -> http1_client.Connection | routed_calls.Reachability:
    """Returns a new connection, or what the attempt to open one shows."""
    try:
        sock = http1_client.open_socket(upstream.address)
    except ConnectionRefusedError:
        return routed_calls.Reachability.REFUSES
    except (OSError, TimeoutError):
        return routed_calls.Reachability.UNKNOWN
    return http1_client.Connection(upstream.address, sock)


def _exchange(
    upstream: member_messages.Registration,
    method: str,
    path: str,
    body: bytes,
) -> tuple[int, bytes]:
    """Sends a control request on a connection of its own.

    An idle connection may be closed by the upstream just then, and a lost
    answer to a request to stop a run would cost the run. The id of the run is
    not sent as a header: an engine would take the call for a request to run.

    Returns:
        Status and body of the response.

    Raises:
        errors.NoUpstream: The upstream has not received the request.
        errors.StreamClosed: No complete response came, or it is too long.
    """
    headers = [
        ("host", upstream.address),
        (upstream_replies.EXPECT_UPSTREAM, upstream.upstream),
        ("content-type", "application/json"),
    ]
    connection = http1_client.connect(upstream.address)
    try:
        connection.send(method, path, headers, body)
        head = connection.read_head()
        return head.status, connection.read_body(
            upstream_replies.MAX_REPLY_BYTES
        )
    finally:
        connection.close()


def _handle_of(fields: dict[str, Any]) -> str:
    """Returns the handle in an answer; empty for none or an invalid one."""
    handle = fields.get("handle")
    if type(handle) is int:
        handle = str(handle)
    if isinstance(handle, str) and _HANDLE.fullmatch(handle):
        return handle
    return ""


def _headers(
    upstream: member_messages.Registration,
    call: routed_calls.RoutedCall,
    request: routed_calls.UpstreamRequest,
    left: float,
) -> list[tuple[str, str]]:
    headers = [
        *call.headers,
        (callers.DEADLINE, str(int(left * 1000))),
        (upstream_replies.EXPECT_UPSTREAM, upstream.upstream),
        (_URGENCY, str(request.urgency)),
    ]
    if call.customer:
        label = call.customer_label or call.customer
        headers.append((callers.CUSTOMER, names.in_header(label)))
    if request.last_event:
        headers.append((callers.LAST_EVENT_ID, request.last_event))
    if request.backup:
        headers.append((_BACKUP, request.backup))
    if request.copy is not None:
        copy = request.copy
        headers.append((_COPY_FROM, f"{copy.address}/{copy.handle}"))
    return headers
