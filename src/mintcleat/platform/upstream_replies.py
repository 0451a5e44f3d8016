"""What upstreams reply beside the bodies of answers: heads, JSON, reports.

A report is what the process at the other end of a connection says of itself. A
connection ends with its process, so that a report read on it is of the process
that gets the next request on it.
"""

from typing import Any
from typing import NamedTuple

import eventlet
import msgspec

from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_heads
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.platform import callers

EXPECT_UPSTREAM = "x-expect-instance"
# Status of an upstream that is not the expected one.
WRONG_UPSTREAM = 421
NOT_EXECUTED = "x-not-executed"
# Status of an upstream that has no room, or not the copy that a request names.
NO_CAPACITY = 503
_REPORT_PATH = "/v1/report"
# In all that an upstream says of itself: the start of its process.
_BORN = "born"
MAX_REPLY_BYTES = 64 * 1024
_SUCCESS = range(200, 300)
# Limit of responses to earlier requests that are skipped on a connection.
_MAX_SKIPPED_RESPONSES = 3


class _ReportTimeout(Exception):
    """An upstream did not report on itself in time."""


class SentRequest(NamedTuple):
    """A request whose response is expected on a connection.

    Attributes:
        id: Its id; empty for a report, which has none.
        is_first: Whether the connection has carried no other request, nor one
            for a report. A refusal needs no id there, as only this one can be
            refused.
        may_retry: Whether it may be sent elsewhere if its outcome is unknown.
        is_copy: Whether it goes on from a copy; 503 refuses it then.
    """

    id: str
    is_first: bool = False
    may_retry: bool = False
    is_copy: bool = False


class Report(NamedTuple):
    """What the process at the other end of a connection says of itself.

    Attributes:
        status: HTTP status of its answer.
        started: Its start; None if it didn't say.
        is_reusable: Whether the connection can carry another request.
    """

    status: int
    started: int | None
    is_reusable: bool

    def is_of_another(self, upstream: member_messages.Registration) -> bool:
        """Returns whether it is of another process than that registered."""
        if self.status == WRONG_UPSTREAM:
            return True
        is_known = bool(upstream.started) and self.started is not None
        return is_known and self.started != upstream.started

    def reachability(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        """Returns what it shows of the process that registered."""
        if self.is_of_another(upstream):
            return routed_calls.Reachability.REPLACED
        if upstream.started and self.started is None:
            # A process that only refuses to report may be the same.
            if self.status in _SUCCESS:
                return routed_calls.Reachability.REPLACED
            return routed_calls.Reachability.UNKNOWN
        return routed_calls.Reachability.ACCEPTS


def read_report(
    connection: http1_client.Connection,
    upstream: member_messages.Registration,
) -> Report:
    """Asks the process at the other end of a connection for its report.

    A connection ends with its process, so that the report is of the one that
    gets the next request on it.

    Raises:
        errors.StreamClosed: The connection is lost.
    """
    headers = [
        ("host", upstream.address),
        (EXPECT_UPSTREAM, upstream.upstream),
    ]
    connection.carried.append("")
    connection.send("GET", _REPORT_PATH, headers, b"")
    # A late answer to another request has that one's id.
    head = read_head(connection, SentRequest(""))
    started = decode_object(connection.read_body(MAX_REPLY_BYTES)).get(_BORN)
    keep_alive = dict(head.fields).get("keep-alive", "")
    return Report(
        head.status,
        started if type(started) is int else None,
        connection.prepare_reuse(http1_client.keep_alive_seconds(keep_alive)),
    )


def check_process(
    connection: http1_client.Connection,
    upstream: member_messages.Registration,
    seconds: float,
) -> bool:
    """Checks that a connection leads to the process that registered.

    An upstream may start again under its id, with other software, before
    anybody has heard of that. A stream that it began or continued then would be
    taken for one of the version before. Upstreams that state no start have a
    new id then, and refuse requests for the old one.

    Args:
        connection: The connection.
        upstream: The registered process.
        seconds: Time for its report, which waits for no slot.

    Returns:
        Whether the connection can carry a request after that.

    Raises:
        errors.WrongUpstream: It leads to another process.
        errors.UpstreamLate: The upstream doesn't report in time.
        errors.NoUpstream: It doesn't say when it started.
    """
    if not upstream.started:
        return True
    try:
        with eventlet.Timeout(seconds, _ReportTimeout):
            report = read_report(connection, upstream)
    except _ReportTimeout:
        raise errors.UpstreamLate(
            f"Upstream {upstream.upstream} did not report on itself within "
            f"{seconds:g} s."
        ) from None
    except errors.StreamClosed as error:
        # The request itself has not been sent.
        raise errors.NoUpstream(
            f"Upstream {upstream.upstream} did not report on itself: {error}"
        ) from error
    if report.is_of_another(upstream):
        raise errors.WrongUpstream(
            f"Expected the process of {upstream.upstream} that started at "
            f"{upstream.started}, but found status {report.status} and the "
            f"start {report.started}."
        )
    if report.status not in _SUCCESS or report.started is None:
        raise errors.NoUpstream(
            f"Expected the start of {upstream.upstream} in its report, but "
            f"found status {report.status} and the start {report.started}."
        )
    connection.is_identified = True
    return report.is_reusable


def decode_object(data: bytes) -> dict[str, Any]:
    """Returns the fields of a JSON object; none if it isn't one."""
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def read_head(
    connection: http1_client.Connection, sent: SentRequest
) -> http1_heads.ResponseHead:
    """Returns the head of the response to a request.

    An upstream may respond again to an earlier request on the connection, or
    send a response that nobody asked for. Responses are matched to requests by
    the request id that they echo. One that states none may be another
    request's, also if it says that it did not run.

    Raises:
        errors.StreamClosed: None came. A refusal that states no request ends
            the wait for one that may be sent elsewhere at once: if it was this
            one's, nothing else comes.
    """
    for _ in range(_MAX_SKIPPED_RESPONSES):
        head = connection.read_head()
        if _is_of(head, sent):
            return head
        is_anonymous = not _ids_of(head)
        if sent.may_retry and is_anonymous and _is_refusal(head, sent):
            raise errors.StreamClosed(
                f"A refusal of {connection.address} states no request; the "
                "connection has carried others."
            )
        connection.skip_response()
    raise errors.StreamClosed(
        f"Expected a response of {connection.address} to the current request, "
        f"but found {_MAX_SKIPPED_RESPONSES} responses with another "
        f"{callers.REQUEST_ID}, or without one."
    )


def _is_of(head: http1_heads.ResponseHead, sent: SentRequest) -> bool:
    """Returns whether a response is to a request; see `read_head`."""
    ids = _ids_of(head)
    if ids or not sent.id:
        return ids == ({sent.id} if sent.id else set())
    return sent.is_first and _is_refusal(head, sent)


def _ids_of(head: http1_heads.ResponseHead) -> set[str]:
    """Returns the ids of requests that a response states."""
    return {value for name, value in head.fields if name == callers.REQUEST_ID}


def _is_refusal(head: http1_heads.ResponseHead, sent: SentRequest) -> bool:
    """Returns whether a response says that its request was not run."""
    return (
        head.status == WRONG_UPSTREAM
        or NOT_EXECUTED in dict(head.fields)
        or (sent.is_copy and head.status == NO_CAPACITY)
    )
