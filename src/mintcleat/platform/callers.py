"""HTTP requests and responses in the format of the platform's callers."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import msgspec

from mintcleat.adapters import http1_server
from mintcleat.domain import errors
from mintcleat.domain import keys
from mintcleat.domain import routed_calls
from mintcleat.domain import uris
from mintcleat.ports import forwarding

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-milliseconds"
LAST_EVENT_ID = "last-event-id"
# The request that brought the first event of the stream that is taken up.
RESUMES = "resumes"
API_KEY = "api-key"
_PROGRAM = "x-program-id"
_SESSION = "x-session-id"
_PREVIOUS = "x-previous-turn"
# Ids that callers choose, and that are kept while a request runs, in lines of
# the log, or by control. A head alone would admit thousands of characters.
_IDS = (REQUEST_ID, _PROGRAM, _SESSION, _PREVIOUS, RESUMES)
MAX_ID_CHARACTERS = 256
# Sent to upstreams: the customer that made the request.
CUSTOMER = "x-tenant"

# Hop-by-hop header fields, which are not forwarded.
HOP_BY_HOP_FIELDS = frozenset(
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
# Header fields that only mintcleat sets for upstreams. A caller that could set
# them could control an upstream's cache or read another request's cache entry.
_RESERVED_FIELDS = frozenset(
    {
        "x-expect-instance",
        "x-request-urgency",
        "x-hold",
        "x-pin-milliseconds",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        DEADLINE,
        LAST_EVENT_ID,
        API_KEY,
        CUSTOMER,
    }
)
_DROPPED_FIELDS = HOP_BY_HOP_FIELDS | _RESERVED_FIELDS
# Callers take this status to mean that the request did not run and never will.
_STATUS_NOT_RUN = 503
_STATUS_BUDGET_EXHAUSTED = 402
_STATUS_OTHER_ERROR = 502
_STATUS_OUTCOME_UNKNOWN = 504
_UNCHANGED_STATUS = (
    errors.BadRequest,
    errors.LimitReached,
    errors.Unauthorized,
    errors.UnknownRoute,
    errors.UnknownTurn,
    errors.TooLarge,
)


class Gateway(Protocol):
    """Forwards the requests of an entry."""

    def handle(
        self, call: routed_calls.RoutedCall, reply: forwarding.CallerResponse
    ) -> None:
        """Responds to a request, or raises the error to respond with."""


class CallerApi:
    """Handles the requests on the callers' listener."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        """Responds to one request.

        An error after the response has started is not reported to the caller;
        the connection is closed instead.
        """
        request_id = request.header(REQUEST_ID)
        try:
            call = parse_call(request)
            self.gateway.handle(call, HttpCallerResponse(reply))
        except errors.MintcleatError as error:
            if not reply.started:
                send_error(reply, error, request_id)
        except Exception:
            if not reply.started:
                failure = errors.MintcleatError(
                    "An unexpected error occurred in this process."
                )
                send_error(reply, failure, request_id)
            raise


class HttpCallerResponse:
    """See `ports.forwarding.CallerResponse`."""

    def __init__(self, reply: http1_server.Reply) -> None:
        self.reply = reply

    def set_on_blocked(self, callback: Callable[[], None]) -> None:
        """Sets what is called repeatedly while a write waits."""
        self.reply.on_blocked = callback

    def send_whole(self, head: routed_calls.ResponseHead, body: bytes) -> None:
        """Sends a complete response."""
        self.reply.send(head.status, list(head.headers), body, head.reason)

    def send_head(self, head: routed_calls.ResponseHead) -> None:
        """Sends the head of a response whose body follows by `write`."""
        self.reply.start(head.status, list(head.headers), head.reason)

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body without delay."""
        self.reply.write(data)

    def end(self) -> None:
        """Marks the response as complete."""
        self.reply.end()


def parse_call(request: http1_server.Request) -> routed_calls.RoutedCall:
    """Converts an HTTP request.

    Raises:
        errors.BadRequest: A required header field is missing, malformed or
            too long.
    """
    # The first value of a repeated field counts.
    fields = dict(reversed(request.headers))

    def header(name: str) -> str:
        return fields.get(name, "")

    if not header(REQUEST_ID):
        raise errors.BadRequest(f"The request has no header {REQUEST_ID}.")
    for name in _IDS:
        if len(header(name)) > MAX_ID_CHARACTERS:
            raise errors.BadRequest(
                f"The header {name} may have {MAX_ID_CHARACTERS} characters, "
                f"but has {len(header(name))}."
            )
    dropped = _DROPPED_FIELDS
    connection = header("connection")
    if connection:
        dropped |= {name.strip().lower() for name in connection.split(",")}
    return routed_calls.RoutedCall(
        request=header(REQUEST_ID),
        method=request.method,
        host=uris.normal_host(header("host")),
        target=request.target,
        headers=tuple(
            field for field in request.headers if field[0] not in dropped
        ),
        body=request.body,
        deadline=_number(header(DEADLINE)) / 1000.0,
        affinity=header("x-affinity-key"),
        last_event=header(LAST_EVENT_ID),
        program=routed_calls.ProgramContext(
            header(_PROGRAM),
            header(_SESSION),
            header(_PREVIOUS),
            int(_number(header("x-token-budget"))),
            _number(header("x-finish-milliseconds")) / 1000.0,
        ),
        generation=_generation(header),
        key=keys.digest_from_fields(
            [value for name, value in request.headers if name == API_KEY]
        ),
        resumes=header(RESUMES),
    )


def _generation(header: Any) -> routed_calls.Generation:
    prompt, _, max_tokens = header("x-token-counts").partition(",")
    parts = []
    for item in header("x-prompt-prefix").split(","):
        part, _, tokens = item.strip().partition(":")
        if part:
            parts.append(routed_calls.PromptPart(part, int(_number(tokens))))
    return routed_calls.Generation(
        header("x-model"),
        int(_number(prompt)),
        int(_number(max_tokens)),
        tuple(parts),
    )


def _number(text: str) -> float:
    if not text:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise errors.BadRequest(
            f"Expected a number in a header, but found {text[:40]!r}."
        ) from None
    if not 0.0 <= value < 2.0**53:
        raise errors.BadRequest(
            "Expected a number from 0 to below 2**53 in a header, but found "
            f"{text[:40]!r}."
        )
    return value


def send_error(
    reply: http1_server.Reply, error: errors.MintcleatError, request_id: str
) -> None:
    """Responds with an error of mintcleat itself.

    The response has no upstream's signature. Its status says whether the
    request may have run.
    """
    headers = [("content-type", "application/json")]
    if request_id:
        headers.append((REQUEST_ID, request_id))
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
    """Returns the HTTP status of an error, as the platform defines them."""
    if isinstance(error, _UNCHANGED_STATUS):
        return error.status
    if isinstance(error, errors.BudgetExhausted):
        return _STATUS_BUDGET_EXHAUSTED
    if error.outcome == errors.NOT_RUN:
        return _STATUS_NOT_RUN
    if isinstance(error, errors.OutcomeUnknown):
        return _STATUS_OUTCOME_UNKNOWN
    return _STATUS_OTHER_ERROR
