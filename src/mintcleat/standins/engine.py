"""A stand-in for an OpenAI-compatible model engine with a control API.

It has continuous batching and a prefix cache of limited size, and gives the
answer that `batch.answer_tokens` derives from the messages.
"""

from collections.abc import Callable
from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

import eventlet

from mintcleat.standins import batch
from mintcleat.standins import cache
from mintcleat.standins import http

_DEFAULT_MAX_TOKENS = 16
_POLL_SECONDS = 0.02


class EngineOptions(NamedTuple):
    """Properties of a stand-in engine.

    Attributes:
        model: Name of the model that is loaded at the start.
        speed: Timing of the batch.
        memory_tokens: Size of the prefix cache.
        fencing: Whether orders with an old fencing token are rejected.
        kv_export: Whether the engine announces that caches can be exported.
        priority: Whether the engine announces that it supports priorities.
        resume: Whether a client can resume a stream at an offset.
        orphan_timeout: Seconds that a sequence runs without a reader until
            it is cancelled.
        load_seconds: Seconds that each order takes.
        line_end: End of the lines of a stream.
        cut_events: Events after which a stream breaks off inside the next one;
            0 for never.
        software: Version of its software that it states; empty for none.
    """

    model: str = "model-1"
    speed: batch.Speed = batch.Speed()
    memory_tokens: int = 1_000_000
    fencing: bool = True
    kv_export: bool = True
    priority: bool = True
    resume: bool = True
    orphan_timeout: float = 5.0
    load_seconds: float = 0.01
    line_end: str = "\n"
    cut_events: int = 0
    software: str = ""


class Run(NamedTuple):
    """One request that the engine accepted, recorded for tests."""

    request: str
    program: str
    messages: list[str]


class ExecutedOrder(NamedTuple):
    """One order that the engine executed, recorded for tests.

    Attributes:
        fence: The sender's fencing token.
        action: `load` and `role` change the model; others are only recorded.
        model: Name of the model to load.
    """

    fence: int
    action: str
    model: str


class Engine:
    """The stand-in engine.

    Attributes:
        address: `IP:PORT` of its HTTP server.
        runs: Every accepted request, across restarts.
        orders: Every executed order, across restarts.
        life: Number of starts so far; identifies the engine process.
        highest_fencing_token: Highest one of all accepted orders.
        sequences: Sequences that can be resumed or cancelled, by request.
    """

    def __init__(
        self, listen: str = "127.0.0.1:0", options: EngineOptions | None = None
    ) -> None:
        self.options = options or EngineOptions()
        self.runs: list[Run] = []
        self.orders: list[ExecutedOrder] = []
        self.life = 0
        self.highest_fencing_token = 0
        self.start_serving(listen)

    def start_serving(self, listen: str) -> None:
        """Starts the engine at the address `listen` with an empty cache."""
        self.life += 1
        self.model = self.options.model
        self.cache = cache.PrefixCache(self.options.memory_tokens)
        self.batch = batch.Batch(self.options.speed, self.cache)
        self.sequences: dict[str, batch.Sequence] = {}
        self.server = http.HttpServer(listen, self.serve)
        self.address = self.server.address

    def stop(self) -> None:
        """Stops the engine like a crash: requests fail, the cache is lost."""
        self.batch.stop()
        self.server.stop()
        self.cache = cache.PrefixCache(self.options.memory_tokens)

    def serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Any:
        """Handles one HTTP request as a WSGI application."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        body = http.read_body(environ)
        match (method, path.strip("/").split("/")):
            case ("POST", ["v1", "chat", "completions"]):
                return self._complete(environ, start_response, body)
            case ("GET", ["control", "streams", request]):
                return self._resume(environ, start_response, request)
            case ("DELETE", ["control", "streams", request]):
                return self._cancel(start_response, request)
            case ("GET", ["control", name]):
                return self._get_control(environ, start_response, name)
            case ("POST", ["control", name]):
                return self._post_control(
                    start_response, name, json.loads(body)
                )
        return http.reply_json(start_response, {"error": "no such path"}, 404)

    def submit(self, sequence: batch.Sequence) -> None:
        """Queues a sequence; engines that inject faults override this."""
        self.batch.add(sequence)

    def _complete(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        body: bytes,
    ) -> Any:
        expected = environ.get("HTTP_X_EXPECT_SOFTWARE", "")
        if expected and expected != self.options.software:
            start_response("421 Misdirected Request", self._stated())
            return [b""]
        fields = json.loads(body)
        messages = [
            json.dumps(message, separators=(",", ":"), ensure_ascii=False)
            for message in fields["messages"]
        ]
        request = environ.get("HTTP_X_REQUEST_ID") or f"r{len(self.runs)}"
        program = environ.get("HTTP_X_CACHE_OWNER", "")
        max_tokens = int(fields.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        priority = int(fields.get("priority") or 0)
        sequence = batch.Sequence(
            request, program, messages, max_tokens, priority
        )
        self.runs.append(Run(request, program, messages))
        self.sequences[request] = sequence
        self.submit(sequence)
        if fields.get("stream"):
            return self._stream(start_response, sequence, 0)
        for _ in self._read_text(sequence, 0):
            pass
        if sequence.finish_reason == "crashed":
            return http.reply_json(start_response, {"error": "crashed"}, 503)
        return http.reply_json(start_response, _completion(sequence))

    def _resume(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        request: str,
    ) -> Any:
        sequence = self.sequences.get(request)
        if sequence is None or not self.options.resume:
            return http.reply_json(start_response, {"error": "gone"}, 404)
        offset = int(_query(environ).get("offset", "0"))
        return self._stream(start_response, sequence, offset)

    def _cancel(self, start_response: Callable[..., Any], request: str) -> Any:
        sequence = self.sequences.get(request)
        if sequence is not None:
            sequence.finish("cancelled")
        return http.reply_json(start_response, {"known": sequence is not None})

    def _stream(
        self,
        start_response: Callable[..., Any],
        sequence: batch.Sequence,
        offset: int,
    ) -> Iterator[bytes]:
        content = ("Content-Type", "text/event-stream")
        start_response("200 OK", [content, *self._stated()])
        line_end = self.options.line_end.encode()
        cut = self.options.cut_events
        for number, event in enumerate(self._events(sequence, offset), 1):
            text = event.replace(b"\n", line_end)
            if number == cut:
                yield text[: len(text) // 2]
                raise ConnectionAbortedError("The stream breaks off.")
            yield text

    def _stated(self) -> list[tuple[str, str]]:
        software = self.options.software
        return [("X-Software-Version", software)] if software else []

    def _events(self, sequence: batch.Sequence, offset: int) -> Iterator[bytes]:
        for text in self._read_text(sequence, offset):
            yield _sse_event(
                {"choices": [{"index": 0, "delta": {"content": text}}]}
            )
        if sequence.finish_reason == "crashed":
            raise ConnectionAbortedError("The engine crashed.")
        yield _sse_event(
            {
                "choices": [
                    {
                        "index": 0,
                        "delta": {},
                        "finish_reason": sequence.finish_reason,
                    }
                ],
                "usage": _usage(sequence),
                "total_characters": len(sequence.text),
            }
        )
        yield b"data: [DONE]\n\n"

    def _read_text(
        self, sequence: batch.Sequence, offset: int
    ) -> Iterator[str]:
        sequence.readers += 1
        try:
            while True:
                changed = sequence.changed
                text = sequence.text
                reason = sequence.finish_reason
                if len(text) > offset:
                    yield text[offset:]
                    offset = len(text)
                elif reason:
                    return
                else:
                    changed.wait()
        finally:
            sequence.readers -= 1
            eventlet.spawn_after(
                self.options.orphan_timeout,
                self._cancel_unread,
                self.sequences,
                sequence,
            )

    def _cancel_unread(
        self,
        sequences: dict[str, batch.Sequence],
        sequence: batch.Sequence,
    ) -> None:
        if not sequence.readers:
            sequence.finish("cancelled")
            sequences.pop(sequence.request, None)

    def _get_control(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        name: str,
    ) -> Any:
        query = _query(environ)
        match name:
            case "info":
                return http.reply_json(start_response, self.info())
            case "load":
                return http.reply_json(start_response, self.load())
            case "events":
                after = int(query.get("after", "0"))
                wait = float(query.get("wait", "0"))
                return http.reply_json(start_response, self.events(after, wait))
            case "cache":
                return http.reply_json(start_response, self.cache_listing())
            case "export":
                return http.reply_json(
                    start_response, self.cache.export_blocks(query["program"])
                )
        return http.reply_json(start_response, {"error": "no such path"}, 404)

    def _post_control(
        self,
        start_response: Callable[..., Any],
        name: str,
        fields: dict[str, Any],
    ) -> Any:
        match name:
            case "release":
                freed = sum(map(self.cache.release, fields["programs"]))
                return http.reply_json(start_response, {"freed": freed})
            case "shorten":
                self.cache.truncate(fields["program"], fields["keep"])
                return http.reply_json(start_response, {})
            case "hold":
                self.cache.pinned.add(fields["program"])
                return http.reply_json(start_response, {})
            case "import":
                self.cache.import_blocks(fields)
                return http.reply_json(start_response, {})
            case "orders":
                return self._execute_order(
                    start_response, ExecutedOrder(**fields)
                )
        return http.reply_json(start_response, {"error": "no such path"}, 404)

    def info(self) -> dict[str, Any]:
        """Returns the engine's state and features."""
        return {
            "life": self.life,
            "model": self.model,
            "capacity": self.options.speed.slots,
            "state": "ready",
            "fencing": self.options.fencing,
            "kv_export": self.options.kv_export,
            "priority": self.options.priority,
            "resume": self.options.resume,
            "memory": self.options.memory_tokens,
        }

    def load(self) -> dict[str, Any]:
        """Returns the number of requests and the free cache in tokens."""
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "free_memory": max(
                0, self.options.memory_tokens - self.cache.used_tokens
            ),
        }

    def events(self, after: int, wait: float) -> dict[str, Any]:
        """Returns the cache events whose numbers are above `after`.

        Waits up to `wait` seconds for the first one.
        """
        waited = 0.0
        while self.cache.seq <= after and waited < wait:
            eventlet.sleep(_POLL_SECONDS)
            waited += _POLL_SECONDS
        events = [item for item in self.cache.events if item.seq > after]
        return {
            "life": self.life,
            "seq": self.cache.seq,
            "events": [item._asdict() for item in events],
        }

    def cache_listing(self) -> dict[str, Any]:
        """Returns the number of cached tokens of each program."""
        return {
            "life": self.life,
            "seq": self.cache.seq,
            "programs": dict(self.cache.tokens_by_program),
        }

    def _execute_order(
        self, start_response: Callable[..., Any], order: ExecutedOrder
    ) -> Any:
        if self.options.fencing and order.fence < self.highest_fencing_token:
            return http.reply_json(
                start_response, {"error": "stale fencing token"}, 409
            )
        self.highest_fencing_token = max(
            self.highest_fencing_token, order.fence
        )
        eventlet.sleep(self.options.load_seconds)
        if order.action in ("load", "role"):
            self.model = order.model
        self.orders.append(order)
        return http.reply_json(start_response, {"model": self.model})


def _query(environ: dict[str, Any]) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))


def _sse_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _usage(sequence: batch.Sequence) -> dict[str, Any]:
    prompt = sum(map(cache.count_tokens, sequence.prompt))
    return {
        "prompt_tokens": prompt,
        "completion_tokens": sequence.generated,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def _completion(sequence: batch.Sequence) -> dict[str, Any]:
    message = {"role": "assistant", "content": sequence.text}
    choice = {
        "index": 0,
        "message": message,
        "finish_reason": sequence.finish_reason,
    }
    return {"choices": [choice], "usage": _usage(sequence)}
