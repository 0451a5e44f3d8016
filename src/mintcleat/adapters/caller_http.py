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
# Hop-by-hop headers belong to one connection and are never passed on.
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
    """Routes requests of callers to the entry role."""

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
        """Answers one request; every failure is a typed refusal."""
        request_id = f"req-{uuid.uuid4().hex[:16]}"
        started = time.monotonic()
        try:
            return self._route(environ, start, request_id)
        except errors.MintcleatError as error:
            return self._refuse(error, start, request_id)
        except Exception:
            logger.bind(request=request_id).exception("A request failed.")
            error = errors.MintcleatError("The entry failed.")
            return self._refuse(error, start, request_id)
        finally:
            logger.bind(request=request_id).debug(
                "{} {} took {:.4f} s to its first byte",
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                time.monotonic() - started,
            )

    def _refuse(
        self,
        error: errors.MintcleatError,
        start: StartResponse,
        request_id: str,
    ) -> list[bytes]:
        self.metrics.count(
            "refusals_total", kind=error.kind, outcome=error.outcome
        )
        logger.bind(request=request_id).info(
            "Refused as {} ({})", error.kind, error.outcome
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
                return reply(start, 200, {"status": "alive"})
            case "GET", "readyz":
                return self._readyz(start)
            case "GET", "metrics":
                return self._scrape(start)
            case _, "v1", *rest:
                calls = self.calls.authenticate(bearer_key(environ), request_id)
                return self._serve(calls, rest, environ, start, request_id)
        raise no_such_path(environ)

    def _serve(
        self,
        calls: calls_port.EntryApi,
        rest: list[str],
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        """Answers a request below `/v1` under its customer."""
        match environ["REQUEST_METHOD"], *rest:
            case "GET", "models":
                return self._models(calls, start)
            case "POST", "programs":
                return self._create(calls, environ, start)
            case "GET", "programs", program:
                view = calls.show_program(program)
                return reply(start, 200, view_body(view))
            case "GET", "programs", program, "history":
                history = calls.history(program)
                return reply(start, 200, history_body(history))
            case "DELETE", "programs", program:
                calls.close_program(program)
                return reply(start, 200, {"id": program, "state": "closed"})
            case "POST", "chat", "completions":
                return self._chat(calls, environ, start, request_id)
            case _, "services", service, *_:
                return self._service(calls, environ, start, request_id, service)
        raise no_such_path(environ)

    def _readyz(self, start: StartResponse) -> Iterable[bytes]:
        ready = self.calls.ready()
        return reply(start, 200 if ready else 503, {"ready": ready})

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
        return reply(start, 200, {"object": "list", "data": models})

    def _create(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
    ) -> Iterable[bytes]:
        body = http_request.read_object(environ)
        view = calls.create_program(parse_program(body))
        return reply(start, 201, view_body(view))

    def _chat(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
    ) -> Iterable[bytes]:
        call = chat_http.parse(environ, request_id)
        events = calls.chat(call)
        # The first event is awaited before the status line goes out, so
        # that a refusal still has a status of its own.
        first = next(events)
        events = itertools.chain([first], events)
        if not call.streamed:
            body = chat_http.whole_answer(call, events)
            start("200 OK", _JSON)
            return [body]
        start("200 OK", _EVENTS)
        return chat_http.streamed_answer(call, events)

    def _service(
        self,
        calls: calls_port.EntryApi,
        environ: http_request.Environ,
        start: StartResponse,
        request_id: str,
        service: str,
    ) -> Iterable[bytes]:
        call = parse_service(environ, request_id, service)
        answer = calls.service(call)
        headers = [(name, value) for name, value in answer.headers]
        if answer.replayed:
            headers.append(("Mintcleat-Replayed", "true"))
        start(problems.status_line(answer.status), headers)
        return [answer.body]


def bearer_key(environ: http_request.Environ) -> str:
    """Returns the digest of the caller's bearer key; empty for none."""
    scheme, _, key = http_request.header(environ, "Authorization").partition(
        " "
    )
    return keys.presented([key.strip()] if scheme.lower() == "bearer" else [])


def no_such_path(environ: http_request.Environ) -> errors.BadRequest:
    """Returns the refusal of a path that is none of this interface."""
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"][:80]
    return errors.BadRequest(
        f"There is no {method} {path}.",
        remedy="See docs/reference/http.md for the paths.",
    )


def reply(start: StartResponse, status: int, body: Any) -> list[bytes]:
    """Sends a JSON answer."""
    start(problems.status_line(status), _JSON)
    return [json.dumps(body).encode()]


def parse_program(body: dict[str, Any]) -> requests.NewProgram:
    """Returns the program that a body asks for."""
    budget = http_request.typed(body.get("budget"), "budget", dict, {})
    klass = text(body, "class")
    if klass not in ("", "interactive", "batch"):
        raise errors.BadRequest("`class` must be interactive or batch.")
    return requests.NewProgram(
        program=text(body, "id"),
        customer=text(body, "customer"),
        agent=text(body, "agent"),
        klass=klass,
        parent=text(body, "parent"),
        budget=identities.Budget(
            tokens=amount(budget, "tokens", int),
            turns=amount(budget, "turns", int),
            seconds=amount(budget, "seconds", float),
        ),
    )


def text(body: dict[str, Any], name: str) -> str:
    """Returns a text field or an empty text."""
    return http_request.typed(body.get(name), name, str, "")


def amount(budget: dict[str, Any], name: str, kind: type) -> Any:
    """Returns a limit of a budget; 0 for none."""
    return http_request.typed(budget.get(name), f"budget.{name}", kind, kind(0))


def parse_service(
    environ: http_request.Environ, request_id: str, service: str
) -> requests.ServiceCall:
    """Returns the plain service call that a request asks for."""
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
    """Yields the headers that a plain service may see."""
    if environ.get("CONTENT_TYPE"):
        yield ["content-type", environ["CONTENT_TYPE"]]
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-").lower()
        if name not in _NOT_FORWARDED and not name.startswith("mintcleat-"):
            yield [name, value]


def view_body(view: program_messages.ProgramView) -> dict[str, Any]:
    """Returns a program as callers see it."""
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
    """Returns a history as callers see it."""
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
