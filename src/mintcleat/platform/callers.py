"""The platform's callers: their requests in, answers out."""

from typing import Any
from typing import Protocol

import msgspec

from mintcleat.adapters import http1_server
from mintcleat.domain import errors
from mintcleat.domain import keys
from mintcleat.domain import routed
from mintcleat.ports import forwarding

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-milliseconds"
LAST_EVENT = "last-event-id"
KEY = "api-key"
# What an upstream is told of whose request it is.
CUSTOMER = "x-tenant"

# Header fields that concern one connection only.
CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Fields that this system sets for upstreams. A caller that could set them
# would reach an upstream's memory, or read from that of another request.
_OWN_FIELDS = frozenset(
    {
        "x-expect-instance",
        "x-request-urgency",
        "x-hold",
        "x-pin-milliseconds",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        DEADLINE,
        LAST_EVENT,
        KEY,
        CUSTOMER,
    }
)
_DROPPED = CONNECTION_FIELDS | _OWN_FIELDS
# A status that callers take for "not run, and never will be".
_NOT_RUN = 503
_SPENT = 402
_UNKNOWN = 502
_LATE = 504
_REFUSED_AS_IS = (
    errors.BadRequest,
    errors.LimitReached,
    errors.Unauthorized,
    errors.UnknownRoute,
    errors.UnknownTurn,
    errors.TooLarge,
)


class Gateway(Protocol):
    """The entry's way of a request."""

    def handle(
        self, call: routed.RoutedCall, reply: forwarding.CallerResponse
    ) -> None:
        """Answers a request, or raises the refusal."""


class Callers:
    """Handles the requests of one listener."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        """Answers one request; a broken answer closes the connection."""
        identity = request.header(REQUEST_ID)
        try:
            call = to_call(request)
            self.gateway.handle(call, Answering(reply))
        except errors.MintcleatError as error:
            if not reply.started:
                refuse(reply, error, identity)
        except Exception:
            if not reply.started:
                failure = errors.MintcleatError("This process has a fault.")
                refuse(reply, failure, identity)
            raise


class Answering:
    """See `ports.forwarding.CallerResponse`."""

    def __init__(self, reply: http1_server.Reply) -> None:
        self.reply = reply

    def send_whole(self, head: routed.Head, body: bytes) -> None:
        """Sends an upstream's whole answer."""
        self.reply.send(head.status, list(head.headers), body, head.reason)

    def send_head(self, head: routed.Head) -> None:
        """Sends the head of an upstream's answer."""
        self.reply.start(head.status, list(head.headers), head.reason)

    def write(self, data: bytes) -> None:
        """Sends a piece of its body at once."""
        self.reply.write(data)

    def end(self) -> None:
        """Ends it as complete."""
        self.reply.end()


def to_call(request: http1_server.Request) -> routed.RoutedCall:
    """Returns a request in the product's own terms.

    Raises:
        errors.BadRequest: A field that is needed is missing or unreadable.
    """
    header = request.header
    if not header(REQUEST_ID):
        raise errors.BadRequest("The request carries no id.")
    named = {name.strip().lower() for name in header("connection").split(",")}
    dropped = _DROPPED | named
    return routed.RoutedCall(
        request=header(REQUEST_ID),
        method=request.method,
        host=header("host").rpartition(":")[0] or header("host"),
        target=request.target,
        headers=tuple(
            field for field in request.headers if field[0] not in dropped
        ),
        body=request.body,
        deadline=_number(header(DEADLINE)) / 1000.0,
        affinity=header("x-affinity-key"),
        last_event=header(LAST_EVENT),
        program=routed.Program(
            header("x-program-id"),
            header("x-session-id"),
            header("x-previous-turn"),
            int(_number(header("x-token-budget"))),
            _number(header("x-finish-milliseconds")) / 1000.0,
        ),
        generation=_generation(header),
        key=keys.presented(
            [value for name, value in request.headers if name == KEY]
        ),
    )


def _generation(header: Any) -> routed.Generation:
    prompt, _, most = header("x-token-counts").partition(",")
    parts = []
    for item in header("x-prompt-prefix").split(","):
        part, _, tokens = item.strip().partition(":")
        if part:
            parts.append(routed.Part(part, int(_number(tokens))))
    return routed.Generation(
        header("x-model"),
        int(_number(prompt)),
        int(_number(most)),
        tuple(parts),
    )


def _number(text: str) -> float:
    if not text:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise errors.BadRequest(f"{text!r} is no number.") from None
    if not 0.0 <= value < 2.0**53:
        raise errors.BadRequest(f"{text!r} is out of range.")
    return value


def refuse(
    reply: http1_server.Reply, error: errors.MintcleatError, identity: str
) -> None:
    """Answers with a refusal of this system's own.

    It bears no upstream's mark, and its status says whether the request may
    have run.
    """
    headers = [("content-type", "application/json")]
    if identity:
        headers.append((REQUEST_ID, identity))
    if error.retry_after:
        headers.append(("retry-after", f"{error.retry_after:.2f}"))
    body = msgspec.json.encode(
        {
            "kind": error.kind,
            "detail": error.detail,
            "outcome": error.outcome,
            "remedy": error.remedy,
        }
    )
    reply.send(status_of(error), headers, body)


def status_of(error: errors.MintcleatError) -> int:
    """Returns the status of a refusal, as the platform's callers read it."""
    if isinstance(error, _REFUSED_AS_IS):
        return error.status
    if isinstance(error, errors.BudgetExhausted):
        return _SPENT
    if error.outcome == errors.NOT_RUN:
        return _NOT_RUN
    if isinstance(error, errors.OutcomeUnknown):
        return _LATE
    return _UNKNOWN
