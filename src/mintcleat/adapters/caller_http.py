"""The callers' HTTP interface as a WSGI application."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import json
import time
from typing import Any
import uuid

from loguru import logger

from mintcleat.adapters import chat_http
from mintcleat.adapters import http_request
from mintcleat.adapters import metrics as metrics_module
from mintcleat.adapters import problems
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import keys
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import calls as calls_port

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_JSON = [("Content-Type", "application/json")]
_EVENTS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
]
# Hop-by-hop headers apply to a single connection and are not forwarded.
_NOT_FORWARDED = frozenset(
    (
        "host",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
        "proxy-authenticate",
        "content-length",
        "expect",
    )
)
_DEADLINE = "Mintcleat-Deadline"


class CallerApp:
    """Routes callers' requests to the entry role."""

    def __init__(
        self,
        calls: calls_port.EntryApi,
        metrics: metrics_module.PrometheusMetrics,
    ) -> None:
        self.calls = calls
        self.metrics = metrics

    def __call__(
        self, environ: http_request.Environ, start: StartResponse
    ) -> Iterable[bytes]:
        """Handles a request; errors are returned as problem+json."""
        request_id = f"req-{uuid.uuid4().hex[:16]}"
        started = time.monotonic()
        try:
            return self._route(environ, start, request_id)
        except errors.MintcleatError as error:
            return self._send_error(error, start, request_id)
        except Exception:
            logger.bind(request=request_id).exception(
                "Handling a request failed."
            )
            failure = errors.MintcleatError(
                "An internal error occurred in the entry."
            )
            return self._send_error(failure, start, request_id)
        finally:
            logger.bind(request=request_id).debug(
                "{} {}: first byte after {:.4f} s",
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                time.monotonic() - started,
            )

    def _send_error(
        self,
        error: errors.MintcleatError,
        start: StartResponse,
        request_id: str,
    ) -> list[bytes]:
        self.metrics.count(
            "refusals_total", kind=error.kind, outcome=error.outcome
        )
        logger.bind(request=request_id).info(
            "Request refused: {} ({})", error.kind, error.outcome
        )
        start(problems.status_line(error.status), problems.headers(error))
        return [problems.body(error, request_id)]

    def _route(
        self,
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        match method, *parts:
            case "GET", "healthz":
                return send_json(start, 200, {"status": "alive"})
            case "GET", "readyz":
                return self._readyz(start)
            case "GET", "metrics":
                return self._scrape(start)
            case _, "v1", *path_parts:
                calls = self.calls.authenticate(key_digest(environ), request_id)
                return self._route_api(
                    calls, path_parts, environ, start, request_id
                )
        raise unknown_path(environ)

    def _route_api(
        self,
        calls: calls_port.EntryApi,
        path_parts: list[str],
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        """Handles a request below `/v1` for its authenticated customer."""
        match environ["REQUEST_METHOD"], *path_parts:
            case "GET", "models":
                return self._models(calls, start)
            case "POST", "programs":
                return self._create(calls, environ, start)
            case "GET", "programs", program:
                view = calls.show_program(program)
                return send_json(start, 200, view_body(view))
            case "GET", "programs", program, "history":
                history = calls.history(program)
                return send_json(start, 200, history_body(history))
            case "DELETE", "programs", program:
                calls.close_program(program)
                return send_json(start, 200, {"id": program, "state": "closed"})
            case "POST", "chat", "completions":
                return self._chat(calls, environ, start, request_id)
            case _, "services", service, *_:
                return self._service(calls, environ, start, request_id, service)
        raise unknown_path(environ)

    def _readyz(self, start: StartResponse) -> Iterable[bytes]:
        ready = self.calls.ready()
        return send_json(start, 200 if ready else 503, {"ready": ready})

    def _scrape(self, start: StartResponse) -> Iterable[bytes]:
        body, content_type = self.metrics.render()
        start("200 OK", [("Content-Type", content_type)])
        return [body]

    def _models(
        self, calls: calls_port.EntryApi, start: StartResponse
    ) -> Iterable[bytes]:
        models = [
            {"id": name, "object": "model", "owned_by": "mintcleat"}
            for name in calls.models()
        ]
        return send_json(start, 200, {"object": "list", "data": models})

    def _create(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
    ) -> Iterable[bytes]:
        body = http_request.read_object(environ)
        view = calls.create_program(parse_program(body))
        return send_json(start, 201, view_body(view))

    def _chat(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        call = chat_http.parse(environ, request_id)
        events = calls.chat(call)
        # Waits for the first event before the status line is sent, so that an
        # error before it is reported with its own status.
        first = next(events)
        events = itertools.chain([first], events)
        if not call.streamed:
            body = chat_http.completion_body(call, events)
            start("200 OK", _JSON)
            return [body]
        start("200 OK", _EVENTS)
        return chat_http.stream_events(call, events)

    def _service(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
        service: str,
    ) -> Iterable[bytes]:
        call = parse_service(environ, request_id, service)
        response = calls.service(call)
        headers = [(name, value) for name, value in response.headers]
        if response.replayed:
            headers.append(("Mintcleat-Replayed", "true"))
        start(problems.status_line(response.status), headers)
        return [response.body]


def key_digest(environ: http_request.Environ) -> str:
    """Returns the digest of the caller's bearer key; empty if there is none."""
    scheme, _, key = http_request.header(environ, "Authorization").partition(
        " "
    )
    return keys.digest_from_fields(
        [key.strip()] if scheme.lower() == "bearer" else []
    )


def unknown_path(environ: http_request.Environ) -> errors.BadRequest:
    """Returns the error for an unknown method and path."""
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"][:80]
    return errors.BadRequest(
        f"{method} {path} does not exist.",
        remedy="See docs/reference/http.md for the paths.",
    )


def send_json(start: StartResponse, status: int, body: Any) -> list[bytes]:
    """Sends a JSON response."""
    start(problems.status_line(status), _JSON)
    return [json.dumps(body).encode()]


def parse_program(body: dict[str, Any]) -> requests.NewProgram:
    """Returns the program described in a request's body."""
    budget = http_request.checked_field(body.get("budget"), "budget", dict, {})
    klass = string_field(body, "class")
    if klass not in ("", "interactive", "batch"):
        raise errors.BadRequest("`class` must be interactive or batch.")
    return requests.NewProgram(
        program=string_field(body, "id"),
        customer=string_field(body, "customer"),
        agent=string_field(body, "agent"),
        klass=klass,
        parent=string_field(body, "parent"),
        budget=identities.Budget(
            tokens=budget_limit(budget, "tokens", int),
            turns=budget_limit(budget, "turns", int),
            seconds=budget_limit(budget, "seconds", float),
        ),
    )


def string_field(body: dict[str, Any], name: str) -> str:
    """Returns a string field, or an empty string if it is absent."""
    return http_request.checked_field(body.get(name), name, str, "")


def budget_limit(budget: dict[str, Any], name: str, kind: type) -> Any:
    """Returns a limit of a budget; 0 if it is absent."""
    return http_request.checked_field(
        budget.get(name), f"budget.{name}", kind, kind(0)
    )


def parse_service(
    environ: http_request.Environ, request_id: str, service: str
) -> requests.ServiceCall:
    """Returns the plain service call described by a request."""
    prefix = f"/v1/services/{service}"
    path = environ["PATH_INFO"][len(prefix) :] or "/"
    query = environ.get("QUERY_STRING", "")
    deadline = http_request.header(environ, _DEADLINE)
    return requests.ServiceCall(
        request=request_id,
        program=http_request.header(environ, "Mintcleat-Program"),
        customer=http_request.header(environ, "Mintcleat-Customer"),
        service=service,
        key=http_request.header(environ, "Idempotency-Key"),
        method=environ["REQUEST_METHOD"],
        path=f"{path}?{query}" if query else path,
        headers=list(forwarded_headers(environ)),
        body=http_request.read_body(environ),
        deadline=http_request.number(deadline, _DEADLINE),
    )


def forwarded_headers(environ: http_request.Environ) -> Iterator[list[str]]:
    """Yields the headers that are forwarded to a plain service."""
    if environ.get("CONTENT_TYPE"):
        yield ["content-type", environ["CONTENT_TYPE"]]
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-").lower()
        if name not in _NOT_FORWARDED and not name.startswith("mintcleat-"):
            yield [name, value]


def view_body(view: program_messages.ProgramView) -> dict[str, Any]:
    """Returns the JSON representation of a program for callers."""
    return {
        "id": view.program,
        "customer": view.customer,
        "agent": view.agent,
        "class": view.klass,
        "parent": view.parent or None,
        "budget": view.budget._asdict(),
        "next_turn": view.next_turn,
        "tokens_used": view.used,
        "tokens_reserved": view.reserved,
        "state": view.state,
        "history_digest": view.digest.hex(),
        "children": view.children,
        "created": view.created,
    }


def history_body(history: program_messages.History) -> dict[str, Any]:
    """Returns the JSON representation of a history for callers."""
    return {
        "id": history.program,
        "turns": [
            {
                "turn": turn.turn,
                "digest": turn.digest.hex(),
                "messages": [json.loads(message) for message in turn.messages],
            }
            for turn in history.turns
        ],
    }
