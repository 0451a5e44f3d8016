"""An adapter for model engines over HTTP: completions and control API."""

import collections
from collections.abc import Iterator
from typing import Any
from typing import TypedDict

import msgspec
import urllib3
from urllib3 import exceptions

from mintcleat.adapters import http_errors
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import server_sent_events
from mintcleat.ports import upstream

_CONTROL_TIMEOUT_SECONDS = 5.0
_ORDER_TIMEOUT_SECONDS = 600.0
_OK = 200
_CONFLICT = 409
_OTHER_SOFTWARE = 421
_SOFTWARE = "X-Software-Version"
_EXPECTED_SOFTWARE = "X-Expect-Software"
_READ_BYTES = 65536
_DONE = b"[DONE]"


class _Delta(TypedDict, total=False):
    content: str | None


class _Choice(TypedDict, total=False):
    delta: _Delta
    finish_reason: str | None


class _Details(TypedDict, total=False):
    cached_tokens: int


class _Usage(TypedDict, total=False):
    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: _Details | None


class _Event(TypedDict, total=False):
    choices: list[_Choice]
    usage: _Usage | None
    total_characters: int


_EVENT = msgspec.json.Decoder(_Event)


class HttpEngine:
    """Implements `ports.upstream.ModelEngine`.

    Attributes:
        read_timeout: Time in seconds without data after which a stream counts
            as lost.
    """

    def __init__(
        self, address: str, connections: int = 64, read_timeout: float = 30.0
    ) -> None:
        self.base = f"http://{address}"
        self.pool = http_errors.new_pool(connections)
        self.read_timeout = read_timeout

    def info(self) -> upstream.EngineInfo:
        """Returns the engine's model and capabilities."""
        return self._get("info", upstream.EngineInfo)

    def load(self) -> upstream.EngineLoad:
        """Returns the engine's own load report."""
        return self._get("load", upstream.EngineLoad)

    def run(
        self, call: upstream.EngineCall
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        """Runs a call and yields its streamed result."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request,
            "X-Cache-Owner": call.program,
        }
        if call.software:
            headers[_EXPECTED_SOFTWARE] = call.software
        response = http_errors.request(
            self.pool,
            "POST",
            f"{self.base}/v1/chat/completions",
            body=request_body(call),
            headers=headers,
            timeout=self.read_timeout,
            stream=True,
        )
        stated = response.headers.get(_SOFTWARE, "")
        if response.status == _OTHER_SOFTWARE:
            response.close()
            raise errors.NoUpstream(
                f"The engine has the software {stated!r}, not {call.software}."
            )
        return self._events(response, 0)

    def resume(
        self, request: str, offset: int
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        """Resumes the stream of a running call at a character offset."""
        response = http_errors.request(
            self.pool,
            "GET",
            f"{self.base}/control/streams/{request}?offset={offset}",
            timeout=self.read_timeout,
            stream=True,
        )
        return self._events(response, offset)

    def cancel(self, request: str) -> None:
        """Cancels the call with the given request id."""
        self._call("DELETE", f"streams/{request}")

    def events(self, after: int, wait: float) -> upstream.CacheEvents:
        """Returns cache events with sequence numbers above `after`."""
        return self._get(
            f"events?after={after}&wait={wait}", upstream.CacheEvents, wait
        )

    def cache_listing(self) -> upstream.CacheListing:
        """Returns the content of the prefix cache."""
        return self._get("cache", upstream.CacheListing)

    def release(self, programs: list[str]) -> None:
        """Evicts the programs' caches."""
        self._post("release", {"programs": programs})

    def truncate(self, program: str, keep: int) -> None:
        """Evicts a program's cache beyond its first `keep` tokens."""
        self._post("shorten", {"program": program, "keep": keep})

    def pin(self, program: str) -> None:
        """Protects a program's cache from eviction until it is released."""
        self._post("hold", {"program": program})

    def export_cache(self, program: str) -> bytes:
        """Returns a program's cache in serialized form."""
        return self._call("GET", f"export?program={program}")

    def import_cache(self, exported: bytes) -> None:
        """Imports a cache that another engine exported."""
        self._call("POST", "import", exported)

    def order(self, fencing_token: int, action: str, model: str) -> None:
        """Executes an order; loading a model may take minutes.

        Raises:
            errors.FencedOff: The engine has seen a higher fencing token.
        """
        body = {"fence": fencing_token, "action": action, "model": model}
        self._post("orders", body, _ORDER_TIMEOUT_SECONDS)

    def _get(self, path: str, kind: type, extra: float = 0.0) -> Any:
        data = self._call("GET", path, timeout=_CONTROL_TIMEOUT_SECONDS + extra)
        try:
            fields = msgspec.json.decode(data)
        except msgspec.DecodeError as error:
            raise errors.StreamClosed(
                f"The engine's answer to {path.partition('?')[0]} is not JSON: "
                f"{error}."
            ) from error
        return to_named_tuple(kind, fields)

    def _post(
        self, path: str, body: Any, timeout: float = _CONTROL_TIMEOUT_SECONDS
    ) -> None:
        self._call("POST", path, msgspec.json.encode(body), timeout)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = _CONTROL_TIMEOUT_SECONDS,
    ) -> bytes:
        url = f"{self.base}/control/{path}"
        response = http_errors.request(
            self.pool, method, url, body=body, timeout=timeout
        )
        check_status(response.status, response.data)
        if not http_errors.has_marked_end(response):
            raise errors.StreamClosed(
                f"The engine's answer to {path.partition('?')[0]} has neither "
                "a length nor chunks, so it may have been cut short."
            )
        return response.data

    def _events(
        self, response: urllib3.BaseHTTPResponse, offset: int
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        if response.status != _OK:
            data = response.read()
            check_status(response.status, data)
        return read_events(response, offset)


def read_events(
    response: urllib3.BaseHTTPResponse, offset: int
) -> Iterator[upstream.TextChunk | upstream.End]:
    """Yields the text chunks of a stream and its end.

    Args:
        response: The response, whose body is not read yet.
        offset: Number of characters received before, when resuming.

    Raises:
        errors.StreamClosed: The stream ended without `[DONE]`, which alone
            shows that a response is complete.
    """
    software = response.headers.get(_SOFTWARE, "")
    received = offset
    total = -1
    reason = ""
    usage: _Usage = {}
    done = False
    body = response.stream(_READ_BYTES)
    try:
        for data in read_data(body):
            if data == _DONE:
                done = True
                break
            event = _EVENT.decode(data)
            usage = event.get("usage") or usage
            total = event.get("total_characters", total)
            for choice in event.get("choices", ()):
                reason = choice.get("finish_reason") or reason
                text = choice.get("delta", {}).get("content")
                if text:
                    received += len(text)
                    yield upstream.TextChunk(text, software)
    except exceptions.HTTPError as error:
        raise http_errors.translate(error) from error
    except (msgspec.DecodeError, server_sent_events.InvalidEvent) as error:
        raise errors.StreamClosed(
            f"The engine sent an invalid event: {error}."
        ) from error
    finally:
        if done:
            release_connection(response, body)
        else:
            response.close()
    if not done:
        raise errors.StreamClosed("The engine's stream ended before `[DONE]`.")
    # Without the field, lost characters cannot be detected.
    total = received if total < 0 else total
    yield upstream.End(total, reason, to_usage(usage))


def release_connection(
    response: urllib3.BaseHTTPResponse, body: Iterator[bytes]
) -> None:
    """Reads the rest of a body, so that its connection can be reused.

    urllib3 closes a connection whose body was not read to its end, and each
    call would need a new one. Errors are ignored, because the response is
    complete already.
    """
    try:
        collections.deque(body, maxlen=0)
        response.release_conn()
    except exceptions.HTTPError:
        response.close()


def read_data(body: Iterator[bytes]) -> Iterator[bytes]:
    """Yields the data of the events of a body as they arrive."""
    buffer = server_sent_events.EventBuffer()
    for block in body:
        for event in buffer.feed(block):
            if event.data:
                yield event.data
    # The last event says by itself that it is the last one.
    if buffer.rest.strip() == b"data: " + _DONE:
        yield _DONE


def check_status(status: int, data: bytes) -> None:
    """Raises the error for an engine's status code, if it is one.

    A 5xx status is a failure of the engine, so a retry at another engine may
    succeed. A 4xx status is caused by the request and would be the same at
    every engine.
    """
    if status < 400:
        return
    text = data[:200].decode(errors="replace")
    detail = f"The engine responded with status {status}: {text}"
    if status == _CONFLICT:
        raise errors.FencedOff(detail)
    outcome = errors.UNKNOWN if status >= 500 else errors.RAN
    raise errors.UpstreamFailed(detail, outcome=outcome)


def request_body(call: upstream.EngineCall) -> bytes:
    """Returns the body in OpenAI's format; the messages are JSON already."""
    fields = msgspec.json.decode(call.parameters) if call.parameters else {}
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    fields["messages"] = [msgspec.Raw(text.encode()) for text in call.messages]
    if call.priority:
        fields["priority"] = call.priority
    return msgspec.json.encode(fields)


def to_usage(usage: _Usage) -> identities.Usage:
    """Returns the token counts that the engine reported."""
    details = usage.get("prompt_tokens_details") or {}
    return identities.Usage(
        usage.get("prompt_tokens", 0),
        usage.get("completion_tokens", 0),
        details.get("cached_tokens", 0),
    )


def to_named_tuple(kind: type, fields: Any) -> Any:
    """Returns a named tuple with the fields of a JSON object.

    Raises:
        errors.UpstreamFailed: A field is missing or has the wrong type.
    """
    if kind is upstream.CacheEvents:
        fields["events"] = [
            [item["seq"], item["program"], item["tokens"]]
            for item in fields["events"]
        ]
    try:
        defaults = kind._field_defaults
        values = [
            fields.get(name, defaults[name])
            if name in defaults
            else fields[name]
            for name in kind._fields
        ]
        return msgspec.convert(values, kind)
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise errors.UpstreamFailed(
            f"The engine sent an invalid {kind.__name__}: {error!r}."
        ) from error
