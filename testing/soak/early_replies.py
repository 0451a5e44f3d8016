"""Answers before the request was read, between the product's own processes.

    python -m testing.soak.early_replies PATH

The processes and paths are those of `cut_heads`. Each kind of request with a
body is answered before its upload has been read: with a part of the answer or
all of it, after which the connection is reset, or with all of it and an end in
order, after which the upload is read on. Prints what came of the requests as
JSON.
"""

import collections
from collections.abc import Callable
import contextlib
import functools
import json
import sys
from typing import Any
from typing import NamedTuple

import eventlet
from testing.soak import cut_heads
from testing.soak import head_cutter

from mintcleat.adapters import engine_http
from mintcleat.adapters import response_checks
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.load import client as load_client
from mintcleat.ports import upstream

PATHS = ("entry", "engine", "load")
_SECONDS = 20.0
# The second takes two system calls, the last exceeds the kernel's buffers. The
# chat way takes no such upload.
SIZES = (10, 30_000, 6_000_000)
_CHAT_SIZES = (10, 30_000, 1_500_000)
_SMALL = SIZES[0]
_CHAT = rb"POST /v1/chat/completions "
_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: {}\r\n{}\r\n"
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_PLAIN = b'{"path": "/tool"}'
_FAILED = frozenset({"unknown", "broken", "StreamClosed"})
_WHOLE = frozenset({"whole"})


def _event(**fields: Any) -> bytes:
    return b"data: %b\n\n" % json.dumps(fields).encode()


def _delta(text: str) -> bytes:
    return _event(choices=[{"index": 0, "delta": {"content": text}}])


_WORDS = [_delta(f"a.{number} ") for number in range(4)]
_LAST = _event(
    choices=[{"index": 0, "delta": {}, "finish_reason": "stop"}],
    usage={"prompt_tokens": 1, "completion_tokens": 4},
    total_characters=16,
)
_DONE = b"data: [DONE]\n\n"


class Answers(NamedTuple):
    """Answers to one kind of request.

    Attributes:
        broken: Those whose reset shows that they may not be whole.
        whole: Those that are whole, whatever follows them.
        ended: Those that are whole if their connection is closed in order.
    """

    broken: list[bytes]
    whole: list[bytes]
    ended: list[bytes]


def _unmarked(content_type: str, body: bytes) -> bytes:
    return _HEAD.format(content_type, "").encode() + body


def _with_length(content_type: str, body: bytes, length: int) -> bytes:
    field = f"Content-Length: {length}\r\n"
    return _HEAD.format(content_type, field).encode() + body


def _chunked(content_type: str, body: bytes, end: bytes) -> bytes:
    head = _HEAD.format(content_type, _CHUNKED).encode()
    return head + b"%x\r\n%b\r\n%b" % (len(body), body, end)


def plain_answers(whole: bytes) -> Answers:
    """Returns answers that only their framing ends."""
    size = len(whole)
    half = whole[: size // 2]
    last = b"0\r\n\r\n"
    return Answers(
        [
            *(_unmarked(_JSON, part) for part in (b"", half, whole)),
            _with_length(_JSON, half, size),
            _chunked(_JSON, whole, b""),
        ],
        [_with_length(_JSON, whole, size), _chunked(_JSON, whole, last)],
        [_unmarked(_JSON, whole)],
    )


def stream_answers() -> Answers:
    """Returns answers that their last event ends, too."""
    parts = [*_WORDS, _LAST]
    whole = b"".join([*parts, _DONE])
    return Answers(
        [
            _unmarked(_EVENT_STREAM, b"".join(parts[:count]))
            for count in range(len(parts) + 1)
        ],
        [_unmarked(_EVENT_STREAM, whole)],
        [_unmarked(_EVENT_STREAM, whole)],
    )


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: Its name in the report.
        cutter: The proxy that answers early.
        requests: See `head_cutter.Early`.
        ask: Sends one with an upload of a size; see `cut_heads.Kind`.
        answers: What it is answered with.
        sizes: Sizes of the uploads in bytes.
    """

    name: str
    cutter: head_cutter.Cutter
    requests: bytes
    ask: Callable[[int], str]
    answers: Answers
    sizes: tuple[int, ...] = SIZES


class Scenario(cut_heads.Scenario):
    """See `cut_heads`; answers come early here, in place of cuts."""

    def play_path(self, path: str) -> None:
        """Plays one path."""
        match path:
            case "entry":
                kinds = self._early_callers()
            case "engine":
                kinds = self._early_engine_calls()
            case "load":
                kinds = self._early_loads()
            case _:
                raise ValueError(f"Expected one of {PATHS}, found {path!r}.")
        for kind in kinds:
            for size in kind.sizes:
                self._play_early(kind, size)

    def _play_early(self, kind: Kind, size: int) -> None:
        """Answers a kind of request early in each way."""
        small = functools.partial(kind.ask, _SMALL)
        plain = cut_heads.Kind(
            f"{kind.name} {size}",
            kind.cutter,
            kind.requests,
            functools.partial(kind.ask, size),
            _FAILED,
        )
        counter: collections.Counter[str] = collections.Counter()
        for found, is_reset, allowed in (
            (kind.answers.broken, True, _FAILED),
            (kind.answers.whole, True, _WHOLE),
            (kind.answers.ended, False, _WHOLE),
        ):
            for answer in found:
                self.until_whole(plain._replace(ask=small))
                early = head_cutter.Early(kind.requests, answer, is_reset)
                result = self.spoil(plain._replace(allowed=allowed), early)
                counter[result.partition(":")[0]] += 1
        self.counts[plain.name] = dict(counter)

    def _early_callers(self) -> list[Kind]:
        """Callers of an entry, whose upstreams answer early."""
        chat = functools.partial(self._chat_with, False)
        stream = functools.partial(self._chat_with, True)
        found = stream_answers()
        return [
            Kind(
                "POST",
                self.service,
                rb"POST /tool ",
                self._post,
                plain_answers(_PLAIN),
            ),
            Kind("chat", self.engine, _CHAT, chat, found, _CHAT_SIZES),
            Kind("chat stream", self.engine, _CHAT, stream, found, _CHAT_SIZES),
        ]

    def _post(self, size: int) -> str:
        path = "/v1/services/dispatch/tool"
        answer = cut_heads.ask(self.entry, "POST", path, b"x" * size)
        content = ""
        with contextlib.suppress(ValueError):
            content = json.loads(answer.text).get("path", "")
        return cut_heads.result_of(answer, content, "/tool")

    def _chat_with(self, is_stream: bool, size: int) -> str:
        body = cut_heads.chat_body(is_stream, "x" * size)
        answer = cut_heads.ask(self.entry, "POST", "/v1/chat/completions", body)
        content = cut_heads.content_of(answer)
        return cut_heads.result_of(answer, content, r"(\w+\.\d ){4}")

    def _early_engine_calls(self) -> list[Kind]:
        """Calls of a sidecar to its engine that have a body of some size."""
        cutter = head_cutter.Cutter("{}:{}".format(*self.engine.target))

        def kind(name: str, call: Callable[..., Any], found: Answers) -> Kind:
            def run(size: int) -> str:
                engine = engine_http.HttpEngine(cutter.address)
                try:
                    with eventlet.Timeout(_SECONDS):
                        call(engine, size)
                except errors.MintcleatError as error:
                    return type(error).__name__
                return "whole"

            return Kind(f"engine {name}", cutter, b"POST ", run, found)

        # Nothing but a length or chunks ends these for the sidecar.
        control = plain_answers(b"{}")._replace(ended=[])
        return [
            kind("run", _run, stream_answers()),
            kind("release", _release, control),
        ]

    def _early_loads(self) -> list[Kind]:
        """Chats of the load generator."""
        cutter = head_cutter.Cutter(self.entry)
        timer = timers.EventletTimers()

        def run(size: int) -> str:
            pool = response_checks.PoolManager()
            client = load_client.Client([cutter.address], timer, pool)
            body = json.loads(cut_heads.chat_body(True, "x" * size))
            answer = client.chat(body, {}, _SECONDS)
            return answer.outcome if answer.kind else "whole"

        found = stream_answers()
        whole = b"".join([*_WORDS, _LAST, _DONE])
        size = len(whole)
        marked = [
            _with_length(_EVENT_STREAM, whole, size),
            _chunked(_EVENT_STREAM, whole, b"0\r\n\r\n"),
        ]
        found = Answers([*found.broken, *found.whole], marked, marked)
        return [Kind("load chat", cutter, _CHAT, run, found)]


def _run(engine: engine_http.HttpEngine, size: int) -> None:
    message = json.dumps({"role": "user", "content": "x" * size})
    list(
        engine.run(
            upstream.EngineCall(
                request="r1", program="", messages=[message], parameters=""
            )
        )
    )


def _release(engine: engine_http.HttpEngine, size: int) -> None:
    engine.release(["x" * size])


def main() -> None:
    """Runs one path."""
    cut_heads.run(lambda system: Scenario(system, 1, 1), (sys.argv[1],))


if __name__ == "__main__":
    main()
