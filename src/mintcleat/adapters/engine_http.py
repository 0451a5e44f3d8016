"""An adapter for model engines over HTTP: completions and control API.

urllib3 bounds neither the time nor the size of an answer, and under eventlet it
reads one that arrives faster than it is read without a pause for other green
threads; `http1_client` doesn't.

Each request has a connection of its own: an engine's answers don't state their
requests, so that a late one to an earlier request on the connection would be
taken for the current one's.
"""

from collections.abc import Iterator
from typing import Any
from typing import TypedDict

import eventlet
import msgspec

from mintcleat.adapters import http1_client
from mintcleat.adapters import http1_heads
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import server_sent_events
from mintcleat.ports import upstream

_CONTROL_TIMEOUT_SECONDS = 5.0
_ORDER_TIMEOUT_SECONDS = 600.0
# Time limit of a call that transfers a cache.
_TRANSFER_TIMEOUT_SECONDS = 60.0
# Maximum sizes of an answer of the control API, and of an exported cache, which
# goes on in one message.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_CACHE_BYTES = 64 * 1024 * 1024
_OK = 200
_SUCCESS = range(200, 300)
_REJECTED = range(400, 500)
_CONFLICT = 409
_OTHER_SOFTWARE = 421
_SOFTWARE = "x-software-version"
_EXPECTED_SOFTWARE = "x-expect-software"
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


class _Expired(BaseException):
    """The time for an answer, or for the next part of it, is over.

    Derived from BaseException so that no error handler on the way catches it.
    """


class HttpEngine:
    """Implements `ports.upstream.ModelEngine`.

    Attributes:
        address: `IP:PORT` of the engine.
        read_timeout: Time in seconds without data after which a stream counts
            as lost.
    """

    def __init__(self, address: str, read_timeout: float = 30.0) -> None:
        self.address = address
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
        headers = [
            ("content-type", "application/json"),
            ("x-request-id", call.request),
            ("x-cache-owner", call.program),
        ]
        if call.software:
            headers.append((_EXPECTED_SOFTWARE, call.software))
        return self._stream(
            "POST", "/v1/chat/completions", headers, request_body(call), 0
        )

    def resume(
        self, request: str, offset: int
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        """Resumes the stream of a running call at a character offset."""
        target = f"/control/streams/{request}?offset={offset}"
        return self._stream("GET", target, [], b"", offset)

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
        return self._call(
            "GET",
            f"export?program={program}",
            timeout=_TRANSFER_TIMEOUT_SECONDS,
            limit=_MAX_CACHE_BYTES,
        )

    def import_cache(self, exported: bytes) -> None:
        """Imports a cache that another engine exported."""
        self._call("POST", "import", exported, _TRANSFER_TIMEOUT_SECONDS)

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
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
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
        body: bytes = b"",
        timeout: float = _CONTROL_TIMEOUT_SECONDS,
        limit: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        """Makes a call of the control API and returns the answer's body.

        Raises:
            errors.StreamTimeout: It was not complete within `timeout` seconds.
            errors.StreamClosed: It is incomplete or too long.
        """
        connection = http1_client.connect(self.address)
        try:
            with eventlet.Timeout(timeout, _Expired):
                head = self._send(
                    connection, method, f"/control/{path}", [], body
                )
                data = connection.read_body(limit)
            check_status(head.status, data)
            if connection.end is answer_ends.Kind.CLOSED:
                raise errors.StreamClosed(
                    f"The engine's answer to {path.partition('?')[0]} has "
                    "neither a length nor chunks, so it may have been cut "
                    "short."
                )
            return data
        except _Expired:
            raise errors.StreamTimeout(
                f"The engine did not answer {path.partition('?')[0]} within "
                f"{timeout:g} s."
            ) from None
        finally:
            connection.close()

    def _stream(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        offset: int,
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        """Sends a request; returns once the head of its stream is there."""
        connection = http1_client.connect(self.address)
        try:
            with eventlet.Timeout(self.read_timeout, _Expired):
                head = self._send(connection, method, target, headers, body)
                if head.status != _OK:
                    data = connection.read_body(MAX_ANSWER_BYTES)
                    _check_software(head)
                    check_status(head.status, data)
        except _Expired:
            connection.close()
            raise self._silence() from None
        except BaseException:
            connection.close()
            raise
        return self._events(connection, head, offset)

    def _events(
        self,
        connection: http1_client.Connection,
        head: http1_heads.ResponseHead,
        offset: int,
    ) -> Iterator[upstream.TextChunk | upstream.End]:
        try:
            body = self._blocks(connection)
            yield from read_events(body, offset, _software_of(head))
        finally:
            connection.close()

    def _blocks(self, connection: http1_client.Connection) -> Iterator[bytes]:
        """Yields the parts of a stream's body as they arrive."""
        while True:
            try:
                with eventlet.Timeout(self.read_timeout, _Expired):
                    data = connection.read_data()
            except _Expired:
                raise self._silence() from None
            if data is None:
                return
            yield data

    def _send(
        self,
        connection: http1_client.Connection,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> http1_heads.ResponseHead:
        """Sends a request; returns once the head of its answer is there."""
        fields = [("host", self.address), *headers]
        connection.send(method, target, fields, body)
        return connection.read_head()

    def _silence(self) -> errors.StreamTimeout:
        return errors.StreamTimeout(
            f"The engine sent nothing for {self.read_timeout:g} s."
        )


def _software_of(head: http1_heads.ResponseHead) -> str:
    """Returns the version of the software that an engine states."""
    return dict(head.fields).get(_SOFTWARE, "")


def _check_software(head: http1_heads.ResponseHead) -> None:
    """Checks that the engine has the software that the call asks for.

    Raises:
        errors.NoUpstream: It has another one.
    """
    if head.status == _OTHER_SOFTWARE:
        raise errors.NoUpstream(
            f"The engine has the software {_software_of(head)!r}, not the one "
            "that began the answer."
        )


def read_events(
    body: Iterator[bytes], offset: int, software: str = ""
) -> Iterator[upstream.TextChunk | upstream.End]:
    """Yields the text chunks of a stream and its end.

    Args:
        body: Its body.
        offset: Number of characters received before, when resuming.
        software: Version of the software that makes it; empty if not stated.

    Raises:
        errors.StreamClosed: The stream ended without `[DONE]`, which alone
            shows that a response is complete.
        errors.OutcomeUnknown: It was resumed, and doesn't state the length of
            the whole answer, which shows where it went on.
    """
    received = offset
    total = -1
    reason = ""
    usage: _Usage = {}
    done = False
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
    except (
        msgspec.DecodeError,
        RecursionError,
        server_sent_events.InvalidEvent,
    ) as error:
        raise errors.StreamClosed(
            f"The engine sent an invalid event: {error}."
        ) from error
    if not done:
        raise errors.StreamClosed("The engine's stream ended before `[DONE]`.")
    if total < 0 and offset:
        raise errors.OutcomeUnknown(
            "Expected the length of the whole answer at the end of a resumed "
            "stream, but found none: the engine may have sent it from another "
            f"character than {offset}."
        )
    # One stream has its end or breaks; it loses nothing in between.
    total = received if total < 0 else total
    yield upstream.End(total, reason, to_usage(usage))


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
    every engine. A redirect is not followed and says nothing of the request.
    """
    if status in _SUCCESS:
        return
    text = data[:200].decode(errors="replace")
    detail = f"The engine responded with status {status}: {text}"
    if status == _CONFLICT:
        raise errors.FencedOff(detail)
    outcome = errors.RAN if status in _REJECTED else errors.UNKNOWN
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
